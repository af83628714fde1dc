"""Split the server-sent events of a stream and check their order."""

import enum

from sassafrasflow.gateway import joined

__all__ = [
    "Event",
    "EventSplitter",
    "SequenceStatus",
    "EventSequence",
    "is_comment_only",
]

Event = bytes
# A larger event means that the stream is broken.
MAX_EVENT_BYTES = 256 * 1024
# Longer event ids are not numbers.
MAX_ID_DIGITS = 18
EVENT_END = b"\n\n"


class EventSplitter:
    """Split bytes into complete server-sent events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    @property
    def buffered_bytes(self) -> int:
        """Return the size of the incomplete event."""
        return len(self._buffer)

    @property
    def is_joined(self) -> bool:
        """Return whether the incomplete event holds the start of an answer."""
        return joined.is_joined_event(bytes(self._buffer))

    def feed(self, content: bytes) -> list[Event]:
        """Add received bytes and return the events that are now complete.

        Raises
        ------
        ValueError : an event is larger than MAX_EVENT_BYTES
        """
        # The two bytes that end an event may arrive in different pieces.
        searched = max(0, len(self._buffer) - 1)
        self._buffer += content
        complete = []
        start = 0
        while True:
            end = self._buffer.find(EVENT_END, max(start, searched))
            if end < 0:
                break
            end += len(EVENT_END)
            complete.append(bytes(self._buffer[start:end]))
            start = end
        del self._buffer[:start]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise ValueError("event too large")
        return complete


class SequenceStatus(enum.Enum):
    """Position of an event relative to the last delivered one."""

    NEXT = "next"
    REPEATED = "repeated"
    GAP = "gap"


class EventSequence:
    """Track the last delivered event id of an answer over several runs."""

    def __init__(self, last_id: int | None = None) -> None:
        self.last_id = last_id

    def check(self, event: Event) -> SequenceStatus:
        """Compare an event's id with the last delivered one."""
        event_id = _event_id(event)
        if event_id is None or self.last_id is None:
            return SequenceStatus.NEXT
        if event_id <= self.last_id:
            return SequenceStatus.REPEATED
        return (
            SequenceStatus.NEXT
            if event_id == self.last_id + 1
            else SequenceStatus.GAP
        )

    def advance(self, event: Event) -> None:
        """Record that an event was delivered."""
        event_id = _event_id(event)
        if event_id is not None:
            self.last_id = event_id


def is_comment_only(event: Event) -> bool:
    """Return whether an event holds only comments and blank lines."""
    return all(
        not line or line.startswith(b":") for line in event.split(b"\n")
    )


def _event_id(event: Event) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            is_number = text.isdigit() and len(text) <= MAX_ID_DIGITS
            return int(text) if is_number else None
    return None
