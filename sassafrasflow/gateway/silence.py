"""Detection of lost streams by their silence."""

from collections.abc import Iterable
import enum
import math

import msgspec

from sassafrasflow.gateway import connections
from sassafrasflow.gateway import targets
from sassafrasflow.liveness import evidence

__all__ = [
    "SilenceAction",
    "SilenceMonitor",
    "StreamWatch",
    "check_streams_near",
]

# After a silence of this many average pauses, a connection attempt checks the
# target.
PAUSES_BEFORE_CHECK = 3.0
# Bounds of the silence before a check: events of an idle engine come every
# 30 ms, and every 230 ms while it reads another prompt.
MIN_CHECK_S = 0.15
MAX_CHECK_S = 0.3
# Interval of checks before the first event, when silence is normal.
FIRST_EVENT_CHECK_S = 0.3
# A live target may stay silent for this share of the allowed pause. The rest
# is needed to resume the stream at another target.
LIVE_PAUSE_SHARE = 0.8
# Without a copy at another target a new run reads the whole prompt again, so a
# live target gets more time.
LIVE_LIMIT_WITHOUT_COPY_S = 2.0
# Allowed pause of a route that sets none.
DEFAULT_PAUSE_S = 1.0
# Weight of the newest pause in the moving average.
SMOOTHING_FACTOR = 0.2
# When a target is lost, the targets of streams from the same data centre that
# have been silent for this long are checked. Events normally come every 30 ms.
MIN_CHECKED_SILENCE_S = 0.06


class SilenceAction(enum.Enum):
    """Action to take on a silence."""

    WAIT = "wait"
    CHECK = "check"
    LOST = "lost"


class SilenceMonitor:
    """Monitor of the silence of one run, relative to its average pause.

    Whether the engine accepts a connection distinguishes a live but busy one
    from a dead one. A limit on silence alone would either be too long for the
    allowed pause or abandon engines that only read another prompt.
    """

    def __init__(
        self,
        now: float,
        *,
        max_pause_s: float | None,
        has_copy: bool,
        first_event_s: float | None = None,
    ) -> None:
        self._max_pause_s = max_pause_s or DEFAULT_PAUSE_S
        self._has_copy = has_copy
        self._first_event_s = first_event_s
        self._started_at = now
        self._last_event_at = now
        self._checked_at = now
        # When the next check was made due at once.
        self._alarmed_at = now
        self._accepted_at = -math.inf
        self._received_at = -math.inf
        self._waiting = 1
        self._kept_until = now
        self._average_pause_s: float | None = None
        self._has_events = False

    def record_event(self, now: float) -> None:
        """Record an event of the run."""
        if self._has_events:
            pause = now - self._last_event_at
            self._average_pause_s = (
                pause
                if self._average_pause_s is None
                else (1 - SMOOTHING_FACTOR) * self._average_pause_s
                + SMOOTHING_FACTOR * pause
            )
        self._has_events = True
        self._last_event_at = now
        self._checked_at = now

    def silence_s(self, now: float) -> float:
        """Return seconds since the last event."""
        return now - self._last_event_at

    def due_at(self) -> float:
        """Return when to choose an action next."""
        return min(
            self._check_at(),
            max(self.limit_at(), self._kept_until),
        )

    def choose_action(self, now: float) -> SilenceAction:
        """Return the action to take now."""
        if now >= max(self.limit_at(), self._kept_until):
            return SilenceAction.LOST
        if now >= self._check_at():
            return SilenceAction.CHECK
        return SilenceAction.WAIT

    def record_check(self, now: float) -> None:
        """Restart the interval, after a check that did not find a loss."""
        self._checked_at = now

    @property
    def checked_at(self) -> float:
        """Return when the target was checked last, for any stream."""
        if self._accepted_at > self._alarmed_at:
            return max(self._checked_at, self._accepted_at)
        return self._checked_at

    @property
    def needs_check_after(self) -> float:
        """Return the time at which a check must begin to count."""
        return max(self.checked_at, self._alarmed_at)

    def record_sign_of_life(
        self, sign: evidence.SignOfLife, waiting: int
    ) -> None:
        """Record signs of the target, and its streams without an event."""
        self._accepted_at = sign.accepted_at
        self._received_at = sign.received_at
        self._waiting = max(1, waiting)

    def add_copy(self) -> None:
        """Allow only the shorter silences of a run with a copy from now on."""
        self._has_copy = True

    def drop_copy(self) -> None:
        """Allow the longer silences of a run without a copy from now on."""
        self._has_copy = False

    def keep(self, now: float) -> None:
        """Postpone the next limit, as the run can't go on elsewhere."""
        self._kept_until = now + self._check_interval_s()

    def make_check_due(self, now: float) -> None:
        """Make the next check due, as targets near this one were lost.

        Earlier signs of life of the target no longer count.
        """
        self._alarmed_at = now
        self._checked_at = min(
            self._checked_at, now - self._check_interval_s()
        )

    def _check_at(self) -> float:
        interval_s = self._check_interval_s()
        received_at = self._received_at
        if received_at <= self._alarmed_at:
            received_at = -math.inf
        # Streams with events fall silent together, so each has the phase of
        # the others.
        waiting = 1 if self._has_events else self._waiting
        due_at = evidence.next_check_at(
            self.checked_at, received_at, interval_s, waiting
        )
        if self._alarmed_at > self._last_event_at:
            return due_at
        return max(due_at, self._last_event_at + interval_s)

    def _check_interval_s(self) -> float:
        if not self._has_events:
            return FIRST_EVENT_CHECK_S
        interval_s = PAUSES_BEFORE_CHECK * (self._average_pause_s or 0.0)
        return min(MAX_CHECK_S, max(MIN_CHECK_S, interval_s))

    def limit_at(self) -> float:
        """Return when even a live target counts as silent for too long."""
        if not self._has_events:
            if self._first_event_s is None:
                return float("inf")
            return self._started_at + self._first_event_s
        if self._has_copy:
            return self._last_event_at + LIVE_PAUSE_SHARE * self._max_pause_s
        return self._last_event_at + max(
            LIVE_LIMIT_WITHOUT_COPY_S, LIVE_PAUSE_SHARE * self._max_pause_s
        )


class StreamWatch(msgspec.Struct, eq=False):
    """Stream to check when another target of its data centre is lost."""

    target: targets.Target
    silence: SilenceMonitor
    conn: connections.ClientConnection


def check_streams_near(
    watches: Iterable[StreamWatch], lost: targets.Target, now: float
) -> None:
    """Make the checks of silent streams due, as a target near is lost."""
    for watch in watches:
        same = watch.target.listed.data_centre == lost.listed.data_centre
        if same and watch.silence.silence_s(now) > MIN_CHECKED_SILENCE_S:
            watch.silence.make_check_due(now)
            watch.conn.wake()
