"""Journal of the tokens accepted for one generation.

The journal accepts exactly the next index, and only from the current
attempt of the current owner, so no token can be missing, repeated or taken
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
# Attempts of different owners must not share a number.
ATTEMPTS_PER_EPOCH = 1 << 16
# Memory of one kept token: its number, its text and two list slots.
TOKEN_BYTES = 112


class AcceptResult(enum.Enum):
    """Tell what became of an event."""

    APPENDED = "appended"
    OLD_ATTEMPT = "old_attempt"
    OLD_OWNER = "old_owner"
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


def attempt_base(epoch: ids.Epoch) -> ids.AttemptNumber:
    """Return the number below the first attempt of an owner."""
    return ids.AttemptNumber(epoch * ATTEMPTS_PER_EPOCH)


class Journal:
    """Keep the accepted tokens of one generation and their digest."""

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
        """Return an estimate of the memory that the tokens take."""
        return len(self.tokens) * TOKEN_BYTES

    def begin_attempt(self) -> ids.AttemptNumber:
        """Return the number of a new attempt; older ones become late."""
        lowest = max(self.attempt, attempt_base(self.epoch))
        self.attempt = ids.AttemptNumber(lowest + 1)
        return self.attempt

    def change_owner(self, epoch: ids.Epoch) -> None:
        """Shut out every owner below an epoch.

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
        """Append the new tokens of a batch that an owner received.

        Raises
        ------
        JournalError : a token between the journal and the batch is missing
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
        """Append tokens that were checked before."""
        self.tokens.extend(tokens)
        self.texts.extend(texts)

    def event_id(self) -> EventId:
        """Return the id of the position behind the last token."""
        return EventId(self.generation, len(self), self.digest_at(len(self)))

    def release(self, index: int) -> None:
        """Allow the delivery of the first tokens."""
        index = min(index, len(self))
        if index > self.released:
            new_tokens = self.tokens[self.released : index]
            self._released_hash.update(_token_bytes(new_tokens))
            self.released = index

    def released_id(self) -> EventId:
        """Return the id of the position behind the last released token."""
        digest = self._released_hash.hexdigest()
        return EventId(self.generation, self.released, digest)

    def agrees_with(self, event_id: EventId) -> bool:
        """Tell whether an event id names a prefix of this journal."""
        if event_id.generation != self.generation:
            return False
        if event_id.index > len(self):
            return False
        return self.digest_at(event_id.index) == event_id.digest

    def digest_at(self, index: int) -> str:
        """Return the digest of the first tokens."""
        if index == self.released:
            return self._released_hash.hexdigest()
        state = _new_hash(self.generation)
        state.update(_token_bytes(self.tokens[:index]))
        return state.hexdigest()


def _new_hash(generation: ids.GenerationId) -> "hashlib.blake2b":
    return hashlib.blake2b(generation.encode(), digest_size=DIGEST_BYTES)


def _token_bytes(tokens: Sequence[int]) -> bytes:
    return array.array("I", tokens).tobytes()
