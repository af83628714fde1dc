"""In-memory links between gossip cores, with faults and a manual clock."""

from collections.abc import Callable
import heapq
import itertools
import random

from sassafrasflow import clocks
from sassafrasflow import membership

__all__ = ["LinkFaults", "MemoryLinks"]

Event = Callable[[], None]
Observer = Callable[[str, membership.Outgoing, membership.Gossip], None]

# Added to each step, since rounding can leave the clock just before an event.
ROUNDING_MARGIN_S = 1e-9


class LinkFaults:
    """Hold the faults that all links apply to messages."""

    def __init__(self) -> None:
        self.delay_s = 0.001
        self.jitter_s = 0.0
        self.loss = 0.0
        self.duplicates = 0.0
        self.is_blocked: Callable[[str, str], bool] = lambda source, sink: (
            False
        )


class MemoryLinks:
    """Deliver messages between cores in order of virtual time."""

    def __init__(self, rng: random.Random, timeout_s: float = 0.5) -> None:
        self.clock = clocks.ManualClock()
        self.faults = LinkFaults()
        self.cores: dict[str, membership.GossipCore] = {}
        self.observers: list[Observer] = []
        self._rng = rng
        self._timeout_s = timeout_s
        self._events: list[tuple[float, int, Event]] = []
        self._sequence = itertools.count()
        self._paused: dict[str, list[Event]] = {}
        self._wake_times: dict[str, float] = {}

    def add(self, address: str, core: membership.GossipCore) -> None:
        """Attach a core and replace an earlier one at its address."""
        self.cores[address] = core
        self._wake_times.pop(address, None)
        self._schedule_wake(address)

    def remove(self, address: str) -> None:
        """Remove a core without notifying the others."""
        self.cores.pop(address, None)
        self._paused.pop(address, None)

    def pause(self, address: str) -> None:
        """Pause a core and hold the messages that arrive for it."""
        self._paused[address] = []

    def resume(self, address: str) -> None:
        """Resume a paused core and deliver the held messages."""
        for event in self._paused.pop(address):
            self._schedule(0.0, event)
        self._schedule_wake(address)

    def wake(self, address: str) -> None:
        """Reschedule a core after a change from outside."""
        self._schedule_wake(address)

    def run(
        self, seconds: float, until: Callable[[], bool] | None = None
    ) -> float:
        """Run events for a time or until a condition holds.

        Returns the seconds that passed.
        """
        began_at = self.clock.monotonic()
        end_at = began_at + seconds
        while self._events and self._events[0][0] <= end_at:
            at, _, event = heapq.heappop(self._events)
            self._advance(at)
            event()
            if until is not None and until():
                return self.clock.monotonic() - began_at
        self._advance(end_at)
        return seconds

    def _advance(self, at: float) -> None:
        step_s = max(at - self.clock.monotonic(), 0.0)
        self.clock.advance(step_s + ROUNDING_MARGIN_S)

    def _schedule(self, delay_s: float, event: Event) -> None:
        at = self.clock.monotonic() + delay_s
        heapq.heappush(self._events, (at, next(self._sequence), event))

    def _schedule_wake(self, address: str) -> None:
        core = self.cores.get(address)
        if core is None or address in self._paused:
            return
        now = self.clock.monotonic()
        at = max(core.next_at, now)
        if now <= self._wake_times.get(address, -1.0) <= at:
            return
        self._wake_times[address] = at
        self._schedule(at - now, lambda: self._wake(address, core, at))

    def _wake(
        self, address: str, core: membership.GossipCore, at: float
    ) -> None:
        if self._wake_times.get(address) != at or address in self._paused:
            return
        if self.cores.get(address) is not core:
            return
        self._wake_times.pop(address)
        for outgoing in core.due_messages():
            self._send(address, core, outgoing)
        self._schedule_wake(address)

    def _send(
        self,
        source: str,
        core: membership.GossipCore,
        sent: membership.Outgoing,
    ) -> None:
        call = _Call(self, source, core, sent)
        self._schedule(self._timeout_s, call.time_out)
        copies = 1 + (self._rng.random() < self.faults.duplicates)
        for _ in range(copies):
            self._transmit(source, sent.address, call.deliver)

    def _transmit(self, source: str, sink: str, event: Event) -> None:
        if self.faults.is_blocked(source, sink):
            return
        if self._rng.random() < self.faults.loss:
            return
        jitter_s = self.faults.jitter_s
        delay_s = self.faults.delay_s + self._rng.uniform(0, jitter_s)
        self._schedule(delay_s, lambda: self._deliver(sink, event))

    def _deliver(self, sink: str, event: Event) -> None:
        if sink in self._paused:
            self._paused[sink].append(event)
            return
        event()
        self._schedule_wake(sink)


class _Call:
    """Track one request until it is answered or times out."""

    def __init__(
        self,
        links: MemoryLinks,
        source: str,
        core: membership.GossipCore,
        sent: membership.Outgoing,
    ) -> None:
        self._links = links
        self._source = source
        self._core = core
        self._sent = sent
        self._done = False

    def deliver(self) -> None:
        """Deliver the request and send its answer back."""
        target = self._links.cores.get(self._sent.address)
        if target is None:
            return
        answer = target.handle_request(self._sent.message)
        for observer in self._links.observers:
            observer(self._source, self._sent, answer)
        self._links._transmit(
            self._sent.address, self._source, lambda: self._accept(answer)
        )

    def _accept(self, answer: membership.Gossip) -> None:
        if not self._done and self._is_current():
            self._done = True
            self._core.handle_answer(self._sent, answer)

    def time_out(self) -> None:
        """Fail the request unless it was answered."""
        if self._done or not self._is_current():
            return
        self._done = True
        self._links._deliver(
            self._source, lambda: self._core.handle_failure(self._sent)
        )

    def _is_current(self) -> bool:
        return self._links.cores.get(self._source) is self._core
