"""Exchange of entries between data centres by their gateways."""

import random

from sassafrasflow import ids
from sassafrasflow.membership import messages
from sassafrasflow.membership import shared
from sassafrasflow.membership import state as states
from sassafrasflow.membership import topology
from sassafrasflow.membership import view

__all__ = ["RemoteExchange"]

AVOID_S = 5.0


class RemoteExchange:
    """Choose gateways of other data centres and batch entries for them.

    Every gateway compares digests with one data centre in each interval.
    Only the first gateway of a data centre sends urgent entries between
    these exchanges, so that a link between regions carries each entry once.
    """

    def __init__(self, state: states.GossipState, rng: random.Random) -> None:
        self._state = state
        self._rng = rng
        self._comparison_due = False
        self._rotation: list[ids.DataCentre] = []
        self._avoided_until: dict[ids.InstanceId, float] = {}

    def record_answer(self, instance: ids.InstanceId) -> None:
        """Stop avoiding a gateway that answered."""
        self._avoided_until.pop(instance, None)

    def record_failure(self, instance: ids.InstanceId, now_s: float) -> None:
        """Avoid a gateway for a while after it did not answer."""
        self._avoided_until[instance] = now_s + AVOID_S

    def request_comparison(self) -> None:
        """Include a digest in the next periodic exchange."""
        self._comparison_due = True

    def periodic_messages(self, now_s: float) -> list[messages.Outgoing]:
        """Return the message of the periodic exchange with one data centre."""
        rank = self._state.gateway_rank()
        if rank is None:
            return []
        if not self._rotation:
            self._rotation = self._other_data_centres()
            self._rng.shuffle(self._rotation)
        if not self._rotation:
            return []
        peer = self._choose_gateway(self._rotation.pop(), rank, now_s)
        if peer is None:
            return []
        piggybacked = self._state.select(self._state.remote_lazy)
        self._state.remote_lazy.record_sent(piggybacked)
        digest = self._state.table.digest() if self._comparison_due else 0
        self._comparison_due = False
        return [self._outgoing(peer, piggybacked, digest)]

    def flush(self, now_s: float) -> list[messages.Outgoing]:
        """Return the batches of urgent entries for other data centres."""
        rank = self._state.gateway_rank()
        if rank is None:
            return []
        region_entries = self._state.select(self._state.region_urgent)
        cross_region_entries = self._state.select(
            self._state.cross_region_urgent
        )
        self._state.region_urgent.record_sent(region_entries)
        self._state.cross_region_urgent.record_sent(cross_region_entries)
        if rank != 0:
            return []
        same_region, other_regions = self._split_by_region()
        return [
            *self._batches(same_region, region_entries, now_s),
            *self._batches(other_regions, cross_region_entries, now_s),
        ]

    def _batches(
        self,
        data_centres: list[ids.DataCentre],
        entries: tuple[shared.Entry, ...],
        now_s: float,
    ) -> list[messages.Outgoing]:
        if not entries:
            return []
        peers = (self._choose_gateway(name, 0, now_s) for name in data_centres)
        return [
            self._outgoing(peer, entries) for peer in peers if peer is not None
        ]

    def _outgoing(
        self,
        peer: view.Peer,
        entries: tuple[shared.Entry, ...],
        digest: int = 0,
    ) -> messages.Outgoing:
        me = self._state.me
        message = messages.Gossip(sender=me, digest=digest, entries=entries)
        return messages.Outgoing(
            peer.address,
            peer.instance,
            messages.Purpose.REMOTE,
            message,
            peer.region != me.region,
        )

    def _other_data_centres(self) -> list[ids.DataCentre]:
        local_data_centre = self._state.me.data_centre
        return [
            n
            for n in self._state.members.data_centres()
            if n != local_data_centre
        ]

    def _split_by_region(
        self,
    ) -> tuple[list[ids.DataCentre], list[ids.DataCentre]]:
        same_region = []
        by_region: dict[ids.Region, list[ids.DataCentre]] = {}
        for name in self._other_data_centres():
            region = self._state.members.live_in(name)[0].region
            if region == self._state.me.region:
                same_region.append(name)
            else:
                by_region.setdefault(region, []).append(name)
        return same_region, [
            self._rng.choice(names) for names in by_region.values()
        ]

    def _choose_gateway(
        self, data_centre: ids.DataCentre, rank: int, now_s: float
    ) -> view.Peer | None:
        live = self._state.members.live_in(data_centre)
        usable = [p for p in live if not self._is_avoided(p, now_s)]
        count = self._state.policy.gateways
        gateways = topology.gateways(data_centre, usable or live, count)
        return gateways[rank % len(gateways)] if gateways else None

    def _is_avoided(self, peer: view.Peer, now_s: float) -> bool:
        return self._avoided_until.get(peer.instance, 0.0) > now_s
