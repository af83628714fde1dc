"""Find out which target listens at an address."""

import asyncio

from sassafrasflow import ids
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import successors

__all__ = ["HttpTargetInspector"]

HEALTH_PATH = "/health"
REPORT_PATH = "/report"
INSTANCE_ID = b"x-instance-id"
# A busy engine answers a status check only when it has a free slot.
TIMEOUT_S = 0.6


class HttpTargetInspector(successors.TargetInspector):
    """Call the status check and the report of a target."""

    def __init__(self, local_host: str) -> None:
        self._local_host = local_host

    async def inspect(
        self, host: str, port: int
    ) -> successors.Inspection | None:
        try:
            async with asyncio.timeout(TIMEOUT_S):
                status, target_id = await self._get(host, port, HEALTH_PATH)
                report_status, _ = await self._get(host, port, REPORT_PATH)
        except (TimeoutError, ConnectionError, connections.ConnectError):
            # Nothing listens at the address yet, or a target that can't serve
            # requests either.
            return None
        if target_id is None:
            return None
        return successors.Inspection(
            id=target_id, healthy=status == 200, is_engine=report_status == 200
        )

    async def _get(
        self, host: str, port: int, path: str
    ) -> tuple[int, ids.TargetId | None]:
        """Return the status and the id in the answer to one request.

        Answers to these requests have no attempt id, so each request needs a
        connection of its own.
        """
        conn = await connections.connect(
            host, port, TIMEOUT_S, self._local_host
        )
        try:
            address = f"{host}:{port}".encode()
            conn.send(
                connections.encode_request(
                    "GET", path, [(b"Host", address)], b""
                )
            )
            reply = await connections.collect_reply(conn)
        finally:
            conn.abort()
        target_id = None
        for name, value in reply.headers:
            if name.lower() == INSTANCE_ID:
                target_id = ids.TargetId(value.decode("latin-1"))
        return reply.status, target_id
