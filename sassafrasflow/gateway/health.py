"""Server of health checks and metrics, on an address of its own."""

import asyncio
from collections.abc import Callable
import socket

__all__ = ["HealthServer"]

METRICS_PATH = b"/metrics"
REQUEST_TIMEOUT_S = 5.0
# Requests of load balancers take some hundred bytes.
MAX_HEAD_BYTES = 16 * 1024


class HealthServer:
    """Serve health checks and metrics, one request per connection."""

    def __init__(
        self, ready: Callable[[], bool], metrics: Callable[[], bytes]
    ) -> None:
        self._ready = ready
        self._metrics = metrics
        self._server: asyncio.Server | None = None

    async def start(self, sock: socket.socket) -> None:
        """Serve a listening socket."""
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=MAX_HEAD_BYTES
        )

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
        except (TimeoutError, OSError, EOFError, asyncio.LimitOverrunError):
            # The client disconnected, sent no complete head in time, or sent
            # one that is too large.
            writer.transport.abort()
            return
        words = head.split(b" ", 2)
        if len(words) < 3:
            writer.transport.abort()
            return
        path = words[1].partition(b"?")[0]
        if path == METRICS_PATH:
            status, body = b"200 OK", self._metrics()
        elif self._ready():
            status, body = b"200 OK", b"ready\n"
        else:
            status, body = b"503 Service Unavailable", b"not ready\n"
        writer.write(
            b"HTTP/1.1 %b\r\nContent-Length: %d\r\n"
            b"Content-Type: text/plain\r\nConnection: close\r\n\r\n%b"
            % (status, len(body), body)
        )
        writer.close()
