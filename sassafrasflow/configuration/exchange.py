"""Exchange of configuration documents between instances.

Gossip only announces revisions; a document is fetched from a peer when the
table does not answer.
"""

import random

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow import peers

__all__ = ["DocumentExchange"]

METHOD = "configuration"
TIMEOUT_S = 1.0
MAX_PEERS_QUERIED = 3


class DocumentExchange:
    """Ask peers over the peer protocol, and answer them."""

    def __init__(
        self,
        node: peers.PeerNode,
        members: membership.MemberView,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._members = members
        self._rng = rng
        self._document = b""
        node.handle(METHOD, self._answer)

    def offer(self, document: bytes) -> None:
        """Set what peers are answered."""
        self._document = document

    def peer_count(self) -> int:
        """Return how many other instances are known."""
        return len(self._members.peers())

    async def fetch(self, origin: ids.InstanceId | None) -> list[bytes]:
        """Return the documents of a few peers, the origin's first."""
        found = []
        for peer in self._asked(origin):
            try:
                content = await self._node.call(
                    peer.address, METHOD, b"", TIMEOUT_S
                )
            except exceptions.PeerError:
                continue
            if content:
                found.append(content)
        return found

    def _asked(self, origin: ids.InstanceId | None) -> list[membership.Peer]:
        known = self._members.peers()
        others = [peer for peer in known if peer.instance != origin]
        first = [peer for peer in known if peer.instance == origin]
        count = min(len(others), MAX_PEERS_QUERIED - len(first))
        return [*first, *self._rng.sample(others, count)]

    async def _answer(self, caller: ids.InstanceId, _: bytes) -> bytes:
        return self._document
