"""Pools of targets by what they serve, for choices in constant time."""

from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
import random

from sassafrasflow import ids

__all__ = ["Pool", "PoolIndex", "Usable"]

Usable = Callable[[ids.TargetId], bool]

MAX_EXAMINED = 64


class Pool:
    """Hold target ids and draw random ones without a walk."""

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
        """Add a target if it is new."""
        if member not in self._positions:
            self._positions[member] = len(self._members)
            self._members.append(member)

    def discard(self, member: ids.TargetId) -> None:
        """Remove a target if it is there."""
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
        usable: Usable,
        rng: random.Random,
    ) -> list[ids.TargetId]:
        """Return up to a number of usable targets, drawn at random.

        Examines a bounded number of members, so in a large pool that is
        nearly all unusable it may find none.
        """
        size = len(self._members)
        if size > MAX_EXAMINED:
            few = rng.sample(range(size), 2 * count)
            found = self._usable(few, count, usable)
            if len(found) == count:
                return found
        order = rng.sample(range(size), min(size, MAX_EXAMINED))
        return self._usable(order, count, usable)

    def _usable(
        self,
        positions: list[int],
        count: int,
        usable: Usable,
    ) -> list[ids.TargetId]:
        found: list[ids.TargetId] = []
        for position in positions:
            if len(found) == count:
                break
            member = self._members[position]
            if usable(member):
                found.append(member)
        return found


class PoolIndex:
    """Map each served key, such as a version, to a pool for each region."""

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
        """Record what a target serves; costs nothing when unchanged."""
        if self._entries.get(target) == (region, keys):
            return
        self.remove(target)
        self._entries[target] = (region, keys)
        for key in keys:
            regions = self._pools.setdefault(key, {})
            regions.setdefault(region, Pool()).add(target)

    def remove(self, target: ids.TargetId) -> None:
        """Forget a target."""
        region, keys = self._entries.pop(target, (ids.Region(""), frozenset()))
        for key in keys:
            regions = self._pools[key]
            regions[region].discard(target)
            if not regions[region]:
                del regions[region]
            if not regions:
                del self._pools[key]

    def regions(self, key: Hashable) -> dict[ids.Region, Pool]:
        """Return the pools that serve a key."""
        return self._pools.get(key, {})
