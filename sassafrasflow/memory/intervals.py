"""Bounds on how often log lines of a kind are written."""

__all__ = ["REPORT_INTERVAL_S", "Interval"]

# A crowd is turned away in hundreds, so one line tells of all in this time.
REPORT_INTERVAL_S = 1.0


class Interval:
    """Count what happens between two lines of a kind."""

    def __init__(self) -> None:
        self._count = 0
        self._reported_at: float | None = None

    def record(self, now: float) -> int | None:
        """Return the count since the last line if another one is due."""
        self._count += 1
        return self.take(now)

    def take(self, now: float) -> int | None:
        """Return what no line has told yet, if there is any and one is due."""
        if not self._count or (
            self._reported_at is not None
            and now - self._reported_at < REPORT_INTERVAL_S
        ):
            return None
        count, self._count = self._count, 0
        self._reported_at = now
        return count
