"""Idle connections to targets."""

import collections
from collections.abc import Callable

from sassafrasflow import ids
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import targets

__all__ = ["ConnectionPool"]

# A target that names no timeout may close an idle connection at any time.
DEFAULT_IDLE_S = 2.0
# A request must not cross the target's own close of the connection.
IDLE_MARGIN_S = 1.0
MAX_IDLE_PER_TARGET = 8


class ConnectionPool:
    """Keep connections whose last answer ended well."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._idle: dict[
            ids.TargetId,
            collections.deque[tuple[connections.ClientConnection, float]],
        ] = {}

    def acquire(
        self, target: targets.ListedTarget
    ) -> connections.ClientConnection | None:
        """Return the connection that was used last, if one is sound."""
        idle = self._idle.get(target.id)
        now = self._clock()
        while idle:
            conn, until = idle.pop()
            if conn.reusable and now < until:
                return conn
            conn.close()
        return None

    def release(
        self,
        target: targets.ListedTarget,
        conn: connections.ClientConnection,
        idle_timeout_s: float | None,
    ) -> None:
        """Keep a connection, or close it if it is not sound."""
        idle = self._idle.setdefault(target.id, collections.deque())
        keep_s = DEFAULT_IDLE_S
        if idle_timeout_s is not None:
            keep_s = idle_timeout_s - IDLE_MARGIN_S
        sound = conn.reusable and conn.sent_all and keep_s > 0
        if not sound or len(idle) >= MAX_IDLE_PER_TARGET:
            conn.close()
            return
        idle.append((conn, self._clock() + keep_s))

    def close_target(self, target: ids.TargetId) -> None:
        """Close all connections to a target."""
        for conn, _ in self._idle.pop(target, ()):
            conn.close()

    def expire(self) -> None:
        """Close connections that were idle too long."""
        now = self._clock()
        for idle in self._idle.values():
            while idle and (now >= idle[0][1] or not idle[0][0].reusable):
                idle.popleft()[0].close()
        empty = [target for target, idle in self._idle.items() if not idle]
        for target in empty:
            del self._idle[target]

    def close(self) -> None:
        """Close every idle connection."""
        for target in list(self._idle):
            self.close_target(target)
