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
    """Hold an item that waits, and its place in virtual time."""

    organisation: ids.OrganisationId
    item: ItemT
    start: float
    arrived_at: float


class FairQueue(Generic[ItemT]):
    """Serve organisations in proportion to their weights.

    Each item starts, in virtual time, when its organisation's earlier
    items have been served at the organisation's weight.
    """

    def __init__(self) -> None:
        self._queues: dict[
            ids.OrganisationId, collections.deque[QueuedItem[ItemT]]
        ] = {}
        self._finishes: dict[ids.OrganisationId, float] = {}
        self._virtual = 0.0
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def waiting(self, organisation: ids.OrganisationId) -> int:
        """Return how many items of an organisation wait."""
        return len(self._queues.get(organisation, ()))

    def organisations(self) -> list[ids.OrganisationId]:
        """Return the organisations with items that wait."""
        return list(self._queues)

    def push(
        self,
        organisation: ids.OrganisationId,
        weight: float,
        cost: float,
        item: ItemT,
        now: float,
    ) -> QueuedItem[ItemT]:
        """Add an item behind the organisation's others."""
        start = self.charge(organisation, weight, cost)
        waiting = QueuedItem(organisation, item, start, now)
        queue = self._queues.setdefault(organisation, collections.deque())
        queue.append(waiting)
        self._size += 1
        return waiting

    def charge(
        self, organisation: ids.OrganisationId, weight: float, cost: float
    ) -> float:
        """Charge an item and return its start in virtual time."""
        last = self._finishes.get(organisation, 0.0)
        start = max(self._virtual, last)
        self._finishes[organisation] = start + cost / weight
        return start

    def pop(
        self, eligible: Callable[[ids.OrganisationId], bool]
    ) -> QueuedItem[ItemT] | None:
        """Remove the item that is next among eligible organisations."""
        heads = [
            queue[0]
            for organisation, queue in self._queues.items()
            if eligible(organisation)
        ]
        if not heads:
            return None
        head = min(heads, key=lambda waiting: waiting.start)
        self.remove(head)
        self._virtual = max(self._virtual, head.start)
        self._forget_served()
        return head

    def remove(self, waiting: QueuedItem[ItemT]) -> None:
        """Remove an item that no longer waits."""
        queue = self._queues.get(waiting.organisation)
        if queue is None or waiting not in queue:
            return
        queue.remove(waiting)
        self._size -= 1
        if not queue:
            del self._queues[waiting.organisation]

    def ahead(
        self,
        organisation: ids.OrganisationId,
        weights: Mapping[ids.OrganisationId, float],
        counts: Callable[[ids.OrganisationId], bool],
    ) -> float:
        """Estimate how many items of some are served before a new one."""
        turns = (self.waiting(organisation) + 1) / weights[organisation]
        others = sum(
            min(len(queue), turns * weights[name])
            for name, queue in self._queues.items()
            if name != organisation and counts(name)
        )
        return self.waiting(organisation) + others

    def _forget_served(self) -> None:
        # An organisation that is idle past the virtual time starts anew.
        if not self._size:
            self._finishes = {
                name: finish
                for name, finish in self._finishes.items()
                if finish > self._virtual
            }
