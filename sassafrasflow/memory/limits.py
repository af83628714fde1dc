"""Limits of what callers and targets make an instance hold."""

import msgspec

__all__ = ["RESERVED_FDS", "MemoryLimits", "connection_limit"]

# Descriptors of the machine that are kept for files.
RESERVED_FDS = 200
# Connections of callers that any instance accepts.
MIN_CONNECTIONS = 16


class MemoryLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that the operators may set."""

    # Share of the instance's memory that callers and targets may make it
    # hold. The rest is for the interpreter, the tables of targets and peers,
    # and buffers that exist for a moment while bytes are copied.
    share: float = 0.3
    # Connections that hold up to this many bytes may use the whole share. A
    # prompt of 8,200 tokens takes some 40 KB, and as much again while it is
    # sent.
    small_bytes: int = 128 * 1024
    # Part of the share that only small requests may use.
    small_share: float = 0.25
    # Bytes of a body that have to arrive within the time limit of a body;
    # 0 means no limit. Slow mobile links carry some KB per second.
    body_progress_bytes: int = 1024
    # How long a caller may accept no byte of its answer. Callers wait for an
    # answer for 25 s at most.
    unread_timeout_s: float = 30.0
    # Part of the descriptors that callers' connections may use. The rest is
    # for connections to targets, the store and operators.
    caller_fd_share: float = 0.6

    def check(self) -> None:
        """Reject limits that leave no room for ordinary requests.

        Raises
        ------
        ValueError : a limit is out of bounds
        """
        if not 0.05 <= self.share <= 0.8:
            raise ValueError("a share of memory from 0.05 to 0.8")
        if not 0.05 <= self.small_share <= 0.5 or self.small_bytes < 16384:
            raise ValueError(
                "for small requests a share from 0.05 to 0.5, and at least "
                "16384 bytes"
            )
        if self.body_progress_bytes < 0 or self.unread_timeout_s < 1:
            raise ValueError(
                "no negative number of bytes, and at least 1 s for reads"
            )
        if not 0.1 <= self.caller_fd_share <= 0.9:
            raise ValueError("a share of descriptors from 0.1 to 0.9")


def connection_limit(max_fds: int | None, limits: MemoryLimits) -> int | None:
    """Return how many connections callers may have; ``None`` if unbounded."""
    if max_fds is None:
        return None
    usable = max_fds - RESERVED_FDS
    return max(MIN_CONNECTIONS, int(limits.caller_fd_share * usable))
