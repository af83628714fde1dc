"""What instances know of each other's work, and what that costs them."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Sequence
import heapq
import itertools

from sassafrasflow.gateway import loads
from sassafrasflow.gateway import targets

__all__ = ["Alone", "Broadcast", "Homes", "Knowledge"]

# A change waits 20 ms for others; half a round trip is 1 or 20 ms.
COALESCE_S = 0.02
NEAR_S = 0.001
FAR_S = 0.02
# Payload of one datagram about one target.
DATAGRAM_BYTES = 120


class Knowledge(ABC):
    """Tell instances the loads of targets, sooner or later."""

    def __init__(self, instances: int, engines: int) -> None:
        self._instances = instances
        self._totals = [0.0] * engines
        # Loads of each instance's own; it always knows these.
        self._own: dict[tuple[int, int], float] = {}
        self.bytes_sent = 0

    def change(
        self, instance: int, engine: int, change: float, now: float
    ) -> None:
        """Record that an instance has placed or ended work."""
        key = instance, engine
        self._own[key] = self._own.get(key, 0.0) + change
        self._publish(instance, engine, change, now)

    def forget_engine(self, engine: int) -> None:
        """Drop the loads of an engine that was restarted."""
        self._totals[engine] = 0.0
        for key in [key for key in self._own if key[1] == engine]:
            del self._own[key]

    def forget_instance(self, instance: int) -> None:
        """Drop what an instance knows that has died."""
        for key in [key for key in self._own if key[0] == instance]:
            self._totals[key[1]] -= self._own.pop(key)

    @abstractmethod
    def ask(
        self, instance: int, asked: Sequence[targets.Target], now: float
    ) -> None:
        """Set the loads of some targets to what the instance knows now."""

    @abstractmethod
    def deliver(self, now: float) -> None:
        """Let news arrive that was sent a while ago."""

    @abstractmethod
    def _publish(
        self, instance: int, engine: int, change: float, now: float
    ) -> None:
        """Tell others of a change."""


class Alone(Knowledge):
    """Nobody tells anybody anything."""

    def ask(
        self, instance: int, asked: Sequence[targets.Target], now: float
    ) -> None:
        for target in asked:
            own = self._own.get((instance, target.listed.port), 0.0)
            target.peer_load = max(0.0, own)

    def deliver(self, now: float) -> None:
        """Do nothing: there is no news."""

    def _publish(
        self, instance: int, engine: int, change: float, now: float
    ) -> None:
        """Do nothing: nobody is told."""


class Broadcast(Knowledge):
    """Every change goes to every instance."""

    def __init__(self, instances: int, engines: int) -> None:
        super().__init__(instances, engines)
        self._news: list[tuple[float, int, int, int, float]] = []
        self._number = itertools.count()
        # Sent but not arrived yet; the sender knows it already.
        self._pending: dict[tuple[int, int], float] = {}

    def ask(
        self, instance: int, asked: Sequence[targets.Target], now: float
    ) -> None:
        for target in asked:
            engine = target.listed.port
            known = self._totals[engine]
            known += self._pending.get((instance, engine), 0.0)
            target.peer_load = max(0.0, known)

    def deliver(self, now: float) -> None:
        while self._news and self._news[0][0] <= now:
            _, _, instance, engine, change = heapq.heappop(self._news)
            self._totals[engine] += change
            self._pending[instance, engine] -= change

    def _publish(
        self, instance: int, engine: int, change: float, now: float
    ) -> None:
        key = instance, engine
        self._pending[key] = self._pending.get(key, 0.0) + change
        arrives_at = now + COALESCE_S + FAR_S
        item = (arrives_at, next(self._number), instance, engine, change)
        heapq.heappush(self._news, item)
        self.bytes_sent += DATAGRAM_BYTES * (self._instances - 1)


class Homes(Broadcast):
    """One instance knows a target's load, and is asked for it."""

    def __init__(self, instances: int, engines: int) -> None:
        super().__init__(instances, engines)
        self._asked: dict[int, list[float]] = {}

    def ask(
        self, instance: int, asked: Sequence[targets.Target], now: float
    ) -> None:
        super().ask(instance, asked, now)
        for target in asked:
            recent = [
                until
                for until in self._asked.get(target.listed.port, ())
                if until > now
            ]
            target.peer_load += loads.PENDING_QUERY_LOAD * len(recent)
            self._asked[target.listed.port] = [
                *recent,
                now + loads.PENDING_QUERY_S,
            ]
            self.bytes_sent += 2 * DATAGRAM_BYTES

    def _publish(
        self, instance: int, engine: int, change: float, now: float
    ) -> None:
        before = self.bytes_sent
        super()._publish(instance, engine, change, now)
        self.bytes_sent = before + DATAGRAM_BYTES
