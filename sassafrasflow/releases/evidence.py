"""Evidence that instances count about a candidate and its baseline.

Evidence is a table of tallies. The tallies of several instances can be added
in any order and any part can be left out. The same table is therefore used
for the verdict, for the test without the worst target, and for the report
that operators and their board read.
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import math

import msgspec

from sassafrasflow import ids

__all__ = [
    "Arm",
    "Evidence",
    "Moments",
    "Sample",
    "SampleKey",
    "Signal",
    "Tally",
]

CONFIDENCE_Z = 1.96
PERMILLE = 1_000
AGGREGATED_TARGET = ids.TargetId("")


class Arm(enum.StrEnum):
    """Version under comparison that an attempt ran on."""

    CANDIDATE = "candidate"
    BASELINE = "baseline"


class Signal(enum.StrEnum):
    """Kind of event that may be evidence against a candidate."""

    FAILURES = "failures"
    LOSSES = "losses"
    CRASHES = "crashes"
    SLOW_FIRST = "slow_first"
    SLOW_INTER = "slow_inter"
    ODD_LENGTHS = "odd_lengths"


class Moments(msgspec.Struct, array_like=True):
    """Sums that determine a mean and its confidence interval."""

    count: int = 0
    total: float = 0.0
    squares: float = 0.0

    def add(self, value: float) -> None:
        """Add one value."""
        self.count += 1
        self.total += value
        self.squares += value * value

    def merge(self, other: "Moments") -> None:
        """Add the sums of other values."""
        self.count += other.count
        self.total += other.total
        self.squares += other.squares

    def confidence_interval(self) -> tuple[float, float, float] | None:
        """Return mean, lower and upper 95% bound, or ``None`` when empty."""
        if not self.count:
            return None
        mean = self.total / self.count
        variance = max(0.0, self.squares / self.count - mean * mean)
        half_width = CONFIDENCE_Z * math.sqrt(variance / self.count)
        return mean, mean - half_width, mean + half_width


class SampleKey(msgspec.Struct, frozen=True, array_like=True):
    """Key of a tally: which attempts and events it counts.

    ``segment`` is the index of one of the equal parts into which the time
    from the start of a trial to its deadline is divided. ``share`` is the
    probability, in permille, that an attempt or a target belongs to the
    candidate rather than the baseline.
    """

    segment: int
    share: int
    arm: Arm
    region: ids.Region
    route: str
    target: ids.TargetId


class Tally(msgspec.Struct, array_like=True):
    """Counts of attempts and events; the event fields are named by signal."""

    attempts: int = 0
    failures: int = 0
    losses: int = 0
    crashes: int = 0
    slow_first: int = 0
    slow_inter: int = 0
    odd_lengths: int = 0
    first_token_s: Moments = msgspec.field(default_factory=Moments)
    inter_token_s: Moments = msgspec.field(default_factory=Moments)

    def events(self, signal: Signal) -> int:
        """Return the number of events of one signal."""
        return getattr(self, signal.value)

    def add_event(self, signal: Signal) -> None:
        """Count one event."""
        setattr(self, signal.value, self.events(signal) + 1)

    def merge(self, other: "Tally") -> None:
        """Add the counts of another tally."""
        self.attempts += other.attempts
        self.failures += other.failures
        self.losses += other.losses
        self.crashes += other.crashes
        self.slow_first += other.slow_first
        self.slow_inter += other.slow_inter
        self.odd_lengths += other.odd_lengths
        self.first_token_s.merge(other.first_token_s)
        self.inter_token_s.merge(other.inter_token_s)

    def all_events(self) -> tuple[int, ...]:
        """Return the event counts in the order of :class:`Signal`."""
        return (
            self.failures,
            self.losses,
            self.crashes,
            self.slow_first,
            self.slow_inter,
            self.odd_lengths,
        )


class Sample(msgspec.Struct, array_like=True):
    """Tally with its key."""

    key: SampleKey
    tally: Tally


class Evidence:
    """Tallies by key."""

    def __init__(self, samples: Iterable[Sample] = ()) -> None:
        self.tallies: dict[SampleKey, Tally] = {}
        for sample in samples:
            self.tally(sample.key).merge(sample.tally)

    def tally(self, key: SampleKey) -> Tally:
        """Return the tally of a key, and create it if necessary."""
        return self.tallies.setdefault(key, Tally())

    def samples(self) -> list[Sample]:
        """Return all tallies with their keys, to store or send them."""
        return [Sample(key, tally) for key, tally in self.tallies.items()]

    def merge(self, other: "Evidence") -> None:
        """Add the tallies of another instance."""
        for key, tally in other.tallies.items():
            self.tally(key).merge(tally)

    def count_candidate_events(self) -> int:
        """Return the number of events of the candidate."""
        return sum(
            sum(tally.all_events())
            for key, tally in self.tallies.items()
            if key.arm is Arm.CANDIDATE
        )

    def filter(self, predicate: Callable[[SampleKey], bool]) -> "Evidence":
        """Return the tallies whose keys match; the tallies are not copied."""
        part = Evidence()
        part.tallies = {
            key: tally for key, tally in self.tallies.items() if predicate(key)
        }
        return part

    def without_target(self, target: ids.TargetId) -> "Evidence":
        """Return the evidence from all targets but one."""
        return self.filter(lambda key: key.target != target)

    def in_region(self, region: ids.Region) -> "Evidence":
        """Return the evidence from one region."""
        return self.filter(lambda key: key.region == region)

    def on_route(self, route: str) -> "Evidence":
        """Return the evidence from one route."""
        return self.filter(lambda key: key.route == route)

    def in_segment(self, segment: int) -> "Evidence":
        """Return the evidence that was counted in one segment."""
        return self.filter(lambda key: key.segment == segment)

    def before_segment(self, segment: int) -> "Evidence":
        """Return the evidence that was counted before a segment."""
        return self.filter(lambda key: key.segment < segment)

    def at_share(self, share: int) -> "Evidence":
        """Return the evidence that was counted at one share, in permille."""
        return self.filter(lambda key: key.share == share)

    def only_events(self) -> "Evidence":
        """Return copies of the tallies with events, without other counts."""
        part = Evidence()
        for key, tally in self.tallies.items():
            if any(tally.all_events()):
                copied = part.tally(key)
                copied.merge(tally)
                copied.attempts = 0
                copied.first_token_s = Moments()
                copied.inter_token_s = Moments()
        return part

    def only_attempts(self) -> "Evidence":
        """Return copies of the tallies without their events."""
        part = Evidence()
        for key, tally in self.tallies.items():
            copied = part.tally(key)
            copied.attempts = tally.attempts
            copied.first_token_s.merge(tally.first_token_s)
            copied.inter_token_s.merge(tally.inter_token_s)
        return part

    def aggregate_smallest_targets(self) -> bool:
        """Merge the half of the targets with fewest attempts and events.

        Return whether there was any target to merge.
        """
        weights: dict[ids.TargetId, int] = {}
        for key, tally in self.tallies.items():
            if key.target != AGGREGATED_TARGET:
                weight = tally.attempts + sum(tally.all_events())
                weights[key.target] = weights.get(key.target, 0) + weight
        ranked = sorted(weights, key=lambda target: weights[target])
        aggregated = set(ranked[: (len(ranked) + 1) // 2])
        previous, self.tallies = self.tallies, {}
        for key, tally in previous.items():
            if key.target in aggregated:
                key = msgspec.structs.replace(key, target=AGGREGATED_TARGET)
            self.tally(key).merge(tally)
        return bool(aggregated)

    def total(self, arm: Arm) -> Tally:
        """Return the sum over all keys of one arm."""
        total = Tally()
        for key, tally in self.tallies.items():
            if key.arm is arm:
                total.merge(tally)
        return total

    def worst_targets(self, count: int) -> list[ids.TargetId]:
        """Return the targets with most candidate events, worst first."""
        events: dict[ids.TargetId, int] = {}
        for key, tally in self.tallies.items():
            if key.arm is Arm.CANDIDATE and key.target != AGGREGATED_TARGET:
                weight = sum(tally.all_events())
                events[key.target] = events.get(key.target, 0) + weight
        return sorted(events, key=lambda t: -events[t])[:count]
