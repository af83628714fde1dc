"""Counters and log lines about callers that were turned away or rejected."""

import collections
from collections.abc import Callable

from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import telemetry
from sassafrasflow.memory import intervals
from sassafrasflow.memory import policy

__all__ = ["RejectionReport", "TurnAwayReport"]

# Reasons for which whole crowds are rejected.
CROWD_REASONS = frozenset(
    {
        refusals.RefusalReason.MEMORY,
        refusals.RefusalReason.BODY_TOO_LARGE,
        refusals.RefusalReason.CALLER_TOO_SLOW,
        refusals.RefusalReason.UNREAD,
        refusals.RefusalReason.CONNECTIONS,
    }
)


class RejectionReport:
    """Count rejected connections; log crowds once a second."""

    def __init__(
        self,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
    ) -> None:
        self._clock = clock
        self._log = log
        self._metrics = metrics
        # Status of the last rejection for each reason.
        self._statuses: dict[refusals.RefusalReason, int | None] = {}
        self._intervals: dict[refusals.RefusalReason, intervals.Interval] = {
            reason: intervals.Interval() for reason in CROWD_REASONS
        }

    def record_cut(self, reason: refusals.RefusalReason) -> None:
        """Record a connection that was closed without an answer."""
        self.record(None, reason)

    def record(
        self, status: int | None, reason: refusals.RefusalReason
    ) -> None:
        """Record the rejection of what a caller sent."""
        self._metrics.count("rejected_total", reason=reason.value)
        self._statuses[reason] = status
        count: int | None = 1
        if reason in CROWD_REASONS:
            count = self._intervals[reason].record(self._clock())
        if count is not None:
            self._write(reason, count)

    def flush(self) -> None:
        """Log what has been counted since the last line, if one is due."""
        now = self._clock()
        for reason, interval in self._intervals.items():
            count = interval.take(now)
            if count is not None:
                self._write(reason, count)

    def _write(self, reason: refusals.RefusalReason, count: int) -> None:
        self._log.write(
            "connection_rejected",
            status=self._statuses[reason],
            reason=reason.value,
            count=count,
        )


class TurnAwayReport:
    """Count callers turned away in favour of others; log once a second."""

    def __init__(
        self,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
    ) -> None:
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._interval = intervals.Interval()
        self._counts: collections.Counter[str] = collections.Counter()
        self._released_bytes = 0
        self._silence_s = 0.0

    def record(self, claim: policy.Claim) -> None:
        """Count a caller; log what has been counted since the last line."""
        phase = claim.phase.value
        self._metrics.count("callers_turned_away_total", phase=phase)
        self._counts[phase] += 1
        self._released_bytes += claim.held_bytes
        self._silence_s = claim.silence_s
        if self._interval.record(self._clock()) is not None:
            self._write()

    def flush(self) -> None:
        """Log what has been counted since the last line, if one is due."""
        if self._interval.take(self._clock()) is not None:
            self._write()

    def _write(self) -> None:
        self._log.write(
            "callers_turned_away",
            counts=dict(self._counts),
            released_bytes=self._released_bytes,
            silence_ms=round(1000 * self._silence_s),
        )
        self._counts.clear()
        self._released_bytes = 0
