"""Identify prompt parts that crash the targets which answer on them.

Requests that share such a part may have nothing else in common, and requests
without it share their other parts. A run that goes on after its first event
shows that its parts together are harmless. A part is refused if several runs
with it crashed their targets before that, and none has gone on since.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import functools
import hashlib
from typing import TypeVar

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import poison

__all__ = [
    "MAX_COUNTED_PAUSE_S",
    "PROGRESS_S",
    "PartCrash",
    "PartEvidence",
    "PartVerdict",
    "Parts",
    "digest_parts",
    "key_of",
    "matching_keys",
    "parts_of",
    "reported_parts",
]

# A run has made progress if its target writes for this long. Targets crash
# about 0.1 s after they begin to write.
PROGRESS_S = 1.0
# Longer pauses between two events count as this, because an instance that was
# suspended, or whose caller is slow, reads late what was written before.
MAX_COUNTED_PAUSE_S = 0.3
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
# A crash is reported with this many of the first and of the last parts, so
# that the report fits into a datagram.
MAX_REPORTED_PARTS = 24
# A part with this many crashed targets explains a crash for other parts.
MIN_EXPLAINED_TARGETS = 2
MAX_CRASHES = 300
MAX_PROGRESS_ENTRIES = 5000
KEY_PREFIX = "parts:"

T = TypeVar("T")
_CrashKey = tuple[poison.Fingerprint, ids.TargetId, int]
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
        for part in parts
    )


def reported_parts(parts: Parts) -> Parts:
    """Return the parts of a long prompt that a report of a crash names."""
    if len(parts) <= 2 * MAX_REPORTED_PARTS:
        return parts
    return (*parts[:MAX_REPORTED_PARTS], *parts[-MAX_REPORTED_PARTS:])


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


class PartVerdict(msgspec.Struct, frozen=True):
    """Parts to refuse together, and since when targets crashed on them."""

    parts: Parts
    # Time of the first of the newest crashes that suffice for the verdict.
    # A run that began to write later, and went on, disproves it.
    evidence_at: float
    # Number of targets that crashed on them.
    targets: int


class PartEvidence:
    """Collect the crashes and the progress of runs by prompt part."""

    def __init__(self) -> None:
        self._crashes: dict[_CrashKey, PartCrash] = {}
        self._crashes_by_part: dict[
            ids.PromptPartId, dict[_CrashKey, PartCrash]
        ] = {}
        # When the newest run with all of these parts began to write.
        self._progress_at: dict[Parts, float] = {}
        self._part_progress_at: dict[ids.PromptPartId, float] = {}

    def __len__(self) -> int:
        return len(self._crashes)

    def add_crash(self, crash: PartCrash, now: float) -> list[PartVerdict]:
        """Record a crash; return the verdicts that it leads to."""
        key = (crash.request, crash.target, crash.started_ms)
        if key in self._crashes:
            return []
        self._crashes[key] = crash
        for part in crash.parts:
            self._crashes_by_part.setdefault(part, {})[key] = crash
        self._evict_crashes(now)
        found = [self._judge(part) for part in crash.parts]
        by_parts = {each.parts: each for each in found if each is not None}
        return [by_parts[parts] for parts in sorted(by_parts)]

    def crashes(self, now: float) -> list[PartCrash]:
        """Return the recorded crashes that are not too old."""
        return [
            crash
            for crash in self._crashes.values()
            if now - crash.crashed_at <= poison.RETENTION_S
        ]

    def record_progress(self, parts: Parts, began_at: float) -> None:
        """Record when a run began to write that has made progress since."""
        _put_newest(self._progress_at, parts, began_at)
        for part in parts:
            _put_newest(self._part_progress_at, part, began_at)

    def progress_after(
        self, parts: frozenset[ids.PromptPartId], at: float
    ) -> float | None:
        """Return when the newest run with all parts began, if after a time."""
        return max(
            (
                began_at
                for answered, began_at in self._progress_at.items()
                if began_at > at and parts.issubset(answered)
            ),
            default=None,
        )

    def crashed_targets(
        self, parts: Collection[ids.PromptPartId]
    ) -> set[ids.TargetId]:
        """Return the targets that crashed on any of some parts."""
        return {
            crash.target
            for part in parts
            for crash in self._crashes_by_part.get(part, {}).values()
        }

    def is_suspect(self, part: ids.PromptPartId) -> bool:
        """Return whether a part may be what crashed several targets."""
        return (
            part not in self._part_progress_at
            and len(self.crashed_targets([part])) >= MIN_EXPLAINED_TARGETS
        )

    def without_progress(self, parts: Parts) -> Parts:
        """Return the parts that no run is known to have made progress on."""
        return tuple(
            part for part in parts if part not in self._part_progress_at
        )

    def _judge(self, part: ids.PromptPartId) -> PartVerdict | None:
        """Return the verdict that the crashes of one part lead to, if any.

        It names the parts that one run on each crashed target had together
        and that no run has proved harmless since the first crash. Further
        runs on these targets may have ended only because of that one.
        """
        crashes = self._unexplained_crashes(part)
        evidence_at = self._evidence_at(part, crashes)
        if evidence_at is None:
            return None
        first_at = crashes[0].crashed_at
        shared = _common_parts(crashes)
        ordered = next(
            crash.parts for crash in crashes if shared.issubset(crash.parts)
        )
        parts = [
            each
            for each in ordered
            if each in shared
            and (each == part or self._last_progress_at(each) <= first_at)
        ]
        return PartVerdict(
            tuple(parts[-MAX_PARTS_PER_VERDICT:]),
            evidence_at,
            len({crash.target for crash in crashes}),
        )

    def _evidence_at(
        self, part: ids.PromptPartId, crashes: Sequence[PartCrash]
    ) -> float | None:
        """Return the first of the newest crashes that suffice for a verdict.

        A part that targets have written answers on may be on all targets of
        a data centre when it fails.
        """
        group_moments = part in self._part_progress_at
        for start in reversed(range(len(crashes))):
            newest = crashes[start:]
            if len({crash.request for crash in newest}) >= MIN_REQUESTS and (
                _weight_of(newest, group_moments) >= REFUSAL_WEIGHT
            ):
                return newest[0].crashed_at
        return None

    def _unexplained_crashes(self, part: ids.PromptPartId) -> list[PartCrash]:
        """Return the crashes that count against a part, in order of time.

        If targets have written answers on the part, a crash is explained by
        another part of a run on the same target that has crashed several
        targets and on which none has written.
        """
        crashes = self._crashes_since_progress(part)
        if part not in self._part_progress_at:
            return crashes
        return [
            crash for crash in crashes if not self._is_explained(crash, part)
        ]

    def _is_explained(self, crash: PartCrash, part: ids.PromptPartId) -> bool:
        other_parts = {
            each
            for other in self._crashes_by_part[part].values()
            if (other.target, other.started_ms)
            == (crash.target, crash.started_ms)
            for each in other.parts
        }
        return any(self.is_suspect(other) for other in other_parts - {part})

    def _crashes_since_progress(
        self, part: ids.PromptPartId
    ) -> list[PartCrash]:
        since = self._last_progress_at(part)
        return sorted(
            (
                crash
                for crash in self._crashes_by_part.get(part, {}).values()
                if crash.crashed_at > since
            ),
            key=lambda crash: crash.crashed_at,
        )

    def _last_progress_at(self, part: ids.PromptPartId) -> float:
        return self._part_progress_at.get(part, float("-inf"))

    def _evict_crashes(self, now: float) -> None:
        """Drop crashes that are too old, and the first beyond the limit."""
        expired = [
            key
            for key, crash in self._crashes.items()
            if now - crash.crashed_at > poison.RETENTION_S
        ]
        excess = len(self._crashes) - len(expired) - MAX_CRASHES
        if excess > 0:
            kept = [key for key in self._crashes if key not in expired]
            expired += kept[:excess]
        for key in expired:
            for part in self._crashes.pop(key).parts:
                of_part = self._crashes_by_part[part]
                del of_part[key]
                if not of_part:
                    del self._crashes_by_part[part]


def _common_parts(
    crashes: Sequence[PartCrash],
) -> frozenset[ids.PromptPartId]:
    """Return the most parts that one run on each target had together."""
    # The keys of the inner dictionaries are the different runs, in order.
    runs_by_target: dict[
        tuple[ids.TargetId, int], dict[frozenset[ids.PromptPartId], None]
    ] = {}
    for crash in crashes:
        runs = runs_by_target.setdefault((crash.target, crash.started_ms), {})
        runs[frozenset(crash.parts)] = None
    first, *others = sorted(runs_by_target.values(), key=len)
    found: frozenset[ids.PromptPartId] = frozenset()
    for common in first:
        for runs in others:
            common = max((common & run for run in runs), key=len)
        found = max(found, common, key=len)
    return found


def _weight_of(crashes: Iterable[PartCrash], group_moments: bool) -> float:
    """Return the weight of some crashes as evidence.

    A target that crashed counts once, however many runs it ended. Crashes
    with another likely cause count once for each data centre and moment. So
    do all crashes if moments are grouped.
    """
    crashes = list(crashes)
    explained = {crash.target for crash in crashes}
    singles = set()
    moments: dict[tuple[ids.DataCentre, bool], list[float]] = {}
    for crash in crashes:
        is_doubtful = crash.has_other_cause(() if group_moments else explained)
        if not is_doubtful and not group_moments:
            singles.add((crash.target, crash.started_ms))
            continue
        times = moments.setdefault((crash.data_centre, is_doubtful), [])
        if not times or (
            crash.crashed_at - times[-1] > poison.COMMON_CAUSE_WINDOW_S
        ):
            times.append(crash.crashed_at)
    return len(singles) + sum(
        len(times) * (OTHER_CAUSE_WEIGHT if is_doubtful else 1.0)
        for (_, is_doubtful), times in moments.items()
    )


def _put_newest(entries: dict[T, float], key: T, at: float) -> None:
    """Set a time unless a later one is known; evict the oldest entries."""
    entries[key] = max(at, entries.pop(key, at))
    while len(entries) > MAX_PROGRESS_ENTRIES:
        del entries[next(iter(entries))]
