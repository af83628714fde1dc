"""Instances that exchange shares over a network in virtual time."""

import asyncio
import collections
from collections.abc import Callable
import functools
import random

from sassafrasflow import ids
from sassafrasflow.admission import share_exchange
from sassafrasflow.gateway import exchange
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import registry
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry

__all__ = ["ShareNet"]

LOCAL_LATENCY_S = 0.0005
REMOTE_LATENCY_S = 0.02
SHARE_KINDS = ("ShareReport", "ShareSums", "ShareTotals")


class Log(telemetry.EventLog):
    """Collect lines."""

    def __init__(self) -> None:
        super().__init__("entry")
        self.lines: list[dict] = []

    def write(self, event, *, routine=False, **fields):
        self.lines.append({"event": event, **fields})


class Wire(asyncio.DatagramTransport):
    """Transport of one instance."""

    def __init__(self, net: "ShareNet", own: registry.InstanceEntry) -> None:
        super().__init__()
        self._net = net
        self._own = own

    def sendto(self, data, addr=None):
        self._net.send(self._own, addr[1], data)

    def close(self):
        pass


class ShareNet:
    """Deliver datagrams between instances, unless a link is cut."""

    def __init__(
        self,
        count: int,
        data_centres: int,
        clock: Callable[[], float],
        seed: int = 1,
    ) -> None:
        self.down: set[int] = set()
        # Whether data centres can't reach each other.
        self.is_cut = False
        # Bytes that each instance sent for the shares.
        self.sent: collections.Counter[int] = collections.Counter()
        self.logs = [Log() for _ in range(count)]
        self.metrics = [telemetry.Metrics() for _ in range(count)]
        self.entries = [
            registry.InstanceEntry(
                ids.InstanceId(f"entry-{number}"),
                "10.0.0.1",
                number,
                ids.DataCentre(f"zone-{number % data_centres}"),
            )
            for number in range(count)
        ]
        # Time by which the clock of an instance is ahead of the loop, as its
        # process was suspended.
        self.ahead_s: collections.Counter[int] = collections.Counter()
        self._clock = clock
        self._tasks: list[asyncio.Task[None]] = []
        self.exchanges = [self._exchange(own) for own in self.entries]
        self.shares = [self._shares(number, seed) for number in range(count)]

    def _clock_of(self, number: int) -> float:
        return self._clock() + self.ahead_s[number]

    def _exchange(self, own: registry.InstanceEntry) -> exchange.PeerExchange:
        number = own.port
        peer_exchange = exchange.PeerExchange(
            own,
            1,
            functools.partial(self._clock_of, number),
            self.logs[number],
            self.metrics[number],
            targets.Directory(),
            lambda target, at: None,
            lambda message: self._handle(number, message),
            functools.partial(peer_table.Beat, own),
        )
        for other in self.entries:
            peer_exchange.peers.add(other, self._clock())
        peer_exchange._transport = Wire(self, own)
        return peer_exchange

    def _shares(self, number: int, seed: int) -> share_exchange.ShareExchange:
        shares = share_exchange.ShareExchange(
            self.entries[number].id,
            lambda: True,
            functools.partial(self._clock_of, number),
            self.logs[number],
            self.metrics[number],
            random.Random(1000 * seed + number),
        )
        shares.exchange = self.exchanges[number]
        return shares

    def _handle(self, number: int, message) -> None:
        if type(message).__name__ in SHARE_KINDS:
            self.shares[number].handle(message)

    def send(self, own: registry.InstanceEntry, number: int, data) -> None:
        """Deliver a datagram after the latency of the link."""
        assert len(data) <= exchange.MAX_DATAGRAM_BYTES
        if b"share" in data[:8]:
            self.sent[own.port] += len(data)
        is_local = self.entries[number].data_centre == own.data_centre
        if self.is_cut and not is_local:
            return
        asyncio.get_running_loop().call_later(
            LOCAL_LATENCY_S if is_local else REMOTE_LATENCY_S,
            self._deliver,
            own.port,
            number,
            data,
        )

    def _deliver(self, sender: int, number: int, data) -> None:
        if not {sender, number} & self.down:
            self.exchanges[number].datagram_received(data, ("10.0.0.1", 0))

    def start(self) -> None:
        """Start the periodic tasks of all instances."""
        for number in range(len(self.entries)):
            for run in (self.exchanges[number].run, self.shares[number].run):
                self._tasks.append(asyncio.create_task(self._run(number, run)))

    async def _run(self, number: int, run) -> None:
        await run()

    async def close(self) -> None:
        """End the periodic tasks."""
        tasks, self._tasks = self._tasks, []
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
