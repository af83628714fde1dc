"""Exchange of configuration documents between instances.

Gossip announces only the numbers of revisions. A document is fetched from a
peer when the table does not answer.
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
    """Fetch documents over the peer protocol, and serve them to peers."""

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
        node.register_handler(METHOD, self._handle_request)

    def set_document(self, document: bytes) -> None:
        """Set the document that is served to peers."""
        self._document = document

    def peer_count(self) -> int:
        """Return the number of peers."""
        return len(self._members.peers())

    async def fetch(self, origin: ids.InstanceId | None) -> list[bytes]:
        """Return the documents of a few peers, that of the origin first."""
        documents = []
        for peer in self._select_peers(origin):
            try:
                content = await self._node.call(
                    peer.address, METHOD, b"", TIMEOUT_S
                )
            except exceptions.PeerError:
                continue
            if content:
                documents.append(content)
        return documents

    def _select_peers(
        self, origin: ids.InstanceId | None
    ) -> list[membership.Peer]:
        candidates = self._members.peers()
        others = [peer for peer in candidates if peer.instance != origin]
        origin_peers = [peer for peer in candidates if peer.instance == origin]
        count = min(len(others), MAX_PEERS_QUERIED - len(origin_peers))
        return [*origin_peers, *self._rng.sample(others, count)]

    async def _handle_request(self, caller: ids.InstanceId, _: bytes) -> bytes:
        return self._document
