"""Gossip cores in several data centres, connected by in-memory links."""

from collections.abc import Iterable
import random

from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow.fakes import links

__all__ = ["MemoryCluster"]

CENTRES_PER_REGION = 3


class MemoryCluster:
    """Run nodes ``n0``, ``n1``, ... spread evenly over data centres.

    Each region holds three data centres, or one if ``centres`` is at most
    three.
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
        """Return the address, location and incarnation of a node."""
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
        """Start or restart a node, with the first nodes as its seeds."""
        core = membership.GossipCore(
            self.peer(number, incarnation),
            self.policy,
            self.links.clock,
            random.Random(self.rng.random()),
            [address(seed) for seed in range(self._seeds)],
        )
        self.links.add(address(number), core)

    def exchange_members(self) -> None:
        """Give every node the member entries of all nodes at once."""
        member_entries = [
            entry
            for core in self.cores.values()
            for entry in core.state.table.entries(membership.Topic.MEMBER)
        ]
        for at, core in self.cores.items():
            core.state.apply_entries(member_entries, membership.Source.REGION)
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
        """Return the configuration revision of a node."""
        return self.cores[address(number)].state.table.version(
            membership.Topic.CONFIGURATION, "current"
        )

    def has_version(self, numbers: Iterable[int], version: int) -> bool:
        """Return whether all given nodes have a revision or a newer one."""
        return all(self.version(number) >= version for number in numbers)

    def peers(self, number: int) -> set[int]:
        """Return the numbers of the live peers of a node."""
        live_peers = self.cores[address(number)].state.peers()
        return {int(peer.instance.removeprefix("n")) for peer in live_peers}

    def nodes_in(self, name: str) -> list[int]:
        """Return the numbers of the running nodes in a data centre."""
        return [
            int(core.state.me.instance.removeprefix("n"))
            for core in self.cores.values()
            if core.state.me.data_centre == name
        ]

    def partition(self, groups: Iterable[Iterable[int]]) -> None:
        """Block all links between groups of nodes, in both directions."""
        group_by_address = {
            address(number): index
            for index, group in enumerate(groups)
            for number in group
        }
        self.links.faults.is_blocked = lambda a, b: (
            group_by_address.get(a) != group_by_address.get(b)
        )

    def heal(self) -> None:
        """End every fault of the links."""
        self.links.faults = links.LinkFaults()


def address(number: int) -> str:
    """Return the address of a node."""
    return f"n{number}:1"
