"""Estimate when the targets of a service have room for a refused request.

The evidence is what one instance knows: the requests that it has at the
targets, their rejections and pauses, and the losses that it has seen.
"""

from collections.abc import Callable
from collections.abc import Collection
import random
from typing import Generic
from typing import TypeVar

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import waiting

__all__ = [
    "CallTimes",
    "Estimate",
    "ReturnTimes",
    "TargetState",
    "TimesByService",
    "assumed_call_s",
    "choose_return_s",
    "estimate_room",
    "is_hopeless",
    "is_rejecting",
    "return_interval_s",
    "room_at",
]

TimesT = TypeVar("TimesT")

# A lost engine is back after this time.
RESTART_S = 1.2
# A rejection tells for this long that its target is full.
MAX_REJECTION_AGE_S = 1.0
# Weight of the newest call in the mean time. The mean then covers about the
# last 8 calls, which an instance with 1.5 calls a second gets within 6 s.
AVERAGE_WEIGHT = 1 / 8
# A call may be much shorter than the mean, and must not be refused if it would
# have ended in time.
MIN_CALL_SHARE = 0.5
# An ordinary answer takes a sixth of the goal of its route.
ASSUMED_GOAL_SHARE = 1 / 6


class TargetState(msgspec.Struct, frozen=True):
    """What an instance knows of when a target accepts work."""

    slots: int
    # Requests that this instance knows of.
    in_flight: float = 0.0
    # Time of its last rejection; None if it has accepted a request since.
    rejected_at: float | None = None
    # End of the pause that it asked for, and the length of that pause.
    paused_until: float | None = None
    pause_s: float = 0.0
    # Whether a trial request shows whether its pause is over.
    is_on_trial: bool = False
    # When it was lost; None if it is not.
    lost_at: float | None = None


class Estimate(msgspec.Struct, frozen=True):
    """Time until there is room, and the least value of Retry-After."""

    room_s: float
    least_s: float = waiting.MIN_RETRY_AFTER_S


class TimesByService(Generic[TimesT]):
    """Times of each service, which begin empty."""

    def __init__(self, make: Callable[[], TimesT]) -> None:
        self._make = make
        self._times: dict[ids.ServiceName, TimesT] = {}

    def __call__(self, service: ids.ServiceName) -> TimesT:
        times = self._times.get(service)
        if times is None:
            times = self._times[service] = self._make()
        return times


class CallTimes:
    """Mean time of a service's calls, from the send to the answer."""

    def __init__(self) -> None:
        # 0 before the first call.
        self.call_s = 0.0

    def record(self, call_s: float) -> None:
        """Record a call that was answered."""
        weight = AVERAGE_WEIGHT if self.call_s else 1.0
        self.call_s += weight * (call_s - self.call_s)


class ReturnTimes:
    """Distribute the returns of refused callers over time.

    Targets that are full have room for one more call each time that one ends,
    so callers that are told the same time would find room only for the first.
    """

    def __init__(self) -> None:
        self._next_at = 0.0

    def assign(
        self, room_s: float, interval_s: float, most_s: float, now: float
    ) -> float:
        """Return the time until the next caller should come back.

        ``interval_s`` is the time between two returns. No time is later than
        ``most_s``, which no caller would wait for.
        """
        latest_at = now + max(room_s, most_s)
        at = min(latest_at, max(now + room_s, self._next_at))
        self._next_at = at + interval_s
        return at - now


def room_at(target: TargetState, work_s: float, now: float) -> float:
    """Return when a target is expected to have room for one request.

    ``work_s`` is the usual time of a request, 0 if it is unknown. Requests at
    the target are taken to be of any age up to it, so that slots become free
    at a steady rate.
    """
    if target.paused_until is not None and target.paused_until > now:
        return target.paused_until
    if target.lost_at is not None:
        return max(now, target.lost_at + RESTART_S)
    if target.is_on_trial:
        return now + work_s
    since, busy = now, target.in_flight
    if is_rejecting(target, now):
        assert target.rejected_at is not None
        since, busy = target.rejected_at, max(target.slots, target.in_flight)
    lacking = max(0.0, busy + 1 - target.slots)
    return max(now, since + work_s * lacking / max(1.0, busy))


def estimate_room(
    targets: Collection[TargetState], work_s: float, now: float
) -> Estimate:
    """Return the estimated time until one of some targets has room.

    It is 0 if a target has room now, as far as is known, or if nothing is.
    """
    times = [(room_at(each, work_s, now), each) for each in targets]
    if not times:
        return Estimate(0.0)
    at, first = min(times, key=lambda pair: pair[0])
    is_paused = first.paused_until is not None and at == first.paused_until
    least_s = waiting.MIN_RETRY_AFTER_S
    if is_paused:
        least_s = min(least_s, first.pause_s)
    return Estimate(at - now, least_s)


def return_interval_s(slots: int, instances: int, work_s: float) -> float:
    """Return the time between two returns to the callers of one instance.

    The slots of a service become free at a steady rate, which the instances
    share.
    """
    return work_s * instances / max(1, slots)


def assumed_call_s(goal_s: float) -> float:
    """Return the time of a call to assume before the first one.

    All instances may have been killed, and then refuse many callers that
    return before any call has ended.
    """
    return ASSUMED_GOAL_SHARE * goal_s


def choose_return_s(
    targets: Collection[TargetState],
    work_s: float,
    now: float,
    remaining_s: float,
    rng: random.Random,
    *,
    room_s: float = 0.0,
    unknown_s: float = waiting.MIN_RETRY_AFTER_S,
    returns: ReturnTimes | None = None,
    instances: int = 1,
) -> float:
    """Return the value of Retry-After of a refusal for lack of room.

    ``room_s`` is another estimate of the time until there is room, if any, and
    ``unknown_s`` the time to assume without one. ``returns`` distributes the
    callers of calls; each of the ``instances`` gets the same part of the room.
    """
    estimate = estimate_room(targets, work_s, now)
    wait_s = max(room_s, estimate.room_s) or unknown_s
    if returns is not None and work_s:
        slots = sum(each.slots for each in targets)
        wait_s = returns.assign(
            wait_s,
            return_interval_s(slots, instances, work_s),
            waiting.MAX_RETRY_AFTER_SHARE * remaining_s,
            now,
        )
    return waiting.choose_retry_after_s(
        wait_s, remaining_s, rng, estimate.least_s
    )


def is_hopeless(
    targets: Collection[TargetState],
    work_s: float,
    deadline: float,
    now: float,
) -> bool:
    """Return whether every target stays full until it is too late.

    Only rejections that this instance received within the last second, and
    pauses, show that a target is full.
    """
    return bool(targets) and all(
        _stays_full(each, work_s, deadline, now) for each in targets
    )


def _stays_full(
    target: TargetState, work_s: float, deadline: float, now: float
) -> bool:
    if not is_rejecting(target, now) or target.lost_at is not None:
        return False
    free_at = room_at(target, work_s, now)
    return free_at > now and free_at + MIN_CALL_SHARE * work_s > deadline


def is_rejecting(target: TargetState, now: float) -> bool:
    """Return whether the last that was heard of a target is a rejection."""
    return (
        target.rejected_at is not None
        and now - target.rejected_at <= MAX_REJECTION_AGE_S
    )
