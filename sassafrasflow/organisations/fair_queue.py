"""Weighted fair queue over organisations."""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from typing import Generic
from typing import TypeVar

import msgspec

from sassafrasflow import ids

__all__ = ["FairQueue", "QueuedItem"]

ItemT = TypeVar("ItemT")


class QueuedItem(msgspec.Struct, Generic[ItemT], eq=False):
    """Hold a queued item and its start in virtual time."""

    organisation: ids.OrganisationId
    item: ItemT
    start: float
    arrived_at: float


class FairQueue(Generic[ItemT]):
    """Serve organisations in proportion to their weights.

    The start of an item in virtual time is when the earlier items of its
    organisation would be finished at the rate of the organisation's weight.
    """

    def __init__(self) -> None:
        self._queues: dict[
            ids.OrganisationId, collections.deque[QueuedItem[ItemT]]
        ] = {}
        self._last_finishes: dict[ids.OrganisationId, float] = {}
        self._virtual_time = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def queued_count(self, organisation: ids.OrganisationId) -> int:
        """Return how many items of an organisation are queued."""
        return len(self._queues.get(organisation, ()))

    def organisations(self) -> list[ids.OrganisationId]:
        """Return the organisations with queued items."""
        return list(self._queues)

    def push(
        self,
        organisation: ids.OrganisationId,
        weight: float,
        cost: float,
        item: ItemT,
        now: float,
    ) -> QueuedItem[ItemT]:
        """Add an item after the organisation's others."""
        start = self.charge(organisation, weight, cost)
        queued = QueuedItem(organisation, item, start, now)
        queue = self._queues.setdefault(organisation, collections.deque())
        queue.append(queued)
        self._size += 1
        return queued

    def charge(
        self, organisation: ids.OrganisationId, weight: float, cost: float
    ) -> float:
        """Charge an item to its organisation and return its virtual start."""
        last = self._last_finishes.get(organisation, 0.0)
        start = max(self._virtual_time, last)
        self._last_finishes[organisation] = start + cost / weight
        return start

    def pop(
        self, is_eligible: Callable[[ids.OrganisationId], bool]
    ) -> QueuedItem[ItemT] | None:
        """Remove and return the next item among the eligible organisations."""
        heads = [
            queue[0]
            for organisation, queue in self._queues.items()
            if is_eligible(organisation)
        ]
        if not heads:
            return None
        head = min(heads, key=lambda queued: queued.start)
        self.remove(head)
        self._virtual_time = max(self._virtual_time, head.start)
        self._remove_past_finishes()
        return head

    def remove(self, queued: QueuedItem[ItemT]) -> None:
        """Remove an item, if it is still queued."""
        queue = self._queues.get(queued.organisation)
        if queue is None or queued not in queue:
            return
        queue.remove(queued)
        self._size -= 1
        if not queue:
            del self._queues[queued.organisation]

    def estimate_ahead(
        self,
        organisation: ids.OrganisationId,
        weights: Mapping[ids.OrganisationId, float],
        is_counted: Callable[[ids.OrganisationId], bool],
    ) -> float:
        """Estimate how many items are served before a new one.

        Of the other organisations, only those that ``is_counted`` accepts
        count.
        """
        rounds = (self.queued_count(organisation) + 1) / weights[organisation]
        others = sum(
            min(len(queue), rounds * weights[name])
            for name, queue in self._queues.items()
            if name != organisation and is_counted(name)
        )
        return self.queued_count(organisation) + others

    def _remove_past_finishes(self) -> None:
        # An idle organisation whose last finish has passed starts again at the
        # current virtual time.
        if not self._size:
            self._last_finishes = {
                name: finish
                for name, finish in self._last_finishes.items()
                if finish > self._virtual_time
            }
