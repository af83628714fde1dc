"""Choice of the members that an instance gossips with.

Inside a data centre the members form a ring in hash order, and each gossips
with the members at the distances 1, 2, 4 and so on. A few members of each
data centre, chosen by rendezvous hashing, are gateways: they gossip with the
other data centres.
"""

from collections.abc import Iterable
import hashlib

from sassafrasflow import ids
from sassafrasflow.membership import view

__all__ = ["gateways", "ring_neighbours"]


def ring_neighbours(
    me: ids.InstanceId, members: Iterable[view.Peer]
) -> list[view.Peer]:
    """Return the members at power-of-two distances after ``me``.

    All members are returned if ``me`` is not one of them.
    """
    ring = sorted(members, key=lambda peer: _ring_position(peer.instance))
    names = [peer.instance for peer in ring]
    if me not in names:
        return ring
    start = names.index(me)
    count = len(ring)
    distances = (1 << power for power in range(count.bit_length()))
    return [
        ring[(start + distance) % count]
        for distance in distances
        if distance < count
    ]


def gateways(
    data_centre: ids.DataCentre, members: Iterable[view.Peer], count: int
) -> list[view.Peer]:
    """Return the gateways of a data centre in rank order."""
    return view.rendezvous(f"gateway/{data_centre}", members, count)


def _ring_position(instance: ids.InstanceId) -> bytes:
    return hashlib.blake2b(instance.encode(), digest_size=8).digest()
