"""Events of a stream: split, number and order them."""

import enum

__all__ = [
    "Event",
    "EventSplitter",
    "SequenceStatus",
    "EventSequence",
    "is_comment_only",
]

Event = bytes
# An event this large is a broken stream, not an event.
MAX_EVENT_BYTES = 256 * 1024
EVENT_END = b"\n\n"


class EventSplitter:
    """Split bytes into complete server-sent events."""

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def pending(self) -> bool:
        """Tell whether part of an event has arrived."""
        return bool(self._rest.strip())

    def feed(self, content: bytes) -> list[Event]:
        """Return the events that are now complete.

        Raises
        ------
        ValueError : an event never ends
        """
        # The end of an event may lie across two pieces.
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
    """Tell what to do with an event."""

    NEXT = "next"
    REPEATED = "repeated"
    GAP = "gap"


class EventSequence:
    """Follow the ids of one answer over several runs."""

    def __init__(self, last: int | None = None) -> None:
        self.last = last

    def check(self, event: Event) -> SequenceStatus:
        """Tell whether an event goes on where the answer stands."""
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
    """Tell whether a block holds only comments and blank lines."""
    return all(
        not line or line.startswith(b":") for line in event.split(b"\n")
    )


def _event_id(event: Event) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
