"""State of the gossip at one instance: entries, members and rumours."""

from collections.abc import Iterable
import enum

from loguru import logger
import msgspec

from sassafrasflow import clocks
from sassafrasflow import ids
from sassafrasflow.membership import budget
from sassafrasflow.membership import entries
from sassafrasflow.membership import members
from sassafrasflow.membership import policy as policies
from sassafrasflow.membership import rumours
from sassafrasflow.membership import shared
from sassafrasflow.membership import topology
from sassafrasflow.membership import view

__all__ = ["GossipState", "Source"]


class Source(enum.Enum):
    """Distance of an entry's sender, which decides who gets the entry next."""

    DATA_CENTRE = "data_centre"
    REGION = "region"
    OTHER_REGION = "other_region"


class GossipState:
    """Merge received entries and queue the new ones as rumours."""

    def __init__(
        self,
        me: view.Peer,
        policy: policies.GossipPolicy,
        clock: clocks.Clock,
    ) -> None:
        self.me = me
        self.policy = policy
        self.table = entries.EntryTable(policy.limits, clock)
        self.members = members.MemberTable(me)
        self.urgent = rumours.RumourQueue()
        self.lazy = rumours.RumourQueue()
        self.region_urgent = rumours.RumourQueue()
        self.cross_region_urgent = rumours.RumourQueue()
        self.remote_lazy = rumours.RumourQueue()
        self.rejected = 0
        self.budget = budget.ByteBudget(policy.bytes_per_s, clock.monotonic())
        self._clock = clock
        self._started_at = clock.monotonic()
        self._subscribers: dict[shared.Topic, list[shared.Subscriber]] = {}
        self._cached_layout: (
            tuple[int, list[view.Peer], list[view.Peer]] | None
        ) = None

    def subscribe(
        self, topic: shared.Topic, subscriber: shared.Subscriber
    ) -> None:
        """Call ``subscriber`` for each new entry of a topic."""
        self._subscribers.setdefault(topic, []).append(subscriber)

    def publish(
        self,
        topic: shared.Topic,
        key: str,
        value: bytes,
        *,
        version: int,
        ttl_ms: int,
    ) -> None:
        """Share an entry.

        Ignored if the version is not above the stored one, or if the value
        is longer than the limit.
        """
        if len(value) > self.policy.limits.max_value_bytes:
            self.rejected += 1
            logger.warning(
                "membership: Entry {}/{} is too large.", topic.value, key
            )
            return
        if version <= self.table.version(topic, key):
            return
        entry = shared.Entry(
            topic, key, version, self.me.instance, value, ttl_ms
        )
        self.apply_entries([entry], Source.DATA_CENTRE)

    def apply_entries(
        self, received: Iterable[shared.Entry], source: Source
    ) -> None:
        """Merge entries; queue the new ones and notify their subscribers."""
        is_gateway = self.gateway_rank() is not None
        for entry in received:
            if self.table.merge(entry):
                self._queue_rumour(entry, source, is_gateway)
                self._apply_member_entry(entry)
                self._notify_subscribers(entry)

    def announce(self, status: members.MemberStatus) -> None:
        """Publish a status of this instance."""
        ttl_ms = self.policy.member_ttl_ms
        if status is not members.MemberStatus.ALIVE:
            ttl_ms = self.policy.tombstone_ttl_ms
        self.apply_entries(
            [members.entry_of(self.me, status, ttl_ms)], Source.DATA_CENTRE
        )

    def raise_incarnation(self, above: int) -> None:
        """Announce this instance with an incarnation above a given one."""
        self.me = msgspec.structs.replace(self.me, incarnation=above + 1)
        self.announce(members.MemberStatus.ALIVE)

    def publish_status(
        self, peer: view.Peer, status: members.MemberStatus
    ) -> None:
        """Publish a status of another instance."""
        ttl_ms = self.policy.member_ttl_ms
        if status is members.MemberStatus.DEAD:
            ttl_ms = self.policy.tombstone_ttl_ms
        entry = members.entry_of(peer, status, ttl_ms)
        self.apply_entries([entry], Source.DATA_CENTRE)

    def record_contact(self, peer: view.Peer, source: Source) -> None:
        """Record the sender of a message as alive.

        Ignored unless its incarnation is higher than the stored one.
        """
        if peer.instance == self.me.instance:
            return
        member = self.members.get(peer.instance)
        if member is not None and member.peer.incarnation >= peer.incarnation:
            return
        entry = members.entry_of(
            peer, members.MemberStatus.ALIVE, self.policy.member_ttl_ms
        )
        self.apply_entries([entry], source)

    def entries_to_refute(self, peer: view.Peer) -> list[shared.Entry]:
        """Return the entry that a peer has to refute, if there is one.

        That is its member entry, if it says anything but alive about the
        current incarnation of the peer.
        """
        member = self.members.get(peer.instance)
        if member is None or member.status is members.MemberStatus.ALIVE:
            return []
        if member.peer.incarnation < peer.incarnation:
            return []
        entry = self.table.get(shared.Topic.MEMBER, peer.instance)
        return [] if entry is None else [entry]

    def source_of(self, peer: view.Peer) -> Source:
        """Classify a sender by its distance."""
        if peer.data_centre == self.me.data_centre:
            return Source.DATA_CENTRE
        if peer.region == self.me.region:
            return Source.REGION
        return Source.OTHER_REGION

    def neighbours(self) -> list[view.Peer]:
        """Return the members of this data centre to gossip with."""
        return self._layout()[1]

    def gateways(self) -> list[view.Peer]:
        """Return the gateways of this data centre in rank order."""
        return self._layout()[2]

    def gateway_rank(self) -> int | None:
        """Return the rank of this instance if it is a gateway."""
        for rank, peer in enumerate(self.gateways()):
            if peer.instance == self.me.instance:
                return rank
        return None

    def peers(self) -> list[view.Peer]:
        """Return the live instances in all reachable data centres."""
        live = []
        for name in self.members.data_centres():
            if self._is_reachable(name):
                live += self.members.live_in(name)
        return [p for p in live if p.instance != self.me.instance]

    def select(self, queue: rumours.RumourQueue) -> tuple[shared.Entry, ...]:
        """Return the queued rumours that fit a message; drop expired ones."""
        queued = []
        for topic, key in queue.keys():
            entry = self.table.get(topic, key)
            if entry is None:
                queue.drop((topic, key))
            else:
                queued.append(entry)
        spare = queue in (self.lazy, self.remote_lazy)
        return rumours.fit(queued, self.available_bytes(spare=spare))

    def available_bytes(self, *, spare: bool = False) -> int:
        """Return how many bytes of entries a message may carry now."""
        now = self._clock.monotonic()
        available = self.budget.available(now)
        if spare:
            available = self.budget.spare(now)
        return min(available, self.policy.max_message_bytes)

    def drop_rumours(self) -> None:
        """Stop passing on all queued rumours."""
        for queue in self._queues():
            queue.clear()

    def reset_reachability(self) -> None:
        """Treat every data centre as reachable for one TTL of its beat."""
        self._started_at = self._clock.monotonic()

    def drop_expired_members(self) -> None:
        """Remove members whose entries have expired."""
        for topic, key in self.table.pop_expired():
            if topic is shared.Topic.MEMBER:
                self.members.remove(ids.InstanceId(key))

    def _queues(self) -> list[rumours.RumourQueue]:
        return [
            self.urgent,
            self.lazy,
            self.region_urgent,
            self.cross_region_urgent,
            self.remote_lazy,
        ]

    def _is_reachable(self, data_centre: ids.DataCentre) -> bool:
        if data_centre == self.me.data_centre:
            return True
        age_s = self._clock.monotonic() - self._started_at
        if age_s * policies.MS_PER_S < self.policy.beat_ttl_ms:
            return True
        return self.table.has(shared.Topic.BEAT, data_centre)

    def _queue_rumour(
        self, entry: shared.Entry, source: Source, is_gateway: bool
    ) -> None:
        lazy = entry.topic in rumours.LAZY_TOPICS
        queue = self.lazy if lazy else self.urgent
        queue.add(entry, self.policy.push_rounds)
        if not is_gateway:
            return
        if lazy:
            centres = len(self.members.data_centres())
            self.remote_lazy.add(entry, centres)
            return
        if source is not Source.REGION:
            self.region_urgent.add(entry, 1)
        if source is Source.DATA_CENTRE:
            self.cross_region_urgent.add(entry, 1)

    def _apply_member_entry(self, entry: shared.Entry) -> None:
        if entry.topic is not shared.Topic.MEMBER:
            return
        member = self.members.apply_entry(entry, self._clock.monotonic())
        if member is None or entry.key != self.me.instance:
            return
        incarnation = self.me.incarnation
        if (
            member.peer.incarnation > incarnation
            or not self._is_self_announced(member)
        ):
            self.raise_incarnation(member.peer.incarnation)

    def _is_self_announced(self, member: members.Member) -> bool:
        return member.status in (
            members.MemberStatus.ALIVE,
            members.MemberStatus.LEFT,
        )

    def _notify_subscribers(self, entry: shared.Entry) -> None:
        for subscriber in self._subscribers.get(entry.topic, []):
            try:
                subscriber(entry)
            except Exception:
                logger.exception(
                    "membership: Subscriber of {} failed.", entry.topic.value
                )

    def _layout(self) -> tuple[int, list[view.Peer], list[view.Peer]]:
        if (
            self._cached_layout is None
            or self._cached_layout[0] != self.members.change_count
        ):
            data_centre = self.me.data_centre
            live = self.members.live_in(data_centre)
            self._cached_layout = (
                self.members.change_count,
                topology.ring_neighbours(self.me.instance, live),
                topology.gateways(data_centre, live, self.policy.gateways),
            )
        return self._cached_layout
