"""Models of how instances share the loads of targets, and of the cost."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Sequence
import heapq
import itertools

from sassafrasflow.gateway import loads
from sassafrasflow.gateway import targets

__all__ = ["NoSharing", "Broadcast", "OwnerQueries", "LoadSharing"]

# A change is coalesced with others for 20 ms. Half a round trip takes 1 ms
# within a data centre and 20 ms between data centres.
COALESCE_S = 0.02
LOCAL_DELAY_S = 0.001
REMOTE_DELAY_S = 0.02
# Payload of a datagram about one target.
DATAGRAM_BYTES = 120


class LoadSharing(ABC):
    """Share the loads of targets between instances, with a delay."""

    def __init__(self, instances: int, engines: int) -> None:
        self._instances = instances
        self._total_loads = [0.0] * engines
        # Load that each instance itself placed, which it always knows.
        self._own_loads: dict[tuple[int, int], float] = {}
        self.bytes_sent = 0

    def change(
        self, instance: int, engine: int, change: float, now: float
    ) -> None:
        """Record that an instance placed work or that its work ended."""
        key = instance, engine
        self._own_loads[key] = self._own_loads.get(key, 0.0) + change
        self._publish(instance, engine, change, now)

    def forget_engine(self, engine: int) -> None:
        """Drop the loads of a restarted engine."""
        self._total_loads[engine] = 0.0
        for key in [key for key in self._own_loads if key[1] == engine]:
            del self._own_loads[key]

    def forget_instance(self, instance: int) -> None:
        """Drop the loads that a dead instance placed."""
        for key in [key for key in self._own_loads if key[0] == instance]:
            self._total_loads[key[1]] -= self._own_loads.pop(key)

    @abstractmethod
    def query_loads(
        self, instance: int, queried: Sequence[targets.Target], now: float
    ) -> None:
        """Set the loads of some targets to those that the instance knows."""

    @abstractmethod
    def deliver(self, now: float) -> None:
        """Apply the changes that are due to arrive."""

    @abstractmethod
    def _publish(
        self, instance: int, engine: int, change: float, now: float
    ) -> None:
        """Send a change to other instances."""


class NoSharing(LoadSharing):
    """Model instances that know only the load that they placed."""

    def query_loads(
        self, instance: int, queried: Sequence[targets.Target], now: float
    ) -> None:
        for target in queried:
            own = self._own_loads.get((instance, target.listed.port), 0.0)
            target.peer_load = max(0.0, own)

    def deliver(self, now: float) -> None:
        """Do nothing, because no changes are sent."""

    def _publish(
        self, instance: int, engine: int, change: float, now: float
    ) -> None:
        """Do nothing, because loads are not shared."""


class Broadcast(LoadSharing):
    """Model instances that send every change to every other instance."""

    def __init__(self, instances: int, engines: int) -> None:
        super().__init__(instances, engines)
        self._pending_changes: list[tuple[float, int, int, int, float]] = []
        self._number = itertools.count()
        # Changes that have not arrived yet, which only their sender knows.
        self._pending_load_by_key: dict[tuple[int, int], float] = {}

    def query_loads(
        self, instance: int, queried: Sequence[targets.Target], now: float
    ) -> None:
        for target in queried:
            engine = target.listed.port
            load = self._total_loads[engine]
            load += self._pending_load_by_key.get((instance, engine), 0.0)
            target.peer_load = max(0.0, load)

    def deliver(self, now: float) -> None:
        while self._pending_changes and self._pending_changes[0][0] <= now:
            _, _, instance, engine, change = heapq.heappop(
                self._pending_changes
            )
            self._total_loads[engine] += change
            self._pending_load_by_key[instance, engine] -= change

    def _publish(
        self, instance: int, engine: int, change: float, now: float
    ) -> None:
        key = instance, engine
        self._pending_load_by_key[key] = (
            self._pending_load_by_key.get(key, 0.0) + change
        )
        arrives_at = now + COALESCE_S + REMOTE_DELAY_S
        item = (arrives_at, next(self._number), instance, engine, change)
        heapq.heappush(self._pending_changes, item)
        self.bytes_sent += DATAGRAM_BYTES * (self._instances - 1)


class OwnerQueries(Broadcast):
    """Model one owner for each target, which is queried for its load."""

    def __init__(self, instances: int, engines: int) -> None:
        super().__init__(instances, engines)
        self._query_expiries_by_engine: dict[int, list[float]] = {}

    def query_loads(
        self, instance: int, queried: Sequence[targets.Target], now: float
    ) -> None:
        super().query_loads(instance, queried, now)
        for target in queried:
            recent = [
                until
                for until in self._query_expiries_by_engine.get(
                    target.listed.port, ()
                )
                if until > now
            ]
            target.peer_load += loads.PENDING_QUERY_LOAD * len(recent)
            self._query_expiries_by_engine[target.listed.port] = [
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
