"""Pace of each target relative to its service, and its good concurrency.

The functions are pure: times are arguments, and nothing is sent or logged.
"""

import bisect
import collections
from collections.abc import Iterator
import math
import statistics

import msgspec

from sassafrasflow import ids
from sassafrasflow.pace import samples

__all__ = ["UNKNOWN_PACE", "Pace", "PaceTable", "combine"]

# The median of 13 moves after seven samples of a changed target, so that a
# change is followed within ten. A median of nine took a target with stalls in
# a fourth of its responses for a slow one in 41 of 1,000 trials.
WINDOW = 13
# Weight of samples with which an estimate counts in full. Below it, the pace
# approaches the mean of the service.
FULL_WEIGHT = 3.0
# The median of fewer samples follows a single stalled response.
MIN_SAMPLES = 3
# A target whose samples are older than two minutes says little of the mean.
MIN_MEAN_WEIGHT = 1 / 16
# An idle target gets requests again after a minute or two.
HALF_LIFE_S = 30.0
MAX_AGE_S = 8 * HALF_LIFE_S
# Logarithm of the relative difference that is treated as none: 22%. Times in
# messages have steps of 6%, and the prompts of a uniform pool differ by more.
DEAD_BAND = 0.2
# A difference below this many standard errors is treated as none. Among a
# hundred equal targets, one may then seem different at a time.
SIGNIFICANCE = 2.5
# Ratio of the standard error of a median to that of a mean, and of the
# standard deviation to the mean deviation.
MEDIAN_ERROR = 1.25
DEVIATION_RATIO = 1.25
# Mean deviation of the logarithms that is assumed before any were seen.
INITIAL_DEVIATION = 0.2
# Weight of a new residual in the curve and the deviation of a service. More
# for the first ones fits the curve to levels that are not known yet.
SMOOTHING_FACTOR = 0.05
# Weight of a new residual in the common shift of all targets, and the shift
# beyond which all of them have changed.
SHIFT_FACTOR = 0.2
MAX_SHIFT = 0.25
# Residuals are bounded, so that one stalled response changes little.
MAX_RESIDUAL = 0.5
# Lower bounds of the ranges of load in which times are compared.
LOAD_EDGES = (0.0, 1.0, 2.0, 3.0, 4.0, 6.0, 9.0, 13.0)
# A target is beyond its good concurrency where it takes half as long again as
# at lower loads: its throughput then grows by less than the load does.
LIMIT_EXCESS = math.log(1.5)
MIN_RANGE_SAMPLES = 4
RANGE_SMOOTHING_FACTOR = 0.25
# Standard errors of the difference of two smoothed means.
RANGE_ERROR = 0.55
# A limit is forgotten when no load beyond it was seen for this long.
LIMIT_TTL_S = 120.0
# Estimates are computed again after this time or a new sample.
CACHE_S = 0.5


class Pace(msgspec.Struct, frozen=True):
    """Time of a target relative to that of its service."""

    factor: float = 1.0
    # Load from which on the target is slow, or infinity if none is known.
    limit: float = math.inf
    # Number of samples, weighted by their age.
    samples: float = 0.0
    age_s: float = math.inf


UNKNOWN_PACE = Pace()


class _Range:
    """Smoothed times of a target at some range of load."""

    def __init__(self) -> None:
        self.count = 0
        self.mean = 0.0
        self.seen_at = -math.inf

    def record(self, value: float, now: float) -> None:
        if now - self.seen_at > LIMIT_TTL_S:
            self.count = 0
        self.count += 1
        change = value - self.mean
        if self.count == 1:
            self.mean = value
        else:
            change = max(-MAX_RESIDUAL, min(MAX_RESIDUAL, change))
            self.mean += change * max(RANGE_SMOOTHING_FACTOR, 1.0 / self.count)
        self.seen_at = now

    def is_known(self, now: float) -> bool:
        return (
            self.count >= MIN_RANGE_SAMPLES
            and now - self.seen_at <= LIMIT_TTL_S
        )


class _Measure(msgspec.Struct, frozen=True):
    """Logarithm of a time, the range of its load, weight and time."""

    value: float
    position: int
    load: float
    weight: float
    at: float

    def weight_at(self, now: float) -> float:
        age_s = max(0.0, now - self.at)
        if age_s > MAX_AGE_S:
            return 0.0
        return self.weight * 0.5 ** (age_s / HALF_LIFE_S)


class _Pool:
    """What the targets of a service have in common for one kind of work."""

    def __init__(self) -> None:
        self.work_by_target: dict[ids.TargetId, _Work] = {}
        # Growth of the logarithm of the times with load.
        self.curve = [0.0] * len(LOAD_EDGES)
        self.deviation = INITIAL_DEVIATION
        # Smoothed residual of all samples, while the levels adapt.
        self._shift = 0.0
        self._mean = 0.0
        self._mean_until = -math.inf

    def mean(self, now: float) -> float:
        """Return the mean level of the targets.

        It is the median, so that one very slow target doesn't make all others
        seem fast.
        """
        if now < self._mean_until:
            return self._mean
        levels = []
        for work in self.work_by_target.values():
            level, weight = work.level(now)
            if weight >= MIN_MEAN_WEIGHT:
                levels.append(level)
        if levels:
            self._mean = statistics.median(levels)
        self._mean_until = now + CACHE_S
        return self._mean

    def learn(self, residual: float, position: int) -> None:
        """Adapt the curve and the deviation to the residual of a sample."""
        bounded = max(-MAX_RESIDUAL, min(MAX_RESIDUAL, residual))
        self._shift += SHIFT_FACTOR * (bounded - self._shift)
        # A change of all targets is no growth with load.
        if position and abs(self._shift) < MAX_SHIFT:
            self.curve[position] += SMOOTHING_FACTOR * bounded
        self.deviation += SMOOTHING_FACTOR * (abs(bounded) - self.deviation)

    def forget_mean(self) -> None:
        self._mean_until = -math.inf


class _Work:
    """Samples of one kind of work at one target."""

    def __init__(self, pool: _Pool) -> None:
        self.pool = pool
        self.ranges = [_Range() for _ in LOAD_EDGES]
        self.measures: collections.deque[_Measure] = collections.deque(
            maxlen=WINDOW
        )
        # Newest summary of the target's owner.
        self.told: _Measure | None = None
        self.told_limit: float = math.inf
        self.cached = UNKNOWN_PACE
        self.cached_until = -math.inf

    def record(self, measure: _Measure) -> None:
        """Add a sample."""
        level, weight = self.level(measure.at)
        mean = self.pool.mean(measure.at)
        share = min(1.0, weight / FULL_WEIGHT)
        expected = share * level + (1 - share) * mean
        has_reference = weight > 0 or len(self.pool.work_by_target) > 1
        if has_reference:
            residual = self._normalised(measure) - expected
            self.pool.learn(residual, measure.position)
        if weight < FULL_WEIGHT:
            self.pool.forget_mean()
        self.measures.append(measure)
        self.ranges[measure.position].record(measure.value, measure.at)
        self.invalidate()

    def record_told(self, measure: _Measure, limit: int | None) -> None:
        """Replace the summary of the owner."""
        if self.told is None:
            self.pool.forget_mean()
        self.told = measure
        self.told_limit = math.inf if limit is None else float(limit)
        self.invalidate()

    def invalidate(self) -> None:
        self.cached_until = -math.inf

    def level(self, now: float) -> tuple[float, float]:
        """Return the logarithm of the time at no load, and its weight."""
        values, total = [], 0.0
        for measure in self.measures:
            weight = measure.weight_at(now)
            if weight:
                values.append(self._normalised(measure))
                total += weight
        own = statistics.median(values) if values else 0.0
        told = self.told
        told_weight = 0.0 if told is None else told.weight_at(now)
        if told is None or not told_weight:
            return own, total
        value = self._normalised(told)
        weight = total + told_weight
        return (own * total + value * told_weight) / weight, weight

    def median_sample(self, now: float) -> tuple[_Measure, int] | None:
        """Return the median of the recent samples, and their number."""
        recent = [
            each for each in self.measures if now - each.at <= HALF_LIFE_S
        ]
        if not recent:
            return None
        recent.sort(key=self._normalised)
        return recent[(len(recent) - 1) // 2], len(recent)

    def own_limit(self, now: float) -> float:
        """Return the lowest load from which on the target is slow."""
        deviation = DEVIATION_RATIO * self.pool.deviation
        excess = max(LIMIT_EXCESS, SIGNIFICANCE * RANGE_ERROR * deviation)
        lowest = math.inf
        for position, each in enumerate(self.ranges):
            if not each.is_known(now):
                continue
            value = each.mean - self.pool.curve[position]
            if value - lowest > excess:
                return LOAD_EDGES[position]
            lowest = min(lowest, value)
        return math.inf

    def newest_at(self) -> float:
        newest = self.measures[-1].at if self.measures else -math.inf
        return max(newest, self.told.at if self.told else -math.inf)

    def pace(self, now: float) -> Pace:
        """Return the estimate."""
        if now < self.cached_until:
            return self.cached
        level, weight = self.level(now)
        difference = level - self.pool.mean(now) if weight else 0.0
        difference *= min(1.0, weight / FULL_WEIGHT)
        error = MEDIAN_ERROR * DEVIATION_RATIO * self.pool.deviation
        significant = SIGNIFICANCE * error / math.sqrt(max(1.0, weight))
        factor = 1.0
        if self._is_robust() and abs(difference) > max(DEAD_BAND, significant):
            factor = math.exp(difference)
        newest_at = self.newest_at()
        limit = self.own_limit(now)
        if self.told is not None and now - self.told.at <= LIMIT_TTL_S:
            limit = min(limit, self.told_limit)
        self.cached = Pace(factor, limit, weight, max(0.0, now - newest_at))
        self.cached_until = now + CACHE_S
        return self.cached

    def _is_robust(self) -> bool:
        """Return whether a single response can't have moved the level."""
        told = 0.0 if self.told is None else self.told.weight
        return len(self.measures) + told >= MIN_SAMPLES

    def _normalised(self, measure: _Measure) -> float:
        return measure.value - self.pool.curve[measure.position]


class PaceTable:
    """Estimates of all targets that have samples."""

    def __init__(self) -> None:
        self._pools: dict[tuple[ids.ServiceName, samples.WorkKind], _Pool] = {}
        self._works: dict[tuple[ids.TargetId, samples.WorkKind], _Work] = {}

    def record(
        self,
        service: ids.ServiceName,
        target: ids.TargetId,
        sample: samples.Sample,
        now: float,
    ) -> None:
        """Add a valid sample of a target."""
        work = self._work(service, target, sample.kind)
        work.record(_measure(sample, 1.0, now))

    def record_summary(
        self,
        service: ids.ServiceName,
        target: ids.TargetId,
        summary: samples.Summary,
        now: float,
    ) -> None:
        """Add what the owner of a target tells of its samples."""
        work = self._work(service, target, summary.sample.kind)
        count = float(min(WINDOW, summary.count))
        work.record_told(_measure(summary.sample, count, now), summary.limit)

    def summaries(
        self, target: ids.TargetId, now: float
    ) -> list[samples.Summary]:
        """Return the summaries of a target's recent samples here."""
        found = []
        for kind in samples.WorkKind:
            work = self._works.get((target, kind))
            median = None if work is None else work.median_sample(now)
            if work is None or median is None:
                continue
            measure, count = median
            limit = work.own_limit(now)
            found.append(
                samples.Summary(
                    samples.Sample(
                        kind, math.exp(measure.value), measure.load
                    ),
                    count,
                    None if math.isinf(limit) else int(limit),
                )
            )
        return found

    def of(
        self, target: ids.TargetId, kind: samples.WorkKind, now: float
    ) -> Pace:
        """Return the pace of a target for a kind of work."""
        work = self._works.get((target, kind))
        return UNKNOWN_PACE if work is None else work.pace(now)

    def known(self) -> Iterator[tuple[ids.TargetId, samples.WorkKind]]:
        """Return the targets and kinds of work that have samples."""
        yield from self._works

    def forget(self, target: ids.TargetId) -> None:
        """Drop the samples of a target that ended."""
        for kind in samples.WorkKind:
            work = self._works.pop((target, kind), None)
            if work is not None:
                del work.pool.work_by_target[target]
                work.pool.forget_mean()

    def clear(self) -> None:
        """Drop all samples."""
        self._works.clear()
        self._pools.clear()

    def _work(
        self,
        service: ids.ServiceName,
        target: ids.TargetId,
        kind: samples.WorkKind,
    ) -> _Work:
        work = self._works.get((target, kind))
        if work is None:
            pool = self._pools.setdefault((service, kind), _Pool())
            work = self._works[target, kind] = _Work(pool)
            pool.work_by_target[target] = work
        return work


def combine(*paces: Pace) -> Pace:
    """Return the pace of a request with several kinds of work."""
    if all(each is UNKNOWN_PACE for each in paces):
        return UNKNOWN_PACE
    weight = sum(each.samples for each in paces)
    if not weight:
        return UNKNOWN_PACE
    factor = math.exp(
        sum(each.samples * math.log(each.factor) for each in paces) / weight
    )
    return Pace(
        factor,
        min(each.limit for each in paces),
        weight,
        min(each.age_s for each in paces),
    )


def _measure(sample: samples.Sample, weight: float, now: float) -> _Measure:
    return _Measure(
        math.log(sample.seconds),
        bisect.bisect_right(LOAD_EDGES, sample.load) - 1,
        sample.load,
        weight,
        now,
    )
