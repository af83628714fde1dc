"""Store of release notes in the platform's table.

One index row maps each subject of a change to its open note, so that two
notes that change the same model cannot both be accepted.
"""

import enum
import uuid

import msgspec

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow import storage
from sassafrasflow.releases import note as notes

__all__ = ["NoteStore", "NoteSource", "NoteView", "StoredNote"]

NOTE_PREFIX = "note/"
INDEX_KEY = "notes/open"
SHARED_PREFIX = "note/"
SHARED_TTL_MS = 7 * 24 * 3_600_000
SCAN_PAGE_ROWS = 100
SHARED_EVENTS = 8


class OpenNotes(msgspec.Struct, frozen=True):
    """Index that maps each subject under change to its open note."""

    subjects: dict[str, ids.NoteId] = {}

    def with_note(self, record: notes.NoteRecord) -> "OpenNotes":
        """Return the index with the subjects of a note added."""
        added = dict.fromkeys(notes.subjects_of(record.body), record.id)
        return OpenNotes({**self.subjects, **added})

    def without_note(self, note_id: ids.NoteId) -> "OpenNotes":
        """Return the index with the subjects of a note removed."""
        return OpenNotes(
            {
                subject: open_note_id
                for subject, open_note_id in self.subjects.items()
                if open_note_id != note_id
            }
        )


class IndexRow(msgspec.Struct, frozen=True):
    """Index of open notes and the version of its row."""

    notes: OpenNotes
    row_version: int

    def condition(self) -> storage.Condition:
        """Return the condition that the row of the index is unchanged."""
        return storage.Condition(INDEX_KEY, self.row_version)


class StoredNote(msgspec.Struct, frozen=True):
    """Note and the version of its row."""

    record: notes.NoteRecord
    row_version: int

    def condition(self) -> storage.Condition:
        """Return the condition that the row of the note is unchanged."""
        return storage.Condition(note_key(self.record.id), self.row_version)


class NoteSource(enum.Enum):
    """Source of a note that is shown."""

    TABLE = "table"
    PEERS = "peers"


class NoteView(msgspec.Struct, frozen=True):
    """Note as one instance shows it, with its source and age."""

    record: notes.NoteRecord
    source: NoteSource
    age_s: float


class CachedNote(msgspec.Struct, frozen=True):
    """Stored note and the monotonic time at which it was received."""

    stored: StoredNote
    at: float


class NoteStore:
    """Read and write notes, and cache the notes that peers publish."""

    def __init__(
        self,
        table: storage.TableService,
        shared: membership.SharedState,
        clock: clocks.Clock,
    ) -> None:
        self._table = table
        self._shared = shared
        self._clock = clock
        self._cached: dict[ids.NoteId, CachedNote] = {}
        shared.subscribe(membership.Topic.EVIDENCE, self._handle_entry)

    async def index(self) -> IndexRow:
        """Return the index of open notes from the table."""
        row = await self._table.get(INDEX_KEY)
        if row is None:
            return IndexRow(OpenNotes(), 0)
        index = msgspec.json.decode(row.value, type=OpenNotes)
        return IndexRow(index, row.version)

    async def get(self, note_id: ids.NoteId) -> StoredNote | None:
        """Return a note from the table, or ``None`` if it does not exist."""
        row = await self._table.get(note_key(note_id))
        return None if row is None else self._decode(row)

    async def open_notes(self) -> list[StoredNote]:
        """Return the notes that have not ended, oldest first."""
        index = await self.index()
        note_ids = sorted(set(index.notes.subjects.values()))
        stored_notes = [await self.get(note_id) for note_id in note_ids]
        return sorted(
            (stored for stored in stored_notes if stored is not None),
            key=lambda stored: stored.record.submitted_at,
        )

    async def list_notes(self) -> list[notes.NoteRecord]:
        """Return all notes from the table."""
        records: list[notes.NoteRecord] = []
        after = ""
        while True:
            rows = await self._table.scan(
                NOTE_PREFIX, after=after, limit=SCAN_PAGE_ROWS
            )
            records += [self._decode(row).record for row in rows]
            if len(rows) < SCAN_PAGE_ROWS:
                return records
            after = rows[-1].key

    def cached(self, note_id: ids.NoteId) -> NoteView | None:
        """Return the cached state of a note, or ``None``."""
        cached = self._cached.get(note_id)
        if cached is None:
            return None
        age_s = self._clock.monotonic() - cached.at
        return NoteView(cached.stored.record, NoteSource.PEERS, age_s)

    async def create(self, record: notes.NoteRecord, index: IndexRow) -> None:
        """Store a new note and add it to the index.

        Raises
        ------
        TableConflict : the index has changed
        PlatformError : it is uncertain whether the note is stored
        """
        stored = StoredNote(record, 0)
        try:
            await self._table.transact(
                [stored.condition(), index.condition()],
                [
                    note_write(record),
                    index_write(index.notes.with_note(record)),
                ],
            )
        except exceptions.TableOutcomeUnknown:
            existing = await self.get(record.id)
            if existing is None or existing.record.token != record.token:
                raise
        self.cache_and_publish(StoredNote(record, 1))

    async def update(
        self,
        stored: StoredNote,
        record: notes.NoteRecord,
        condition: storage.Condition,
    ) -> None:
        """Replace a note if its row is unchanged and the condition holds."""
        await self._table.transact(
            [stored.condition(), condition], [note_write(record)]
        )
        self.cache_and_publish(StoredNote(record, stored.row_version + 1))

    async def end(
        self,
        stored: StoredNote,
        record: notes.NoteRecord,
        condition: storage.Condition,
    ) -> None:
        """Store a note that has ended and remove it from the index."""
        index = await self.index()
        await self._table.transact(
            [stored.condition(), index.condition(), condition],
            [
                note_write(record),
                index_write(index.notes.without_note(record.id)),
            ],
        )
        self.cache_and_publish(StoredNote(record, stored.row_version + 1))

    def cache_and_publish(self, stored: StoredNote) -> None:
        """Cache a note and publish it to the peers."""
        self._cache(stored)
        self._shared.publish(
            membership.Topic.EVIDENCE,
            SHARED_PREFIX + stored.record.id,
            msgspec.msgpack.encode(_abridged(stored)),
            version=stored.row_version,
            ttl_ms=SHARED_TTL_MS,
        )

    def _cache(self, stored: StoredNote) -> None:
        note_id = stored.record.id
        cached = self._cached.get(note_id)
        if cached and cached.stored.row_version > stored.row_version:
            return
        if cached and cached.stored.row_version == stored.row_version:
            # Peers publish abridged notes, so the cached note of the same
            # version, which may be complete, is kept.
            stored = cached.stored
        self._cached[note_id] = CachedNote(stored, self._clock.monotonic())

    def _handle_entry(self, entry: membership.Entry) -> None:
        if not entry.key.startswith(SHARED_PREFIX):
            return
        try:
            self._cache(msgspec.msgpack.decode(entry.value, type=StoredNote))
        except msgspec.MsgspecError:
            return

    def _decode(self, row: storage.Row) -> StoredNote:
        record = msgspec.json.decode(row.value, type=notes.NoteRecord)
        stored = StoredNote(record, row.version)
        self._cache(stored)
        return stored


def _abridged(stored: StoredNote) -> StoredNote:
    """Return a note with the latest events and a shorter report."""
    record = stored.record
    report = record.report
    if report is not None:
        lines = tuple(line for line in report.lines if line.scope == "all")
        report = msgspec.structs.replace(report, lines=lines)
    return StoredNote(
        msgspec.structs.replace(
            record, report=report, events=record.events[-SHARED_EVENTS:]
        ),
        stored.row_version,
    )


def note_key(note_id: ids.NoteId) -> str:
    """Return the key of a note's row."""
    return NOTE_PREFIX + note_id


def note_write(record: notes.NoteRecord) -> storage.Write:
    """Return the write that stores a note."""
    return storage.Write(note_key(record.id), msgspec.json.encode(record))


def index_write(index: OpenNotes) -> storage.Write:
    """Return the write that stores the index."""
    return storage.Write(INDEX_KEY, msgspec.json.encode(index))


def new_id() -> ids.NoteId:
    """Return an unused note id."""
    return ids.NoteId(uuid.uuid4().hex[:12])
