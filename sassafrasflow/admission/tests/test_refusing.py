"""Decisions on refused requests: when there is room, and who may return.

The short service of the deployments has 6 targets of 6 slots; its calls take
22.5 or 45 ms.
"""

import itertools
import random

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasflow.admission import refusing

NOW = 100.0
CALL_S = 0.045


def state(**changes) -> refusing.TargetState:
    return refusing.TargetState(**{"slots": 6, **changes})


class TestEstimate:
    """Guard against a Retry-After that has nothing to do with the room."""

    @pytest.mark.parametrize(
        "target, expected_s",
        [
            (state(), 0.0),
            (state(in_flight=5), 0.0),
            # One of six calls of 45 ms ends each 7.5 ms.
            (state(in_flight=6), CALL_S / 6),
            (state(in_flight=12), CALL_S * 7 / 12),
            (state(rejected_at=NOW), CALL_S / 6),
            (state(rejected_at=NOW - 0.005), CALL_S / 6 - 0.005),
            (state(rejected_at=NOW - 0.5), 0.0),
            (state(rejected_at=NOW - 2, in_flight=6), CALL_S / 6),
            (state(paused_until=NOW + 3, rejected_at=NOW), 3.0),
            (state(paused_until=NOW - 1), 0.0),
            (state(paused_until=NOW - 1, is_on_trial=True), CALL_S),
            (state(lost_at=NOW - 0.2), 1.0),
            (state(lost_at=NOW - 1.4), 0.0),
        ],
    )
    def test_room_of_one_target(self, target, expected_s):
        estimate = refusing.estimate_room([target], CALL_S, NOW)
        assert estimate.room_s == pytest.approx(expected_s)

    def test_is_that_of_the_first_target_with_room(self):
        targets = [
            state(paused_until=NOW + 0.4, pause_s=0.5),
            state(lost_at=NOW),
            state(paused_until=NOW + 2, pause_s=2),
        ]
        estimate = refusing.estimate_room(targets, CALL_S, NOW)
        assert estimate.room_s == pytest.approx(0.4)

    @pytest.mark.parametrize(
        "pause_s, least_s", [(0.1, 0.1), (0.25, 0.25), (3.0, 0.25)]
    )
    def test_target_may_ask_for_less_than_the_least(self, pause_s, least_s):
        target = state(paused_until=NOW + 0.05, pause_s=pause_s)
        estimate = refusing.estimate_room([target], CALL_S, NOW)
        assert estimate.least_s == least_s

    def test_service_without_targets_or_calls_has_no_estimate(self):
        assert refusing.estimate_room([], CALL_S, NOW).room_s == 0
        full = state(rejected_at=NOW)
        assert refusing.estimate_room([full], 0.0, NOW).room_s == 0

    def test_one_slow_call_changes_the_mean_little(self):
        times = refusing.CallTimes()
        for _ in range(20):
            times.record(CALL_S)
        times.record(5 * CALL_S)
        assert CALL_S < times.call_s <= 1.5 * CALL_S


class TestChosenTime:
    """Guard against times that callers don't honour, or that are too short.

    Callers honour a wait of at most a third of their remaining time.
    """

    @hypothesis.given(
        pause_s=strategies.floats(0.01, 60),
        remaining_s=strategies.floats(1, 60),
        others=strategies.integers(0, 20),
        seed=strategies.integers(0, 1000),
    )
    def test_bounds(self, pause_s, remaining_s, others, seed):
        """The callers that were refused before have their places."""
        returns = refusing.ReturnTimes()
        target = state(paused_until=NOW + pause_s, pause_s=pause_s)
        for _ in range(others + 1):
            value = refusing.choose_return_s(
                [target],
                CALL_S,
                NOW,
                remaining_s,
                random.Random(seed),
                returns=returns,
                instances=83,
            )
        assert value >= min(pause_s, 0.25, remaining_s / 4.5) - 1e-9
        assert value <= remaining_s / 3 + 1e-9
        if not others and 0.25 <= pause_s <= remaining_s / 4.5:
            assert pause_s <= value + 1e-9 and value <= 1.5 * pause_s + 1e-9

    def test_without_an_estimate_it_is_the_assumed_time(self):
        value = refusing.choose_return_s(
            [state()], 0.0, NOW, 9.0, random.Random(1), unknown_s=1.0
        )
        assert 1.0 <= value <= 1.5


class TestReturnTimes:
    """Guard against refused callers that come back together.

    A slot takes one of them, and the others are refused once more.
    """

    def test_returns_follow_at_the_rate_at_which_calls_end(self):
        times = refusing.ReturnTimes()
        interval_s = refusing.return_interval_s(36, 83, CALL_S)
        waits = [times.assign(0.3, interval_s, 9.0, NOW) for _ in range(20)]
        assert waits[0] == pytest.approx(0.3)
        for earlier, later in itertools.pairwise(waits):
            assert later - earlier == pytest.approx(interval_s)

    def test_later_refusal_is_not_delayed_by_returns_that_are_over(self):
        times = refusing.ReturnTimes()
        for _ in range(20):
            times.assign(0.3, 0.1, 9.0, NOW)
        assert times.assign(0.3, 0.1, 9.0, NOW + 10) == pytest.approx(0.3)

    @hypothesis.given(
        rooms_s=strategies.lists(strategies.floats(0, 10), min_size=1),
        interval_s=strategies.floats(0, 5),
        most_s=strategies.floats(0, 10),
    )
    def test_bounds(self, rooms_s, interval_s, most_s):
        """No return is before there is room, nor too late for its caller."""
        times = refusing.ReturnTimes()
        for room_s in rooms_s:
            wait_s = times.assign(room_s, interval_s, most_s, NOW)
            assert wait_s >= room_s - 1e-9
            assert wait_s <= max(room_s, most_s) + 1e-9


class TestHopeless:
    """Guard against a call that is refused while a target may be free."""

    FULL = state(slots=1, rejected_at=NOW)

    def test_every_target_stays_full(self):
        full = [self.FULL, state(paused_until=NOW + 3, rejected_at=NOW)]
        assert refusing.is_hopeless(full, 1.0, NOW + 1.4, NOW)
        assert not refusing.is_hopeless(full, 1.0, NOW + 1.6, NOW)

    @pytest.mark.parametrize(
        "other",
        [
            state(),
            # It has room by now.
            state(slots=1, rejected_at=NOW - 0.99),
            # The rejection is too old.
            state(slots=1, rejected_at=NOW - 1.01),
            # Its own requests show nothing without a rejection.
            state(slots=1, in_flight=9),
            # It may have restarted.
            state(lost_at=NOW - 0.1, rejected_at=NOW - 0.2),
        ],
    )
    def test_one_target_may_be_free(self, other):
        work_s = 0.9
        assert refusing.is_hopeless([self.FULL], work_s, NOW + 0.5, NOW)
        assert not refusing.is_hopeless(
            [self.FULL, other], work_s, NOW + 0.5, NOW
        )

    def test_no_targets(self):
        assert not refusing.is_hopeless([], 1.0, NOW, NOW)
