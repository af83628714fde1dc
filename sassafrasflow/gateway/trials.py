"""Evidence on a new version: what all instances saw of it and of the old.

Each instance counts for itself and tells its counts, which only grow, so a
repeated or lost message does no harm and a later one makes it good.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import enum
import math

import msgspec

from sassafrasflow import ids
from sassafrasflow import sequential

__all__ = [
    "Cell",
    "Evidence",
    "Finding",
    "Report",
    "Tally",
    "evaluate",
]

# Odds of 1,000 to 1 for harm; with routes, signals and looks this gave no
# false alarm in 400 played rollouts of a sound version.
HARMFUL_LOG_ODDS = math.log(1000)
# Odds of 20 to 1 against harm, and those that are accepted when traffic is
# too low for more before the deadline.
PASSED_LOG_ODDS = -math.log(20)
LIKELY_LOG_ODDS = -math.log(4.5)
# Odds for harm in the last answers that call for more trials.
DOUBTFUL_LOG_ODDS = math.log(4.5)
# A fault that shows late is diluted by the answers before it, so those of
# this time are judged on their own as well.
RECENT_WINDOW_S = 5.0
SNAPSHOT_INTERVAL_S = 0.5
# Recent answers of the old version to compare with, or else all of them.
MIN_RECENT_OLD_ANSWERS = 20
# Rises over the old version's rate that count as harm.
FAILURE_RATE_RISE = 0.15
SLOW_RATE_RISE = 0.25
MIN_RATE = 0.005
MAX_RATE = 0.8
# Paces are half powers of two; bad versions answer several times slower,
# and load alone hardly makes three steps above the median.
BUCKETS_PER_DOUBLING = 2
SLOW_BUCKETS = 2
MIN_LATENCY_S = 0.001
# A kind of request with this share of the answers is looked at on its own.
RELEVANT_SHARE = 0.05
MIN_TRIALS_PER_KIND = 6


class Finding(enum.Enum):
    """Tell what the evidence says of a version."""

    OPEN = "open"
    # Sound as far as it was tried, which was not much.
    LIKELY = "likely"
    GOOD = "good"
    HARMFUL = "harmful"
    # Faults have shown lately; it takes more trials to tell.
    DOUBTFUL = "doubtful"

    @property
    def passed(self) -> bool:
        """Tell whether all requests may go to the version."""
        return self in (Finding.GOOD, Finding.LIKELY)


_Sums = dict[tuple[str, ids.TargetId | None], "Tally"]


class Tally(msgspec.Struct, array_like=True):
    """Count answers, failures, and how long the others took."""

    answers: int = 0
    failures: int = 0
    # Answers by half powers of two of the seconds that they took.
    counts_by_bucket: dict[int, int] = msgspec.field(default_factory=dict)

    def add(self, other: "Tally") -> None:
        """Add the counts of another tally."""
        self.answers += other.answers
        self.failures += other.failures
        for bucket, count in other.counts_by_bucket.items():
            self.counts_by_bucket[bucket] = (
                self.counts_by_bucket.get(bucket, 0) + count
            )

    def since(self, old: "Tally") -> "Tally":
        """Return what was counted after older counts."""
        counts_by_bucket = {
            bucket: count - old.counts_by_bucket.get(bucket, 0)
            for bucket, count in self.counts_by_bucket.items()
        }
        return Tally(
            self.answers - old.answers,
            self.failures - old.failures,
            counts_by_bucket,
        )

    @property
    def timed(self) -> int:
        """Return how many answers were timed."""
        return sum(self.counts_by_bucket.values())

    def median_bucket(self) -> int | None:
        """Return the bucket of the middle answer."""
        left = self.timed / 2
        for bucket, count in sorted(self.counts_by_bucket.items()):
            left -= count
            if left <= 0:
                return bucket
        return None

    def slower_than(self, bucket: int) -> int:
        """Return how many answers took longer."""
        return sum(
            count
            for found, count in self.counts_by_bucket.items()
            if found > bucket
        )


class Cell(msgspec.Struct, frozen=True, array_like=True):
    """Hold the counts of one kind of request at one new target.

    Counts of the old version name no target.
    """

    kind: str
    target: ids.TargetId | None
    tally: Tally


class Report(msgspec.Struct, frozen=True, array_like=True, tag="trials"):
    """Tell the leaders what an instance has sent and seen."""

    sender: ids.InstanceId
    # Differs between two starts of an instance.
    started_ms: int
    service: ids.ServiceName
    order_revision: int
    requests: int
    # Requests that the new version got.
    exposed: int
    cells: tuple[Cell, ...]


class Evidence:
    """Add up this instance's counts and the newest of each other."""

    def __init__(self) -> None:
        # Counts that were saved, maybe by instances that are gone.
        self._saved: tuple[Cell, ...] = ()
        self._local: dict[tuple[str, ids.TargetId | None], Tally] = {}
        self._by_peer_start: dict[
            tuple[ids.InstanceId, int],
            dict[tuple[str, ids.TargetId | None], Tally],
        ] = {}
        # Sums at some times, the oldest first.
        self._snapshots: collections.deque[tuple[float, _Sums]] = (
            collections.deque()
        )

    def record_answer(
        self,
        kind: str,
        target: ids.TargetId | None,
        *,
        failed: bool,
        took_s: float | None = None,
    ) -> None:
        """Count an answer; ``target`` is ``None`` for the old version."""
        tally = self._local.setdefault((kind, target), Tally())
        tally.answers += 1
        tally.failures += failed
        if not failed and took_s is not None:
            bucket = _latency_bucket(took_s)
            tally.counts_by_bucket[bucket] = (
                tally.counts_by_bucket.get(bucket, 0) + 1
            )

    def local_cells(self) -> list[Cell]:
        """Return this instance's counts."""
        return [
            Cell(kind, target, tally)
            for (kind, target), tally in self._local.items()
        ]

    def apply_counts(
        self,
        sender: ids.InstanceId,
        started_ms: int,
        cells: Iterable[Cell],
    ) -> None:
        """Take the newest counts of another instance's lifetime."""
        known = self._by_peer_start.setdefault((sender, started_ms), {})
        for cell in cells:
            old = known.get((cell.kind, cell.target))
            if old is None or cell.tally.answers >= old.answers:
                known[cell.kind, cell.target] = cell.tally

    def restore(self, cells: tuple[Cell, ...]) -> None:
        """Take counts that were saved."""
        self._saved = cells

    def trial_count(self, kind: str) -> int:
        """Return this instance's answers of the new version."""
        return sum(
            tally.answers
            for (found, target), tally in self._local.items()
            if found == kind and target is not None
        )

    def relevant_kinds(self) -> list[str]:
        """Return the kinds of request that this instance meets often."""
        _, old = _split_by_version(self.local_cells())
        return _relevant_kinds(old)

    def cells(self) -> list[Cell]:
        """Return all counts, summed over the instances.

        Saved counts hold what is heard as well, so the larger sum is
        taken: after all instances were killed that is the saved one.
        """
        live = self._live_cells()
        if _total(live).answers >= _total(self._saved).answers:
            return live
        return list(self._saved)

    def recent_cells(self, now: float) -> list[Cell]:
        """Return the counts of the last seconds, over the instances."""
        sums = self._sums()
        snapshots = self._snapshots
        if not snapshots or now - snapshots[-1][0] >= SNAPSHOT_INTERVAL_S:
            snapshots.append((now, sums))
        while len(snapshots) > 1 and now - snapshots[1][0] >= RECENT_WINDOW_S:
            snapshots.popleft()
        before = snapshots[0][1]
        return [
            Cell(
                kind, target, tally.since(before.get((kind, target), Tally()))
            )
            for (kind, target), tally in sums.items()
        ]

    def _live_cells(self) -> list[Cell]:
        return [
            Cell(kind, target, tally)
            for (kind, target), tally in self._sums().items()
        ]

    def _sums(self) -> "_Sums":
        total: _Sums = {}
        for part in (self._local, *self._by_peer_start.values()):
            for key, tally in part.items():
                total.setdefault(key, Tally()).add(tally)
        return total


def evaluate(
    cells: Iterable[Cell], recent_cells: Iterable[Cell] = ()
) -> Finding:
    """Compare a new version with the old one.

    Load: a version that fails or slows down from the start, later, or on
    one kind of request only; and a sound one beside a broken target. So
    each kind is looked at on its own as well, and harm has to show without
    the target that has most of it.
    """
    new, old = _split_by_version(cells)
    recent, compared = _split_by_version(recent_cells)
    if _total(compared).answers < MIN_RECENT_OLD_ANSWERS:
        compared = old
    if _shows_harm(new, old) or _shows_harm(recent, compared):
        return Finding.HARMFUL
    lately = max(_log_odds(_without_worst_target(recent, compared), compared))
    if lately > DOUBTFUL_LOG_ODDS:
        return Finding.DOUBTFUL
    rest = _without_worst_target(new, old)
    odds = max(_log_odds(rest, old))
    if odds > LIKELY_LOG_ODDS:
        return Finding.OPEN
    if odds <= PASSED_LOG_ODDS and all(
        _is_tried(_of_kind(rest, kind), _of_kind(old, kind))
        for kind in _relevant_kinds(old)
    ):
        return Finding.GOOD
    return Finding.LIKELY


def _split_by_version(cells: Iterable[Cell]) -> tuple[list[Cell], list[Cell]]:
    """Return the counts of the new version and those of the old one."""
    cells = list(cells)
    return (
        [cell for cell in cells if cell.target is not None],
        [cell for cell in cells if cell.target is None],
    )


def _shows_harm(new: list[Cell], old: list[Cell]) -> bool:
    """Tell whether a version is harmful, at large or on a kind."""
    return _is_harmful(new, old) or any(
        _is_harmful(_of_kind(new, kind), _of_kind(old, kind))
        for kind in {cell.kind for cell in new}
    )


def _is_harmful(new: list[Cell], old: list[Cell]) -> bool:
    if max(_log_odds(new, old)) < HARMFUL_LOG_ODDS:
        return False
    rest = _without_worst_target(new, old)
    return max(_log_odds(rest, old)) >= HARMFUL_LOG_ODDS


def _without_worst_target(new: list[Cell], old: list[Cell]) -> list[Cell]:
    """Leave out the target with most faults, which may be broken itself."""
    targets = {cell.target for cell in new}
    if len(targets) < 2:
        return new
    worst = max(
        targets,
        # Of several with as many, the one that had most answers: what is
        # left then speaks most clearly. The id makes all instances agree.
        key=lambda target: (
            _count_faults(new, old, target),
            _count_answers(new, target),
            target,
        ),
    )
    if not _count_faults(new, old, worst):
        return new
    return [cell for cell in new if cell.target != worst]


def _is_tried(new: list[Cell], old: list[Cell]) -> bool:
    return _total(new).answers >= MIN_TRIALS_PER_KIND and (
        max(_log_odds(new, old)) <= 0
    )


def _relevant_kinds(old: list[Cell]) -> list[str]:
    total = _total(old).answers
    return [
        cell.kind
        for cell in old
        if cell.tally.answers >= RELEVANT_SHARE * total
    ]


def _count_faults(
    cells: list[Cell], old: list[Cell], target: ids.TargetId | None
) -> int:
    return sum(
        cell.tally.failures + _count_slow([cell], old)[1]
        for cell in cells
        if cell.target == target
    )


def _count_answers(cells: list[Cell], target: ids.TargetId | None) -> int:
    return sum(cell.tally.answers for cell in cells if cell.target == target)


def _of_kind(cells: Sequence[Cell], kind: str) -> list[Cell]:
    return [cell for cell in cells if cell.kind == kind]


def _total(cells: Sequence[Cell]) -> Tally:
    total = Tally()
    for cell in cells:
        total.add(cell.tally)
    return total


def _log_odds(new: list[Cell], old: list[Cell]) -> tuple[float, float]:
    """Return the log odds for harm by failures and by slow answers."""
    ours, known = _total(new), _total(old)
    return (
        _log_odds_of_rise(
            (ours.answers, ours.failures),
            (known.answers, known.failures),
            FAILURE_RATE_RISE,
        ),
        _log_odds_of_rise(
            _count_slow(new, old), _count_slow(old, old), SLOW_RATE_RISE
        ),
    )


def _count_slow(cells: list[Cell], old: list[Cell]) -> tuple[int, int]:
    """Return timed and slow answers, against the old median of each kind."""
    timed = slow = 0
    for kind in {cell.kind for cell in cells}:
        median = _total(_of_kind(old, kind)).median_bucket()
        if median is not None:
            tally = _total(_of_kind(cells, kind))
            timed += tally.timed
            slow += tally.slower_than(median + SLOW_BUCKETS)
    return timed, slow


def _latency_bucket(took_s: float) -> int:
    return round(BUCKETS_PER_DOUBLING * math.log2(max(MIN_LATENCY_S, took_s)))


def _log_odds_of_rise(
    new: tuple[int, int], old: tuple[int, int], rise: float
) -> float:
    trials, events = old
    base = (events + 0.5) / (trials + 1) if trials else MIN_RATE
    base = min(max(base, MIN_RATE), MAX_RATE)
    return sequential.log_rate_ratio(*new, base, base + rise)
