"""Members and their statuses, derived from shared entries.

The entry of a member has the version ``incarnation * 4 + status``. A worse
status of an incarnation therefore replaces a better one, and only the member
itself raises its incarnation to refute a status.
"""

from collections.abc import Iterator
import enum

import msgspec

from sassafrasflow import ids
from sassafrasflow.membership import shared
from sassafrasflow.membership import view

__all__ = ["Member", "MemberStatus", "MemberTable"]

STATUSES_PER_INCARNATION = 4


class MemberStatus(enum.IntEnum):
    """Status of an incarnation; a higher value replaces a lower one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


LIVE = frozenset({MemberStatus.ALIVE, MemberStatus.SUSPECT})


class Member(msgspec.Struct, frozen=True):
    """Status of an instance, and the time since when it has been in force."""

    peer: view.Peer
    status: MemberStatus
    since_s: float

    @property
    def is_live(self) -> bool:
        """Return whether the instance counts as alive, suspected or not."""
        return self.status in LIVE


class _Description(msgspec.Struct, frozen=True, array_like=True):
    address: str
    region: ids.Region
    data_centre: ids.DataCentre


class MemberTable:
    """Members by instance, including this one."""

    def __init__(self, me: view.Peer) -> None:
        self._me = me
        self._members: dict[ids.InstanceId, Member] = {}
        self._live_by_data_centre: dict[
            ids.DataCentre, dict[str, view.Peer]
        ] = {}
        self._suspects: dict[ids.InstanceId, Member] = {}
        self._cross_region_addresses: set[str] = set()
        self.change_count = 0

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, instance: ids.InstanceId) -> Member | None:
        """Return the member of an instance, if there is one."""
        return self._members.get(instance)

    def apply_entry(self, entry: shared.Entry, now_s: float) -> Member | None:
        """Store the member that an entry describes.

        Return the member, or ``None`` if the entry is malformed.
        """
        member = member_of(entry, now_s)
        if member is not None:
            self.remove(member.peer.instance)
            self._add(member)
        return member

    def remove(self, instance: ids.InstanceId) -> None:
        """Remove an instance."""
        self.change_count += 1
        member = self._members.pop(instance, None)
        self._suspects.pop(instance, None)
        if member is not None:
            self._cross_region_addresses.discard(member.peer.address)
            self._live_by_data_centre[member.peer.data_centre].pop(
                instance, None
            )

    def is_cross_region(self, address: str) -> bool:
        """Return whether a live member of another region has this address."""
        return address in self._cross_region_addresses

    def live_in(self, data_centre: ids.DataCentre) -> list[view.Peer]:
        """Return the live members of a data centre, including this one."""
        return list(self._live_by_data_centre.get(data_centre, {}).values())

    def live_count(self) -> int:
        """Return the number of live members, including this one."""
        return sum(len(peers) for peers in self._live_by_data_centre.values())

    def data_centres(self) -> list[ids.DataCentre]:
        """Return the data centres that have live members."""
        return [
            name for name, peers in self._live_by_data_centre.items() if peers
        ]

    def suspects(self) -> list[Member]:
        """Return the suspected members of this data centre."""
        local_data_centre = self._me.data_centre
        return [
            member
            for member in self._suspects.values()
            if member.peer.data_centre == local_data_centre
        ]

    def dead(self) -> list[Member]:
        """Return the members that were declared dead."""
        return [
            member
            for member in self._members.values()
            if member.status is MemberStatus.DEAD
        ]

    def _add(self, member: Member) -> None:
        instance = member.peer.instance
        self._members[instance] = member
        if member.is_live:
            centre = self._live_by_data_centre.setdefault(
                member.peer.data_centre, {}
            )
            centre[instance] = member.peer
            if member.peer.region != self._me.region:
                self._cross_region_addresses.add(member.peer.address)
        if member.status is MemberStatus.SUSPECT:
            self._suspects[instance] = member


def member_of(entry: shared.Entry, now_s: float) -> Member | None:
    """Return the member that an entry describes."""
    try:
        description = msgspec.msgpack.decode(entry.value, type=_Description)
    except msgspec.DecodeError:
        return None
    incarnation, status = divmod(entry.version, STATUSES_PER_INCARNATION)
    peer = view.Peer(
        ids.InstanceId(entry.key),
        description.address,
        description.region,
        description.data_centre,
        incarnation,
    )
    return Member(peer, MemberStatus(status), now_s)


def entry_of(
    peer: view.Peer, status: MemberStatus, ttl_ms: int
) -> shared.Entry:
    """Return the entry that describes a member."""
    description = _Description(peer.address, peer.region, peer.data_centre)
    return shared.Entry(
        shared.Topic.MEMBER,
        peer.instance,
        peer.incarnation * STATUSES_PER_INCARNATION + status,
        peer.instance,
        msgspec.msgpack.encode(description),
        ttl_ms,
    )
