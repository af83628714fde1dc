"""Structured log lines and metrics that never delay a request."""

import asyncio
import collections
from collections.abc import Iterable
import os
import time
from typing import Any

import msgspec

__all__ = ["EventLog", "Metrics"]

# Default limit of the log volume; the settings may change it.
LOG_BYTES_PER_S = 64 * 1024
# Limit of the lines that wait for a slow reader.
LOG_BUFFER_BYTES = 256 * 1024
FLUSH_S = 0.1
# Upper bounds of the latency histograms, in seconds.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 4.5, 10.0, 25.0)


class EventLog:
    """Write JSON lines without ever blocking; excess lines are dropped.

    Lines about ordinary successes are dropped first: they may use only half
    of the byte budget of each second.
    """

    def __init__(self, instance: str, fd: int = 1) -> None:
        self._instance = instance
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered = 0
        self._second = 0
        self._written_this_second = 0
        self._encoder = msgspec.json.Encoder()
        self.dropped = 0
        self._reported_drops = 0
        self._bytes_per_s = LOG_BYTES_PER_S
        self._successes = True

    def configure(self, bytes_per_s: int, *, successes: bool) -> None:
        """Set the byte budget and whether successes are logged."""
        self._bytes_per_s = bytes_per_s
        self._successes = successes

    def write(
        self, event: str, *, routine: bool = False, **fields: Any
    ) -> None:
        """Queue one line, or drop it if the budget is spent.

        ``routine`` marks a line about an ordinary success.
        """
        if routine and not self._successes:
            return
        now = time.time()
        second = int(now)
        if second != self._second:
            self._second = second
            self._written_this_second = 0
        limit = self._bytes_per_s // 2 if routine else self._bytes_per_s
        if (
            self._written_this_second >= limit
            or self._buffered >= LOG_BUFFER_BYTES
        ):
            self.dropped += 1
            return
        line = self._encode(
            {
                "time": round(now, 4),
                "instance": self._instance,
                "event": event,
                **fields,
            }
        )
        self._lines.append(line + b"\n")
        self._written_this_second += len(line)
        self._buffered += len(line)

    def _encode(self, fields: dict[str, Any]) -> bytes:
        try:
            return self._encoder.encode(fields)
        except Exception:
            # A value of another process may be unfit for JSON. The line is
            # written all the same, because its writer must not fail.
            return self._encoder.encode(
                {name: self._escape(value) for name, value in fields.items()}
            )

    def _escape(self, value: Any) -> Any:
        """Return a value, or its escaped text if it can't be encoded."""
        try:
            self._encoder.encode(value)
        except Exception:
            return ascii(value)
        return value

    async def run(self) -> None:
        """Flush until cancelled."""
        while True:
            await asyncio.sleep(FLUSH_S)
            self.flush()

    def flush(self) -> None:
        """Write as many queued bytes as the reader accepts now."""
        if self.dropped > self._reported_drops:
            dropped = self.dropped - self._reported_drops
            self._reported_drops = self.dropped
            self.write("log_lines_dropped", count=dropped)
        if not self._lines:
            return
        content = b"".join(self._lines)
        self._lines.clear()
        try:
            written = os.write(self._fd, content)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the log, so the lines count as dropped.
            self.dropped += 1
            written = len(content)
        rest = content[written:]
        if rest:
            self._lines.append(rest)
        self._buffered = len(rest)


class Metrics:
    """Collect counters and latencies, and render the Prometheus format."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, tuple[tuple[str, str], ...]], int] = {}
        self._histograms: dict[
            tuple[str, tuple[tuple[str, str], ...]], list[float]
        ] = {}

    def count(self, name: str, amount: int = 1, /, **labels: str) -> None:
        """Add one, or an amount, to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + amount

    def time(self, seconds: float, **labels: str) -> None:
        """Record the latency of an answer."""
        self.observe("answer_seconds", seconds, **labels)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Record a time in a histogram."""
        key = (name, tuple(sorted(labels.items())))
        values = self._histograms.get(key)
        if values is None:
            values = self._histograms[key] = [0.0] * (len(BUCKETS_S) + 2)
        for position, bound in enumerate(BUCKETS_S):
            if seconds <= bound:
                values[position] += 1
        values[-2] += 1
        values[-1] += seconds

    def render(
        self,
        gauges: Iterable[tuple[str, float]],
        labelled_gauges: Iterable[tuple[str, dict[str, str], float]] = (),
    ) -> bytes:
        """Return all metrics in the Prometheus text format."""
        lines = [
            f"sassafrasflow_{name}{_labels(labels)} {value}"
            for (name, labels), value in sorted(self._counters.items())
        ]
        lines += [f"sassafrasflow_{name} {value:g}" for name, value in gauges]
        lines += [
            f"sassafrasflow_{name}{_labels(tuple(by_name.items()))} {value:g}"
            for name, by_name, value in labelled_gauges
        ]
        for (name, labels), values in sorted(self._histograms.items()):
            lines += _histogram(f"sassafrasflow_{name}", labels, values)
        return ("\n".join(lines) + "\n").encode()


def _histogram(
    name: str, labels: tuple[tuple[str, str], ...], values: list[float]
) -> list[str]:
    lines = []
    bounds = [f"{bound:g}" for bound in BUCKETS_S] + ["+Inf"]
    for bound, count in zip(bounds, values[:-1], strict=True):
        with_bound = _labels((*labels, ("le", bound)))
        lines.append(f"{name}_bucket{with_bound} {count:g}")
    lines.append(f"{name}_count{_labels(labels)} {values[-2]:g}")
    lines.append(f"{name}_sum{_labels(labels)} {values[-1]:.6f}")
    return lines


def _escape(value: str) -> str:
    """Escape a label's value; ids of targets come from other processes."""
    return value.replace("\\", "\\\\").replace('"', '\\"')


def _labels(labels: tuple[tuple[str, str], ...]) -> str:
    if not labels:
        return ""
    inner = ",".join(f'{name}="{_escape(value)}"' for name, value in labels)
    return "{" + inner + "}"
