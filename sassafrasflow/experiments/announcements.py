"""Engines that turn requests away or leave, and who knows of it."""

from collections.abc import Iterable
import heapq
import itertools
import math
import random

import msgspec

from sassafrasflow.experiments import knowledge
from sassafrasflow.gateway import availability

__all__ = ["AnnouncementFigures", "Announcements", "Arrival"]

# The pool is split into so many parts, which turn requests away in turn.
PARTS = 3
# What was on its way when an engine asked for a pause may still arrive.
UNDER_WAY_S = 0.5


class AnnouncementFigures(msgspec.Struct, frozen=True):
    """Say which engines turn requests away or leave, and when."""

    # Each part of the pool turns requests away for this long in turn.
    pause_s: float | None = None
    # From this time on one part says in its answers that it leaves.
    leave_at: float | None = None


class Arrival(msgspec.Struct, frozen=True):
    """Record a request that an engine did not want."""

    at: float
    instance: int
    engine: int
    # Seconds since the engine had told this instance; ``None`` before.
    told_s: float | None


class _Word(msgspec.Struct, order=True):
    """Hold an answer that is on its way to an instance."""

    at: float
    number: int
    instance: int
    engine: int
    pause_s: float | None
    leaving: bool
    trial: availability.TrialRequest | None


class Announcements:
    """Hold what engines say, and what each instance has heard of it."""

    def __init__(self, figures: AnnouncementFigures, *, heeded: bool) -> None:
        self._figures = figures
        self._heeded = heeded
        self._beliefs: dict[tuple[int, int], availability.Availability] = {}
        # When an engine told an instance, and until when that holds.
        self._told: dict[tuple[int, int], tuple[float, float]] = {}
        self._words: list[_Word] = []
        self._number = itertools.count()
        # Requests that came to engines which want nothing or leave.
        self.unwanted: list[Arrival] = []

    def wants_work(self, instance: int, engine: int, now: float) -> bool:
        """Tell whether an instance may send to an engine."""
        belief = self._beliefs.get((instance, engine))
        return belief is None or belief.unavailable_reason(now) is None

    def return_after(
        self, instance: int, engines: int, now: float, rng: random.Random
    ) -> float | None:
        """Return seconds until an engine wants work, ``None`` if one does."""
        found = [
            self._beliefs.get((instance, engine)) for engine in range(engines)
        ]
        known = [
            belief
            for belief in found
            if belief and belief.unavailable_reason(now)
        ]
        if len(known) < engines:
            return None
        return availability.retry_after_s(known, now, rng)

    def send(self, instance: int, engine: int, now: float) -> bool:
        """Send a request; tell whether the engine takes it."""
        pause_s = self._pause_left_s(engine, now)
        leaving = self._is_leaving(engine, now)
        if pause_s is not None or leaving:
            told_at, until = self._told.get((instance, engine), (now, now))
            told_s = now - told_at if now < until else None
            self.unwanted.append(Arrival(now, instance, engine, told_s))
        belief = self._beliefs.get((instance, engine))
        trial = None if belief is None else belief.begin_trial(now)
        word = _Word(
            now + knowledge.FAR_S,
            next(self._number),
            instance,
            engine,
            pause_s,
            leaving,
            trial,
        )
        heapq.heappush(self._words, word)
        return pause_s is None

    def deliver(self, now: float) -> None:
        """Let answers arrive at the instances."""
        while self._words and self._words[0].at <= now:
            self._hear(heapq.heappop(self._words))

    def longest_series(self) -> int:
        """Return the most that one instance sent into a pause it knew of.

        What was under way when the engine told it is left out.
        """
        series: dict[tuple[int, int, float], int] = {}
        for each in self.unwanted:
            if each.told_s is not None and each.told_s > UNDER_WAY_S:
                told_at = round(each.at - each.told_s, 3)
                key = each.instance, each.engine, told_at
                series[key] = series.get(key, 0) + 1
        return max(series.values(), default=0)

    def unwanted_by_second(self, seconds: int) -> list[int]:
        """Return how many unwanted requests came in each second."""
        return _count((each.at for each in self.unwanted), seconds)

    def _hear(self, word: _Word) -> None:
        key = word.instance, word.engine
        until = math.inf if word.leaving else word.at + (word.pause_s or 0.0)
        if word.at >= self._told.get(key, (0.0, 0.0))[1]:
            self._told[key] = word.at, until
        if not self._heeded:
            return
        belief = self._beliefs.setdefault(key, availability.Availability())
        if word.leaving:
            belief.record_leaving()
        if word.pause_s is not None:
            belief.record_pause(word.pause_s, word.at)
        belief.end_trial(word.trial)

    def _pause_left_s(self, engine: int, now: float) -> float | None:
        pause_s = self._figures.pause_s
        if pause_s is None:
            return None
        turn, elapsed_s = divmod(now, pause_s)
        return pause_s - elapsed_s if turn % PARTS == engine % PARTS else None

    def _is_leaving(self, engine: int, now: float) -> bool:
        leave_at = self._figures.leave_at
        return leave_at is not None and now >= leave_at and engine % PARTS == 0


def _count(times: Iterable[float], seconds: int) -> list[int]:
    found = [0] * seconds
    for at in times:
        if at < seconds:
            found[int(at)] += 1
    return found
