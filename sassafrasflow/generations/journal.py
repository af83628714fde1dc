"""Journal of the tokens accepted for one generation.

The journal accepts only the next index, and only from the current attempt
of the current owner. Therefore no token can be missing, be repeated or come
from another attempt.
"""

import array
from collections.abc import Sequence
import enum
import hashlib

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.engines import messages

__all__ = [
    "AcceptResult",
    "EventId",
    "FIRST_EPOCH",
    "Journal",
    "TOKEN_BYTES",
    "attempt_base",
    "parse_event_id",
]

DIGEST_BYTES = 8
FIRST_EPOCH = ids.Epoch(1)
# Range of attempt numbers of one owner: attempts of different owners must
# not share a number.
ATTEMPTS_PER_EPOCH = 1 << 16
# Estimated memory of one stored token: its number, its text and two list
# slots.
TOKEN_BYTES = 112


class AcceptResult(enum.Enum):
    """Result of offering an engine event to a generation."""

    APPENDED = "appended"
    OLD_ATTEMPT = "old_attempt"
    OLD_OWNER = "old_owner"
    REPEATED = "repeated"


class EventId(msgspec.Struct, frozen=True):
    """Position in a generation, with a digest of the tokens before it."""

    generation: ids.GenerationId
    index: int
    digest: str

    def __str__(self) -> str:
        return f"{self.generation}:{self.index}:{self.digest}"


def parse_event_id(text: str) -> EventId:
    """Parse an event id.

    Raises
    ------
    JournalError : the text is not an event id
    """
    parts = text.split(":")
    if len(parts) != 3 or not parts[1].isdecimal():
        raise exceptions.JournalError(f"malformed event id: {text!r}")
    return EventId(ids.GenerationId(parts[0]), int(parts[1]), parts[2])


def attempt_base(epoch: ids.Epoch) -> ids.AttemptNumber:
    """Return the number just below that of an owner's first attempt."""
    return ids.AttemptNumber(epoch * ATTEMPTS_PER_EPOCH)


class Journal:
    """Store the accepted tokens of one generation and their digest."""

    def __init__(
        self,
        generation: ids.GenerationId,
        epoch: ids.Epoch = FIRST_EPOCH,
    ) -> None:
        self.generation = generation
        self.epoch = epoch
        self.tokens: list[int] = []
        self.texts: list[str] = []
        self.attempt = attempt_base(epoch)
        self.released = 0
        self._released_hash = _new_hash(generation)

    def __len__(self) -> int:
        return len(self.tokens)

    @property
    def size_bytes(self) -> int:
        """Return the estimated memory of the tokens in bytes."""
        return len(self.tokens) * TOKEN_BYTES

    def begin_attempt(self) -> ids.AttemptNumber:
        """Return the number of a new attempt.

        Events of older attempts are ignored from then on.
        """
        lowest = max(self.attempt, attempt_base(self.epoch))
        self.attempt = ids.AttemptNumber(lowest + 1)
        return self.attempt

    def change_owner(self, epoch: ids.Epoch) -> None:
        """Fence off every owner with an epoch below the given one.

        Raises
        ------
        JournalError : the epoch is not above the current one
        """
        if epoch <= self.epoch:
            raise exceptions.JournalError(
                f"epoch {epoch} is not above {self.epoch}"
            )
        self.epoch = epoch

    def append(
        self, batch: messages.TokenBatch, epoch: ids.Epoch
    ) -> AcceptResult:
        """Append the tokens of a batch that the journal does not have yet.

        ``epoch`` is the epoch of the owner that received the batch.

        Raises
        ------
        JournalError : a token between the journal and the batch is missing,
            or the batch has not as many texts as tokens
        """
        if epoch != self.epoch:
            return AcceptResult.OLD_OWNER
        if batch.attempt != self.attempt:
            return AcceptResult.OLD_ATTEMPT
        overlap = len(self.tokens) - batch.index
        if overlap < 0:
            raise exceptions.JournalError(
                f"gap: next index is {len(self)}, not {batch.index}"
            )
        if len(batch.tokens) != len(batch.texts):
            raise exceptions.JournalError("tokens and texts differ in number")
        if overlap >= len(batch.tokens):
            return AcceptResult.REPEATED
        self.extend(batch.tokens[overlap:], batch.texts[overlap:])
        return AcceptResult.APPENDED

    def extend(self, tokens: Sequence[int], texts: Sequence[str]) -> None:
        """Append tokens that have already been checked."""
        self.tokens.extend(tokens)
        self.texts.extend(texts)

    def event_id(self) -> EventId:
        """Return the event id after the last token."""
        return EventId(self.generation, len(self), self.digest_at(len(self)))

    def release(self, index: int) -> None:
        """Allow delivery of the tokens before an index."""
        index = min(index, len(self))
        if index > self.released:
            new_tokens = self.tokens[self.released : index]
            self._released_hash.update(_token_bytes(new_tokens))
            self.released = index

    def released_id(self) -> EventId:
        """Return the event id after the last released token."""
        digest = self._released_hash.hexdigest()
        return EventId(self.generation, self.released, digest)

    def agrees_with(self, event_id: EventId) -> bool:
        """Return whether an event id identifies a prefix of this journal."""
        if event_id.generation != self.generation:
            return False
        if event_id.index > len(self):
            return False
        return self.digest_at(event_id.index) == event_id.digest

    def digest_at(self, index: int) -> str:
        """Return the digest of the tokens before an index."""
        if index == self.released:
            return self._released_hash.hexdigest()
        state = _new_hash(self.generation)
        state.update(_token_bytes(self.tokens[:index]))
        return state.hexdigest()


def _new_hash(generation: ids.GenerationId) -> "hashlib.blake2b":
    return hashlib.blake2b(generation.encode(), digest_size=DIGEST_BYTES)


def _token_bytes(tokens: Sequence[int]) -> bytes:
    return array.array("I", tokens).tobytes()
