"""Leader that carries out release notes while it holds the lease.

For each open note, the leader reads the record from the table, lets
:class:`Rollout` decide, and commits the result on the condition that neither
the lease nor the note has changed.
"""

from collections import defaultdict
from collections.abc import Sequence

from loguru import logger
import msgspec

from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import leases
from sassafrasflow.releases import changes
from sassafrasflow.releases import collector as collectors
from sassafrasflow.releases import evidence as evidences
from sassafrasflow.releases import evidence_exchange as exchanges
from sassafrasflow.releases import note as notes
from sassafrasflow.releases import note_manager as note_managers
from sassafrasflow.releases import note_store as note_stores
from sassafrasflow.releases import placement as placements
from sassafrasflow.releases import reconciler as reconcilers
from sassafrasflow.releases import report as reports
from sassafrasflow.releases import rollout as rollouts
from sassafrasflow.releases import verdict as verdicts

__all__ = ["LeaderPolicy", "ReleaseLeader"]

Action = rollouts.Action
MIN_LOOP_CRASHES = 2


class LeaderPolicy(msgspec.Struct, frozen=True):
    """Policies of a rollout and the interval of its reports."""

    rollout: rollouts.RolloutPolicy = rollouts.RolloutPolicy()
    evaluator: verdicts.EvaluatorPolicy = verdicts.EvaluatorPolicy()
    segments: int = collectors.CollectorPolicy().segments
    report_interval_ms: int = 5_000


class ReleaseLeader:
    """Advance every open note by one step per tick."""

    def __init__(
        self,
        note_store: note_stores.NoteStore,
        publisher: configuration.ConfigurationPublisher,
        keeper: configuration.ConfigurationKeeper,
        lease: leases.LeaseKeeper,
        reconciler: reconcilers.TargetReconciler,
        evidence_exchange: exchanges.EvidenceExchange,
        policy: LeaderPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._note_store = note_store
        self._publisher = publisher
        self._keeper = keeper
        self._lease = lease
        self._reconciler = reconciler
        self._evidence_exchange = evidence_exchange
        self._policy = policy
        self._clock = clock
        self._evaluator = verdicts.Evaluator(policy.evaluator, policy.segments)
        self._harm_verdicts: dict[
            tuple[ids.NoteId, ids.ModelName], tuple[int, verdicts.Verdict]
        ] = {}
        self._next_shares: dict[ids.ModelName, float] = {}
        self._report_due_at: dict[ids.NoteId, float] = defaultdict(float)

    def is_leader(self) -> bool:
        """Return whether this instance holds the lease."""
        return self._lease.is_held()

    async def tick(self) -> None:
        """Advance the open notes and send the orders that are due."""
        if not self._lease.is_held():
            return
        try:
            await self._keeper.refresh()
            for stored in await self._note_store.open_notes():
                await self._advance(stored)
            await self._send_orders()
        except exceptions.LeaseLost as exc:
            logger.debug("releases: No orders: {}.", exc)
        except (
            exceptions.ConfigurationError,
            exceptions.PlatformError,
            exceptions.Refusal,
        ) as exc:
            logger.warning("releases: Step failed: {}.", exc)

    async def _advance(self, stored: note_stores.StoredNote) -> None:
        record = stored.record
        now = self._clock.wall()
        if record.state is notes.NoteState.ACCEPTED:
            await self._begin(stored, now)
            return
        observations = self._observations_of(record)
        rollout = rollouts.Rollout(record, self._policy.rollout)
        decision = rollout.decide(now, observations)
        if decision.action is Action.HOLD:
            await self._report(stored, now)
            return
        logger.info(
            "releases: Note {}: {}, {}.",
            record.id,
            decision.action.value,
            decision.reason,
        )
        await self._carry_out(stored, decision, now)

    async def _carry_out(
        self,
        stored: note_stores.StoredNote,
        decision: rollouts.Decision,
        now: float,
    ) -> None:
        record = self._with_report(stored.record, now, decision.reason)
        stored = note_stores.StoredNote(record, stored.row_version)
        if decision.action is Action.TAKE_BACK:
            await note_managers.take_back_note(
                self._note_store,
                self._publisher,
                stored,
                decision.reason,
                now,
                self._lease.condition(),
            )
        elif decision.action is Action.STEP:
            await self._step(stored, decision, now)
        elif decision.action is Action.FINISH:
            await self._finish(stored, decision, now)
        else:
            await self._end(stored, decision, now)

    async def _begin(self, stored: note_stores.StoredNote, now: float) -> None:
        document = self._keeper.current
        body = stored.record.body
        moves = notes.moves_of(body, document)
        record = msgspec.structs.replace(
            stored.record.with_event(now, "started"),
            state=notes.NoteState.RUNNING,
            phase=notes.Phase.LOADING,
            started_at=now,
            moves=moves,
            before={
                move.model: document.models[move.model]
                for move in moves
                if move.model in document.models
            },
            settings_before={
                change.setting: document.settings.get(change.setting)
                for change in body.changes
                if change.setting is not None
            },
        )
        await self._publish(
            stored, record, lambda document: changes.begin(record, document)
        )

    async def _step(
        self,
        stored: note_stores.StoredNote,
        decision: rollouts.Decision,
        now: float,
    ) -> None:
        step = decision.step
        last = len(self._policy.rollout.shares) - 1
        is_step_back = step < stored.record.step
        text = f"share {decision.share:.0%}: {decision.reason}"
        record = msgspec.structs.replace(
            stored.record.with_event(now, text),
            phase=notes.Phase.RAMPING if step < last else notes.Phase.WATCHING,
            step=step,
            step_started_at=now,
            cautions=stored.record.cautions + is_step_back,
        )
        await self._publish(
            stored,
            record,
            lambda document: changes.set_share(
                record, document, decision.share
            ),
        )

    async def _finish(
        self,
        stored: note_stores.StoredNote,
        decision: rollouts.Decision,
        now: float,
    ) -> None:
        record = msgspec.structs.replace(
            stored.record.with_event(now, f"finishing: {decision.reason}"),
            phase=notes.Phase.FINISHING,
            step_started_at=now,
        )
        await self._publish(
            stored, record, lambda document: changes.finish(record, document)
        )

    async def _end(
        self,
        stored: note_stores.StoredNote,
        decision: rollouts.Decision,
        now: float,
    ) -> None:
        record = msgspec.structs.replace(
            stored.record.with_event(now, f"done: {decision.reason}"),
            state=notes.NoteState.DONE,
            reason=decision.reason,
            ended_at=now,
        )
        await self._note_store.end(stored, record, self._lease.condition())

    async def _publish(
        self,
        stored: note_stores.StoredNote,
        record: notes.NoteRecord,
        edit: configuration.Edit,
    ) -> None:
        await self._publisher.publish(
            edit,
            f"note {record.id}",
            [stored.condition(), self._lease.condition()],
            [note_stores.note_write(record)],
        )
        self._cache_and_publish(stored, record)

    def _cache_and_publish(
        self, stored: note_stores.StoredNote, record: notes.NoteRecord
    ) -> None:
        self._note_store.cache_and_publish(
            note_stores.StoredNote(record, stored.row_version + 1)
        )

    async def _report(
        self, stored: note_stores.StoredNote, now: float
    ) -> None:
        due_at = self._report_due_at[stored.record.id]
        if now < due_at or stored.record.step < 0:
            return
        interval_s = self._policy.report_interval_ms / 1000
        self._report_due_at[stored.record.id] = now + interval_s
        record = self._with_report(stored.record, now, "")
        await self._note_store.update(stored, record, self._lease.condition())

    def _with_report(
        self, record: notes.NoteRecord, now: float, rule: str
    ) -> notes.NoteRecord:
        if record.phase is notes.Phase.FINISHING:
            return record
        lines = [
            line
            for move in record.moves
            if move.candidate is not None
            for line in reports.report_of(
                move.model, self._evidence_exchange.evidence(move.model)
            )
        ]
        report = reports.Report(now, rule, tuple(lines))
        return msgspec.structs.replace(record, report=report)

    def _observations_of(
        self, record: notes.NoteRecord
    ) -> rollouts.Observations:
        if record.phase is notes.Phase.FINISHING:
            return self._finishing_observations(record)
        shares = self._policy.rollout.shares
        next_share = shares[min(record.step + 1, len(shares) - 1)]
        missing: list[ids.TargetId] = []
        harm_verdicts = []
        safety_verdicts = []
        suspected: evidences.Signal | None = None
        blocked = ""
        crash_looping = 0
        for move in record.moves:
            if move.candidate is None:
                continue
            if move.baseline is None:
                next_share = 1.0
            self._next_shares[move.model] = next_share
            missing += self._reconciler.shortfall(
                placements.Placement(move.model, move.candidate, next_share)
            )
            evidence = self._evidence_exchange.evidence(move.model)
            harm_verdicts.append(self._evaluate_harm(record, move, evidence))
            safety_verdicts.append(
                self._evaluate_safety(move, record, evidence)
            )
            suspected = suspected or self._find_suspicious_signal(
                move, record, evidence
            )
            block = self._evidence_exchange.block_of(move.model)
            blocked = blocked or (block.reason if block else "")
            crash_looping += self._reconciler.count_crash_looping(
                move.model, move.candidate, MIN_LOOP_CRASHES
            )
        return rollouts.Observations(
            loaded=not missing,
            missing=", ".join(sorted(set(missing))),
            harm=_first_with(harm_verdicts, verdicts.Finding.HARMFUL),
            safety=_first_with(safety_verdicts, verdicts.Finding.OPEN),
            suspected=suspected,
            blocked=blocked,
            crash_looping=crash_looping,
        )

    def _finishing_observations(
        self, record: notes.NoteRecord
    ) -> rollouts.Observations:
        still_loaded = {
            target
            for move in record.moves
            for version in move.withdrawn
            for target in self._reconciler.targets_with(move.model, version)
        }
        return rollouts.Observations(
            loaded=True,
            missing=", ".join(sorted(still_loaded)),
            unloaded=not still_loaded,
        )

    def _evaluate_harm(
        self,
        record: notes.NoteRecord,
        move: notes.Move,
        evidence: evidences.Evidence,
    ) -> verdicts.Verdict:
        # Only events of the candidate can strengthen the evidence, so the
        # verdict is cached by their number.
        cache_key = (record.id, move.model)
        events = evidence.count_candidate_events()
        cached = self._harm_verdicts.get(cache_key)
        if cached is None or cached[0] != events:
            cached = (events, self._evaluator.evaluate_harm(evidence))
            self._harm_verdicts[cache_key] = cached
        return cached[1]

    def _find_suspicious_signal(
        self,
        move: notes.Move,
        record: notes.NoteRecord,
        evidence: evidences.Evidence,
    ) -> evidences.Signal | None:
        trial = self._keeper.current.trials.get(move.model)
        share = self._policy.rollout.shares[max(0, record.step)]
        if trial is None or share <= self._policy.rollout.cautious_above_share:
            return None
        segment = collectors.segment_of(
            trial, self._policy.segments, self._clock.wall()
        )
        return self._evaluator.find_suspicious_signal(evidence, segment)

    def _evaluate_safety(
        self,
        move: notes.Move,
        record: notes.NoteRecord,
        evidence: evidences.Evidence,
    ) -> verdicts.Verdict:
        if move.baseline is None or record.step < 0:
            return verdicts.Verdict(verdicts.Finding.GOOD)
        trial = self._keeper.current.trials.get(move.model)
        if trial is None:
            return verdicts.Verdict(verdicts.Finding.OPEN)
        share = collectors.share_of(
            self._keeper.current.shares(move.model), trial
        )
        return self._evaluator.evaluate_safety(evidence.at_share(share))

    async def _send_orders(self) -> None:
        document = self._keeper.current
        wanted = placements.placements_of(document, self._next_shares)
        await self._reconciler.reconcile(wanted, document.withdrawn)


def _first_with(
    all_verdicts: Sequence[verdicts.Verdict], finding: verdicts.Finding
) -> verdicts.Verdict:
    for verdict in all_verdicts:
        if verdict.finding is finding:
            return verdict
    return (
        all_verdicts[0]
        if all_verdicts
        else verdicts.Verdict(verdicts.Finding.OPEN)
    )
