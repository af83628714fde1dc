"""Verdict: what the evidence says of a candidate at one look."""

from collections.abc import Iterable
import enum
import math

import msgspec

from sassafrasflow import sequential
from sassafrasflow.releases import evidence as evidences

__all__ = ["Finding", "Evaluator", "EvaluatorPolicy", "Verdict"]

Arm = evidences.Arm
Signal = evidences.Signal

SIGNALS = tuple(Signal)
OVERALL_WEIGHT = 0.5
REGION_WEIGHT = 0.25
ROUTE_WEIGHT = 0.25
LEAVE_ONE_OUT_TARGETS = 2
# Logarithm of the odds at which a rise against the past is suspicious.
SUSPICION_LOG_ODDS = 7.0
MIN_RATE = 0.005
MAX_RATE = 0.97


class Finding(enum.Enum):
    """Name what the evidence amounts to."""

    HARMFUL = "harmful"
    GOOD = "good"
    OPEN = "open"


class Verdict(msgspec.Struct, frozen=True):
    """Hold a finding, its signal and the strength of the evidence.

    ``log_evidence`` is the natural logarithm of the evidence against the
    candidate; ``missing`` names signals that need more samples.
    """

    finding: Finding
    signal: Signal | None = None
    log_evidence: float = 0.0
    missing: tuple[Signal, ...] = ()


class Margin(msgspec.Struct, frozen=True):
    """Tell which rise of an event's rate counts as harm."""

    rise: float
    odds_ratio: float


MARGINS = {
    Signal.FAILURES: Margin(0.08, 4.0),
    Signal.SLOW_FIRST: Margin(0.25, 6.0),
    Signal.SLOW_INTER: Margin(0.25, 6.0),
    Signal.ODD_LENGTHS: Margin(0.15, 6.0),
}


class EvaluatorPolicy(msgspec.Struct, frozen=True):
    """Set the error rates of the verdict.

    ``false_alarm`` bounds the chance that a good version is found harmful
    over a overall release, ``false_pass`` the chance that a harmful one
    passes a step.
    """

    false_alarm: float = 0.002
    false_pass: float = 0.02


class Evaluator:
    """Weigh evidence."""

    def __init__(
        self,
        policy: EvaluatorPolicy,
        planned_segments: int,
        evaluating_instances: int = 1,
    ) -> None:
        self._policy = policy
        self._planned_segments = planned_segments
        # Instances that look on their own share the chance of a false alarm.
        self._harm_threshold = math.log(
            evaluating_instances / policy.false_alarm
        )

    def evaluate_harm(self, evidence: evidences.Evidence) -> Verdict:
        """Return whether the candidate is harmful.

        One target may be broken by itself, so the evidence has to stand
        without the target that weighs most.
        """
        signal, weight = self._strongest(evidence)
        if weight < self._harm_threshold:
            return Verdict(Finding.OPEN, signal, weight)
        for target in evidence.worst_targets(LEAVE_ONE_OUT_TARGETS):
            rest = evidence.without_target(target)
            _, without = self._strongest(rest)
            if without < self._harm_threshold:
                return Verdict(Finding.OPEN, signal, without)
        return Verdict(Finding.HARMFUL, signal, weight)

    def find_suspicious_signal(
        self, evidence: evidences.Evidence, segment: int
    ) -> Signal | None:
        """Return the signal whose rate has risen against the past, if any.

        This looks at the candidate alone, so a suspicion may come from
        overload; it is reason to compare more closely, not to take back.
        """
        now = evidence.in_segment(segment).total(Arm.CANDIDATE)
        past = evidence.before_segment(segment)
        reference = past.total(Arm.BASELINE)
        reference.merge(past.total(Arm.CANDIDATE))
        for signal, margin in MARGINS.items():
            log_odds = -_log_safety(signal, margin, now, reference)
            if log_odds >= SUSPICION_LOG_ODDS:
                return signal
        return None

    def evaluate_safety(self, evidence: evidences.Evidence) -> Verdict:
        """Return whether the evidence of one step rules harm out.

        The target that weighs most is left out, as it is by ``against``.
        """
        for target in evidence.worst_targets(1):
            evidence = evidence.without_target(target)
        candidate = evidence.total(Arm.CANDIDATE)
        baseline = evidence.total(Arm.BASELINE)
        needed = math.log(1 / self._policy.false_pass)
        missing = tuple(
            signal
            for signal, margin in MARGINS.items()
            if _log_safety(signal, margin, candidate, baseline) < needed
        )
        finding = Finding.OPEN if missing else Finding.GOOD
        return Verdict(finding, missing=missing)

    def _strongest(self, evidence: evidences.Evidence) -> tuple[Signal, float]:
        tables = _by_scope(evidence)
        weights = {
            signal: self._log_evidence(tables[signal]) - math.log(len(Signal))
            for signal in Signal
        }
        strongest = max(Signal, key=lambda signal: weights[signal])
        return strongest, sequential.log_sum(list(weights.values()))

    def _log_evidence(self, scopes: "ScopeTable") -> float:
        terms = []
        for weight, part in (
            (OVERALL_WEIGHT, scopes.overall),
            (REGION_WEIGHT, scopes.regions),
            (ROUTE_WEIGHT, scopes.routes),
        ):
            for segments in part.values():
                log = sequential.log_evidence(
                    {
                        number: [
                            sequential.Counts(share, *pair)
                            for share, pair in shares.items()
                        ]
                        for number, shares in segments.items()
                    },
                    self._planned_segments,
                )
                terms.append((weight / len(part), log))
        return sequential.log_mean(terms)


Segments = dict[int, dict[int, list[int]]]


class ScopeTable:
    """Count the events of one signal in all, by region and by route."""

    def __init__(self, regions: Iterable[str], routes: Iterable[str]) -> None:
        self.overall: dict[str, Segments] = {"": {}}
        self.regions: dict[str, Segments] = {name: {} for name in regions}
        self.routes: dict[str, Segments] = {name: {} for name in routes}

    def add(self, key: evidences.SampleKey, share: int, events: int) -> None:
        """Count events of one sample in each scope that holds it."""
        arm_index = 0 if key.arm is Arm.CANDIDATE else 1
        for segments in (
            self.overall[""],
            self.regions[key.region],
            self.routes[key.route],
        ):
            shares = segments.setdefault(key.segment, {})
            shares.setdefault(share, [0, 0])[arm_index] += events


def _by_scope(evidence: evidences.Evidence) -> dict[Signal, ScopeTable]:
    regions = {key.region for key in evidence.tallies}
    routes = {key.route for key in evidence.tallies}
    tables = {signal: ScopeTable(regions, routes) for signal in Signal}
    for key, tally in evidence.tallies.items():
        for signal, events in zip(SIGNALS, tally.all_events(), strict=True):
            if events and 0 < key.share < evidences.PERMILLE:
                tables[signal].add(key, key.share, events)
    return tables


def _log_safety(
    signal: Signal,
    margin: Margin,
    candidate: evidences.Tally,
    baseline: evidences.Tally,
) -> float:
    trials, events = _count_trials_and_events(signal, candidate)
    baseline_counts = _count_trials_and_events(signal, baseline)
    base = min(
        max((baseline_counts[1] + 0.5) / (baseline_counts[0] + 1), MIN_RATE),
        MAX_RATE,
    )
    harm = _harmful_rate(base, margin)
    return -sequential.log_rate_ratio(trials, events, base, harm)


def _count_trials_and_events(
    signal: Signal, tally: evidences.Tally
) -> tuple[int, int]:
    events = tally.events(signal)
    if signal is Signal.FAILURES:
        events += tally.losses
    if signal is Signal.SLOW_FIRST:
        return tally.first_token_s.count, events
    if signal is Signal.SLOW_INTER:
        return tally.inter_token_s.count, events
    return tally.attempts, events


def _harmful_rate(base: float, margin: Margin) -> float:
    odds = margin.odds_ratio * base / (1 - base)
    return max(min(base + margin.rise, MAX_RATE), odds / (1 + odds))
