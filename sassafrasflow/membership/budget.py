"""Bound on the bytes that an instance sends for control."""

__all__ = ["ByteBudget"]

BURST_S = 0.5


class ByteBudget:
    """Refill at a steady rate and hold little of it."""

    def __init__(self, bytes_per_s: int, now_s: float) -> None:
        self._rate = bytes_per_s
        self._burst_bytes = bytes_per_s * BURST_S
        self._available_bytes = self._burst_bytes
        self._refilled_at = now_s

    def available(self, now_s: float) -> int:
        """Return the bytes that may be sent now."""
        passed = max(now_s - self._refilled_at, 0.0)
        self._available_bytes = min(
            self._available_bytes + passed * self._rate, self._burst_bytes
        )
        self._refilled_at = now_s
        return max(int(self._available_bytes), 0)

    def spare(self, now_s: float) -> int:
        """Return the bytes that less important news may use now."""
        return max(self.available(now_s) - int(self._burst_bytes / 2), 0)

    def spend(self, size: int) -> None:
        """Take off what was sent; the rest may become negative."""
        self._available_bytes -= size
