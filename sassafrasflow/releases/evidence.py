"""Evidence: what instances saw of a candidate and of its baseline.

Evidence is a table of tallies. Tallies of several instances add up in any
order, and any part can be left out, so the same table serves the verdict,
the check without the worst target, and the page that a board reads.
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
    """Name the version that an attempt ran on."""

    CANDIDATE = "candidate"
    BASELINE = "baseline"


class Signal(enum.StrEnum):
    """Name each kind of event that may speak against a candidate."""

    FAILURES = "failures"
    LOSSES = "losses"
    CRASHES = "crashes"
    SLOW_FIRST = "slow_first"
    SLOW_INTER = "slow_inter"
    ODD_LENGTHS = "odd_lengths"


class Moments(msgspec.Struct, array_like=True):
    """Hold the sums from which mean and confidence interval follow."""

    count: int = 0
    total: float = 0.0
    squares: float = 0.0

    def add(self, value: float) -> None:
        """Add one value."""
        self.count += 1
        self.total += value
        self.squares += value * value

    def merge(self, other: "Moments") -> None:
        """Add the values of another."""
        self.count += other.count
        self.total += other.total
        self.squares += other.squares

    def confidence_interval(self) -> tuple[float, float, float] | None:
        """Return the mean and its 95% interval, or ``None`` when empty."""
        if not self.count:
            return None
        mean = self.total / self.count
        spread = max(0.0, self.squares / self.count - mean * mean)
        half = CONFIDENCE_Z * math.sqrt(spread / self.count)
        return mean, mean - half, mean + half


class SampleKey(msgspec.Struct, frozen=True, array_like=True):
    """Name filter and when a tally was taken.

    ``share`` is the chance, in permille, that an attempt or a target belongs
    to the candidate rather than the baseline.
    """

    segment: int
    share: int
    arm: Arm
    region: ids.Region
    route: str
    target: ids.TargetId


class Tally(msgspec.Struct, array_like=True):
    """Count attempts and events; each field of events names a signal."""

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
        """Return the count of one signal."""
        return getattr(self, signal.value)

    def add_event(self, signal: Signal) -> None:
        """Count one event."""
        setattr(self, signal.value, self.events(signal) + 1)

    def merge(self, other: "Tally") -> None:
        """Add another tally."""
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
        """Return the counts in the order of :class:`Signal`."""
        return (
            self.failures,
            self.losses,
            self.crashes,
            self.slow_first,
            self.slow_inter,
            self.odd_lengths,
        )


class Sample(msgspec.Struct, array_like=True):
    """Pair a tally with its key."""

    key: SampleKey
    tally: Tally


class Evidence:
    """Hold tallies by key."""

    def __init__(self, samples: Iterable[Sample] = ()) -> None:
        self.tallies: dict[SampleKey, Tally] = {}
        for sample in samples:
            self.tally(sample.key).merge(sample.tally)

    def tally(self, key: SampleKey) -> Tally:
        """Return the tally of a key, empty when it is new."""
        return self.tallies.setdefault(key, Tally())

    def samples(self) -> list[Sample]:
        """Return all tallies, for storage or another instance."""
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

    def filter(self, wanted: Callable[[SampleKey], bool]) -> "Evidence":
        """Return the part whose keys are wanted; tallies are shared."""
        part = Evidence()
        part.tallies = {
            key: tally for key, tally in self.tallies.items() if wanted(key)
        }
        return part

    def without_target(self, target: ids.TargetId) -> "Evidence":
        """Return the part that other targets gave."""
        return self.filter(lambda key: key.target != target)

    def in_region(self, region: ids.Region) -> "Evidence":
        """Return the part that one region gave."""
        return self.filter(lambda key: key.region == region)

    def on_route(self, route: str) -> "Evidence":
        """Return the part that one route gave."""
        return self.filter(lambda key: key.route == route)

    def in_segment(self, segment: int) -> "Evidence":
        """Return the part that was taken in one segment."""
        return self.filter(lambda key: key.segment == segment)

    def before_segment(self, segment: int) -> "Evidence":
        """Return the part that was taken before a segment."""
        return self.filter(lambda key: key.segment < segment)

    def at_share(self, share: int) -> "Evidence":
        """Return the part that was taken at one share."""
        return self.filter(lambda key: key.share == share)

    def only_events(self) -> "Evidence":
        """Return copies of the tallies that hold events, without the rest."""
        part = Evidence()
        for key, tally in self.tallies.items():
            if any(tally.all_events()):
                mine = part.tally(key)
                mine.merge(tally)
                mine.attempts = 0
                mine.first_token_s = Moments()
                mine.inter_token_s = Moments()
        return part

    def only_attempts(self) -> "Evidence":
        """Return copies of the tallies without their events."""
        part = Evidence()
        for key, tally in self.tallies.items():
            mine = part.tally(key)
            mine.attempts = tally.attempts
            mine.first_token_s.merge(tally.first_token_s)
            mine.inter_token_s.merge(tally.inter_token_s)
        return part

    def aggregate_smallest_targets(self) -> bool:
        """Put half of the targets, those that weigh least, under one name.

        Return whether any target was left to fold.
        """
        weights: dict[ids.TargetId, int] = {}
        for key, tally in self.tallies.items():
            if key.target != AGGREGATED_TARGET:
                here = tally.attempts + sum(tally.all_events())
                weights[key.target] = weights.get(key.target, 0) + here
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
        """Return the targets with most events of the candidate."""
        events: dict[ids.TargetId, int] = {}
        for key, tally in self.tallies.items():
            if key.arm is Arm.CANDIDATE and key.target != AGGREGATED_TARGET:
                here = sum(tally.all_events())
                events[key.target] = events.get(key.target, 0) + here
        return sorted(events, key=lambda t: -events[t])[:count]
