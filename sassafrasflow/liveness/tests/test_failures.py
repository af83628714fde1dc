"""Targets that fail their requests, by the answers of all instances."""

import random

import pytest

from sassafrasflow import ids
from sassafrasflow.liveness import failures

E1 = ids.TargetId("e1")
FAILED = failures.AnswerCounts(1, 0)
SUCCEEDED = failures.AnswerCounts(0, 1)


class Owner:
    """Table of an owner that gets reports of one instance."""

    def __init__(self) -> None:
        self.table = failures.FailureTable()
        self.number = 0

    def report(self, now, *answers) -> list[ids.TargetId]:
        found = []
        for counts in answers:
            self.number += 1
            found += self.table.record(
                ids.InstanceId("a"), (1, self.number), {E1: counts}, now
            )
        return found

    def is_failing(self, now) -> bool:
        return self.table.remaining_s(E1, now) > 0


@pytest.fixture
def owner():
    return Owner()


class TestHolds:
    """Guard against failing targets that attract requests as they are idle."""

    def test_third_failure_begins_a_hold(self, owner):
        assert owner.report(0.0, FAILED, FAILED) == []
        assert owner.report(1.0, FAILED) == [E1]
        assert owner.is_failing(1.0 + failures.HOLD_S - 0.01)
        assert not owner.is_failing(1.0 + failures.HOLD_S)

    def test_failures_of_other_times_do_not_add_up(self, owner):
        owner.report(0.0, FAILED, FAILED)
        assert owner.report(failures.WINDOW_S + 0.1, FAILED) == []

    def test_target_that_fails_few_requests_is_kept(self, owner):
        """Guard against requests that fail wherever they run."""
        owner.report(0.0, *4 * [SUCCEEDED], *4 * [FAILED])
        assert not owner.is_failing(0.0)

    def test_hold_begins_again_with_the_first_failure_after_it(self, owner):
        owner.report(0.0, FAILED, FAILED, FAILED)
        again = failures.HOLD_S + failures.WINDOW_S
        assert owner.report(again, FAILED) == [E1]

    def test_success_after_a_hold_ends_the_probation(self, owner):
        owner.report(0.0, FAILED, FAILED, FAILED)
        again = failures.HOLD_S + failures.WINDOW_S
        owner.report(again, SUCCEEDED)
        assert owner.report(again + 0.1, FAILED, FAILED) == []

    def test_repeated_and_overtaken_reports_are_ignored(self, owner):
        """Guard against one failure that counts several times."""
        report = ids.InstanceId("b"), (1, 5), {E1: FAILED}
        for _ in range(5):
            owner.table.record(*report, 0.0)
        owner.table.record(ids.InstanceId("b"), (1, 4), {E1: FAILED}, 0.0)
        assert not owner.is_failing(0.0)
        # A restarted instance numbers its reports anew.
        restarted = ids.InstanceId("b"), (2, 1)
        owner.table.record(*restarted, {E1: failures.AnswerCounts(2)}, 0.0)
        assert owner.is_failing(0.0)

    def test_nothing_is_kept_of_quiet_targets(self, owner):
        owner.report(0.0, FAILED, FAILED, FAILED)
        owner.table.expire(100.0)
        assert not owner.table._answers_by_target

    def test_senders_are_bounded(self, owner):
        for number in range(failures.MAX_SENDERS + 10):
            name = ids.InstanceId(f"i{number}")
            owner.table.record(name, (1, 1), {}, 0.0)
        assert len(owner.table._last_reports) == failures.MAX_SENDERS


class TestUnreportedAnswers:
    def test_answers_are_reported_once(self):
        answers = failures.UnreportedAnswers()
        answers.record(E1, failed=True)
        answers.record(E1, failed=False)
        answers.record(ids.TargetId("e2"), failed=True)
        assert answers.take([E1]) == {E1: failures.AnswerCounts(1, 1)}
        assert answers.take([E1]) == {}


class TestManyInstances:
    """A sixth of the engines fails all streams at once for 6.5 s.

    Each of 83 instances sees 0.34 streams per second, too few to notice it by
    itself. A failing engine is idle, so a comparison of loads prefers it.
    """

    @pytest.mark.parametrize("seed", range(5))
    def test_failing_engines_get_few_streams(self, seed):
        with_reports = self._count_failed_tries(seed, shared=True)
        without = self._count_failed_tries(seed, shared=False)
        # Three failures show it, and one more after each hold.
        engines, holds = 11, 2
        assert with_reports <= engines * (failures.MIN_FAILURES + holds)
        assert with_reports < without / 2

    @staticmethod
    def _count_failed_tries(seed: int, *, shared: bool) -> int:
        rng = random.Random(seed)
        table = failures.FailureTable()
        engines = [ids.TargetId(f"e{n}") for n in range(74)]
        failing = set(rng.sample(engines, 11))
        failed, now = 0, 0.0
        while now < 6.5:
            now += rng.expovariate(28.0)
            sender = ids.InstanceId(f"i{rng.randrange(83)}")
            for _ in range(5):
                # The best of four is a failing one if there is any.
                drawn = rng.sample(engines, 4)
                if shared:
                    good = [e for e in drawn if not table.remaining_s(e, now)]
                    drawn = good or drawn
                idle = [each for each in drawn if each in failing]
                chosen = (idle or drawn)[0]
                failed += chosen in failing
                counts = FAILED if chosen in failing else SUCCEEDED
                number = round(now * 1e6) + failed
                table.record(sender, (1, number), {chosen: counts}, now)
                if chosen not in failing:
                    break
        return failed
