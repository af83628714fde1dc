"""Collector that turns the outcomes of attempts into evidence."""

from collections.abc import Mapping
import enum

from hdrh import histogram
import msgspec

from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.generations import attempts
from sassafrasflow.releases import evidence as evidences

__all__ = [
    "Collector",
    "CollectorPolicy",
    "Thresholds",
    "segment_of",
    "TrialState",
    "share_of",
]

Arm = evidences.Arm
Signal = evidences.Signal

MICROSECONDS_PER_S = 1_000_000
LENGTH_RATIO_SCALE = 10_000
HISTOGRAM_MAX = 1_000_000_000
HISTOGRAM_DIGITS = 2


class CollectorPolicy(msgspec.Struct, frozen=True):
    """Rules by which attempts count as events.

    Failures at one target within ``burst_ms`` after a counted one are not
    counted.
    """

    segments: int = 16
    burst_ms: int = 2_000
    slow_percentile: float = 90.0
    slow_factor: float = 1.2
    odd_percentile: float = 2.5
    min_baseline_samples: int = 50


class Quantity(enum.Enum):
    """Quantity whose distribution is recorded for each version."""

    FIRST_TOKEN = "first_token"
    INTER_TOKEN = "inter_token"
    LENGTH = "length"


class Thresholds(msgspec.Struct, frozen=True):
    """Bounds beyond which an attempt is slow or of odd length."""

    first_token_s: float
    inter_token_s: float
    shortest_ratio: float
    longest_ratio: float


class VersionDistributions:
    """Record latencies and lengths of the attempts of one version."""

    def __init__(self) -> None:
        self._histograms = {
            quantity: histogram.HdrHistogram(
                1, HISTOGRAM_MAX, HISTOGRAM_DIGITS
            )
            for quantity in Quantity
        }

    def add(self, outcome: attempts.AttemptOutcome) -> None:
        """Record a completed attempt."""
        if outcome.first_token_s is not None:
            self._record(Quantity.FIRST_TOKEN, outcome.first_token_s)
        if outcome.inter_token_s is not None:
            self._record(Quantity.INTER_TOKEN, outcome.inter_token_s)
        ratio = LENGTH_RATIO_SCALE * length_ratio(outcome)
        self._histograms[Quantity.LENGTH].record_value(max(1, int(ratio)))

    def thresholds(self, policy: CollectorPolicy) -> Thresholds | None:
        """Return the thresholds, or ``None`` if there are too few samples."""
        lengths = self._histograms[Quantity.LENGTH]
        if lengths.get_total_count() < policy.min_baseline_samples:
            return None
        low = lengths.get_value_at_percentile(policy.odd_percentile)
        high = lengths.get_value_at_percentile(100 - policy.odd_percentile)
        return Thresholds(
            self._slow_limit(Quantity.FIRST_TOKEN, policy),
            self._slow_limit(Quantity.INTER_TOKEN, policy),
            # The histogram keeps two significant digits, so the thresholds
            # allow for the rounding to adjacent values.
            low / LENGTH_RATIO_SCALE * 0.98,
            high / LENGTH_RATIO_SCALE * 1.02,
        )

    def _slow_limit(
        self, quantity: Quantity, policy: CollectorPolicy
    ) -> float:
        value = self._histograms[quantity].get_value_at_percentile(
            policy.slow_percentile
        )
        return value * policy.slow_factor / MICROSECONDS_PER_S

    def _record(self, quantity: Quantity, seconds: float) -> None:
        value = int(seconds * MICROSECONDS_PER_S)
        self._histograms[quantity].record_value(
            min(max(1, value), HISTOGRAM_MAX)
        )


class ShareChange(msgspec.Struct, frozen=True):
    """Share, and the monotonic time at which it came into force."""

    at: float
    share: int


class TrialState:
    """State and evidence of one trial at one instance."""

    def __init__(self, trial: configuration.Trial) -> None:
        self.trial = trial
        self.evidence = evidences.Evidence()
        self.changed_event_segments: set[int] = set()
        self.changed_attempt_segments: set[int] = set()
        self.thresholds: Thresholds | None = None
        self.thresholds_segment = -1
        self.failed_requests: set[tuple[Arm, str]] = set()
        self.burst_until: dict[ids.TargetId, float] = {}
        self._shares: list[ShareChange] = []

    def record_share(self, now: float, share: int) -> None:
        """Record the share in force from a monotonic time on, in permille."""
        if not self._shares or self._shares[-1].share != share:
            self._shares.append(ShareChange(now, share))

    def share_at(self, moment: float) -> int:
        """Return the share, in permille, in force at a monotonic time."""
        for change in reversed(self._shares):
            if change.at <= moment:
                return change.share
        return 0


class Collector:
    """Count attempts and events of the versions on trial."""

    def __init__(
        self,
        region: ids.Region,
        policy: CollectorPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._region = region
        self._policy = policy
        self._clock = clock
        self._distributions: dict[
            tuple[ids.ModelName, ids.VersionId], VersionDistributions
        ] = {}
        self.trials: dict[ids.ModelName, TrialState] = {}

    def apply_document(self, document: configuration.Document) -> None:
        """Apply the trials and shares of a configuration document."""
        for model in list(self.trials):
            if self.trials[model].trial != document.trials.get(model):
                del self.trials[model]
        for model, trial in document.trials.items():
            if model not in self.trials:
                self.trials[model] = TrialState(trial)
            self.trials[model].record_share(
                self._clock.monotonic(),
                share_of(document.shares(model), trial),
            )

    def observe(self, outcome: attempts.AttemptOutcome) -> None:
        """Count one attempt."""
        state = self.trials.get(outcome.model)
        arm = None if state is None else arm_of(outcome.version, state.trial)
        if state is not None and arm is not None:
            self._count(state, arm, outcome)
        if outcome.failure is None:
            version_key = (outcome.model, outcome.version)
            if version_key not in self._distributions:
                self._distributions[version_key] = VersionDistributions()
            self._distributions[version_key].add(outcome)

    def _count(
        self,
        state: TrialState,
        arm: Arm,
        outcome: attempts.AttemptOutcome,
    ) -> None:
        segment = segment_of(
            state.trial, self._policy.segments, self._clock.wall()
        )
        key = evidences.SampleKey(
            segment,
            # The share that counts is the one in force when the attempt was
            # assigned to a version, not the present one.
            state.share_at(self._clock.monotonic() - outcome.duration_s),
            arm,
            self._region,
            outcome.route,
            outcome.target,
        )
        tally = state.evidence.tally(key)
        tally.attempts += 1
        state.changed_attempt_segments.add(segment)
        events = sum(tally.all_events())
        self._count_events(state, arm, outcome, tally, segment)
        if sum(tally.all_events()) > events:
            state.changed_event_segments.add(segment)

    def _count_events(
        self,
        state: TrialState,
        arm: Arm,
        outcome: attempts.AttemptOutcome,
        tally: evidences.Tally,
        segment: int,
    ) -> None:
        if outcome.failure is not None:
            self._count_failure(state, arm, outcome, tally)
            return
        self._count_latency(state, segment, outcome, tally)

    def _count_failure(
        self,
        state: TrialState,
        arm: Arm,
        outcome: attempts.AttemptOutcome,
        tally: evidences.Tally,
    ) -> None:
        # A request that fails on every target is no evidence about a version,
        # so each request counts once per arm.
        if (arm, outcome.fingerprint) in state.failed_requests:
            return
        state.failed_requests.add((arm, outcome.fingerprint))
        now = self._clock.monotonic()
        if now < state.burst_until.get(outcome.target, 0.0):
            return
        state.burst_until[outcome.target] = now + self._policy.burst_ms / 1000
        lost = outcome.failure is exceptions.RetryReason.CONNECTION_LOST
        tally.add_event(Signal.LOSSES if lost else Signal.FAILURES)

    def _count_latency(
        self,
        state: TrialState,
        segment: int,
        outcome: attempts.AttemptOutcome,
        tally: evidences.Tally,
    ) -> None:
        thresholds = self._thresholds(state, outcome.model, segment)
        if outcome.first_token_s is not None:
            tally.first_token_s.add(outcome.first_token_s)
            if thresholds and outcome.first_token_s > thresholds.first_token_s:
                tally.add_event(Signal.SLOW_FIRST)
        if outcome.inter_token_s is not None:
            tally.inter_token_s.add(outcome.inter_token_s)
            if thresholds and outcome.inter_token_s > thresholds.inter_token_s:
                tally.add_event(Signal.SLOW_INTER)
        ratio = length_ratio(outcome)
        if (
            thresholds
            and not thresholds.shortest_ratio
            <= ratio
            <= thresholds.longest_ratio
        ):
            tally.add_event(Signal.ODD_LENGTHS)

    def _thresholds(
        self, state: TrialState, model: ids.ModelName, segment: int
    ) -> Thresholds | None:
        # The thresholds stay fixed within a segment, so that they are computed
        # before the attempts that are compared with them.
        stale = state.thresholds_segment != segment
        if state.trial.baseline is None or not (
            stale or state.thresholds is None
        ):
            return state.thresholds
        distributions = self._distributions.get((model, state.trial.baseline))
        state.thresholds = (
            distributions.thresholds(self._policy) if distributions else None
        )
        state.thresholds_segment = segment
        return state.thresholds


def arm_of(version: ids.VersionId, trial: configuration.Trial) -> Arm | None:
    """Return the arm of a version, or ``None`` if it is not on trial."""
    if version == trial.candidate:
        return Arm.CANDIDATE
    return Arm.BASELINE if version == trial.baseline else None


def share_of(
    shares: Mapping[ids.VersionId, float], trial: configuration.Trial
) -> int:
    """Return the candidate's share of both versions' work, in permille."""
    candidate = shares.get(trial.candidate, 0.0)
    baseline = 0.0
    if trial.baseline is not None:
        baseline = shares.get(trial.baseline, 0.0)
    both = candidate + baseline
    return round(evidences.PERMILLE * candidate / both) if both else 0


def segment_of(trial: configuration.Trial, segments: int, now: float) -> int:
    """Return the index of the segment that contains a Unix time."""
    span = max(1.0, trial.deadline - trial.started_at)
    number = int(segments * (now - trial.started_at) / span)
    return min(max(0, number), segments - 1)


def length_ratio(outcome: attempts.AttemptOutcome) -> float:
    """Return the ratio of generated tokens to the limit of the request."""
    return outcome.tokens / max(1, outcome.max_tokens)
