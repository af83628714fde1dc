"""Publisher of new configuration revisions to the table.

A revision is accepted once its transaction is known to be durable. Each
revision writes a history row with its author. After a lost answer, that row
shows whether the write took effect; after a lost race, it names the winner.
"""

from collections.abc import Callable
from collections.abc import Sequence
import uuid

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import storage
from sassafrasflow.configuration import document as documents
from sassafrasflow.configuration import keeper as keepers

__all__ = ["ConfigurationPublisher", "Edit", "RevisionRecord"]

HISTORY_PREFIX = "configuration/revision/"
MAX_HISTORY_ROWS = 10_000
READ_BACK_ATTEMPTS = 3

Edit = Callable[[documents.Document], documents.Document]


class RevisionRecord(msgspec.Struct, frozen=True):
    """Hold the author of a revision and the token of its write."""

    revision: ids.Revision
    author: str
    token: str


class ConfigurationPublisher:
    """Write new revisions with conditional transactions."""

    def __init__(
        self,
        table: storage.TableService,
        keeper: keepers.ConfigurationKeeper,
    ) -> None:
        self._table = table
        self._keeper = keeper

    async def publish(
        self,
        edit: Edit,
        author: str,
        conditions: Sequence[storage.Condition] = (),
        writes: Sequence[storage.Write] = (),
    ) -> documents.Document:
        """Apply an edit to the stored document and return the new one.

        Further conditions and writes are part of the same transaction.

        Raises
        ------
        ConfigurationConflict : another author wrote the revision first
        TableConflict : one of the further conditions failed
        TableUnavailable : nothing was written
        TableOutcomeUnknown : the outcome could not be read back
        """
        row = await self._table.get(keepers.CURRENT_ROW)
        stored = (
            keepers.decode_document(row.value) if row else self._keeper.initial
        )
        new = msgspec.structs.replace(
            edit(stored),
            revision=keepers.next_revision(stored),
            author=author,
            token=uuid.uuid4().hex,
        )
        await self._write(new, row.version if row else 0, conditions, writes)
        self._keeper.adopt(new)
        return new

    async def _write(
        self,
        new: documents.Document,
        row_version: int,
        conditions: Sequence[storage.Condition],
        writes: Sequence[storage.Write],
    ) -> None:
        history = history_key(new.revision)
        try:
            await self._table.transact(
                [
                    storage.Condition(keepers.CURRENT_ROW, row_version),
                    storage.Condition(history, 0),
                    *conditions,
                ],
                [*_build_writes(new), *writes],
            )
        except exceptions.TableConflict:
            await self._raise_if_conflict(new)
            raise
        except exceptions.TableOutcomeUnknown:
            if not await self._confirm_write(new):
                raise

    async def _raise_if_conflict(self, new: documents.Document) -> None:
        row = await self._table.get(history_key(new.revision))
        if row is None:
            return
        record = msgspec.json.decode(row.value, type=RevisionRecord)
        raise exceptions.ConfigurationConflict(
            new.revision, record.author
        ) from None

    async def _confirm_write(self, new: documents.Document) -> bool:
        row = None
        for attempt in range(READ_BACK_ATTEMPTS):
            try:
                row = await self._table.get(history_key(new.revision))
                break
            except exceptions.PlatformError:
                if attempt == READ_BACK_ATTEMPTS - 1:
                    raise exceptions.TableOutcomeUnknown(
                        f"revision {new.revision} could not be read back"
                    ) from None
        if row is None:
            return False
        record = msgspec.json.decode(row.value, type=RevisionRecord)
        if record.token == new.token:
            return True
        raise exceptions.ConfigurationConflict(
            new.revision, record.author
        ) from None


def history_key(revision: ids.Revision) -> str:
    """Return the key of a revision's history row."""
    return f"{HISTORY_PREFIX}{revision:012d}"


def _build_writes(new: documents.Document) -> list[storage.Write]:
    record = RevisionRecord(new.revision, new.author, new.token)
    writes = [
        storage.Write(keepers.CURRENT_ROW, msgspec.json.encode(new)),
        storage.Write(history_key(new.revision), msgspec.json.encode(record)),
    ]
    expired = new.revision - MAX_HISTORY_ROWS
    if expired > 0:
        row = history_key(ids.Revision(expired))
        writes.append(storage.Write(row, None))
    return writes
