"""Histogram of recent latencies, whose quantiles follow changes."""

from hdrh import histogram

from sassafrasflow import clocks

__all__ = ["RecentHistogram"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_S = 1_000_000


class RecentHistogram:
    """Quantiles over the last one to two windows, and totals since start."""

    def __init__(self, clock: clocks.Clock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._window_started_at = clock.monotonic()
        self._current = _empty()
        self._previous = _empty()
        self.count = 0
        self.sum_s = 0.0

    def record(self, seconds: float, count: int = 1) -> None:
        """Record a latency in seconds, once or several times."""
        self._rotate()
        micros = int(seconds * US_PER_S)
        value = min(max(micros, LOWEST_US), HIGHEST_US)
        self._current.record_value(value, count)
        self.count += count
        self.sum_s += seconds * count

    def quantiles(self, wanted: tuple[float, ...]) -> list[float]:
        """Return quantiles in seconds, or NaN if there are no samples."""
        self._rotate()
        recent = _empty()
        recent.add(self._previous)
        recent.add(self._current)
        if not recent.get_total_count():
            return [float("nan")] * len(wanted)
        return [
            recent.get_value_at_percentile(quantile * 100) / US_PER_S
            for quantile in wanted
        ]

    def _rotate(self) -> None:
        now = self._clock.monotonic()
        elapsed_s = now - self._window_started_at
        if elapsed_s < self._window_s:
            return
        stale = elapsed_s >= 2 * self._window_s
        self._previous = _empty() if stale else self._current
        self._current = _empty()
        self._window_started_at = now


def _empty() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
