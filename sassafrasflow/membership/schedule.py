"""Times at which the periodic tasks of the gossip are due.

A task with an infinite interval is due only after it was brought forward.
"""

import math
import random

__all__ = ["Schedule"]

JITTER = 0.1


class Schedule:
    """Track when named tasks are due, with jitter in each interval."""

    def __init__(
        self, intervals_s: dict[str, float], now_s: float, rng: random.Random
    ) -> None:
        self._intervals_s = intervals_s
        self._rng = rng
        self._due_at: dict[str, float] = {}
        self._next_at = now_s
        self.restart(now_s)

    @property
    def next_at(self) -> float:
        """Return the time at which the next task is due."""
        return self._next_at

    def start_if_due(self, name: str, now_s: float) -> bool:
        """Return whether a task is due; if so, schedule its next run."""
        if self._due_at[name] > now_s:
            return False
        spread = self._rng.uniform(1 - JITTER, 1 + JITTER)
        self._plan(name, now_s + self._intervals_s[name] * spread)
        return True

    def bring_forward(self, name: str, at_s: float) -> None:
        """Make a task due no later than a time."""
        if at_s < self._due_at[name]:
            self._plan(name, at_s)

    def restart(self, now_s: float) -> None:
        """Schedule every task anew, at a random point of its interval."""
        for name, interval in self._intervals_s.items():
            is_periodic = not math.isinf(interval)
            wait_s = (
                self._rng.uniform(0, interval) if is_periodic else interval
            )
            self._plan(name, now_s + wait_s)

    def _plan(self, name: str, at_s: float) -> None:
        self._due_at[name] = at_s
        self._next_at = min(self._due_at.values())
