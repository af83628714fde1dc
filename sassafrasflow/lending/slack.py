"""When an instance may use its part of the slack that all instances share."""

import math

import msgspec

from sassafrasflow.lending import decisions

__all__ = ["FleetKnowledge", "SlackHold"]


class FleetKnowledge(msgspec.Struct, frozen=True):
    """What an instance knows of the others since its start."""

    # Whether the list of instances has been read.
    is_read: bool
    peers: int
    # Live peers that have sent nothing to this instance yet. Who sends to it
    # counts it among the instances.
    unheard: int
    # When the last of the others was first heard.
    complete_since: float = -math.inf


class SlackHold:
    """Keep a starting instance from slack that others count as theirs.

    Until a peer knows a new instance, its own part of the slack is larger, and
    what it spends counts for a window. So does what an earlier incarnation of
    this instance spent or lent just before it ended.
    """

    def __init__(self, now: float, window_s: float) -> None:
        self._started_at = now
        self._hold_s = decisions.lent_until(0.0, window_s)
        self._is_released = False

    def is_held(self, known: FleetKnowledge, now: float) -> bool:
        """Return whether this instance has to do without slack now."""
        if self._is_released:
            return False
        if not known.is_read or (known.peers and known.unheard):
            return True
        since = max(self._started_at, known.complete_since)
        if now - since >= self._hold_s:
            self._is_released = True
        # An instance without peers shares the slack with no one.
        return bool(known.peers) and not self._is_released
