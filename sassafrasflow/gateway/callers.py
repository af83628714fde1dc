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

from sassafrasflow.gateway import deferral
from sassafrasflow.gateway import intake
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import responses
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import sockets
from sassafrasflow.memory import account as accounts
from sassafrasflow.memory import drafts
from sassafrasflow.memory import output as outputs
from sassafrasflow.memory import policy

__all__ = ["EXIT", "CallerConnection", "CallerServer"]

# Message of the cancellation of handlers that a stopping process can't wait
# for. Those whose callers have gone are cancelled with another one.
EXIT = "exit"

# Pipelined requests beyond this number wait in the kernel's buffer.
MAX_QUEUED_REQUESTS = 8
# Connections accepted at a time, so that those beyond the limit are closed
# before the next ones are accepted, and those that wait in the kernel.
ACCEPT_BATCH = 16
BACKLOG = 1024
# Interval between checks of the connections' time limits.
SWEEP_INTERVAL_S = 0.25
# How long a stopping server waits for handlers that it has cancelled.
END_TIMEOUT_S = 0.2
PROBES = sockets.KeepAlive(idle_s=5, interval_s=2, probes=2)
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
    UNREAD = "unread"


class CallerConnection(
    asyncio.BufferedProtocol, responses.AnswerSink, accounts.Holder
):
    """Serve the requests of one caller's connection in order."""

    def __init__(self, server: "CallerServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[drafts.QueuedRequest] = (
            collections.deque()
        )
        self._task: asyncio.Task[None] | None = None
        self._closing = False
        self._reading_paused = False
        self._meter = intake.FramingMeter(INTAKE_LIMITS)
        # Status and reason of the rejection of an invalid request, sent after
        # the answers to the requests before it.
        self._rejection: tuple[int, refusals.RefusalReason] | None = None
        # Bytes that were read but not parsed, as too many requests wait.
        self._unparsed = bytearray()
        self._last_activity_at = server.clock()
        # Limit in force at the last activity.
        self._idle_timeout_s = server.limits().idle_timeout_s
        self._has_sent = False
        self._holding = server.account.open(self)
        self._output = outputs.CallerOutput(self._holding, server.clock)
        self._draft = drafts.RequestDraft(self._holding, server.clock())
        self._in_request = False

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or answered."""
        return self._task is None and not self._in_request

    @property
    def is_answering(self) -> bool:
        """Return whether a request waits for its answer, or a part of it."""
        return self._task is not None or (
            self._output.is_delivering and self in self._server.connections
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._output.start(transport)
        sockets.set_options(transport.get_extra_info("socket"), PROBES)
        self._server.add(self, self._holding)

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        if self._queue:
            self._server.on_drop(len(self._queue), closed_here=self._closing)
        self._closing = True
        self._queue.clear()
        self._unparsed.clear()
        self._drop_draft()
        self._holding.close()
        self._output.resume()
        if self._task is not None:
            self._task.cancel("caller gone")

    def eof_received(self) -> bool:
        # A caller that still wants its answer doesn't close its side.
        if self._task is not None:
            self._task.cancel("caller gone")
        return False

    def pause_writing(self) -> None:
        self._output.pause()

    def resume_writing(self) -> None:
        self._output.resume()

    def get_buffer(self, sizehint: int) -> memoryview:
        return intake.READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        self._feed(intake.READ_BUFFER[:nbytes])

    def _record_activity(self) -> None:
        self._last_activity_at = self._server.clock()
        self._idle_timeout_s = self._server.limits().idle_timeout_s

    def _feed(self, content: memoryview) -> None:
        self._record_activity()
        self._has_sent = True
        steps = intake.split_into_steps(content)
        for position, step in enumerate(steps):
            if len(self._queue) > MAX_QUEUED_REQUESTS:
                for rest in steps[position:]:
                    self._unparsed += rest
                self._holding.add(accounts.Use.QUEUED, len(self._unparsed))
                self._pause_reading()
                return
            if self._closing or self._rejection is not None:
                return
            self._parse(step)

    def _parse(self, content: memoryview) -> None:
        draft = self._draft
        if not draft.head_done:
            draft.head_bytes += len(content)
            if not draft.charge_head():
                self._reject_for_memory()
                return
        self._meter.record_received(len(content))
        try:
            self._parser.feed_data(content)
        except httptools.HttpParserUpgrade as exc:
            self._ignore_upgrade(content[exc.args[0] :])
            return
        except (httptools.HttpParserError, ValueError):
            self._reject(400, refusals.RefusalReason.MALFORMED)
            return
        draft = self._draft
        if not draft.head_done and (
            draft.head_bytes > self._server.limits().head_bytes
        ):
            self._reject(431, refusals.RefusalReason.HEAD_TOO_LARGE)
        elif not draft.head_done and not draft.charge_head():
            self._reject_for_memory()
        elif draft.head_done and self._meter.is_exceeded:
            self._reject(400, refusals.RefusalReason.MALFORMED)

    def _ignore_upgrade(self, rest: memoryview) -> None:
        """Go on with a request whose caller offers another protocol.

        The parser stops after the head of such a request, so the head is
        parsed again without the offer.
        """
        if self._closing:
            return
        method = self._parser.get_method()
        if method == b"CONNECT" or self._rejection is not None:
            self._reject(400, refusals.RefusalReason.MALFORMED)
            return
        head = self._draft.encode_without_upgrade(self._parser)
        self._parser = httptools.HttpRequestParser(self)
        self._parse(memoryview(head))
        if not self._closing and self._rejection is None:
            self._parse(rest)

    def on_message_begin(self) -> None:
        size = self._draft.head_bytes
        self._draft = drafts.RequestDraft(self._holding, self._server.clock())
        self._draft.head_bytes = size
        self._meter.restart()
        self._in_request = True

    def on_url(self, url: bytes) -> None:
        self._draft.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._meter.record_header_line()
        # Trailers must not add headers to the request.
        if not self._draft.head_done:
            self._draft.headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self._closing or self._rejection is not None:
            return
        draft = self._draft
        draft.end_head(self._server.clock())
        self._meter.restart()
        draft.offers_upgrade = self._parser.should_upgrade()
        if draft.offers_upgrade:
            return
        limits = self._server.limits()
        if draft.decoded_head_bytes > limits.head_bytes:
            self._reject(431, refusals.RefusalReason.HEAD_TOO_LARGE)
            return
        if not draft.charge_head():
            self._reject_for_memory()
            return
        responses.check_framing(draft.headers)
        length = int(draft.header(b"content-length") or 0)
        if length > limits.body_bytes:
            self._reject(413, refusals.RefusalReason.BODY_TOO_LARGE)
            return
        # A pipelined request would keep its reservation for as long as the
        # one before it is in flight, whose caller is not turned away.
        if self._task is not None:
            draft.announce(length)
        elif not draft.reserve(length):
            self._reject_for_memory()
            return
        if draft.header(b"expect").lower() == b"100-continue":
            self._send_continue()

    def _send_continue(self) -> None:
        """Ask for a body, unless another answer is being written."""
        if self._task is None:
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        self._meter.record_body(len(body))
        if self._closing or self._rejection is not None:
            return
        size = len(self._draft.body) + len(body)
        if size > self._server.limits().body_bytes:
            self._reject(413, refusals.RefusalReason.BODY_TOO_LARGE)
        elif not self._draft.append(body):
            self._reject_for_memory()

    def on_message_complete(self) -> None:
        if self._closing or self._rejection is not None:
            return
        draft = self._draft
        if draft.offers_upgrade:
            # Only the head has been parsed.
            return
        self._queue.append(draft.finish(self._parser, self._server.clock()))
        self._in_request = False
        # An idle connection must not keep a body of some MB.
        self._draft = drafts.RequestDraft(self._holding, self._server.clock())
        if self._task is None:
            self._task = asyncio.get_running_loop().create_task(self._serve())

    async def _serve(self) -> None:
        try:
            while self._queue and not self._closing:
                await self._serve_one(self._queue.popleft())
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
            # Time in which the next request was not read doesn't count.
            self._draft.restart_progress(self._last_activity_at)

    async def _serve_one(self, queued: drafts.QueuedRequest) -> None:
        self._keep_alive = queued.keep_alive and queued.http11
        responder = responses.Responder(
            self, http11=queued.http11, is_head=queued.req.is_head
        )
        self._holding.start_request(queued.held_bytes)
        self._output.reset_limit()
        try:
            await self._server.handle(queued.req, responder)
        finally:
            self._holding.end_request()
        if not responder.finished:
            responder.cut()

    def write_head(
        self, status: int, headers: Sequence[protocol.Header], *, close: bool
    ) -> None:
        """Send a status line and headers."""
        close = close or self._closes_after_answer()
        self._announced_close = close
        self.write(responses.encode_head(status, headers, close=close))

    def write(self, content: bytes) -> None:
        """Send bytes unless the connection is closing."""
        self._output.write(content)

    async def drain(self) -> None:
        """Wait until the caller has read enough of the buffered bytes."""
        await self._output.drain()

    def end_answer(self, *, close: bool) -> None:
        """End an answer, and close the connection if it was the last one."""
        if close or self._announced_close or self._closes_after_answer():
            self.close()

    def close(self) -> None:
        """Close the connection after the buffered bytes are sent."""
        self._closing = True
        self._output.close(self._pause_reading)

    def end_answer_early(self) -> asyncio.Task[None] | None:
        """Cancel the handler, if one runs, and return its task."""
        if self._task is not None:
            self._task.cancel(EXIT)
        return self._task

    def abort(self) -> None:
        """Reset the connection."""
        self._closing = True
        self._output.abort()

    def describe(self, now: float) -> policy.Claim:
        """Return what the connection holds, and how it gets on."""
        self._output.update()
        phase, silence_s = policy.Phase.IDLE, now - self._last_activity_at
        if self._output.unsent_bytes:
            phase = policy.Phase.UNREAD
            silence_s = self._output.silence_s(now)
        elif self._task is not None:
            phase = policy.Phase.RUNNING
        elif self._closing:
            # What it held is released, and its last answer is on the way.
            phase = policy.Phase.IDLE
        elif self._in_request or self._draft.head_bytes:
            phase = policy.Phase.READING
        return policy.Claim(
            self._holding.id,
            phase,
            self._holding.held_bytes,
            silence_s,
            self._draft.received_share(self._server.limits().body_bytes),
            self._has_sent,
        )

    def turn_away(self) -> None:
        """Release all memory: refuse the request or close the connection."""
        if self._closing or self._output.unsent_bytes:
            self._holding.close()
            self.abort()
        elif self.is_idle and not self._draft.head_bytes:
            self.close()
        else:
            self._reject_for_memory()

    def _drop_draft(self) -> None:
        self._draft.drop()
        # The parser holds the header that it is reading, and refers back to
        # the connection, which would be freed late.
        self._parser = httptools.HttpRequestParser(None)

    def check_limits(self, now: float) -> None:
        """Reject a request that is too slow; close an idle connection."""
        if self._exceeded_limit(now) is not None:
            deferral.call_after_reads(self._enforce_limits)

    def close_if_idle(self) -> None:
        """Close the connection unless a request waits, even if unread."""
        last_activity_at = self._last_activity_at

        def close_if_unused() -> None:
            if self.is_idle and self._last_activity_at == last_activity_at:
                self.close()

        if self.is_idle:
            deferral.call_after_reads(close_if_unused)

    def _enforce_limits(self) -> None:
        limit = self._exceeded_limit(self._server.clock())
        if limit is _Limit.REQUEST:
            self._reject(408, refusals.RefusalReason.CALLER_TOO_SLOW)
        elif limit is _Limit.IDLE:
            self.close()
        elif limit is _Limit.UNREAD:
            self._server.on_cut(refusals.RefusalReason.UNREAD)
            self.abort()

    def _exceeded_limit(self, now: float) -> _Limit | None:
        self._output.update()
        unread_timeout_s = self._server.account.limits.unread_timeout_s
        if self._output.silence_s(now) > unread_timeout_s:
            return _Limit.UNREAD
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
            if self._draft.head_done
            else self._draft.started_at
        )
        is_too_slow = (
            now - waiting_since > limits.head_timeout_s
            or self._draft.is_too_slow(now, limits.head_timeout_s)
        )
        return _Limit.REQUEST if is_too_slow else None

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
        # What has arrived is not needed, and the close may take seconds.
        self._drop_draft()
        if self._task is None:
            self._send_rejection(status, reason)
        else:
            # Requests that were received earlier are answered first.
            self._rejection = (status, reason)
            self._pause_reading()

    def _reject_for_memory(self) -> None:
        self._reject(503, refusals.RefusalReason.MEMORY)

    def _send_rejection(
        self, status: int, reason: refusals.RefusalReason
    ) -> None:
        headers, body = responses.encode_rejection(
            reason.value, policy.RETRY_AFTER_S if status == 503 else None
        )
        self.write_head(status, headers, close=True)
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
            self._holding.add(accounts.Use.QUEUED, -len(content))
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
        account: accounts.Account | None = None,
        max_connections: Callable[[], int | None] = lambda: None,
        on_cut: Callable[[refusals.RefusalReason], None] = lambda reason: None,
    ) -> None:
        self.handle = handler
        self.limits = limits
        self.clock = clock
        self.on_reject = on_reject
        self.on_drop = on_drop
        self.account = account or accounts.create_unlimited(clock)
        self._max_connections = max_connections
        # Called when a connection ends without an answer that tells why.
        self.on_cut = on_cut
        self.connections: set[CallerConnection] = set()
        self.draining = False
        self._server: asyncio.Server | None = None

    async def start(self, sock: socket.socket) -> None:
        """Serve a listening socket."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=sock, backlog=ACCEPT_BATCH
        )
        # The server set the length of the kernel's queue to the batch.
        sock.listen(BACKLOG)

    def add(self, conn: CallerConnection, holding: accounts.Holding) -> None:
        """Add a connection, and close others if there are too many."""
        self.connections.add(conn)
        limit = self._max_connections()
        if (
            limit is not None
            and len(self.connections) > limit
            and (not self.account.close_connections(holding, limit))
        ):
            self.on_cut(refusals.RefusalReason.CONNECTIONS)
            conn.abort()

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
            deferral.call_after_reads(self.account.sweep)
