"""Leader that carries notes out while it holds the lease.

Every decision is read from the table, made by :class:`Rollout`, and
committed on the condition that neither the lease nor the note has changed.
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
from sassafrasflow.releases import book as books
from sassafrasflow.releases import changes
from sassafrasflow.releases import collector as collectors
from sassafrasflow.releases import desk
from sassafrasflow.releases import evidence as evidences
from sassafrasflow.releases import ledger as ledgers
from sassafrasflow.releases import note as notes
from sassafrasflow.releases import placement as placements
from sassafrasflow.releases import report as reports
from sassafrasflow.releases import rollout as rollouts
from sassafrasflow.releases import verdict as verdicts
from sassafrasflow.releases import workforce as workforces

__all__ = ["LeaderPolicy", "ReleaseLeader"]

Action = rollouts.Action
CRASHES_OF_A_LOOP = 2


class LeaderPolicy(msgspec.Struct, frozen=True):
    """Bundle the policies of the parts and the interval of reports."""

    rollout: rollouts.RolloutPolicy = rollouts.RolloutPolicy()
    judge: verdicts.JudgePolicy = verdicts.JudgePolicy()
    segments: int = collectors.CollectorPolicy().segments
    report_interval_ms: int = 5_000


class ReleaseLeader:
    """Advance every open note by one step at a time."""

    def __init__(
        self,
        ledger: ledgers.NoteLedger,
        publisher: configuration.ConfigurationPublisher,
        keeper: configuration.ConfigurationKeeper,
        lease: leases.LeaseKeeper,
        workforce: workforces.Workforce,
        book: books.EvidenceBook,
        policy: LeaderPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._ledger = ledger
        self._publisher = publisher
        self._keeper = keeper
        self._lease = lease
        self._workforce = workforce
        self._book = book
        self._policy = policy
        self._clock = clock
        self._judge = verdicts.Judge(policy.judge, policy.segments)
        self._verdicts: dict[
            tuple[ids.NoteId, ids.ModelName], tuple[int, verdicts.Verdict]
        ] = {}
        self._next_shares: dict[ids.ModelName, float] = {}
        self._reported_at: dict[ids.NoteId, float] = defaultdict(float)

    def leads(self) -> bool:
        """Tell whether this instance holds the lease."""
        return self._lease.held()

    async def tick(self) -> None:
        """Advance the notes and give the orders that are due."""
        if not self._lease.held():
            return
        try:
            await self._keeper.refresh()
            for stored in await self._ledger.open_notes():
                await self._advance(stored)
            await self._give_orders()
        except exceptions.LeaseLost as exc:
            logger.debug("releases: No orders: {}.", exc)
        except (
            exceptions.ConfigurationError,
            exceptions.PlatformError,
            exceptions.Refusal,
        ) as exc:
            logger.warning("releases: Step failed: {}.", exc)

    async def _advance(self, stored: ledgers.StoredNote) -> None:
        record = stored.record
        now = self._clock.wall()
        if record.state is notes.NoteState.ACCEPTED:
            await self._begin(stored, now)
            return
        situation = self._situation(record)
        rollout = rollouts.Rollout(record, self._policy.rollout)
        decision = rollout.decide(now, situation)
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
        stored: ledgers.StoredNote,
        decision: rollouts.Decision,
        now: float,
    ) -> None:
        record = self._with_report(stored.record, now, decision.reason)
        stored = ledgers.StoredNote(record, stored.row_version)
        if decision.action is Action.TAKE_BACK:
            await desk.end_by_take_back(
                self._ledger,
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

    async def _begin(self, stored: ledgers.StoredNote, now: float) -> None:
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
            stored, record, lambda known: changes.begin(record, known)
        )

    async def _step(
        self,
        stored: ledgers.StoredNote,
        decision: rollouts.Decision,
        now: float,
    ) -> None:
        step = decision.step
        last = len(self._policy.rollout.shares) - 1
        back = step < stored.record.step
        text = f"share {decision.share:.0%}: {decision.reason}"
        record = msgspec.structs.replace(
            stored.record.with_event(now, text),
            phase=notes.Phase.RAMPING if step < last else notes.Phase.WATCHING,
            step=step,
            step_started_at=now,
            cautions=stored.record.cautions + back,
        )
        await self._publish(
            stored,
            record,
            lambda known: changes.set_share(record, known, decision.share),
        )

    async def _finish(
        self,
        stored: ledgers.StoredNote,
        decision: rollouts.Decision,
        now: float,
    ) -> None:
        record = msgspec.structs.replace(
            stored.record.with_event(now, f"finishing: {decision.reason}"),
            phase=notes.Phase.FINISHING,
            step_started_at=now,
        )
        await self._publish(
            stored, record, lambda known: changes.finish(record, known)
        )

    async def _end(
        self,
        stored: ledgers.StoredNote,
        decision: rollouts.Decision,
        now: float,
    ) -> None:
        record = msgspec.structs.replace(
            stored.record.with_event(now, f"done: {decision.reason}"),
            state=notes.NoteState.DONE,
            reason=decision.reason,
            ended_at=now,
        )
        await self._ledger.end(stored, record, self._lease.condition())

    async def _publish(
        self,
        stored: ledgers.StoredNote,
        record: notes.NoteRecord,
        edit: configuration.Edit,
    ) -> None:
        await self._publisher.publish(
            edit,
            f"note {record.id}",
            [stored.condition(), self._lease.condition()],
            [ledgers.write_of(record)],
        )
        self._remember(stored, record)

    def _remember(
        self, stored: ledgers.StoredNote, record: notes.NoteRecord
    ) -> None:
        self._ledger.remember(
            ledgers.StoredNote(record, stored.row_version + 1)
        )

    async def _report(self, stored: ledgers.StoredNote, now: float) -> None:
        due = self._reported_at[stored.record.id]
        if now < due or stored.record.step < 0:
            return
        interval_s = self._policy.report_interval_ms / 1000
        self._reported_at[stored.record.id] = now + interval_s
        record = self._with_report(stored.record, now, "")
        await self._ledger.update(stored, record, self._lease.condition())

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
                move.model, self._book.evidence(move.model)
            )
        ]
        report = reports.Report(now, rule, tuple(lines))
        return msgspec.structs.replace(record, report=report)

    def _situation(self, record: notes.NoteRecord) -> rollouts.Situation:
        if record.phase is notes.Phase.FINISHING:
            return self._finishing(record)
        shares = self._policy.rollout.shares
        ahead = shares[min(record.step + 1, len(shares) - 1)]
        missing: list[ids.TargetId] = []
        against = []
        enough = []
        suspected: evidences.Signal | None = None
        blocked = ""
        crashing = 0
        for move in record.moves:
            if move.candidate is None:
                continue
            if move.baseline is None:
                ahead = 1.0
            self._next_shares[move.model] = ahead
            missing += self._workforce.shortfall(
                placements.Placement(move.model, move.candidate, ahead)
            )
            evidence = self._book.evidence(move.model)
            against.append(self._against(record, move, evidence))
            enough.append(self._enough(move, record, evidence))
            suspected = suspected or self._suspects(move, record, evidence)
            block = self._book.block_of(move.model)
            blocked = blocked or (block.reason if block else "")
            crashing += self._workforce.crash_looping(
                move.model, move.candidate, CRASHES_OF_A_LOOP
            )
        return rollouts.Situation(
            loaded=not missing,
            missing=", ".join(sorted(set(missing))),
            against=_first(against, verdicts.Finding.HARMFUL),
            enough=_first(enough, verdicts.Finding.OPEN),
            suspected=suspected,
            blocked=blocked,
            crash_looping=crashing,
        )

    def _finishing(self, record: notes.NoteRecord) -> rollouts.Situation:
        left = {
            target
            for move in record.moves
            for version in move.withdrawn
            for target in self._workforce.having(move.model, version)
        }
        return rollouts.Situation(
            loaded=True,
            missing=", ".join(sorted(left)),
            unloaded=not left,
        )

    def _against(
        self,
        record: notes.NoteRecord,
        move: notes.Move,
        evidence: evidences.Evidence,
    ) -> verdicts.Verdict:
        # Only events of the candidate can strengthen the evidence.
        name = (record.id, move.model)
        events = evidence.candidate_events()
        known = self._verdicts.get(name)
        if known is None or known[0] != events:
            known = (events, self._judge.against(evidence))
            self._verdicts[name] = known
        return known[1]

    def _suspects(
        self,
        move: notes.Move,
        record: notes.NoteRecord,
        evidence: evidences.Evidence,
    ) -> evidences.Signal | None:
        trial = self._keeper.current.trials.get(move.model)
        share = self._policy.rollout.shares[max(0, record.step)]
        if trial is None or share <= self._policy.rollout.caution_above:
            return None
        segment = collectors.segment_of(
            trial, self._policy.segments, self._clock.wall()
        )
        return self._judge.suspects(evidence, segment)

    def _enough(
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
        return self._judge.enough(evidence.at_share(share))

    async def _give_orders(self) -> None:
        document = self._keeper.current
        wanted = placements.placements_of(document, self._next_shares)
        await self._workforce.reconcile(wanted, document.withdrawn)


def _first(
    found: Sequence[verdicts.Verdict], finding: verdicts.Finding
) -> verdicts.Verdict:
    for verdict in found:
        if verdict.finding is finding:
            return verdict
    return found[0] if found else verdicts.Verdict(verdicts.Finding.OPEN)
