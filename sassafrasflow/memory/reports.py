"""Counters and log lines about callers that were turned away."""

import collections
from collections.abc import Callable

from sassafrasflow.gateway import telemetry
from sassafrasflow.memory import policy

__all__ = ["TurnAwayReport"]

# A crowd is turned away in hundreds, so one line tells of all in this time.
REPORT_INTERVAL_S = 1.0


class TurnAwayReport:
    """Count the callers that are turned away, and log one line a second."""

    def __init__(
        self,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
    ) -> None:
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._reported_at = -REPORT_INTERVAL_S
        self._counts: collections.Counter[str] = collections.Counter()
        self._released_bytes = 0

    def record(self, claim: policy.Claim) -> None:
        """Count a caller; log what has been counted since the last line."""
        phase = claim.phase.value
        self._metrics.count("callers_turned_away_total", phase=phase)
        self._counts[phase] += 1
        self._released_bytes += claim.held_bytes
        now = self._clock()
        if now - self._reported_at < REPORT_INTERVAL_S:
            return
        self._reported_at = now
        self._log.write(
            "callers_turned_away",
            counts=dict(self._counts),
            released_bytes=self._released_bytes,
            longest_silence_ms=round(1000 * claim.silence_s),
        )
        self._counts.clear()
        self._released_bytes = 0
