"""Event loop that runs callbacks in virtual time."""

from collections.abc import Callable
import heapq
import itertools

from sassafrasflow import clocks

__all__ = ["Timeline"]


class Timeline:
    """Run callbacks in order of their time and advance a clock."""

    def __init__(self) -> None:
        self.clock = clocks.ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.clock.monotonic()

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay."""
        event = (self.now + delay_s, next(self._order), callback)
        heapq.heappush(self._events, event)

    def call_every(
        self, interval_s: float, callback: Callable[[], None]
    ) -> None:
        """Schedule a callback repeatedly at an interval."""

        def repeat() -> None:
            callback()
            self.call_later(interval_s, repeat)

        self.call_later(interval_s, repeat)

    def run_until(self, end_s: float) -> None:
        """Run all callbacks up to a time."""
        while self._events and self._events[0][0] <= end_s:
            at, _, callback = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at - self.now))
            callback()
        self.clock.advance(max(0.0, end_s - self.now))
