"""HTTP protocol of the server library with limits on requests.

The library limits neither the size of a request's head nor the time until
it is complete, and it reads the rest of a refused body to the end.
"""

import asyncio
from typing import Any

import httptools
import msgspec
from uvicorn.protocols.http import httptools_impl

from sassafrasflow import exceptions
from sassafrasflow import observability
from sassafrasflow.api import problems

__all__ = ["BoundedProtocol", "HttpBounds"]

MAX_DISCARDED_BODY_BYTES = 1 << 20


class HttpBounds(msgspec.Struct, frozen=True):
    """Limits on the head of a request and on data for a slow reader.

    A small send buffer applies backpressure to the answer of a slow reader
    early, before it fills memory. A reader that does not drain the buffer
    within ``reader_timeout_ms`` is disconnected.
    """

    max_head_bytes: int = 32 << 10
    head_timeout_ms: int = 10_000
    reader_timeout_ms: int = 60_000
    send_buffer_bytes: int = 64 << 10


class _HeadTooLarge(httptools.HttpParserError):
    pass


class BoundedProtocol(httptools_impl.HttpToolsProtocol):
    """Refuse oversized, slow or malformed heads; disconnect slow readers."""

    def __init__(
        self,
        bounds: HttpBounds,
        metrics: observability.Metrics | None,
        **library_arguments: Any,
    ) -> None:
        super().__init__(**library_arguments)
        self._bounds = bounds
        self._metrics = metrics
        self._head_bytes = 0
        self._in_head = True
        self._discarded_bytes = 0
        self._head_timer: asyncio.TimerHandle | None = None
        self._reader_timer: asyncio.TimerHandle | None = None

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        super().connection_made(transport)
        self._start_head_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        self._stop_head_timer()
        self._stop_reader_timer()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        super().pause_writing()
        self._reader_timer = self.loop.call_later(
            self._bounds.reader_timeout_ms / 1000, self._reader_timed_out
        )

    def resume_writing(self) -> None:
        self._stop_reader_timer()
        super().resume_writing()

    def data_received(self, data: bytes) -> None:
        was_in_head = self._in_head
        super().data_received(data)
        # The callbacks count a header only when it is complete, so the bytes
        # of an incomplete one are counted here.
        if was_in_head and self._in_head:
            self._head_bytes += len(data)
            if self._head_bytes > self._bounds.max_head_bytes:
                self._refuse_head()

    def on_message_begin(self) -> None:
        self._head_bytes = 0
        self._in_head = True
        if self._head_timer is None:
            self._start_head_timer()
        super().on_message_begin()

    def on_url(self, url: bytes) -> None:
        self._count_head(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head(len(name) + len(value))
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        self._in_head = False
        self._discarded_bytes = 0
        self._stop_head_timer()
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        if self.cycle.response_complete:
            self._discarded_bytes += len(body)
            if self._discarded_bytes > MAX_DISCARDED_BODY_BYTES:
                self.transport.close()
        super().on_body(body)

    def send_400_response(self, msg: str) -> None:
        if self._head_bytes > self._bounds.max_head_bytes:
            self._refuse_head()
        else:
            self._refuse(exceptions.RefusalReason.MALFORMED_REQUEST, 400, msg)

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
        if self._metrics is not None:
            self._metrics.add(observability.Counter.READERS_CUT)
        self.transport.abort()

    def _refuse_head(self) -> None:
        self._refuse(
            exceptions.RefusalReason.HEAD_TOO_LARGE,
            431,
            f"A head has at most {self._bounds.max_head_bytes} bytes.",
        )

    def _refuse(
        self, reason: exceptions.RefusalReason, status: int, detail: str
    ) -> None:
        if self.transport.is_closing():
            return
        if self._metrics is not None:
            self._metrics.count_refusal(reason)
        response_pending = self.cycle and not self.cycle.response_complete
        if not response_pending:
            refusal = exceptions.Refusal(
                reason, exceptions.Ran.NO, detail, status=status
            )
            self.transport.write(_raw_response(refusal))
        self.transport.close()


def _raw_response(refusal: exceptions.Refusal) -> bytes:
    body = msgspec.json.encode(problems.problem_of(refusal))
    head = (
        httptools_impl.STATUS_LINE[refusal.status]
        + f"content-type: {problems.MEDIA_TYPE}\r\n".encode()
        + f"content-length: {len(body)}\r\n".encode()
        + b"connection: close\r\n\r\n"
    )
    return head + body
