"""Watcher of the versions on trial, which every instance runs.

The watcher counts attempts and publishes the counts to the peers. It blocks
a candidate at its instance as soon as the evidence of all instances shows
harm, without waiting for the leader.
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
from sassafrasflow.releases import collector as collectors
from sassafrasflow.releases import evidence as evidences
from sassafrasflow.releases import evidence_exchange as exchanges
from sassafrasflow.releases import leader as leaders
from sassafrasflow.releases import placement as placements
from sassafrasflow.releases import reconciler as reconcilers
from sassafrasflow.releases import rollout as rollouts
from sassafrasflow.releases import verdict as verdicts

__all__ = ["ReleaseWatcher", "WatcherPolicy"]

RUNNING_TTL_MS = 5_000
RUNNING_INTERVAL_S = 1.0
MS_PER_S = 1_000

RunningSource = Callable[[], Iterable[reconcilers.RunningCount]]


class WatcherPolicy(msgspec.Struct, frozen=True):
    """Interval of the checks, and parameters of the tests of evidence.

    ``instances`` is the number of instances that test independently.
    """

    interval_ms: int = 250
    evaluator: verdicts.EvaluatorPolicy = verdicts.EvaluatorPolicy()
    segments: int = collectors.CollectorPolicy().segments
    instances: int = 10


class ReleaseWatcher:
    """Check the evidence and run the leader periodically."""

    def __init__(
        self,
        instance: ids.InstanceId,
        keeper: configuration.ConfigurationKeeper,
        collector: collectors.Collector,
        evidence_exchange: exchanges.EvidenceExchange,
        reconciler: reconcilers.TargetReconciler,
        leader: leaders.ReleaseLeader,
        shared: membership.SharedState,
        running: RunningSource,
        policy: WatcherPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._instance = instance
        self._keeper = keeper
        self._collector = collector
        self._evidence_exchange = evidence_exchange
        self._reconciler = reconciler
        self._leader = leader
        self._shared = shared
        self._running = running
        self._policy = policy
        self._clock = clock
        self._running_due_at = 0.0
        self._has_published_running = False
        self._evaluated: dict[ids.ModelName, tuple[ids.NoteId, int]] = {}
        self._periodics = [
            periodic.Periodic("releases", step, self._interval_s)
            for step in (self._check_step, self._leader_step)
        ]
        keeper.add_listener(evidence_exchange.apply_document)

    def start(self) -> None:
        """Start the periodic tasks."""
        for task in self._periodics:
            task.start()

    async def close(self) -> None:
        """Stop the periodic tasks."""
        await asyncio.gather(
            *(periodic_task.close() for periodic_task in self._periodics)
        )

    def observe(self, outcome: generations.AttemptOutcome) -> None:
        """Count one attempt, unless the candidate of its model is blocked."""
        if not self._keeper.is_ready:
            return
        state = self._collector.trials.get(outcome.model)
        if state is not None and self._evidence_exchange.is_blocked(
            outcome.model, state.trial.candidate
        ):
            return
        self._collector.observe(outcome)

    def check(self) -> None:
        """Publish new evidence and block candidates that are harmful."""
        if not self._keeper.is_ready:
            return
        document = self._keeper.current
        self._evidence_exchange.publish()
        if document.withdrawn:
            self._publish_running(document)
        for model, trial in document.trials.items():
            if not self._evidence_exchange.is_blocked(model, trial.candidate):
                self._evaluate(model, trial)

    def _evaluate(
        self, model: ids.ModelName, trial: configuration.Trial
    ) -> None:
        evidence = self._evidence_exchange.evidence(model)
        # Only events of the candidate can strengthen the evidence, so it is
        # tested again only when their number has changed.
        evaluated = (trial.note, evidence.count_candidate_events())
        if self._evaluated.get(model) == evaluated:
            return
        self._evaluated[model] = evaluated
        evaluator = verdicts.Evaluator(
            self._policy.evaluator,
            self._policy.segments,
            evaluating_instances=self._policy.instances,
        )
        verdict = evaluator.evaluate_harm(evidence)
        if verdict.finding is verdicts.Finding.HARMFUL:
            self._evidence_exchange.block(
                model, rollouts.describe_harm(verdict)
            )

    def _publish_running(self, document: configuration.Document) -> None:
        now = self._clock.monotonic()
        if now < self._running_due_at:
            return
        self._running_due_at = now + RUNNING_INTERVAL_S
        counts = [
            each
            for each in self._running()
            if each.version in document.withdrawn.get(each.model, ())
        ]
        # An instance that publishes nothing runs no withdrawn version, so an
        # empty list is published only after a list with entries.
        if not counts and not self._has_published_running:
            return
        self._has_published_running = bool(counts)
        self._shared.publish(
            membership.Topic.EVIDENCE,
            f"{reconcilers.RUNNING_PREFIX}{self._instance}",
            msgspec.msgpack.encode(counts),
            version=int(self._clock.wall() * MS_PER_S),
            ttl_ms=RUNNING_TTL_MS,
        )

    def _interval_s(self) -> float:
        return self._policy.interval_ms / MS_PER_S

    async def _check_step(self) -> None:
        try:
            self.check()
        except exceptions.SassafrasflowError as exc:
            logger.warning("releases: Check failed: {}.", exc)

    async def _leader_step(self) -> None:
        self._count_crashes()
        await self._leader.tick()

    def _count_crashes(self) -> None:
        for snapshot in self._reconciler.record_crashes():
            self._count_crash(snapshot)

    def _count_crash(self, snapshot: placements.TargetSnapshot) -> None:
        # Every instance observes a restart, so only the leader counts it.
        if not self._leader.is_leader():
            return
        for model, state in self._collector.trials.items():
            if not snapshot.can_host(model):
                continue
            candidate = state.trial.candidate
            has_version = snapshot.has_version(model, candidate)
            key = evidences.SampleKey(
                collectors.segment_of(
                    state.trial, self._policy.segments, self._clock.wall()
                ),
                self._reconciler.holding_permille(model, candidate),
                evidences.Arm.CANDIDATE
                if has_version
                else evidences.Arm.BASELINE,
                snapshot.region,
                "",
                snapshot.target,
            )
            tally = state.evidence.tally(key)
            tally.add_event(evidences.Signal.CRASHES)
            state.changed_event_segments.add(key.segment)
