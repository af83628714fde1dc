"""Judge the crashes of targets, and tell other instances of the verdicts."""

import asyncio
from collections.abc import Callable
import random

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import ledger as ledgers
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import verdicts

__all__ = ["PROGRESS_EVENTS", "QuarantineManager"]

# By then it is known whether a target that broke off has died, and which
# others died with it.
ATTRIBUTION_DELAY_S = 0.6
# A target that brought this many events is well under way.
PROGRESS_EVENTS = 3
# What was missed is known again after this, and to all after a few times
# this; operators excuse the first 4 s.
QUERY_INTERVAL_S = 1.0
REMOTE_QUERY_SHARE = 0.25
# A verdict takes 35 bytes, and a datagram 1,400.
VERDICTS_PER_DATAGRAM = 24
# Verdicts are rare, and an outage takes seconds.
SAVE_RETRY_S = 1.0


class QuarantineManager:
    """Refuse requests that crash their targets, together with others.

    Two instances join the evidence on a request, so that copies at many
    instances add up: one of those beside the observer, which is reached
    while the data centre is cut off, and one of all.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        directory: targets.Directory,
        registry: registries.Registry,
        store_time_ms: Callable[[float], float | None],
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ) -> None:
        self.state = poison.Quarantine()
        self.exchange: exchanges.LoadExchange | None = None
        self._instance = instance
        self._directory = directory
        self._registry = registry
        self._store_time_ms = store_time_ms
        self._rng = rng
        # Verdicts that the platform does not have yet.
        self._unsaved: asyncio.Queue[poison.Fingerprint] = asyncio.Queue()
        # Verdicts that this instance reached itself.
        self._issued_verdicts: set[poison.Fingerprint] = set()
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self.runs = ledgers.RunLedger()
        self._tasks: set[asyncio.Task[None]] = set()

    def is_refused(self, fingerprint: poison.Fingerprint) -> bool:
        """Tell whether a request may not run again."""
        return self.state.is_refused(fingerprint, self._clock())

    def begin_run(
        self, job: jobs.Job, target: targets.Target
    ) -> ledgers.RunRecord:
        """Record that a request is sent to a target."""
        return self.runs.begin(job, target, self._clock())

    def end_run(self, record: ledgers.RunRecord, *, answered: bool) -> None:
        """Record how a run ended; without an answer its target may be dead."""
        if answered:
            self.runs.end_answered(record)
            return
        now = self._clock()
        self.runs.end_unanswered(record, now)
        target = record.target
        if target.lost_at is not None and target.lost_at >= record.began_at:
            self.schedule_attribution(target)

    def record_target_crash(self, target: targets.Target) -> None:
        """Learn that a target was found dead, here or elsewhere."""
        if self.runs.has_runs(target):
            self.schedule_attribution(target)

    def record_target_ended(self, target: targets.Target) -> None:
        """Learn from the list that a start of a target is over."""
        if not self.runs.has_runs(target):
            return
        now = self._clock()
        if target.health(now) is not targets.Health.LOST:
            target.note_loss(now)
        self.schedule_attribution(target)

    def schedule_attribution(
        self, target: targets.Target
    ) -> asyncio.Task[None]:
        """Find out whether a target has died, and with which requests."""
        task = asyncio.get_running_loop().create_task(
            self._attribute_crash(target)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def record_success(self, job: jobs.Job, target: targets.Target) -> None:
        """Record a whole answer, which shows that a request is harmless.

        Nothing less does: a target that fails may not have begun, and one
        that crashes in the middle of a stream has made progress before.
        """
        fingerprint = job.fingerprint
        now = self._clock()
        was_refused = self.state.is_refused(fingerprint, now)
        if not self.state.record_answer(fingerprint, now):
            return
        self._metrics.count("suspects_cleared_total", heard="here")
        self._log.write(
            "suspect_cleared",
            request=job.head.attempt_id,
            fingerprint=fingerprint,
            target=target.id,
            was_refused=was_refused,
        )
        if was_refused:
            self._revoke_verdict(fingerprint, now)
        else:
            self._publish_report(fingerprint, [], now)

    def handle_report(self, report: verdicts.DeathReport) -> None:
        """Join what another instance saw with what is known."""
        now = self._clock()
        if not report.crashes:
            self.state.record_answer(report.fingerprint, now)
            return
        self._log.write(
            "suspect_heard",
            fingerprint=report.fingerprint,
            sender=report.sender,
            targets=[told.target for told in report.crashes],
        )
        crashes = [told.to_crash(now) for told in report.crashes]
        self._add_crashes(report.fingerprint, crashes, now)

    def handle_notice(self, notice: verdicts.QuarantineNotice) -> None:
        """Take the verdict of another instance."""
        self._apply_verdict(
            notice.fingerprint,
            notice.remaining_ms,
            notice.sender,
            self._clock(),
        )

    def handle_query(self, query: verdicts.QuarantineQuery) -> None:
        """Tell an instance the verdicts that it may have missed."""
        now = self._clock()
        if self.exchange is None or query.digest == self.state.digest(now):
            return
        known = list(self.state.verdicts(now).items())
        if len(known) > VERDICTS_PER_DATAGRAM:
            known = self._rng.sample(known, VERDICTS_PER_DATAGRAM)
        told = {key: round(1000 * left_s) for key, left_s in known}
        self.exchange.send(
            [query.sender], verdicts.QuarantineState(self._instance, told)
        )

    def handle_state(self, state: verdicts.QuarantineState) -> None:
        """Take the verdicts that were missed."""
        now = self._clock()
        for fingerprint, remaining_ms in state.verdicts.items():
            self._apply_verdict(fingerprint, remaining_ms, state.sender, now)

    def apply_stored(self, record: registries.FleetRecord) -> None:
        """Take the verdicts that the platform keeps."""
        now = self._clock()
        for request in record.refused:
            remaining_ms = min(
                request.until_ms - record.store_ms,
                round(1000 * poison.RETENTION_S),
            )
            if remaining_ms > 0:
                self._apply_verdict(
                    request.fingerprint, remaining_ms, "store", now
                )

    def ask(self) -> None:
        """Ask an instance for verdicts that were missed here.

        Load: an instance that has just started, was cut off or stood still.
        Most questions go to those beside, as they cost the least.
        """
        if self.exchange is None:
            return
        now = self._clock()
        asked = self.exchange.known.beside(now)
        if not asked or self._rng.random() < REMOTE_QUERY_SHARE:
            asked = self.exchange.live()
        if asked:
            query = verdicts.QuarantineQuery(
                self.exchange.known.own, self.state.digest(now)
            )
            self.exchange.send([self._rng.choice(asked)], query)

    async def run(self) -> None:
        """Ask once a second, and forget old runs, until cancelled."""
        while True:
            await asyncio.sleep(QUERY_INTERVAL_S)
            self.ask()
            self._expire_runs()

    async def save(self) -> None:
        """Write verdicts to the platform until cancelled."""
        while True:
            fingerprint = await self._unsaved.get()
            while not await self._write(fingerprint):
                await asyncio.sleep(SAVE_RETRY_S)

    async def _write(self, fingerprint: poison.Fingerprint) -> bool:
        """Write a verdict as it is now; tell whether that is done."""
        now = self._clock()
        store_ms = self._store_time_ms(now)
        if store_ms is None:
            return False
        left_s = self.state.verdicts(now).get(fingerprint, 0.0)
        until_ms = round(store_ms + 1000 * left_s) if left_s else 0
        try:
            await self._registry.write_refused(
                registries.RefusedRequest(fingerprint, until_ms)
            )
        except exceptions.PlatformError as exc:
            self._log.write(
                "verdict_not_saved", fingerprint=fingerprint, error=str(exc)
            )
            return False
        self._log.write(
            "verdict_saved", fingerprint=fingerprint, left_s=round(left_s)
        )
        return True

    def _apply_verdict(
        self,
        fingerprint: poison.Fingerprint,
        remaining_ms: int,
        sender: str,
        now: float,
    ) -> None:
        known = self.state.verdicts(now).get(fingerprint)
        if not remaining_ms:
            if known != 0:
                self._apply_revocation(fingerprint, sender, now)
        elif self.state.is_harmless(fingerprint, now):
            self._reject_verdict(fingerprint, sender, now)
        elif not known:
            self._log.write(
                "quarantined",
                fingerprint=fingerprint,
                sender=sender,
                left_s=round(remaining_ms / 1000),
            )
            self.state.refuse(fingerprint, now + remaining_ms / 1000)

    def _apply_revocation(
        self, fingerprint: poison.Fingerprint, sender: str, now: float
    ) -> None:
        self._metrics.count("suspects_cleared_total", heard="peer")
        self._log.write(
            "suspect_cleared", fingerprint=fingerprint, sender=sender
        )
        if fingerprint in self._issued_verdicts:
            self._revoke_verdict(fingerprint, now)
        else:
            self.state.clear(fingerprint, now)

    def _reject_verdict(
        self, fingerprint: poison.Fingerprint, sender: str, now: float
    ) -> None:
        """Tell who passed a verdict on that the request is harmless.

        Load: all instances have answered a hot request. Only the one that
        reached the verdict tells all that it is taken back.
        """
        self._log.write(
            "verdict_denied", fingerprint=fingerprint, sender=sender
        )
        self.state.clear(fingerprint, now)
        if self.exchange is not None:
            self.exchange.send(
                [peer for peer in self.exchange.live() if peer.id == sender],
                verdicts.QuarantineNotice(self._instance, fingerprint, 0),
            )

    def _expire_runs(self) -> None:
        self._issued_verdicts.intersection_update(
            self.state.verdicts(self._clock())
        )
        for record in self.runs.expire(self._clock()):
            self._metrics.count("deaths_judged_total", verdict="no_death")
            self._log.write(
                "death_not_judged",
                routine=True,
                request=record.job.head.attempt_id,
                fingerprint=record.job.fingerprint,
                target=record.target.id,
            )

    async def _attribute_crash(self, target: targets.Target) -> None:
        await asyncio.sleep(ATTRIBUTION_DELAY_S)
        crashed_at = target.lost_at
        if crashed_at is None:
            return
        for record in self.runs.pop_ended(target, crashed_at):
            self._record_run_crash(record, crashed_at)

    def _record_run_crash(
        self, record: ledgers.RunRecord, crashed_at: float
    ) -> None:
        job, target = record.job, record.target
        fingerprint = job.fingerprint
        if (
            target.listed.state is targets.ListedState.LEAVING
            or target.availability.leaving
        ):
            # It was to end anyway.
            self._metrics.count("deaths_judged_total", verdict="leaving")
            return
        others = self._count_other_crashes(fingerprint, target, crashed_at)
        # Streams spend most of their time well under way, so that is where
        # they are when their target dies for another reason.
        doubtful = (
            others >= poison.COMMON_CAUSE_CRASHES
            or record.events >= PROGRESS_EVENTS
        )
        crash = poison.Crash(
            target.id,
            target.listed.started_ms,
            record.began_at,
            min(record.ended_at or crashed_at, crashed_at),
            poison.DOUBTFUL_WEIGHT if doubtful else 1.0,
        )
        self._metrics.count(
            "deaths_judged_total", verdict="doubtful" if doubtful else "blamed"
        )
        self._log.write(
            "death_judged",
            request=job.head.attempt_id,
            fingerprint=fingerprint,
            target=target.id,
            ran_s=round(crash.crashed_at - crash.began_at, 3),
            events=record.events,
            others_died=others,
            weight=crash.weight,
        )
        now = self._clock()
        self._add_crashes(fingerprint, [crash], now)
        self._publish_report(fingerprint, [crash], now)

    def _count_other_crashes(
        self,
        fingerprint: poison.Fingerprint,
        target: targets.Target,
        crashed_at: float,
    ) -> int:
        """Count the crashes beside one that the request has no part in."""
        own = {crash.target for crash in self.state.crashes_of(fingerprint)}
        return sum(
            other.listed.data_centre == target.listed.data_centre
            and other is not target
            and other.id not in own
            and other.lost_at is not None
            and abs(other.lost_at - crashed_at) < poison.COMMON_CAUSE_WINDOW_S
            for other in self._directory.targets()
        )

    def _add_crashes(
        self,
        fingerprint: poison.Fingerprint,
        crashes: list[poison.Crash],
        now: float,
    ) -> None:
        if not self.state.add_crashes(fingerprint, crashes, now):
            return
        joined = self.state.crashes_of(fingerprint)
        self._log.write(
            "quarantined",
            fingerprint=fingerprint,
            targets=[crash.target for crash in joined],
            recurrence=poison.recurrence(joined),
        )
        self._issued_verdicts.add(fingerprint)
        self._publish_verdict(fingerprint, round(1000 * poison.RETENTION_S))
        self._unsaved.put_nowait(fingerprint)

    def _revoke_verdict(
        self, fingerprint: poison.Fingerprint, now: float
    ) -> None:
        self.state.clear(fingerprint, now)
        self._issued_verdicts.discard(fingerprint)
        self._publish_verdict(fingerprint, 0)
        self._unsaved.put_nowait(fingerprint)

    def _publish_report(
        self,
        fingerprint: poison.Fingerprint,
        crashes: list[poison.Crash],
        now: float,
    ) -> None:
        if self.exchange is None:
            return
        told = [
            verdicts.ReportedCrash.from_crash(each, now) for each in crashes
        ]
        self.exchange.send(
            self.exchange.keepers_of(fingerprint),
            verdicts.DeathReport(self._instance, fingerprint, tuple(told)),
        )

    def _publish_verdict(
        self, fingerprint: poison.Fingerprint, remaining_ms: int
    ) -> None:
        if self.exchange is not None:
            self.exchange.send(
                self.exchange.live(),
                verdicts.QuarantineNotice(
                    self._instance, fingerprint, remaining_ms
                ),
            )
