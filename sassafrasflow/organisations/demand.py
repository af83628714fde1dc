"""Exchange of demand, from which each instance computes its quota."""

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
    """Set how often demand is published and how long it counts."""

    interval_ms: int = 500
    ttl_ms: int = 5_000
    floor_share: float = 0.25


DemandsByLimiter = dict[str, dict[ids.OrganisationId, quotas.Demand]]


class DemandExchange:
    """Publish this instance's demand, and divide capacity by all demand."""

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
        self._published: DemandsByLimiter | None = None
        self._published_at = 0.0
        self._periodic = periodic.Periodic(
            "organisations",
            self._exchange_once,
            lambda: policy.interval_ms / MS_PER_S,
        )

    async def start(self) -> None:
        """Start exchanging in the background."""
        self._periodic.start()

    async def close(self) -> None:
        """Stop exchanging."""
        await self._periodic.close()

    def exchange(self) -> None:
        """Publish this instance's demand if due, and apply the new quotas."""
        now = self._clock.monotonic()
        local_demands: DemandsByLimiter = {
            str(key): self._gate.limiter(key).demand(now)
            for key in self._gate.limiter_keys()
        }
        if self._is_publication_due(local_demands, now):
            self._publish(local_demands, now)
        demands_by_instance = self._received_demands()
        demands_by_instance[self._instance] = local_demands
        capacities = self._capacities()
        for key in self._gate.limiter_keys():
            self._apply_quota(
                key, capacities.get(key, 0.0), demands_by_instance
            )

    def _is_publication_due(
        self, local_demands: DemandsByLimiter, now: float
    ) -> bool:
        due_at = self._published_at + self._policy.ttl_ms / 2 / MS_PER_S
        if self._published is None or now >= due_at:
            return True
        return any(
            quotas.is_significant_change(self._published.get(key, {}), demands)
            for key, demands in local_demands.items()
        )

    def _publish(self, local_demands: DemandsByLimiter, now: float) -> None:
        self._published = local_demands
        self._published_at = now
        self._shared.publish(
            membership.Topic.DEMAND,
            self._instance,
            msgspec.json.encode(local_demands),
            version=int(self._clock.wall() * MS_PER_S),
            ttl_ms=self._policy.ttl_ms,
        )

    def _received_demands(self) -> dict[ids.InstanceId, DemandsByLimiter]:
        return {
            ids.InstanceId(entry.key): msgspec.json.decode(
                entry.value, type=DemandsByLimiter
            )
            for entry in self._shared.entries(membership.Topic.DEMAND)
        }

    def _apply_quota(
        self,
        key: gates.LimiterKey,
        capacity: float,
        demands_by_instance: dict[ids.InstanceId, DemandsByLimiter],
    ) -> None:
        limiter = self._gate.limiter(key)
        if capacity <= 0:
            limiter.set_quota(None)
            return
        demands = {
            instance: by_limiter.get(str(key), {})
            for instance, by_limiter in demands_by_instance.items()
        }
        quota = quotas.instance_quota(
            capacity,
            demands,
            self._weights(),
            self._instance,
            silent_count=len(
                set(self._instances()) - set(demands_by_instance)
            ),
            floor_share=self._policy.floor_share,
        )
        limiter.set_quota(quota)
        self._gate.start_waiting(limiter)

    async def _exchange_once(self) -> None:
        self.exchange()
