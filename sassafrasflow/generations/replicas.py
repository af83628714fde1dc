"""Replica store: records of generations that peers own.

The store does no I/O. It rejects updates from an owner that another one has
replaced, so that an owner that resumes after a suspension can't deliver any
more.
"""

from collections.abc import Iterator
import enum

import msgspec

from sassafrasflow import ids
from sassafrasflow.engines import messages
from sassafrasflow.generations import journal

__all__ = [
    "Record",
    "RecordHeader",
    "ReplicaAnswer",
    "ReplicaPolicy",
    "ReplicaStatus",
    "ReplicaStore",
    "ReplicaUpdate",
]

ScopedKey = tuple[ids.OrganisationId, ids.RequestKey]
HEADER_BYTES = 1_000


class ReplicaPolicy(msgspec.Struct, frozen=True):
    """Limits of time and memory for the records of peers."""

    kept_ms: int = 300_000
    max_bytes: int = 64 << 20


class RecordHeader(msgspec.Struct, frozen=True, array_like=True):
    """Metadata of a replicated generation: all but its tokens.

    ``owner`` is the peer address of the owner. ``target`` and ``attempt``
    identify the engine's stream, to which a new owner first tries to
    reattach.
    """

    organisation: ids.OrganisationId
    key: ids.RequestKey
    generation: ids.GenerationId
    fingerprint: str
    owner: str
    epoch: ids.Epoch
    version: ids.VersionId | None
    target: ids.TargetId | None
    attempt: ids.AttemptNumber
    length: int = 0
    finish: messages.FinishReason | None = None


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Replicated generation with all its tokens."""

    header: RecordHeader
    tokens: list[int]
    texts: list[str]


class ReplicaUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Update of a replica with the tokens from an index on.

    ``header`` is present when the replica may not have it yet.
    """

    generation: ids.GenerationId
    epoch: ids.Epoch
    index: int
    tokens: list[int]
    texts: list[str]
    finish: messages.FinishReason | None = None
    header: RecordHeader | None = None


class ReplicaStatus(enum.IntEnum):
    """Result of applying an update at a replica."""

    KEPT = 0
    UNKNOWN = 1
    SUPERSEDED = 2


class ReplicaAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer to one update; ``epoch`` is the highest one at the replica."""

    status: ReplicaStatus
    length: int
    epoch: ids.Epoch


class _StoredRecord:
    """One record in the store, and when it was last updated."""

    def __init__(self, header: RecordHeader) -> None:
        self.header = header
        self.journal = journal.Journal(header.generation, header.epoch)
        self.last_updated_at = 0.0

    @property
    def key(self) -> ScopedKey:
        return self.header.organisation, self.header.key

    @property
    def size_bytes(self) -> int:
        return HEADER_BYTES + self.journal.size_bytes

    def current_header(self) -> RecordHeader:
        return msgspec.structs.replace(
            self.header, length=len(self.journal), epoch=self.journal.epoch
        )


class ReplicaStore:
    """Store records within limits of time and memory.

    The least recently updated record is evicted first.
    """

    def __init__(self, policy: ReplicaPolicy) -> None:
        self._policy = policy
        self._by_generation: dict[ids.GenerationId, _StoredRecord] = {}
        self._by_key: dict[ScopedKey, _StoredRecord] = {}
        self.size_bytes = 0
        self.evicted = 0

    def __len__(self) -> int:
        return len(self._by_generation)

    def apply(self, update: ReplicaUpdate, now: float) -> ReplicaAnswer:
        """Apply an owner's update and return what is stored afterwards."""
        stored = self._by_generation.get(update.generation)
        if stored is not None and update.epoch < stored.journal.epoch:
            return self._answer(stored, ReplicaStatus.SUPERSEDED)
        if stored is None or update.epoch > stored.journal.epoch:
            # The tokens of a new owner may differ from those stored, so the
            # owner has to send all of them.
            if update.header is None or update.index:
                return ReplicaAnswer(ReplicaStatus.UNKNOWN, 0, update.epoch)
            stored = self._replace(update.header)
        if update.index > len(stored.journal):
            return self._answer(stored, ReplicaStatus.UNKNOWN)
        self._extend(stored, update)
        self._mark_updated(stored, now)
        return self._answer(stored, ReplicaStatus.KEPT)

    def put(self, record: Record, now: float) -> None:
        """Store a whole record unless that of a later owner is stored."""
        header = record.header
        self.apply(
            ReplicaUpdate(
                header.generation,
                header.epoch,
                0,
                record.tokens,
                record.texts,
                header.finish,
                header,
            ),
            now,
        )

    def find(
        self, organisation: ids.OrganisationId, key: ids.RequestKey
    ) -> RecordHeader | None:
        """Return the header of the record of a request, if there is one."""
        stored = self._by_key.get((organisation, key))
        return stored.current_header() if stored is not None else None

    def take_over(
        self,
        organisation: ids.OrganisationId,
        key: ids.RequestKey,
        *,
        prior: ids.Epoch,
        epoch: ids.Epoch,
    ) -> Record | None:
        """Return a record for a new owner and fence off the old one.

        ``None`` means that there is no record, or that its owner is not the
        prior one any more.
        """
        stored = self._by_key.get((organisation, key))
        if stored is None:
            return None
        if stored.header.finish is None:
            if stored.journal.epoch != prior:
                return None
            stored.journal.change_owner(epoch)
        return Record(
            stored.current_header(),
            stored.journal.tokens,
            stored.journal.texts,
        )

    def expire(self, now: float) -> None:
        """Remove the records that were not updated within ``kept_ms``."""
        oldest = now - self._policy.kept_ms / 1000
        for stored in list(self._by_generation.values()):
            if stored.last_updated_at > oldest:
                return
            self._remove(stored)

    def _extend(self, stored: _StoredRecord, update: ReplicaUpdate) -> None:
        if update.header is not None:
            stored.header = update.header
        if update.finish is not None:
            stored.header = msgspec.structs.replace(
                stored.header, finish=update.finish
            )
        overlap = len(stored.journal) - update.index
        before = stored.size_bytes
        stored.journal.extend(update.tokens[overlap:], update.texts[overlap:])
        self.size_bytes += stored.size_bytes - before

    def _replace(self, header: RecordHeader) -> _StoredRecord:
        for old in list(self._same_request(header)):
            self._remove(old)
        stored = _StoredRecord(header)
        self._by_generation[header.generation] = stored
        self._by_key[stored.key] = stored
        self.size_bytes += stored.size_bytes
        return stored

    def _same_request(self, header: RecordHeader) -> Iterator[_StoredRecord]:
        by_key = self._by_key.get((header.organisation, header.key))
        if by_key is not None:
            yield by_key
        by_generation = self._by_generation.get(header.generation)
        if by_generation is not None and by_generation is not by_key:
            yield by_generation

    def _mark_updated(self, stored: _StoredRecord, now: float) -> None:
        stored.last_updated_at = now
        # The order of the dictionary is the order of eviction, so the record
        # moves to its end.
        generation = stored.header.generation
        self._by_generation[generation] = self._by_generation.pop(generation)
        while self.size_bytes > self._policy.max_bytes and len(self) > 1:
            self._remove(next(iter(self._by_generation.values())))
            self.evicted += 1

    def _remove(self, stored: _StoredRecord) -> None:
        self._by_generation.pop(stored.header.generation, None)
        if self._by_key.get(stored.key) is stored:
            del self._by_key[stored.key]
        self.size_bytes -= stored.size_bytes

    @staticmethod
    def _answer(stored: _StoredRecord, status: ReplicaStatus) -> ReplicaAnswer:
        return ReplicaAnswer(status, len(stored.journal), stored.journal.epoch)
