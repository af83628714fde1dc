"""Journal of the tokens accepted for one generation.

The journal accepts exactly the next index of the current attempt, so no
token can be missing, repeated or taken from another attempt.
"""

import enum
import hashlib

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.engines import messages

__all__ = ["Accepted", "EventId", "Journal", "parse_event_id"]

DIGEST_BYTES = 8


class Accepted(enum.Enum):
    """Tell what became of an event."""

    APPENDED = "appended"
    OLD_ATTEMPT = "old_attempt"
    REPEATED = "repeated"


class EventId(msgspec.Struct, frozen=True):
    """Name a position in a generation and the digest of all before it."""

    generation: ids.GenerationId
    index: int
    digest: str

    def __str__(self) -> str:
        return f"{self.generation}:{self.index}:{self.digest}"


def parse_event_id(text: str) -> EventId:
    """Return the parts of an event id.

    Raises
    ------
    JournalError : the text is not an event id
    """
    parts = text.split(":")
    if len(parts) != 3 or not parts[1].isdecimal():
        raise exceptions.JournalError(f"malformed event id: {text!r}")
    return EventId(ids.GenerationId(parts[0]), int(parts[1]), parts[2])


class Journal:
    """Keep the accepted tokens of one generation and their digest."""

    def __init__(self, generation: ids.GenerationId) -> None:
        self.generation = generation
        self.tokens: list[int] = []
        self.texts: list[str] = []
        self.attempt = ids.AttemptNumber(0)
        self._hash = _new_hash(generation)

    def __len__(self) -> int:
        return len(self.tokens)

    def begin_attempt(self) -> ids.AttemptNumber:
        """Return the number of a new attempt; older ones become late."""
        self.attempt = ids.AttemptNumber(self.attempt + 1)
        return self.attempt

    def append(self, batch: messages.TokenBatch) -> Accepted:
        """Append the new tokens of a batch.

        Raises
        ------
        JournalError : a token between the journal and the batch is missing
        """
        if batch.attempt != self.attempt:
            return Accepted.OLD_ATTEMPT
        known = len(self.tokens) - batch.index
        if known < 0:
            raise exceptions.JournalError(
                f"gap: next index is {len(self)}, not {batch.index}"
            )
        if len(batch.tokens) != len(batch.texts):
            raise exceptions.JournalError("tokens and texts differ in number")
        if known >= len(batch.tokens):
            return Accepted.REPEATED
        self._extend(batch.tokens[known:], batch.texts[known:])
        return Accepted.APPENDED

    def _extend(self, tokens: list[int], texts: list[str]) -> None:
        for token in tokens:
            self._hash.update(_token_bytes(token))
        self.tokens.extend(tokens)
        self.texts.extend(texts)

    def event_id(self) -> EventId:
        """Return the id of the position behind the last token."""
        return EventId(self.generation, len(self), self._hash.hexdigest())

    def agrees_with(self, event_id: EventId) -> bool:
        """Tell whether an event id names a prefix of this journal."""
        if event_id.generation != self.generation:
            return False
        if event_id.index > len(self):
            return False
        return self.digest_at(event_id.index) == event_id.digest

    def digest_at(self, index: int) -> str:
        """Return the digest of the first tokens."""
        if index == len(self):
            return self._hash.hexdigest()
        state = _new_hash(self.generation)
        for token in self.tokens[:index]:
            state.update(_token_bytes(token))
        return state.hexdigest()


def _new_hash(generation: ids.GenerationId) -> "hashlib.blake2b":
    return hashlib.blake2b(generation.encode(), digest_size=DIGEST_BYTES)


def _token_bytes(token: int) -> bytes:
    return token.to_bytes(4, "little")
