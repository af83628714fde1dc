"""Tests that validation reports every fault of a note at once."""

import pytest

from sassafrasflow import configuration
from sassafrasflow import releases

Kind = releases.ChangeKind
Subject = releases.Subject
NOW = 1_000.0


def document():
    return configuration.Document(
        models={
            "planner": configuration.Model({"v1": 1.0, "v0": 0.0}),
            "idle": configuration.Model({"v1": 0.0}),
        },
        settings={"limit": 1.0},
    )


def version(kind, name="v2", model="planner"):
    return releases.Change(kind, Subject.VERSION, model, name)


def model(kind, name, ver=None):
    return releases.Change(kind, Subject.MODEL, name, ver)


def setting(kind, name="limit", value=None):
    return releases.Change(kind, Subject.SETTING, setting=name, value=value)


def faults(*changes, deadline=NOW + 3600, open_subjects=None):
    body = releases.NoteBody("Title", changes, deadline)
    problems = releases.faults_of(
        body, document(), open_subjects or {}, NOW, min_duration_s=600
    )
    return [str(fault) for fault in problems]


ACCEPTED = [
    (version(Kind.ADD),),
    (version(Kind.ADD), version(Kind.WITHDRAW, "v1")),
    (version(Kind.CHANGE, "v0"),),
    (version(Kind.WITHDRAW, "v0"),),
    (model(Kind.ADD, "new", "v1"),),
    (model(Kind.WITHDRAW, "planner"),),
    (setting(Kind.ADD, "depth", 3.0),),
    (setting(Kind.WITHDRAW),),
]

REFUSED = [
    ((), "the note has no changes"),
    ((version(Kind.WITHDRAW, "v9"),), "unknown version v9"),
    ((version(Kind.CHANGE, "v9"),), "unknown version v9"),
    ((version(Kind.ADD, "v1"),), "version v1 serves already"),
    ((version(Kind.ADD, "v1", "ghost"),), "unknown model ghost"),
    ((version(Kind.ADD, None),), "a version is needed"),
    ((version(Kind.ADD, "v2", None),), "a model is needed"),
    (
        (version(Kind.WITHDRAW, "v1"),),
        "model planner is in use and would be left without a version",
    ),
    (
        (version(Kind.ADD), version(Kind.WITHDRAW, "v2")),
        "version v2 is both added and withdrawn",
    ),
    (
        (version(Kind.ADD), version(Kind.ADD, "v3")),
        "model planner gets 2 versions; one is allowed",
    ),
    ((model(Kind.ADD, "planner", "v1"),), "model planner exists already"),
    ((model(Kind.ADD, "new"),), "a version is needed"),
    ((setting(Kind.CHANGE, None, 1.0),), "a setting needs its name"),
    ((setting(Kind.CHANGE),), "setting limit needs a value"),
    ((setting(Kind.WITHDRAW, "ghost"),), "unknown setting ghost"),
    (
        (setting(Kind.CHANGE, value=2.0), setting(Kind.CHANGE, value=3.0)),
        "setting limit is changed 2 times",
    ),
]


class TestValidation:
    @pytest.mark.parametrize("changes", ACCEPTED)
    def test_valid_note_has_no_faults(self, changes):
        assert faults(*changes) == []

    @pytest.mark.parametrize(("changes", "fault"), REFUSED)
    def test_fault_is_reported(self, changes, fault):
        assert any(text.endswith(fault) for text in faults(*changes))

    def test_all_faults_are_reported_at_once(self):
        reported = faults(
            version(Kind.WITHDRAW, "v9"),
            setting(Kind.CHANGE),
            deadline=NOW - 1,
            open_subjects={"model planner": "note-7"},
        )
        assert reported == [
            "the deadline has passed",
            "changes[0]: unknown version v9",
            "changes[1]: setting limit needs a value",
            "model planner is being changed by note note-7",
        ]

    def test_deadline_must_leave_the_minimum_duration(self):
        assert (
            "at least 600 s" in faults(version(Kind.ADD), deadline=NOW + 60)[0]
        )
        assert not faults(setting(Kind.CHANGE, value=2.0), deadline=NOW + 60)
