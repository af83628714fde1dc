"""Page of text that shows a note to operators and their board."""

from collections.abc import Iterator
import datetime

from sassafrasflow.releases import note as notes
from sassafrasflow.releases import note_store as note_stores
from sassafrasflow.releases import report as reports

__all__ = ["note_text"]


def note_text(view: note_stores.NoteView) -> str:
    """Return a note, its progress and the reasons for it, as text."""
    return "\n".join(_lines(view)) + "\n"


def _lines(view: note_stores.NoteView) -> Iterator[str]:
    record = view.record
    yield f"Note {record.id}: {record.body.title}"
    yield f"State: {_state(record)}"
    yield f"Deadline: {_time(record.body.deadline)}"
    if view.source is note_stores.NoteSource.PEERS:
        yield (
            f"The platform does not answer; this was known "
            f"{view.age_s:.0f} s ago."
        )
    for move in record.moves:
        yield (
            f"Model {move.model}: {move.baseline or 'nothing'} to "
            f"{move.candidate or 'nothing'}"
            + (
                f", withdrawing {', '.join(move.withdrawn)}"
                if move.withdrawn
                else ""
            )
        )
    yield "What happened:"
    for event in record.events:
        yield f"  {_time(event.at)} {event.text}"
    if record.report is not None:
        yield f"Evidence at {_time(record.report.at)}:"
        yield from reports.to_text(record.report.lines)


def _state(record: notes.NoteRecord) -> str:
    name = record.state.value.replace("_", " ")
    if record.state is notes.NoteState.RUNNING:
        return f"{name}, {record.phase.value}"
    return f"{name}: {record.reason}" if record.reason else name


def _time(seconds: float) -> str:
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime("%Y-%m-%d %H:%M:%S UTC")
