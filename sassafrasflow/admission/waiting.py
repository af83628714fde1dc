"""Decide whether a stream is sent, waits or is refused, and in which order.

A stream that waits at an instance can still go to whichever engine has room
first, and can be overtaken by a more urgent one; one that waits at an engine
can't.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterator
import enum
import functools
import heapq
import random
from typing import Generic
from typing import TypeVar

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import room as rooms
from sassafrasflow.admission import shares

__all__ = [
    "Decision",
    "Refuse",
    "RefuseCause",
    "SampleSize",
    "Send",
    "SendCause",
    "ServiceQueues",
    "StreamRequest",
    "StreamTimes",
    "TurnQueue",
    "Wait",
    "WIDEST_SAMPLE",
    "choose_retry_after_s",
    "decide",
    "estimate_room_s",
    "is_last_moment",
    "sample_interval_s",
    "sample_size",
    "tolerated_wait_s",
]

ItemT = TypeVar("ItemT")

# An engine interleaves the reading of prompts with the output of other
# streams, so that a prompt may take half as long again as on an idle engine.
INTERLEAVING_SHARE = 0.5
# Time for the last sample, a connection and the request and the first event
# on the way, with 40 ms for each round trip between regions.
SEND_MARGIN_S = 0.2
# In this time after its arrival a stream is not sent to a queue in which it
# would be late, if it could be on time elsewhere. Queries of others count for
# 0.12 s, so that the queues seem long when many streams arrive together.
SETTLE_S = 0.15
# Any stream tolerates a wait at an engine of this share of the time in which
# its own prompt is read. An owner counts each query of the last 0.12 s as a
# quarter of a prompt, so that two streams that sample an idle engine at the
# same time would keep each other from it otherwise.
MIN_TOLERATED_SHARE = 0.5
# While an organisation exceeds its share, streams of the others join engines
# that read one other prompt and have some queries pending. They would compete
# with those of that organisation for free engines otherwise: an instance holds
# few streams, so that their order alone decides little.
UNDER_TOLERATED_SHARE = 1.6
# Streams that arrive together, such as those of a lost data centre, all see
# the same short queues. What the others have sent is reported within 20 ms, so
# that only a second sample, after 50 ms, shows it. Until then a stream joins
# no queue; one query of another stream is no queue.
FIRST_TOLERATED_SHARE = 0.26
# A wait that is shorter than this is no worse than that for the next sample,
# and an engine that reads the rest of a prompt meanwhile has no idle time.
MIN_TOLERATED_WAIT_S = 0.1
# Figures of a room that are older than this don't justify a refusal.
MAX_REFUSAL_AGE_S = 1.0
# Weight of the newest stream in the mean times.
AVERAGE_WEIGHT = 1 / 8
# Answers may be much shorter than stated, and a stream must not be refused
# that would have ended in time.
MIN_OUTPUT_SHARE = 0.5
# Interval of the first samples of a waiting stream, and the relative jitter of
# the later ones.
SAMPLE_INTERVAL_S = (0.05, 0.1)
# Targets of each kind (local, remote) in the first samples, and the most. Each
# costs a datagram to an owner, and instances have a budget for these.
SAMPLE_TARGETS = 2
MAX_SAMPLE_TARGETS = 6
# Number of samples, with the one at arrival, that follow quickly. Later ones
# keep to QUERIES_PER_S.
QUICK_SAMPLES = 4
# An engine that becomes free goes to the stream that samples it first. With
# four times the interval, a stream of an organisation that exceeds its share
# is the first one less often than that of another.
OVER_SHARE_INTERVALS = 4
# Queries per second of the first waiting stream of an instance. The others
# share half as many. A query takes about 100 bytes of the 4,096 that an
# instance may send in a second.
QUERIES_PER_S = 27.0
# Bounds of the value of Retry-After. Callers honour a wait of at most a third
# of their remaining time.
MIN_RETRY_AFTER_S = 0.25
MAX_RETRY_AFTER_SHARE = 1 / 3
# Random share that is added to Retry-After, so that callers that were refused
# together don't come back together.
RETRY_AFTER_JITTER = 0.5


class StreamRequest(msgspec.Struct, frozen=True):
    """What the decision needs to know of a stream without any event."""

    # 0 is the most urgent rank, 9 the least urgent one.
    rank: int
    arrived_at: float
    # When the first event is due.
    goal_at: float
    # When the caller's or the route's time limit is reached.
    deadline: float
    demand: rooms.Demand
    organisation: ids.OrganisationId | None = None
    # Distance to the most urgent rank that a stream of the service can have.
    ranks_before: int = 0
    # Least time from the first event to the last one, 0 if unknown.
    output_s: float = 0.0
    # Usual time from the send of a stream to its end, 0 if unknown.
    stream_s: float = 0.0
    # Whether it has not been sent before.
    is_new: bool = True
    # Whether it has waited. Such a stream isn't refused for an estimate, as it
    # would have been served without the wait.
    has_waited: bool = False
    service: ids.ServiceName = ids.ServiceName("")
    # Place of its organisation beside those that exceed their share.
    standing: shares.Standing = shares.Standing.EVEN


class SampleSize(msgspec.Struct, frozen=True):
    """Number of targets in a sample, in and outside this data centre.

    Those of ``nearby`` are in other data centres of the region. If there are
    none, such targets count as remote ones.
    """

    local: int
    remote: int
    nearby: int = 0


class StreamTimes:
    """Mean times of a service's streams, of which one instance sees few."""

    def __init__(self) -> None:
        # Time from the send to the end, 0 before the first stream.
        self.stream_s = 0.0
        # Means of the streams with a stated length, 0 before the first one.
        # The mean of their ratios would let one short answer that took long
        # count as much as many ordinary ones.
        self._output_s = 0.0
        self._answer_tokens = 0.0

    def record(
        self, stream_s: float, output_s: float, answer_tokens: int
    ) -> None:
        """Record a complete stream; its caller stated the answer's tokens."""
        weight = AVERAGE_WEIGHT if self.stream_s else 1.0
        self.stream_s += weight * (stream_s - self.stream_s)
        if answer_tokens > 0:
            weight = AVERAGE_WEIGHT if self._answer_tokens else 1.0
            self._output_s += weight * (output_s - self._output_s)
            self._answer_tokens += weight * (
                answer_tokens - self._answer_tokens
            )

    def expected_output_s(self, answer_tokens: int) -> float:
        """Return the expected time of the output of a stream; 0 if unknown."""
        if not self._answer_tokens:
            return 0.0
        return self._output_s * answer_tokens / self._answer_tokens

    def min_output_s(self, answer_tokens: int) -> float:
        """Return the time that the output of a stream takes at least."""
        return MIN_OUTPUT_SHARE * self.expected_output_s(answer_tokens)


class SendCause(enum.Enum):
    """Why a stream is sent."""

    # Nothing is known of the room of the service's engines.
    UNKNOWN_ROOM = "unknown_room"
    # The engine has room, and no unread prompt.
    FREE = "free"
    # The engine has room, and reads the waiting prompts soon enough.
    SOON = "soon"
    # A longer wait would bring the first event too late.
    LATEST = "latest"


class RefuseCause(enum.Enum):
    """Why a stream is refused."""

    # It can't be finished before its deadline.
    TOO_LATE = "too_late"
    # The instance can't hold more waiting streams.
    MEMORY = "memory"
    # The instance is stopping, and no sampled target has room.
    STOPPING = "stopping"


class Send(msgspec.Struct, frozen=True):
    """Send the stream to the best target now."""

    cause: SendCause


class Wait(msgspec.Struct, frozen=True):
    """Sample again, and send the stream at a time at the latest."""

    until: float


class Refuse(msgspec.Struct, frozen=True):
    """Refuse the stream; the value of Retry-After has no jitter yet."""

    cause: RefuseCause
    retry_after_s: float


Decision = Send | Wait | Refuse


def decide(
    now: float,
    req: StreamRequest,
    best_room: rooms.Room | None,
    best_wait_s: float,
) -> Decision:
    """Decide what to do with a stream that has produced nothing.

    ``best_room`` is that of the best sampled target, and ``best_wait_s`` the
    time until the first event there, with the reading of its own prompt.
    """
    if best_room is None:
        if now >= req.deadline:
            return Refuse(RefuseCause.TOO_LATE, MIN_RETRY_AFTER_S)
        return Send(SendCause.UNKNOWN_ROOM)
    if now >= req.deadline or _is_hopeless(now, req, best_room, best_wait_s):
        ahead_s = _wait_ahead_s(req.demand, best_room, best_wait_s)
        return Refuse(RefuseCause.TOO_LATE, max(MIN_RETRY_AFTER_S, ahead_s))
    fits = rooms.fits(best_room, req.demand)
    if fits and not best_room.prefill_tokens:
        return Send(SendCause.FREE)
    ahead_s = _wait_ahead_s(req.demand, best_room, best_wait_s)
    own_s = best_wait_s - ahead_s
    until = max(
        _latest_at(req, best_wait_s),
        min(_latest_at(req, own_s), req.arrived_at + SETTLE_S),
    )
    if now >= until:
        return Send(SendCause.LATEST)
    if fits and ahead_s <= (
        tolerated_wait_s(req, own_s)
        if req.has_waited
        else FIRST_TOLERATED_SHARE * own_s
    ):
        return Send(SendCause.SOON)
    return Wait(until)


def is_last_moment(now: float, req: StreamRequest, wait_s: float) -> bool:
    """Return whether a stream that isn't sent now will be late."""
    return now >= _latest_at(req, wait_s)


def tolerated_wait_s(req: StreamRequest, own_prefill_s: float) -> float:
    """Return the wait at an engine that a stream may add its prompt to.

    The most urgent rank of a service may use all the time that its goal
    leaves, and each following rank a smaller part, so that it leaves the
    engines' queues short for the ranks before it. Where all streams have the
    same rank, shorter queues would only delay them. An organisation that
    exceeds its share leaves the queues as short as the following rank does,
    and streams of the others join a prompt that is being read.
    """
    slack_s = _latest_at(req, own_prefill_s) - req.arrived_at
    ranks_before, least_share = req.ranks_before, MIN_TOLERATED_SHARE
    if req.standing is shares.Standing.OVER:
        ranks_before += 1
    if req.standing is shares.Standing.UNDER or (
        # The most urgent rank stays before all others.
        req.standing is shares.Standing.OVER and not req.ranks_before
    ):
        least_share = UNDER_TOLERATED_SHARE
    return max(
        MIN_TOLERATED_WAIT_S,
        least_share * own_prefill_s,
        slack_s / (1 + ranks_before) ** 2,
    )


def estimate_room_s(
    room: rooms.Room, demand: rooms.Demand, stream_s: float
) -> float:
    """Return the estimated time until an engine has room for a stream.

    The streams there are taken to be of any age up to ``stream_s``, so that
    slots and tokens become free at a steady rate.
    """
    lacking_slots = max(0, room.used_slots + 1 - room.slots)
    lacking_tokens = max(
        0, room.used_tokens + demand.tokens - room.memory_tokens
    )
    slots_s = stream_s * lacking_slots / max(1, room.used_slots)
    tokens_s = stream_s * lacking_tokens / max(1, room.used_tokens)
    return min(stream_s, max(slots_s, tokens_s))


def choose_retry_after_s(
    estimate_s: float,
    remaining_s: float,
    rng: random.Random,
    least_s: float = MIN_RETRY_AFTER_S,
) -> float:
    """Return the value of Retry-After for the estimated time until room.

    ``least_s`` is lower than usual if a target asked for a shorter pause.
    The jitter stays within the limit too: callers whose value was cut to the
    limit would come back together otherwise.
    """
    most = max(least_s, MAX_RETRY_AFTER_SHARE * remaining_s)
    factor = 1 + RETRY_AFTER_JITTER * rng.random()
    base_s = min(estimate_s, most / (1 + RETRY_AFTER_JITTER))
    return min(most, max(least_s, base_s) * factor)


WIDEST_SAMPLE = SampleSize(MAX_SAMPLE_TARGETS, MAX_SAMPLE_TARGETS)


def sample_size(samples: int) -> SampleSize:
    """Return the size of the next sample after some samples.

    Local targets come first, as their owners answer within 1 ms.
    """
    if samples <= 1:
        return SampleSize(SAMPLE_TARGETS, 0)
    count = min(MAX_SAMPLE_TARGETS, SAMPLE_TARGETS + (samples - 2) // 2)
    return SampleSize(count, count)


def sample_interval_s(
    samples: int,
    waiting: int,
    rng: random.Random,
    *,
    is_first: bool,
    services: int = 1,
    standing: shares.Standing = shares.Standing.EVEN,
) -> float:
    """Return the time until a waiting stream samples again.

    Samples after the first ones follow more slowly, and so do all of the
    streams behind the first one. What one finds goes to the first in order.
    The services with waiting streams have equal parts of the rate. Streams of
    organisations that exceed their share sample seldom, so that those of
    others, which wait at other instances, find free engines first.
    """
    interval_s = rng.uniform(*SAMPLE_INTERVAL_S)
    if standing is shares.Standing.OVER:
        interval_s *= OVER_SHARE_INTERVALS
    if is_first and samples < QUICK_SAMPLES:
        return interval_s
    size = sample_size(samples)
    mean_s = sum(SAMPLE_INTERVAL_S) / len(SAMPLE_INTERVAL_S)
    jitter = interval_s / mean_s
    streams = 1 if is_first else 2 * max(1, waiting - 1)
    queries = streams * max(1, services) * (size.local + size.remote)
    return jitter * queries / QUERIES_PER_S


def _latest_at(req: StreamRequest, wait_s: float) -> float:
    """Return when the stream has to be sent to be on time."""
    return req.goal_at - (1 + INTERLEAVING_SHARE) * wait_s - SEND_MARGIN_S


def _wait_ahead_s(
    demand: rooms.Demand, room: rooms.Room, wait_s: float
) -> float:
    """Return the part of a wait before the stream's own prompt is read."""
    unread = room.prefill_tokens + demand.prefill_tokens
    return wait_s * room.prefill_tokens / max(1, unread)


def _is_hopeless(
    now: float, req: StreamRequest, room: rooms.Room, wait_s: float
) -> bool:
    """Return whether even the best target can't finish a new stream."""
    return (
        req.is_new
        and not req.has_waited
        and room.age_s <= MAX_REFUSAL_AGE_S
        and now + wait_s + req.output_s > req.deadline
    )


class _Entry(msgspec.Struct, Generic[ItemT], frozen=True, eq=False):
    """Queued item with what its place depends on."""

    rank: int
    organisation: ids.OrganisationId | None
    goal_at: float
    item: ItemT


class _Turns(msgspec.Struct, Generic[ItemT]):
    """Items and turns of the organisations of one rank, in virtual time."""

    now: float = 0.0
    next_by_organisation: dict[ids.OrganisationId | None, float] = (
        msgspec.field(default_factory=dict)
    )
    # Goal, number and item of each organisation's items, in this order.
    items: dict[ids.OrganisationId | None, list[tuple[float, int, ItemT]]] = (
        msgspec.field(default_factory=dict)
    )

    def of(self, organisation: ids.OrganisationId | None) -> float:
        """Return when it is an organisation's turn."""
        return max(self.now, self.next_by_organisation.get(organisation, 0.0))

    def count_turn(self, organisation: ids.OrganisationId | None) -> None:
        """Record that an organisation had its turn."""
        self.now = self.of(organisation)
        self.next_by_organisation = {
            other: turn
            for other, turn in self.next_by_organisation.items()
            if turn > self.now
        }
        self.next_by_organisation[organisation] = self.now + 1

    def places(
        self, organisation: ids.OrganisationId | None
    ) -> Iterator[tuple[float, float, int, ItemT]]:
        """Return the turns of an organisation's items, with the items."""
        turn = self.of(organisation)
        for position, (goal_at, number, item) in enumerate(
            self.items[organisation]
        ):
            yield turn + position, goal_at, number, item


class TurnQueue(Generic[ItemT]):
    """Order waiting items by rank, then by turns of their organisations.

    Within a rank, organisations that exceed their share of the fleet follow
    all others. The items of one organisation and rank are ordered by their
    goals, as are organisations that have had as many turns. Finding the first
    item takes a time that grows with the organisations, not with the items.
    """

    def __init__(
        self,
        is_over_share: Callable[
            [ids.OrganisationId | None], bool
        ] = lambda _: False,
    ) -> None:
        # Whether an organisation exceeds its share of the fleet.
        self._is_over_share = is_over_share
        self._entries: dict[int, _Entry[ItemT]] = {}
        self._turns: dict[int, _Turns[ItemT]] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._entries)

    def add(self, req: StreamRequest, item: ItemT) -> int:
        """Add an item and return its number."""
        self._number += 1
        self._entries[self._number] = _Entry(
            req.rank, req.organisation, req.goal_at, item
        )
        turns = self._turns.setdefault(req.rank, _Turns())
        bisect.insort(
            turns.items.setdefault(req.organisation, []),
            (req.goal_at, self._number, item),
        )
        return self._number

    def remove(self, number: int, *, had_turn: bool) -> None:
        """Remove an item, if it is queued, and count its turn if it had it."""
        entry = self._entries.pop(number, None)
        if entry is None:
            return
        turns = self._turns[entry.rank]
        items = turns.items[entry.organisation]
        # Numbers differ, so that the items are not compared.
        del items[bisect.bisect_left(items, (entry.goal_at, number))]
        if not items:
            del turns.items[entry.organisation]
        if had_turn:
            turns.count_turn(entry.organisation)
        if not turns.items:
            del self._turns[entry.rank]

    def in_order(self) -> Iterator[ItemT]:
        """Return the items in the order in which they are sent."""
        for rank in sorted(self._turns):
            turns = self._turns[rank]
            groups: dict[bool, list[ids.OrganisationId | None]]
            groups = {False: [], True: []}
            for organisation in turns.items:
                is_over = self._is_over_share(organisation)
                groups[is_over].append(organisation)
            for group in groups.values():
                for *_, item in heapq.merge(*map(turns.places, group)):
                    yield item

    def first(self, accepts: Callable[[ItemT], bool]) -> ItemT | None:
        """Return the first item in order that is accepted."""
        return next((item for item in self.in_order() if accepts(item)), None)


class ServiceQueues(Generic[ItemT]):
    """Queues of the services; targets of one are of no use to another."""

    def __init__(
        self,
        is_over_share: Callable[
            [ids.ServiceName, ids.OrganisationId | None], bool
        ],
    ) -> None:
        self._is_over_share = is_over_share
        self._queues: dict[ids.ServiceName, TurnQueue[ItemT]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._queues.values()))

    def of(self, service: ids.ServiceName) -> TurnQueue[ItemT]:
        """Return the queue of a service."""
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = TurnQueue(
                functools.partial(self._is_over_share, service)
            )
        return queue

    def queues(self) -> list[TurnQueue[ItemT]]:
        """Return the queues of all services."""
        return list(self._queues.values())

    def busy_count(self) -> int:
        """Return how many services have waiting streams."""
        return sum(len(queue) > 0 for queue in self._queues.values())

    def in_order(self) -> Iterator[ItemT]:
        """Return the items of each service in order."""
        for queue in self.queues():
            yield from queue.in_order()
