"""Evaluation of the evidence for and against a candidate."""

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
# Natural logarithm of the odds from which a rise over earlier segments is
# suspicious.
SUSPICION_LOG_ODDS = 7.0
MIN_RATE = 0.005
MAX_RATE = 0.97


class Finding(enum.Enum):
    """Conclusion of a test of the evidence."""

    HARMFUL = "harmful"
    GOOD = "good"
    OPEN = "open"


class Verdict(msgspec.Struct, frozen=True):
    """Finding, its signal and the strength of the evidence.

    ``log_evidence`` is the natural logarithm of the evidence against the
    candidate. ``missing`` names the signals that need more samples.
    """

    finding: Finding
    signal: Signal | None = None
    log_evidence: float = 0.0
    missing: tuple[Signal, ...] = ()


class Margin(msgspec.Struct, frozen=True):
    """Increase in the rate of an event that counts as harm."""

    rise: float
    odds_ratio: float


MARGINS = {
    Signal.FAILURES: Margin(0.08, 4.0),
    Signal.SLOW_FIRST: Margin(0.25, 6.0),
    Signal.SLOW_INTER: Margin(0.25, 6.0),
    Signal.ODD_LENGTHS: Margin(0.15, 6.0),
}


class EvaluatorPolicy(msgspec.Struct, frozen=True):
    """Error rates of the tests.

    ``false_alarm`` bounds the probability that a good version is found
    harmful over a whole release. ``false_pass`` bounds the probability that
    a harmful version passes a step.
    """

    false_alarm: float = 0.002
    false_pass: float = 0.02


class Evaluator:
    """Test evidence for harm and for safety."""

    def __init__(
        self,
        policy: EvaluatorPolicy,
        planned_segments: int,
        evaluating_instances: int = 1,
    ) -> None:
        self._policy = policy
        self._planned_segments = planned_segments
        # The instances evaluate independently, so each one gets an equal part
        # of the probability of a false alarm.
        self._harm_threshold = math.log(
            evaluating_instances / policy.false_alarm
        )

    def evaluate_harm(self, evidence: evidences.Evidence) -> Verdict:
        """Return whether the candidate is harmful.

        A single target may be faulty whatever version it runs. The evidence
        must therefore stay above the threshold when any one of the targets
        with most events is left out.
        """
        signal, log_evidence = self._strongest_signal(evidence)
        if log_evidence < self._harm_threshold:
            return Verdict(Finding.OPEN, signal, log_evidence)
        for target in evidence.worst_targets(LEAVE_ONE_OUT_TARGETS):
            rest = evidence.without_target(target)
            _, log_without = self._strongest_signal(rest)
            if log_without < self._harm_threshold:
                return Verdict(Finding.OPEN, signal, log_without)
        return Verdict(Finding.HARMFUL, signal, log_evidence)

    def find_suspicious_signal(
        self, evidence: evidences.Evidence, segment: int
    ) -> Signal | None:
        """Return a signal whose rate has risen since earlier segments, if any.

        Only the candidate's rate is compared with the past, so the rise may
        come from overload. It justifies a closer comparison of both
        versions, but no take-back.
        """
        current = evidence.in_segment(segment).total(Arm.CANDIDATE)
        past = evidence.before_segment(segment)
        reference = past.total(Arm.BASELINE)
        reference.merge(past.total(Arm.CANDIDATE))
        for signal, margin in MARGINS.items():
            log_odds = -_log_safety(signal, margin, current, reference)
            if log_odds >= SUSPICION_LOG_ODDS:
                return signal
        return None

    def evaluate_safety(self, evidence: evidences.Evidence) -> Verdict:
        """Return whether the evidence of one step rules out harm.

        The target with most events of the candidate is left out, because it
        may be faulty by itself.
        """
        for target in evidence.worst_targets(1):
            evidence = evidence.without_target(target)
        candidate = evidence.total(Arm.CANDIDATE)
        baseline = evidence.total(Arm.BASELINE)
        min_log_safety = math.log(1 / self._policy.false_pass)
        missing = tuple(
            signal
            for signal, margin in MARGINS.items()
            if _log_safety(signal, margin, candidate, baseline)
            < min_log_safety
        )
        finding = Finding.OPEN if missing else Finding.GOOD
        return Verdict(finding, missing=missing)

    def _strongest_signal(
        self, evidence: evidences.Evidence
    ) -> tuple[Signal, float]:
        tables = _by_scope(evidence)
        log_by_signal = {
            signal: self._log_evidence(tables[signal]) - math.log(len(Signal))
            for signal in Signal
        }
        strongest = max(Signal, key=lambda signal: log_by_signal[signal])
        return strongest, sequential.log_sum(list(log_by_signal.values()))

    def _log_evidence(self, scopes: "ScopeTable") -> float:
        terms = []
        for weight, by_scope in (
            (OVERALL_WEIGHT, scopes.overall),
            (REGION_WEIGHT, scopes.regions),
            (ROUTE_WEIGHT, scopes.routes),
        ):
            for segments in by_scope.values():
                scope_evidence = sequential.log_evidence(
                    {
                        segment: [
                            sequential.Counts(share, *events_by_arm)
                            for share, events_by_arm in shares.items()
                        ]
                        for segment, shares in segments.items()
                    },
                    self._planned_segments,
                )
                terms.append((weight / len(by_scope), scope_evidence))
        return sequential.log_mean(terms)


# Events of [candidate, baseline], by segment and share in permille.
Segments = dict[int, dict[int, list[int]]]


class ScopeTable:
    """Events of one signal overall, by region and by route."""

    def __init__(self, regions: Iterable[str], routes: Iterable[str]) -> None:
        self.overall: dict[str, Segments] = {"": {}}
        self.regions: dict[str, Segments] = {name: {} for name in regions}
        self.routes: dict[str, Segments] = {name: {} for name in routes}

    def add(self, key: evidences.SampleKey, share: int, events: int) -> None:
        """Add the events of one sample to each scope that contains it."""
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
    samples, events = _count_samples_and_events(signal, candidate)
    baseline_counts = _count_samples_and_events(signal, baseline)
    baseline_rate = min(
        max((baseline_counts[1] + 0.5) / (baseline_counts[0] + 1), MIN_RATE),
        MAX_RATE,
    )
    harmful_rate = _harmful_rate(baseline_rate, margin)
    return -sequential.log_rate_ratio(
        samples, events, baseline_rate, harmful_rate
    )


def _count_samples_and_events(
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


def _harmful_rate(baseline_rate: float, margin: Margin) -> float:
    odds = margin.odds_ratio * baseline_rate / (1 - baseline_rate)
    return max(min(baseline_rate + margin.rise, MAX_RATE), odds / (1 + odds))
