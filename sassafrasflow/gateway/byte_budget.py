"""Budget for the datagrams between instances."""

__all__ = ["ByteBudget"]

# Rate and burst of the datagrams that can wait. The burst is large enough for
# many instances that start at once.
BUDGET_BYTES_PER_S = 4096.0
BUDGET_BURST_BYTES = 32 * 1024.0
# Waiting streams leave this share of the burst to the queries of new streams
# and the reports of loads. Without these, streams are placed blindly.
SPARE_BUDGET_SHARE = 0.5


class ByteBudget:
    """Token bucket, in bytes, for datagrams that can wait.

    Urgent datagrams are sent at once but use up the budget, so that the
    others are deferred. Relays are not counted: the other instances of the
    data centre depend on them, and they have limits of their own.
    """

    def __init__(self, now: float) -> None:
        self._available_bytes = BUDGET_BURST_BYTES
        self._refilled_at = now

    def allows(self, now: float) -> bool:
        """Return whether a datagram that can wait may be sent now."""
        passed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._available_bytes = min(
            BUDGET_BURST_BYTES,
            self._available_bytes + BUDGET_BYTES_PER_S * passed_s,
        )
        return self._available_bytes > 0

    def has_spare(self, now: float) -> bool:
        """Return whether more is available than others need at once."""
        return self.allows(now) and (
            self._available_bytes > SPARE_BUDGET_SHARE * BUDGET_BURST_BYTES
        )

    def spend(self, size: int) -> None:
        """Deduct bytes that were sent."""
        self._available_bytes = max(
            -BUDGET_BURST_BYTES, self._available_bytes - size
        )
