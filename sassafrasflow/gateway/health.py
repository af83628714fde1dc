"""Server of health checks, metrics and explanations, on its own address."""

import asyncio
from collections.abc import Callable
import http
import socket

from sassafrasflow.explanation import messages
from sassafrasflow.gateway import refusals

__all__ = ["MAX_CONNECTIONS", "HealthServer"]

METRICS_PATH = b"/metrics"
EXPLAIN_START = b"POST " + messages.PATH.encode() + b" "
REQUEST_TIMEOUT_S = 5.0
# Time in which a client has to accept the answer, after its request.
ANSWER_TIMEOUT_S = 5.0
# Requests of load balancers take some hundred bytes.
MAX_HEAD_BYTES = 16 * 1024
# Load balancers and collectors have a few connections each. A check that
# arrives amid a crowd has to be read before so many others are accepted.
MAX_CONNECTIONS = 64
# Connections accepted at a time, so that those beyond the limit are closed
# before the next ones are accepted, and those that wait in the kernel.
ACCEPT_BATCH = 16
BACKLOG = 128
# Answers a question of an operator with a status and JSON.
Explain = Callable[[bytes], tuple[int, bytes]]


class HealthServer:
    """Serve health checks and metrics, one request per connection."""

    def __init__(
        self,
        ready: Callable[[], bool],
        metrics: Callable[[], bytes],
        explain: Explain | None = None,
        on_cut: Callable[[refusals.RefusalReason], None] = lambda reason: None,
    ) -> None:
        self._ready = ready
        self._metrics = metrics
        self._explain = explain
        # Called when a connection ends without an answer that tells why.
        self._on_cut = on_cut
        self._server: asyncio.Server | None = None
        # Open connections, the oldest one first.
        self._writers: dict[asyncio.StreamWriter, None] = {}

    async def start(self, sock: socket.socket) -> None:
        """Serve a listening socket."""
        self._server = await asyncio.start_server(
            self._serve, sock=sock, limit=MAX_HEAD_BYTES, backlog=ACCEPT_BATCH
        )
        # The server set the length of the kernel's queue to the batch.
        sock.listen(BACKLOG)

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._add(writer)
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                head = await reader.readuntil(b"\r\n\r\n")
                question = await self._read_question(head, reader)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._answer(head, question, writer)
        except (TimeoutError, OSError, EOFError, asyncio.LimitOverrunError):
            # The client disconnected, sent no complete head in time, sent one
            # that is too large, or did not read its answer.
            writer.transport.abort()
        finally:
            self._writers.pop(writer, None)

    def _add(self, writer: asyncio.StreamWriter) -> None:
        """Add a connection, and cut the oldest one if there are too many.

        A check takes milliseconds, so the oldest one is the least likely to
        be a sound client's.
        """
        self._writers[writer] = None
        if len(self._writers) > MAX_CONNECTIONS:
            oldest = next(iter(self._writers))
            del self._writers[oldest]
            oldest.transport.abort()
            self._on_cut(refusals.RefusalReason.CONNECTIONS)

    async def _answer(
        self, head: bytes, question: bytes | None, writer: asyncio.StreamWriter
    ) -> None:
        words = head.split(b" ", 2)
        if len(words) < 3:
            writer.transport.abort()
            return
        path = words[1].partition(b"?")[0]
        if question is not None and self._explain is not None:
            writer.write(_encode_explanation(*self._explain(question)))
            writer.close()
            await writer.wait_closed()
            return
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
        await writer.wait_closed()

    async def _read_question(
        self, head: bytes, reader: asyncio.StreamReader
    ) -> bytes | None:
        """Return the body of a question; ``None`` for another request.

        A body that is too large is not read; its first bytes are answered as
        malformed.
        """
        lines = head.split(b"\r\n")
        if self._explain is None or not lines[0].startswith(EXPLAIN_START):
            return None
        sizes = [
            value.strip()
            for name, _, value in (line.partition(b":") for line in lines[1:])
            if name.strip().lower() == b"content-length"
        ]
        if len(sizes) != 1 or not sizes[0].isdigit():
            return b""
        size = min(int(sizes[0][:9]), messages.MAX_QUESTION_BYTES + 1)
        return await reader.readexactly(size)


def _encode_explanation(status: int, body: bytes) -> bytes:
    phrase = http.HTTPStatus(status).phrase.encode()
    return (
        b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n"
        b"Content-Type: application/json\r\nConnection: close\r\n\r\n%b"
        % (status, phrase, len(body), body)
    )
