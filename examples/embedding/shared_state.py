"""Share state between three nodes without running the daemon.

Run it with ``python examples/embedding/shared_state.py``. It needs only the
``peers`` and ``membership`` packages.
"""

import asyncio
import random

from sassafrasflow import clocks
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow import peers

NODES = 3
SHARED_KEY = "replace-me"
TTL_MS = 60_000


class Node:
    """Combine one peer transport and its gossip node."""

    def __init__(self, name: str, seeds: tuple[str, ...] = ()) -> None:
        rng = random.Random()
        instance = ids.InstanceId(name)
        self.transport = peers.PeerNode(
            instance, "127.0.0.1", 0, SHARED_KEY, rng
        )
        me = membership.Peer(
            instance, "", ids.Region("east"), ids.DataCentre("east-1")
        )
        self.shared = membership.GossipNode(
            me, self.transport, clocks.SystemClock(), rng, seeds=seeds
        )

    async def start(self) -> None:
        """Start the listener and the gossip."""
        await self.transport.start()
        await self.shared.start()

    async def close(self) -> None:
        """Leave the gossip and stop the listener."""
        await self.shared.close()
        await self.transport.close()


async def main() -> None:
    """Publish an entry at one node and receive it at another."""
    first = Node("node-0")
    await first.start()
    nodes = [first]
    for number in range(1, NODES):
        node = Node(f"node-{number}", (first.transport.address,))
        await node.start()
        nodes.append(node)
    received = asyncio.get_running_loop().create_future()
    nodes[-1].shared.subscribe(membership.Topic.BLOCK, received.set_result)
    first.shared.publish(
        membership.Topic.BLOCK, "planner@v2", b"slow", version=1, ttl_ms=TTL_MS
    )
    entry = await asyncio.wait_for(received, 30)
    print(f"node-{NODES - 1} heard {entry.key} from {entry.origin}.")
    live = nodes[-1].shared.peers()
    replica = membership.rendezvous("generation-7", live, 1)[0]
    print(f"The replica of generation-7 is {replica.instance}.")
    for node in reversed(nodes):
        await node.close()


if __name__ == "__main__":
    asyncio.run(main())
