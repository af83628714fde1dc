"""Counters and log lines about callers that were turned away or rejected."""

import collections
from collections.abc import Callable

from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import telemetry
from sassafrasflow.memory import policy

__all__ = ["RejectionReport", "TurnAwayReport"]

# A crowd is turned away in hundreds, so one line tells of all in this time.
REPORT_INTERVAL_S = 1.0
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


class _Interval:
    """Count what happens between two lines of a kind."""

    def __init__(self) -> None:
        self._count = 0
        self._reported_at: float | None = None

    def record(self, now: float) -> int | None:
        """Return the count since the last line if another one is due."""
        self._count += 1
        if self._reported_at is not None and (
            now - self._reported_at < REPORT_INTERVAL_S
        ):
            return None
        count, self._count = self._count, 0
        self._reported_at = now
        return count


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
        self._intervals: dict[refusals.RefusalReason, _Interval] = {
            reason: _Interval() for reason in CROWD_REASONS
        }

    def record_cut(self, reason: refusals.RefusalReason) -> None:
        """Record a connection that was closed without an answer."""
        self.record(None, reason)

    def record(
        self, status: int | None, reason: refusals.RefusalReason
    ) -> None:
        """Record the rejection of what a caller sent."""
        self._metrics.count("rejected_total", reason=reason.value)
        count: int | None = 1
        if reason in CROWD_REASONS:
            count = self._intervals[reason].record(self._clock())
        if count is not None:
            self._log.write(
                "connection_rejected",
                status=status,
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
        self._interval = _Interval()
        self._counts: collections.Counter[str] = collections.Counter()
        self._released_bytes = 0

    def record(self, claim: policy.Claim) -> None:
        """Count a caller; log what has been counted since the last line."""
        phase = claim.phase.value
        self._metrics.count("callers_turned_away_total", phase=phase)
        self._counts[phase] += 1
        self._released_bytes += claim.held_bytes
        if self._interval.record(self._clock()) is None:
            return
        self._log.write(
            "callers_turned_away",
            counts=dict(self._counts),
            released_bytes=self._released_bytes,
            silence_ms=round(1000 * claim.silence_s),
        )
        self._counts.clear()
        self._released_bytes = 0
