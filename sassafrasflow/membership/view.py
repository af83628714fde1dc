"""View of the other instances, and choice of replicas among them."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Iterable
import hashlib

import msgspec

from sassafrasflow import ids

__all__ = ["MemberView", "Peer", "StaticMembers", "rendezvous"]


class Peer(msgspec.Struct, frozen=True):
    """Another instance; ``address`` is its peer address."""

    instance: ids.InstanceId
    address: str
    region: ids.Region
    data_centre: ids.DataCentre
    incarnation: int = 0


class MemberView(ABC):
    """View of the other instances that count as alive."""

    @abstractmethod
    def peers(self) -> list[Peer]:
        """Return every live instance except this one."""


class StaticMembers(MemberView):
    """Fixed list of peers."""

    def __init__(self, peers: Iterable[Peer] = ()) -> None:
        self._peers = list(peers)

    def peers(self) -> list[Peer]:
        return list(self._peers)


def rendezvous(key: str, peers: Iterable[Peer], count: int) -> list[Peer]:
    """Return the ``count`` peers that rank first for a key."""
    return sorted(peers, key=lambda peer: _rank(key, peer))[:count]


def _rank(key: str, peer: Peer) -> bytes:
    content = f"{key}/{peer.instance}".encode()
    return hashlib.blake2b(content, digest_size=8).digest()
