"""Limit on the bytes that an instance sends for control traffic."""

__all__ = ["ByteBudget"]

BURST_S = 0.5


class ByteBudget:
    """Limit bytes by a token bucket with a steady rate and small bursts."""

    def __init__(self, bytes_per_s: int, now_s: float) -> None:
        self._rate = bytes_per_s
        self._burst_bytes = bytes_per_s * BURST_S
        self._available_bytes = self._burst_bytes
        self._refilled_at = now_s

    def available(self, now_s: float) -> int:
        """Return the bytes that may be sent now."""
        elapsed_s = max(now_s - self._refilled_at, 0.0)
        self._available_bytes = min(
            self._available_bytes + elapsed_s * self._rate, self._burst_bytes
        )
        self._refilled_at = now_s
        return max(int(self._available_bytes), 0)

    def spare(self, now_s: float) -> int:
        """Return the bytes that may be sent now for less important entries.

        Half of a burst is reserved for more important entries.
        """
        return max(self.available(now_s) - int(self._burst_bytes / 2), 0)

    def spend(self, size: int) -> None:
        """Subtract sent bytes; the balance may become negative."""
        self._available_bytes -= size
