"""Instances that aggregate the evidence on a request."""

from sassafrasflow import ids
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import registry as registries

__all__ = ["choose_aggregators", "is_aggregator"]


def choose_aggregators(
    key: str, peers: peer_table.PeerTable, now: float
) -> list[registries.InstanceEntry]:
    """Return the other instances that aggregate the evidence on a key."""
    aggregators = _aggregators(key, peers, now)
    aggregators.pop(peers.own_entry.id, None)
    return list(aggregators.values())


def is_aggregator(key: str, peers: peer_table.PeerTable, now: float) -> bool:
    """Return whether this instance aggregates the evidence on a key."""
    return peers.own_entry.id in _aggregators(key, peers, now)


def _aggregators(
    key: str, peers: peer_table.PeerTable, now: float
) -> dict[ids.InstanceId, registries.InstanceEntry]:
    """Return the instances that aggregate evidence of this instance.

    One aggregator is in the local data centre, so that evidence is joined
    even while the data centre is cut off, and one may be anywhere.
    """
    aggregators = {}
    for group in (peers.local_peers(now), peers.live(now)):
        aggregator = loads.choose_owner(key, [*group, peers.own_entry])
        assert aggregator is not None
        aggregators[aggregator.id] = aggregator
    return aggregators
