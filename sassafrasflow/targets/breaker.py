"""Circuit breaker that pauses new work to a target that failed."""

import enum
import random

import msgspec

__all__ = ["Breaker", "BreakerPolicy", "BreakerState"]


class BreakerPolicy(msgspec.Struct, frozen=True):
    """Set when a breaker closes again, and how long it stays open.

    After fewer than ``threshold`` failures in a row, an answered poll
    closes the breaker; from ``threshold`` on, only a successful probe does.
    A probe that has run for ``probe_ms`` without a failure is successful.
    """

    threshold: int = 3
    pause_ms: float = 2_000
    max_pause_ms: float = 15_000
    probe_ms: float = 1_000


class BreakerState(enum.Enum):
    """States of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Breaker:
    """Open on a failure, then let one probe at a time through."""

    def __init__(self, policy: BreakerPolicy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._failures = 0
        self._retry_at: float | None = None
        self._probe_at: float | None = None

    def state(self, now: float) -> BreakerState:
        """Return the state at a monotonic time."""
        if self._retry_at is None:
            return BreakerState.CLOSED
        if now < self._retry_at:
            return BreakerState.OPEN
        if self._has_probe_lasted(now):
            return BreakerState.CLOSED
        return BreakerState.HALF_OPEN

    def allows(self, now: float) -> bool:
        """Return whether a piece of work may be sent."""
        state = self.state(now)
        if state is BreakerState.HALF_OPEN:
            return self._probe_at is None
        return state is BreakerState.CLOSED

    def record_begin(self, now: float) -> None:
        """Record that work is sent, which is the probe if half open."""
        if self.state(now) is BreakerState.HALF_OPEN:
            self._probe_at = now

    def record_inconclusive(self) -> None:
        """Record work that ended without showing whether the target works."""
        self._probe_at = None

    def record_success(self) -> None:
        """Record that a piece of work succeeded."""
        self._failures = 0
        self._retry_at = None
        self._probe_at = None

    def record_failure(self, now: float) -> None:
        """Record that a piece of work failed.

        Failures while the breaker is open are not counted, so that work
        that fails together counts once.
        """
        if self._retry_at is not None and now < self._retry_at:
            return
        if self._has_probe_lasted(now):
            self._failures = 0
        self._failures += 1
        self._open(now)

    def record_unreachable(self, now: float) -> None:
        """Record that the target did not answer a poll."""
        self._open(now)

    def record_reachable(self) -> None:
        """Record that the target answered a poll."""
        if self._failures < self._policy.threshold:
            self.record_success()

    def _open(self, now: float) -> None:
        doubled = 2.0 ** min(max(0, self._failures - 1), 16)
        pause_ms = min(
            self._policy.max_pause_ms, self._policy.pause_ms * doubled
        )
        # Instances that met the same failure must not probe at the same time.
        jitter = self._rng.uniform(0.75, 1.0)
        self._retry_at = now + pause_ms * jitter / 1000
        self._probe_at = None

    def _has_probe_lasted(self, now: float) -> bool:
        if self._probe_at is None:
            return False
        return now - self._probe_at >= self._policy.probe_ms / 1000
