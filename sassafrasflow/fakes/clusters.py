"""Gossip cores in several data centres, joined by in-memory links."""

from collections.abc import Iterable
import random

from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow.fakes import links

__all__ = ["MemoryCluster"]

CENTRES_PER_REGION = 3


class MemoryCluster:
    """Run nodes named ``n0`` and up, spread evenly over data centres.

    ``centres`` data centres stand in groups of three in a region, or each
    in a region of its own when there are no more than three.
    """

    def __init__(
        self,
        nodes: int,
        *,
        centres: int = 3,
        seeds: int = 3,
        seed: int = 0,
        policy: membership.GossipPolicy | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.policy = policy or membership.GossipPolicy()
        self.links = links.MemoryLinks(random.Random(seed + 1))
        self._centres = centres
        self._seeds = seeds
        for number in range(nodes):
            self.start(number)

    @property
    def cores(self) -> dict[str, membership.GossipCore]:
        """Return the running cores by address."""
        return self.links.cores

    def peer(
        self, number: int, incarnation: int | None = None
    ) -> membership.Peer:
        """Describe a node."""
        centre = number % self._centres
        per_region = CENTRES_PER_REGION if self._centres > 3 else 1
        if incarnation is None:
            incarnation = int(self.links.clock.wall() * 1000)
        return membership.Peer(
            ids.InstanceId(f"n{number}"),
            address(number),
            ids.Region(f"region-{centre // per_region}"),
            ids.DataCentre(f"centre-{centre}"),
            incarnation,
        )

    def start(self, number: int, incarnation: int | None = None) -> None:
        """Start a node afresh; the first ones are its seeds."""
        core = membership.GossipCore(
            self.peer(number, incarnation),
            self.policy,
            self.links.clock,
            random.Random(self.rng.random()),
            [address(seed) for seed in range(self._seeds)],
        )
        self.links.add(address(number), core)

    def introduce(self) -> None:
        """Tell every node of every other one at once."""
        told = [
            entry
            for core in self.cores.values()
            for entry in core.state.table.entries(membership.Topic.MEMBER)
        ]
        for at, core in self.cores.items():
            core.state.apply_entries(told, membership.Source.REGION)
            core.state.drop_rumours()
            self.links.wake(at)

    def publish(self, number: int, version: int, value: bytes = b"") -> None:
        """Publish a configuration revision at a node."""
        self.cores[address(number)].state.publish(
            membership.Topic.CONFIGURATION,
            "current",
            value,
            version=version,
            ttl_ms=3_600_000,
        )
        self.links.wake(address(number))

    def version(self, number: int) -> int:
        """Return the configuration revision known at a node."""
        return self.cores[address(number)].state.table.version(
            membership.Topic.CONFIGURATION, "current"
        )

    def knows(self, numbers: Iterable[int], version: int) -> bool:
        """Tell whether nodes know a revision."""
        return all(self.version(number) >= version for number in numbers)

    def peers(self, number: int) -> set[int]:
        """Return the numbers of the live peers of a node."""
        found = self.cores[address(number)].state.peers()
        return {int(peer.instance.removeprefix("n")) for peer in found}

    def centre(self, name: str) -> list[int]:
        """Return the nodes of a data centre."""
        return [
            int(core.state.me.instance.removeprefix("n"))
            for core in self.cores.values()
            if core.state.me.data_centre == name
        ]

    def separate(self, groups: Iterable[Iterable[int]]) -> None:
        """Block all links between groups of nodes, both ways."""
        side = {
            address(number): index
            for index, group in enumerate(groups)
            for number in group
        }
        self.links.faults.blocked = lambda a, b: side.get(a) != side.get(b)

    def heal(self) -> None:
        """End every fault of the links."""
        self.links.faults = links.LinkFaults()


def address(number: int) -> str:
    """Return the address of a node."""
    return f"n{number}:1"
