"""Report what targets send besides the answers to their requests."""

from sassafrasflow import ids
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import telemetry

__all__ = ["AnswerAnomalies"]

# Characters of a target's text in a log line.
MAX_ID_LENGTH = 64


class AnswerAnomalies:
    """Log and count bytes of targets that are no answer to a request."""

    def __init__(
        self,
        wire: protocol.WireFormat,
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
    ) -> None:
        self._wire = wire
        self._log = log
        self._metrics = metrics

    def record_skipped_answer(
        self,
        target: ids.TargetId,
        conn: connections.ClientConnection,
        status: int,
        head: protocol.AnswerHead,
    ) -> None:
        """Record an answer that is not the one to the last request."""
        self._metrics.count("answers_skipped_total")
        self._log.write(
            "answer_skipped",
            request=conn.request,
            target=target,
            found=_shorten(head.attempt_id),
            status=status,
            uses=conn.uses,
            bytes=head.body_bytes,
        )

    def record_invalid_status(
        self, target: ids.TargetId, conn: connections.ClientConnection
    ) -> None:
        """Record an answer that is no response because of its status."""
        status = conn.invalid_status
        if status is None:
            return
        kind = "switching"
        if status < 100 or status > 599:
            kind = "below_100" if status < 100 else "above_599"
        self._metrics.count("statuses_invalid_total", kind=kind)
        self._log.write(
            "status_invalid",
            request=conn.request,
            target=target,
            status=status,
            uses=conn.uses,
        )

    def record_withheld_answer(
        self, target: ids.TargetId, request: str | None, status: int
    ) -> None:
        """Record an answer whose status promises what is not known."""
        self._metrics.count("answers_withheld_total", status=str(status))
        self._log.write(
            "answer_withheld", request=request, target=target, status=status
        )

    def record_joined_answer(
        self, target: ids.TargetId, conn: connections.ClientConnection
    ) -> None:
        """Record an answer that consists of parts of two."""
        part = "body" if conn.has_answer_head else "head"
        self._metrics.count("answers_joined_total", part=part)
        self._log.write(
            "answer_joined",
            request=conn.request,
            target=target,
            part=part,
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
        if obstacle is not None and obstacle.is_fault:
            self._record_left(target, conn, obstacle, None)

    def _record_left(
        self,
        target: ids.TargetId,
        conn: connections.ClientConnection,
        obstacle: connections.ReuseObstacle,
        size: int | None,
    ) -> None:
        status, found = None, None
        if conn.further_answer is not None:
            status = conn.further_answer.status
            head = self._wire.read_answer(status, conn.further_answer.headers)
            found = _shorten(head.attempt_id)
        self._metrics.count("connections_left_total", reason=obstacle.value)
        self._log.write(
            "connection_left",
            request=conn.request,
            target=target,
            reason=obstacle.value,
            found=found,
            status=status,
            uses=conn.uses,
            bytes=size,
        )


def _shorten(text: str | None) -> str | None:
    return None if text is None else text[:MAX_ID_LENGTH]
