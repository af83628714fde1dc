"""Identify poison requests: those that crash the targets they run on.

Such a request comes again, at any instance. A single crash proves nothing,
because it ends all requests that run on the target, and a data centre can
lose many targets at once. A request is refused if several targets crashed
while they ran it, one after the other, and none answered it.
"""

from collections.abc import Callable
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

# Operators allow three crashes. A third one may happen before all instances
# have learned of the second.
REFUSAL_RECURRENCE = 2.0
# Weight of a crash with another likely cause: four of them, one after the
# other, lead to a refusal.
OTHER_CAUSE_WEIGHT = 0.5
# A crash has another likely cause if at least this many other targets of its
# data centre crashed at about the same time. Two poison requests that arrive
# together crash fewer targets.
COMMON_CAUSE_CRASHES = 3
# Crashes in one data centre less than this apart count as one event.
COMMON_CAUSE_WINDOW_S = 1.2
# Crashes of a request are forgotten this long after the last one, and a
# verdict expires after as long.
RETENTION_S = 600.0
# A request counts as harmless for this long after an answer. Otherwise a
# popular request, which is running all the time, would be refused for
# crashes that it did not cause.
HARMLESS_TTL_S = 60.0
MAX_REQUESTS = 1000
MAX_CRASHES_PER_REQUEST = 8

Fingerprint = str


class Crash(msgspec.Struct, frozen=True):
    """Run that ended with a crash of its target."""

    target: ids.TargetId
    # Distinguishes the incarnations of a target that keeps its id.
    started_ms: int
    # When the target got the request.
    began_at: float
    crashed_at: float
    weight: float = 1.0


class _Suspect(msgspec.Struct):
    crashes: dict[tuple[ids.TargetId, int], Crash]
    last_at: float


def fingerprint_of(
    organisation: ids.OrganisationId | None, url: str, body: bytes
) -> Fingerprint:
    """Return a digest that all retries and copies of a request share."""
    digest = hashlib.blake2b(digest_size=12)
    for part in ((organisation or "").encode(), url.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def recurrence(crashes: Iterable[Crash]) -> float:
    """Return the greatest total weight of crashes that followed one another.

    One event may have ended all runs that overlapped, so a crash counts as
    further evidence only if its run began after an earlier crash.
    """
    best: list[tuple[float, float]] = []
    for crash in sorted(crashes, key=lambda each: each.crashed_at):
        earlier = [
            sum_ for crashed_at, sum_ in best if crashed_at <= crash.began_at
        ]
        best.append(
            (crash.crashed_at, max(earlier, default=0.0) + crash.weight)
        )
    return max((sum_ for _, sum_ in best), default=0.0)


class Quarantine:
    """Collect the crashes of each request and decide which to refuse."""

    def __init__(self) -> None:
        self._suspects: dict[Fingerprint, _Suspect] = {}
        # Until when each request is refused.
        self._refused_until: dict[Fingerprint, float] = {}
        # When each suspect request was found to be harmless.
        self._cleared_at: dict[Fingerprint, float] = {}
        # When each request was last answered.
        self._answered_at: dict[Fingerprint, float] = {}
        # Called when a verdict has proved wrong.
        self.on_cleared: Callable[[Fingerprint], None] = lambda key: None

    @property
    def suspect_count(self) -> int:
        """Return the number of requests with a recorded crash."""
        return len(self._suspects)

    @property
    def refused_count(self) -> int:
        """Return the number of requests that are refused."""
        return len(self._refused_until)

    def refused_keys(self) -> list[Fingerprint]:
        """Return the fingerprints of all verdicts, also of expired ones."""
        return list(self._refused_until)

    def is_refused(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request must not run again."""
        until = self._refused_until.get(fingerprint)
        if until is None:
            return False
        if now >= until:
            del self._refused_until[fingerprint]
            return False
        return True

    def verdict_at(self, fingerprint: Fingerprint) -> float | None:
        """Return when the newest verdict on a request was reached."""
        until = self._refused_until.get(fingerprint)
        return None if until is None else until - RETENTION_S

    def crashes_of(self, fingerprint: Fingerprint) -> list[Crash]:
        """Return the recorded crashes of a request."""
        suspect = self._suspects.get(fingerprint)
        return [] if suspect is None else list(suspect.crashes.values())

    def add_crashes(
        self, fingerprint: Fingerprint, crashes: Iterable[Crash], now: float
    ) -> bool:
        """Record crashes; return whether they cause a new verdict."""
        if self.is_harmless(fingerprint, now):
            return False
        suspect = self._suspects.get(fingerprint)
        if suspect is None or now - suspect.last_at > RETENTION_S:
            self._suspects.pop(fingerprint, None)
            suspect = self._suspects[fingerprint] = _Suspect({}, now)
        for crash in crashes:
            suspect.crashes.setdefault((crash.target, crash.started_ms), crash)
        suspect.last_at = now
        while len(suspect.crashes) > MAX_CRASHES_PER_REQUEST:
            del suspect.crashes[next(iter(suspect.crashes))]
        _evict_oldest(self._suspects)
        if recurrence(suspect.crashes.values()) < REFUSAL_RECURRENCE:
            return False
        was_refused = self.is_refused(fingerprint, now)
        self.refuse(fingerprint, now + RETENTION_S)
        return not was_refused

    def refuse(self, fingerprint: Fingerprint, until: float) -> None:
        """Refuse a request until the given time."""
        self._cleared_at.pop(fingerprint, None)
        self._refused_until[fingerprint] = until
        _evict_oldest(self._refused_until)

    def verdicts(self, now: float) -> dict[Fingerprint, float]:
        """Return for how many seconds each request is still refused.

        The value is 0 for requests that were found to be harmless.
        """
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
        remaining_s = {
            key: until - now for key, until in self._refused_until.items()
        }
        return {**remaining_s, **dict.fromkeys(self._cleared_at, 0.0)}

    def digest(self, now: float) -> int:
        """Return a checksum by which instances compare their verdicts."""
        verdicts = sorted(
            (key, remaining_s > 0)
            for key, remaining_s in self.verdicts(now).items()
        )
        return zlib.crc32(repr(verdicts).encode())

    def record_answer(self, fingerprint: Fingerprint, now: float) -> bool:
        """Record a complete answer; return whether it ended a suspicion."""
        self._answered_at.pop(fingerprint, None)
        self._answered_at[fingerprint] = now
        _evict_oldest(self._answered_at)
        suspect = self._suspects.pop(fingerprint, None)
        refused = self._refused_until.pop(fingerprint, None)
        self.on_cleared(fingerprint)
        return suspect is not None or refused is not None

    def is_harmless(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request was answered lately, here or at a peer."""
        return any(
            now - times.get(fingerprint, -HARMLESS_TTL_S) < HARMLESS_TTL_S
            for times in (self._answered_at, self._cleared_at)
        )

    def cleared_at(self, fingerprint: Fingerprint) -> float | None:
        """Return when a request was found to be harmless, if it was."""
        return self._cleared_at.get(fingerprint)

    def clear(self, fingerprint: Fingerprint, now: float) -> None:
        """Revoke the verdict on a request that proved harmless."""
        self._suspects.pop(fingerprint, None)
        self._refused_until.pop(fingerprint, None)
        self._cleared_at[fingerprint] = now
        _evict_oldest(self._cleared_at)
        self.on_cleared(fingerprint)


def _evict_oldest(entries: dict[Fingerprint, Any]) -> None:
    """Drop the oldest entries beyond the limit."""
    while len(entries) > MAX_REQUESTS:
        del entries[next(iter(entries))]
