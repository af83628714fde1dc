"""Identify prompt parts that crash the targets which answer on them.

Requests that share such a part may have nothing else in common, and requests
without it share their other parts. A run that goes on after its first event
shows that its parts together are harmless. A part is refused if several runs
with it crashed their targets before that, and none has gone on since.
"""

from collections.abc import Collection
from collections.abc import Iterable
import functools
import hashlib
from typing import TypeVar

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import poison

__all__ = [
    "PROGRESS_S",
    "PartCrash",
    "PartEvidence",
    "Parts",
    "digest_parts",
    "key_of",
    "matching_keys",
    "parts_of",
]

# A run has made progress if its target writes for this long. Targets crash
# about 0.1 s after they begin to write.
PROGRESS_S = 1.0
# Operators allow five crashes.
REFUSAL_WEIGHT = 3.0
# Weight of the crashes of a data centre at one moment if they probably have
# another cause.
OTHER_CAUSE_WEIGHT = 0.5
# One request that crashes its targets is refused by its fingerprint.
MIN_REQUESTS = 2
# Requests are refused if they have all parts of a verdict. A verdict names the
# innermost ones, as the first parts of prompts are the most common.
MAX_PARTS_PER_VERDICT = 4
# Prompts with more shared parts than this are judged by their innermost ones.
MAX_PARTS_PER_REQUEST = 32
MAX_CRASHES = 500
MAX_PROGRESS_ENTRIES = 5000
KEY_PREFIX = "parts:"

T = TypeVar("T")
Parts = tuple[ids.PromptPartId, ...]


class PartCrash(msgspec.Struct, frozen=True):
    """Run that ended with a crash of its target before it made progress."""

    request: poison.Fingerprint
    target: ids.TargetId
    # Distinguishes the incarnations of a target that keeps its id.
    started_ms: int
    data_centre: ids.DataCentre
    crashed_at: float
    # Other targets of the data centre that crashed at about the same time.
    others: tuple[ids.TargetId, ...]
    parts: Parts

    def has_other_cause(
        self, explained: Collection[ids.TargetId] = ()
    ) -> bool:
        """Return whether several other crashes remain without a cause."""
        unexplained = set(self.others).difference(explained)
        return len(unexplained) >= poison.COMMON_CAUSE_CRASHES


def digest_parts(parts: Iterable[ids.PromptPartId]) -> Parts:
    """Return digests of fixed length, as callers choose the ids."""
    return tuple(
        ids.PromptPartId(
            hashlib.blake2b(part.encode(), digest_size=6).hexdigest()
        )
        for part in list(parts)[-MAX_PARTS_PER_REQUEST:]
    )


def key_of(parts: Iterable[ids.PromptPartId]) -> poison.Fingerprint:
    """Return a key for a set of parts in the form of a fingerprint.

    Verdicts on parts are shared and stored like verdicts on requests.
    """
    return KEY_PREFIX + ".".join(sorted(set(parts)))


@functools.lru_cache(maxsize=poison.MAX_REQUESTS)
def parts_of(key: poison.Fingerprint) -> frozenset[ids.PromptPartId]:
    """Return the parts of a key; none if it is a request's fingerprint."""
    if not key.startswith(KEY_PREFIX):
        return frozenset()
    names = key.removeprefix(KEY_PREFIX).split(".")
    return frozenset(map(ids.PromptPartId, names))


def matching_keys(
    keys: Iterable[poison.Fingerprint], parts: Parts
) -> list[poison.Fingerprint]:
    """Return the keys of sets whose parts a prompt has all."""
    return [
        key
        for key in keys
        if (needed := parts_of(key)) and needed.issubset(parts)
    ]


class PartEvidence:
    """Collect the crashes and the progress of runs by prompt part."""

    def __init__(self) -> None:
        self._crashes: dict[
            tuple[poison.Fingerprint, ids.TargetId, int], PartCrash
        ] = {}
        # When the newest run with all of these parts began to write.
        self._progress_at: dict[Parts, float] = {}
        self._part_progress_at: dict[ids.PromptPartId, float] = {}

    def __len__(self) -> int:
        return len(self._crashes)

    def add_crash(self, crash: PartCrash, now: float) -> list[Parts]:
        """Record a crash; return the sets of parts to refuse because of it."""
        key = (crash.request, crash.target, crash.started_ms)
        if key in self._crashes or now - crash.crashed_at > poison.RETENTION_S:
            return []
        self._crashes[key] = crash
        while len(self._crashes) > MAX_CRASHES:
            del self._crashes[next(iter(self._crashes))]
        suspects = {self._suspects(part) for part in crash.parts}
        return sorted(parts for parts in suspects if parts)

    def record_progress(self, parts: Parts, began_at: float) -> None:
        """Record when a run began to write that has made progress since."""
        _put_newest(self._progress_at, parts, began_at)
        for part in parts:
            _put_newest(self._part_progress_at, part, began_at)

    def has_progress_since(
        self, parts: frozenset[ids.PromptPartId], at: float
    ) -> bool:
        """Return whether a run with all of some parts began after a time."""
        return any(
            began_at > at and parts.issubset(known)
            for known, began_at in self._progress_at.items()
        )

    def first_crash_at(
        self, parts: frozenset[ids.PromptPartId]
    ) -> float | None:
        """Return the time of the first crash that counts against a set."""
        return min(
            (
                crash.crashed_at
                for part in parts
                for crash in self._crashes_since_progress(part)
                if parts.issubset(crash.parts)
            ),
            default=None,
        )

    def crashed_targets(
        self, parts: Collection[ids.PromptPartId]
    ) -> set[ids.TargetId]:
        """Return the targets that crashed on any of some parts."""
        return {
            crash.target
            for crash in self._crashes.values()
            if not set(parts).isdisjoint(crash.parts)
        }

    def _suspects(self, part: ids.PromptPartId) -> Parts:
        """Return the parts that explain the crashes of one part, if enough.

        These are the parts that all crashed prompts share and that no run
        has proved harmless since the first crash.
        """
        crashes = self._crashes_since_progress(part)
        if len({crash.request for crash in crashes}) < MIN_REQUESTS or (
            _weight_of(crashes) < REFUSAL_WEIGHT
        ):
            return ()
        first_at = min(crash.crashed_at for crash in crashes)
        shared = set.intersection(*(set(crash.parts) for crash in crashes))
        return tuple(
            each
            for each in crashes[-1].parts
            if each in shared
            and (each == part or self._last_progress_at(each) <= first_at)
        )[-MAX_PARTS_PER_VERDICT:]

    def _crashes_since_progress(
        self, part: ids.PromptPartId
    ) -> list[PartCrash]:
        since = self._last_progress_at(part)
        return [
            crash
            for crash in self._crashes.values()
            if part in crash.parts and crash.crashed_at > since
        ]

    def _last_progress_at(self, part: ids.PromptPartId) -> float:
        return self._part_progress_at.get(part, float("-inf"))


def _weight_of(crashes: Collection[PartCrash]) -> float:
    """Return the weight of some crashes as evidence.

    A target that crashed counts once, however many runs it ended. Crashes
    with another likely cause count once for each data centre and moment.
    """
    explained = {crash.target for crash in crashes}
    single = set()
    moments: dict[ids.DataCentre, list[float]] = {}
    for crash in sorted(crashes, key=lambda each: each.crashed_at):
        if not crash.has_other_cause(explained):
            single.add((crash.target, crash.started_ms))
            continue
        times = moments.setdefault(crash.data_centre, [])
        if not times or (
            crash.crashed_at - times[-1] > poison.COMMON_CAUSE_WINDOW_S
        ):
            times.append(crash.crashed_at)
    return len(single) + OTHER_CAUSE_WEIGHT * sum(map(len, moments.values()))


def _put_newest(entries: dict[T, float], key: T, at: float) -> None:
    """Set a time unless a later one is known; evict the oldest entries."""
    entries[key] = max(at, entries.pop(key, at))
    while len(entries) > MAX_PROGRESS_ENTRIES:
        del entries[next(iter(entries))]
