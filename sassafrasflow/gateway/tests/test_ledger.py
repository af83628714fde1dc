"""Tests of which runs without an answer a crash may explain."""

import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import ledger as ledgers
from sassafrasflow.gateway import targets

DETECTION_DELAY_S = ledgers.DETECTION_DELAY_S


def target(name="t1"):
    return targets.Target(
        targets.ListedTarget(
            ids.TargetId(name),
            ids.ServiceName("pool"),
            "127.0.0.1",
            1,
            ids.DataCentre("a"),
            4,
        ),
        1,
    )


class TestRunLedger:
    """A crash explains the runs that it ended, whoever detected it."""

    @pytest.mark.parametrize(
        "ended_at, crashed_at, is_explained",
        [
            # The connection breaks, and a probe detects the crash.
            (2.0, 2.1, True),
            # The caller disconnected, and another request detects the crash.
            (2.0, 2.0 + DETECTION_DELAY_S, True),
            # Others detect the crash while this run still waits for data.
            (3.0, 2.0, True),
            # The run ended for another reason; the target crashed later.
            (2.0, 2.1 + DETECTION_DELAY_S, False),
            # The crash was before the run, which the next incarnation got.
            (2.0, 0.9, False),
            # The run has not ended.
            (None, 2.0, False),
        ],
    )
    def test_run_that_a_crash_may_have_ended(
        self, ended_at, crashed_at, is_explained
    ):
        runs = ledgers.RunLedger()
        lost_target = target()
        record = runs.begin(None, lost_target, 1.0)
        if ended_at is not None:
            runs.end_unanswered(record, ended_at)
        assert (
            runs.pop_ended(lost_target, crashed_at) == [record] * is_explained
        )
        assert len(runs) == (not is_explained)

    @pytest.mark.parametrize(
        "listed_s, is_explained", [(0.0, True), (0.1, False)]
    )
    def test_end_of_target_shown_only_by_the_list(
        self, listed_s, is_explained
    ):
        runs = ledgers.RunLedger()
        lost_target = target()
        runs.end_unanswered(runs.begin(None, lost_target, 1.0), 2.0)
        lost_target.ended = True
        crashed_at = 2.0 + ledgers.LISTING_DELAY_S + listed_s
        assert bool(runs.pop_ended(lost_target, crashed_at)) is is_explained

    def test_answered_run_is_dropped(self):
        runs = ledgers.RunLedger()
        lost_target = target()
        runs.end_answered(runs.begin(None, lost_target, 1.0))
        assert not runs.has_runs(lost_target)
        assert not len(runs)

    def test_crash_explains_a_run_once(self):
        runs = ledgers.RunLedger()
        lost_target = target()
        runs.end_unanswered(runs.begin(None, lost_target, 1.0), 2.0)
        assert runs.pop_ended(lost_target, 2.0)
        assert not runs.pop_ended(lost_target, 2.0)

    def test_runs_at_other_targets_stay(self):
        runs = ledgers.RunLedger()
        runs.end_unanswered(runs.begin(None, target("t2"), 1.0), 2.0)
        assert not runs.pop_ended(target(), 2.0)
        assert len(runs) == 1

    def test_ended_runs_expire(self):
        runs = ledgers.RunLedger()
        ended = runs.begin(None, target(), 1.0)
        runs.end_unanswered(ended, 2.0)
        running = runs.begin(None, target(), 1.0)
        assert not runs.expire(2.0 + DETECTION_DELAY_S)
        assert runs.expire(2.1 + ledgers.RETENTION_S) == [ended]
        assert runs.has_runs(running.target)
