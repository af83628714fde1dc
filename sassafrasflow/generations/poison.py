"""Quarantine of requests that kill the targets they run on.

A target's death counts against the requests that ran on it: fully against
one that had made little progress there, by half against one that was well
under way. Progress beyond the place of death clears a request. Deaths are
shared by body fingerprint, so a new key or another instance changes
nothing.
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
    """Tell how a request may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


class PoisonPolicy(msgspec.Struct, frozen=True):
    """Set what counts as progress and how long crashes count."""

    progress_tokens: int = 16
    memory_ms: int = 600_000


class CrashRecord(msgspec.Struct, frozen=True):
    """Record the crashes that one fingerprint is held responsible for."""

    points: int
    index: int
    targets: tuple[ids.TargetId, ...]


class Quarantine:
    """Hold the crashes of each fingerprint, here and at other instances."""

    def __init__(
        self,
        shared: membership.SharedState,
        policy: PoisonPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._shared = shared
        self._policy = policy
        self._clock = clock
        self._crashes: dict[str, tuple[CrashRecord, int, float]] = {}
        self._suspect_by_target: dict[ids.TargetId, str] = {}
        shared.subscribe(membership.Topic.POISON, self._handle_entry)

    def status(self, fingerprint: str) -> QuarantineStatus:
        """Tell how a request may run."""
        points = self._current_crashes(fingerprint).points
        if points >= REFUSE_AT_POINTS:
            return QuarantineStatus.REFUSED
        if points >= EARLY_CRASH_POINTS:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.CLEAR

    def retry_after_s(self, fingerprint: str) -> int:
        """Return the whole seconds until the crashes are forgotten."""
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
        """Note that a target died under a request.

        ``new_tokens`` is the number of tokens that the target had added;
        ``index`` the number in total.
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
        """Clear a request that got beyond the place where targets died."""
        current = self._current_crashes(fingerprint)
        if not current.points or current.points >= REFUSE_AT_POINTS:
            return
        if index >= current.index + self._policy.progress_tokens:
            self._publish(fingerprint, CrashRecord(0, index, ()))

    def reserve(self, fingerprint: str, target: ids.TargetId) -> bool:
        """Give a suspect one target of its own; tell whether it may run."""
        held = self._suspect_by_target.get(target)
        if held is None and fingerprint in self._suspect_by_target.values():
            return False
        return (
            self._suspect_by_target.setdefault(target, fingerprint)
            == fingerprint
        )

    def free(self, fingerprint: str, target: ids.TargetId) -> None:
        """End the reservation of a suspect."""
        if self._suspect_by_target.get(target) == fingerprint:
            del self._suspect_by_target[target]

    def reserved_targets(self) -> set[ids.TargetId]:
        """Return the targets that suspects run on."""
        return set(self._suspect_by_target)

    def _current_crashes(self, fingerprint: str) -> CrashRecord:
        stored = self._crashes.get(fingerprint)
        if stored is None or stored[2] <= self._clock.monotonic():
            return CrashRecord(0, 0, ())
        return stored[0]

    def _publish(self, fingerprint: str, crashes: CrashRecord) -> None:
        stored = self._crashes.get(fingerprint)
        # Wall time keeps versions rising after an entry was forgotten.
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
