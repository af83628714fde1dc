"""Retry budget and backoff, shared by all code that retries."""

import random

import msgspec

from sassafrasflow import clocks

__all__ = ["BudgetPolicy", "RetryBudget", "full_jitter_s"]


class BudgetPolicy(msgspec.Struct, frozen=True):
    """Bound retries to a share of the first attempts.

    ``floor_per_s`` adds retries over time, so that an instance with little
    traffic can retry at all.
    """

    ratio: float = 0.1
    burst: float = 100.0
    floor_per_s: float = 1.0


class RetryBudget:
    """Add to a balance with each first attempt and spend it on retries."""

    def __init__(self, policy: BudgetPolicy, clock: clocks.Clock) -> None:
        self._policy = policy
        self._clock = clock
        self._balance = policy.burst
        self._updated_at = clock.monotonic()

    @property
    def balance(self) -> float:
        """Return how many retries may be sent now; a debt is negative."""
        self._refill()
        return self._balance

    def record_request(self) -> None:
        """Record the first attempt of a request."""
        self._add(self._policy.ratio)

    def try_spend(self, *, overdraw: bool = False) -> bool:
        """Spend one retry and return whether it may be sent.

        ``overdraw`` is for retries that save work already done: they are
        always sent, and charged down to a debt of one ``burst``.
        """
        self._refill()
        if self._balance < 1 and not overdraw:
            return False
        self._balance = max(-self._policy.burst, self._balance - 1)
        return True

    def _refill(self) -> None:
        now = self._clock.monotonic()
        self._add((now - self._updated_at) * self._policy.floor_per_s)
        self._updated_at = now

    def _add(self, amount: float) -> None:
        self._balance = min(self._policy.burst, self._balance + amount)


def full_jitter_s(
    attempt: int, base_ms: float, max_ms: float, rng: random.Random
) -> float:
    """Return a random backoff in seconds; attempts count from 0."""
    ceiling_ms = min(max_ms, base_ms * 2.0 ** min(attempt, 30))
    return rng.uniform(0.0, ceiling_ms) / 1000
