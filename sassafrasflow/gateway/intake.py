"""Bounds on the bytes that a peer may send without saying anything.

A peer in trouble may send a head, a chunk extension, trailers or a body
without end. Instances have some 200 MB, so each connection keeps what it
takes within these bounds and is reset beyond them.
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
# Shared by all connections of the process: what is read is parsed before
# another connection reads.
READ_BUFFER = memoryview(bytearray(READ_BUFFER_BYTES))
# Parsed at a time. A step full of one-byte chunks takes under 5 ms, and
# bounds are checked after each.
PARSE_STEP_BYTES = 8 * 1024


class IntakeLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bound what one answer of a peer may take."""

    # Status lines, headers, interim answers, chunk sizes and trailers, in
    # bytes. Sound heads take under 2 KB.
    framing_bytes: int = 128 * 1024
    # Framing allowed for each byte of a body: chunks that hold 3 bytes
    # or more may go on for ever, one-byte chunks for 40 KB.
    framing_per_body_byte: int = 2
    # Header lines of all answers on a connection to one request. Sound
    # answers have under 20; each line costs 5 us.
    header_lines: int = 512
    # Body of a short answer, of a failure, or of answers that are passed
    # over, in bytes. Answers of services take some KB.
    answer_bytes: int = 2 * 1024 * 1024
    # Answers to older requests that are passed over on one connection; a
    # sound target sends one at most.
    passed_over: int = 8

    def check(self) -> None:
        """Reject bounds that no sound answer fits.

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
        """Begin to count another message."""
        self._received = self._body = self._lines = 0

    def record_header_line(self) -> None:
        """Count a header line.

        Raises
        ------
        ValueError : there are too many
        """
        self._lines += 1
        if self._lines > self._limits.header_lines:
            raise ValueError("too many header lines")

    def record_received(self, size: int) -> None:
        """Count bytes of any kind."""
        self._received += size

    def record_body(self, size: int) -> None:
        """Count bytes that turned out to be body."""
        self._body += size

    @property
    def is_exceeded(self) -> bool:
        """Tell whether the peer sends framing without end."""
        limits = self._limits
        allowed = (
            limits.framing_bytes + limits.framing_per_body_byte * self._body
        )
        return self._received - self._body > allowed


def split_into_steps(content: memoryview) -> list[memoryview]:
    """Split what was read into steps of bounded work."""
    return [
        content[start : start + PARSE_STEP_BYTES]
        for start in range(0, len(content), PARSE_STEP_BYTES)
    ]
