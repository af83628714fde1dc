"""Request copies of the KV cache of runs."""

import asyncio

import msgspec

from sassafrasflow.gateway import connections
from sassafrasflow.gateway import copies
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry

__all__ = ["HttpCopyMaker"]

MOVE_PATH = "/kv-move"
CONNECT_TIMEOUT_S = 0.2
# A copy of 150 MB takes a few ms on the links of targets, and waits for
# earlier copies.
MOVE_TIMEOUT_S = 1.5


class _CopyOrder(msgspec.Struct, rename="pascal"):
    # Attempt id of the request whose run is copied.
    id: str
    to: str
    # Whether the run stops before it is copied.
    last: bool = False


class _CopyOutcome(msgspec.Struct, rename="pascal"):
    # Becomes part of a header.
    handle: decoding.Name


_outcome_decoder = msgspec.json.Decoder(_CopyOutcome)


class HttpCopyMaker(copies.CopyMaker):
    """Call the target that runs a request."""

    def __init__(
        self, local_host: str, log: telemetry.EventLog | None = None
    ) -> None:
        self._local_host = local_host
        self._log = log

    async def make(
        self,
        source: targets.ListedTarget,
        attempt_id: str,
        holder: targets.ListedTarget,
    ) -> str | None:
        order = _CopyOrder(attempt_id, f"{holder.host}:{holder.port}")
        try:
            conn = await connections.connect(
                source.host, source.port, CONNECT_TIMEOUT_S, self._local_host
            )
        except connections.ConnectError:
            # The run is lost too, which the connection of its request reports.
            return None
        try:
            async with asyncio.timeout(MOVE_TIMEOUT_S):
                status, body = await _post(conn, source, order)
        except (TimeoutError, ConnectionError) as exc:
            # The target confirmed no copy, so the caller must not rely on one.
            self._log_failure(source, attempt_id, str(exc) or "no answer")
            return None
        finally:
            conn.abort()
        if status != 200:
            return None
        try:
            return decoding.decode(_outcome_decoder.decode, body).handle
        except ValueError:
            # Without a handle, the copy can't be used.
            return None

    def _log_failure(
        self, source: targets.ListedTarget, attempt_id: str, cause: str
    ) -> None:
        if self._log is not None:
            self._log.write(
                "copy_order_failed",
                request=attempt_id,
                target=source.id,
                cause=cause,
            )


async def _post(
    conn: connections.ClientConnection,
    source: targets.ListedTarget,
    order: _CopyOrder,
) -> tuple[int, bytes]:
    host = f"{source.host}:{source.port}".encode()
    headers = [(b"Host", host), (b"Content-Type", b"application/json")]
    body = msgspec.json.encode(order)
    conn.send(connections.encode_request("POST", MOVE_PATH, headers, body))
    reply = await connections.collect_reply(conn)
    return reply.status, reply.body
