"""Quarantine of requests that crash the targets they run on.

A crash of a target counts against the requests that ran on it: with full
points against a request that had made little progress on the target, and
with half of them against one that had made more. Progress beyond the
position of the crash clears a request. Crashes are shared between instances
by the fingerprint of the body, so a request with a new key or at another
instance is recognised.
"""

import enum

import msgspec

from sassafrasflow import clocks
from sassafrasflow import ids
from sassafrasflow import membership

__all__ = ["PoisonPolicy", "Quarantine", "QuarantineStatus"]

EARLY_CRASH_POINTS = 2
LATE_CRASH_POINTS = 1
REFUSE_AT_POINTS = 4


class QuarantineStatus(enum.Enum):
    """Permission of a request to run.

    A suspect runs only on a target that it has to itself; a refused request
    does not run.
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


class PoisonPolicy(msgspec.Struct, frozen=True):
    """Limits of what counts as progress and of how long crashes count."""

    progress_tokens: int = 16
    memory_ms: int = 600_000


class CrashRecord(msgspec.Struct, frozen=True):
    """Crashes that are attributed to one fingerprint.

    ``index`` is the length of the answer at the last crash.
    """

    points: int
    index: int
    targets: tuple[ids.TargetId, ...]


class Quarantine:
    """Count crashes by fingerprint, of this and of other instances."""

    def __init__(
        self,
        shared: membership.SharedState,
        policy: PoisonPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._shared = shared
        self._policy = policy
        self._clock = clock
        # By fingerprint: the record, the version of its shared entry, and the
        # monotonic time at which it expires.
        self._crashes: dict[str, tuple[CrashRecord, int, float]] = {}
        self._suspect_by_target: dict[ids.TargetId, str] = {}
        shared.subscribe(membership.Topic.POISON, self._handle_entry)

    def status(self, fingerprint: str) -> QuarantineStatus:
        """Return how a request may run."""
        points = self._current_crashes(fingerprint).points
        if points >= REFUSE_AT_POINTS:
            return QuarantineStatus.REFUSED
        if points >= EARLY_CRASH_POINTS:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.CLEAR

    def retry_after_s(self, fingerprint: str) -> int:
        """Return the whole seconds until the crashes expire, at least 1."""
        stored = self._crashes.get(fingerprint)
        if stored is None:
            return 1
        return max(1, int(stored[2] - self._clock.monotonic()) + 1)

    def record_crash(
        self,
        fingerprint: str,
        target: ids.TargetId,
        *,
        new_tokens: int,
        index: int,
    ) -> None:
        """Record that a target crashed while it ran a request.

        ``new_tokens`` is the number of tokens that the target had added to
        the answer; ``index`` is the total number of tokens in it.
        """
        current = self._current_crashes(fingerprint)
        if target in current.targets:
            return
        late = new_tokens >= self._policy.progress_tokens
        points = LATE_CRASH_POINTS if late else EARLY_CRASH_POINTS
        self._publish(
            fingerprint,
            CrashRecord(
                current.points + points, index, (*current.targets, target)
            ),
        )

    def record_progress(self, fingerprint: str, index: int) -> None:
        """Clear a suspect whose answer got beyond the last crash."""
        current = self._current_crashes(fingerprint)
        if not current.points or current.points >= REFUSE_AT_POINTS:
            return
        if index >= current.index + self._policy.progress_tokens:
            self._publish(fingerprint, CrashRecord(0, index, ()))

    def reserve(self, fingerprint: str, target: ids.TargetId) -> bool:
        """Reserve a target for a suspect and return whether it may run there.

        A suspect has at most one target, and a target at most one suspect.
        """
        holder = self._suspect_by_target.get(target)
        if holder is None and fingerprint in self._suspect_by_target.values():
            return False
        return (
            self._suspect_by_target.setdefault(target, fingerprint)
            == fingerprint
        )

    def free(self, fingerprint: str, target: ids.TargetId) -> None:
        """End the reservation of a target for a suspect."""
        if self._suspect_by_target.get(target) == fingerprint:
            del self._suspect_by_target[target]

    def reserved_targets(self) -> set[ids.TargetId]:
        """Return the targets that are reserved for suspects."""
        return set(self._suspect_by_target)

    def _current_crashes(self, fingerprint: str) -> CrashRecord:
        stored = self._crashes.get(fingerprint)
        if stored is None or stored[2] <= self._clock.monotonic():
            return CrashRecord(0, 0, ())
        return stored[0]

    def _publish(self, fingerprint: str, crashes: CrashRecord) -> None:
        stored = self._crashes.get(fingerprint)
        # Versions start at the wall time, so they still increase after an
        # entry has expired and its version is lost.
        version = int(self._clock.wall() * 1000)
        if stored is not None:
            version = max(version, stored[1] + 1)
        self._shared.publish(
            membership.Topic.POISON,
            fingerprint,
            msgspec.json.encode(crashes),
            version=version,
            ttl_ms=self._policy.memory_ms,
        )

    def _handle_entry(self, entry: membership.Entry) -> None:
        now = self._clock.monotonic()
        crashes = msgspec.json.decode(entry.value, type=CrashRecord)
        expires_at = now + entry.ttl_ms / 1000
        self._crashes[entry.key] = (crashes, entry.version, expires_at)
        expired = [
            key for key, item in self._crashes.items() if item[2] <= now
        ]
        for key in expired:
            del self._crashes[key]
