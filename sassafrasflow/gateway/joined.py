"""Recognise answers that consist of parts of two.

A target that breaks an answer off and begins another one on the same
connection leaves a status line inside the first one: in its head, if it broke
off there, or in its body, up to its length or to the end of the connection.
"""

import re

__all__ = [
    "holds_answer_head",
    "is_joined_event",
    "is_joined_text",
    "may_hold_answer_start",
]

STATUS_LINE = re.compile(rb"HTTP/[0-9]\.[0-9] [0-9]{3}")
SAMPLE = b"HTTP/1.1 200"


def is_joined_text(text: bytes) -> bool:
    """Return whether a header or a reason phrase holds a status line."""
    return STATUS_LINE.search(text) is not None


def holds_answer_head(body: bytes, attempt_id_name: bytes) -> bool:
    """Return whether a body holds the head of another answer.

    A body may be about HTTP, so the header that all answers have must follow
    the status line.
    """
    match = STATUS_LINE.search(body)
    header = b"\n%b:" % attempt_id_name
    return match is not None and header in body[match.end() :].lower()


def may_hold_answer_start(body: bytes) -> bool:
    """Return whether a body holds a status line or ends within one.

    If bytes follow such a body, another answer is longer than what was left
    of the first one.
    """
    end = body[1 - len(SAMPLE) :]
    start = end.rfind(b"H")
    return is_joined_text(body) or (
        start >= 0 and is_joined_text(end[start:] + SAMPLE[len(end) - start :])
    )


def is_joined_event(event: bytes) -> bool:
    """Return whether a server-sent event holds the start of an answer.

    No line of an event begins with a status line, and the lines of events end
    without a carriage return.
    """
    match = STATUS_LINE.search(event)
    if match is None:
        return False
    begins_line = event[: match.start()][-1:] in (b"", b"\n")
    return begins_line or b"\r\n" in event[match.end() :]
