"""Judge the deaths of targets, and tell other instances of the verdicts."""

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
JUDGE_DEATH_S = 0.6
# A target that brought this many events is well under way.
PROGRESS_EVENTS = 3
# What was missed is known again after this, and to all after a few times
# this; operators excuse the first 4 s.
ASK_S = 1.0
ASK_FAR_SHARE = 0.25
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
        self.known = poison.Quarantine()
        self.exchange: exchanges.PeerExchange | None = None
        self._instance = instance
        self._directory = directory
        self._registry = registry
        self._store_time_ms = store_time_ms
        self._rng = rng
        # Verdicts that the platform does not have yet.
        self._unsaved: asyncio.Queue[poison.Fingerprint] = asyncio.Queue()
        # Verdicts that this instance reached itself.
        self._own_verdicts: set[poison.Fingerprint] = set()
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self.runs = ledgers.RunLedger()
        self._tasks: set[asyncio.Task[None]] = set()

    def is_refused(self, fingerprint: poison.Fingerprint) -> bool:
        """Tell whether a request may not run again."""
        return self.known.is_refused(fingerprint, self._clock())

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
            self.judge_later(target)

    def note_death(self, target: targets.Target) -> None:
        """Learn that a target was found dead, here or elsewhere."""
        if self.runs.has_open(target):
            self.judge_later(target)

    def note_ended(self, target: targets.Target) -> None:
        """Learn from the list that a start of a target is over."""
        if not self.runs.has_open(target):
            return
        now = self._clock()
        if target.health(now) is not targets.Health.LOST:
            target.record_loss(now)
        self.judge_later(target)

    def judge_later(self, target: targets.Target) -> asyncio.Task[None]:
        """Find out whether a target has died, and with which requests."""
        task = asyncio.get_running_loop().create_task(self._judge(target))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def note_success(self, job: jobs.Job, target: targets.Target) -> None:
        """Record a whole answer, which shows that a request is harmless.

        Nothing less does: a target that fails may not have begun, and one
        that crashes in the middle of a stream has made progress before.
        """
        fingerprint = job.fingerprint
        now = self._clock()
        was_refused = self.known.is_refused(fingerprint, now)
        if not self.known.note_served(fingerprint, now):
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
            self._end_verdict(fingerprint, now)
        else:
            self._report(fingerprint, [], now)

    def hear_report(self, report: verdicts.DeathReport) -> None:
        """Join what another instance saw with what is known."""
        now = self._clock()
        if not report.deaths:
            self.known.note_served(report.fingerprint, now)
            return
        self._log.write(
            "suspect_heard",
            fingerprint=report.fingerprint,
            sender=report.sender,
            targets=[told.target for told in report.deaths],
        )
        deaths = [told.to_death(now) for told in report.deaths]
        self._add(report.fingerprint, deaths, now)

    def hear_notice(self, notice: verdicts.QuarantineNotice) -> None:
        """Take the verdict of another instance."""
        self._take(
            notice.fingerprint, notice.left_ms, notice.sender, self._clock()
        )

    def hear_query(self, query: verdicts.QuarantineQuery) -> None:
        """Tell an instance the verdicts that it may have missed."""
        now = self._clock()
        if self.exchange is None or query.digest == self.known.digest(now):
            return
        known = list(self.known.verdicts(now).items())
        if len(known) > VERDICTS_PER_DATAGRAM:
            known = self._rng.sample(known, VERDICTS_PER_DATAGRAM)
        told = {key: round(1000 * left_s) for key, left_s in known}
        self.exchange.send(
            [query.sender], verdicts.QuarantineState(self._instance, told)
        )

    def hear_state(self, state: verdicts.QuarantineState) -> None:
        """Take the verdicts that were missed."""
        now = self._clock()
        for fingerprint, left_ms in state.verdicts.items():
            self._take(fingerprint, left_ms, state.sender, now)

    def take_stored(self, record: registries.FleetRecord) -> None:
        """Take the verdicts that the platform keeps."""
        now = self._clock()
        for request in record.refused:
            left_ms = min(
                request.until_ms - record.store_ms,
                round(1000 * poison.MEMORY_S),
            )
            if left_ms > 0:
                self._take(request.fingerprint, left_ms, "store", now)

    def ask(self) -> None:
        """Ask an instance for verdicts that were missed here.

        Load: an instance that has just started, was cut off or stood still.
        Most questions go to those beside, as they cost the least.
        """
        if self.exchange is None:
            return
        now = self._clock()
        asked = self.exchange.peers.local_peers(now)
        if not asked or self._rng.random() < ASK_FAR_SHARE:
            asked = self.exchange.live()
        if asked:
            query = verdicts.QuarantineQuery(
                self.exchange.peers.own_entry, self.known.digest(now)
            )
            self.exchange.send([self._rng.choice(asked)], query)

    async def run(self) -> None:
        """Ask once a second, and forget old runs, until cancelled."""
        while True:
            await asyncio.sleep(ASK_S)
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
        left_s = self.known.verdicts(now).get(fingerprint, 0.0)
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

    def _take(
        self,
        fingerprint: poison.Fingerprint,
        left_ms: int,
        sender: str,
        now: float,
    ) -> None:
        known = self.known.verdicts(now).get(fingerprint)
        if not left_ms:
            if known != 0:
                self._take_back(fingerprint, sender, now)
        elif self.known.is_harmless(fingerprint, now):
            self._deny(fingerprint, sender, now)
        elif not known:
            self._log.write(
                "quarantined",
                fingerprint=fingerprint,
                sender=sender,
                left_s=round(left_ms / 1000),
            )
            self.known.refuse(fingerprint, now + left_ms / 1000)

    def _take_back(
        self, fingerprint: poison.Fingerprint, sender: str, now: float
    ) -> None:
        self._metrics.count("suspects_cleared_total", heard="peer")
        self._log.write(
            "suspect_cleared", fingerprint=fingerprint, sender=sender
        )
        if fingerprint in self._own_verdicts:
            self._end_verdict(fingerprint, now)
        else:
            self.known.clear(fingerprint, now)

    def _deny(
        self, fingerprint: poison.Fingerprint, sender: str, now: float
    ) -> None:
        """Tell who passed a verdict on that the request is harmless.

        Load: all instances have answered a hot request. Only the one that
        reached the verdict tells all that it is taken back.
        """
        self._log.write(
            "verdict_denied", fingerprint=fingerprint, sender=sender
        )
        self.known.clear(fingerprint, now)
        if self.exchange is not None:
            self.exchange.send(
                [peer for peer in self.exchange.live() if peer.id == sender],
                verdicts.QuarantineNotice(self._instance, fingerprint, 0),
            )

    def _expire_runs(self) -> None:
        self._own_verdicts.intersection_update(
            self.known.verdicts(self._clock())
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

    async def _judge(self, target: targets.Target) -> None:
        await asyncio.sleep(JUDGE_DEATH_S)
        died_at = target.lost_at
        if died_at is None:
            return
        for record in self.runs.take_ended(target, died_at):
            self._note_death(record, died_at)

    def _note_death(self, record: ledgers.RunRecord, died_at: float) -> None:
        job, target = record.job, record.target
        fingerprint = job.fingerprint
        if (
            target.listed.state is targets.ListedState.LEAVING
            or target.availability.leaving
        ):
            # It was to end anyway.
            self._metrics.count("deaths_judged_total", verdict="leaving")
            return
        others = self._others_that_died(fingerprint, target, died_at)
        # Streams spend most of their time well under way, so that is where
        # they are when their target dies for another reason.
        doubtful = (
            others >= poison.COMMON_DEATHS or record.events >= PROGRESS_EVENTS
        )
        death = poison.Death(
            target.id,
            target.listed.started_ms,
            record.began_at,
            min(record.ended_at or died_at, died_at),
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
            ran_s=round(death.died_at - death.began_at, 3),
            events=record.events,
            others_died=others,
            weight=death.weight,
        )
        now = self._clock()
        self._add(fingerprint, [death], now)
        self._report(fingerprint, [death], now)

    def _others_that_died(
        self,
        fingerprint: poison.Fingerprint,
        target: targets.Target,
        died_at: float,
    ) -> int:
        """Count the deaths beside one that the request has no part in."""
        own = {death.target for death in self.known.deaths_of(fingerprint)}
        return sum(
            other.listed.data_centre == target.listed.data_centre
            and other is not target
            and other.id not in own
            and other.lost_at is not None
            and abs(other.lost_at - died_at) < poison.COMMON_DEATH_S
            for other in self._directory.targets()
        )

    def _add(
        self,
        fingerprint: poison.Fingerprint,
        deaths: list[poison.Death],
        now: float,
    ) -> None:
        if not self.known.add(fingerprint, deaths, now):
            return
        joined = self.known.deaths_of(fingerprint)
        self._log.write(
            "quarantined",
            fingerprint=fingerprint,
            targets=[death.target for death in joined],
            recurrence=poison.recurrence(joined),
        )
        self._own_verdicts.add(fingerprint)
        self._publish(fingerprint, round(1000 * poison.MEMORY_S))
        self._unsaved.put_nowait(fingerprint)

    def _end_verdict(
        self, fingerprint: poison.Fingerprint, now: float
    ) -> None:
        self.known.clear(fingerprint, now)
        self._own_verdicts.discard(fingerprint)
        self._publish(fingerprint, 0)
        self._unsaved.put_nowait(fingerprint)

    def _report(
        self,
        fingerprint: poison.Fingerprint,
        deaths: list[poison.Death],
        now: float,
    ) -> None:
        if self.exchange is None:
            return
        told = [verdicts.ToldDeath.from_death(each, now) for each in deaths]
        self.exchange.send(
            self.exchange.aggregators_of(fingerprint),
            verdicts.DeathReport(self._instance, fingerprint, tuple(told)),
        )

    def _publish(self, fingerprint: poison.Fingerprint, left_ms: int) -> None:
        if self.exchange is not None:
            self.exchange.send(
                self.exchange.live(),
                verdicts.QuarantineNotice(
                    self._instance, fingerprint, left_ms
                ),
            )
