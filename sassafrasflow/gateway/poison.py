"""Refuse requests that crash the targets which run them.

Such a request comes again, at any instance. It is told from the many that
are lost with a target by three signs: most targets that die together do so
with this request; it happens again; and no run of this request has ever
brought anything.
"""

from collections.abc import Callable
from collections.abc import Collection
import hashlib

import msgspec

from sassafrasflow import ids

__all__ = ["DeathNotice", "Fingerprint", "Quarantine", "fingerprint_of"]

# Operators allow three crashes; another may happen before the second is
# known everywhere.
DEATHS_REFUSED = 2
MEMORY_S = 600.0
# Deaths of other targets of a data centre this close are one event.
COMMON_DEATH_S = 1.2
MAX_KNOWN = 1000

Fingerprint = str


class DeathNotice(msgspec.Struct, frozen=True, array_like=True, tag="death"):
    """Tell other instances which targets died with a request.

    Without targets: the request has been answered, so it is harmless.
    """

    sender: ids.InstanceId
    fingerprint: Fingerprint
    targets: tuple[ids.TargetId, ...]


class _Suspect(msgspec.Struct):
    targets: set[ids.TargetId]
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


class Quarantine:
    """Remember which requests targets died with."""

    def __init__(
        self,
        instance: ids.InstanceId,
        publish: Callable[[DeathNotice], None],
    ) -> None:
        self._instance = instance
        self._publish = publish
        self._suspects: dict[Fingerprint, _Suspect] = {}
        # Targets that this instance lost lately, with each request.
        self._losses: dict[Fingerprint, set[ids.TargetId]] = {}

    def __bool__(self) -> bool:
        """Tell whether any request is suspect."""
        return bool(self._suspects)

    def is_refused(self, fingerprint: Fingerprint, now: float) -> bool:
        """Tell whether a request may not run again."""
        found = self._suspects.get(fingerprint)
        if found is None:
            return False
        if now - found.last_at > MEMORY_S:
            del self._suspects[fingerprint]
            return False
        return len(found.targets) >= DEATHS_REFUSED

    def note_loss(
        self, fingerprint: Fingerprint, target: ids.TargetId
    ) -> None:
        """Record a target that was lost and may have died."""
        self._losses.setdefault(fingerprint, set()).add(target)

    def judge_death(
        self,
        fingerprint: Fingerprint,
        target: ids.TargetId,
        died_together: Collection[ids.TargetId],
        now: float,
    ) -> bool:
        """Tell whether a request is to blame for a target's death.

        ``died_together`` names the targets of its data centre that died at
        the same time.
        """
        lost = self._losses.get(fingerprint, {target})
        if 2 * len(lost.intersection(died_together)) <= len(died_together):
            return False
        self._add(fingerprint, {target}, now)
        suspect = self._suspects[fingerprint]
        self._publish(
            DeathNotice(
                self._instance, fingerprint, tuple(sorted(suspect.targets))
            )
        )
        return True

    def end_losses(self, fingerprint: Fingerprint) -> None:
        """Forget losses of a request that has ended."""
        self._losses.pop(fingerprint, None)

    def note_answer(self, fingerprint: Fingerprint) -> bool:
        """Clear a request that a target has worked on; tell if suspect."""
        if self._suspects.pop(fingerprint, None) is None:
            return False
        self._publish(DeathNotice(self._instance, fingerprint, ()))
        return True

    def hear(self, notice: DeathNotice, now: float) -> None:
        """Take what another instance knows."""
        if notice.targets:
            self._add(notice.fingerprint, set(notice.targets), now)
        else:
            self._suspects.pop(notice.fingerprint, None)

    def _add(
        self, fingerprint: Fingerprint, died: set[ids.TargetId], now: float
    ) -> None:
        found = self._suspects.setdefault(fingerprint, _Suspect(set(), now))
        found.targets |= died
        found.last_at = now
        while len(self._suspects) > MAX_KNOWN:
            del self._suspects[next(iter(self._suspects))]
