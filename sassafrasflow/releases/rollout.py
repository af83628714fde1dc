"""Decision on the next step of a release from the evidence and the time.

The plan is computed backwards from the deadline. The finishing phase starts
early enough for the old versions to drain. The watching, ramping and loading
phases come before it, with loading first.
"""

import enum

import msgspec

from sassafrasflow.releases import note as notes
from sassafrasflow.releases import verdict as verdicts

__all__ = [
    "Action",
    "Decision",
    "Plan",
    "Rollout",
    "RolloutPolicy",
    "Observations",
    "plan_rollout",
]

Phase = notes.Phase


class RolloutPolicy(msgspec.Struct, frozen=True):
    """Steps of the ramp and duration of each phase.

    The last share leaves a control group on the baseline, so that both
    versions stay comparable until the finish. A small control group gives
    little evidence, so a suspected signal above ``cautious_above_share``
    lowers the share by one step, at which both versions can be compared
    sooner. This happens at most ``max_cautions`` times.
    """

    shares: tuple[float, ...] = (0.05, 0.2, 0.5, 0.95)
    step_ms: int = 10_000
    watch_ms: int = 20_000
    finish_ms: int = 30_000
    load_ms: int = 10_000
    max_crash_looping: int = 1
    cautious_above_share: float = 0.5
    max_cautions: int = 2
    accept_without_evidence: bool = False

    @property
    def min_duration_s(self) -> float:
        """Return the minimum duration of a release, in seconds."""
        ramp_ms = self.step_ms * (len(self.shares) - 1)
        return (self.load_ms + ramp_ms + self.watch_ms + self.finish_ms) / 1000


class Plan(msgspec.Struct, frozen=True):
    """Latest Unix time at which each phase may begin."""

    ramp_by: float
    watch_by: float
    finish_at: float
    deadline: float


class Observations(msgspec.Struct, frozen=True):
    """What the leader observes of one note.

    ``harm`` and ``safety`` are the verdicts of the two tests of the
    evidence. ``suspected`` is a signal whose rate has risen. ``missing``
    names targets that still have to load or unload a version. ``unloaded``
    is true once the withdrawn versions are unloaded from every target.
    ``crash_looping`` counts the targets that crash repeatedly while they
    hold a candidate.
    """

    loaded: bool
    missing: str = ""
    harm: verdicts.Verdict = verdicts.Verdict(verdicts.Finding.OPEN)
    safety: verdicts.Verdict = verdicts.Verdict(verdicts.Finding.OPEN)
    suspected: verdicts.Signal | None = None
    blocked: str = ""
    crash_looping: int = 0
    unloaded: bool = True


class Action(enum.Enum):
    """Next action of the leader."""

    HOLD = "hold"
    STEP = "step"
    FINISH = "finish"
    END = "end"
    TAKE_BACK = "take_back"


class Decision(msgspec.Struct, frozen=True):
    """Next action, its reason, and the share and step of the ramp."""

    action: Action
    reason: str = ""
    share: float = 0.0
    step: int = -1


HOLD = Decision(Action.HOLD)


def plan_rollout(record: notes.NoteRecord, policy: RolloutPolicy) -> Plan:
    """Return the latest start of each phase for the deadline of a note."""
    deadline = record.body.deadline
    finish_at = deadline - policy.finish_ms / 1000
    watch_by = finish_at - policy.watch_ms / 1000
    ramp_s = policy.step_ms * (len(policy.shares) - 1) / 1000
    return Plan(watch_by - ramp_s, watch_by, finish_at, deadline)


class Rollout:
    """Decide the next action for one note."""

    def __init__(
        self, record: notes.NoteRecord, policy: RolloutPolicy
    ) -> None:
        self._record = record
        self._policy = policy
        self._plan = plan_rollout(record, policy)

    def decide(self, now: float, observed: Observations) -> Decision:
        """Return the decision that is due at a Unix time."""
        if self._record.phase is Phase.FINISHING:
            return self._decide_finishing(now, observed)
        if reason := self._take_back_reason(now, observed):
            return Decision(Action.TAKE_BACK, reason)
        if not self._has_candidate():
            return Decision(Action.FINISH, "nothing to compare")
        if self._record.phase is Phase.LOADING:
            return self._decide_loading(now, observed)
        if observed.suspected is not None and self._must_step_back(observed):
            return self._step_back(observed.suspected)
        if self._record.phase is Phase.RAMPING:
            return self._decide_ramping(now, observed)
        return self._decide_watching(now, observed)

    def _has_candidate(self) -> bool:
        return any(move.candidate for move in self._record.moves)

    def _has_comparison(self) -> bool:
        return any(
            move.candidate and move.baseline for move in self._record.moves
        )

    def _take_back_reason(self, now: float, observed: Observations) -> str:
        if observed.blocked:
            return f"blocked: {observed.blocked}"
        if observed.harm.finding is verdicts.Finding.HARMFUL:
            return describe_harm(observed.harm)
        if observed.crash_looping > self._policy.max_crash_looping:
            return (
                f"crash loop: {observed.crash_looping} targets keep crashing "
                "since they were told to load the candidate"
            )
        if now >= self._plan.deadline:
            return "the deadline passed before the release was finished"
        return ""

    def _decide_loading(self, now: float, observed: Observations) -> Decision:
        if not observed.loaded:
            if now < self._plan.ramp_by:
                return HOLD
            return Decision(
                Action.TAKE_BACK, f"not loaded in time: {observed.missing}"
            )
        if not self._has_comparison():
            return Decision(Action.FINISH, "loaded; no version to compare")
        return self._step_to(0, "loaded on every planned target")

    def _decide_ramping(self, now: float, observed: Observations) -> Decision:
        is_safe = observed.safety.finding is verdicts.Finding.GOOD
        if is_safe and observed.loaded and self._step_is_over(now):
            return self._next_step("enough evidence at the last share")
        latest = self._plan.watch_by
        if self._record.cautions:
            latest = self._plan.finish_at
        if now < latest:
            return HOLD
        return self._decide_without_evidence(observed, Action.STEP)

    def _decide_watching(self, now: float, observed: Observations) -> Decision:
        if now < self._plan.finish_at:
            return HOLD
        if observed.safety.finding is verdicts.Finding.GOOD:
            return Decision(Action.FINISH, "the watch ended without a fault")
        return self._decide_without_evidence(observed, Action.FINISH)

    def _decide_finishing(
        self, now: float, observed: Observations
    ) -> Decision:
        if observed.unloaded:
            return Decision(Action.END, "every change is in force")
        if now < self._plan.deadline:
            return HOLD
        return Decision(
            Action.END,
            "every change is in force; withdrawn versions get no work but "
            f"are still loaded: {observed.missing}",
        )

    def _decide_without_evidence(
        self, observed: Observations, action: Action
    ) -> Decision:
        if self._policy.accept_without_evidence:
            if action is Action.STEP:
                return self._next_step("the plan leaves no more time")
            return Decision(action, "accepted without enough evidence")
        missing = ", ".join(signal.value for signal in observed.safety.missing)
        return Decision(
            Action.TAKE_BACK,
            "not enough evidence in the time left, missing on: "
            f"{missing or 'the full share'}",
        )

    def _next_step(self, reason: str) -> Decision:
        last = len(self._policy.shares) - 1
        return self._step_to(min(self._record.step + 1, last), reason)

    def _step_to(self, step: int, reason: str) -> Decision:
        return Decision(Action.STEP, reason, self._policy.shares[step], step)

    def _must_step_back(self, observed: Observations) -> bool:
        step = self._record.step
        return (
            observed.suspected is not None
            and step > 0
            and self._policy.shares[step] > self._policy.cautious_above_share
            and self._record.cautions < self._policy.max_cautions
        )

    def _step_back(self, signal: verdicts.Signal) -> Decision:
        return self._step_to(
            self._record.step - 1,
            f"{signal.value.replace('_', ' ')} rose; comparing more closely",
        )

    def _step_is_over(self, now: float) -> bool:
        since_s = now - self._record.step_started_at
        return since_s >= self._policy.step_ms / 1000


def describe_harm(verdict: verdicts.Verdict) -> str:
    """Return the reason of a verdict that a candidate is harmful."""
    assert verdict.signal is not None
    odds = f"{verdict.log_evidence / 2.302585:.1f}"
    return (
        f"harmful: {verdict.signal.value.replace('_', ' ')}, "
        f"evidence 10^{odds} to 1 by the sequential test"
    )
