"""A request while it is being received, and the memory that it takes."""

import httptools
import msgspec

from sassafrasflow.gateway import responses
from sassafrasflow.memory import account as accounts
from sassafrasflow.memory import progress

__all__ = ["QueuedRequest", "RequestDraft"]

# Heads and bodies of unknown length are charged in steps of these sizes.
HEAD_STEP_BYTES = 4 * 1024
BODY_STEP_BYTES = 16 * 1024


class QueuedRequest(msgspec.Struct):
    """Complete request that waits for the answers to those before it."""

    req: responses.CallerRequest
    http11: bool
    keep_alive: bool
    held_bytes: int


class RequestDraft:
    """Parts of a request that have arrived so far."""

    def __init__(self, holding: accounts.Holding, now: float) -> None:
        self._holding = holding
        self.started_at = now
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = bytearray()
        self.head_bytes = 0
        self.head_done = False
        self.offers_upgrade = False
        # Announced size of the body; 0 if it is chunked or not known yet.
        self.length = 0
        self._charged_bytes = 0
        self._progress = progress.BodyProgress(now)

    def charge_head(self) -> bool:
        """Charge the head; return whether there is room for it."""
        lines = accounts.HEADER_LINE_BYTES * len(self.headers)
        size = _round_up(self.head_bytes + lines, HEAD_STEP_BYTES)
        return self._holding.claim(accounts.Use.HEAD, size)

    def end_head(self, now: float) -> None:
        """Record that the body begins."""
        self.head_done = True
        self.restart_progress(now)

    def restart_progress(self, now: float) -> None:
        """Measure the progress of the body from now on."""
        self._progress = progress.BodyProgress(now, len(self.body))

    def announce(self, length: int) -> None:
        """Record an announced body without a reservation for it."""
        self.length = length

    def reserve(self, length: int) -> bool:
        """Reserve an announced body; return whether there is room for it."""
        self.length = length
        self._charged_bytes = length
        return self._holding.claim(accounts.Use.BODY, length)

    def append(self, content: bytes) -> bool:
        """Append to the body; return whether there is room for it."""
        size = len(self.body) + len(content)
        if size > self._charged_bytes:
            self._charged_bytes = _round_up(size, BODY_STEP_BYTES)
            use = accounts.Use.BODY
            if not self._holding.claim(use, self._charged_bytes):
                return False
        self.body += content
        return True

    def received_share(self, body_limit: int) -> float:
        """Return the received share of the largest possible body."""
        if not self.head_done:
            return 0.0
        return len(self.body) / max(1, self.length or body_limit)

    def is_too_slow(self, now: float, head_timeout_s: float) -> bool:
        """Return whether the body makes too little progress."""
        least = self._holding.account.limits.body_progress_bytes
        return self.head_done and self._progress.is_too_slow(
            now, len(self.body), head_timeout_s, least
        )

    @property
    def decoded_head_bytes(self) -> int:
        """Return the size of the target and the headers."""
        return len(self.url) + sum(
            len(name) + len(value) + 4 for name, value in self.headers
        )

    def header(self, name: bytes) -> bytes:
        """Return the value of a header, or nothing."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return b""

    def encode_without_upgrade(
        self, parser: httptools.HttpRequestParser
    ) -> bytes:
        """Return the head without the offer of another protocol."""
        method, version = parser.get_method(), parser.get_http_version()
        lines = [b"%b %b HTTP/%b\r\n" % (method, self.url, version.encode())]
        lines += [
            b"%b: %b\r\n" % (name, value)
            for name, value in self.headers
            if name.lower() != b"upgrade"
        ]
        return b"".join([*lines, b"\r\n"])

    def finish(
        self, parser: httptools.HttpRequestParser, now: float
    ) -> QueuedRequest:
        """Return the complete request, charged as a queued one."""
        req = responses.CallerRequest(
            method=parser.get_method().decode("ascii"),
            url=self.url.decode("latin-1"),
            headers=self.headers,
            body=bytes(self.body),
            received_at=now,
            holding=self._holding,
        )
        return QueuedRequest(
            req,
            parser.get_http_version() == "1.1",
            parser.should_keep_alive(),
            self.queue(),
        )

    def queue(self) -> int:
        """Charge the request as a queued one; return what it holds."""
        holding = self._holding
        size = holding.size(accounts.Use.HEAD) + holding.size(
            accounts.Use.BODY
        )
        holding.add(accounts.Use.QUEUED, size)
        self._release()
        return size

    def drop(self) -> None:
        """Drop everything that has arrived."""
        self.url = b""
        self.headers = []
        self.body = bytearray()
        self._charged_bytes = 0
        self._release()

    def _release(self) -> None:
        self._holding.set(accounts.Use.HEAD, 0)
        self._holding.set(accounts.Use.BODY, 0)


def _round_up(size: int, step: int) -> int:
    return -(-size // step) * step
