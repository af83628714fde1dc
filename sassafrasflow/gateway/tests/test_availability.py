"""What a target's answers say of its wish for work, in virtual time."""

import random

import pytest

from sassafrasflow.gateway import availability
from sassafrasflow.gateway.availability import Unavailable


@pytest.fixture
def target():
    """Return what nobody has said anything of yet."""
    return availability.Availability()


class TestLeaving:
    def test_gets_nothing_from_the_first_word_on(self, target):
        assert target.unavailable_reason(0.0) is None
        assert target.record_leaving()
        assert not target.record_leaving()
        assert target.unavailable_reason(900.0) is Unavailable.LEAVING

    def test_pause_that_ends_does_not_bring_it_back(self, target):
        target.record_leaving()
        target.record_pause(1.0, 0.0)
        assert target.unavailable_reason(2.0) is Unavailable.LEAVING


class TestFlight:
    """A herd that meets a target before its first answer."""

    @staticmethod
    def send(target, count, now):
        """Send as many as may go of some; return how many went."""
        for number in range(count):
            if target.send_delay_s(now) > 0:
                return number
            target.record_send(now)
        return count

    def test_herd_is_bounded_until_the_first_answer(self, target):
        assert self.send(target, 200, 5.0) == availability.MAX_UNANSWERED_SENDS
        target.record_answer()
        assert target.send_delay_s(5.01) == 0.0

    def test_target_that_is_slow_to_answer_gets_more(self, target):
        # A look each 1/64 s; a flight takes four of them.
        sent = sum(self.send(target, 200, step / 64) for step in range(21))
        assert sent == 6 * availability.MAX_UNANSWERED_SENDS

    def test_target_that_answers_holds_nobody(self, target):
        for number in range(1000):
            assert target.send_delay_s(0.0) == 0.0
            target.record_send(0.0)
            if number % 20 == 0:
                target.record_answer()

    def test_few_unanswered_over_a_long_time_hold_nobody(self, target):
        for number in range(200):
            assert target.send_delay_s(float(number)) == 0.0
            target.record_send(float(number))


class TestPause:
    def test_gets_nothing_until_its_end(self, target):
        target.record_pause(2.0, 10.0)
        assert target.unavailable_reason(11.99) is Unavailable.PAUSED
        assert target.unavailable_reason(12.0) is None

    @pytest.mark.parametrize(
        "pauses", [[(2.0, 0.0), (0.5, 0.1)], [(0.5, 0.0), (2.0, 0.0)]]
    )
    def test_longest_of_several_counts(self, target, pauses):
        for pause_s, at in pauses:
            target.record_pause(pause_s, at)
        assert target.unavailable_reason(1.99) is Unavailable.PAUSED
        assert target.unavailable_reason(2.0) is None

    def test_opens_with_one_request_first(self, target):
        target.record_pause(1.0, 0.0)
        trial = target.begin_trial(1.0)
        assert target.unavailable_reason(1.1) is Unavailable.ON_TRIAL
        target.end_trial(trial)
        assert target.unavailable_reason(1.1) is None
        assert target.begin_trial(1.1) is None

    def test_first_request_that_hangs_does_not_keep_it_closed(self, target):
        target.record_pause(1.0, 0.0)
        target.begin_trial(1.0)
        assert (
            target.unavailable_reason(1.0 + availability.TRIAL_TIMEOUT_S)
            is None
        )

    def test_first_request_that_is_turned_away_closes_it_again(self, target):
        target.record_pause(1.0, 0.0)
        trial = target.begin_trial(1.0)
        target.record_pause(1.0, 1.1)
        target.end_trial(trial)
        assert target.unavailable_reason(2.0) is Unavailable.PAUSED
        assert target.unavailable_reason(2.1) is None

    def test_answer_to_an_earlier_request_ends_no_pause(self, target):
        early = target.begin_trial(0.0)
        target.record_pause(1.0, 0.1)
        target.end_trial(early)
        assert target.unavailable_reason(0.5) is Unavailable.PAUSED


class TestReturn:
    """Load: all targets turn a herd away; it must not return in step."""

    def test_fits_the_earliest_end_and_is_spread(self):
        found = [availability.Availability() for _ in range(3)]
        found[0].record_pause(4.0, 0.0)
        found[1].record_pause(2.0, 0.0)
        found[2].record_pause(1.0, 0.0)
        found[2].record_leaving()
        rng = random.Random(1)
        waits = [
            availability.retry_after_s(found, 0.5, rng) for _ in range(99)
        ]
        assert 1.5 <= min(waits) and max(waits) <= 2.0
        assert len(set(waits)) == 99

    def test_nothing_is_promised_of_those_that_leave(self):
        gone = availability.Availability()
        gone.record_leaving()
        rng = random.Random(1)
        assert availability.retry_after_s([gone], 0.0, rng) is None
