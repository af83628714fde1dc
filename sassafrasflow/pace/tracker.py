"""Samples of this instance and of its peers, and what is told of them."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import math

from sassafrasflow import ids
from sassafrasflow.gateway import telemetry
from sassafrasflow.pace import estimates
from sassafrasflow.pace import samples
from sassafrasflow.pace import suspension

__all__ = ["PaceTracker", "pace_unknown"]

# Shorter prompts take so little time that other delays outweigh the target's.
MIN_PROMPT_TOKENS = 1000
# Samples of one target, and targets with samples, in one report.
MAX_SAMPLES_PER_TARGET = 4
MAX_SAMPLED_TARGETS = 8
MAX_CALL_SAMPLES = 6
# Targets for which samples wait to be reported. The oldest are dropped.
MAX_UNREPORTED_TARGETS = 64
# Interval of the search for targets that left or re-entered the dead band, and
# the number of log lines that it may write.
CHANGE_CHECK_INTERVAL_S = 5.0
MAX_CHANGE_LINES = 8
# Targets with gauges; a service seldom has more. Each kind of work has four.
MAX_MEASURED_TARGETS = 128

STREAM_KINDS = (samples.WorkKind.FIRST_EVENT, samples.WorkKind.EVENT)
Gauge = tuple[str, dict[str, str], float]


def pace_unknown(_: ids.TargetId) -> estimates.Pace:
    """Return the pace of a target that nothing is known of."""
    return estimates.UNKNOWN_PACE


class PaceTracker:
    """Collect samples, share them and estimate the targets' paces."""

    def __init__(
        self,
        is_enabled: Callable[[], bool],
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
    ) -> None:
        self._is_enabled = is_enabled
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._table = estimates.PaceTable()
        self._suspensions = suspension.SuspensionMonitor(clock())
        # Packed samples that have not been reported, by target.
        self._unreported: dict[ids.TargetId, collections.deque[int]] = {}
        # Newest samples of calls, which are added to any report.
        self._calls: collections.deque[tuple[ids.TargetId, int]]
        self._calls = collections.deque(maxlen=MAX_CALL_SAMPLES)
        # Targets and kinds of work whose pace was outside of the dead band.
        self._outside: set[tuple[ids.TargetId, samples.WorkKind]] = set()
        self._checked_at = clock()

    def record_first_event(
        self,
        service: ids.ServiceName,
        target: ids.TargetId,
        *,
        sent_at: float,
        prompt_tokens: int,
        load: float,
    ) -> None:
        """Record that the first event of a run has just come."""
        if prompt_tokens >= MIN_PROMPT_TOKENS:
            took_s = (self._clock() - sent_at) * 1000 / prompt_tokens
            kind = samples.WorkKind.FIRST_EVENT
            sample = samples.Sample(kind, took_s, load)
            self._record(service, target, sample, sent_at)

    def record_events(
        self,
        service: ids.ServiceName,
        target: ids.TargetId,
        *,
        first_at: float,
        gaps: int,
        load: float,
    ) -> None:
        """Record that some events of a run have come since its first one."""
        gap_s = (self._clock() - first_at) / gaps
        sample = samples.Sample(samples.WorkKind.EVENT, gap_s, load)
        self._record(service, target, sample, first_at)

    def record_call(
        self,
        service: ids.ServiceName,
        target: ids.TargetId,
        *,
        sent_at: float,
        load: float,
    ) -> None:
        """Record that the answer to a call has just come."""
        took_s = self._clock() - sent_at
        sample = samples.Sample(samples.WorkKind.CALL, took_s, load)
        self._record(service, target, sample, sent_at)

    def pace_of_stream(self, target: ids.TargetId) -> estimates.Pace:
        """Return the pace of a target for a stream."""
        if not self._is_enabled():
            return estimates.UNKNOWN_PACE
        now = self._clock()
        return estimates.combine(
            *(self._table.of(target, kind, now) for kind in STREAM_KINDS)
        )

    def pace_of_call(self, target: ids.TargetId) -> estimates.Pace:
        """Return the pace of a target for a short call."""
        if not self._is_enabled():
            return estimates.UNKNOWN_PACE
        return self._table.of(target, samples.WorkKind.CALL, self._clock())

    def take_samples(
        self, reported: Sequence[ids.TargetId]
    ) -> dict[ids.TargetId, tuple[int, ...]]:
        """Return samples for a report; each is returned once."""
        taken: dict[ids.TargetId, tuple[int, ...]] = {}
        for target in reported[:MAX_SAMPLED_TARGETS]:
            codes = self._unreported.pop(target, None)
            if codes:
                taken[target] = tuple(codes)
        while self._calls and len(taken) < MAX_SAMPLED_TARGETS:
            target, code = self._calls.pop()
            known = taken.get(target, ())
            if len(known) < MAX_SAMPLES_PER_TARGET:
                taken[target] = (*known, code)
        return taken

    def take_summaries(self, target: ids.TargetId) -> tuple[int, ...]:
        """Return what the owner of a target tells of its samples."""
        if not self._is_enabled():
            return ()
        return tuple(
            samples.pack_summary(summary)
            for summary in self._table.summaries(target, self._clock())
        )

    def apply_samples(
        self,
        reported: Mapping[ids.TargetId, Sequence[int]],
        service_of: Callable[[ids.TargetId], ids.ServiceName | None],
    ) -> None:
        """Apply the samples in a report of a peer."""
        now = self._clock()
        items = itertools.islice(reported.items(), MAX_SAMPLED_TARGETS)
        for target, codes in items:
            service = service_of(target)
            if service is None or not self._is_enabled():
                continue
            for code in codes[:MAX_SAMPLES_PER_TARGET]:
                try:
                    sample = samples.unpack_sample(code)
                except ValueError:
                    self._record_rejected(target, code)
                else:
                    self._table.record(service, target, sample, now)

    def apply_summaries(
        self,
        target: ids.TargetId,
        codes: Sequence[int],
        service: ids.ServiceName | None,
    ) -> None:
        """Apply what the owner of a target tells of its samples."""
        if service is None or not self._is_enabled():
            return
        now = self._clock()
        for code in codes[: len(samples.WorkKind)]:
            try:
                summary = samples.unpack_summary(code)
            except ValueError:
                self._record_rejected(target, code)
            else:
                self._table.record_summary(service, target, summary, now)

    def forget(self, target: ids.TargetId) -> None:
        """Drop the samples of a target that ended."""
        self._table.forget(target)
        self._unreported.pop(target, None)
        self._outside = {key for key in self._outside if key[0] != target}

    def gauges(self) -> Iterator[Gauge]:
        """Return the gauges of a bounded number of targets."""
        now = self._clock()
        for target, kind in self._known():
            pace = self._table.of(target, kind, now)
            labels = {"target": target, "kind": kind.value}
            yield "pace_factor", labels, pace.factor
            yield "pace_samples", labels, pace.samples
            yield "pace_age_seconds", labels, pace.age_s
            if not math.isinf(pace.limit):
                yield "pace_limit", labels, pace.limit

    async def run(self) -> None:
        """Detect suspensions and log changed paces until cancelled."""
        while True:
            await asyncio.sleep(suspension.TICK_INTERVAL_S)
            self.tick(self._clock())

    def tick(self, now: float) -> None:
        """Record that the timer fired, and log changes from time to time."""
        self._suspensions.tick(now)
        if now - self._checked_at < CHANGE_CHECK_INTERVAL_S:
            return
        self._checked_at = now
        if not self._is_enabled():
            self._table.clear()
            self._unreported.clear()
            self._calls.clear()
            self._outside.clear()
            return
        self._log_changes(now)

    def _record(
        self,
        service: ids.ServiceName,
        target: ids.TargetId,
        sample: samples.Sample,
        since: float,
    ) -> None:
        if not self._is_enabled():
            return
        now = self._clock()
        if self._suspensions.was_suspended(since, now):
            self._metrics.count("pace_samples_dropped_total", cause="late")
            return
        if not sample.is_valid:
            self._metrics.count("pace_samples_dropped_total", cause="range")
            return
        self._table.record(service, target, sample, now)
        code = samples.pack_sample(sample)
        if sample.kind is samples.WorkKind.CALL:
            self._calls.append((target, code))
            return
        codes = self._unreported.pop(target, None)
        if codes is None:
            codes = collections.deque(maxlen=MAX_SAMPLES_PER_TARGET)
        codes.append(code)
        self._unreported[target] = codes
        while len(self._unreported) > MAX_UNREPORTED_TARGETS:
            del self._unreported[next(iter(self._unreported))]

    def _record_rejected(self, target: ids.TargetId, code: int) -> None:
        self._metrics.count("pace_reports_rejected_total")
        self._log.write("pace_report_rejected", target=target, code=code)

    def _known(self) -> list[tuple[ids.TargetId, samples.WorkKind]]:
        """Return the targets and kinds of work that are shown, in order."""
        known = sorted(
            self._table.known(), key=lambda key: (key[0], key[1].value)
        )
        shown = sorted({target for target, _ in known})[:MAX_MEASURED_TARGETS]
        last = shown[-1] if shown else ""
        return [key for key in known if key[0] <= last]

    def _log_changes(self, now: float) -> None:
        """Log paces that left or re-entered the dead band.

        Changes beyond the limit are logged by a later check.
        """
        lines = 0
        for key in self._table.known():
            pace = self._table.of(*key, now)
            if (pace.factor != 1.0) == (key in self._outside):
                continue
            if lines >= MAX_CHANGE_LINES:
                self._metrics.count("pace_lines_deferred_total")
                return
            lines += 1
            self._outside ^= {key}
            target, kind = key
            self._log.write(
                "pace_changed",
                target=target,
                kind=kind.value,
                factor=round(pace.factor, 2),
                limit=None if math.isinf(pace.limit) else pace.limit,
                samples=round(pace.samples, 1),
                age_s=round(pace.age_s, 1),
            )
