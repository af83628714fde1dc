"""Pools of targets by what they serve, sampled in constant time."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
import random

from sassafrasflow import ids

__all__ = ["Pool", "PoolIndex", "TargetPredicate"]

TargetPredicate = Callable[[ids.TargetId], bool]

MAX_EXAMINED_MEMBERS = 64


class Pool:
    """Hold target ids and draw random ones without iterating over all."""

    def __init__(self) -> None:
        self._members: list[ids.TargetId] = []
        self._positions: dict[ids.TargetId, int] = {}

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[ids.TargetId]:
        return iter(self._members)

    def __contains__(self, member: object) -> bool:
        return member in self._positions

    def add(self, member: ids.TargetId) -> None:
        """Add a target, unless it is a member already."""
        if member not in self._positions:
            self._positions[member] = len(self._members)
            self._members.append(member)

    def discard(self, member: ids.TargetId) -> None:
        """Remove a target if it is a member."""
        position = self._positions.pop(member, None)
        if position is None:
            return
        last = self._members.pop()
        if last != member:
            self._members[position] = last
            self._positions[last] = position

    def sample(
        self,
        count: int,
        is_usable: TargetPredicate,
        rng: random.Random,
    ) -> list[ids.TargetId]:
        """Return up to ``count`` usable targets, drawn at random.

        Examines a bounded number of members, so the result may be empty in
        a large pool in which nearly all members are unusable.
        """
        size = len(self._members)
        if size > MAX_EXAMINED_MEMBERS:
            drawn = rng.sample(range(size), 2 * count)
            usable_members = self._first_usable(drawn, count, is_usable)
            if len(usable_members) == count:
                return usable_members
        order = rng.sample(range(size), min(size, MAX_EXAMINED_MEMBERS))
        return self._first_usable(order, count, is_usable)

    def _first_usable(
        self,
        positions: list[int],
        count: int,
        is_usable: TargetPredicate,
    ) -> list[ids.TargetId]:
        usable_members: list[ids.TargetId] = []
        for position in positions:
            if len(usable_members) == count:
                break
            member = self._members[position]
            if is_usable(member):
                usable_members.append(member)
        return usable_members


class PoolIndex:
    """Map each key that targets serve to a pool for each region.

    A key is the name of a plain service, or a model and a version.
    """

    def __init__(self) -> None:
        self._pools: dict[Hashable, dict[ids.Region, Pool]] = {}
        self._entries: dict[
            ids.TargetId, tuple[ids.Region, frozenset[Hashable]]
        ] = {}

    def put(
        self,
        target: ids.TargetId,
        region: ids.Region,
        keys: frozenset[Hashable],
    ) -> None:
        """Set the region and keys of a target; do nothing if unchanged."""
        if self._entries.get(target) == (region, keys):
            return
        self.remove(target)
        self._entries[target] = (region, keys)
        for key in keys:
            regions = self._pools.setdefault(key, {})
            regions.setdefault(region, Pool()).add(target)

    def remove(self, target: ids.TargetId) -> None:
        """Remove a target from all pools."""
        region, keys = self._entries.pop(target, (ids.Region(""), frozenset()))
        for key in keys:
            regions = self._pools[key]
            regions[region].discard(target)
            if not regions[region]:
                del regions[region]
            if not regions:
                del self._pools[key]

    def regions(self, key: Hashable) -> dict[ids.Region, Pool]:
        """Return the pools that serve a key, by region."""
        return self._pools.get(key, {})
