"""Gossip of one instance: which messages to send and how to answer.

:class:`GossipCore` does no I/O. Call :meth:`~GossipCore.due_messages` often
and send the messages that it returns. Pass each request to
:meth:`~GossipCore.handle_request` and the result of each sent message to
:meth:`~GossipCore.handle_answer` or :meth:`~GossipCore.handle_failure`.
"""

from collections.abc import Iterable
import math
import random
from typing import Any

import msgspec

from sassafrasflow import clocks
from sassafrasflow import ids
from sassafrasflow.membership import detector
from sassafrasflow.membership import entries
from sassafrasflow.membership import members
from sassafrasflow.membership import messages
from sassafrasflow.membership import policy as policies
from sassafrasflow.membership import reconcile
from sassafrasflow.membership import remote
from sassafrasflow.membership import rumours
from sassafrasflow.membership import schedule
from sassafrasflow.membership import shared
from sassafrasflow.membership import state
from sassafrasflow.membership import view

__all__ = ["GossipCore"]

JOIN_PERIOD_S = 5.0


class GossipCore:
    """Choose the messages of one instance and process what it receives."""

    def __init__(
        self,
        me: view.Peer,
        policy: policies.GossipPolicy,
        clock: clocks.Clock,
        rng: random.Random,
        seeds: Iterable[str] = (),
    ) -> None:
        self.state = state.GossipState(me, policy, clock)
        self._policy = policy
        self._clock = clock
        self._age = entries.AgeClock(clock)
        self._rng = rng
        self._seeds = list(seeds)
        self._listed_addresses: dict[str, None] = {}
        self._detector = detector.FailureDetector(policy)
        self._remote = remote.RemoteExchange(self.state, rng)
        self._reconciler = reconcile.Reconciler(self.state, rng)
        self._first_contact_at: dict[ids.InstanceId, float] = {}
        self._queued: list[messages.Outgoing] = []
        self._probe_order: list[view.Peer] = []
        self._last_due_age_s = self._age.now()
        self._schedule = schedule.Schedule(
            _intervals(policy), clock.monotonic(), rng
        )
        self._digest_due = False
        if me.address:
            self.state.announce(members.MemberStatus.ALIVE)

    @property
    def next_at(self) -> float:
        """Return the latest time to call :meth:`due_messages` again."""
        if self._queued:
            return self._clock.monotonic()
        self._schedule_flushes()
        return self._schedule.next_at

    def set_address(self, address: str) -> None:
        """Set and announce an address that was not available at creation."""
        self.state.me = msgspec.structs.replace(self.state.me, address=address)
        self.state.announce(members.MemberStatus.ALIVE)

    def set_listed_addresses(self, addresses: Iterable[str]) -> None:
        """Replace the peer addresses that the platform lists."""
        self._listed_addresses = dict.fromkeys(addresses)

    def leave(self) -> list[messages.Outgoing]:
        """Announce that this instance leaves; return its last messages."""
        self.state.announce(members.MemberStatus.LEFT)
        return self._flush()

    def due_messages(self) -> list[messages.Outgoing]:
        """Return the messages to send now."""
        now = self._clock.monotonic()
        self._detect_suspension(now)
        self._update_statuses(now)
        sent, self._queued = self._queued, []
        if self._schedule.start_if_due("sync", now):
            self._digest_due = True
            self.state.drop_expired_members()
        if self._schedule.start_if_due("refresh", now):
            self.state.raise_incarnation(self.state.me.incarnation)
        if self._schedule.start_if_due("beat", now):
            self._publish_beat()
        if self._schedule.start_if_due("join", now):
            sent += self._join(alone_only=True)
        if self._schedule.start_if_due("reconnect", now):
            sent += self._join(alone_only=False)
        if self._schedule.start_if_due("probe", now):
            sent += self._probe()
        if self._schedule.start_if_due("flush", now):
            sent += self._flush()
        if self._schedule.start_if_due("remote_sync", now):
            self._remote.request_comparison()
        if self._schedule.start_if_due("remote", now):
            sent += self._remote.periodic_messages(now)
        if self._schedule.start_if_due("remote_flush", now):
            sent += self._remote.flush(now)
        for outgoing in sent:
            self.state.budget.spend(_charged_bytes(outgoing))
        return sent

    def handle_request(self, message: messages.Gossip) -> messages.Gossip:
        """Process a request and return its answer."""
        self._record_new_sender(message.sender)
        self._apply_message(message)
        if message.probe is not None:
            self._queue_probe_for(message.probe, message.sender)
        entries_to_send, wanted_hashes = self._reconciler.compare(message)
        candidates = (
            self.state.entries_to_refute(message.sender) + entries_to_send
        )
        if not message.asked:
            candidates += self._piggybacked_entries(message)
        max_bytes = self.state.available_bytes()
        is_joining = self._is_joining(message.sender)
        if is_joining:
            max_bytes = self._policy.join_bytes
        answer = self._new_message(
            entries=rumours.fit(candidates, max_bytes),
            buckets=self._reconciler.buckets(message, always=is_joining),
            wanted=tuple(wanted_hashes),
        )
        size = messages.content_size(answer)
        # An answer to a joining instance must not delay other entries. Its
        # charge is therefore limited to the bytes that are available.
        charged = min(size, self.state.available_bytes())
        self.state.budget.spend(charged if is_joining else size)
        return answer

    def handle_answer(
        self, sent: messages.Outgoing, answer: messages.Gossip
    ) -> None:
        """Process the answer to a message."""
        now = self._clock.monotonic()
        instance = answer.sender.instance
        if sent.instance is not None and sent.instance != instance:
            self._mark_replaced(sent.instance)
        self._apply_message(answer)
        for requester in self._detector.record_answer(instance):
            self._queue_confirmation(requester, instance)
        self._remote.record_answer(instance)
        if answer.buckets:
            self._queue_reply(
                sent, answer, self._reconciler.request_versions(answer)
            )
        if answer.wanted:
            self._queue_wanted_entries(sent, answer)
        if sent.purpose is messages.Purpose.SYNC and answer.entries:
            wait_s = self._policy.resync_interval_ms / policies.MS_PER_S
            self._schedule.bring_forward("sync", now + wait_s)
            self._schedule.bring_forward("probe", now + wait_s)

    def handle_failure(self, sent: messages.Outgoing) -> None:
        """Process the failure of a message that was not answered."""
        if sent.instance is None:
            return
        now = self._clock.monotonic()
        self._detector.drop_requests(sent.instance)
        member = self.state.members.get(sent.instance)
        if member is None:
            return
        if member.peer.data_centre != self.state.me.data_centre:
            self._remote.record_failure(sent.instance, now)
        elif sent.purpose is messages.Purpose.PROBE and member.is_live:
            if self._detector.record_unanswered_probe(sent.instance, now):
                self._queue_indirect_probes(sent.instance)

    def _schedule_flushes(self) -> None:
        now = self._clock.monotonic()
        if self.state.urgent:
            wait_s = self._policy.flush_interval_ms / policies.MS_PER_S
            self._schedule.bring_forward("flush", now + wait_s)
        if self.state.region_urgent or self.state.cross_region_urgent:
            wait_s = self._policy.remote_flush_interval_ms / policies.MS_PER_S
            self._schedule.bring_forward("remote_flush", now + wait_s)

    def _record_new_sender(self, sender: view.Peer) -> None:
        if self.state.members.get(sender.instance) is not None:
            return
        now = self._clock.monotonic()
        first_contact_at = {
            n: t
            for n, t in self._first_contact_at.items()
            if t + JOIN_PERIOD_S > now
        }
        self._first_contact_at = {**first_contact_at, sender.instance: now}

    def _is_joining(self, sender: view.Peer) -> bool:
        first_contact_at = self._first_contact_at.get(
            sender.instance, -math.inf
        )
        return first_contact_at + JOIN_PERIOD_S > self._clock.monotonic()

    def _detect_suspension(self, now: float) -> None:
        age = self._age.now()
        gap_ms = (age - self._last_due_age_s) * policies.MS_PER_S
        self._last_due_age_s = age
        if gap_ms < self._policy.suspension_ms:
            return
        # Answers that did or did not arrive during the suspension say nothing
        # about the other instances.
        self._detector.reset()
        self._schedule.restart(now)
        self.state.reset_reachability()

    def _update_statuses(self, now: float) -> None:
        table = self.state.members
        for name in self._detector.pop_overdue(now):
            member = table.get(name)
            if member is not None and member.is_live:
                self.state.publish_status(
                    member.peer, members.MemberStatus.SUSPECT
                )
        for peer in self._detector.unrefuted_suspects(table, now):
            self.state.publish_status(peer, members.MemberStatus.DEAD)

    def _mark_replaced(self, instance: ids.InstanceId) -> None:
        member = self.state.members.get(instance)
        if member is not None and member.is_live:
            self.state.publish_status(member.peer, members.MemberStatus.DEAD)

    def _apply_message(self, message: messages.Gossip) -> None:
        source = self.state.source_of(message.sender)
        self.state.record_contact(message.sender, source)
        self.state.apply_entries(message.entries, source)
        for name in message.confirmed:
            self._detector.record_confirmation(name)

    def _new_message(self, **fields: Any) -> messages.Gossip:
        return messages.Gossip(sender=self.state.me, **fields)

    def _outgoing(
        self,
        peer: view.Peer,
        purpose: messages.Purpose,
        message: messages.Gossip,
    ) -> messages.Outgoing:
        cross_region = peer.region != self.state.me.region
        return messages.Outgoing(
            peer.address, peer.instance, purpose, message, cross_region
        )

    def _probe(self) -> list[messages.Outgoing]:
        if not self._probe_order:
            self._probe_order = list(self.state.neighbours())
            self._rng.shuffle(self._probe_order)
        if not self._probe_order:
            return []
        peer = self._probe_order.pop()
        digest = self.state.table.digest() if self._digest_due else 0
        self._digest_due = False
        piggybacked = self.state.select(self.state.lazy)
        self.state.lazy.record_sent(piggybacked)
        carried = (*self.state.entries_to_refute(peer), *piggybacked)
        message = self._new_message(digest=digest, entries=carried)
        return [self._outgoing(peer, messages.Purpose.PROBE, message)]

    def _piggybacked_entries(
        self, message: messages.Gossip
    ) -> list[shared.Entry]:
        received = {(e.topic, e.key, e.version) for e in message.entries}
        queued = self.state.select(self.state.lazy)
        return [
            e for e in queued if (e.topic, e.key, e.version) not in received
        ]

    def _flush(self) -> list[messages.Outgoing]:
        selected = self.state.select(self.state.urgent)
        if not selected:
            return []
        peers = self.state.neighbours()
        count = min(len(peers), self._policy.fan_out)
        self.state.urgent.record_sent(selected)
        message = self._new_message(entries=selected)
        return [
            self._outgoing(peer, messages.Purpose.RUMOUR, message)
            for peer in self._rng.sample(peers, count)
        ]

    def _publish_beat(self) -> None:
        if self.state.gateway_rank() != 0:
            return
        data_centre = self.state.me.data_centre
        version = self.state.table.version(shared.Topic.BEAT, data_centre)
        self.state.publish(
            shared.Topic.BEAT,
            data_centre,
            b"",
            version=max(version + 1, int(self._clock.wall())),
            ttl_ms=self._policy.beat_ttl_ms,
        )

    def _join(self, *, alone_only: bool) -> list[messages.Outgoing]:
        if alone_only and self.state.members.live_count() > 1:
            return []
        live_addresses = {p.address for p in self.state.peers()}
        excluded = live_addresses | {self.state.me.address}
        dead = [m.peer.address for m in self.state.members.dead()]
        addresses = dict.fromkeys(
            [*self._seeds, *self._listed_addresses, *dead]
        )
        remaining = [a for a in addresses if a not in excluded]
        if not remaining:
            return []
        message = self._new_message(digest=self.state.table.digest())
        address = self._rng.choice(remaining)
        return [
            messages.Outgoing(address, None, messages.Purpose.JOIN, message)
        ]

    def _queue_indirect_probes(self, instance: ids.InstanceId) -> None:
        others = [
            peer
            for peer in self.state.members.live_in(self.state.me.data_centre)
            if peer.instance not in (instance, self.state.me.instance)
        ]
        count = min(len(others), self._policy.indirect_probes)
        message = self._new_message(probe=instance)
        for peer in self._rng.sample(others, count):
            self._queued.append(
                self._outgoing(peer, messages.Purpose.INDIRECT, message)
            )

    def _queue_probe_for(
        self, instance: ids.InstanceId, requester: view.Peer
    ) -> None:
        member = self.state.members.get(instance)
        if member is None:
            return
        self._detector.record_request(instance, requester.instance)
        self._queued.append(
            self._outgoing(
                member.peer, messages.Purpose.INDIRECT, self._new_message()
            )
        )

    def _queue_confirmation(
        self, requester: ids.InstanceId, instance: ids.InstanceId
    ) -> None:
        member = self.state.members.get(requester)
        if member is None:
            return
        message = self._new_message(confirmed=(instance,))
        self._queued.append(
            self._outgoing(member.peer, messages.Purpose.INDIRECT, message)
        )

    def _queue_wanted_entries(
        self, sent: messages.Outgoing, answer: messages.Gossip
    ) -> None:
        wanted = self.state.table.by_hash(answer.wanted)
        fitting = rumours.fit(wanted, self.state.available_bytes())
        message = self._new_message(entries=fitting)
        self._queue_reply(sent, answer, message)

    def _queue_reply(
        self,
        sent: messages.Outgoing,
        answer: messages.Gossip,
        message: messages.Gossip,
    ) -> None:
        cross_region = answer.sender.region != self.state.me.region
        self._queued.append(
            messages.Outgoing(
                sent.address,
                answer.sender.instance,
                messages.Purpose.SYNC,
                message,
                cross_region,
            )
        )


def _charged_bytes(sent: messages.Outgoing) -> int:
    size = messages.content_size(sent.message)
    # Heartbeats are not charged for their sender, so that they do not delay
    # entries.
    if sent.purpose in (messages.Purpose.RUMOUR, messages.Purpose.SYNC):
        size += messages.SENDER_BYTES
    return size


def _intervals(policy: policies.GossipPolicy) -> dict[str, float]:
    intervals_ms = {
        "probe": policy.probe_interval_ms,
        "remote": policy.remote_interval_ms,
        "remote_sync": policy.remote_sync_interval_ms,
        "sync": policy.sync_interval_ms,
        "beat": policy.beat_interval_ms,
        "join": policy.join_interval_ms,
        "reconnect": policy.reconnect_interval_ms,
        "refresh": policy.member_ttl_ms // 2,
    }
    intervals_s = {
        name: interval / policies.MS_PER_S
        for name, interval in intervals_ms.items()
    }
    return {**intervals_s, "flush": math.inf, "remote_flush": math.inf}
