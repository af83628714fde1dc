"""Replica store: what this instance keeps of its peers' generations.

The store does no I/O. It refuses updates of an owner that another one has
replaced, so a paused owner that comes back can't deliver any more.
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

RecordKey = tuple[ids.OrganisationId, ids.RequestKey]
HEADER_BYTES = 1_000


class ReplicaPolicy(msgspec.Struct, frozen=True):
    """Bound what is kept for peers."""

    kept_ms: int = 300_000
    max_bytes: int = 64 << 20


class RecordHeader(msgspec.Struct, frozen=True, array_like=True):
    """Tell all of a replicated generation but its tokens.

    ``owner`` is the owner's peer address. ``target`` and ``attempt`` name
    the engine's stream, which a new owner tries first.
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
    """Hold a whole replicated generation."""

    header: RecordHeader
    tokens: list[int]
    texts: list[str]


class ReplicaUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Carry the tokens from an index on.

    ``header`` is present when the replica may not know it yet.
    """

    generation: ids.GenerationId
    epoch: ids.Epoch
    index: int
    tokens: list[int]
    texts: list[str]
    finish: messages.FinishReason | None = None
    header: RecordHeader | None = None


class ReplicaStatus(enum.IntEnum):
    """Tell what a replica did with an update."""

    KEPT = 0
    UNKNOWN = 1
    SUPERSEDED = 2


class ReplicaAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answer one update; ``epoch`` is the highest that the replica knows."""

    status: ReplicaStatus
    length: int
    epoch: ids.Epoch


class _Kept:
    """Hold one record in the store."""

    def __init__(self, header: RecordHeader) -> None:
        self.header = header
        self.journal = journal.Journal(header.generation, header.epoch)
        self.touched_at = 0.0

    @property
    def key(self) -> RecordKey:
        return self.header.organisation, self.header.key

    @property
    def size_bytes(self) -> int:
        return HEADER_BYTES + self.journal.size_bytes

    def current_header(self) -> RecordHeader:
        return msgspec.structs.replace(
            self.header, length=len(self.journal), epoch=self.journal.epoch
        )


class ReplicaStore:
    """Keep records, oldest first, within a time and a number of bytes."""

    def __init__(self, policy: ReplicaPolicy) -> None:
        self._policy = policy
        self._by_generation: dict[ids.GenerationId, _Kept] = {}
        self._by_key: dict[RecordKey, _Kept] = {}
        self.size_bytes = 0
        self.evicted = 0

    def __len__(self) -> int:
        return len(self._by_generation)

    def apply(self, update: ReplicaUpdate, now: float) -> ReplicaAnswer:
        """Apply an owner's update and tell what is kept now."""
        kept = self._by_generation.get(update.generation)
        if kept is not None and update.epoch < kept.journal.epoch:
            return self._answer(kept, ReplicaStatus.SUPERSEDED)
        if kept is None or update.epoch > kept.journal.epoch:
            # A new owner's tokens may differ, so it has to send them all.
            if update.header is None or update.index:
                return ReplicaAnswer(ReplicaStatus.UNKNOWN, 0, update.epoch)
            kept = self._replace(update.header)
        if update.index > len(kept.journal):
            return self._answer(kept, ReplicaStatus.UNKNOWN)
        self._extend(kept, update)
        self._touch(kept, now)
        return self._answer(kept, ReplicaStatus.KEPT)

    def put(self, record: Record, now: float) -> None:
        """Keep a whole record, unless a later owner's is kept."""
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
        """Return the header of a record."""
        kept = self._by_key.get((organisation, key))
        return kept.current_header() if kept is not None else None

    def take(
        self,
        organisation: ids.OrganisationId,
        key: ids.RequestKey,
        *,
        prior: ids.Epoch,
        epoch: ids.Epoch,
    ) -> Record | None:
        """Return a record for a new owner and shut out the old one.

        ``None`` means that there is no record, or that its owner is not the
        prior one any more.
        """
        kept = self._by_key.get((organisation, key))
        if kept is None:
            return None
        if kept.header.finish is None:
            if kept.journal.epoch != prior:
                return None
            kept.journal.change_owner(epoch)
        return Record(
            kept.current_header(), kept.journal.tokens, kept.journal.texts
        )

    def expire(self, now: float) -> None:
        """Forget the records that nobody has touched for long."""
        oldest = now - self._policy.kept_ms / 1000
        for kept in list(self._by_generation.values()):
            if kept.touched_at > oldest:
                return
            self._forget(kept)

    def _extend(self, kept: _Kept, update: ReplicaUpdate) -> None:
        if update.header is not None:
            kept.header = update.header
        if update.finish is not None:
            kept.header = msgspec.structs.replace(
                kept.header, finish=update.finish
            )
        known = len(kept.journal) - update.index
        before = kept.size_bytes
        kept.journal.extend(update.tokens[known:], update.texts[known:])
        self.size_bytes += kept.size_bytes - before

    def _replace(self, header: RecordHeader) -> _Kept:
        for old in list(self._same_request(header)):
            self._forget(old)
        kept = _Kept(header)
        self._by_generation[header.generation] = kept
        self._by_key[kept.key] = kept
        self.size_bytes += kept.size_bytes
        return kept

    def _same_request(self, header: RecordHeader) -> Iterator[_Kept]:
        by_key = self._by_key.get((header.organisation, header.key))
        if by_key is not None:
            yield by_key
        by_generation = self._by_generation.get(header.generation)
        if by_generation is not None and by_generation is not by_key:
            yield by_generation

    def _touch(self, kept: _Kept, now: float) -> None:
        kept.touched_at = now
        # The order of the dictionary is the order of eviction.
        generation = kept.header.generation
        self._by_generation[generation] = self._by_generation.pop(generation)
        while self.size_bytes > self._policy.max_bytes and len(self) > 1:
            self._forget(next(iter(self._by_generation.values())))
            self.evicted += 1

    def _forget(self, kept: _Kept) -> None:
        self._by_generation.pop(kept.header.generation, None)
        if self._by_key.get(kept.key) is kept:
            del self._by_key[kept.key]
        self.size_bytes -= kept.size_bytes

    @staticmethod
    def _answer(kept: _Kept, status: ReplicaStatus) -> ReplicaAnswer:
        return ReplicaAnswer(status, len(kept.journal), kept.journal.epoch)
