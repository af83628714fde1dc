"""Admission limit for one kind of work at one instance."""

import math
from typing import Generic
from typing import TypeVar

import msgspec

from sassafrasflow import ids
from sassafrasflow.organisations import fair_queue
from sassafrasflow.organisations import quota as quotas

__all__ = ["Limiter", "LimiterPolicy", "Overload"]

ItemT = TypeVar("ItemT")
DURATION_SMOOTHING = 0.02
RATE_AVERAGING_S = 15.0


class LimiterPolicy(msgspec.Struct, frozen=True):
    """Bound waiting, and reserve slots for organisations within their share.

    ``expected_ms`` is the assumed duration of work before any has ended. An
    organisation counts as active until ``active_ms`` after its last offer.
    """

    max_wait_ms: float = 2_000
    max_waiting: int = 1_000
    reserve_share: float = 0.1
    min_limit: int = 16
    expected_ms: float = 1_000
    active_ms: float = 10_000


class Overload(msgspec.Struct, frozen=True):
    """Report that work would wait too long."""

    wait_s: float


class Limiter(Generic[ItemT]):
    """Decide which work starts, waits or is refused.

    Organisations within their share go first. An organisation above its
    share may use all idle slots but a small reserve, which is kept while
    other organisations are active.
    """

    def __init__(self, policy: LimiterPolicy) -> None:
        self._policy = policy
        self._queue: fair_queue.FairQueue[ItemT] = fair_queue.FairQueue()
        self._quota: quotas.InstanceQuota | None = None
        self._weights: dict[ids.OrganisationId, float] = {}
        self._running: dict[ids.OrganisationId, int] = {}
        self._last_offered_at: dict[ids.OrganisationId, float] = {}
        self._arrival_counts: dict[ids.OrganisationId, int] = {}
        self._arrival_rates: dict[ids.OrganisationId, float] = {}
        self._rates_updated_at = 0.0
        self._running_count = 0
        self._duration_s = policy.expected_ms / 1000

    @property
    def running(self) -> int:
        """Return how many pieces of work run."""
        return self._running_count

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
        """Set the quota, or ``None`` when the capacity is unknown."""
        self._quota = quota

    def demand(self, now: float) -> dict[ids.OrganisationId, quotas.Demand]:
        """Return the demand of each active organisation.

        Arrival rates are updated here, so this has to be called regularly.
        """
        self._remove_inactive(now)
        self._update_rates(now)
        return {name: self._demand_of(name) for name in self._last_offered_at}

    def _demand_of(self, name: ids.OrganisationId) -> quotas.Demand:
        wanted = self._running.get(name, 0) + self._queue.queued_count(name)
        rate = self._arrival_rates.get(name, 0.0)
        return quotas.Demand(float(wanted), rate * self._duration_s)

    def _update_rates(self, now: float) -> None:
        elapsed_s = now - self._rates_updated_at
        if elapsed_s <= 0:
            return
        self._rates_updated_at = now
        weight = min(1.0, elapsed_s / RATE_AVERAGING_S)
        for name in self._last_offered_at:
            newest_rate = self._arrival_counts.pop(name, 0) / elapsed_s
            rate = self._arrival_rates.get(name, 0.0)
            self._arrival_rates[name] = rate + weight * (newest_rate - rate)

    def offer(
        self,
        organisation: ids.OrganisationId,
        weight: float,
        cost: float,
        item: ItemT,
        now: float,
    ) -> fair_queue.QueuedItem[ItemT] | Overload | None:
        """Start work, queue it or refuse it.

        Return ``None`` if it started, otherwise its queued item or the
        overload.
        """
        self._last_offered_at[organisation] = now
        self._arrival_counts[organisation] = (
            self._arrival_counts.get(organisation, 0) + 1
        )
        self._weights[organisation] = weight
        if not self._queue.queued_count(organisation) and self._may_start(
            organisation
        ):
            self._queue.charge(organisation, weight, cost)
            self._begin(organisation)
            return None
        wait_s = self.expected_wait_s(organisation)
        is_full = len(self._queue) >= self._policy.max_waiting
        if is_full or wait_s > self._policy.max_wait_ms / 1000:
            return Overload(wait_s)
        return self._queue.push(organisation, weight, cost, item, now)

    def expected_wait_s(self, organisation: ids.OrganisationId) -> float:
        """Estimate how long new work of an organisation would wait."""
        within_share = self._is_within_share(organisation)
        if not within_share and self._quota is not None:
            slots = self._quota.organisations.get(organisation, 0.0)
            position = 1 + self._queue.queued_count(organisation)
            return position * self._duration_s / max(1.0, slots)
        ahead = 1 + self._queue.estimate_ahead(
            organisation,
            {organisation: 1.0, **self._weights},
            lambda name: not within_share or self._is_within_share(name),
        )
        return ahead * self._duration_s / max(1, self.limit)

    def end(
        self, organisation: ids.OrganisationId, duration_s: float | None
    ) -> None:
        """Record that work has ended; the duration counts if it succeeded."""
        self._running_count -= 1
        self._running[organisation] -= 1
        if duration_s is not None:
            change_s = duration_s - self._duration_s
            self._duration_s += DURATION_SMOOTHING * change_s

    def start_next(self) -> fair_queue.QueuedItem[ItemT] | None:
        """Start the next waiting work and return it, if any may start."""
        if self._running_count >= self.limit:
            return None
        queued = self._queue.pop(self._is_within_share)
        if queued is None:
            queued = self._queue.pop(self._may_start)
        if queued is not None:
            self._begin(queued.organisation)
        return queued

    def abandon(self, queued: fair_queue.QueuedItem[ItemT]) -> None:
        """Remove waiting work from the queue."""
        self._queue.remove(queued)

    def _begin(self, organisation: ids.OrganisationId) -> None:
        self._running_count += 1
        running = self._running.get(organisation, 0)
        self._running[organisation] = running + 1

    def _may_start(self, organisation: ids.OrganisationId) -> bool:
        free = self.limit - self._running_count
        if self._is_within_share(organisation):
            return free > 0
        return free > self._reserve()

    def _is_within_share(self, organisation: ids.OrganisationId) -> bool:
        """Return whether an organisation asks for no more than its share."""
        quota = self._quota
        if quota is not None and organisation in quota.reported:
            return organisation in quota.satisfied
        if organisation not in self._last_offered_at:
            return True
        running = self._running.get(organisation, 0)
        return running < self._guaranteed_share(organisation)

    def _reserve(self) -> int:
        if len(self._last_offered_at) < 2:
            return 0
        return math.ceil(self.limit * self._policy.reserve_share)

    def _guaranteed_share(self, organisation: ids.OrganisationId) -> float:
        """Return how much an organisation may run however busy others are."""
        total = sum(self._weights[name] for name in self._last_offered_at)
        share = self.limit * self._weights[organisation] / total
        if self._quota is None:
            return share
        return max(share, self._quota.organisations.get(organisation, 0.0))

    def _remove_inactive(self, now: float) -> None:
        for name, offered_at in list(self._last_offered_at.items()):
            idle_s = now - offered_at
            is_busy = self._running.get(name, 0) or self._queue.queued_count(
                name
            )
            if not is_busy and idle_s > self._policy.active_ms / 1000:
                del self._last_offered_at[name]
                self._weights.pop(name)
                self._running.pop(name, None)
                self._arrival_rates.pop(name, None)
                self._arrival_counts.pop(name, None)
