"""Pool of idle connections to targets."""

import collections
from collections.abc import Callable
import functools

from sassafrasflow import ids
from sassafrasflow.gateway import anomalies
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import targets

__all__ = ["ConnectionPool"]

# Idle time for targets that announce no timeout; these may close an idle
# connection at any time.
DEFAULT_IDLE_S = 2.0
# Idle connections are dropped this long before the target closes them, so that
# no request is sent while the target closes its connection.
IDLE_MARGIN_S = 1.0
MAX_IDLE_PER_TARGET = 8


class ConnectionPool:
    """Idle connections whose last answer ended cleanly, by target."""

    def __init__(
        self,
        clock: Callable[[], float],
        reports: anomalies.AnswerAnomalies | None = None,
    ) -> None:
        self._clock = clock
        self._reports = reports
        self._idle: dict[
            ids.TargetId,
            collections.deque[tuple[connections.ClientConnection, float]],
        ] = {}

    def acquire(
        self, target: targets.ListedTarget
    ) -> connections.ClientConnection | None:
        """Return the reusable connection that was used last, or ``None``."""
        idle = self._idle.get(target.id)
        now = self._clock()
        while idle:
            conn, until = idle.pop()
            if conn.reusable and now < until:
                conn.on_idle_bytes = None
                return conn
            self._close(target.id, conn)
        return None

    def release(
        self,
        target: targets.ListedTarget,
        conn: connections.ClientConnection,
        idle_timeout_s: float | None,
    ) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        conn.holding = None
        idle = self._idle.setdefault(target.id, collections.deque())
        keep_s = DEFAULT_IDLE_S
        if idle_timeout_s is not None:
            keep_s = idle_timeout_s - IDLE_MARGIN_S
        can_keep = conn.reusable and conn.sent_all and keep_s > 0
        if not can_keep or len(idle) >= MAX_IDLE_PER_TARGET:
            self._close(target.id, conn)
            return
        if self._reports is not None:
            conn.on_idle_bytes = functools.partial(
                self._reports.record_idle_bytes, target.id, conn
            )
        idle.append((conn, self._clock() + keep_s))

    def _close(
        self, target: ids.TargetId, conn: connections.ClientConnection
    ) -> None:
        if self._reports is not None:
            self._reports.record_obstacle(target, conn)
        conn.on_idle_bytes = None
        conn.close()

    def close_target(self, target: ids.TargetId) -> None:
        """Close all idle connections to a target."""
        for conn, _ in self._idle.pop(target, ()):
            self._close(target, conn)

    def expire(self) -> None:
        """Close connections that were idle too long."""
        now = self._clock()
        for target, idle in self._idle.items():
            while idle and (now >= idle[0][1] or not idle[0][0].reusable):
                self._close(target, idle.popleft()[0])
        empty = [target for target, idle in self._idle.items() if not idle]
        for target in empty:
            del self._idle[target]

    def close(self) -> None:
        """Close every idle connection."""
        for target in list(self._idle):
            self.close_target(target)
