"""Validation that finds every fault of a note before it is accepted."""

from collections import Counter
from collections.abc import Iterator
from collections.abc import Mapping

from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.releases import note as notes

__all__ = ["faults_of"]

ChangeKind = notes.ChangeKind
Subject = notes.Subject


def faults_of(
    body: notes.NoteBody,
    document: configuration.Document,
    open_subjects: Mapping[str, ids.NoteId],
    now: float,
    min_duration_s: float = 0.0,
) -> list[exceptions.NoteError]:
    """Return every fault of a note against a configuration.

    ``open_subjects`` maps each subject under change to its open note.
    ``min_duration_s`` is the minimum duration of a release.
    """
    problems = [
        *_deadline_problems(body, now, min_duration_s),
        *_change_problems(body, document),
        *_withdrawal_problems(body, document),
        *_repetitions(body),
    ]
    problems += [
        f"{subject} is being changed by note {open_subjects[subject]}"
        for subject in sorted(notes.subjects_of(body))
        if subject in open_subjects
    ]
    return [exceptions.NoteError(problem) for problem in problems]


def _deadline_problems(
    body: notes.NoteBody, now: float, min_duration_s: float
) -> Iterator[str]:
    remaining_s = body.deadline - now
    if remaining_s <= 0:
        yield "the deadline has passed"
    elif remaining_s < min_duration_s and notes.moves_of(
        body, configuration.Document()
    ):
        yield (
            f"the deadline leaves {remaining_s:.0f} s; a release needs at "
            f"least {min_duration_s:.0f} s"
        )


def _change_problems(
    body: notes.NoteBody, document: configuration.Document
) -> Iterator[str]:
    if not body.changes:
        yield "the note has no changes"
    for number, change in enumerate(body.changes):
        for problem in _problems(change, document):
            yield f"changes[{number}]: {problem}"


def _problems(
    change: notes.Change, document: configuration.Document
) -> Iterator[str]:
    if change.subject is Subject.SETTING:
        yield from _setting_problems(change, document)
        return
    if change.model is None:
        yield "a model is needed"
        return
    current = document.models.get(change.model)
    if change.subject is Subject.MODEL and change.kind is ChangeKind.ADD:
        if current is not None:
            yield f"model {change.model} exists already"
    elif current is None:
        yield f"unknown model {change.model}"
    yield from _version_problems(change, current)


def _setting_problems(
    change: notes.Change, document: configuration.Document
) -> Iterator[str]:
    if change.setting is None:
        yield "a setting needs its name"
    elif change.kind is ChangeKind.WITHDRAW:
        if change.setting not in document.settings:
            yield f"unknown setting {change.setting}"
    elif change.value is None:
        yield f"setting {change.setting} needs a value"


def _version_problems(
    change: notes.Change, current: configuration.Model | None
) -> Iterator[str]:
    withdraws = change.kind is ChangeKind.WITHDRAW
    if change.version is None:
        if change.subject is Subject.VERSION or not withdraws:
            yield "a version is needed"
        return
    if current is None:
        return
    if withdraws or change.kind is ChangeKind.CHANGE:
        if change.version not in current.shares:
            yield f"unknown version {change.version}"
    elif current.shares.get(change.version):
        yield f"version {change.version} serves already"


def _withdrawal_problems(
    body: notes.NoteBody, document: configuration.Document
) -> Iterator[str]:
    withdrawn_models = {
        change.model
        for change in body.changes
        if change.subject is Subject.MODEL
        and change.kind is ChangeKind.WITHDRAW
    }
    for move in notes.moves_of(body, document):
        if move.model in withdrawn_models:
            continue
        shares = document.shares(move.model)
        remaining = set(shares) - set(move.withdrawn)
        if move.candidate in move.withdrawn:
            yield f"version {move.candidate} is both added and withdrawn"
        elif shares and not remaining and move.candidate is None:
            yield (
                f"model {move.model} is in use and would be left without "
                "a version"
            )


def _repetitions(body: notes.NoteBody) -> Iterator[str]:
    added = Counter(
        change.model
        for change in body.changes
        if change.subject is not Subject.SETTING
        and change.kind is not ChangeKind.WITHDRAW
    )
    for model, count in added.items():
        if count > 1:
            yield f"model {model} gets {count} versions; one is allowed"
    settings = Counter(
        change.setting
        for change in body.changes
        if change.subject is Subject.SETTING
    )
    for setting, count in settings.items():
        if count > 1:
            yield f"setting {setting} is changed {count} times"
