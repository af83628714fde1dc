"""Model of engines that reject requests or leave, and announce that."""

from collections.abc import Iterable
import heapq
import itertools
import math
import random

import msgspec

from sassafrasflow.experiments import load_sharing
from sassafrasflow.gateway import availability

__all__ = ["AnnouncementFigures", "Announcements", "UnwantedArrival"]

# The pool is split into this many parts, which reject requests in turn.
PART_COUNT = 3
# Requests that were in flight when an engine announced a pause may still
# arrive for this long.
IN_FLIGHT_S = 0.5


class AnnouncementFigures(msgspec.Struct, frozen=True):
    """Set which engines reject requests or leave, and when."""

    # Each part of the pool in turn rejects requests for this long.
    pause_s: float | None = None
    # From this time on, one part announces in its answers that it leaves.
    leave_at: float | None = None


class UnwantedArrival(msgspec.Struct, frozen=True):
    """Hold a request that came to an engine which was paused or leaving."""

    at: float
    instance: int
    engine: int
    # Seconds since this instance got the announcement; ``None`` before it.
    announced_s: float | None


class _PendingAnswer(msgspec.Struct, order=True):
    """Hold an answer in flight to an instance."""

    at: float
    number: int
    instance: int
    engine: int
    pause_s: float | None
    leaving: bool
    trial: availability.TrialRequest | None


class Announcements:
    """Track the announcements that each instance received from engines."""

    def __init__(
        self, figures: AnnouncementFigures, *, uses_announcements: bool
    ) -> None:
        self._figures = figures
        self._uses_announcements = uses_announcements
        self._availability_by_key: dict[
            tuple[int, int], availability.Availability
        ] = {}
        # When an announcement reached an instance, and until when it holds.
        self._announced: dict[tuple[int, int], tuple[float, float]] = {}
        self._pending_answers: list[_PendingAnswer] = []
        self._number = itertools.count()
        # Requests that came to engines which were paused or leaving.
        self.unwanted: list[UnwantedArrival] = []

    def is_available(self, instance: int, engine: int, now: float) -> bool:
        """Return whether an instance may send to an engine."""
        observed = self._availability_by_key.get((instance, engine))
        return observed is None or observed.unavailable_reason(now) is None

    def retry_after_s(
        self, instance: int, engines: int, now: float, rng: random.Random
    ) -> float | None:
        """Return seconds until an engine is available.

        Return ``None`` if one is available now.
        """
        all_observed = [
            self._availability_by_key.get((instance, engine))
            for engine in range(engines)
        ]
        unavailable = [
            observed
            for observed in all_observed
            if observed and observed.unavailable_reason(now)
        ]
        if len(unavailable) < engines:
            return None
        return availability.retry_after_s(unavailable, now, rng)

    def send(self, instance: int, engine: int, now: float) -> bool:
        """Send a request; return whether the engine accepts it."""
        pause_s = self._remaining_pause_s(engine, now)
        leaving = self._is_leaving(engine, now)
        if pause_s is not None or leaving:
            announced_at, until = self._announced.get(
                (instance, engine), (now, now)
            )
            announced_s = now - announced_at if now < until else None
            self.unwanted.append(
                UnwantedArrival(now, instance, engine, announced_s)
            )
        observed = self._availability_by_key.get((instance, engine))
        trial = None if observed is None else observed.begin_trial(now)
        answer = _PendingAnswer(
            now + load_sharing.REMOTE_DELAY_S,
            next(self._number),
            instance,
            engine,
            pause_s,
            leaving,
            trial,
        )
        heapq.heappush(self._pending_answers, answer)
        return pause_s is None

    def deliver(self, now: float) -> None:
        """Deliver the answers that are due to their instances."""
        while self._pending_answers and self._pending_answers[0].at <= now:
            self._apply_answer(heapq.heappop(self._pending_answers))

    def longest_unwanted_series(self) -> int:
        """Return the most requests that an instance sent to a paused engine.

        Engines that are leaving count too. Only requests after the
        announcement arrived are counted, without those then in flight.
        """
        series: dict[tuple[int, int, float], int] = {}
        for each in self.unwanted:
            if each.announced_s is not None and each.announced_s > IN_FLIGHT_S:
                announced_at = round(each.at - each.announced_s, 3)
                key = each.instance, each.engine, announced_at
                series[key] = series.get(key, 0) + 1
        return max(series.values(), default=0)

    def unwanted_by_second(self, seconds: int) -> list[int]:
        """Return the number of unwanted requests in each second."""
        return _count_by_second((each.at for each in self.unwanted), seconds)

    def _apply_answer(self, answer: _PendingAnswer) -> None:
        key = answer.instance, answer.engine
        until = (
            math.inf if answer.leaving else answer.at + (answer.pause_s or 0.0)
        )
        if answer.at >= self._announced.get(key, (0.0, 0.0))[1]:
            self._announced[key] = answer.at, until
        if not self._uses_announcements:
            return
        observed = self._availability_by_key.setdefault(
            key, availability.Availability()
        )
        if answer.leaving:
            observed.record_leaving()
        if answer.pause_s is not None:
            observed.record_pause(answer.pause_s, answer.at)
        observed.end_trial(answer.trial)

    def _remaining_pause_s(self, engine: int, now: float) -> float | None:
        pause_s = self._figures.pause_s
        if pause_s is None:
            return None
        turn, elapsed_s = divmod(now, pause_s)
        return (
            pause_s - elapsed_s
            if turn % PART_COUNT == engine % PART_COUNT
            else None
        )

    def _is_leaving(self, engine: int, now: float) -> bool:
        leave_at = self._figures.leave_at
        return (
            leave_at is not None
            and now >= leave_at
            and engine % PART_COUNT == 0
        )


def _count_by_second(times: Iterable[float], seconds: int) -> list[int]:
    counts = [0] * seconds
    for at in times:
        if at < seconds:
            counts[int(at)] += 1
    return counts
