"""Owners of targets, and the loads that instances report to them.

Each target has an owner among the instances of its own data centre, chosen by
rendezvous hashing. An instance that places work on a target reports it to the
owner; an instance that chooses among a few targets queries their owners.
Nothing is broadcast, so the traffic of an instance does not grow with the
fleet. The state is soft: an instance repeats its reports from time to time,
and a report that is not repeated expires.
"""

import asyncio
from collections.abc import Collection
from collections.abc import Sequence
import hashlib

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import room as rooms
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import targets
from sassafrasflow.liveness import failures

__all__ = [
    "OwnerMap",
    "PendingQuery",
    "LeavingNotice",
    "LoadAnswer",
    "LoadTable",
    "LoadQuery",
    "LoadReport",
    "LoadCache",
    "LossNotice",
    "PeerFigures",
    "TargetLoad",
    "TargetWork",
    "choose_owner",
]

# Unchanged loads are reported again at this interval.
REPORT_REFRESH_S = 4.0
# A load expires when three repeated reports were missed.
REPORT_TTL_S = 13.0
# An instance that queries a target may choose it. Until its report comes or
# the query expires, a query counts as a share of the load of a prompt, as one
# of four queried targets is chosen.
PENDING_QUERY_LOAD = 0.75
# The same share of its prompt. Its memory counts whole, as memory is a bound
# and not an average: two instances must not both take the last room.
PENDING_QUERY_PREFILL = 0.25
PENDING_QUERY_S = 0.12
# An instance whose work on a target ended less than this long ago is notified
# of the target's loss as well.
RECENT_WORK_S = 1.5
# After this long an answer is too old to say much about the load.
ANSWER_TTL_S = 0.3


# Messages count tokens in units of this many. A number of up to 16 bits takes
# three bytes, with units of 256 as well; and rounding up each instance's
# tokens loses less than 1% of the room with these.
TOKENS_PER_UNIT = 64


class TargetWork(msgspec.Struct, frozen=True, array_like=True):
    """Memory, unread prompts and number of the streams at a target.

    The first two are counted in units of tokens, and include copies.
    """

    used_units: decoding.Count = 0
    prefill_units: decoding.Count = 0
    streams: decoding.Count = 0

    @classmethod
    def of_tokens(
        cls, used_tokens: int, prefill_tokens: int, streams: int
    ) -> "TargetWork":
        """Return the work of streams with some numbers of tokens."""
        return cls(to_units(used_tokens), to_units(prefill_tokens), streams)

    def plus(self, other: "TargetWork") -> "TargetWork":
        """Return the sum of two, within the bounds of a message."""
        return TargetWork(
            min(decoding.MAX_COUNT, self.used_units + other.used_units),
            min(decoding.MAX_COUNT, self.prefill_units + other.prefill_units),
            min(decoding.MAX_COUNT, self.streams + other.streams),
        )

    @property
    def used_tokens(self) -> int:
        return self.used_units * TOKENS_PER_UNIT

    @property
    def prefill_tokens(self) -> int:
        return self.prefill_units * TOKENS_PER_UNIT


NO_WORK = TargetWork()


def to_units(tokens: int) -> int:
    """Return a number of tokens in units, rounded up."""
    return -(-tokens // TOKENS_PER_UNIT)


class PeerFigures(msgspec.Struct, frozen=True):
    """What this instance knows of the work of its peers on a target.

    ``work`` is ``None`` if an instance of a former build, which reports only
    loads, has work there or owns the target.
    """

    load: float
    work: TargetWork | None = NO_WORK
    age_s: float = rooms.UNKNOWN_AGE_S


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Report of the load that one instance places on the owner's targets."""

    sender: registries.InstanceEntry
    # Distinguishes two incarnations of an instance.
    started_ms: decoding.Int
    number: decoding.Int
    loads: dict[ids.TargetId, decoding.Number]
    # Work on the same targets in the same order. Former builds send none.
    work: tuple[TargetWork, ...] = ()
    # New samples of the paces of targets, packed.
    samples: dict[ids.TargetId, tuple[decoding.Int, ...]] = {}
    # Answers of the targets since the last report on them.
    answers: dict[ids.TargetId, failures.AnswerCounts] = {}


class LoadQuery(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Query for the loads of some of the owner's targets."""

    sender: registries.InstanceEntry
    number: decoding.Int
    targets: tuple[ids.TargetId, ...]
    # Work of the stream that is to be placed, and the memory of an engine.
    # Former builds, and services without a stated memory, send none.
    work: TargetWork = NO_WORK
    memory_units: decoding.Count = 0


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load that all instances but the querying one place on a target."""

    id: ids.TargetId
    load: decoding.Number
    # Milliseconds since the loss of the target; -1 if it is not lost.
    lost_ms: decoding.Int = -1
    # Work of the same instances; None if the owner does not know it.
    work: TargetWork | None = None
    # Packed summaries of the samples of the target's pace.
    paces: tuple[decoding.Int, ...] = ()
    # Milliseconds for which the target is still a last resort, as it fails
    # its requests.
    failing_ms: decoding.Count = 0


class LoadAnswer(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """Answer to a load query."""

    sender: ids.InstanceId
    number: decoding.Int
    loads: tuple[TargetLoad, ...]


class LossNotice(msgspec.Struct, frozen=True, array_like=True, tag="lost"):
    """Notice of the loss of a target."""

    sender: registries.InstanceEntry
    target: ids.TargetId
    # 0 from the instance that detected the loss to the owner, 1 from the owner
    # to its local peers, 2 from each of these to the instances with work on
    # any target that it owns.
    hop: decoding.Int = 0


class LeavingNotice(
    msgspec.Struct, frozen=True, array_like=True, tag="leaving"
):
    """Notice that a target announces in its answers that it leaves."""

    sender: ids.InstanceId
    target: ids.TargetId
    # Distinguishes two incarnations of a target under the same id.
    started_ms: decoding.Int


def choose_owner(
    key: str, entries: Collection[registries.InstanceEntry]
) -> registries.InstanceEntry | None:
    """Return the owner of a target or another key by rendezvous hashing."""
    return max(
        entries,
        key=lambda entry: hashlib.blake2b(
            f"{key}/{entry.id}".encode(), digest_size=8
        ).digest(),
        default=None,
    )


class OwnerMap:
    """Owners of targets among the instances that are not doubtful."""

    def __init__(self, peers: peer_table.PeerTable) -> None:
        self._peers = peers
        self._epoch = -1
        self._owner_by_target: dict[
            ids.TargetId, registries.InstanceEntry | None
        ] = {}

    def owner_of(
        self, listed: targets.ListedTarget, now: float
    ) -> registries.InstanceEntry | None:
        """Return a target's owner; ``None`` if its data centre has none."""
        if self._epoch != self._peers.epoch:
            self._epoch = self._peers.epoch
            self._owner_by_target.clear()
        if listed.id not in self._owner_by_target:
            entries = self._peers.eligible_owners(listed.data_centre, now)
            self._owner_by_target[listed.id] = choose_owner(listed.id, entries)
        return self._owner_by_target[listed.id]


class _ReportedLoad(msgspec.Struct):
    load: float
    work: TargetWork | None
    started_ms: int
    number: int
    received_at: float


class _PendingWork(msgspec.Struct, frozen=True):
    """Work of a stream whose instance may have chosen the target."""

    sender: ids.InstanceId
    until: float
    work: TargetWork


class LoadTable:
    """Reported loads of the targets that this instance owns."""

    def __init__(self) -> None:
        self._reports: dict[
            ids.TargetId, dict[ids.InstanceId, _ReportedLoad]
        ] = {}
        # Expiry of each pending query, by target and querying instance.
        self._queries: dict[ids.TargetId, dict[ids.InstanceId, float]] = {}
        # Work of the streams behind the queries. A report doesn't replace it,
        # as it may have been sent for another stream of the instance.
        self._pending_work: dict[ids.TargetId, list[_PendingWork]] = {}

    def apply(self, report: LoadReport, now: float) -> None:
        """Apply a load report unless a newer one has been applied."""
        sender = report.sender.id
        has_work = len(report.work) == len(report.loads)
        for position, (target, load) in enumerate(report.loads.items()):
            self._queries.get(target, {}).pop(sender, None)
            reports = self._reports.setdefault(target, {})
            old = reports.get(sender)
            if (
                old is not None
                and old.started_ms == report.started_ms
                and old.number >= report.number
            ):
                continue
            work = report.work[position] if has_work else None
            if not load and work is None:
                work = NO_WORK
            reports[sender] = _ReportedLoad(
                load, work, report.started_ms, report.number, now
            )

    def record_query(
        self,
        target: ids.TargetId,
        sender: ids.InstanceId,
        now: float,
        work: TargetWork = NO_WORK,
        memory_units: int = 0,
    ) -> None:
        """Record a query, after which an instance may choose the target.

        A stream that does not fit will go elsewhere or wait, so its tokens
        don't count; otherwise streams that query again while they wait would
        keep each other from the room that appears.
        """
        until = now + PENDING_QUERY_S
        self._queries.setdefault(target, {})[sender] = until
        placed = self.work_of(target, sender, now)
        own = self._reports.get(target, {}).get(sender)
        if placed is None or (own is not None and own.work is None):
            return
        used_units = placed.used_units + work.used_units
        if own is not None and own.work is not None:
            used_units += own.work.used_units
        if used_units > memory_units:
            return
        prefill = round(PENDING_QUERY_PREFILL * work.prefill_units)
        pending = msgspec.structs.replace(work, prefill_units=prefill)
        self._pending_work.setdefault(target, []).append(
            _PendingWork(sender, until, pending)
        )

    def load_of(
        self, target: ids.TargetId, excluded: ids.InstanceId, now: float
    ) -> float:
        """Return the load that all instances but one place on a target."""
        placed = sum(
            report.load
            for sender, report in self._reports.get(target, {}).items()
            if sender != excluded
        )
        queries = sum(
            until > now
            for sender, until in self._queries.get(target, {}).items()
            if sender != excluded
        )
        return placed + PENDING_QUERY_LOAD * queries

    def work_of(
        self,
        target: ids.TargetId,
        excluded: ids.InstanceId,
        now: float,
    ) -> TargetWork | None:
        """Return the work of all instances but one on a target.

        Returns ``None`` if an instance reported only its load.
        """
        total = NO_WORK
        for sender, report in self._reports.get(target, {}).items():
            if sender == excluded:
                continue
            if report.work is None:
                return None
            total = total.plus(report.work)
        for pending in self._pending_work.get(target, ()):
            if pending.sender != excluded and pending.until > now:
                total = total.plus(pending.work)
        return total

    def instances_using(
        self, target: ids.TargetId, now: float
    ) -> set[ids.InstanceId]:
        """Return the instances with work on a target now or lately."""
        return {
            sender
            for sender, report in self._reports.get(target, {}).items()
            if report.load or now - report.received_at < RECENT_WORK_S
        }

    def targets(self) -> list[ids.TargetId]:
        """Return the targets that have been reported."""
        return list(self._reports)

    def expire(self, now: float) -> None:
        """Remove loads that were not reported again, and old queries."""
        for by_target in (self._reports, self._queries):
            for target in list(by_target):
                if not by_target[target]:
                    del by_target[target]
        for reports in self._reports.values():
            for sender, reported in list(reports.items()):
                if now - reported.received_at > REPORT_TTL_S:
                    del reports[sender]
        for queries in self._queries.values():
            for sender, until in list(queries.items()):
                if until <= now:
                    del queries[sender]
        for target, pending in list(self._pending_work.items()):
            remaining = [each for each in pending if each.until > now]
            if remaining:
                self._pending_work[target] = remaining
            else:
                del self._pending_work[target]


class LoadCache:
    """Cache of the loads in the owners' recent answers."""

    def __init__(self) -> None:
        self._answers_by_target: dict[
            ids.TargetId, tuple[TargetLoad, float]
        ] = {}

    def record_answers(self, loads: Sequence[TargetLoad], now: float) -> None:
        """Record the loads in an answer."""
        for answer in loads:
            self._answers_by_target[answer.id] = (answer, now)

    def load_of(self, target: ids.TargetId, now: float) -> float:
        """Return the cached load, or 0 if there is no recent one."""
        figures = self.figures_of(target, now)
        return 0.0 if figures is None else figures.load

    def figures_of(
        self, target: ids.TargetId, now: float
    ) -> PeerFigures | None:
        """Return the cached figures, or ``None`` without recent ones."""
        cached = self._answers_by_target.get(target)
        if cached is None or now - cached[1] > ANSWER_TTL_S:
            return None
        answer, answered_at = cached
        age_s = max(0.0, now - answered_at)
        return PeerFigures(answer.load, answer.work, age_s)

    def is_cached(self, target: ids.TargetId, now: float) -> bool:
        """Return whether a recent load is cached."""
        return self.figures_of(target, now) is not None

    def expire(self, now: float) -> None:
        """Remove old answers."""
        for target, (_, answered_at) in list(self._answers_by_target.items()):
            if now - answered_at > ANSWER_TTL_S:
                del self._answers_by_target[target]


class PendingQuery:
    """Instances whose answers to one round of queries are missing."""

    def __init__(self, queried: set[ids.InstanceId]) -> None:
        self.missing = queried
        self.done = asyncio.get_running_loop().create_future()

    def record_answer(self, sender: ids.InstanceId) -> None:
        """Record the answer of an instance."""
        self.missing.discard(sender)
        if not self.missing and not self.done.done():
            self.done.set_result(None)
