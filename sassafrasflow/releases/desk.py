"""Desk that stores release notes in the platform's table."""

import uuid

import msgspec

from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import platform
from sassafrasflow.releases import note as notes

__all__ = ["NoteDesk"]

NOTE_PREFIX = "note/"


class NoteDesk:
    """Accept notes once they are durable, and show them."""

    def __init__(
        self,
        table: platform.TableService,
        keeper: configuration.ConfigurationKeeper,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._keeper = keeper
        self._clock = clock
        self._known: dict[ids.NoteId, notes.NoteRecord] = {}

    async def submit(self, body: notes.NoteBody) -> notes.NoteRecord:
        """Store a note and return its record.

        Raises
        ------
        ExceptionGroup : one :class:`NoteError` for each fault
        PlatformError : the note is not known to be durable
        """
        faults = notes.faults_of(
            body, self._keeper.current, self._clock.wall()
        )
        if faults:
            raise ExceptionGroup("note", faults)
        record = notes.NoteRecord(
            id=ids.NoteId(uuid.uuid4().hex[:12]),
            body=body,
            state=notes.NoteState.ACCEPTED,
            revision=self._keeper.current.revision,
            submitted_at=self._clock.wall(),
            token=uuid.uuid4().hex,
        )
        await self._store(record)
        self._known[record.id] = record
        return record

    async def _store(self, record: notes.NoteRecord) -> None:
        key = NOTE_PREFIX + record.id
        write = platform.Write(key, msgspec.json.encode(record))
        try:
            await self._table.transact([platform.Condition(key, 0)], [write])
        except exceptions.TableOutcomeUnknown:
            row = await self._table.get(key)
            if row is None:
                raise

    async def show(self, note_id: ids.NoteId) -> notes.NoteRecord | None:
        """Return a note, from memory when the table is not reachable."""
        try:
            row = await self._table.get(NOTE_PREFIX + note_id)
        except exceptions.PlatformError:
            return self._known.get(note_id)
        if row is None:
            return None
        record = msgspec.json.decode(row.value, type=notes.NoteRecord)
        self._known[note_id] = record
        return record

    async def list_notes(self) -> list[notes.NoteRecord]:
        """Return the stored notes."""
        rows = await self._table.scan(NOTE_PREFIX)
        return [
            msgspec.json.decode(row.value, type=notes.NoteRecord)
            for row in rows
        ]
