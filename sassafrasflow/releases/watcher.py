"""Watcher that every instance runs over the versions on trial.

It counts attempts, tells the peers, and blocks a candidate here as soon as
the evidence of all instances is strong, without waiting for the leader.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from loguru import logger
import msgspec

from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import generations
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow import periodic
from sassafrasflow.releases import book as books
from sassafrasflow.releases import collector as collectors
from sassafrasflow.releases import evidence as evidences
from sassafrasflow.releases import leader as leaders
from sassafrasflow.releases import placement as placements
from sassafrasflow.releases import rollout as rollouts
from sassafrasflow.releases import verdict as verdicts
from sassafrasflow.releases import workforce as workforces

__all__ = ["ReleaseWatcher", "WatcherPolicy"]

RUNNING_TTL_MS = 5_000
RUNNING_INTERVAL_S = 1.0
MS_PER_S = 1_000

RunningSource = Callable[[], Iterable[workforces.Running]]


class WatcherPolicy(msgspec.Struct, frozen=True):
    """Set how often instances look and tell."""

    interval_ms: int = 250
    judge: verdicts.JudgePolicy = verdicts.JudgePolicy()
    segments: int = collectors.CollectorPolicy().segments
    instances: int = 10


class ReleaseWatcher:
    """Look at the evidence on each interval, and let the leader step."""

    def __init__(
        self,
        instance: ids.InstanceId,
        keeper: configuration.ConfigurationKeeper,
        collector: collectors.Collector,
        book: books.EvidenceBook,
        workforce: workforces.Workforce,
        leader: leaders.ReleaseLeader,
        shared: membership.SharedState,
        running: RunningSource,
        policy: WatcherPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._instance = instance
        self._keeper = keeper
        self._collector = collector
        self._book = book
        self._workforce = workforce
        self._leader = leader
        self._shared = shared
        self._running = running
        self._policy = policy
        self._clock = clock
        self._running_due = 0.0
        self._told_running = False
        self._judged: dict[ids.ModelName, tuple[ids.NoteId, int]] = {}
        self._periodics = [
            periodic.Periodic("releases", step, self._interval_s)
            for step in (self._look_step, self._tick_step)
        ]
        keeper.listen(book.adopt)

    def start(self) -> None:
        """Begin to look in the background."""
        for repeated in self._periodics:
            repeated.start()

    async def close(self) -> None:
        """Stop looking."""
        await asyncio.gather(*(part.close() for part in self._periodics))

    def observe(self, outcome: generations.AttemptOutcome) -> None:
        """Count one attempt unless its version is blocked here."""
        if not self._keeper.ready:
            return
        held = self._collector.trials.get(outcome.model)
        if held is not None and self._book.is_blocked(
            outcome.model, held.trial.candidate
        ):
            return
        self._collector.observe(outcome)

    def look(self) -> None:
        """Tell the peers what was counted, and judge."""
        if not self._keeper.ready:
            return
        document = self._keeper.current
        self._book.publish()
        if document.withdrawn:
            self._tell_running(document)
        for model, trial in document.trials.items():
            if not self._book.is_blocked(model, trial.candidate):
                self._judge(model, trial)

    def _judge(self, model: ids.ModelName, trial: configuration.Trial) -> None:
        evidence = self._book.evidence(model)
        # Only events of the candidate can strengthen the evidence.
        judged = (trial.note, evidence.candidate_events())
        if self._judged.get(model) == judged:
            return
        self._judged[model] = judged
        judge = verdicts.Judge(
            self._policy.judge,
            self._policy.segments,
            looks=self._policy.instances,
        )
        verdict = judge.against(evidence)
        if verdict.finding is verdicts.Finding.HARMFUL:
            self._book.block(model, rollouts.describe(verdict))

    def _tell_running(self, document: configuration.Document) -> None:
        now = self._clock.monotonic()
        if now < self._running_due:
            return
        self._running_due = now + RUNNING_INTERVAL_S
        counts = [
            each
            for each in self._running()
            if each.version in document.withdrawn.get(each.model, ())
        ]
        # Silence means that nothing withdrawn runs here.
        if not counts and not self._told_running:
            return
        self._told_running = bool(counts)
        self._shared.publish(
            membership.Topic.EVIDENCE,
            f"{workforces.RUNNING_PREFIX}{self._instance}",
            msgspec.msgpack.encode(counts),
            version=int(self._clock.wall() * MS_PER_S),
            ttl_ms=RUNNING_TTL_MS,
        )

    def _interval_s(self) -> float:
        return self._policy.interval_ms / MS_PER_S

    async def _look_step(self) -> None:
        try:
            self.look()
        except exceptions.SassafrasflowError as exc:
            logger.warning("releases: Look failed: {}.", exc)

    async def _tick_step(self) -> None:
        self._count_crashes()
        await self._leader.tick()

    def _count_crashes(self) -> None:
        for holder in self._workforce.note_crashes():
            self._count_crash(holder)

    def _count_crash(self, holder: placements.Holder) -> None:
        # Only the leader counts restarts, because every instance sees them.
        if not self._leader.leads():
            return
        for model, held in self._collector.trials.items():
            if not holder.hosts(model):
                continue
            candidate = held.trial.candidate
            has = holder.has(model, candidate)
            key = evidences.SampleKey(
                collectors.segment_of(
                    held.trial, self._policy.segments, self._clock.wall()
                ),
                self._workforce.holder_share(model, candidate),
                evidences.Arm.CANDIDATE if has else evidences.Arm.BASELINE,
                holder.region,
                "",
                holder.target,
            )
            tally = held.evidence.tally(key)
            tally.add_event(evidences.Signal.CRASHES)
            held.changed_events.add(key.segment)
