"""Release note: changes that an operator requests, with a deadline."""

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
    """Kind of a change to its subject."""

    ADD = "add"
    CHANGE = "change"
    WITHDRAW = "withdraw"


class Subject(enum.Enum):
    """Kind of thing that a change is about."""

    VERSION = "version"
    MODEL = "model"
    SETTING = "setting"


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One change that a note requests."""

    kind: ChangeKind
    subject: Subject
    model: ids.ModelName | None = None
    version: ids.VersionId | None = None
    setting: str | None = None
    value: float | None = None


class NoteBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Note as an operator submits it; the deadline is Unix time."""

    title: str
    changes: tuple[Change, ...]
    deadline: float


class NoteState(enum.Enum):
    """State of a note."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    DONE = "done"
    TAKEN_BACK = "taken_back"

    @property
    def ended(self) -> bool:
        """Return whether the state is final."""
        return self in (NoteState.DONE, NoteState.TAKEN_BACK)


class Phase(enum.Enum):
    """Phase of a running release."""

    LOADING = "loading"
    RAMPING = "ramping"
    WATCHING = "watching"
    FINISHING = "finishing"


class Event(msgspec.Struct, frozen=True):
    """Event in the history of a note, at a Unix time."""

    at: float
    text: str


class Move(msgspec.Struct, frozen=True):
    """Move of a model's work to a candidate version.

    A move without a candidate only withdraws versions.
    """

    model: ids.ModelName
    candidate: ids.VersionId | None
    baseline: ids.VersionId | None
    withdrawn: tuple[ids.VersionId, ...] = ()


class NoteRecord(msgspec.Struct, frozen=True):
    """Note and the progress of its release.

    ``cautions`` counts the steps back to a smaller share. A take-back
    restores the shares in ``before`` and the settings in
    ``settings_before``.
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
        """Return the shares of a model before the release."""
        previous = self.before.get(model)
        return {} if previous is None else previous.shares

    def with_event(self, at: float, text: str) -> "NoteRecord":
        """Return the record with one more event."""
        event = Event(at, text)
        return msgspec.structs.replace(self, events=(*self.events, event))


def subjects_of(body: NoteBody) -> set[str]:
    """Return the names of the models and settings that a note changes."""
    return {
        f"setting {change.setting}"
        if change.subject is Subject.SETTING
        else f"model {change.model}"
        for change in body.changes
    }


def moves_of(
    body: NoteBody, document: configuration.Document
) -> tuple[Move, ...]:
    """Return the move of each model that a note changes."""
    models = {
        change.model: None
        for change in body.changes
        if change.subject is not Subject.SETTING and change.model is not None
    }
    return tuple(_move_of(model, body, document) for model in models)


def _move_of(
    model: ids.ModelName, body: NoteBody, document: configuration.Document
) -> Move:
    model_changes = [
        change for change in body.changes if change.model == model
    ]
    candidate = None
    withdrawn: list[ids.VersionId] = []
    current = document.models.get(model)
    for change in model_changes:
        if change.kind is not ChangeKind.WITHDRAW:
            candidate = change.version
        elif change.version is not None:
            withdrawn.append(change.version)
        elif current is not None:
            withdrawn += current.shares
    shares = document.shares(model)
    other_shares = {
        ver: share for ver, share in shares.items() if ver != candidate
    }
    baseline = max(
        other_shares, key=lambda ver: other_shares[ver], default=None
    )
    return Move(model, candidate, baseline, tuple(withdrawn))
