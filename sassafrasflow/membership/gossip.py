"""Gossip of one instance: which messages to send and how to answer.

:class:`GossipCore` does no I/O. Call :meth:`~GossipCore.due` often and send
what it returns; hand each request to :meth:`~GossipCore.answer` and each
result to :meth:`~GossipCore.accept` or :meth:`~GossipCore.fail`.
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

JOINING_S = 5.0


class GossipCore:
    """Decide what one instance sends and what it makes of answers."""

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
        self._listed: dict[str, None] = {}
        self._detector = detector.FailureDetector(policy)
        self._remote = remote.RemoteExchange(self.state, rng)
        self._reconciler = reconcile.Reconciler(self.state, rng)
        self._met_at: dict[ids.InstanceId, float] = {}
        self._queued: list[messages.Outgoing] = []
        self._round: list[view.Peer] = []
        self._last_due = self._age.now()
        self._schedule = schedule.Schedule(
            _intervals(policy), clock.monotonic(), rng
        )
        self._digest_due = False
        if me.address:
            self.state.announce(members.MemberStatus.ALIVE)

    @property
    def next_at(self) -> float:
        """Return when :meth:`due` is to be called at the latest."""
        if self._queued:
            return self._clock.monotonic()
        self._hasten()
        return self._schedule.next_at

    def move(self, address: str) -> None:
        """Take an address that was not known at creation."""
        self.state.me = msgspec.structs.replace(self.state.me, address=address)
        self.state.announce(members.MemberStatus.ALIVE)

    def listed(self, addresses: Iterable[str]) -> None:
        """Take the peer addresses that the platform lists."""
        self._listed = dict.fromkeys(addresses)

    def leave(self) -> list[messages.Outgoing]:
        """Announce the end of this instance and return last messages."""
        self.state.announce(members.MemberStatus.LEFT)
        return self._flush()

    def due(self) -> list[messages.Outgoing]:
        """Return the messages to send now."""
        now = self._clock.monotonic()
        self._note_pause(now)
        self._judge(now)
        sent, self._queued = self._queued, []
        if self._schedule.take("sync", now):
            self._digest_due = True
            self.state.drop_expired_members()
        if self._schedule.take("refresh", now):
            self.state.raise_incarnation(self.state.me.incarnation)
        if self._schedule.take("beat", now):
            self._beat()
        if self._schedule.take("join", now):
            sent += self._join(alone_only=True)
        if self._schedule.take("reconnect", now):
            sent += self._join(alone_only=False)
        if self._schedule.take("probe", now):
            sent += self._probe()
        if self._schedule.take("flush", now):
            sent += self._flush()
        if self._schedule.take("remote_sync", now):
            self._remote.compare_next()
        if self._schedule.take("remote", now):
            sent += self._remote.round(now)
        if self._schedule.take("remote_flush", now):
            sent += self._remote.flush(now)
        for outgoing in sent:
            self.state.budget.spend(_charge(outgoing))
        return sent

    def answer(self, message: messages.Gossip) -> messages.Gossip:
        """Take a request in and return the answer."""
        self._note_new(message.sender)
        self._hear(message)
        if message.probe is not None:
            self._probe_for(message.probe, message.sender)
        send, want = self._reconciler.compare(message)
        news = self.state.doubts(message.sender) + send
        if not message.asked:
            news += self._riders(message)
        room = self.state.room()
        joining = self._is_joining(message.sender)
        if joining:
            room = self._policy.join_bytes
        answer = self._message(
            entries=rumours.fit(news, room),
            buckets=self._reconciler.buckets(message, always=joining),
            wanted=tuple(want),
        )
        size = messages.content_size(answer)
        # What a joining instance gets must not hold other news back.
        charged = min(size, self.state.room())
        self.state.budget.spend(charged if joining else size)
        return answer

    def accept(self, sent: messages.Outgoing, answer: messages.Gossip) -> None:
        """Take in the answer to a message."""
        now = self._clock.monotonic()
        told = answer.sender.instance
        if sent.instance is not None and sent.instance != told:
            self._replaced(sent.instance)
        self._hear(answer)
        for requester in self._detector.answered(told):
            self._confirm(requester, told)
        self._remote.answered(told)
        if answer.buckets:
            self._reply(sent, answer, self._reconciler.ask(answer))
        if answer.wanted:
            self._give(sent, answer)
        if sent.purpose is messages.Purpose.SYNC and answer.entries:
            wait_s = self._policy.resync_interval_ms / policies.MS_PER_S
            self._schedule.hasten("sync", now + wait_s)
            self._schedule.hasten("probe", now + wait_s)

    def fail(self, sent: messages.Outgoing) -> None:
        """Note that a message was not answered."""
        if sent.instance is None:
            return
        now = self._clock.monotonic()
        self._detector.give_up(sent.instance)
        known = self.state.members.get(sent.instance)
        if known is None:
            return
        if known.peer.data_centre != self.state.me.data_centre:
            self._remote.failed(sent.instance, now)
        elif sent.purpose is messages.Purpose.PROBE and known.live:
            if self._detector.unanswered(sent.instance, now):
                self._ask_others(sent.instance)

    def _hasten(self) -> None:
        now = self._clock.monotonic()
        if self.state.urgent:
            wait_s = self._policy.flush_interval_ms / policies.MS_PER_S
            self._schedule.hasten("flush", now + wait_s)
        if self.state.region_urgent or self.state.paid_urgent:
            wait_s = self._policy.remote_flush_interval_ms / policies.MS_PER_S
            self._schedule.hasten("remote_flush", now + wait_s)

    def _note_new(self, sender: view.Peer) -> None:
        if self.state.members.get(sender.instance) is not None:
            return
        now = self._clock.monotonic()
        met_at = {n: t for n, t in self._met_at.items() if t + JOINING_S > now}
        self._met_at = {**met_at, sender.instance: now}

    def _is_joining(self, sender: view.Peer) -> bool:
        met_at = self._met_at.get(sender.instance, -math.inf)
        return met_at + JOINING_S > self._clock.monotonic()

    def _note_pause(self, now: float) -> None:
        age = self._age.now()
        paused_ms = (age - self._last_due) * policies.MS_PER_S
        self._last_due = age
        if paused_ms < self._policy.pause_ms:
            return
        # Answers that came in meanwhile say nothing about the others.
        self._detector.reset()
        self._schedule.restart(now)
        self.state.restart_reachability()

    def _judge(self, now: float) -> None:
        table = self.state.members
        for name in self._detector.overdue(now):
            member = table.get(name)
            if member is not None and member.live:
                self.state.judge(member.peer, members.MemberStatus.SUSPECT)
        for peer in self._detector.unrefuted(table, now):
            self.state.judge(peer, members.MemberStatus.DEAD)

    def _replaced(self, instance: ids.InstanceId) -> None:
        member = self.state.members.get(instance)
        if member is not None and member.live:
            self.state.judge(member.peer, members.MemberStatus.DEAD)

    def _hear(self, message: messages.Gossip) -> None:
        source = self.state.source_of(message.sender)
        self.state.met(message.sender, source)
        self.state.learn(message.entries, source)
        for name in message.confirmed:
            self._detector.confirmed(name)

    def _message(self, **parts: Any) -> messages.Gossip:
        return messages.Gossip(sender=self.state.me, **parts)

    def _to(
        self,
        peer: view.Peer,
        purpose: messages.Purpose,
        message: messages.Gossip,
    ) -> messages.Outgoing:
        paid = peer.region != self.state.me.region
        return messages.Outgoing(
            peer.address, peer.instance, purpose, message, paid
        )

    def _probe(self) -> list[messages.Outgoing]:
        if not self._round:
            self._round = list(self.state.neighbours())
            self._rng.shuffle(self._round)
        if not self._round:
            return []
        peer = self._round.pop()
        digest = self.state.table.digest() if self._digest_due else 0
        self._digest_due = False
        riders = self.state.select(self.state.lazy)
        self.state.lazy.sent(riders)
        news = (*self.state.doubts(peer), *riders)
        message = self._message(digest=digest, entries=news)
        return [self._to(peer, messages.Purpose.PROBE, message)]

    def _riders(self, message: messages.Gossip) -> list[shared.Entry]:
        told = {(e.topic, e.key, e.version) for e in message.entries}
        found = self.state.select(self.state.lazy)
        return [e for e in found if (e.topic, e.key, e.version) not in told]

    def _flush(self) -> list[messages.Outgoing]:
        news = self.state.select(self.state.urgent)
        if not news:
            return []
        peers = self.state.neighbours()
        count = min(len(peers), self._policy.fan_out)
        self.state.urgent.sent(news)
        message = self._message(entries=news)
        return [
            self._to(peer, messages.Purpose.RUMOUR, message)
            for peer in self._rng.sample(peers, count)
        ]

    def _beat(self) -> None:
        if self.state.gateway_rank() != 0:
            return
        mine = self.state.me.data_centre
        known = self.state.table.version(shared.Topic.BEAT, mine)
        self.state.publish(
            shared.Topic.BEAT,
            mine,
            b"",
            version=max(known + 1, int(self._clock.wall())),
            ttl_ms=self._policy.beat_ttl_ms,
        )

    def _join(self, *, alone_only: bool) -> list[messages.Outgoing]:
        if alone_only and self.state.members.live_count() > 1:
            return []
        live = {p.address for p in self.state.peers()}
        known = live | {self.state.me.address}
        dead = [m.peer.address for m in self.state.members.dead()]
        choices = dict.fromkeys([*self._seeds, *self._listed, *dead])
        unknown = [a for a in choices if a not in known]
        if not unknown:
            return []
        message = self._message(digest=self.state.table.digest())
        address = self._rng.choice(unknown)
        return [
            messages.Outgoing(address, None, messages.Purpose.JOIN, message)
        ]

    def _ask_others(self, instance: ids.InstanceId) -> None:
        others = [
            peer
            for peer in self.state.members.live_in(self.state.me.data_centre)
            if peer.instance not in (instance, self.state.me.instance)
        ]
        count = min(len(others), self._policy.indirect_probes)
        message = self._message(probe=instance)
        for peer in self._rng.sample(others, count):
            self._queued.append(
                self._to(peer, messages.Purpose.INDIRECT, message)
            )

    def _probe_for(
        self, instance: ids.InstanceId, requester: view.Peer
    ) -> None:
        member = self.state.members.get(instance)
        if member is None:
            return
        self._detector.ask(instance, requester.instance)
        self._queued.append(
            self._to(member.peer, messages.Purpose.INDIRECT, self._message())
        )

    def _confirm(
        self, requester: ids.InstanceId, instance: ids.InstanceId
    ) -> None:
        member = self.state.members.get(requester)
        if member is None:
            return
        message = self._message(confirmed=(instance,))
        self._queued.append(
            self._to(member.peer, messages.Purpose.INDIRECT, message)
        )

    def _give(self, sent: messages.Outgoing, answer: messages.Gossip) -> None:
        found = self.state.table.by_hash(answer.wanted)
        news = rumours.fit(found, self.state.room())
        message = self._message(entries=news)
        self._reply(sent, answer, message)

    def _reply(
        self,
        sent: messages.Outgoing,
        answer: messages.Gossip,
        message: messages.Gossip,
    ) -> None:
        paid = answer.sender.region != self.state.me.region
        self._queued.append(
            messages.Outgoing(
                sent.address,
                answer.sender.instance,
                messages.Purpose.SYNC,
                message,
                paid,
            )
        )


def _charge(sent: messages.Outgoing) -> int:
    size = messages.content_size(sent.message)
    # Heartbeats are not charged: they must not hold news back.
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
