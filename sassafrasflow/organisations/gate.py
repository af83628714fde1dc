"""Gate that work passes before it is sent to targets."""

import asyncio
from collections.abc import Mapping
import enum
import math

import msgspec

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.organisations import limiter as limiters

__all__ = ["Admission", "Gate", "WorkKind", "LimiterKey", "Ticket"]

Turn = asyncio.Future[None]
TurnLimiter = limiters.Limiter[Turn]


class WorkKind(enum.Enum):
    """Name the kinds of work that are limited apart."""

    GENERATION = "generation"
    CALL = "call"


class LimiterKey(msgspec.Struct, frozen=True):
    """Name a limiter; calls have one for each service.

    A service that stalls then holds no slots of another one.
    """

    kind: WorkKind
    service: str = ""

    def __str__(self) -> str:
        return f"{self.kind.value}/{self.service}"


class Ticket:
    """Hold a slot until it is released."""

    def __init__(
        self,
        gate: "Gate",
        limiter: TurnLimiter,
        organisation: ids.OrganisationId,
    ) -> None:
        self._gate = gate
        self._limiter = limiter
        self._organisation = organisation
        self._began_at = gate.clock.monotonic()
        self._held = True

    def release(self, *, succeeded: bool = True) -> None:
        """Give the slot back; a second release does nothing."""
        if not self._held:
            return
        self._held = False
        ran_s = self._gate.clock.monotonic() - self._began_at
        self._gate.end(
            self._limiter, self._organisation, ran_s if succeeded else None
        )


class Admission:
    """Admit work on entry and give its slot back on exit."""

    def __init__(
        self,
        gate: "Gate",
        name: LimiterKey,
        organisation: ids.OrganisationId,
        weight: float,
    ) -> None:
        self._gate = gate
        self._name = name
        self._organisation = organisation
        self._weight = weight
        self._ticket: Ticket | None = None

    async def __aenter__(self) -> Ticket:
        self._ticket = await self._gate.acquire(
            self._name.kind,
            self._organisation,
            self._weight,
            service=self._name.service,
        )
        return self._ticket

    async def __aexit__(self, kind: object, *exc: object) -> None:
        assert self._ticket is not None
        self._ticket.release(succeeded=kind is None)


class Gate:
    """Queue work fairly and refuse at once what would wait too long."""

    def __init__(
        self,
        policies: Mapping[WorkKind, limiters.LimiterPolicy],
        clock: clocks.Clock,
    ) -> None:
        self.clock = clock
        self._policies = policies
        self._limiters: dict[LimiterKey, TurnLimiter] = {}

    def names(self) -> list[LimiterKey]:
        """Return the limiters that have been used."""
        return list(self._limiters)

    def limiter(self, name: LimiterKey) -> TurnLimiter:
        """Return a limiter."""
        if name not in self._limiters:
            self._limiters[name] = limiters.Limiter(self._policies[name.kind])
        return self._limiters[name]

    def admit(
        self, name: LimiterKey, organisation: ids.OrganisationId, weight: float
    ) -> Admission:
        """Return a context in which work holds a slot."""
        return Admission(self, name, organisation, weight)

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
            raise _overloaded(offered.wait_s)
        if offered is None:
            return Ticket(self, limiter, organisation)
        max_wait_s = self._policies[kind].max_wait_ms / 1000
        try:
            async with asyncio.timeout(max_wait_s):
                await turn
        except BaseException as exc:
            if turn.done() and not turn.cancelled():
                # The turn came in the same moment; it goes to the next.
                self.end(limiter, organisation, None)
            limiter.abandon(offered)
            if isinstance(exc, TimeoutError):
                wait_s = limiter.expected_wait_s(organisation)
                raise _overloaded(wait_s) from exc
            raise
        return Ticket(self, limiter, organisation)

    def end(
        self,
        limiter: TurnLimiter,
        organisation: ids.OrganisationId,
        duration_s: float | None,
    ) -> None:
        """Give a slot back."""
        limiter.end(organisation, duration_s)
        self.start_waiting(limiter)

    def start_waiting(self, limiter: TurnLimiter) -> None:
        """Start everything that may start."""
        while (waiting := limiter.start_next()) is not None:
            if waiting.item.done():
                limiter.end(waiting.organisation, None)
            else:
                waiting.item.set_result(None)


def _overloaded(wait_s: float) -> exceptions.Refusal:
    return exceptions.Refusal(
        exceptions.RefusalReason.OVERLOADED,
        exceptions.Ran.NO,
        f"The work would wait {wait_s:.1f} s for a target.",
        status=429,
        retry_after_s=max(1, math.ceil(wait_s)),
    )
