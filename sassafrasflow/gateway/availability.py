"""Whether a target accepts work, according to its own answers.

A target that leaves says so in its answers before its entry does, and one that
rejects a request may say for how long it accepts none. What a target itself
has announced holds for this incarnation of it, whatever older lists or peers
say.
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

# A target whose pause has ended gets one trial request first. If the trial has
# neither succeeded nor failed after this long, other requests follow.
TRIAL_TIMEOUT_S = 1.0
# Requests that may be sent to a target before it answers one of them. While it
# answers none, as many may be sent again in each UNANSWERED_WINDOW_S.
MAX_UNANSWERED_SENDS = 32
UNANSWERED_WINDOW_S = 0.05
# Callers that are refused until a target's pause ends get retry times that are
# spread over this interval.
RETRY_SPREAD_S = 0.5


class Unavailable(enum.Enum):
    """Reason why a target gets no requests."""

    LEAVING = "leaving"
    PAUSED = "paused"
    # The pause has just ended, and the trial request is not answered yet.
    ON_TRIAL = "on_trial"


class TrialRequest(msgspec.Struct, eq=False):
    """First request that is sent after a pause."""

    began_at: float


class Availability:
    """State that one incarnation of a target has announced."""

    def __init__(self) -> None:
        self.leaving = False
        # End of the longest of the announced pauses.
        self.paused_until: float | None = None
        # Length of that pause.
        self.pause_s = 0.0
        # Time of the last rejection; None after a request that it accepted.
        self.rejected_at: float | None = None
        self._trial: TrialRequest | None = None
        # Number of sends since the last answer or the start of the window.
        self._unanswered = 0
        self._window_began_at = 0.0

    def send_delay_s(self, now: float) -> float:
        """Return seconds until another request may be sent; 0 for now.

        The limit bounds the requests of a herd that reach a target whose first
        answer would stop them.
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

    def record_rejection(self, now: float) -> None:
        """Record that the target rejected a request, as it was full."""
        self.rejected_at = now

    def record_acceptance(self) -> None:
        """Record that the target ran a request, so that it had room."""
        self.rejected_at = None

    def record_leaving(self) -> bool:
        """Record that the target leaves; return whether that is new."""
        new = not self.leaving
        self.leaving = True
        return new

    def record_pause(self, pause_s: float, now: float) -> bool:
        """Record a pause; return whether the target is paused longer now."""
        until = now + pause_s
        self._trial = None
        if self.paused_until is not None and until <= self.paused_until:
            return False
        self.paused_until = until
        self.pause_s = pause_s
        return True

    def unavailable_reason(self, now: float) -> Unavailable | None:
        """Return why the target gets no requests now, or ``None``."""
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
        """Record a send; return a trial if a pause has just ended."""
        if self.paused_until is None or now < self.paused_until:
            return None
        self._trial = TrialRequest(now)
        return self._trial

    def end_trial(self, trial: TrialRequest | None) -> None:
        """Allow all requests if the current trial has ended."""
        if trial is not None and trial is self._trial:
            self._trial = None
            self.paused_until = None


def retry_after_s(
    availabilities: Iterable[Availability], now: float, rng: random.Random
) -> float | None:
    """Return seconds until one of some targets accepts work again.

    A random part spreads the callers that all targets of a service have
    rejected at the same time. Returns ``None`` if none of them is paused.
    """
    ends = [
        each.paused_until
        for each in availabilities
        if not each.leaving and each.paused_until is not None
    ]
    if not ends:
        return None
    return max(0.0, min(ends) - now) + rng.uniform(0.0, RETRY_SPREAD_S)
