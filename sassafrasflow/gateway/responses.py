"""Requests of callers, and the writing of their answers."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Sequence
import http

import msgspec

from sassafrasflow.gateway import protocol
from sassafrasflow.memory import account as accounts

__all__ = [
    "AnswerSink",
    "CallerRequest",
    "Responder",
    "check_framing",
    "encode_head",
    "encode_rejection",
]


class CallerRequest(msgspec.Struct):
    """Complete request of a caller."""

    method: str
    # Path and query as sent by the caller.
    url: str
    headers: list[protocol.Header]
    body: bytes
    received_at: float
    # Account of the connection that the request came on.
    holding: accounts.Holding | None = None

    @property
    def is_head(self) -> bool:
        """Return whether the answer has no body."""
        return self.method == "HEAD"

    @property
    def path(self) -> str:
        return self.url.partition("?")[0]


class AnswerSink(ABC):
    """Send the bytes of answers on one connection."""

    @abstractmethod
    def write_head(
        self, status: int, headers: Sequence[protocol.Header], *, close: bool
    ) -> None:
        """Send a status line and headers."""

    @abstractmethod
    def write(self, content: bytes) -> None:
        """Send bytes unless the connection is closing."""

    @abstractmethod
    async def drain(self) -> None:
        """Wait until the caller has read enough of the buffered bytes."""

    @abstractmethod
    def end_answer(self, *, close: bool) -> None:
        """End an answer, and close the connection if it was the last one."""

    @abstractmethod
    def abort(self) -> None:
        """Reset the connection."""


class Responder:
    """Write one answer to a caller."""

    def __init__(
        self, conn: AnswerSink, *, http11: bool, is_head: bool = False
    ) -> None:
        self._conn = conn
        self._http11 = http11
        self._is_head = is_head
        self._chunked = False
        self.started = False
        self.finished = False

    def send(
        self,
        status: int,
        headers: Sequence[protocol.Header],
        body: bytes,
        *,
        close: bool = False,
    ) -> None:
        """Send a complete answer; to HEAD, without its body."""
        self.started = self.finished = True
        length = (b"Content-Length", b"%d" % len(body))
        self._conn.write_head(status, [*headers, length], close=close)
        if not self._is_head:
            self._conn.write(body)
        self._conn.end_answer(close=close)

    def send_head(
        self,
        status: int,
        headers: Sequence[protocol.Header],
        body_bytes: int | None,
    ) -> None:
        """Send an answer to HEAD, with the length of the body if known."""
        self.started = self.finished = True
        framing = []
        if body_bytes is not None:
            framing.append((b"Content-Length", b"%d" % body_bytes))
        self._conn.write_head(status, [*headers, *framing], close=False)
        self._conn.end_answer(close=False)

    def start(self, status: int, headers: Sequence[protocol.Header]) -> None:
        """Start an answer of unknown length."""
        self.started = True
        self._chunked = self._http11
        framing = []
        if self._chunked:
            framing.append((b"Transfer-Encoding", b"chunked"))
        self._conn.write_head(
            status, [*headers, *framing], close=not self._chunked
        )

    async def write(self, content: bytes) -> None:
        """Send a part of the answer; wait while the caller is slow to read."""
        if self._chunked:
            content = b"%x\r\n%b\r\n" % (len(content), content)
        self._conn.write(content)
        await self._conn.drain()

    def finish(self) -> None:
        """Mark the end of a complete answer."""
        self.finished = True
        if self._chunked:
            self._conn.write(b"0\r\n\r\n")
        self._conn.end_answer(close=not self._chunked)

    def cut(self) -> None:
        """Reset the connection, so that the answer looks incomplete."""
        self.finished = True
        self._conn.abort()


def check_framing(headers: Sequence[protocol.Header]) -> None:
    """Reject framing that a target might interpret differently.

    Raises
    ------
    ValueError : the length of the body is ambiguous or invalid
    """
    lengths = [v for k, v in headers if k.lower() == b"content-length"]
    codings = [v for k, v in headers if k.lower() == b"transfer-encoding"]
    if len(lengths) > 1 or (lengths and codings) or len(codings) > 1:
        raise ValueError("ambiguous body length")
    if codings and codings[0].strip().lower() != b"chunked":
        raise ValueError("unknown transfer coding")
    if lengths and not lengths[0].strip().isdigit():
        raise ValueError("bad body length")


def encode_head(
    status: int, headers: Sequence[protocol.Header], *, close: bool
) -> bytes:
    """Encode a status line and headers."""
    lines = [b"HTTP/1.1 %d %b\r\n" % (status, _phrase(status))]
    lines += [b"%b: %b\r\n" % header for header in headers]
    if close:
        lines.append(b"Connection: close\r\n")
    return b"".join([*lines, b"\r\n"])


def encode_rejection(
    reason: str, retry_after_s: float | None
) -> tuple[list[protocol.Header], bytes]:
    """Return the headers and the body of an answer to an unread request."""
    body = b'{"reason":"%b"}' % reason.encode()
    headers = [(b"Content-Length", b"%d" % len(body))]
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.2f" % retry_after_s))
    return headers, body


def _phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Status"
