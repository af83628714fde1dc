"""Limiter: admission of one kind of work at one instance."""

import math
from typing import Generic
from typing import TypeVar

import msgspec

from sassafrasflow import ids
from sassafrasflow.organisations import fair_queue
from sassafrasflow.organisations import quota as quotas

__all__ = ["Limiter", "LimiterPolicy", "Overload"]

ItemT = TypeVar("ItemT")
DURATION_WEIGHT = 0.02
RATE_SPAN_S = 15.0


class LimiterPolicy(msgspec.Struct, frozen=True):
    """Bound waiting, and keep slots free for those within their quota."""

    max_wait_ms: float = 2_000
    max_waiting: int = 1_000
    reserve_share: float = 0.1
    min_limit: int = 16
    expected_ms: float = 1_000
    active_ms: float = 10_000


class Overload(msgspec.Struct, frozen=True):
    """Tell that work would wait too long, in seconds."""

    wait_s: float


class Limiter(Generic[ItemT]):
    """Decide what starts, waits or is refused.

    Organisations within their share go first. One above it may use every
    idle slot but a small reserve, kept while others are active.
    """

    def __init__(self, policy: LimiterPolicy) -> None:
        self._policy = policy
        self._queue: fair_queue.FairQueue[ItemT] = fair_queue.FairQueue()
        self._quota: quotas.InstanceQuota | None = None
        self._weights: dict[ids.OrganisationId, float] = {}
        self._running: dict[ids.OrganisationId, int] = {}
        self._seen_at: dict[ids.OrganisationId, float] = {}
        self._arrived: dict[ids.OrganisationId, int] = {}
        self._rates: dict[ids.OrganisationId, float] = {}
        self._rated_at = 0.0
        self._total = 0
        self._duration_s = policy.expected_ms / 1000

    @property
    def running(self) -> int:
        """Return how many pieces of work run."""
        return self._total

    @property
    def waiting(self) -> int:
        """Return how many pieces of work wait."""
        return len(self._queue)

    @property
    def limit(self) -> int:
        """Return how many pieces of work may run."""
        if self._quota is None:
            return self._policy.min_limit
        return max(self._policy.min_limit, math.floor(self._quota.limit))

    def set_quota(self, quota: quotas.InstanceQuota | None) -> None:
        """Change what may run; ``None`` when the capacity is unknown."""
        self._quota = quota

    def demand(self, now: float) -> dict[ids.OrganisationId, quotas.Demand]:
        """Return what each organisation asks for; call it regularly."""
        self._forget_inactive(now)
        self._update_rates(now)
        return {name: self._demand_of(name) for name in self._seen_at}

    def _demand_of(self, name: ids.OrganisationId) -> quotas.Demand:
        wanted = self._running.get(name, 0) + self._queue.waiting(name)
        rate = self._rates.get(name, 0.0)
        return quotas.Demand(float(wanted), rate * self._duration_s)

    def _update_rates(self, now: float) -> None:
        passed_s = now - self._rated_at
        if passed_s <= 0:
            return
        self._rated_at = now
        weight = min(1.0, passed_s / RATE_SPAN_S)
        for name in self._seen_at:
            newest = self._arrived.pop(name, 0) / passed_s
            rate = self._rates.get(name, 0.0)
            self._rates[name] = rate + weight * (newest - rate)

    def offer(
        self,
        organisation: ids.OrganisationId,
        weight: float,
        cost: float,
        item: ItemT,
        now: float,
    ) -> fair_queue.QueuedItem[ItemT] | Overload | None:
        """Start work and return ``None``, or queue or refuse it."""
        self._seen_at[organisation] = now
        self._arrived[organisation] = self._arrived.get(organisation, 0) + 1
        self._weights[organisation] = weight
        if not self._queue.waiting(organisation) and self._may_start(
            organisation
        ):
            self._queue.charge(organisation, weight, cost)
            self._begin(organisation)
            return None
        wait_s = self.expected_wait_s(organisation)
        full = len(self._queue) >= self._policy.max_waiting
        if full or wait_s > self._policy.max_wait_ms / 1000:
            return Overload(wait_s)
        return self._queue.push(organisation, weight, cost, item, now)

    def expected_wait_s(self, organisation: ids.OrganisationId) -> float:
        """Estimate how long new work would wait."""
        within = self._is_within(organisation)
        if not within and self._quota is not None:
            slots = self._quota.organisations.get(organisation, 0.0)
            own = 1 + self._queue.waiting(organisation)
            return own * self._duration_s / max(1.0, slots)
        ahead = 1 + self._queue.ahead(
            organisation,
            {organisation: 1.0, **self._weights},
            lambda name: not within or self._is_within(name),
        )
        return ahead * self._duration_s / max(1, self.limit)

    def end(
        self, organisation: ids.OrganisationId, duration_s: float | None
    ) -> None:
        """Note that work has ended, and how long it ran if it succeeded."""
        self._total -= 1
        self._running[organisation] -= 1
        if duration_s is not None:
            change = duration_s - self._duration_s
            self._duration_s += DURATION_WEIGHT * change

    def start_next(self) -> fair_queue.QueuedItem[ItemT] | None:
        """Start the waiting work that is next, if any may start."""
        if self._total >= self.limit:
            return None
        waiting = self._queue.pop(self._is_within)
        if waiting is None:
            waiting = self._queue.pop(self._may_start)
        if waiting is not None:
            self._begin(waiting.organisation)
        return waiting

    def abandon(self, waiting: fair_queue.QueuedItem[ItemT]) -> None:
        """Remove work that no longer waits."""
        self._queue.remove(waiting)

    def _begin(self, organisation: ids.OrganisationId) -> None:
        self._total += 1
        running = self._running.get(organisation, 0)
        self._running[organisation] = running + 1

    def _may_start(self, organisation: ids.OrganisationId) -> bool:
        free = self.limit - self._total
        if self._is_within(organisation):
            return free > 0
        return free > self._reserve()

    def _is_within(self, organisation: ids.OrganisationId) -> bool:
        """Tell whether an organisation asks for no more than its share."""
        quota = self._quota
        if quota is not None and organisation in quota.known:
            return organisation in quota.satisfied
        if organisation not in self._seen_at:
            return True
        running = self._running.get(organisation, 0)
        return running < self._share(organisation)

    def _reserve(self) -> int:
        if len(self._seen_at) < 2:
            return 0
        return math.ceil(self.limit * self._policy.reserve_share)

    def _share(self, organisation: ids.OrganisationId) -> float:
        """Return what an organisation may run however busy others are."""
        total = sum(self._weights[name] for name in self._seen_at)
        share = self.limit * self._weights[organisation] / total
        if self._quota is None:
            return share
        return max(share, self._quota.organisations.get(organisation, 0.0))

    def _forget_inactive(self, now: float) -> None:
        for name, seen_at in list(self._seen_at.items()):
            idle_s = now - seen_at
            busy = self._running.get(name, 0) or self._queue.waiting(name)
            if not busy and idle_s > self._policy.active_ms / 1000:
                del self._seen_at[name]
                self._weights.pop(name)
                self._running.pop(name, None)
                self._rates.pop(name, None)
                self._arrived.pop(name, None)
