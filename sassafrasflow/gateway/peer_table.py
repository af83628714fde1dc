"""Instances that an instance knows, and how often it says that it lives."""

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import registry as registries

__all__ = ["Beat", "PeerTable"]

# An instance sends this many beats a second at most to those is_local it, and
# as many to all others, whatever the size of the fleet.
HEARTBEATS_PER_S = 4.0
# In a small fleet each instance is told this often.
MIN_HEARTBEAT_PERIOD_S = 4.0
# Beats missed until an instance counts as gone.
MISSED_HEARTBEATS = 3.2
# An instance that did not answer is left out of decisions for this long;
# a killed process is back in about as much.
DOUBTFUL_S = 3.0


class Beat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Tell that an instance lives, and where."""

    sender: registries.InstanceEntry


class _Peer(msgspec.Struct):
    entry: registries.InstanceEntry
    last_contact_at: float
    doubtful_until: float = 0.0


class PeerTable:
    """Know the other instances without a message for each pair."""

    def __init__(self, own_entry: registries.InstanceEntry) -> None:
        self.own_entry = own_entry
        # Changes whenever somebody comes, moves or is doubted.
        self.epoch = 0
        self._peer_by_id: dict[ids.InstanceId, _Peer] = {}
        self._next_doubt_ends_at: float | None = None
        # Who is told next, beside this instance and elsewhere.
        self._next_index = {True: 0, False: 0}
        self._send_credit = {True: 0.0, False: 0.0}
        self._last_heartbeats_at: float | None = None

    def __len__(self) -> int:
        return len(self._peer_by_id)

    def add(self, entry: registries.InstanceEntry, now: float) -> bool:
        """Learn of an instance; tell whether it is new or has moved."""
        if entry.id == self.own_entry.id:
            return False
        known = self._peer_by_id.get(entry.id)
        if known is None or known.entry != entry:
            self._peer_by_id[entry.id] = _Peer(entry, now)
            self.epoch += 1
            return True
        return False

    def record_contact(
        self, entry: registries.InstanceEntry, now: float
    ) -> bool:
        """Record word of an instance; tell whether it is new."""
        new = self.add(entry, now)
        self.record_contact_by_id(entry.id, now)
        return new

    def record_contact_by_id(self, sender: ids.InstanceId, now: float) -> None:
        """Record word of an instance that is known by its id only."""
        known = self._peer_by_id.get(sender)
        if known is None:
            return
        known.last_contact_at = now
        if known.doubtful_until > now:
            known.doubtful_until = 0.0
            self.epoch += 1

    def mark_doubtful(self, sender: ids.InstanceId, now: float) -> None:
        """Record that an instance did not answer."""
        known = self._peer_by_id.get(sender)
        if known is None:
            return
        known.doubtful_until = now + DOUBTFUL_S
        self.epoch += 1
        end = self._next_doubt_ends_at
        if end is None or known.doubtful_until < end:
            self._next_doubt_ends_at = known.doubtful_until

    def expire_doubts(self, now: float) -> None:
        """Take instances back whose doubt has ended."""
        end = self._next_doubt_ends_at
        if end is None or now < end:
            return
        ends = [
            known.doubtful_until
            for known in self._peer_by_id.values()
            if known.doubtful_until > now
        ]
        self._next_doubt_ends_at = min(ends, default=None)
        self.epoch += 1

    def live(self, now: float) -> list[registries.InstanceEntry]:
        """Return the instances that were heard of lately."""
        timeouts = {
            is_local: MISSED_HEARTBEATS * self._period_s(is_local)
            for is_local in (True, False)
        }
        return [
            known.entry
            for known in self._peer_by_id.values()
            if now - known.last_contact_at <= timeouts[self._is_local(known)]
        ]

    def local_peers(self, now: float) -> list[registries.InstanceEntry]:
        """Return the live instances of the same data centre."""
        return [
            entry
            for entry in self.live(now)
            if entry.data_centre == self.own_entry.data_centre
        ]

    def eligible_owners(
        self, data_centre: ids.DataCentre, now: float
    ) -> list[registries.InstanceEntry]:
        """Return the instances of a data centre that are not in doubt."""
        found = [
            known.entry
            for known in self._peer_by_id.values()
            if known.entry.data_centre == data_centre
            and known.doubtful_until <= now
        ]
        if self.own_entry.data_centre == data_centre:
            found.append(self.own_entry)
        return found

    def due_heartbeats(self, now: float) -> list[registries.InstanceEntry]:
        """Return who is told now that this instance lives."""
        passed_s = (
            0.0
            if self._last_heartbeats_at is None
            else now - self._last_heartbeats_at
        )
        self._last_heartbeats_at = now
        due: list[registries.InstanceEntry] = []
        for is_local in (True, False):
            due += self._next_recipients(is_local, passed_s)
        return due

    def _next_recipients(
        self, is_local: bool, passed_s: float
    ) -> list[registries.InstanceEntry]:
        group = self._group(is_local)
        if not group:
            return []
        credit = self._send_credit[is_local]
        credit += passed_s * len(group) / self._period_s(is_local)
        count = min(len(group), int(credit))
        self._send_credit[is_local] = min(credit - count, 1.0)
        turn = self._next_index[is_local]
        self._next_index[is_local] = (turn + count) % len(group)
        return [group[(turn + step) % len(group)] for step in range(count)]

    def _group(self, is_local: bool) -> list[registries.InstanceEntry]:
        return [
            known.entry
            for known in self._peer_by_id.values()
            if self._is_local(known) is is_local
        ]

    def _period_s(self, is_local: bool) -> float:
        return max(
            MIN_HEARTBEAT_PERIOD_S,
            len(self._group(is_local)) / HEARTBEATS_PER_S,
        )

    def _is_local(self, known: _Peer) -> bool:
        return known.entry.data_centre == self.own_entry.data_centre
