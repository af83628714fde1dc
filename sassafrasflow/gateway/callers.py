"""HTTP/1.1 connections from callers.

The server uses the HTTP parser directly for three reasons: it has to notice
that a caller disconnects while its request waits, its limits change with the
configuration, and an incomplete answer has to look incomplete.
"""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import enum
import socket
from typing import Protocol

import httptools

from sassafrasflow.gateway import buffers
from sassafrasflow.gateway import intake
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import responses
from sassafrasflow.gateway import routes

__all__ = ["EXIT", "CallerConnection", "CallerServer"]

# Message of the cancellation of handlers that a stopping process can't wait
# for. Those whose callers have gone are cancelled with another one.
EXIT = "exit"

# Pipelined requests beyond this number wait in the kernel's buffer.
MAX_QUEUED_REQUESTS = 8
# With this much unsent data, a slow caller pauses the reading from the
# target of its stream.
WRITE_BUFFER_BYTES = 256 * 1024
# Interval between checks of the connections' time limits.
SWEEP_INTERVAL_S = 0.25
# How long a caller has to acknowledge the end of a long answer before its
# connection closes, and how often that is checked.
DELIVERY_TIMEOUT_S = 2.0
DELIVERY_POLL_S = 0.02
# How long a stopping server waits for handlers that it has cancelled.
END_TIMEOUT_S = 0.2
KEEPALIVE_IDLE_S = 5
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 2
# Bounds the framing of a request. The operators' CallerLimits bound its head
# and body.
INTAKE_LIMITS = intake.IntakeLimits(framing_per_body_byte=8)


Handler = Callable[
    [responses.CallerRequest, responses.Responder], Awaitable[None]
]


class _Limit(enum.Enum):
    """Limit on the time that a caller takes."""

    REQUEST = "request"
    IDLE = "idle"


class CallerConnection(asyncio.BufferedProtocol, responses.AnswerSink):
    """Serve the requests of one caller's connection in order."""

    def __init__(self, server: "CallerServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[
            tuple[responses.CallerRequest, bool, bool]
        ] = collections.deque()
        self._task: asyncio.Task[None] | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._closing = False
        self._reading_paused = False
        self._is_delivering = False
        self._meter = intake.FramingMeter(INTAKE_LIMITS)
        # Status and reason of the rejection of an invalid request, sent after
        # the answers to the requests before it.
        self._rejection: tuple[int, refusals.RefusalReason] | None = None
        # Bytes that were read but not parsed, as too many requests wait.
        self._unparsed = bytearray()
        self._last_activity_at = server.clock()
        # Limit in force at the last activity.
        self._idle_timeout_s = server.limits().idle_timeout_s
        self._request_started_at = self._last_activity_at
        self._begin_request()
        self._in_request = False

    def _begin_request(self) -> None:
        self._url = b""
        self._headers: list[protocol.Header] = []
        self._body = bytearray()
        self._meter.restart()
        self._head_bytes = 0
        self._head_done = False
        self._in_request = True
        self._offers_upgrade = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or answered."""
        return self._task is None and not self._in_request

    @property
    def is_answering(self) -> bool:
        """Return whether a request waits for its answer, or a part of it."""
        return self._task is not None or (
            self._is_delivering and self in self._server.connections
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        _set_options(transport.get_extra_info("socket"))
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        if self._queue:
            self._server.on_drop(len(self._queue), closed_here=self._closing)
        self._closing = True
        self._queue.clear()
        self._writable.set()
        if self._task is not None:
            self._task.cancel("caller gone")

    def eof_received(self) -> bool:
        # A caller that still wants its answer doesn't close its side.
        if self._task is not None:
            self._task.cancel("caller gone")
        return False

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    def get_buffer(self, sizehint: int) -> memoryview:
        return intake.READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        self._feed(intake.READ_BUFFER[:nbytes])

    def _record_activity(self) -> None:
        self._last_activity_at = self._server.clock()
        self._idle_timeout_s = self._server.limits().idle_timeout_s

    def _feed(self, content: memoryview) -> None:
        self._record_activity()
        steps = intake.split_into_steps(content)
        for position, step in enumerate(steps):
            if len(self._queue) > MAX_QUEUED_REQUESTS:
                for rest in steps[position:]:
                    self._unparsed += rest
                self._pause_reading()
                return
            if self._closing or self._rejection is not None:
                return
            self._parse(step)

    def _parse(self, content: memoryview) -> None:
        if not self._head_done:
            self._head_bytes += len(content)
        self._meter.record_received(len(content))
        try:
            self._parser.feed_data(content)
        except httptools.HttpParserUpgrade as exc:
            self._ignore_upgrade(content[exc.args[0] :])
            return
        except (httptools.HttpParserError, ValueError):
            self._reject(400, refusals.RefusalReason.MALFORMED)
            return
        if not self._head_done and (
            self._head_bytes > self._server.limits().head_bytes
        ):
            self._reject(431, refusals.RefusalReason.HEAD_TOO_LARGE)
        elif self._head_done and self._meter.is_exceeded:
            self._reject(400, refusals.RefusalReason.MALFORMED)

    def _ignore_upgrade(self, rest: memoryview) -> None:
        """Go on with a request whose caller offers another protocol.

        The parser stops after the head of such a request, so the head is
        parsed again without the offer.
        """
        method = self._parser.get_method()
        if method == b"CONNECT" or self._rejection is not None:
            self._reject(400, refusals.RefusalReason.MALFORMED)
            return
        version = self._parser.get_http_version().encode()
        lines = [b"%b %b HTTP/%b\r\n" % (method, self._url, version)]
        lines += [
            b"%b: %b\r\n" % (name, value)
            for name, value in self._headers
            if name.lower() != b"upgrade"
        ]
        self._parser = httptools.HttpRequestParser(self)
        self._parse(memoryview(b"".join([*lines, b"\r\n"])))
        if not self._closing and self._rejection is None:
            self._parse(rest)

    def on_message_begin(self) -> None:
        size = self._head_bytes
        self._begin_request()
        self._head_bytes = size
        self._request_started_at = self._server.clock()

    def on_url(self, url: bytes) -> None:
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._meter.record_header_line()
        # Trailers must not add headers to the request.
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        self._head_done = True
        self._meter.restart()
        self._offers_upgrade = self._parser.should_upgrade()
        if self._offers_upgrade:
            return
        size = len(self._url) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        limits = self._server.limits()
        if size > limits.head_bytes:
            self._reject(431, refusals.RefusalReason.HEAD_TOO_LARGE)
            return
        responses.check_framing(self._headers)
        for name, value in self._headers:
            lowered = name.lower()
            if lowered == b"content-length" and (
                int(value) > limits.body_bytes
            ):
                self._reject(413, refusals.RefusalReason.BODY_TOO_LARGE)
                return
            if lowered == b"expect" and value.lower() == b"100-continue":
                self._send_continue()

    def _send_continue(self) -> None:
        """Ask for a body, unless another answer is being written."""
        if self._task is None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._meter.record_body(len(body))
        if len(self._body) + len(body) > self._server.limits().body_bytes:
            self._reject(413, refusals.RefusalReason.BODY_TOO_LARGE)
            return
        self._body += body

    def on_message_complete(self) -> None:
        if self._closing or self._rejection is not None:
            return
        if self._offers_upgrade:
            # Only the head has been parsed.
            return
        http11 = self._parser.get_http_version() == "1.1"
        req = responses.CallerRequest(
            method=self._parser.get_method().decode("ascii"),
            url=self._url.decode("latin-1"),
            headers=self._headers,
            body=bytes(self._body),
            received_at=self._server.clock(),
        )
        self._queue.append((req, http11, self._parser.should_keep_alive()))
        self._in_request = False
        self._head_bytes = 0
        self._head_done = False
        # An idle connection must not keep a body of some MB.
        self._body = bytearray()
        self._headers = []
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    async def _serve(self) -> None:
        try:
            while self._queue and not self._closing:
                req, http11, keep_alive = self._queue.popleft()
                self._keep_alive = keep_alive and http11
                responder = responses.Responder(
                    self, http11=http11, is_head=req.is_head
                )
                await self._server.handle(req, responder)
                if not responder.finished:
                    responder.cut()
                await self.drain()
                self._resume_reading()
            if self._rejection is not None and not self._closing:
                self._send_rejection(*self._rejection)
        except asyncio.CancelledError:
            self.abort()
        except Exception:
            # The caller must not wait for an answer that never comes.
            self.abort()
            raise
        finally:
            self._task = None
            self._record_activity()

    def write_head(
        self, status: int, headers: Sequence[protocol.Header], *, close: bool
    ) -> None:
        """Send a status line and headers."""
        close = close or self._closes_after_answer()
        self._announced_close = close
        self.write(responses.encode_head(status, headers, close=close))

    def write(self, content: bytes) -> None:
        """Send bytes unless the connection is closing."""
        if self._transport is None or self._is_delivering:
            return
        if not self._transport.is_closing():
            self._transport.write(content)

    async def drain(self) -> None:
        """Wait until the caller has read enough of the buffered bytes."""
        await self._writable.wait()

    def end_answer(self, *, close: bool) -> None:
        """End an answer, and close the connection if it was the last one."""
        if close or self._announced_close or self._closes_after_answer():
            self.close()

    def close(self) -> None:
        """Close the connection after the buffered bytes are sent.

        If bytes of a further request are unread, the kernel resets the
        connection and discards what it has not delivered, so the close waits
        for the delivery.
        """
        self._closing = True
        transport = self._transport
        if transport is None or self._is_delivering:
            return
        sock = transport.get_extra_info("socket")
        if transport.get_write_buffer_size() or (buffers.count_unread(sock)):
            self._is_delivering = True
            self._pause_reading()
            self._close_when_delivered(None)
        else:
            transport.close()

    def _close_when_delivered(self, sent_at: float | None) -> None:
        """Close once the caller has acknowledged all bytes, or in time."""
        transport, now = self._transport, self._server.clock()
        if transport is None or transport.is_closing():
            return
        if not transport.get_write_buffer_size():
            sent_at = now if sent_at is None else sent_at
            sock = transport.get_extra_info("socket")
            if now - sent_at > DELIVERY_TIMEOUT_S or not (
                buffers.count_undelivered(sock)
            ):
                transport.close()
                return
        asyncio.get_running_loop().call_later(
            DELIVERY_POLL_S, self._close_when_delivered, sent_at
        )

    def end_answer_early(self) -> asyncio.Task[None] | None:
        """Cancel the handler, if one runs, and return its task."""
        if self._task is not None:
            self._task.cancel(EXIT)
        return self._task

    def abort(self) -> None:
        """Reset the connection."""
        self._closing = True
        if self._transport is not None:
            self._transport.abort()

    def check_limits(self, now: float) -> None:
        """Reject a request that is too slow; close an idle connection."""
        if self._exceeded_limit(now) is not None:
            _call_after_reads(self._enforce_limits)

    def close_if_idle(self) -> None:
        """Close the connection unless a request waits, even if unread."""
        last_activity_at = self._last_activity_at

        def close_if_unused() -> None:
            if self.is_idle and self._last_activity_at == last_activity_at:
                self.close()

        if self.is_idle:
            _call_after_reads(close_if_unused)

    def _enforce_limits(self) -> None:
        limit = self._exceeded_limit(self._server.clock())
        if limit is _Limit.REQUEST:
            self._reject(408, refusals.RefusalReason.CALLER_TOO_SLOW)
        elif limit is _Limit.IDLE:
            self.close()

    def _exceeded_limit(self, now: float) -> _Limit | None:
        if self._task is not None or self._closing:
            return None
        limits = self._server.limits()
        if not self._in_request:
            idle_s = now - self._last_activity_at
            # Callers may rely on the limit that was in force when the
            # connection became idle, or on a newer one that is longer.
            limit_s = max(self._idle_timeout_s, limits.idle_timeout_s)
            return _Limit.IDLE if idle_s > limit_s else None
        # The limit counts from the start of a head, so that a byte now and
        # then can't keep it open, but from the last byte of a body, which may
        # be long.
        waiting_since = (
            self._last_activity_at
            if self._head_done
            else self._request_started_at
        )
        waited_s = now - waiting_since
        return _Limit.REQUEST if waited_s > limits.head_timeout_s else None

    def _closes_after_answer(self) -> bool:
        if not self._keep_alive:
            return True
        # Requests that have been read are answered first.
        return self._server.draining and not (self._queue or self._unparsed)

    _keep_alive = True
    # Whether the head of the current answer says that the connection closes.
    _announced_close = False

    def _reject(self, status: int, reason: refusals.RefusalReason) -> None:
        if self._closing or self._rejection is not None:
            return
        self._server.on_reject(status, reason)
        if self._task is None:
            self._send_rejection(status, reason)
        else:
            # Requests that were received earlier are answered first.
            self._rejection = (status, reason)
            self._pause_reading()

    def _send_rejection(
        self, status: int, reason: refusals.RefusalReason
    ) -> None:
        body = b'{"reason":"%b"}' % reason.value.encode()
        length = (b"Content-Length", b"%d" % len(body))
        self.write_head(status, [length], close=True)
        self.write(body)
        self.close()

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if (
            not self._reading_paused
            or self._closing
            or self._rejection is not None
        ):
            return
        assert self._transport is not None
        if self._unparsed:
            content, self._unparsed = self._unparsed, bytearray()
            self._feed(memoryview(content))
        if not self._unparsed and not self._closing:
            self._reading_paused = False
            self._transport.resume_reading()


class DropObserver(Protocol):
    """Observe requests that were read and get no answer."""

    def __call__(self, count: int, *, closed_here: bool) -> None: ...


class CallerServer:
    """Accept connections of callers."""

    def __init__(
        self,
        handler: Handler,
        limits: Callable[[], routes.CallerLimits],
        clock: Callable[[], float],
        on_reject: Callable[[int, refusals.RefusalReason], None],
        on_drop: DropObserver = lambda count, *, closed_here: None,
    ) -> None:
        self.handle = handler
        self.limits = limits
        self.clock = clock
        self.on_reject = on_reject
        self.on_drop = on_drop
        self.connections: set[CallerConnection] = set()
        self.draining = False
        self._server: asyncio.Server | None = None

    async def start(self, sock: socket.socket) -> None:
        """Serve a listening socket."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=sock, backlog=1024
        )

    def drain(self) -> None:
        """Close each connection after its next answer."""
        self.draining = True

    def close_idle(self) -> None:
        """Close connections on which no request is in flight."""
        for conn in list(self.connections):
            conn.close_if_idle()

    @property
    def answering(self) -> int:
        """Return how many requests wait for their answers."""
        return sum(conn.is_answering for conn in self.connections)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        answering = []
        for conn in list(self.connections):
            task = conn.end_answer_early()
            if task is None:
                conn.close()
            else:
                answering.append(task)
        if answering:
            await asyncio.wait(answering, timeout=END_TIMEOUT_S)
        for conn in list(self.connections):
            conn.abort()

    async def run(self) -> None:
        """Enforce the time limits of all connections until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self.clock()
            for conn in list(self.connections):
                conn.check_limits(now)


def _call_after_reads(action: Callable[[], None]) -> None:
    """Call a function after the data that already waits has been read.

    After a suspension of this process, timers run before the data that
    arrived meanwhile is read.
    """
    asyncio.get_running_loop().call_later(0, action)


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
