"""Recognise answers that consist of parts of two.

A target that breaks an answer off and begins another one on the same
connection leaves a status line inside the first one: in its head, if it broke
off there, or in its body, up to its length or to the end of the connection.
"""

import itertools
import re

__all__ = [
    "STATUS_LINE_BYTES",
    "count_status_lines",
    "ends_within_status_line",
    "has_status_line",
    "holds_answer_head",
    "is_joined_event",
]

STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")
PROTOCOL = b"HTTP/"
SAMPLE = b"HTTP/1.1 200"
STATUS_LINE_BYTES = len(SAMPLE)
# Heads that are looked at in one body. A search takes some ms at most.
MAX_HEADS = 64
# A status line, the header lines that follow it, and the blank line.
HEAD = re.compile(
    rb"HTTP/[0-9]\.[0-9] [0-9]{3}[^\r\n]*"
    rb"((?:\r?\n[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n]*){0,128})"
    rb"(\r?\n\r?\n)?"
)
# What may follow the last whole header line of a head that is cut.
CUT_LINE = re.compile(rb"\r?|\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]*")
LENGTH = re.compile(rb"\ncontent-length:[ \t]*([0-9]{1,15})[ \t]*(?:\r|\n|\Z)")
# Lines of a server-sent event.
FIELD = re.compile(rb"(?:data|event|id|retry)?(?::|\r?\Z)")


def has_status_line(text: bytes) -> bool:
    """Return whether a text holds a status line."""
    return PROTOCOL in text and STATUS_LINE.search(text) is not None


def count_status_lines(text: bytes) -> int:
    """Return how many status lines a text holds."""
    return len(STATUS_LINE.findall(text))


def holds_answer_head(
    body: bytes, attempt_id_name: bytes, *, has_length: bool
) -> bool:
    """Return whether a body holds the head of another answer.

    A body may be about HTTP, so the head must have the header that all
    answers have. Where the end of the connection ends the body, it may also
    be cut, or be that of an answer that ends there.
    """
    for match in itertools.islice(HEAD.finditer(body), MAX_HEADS):
        if b"\n%b:" % attempt_id_name in match[1].lower():
            return True
        if not has_length and (
            _ends_within_head(body, match) or _ends_with_answer(body, match)
        ):
            return True
    return False


def ends_within_status_line(body: bytes) -> bool:
    """Return whether a body ends with the start of a status line."""
    end = body[1 - len(SAMPLE) :]
    start = end.rfind(b"H")
    return start >= 0 and has_status_line(
        end[start:] + SAMPLE[len(end) - start :]
    )


def is_joined_event(event: bytes) -> bool:
    """Return whether a server-sent event holds the start of an answer.

    A status line in the data of an event is text, unless lines follow that
    are no fields of an event.
    """
    match = STATUS_LINE.search(event) if PROTOCOL in event else None
    if match is None:
        return False
    start = event.rfind(b"\n", 0, match.start()) + 1
    line, *following = event[start:].split(b"\n")
    return not line.startswith((b"data:", b":")) or any(
        not FIELD.match(text) for text in following
    )


def _ends_within_head(body: bytes, match: re.Match[bytes]) -> bool:
    return (
        match[2] is None
        and CUT_LINE.fullmatch(body, match.end(1)) is not None
        and body.startswith(b"\r\n", match.start(1))
        and len(body) > match.start(1) + len(b"\r\n")
    )


def _ends_with_answer(body: bytes, match: re.Match[bytes]) -> bool:
    length = LENGTH.search(match[1].lower())
    return (
        match[2] is not None
        and length is not None
        and len(body) - match.end() == int(length[1])
    )
