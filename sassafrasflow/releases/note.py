"""Release note: the changes that an operator asks for, with a deadline."""

import enum

import msgspec

from sassafrasflow import configuration
from sassafrasflow import ids
from sassafrasflow.releases import report as reports

__all__ = [
    "Change",
    "ChangeKind",
    "Event",
    "Move",
    "NoteBody",
    "NoteRecord",
    "NoteState",
    "Phase",
    "Subject",
    "moves_of",
    "subjects_of",
]


class ChangeKind(enum.Enum):
    """Tell what happens to the subject of a change."""

    ADD = "add"
    CHANGE = "change"
    WITHDRAW = "withdraw"


class Subject(enum.Enum):
    """Tell what a change is about."""

    VERSION = "version"
    MODEL = "model"
    SETTING = "setting"


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one change of a note."""

    kind: ChangeKind
    subject: Subject
    model: ids.ModelName | None = None
    version: ids.VersionId | None = None
    setting: str | None = None
    value: float | None = None


class NoteBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold what an operator submits; the deadline is Unix time."""

    title: str
    changes: tuple[Change, ...]
    deadline: float


class NoteState(enum.Enum):
    """Tell how far a note has come."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    DONE = "done"
    TAKEN_BACK = "taken_back"

    @property
    def ended(self) -> bool:
        """Tell whether nothing more happens to the note."""
        return self in (NoteState.DONE, NoteState.TAKEN_BACK)


class Phase(enum.Enum):
    """Name the part of a release that a note is in."""

    LOADING = "loading"
    RAMPING = "ramping"
    WATCHING = "watching"
    FINISHING = "finishing"


class Event(msgspec.Struct, frozen=True):
    """Record what happened to a note, at a Unix time."""

    at: float
    text: str


class Move(msgspec.Struct, frozen=True):
    """Move the work of one model to a candidate version.

    Without a candidate the move only withdraws versions.
    """

    model: ids.ModelName
    candidate: ids.VersionId | None
    baseline: ids.VersionId | None
    withdrawn: tuple[ids.VersionId, ...] = ()


class NoteRecord(msgspec.Struct, frozen=True):
    """Hold a note and what became of it.

    ``before`` holds the shares and settings that a withdrawal restores.
    """

    id: ids.NoteId
    body: NoteBody
    state: NoteState
    revision: ids.Revision
    submitted_at: float
    token: str
    reason: str = ""
    phase: Phase = Phase.LOADING
    step: int = -1
    step_started_at: float = 0.0
    cautions: int = 0
    started_at: float = 0.0
    ended_at: float | None = None
    moves: tuple[Move, ...] = ()
    before: dict[ids.ModelName, configuration.Model] = {}
    settings_before: dict[str, float | None] = {}
    events: tuple[Event, ...] = ()
    report: reports.Report | None = None

    def before_shares(
        self, model: ids.ModelName
    ) -> dict[ids.VersionId, float]:
        """Return the shares of a model before the note."""
        previous = self.before.get(model)
        return {} if previous is None else previous.shares

    def with_event(self, at: float, text: str) -> "NoteRecord":
        """Return the record with one more event."""
        event = Event(at, text)
        return msgspec.structs.replace(self, events=(*self.events, event))


def subjects_of(body: NoteBody) -> set[str]:
    """Return what a note changes, as names that other notes may share."""
    return {
        f"setting {change.setting}"
        if change.subject is Subject.SETTING
        else f"model {change.model}"
        for change in body.changes
    }


def moves_of(
    body: NoteBody, document: configuration.Document
) -> tuple[Move, ...]:
    """Return the move of each model that a note names."""
    models = {
        change.model: None
        for change in body.changes
        if change.subject is not Subject.SETTING and change.model is not None
    }
    return tuple(_move_of(model, body, document) for model in models)


def _move_of(
    model: ids.ModelName, body: NoteBody, document: configuration.Document
) -> Move:
    mine = [change for change in body.changes if change.model == model]
    candidate = None
    withdrawn: list[ids.VersionId] = []
    current = document.models.get(model)
    for change in mine:
        if change.kind is not ChangeKind.WITHDRAW:
            candidate = change.version
        elif change.version is not None:
            withdrawn.append(change.version)
        elif current is not None:
            withdrawn += current.shares
    shares = document.shares(model)
    others = {ver: part for ver, part in shares.items() if ver != candidate}
    baseline = max(others, key=lambda ver: others[ver], default=None)
    return Move(model, candidate, baseline, tuple(withdrawn))
