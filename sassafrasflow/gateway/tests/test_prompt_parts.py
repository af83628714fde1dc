"""Tests of the evidence on prompt parts that crash targets."""

import itertools

import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts

FIRST, OTHER_FIRST, CRASHING, MIDDLE = prompt_parts.digest_parts(
    map(ids.PromptPartId, ["f1", "f2", "c1", "m1"])
)
HERE = ids.DataCentre("a")


class Clock:
    """Evidence with a time that moves on with every crash."""

    def __init__(self):
        self.evidence = prompt_parts.PartEvidence()
        self.now = 100.0
        self._numbers = itertools.count()

    def crash(self, *parts, others=(), request=None, target=None, after_s=2.0):
        """Add a crash; return the sets of parts that it makes refused."""
        self.now += after_s
        number = next(self._numbers)
        found = self.evidence.add_crash(
            prompt_parts.PartCrash(
                poison.Fingerprint(request or f"r{number}"),
                ids.TargetId(target or f"t{number}"),
                1000,
                HERE,
                self.now,
                tuple(map(ids.TargetId, others)),
                parts,
            ),
            self.now,
        )
        return [verdict.parts for verdict in found]

    def progress(self, *parts):
        """Record a run that began to write now and made progress."""
        self.now += 0.1
        self.evidence.record_progress(parts, self.now)


@pytest.fixture
def clock():
    return Clock()


class TestCrashingPart:
    """A part is refused soon, whatever else the prompts hold."""

    def test_third_crash_refuses_the_parts_that_the_prompts_share(self, clock):
        assert not clock.crash(FIRST, CRASHING)
        assert not clock.crash(FIRST, CRASHING)
        assert clock.crash(FIRST, CRASHING) == [(FIRST, CRASHING)]

    def test_parts_that_were_answered_meanwhile_are_not_blamed(self, clock):
        clock.crash(FIRST, CRASHING)
        clock.progress(FIRST)
        clock.crash(FIRST, CRASHING)
        clock.progress(FIRST, MIDDLE)
        assert clock.crash(FIRST, CRASHING) == [(CRASHING,)]

    def test_later_crash_beside_another_first_part_widens_the_verdict(
        self, clock
    ):
        for _ in range(3):
            clock.crash(FIRST, CRASHING)
        assert (CRASHING,) in clock.crash(OTHER_FIRST, CRASHING)

    def test_crashes_at_the_same_moment_explain_each_other(self, clock):
        targets = [f"t{number}" for number in range(5)]
        verdicts = [
            clock.crash(
                FIRST,
                CRASHING,
                target=target,
                others=set(targets) - {target},
                after_s=0.01,
            )
            for target in targets
        ]
        assert [(FIRST, CRASHING)] in verdicts

    def test_crashes_beside_others_add_up_over_time(self, clock):
        verdicts = [
            clock.crash(CRASHING, others=["x", "y", "z"]) for _ in range(6)
        ]
        assert verdicts[-1] == [(CRASHING,)]


class TestSoundPart:
    """A part that targets can write answers on is not refused."""

    def test_answers_between_crashes_reset_the_evidence(self, clock):
        for _ in range(10):
            assert not clock.crash(FIRST)
            assert not clock.crash(FIRST)
            clock.progress(FIRST)

    def test_failing_data_centre_counts_as_one_crash(self, clock):
        targets = [f"t{number}" for number in range(10)]
        for target in targets[:5]:
            assert not clock.crash(
                FIRST, target=target, others=set(targets[5:]), after_s=0.01
            )

    def test_runs_on_the_same_target_count_as_one_crash(self, clock):
        for _ in range(5):
            assert not clock.crash(FIRST, target="t", after_s=0.0)

    def test_one_request_alone_gives_no_evidence(self, clock):
        for _ in range(5):
            assert not clock.crash(FIRST, MIDDLE, request="same")

    def test_run_that_began_before_the_crash_proves_nothing(self, clock):
        began_at = clock.now
        for _ in range(2):
            clock.crash(CRASHING)
        clock.evidence.record_progress((CRASHING,), began_at)
        assert clock.crash(CRASHING) == [(CRASHING,)]


class TestKeys:
    """Verdicts on parts have keys in the form of fingerprints."""

    def test_only_prompts_with_all_parts_match(self):
        key = prompt_parts.key_of([CRASHING, FIRST])
        keys = ["6dc095c37d07d05b25bc5e5b", key]
        match = prompt_parts.matching_keys
        assert match(keys, (FIRST, MIDDLE, CRASHING)) == [key]
        assert not match(keys, (FIRST, MIDDLE))
        assert not match(keys, ())

    def test_key_is_short_enough_for_datagrams_and_rows(self):
        parts = prompt_parts.digest_parts(
            ids.PromptPartId("x" * 1000 + str(number)) for number in range(100)
        )
        assert len(set(parts)) == 100
        key = prompt_parts.key_of(parts[-prompt_parts.MAX_PARTS_PER_VERDICT :])
        assert len(key) < 60
