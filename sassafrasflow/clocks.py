"""Clocks that are passed to code that depends on the time.

Pass :class:`SystemClock` in a daemon and :class:`ManualClock` in a test.
"""

from abc import ABC
from abc import abstractmethod
import time

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(ABC):
    """Abstract source of the time in seconds."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds that never go backwards."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """Clock that reads the time of the operating system."""

    def monotonic(self) -> float:
        return time.monotonic()

    def wall(self) -> float:
        return time.time()


class ManualClock(Clock):
    """Clock that moves only when :meth:`advance` is called."""

    def __init__(self, now_s: float = 0.0, wall_s: float = 1e9) -> None:
        self._now_s = now_s
        self._wall_s = wall_s

    def advance(self, seconds: float) -> None:
        """Move the monotonic and the wall clock forward."""
        self._now_s += seconds
        self._wall_s += seconds

    def monotonic(self) -> float:
        return self._now_s

    def wall(self) -> float:
        return self._wall_s
