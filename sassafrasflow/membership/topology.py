"""Choice of whom an instance talks to.

Inside a data centre the members form a ring in hash order, and each talks
to those at distances 1, 2, 4 and so on; a few of each data centre, chosen
by rendezvous hash, talk to the other data centres.
"""

from collections.abc import Iterable
import hashlib

from sassafrasflow import ids
from sassafrasflow.membership import view

__all__ = ["gateways", "ring_neighbours"]


def ring_neighbours(
    me: ids.InstanceId, members: Iterable[view.Peer]
) -> list[view.Peer]:
    """Return the members at power-of-two distances behind this one."""
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
    """Return the members that talk to other data centres, in rank order."""
    return view.rendezvous(f"gateway/{data_centre}", members, count)


def _ring_position(instance: ids.InstanceId) -> bytes:
    return hashlib.blake2b(instance.encode(), digest_size=8).digest()
