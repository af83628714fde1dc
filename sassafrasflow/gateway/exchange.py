"""Datagrams between instances: load on shared targets, and losses.

Instances place work on the same targets without a coordinator. Each tells
the others what it has placed where, and which targets it found dead. The
state is soft: a lost datagram is made good by the next full report, and a
silent instance's load is forgotten.
"""

import asyncio
from collections.abc import Callable
import socket

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import relay as relays
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import trials

__all__ = ["LoadBoard", "LoadExchange", "Message", "Report"]

# Full reports repair lost datagrams; changes are sent when they happen.
FULL_REPORT_S = 4.0
# Three full reports missed.
PEER_TIMEOUT_S = 13.0
# Changes of one loop turn go into one datagram.
COALESCE_S = 0.02
MAX_DATAGRAM_BYTES = 1400


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """Tell the load that one instance has placed."""

    sender: registries.InstanceEntry
    # Differs between two starts of an instance.
    started_ms: int
    number: int
    # Everything the instance has placed, not only what changed.
    full: bool
    loads: dict[str, float]
    lost: tuple[str, ...] = ()


Message = (
    Report | relays.Relay | rollouts.News | trials.Report | poison.DeathNotice
)


class _Peer:
    def __init__(self, entry: registries.InstanceEntry, now: float) -> None:
        self.entry = entry
        self.heard_at = now
        self.started_ms = 0
        self.number = -1
        self.loads: dict[str, float] = {}


class LoadBoard:
    """Add up what other instances have placed."""

    def __init__(self) -> None:
        self._peers: dict[ids.InstanceId, _Peer] = {}
        self._totals: dict[str, float] = {}

    def add(self, entry: registries.InstanceEntry, now: float) -> bool:
        """Learn of an instance; tell whether it was unknown."""
        known = self._peers.get(entry.id)
        if known is not None:
            known.entry = entry
            return False
        self._peers[entry.id] = _Peer(entry, now)
        return True

    def apply(self, report: Report, now: float) -> bool:
        """Apply a report; tell whether its sender was unknown."""
        new = self.add(report.sender, now)
        peer = self._peers[report.sender.id]
        peer.heard_at = now
        # The time of day may have been set back between two starts.
        if report.started_ms != peer.started_ms:
            self._set(peer, {})
            peer.started_ms = report.started_ms
            peer.number = -1
        if report.number <= peer.number:
            return new
        peer.number = report.number
        loads = report.loads if report.full else {**peer.loads, **report.loads}
        self._set(peer, {key: load for key, load in loads.items() if load})
        return new

    def expire(self, now: float) -> None:
        """Forget the load of instances that fell silent."""
        for peer in self._peers.values():
            if peer.loads and now - peer.heard_at > PEER_TIMEOUT_S:
                self._set(peer, {})

    def load_of(self, target: ids.TargetId) -> float:
        """Return what others have placed on a target."""
        return self._totals.get(target, 0.0)

    def live(self, now: float) -> list[registries.InstanceEntry]:
        """Return the instances that were heard of lately."""
        return [
            peer.entry
            for peer in self._peers.values()
            if now - peer.heard_at <= PEER_TIMEOUT_S
        ]

    def __len__(self) -> int:
        return len(self._peers)

    def _set(self, peer: _Peer, loads: dict[str, float]) -> None:
        for target, load in peer.loads.items():
            left = self._totals.get(target, 0.0) - load
            if left > 1e-9:
                self._totals[target] = left
            else:
                self._totals.pop(target, None)
        for target, load in loads.items():
            self._totals[target] = self._totals.get(target, 0.0) + load
        peer.loads = dict(loads)


class LoadExchange(asyncio.DatagramProtocol):
    """Send this instance's load and apply that of others."""

    def __init__(
        self,
        own: registries.InstanceEntry,
        started_ms: int,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        on_lost: Callable[[ids.TargetId], None],
        on_message: Callable[[Message], None],
    ) -> None:
        self.board = LoadBoard()
        self._own = own
        self._started_ms = started_ms
        self._clock = clock
        self._log = log
        self._on_lost = on_lost
        self._on_message = on_message
        self._number = 0
        self._loads: dict[str, float] = {}
        self._changed: set[str] = set()
        self._lost: list[str] = []
        self._scheduled = False
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task[None] | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Message)

    async def start(self, sock: socket.socket) -> None:
        """Take datagrams on a bound socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, sock=sock
        )
        self._task = loop.create_task(self._run())

    async def close(self) -> None:
        """Stop; the others forget this instance's load."""
        if self._task is not None:
            self._task.cancel()
        self._loads = {}
        self._send_full(self.board.live(self._clock()))
        if self._transport is not None:
            self._transport.close()

    def meet(self, entries: list[registries.InstanceEntry]) -> None:
        """Greet instances that the store lists."""
        now = self._clock()
        others = [entry for entry in entries if entry.id != self._own.id]
        for entry in others:
            self.board.add(entry, now)
        self._send_full(others)

    def set_load(self, target: ids.TargetId, load: float) -> None:
        """Record what this instance has placed on a target."""
        if load:
            self._loads[target] = load
        else:
            self._loads.pop(target, None)
        self._changed.add(target)
        self._schedule()

    def publish_loss(self, target: ids.TargetId) -> None:
        """Tell the others that a target is dead."""
        self._lost.append(target)
        self._schedule()

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            message = self._decoder.decode(data)
        except msgspec.MsgspecError as exc:
            self._log.write("datagram_rejected", sender=addr, error=str(exc))
            return
        if isinstance(message, Report):
            if message.sender.id != self._own.id:
                self._apply(message)
                self._on_message(message)
        elif message.sender != self._own.id:
            self._on_message(message)

    def publish_relay(self, relay: relays.Relay) -> None:
        """Pass a read of the store on within the data centre."""
        now = self._clock()
        beside = [
            peer
            for peer in self.board.live(now)
            if peer.data_centre == self._own.data_centre
        ]
        for part in relays.split(relay):
            self.send(beside, part)

    def _apply(self, report: Report) -> None:
        if self.board.apply(report, self._clock()):
            self._send_full([report.sender])
        for target in report.lost:
            self._on_lost(ids.TargetId(target))

    def error_received(self, exc: Exception) -> None:
        # A peer that is down answers with an ICMP error; its load expires.
        self._log.write("datagram_failed", routine=True, error=str(exc))

    def _schedule(self) -> None:
        if not self._scheduled and self._transport is not None:
            self._scheduled = True
            asyncio.get_running_loop().call_later(
                COALESCE_S, self._send_changes
            )

    def _send_changes(self) -> None:
        self._scheduled = False
        loads = {key: self._loads.get(key, 0.0) for key in self._changed}
        lost = tuple(self._lost)
        self._changed.clear()
        self._lost.clear()
        peers = self.board.live(self._clock())
        self.send(peers, self._report(loads, full=False, lost=lost))

    def _send_full(self, peers: list[registries.InstanceEntry]) -> None:
        self.send(peers, self._report(self._loads, full=True))

    def _report(
        self,
        loads: dict[str, float],
        *,
        full: bool,
        lost: tuple[str, ...] = (),
    ) -> Report:
        self._number += 1
        return Report(
            self._own, self._started_ms, self._number, full, dict(loads), lost
        )

    def send(
        self, peers: list[registries.InstanceEntry], message: Message
    ) -> None:
        """Send a datagram to instances."""
        if self._transport is None or not peers:
            return
        content = self._encoder.encode(message)
        if len(content) > MAX_DATAGRAM_BYTES:
            self._log.write("datagram_too_large", bytes=len(content))
            return
        for peer in peers:
            self._transport.sendto(content, (peer.host, peer.port))

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(FULL_REPORT_S)
            now = self._clock()
            self.board.expire(now)
            self._send_full(self.board.live(now))
