"""Detection of suspensions of this process by a timer that fires late."""

import math

__all__ = ["TICK_INTERVAL_S", "SuspensionMonitor"]

TICK_INTERVAL_S = 0.1
# A timer that fires this late shows that this process did not run. First
# events take a second, so shorter delays change their samples by less than
# the dead band.
LATE_TIMER_S = 0.1


class SuspensionMonitor:
    """Tell whether this process was suspended since some time."""

    def __init__(self, now: float) -> None:
        self._ticked_at = now
        self._resumed_at = -math.inf

    def tick(self, now: float) -> None:
        """Record that the timer fired."""
        if self._is_late(now):
            self._resumed_at = now
        self._ticked_at = now

    def was_suspended(self, since: float, now: float) -> bool:
        """Return whether the process did not run at some time since then.

        After a suspension, received data may be handled before the timer.
        """
        return self._is_late(now) or self._resumed_at >= since

    def _is_late(self, now: float) -> bool:
        passed_s = now - self._ticked_at
        return passed_s < 0 or passed_s > TICK_INTERVAL_S + LATE_TIMER_S
