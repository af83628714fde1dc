"""Exchange of demand, from which each instance works out its quota."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping

import msgspec

from sassafrasflow import clocks
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow import periodic
from sassafrasflow.organisations import gate as gates
from sassafrasflow.organisations import quota as quotas

__all__ = ["DemandExchange", "DemandPolicy"]

MS_PER_S = 1_000


class DemandPolicy(msgspec.Struct, frozen=True):
    """Set how often demand is told and how long it counts."""

    interval_ms: int = 500
    ttl_ms: int = 5_000
    floor_share: float = 0.25


Demands = dict[str, dict[ids.OrganisationId, quotas.Demand]]


class DemandExchange:
    """Publish this instance's demand and split capacity by everyone's."""

    def __init__(
        self,
        gate: gates.Gate,
        shared: membership.SharedState,
        instance: ids.InstanceId,
        capacities: Callable[[], Mapping[gates.LimiterKey, float]],
        instances: Callable[[], Collection[ids.InstanceId]],
        weights: Callable[[], Mapping[ids.OrganisationId, float]],
        policy: DemandPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._gate = gate
        self._shared = shared
        self._instance = instance
        self._capacities = capacities
        self._instances = instances
        self._weights = weights
        self._policy = policy
        self._clock = clock
        self._published: Demands | None = None
        self._published_at = 0.0
        self._periodic = periodic.Periodic(
            "organisations",
            self._step,
            lambda: policy.interval_ms / MS_PER_S,
        )

    async def start(self) -> None:
        """Begin to exchange in the background."""
        self._periodic.start()

    async def close(self) -> None:
        """Stop exchanging."""
        await self._periodic.close()

    def exchange(self) -> None:
        """Publish the own demand and apply the new quotas."""
        now = self._clock.monotonic()
        own: Demands = {
            str(name): self._gate.limiter(name).demand(now)
            for name in self._gate.names()
        }
        if self._is_news(own, now):
            self._publish(own, now)
        heard = self._heard()
        heard[self._instance] = own
        capacities = self._capacities()
        for name in self._gate.names():
            self._apply(name, capacities.get(name, 0.0), heard)

    def _is_news(self, own: Demands, now: float) -> bool:
        due_at = self._published_at + self._policy.ttl_ms / 2 / MS_PER_S
        if self._published is None or now >= due_at:
            return True
        return any(
            quotas.is_significant_change(self._published.get(name, {}), part)
            for name, part in own.items()
        )

    def _publish(self, own: Demands, now: float) -> None:
        self._published = own
        self._published_at = now
        self._shared.publish(
            membership.Topic.DEMAND,
            self._instance,
            msgspec.json.encode(own),
            version=int(self._clock.wall() * MS_PER_S),
            ttl_ms=self._policy.ttl_ms,
        )

    def _heard(self) -> dict[ids.InstanceId, Demands]:
        return {
            ids.InstanceId(entry.key): msgspec.json.decode(
                entry.value, type=Demands
            )
            for entry in self._shared.entries(membership.Topic.DEMAND)
        }

    def _apply(
        self,
        name: gates.LimiterKey,
        capacity: float,
        heard: dict[ids.InstanceId, Demands],
    ) -> None:
        limiter = self._gate.limiter(name)
        if capacity <= 0:
            limiter.set_quota(None)
            return
        demands = {
            instance: part.get(str(name), {})
            for instance, part in heard.items()
        }
        quota = quotas.instance_quota(
            capacity,
            demands,
            self._weights(),
            self._instance,
            silent_count=len(set(self._instances()) - set(heard)),
            floor_share=self._policy.floor_share,
        )
        limiter.set_quota(quota)
        self._gate.start_waiting(limiter)

    async def _step(self) -> None:
        self.exchange()
