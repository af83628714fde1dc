"""Attribute crashes of targets to requests, and share the verdicts."""

import asyncio
from collections.abc import Callable
import itertools
import random

from sassafrasflow import ids
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import ledger as ledgers
from sassafrasflow.gateway import part_quarantine
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import rewrites
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import verdict_writer
from sassafrasflow.gateway import verdicts
from sassafrasflow.rechecks import manager as rechecks

__all__ = ["PROGRESS_EVENTS", "QuarantineManager"]

# After this delay it is clear whether a target that closed a connection has
# crashed, and which other targets crashed at the same time.
ATTRIBUTION_DELAY_S = 0.6
# A run that received this many events has made progress.
PROGRESS_EVENTS = 3
# An instance may get a verdict that it missed after one interval, and all
# instances have it after a few. Operators excuse the first 4 s without it.
QUERY_INTERVAL_S = 1.0
# Share of the queries that may go to another data centre.
REMOTE_QUERY_SHARE = 0.25
# A verdict takes up to 70 bytes, and a datagram holds 1,400.
VERDICTS_PER_DATAGRAM = 16
# The instances that aggregate this key write the rows of others again that a
# restored store has lost.
REWRITE_KEY = "rewrites"


class QuarantineManager:
    """Detect poison requests together with other instances, and refuse them.

    Two instances aggregate the crashes of a request, so that those of copies
    at many instances add up. One is chosen among all instances, the other in
    the data centre of the observer, which reaches it even while the data
    centre is cut off.
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
        self._exchange: exchanges.PeerExchange | None = None
        self._instance = instance
        self._directory = directory
        self._rng = rng
        # Requests whose verdicts this instance issued.
        self._issued_verdicts: set[poison.Fingerprint] = set()
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self.runs = ledgers.RunLedger()
        self.parts = part_quarantine.PartQuarantine(
            instance,
            self.state,
            self._issue_verdict,
            self._revoke_part_verdict,
            lambda crash: self.writer.add_crash(crash),
            clock,
            log,
            metrics,
        )
        self.writer = verdict_writer.VerdictWriter(
            registry,
            self._remaining_s,
            self._evidence_at,
            store_time_ms,
            clock,
            log,
        )
        self.rechecks = rechecks.RecheckManager(
            instance,
            self.state,
            self.parts,
            registry,
            store_time_ms,
            clock,
            log,
            metrics,
            rng,
        )
        self.state.on_cleared = self.rechecks.forget
        self.rewriter = rewrites.RowRewriter(
            registry,
            self.writer,
            self._verdicts_to_keep,
            self._crashes_to_keep,
            clock,
            log,
            rng,
        )
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def exchange(self) -> exchanges.PeerExchange | None:
        """Return the exchange of datagrams with peers, once it has started."""
        return self._exchange

    @exchange.setter
    def exchange(self, exchange: exchanges.PeerExchange) -> None:
        self._exchange = self.parts.exchange = exchange
        self.rechecks.exchange = exchange

    def is_refused(self, fingerprint: poison.Fingerprint) -> bool:
        """Return whether a request must not run again."""
        return self.state.is_refused(fingerprint, self._clock())

    def is_poison(self, job: jobs.Job) -> bool:
        """Return whether a request, or parts of its prompt, are refused."""
        if not self.state.refused_count or job.recheck is not None:
            return False
        if self.is_refused(job.fingerprint):
            return True
        return not job.made_progress and self.parts.is_refused(
            job.shared_parts
        )

    def begin_run(
        self, job: jobs.Job, target: targets.Target
    ) -> ledgers.RunRecord:
        """Record that a request is sent to a target."""
        self.rechecks.begin_run(job, target.id)
        return self.runs.begin(job, target, self._clock())

    def record_event(self, record: ledgers.RunRecord, now: float) -> None:
        """Record an event of a stream."""
        record.events += 1
        # The run goes on, though its target was found silent.
        record.ended_at = None
        if record.first_event_at is None:
            record.first_event_at = record.last_event_at = now
            return
        assert record.last_event_at is not None
        record.written_s += min(
            now - record.last_event_at, prompt_parts.MAX_COUNTED_PAUSE_S
        )
        record.last_event_at = now
        lost_at = record.target.lost_at
        if record.made_progress or record.written_s < prompt_parts.PROGRESS_S:
            return
        if lost_at is None or lost_at < record.began_at:
            self._record_progress(record)

    def end_run(self, record: ledgers.RunRecord, *, answered: bool) -> None:
        """Record the end of a run; without an answer, look for a crash."""
        if answered:
            self.runs.end_answered(record)
            return
        now = self._clock()
        self.runs.end_unanswered(record, now)
        target = record.target
        if target.lost_at is not None and target.lost_at >= record.began_at:
            self.schedule_attribution(target)

    def end_with_connection(self, record: ledgers.RunRecord) -> None:
        """Record a whole answer that ended with its connection.

        The target may have crashed at that moment. If no crash is found, the
        answer counts as a success when the ledger drops the run.
        """
        record.ended_with_connection = True
        self.end_run(record, answered=False)

    def record_target_crash(self, target: targets.Target) -> None:
        """Schedule the attribution of a loss, observed here or by a peer."""
        if self.runs.has_runs(target):
            self.schedule_attribution(target)

    def record_target_ended(self, target: targets.Target) -> None:
        """Record that an incarnation is over according to the target list."""
        if not self.runs.has_runs(target):
            return
        now = self._clock()
        if target.health(now) is not targets.Health.LOST:
            target.record_loss(now)
        self.schedule_attribution(target)

    def schedule_attribution(
        self, target: targets.Target
    ) -> asyncio.Task[None]:
        """Check after a delay whether a target crashed, and on which runs."""
        task = asyncio.get_running_loop().create_task(
            self._attribute_crash(target)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def record_success(self, record: ledgers.RunRecord) -> None:
        """Record a complete answer, which shows that a request is harmless.

        An error or a part of an answer does not show it: a target may report
        a failure before it has begun, or crash in the middle of a stream.
        """
        job, target = record.job, record.target
        fingerprint = job.fingerprint
        now = self._clock()
        self._record_progress(record)
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
        """Merge the crashes or the answer that a peer observed."""
        now = self._clock()
        if not report.crashes:
            self.state.record_answer(report.fingerprint, now)
            return
        self._log.write(
            "suspect_heard",
            fingerprint=report.fingerprint,
            sender=report.sender,
            targets=[reported.target for reported in report.crashes],
        )
        crashes = [reported.to_crash(now) for reported in report.crashes]
        self._add_crashes(report.fingerprint, crashes, now)

    def handle_notice(self, notice: verdicts.QuarantineNotice) -> None:
        """Apply the verdict of a peer."""
        self._apply_verdict(
            notice.fingerprint,
            notice.remaining_ms,
            notice.sender,
            self._clock(),
            notice.evidence_ms_ago,
        )

    def handle_query(self, query: verdicts.QuarantineQuery) -> None:
        """Send a peer verdicts if its digest differs.

        If the verdicts don't fit into one datagram, a random sample is sent,
        so that the peer gets all of them after several queries.
        """
        now = self._clock()
        if self.exchange is None or query.digest == self.state.digest(now):
            return
        items = list(self.state.verdicts(now).items())
        if len(items) > VERDICTS_PER_DATAGRAM:
            items = self._rng.sample(items, VERDICTS_PER_DATAGRAM)
        remaining_ms_by_request = {
            key: round(1000 * remaining_s) for key, remaining_s in items
        }
        ages = tuple(self._evidence_ms_ago(key) for key, _ in items)
        self.exchange.send(
            [query.sender],
            verdicts.QuarantineState(
                self._instance, remaining_ms_by_request, ages
            ),
        )

    def handle_state(self, state: verdicts.QuarantineState) -> None:
        """Apply the verdicts in the answer to a query."""
        now = self._clock()
        for (fingerprint, remaining_ms), age_ms in itertools.zip_longest(
            state.verdicts.items(),
            state.evidence_ms_ago[: len(state.verdicts)],
        ):
            self._apply_verdict(
                fingerprint, remaining_ms, state.sender, now, age_ms
            )

    def apply_stored(self, record: registries.FleetRecord) -> None:
        """Apply the verdicts that the platform stores."""
        now = self._clock()
        for request in record.refused:
            remaining_ms = min(
                request.until_ms - record.store_ms,
                round(1000 * poison.RETENTION_S),
            )
            if remaining_ms > 0:
                age_ms = None
                if request.evidence_ms is not None:
                    age_ms = record.store_ms - request.evidence_ms
                self._apply_verdict(
                    request.fingerprint, remaining_ms, "store", now, age_ms
                )
        for crash in record.part_crashes:
            self.parts.apply_stored(crash, record.store_ms)
        self.rechecks.apply_stored(record)

    def send_query(self) -> None:
        """Query a random peer for verdicts that this instance missed.

        An instance misses verdicts before it starts, while it is cut off and
        while its process is suspended. Most queries go to local peers, which
        costs the least.
        """
        if self.exchange is None:
            return
        now = self._clock()
        peers = self.exchange.peers.local_peers(now)
        if not peers or self._rng.random() < REMOTE_QUERY_SHARE:
            peers = self.exchange.live()
        if peers:
            query = verdicts.QuarantineQuery(
                self.exchange.peers.own_entry, self.state.digest(now)
            )
            self.exchange.send([self._rng.choice(peers)], query)

    async def run(self) -> None:
        """Send a query and drop old runs once a second, until cancelled."""
        while True:
            await asyncio.sleep(QUERY_INTERVAL_S)
            self.send_query()
            self._expire_runs()

    def _apply_verdict(
        self,
        fingerprint: poison.Fingerprint,
        remaining_ms: int,
        sender: str,
        now: float,
        evidence_ms_ago: int | None = None,
    ) -> None:
        if prompt_parts.parts_of(fingerprint):
            self._apply_part_verdict(
                fingerprint, remaining_ms, sender, now, evidence_ms_ago
            )
            return
        current_s = self.state.verdicts(now).get(fingerprint)
        if not remaining_ms:
            if current_s != 0:
                self._apply_revocation(fingerprint, sender, now)
        elif self.state.is_harmless(fingerprint, now):
            self._reject_verdict(fingerprint, sender, now)
        elif not current_s:
            self._log.write(
                "quarantined",
                fingerprint=fingerprint,
                sender=sender,
                left_s=round(remaining_ms / 1000),
            )
            self.state.refuse(fingerprint, now + remaining_ms / 1000)

    def _apply_part_verdict(
        self,
        key: poison.Fingerprint,
        remaining_ms: int,
        sender: str,
        now: float,
        evidence_ms_ago: int | None,
    ) -> None:
        """Apply a peer's verdict on prompt parts, or its revocation."""
        if evidence_ms_ago is None:
            # Without its time nothing could disprove it.
            return
        evidence_at = now - evidence_ms_ago / 1000
        if not remaining_ms:
            if not self.parts.apply_revocation(key, evidence_at, sender):
                return
            if key in self._issued_verdicts:
                self._revoke_part_verdict(key, evidence_at)
            elif self.writer.has_saved(key):
                self.writer.add_verdict(key)
            return
        disproved_at = self.parts.apply_verdict(
            key, now + remaining_ms / 1000, evidence_at, sender
        )
        if disproved_at is not None and self.exchange is not None:
            self._send_notice(
                [peer for peer in self.exchange.live() if peer.id == sender],
                key,
                0,
                disproved_at,
            )

    def _apply_revocation(
        self, fingerprint: poison.Fingerprint, sender: str, now: float
    ) -> None:
        self._metrics.count("suspects_cleared_total", heard="peer")
        self._log.write(
            "suspect_cleared", fingerprint=fingerprint, sender=sender
        )
        if fingerprint in self._issued_verdicts:
            self._revoke_verdict(fingerprint, now)
            return
        self.state.clear(fingerprint, now)
        if self.writer.has_saved(fingerprint):
            # Written again after a restore, for the instance that issued it.
            self.writer.add_verdict(fingerprint)

    def _reject_verdict(
        self, fingerprint: poison.Fingerprint, sender: str, now: float
    ) -> None:
        """Notify the verdict's sender that the request is harmless.

        All instances may have answered a popular request lately. So each
        notifies the sender only, and the instance that issued the verdict
        revokes it for all.
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
            if record.ended_with_connection:
                self.record_success(record)
                continue
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
        records = self.runs.pop_ended(target, crashed_at)
        # A refused request that still ran explains the crash for the others.
        is_explained = any(self.is_poison(record.job) for record in records)
        for record in records:
            self._record_run_crash(record, crashed_at, is_explained)

    def _record_run_crash(
        self,
        record: ledgers.RunRecord,
        crashed_at: float,
        is_explained: bool,
    ) -> None:
        job, target = record.job, record.target
        fingerprint = job.fingerprint
        if (
            target.listed.state is targets.ListedState.LEAVING
            or target.availability.leaving
        ):
            # The target was about to stop anyway.
            self._metrics.count("deaths_judged_total", verdict="leaving")
            return
        crashed = self._other_crashes(target, crashed_at)
        others = len(
            crashed.difference(
                each.target for each in self.state.crashes_of(fingerprint)
            )
        )
        # A stream has made progress for most of its duration, so a crash with
        # another cause mostly ends streams that have made progress.
        has_other_cause = (
            others >= poison.COMMON_CAUSE_CRASHES
            or record.events >= PROGRESS_EVENTS
        )
        crash = poison.Crash(
            target.id,
            target.listed.started_ms,
            record.began_at,
            min(record.ended_at or crashed_at, crashed_at),
            poison.OTHER_CAUSE_WEIGHT if has_other_cause else 1.0,
        )
        self._metrics.count(
            "deaths_judged_total",
            verdict="doubtful" if has_other_cause else "blamed",
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
        if not is_explained:
            self.parts.record_crash(record, crash.crashed_at, crashed)

    def _other_crashes(
        self, target: targets.Target, crashed_at: float
    ) -> set[ids.TargetId]:
        """Return the targets of the data centre that crashed as well."""
        return {
            other.id
            for other in self._directory.targets()
            if other.listed.data_centre == target.listed.data_centre
            and other is not target
            and other.lost_at is not None
            and abs(other.lost_at - crashed_at) < poison.COMMON_CAUSE_WINDOW_S
        }

    def _add_crashes(
        self,
        fingerprint: poison.Fingerprint,
        crashes: list[poison.Crash],
        now: float,
    ) -> None:
        if not self.state.add_crashes(fingerprint, crashes, now):
            return
        all_crashes = self.state.crashes_of(fingerprint)
        self._log.write(
            "quarantined",
            fingerprint=fingerprint,
            targets=[crash.target for crash in all_crashes],
            recurrence=poison.recurrence(all_crashes),
        )
        self._issue_verdict(fingerprint)

    def _issue_verdict(
        self,
        fingerprint: poison.Fingerprint,
        evidence_at: float | None = None,
    ) -> None:
        self._issued_verdicts.add(fingerprint)
        self._publish_verdict(
            fingerprint, round(1000 * poison.RETENTION_S), evidence_at
        )
        self.writer.add_verdict(fingerprint)

    def _revoke_verdict(
        self, fingerprint: poison.Fingerprint, now: float
    ) -> None:
        self.state.clear(fingerprint, now)
        self._issued_verdicts.discard(fingerprint)
        self._publish_verdict(fingerprint, 0)
        self.writer.add_verdict(fingerprint)

    def _revoke_part_verdict(
        self, key: poison.Fingerprint, disproved_at: float
    ) -> None:
        """Publish and save the end of a verdict that proved wrong."""
        self._issued_verdicts.discard(key)
        self._publish_verdict(key, 0, disproved_at)
        self.writer.add_verdict(key)

    def _record_progress(self, record: ledgers.RunRecord) -> None:
        record.made_progress = record.job.made_progress = True
        began_at = record.first_event_at
        self.parts.record_progress(
            record.job.shared_parts,
            record.began_at if began_at is None else began_at,
        )

    def _remaining_s(self, fingerprint: poison.Fingerprint) -> float:
        """Return for how long a request is refused; 0 if it is not."""
        return self.state.verdicts(self._clock()).get(fingerprint, 0.0)

    def _evidence_at(self, key: poison.Fingerprint) -> float | None:
        """Return the time by which the rows of a key are ordered."""
        if prompt_parts.parts_of(key):
            return self.parts.evidence_at(key)
        return self.state.cleared_at(key)

    def _is_rewriter(self) -> bool:
        return self.exchange is not None and self.exchange.is_aggregator(
            REWRITE_KEY
        )

    def _verdicts_to_keep(self) -> list[poison.Fingerprint]:
        """Return the verdicts to write again if a restore lost them."""
        known = self.state.verdicts(self._clock())
        if self._is_rewriter():
            return list(known)
        return [key for key in known if self.writer.has_saved(key)]

    def _crashes_to_keep(self) -> list[prompt_parts.PartCrash]:
        """Return the crashes to write again if a restore lost them."""
        is_rewriter = self._is_rewriter()
        return [
            crash
            for crash in self.parts.evidence.crashes(self._clock())
            if self.writer.has_saved(crash)
            or (is_rewriter and not self.parts.is_doubtful(crash))
        ]

    def _evidence_ms_ago(self, key: poison.Fingerprint) -> int | None:
        evidence_at = self.parts.evidence_at(key)
        if evidence_at is None:
            return None
        return round(1000 * (self._clock() - evidence_at))

    def _publish_report(
        self,
        fingerprint: poison.Fingerprint,
        crashes: list[poison.Crash],
        now: float,
    ) -> None:
        if self.exchange is None:
            return
        reported = [
            verdicts.ReportedCrash.from_crash(each, now) for each in crashes
        ]
        self.exchange.send(
            self.exchange.aggregators_of(fingerprint),
            verdicts.DeathReport(self._instance, fingerprint, tuple(reported)),
        )

    def _publish_verdict(
        self,
        fingerprint: poison.Fingerprint,
        remaining_ms: int,
        evidence_at: float | None = None,
    ) -> None:
        if self.exchange is not None:
            self._send_notice(
                self.exchange.live(), fingerprint, remaining_ms, evidence_at
            )

    def _send_notice(
        self,
        peers: list[registries.InstanceEntry],
        fingerprint: poison.Fingerprint,
        remaining_ms: int,
        evidence_at: float | None,
    ) -> None:
        assert self.exchange is not None
        evidence_ms_ago = None
        if evidence_at is not None:
            evidence_ms_ago = round(1000 * (self._clock() - evidence_at))
        self.exchange.send(
            peers,
            verdicts.QuarantineNotice(
                self._instance, fingerprint, remaining_ms, evidence_ms_ago
            ),
        )
