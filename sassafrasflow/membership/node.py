"""Membership and shared state of one instance over its peer node.

:class:`GossipNode` is both the :class:`SharedState` and the
:class:`MemberView` of an instance. It needs a :class:`peers.PeerNode` and a
way to find a first peer: seed addresses, the instance list of the platform, or
a peer that calls first.
"""

import asyncio
import random

from loguru import logger
import msgspec

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import peers
from sassafrasflow import periodic
from sassafrasflow import storage
from sassafrasflow.membership import codec
from sassafrasflow.membership import gossip
from sassafrasflow.membership import messages
from sassafrasflow.membership import policy as policies
from sassafrasflow.membership import polling
from sassafrasflow.membership import shared
from sassafrasflow.membership import view

__all__ = ["GossipNode", "ListPolling"]

METHOD = "gossip"
SHORTEST_WAIT_S = 0.01
LONGEST_WAIT_S = 0.1


class ListPolling(msgspec.Struct, frozen=True, kw_only=True):
    """Interval and rate of reading the instance list of the platform."""

    shortest_ms: int = 1_000
    longest_ms: int = 60_000
    reads_per_s: float = 50.0


class GossipNode(shared.SharedState, view.MemberView):
    """Run the gossip of one instance over its peer node."""

    def __init__(
        self,
        me: view.Peer,
        node: peers.PeerNode,
        clock: clocks.Clock,
        rng: random.Random,
        policy: policies.GossipPolicy | None = None,
        seeds: tuple[str, ...] = (),
        instance_list: storage.InstanceList | None = None,
        list_polling: ListPolling | None = None,
    ) -> None:
        incarnation = int(clock.wall() * policies.MS_PER_S)
        policy = policy or policies.GossipPolicy()
        me = msgspec.structs.replace(me, incarnation=incarnation)
        self._core = gossip.GossipCore(me, policy, clock, rng, seeds)
        self._node = node
        self._clock = clock
        self._rng = rng
        self._policy = policy
        self._instance_list = instance_list
        self._list_polling = list_polling or ListPolling()
        self._rounds = periodic.Periodic(
            "membership", self._send_due, self._wait_s
        )
        self._list_polls = periodic.Periodic(
            "membership", self._read_list, self._list_wait_s
        )
        self._sending: set[asyncio.Task[None]] = set()
        node.register_handler(METHOD, self._handle_request)

    def peers(self) -> list[view.Peer]:
        return self._core.state.peers()

    def entry_count(self) -> int:
        """Return the number of live entries of every topic."""
        return len(self._core.state.table)

    def is_cross_region(self, address: str) -> bool:
        """Return whether a live member of another region has this address."""
        return self._core.state.members.is_cross_region(address)

    def publish(
        self,
        topic: shared.Topic,
        key: str,
        value: bytes,
        *,
        version: int,
        ttl_ms: int,
    ) -> None:
        self._core.state.publish(
            topic, key, value, version=version, ttl_ms=ttl_ms
        )

    def subscribe(
        self, topic: shared.Topic, subscriber: shared.Subscriber
    ) -> None:
        self._core.state.subscribe(topic, subscriber)

    def entries(self, topic: shared.Topic) -> list[shared.Entry]:
        return self._core.state.table.entries(topic)

    async def start(self) -> None:
        """Start to gossip; the peer node has to listen already."""
        state = self._core.state
        if not state.me.address:
            self._core.set_address(self._node.address)
        self._rounds.start(at_once=True)
        if self._instance_list is not None:
            self._list_polls.start(at_once=True)

    async def close(self) -> None:
        """Notify the peers that this instance leaves, and stop."""
        await self._rounds.close()
        await self._list_polls.close()
        for outgoing in self._core.leave():
            self._start_send(outgoing)
        if self._sending:
            timeout_s = self._policy.call_timeout_ms / policies.MS_PER_S
            await asyncio.wait(self._sending, timeout=timeout_s)
        await _cancel_all(self._sending)

    async def _send_due(self) -> None:
        for outgoing in self._core.due_messages():
            self._start_send(outgoing)

    def _wait_s(self) -> float:
        wait_s = self._core.next_at - self._clock.monotonic()
        return min(max(wait_s, SHORTEST_WAIT_S), LONGEST_WAIT_S)

    def _start_send(self, outgoing: messages.Outgoing) -> None:
        task = asyncio.create_task(self._send(outgoing))
        self._sending.add(task)
        task.add_done_callback(self._sending.discard)

    async def _send(self, outgoing: messages.Outgoing) -> None:
        payload = codec.encode(outgoing.message)
        timeout_s = self._policy.call_timeout_ms / policies.MS_PER_S
        try:
            answer = await self._node.call(
                outgoing.address,
                METHOD,
                payload,
                timeout_s,
                purpose=outgoing.purpose.value,
            )
            decoded = codec.decode(answer)
        except exceptions.PeerError:
            self._core.handle_failure(outgoing)
        else:
            self._core.handle_answer(outgoing, decoded)

    async def _handle_request(
        self, caller: ids.InstanceId, payload: bytes
    ) -> bytes:
        message = codec.decode(payload)
        if message.sender.instance != caller:
            raise exceptions.PeerError("the sender is not the caller")
        return codec.encode(self._core.handle_request(message))

    def _list_wait_s(self) -> float:
        cfg = self._list_polling
        return polling.poll_interval_s(
            len(self.peers()) + 1,
            cfg.shortest_ms,
            cfg.longest_ms,
            cfg.reads_per_s,
            self._rng,
        )

    async def _read_list(self) -> None:
        assert self._instance_list is not None
        try:
            listed = await self._instance_list.instances()
        except exceptions.PlatformError as exc:
            logger.warning("membership: Instance list failed: {}.", exc)
            return
        self._core.set_listed_addresses(
            item.peer_address
            for item in listed
            if item.kind is storage.TargetKind.ENTRY
            and item.peer_address is not None
        )


async def _cancel_all(tasks: set[asyncio.Task[None]]) -> None:
    cancelled = list(tasks)
    for task in cancelled:
        task.cancel()
    await asyncio.gather(*cancelled, return_exceptions=True)
