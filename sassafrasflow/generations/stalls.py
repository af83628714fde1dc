"""Adaptive timeouts that detect stalled streams, one per model version.

The timeout of a version is a high quantile of its recent gaps times a
factor, clamped between a floor and a ceiling. One :class:`AdaptiveTimeout`
is used for the gaps between tokens and another for the wait before the first
token.
"""

from hdrh import histogram
import msgspec

from sassafrasflow import ids

__all__ = ["AdaptiveTimeout", "AdaptiveTimeoutPolicy"]

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1_000


class AdaptiveTimeoutPolicy(msgspec.Struct, frozen=True):
    """Parameters that derive a timeout from the recent gaps.

    ``cold_ms`` is the base timeout of a version with too few gaps.
    """

    floor_ms: int = 250
    ceiling_ms: int = 1_000
    cold_ms: int = 1_000
    factor: float = 4.0
    quantile: float = 99.5
    min_samples: int = 200
    window_samples: int = 20_000


class _Window:
    """Histograms of the gaps in the current and the previous window."""

    def __init__(self) -> None:
        self.current = _histogram()
        self.previous = _histogram()
        self.count = 0
        self.timeout_ms = 0.0
        self.recompute_at_count = 0


def _histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


class AdaptiveTimeout:
    """Track gaps and derive the timeout of each model version."""

    def __init__(self, policy: AdaptiveTimeoutPolicy) -> None:
        self._policy = policy
        self._windows: dict[ids.VersionId, _Window] = {}

    def record(self, version: ids.VersionId, gap_s: float) -> None:
        """Add one observed gap in seconds."""
        window = self._windows.get(version)
        if window is None:
            window = self._windows[version] = _Window()
        micros = int(gap_s * 1_000_000)
        window.current.record_value(min(max(micros, LOWEST_US), HIGHEST_US))
        window.count += 1
        if window.count >= self._policy.window_samples:
            window.previous = window.current
            window.current = _histogram()
            window.count = 0
            window.recompute_at_count = 0

    def timeout_s(self, version: ids.VersionId, stall_count: int = 0) -> float:
        """Return the timeout in seconds.

        ``stall_count`` is the number of stalls of the same generation
        without a new token. Each doubles the timeout, so that a generation
        does not move from target to target when its version is slow on all
        of them.
        """
        base_ms = self._base_ms(version) * 2**stall_count
        return min(base_ms, self._policy.ceiling_ms) / 1000

    def _base_ms(self, version: ids.VersionId) -> float:
        window = self._windows.get(version)
        if window is None:
            return self._policy.cold_ms
        if window.count >= window.recompute_at_count:
            window.timeout_ms = self._compute_timeout_ms(window)
            window.recompute_at_count = window.count + self._policy.min_samples
        return window.timeout_ms

    def _compute_timeout_ms(self, window: _Window) -> float:
        policy = self._policy
        quantiles_us = [
            gaps.get_value_at_percentile(policy.quantile)
            for gaps in (window.current, window.previous)
            if gaps.get_total_count() >= policy.min_samples
        ]
        if not quantiles_us:
            return policy.cold_ms
        scaled_ms = max(quantiles_us) / US_PER_MS * policy.factor
        return min(max(scaled_ms, policy.floor_ms), policy.ceiling_ms)
