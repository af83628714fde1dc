"""HTTP/1.1 client connections to targets, one request at a time."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import enum
import os

import httptools
import msgspec

from sassafrasflow import local_errors
from sassafrasflow import statuses
from sassafrasflow.gateway import buffers
from sassafrasflow.gateway import intake
from sassafrasflow.gateway import joined
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import sockets
from sassafrasflow.memory import account as accounts

__all__ = [
    "AnswerStart",
    "ClientConnection",
    "ConnectError",
    "ConnectionEnd",
    "Item",
    "Reply",
    "ReuseObstacle",
    "connect",
    "collect_reply",
    "encode_request",
]

# These probes detect a dead idle connection in about 4 s.
PROBES = sockets.KeepAlive(
    idle_s=2, interval_s=1, probes=2, user_timeout_ms=2000
)
# After a suspension of this process, received data is read within a few turns
# of the event loop.
MAX_SUSPENSION_GRACE_S = 0.2
READ_LIMIT_BYTES = 256 * 1024
BODYLESS_STATUSES = frozenset({204, 304})
# Time for the rest of an answer to an earlier request. A target may be silent
# for a second and go on.
STALE_ANSWER_TIMEOUT_S = 2.0
DEFAULT_LIMITS = intake.IntakeLimits()


class ConnectError(Exception):
    """Raised when no connection was made, so that nothing was sent."""

    def __init__(
        self, reason: str, *, silent: bool, is_local: bool = False
    ) -> None:
        super().__init__(reason)
        # True if nothing answered at all, as opposed to a live host that
        # refused the connection.
        self.silent = silent
        # True if this host lacks descriptors, ports or memory, which says
        # nothing about the target.
        self.is_local = is_local


class AnswerStart(msgspec.Struct, frozen=True):
    """Status and headers at the start of an answer."""

    status: int
    headers: tuple[protocol.Header, ...]


class ConnectionEnd(enum.Enum):
    """How an answer or a connection ended."""

    ANSWER_COMPLETE = "answer_complete"
    CLOSED = "closed"
    RESET = "reset"
    GARBLED = "garbled"
    # The remote end sent more than the limits allow.
    OVERSIZED = "oversized"

    @property
    def is_fault(self) -> bool:
        """Return whether the remote end violated the protocol or a limit."""
        return self in (ConnectionEnd.GARBLED, ConnectionEnd.OVERSIZED)


class ReuseObstacle(enum.Enum):
    """Why no further request may be sent on a connection."""

    CLOSED = "closed"
    # The answer to the last request is not complete.
    UNFINISHED = "unfinished"
    BYTES_AFTER_ANSWER = "bytes_after_answer"
    BYTES_WHEN_IDLE = "bytes_when_idle"
    # The last answer announced the end of the connection.
    LAST_ANSWER = "last_answer"

    @property
    def is_fault(self) -> bool:
        """Return whether the remote end sent bytes that belong to nothing."""
        return self in (
            ReuseObstacle.BYTES_AFTER_ANSWER,
            ReuseObstacle.BYTES_WHEN_IDLE,
        )


class Reply(msgspec.Struct, frozen=True):
    """Complete answer."""

    status: int
    headers: tuple[protocol.Header, ...]
    body: bytes


Item = AnswerStart | bytes | ConnectionEnd


class ClientConnection(asyncio.BufferedProtocol):
    """Send requests one after another and return the items received."""

    def __init__(self, limits: intake.IntakeLimits = DEFAULT_LIMITS) -> None:
        self.limits = limits
        self._meter = intake.FramingMeter(limits)
        self._body = bytearray()
        self.uses = 0
        # Id of the last request, for log lines.
        self.request: str | None = None
        self.idle_since = 0.0
        self.closed = False
        # Whether the last answer had no length and ended with the connection.
        self.ended_answer_by_closing = False
        # Called with the number of bytes that arrive while the connection is
        # idle, before it is reset.
        self.on_idle_bytes: Callable[[int], None] | None = None
        # Called when bytes arrive.
        self.on_received: Callable[[], None] | None = None
        self._transport: asyncio.Transport | None = None
        self._items: list[Item] = []
        self._waiter: asyncio.Future[None] | None = None
        self._busy = False
        # Whether the only request is HEAD, so that its answer has no body.
        self.is_head = False
        self._queued_bytes = 0
        # Whether the last answer was not read for a while, for lack of memory.
        self.has_waited_for_memory = False
        # Account that queued bytes are charged to.
        self.holding: accounts.Holding | None = None
        # Bytes that are read before they are asked for.
        self.read_limit_bytes = READ_LIMIT_BYTES
        self._paused = False
        # Whether the target ended its answer before the request was written.
        self._ends_when_sent = False
        # Whether the target keeps the connection open after the last answer.
        self._stays_open = True
        self._begin_parsing()

    def _begin_parsing(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[protocol.Header] = []
        self._reason = b""
        # Whether a part of an answer of any kind has been parsed.
        self._in_message = False
        self._in_answer = False
        self._is_answered = False
        self._framed = True
        self._begun_messages = 0
        # Whether the head of an answer has been parsed.
        self.has_answer_head = False
        # Whether the last answer consists of parts of two answers.
        self.is_joined = False
        # Status of an answer that is neither a response nor interim.
        self.invalid_status: int | None = None

    @property
    def reusable(self) -> bool:
        """Return whether another request may be sent."""
        return self.find_reuse_obstacle() is None

    @property
    def further_answer(self) -> AnswerStart | None:
        """Return the head of an answer that followed the expected one."""
        for item in self._items:
            if isinstance(item, AnswerStart):
                return item
        return None

    def find_reuse_obstacle(self) -> ReuseObstacle | None:
        """Return why no other request may be sent, or ``None`` if it may.

        Bytes after an answer, even if they are no complete answer, would
        become the start of the next one.
        """
        if self._busy:
            return ReuseObstacle.UNFINISHED
        ends = (ConnectionEnd.CLOSED, ConnectionEnd.RESET)
        if self._in_message or any(item not in ends for item in self._items):
            return ReuseObstacle.BYTES_AFTER_ANSWER
        if self.closed or self._items:
            return ReuseObstacle.CLOSED
        obstacle = self._find_unread_obstacle()
        if obstacle is None and not self._stays_open:
            return ReuseObstacle.LAST_ANSWER
        return obstacle

    def holds_answer_head(self, text: bytes, attempt_id_name: bytes) -> bool:
        """Return whether a part of a body holds the head of an answer."""
        if not joined.has_status_line(text) or not joined.holds_answer_head(
            text, attempt_id_name, has_length=True
        ):
            return False
        self.is_joined = True
        return True

    def is_answer_joined(
        self, body: bytes, attempt_id_name: bytes | None = None
    ) -> bool:
        """Return whether a complete answer's body holds another answer.

        ``attempt_id_name`` is the header that all answers have, if any.
        """
        if joined.has_status_line(body):
            self.is_joined = self._has_further_bytes() or (
                attempt_id_name is not None
                and joined.holds_answer_head(
                    body,
                    attempt_id_name,
                    has_length=not self.ended_answer_by_closing,
                )
            )
        elif joined.ends_within_status_line(body):
            self.is_joined = self._has_further_bytes()
        return self.is_joined

    def _has_further_bytes(self) -> bool:
        """Return whether bytes follow the answer.

        They do if another answer is longer than what was left of this one.
        """
        obstacle = self.find_reuse_obstacle()
        return obstacle is ReuseObstacle.BYTES_AFTER_ANSWER

    def _find_unread_obstacle(self) -> ReuseObstacle | None:
        """Return what waits in the kernel: bytes, the end or nothing."""
        if self._transport is None:
            return None
        sock = self._transport.get_extra_info("socket")
        if not buffers.has_input(sock):
            return None
        if not buffers.count_unread(sock):
            return ReuseObstacle.CLOSED
        if self.on_idle_bytes is not None:
            return ReuseObstacle.BYTES_WHEN_IDLE
        return ReuseObstacle.BYTES_AFTER_ANSWER

    @property
    def sent_all(self) -> bool:
        """Return whether the whole request has left the buffer."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() == 0

    def expect_no_body(self) -> None:
        """Prepare for HEAD, which needs a connection of its own.

        Whether a body follows a head could not be told from a late answer to
        an earlier request, nor from a target that sends a body after HEAD.
        """
        assert not self.uses
        self.is_head = True

    def send(self, content: bytes) -> None:
        """Send a request."""
        assert self._transport is not None
        self._busy = True
        self._begin_parsing()
        self._meter.restart()
        self.uses += 1
        self._transport.write(content)

    async def next(self, timeout_s: float | None = None) -> Item | None:
        """Return the next item; ``None`` after a timeout or :meth:`wake`."""
        if not self._items:
            self._waiter = asyncio.get_running_loop().create_future()
            timer = None
            if timeout_s is not None:
                timer = asyncio.get_running_loop().call_later(
                    max(0.0, timeout_s), self.wake
                )
            try:
                await self._waiter
            finally:
                self._waiter = None
                if timer is not None:
                    timer.cancel()
        if not self._items:
            return None
        item = self._items.pop(0)
        if isinstance(item, bytes):
            self._queued_bytes -= len(item)
            if self.holding is not None:
                self.holding.add(accounts.Use.RUNNING, -len(item))
            self._resume()
        elif item is ConnectionEnd.ANSWER_COMPLETE:
            self._busy = False
        return item

    def expect_next_answer(self) -> None:
        """Continue reading, as the last answer was to an earlier request."""
        self._busy = True

    def wake(self) -> None:
        """Make a pending call of :meth:`next` return."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def close(self) -> None:
        """Close the connection after the buffered bytes are sent."""
        self.closed = True
        if self._transport is not None:
            self._transport.close()

    def abort(self) -> None:
        """Reset the connection, so that the target stops at once."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    def discard(self) -> None:
        """Reset the connection, and drop the items that were received."""
        self.abort()
        self._items.clear()
        if self.holding is not None:
            self.holding.add(accounts.Use.RUNNING, -self._queued_bytes)
        self._queued_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        sockets.set_options(transport.get_extra_info("socket"), PROBES)

    def get_buffer(self, sizehint: int) -> memoryview:
        if self._is_short:
            return intake.READ_BUFFER[: intake.PARSE_STEP_BYTES]
        return intake.READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self.on_received is not None:
            self.on_received()
        if not self._busy or self.closed:
            # No request is in flight, so no bytes are expected.
            if not self.closed and self.on_idle_bytes is not None:
                self.on_idle_bytes(nbytes)
            self.abort()
            return
        self._parse_all(nbytes)

    def _parse_all(self, size: int) -> bool:
        """Parse the read buffer; return whether the bytes were sound."""
        for step in intake.split_into_steps(intake.READ_BUFFER[:size]):
            end = self._parse(step)
            self._enqueue_body()
            if end is not None:
                self._enqueue(end)
                self.abort()
                return False
            if self.closed:
                # The bytes after an answer to HEAD belong to no answer.
                return False
        return True

    def _parse(self, content: memoryview) -> ConnectionEnd | None:
        """Parse bytes; return a reason to reset the connection, if any."""
        self._meter.record_received(len(content))
        begun = self._begun_messages
        try:
            self._parser.feed_data(content)
        except httptools.HttpParserCallbackError:
            if self.is_joined or self.invalid_status is not None:
                return ConnectionEnd.GARBLED
            return ConnectionEnd.OVERSIZED
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # An answer that begins where a chunk or a header is due.
            status_lines = joined.count_status_lines(bytes(content))
            self.is_joined = self._in_message and (
                status_lines > self._begun_messages - begun
            )
            return ConnectionEnd.GARBLED
        return ConnectionEnd.OVERSIZED if self._meter.is_exceeded else None

    def eof_received(self) -> bool:
        if self._in_answer and not self._framed:
            return self._end_unframed_answer()
        self._enqueue(ConnectionEnd.CLOSED)
        self.closed = True
        return False

    def _end_unframed_answer(self) -> bool:
        """End an answer without length; return whether more is to be sent.

        A target that stops within the request may be in trouble: the answer is
        complete only once the whole request has been written.
        """
        assert self._transport is not None
        if not self.sent_all:
            self._ends_when_sent = True
            # Without a buffer to keep filled, the end of writing is reported.
            self._transport.set_write_buffer_limits(high=0)
            return True
        self.ended_answer_by_closing = True
        self._in_message = False
        self._enqueue(ConnectionEnd.ANSWER_COMPLETE)
        self.closed = True
        return False

    def resume_writing(self) -> None:
        if self._ends_when_sent and not self.closed:
            self._end_unframed_answer()
            self.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if exc is not None and self._busy and not self.closed:
            self._read_received()
        self.closed = True
        self._enqueue(
            ConnectionEnd.CLOSED if exc is None else ConnectionEnd.RESET
        )

    def _read_received(self) -> None:
        """Parse what had arrived before a write failed.

        The transport stops reading then, but the kernel keeps received bytes
        even after a reset.
        """
        assert self._transport is not None
        descriptor = self._transport.get_extra_info("socket").fileno()
        left = self.limits.answer_bytes + self.limits.framing_bytes
        while left > 0:
            try:
                size = os.readv(descriptor, [intake.READ_BUFFER[:left]])
            except OSError:
                return
            left -= size
            if not size or not self._parse_all(size):
                return

    def on_message_begin(self) -> None:
        self._begun_messages += 1
        self._headers = []
        self._reason = b""
        self._in_message = True
        self._framed = False

    def on_status(self, reason: bytes) -> None:
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        self._meter.record_header_line()
        self._check_for_status_line(value)
        if self._in_answer:
            # The gateway ignores trailers.
            return
        self._headers.append((name, value))
        lowered = name.lower()
        if lowered == b"content-length" or (
            lowered == b"transfer-encoding" and b"chunked" in value.lower()
        ):
            self._framed = True

    def on_headers_complete(self) -> None:
        self._check_for_status_line(self._reason)
        if self.closed:
            return
        status = self._parser.get_status_code()
        kind = statuses.classify(status)
        if kind is statuses.StatusKind.INVALID:
            self.invalid_status = status
            raise ValueError("not the status of a response")
        if kind is statuses.StatusKind.INTERIM:
            return
        if status in BODYLESS_STATUSES:
            self._framed = True
        self.has_answer_head = True
        self._enqueue(AnswerStart(status, tuple(self._headers)))
        if self.is_head:
            self.closed = True
            self._in_message = False
            self._enqueue(ConnectionEnd.ANSWER_COMPLETE)
        else:
            self._in_answer = True

    def on_body(self, body: bytes) -> None:
        self._meter.record_body(len(body))
        if self._in_answer:
            self._body += body

    def on_message_complete(self) -> None:
        # Interim answers precede an answer, so one that follows it begins
        # another answer.
        self._in_message = self._is_answered and not self._in_answer
        self._stays_open = self._parser.should_keep_alive()
        if not self._in_answer:
            return
        self._in_answer = False
        self._is_answered = True
        self._enqueue_body()
        self._enqueue(ConnectionEnd.ANSWER_COMPLETE)

    def _check_for_status_line(self, text: bytes) -> None:
        """Reject a head that consists of parts of two answers."""
        if joined.has_status_line(text):
            self.is_joined = True
            raise ValueError("status line within a head")

    def _enqueue_body(self) -> None:
        """Enqueue the body bytes of the current step as one item."""
        if not self._body:
            return
        self._queued_bytes += len(self._body)
        if self.holding is not None:
            self.holding.add(accounts.Use.RUNNING, len(self._body))
        self._enqueue(bytes(self._body))
        self._body.clear()
        is_full = self._queued_bytes > self.read_limit_bytes or self._is_short
        if is_full and not self._paused and not self.closed:
            assert self._transport is not None
            self._paused = True
            self._transport.pause_reading()

    @property
    def _is_short(self) -> bool:
        """Return whether nothing more should be read ahead."""
        return self.holding is not None and self.holding.account.is_short

    def _resume(self) -> None:
        limit = 1 if self._is_short else self.read_limit_bytes // 2
        if self._paused and self._queued_bytes < limit:
            assert self._transport is not None
            self._paused = False
            if not self.closed:
                self._transport.resume_reading()

    def _enqueue(self, item: Item) -> None:
        self._items.append(item)
        self.wake()


async def connect(
    host: str,
    port: int,
    timeout_s: float,
    local_host: str | None = None,
    limits: intake.IntakeLimits = DEFAULT_LIMITS,
) -> ClientConnection:
    """Open a connection within a timeout in seconds.

    Raises
    ------
    ConnectError : refused, unreachable or no answer in time
    """
    loop = asyncio.get_running_loop()
    try:
        async with _timeout_excluding_suspension(timeout_s):
            _, conn = await loop.create_connection(
                lambda: ClientConnection(limits),
                host,
                port,
                local_addr=(local_host, 0) if local_host else None,
            )
    except TimeoutError as exc:
        raise ConnectError("no answer in time", silent=True) from exc
    except OSError as exc:
        is_local = exc.errno in local_errors.LOCAL_ERRORS
        raise ConnectError(str(exc), silent=False, is_local=is_local) from exc
    return conn


@contextlib.asynccontextmanager
async def _timeout_excluding_suspension(
    timeout_s: float,
) -> AsyncIterator[None]:
    """Apply a timeout that doesn't count suspensions of this process.

    A process that was stopped, or shares its processor, resumes with its
    timers due and received data unread. The wait is extended once by the
    time that the timer is late, up to MAX_SUSPENSION_GRACE_S.

    Raises
    ------
    TimeoutError : the time has passed
    """
    loop = asyncio.get_running_loop()
    due_at = loop.time() + timeout_s

    def end() -> None:
        late_s = loop.time() - due_at
        limit.reschedule(loop.time() + min(late_s, MAX_SUSPENSION_GRACE_S))

    async with asyncio.timeout(None) as limit:
        timer = loop.call_at(due_at, end)
        try:
            yield
        finally:
            timer.cancel()


async def collect_reply(
    conn: ClientConnection,
    timeout_s: float | None = None,
    piece_timeout_s: float | None = None,
) -> Reply:
    """Return the complete answer to the request that was just sent.

    ``timeout_s`` bounds the wait for the start of the answer, and
    ``piece_timeout_s`` the wait for each further item.

    Raises
    ------
    TimeoutError : no item arrived in time
    ConnectionError : the answer broke off or is too large
    """
    status = 0
    headers: tuple[protocol.Header, ...] = ()
    parts: list[bytes] = []
    size = 0
    while True:
        item = await conn.next(timeout_s)
        if item is None:
            raise TimeoutError
        timeout_s = piece_timeout_s
        if isinstance(item, AnswerStart):
            status, headers = item.status, item.headers
        elif isinstance(item, bytes):
            parts.append(item)
            size += len(item)
            if size > conn.limits.answer_bytes:
                raise ConnectionResetError("answer too large")
        elif item is ConnectionEnd.ANSWER_COMPLETE:
            body = b"".join(parts)
            if conn.is_answer_joined(body):
                raise ConnectionResetError("another answer within the body")
            return Reply(status, headers, body)
        elif conn.invalid_status is not None:
            raise ConnectionResetError(f"invalid status {conn.invalid_status}")
        else:
            raise ConnectionResetError(f"connection {item.value}")


def encode_request(
    method: str, path: str, headers: Sequence[protocol.Header], body: bytes
) -> bytes:
    """Encode a request."""
    lines = [f"{method} {path} HTTP/1.1\r\n".encode("latin-1")]
    lines += [b"%b: %b\r\n" % header for header in headers]
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(b"Content-Length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)
