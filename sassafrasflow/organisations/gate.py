"""Admission gate that work passes before it is sent to targets."""

import asyncio
from collections.abc import Mapping
import enum
import math

import msgspec

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.organisations import limiter as limiters

__all__ = ["Admission", "Gate", "LimiterKey", "Ticket", "WorkKind"]

# Completed when waiting work may start.
Turn = asyncio.Future[None]
TurnLimiter = limiters.Limiter[Turn]


class WorkKind(enum.Enum):
    """Kinds of work that are limited separately."""

    GENERATION = "generation"
    CALL = "call"


class LimiterKey(msgspec.Struct, frozen=True):
    """Identify a limiter; calls have one for each service.

    Separate limiters keep an unresponsive service from using the slots of
    others.
    """

    kind: WorkKind
    service: str = ""

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.service}"


class Ticket:
    """Hold one slot of a limiter until it is released."""

    def __init__(
        self,
        gate: "Gate",
        limiter: TurnLimiter,
        organisation: ids.OrganisationId,
    ) -> None:
        self._gate = gate
        self._limiter = limiter
        self._organisation = organisation
        self._started_at = gate.clock.monotonic()
        self._is_held = True

    def release(self, *, succeeded: bool = True) -> None:
        """Release the slot; a second call does nothing.

        Only the duration of work that succeeded is recorded.
        """
        if not self._is_held:
            return
        self._is_held = False
        elapsed_s = self._gate.clock.monotonic() - self._started_at
        self._gate.end(
            self._limiter, self._organisation, elapsed_s if succeeded else None
        )


class Admission:
    """Acquire a slot on entry and release it on exit."""

    def __init__(
        self,
        gate: "Gate",
        key: LimiterKey,
        organisation: ids.OrganisationId,
        weight: float,
    ) -> None:
        self._gate = gate
        self._key = key
        self._organisation = organisation
        self._weight = weight
        self._ticket: Ticket | None = None

    async def __aenter__(self) -> Ticket:
        self._ticket = await self._gate.acquire(
            self._key.kind,
            self._organisation,
            self._weight,
            service=self._key.service,
        )
        return self._ticket

    async def __aexit__(self, kind: object, *exc: object) -> None:
        assert self._ticket is not None
        self._ticket.release(succeeded=kind is None)


class Gate:
    """Queue work fairly, and refuse at once work that would wait too long."""

    def __init__(
        self,
        policies: Mapping[WorkKind, limiters.LimiterPolicy],
        clock: clocks.Clock,
    ) -> None:
        self.clock = clock
        self._policies = policies
        self._limiters: dict[LimiterKey, TurnLimiter] = {}

    def limiter_keys(self) -> list[LimiterKey]:
        """Return the keys of the limiters that have been used."""
        return list(self._limiters)

    def limiter(self, key: LimiterKey) -> TurnLimiter:
        """Return the limiter of a key, and create it on first use."""
        if key not in self._limiters:
            self._limiters[key] = limiters.Limiter(self._policies[key.kind])
        return self._limiters[key]

    def admit(
        self, key: LimiterKey, organisation: ids.OrganisationId, weight: float
    ) -> Admission:
        """Return a context manager that holds a slot."""
        return Admission(self, key, organisation, weight)

    async def acquire(
        self,
        kind: WorkKind,
        organisation: ids.OrganisationId,
        weight: float,
        cost: float = 1.0,
        service: str = "",
    ) -> Ticket:
        """Wait for a slot.

        Raises
        ------
        Refusal : the wait is or would be too long
        """
        limiter = self.limiter(LimiterKey(kind, service))
        turn: Turn = asyncio.get_running_loop().create_future()
        offered = limiter.offer(
            organisation, weight, cost, turn, self.clock.monotonic()
        )
        if isinstance(offered, limiters.Overload):
            raise _overload_refusal(offered.wait_s)
        if offered is None:
            return Ticket(self, limiter, organisation)
        max_wait_s = self._policies[kind].max_wait_ms / 1000
        try:
            async with asyncio.timeout(max_wait_s):
                await turn
        except BaseException as exc:
            if turn.done() and not turn.cancelled():
                # The slot was granted as the wait was ending; pass it on.
                self.end(limiter, organisation, None)
            limiter.abandon(offered)
            if isinstance(exc, TimeoutError):
                wait_s = limiter.expected_wait_s(organisation)
                raise _overload_refusal(wait_s) from exc
            raise
        return Ticket(self, limiter, organisation)

    def end(
        self,
        limiter: TurnLimiter,
        organisation: ids.OrganisationId,
        duration_s: float | None,
    ) -> None:
        """Release a slot, and start waiting work in its place."""
        limiter.end(organisation, duration_s)
        self.start_waiting(limiter)

    def start_waiting(self, limiter: TurnLimiter) -> None:
        """Start all waiting work that may start."""
        while (queued := limiter.start_next()) is not None:
            if queued.item.done():
                limiter.end(queued.organisation, None)
            else:
                queued.item.set_result(None)


def _overload_refusal(wait_s: float) -> exceptions.Refusal:
    return exceptions.Refusal(
        exceptions.RefusalReason.OVERLOADED,
        exceptions.Ran.NO,
        f"The work would wait {wait_s:.1f} s for a target.",
        status=429,
        retry_after_s=max(1, math.ceil(wait_s)),
    )
