"""Decide whether a body arrives, or an answer is read, too slowly."""

__all__ = ["BODY_WINDOWS", "BodyProgress", "ReadProgress"]

# Time limit for each further part of a body, in time limits of a head.
BODY_WINDOWS = 4


class BodyProgress:
    """Progress of one body in windows of time."""

    def __init__(self, now: float, received_bytes: int = 0) -> None:
        self._since = now
        self._received_bytes = received_bytes

    def is_too_slow(
        self,
        now: float,
        received_bytes: int,
        head_timeout_s: float,
        least_bytes: int,
    ) -> bool:
        """Return whether fewer than the least bytes came within the limit."""
        if received_bytes - self._received_bytes >= least_bytes:
            self._since = now
            self._received_bytes = received_bytes
            return False
        return now - self._since > BODY_WINDOWS * head_timeout_s


class ReadProgress:
    """Progress of a caller that reads its answers."""

    def __init__(self, now: float) -> None:
        self._accepted_at = now
        self.unsent_bytes = 0

    def record_write(self, now: float, unsent_bytes: int) -> None:
        """Record what is unsent after a write."""
        if not self.unsent_bytes:
            self._accepted_at = now
        self.unsent_bytes = unsent_bytes

    def record_check(self, now: float, unsent_bytes: int) -> None:
        """Record what is unsent before a write, or without one."""
        if unsent_bytes < self.unsent_bytes:
            self._accepted_at = now
        self.unsent_bytes = unsent_bytes

    def silence_s(self, now: float) -> float:
        """Return the time since the caller last accepted a byte."""
        return now - self._accepted_at if self.unsent_bytes else 0.0
