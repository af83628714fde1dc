"""Runs that ended without an answer, and the deaths that may explain them."""

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
    """A death counts for the runs that it ended, whoever found it."""

    @pytest.mark.parametrize(
        "ended_at, crashed_at, taken",
        [
            # The run breaks off, and a probe finds the target dead.
            (2.0, 2.1, True),
            # Its caller left, and other work finds the target dead.
            (2.0, 2.0 + DETECTION_DELAY_S, True),
            # Found dead by others, while this run still waited in silence.
            (3.0, 2.0, True),
            # It ended otherwise, and the target died some time later.
            (2.0, 2.1 + DETECTION_DELAY_S, False),
            # Found dead before the run began: another start answers there.
            (2.0, 0.9, False),
            # The run goes on.
            (None, 2.0, False),
        ],
    )
    def test_run_that_ended_with_its_target(self, ended_at, crashed_at, taken):
        runs = ledgers.RunLedger()
        where = target()
        record = runs.begin(None, where, 1.0)
        if ended_at is not None:
            runs.end_unanswered(record, ended_at)
        assert runs.pop_ended(where, crashed_at) == [record] * taken
        assert len(runs) == (not taken)

    @pytest.mark.parametrize("listed_s, taken", [(0.0, True), (0.1, False)])
    def test_target_that_only_the_list_shows_to_be_over(self, listed_s, taken):
        runs = ledgers.RunLedger()
        where = target()
        runs.end_unanswered(runs.begin(None, where, 1.0), 2.0)
        where.ended = True
        crashed_at = 2.0 + ledgers.LISTING_DELAY_S + listed_s
        assert bool(runs.pop_ended(where, crashed_at)) is taken

    def test_run_that_was_answered_is_no_matter(self):
        runs = ledgers.RunLedger()
        where = target()
        runs.end_answered(runs.begin(None, where, 1.0))
        assert not runs.has_runs(where)
        assert not len(runs)

    def test_death_is_judged_once(self):
        runs = ledgers.RunLedger()
        where = target()
        runs.end_unanswered(runs.begin(None, where, 1.0), 2.0)
        assert runs.pop_ended(where, 2.0)
        assert not runs.pop_ended(where, 2.0)

    def test_other_targets_runs_stay(self):
        runs = ledgers.RunLedger()
        runs.end_unanswered(runs.begin(None, target("t2"), 1.0), 2.0)
        assert not runs.pop_ended(target(), 2.0)
        assert len(runs) == 1

    def test_ended_runs_are_forgotten(self):
        runs = ledgers.RunLedger()
        ended = runs.begin(None, target(), 1.0)
        runs.end_unanswered(ended, 2.0)
        under_way = runs.begin(None, target(), 1.0)
        assert not runs.expire(2.0 + DETECTION_DELAY_S)
        assert runs.expire(2.1 + ledgers.RETENTION_S) == [ended]
        assert runs.has_runs(under_way.target)
