"""Bounded log lines about callers that are turned away."""

from collections.abc import Callable

from loguru import logger

from sassafrasflow import exceptions
from sassafrasflow import observability
from sassafrasflow.memory import intervals
from sassafrasflow.memory import policy

__all__ = ["CrowdReport"]


class CrowdReport:
    """Count callers that are turned away; log each kind once a second."""

    def __init__(
        self,
        clock: Callable[[], float],
        metrics: observability.Metrics | None,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._intervals: dict[str, intervals.Interval] = {}

    def record_refusal(self, reason: exceptions.RefusalReason) -> None:
        """Record a request that was refused before it was read."""
        if self._metrics is not None:
            self._metrics.count_refusal(reason)
        self._record(reason.value)

    def record_reader_cut(self) -> None:
        """Record a connection that was cut as its caller didn't read."""
        self._add(observability.Counter.READERS_CUT)

    def record_turned_away(self, claim: policy.Claim) -> None:
        """Record a caller that was turned away in favour of others."""
        self._add(observability.Counter.CALLERS_TURNED_AWAY)

    def record_connection_cut(self) -> None:
        """Record a connection that was closed as there are too many."""
        self._add(observability.Counter.CONNECTIONS_CUT)

    def flush(self) -> None:
        """Log what has been counted since the last line of each kind."""
        now = self._clock()
        for name, interval in self._intervals.items():
            self._log(name, interval.take(now))

    def _add(self, counter: observability.Counter) -> None:
        if self._metrics is not None:
            self._metrics.add(counter)
        self._record(counter.value)

    def _record(self, name: str) -> None:
        interval = self._intervals.setdefault(name, intervals.Interval())
        self._log(name, interval.record(self._clock()))

    def _log(self, name: str, count: int | None) -> None:
        if count is not None:
            logger.info("api: Callers rejected: {}, count {}.", name, count)
