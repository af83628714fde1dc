"""Abstract interface to one model engine.

Implement it to serve from engines that speak another protocol; nothing
above it knows about HTTP.
"""

from abc import ABC
from abc import abstractmethod
from collections.abc import AsyncIterator

from sassafrasflow import ids
from sassafrasflow.engines import messages

__all__ = ["Engine"]


class Engine(ABC):
    """Talk to one engine.

    Raises
    ------
    TargetLost : the engine stopped answering after it was contacted
    TargetRefused : the engine did not start the work
    """

    @abstractmethod
    def start(
        self, req: messages.EngineRequest
    ) -> AsyncIterator[list[messages.EngineEvent]]:
        """Start an attempt and yield its events as they arrive together."""

    @abstractmethod
    def resume(
        self,
        generation: ids.GenerationId,
        attempt: ids.AttemptNumber,
        index: int,
    ) -> AsyncIterator[list[messages.EngineEvent]]:
        """Yield the events of a running attempt from an index on."""

    @abstractmethod
    async def cancel(
        self, generation: ids.GenerationId, attempt: ids.AttemptNumber
    ) -> None:
        """Stop an attempt; unknown attempts are ignored."""

    @abstractmethod
    async def order(self, order: messages.Order) -> messages.OrderOutcome:
        """Ask the engine to load, unload or change its role."""

    @abstractmethod
    async def report(self) -> messages.EngineReport:
        """Return the engine's health and load."""

    @abstractmethod
    async def cache_events(self, after: int) -> messages.CacheEvents:
        """Return cache events behind a sequence number."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
