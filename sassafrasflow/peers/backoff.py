"""Backoff between attempts to connect to an address."""

import random

__all__ = ["Backoff"]

FIRST_DELAY_S = 0.05
MAX_DELAY_S = 1.0


class Backoff:
    """Double the delay of an address after each failure, with full jitter."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._failures: dict[str, int] = {}
        self._retry_at: dict[str, float] = {}

    def is_ready(self, address: str, now_s: float) -> bool:
        """Return whether an attempt may be made now."""
        return self._retry_at.get(address, 0.0) <= now_s

    def record_failure(self, address: str, now_s: float) -> None:
        """Record a failed attempt."""
        failures = self._failures.get(address, 0)
        max_delay_s = min(
            FIRST_DELAY_S * (1 << min(failures, 16)), MAX_DELAY_S
        )
        self._failures[address] = failures + 1
        self._retry_at[address] = now_s + self._rng.uniform(0, max_delay_s)

    def record_success(self, address: str) -> None:
        """Record a success; drop the earlier failures."""
        self._failures.pop(address, None)
        self._retry_at.pop(address, None)
