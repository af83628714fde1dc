"""The account of what callers and targets make an instance hold."""

from abc import ABC
from abc import abstractmethod
import asyncio
import collections
from collections.abc import Callable
import enum
import itertools
import sys

import msgspec

from sassafrasflow.memory import limits as memory_limits
from sassafrasflow.memory import policy

__all__ = [
    "CONNECTION_BYTES",
    "HEADER_LINE_BYTES",
    "Account",
    "Holder",
    "Holding",
    "Observer",
    "Use",
    "create_unlimited",
]

# Objects of a connection: transport, protocol and parser. They take 5.6 KB;
# the kernel takes more.
CONNECTION_BYTES = 8 * 1024
# Objects of a header line, besides its bytes.
HEADER_LINE_BYTES = 160
# Objects of a request in flight: tasks, session, connection to the target.
REQUEST_BYTES = 16 * 1024


# One in so many connections is closed at a time, as choosing them takes 2 us
# for each connection.
CLOSE_BATCH_DIVISOR = 64


class Use(enum.Enum):
    """What the bytes of a connection are held for."""

    CONNECTION = "connection"
    HEAD = "head"
    BODY = "body"
    # Requests that were read, and bytes behind them.
    QUEUED = "queued"
    # The request in flight, and what its targets have sent.
    RUNNING = "running"
    # An event of a stream that is not complete.
    EVENT = "event"
    # Bytes of answers that the caller has not accepted.
    UNSENT = "unsent"


DRAFT_USES = (Use.HEAD, Use.BODY)
REQUEST_USES = (Use.RUNNING, Use.EVENT)


class Holder(ABC):
    """Connection that makes an instance hold memory."""

    @abstractmethod
    def describe(self, now: float) -> policy.Claim:
        """Return what the connection holds, and how it gets on."""

    @abstractmethod
    def turn_away(self) -> None:
        """Release all memory: refuse the request or close the connection."""


# Called with the claim of each connection that is turned away.
Observer = Callable[[policy.Claim], None]


class _Waiter(msgspec.Struct, eq=False):
    """Answer that waits for memory."""

    holding: "Holding"
    size: int
    fut: asyncio.Future[None]


class Account:
    """Bytes that all connections of callers hold together."""

    def __init__(
        self,
        memory_bytes: Callable[[], int],
        limits: Callable[[], memory_limits.MemoryLimits],
        clock: Callable[[], float],
        on_turn_away: Observer = lambda claim: None,
    ) -> None:
        self._memory_bytes = memory_bytes
        self._limits = limits
        self._clock = clock
        self._on_turn_away = on_turn_away
        self._ids = itertools.count(1)
        self._holders: dict[policy.HoldingId, Holder] = {}
        self._waiters: collections.deque[_Waiter] = collections.deque()
        self._wake_scheduled = False
        # Holding that gets memory beyond the bounds until its requests end.
        self._overdrawn: Holding | None = None
        self.used_bytes = 0
        # Times that an answer waited for memory.
        self.delayed = 0

    @property
    def limits(self) -> memory_limits.MemoryLimits:
        return self._limits()

    @property
    def bounds(self) -> policy.Bounds:
        """Return the bounds by the current settings."""
        limits = self._limits()
        total = int(limits.share * self._memory_bytes())
        return policy.Bounds(
            total, int(limits.small_share * total), limits.small_bytes
        )

    @property
    def is_short(self) -> bool:
        """Return whether only small requests have room."""
        bounds = self.bounds
        return self.used_bytes > bounds.total - bounds.reserve

    def open(self, holder: Holder) -> "Holding":
        """Return the holding of a new connection."""
        holding = Holding(self, policy.HoldingId(next(self._ids)))
        self._holders[holding.id] = holder
        holding.set(Use.CONNECTION, CONNECTION_BYTES)
        return holding

    def forget(self, holding: "Holding") -> None:
        """Remove the holding of a closed connection."""
        self._holders.pop(holding.id, None)

    def change(self, difference: int) -> None:
        """Record that connections hold more or less."""
        self.used_bytes += difference
        if difference < 0 and self._waiters and not self._wake_scheduled:
            self._wake_scheduled = True
            asyncio.get_running_loop().call_soon(self._wake)

    def make_room(self, holding: "Holding", more_bytes: int) -> bool:
        """Return whether a holding may grow, after turning others away."""
        missing = self.missing(holding, more_bytes)
        if not missing:
            return True
        claims = self.describe()
        chosen = policy.choose_to_turn_away(claims, missing, holding.id)
        if chosen is None:
            return False
        self._turn_away(claims, chosen)
        return True

    def _relieve(self) -> None:
        """Turn callers away until what is held is within the bounds.

        Bytes of answers are read before they are charged.
        """
        bounds = self.bounds
        if self.used_bytes > bounds.total - bounds.reserve:
            claims = self.describe()
            chosen = policy.choose_to_relieve(claims, self.used_bytes, bounds)
            self._turn_away(claims, chosen)

    async def wait_for_room(self, holding: "Holding", more_bytes: int) -> bool:
        """Charge bytes of an answer once there is room.

        Return whether there was none at first.
        """
        if holding is self._overdrawn or self.make_room(holding, more_bytes):
            holding.add(Use.RUNNING, more_bytes)
            return False
        self.delayed += 1
        waiter = _Waiter(
            holding, more_bytes, asyncio.get_running_loop().create_future()
        )
        self._waiters.append(waiter)
        try:
            await waiter.fut
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return True

    def sweep(self) -> None:
        """Turn silent callers away if there is too little room."""
        self._relieve()
        self._serve_waiters(turn_away=True)
        if self._waiters and not self._has_overdrawn:
            # Answers that wait for each other's memory would all wait until
            # their deadlines. One at a time is completed, which takes twice
            # the largest answer at most.
            waiter = self._waiters.popleft()
            self._overdrawn = waiter.holding
            self._grant(waiter)

    @property
    def _has_overdrawn(self) -> bool:
        holding = self._overdrawn
        return holding is not None and holding.size(Use.RUNNING) > 0

    def describe(self) -> list[policy.Claim]:
        """Return the claims of all connections."""
        now = self._clock()
        return [holder.describe(now) for holder in self._holders.values()]

    def close_connections(self, holding: "Holding", limit: int) -> bool:
        """Close others in favour of a new one; return whether any was."""
        claims = self.describe()
        count = 1 + limit // CLOSE_BATCH_DIVISOR
        chosen = policy.choose_to_close(claims, count, holding.id)
        self._turn_away(claims, chosen)
        return bool(chosen)

    def missing(self, holding: "Holding", more_bytes: int) -> int:
        """Return how many bytes are missing for a holding to grow, or 0."""
        return policy.shortage(
            self.bounds, self.used_bytes, holding.held_bytes, more_bytes
        )

    def _turn_away(
        self, claims: list[policy.Claim], chosen: list[policy.HoldingId]
    ) -> None:
        by_id = {claim.id: claim for claim in claims}
        for holding_id in chosen:
            self._on_turn_away(by_id[holding_id])
            self._holders[holding_id].turn_away()

    def _wake(self) -> None:
        self._wake_scheduled = False
        self._serve_waiters(turn_away=False)

    def _serve_waiters(self, *, turn_away: bool) -> None:
        """Serve the answers that wait, in order, as far as there is room.

        Once one has none, only small ones behind it are served, from the part
        that is kept for them. Weighing all connections takes a millisecond,
        so others are turned away with each sweep only, not with each release.
        """
        is_blocked = False
        for waiter in list(self._waiters):
            holding, size = waiter.holding, waiter.size
            is_small = holding.held_bytes + size <= self.bounds.small
            if is_blocked and not is_small:
                continue
            has_room = not self.missing(holding, size)
            if not has_room and turn_away and not is_blocked:
                has_room = self.make_room(holding, size)
            if not has_room:
                is_blocked = True
            elif waiter in self._waiters:
                # Turning others away may have ended this one.
                self._waiters.remove(waiter)
                self._grant(waiter)

    def _grant(self, waiter: _Waiter) -> None:
        if not waiter.fut.done():
            waiter.holding.add(Use.RUNNING, waiter.size)
            waiter.fut.set_result(None)


def create_unlimited(clock: Callable[[], float]) -> Account:
    """Return an account that always has room."""
    return Account(lambda: sys.maxsize, memory_limits.MemoryLimits, clock)


class Holding:
    """Bytes that one connection of a caller makes the instance hold."""

    def __init__(self, account: Account, id_: policy.HoldingId) -> None:
        self.account = account
        self.id = id_
        self.held_bytes = 0
        self._sizes: dict[Use, int] = {}
        self._closed = False

    def size(self, use: Use) -> int:
        """Return the bytes held for one use."""
        return self._sizes.get(use, 0)

    def set(self, use: Use, size: int) -> None:
        """Set the bytes held for one use, whether or not there is room."""
        difference = size - self._sizes.get(use, 0)
        if self._closed or not difference:
            return
        self._sizes[use] = size
        self.held_bytes += difference
        self.account.change(difference)

    def add(self, use: Use, change: int) -> None:
        """Change the bytes held for one use, whether or not there is room."""
        self.set(use, max(0, self._sizes.get(use, 0) + change))

    def claim(self, use: Use, size: int) -> bool:
        """Let a use grow to a size if there is room for it."""
        more = size - self._sizes.get(use, 0)
        if more <= 0:
            return True
        if self._closed or not self._has_room(use, more):
            return False
        self.set(use, size)
        return True

    def _has_room(self, use: Use, more: int) -> bool:
        is_pipelined = use in DRAFT_USES and (
            self.size(Use.QUEUED) or self.size(Use.RUNNING)
        )
        if is_pipelined:
            # One caller's further requests displace nobody else's first.
            return not self.account.missing(self, more)
        return self.account.make_room(self, more)

    async def admit(self, more_bytes: int) -> bool:
        """Wait for room for more bytes of an answer; return whether it did."""
        return await self.account.wait_for_room(self, more_bytes)

    def start_request(self, size: int) -> None:
        """Record that a queued request is now in flight."""
        self.add(Use.QUEUED, -size)
        self.set(Use.RUNNING, size + REQUEST_BYTES)

    def end_request(self) -> None:
        """Release what the request in flight held."""
        for use in REQUEST_USES:
            self.set(use, 0)

    def close(self) -> None:
        """Release everything."""
        for use in list(self._sizes):
            self.set(use, 0)
        self._closed = True
        self.account.forget(self)
