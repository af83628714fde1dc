"""HTTP protocol of the server library with limits on requests.

The library limits neither the size of a request's head nor the time until
it is complete, and it reads the rest of a refused body to the end. It does
not count what callers make the process hold either.
"""

import asyncio
import collections
import time
from typing import Any

import httptools
import msgspec
from uvicorn.protocols.http import httptools_impl

from sassafrasflow import exceptions
from sassafrasflow import observability
from sassafrasflow.api import crowd_report
from sassafrasflow.api import metered
from sassafrasflow.api import problems
from sassafrasflow.gateway import intake
from sassafrasflow.memory import account as accounts
from sassafrasflow.memory import output as outputs
from sassafrasflow.memory import policy
from sassafrasflow.memory import progress

__all__ = ["BoundedProtocol", "HttpBounds"]

MAX_DISCARDED_BODY_BYTES = 1 << 20
# Pipelined requests beyond this number are not parsed until earlier ones
# have been answered.
MAX_QUEUED_REQUESTS = 8
# A body exists in pieces, joined and decoded for a moment.
BODY_COPIES = 3
# Objects of a piece of a body, besides its bytes.
PIECE_BYTES = 64
# Heads and bodies of unknown length are charged in steps of these sizes.
HEAD_STEP_BYTES = 4 * 1024
BODY_STEP_BYTES = 16 * 1024
SMALL_STEP_BYTES = 1024
# With this much unsent data, the answer of a slow reader is held back.
WRITE_BUFFER_BYTES = 64 * 1024
# Nobody else is served while a read is parsed, and one-byte chunks take the
# longest: beside 60 callers that sent them in reads of 64 KiB, an ordinary
# call found no target in time. After a read with so many chunks, reads are
# as small as this.
MANY_CHUNKS = 256
SMALL_READ_BYTES = 4 * 1024
RETRY_AFTER_S = 1
# Earlier calls with the same key may have run, so a refusal can't say that
# the call has not run.
KEY_HEADER = b"idempotency-key"


class HttpBounds(msgspec.Struct, frozen=True):
    """Limits on the requests of callers and on data for a slow reader.

    A small send buffer applies backpressure to the answer of a slow reader
    early, before it fills memory. A reader that does not drain the buffer
    within ``reader_timeout_ms`` is disconnected. Callers together make the
    process hold ``max_held_bytes`` at most.
    """

    max_head_bytes: int = 32 << 10
    head_timeout_ms: int = 10_000
    reader_timeout_ms: int = 60_000
    send_buffer_bytes: int = 64 << 10
    max_body_bytes: int = 4 << 20
    max_held_bytes: int = 512 << 20
    body_progress_bytes: int = 1024
    # ``None`` means no limit.
    max_connections: int | None = None


class _HeadTooLarge(httptools.HttpParserError):
    pass


class _NoRoom(httptools.HttpParserError):
    """Raised when there is no memory for what has arrived."""


class BoundedProtocol(
    httptools_impl.HttpToolsProtocol, asyncio.BufferedProtocol, accounts.Holder
):
    """Refuse oversized, slow or malformed requests; cut slow readers."""

    _holding: accounts.Holding
    _output: outputs.CallerOutput
    _metered: metered.MeteredTransport

    def __init__(
        self,
        bounds: HttpBounds,
        metrics: observability.Metrics | None,
        account: accounts.Account,
        report: crowd_report.CrowdReport,
        **library_arguments: Any,
    ) -> None:
        super().__init__(**library_arguments)
        self._bounds = bounds
        self._metrics = metrics
        self._account = account
        self._report = report
        self._head_bytes = 0
        # Bytes of a head that is not complete, as received.
        self._raw_head_bytes = 0
        self._header_lines = 0
        self._in_head = True
        # Whether a request has begun and has not been read completely.
        self._in_message = False
        self._body_bytes = 0
        self._body_pieces = 0
        self._body_length = 0
        self._body_charge = 0
        # Parts of bodies that the parser reported from the last read.
        self._body_calls = 0
        self._discarded_bytes = 0
        self._has_no_room = False
        self._ends_after_answer = False
        # Charges of the pipelined requests that were read completely.
        self._queued_sizes: collections.deque[int] = collections.deque()
        # Bytes that were read but not parsed, as too many requests wait.
        self._unparsed = bytearray()
        self._handlers = 0
        self._is_lost = False
        self._has_sent = False
        self._last_activity_at = time.monotonic()
        self._progress = progress.BodyProgress(self._last_activity_at)
        self._head_timer: asyncio.TimerHandle | None = None
        self._reader_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        self._holding = self._account.open(self)
        self._output = outputs.CallerOutput(
            self._holding, time.monotonic, WRITE_BUFFER_BYTES
        )
        self._metered = metered.MeteredTransport(transport, self._output)
        super().connection_made(self._metered)
        self._output.start(transport)
        self._start_head_timer()
        limit = self._bounds.max_connections
        if limit is not None and len(self.connections) > limit:
            self._report.record_connection_cut()
            if not self._account.close_connections(self._holding, limit):
                self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_head_timer()
        self._stop_reader_timer()
        self._is_lost = True
        self._unparsed.clear()
        if self.cycle is not None:
            self.cycle.body = bytearray()
        super().connection_lost(exc)
        self.pipeline.clear()
        self._drop_head()
        self._queued_sizes.clear()
        self._holding.set(accounts.Use.QUEUED, 0)
        self._release_request()
        self._close_holding()

    def _close_holding(self) -> None:
        """Release everything once no handler holds a request."""
        if self._is_lost and not self._handlers:
            self._holding.close()

    def _start_asgi_task(self, cycle: Any, app: Any) -> None:
        """Run a request; what it holds stays charged until it has ended."""

        async def run(scope: Any, receive: Any, send: Any) -> None:
            try:
                await app(scope, receive, send)
            finally:
                self._handlers -= 1
                self._close_holding()

        self._handlers += 1
        super()._start_asgi_task(cycle, run)

    def pause_writing(self) -> None:
        super().pause_writing()
        self._reader_timer = self.loop.call_later(
            self._bounds.reader_timeout_ms / 1000, self._reader_timed_out
        )

    def resume_writing(self) -> None:
        self._stop_reader_timer()
        super().resume_writing()

    def get_buffer(self, sizehint: int) -> memoryview:
        if self._body_calls > MANY_CHUNKS:
            return intake.READ_BUFFER[:SMALL_READ_BYTES]
        return intake.READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self.transport.is_closing():
            self._discarded_bytes += nbytes
            if self._discarded_bytes > MAX_DISCARDED_BODY_BYTES:
                self.transport.abort()
            return
        self._unset_keepalive_if_required()
        self._last_activity_at = time.monotonic()
        self._has_sent = True
        self._body_pieces += 1
        self._body_calls = 0
        self._feed(intake.READ_BUFFER[:nbytes])

    def _feed(self, content: memoryview) -> None:
        steps = intake.split_into_steps(content)
        for position, step in enumerate(steps):
            if self.transport.is_closing() or self._ends_after_answer:
                return
            if len(self.pipeline) >= MAX_QUEUED_REQUESTS:
                self._unparsed += b"".join(steps[position:])
                self._holding.add(accounts.Use.QUEUED, len(self._unparsed))
                self._metered.hold_reading()
                return
            self._parse(step)

    def _feed_unparsed(self) -> None:
        if self._is_lost or self.transport.is_closing():
            return
        content, self._unparsed = self._unparsed, bytearray()
        self._holding.add(accounts.Use.QUEUED, -len(content))
        self._feed(memoryview(content))
        if not self._unparsed:
            self._metered.release_reading()

    def _parse(self, content: memoryview) -> None:
        was_in_head = self._in_message and self._in_head
        if self._in_head and not self._charge_head(len(content)):
            self._refuse_for_memory()
            return
        try:
            self.parser.feed_data(content)
        except httptools.HttpParserError:
            if self._has_no_room:
                self._refuse_for_memory()
                return
            msg = "Invalid HTTP request received."
            self.logger.warning(msg)
            self.send_400_response(msg)
            return
        except httptools.HttpParserUpgrade:
            self._unsupported_upgrade_warning()
            return
        # The callbacks count a header only when it is complete, so the bytes
        # of an incomplete one are counted here.
        if was_in_head and self._in_head:
            self._raw_head_bytes += len(content)
        if self._in_head and (
            self._raw_head_bytes > self._bounds.max_head_bytes
        ):
            self._refuse_head()
        elif self._in_head and not self._charge_head():
            self._refuse_for_memory()

    def on_message_begin(self) -> None:
        self._head_bytes = 0
        self._raw_head_bytes = 0
        self._header_lines = 0
        self._in_head = True
        self._in_message = True
        if self._head_timer is None:
            self._start_head_timer()
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        self._count_head(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._header_lines += 1
        self._count_head(len(name) + len(value))
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        self._discarded_bytes = 0
        self._body_bytes = 0
        self._body_pieces = 0
        self._stop_head_timer()
        lengths = [v for k, v in self.headers if k == b"content-length"]
        self._body_length = int(lengths[0]) if lengths else 0
        self._progress = progress.BodyProgress(time.monotonic())
        is_pipelined = (
            self.cycle is not None and not self.cycle.response_complete
        )
        reserved = self._body_length
        if is_pipelined or reserved > self._bounds.max_body_bytes:
            reserved = 0
        self._require(self._charge_head())
        self._require(
            self._holding.claim(accounts.Use.BODY, BODY_COPIES * reserved)
        )
        self._body_charge = BODY_COPIES * reserved
        self._in_head = False
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        if self.cycle.response_complete:
            self._discarded_bytes += len(body)
            if self._discarded_bytes > MAX_DISCARDED_BODY_BYTES:
                self.transport.close()
        else:
            self._body_calls += 1
            self._body_bytes += len(body)
            size = self._body_bytes + PIECE_BYTES * self._body_pieces
            if BODY_COPIES * size > self._body_charge:
                self._charge_body(size)
        super().on_body(body)

    def on_message_complete(self) -> None:
        self._in_message = False
        size = self._holding.size(accounts.Use.HEAD) + self._holding.size(
            accounts.Use.BODY
        )
        self._release_request()
        if not self.cycle.response_complete:
            self._holding.add(accounts.Use.QUEUED, size)
            if self.pipeline:
                self._queued_sizes.append(size)
            else:
                self._holding.start_request(size)
        super().on_message_complete()

    def on_response_complete(self) -> None:
        self._holding.end_request()
        if self._queued_sizes:
            self._holding.start_request(self._queued_sizes.popleft())
        elif not self.pipeline and not self._in_head:
            # The rest of a body that was not needed is discarded.
            self._release_request()
        self._progress = progress.BodyProgress(
            time.monotonic(), self._body_bytes
        )
        self._output.reset_limit()
        super().on_response_complete()
        if self._ends_after_answer:
            self.transport.close()
        elif self._unparsed and len(self.pipeline) < MAX_QUEUED_REQUESTS:
            self.loop.call_soon(self._feed_unparsed)

    def send_400_response(self, msg: str) -> None:
        if self._head_bytes > self._bounds.max_head_bytes:
            self._refuse_head()
        else:
            self._refuse(exceptions.RefusalReason.MALFORMED_REQUEST, 400, msg)

    def describe(self, now: float) -> policy.Claim:
        """Return what the connection holds, and how it gets on."""
        phase, silence_s = policy.Phase.IDLE, now - self._last_activity_at
        self._output.update()
        if self._handlers and self._is_lost:
            phase = policy.Phase.RUNNING
        elif self._output.unsent_bytes:
            phase = policy.Phase.UNREAD
            silence_s = self._output.silence_s(now)
        elif self._is_running():
            phase = policy.Phase.RUNNING
        elif self._in_message and not self.transport.is_closing():
            phase = policy.Phase.READING
        length = self._body_length or self._bounds.max_body_bytes
        return policy.Claim(
            self._holding.id,
            phase,
            self._holding.held_bytes,
            silence_s,
            0.0 if self._in_head else self._body_bytes / length,
            self._has_sent,
        )

    def turn_away(self) -> None:
        """Release all memory: refuse the request or close the connection."""
        if self.transport.is_closing() or self._output.unsent_bytes:
            self._holding.close()
            self.transport.abort()
        elif self._in_message:
            self._refuse_for_memory()
        else:
            self.transport.close()

    def check_limits(self, now: float) -> None:
        """Refuse a body that is too slow; cut a caller that doesn't read."""
        self._output.update()
        reader_timeout_s = self._bounds.reader_timeout_ms / 1000
        if self._output.silence_s(now) > reader_timeout_s:
            self._reader_timed_out()
        elif not self._is_reading_body() or self.transport.is_closing():
            return
        elif self.flow.read_paused:
            # The handler has not taken what has arrived.
            self._progress = progress.BodyProgress(now, self._body_bytes)
        elif self._progress.is_too_slow(
            now,
            self._body_bytes,
            self._bounds.head_timeout_ms / 1000,
            self._bounds.body_progress_bytes,
        ):
            self._refuse(
                exceptions.RefusalReason.BODY_TIMEOUT,
                408,
                "The body made too little progress.",
            )

    def _is_running(self) -> bool:
        """Return whether a request is in flight that was read completely."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return False
        return bool(self.pipeline) or not self._is_reading_body()

    def _is_reading_body(self) -> bool:
        """Return whether a handler waits for the rest of a body."""
        if not self._in_message or self._in_head or self.pipeline:
            return False
        return not self.cycle.response_started

    def _charge_head(self, more_bytes: int = 0) -> bool:
        """Charge the head; return whether there is room for it."""
        size = max(self._head_bytes, self._raw_head_bytes) + more_bytes
        lines = accounts.HEADER_LINE_BYTES * self._header_lines
        return self._holding.claim(
            accounts.Use.HEAD, _round_up(size + lines, HEAD_STEP_BYTES)
        )

    def _charge_body(self, size: int) -> None:
        step = BODY_STEP_BYTES if size > BODY_STEP_BYTES else SMALL_STEP_BYTES
        self._body_charge = BODY_COPIES * _round_up(size, step)
        self._require(
            self._holding.claim(accounts.Use.BODY, self._body_charge)
        )

    def _require(self, has_room: bool) -> None:
        if not has_room:
            self._has_no_room = True
            raise _NoRoom

    def _release_request(self) -> None:
        self._holding.set(accounts.Use.HEAD, 0)
        self._holding.set(accounts.Use.BODY, 0)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._bounds.max_head_bytes:
            raise _HeadTooLarge

    def _start_head_timer(self) -> None:
        self._head_timer = self.loop.call_later(
            self._bounds.head_timeout_ms / 1000, self._head_timed_out
        )

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _head_timed_out(self) -> None:
        self._refuse(
            exceptions.RefusalReason.HEAD_TIMEOUT,
            408,
            f"No whole head in {self._bounds.head_timeout_ms} ms.",
        )

    def _stop_reader_timer(self) -> None:
        if self._reader_timer is not None:
            self._reader_timer.cancel()
            self._reader_timer = None

    def _reader_timed_out(self) -> None:
        self._report.record_reader_cut()
        self.transport.abort()

    def _refuse_head(self) -> None:
        self._refuse(
            exceptions.RefusalReason.HEAD_TOO_LARGE,
            431,
            f"A head has at most {self._bounds.max_head_bytes} bytes.",
        )

    def _refuse_for_memory(self) -> None:
        """Refuse the request that is being read.

        The answers to those before it are sent first, and the connection
        closes behind them.
        """
        if self._is_running():
            self._report.record_refusal(exceptions.RefusalReason.MEMORY)
            self._ends_after_answer = True
            self._metered.hold_reading()
            self.pipeline.clear()
            self._queued_sizes.clear()
            self._unparsed.clear()
            self._holding.set(accounts.Use.QUEUED, 0)
            self._release_request()
            return
        self._refuse(
            exceptions.RefusalReason.MEMORY,
            503,
            "Callers hold too much memory.",
            retry_after_s=RETRY_AFTER_S,
        )

    def _can_answer(self) -> bool:
        """Return whether the request that is being read has no answer yet."""
        cycle = self.cycle
        if cycle is None or cycle.response_complete:
            return self._in_head or not self._in_message
        return self._is_reading_body()

    def _refuse(
        self,
        reason: exceptions.RefusalReason,
        status: int,
        detail: str,
        retry_after_s: int | None = None,
    ) -> None:
        if self.transport.is_closing():
            return
        if reason in (
            exceptions.RefusalReason.MEMORY,
            exceptions.RefusalReason.BODY_TIMEOUT,
        ):
            self._report.record_refusal(reason)
        elif self._metrics is not None:
            self._metrics.count_refusal(reason)
        if self._can_answer():
            ran = exceptions.Ran.NO
            if self._in_message and any(
                name == KEY_HEADER for name, _ in self.headers
            ):
                ran = exceptions.Ran.UNKNOWN
            refusal = exceptions.Refusal(
                reason,
                ran,
                detail,
                status=status,
                retry_after_s=retry_after_s,
            )
            self.transport.write(_raw_response(refusal))
        if self._is_reading_body():
            # The handler ends as if the caller had disconnected.
            self.cycle.disconnected = True
            self.cycle.body = bytearray()
            self.cycle.message_event.set()
        # What has arrived is not needed, and the close may take seconds.
        self._release_request()
        self._drop_head()
        self.parser = httptools.HttpRequestParser(None)
        self._discarded_bytes = 0
        if reason is exceptions.RefusalReason.MEMORY:
            # A crowd is not read further.
            self.transport.close()
        else:
            self._metered.close_after_input()

    def _drop_head(self) -> None:
        self.headers = []
        self.url = b""
        self.scope = {}  # type: ignore[typeddict-item]


def _raw_response(refusal: exceptions.Refusal) -> bytes:
    body = msgspec.json.encode(problems.problem_of(refusal))
    head = (
        httptools_impl.STATUS_LINE[refusal.status]
        + f"content-type: {problems.MEDIA_TYPE}\r\n".encode()
        + f"content-length: {len(body)}\r\n".encode()
    )
    if refusal.retry_after_s is not None:
        head += f"retry-after: {refusal.retry_after_s}\r\n".encode()
    return head + b"connection: close\r\n\r\n" + body


def _round_up(size: int, step: int) -> int:
    return -(-size // step) * step
