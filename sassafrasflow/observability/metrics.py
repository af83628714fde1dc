"""Metrics of one instance in the Prometheus text format."""

from collections.abc import Callable
from collections.abc import Iterator
import enum
import math

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import peers
from sassafrasflow.observability import recent

__all__ = ["Counter", "Gauge", "Latency", "Metrics"]

QUANTILES = (0.5, 0.95, 0.99)
WINDOW_S = 60.0


class Latency(enum.Enum):
    """Latencies that are measured."""

    FIRST_TOKEN = "first_token"
    INTER_TOKEN = "inter_token"
    RESUME = "resume"


class Counter(enum.Enum):
    """Counters without a reason label."""

    CALLERS_TURNED_AWAY = "callers_turned_away"
    CLAIM_ROWS_WRITTEN = "claim_rows_written"
    CLAIM_TRANSACTIONS = "claim_transactions"
    CONNECTIONS_CUT = "connections_cut"
    READERS_CUT = "readers_cut"
    REQUESTS = "requests"
    TOKENS_DELIVERED = "tokens_delivered"
    REATTACHES = "reattaches"
    CANCELS_LOST = "cancels_lost"
    REPLICAS_MISSING = "replicas_missing"
    UNREPLICATED_BATCHES = "unreplicated_batches"
    TAKEOVERS = "takeovers"
    HANDED_OVER = "handed_over"
    UNATTENDED_STOPPED = "unattended_stopped"
    ANSWERS_EVICTED = "answers_evicted"


class Gauge(enum.Enum):
    """Values that are read when the metrics are rendered."""

    CONFIGURATION_AGE_SECONDS = "configuration_age_seconds"
    CONFIGURATION_REVISION = "configuration_revision"
    HELD_BYTES = "held_bytes"
    LIVE_PEERS = "live_peers"
    OPEN_CONNECTIONS = "open_connections"
    REPLICA_PEERS = "replica_peers"
    RUNNING_GENERATIONS = "running_generations"
    SHARED_ENTRIES = "shared_entries"
    TARGETS_KNOWN = "targets_known"
    TARGETS_READY = "targets_ready"


class Metrics:
    """Registry of the counters, gauges and latencies of one instance."""

    def __init__(
        self,
        clock: clocks.Clock | None = None,
        window_s: float = WINDOW_S,
    ) -> None:
        clock = clock or clocks.SystemClock()
        self._refusals = dict.fromkeys(exceptions.RefusalReason, 0)
        self._retries = dict.fromkeys(exceptions.RetryReason, 0)
        self._counters = dict.fromkeys(Counter, 0)
        self._gauges: dict[Gauge, Callable[[], float | None]] = {}
        self.traffic = peers.Traffic()
        self._latencies = {
            kind: recent.RecentHistogram(clock, window_s) for kind in Latency
        }

    def count_refusal(self, reason: exceptions.RefusalReason) -> None:
        """Count one refusal by its reason."""
        self._refusals[reason] += 1

    def count_retry(self, reason: exceptions.RetryReason) -> None:
        """Count one retry by its reason."""
        self._retries[reason] += 1

    def add(self, counter: Counter, amount: int = 1) -> None:
        """Increase a counter by an amount."""
        self._counters[counter] += amount

    def register_gauge(
        self, gauge: Gauge, read: Callable[[], float | None]
    ) -> None:
        """Register the function that reads a gauge.

        The gauge is left out while the function returns ``None``.
        """
        self._gauges[gauge] = read

    def record(self, latency: Latency, seconds: float, count: int = 1) -> None:
        """Record a latency in seconds, once or several times."""
        self._latencies[latency].record(seconds, count)

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        return "\n".join(self._lines()) + "\n"

    def _lines(self) -> Iterator[str]:
        yield "# TYPE sassafrasflow_refusals_total counter"
        for refusal, count in self._refusals.items():
            yield _counter_line("refusals", refusal.value, count)
        yield "# TYPE sassafrasflow_retries_total counter"
        for retry, count in self._retries.items():
            yield _counter_line("retries", retry.value, count)
        for counter, count in self._counters.items():
            name = f"sassafrasflow_{counter.value}_total"
            yield f"# TYPE {name} counter"
            yield f"{name} {count}"
        for gauge, read in self._gauges.items():
            value = read()
            if value is not None:
                name = f"sassafrasflow_{gauge.value}"
                yield f"# TYPE {name} gauge"
                yield f"{name} {value}"
        for kind, hist in self._latencies.items():
            yield from _summary_lines(kind, hist)
        yield from _traffic_lines("calls", self.traffic.calls)
        yield from _traffic_lines("payload_bytes", self.traffic.payload_bytes)


def _counter_line(name: str, reason: str, count: int) -> str:
    return f'sassafrasflow_{name}_total{{reason="{reason}"}} {count}'


def _summary_lines(
    kind: Latency, hist: recent.RecentHistogram
) -> Iterator[str]:
    name = f"sassafrasflow_{kind.value}_seconds"
    yield f"# TYPE {name} summary"
    values = hist.quantiles(QUANTILES)
    for quantile, value in zip(QUANTILES, values, strict=True):
        shown = "NaN" if math.isnan(value) else value
        yield f'{name}{{quantile="{quantile}"}} {shown}'
    yield f"{name}_sum {hist.sum_s:.6f}"
    yield f"{name}_count {hist.count}"


def _traffic_lines(what: str, counts: dict[peers.Flow, int]) -> Iterator[str]:
    name = f"sassafrasflow_peer_{what}_total"
    yield f"# TYPE {name} counter"
    for flow, count in counts.items():
        labels = (
            f'purpose="{flow.purpose}",direction="{flow.direction.value}",'
            f'cross_region="{str(flow.cross_region).lower()}"'
        )
        yield f"{name}{{{labels}}} {count}"
