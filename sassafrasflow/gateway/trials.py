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
    "EvidenceBook",
    "Finding",
    "Report",
    "Tally",
    "judge",
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
RECENT_S = 5.0
MARK_S = 0.5
# Recent answers of the old version to compare with, or else all of them.
MIN_RECENT_OLD = 20
# Rises over the old version's rate that count as harm.
FAILURE_RISE = 0.15
SLOW_RISE = 0.25
LOWEST_RATE = 0.005
HIGHEST_RATE = 0.8
# Paces are half powers of two; bad versions answer several times slower,
# and load alone hardly makes three steps above the median.
PACES_PER_DOUBLING = 2
SLOW_STEPS = 2
SHORTEST_S = 0.001
# A kind of request with this share of the answers is looked at on its own.
RELEVANT_SHARE = 0.05
MIN_TRIALS = 6


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
    paces: dict[int, int] = msgspec.field(default_factory=dict)

    def add(self, other: "Tally") -> None:
        """Add the counts of another tally."""
        self.answers += other.answers
        self.failures += other.failures
        for pace, count in other.paces.items():
            self.paces[pace] = self.paces.get(pace, 0) + count

    def since(self, old: "Tally") -> "Tally":
        """Return what was counted after older counts."""
        paces = {
            pace: count - old.paces.get(pace, 0)
            for pace, count in self.paces.items()
        }
        return Tally(
            self.answers - old.answers, self.failures - old.failures, paces
        )

    @property
    def timed(self) -> int:
        """Return how many answers were timed."""
        return sum(self.paces.values())

    def median_pace(self) -> int | None:
        """Return the pace of the middle answer."""
        left = self.timed / 2
        for pace, count in sorted(self.paces.items()):
            left -= count
            if left <= 0:
                return pace
        return None

    def slower_than(self, pace: int) -> int:
        """Return how many answers took longer."""
        return sum(
            count for found, count in self.paces.items() if found > pace
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


class EvidenceBook:
    """Add up this instance's counts and the newest of each other."""

    def __init__(self) -> None:
        # Counts that were saved, maybe by instances that are gone.
        self._saved: tuple[Cell, ...] = ()
        self._own: dict[tuple[str, ids.TargetId | None], Tally] = {}
        self._others: dict[
            tuple[ids.InstanceId, int],
            dict[tuple[str, ids.TargetId | None], Tally],
        ] = {}
        # Sums at some times, the oldest first.
        self._marks: collections.deque[tuple[float, _Sums]] = (
            collections.deque()
        )

    def note(
        self,
        kind: str,
        target: ids.TargetId | None,
        *,
        failed: bool,
        took_s: float | None = None,
    ) -> None:
        """Count an answer; ``target`` is ``None`` for the old version."""
        tally = self._own.setdefault((kind, target), Tally())
        tally.answers += 1
        tally.failures += failed
        if not failed and took_s is not None:
            pace = _pace(took_s)
            tally.paces[pace] = tally.paces.get(pace, 0) + 1

    def own_cells(self) -> list[Cell]:
        """Return this instance's counts."""
        return [
            Cell(kind, target, tally)
            for (kind, target), tally in self._own.items()
        ]

    def hear(
        self,
        sender: ids.InstanceId,
        started_ms: int,
        cells: Iterable[Cell],
    ) -> None:
        """Take the newest counts of another instance's lifetime."""
        known = self._others.setdefault((sender, started_ms), {})
        for cell in cells:
            old = known.get((cell.kind, cell.target))
            if old is None or cell.tally.answers >= old.answers:
                known[cell.kind, cell.target] = cell.tally

    def restore(self, cells: tuple[Cell, ...]) -> None:
        """Take counts that were saved."""
        self._saved = cells

    def tried(self, kind: str) -> int:
        """Return this instance's answers of the new version."""
        return sum(
            tally.answers
            for (found, target), tally in self._own.items()
            if found == kind and target is not None
        )

    def relevant_kinds(self) -> list[str]:
        """Return the kinds of request that this instance meets often."""
        _, old = _versions(self.own_cells())
        return _relevant_kinds(old)

    def cells(self) -> list[Cell]:
        """Return all counts, summed over the instances.

        Saved counts hold what is heard as well, so the larger sum is
        taken: after all instances were killed that is the saved one.
        """
        live = self._live_cells()
        if _sum(live).answers >= _sum(self._saved).answers:
            return live
        return list(self._saved)

    def recent_cells(self, now: float) -> list[Cell]:
        """Return the counts of the last seconds, over the instances."""
        sums = self._sums()
        marks = self._marks
        if not marks or now - marks[-1][0] >= MARK_S:
            marks.append((now, sums))
        while len(marks) > 1 and now - marks[1][0] >= RECENT_S:
            marks.popleft()
        before = marks[0][1]
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
        for part in (self._own, *self._others.values()):
            for key, tally in part.items():
                total.setdefault(key, Tally()).add(tally)
        return total


def judge(cells: Iterable[Cell], recent_cells: Iterable[Cell] = ()) -> Finding:
    """Compare a new version with the old one.

    Load: a version that fails or slows down from the start, later, or on
    one kind of request only; and a sound one beside a broken target. So
    each kind is looked at on its own as well, and harm has to show without
    the target that has most of it.
    """
    new, old = _versions(cells)
    recent, compared = _versions(recent_cells)
    if _sum(compared).answers < MIN_RECENT_OLD:
        compared = old
    if _shows_harm(new, old) or _shows_harm(recent, compared):
        return Finding.HARMFUL
    lately = max(_log_odds(_without_worst(recent, compared), compared))
    if lately > DOUBTFUL_LOG_ODDS:
        return Finding.DOUBTFUL
    rest = _without_worst(new, old)
    odds = max(_log_odds(rest, old))
    if odds > LIKELY_LOG_ODDS:
        return Finding.OPEN
    if odds <= PASSED_LOG_ODDS and all(
        _is_tried(_of_kind(rest, kind), _of_kind(old, kind))
        for kind in _relevant_kinds(old)
    ):
        return Finding.GOOD
    return Finding.LIKELY


def _versions(cells: Iterable[Cell]) -> tuple[list[Cell], list[Cell]]:
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
    rest = _without_worst(new, old)
    return max(_log_odds(rest, old)) >= HARMFUL_LOG_ODDS


def _without_worst(new: list[Cell], old: list[Cell]) -> list[Cell]:
    """Leave out the target with most faults, which may be broken itself."""
    targets = {cell.target for cell in new}
    if len(targets) < 2:
        return new
    worst = max(
        targets,
        # Of several with as many, the one that had most answers: what is
        # left then speaks most clearly. The id makes all instances agree.
        key=lambda target: (
            _faults(new, old, target),
            _answers(new, target),
            target,
        ),
    )
    if not _faults(new, old, worst):
        return new
    return [cell for cell in new if cell.target != worst]


def _is_tried(new: list[Cell], old: list[Cell]) -> bool:
    return _sum(new).answers >= MIN_TRIALS and (max(_log_odds(new, old)) <= 0)


def _relevant_kinds(old: list[Cell]) -> list[str]:
    total = _sum(old).answers
    return [
        cell.kind
        for cell in old
        if cell.tally.answers >= RELEVANT_SHARE * total
    ]


def _faults(
    cells: list[Cell], old: list[Cell], target: ids.TargetId | None
) -> int:
    return sum(
        cell.tally.failures + _slow_parts([cell], old)[1]
        for cell in cells
        if cell.target == target
    )


def _answers(cells: list[Cell], target: ids.TargetId | None) -> int:
    return sum(cell.tally.answers for cell in cells if cell.target == target)


def _of_kind(cells: Sequence[Cell], kind: str) -> list[Cell]:
    return [cell for cell in cells if cell.kind == kind]


def _sum(cells: Sequence[Cell]) -> Tally:
    total = Tally()
    for cell in cells:
        total.add(cell.tally)
    return total


def _log_odds(new: list[Cell], old: list[Cell]) -> tuple[float, float]:
    """Return the log odds for harm by failures and by slow answers."""
    ours, known = _sum(new), _sum(old)
    return (
        _log_odds_of_rise(
            (ours.answers, ours.failures),
            (known.answers, known.failures),
            FAILURE_RISE,
        ),
        _log_odds_of_rise(
            _slow_parts(new, old), _slow_parts(old, old), SLOW_RISE
        ),
    )


def _slow_parts(cells: list[Cell], old: list[Cell]) -> tuple[int, int]:
    """Return timed and slow answers, against the old median of each kind."""
    timed = slow = 0
    for kind in {cell.kind for cell in cells}:
        median = _sum(_of_kind(old, kind)).median_pace()
        if median is not None:
            tally = _sum(_of_kind(cells, kind))
            timed += tally.timed
            slow += tally.slower_than(median + SLOW_STEPS)
    return timed, slow


def _pace(took_s: float) -> int:
    return round(PACES_PER_DOUBLING * math.log2(max(SHORTEST_S, took_s)))


def _log_odds_of_rise(
    new: tuple[int, int], old: tuple[int, int], rise: float
) -> float:
    trials, events = old
    base = (events + 0.5) / (trials + 1) if trials else LOWEST_RATE
    base = min(max(base, LOWEST_RATE), HIGHEST_RATE)
    return sequential.log_rate_ratio(*new, base, base + rise)
