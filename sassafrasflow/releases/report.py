"""Summary of the evidence of a release for operators and their board."""

from collections.abc import Iterator
from collections.abc import Sequence

import msgspec

from sassafrasflow import ids
from sassafrasflow.releases import evidence as evidences

__all__ = ["Line", "Report", "report_of"]

Arm = evidences.Arm
Signal = evidences.Signal


class Interval(msgspec.Struct, frozen=True):
    """Mean in seconds and its 95% confidence interval."""

    mean_s: float
    low_s: float
    high_s: float


class Line(msgspec.Struct, frozen=True):
    """Summary of one version in one scope: all, a region or a route."""

    model: ids.ModelName
    scope: str
    arm: Arm
    attempts: int
    events: dict[Signal, int]
    first_token: Interval | None
    inter_token: Interval | None


class Report(msgspec.Struct, frozen=True):
    """Evidence at a Unix time, and the rule that led to a decision."""

    at: float
    rule: str
    lines: tuple[Line, ...]


def report_of(
    model: ids.ModelName, evidence: evidences.Evidence
) -> tuple[Line, ...]:
    """Return the lines of one model: overall, by region, and by route."""
    scopes = {"all": evidence}
    for region in sorted({key.region for key in evidence.tallies}):
        scopes[f"region {region}"] = evidence.in_region(region)
    for route in sorted({key.route for key in evidence.tallies}):
        scopes[f"route {route}"] = evidence.on_route(route)
    return tuple(
        _line(model, name, arm, part)
        for name, part in scopes.items()
        for arm in Arm
    )


def to_text(lines: Sequence[Line]) -> Iterator[str]:
    """Yield one line of text for each line of a report."""
    for line in lines:
        events = ", ".join(
            f"{count} {signal.value.replace('_', ' ')}"
            for signal, count in line.events.items()
            if count
        )
        yield (
            f"  {line.model}, {line.scope}, {line.arm.value}: "
            f"{line.attempts} attempts, {events or 'no events'}"
            f"{_latency('first token', line.first_token)}"
            f"{_latency('between tokens', line.inter_token)}"
        )


def _line(
    model: ids.ModelName,
    scope: str,
    arm: Arm,
    evidence: evidences.Evidence,
) -> Line:
    total = evidence.total(arm)
    return Line(
        model,
        scope,
        arm,
        total.attempts,
        {signal: total.events(signal) for signal in Signal},
        _interval(total.first_token_s),
        _interval(total.inter_token_s),
    )


def _interval(moments: evidences.Moments) -> Interval | None:
    interval = moments.confidence_interval()
    return None if interval is None else Interval(*interval)


def _latency(name: str, interval: Interval | None) -> str:
    if interval is None:
        return ""
    return (
        f", {name} {interval.mean_s * 1000:.1f} ms "
        f"[{interval.low_s * 1000:.1f}, {interval.high_s * 1000:.1f}]"
    )
