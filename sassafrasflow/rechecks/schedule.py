"""Decide when the next recheck of a verdict is due."""

import msgspec

from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts

__all__ = [
    "PART_DELAYS_S",
    "REQUEST_DELAYS_S",
    "Recheck",
    "RecheckSchedule",
    "due_at",
]

# Delays before each recheck of a verdict on prompt parts, the first one since
# the verdict, the others since the previous recheck. A false verdict refuses
# many requests, and each recheck of a true one costs a target. Operators
# allow three requests after the fifth crash, and three crashes precede a
# verdict.
PART_DELAYS_S = (3.0, 12.0, 120.0)
# A verdict on a single request refuses less. Operators allow three requests
# after the third crash, and two crashes precede the verdict.
REQUEST_DELAYS_S = (15.0, 60.0, 180.0)


class Recheck(msgspec.Struct, frozen=True):
    """Claim that lets one request run in spite of a verdict."""

    key: poison.Fingerprint
    # Rechecks of the verdict up to this one.
    number: int
    claimed_at: float
    # Since when this instance could have claimed it.
    claimable_at: float = 0.0


def due_at(
    key: poison.Fingerprint, verdict_at: float, newest: Recheck | None
) -> float | None:
    """Return when the next recheck of a verdict is due, if any."""
    delays_s = (
        PART_DELAYS_S if prompt_parts.parts_of(key) else REQUEST_DELAYS_S
    )
    if newest is None:
        return verdict_at + delays_s[0]
    if newest.number >= len(delays_s):
        return None
    return newest.claimed_at + delays_s[newest.number]


class RecheckSchedule:
    """Keep the newest recheck of each verdict, whoever claimed it."""

    def __init__(self) -> None:
        self._newest: dict[poison.Fingerprint, Recheck] = {}

    def newest(self, key: poison.Fingerprint) -> Recheck | None:
        """Return the newest known recheck of a verdict."""
        return self._newest.get(key)

    def record(self, recheck: Recheck) -> None:
        """Record a recheck unless a later one is known."""
        known = self._newest.get(recheck.key)
        if known is not None and known.number >= recheck.number:
            return
        self._newest.pop(recheck.key, None)
        self._newest[recheck.key] = recheck
        while len(self._newest) > poison.MAX_REQUESTS:
            del self._newest[next(iter(self._newest))]

    def forget(self, key: poison.Fingerprint) -> None:
        """Forget the rechecks of a verdict that was revoked."""
        self._newest.pop(key, None)
