"""Whether a target wants work, by what its own answers say.

A target that leaves says so in its answers before its entry does, and one
that turns a request away may say for how long. What the target itself has
said counts for this start of it, whatever older lists or neighbours say.
"""

from collections.abc import Iterable
import enum
import random

import msgspec

__all__ = [
    "Availability",
    "TrialRequest",
    "Unavailable",
    "retry_after_s",
]

# A target that opens again gets one request first; if that brings nothing
# for so long, neither way, others follow.
TRIAL_TIMEOUT_S = 1.0
# Requests that may be on their way to a target at once before it answers one
# of them, and again each UNANSWERED_WINDOW_S while it answers none.
MAX_UNANSWERED_SENDS = 32
UNANSWERED_WINDOW_S = 0.05
# Callers who were told to return when a target opens come back over this.
RETRY_SPREAD_S = 0.5


class Unavailable(enum.Enum):
    """Tell why a target gets nothing."""

    LEAVING = "leaving"
    PAUSED = "paused"
    # It has just opened again, and the first request is on its way.
    ON_TRIAL = "on_trial"


class TrialRequest(msgspec.Struct, eq=False):
    """Mark the first request after a pause."""

    began_at: float


class Availability:
    """Hold what one start of a target has said."""

    def __init__(self) -> None:
        self.leaving = False
        # The longest pause of several counts.
        self.paused_until: float | None = None
        self._trial: TrialRequest | None = None
        # Sends since the last answer, or since the flight began.
        self._unanswered = 0
        self._window_began_at = 0.0

    def send_delay_s(self, now: float) -> float:
        """Return seconds until another request may follow, 0 for now.

        Load: a herd meets a target whose first answer would stop it.
        """
        if self._unanswered < MAX_UNANSWERED_SENDS:
            return 0.0
        return max(0.0, self._window_began_at + UNANSWERED_WINDOW_S - now)

    def record_send(self, now: float) -> None:
        """Record that a request is about to be sent."""
        if self._unanswered >= MAX_UNANSWERED_SENDS:
            self._unanswered = 0
        if not self._unanswered:
            self._window_began_at = now
        self._unanswered += 1

    def record_answer(self) -> None:
        """Record that the target answers."""
        self._unanswered = 0

    def record_leaving(self) -> bool:
        """Record that the target leaves; tell whether that is new."""
        new = not self.leaving
        self.leaving = True
        return new

    def record_pause(self, pause_s: float, now: float) -> bool:
        """Record that it wants nothing; tell whether that lasts longer."""
        until = now + pause_s
        self._trial = None
        if self.paused_until is not None and until <= self.paused_until:
            return False
        self.paused_until = until
        return True

    def unavailable_reason(self, now: float) -> Unavailable | None:
        """Tell why the target gets nothing now, if it doesn't."""
        if self.leaving:
            return Unavailable.LEAVING
        if self.paused_until is None:
            return None
        if now < self.paused_until:
            return Unavailable.PAUSED
        trial = self._trial
        if trial is not None and now - trial.began_at < TRIAL_TIMEOUT_S:
            return Unavailable.ON_TRIAL
        return None

    def begin_trial(self, now: float) -> TrialRequest | None:
        """Record a send; return a trial if it is the first after a pause."""
        if self.paused_until is None or now < self.paused_until:
            return None
        self._trial = TrialRequest(now)
        return self._trial

    def end_trial(self, trial: TrialRequest | None) -> None:
        """Open the target for all once its trial has ended."""
        if trial is not None and trial is self._trial:
            self._trial = None
            self.paused_until = None


def retry_after_s(
    found: Iterable[Availability], now: float, rng: random.Random
) -> float | None:
    """Return seconds after which a target wants work again, spread.

    Load: every target of a service has turned a herd away.
    """
    ends = [
        each.paused_until
        for each in found
        if not each.leaving and each.paused_until is not None
    ]
    if not ends:
        return None
    return max(0.0, min(ends) - now) + rng.uniform(0.0, RETRY_SPREAD_S)
