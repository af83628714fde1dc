"""Table of the other instances, and the heartbeats that are sent to them."""

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import versions
from sassafrasflow.lending import slack

__all__ = ["Beat", "PeerTable"]

# An instance sends at most this many heartbeats a second to its local peers,
# and as many to all other peers, whatever the size of the fleet.
HEARTBEATS_PER_S = 4.0
# In a small fleet each peer gets a heartbeat at this interval.
MIN_HEARTBEAT_PERIOD_S = 4.0
# A peer counts as gone after this many heartbeat periods without a message.
MISSED_HEARTBEATS = 3.2
# A peer that did not answer owns no targets for this long, about the time in
# which a killed process is back.
DOUBTFUL_S = 3.0


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Heartbeat of an instance, with its address."""

    sender: registries.InstanceEntry
    # Version of the configuration in force at the sender, and the store
    # version of the settings that it has read.
    configuration_version: decoding.Int = -1
    settings: versions.StoreVersion = versions.NOTHING_READ


class _Peer(msgspec.Struct):
    entry: registries.InstanceEntry
    last_contact_at: float
    doubtful_until: float = 0.0
    # When it first sent a message to this instance, which it counts among the
    # instances then.
    heard_at: float | None = None


class PeerTable:
    """Other instances; the heartbeat rate does not grow with the fleet."""

    def __init__(self, own_entry: registries.InstanceEntry) -> None:
        self.own_entry = own_entry
        # Incremented whenever a peer is added, moves, or becomes doubtful or
        # trusted again.
        self.epoch = 0
        # Whether the entries that the store lists were added.
        self.is_fleet_read = False
        self._peer_by_id: dict[ids.InstanceId, _Peer] = {}
        self._next_doubt_ends_at: float | None = None
        # Round-robin state of the heartbeats, separate for local peers (key
        # True) and all others: the next recipient's index, and the fraction of
        # a heartbeat that is carried over.
        self._next_index = {True: 0, False: 0}
        self._send_credit = {True: 0.0, False: 0.0}
        self._last_heartbeats_at: float | None = None

    def __len__(self) -> int:
        return len(self._peer_by_id)

    def entry_of(
        self, instance: ids.InstanceId
    ) -> registries.InstanceEntry | None:
        """Return the entry of a peer, or ``None`` if it is unknown."""
        peer = self._peer_by_id.get(instance)
        return None if peer is None else peer.entry

    def add(self, entry: registries.InstanceEntry, now: float) -> bool:
        """Add a peer; return whether it is new or has moved."""
        if entry.id == self.own_entry.id:
            return False
        peer = self._peer_by_id.get(entry.id)
        if peer is None or peer.entry != entry:
            self._peer_by_id[entry.id] = _Peer(entry, now)
            self.epoch += 1
            return True
        return False

    def record_contact(
        self, entry: registries.InstanceEntry, now: float
    ) -> bool:
        """Record a message; return whether its sender is new or has moved."""
        new = self.add(entry, now)
        self.record_contact_by_id(entry.id, now)
        return new

    def record_contact_by_id(self, sender: ids.InstanceId, now: float) -> None:
        """Record a message that names its sender by id only."""
        peer = self._peer_by_id.get(sender)
        if peer is None:
            return
        peer.last_contact_at = now
        if peer.heard_at is None:
            peer.heard_at = now
        if peer.doubtful_until > now:
            peer.doubtful_until = 0.0
            self.epoch += 1

    def mark_doubtful(self, sender: ids.InstanceId, now: float) -> None:
        """Record that a peer did not answer."""
        peer = self._peer_by_id.get(sender)
        if peer is None:
            return
        peer.doubtful_until = now + DOUBTFUL_S
        self.epoch += 1
        end = self._next_doubt_ends_at
        if end is None or peer.doubtful_until < end:
            self._next_doubt_ends_at = peer.doubtful_until

    def expire_doubts(self, now: float) -> None:
        """Trust peers again whose doubtful period has ended."""
        end = self._next_doubt_ends_at
        if end is None or now < end:
            return
        ends = [
            peer.doubtful_until
            for peer in self._peer_by_id.values()
            if peer.doubtful_until > now
        ]
        self._next_doubt_ends_at = min(ends, default=None)
        self.epoch += 1

    def fleet_knowledge(self, now: float) -> slack.FleetKnowledge:
        """Return what is known of the other instances since the start."""
        unheard = sum(peer.heard_at is None for peer in self._live(now))
        return slack.FleetKnowledge(self.is_fleet_read, len(self), unheard)

    def live(self, now: float) -> list[registries.InstanceEntry]:
        """Return the peers that sent a message lately."""
        return [peer.entry for peer in self._live(now)]

    def _live(self, now: float) -> list[_Peer]:
        timeouts = {
            is_local: MISSED_HEARTBEATS * self._period_s(is_local)
            for is_local in (True, False)
        }
        return [
            peer
            for peer in self._peer_by_id.values()
            if now - peer.last_contact_at <= timeouts[self._is_local(peer)]
        ]

    def local_peers(self, now: float) -> list[registries.InstanceEntry]:
        """Return the live peers in the same data centre."""
        return [
            entry
            for entry in self.live(now)
            if entry.data_centre == self.own_entry.data_centre
        ]

    def eligible_owners(
        self, data_centre: ids.DataCentre, now: float
    ) -> list[registries.InstanceEntry]:
        """Return the instances of a data centre that are not doubtful.

        This instance is among them in its own data centre.
        """
        owners = [
            peer.entry
            for peer in self._peer_by_id.values()
            if peer.entry.data_centre == data_centre
            and peer.doubtful_until <= now
        ]
        if self.own_entry.data_centre == data_centre:
            owners.append(self.own_entry)
        return owners

    def due_heartbeats(self, now: float) -> list[registries.InstanceEntry]:
        """Return the peers that get a heartbeat now."""
        elapsed_s = (
            0.0
            if self._last_heartbeats_at is None
            else now - self._last_heartbeats_at
        )
        self._last_heartbeats_at = now
        due: list[registries.InstanceEntry] = []
        for is_local in (True, False):
            due += self._next_recipients(is_local, elapsed_s)
        return due

    def _next_recipients(
        self, is_local: bool, elapsed_s: float
    ) -> list[registries.InstanceEntry]:
        group = self._group(is_local)
        if not group:
            return []
        credit = self._send_credit[is_local]
        credit += elapsed_s * len(group) / self._period_s(is_local)
        count = min(len(group), int(credit))
        self._send_credit[is_local] = min(credit - count, 1.0)
        first = self._next_index[is_local]
        self._next_index[is_local] = (first + count) % len(group)
        return [group[(first + step) % len(group)] for step in range(count)]

    def _group(self, is_local: bool) -> list[registries.InstanceEntry]:
        return [
            peer.entry
            for peer in self._peer_by_id.values()
            if self._is_local(peer) is is_local
        ]

    def _period_s(self, is_local: bool) -> float:
        return max(
            MIN_HEARTBEAT_PERIOD_S,
            len(self._group(is_local)) / HEARTBEATS_PER_S,
        )

    def _is_local(self, peer: _Peer) -> bool:
        return peer.entry.data_centre == self.own_entry.data_centre
