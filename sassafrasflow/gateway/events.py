"""Split the server-sent events of a stream and check their order."""

import enum

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
EVENT_END = b"\n\n"


class EventSplitter:
    """Split bytes into complete server-sent events."""

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def pending(self) -> bool:
        """Tell whether an incomplete event is buffered."""
        return bool(self._rest.strip())

    def feed(self, content: bytes) -> list[Event]:
        """Add received bytes and return the events that are now complete.

        Raises
        ------
        ValueError : an event is larger than MAX_EVENT_BYTES
        """
        # The two bytes that end an event may arrive in different pieces.
        searched = max(0, len(self._rest) - 1)
        self._rest += content
        found = []
        start = 0
        while True:
            end = self._rest.find(EVENT_END, max(start, searched))
            if end < 0:
                break
            end += len(EVENT_END)
            found.append(bytes(self._rest[start:end]))
            start = end
        del self._rest[:start]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise ValueError("event too large")
        return found


class SequenceStatus(enum.Enum):
    """Give the position of an event relative to the last delivered one."""

    NEXT = "next"
    REPEATED = "repeated"
    GAP = "gap"


class EventSequence:
    """Track the last delivered event id of an answer over several runs."""

    def __init__(self, last: int | None = None) -> None:
        self.last = last

    def check(self, event: Event) -> SequenceStatus:
        """Compare an event's id with the last delivered one."""
        number = _event_id(event)
        if number is None or self.last is None:
            return SequenceStatus.NEXT
        if number <= self.last:
            return SequenceStatus.REPEATED
        return (
            SequenceStatus.NEXT
            if number == self.last + 1
            else SequenceStatus.GAP
        )

    def advance(self, event: Event) -> None:
        """Record that an event was delivered."""
        number = _event_id(event)
        if number is not None:
            self.last = number


def is_comment_only(event: Event) -> bool:
    """Tell whether an event holds only comments and blank lines."""
    return all(
        not line or line.startswith(b":") for line in event.split(b"\n")
    )


def _event_id(event: Event) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
