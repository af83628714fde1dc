"""Bounds on the framing and the size of received messages.

A faulty remote end may send an endless head, chunk extension, trailer or
body. Instances have some 200 MB of memory, so a connection that exceeds
these bounds is reset.
"""

import msgspec

__all__ = [
    "PARSE_STEP_BYTES",
    "READ_BUFFER",
    "FramingMeter",
    "IntakeLimits",
    "split_into_steps",
]

READ_BUFFER_BYTES = 64 * 1024
# Shared by all connections of the process, as each read is parsed before
# another connection reads.
READ_BUFFER = memoryview(bytearray(READ_BUFFER_BYTES))
# Bytes parsed at a time. Bounds are checked after each step, and a step full
# of one-byte chunks takes under 5 ms.
PARSE_STEP_BYTES = 8 * 1024


class IntakeLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds on the framing and the size of an answer."""

    # Status lines, headers, interim answers, chunk sizes and trailers, in
    # bytes. Heads of well-behaved targets take under 2 KB.
    framing_bytes: int = 128 * 1024
    # Further framing bytes allowed for each byte of a body. Chunks of 3 bytes
    # or more may continue without limit, one-byte chunks for 40 KB.
    framing_per_body_byte: int = 2
    # Header lines of all answers to one request on a connection. Usual
    # answers have under 20; parsing a line takes 5 us.
    header_lines: int = 512
    # Body of a short answer, of a failure or of skipped answers, in bytes.
    # Answers of services take some KB.
    answer_bytes: int = 2 * 1024 * 1024
    # Answers to earlier requests that are skipped on one connection. A
    # well-behaved target sends at most one.
    passed_over: int = 8

    def check(self) -> None:
        """Reject bounds that are too small for ordinary answers.

        Raises
        ------
        ValueError : a bound is too small
        """
        if min(self.framing_bytes, self.answer_bytes) < PARSE_STEP_BYTES:
            raise ValueError(f"bounds of at least {PARSE_STEP_BYTES} bytes")
        if min(self.framing_per_body_byte, self.passed_over) < 1 or (
            self.header_lines < 64
        ):
            raise ValueError("bounds below what sound peers send")


class FramingMeter:
    """Count the bytes of a message that are not its body."""

    def __init__(self, limits: IntakeLimits) -> None:
        self._limits = limits
        self._received = 0
        self._body = 0
        self._lines = 0

    def restart(self) -> None:
        """Reset the counts for another message."""
        self._received = self._body = self._lines = 0

    def record_header_line(self) -> None:
        """Count a header line.

        Raises
        ------
        ValueError : there are too many header lines
        """
        self._lines += 1
        if self._lines > self._limits.header_lines:
            raise ValueError("too many header lines")

    def record_received(self, size: int) -> None:
        """Count bytes of any kind."""
        self._received += size

    def record_body(self, size: int) -> None:
        """Count bytes that the parser reported as body."""
        self._body += size

    @property
    def is_exceeded(self) -> bool:
        """Return whether the message has more framing than allowed."""
        limits = self._limits
        allowed = (
            limits.framing_bytes + limits.framing_per_body_byte * self._body
        )
        return self._received - self._body > allowed


def split_into_steps(content: memoryview) -> list[memoryview]:
    """Split received bytes into steps of bounded parsing work."""
    return [
        content[start : start + PARSE_STEP_BYTES]
        for start in range(0, len(content), PARSE_STEP_BYTES)
    ]
