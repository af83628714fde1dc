"""Manager of the release notes that operators submit, read and take back."""

import uuid

import msgspec

from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import storage
from sassafrasflow.releases import changes
from sassafrasflow.releases import note as notes
from sassafrasflow.releases import note_store as note_stores
from sassafrasflow.releases import validation

__all__ = ["NoteManager"]

SUBMIT_ATTEMPTS = 5


class NoteManager:
    """Handle the requests of operators about release notes."""

    def __init__(
        self,
        note_store: note_stores.NoteStore,
        publisher: configuration.ConfigurationPublisher,
        keeper: configuration.ConfigurationKeeper,
        clock: clocks.Clock,
        min_duration_s: float = 0.0,
    ) -> None:
        self._note_store = note_store
        self._publisher = publisher
        self._keeper = keeper
        self._clock = clock
        self._min_duration_s = min_duration_s

    async def submit(self, body: notes.NoteBody) -> notes.NoteRecord:
        """Validate and store a note, and return its record.

        Raises
        ------
        ExceptionGroup : one :class:`NoteError` for each fault of the note
        PlatformError : it is uncertain whether the note is stored
        """
        for _ in range(SUBMIT_ATTEMPTS):
            await self._keeper.refresh()
            index = await self._note_store.index()
            record = self._accept(body, index)
            try:
                await self._note_store.create(record, index)
            except exceptions.TableConflict:
                continue
            return record
        raise exceptions.TableConflict("other notes keep getting in first")

    def _accept(
        self, body: notes.NoteBody, index: note_stores.IndexRow
    ) -> notes.NoteRecord:
        document = self._keeper.current
        now = self._clock.wall()
        faults = validation.faults_of(
            body, document, index.notes.subjects, now, self._min_duration_s
        )
        if faults:
            raise ExceptionGroup("note", faults)
        return notes.NoteRecord(
            id=note_stores.new_id(),
            body=body,
            state=notes.NoteState.ACCEPTED,
            revision=document.revision,
            submitted_at=now,
            token=uuid.uuid4().hex,
            events=(notes.Event(now, "accepted"),),
        )

    async def show(self, note_id: ids.NoteId) -> note_stores.NoteView | None:
        """Return a note, from the cache if the table is unavailable.

        Raises
        ------
        PlatformError : the table is unavailable and the note is not cached
        """
        try:
            stored = await self._note_store.get(note_id)
        except exceptions.PlatformError:
            cached = self._note_store.cached(note_id)
            if cached is None:
                raise
            return cached
        if stored is None:
            return None
        return note_stores.NoteView(
            stored.record, note_stores.NoteSource.TABLE, 0.0
        )

    async def list_notes(self) -> list[notes.NoteRecord]:
        """Return all notes.

        Raises
        ------
        PlatformError : the table, which alone has all notes, is unavailable
        """
        return await self._note_store.list_notes()

    async def take_back(self, note_id: ids.NoteId) -> notes.NoteRecord | None:
        """Take a note back at once, or return ``None`` if it does not exist.

        Raises
        ------
        ExceptionGroup : one :class:`NoteError`: the note ended or is finishing
        ConfigurationConflict : another change came first; try again
        PlatformError : it is uncertain whether the outcome is stored
        """
        stored = await self._note_store.get(note_id)
        if stored is None:
            return None
        record = stored.record
        if record.state.ended or record.phase is notes.Phase.FINISHING:
            phase = record.phase if not record.state.ended else record.state
            fault = exceptions.NoteError(
                f"note {note_id} is {phase.value} already"
            )
            raise ExceptionGroup("note", [fault])
        return await take_back_note(
            self._note_store,
            self._publisher,
            stored,
            "an operator took the note back",
            self._clock.wall(),
        )


async def take_back_note(
    note_store: note_stores.NoteStore,
    publisher: configuration.ConfigurationPublisher,
    stored: note_stores.StoredNote,
    reason: str,
    now: float,
    *conditions: storage.Condition,
) -> notes.NoteRecord:
    """Restore the configuration and end a note in one transaction.

    Raises
    ------
    ConfigurationConflict : another change came first
    TableConflict : the note has changed, or a condition failed
    """
    record = stored.record
    index = await note_store.index()
    ended = msgspec.structs.replace(
        record.with_event(now, f"taken back: {reason}"),
        state=notes.NoteState.TAKEN_BACK,
        reason=reason,
        ended_at=now,
    )
    await publisher.publish(
        lambda document: changes.take_back(record, document),
        f"note {record.id}",
        [stored.condition(), index.condition(), *conditions],
        [
            note_stores.note_write(ended),
            note_stores.index_write(index.notes.without_note(record.id)),
        ],
    )
    note_store.cache_and_publish(
        note_stores.StoredNote(ended, stored.row_version + 1)
    )
    return ended
