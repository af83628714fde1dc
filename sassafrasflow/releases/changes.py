"""Configuration for each step of a release.

Each function returns a new document. The publisher assigns its revision and
stores it.
"""

from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from sassafrasflow import configuration
from sassafrasflow import ids
from sassafrasflow.releases import note as notes

__all__ = ["begin", "finish", "set_share", "take_back"]

Document = configuration.Document
Shares = dict[ids.VersionId, float]

# The document lists withdrawn versions, so that the effect of a late order to
# load one is undone. The oldest entries are dropped.
MAX_WITHDRAWN_VERSIONS = 32


def begin(record: notes.NoteRecord, document: Document) -> Document:
    """Apply the settings and start the trials, with no work for candidates."""
    models = dict(document.models)
    trials = dict(document.trials)
    withdrawn = dict(document.withdrawn)
    for move in record.moves:
        if move.candidate is None:
            continue
        shares = (
            dict(models[move.model].shares) if move.model in models else {}
        )
        shares.setdefault(move.candidate, 0.0)
        models[move.model] = configuration.Model(shares)
        trials[move.model] = configuration.Trial(
            record.id,
            move.candidate,
            move.baseline,
            record.started_at,
            record.body.deadline,
        )
        withdrawn_versions = withdrawn.get(move.model, ())
        withdrawn[move.model] = tuple(
            version
            for version in withdrawn_versions
            if version != move.candidate
        )
    return msgspec.structs.replace(
        document,
        models=models,
        trials=trials,
        withdrawn=withdrawn,
        settings=_with_settings(record.body, document.settings),
    )


def set_share(
    record: notes.NoteRecord, document: Document, share: float
) -> Document:
    """Set the share of every candidate and scale down the other versions."""
    models = dict(document.models)
    for move in record.moves:
        if move.candidate is None:
            continue
        others = {
            version: version_share
            for version, version_share in record.before_shares(
                move.model
            ).items()
            if version != move.candidate
        }
        models[move.model] = configuration.Model(
            _blend(move.candidate, share, others)
        )
    return msgspec.structs.replace(document, models=models)


def finish(record: notes.NoteRecord, document: Document) -> Document:
    """Give the candidates all work, end the trials, withdraw old versions."""
    document = set_share(record, document, 1.0)
    models = dict(document.models)
    withdrawn = dict(document.withdrawn)
    for move in record.moves:
        remaining = {
            version: version_share
            for version, version_share in models[move.model].shares.items()
            if version not in move.withdrawn
        }
        if remaining:
            models[move.model] = configuration.Model(_normalised(remaining))
        else:
            del models[move.model]
        withdrawn[move.model] = _union(
            withdrawn.get(move.model, ()), move.withdrawn
        )
    return msgspec.structs.replace(
        document,
        models=models,
        withdrawn=withdrawn,
        trials=_without_trials(record, document),
    )


def take_back(record: notes.NoteRecord, document: Document) -> Document:
    """Restore the shares and settings from before the note."""
    models = dict(document.models)
    withdrawn = dict(document.withdrawn)
    for move in record.moves:
        before = record.before.get(move.model)
        if before is None:
            models.pop(move.model, None)
        else:
            models[move.model] = before
        previous_versions = set() if before is None else set(before.shares)
        if (
            move.candidate is not None
            and move.candidate not in previous_versions
        ):
            withdrawn[move.model] = _union(
                withdrawn.get(move.model, ()), (move.candidate,)
            )
    settings = dict(document.settings)
    for name, value in record.settings_before.items():
        if value is None:
            settings.pop(name, None)
        else:
            settings[name] = value
    return msgspec.structs.replace(
        document,
        models=models,
        withdrawn=withdrawn,
        settings=settings,
        trials=_without_trials(record, document),
    )


def _with_settings(
    body: notes.NoteBody, settings: Mapping[str, float]
) -> dict[str, float]:
    changed = dict(settings)
    for change in body.changes:
        if change.subject is not notes.Subject.SETTING:
            continue
        assert change.setting is not None
        if change.kind is notes.ChangeKind.WITHDRAW:
            changed.pop(change.setting, None)
        else:
            assert change.value is not None
            changed[change.setting] = change.value
    return changed


def _without_trials(
    record: notes.NoteRecord, document: Document
) -> dict[ids.ModelName, configuration.Trial]:
    return {
        model: trial
        for model, trial in document.trials.items()
        if trial.note != record.id
    }


def _blend(candidate: ids.VersionId, share: float, others: Shares) -> Shares:
    if not any(others.values()):
        return {**others, candidate: 1.0 if share else 0.0}
    rest = _normalised(others)
    blended = {
        ver: version_share * (1 - share) for ver, version_share in rest.items()
    }
    return {**blended, candidate: share}


def _normalised(shares: Shares) -> Shares:
    total = sum(shares.values())
    if not total:
        return shares
    return {
        version: version_share / total
        for version, version_share in shares.items()
    }


def _union(
    versions: tuple[ids.VersionId, ...], more: Iterable[ids.VersionId]
) -> tuple[ids.VersionId, ...]:
    return tuple(dict.fromkeys([*versions, *more]))[-MAX_WITHDRAWN_VERSIONS:]
