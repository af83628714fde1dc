"""Attempt budget of one generation: retry limit, backoff, targets to avoid."""

from collections.abc import Collection
import random

import msgspec

from sassafrasflow import ids

__all__ = ["AttemptBudget", "RetryPolicy"]


class RetryPolicy(msgspec.Struct, frozen=True):
    """Limits of the attempts that add no new token, and their backoff."""

    max_attempts: int = 8
    backoff_ms: int = 20
    backoff_ceiling_ms: int = 500
    avoid_ms: int = 5_000


class AttemptBudget:
    """Count lost attempts in a row that added no new token.

    A loss after new tokens starts the count again.
    """

    def __init__(self, policy: RetryPolicy, rng: random.Random) -> None:
        self._policy = policy
        self._rng = rng
        self._losses = 0
        self._index = 0
        self._failed_at: dict[ids.TargetId, float] = {}
        self.stall_count = 0

    def record_loss(
        self, target: ids.TargetId, index: int, now: float, *, stalled: bool
    ) -> None:
        """Record the loss of an attempt at ``index`` tokens of the answer."""
        if index > self._index:
            self._losses = 0
            self.stall_count = 0
        self._index = index
        self._losses += 1
        self.stall_count += stalled
        self._failed_at[target] = now

    @property
    def exhausted(self) -> bool:
        """Return whether no further attempt is allowed."""
        return self._losses >= self._policy.max_attempts

    def delay_s(self) -> float:
        """Return the delay before the next attempt in seconds.

        The first attempt and the first retry have no delay.
        """
        if self._losses < 2:
            return 0.0
        delay_ms = self._policy.backoff_ms * 2 ** (self._losses - 2)
        ceiling_ms = min(delay_ms, self._policy.backoff_ceiling_ms)
        return self._rng.uniform(ceiling_ms / 2, ceiling_ms) / 1000

    def recently_failed(self, now: float) -> Collection[ids.TargetId]:
        """Return the targets that failed within the avoidance time."""
        oldest = now - self._policy.avoid_ms / 1000
        return {
            target
            for target, failed_at in self._failed_at.items()
            if failed_at > oldest
        }
