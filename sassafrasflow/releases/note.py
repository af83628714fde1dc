"""Release note: the changes that an operator asks for, with a deadline."""

import enum

import msgspec

from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import ids

__all__ = [
    "Change",
    "ChangeKind",
    "NoteBody",
    "NoteRecord",
    "NoteState",
    "Subject",
    "faults_of",
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


class NoteRecord(msgspec.Struct, frozen=True):
    """Hold a note and what became of it."""

    id: ids.NoteId
    body: NoteBody
    state: NoteState
    revision: ids.Revision
    submitted_at: float
    token: str
    reason: str = ""


def faults_of(
    body: NoteBody, document: configuration.Document, now: float
) -> list[exceptions.NoteError]:
    """Return every fault of a note against a configuration."""
    faults = []
    if body.deadline <= now:
        faults.append(exceptions.NoteError("the deadline has passed"))
    if not body.changes:
        faults.append(exceptions.NoteError("the note has no changes"))
    for number, change in enumerate(body.changes):
        faults += [
            exceptions.NoteError(f"changes[{number}]: {problem}")
            for problem in _problems(change, document)
        ]
    return faults


def _problems(change: Change, document: configuration.Document) -> list[str]:
    if change.subject is Subject.SETTING:
        named = change.setting is not None
        return [] if named else ["a setting needs its name"]
    if change.model is None:
        return ["a model is needed"]
    if change.subject is Subject.VERSION and change.version is None:
        return ["a version is needed"]
    if change.kind is ChangeKind.WITHDRAW:
        return _withdrawal_problems(change, document)
    return []


def _withdrawal_problems(
    change: Change, document: configuration.Document
) -> list[str]:
    assert change.model is not None
    shares = document.shares(change.model)
    if not shares:
        return [f"unknown model {change.model}"]
    if change.subject is Subject.VERSION and change.version not in shares:
        return [f"unknown version {change.version}"]
    return []
