"""Evidence on a new version: counts of its answers and the old version's.

Each instance counts the answers that it gets and sends its totals to others.
As the totals only grow, a repeated message changes nothing and a lost one is
made up for by the next.
"""

import collections
from collections.abc import Iterable
from collections.abc import Sequence
import enum
import math

import msgspec

from sassafrasflow import ids
from sassafrasflow import sequential
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import versions

__all__ = [
    "Cell",
    "Evidence",
    "Finding",
    "Report",
    "Tally",
    "evaluate",
]

# Odds of 1,000 to 1 for harm. Several kinds of request and signals are tested
# many times; with these odds, 400 simulated rollouts of a sound version gave
# no false alarm.
HARMFUL_LOG_ODDS = math.log(1000)
# Odds of 20 to 1 against harm.
PASSED_LOG_ODDS = -math.log(20)
# Odds against harm that are enough if the traffic is too low to reach 20 to 1
# before the deadline.
LIKELY_LOG_ODDS = -math.log(4.5)
# Odds for harm in recent answers above which more trials are needed.
DOUBTFUL_LOG_ODDS = math.log(4.5)
# Earlier answers dilute a fault that begins late, so the answers of this last
# period are also evaluated on their own.
RECENT_WINDOW_S = 5.0
SNAPSHOT_INTERVAL_S = 0.5
# With fewer recent answers of the old version, recent answers of the new one
# are compared with all answers of the old one.
MIN_RECENT_OLD_ANSWERS = 20
# Increases over the old version's rates that count as harm.
FAILURE_RATE_RISE = 0.15
SLOW_RATE_RISE = 0.25
# Bounds of the estimate of the old version's rates.
MIN_RATE = 0.005
MAX_RATE = 0.8
# Latencies are counted in buckets at half powers of two.
BUCKETS_PER_DOUBLING = 2
# An answer is slow if it is more than this many buckets above the median. Bad
# versions answer several times slower, while load alone hardly ever moves an
# answer three buckets up.
SLOW_BUCKETS = 2
MIN_LATENCY_S = 0.001
# A kind of request with at least this share of the answers needs trials of
# its own.
RELEVANT_SHARE = 0.05
MIN_TRIALS_PER_KIND = 6


class Finding(enum.Enum):
    """Result of an evaluation of the evidence on a version."""

    # Not enough evidence.
    OPEN = "open"
    # Probably sound, but after few trials.
    LIKELY = "likely"
    GOOD = "good"
    HARMFUL = "harmful"
    # Recent answers show faults; more trials are needed.
    DOUBTFUL = "doubtful"

    @property
    def passed(self) -> bool:
        """Return whether all requests may go to the version."""
        return self in (Finding.GOOD, Finding.LIKELY)


_Sums = dict[tuple[str, ids.TargetId | None], "Tally"]


class Tally(msgspec.Struct, array_like=True):
    """Counts of answers, of failures and of latencies of the rest."""

    answers: decoding.Count = 0
    failures: decoding.Count = 0
    # Successful answers by latency bucket; see ``_latency_bucket``.
    counts_by_bucket: dict[decoding.Int, decoding.Count] = msgspec.field(
        default_factory=dict
    )

    def add(self, other: "Tally") -> None:
        """Add the counts of another tally."""
        self.answers += other.answers
        self.failures += other.failures
        for bucket, count in other.counts_by_bucket.items():
            self.counts_by_bucket[bucket] = (
                self.counts_by_bucket.get(bucket, 0) + count
            )

    def since(self, old: "Tally") -> "Tally":
        """Return the difference to an older state of this tally."""
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
    def timed_answers(self) -> int:
        """Return the number of answers with a latency."""
        return sum(self.counts_by_bucket.values())

    def median_bucket(self) -> int | None:
        """Return the bucket of the median latency, or ``None`` without any."""
        remaining = self.timed_answers / 2
        for bucket, count in sorted(self.counts_by_bucket.items()):
            remaining -= count
            if remaining <= 0:
                return bucket
        return None

    def slower_than(self, bucket: int) -> int:
        """Return the number of answers in higher buckets."""
        return sum(
            count
            for other, count in self.counts_by_bucket.items()
            if other > bucket
        )


class Cell(msgspec.Struct, frozen=True, array_like=True):
    """Counts of one kind of request at one target."""

    kind: str
    # ``None`` for the old version, which is counted over all its targets.
    target: ids.TargetId | None
    tally: Tally


class Report(msgspec.Struct, frozen=True, array_like=True, tag="trials"):
    """Report of the counts of one instance to the leaders."""

    sender: ids.InstanceId
    # Identifies the incarnation of the sender.
    started_ms: decoding.Int
    service: ids.ServiceName
    order_revision: decoding.Int
    requests: decoding.Count
    # Requests that were sent to the new version.
    exposed: decoding.Count
    cells: tuple[Cell, ...]
    version: ids.VersionId | None = None
    # Versions of the order's row; see ``rollouts.Record``.
    orders: tuple[versions.StoreVersion, ...] = ()
    # Whether the sender knows the state of the rollout.
    knows_state: bool = True

    @property
    def order_versions(self) -> tuple[versions.StoreVersion, ...]:
        """Return the versions of the order's row that the sender knows."""
        return self.orders or (
            versions.StoreVersion(versions.UNKNOWN_ERA, self.order_revision),
        )


class Evidence:
    """Sum this instance's counts and the newest ones of each peer."""

    def __init__(self) -> None:
        # Sums from the store, which may include instances that are gone.
        self._saved: tuple[Cell, ...] = ()
        self._local: dict[tuple[str, ids.TargetId | None], Tally] = {}
        self._by_peer_incarnation: dict[
            tuple[ids.InstanceId, int],
            dict[tuple[str, ids.TargetId | None], Tally],
        ] = {}
        # Sums at earlier times, the oldest first.
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
        """Store the counts of an incarnation of a peer unless outdated."""
        tallies = self._by_peer_incarnation.setdefault(
            (sender, started_ms), {}
        )
        for cell in cells:
            old = tallies.get((cell.kind, cell.target))
            if old is None or cell.tally.answers >= old.answers:
                tallies[cell.kind, cell.target] = cell.tally

    def restore(self, cells: tuple[Cell, ...]) -> None:
        """Set the sums that were read from the store.

        A restored store may hold older sums than before.
        """
        if _total(cells).answers >= _total(self._saved).answers:
            self._saved = cells

    def count_trials(self, kind: str) -> int:
        """Return the number of trials of a kind that this instance counted."""
        return sum(
            tally.answers
            for (other, target), tally in self._local.items()
            if other == kind and target is not None
        )

    def relevant_kinds(self) -> list[str]:
        """Return the kinds of request that this instance gets often."""
        _, old = _split_by_version(self.local_cells())
        return _relevant_kinds(old)

    def cells(self) -> list[Cell]:
        """Return the counts summed over all instances.

        Saved sums include counts that peers have sent, so the two must not be
        added. The larger one is returned: after a kill of all instances that
        is the saved one.
        """
        live = self._live_cells()
        if _total(live).answers >= _total(self._saved).answers:
            return live
        return list(self._saved)

    def recent_cells(self, now: float) -> list[Cell]:
        """Return the counts of the recent window, summed over instances."""
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
        for part in (self._local, *self._by_peer_incarnation.values()):
            for key, tally in part.items():
                total.setdefault(key, Tally()).add(tally)
        return total


def evaluate(
    cells: Iterable[Cell], recent_cells: Iterable[Cell] = ()
) -> Finding:
    """Compare a new version with the old one.

    A version may fail or be slow from the start, only later, or on one kind
    of request, so recent answers and each kind are also evaluated on their
    own. A sound version may run on one broken target, so harm has to show
    without the target that has the most faults.
    """
    new, old = _split_by_version(cells)
    recent, compared = _split_by_version(recent_cells)
    if _total(compared).answers < MIN_RECENT_OLD_ANSWERS:
        compared = old
    if _shows_harm(new, old) or _shows_harm(recent, compared):
        return Finding.HARMFUL
    recent_odds = max(
        _log_odds(_without_worst_target(recent, compared), compared)
    )
    if recent_odds > DOUBTFUL_LOG_ODDS:
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
    """Return the cells of the new version and those of the old one."""
    cells = list(cells)
    return (
        [cell for cell in cells if cell.target is not None],
        [cell for cell in cells if cell.target is None],
    )


def _shows_harm(new: list[Cell], old: list[Cell]) -> bool:
    """Return whether a version is harmful, overall or for one kind."""
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
    """Return the cells but those of the target with the most faults.

    That target may be broken itself, whatever its version.
    """
    targets = {cell.target for cell in new}
    if len(targets) < 2:
        return new
    worst = max(
        targets,
        # Ties are broken by the number of answers and then by the id, so that
        # all instances choose the same target. Without the one that had most
        # answers, the rest is the clearest evidence.
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
    new_total, old_total = _total(new), _total(old)
    return (
        _log_odds_of_rise(
            (new_total.answers, new_total.failures),
            (old_total.answers, old_total.failures),
            FAILURE_RATE_RISE,
        ),
        _log_odds_of_rise(
            _count_slow(new, old), _count_slow(old, old), SLOW_RATE_RISE
        ),
    )


def _count_slow(cells: list[Cell], old: list[Cell]) -> tuple[int, int]:
    """Return the numbers of timed answers and of slow ones among them.

    An answer is compared with the old version's median for its kind.
    """
    timed = slow = 0
    for kind in {cell.kind for cell in cells}:
        median = _total(_of_kind(old, kind)).median_bucket()
        if median is not None:
            tally = _total(_of_kind(cells, kind))
            timed += tally.timed_answers
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
