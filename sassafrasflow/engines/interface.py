"""Abstract interface to one model engine.

Implement it to support engines with another protocol. No code that uses
the interface depends on HTTP.
"""

from abc import ABC
from abc import abstractmethod
from collections.abc import AsyncIterator

from sassafrasflow import ids
from sassafrasflow.engines import messages

__all__ = ["Engine"]


class Engine(ABC):
    """Client of one engine.

    Raises
    ------
    TargetLost : the engine stopped answering after it was contacted
    TargetRefused : the engine did not start the work
    """

    @abstractmethod
    def start(
        self, req: messages.EngineRequest
    ) -> AsyncIterator[list[messages.EngineEvent]]:
        """Start an attempt and yield its events in batches, as received."""

    @abstractmethod
    def resume(
        self,
        generation: ids.GenerationId,
        attempt: ids.AttemptNumber,
        index: int,
    ) -> AsyncIterator[list[messages.EngineEvent]]:
        """Yield the events of a running attempt, starting at an index."""

    @abstractmethod
    async def cancel(
        self, generation: ids.GenerationId, attempt: ids.AttemptNumber
    ) -> None:
        """Cancel an attempt; unknown attempts are ignored."""

    @abstractmethod
    async def order(self, order: messages.Order) -> messages.OrderOutcome:
        """Order the engine to load or unload a version or change its role."""

    @abstractmethod
    async def report(self) -> messages.EngineReport:
        """Return the engine's health and load."""

    @abstractmethod
    async def cache_events(self, after: int) -> messages.CacheEvents:
        """Return the cache events that follow a sequence number."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
