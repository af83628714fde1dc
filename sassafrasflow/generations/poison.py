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

__all__ = ["PoisonPolicy", "Quarantine", "Standing"]

EARLY_DEATH_POINTS = 2
LATE_DEATH_POINTS = 1
REFUSED_POINTS = 4


class Standing(enum.Enum):
    """Tell how a request may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


class PoisonPolicy(msgspec.Struct, frozen=True):
    """Set what counts as progress and how long deaths count."""

    progress_tokens: int = 16
    memory_ms: int = 600_000


class Deaths(msgspec.Struct, frozen=True):
    """Record the deaths that one fingerprint is held responsible for."""

    points: int
    index: int
    targets: tuple[ids.TargetId, ...]


class Quarantine:
    """Hold the deaths of each fingerprint, here and at other instances."""

    def __init__(
        self,
        shared: membership.SharedState,
        policy: PoisonPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._shared = shared
        self._policy = policy
        self._clock = clock
        self._deaths: dict[str, tuple[Deaths, int, float]] = {}
        self._suspects: dict[ids.TargetId, str] = {}
        shared.subscribe(membership.Topic.POISON, self._learn)

    def standing(self, fingerprint: str) -> Standing:
        """Tell how a request may run."""
        points = self._known(fingerprint).points
        if points >= REFUSED_POINTS:
            return Standing.REFUSED
        if points >= EARLY_DEATH_POINTS:
            return Standing.SUSPECT
        return Standing.CLEAR

    def retry_after_s(self, fingerprint: str) -> int:
        """Return the whole seconds until the deaths are forgotten."""
        known = self._deaths.get(fingerprint)
        if known is None:
            return 1
        return max(1, int(known[2] - self._clock.monotonic()) + 1)

    def note_death(
        self,
        fingerprint: str,
        target: ids.TargetId,
        *,
        made: int,
        index: int,
    ) -> None:
        """Note that a target died under a request.

        ``made`` is the number of tokens that the target had added;
        ``index`` the number in total.
        """
        known = self._known(fingerprint)
        if target in known.targets:
            return
        late = made >= self._policy.progress_tokens
        points = LATE_DEATH_POINTS if late else EARLY_DEATH_POINTS
        self._share(
            fingerprint,
            Deaths(known.points + points, index, (*known.targets, target)),
        )

    def note_progress(self, fingerprint: str, index: int) -> None:
        """Clear a request that got beyond the place where targets died."""
        known = self._known(fingerprint)
        if not known.points or known.points >= REFUSED_POINTS:
            return
        if index >= known.index + self._policy.progress_tokens:
            self._share(fingerprint, Deaths(0, index, ()))

    def reserve(self, fingerprint: str, target: ids.TargetId) -> bool:
        """Give a suspect one target of its own; tell whether it may run."""
        held = self._suspects.get(target)
        if held is None and fingerprint in self._suspects.values():
            return False
        return self._suspects.setdefault(target, fingerprint) == fingerprint

    def free(self, fingerprint: str, target: ids.TargetId) -> None:
        """End the reservation of a suspect."""
        if self._suspects.get(target) == fingerprint:
            del self._suspects[target]

    def reserved(self) -> set[ids.TargetId]:
        """Return the targets that suspects run on."""
        return set(self._suspects)

    def _known(self, fingerprint: str) -> Deaths:
        known = self._deaths.get(fingerprint)
        if known is None or known[2] <= self._clock.monotonic():
            return Deaths(0, 0, ())
        return known[0]

    def _share(self, fingerprint: str, deaths: Deaths) -> None:
        known = self._deaths.get(fingerprint)
        # Wall time keeps versions rising after an entry was forgotten.
        version = int(self._clock.wall() * 1000)
        if known is not None:
            version = max(version, known[1] + 1)
        self._shared.publish(
            membership.Topic.POISON,
            fingerprint,
            msgspec.json.encode(deaths),
            version=version,
            ttl_ms=self._policy.memory_ms,
        )

    def _learn(self, entry: membership.Entry) -> None:
        now = self._clock.monotonic()
        deaths = msgspec.json.decode(entry.value, type=Deaths)
        expires_at = now + entry.ttl_ms / 1000
        self._deaths[entry.key] = (deaths, entry.version, expires_at)
        expired = [key for key, kept in self._deaths.items() if kept[2] <= now]
        for key in expired:
            del self._deaths[key]
