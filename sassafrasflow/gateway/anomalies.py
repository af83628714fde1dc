"""Report what targets send besides the answers to their requests."""

from sassafrasflow import ids
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import telemetry

__all__ = ["AnswerAnomalies"]


class AnswerAnomalies:
    """Log and count bytes of targets that are no answer to a request."""

    def __init__(
        self, log: telemetry.EventLog, metrics: telemetry.Metrics
    ) -> None:
        self._log = log
        self._metrics = metrics

    def record_skipped_answer(
        self,
        target: ids.TargetId,
        conn: connections.ClientConnection,
        status: int,
        head: protocol.AnswerHead,
        attempt_id: str | None,
    ) -> None:
        """Record an answer that is not the one to the last request."""
        self._metrics.count("answers_skipped_total")
        self._log.write(
            "answer_skipped",
            request=attempt_id,
            target=target,
            found=head.attempt_id,
            status=status,
            uses=conn.uses,
            bytes=head.body_bytes,
        )

    def record_joined_answer(
        self,
        target: ids.TargetId,
        conn: connections.ClientConnection,
        attempt_id: str | None,
    ) -> None:
        """Record an answer that consists of parts of two."""
        self._metrics.count("answers_joined_total")
        self._log.write(
            "answer_joined",
            request=attempt_id,
            target=target,
            uses=conn.uses,
        )

    def record_idle_bytes(
        self,
        target: ids.TargetId,
        conn: connections.ClientConnection,
        size: int,
    ) -> None:
        """Record bytes on a connection that no request uses."""
        self._record_left(
            target, conn, connections.ReuseObstacle.BYTES_WHEN_IDLE, size
        )

    def record_obstacle(
        self, target: ids.TargetId, conn: connections.ClientConnection
    ) -> None:
        """Record that a connection is left, if the target is the cause."""
        obstacle = conn.find_reuse_obstacle()
        if obstacle is connections.ReuseObstacle.BYTES_AFTER_ANSWER:
            self._record_left(target, conn, obstacle, None)

    def _record_left(
        self,
        target: ids.TargetId,
        conn: connections.ClientConnection,
        obstacle: connections.ReuseObstacle,
        size: int | None,
    ) -> None:
        further = conn.further_answer
        self._metrics.count("connections_left_total", reason=obstacle.value)
        self._log.write(
            "connection_left",
            target=target,
            reason=obstacle.value,
            status=None if further is None else further.status,
            uses=conn.uses,
            bytes=size,
        )
