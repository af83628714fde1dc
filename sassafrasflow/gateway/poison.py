"""Tell requests that crash their targets from those that die with them.

Such a request comes again, at any instance. One crash proves nothing:
whatever ran there died too, and data centres lose many targets at once. It
is the recurrence that tells: a request that targets died with several times,
one after the other, and that was never answered.
"""

from collections.abc import Iterable
import hashlib
from typing import Any
import zlib

import msgspec

from sassafrasflow import ids

__all__ = [
    "Crash",
    "Fingerprint",
    "Quarantine",
    "fingerprint_of",
    "recurrence",
]

# Operators allow three crashes; another may happen before the second is
# known everywhere.
REFUSAL_RECURRENCE = 2.0
# A crash that has another likely cause: four of them refuse a request.
DOUBTFUL_WEIGHT = 0.5
# Deaths of other targets in its data centre that are another cause. Two
# crashing requests that come together kill fewer.
COMMON_CAUSE_CRASHES = 3
# Deaths of a data centre this close are one event.
COMMON_CAUSE_WINDOW_S = 1.2
RETENTION_S = 600.0
# A request that was answered this lately is harmless. Load: a hot request,
# asked for all the time, whose targets crash now and then.
HARMLESS_TTL_S = 60.0
MAX_REQUESTS = 1000
MAX_CRASHES_PER_REQUEST = 8

Fingerprint = str


class Crash(msgspec.Struct, frozen=True):
    """Tell when a target died that a request ran on."""

    target: ids.TargetId
    # Tells two starts of a target under one id apart.
    started_ms: int
    began_at: float
    crashed_at: float
    weight: float = 1.0


class _Suspect(msgspec.Struct):
    crashes: dict[tuple[ids.TargetId, int], Crash]
    last_at: float


def fingerprint_of(
    organisation: ids.OrganisationId | None, url: str, body: bytes
) -> Fingerprint:
    """Return what two sends of one request have in common."""
    digest = hashlib.blake2b(digest_size=12)
    for part in ((organisation or "").encode(), url.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def recurrence(crashes: Iterable[Crash]) -> float:
    """Return the greatest weight of crashes that followed one another.

    Runs under way at the same time share the event that ended them; only a
    run that began after an earlier crash is further evidence.
    """
    best: list[tuple[float, float]] = []
    for crash in sorted(crashes, key=lambda each: each.crashed_at):
        before = [
            sum_ for crashed_at, sum_ in best if crashed_at <= crash.began_at
        ]
        best.append(
            (crash.crashed_at, max(before, default=0.0) + crash.weight)
        )
    return max((sum_ for _, sum_ in best), default=0.0)


class Quarantine:
    """Join the crashes of requests, and know which are refused."""

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, _Suspect] = {}
        # Requests that are refused, and until when.
        self._refused_until: dict[Fingerprint, float] = {}
        # When requests that were suspect turned out to be harmless.
        self._cleared_at: dict[Fingerprint, float] = {}
        # When requests were answered last.
        self._answered_at: dict[Fingerprint, float] = {}

    @property
    def suspect_count(self) -> int:
        """Return how many requests targets have died with."""
        return len(self._suspects)

    @property
    def refused_count(self) -> int:
        """Return how many requests are refused."""
        return len(self._refused_until)

    def is_refused(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a request may not run again."""
        until = self._refused_until.get(fingerprint)
        if until is None:
            return False
        if now >= until:
            del self._refused_until[fingerprint]
            return False
        return True

    def crashes_of(self, fingerprint: Fingerprint) -> list[Crash]:
        """Return the crashes that are known of a request."""
        found = self._suspects.get(fingerprint)
        return [] if found is None else list(found.crashes.values())

    def add_crashes(
        self, fingerprint: Fingerprint, crashes: Iterable[Crash], now: float
    ) -> bool:
        """Record crashes; tell whether the request is refused from now on."""
        if self.is_harmless(fingerprint, now):
            return False
        found = self._suspects.get(fingerprint)
        if found is None or now - found.last_at > RETENTION_S:
            self._suspects.pop(fingerprint, None)
            found = self._suspects[fingerprint] = _Suspect({}, now)
        for crash in crashes:
            found.crashes.setdefault((crash.target, crash.started_ms), crash)
        found.last_at = now
        while len(found.crashes) > MAX_CRASHES_PER_REQUEST:
            del found.crashes[next(iter(found.crashes))]
        _evict_oldest(self._suspects)
        if recurrence(found.crashes.values()) < REFUSAL_RECURRENCE:
            return False
        known = self.is_refused(fingerprint, now)
        self.refuse(fingerprint, now + RETENTION_S)
        return not known

    def refuse(self, fingerprint: Fingerprint, until: float) -> None:
        """Refuse a request until a time."""
        self._refused_until[fingerprint] = until
        _evict_oldest(self._refused_until)

    def verdicts(self, now: float) -> dict[Fingerprint, float]:
        """Return how long each request is refused, 0 for harmless ones."""
        self._refused_until = {
            key: until
            for key, until in self._refused_until.items()
            if now < until
        }
        self._cleared_at = {
            key: at
            for key, at in self._cleared_at.items()
            if now - at < HARMLESS_TTL_S
        }
        left_s = {
            key: until - now for key, until in self._refused_until.items()
        }
        return {**left_s, **dict.fromkeys(self._cleared_at, 0.0)}

    def digest(self, now: float) -> int:
        """Return a number that instances with the same verdicts share."""
        found = sorted(
            (key, left_s > 0) for key, left_s in self.verdicts(now).items()
        )
        return zlib.crc32(repr(found).encode())

    def record_answer(self, fingerprint: Fingerprint, now: float) -> bool:
        """Record a whole answer; tell whether the request was suspect."""
        self._answered_at.pop(fingerprint, None)
        self._answered_at[fingerprint] = now
        _evict_oldest(self._answered_at)
        suspect = self._suspects.pop(fingerprint, None)
        refused = self._refused_until.pop(fingerprint, None)
        return suspect is not None or refused is not None

    def is_harmless(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a request was answered lately, here or elsewhere."""
        return any(
            now - found.get(fingerprint, -HARMLESS_TTL_S) < HARMLESS_TTL_S
            for found in (self._answered_at, self._cleared_at)
        )

    def clear(self, fingerprint: Fingerprint, now: float) -> None:
        """Take back the verdict on a request that is harmless."""
        self._suspects.pop(fingerprint, None)
        self._refused_until.pop(fingerprint, None)
        self._cleared_at[fingerprint] = now
        _evict_oldest(self._cleared_at)


def _evict_oldest(known: dict[Fingerprint, Any]) -> None:
    """Forget the oldest entries beyond what is kept."""
    while len(known) > MAX_REQUESTS:
        del known[next(iter(known))]
