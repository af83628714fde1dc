"""Availability that targets announce in their answers, in virtual time."""

import random

import pytest

from sassafrasflow.gateway import availability
from sassafrasflow.gateway.availability import Unavailable


@pytest.fixture
def target():
    """Return the availability of a target without any announcements."""
    return availability.Availability()


class TestLeaving:
    def test_is_unavailable_from_the_first_announcement_on(self, target):
        assert target.unavailable_reason(0.0) is None
        assert target.record_leaving()
        assert not target.record_leaving()
        assert target.unavailable_reason(900.0) is Unavailable.LEAVING

    def test_stays_unavailable_after_a_pause_ends(self, target):
        target.record_leaving()
        target.record_pause(1.0, 0.0)
        assert target.unavailable_reason(2.0) is Unavailable.LEAVING


class TestUnansweredSends:
    """Guard against a herd that is sent to a target before its first answer.

    The answer of a target that leaves or pauses would stop the requests, but
    comes too late if all of them are sent at once.
    """

    @staticmethod
    def send(target, count, now):
        """Send up to a number of requests; return how many were allowed."""
        for number in range(count):
            if target.send_delay_s(now) > 0:
                return number
            target.record_send(now)
        return count

    def test_herd_is_limited_until_the_first_answer(self, target):
        assert self.send(target, 200, 5.0) == availability.MAX_UNANSWERED_SENDS
        target.record_answer()
        assert target.send_delay_s(5.01) == 0.0

    def test_target_that_answers_slowly_gets_more_in_each_window(self, target):
        # Requests are sent every 1/64 s; a window spans four of these steps.
        sent = sum(self.send(target, 200, step / 64) for step in range(21))
        assert sent == 6 * availability.MAX_UNANSWERED_SENDS

    def test_answering_target_delays_no_request(self, target):
        for number in range(1000):
            assert target.send_delay_s(0.0) == 0.0
            target.record_send(0.0)
            if number % 20 == 0:
                target.record_answer()

    def test_few_unanswered_sends_over_a_long_time_delay_no_request(
        self, target
    ):
        for number in range(200):
            assert target.send_delay_s(float(number)) == 0.0
            target.record_send(float(number))


class TestPause:
    def test_target_is_unavailable_until_the_pause_ends(self, target):
        target.record_pause(2.0, 10.0)
        assert target.unavailable_reason(11.99) is Unavailable.PAUSED
        assert target.unavailable_reason(12.0) is None

    @pytest.mark.parametrize(
        "pauses", [[(2.0, 0.0), (0.5, 0.1)], [(0.5, 0.0), (2.0, 0.0)]]
    )
    def test_longest_of_several_pauses_counts(self, target, pauses):
        for pause_s, at in pauses:
            target.record_pause(pause_s, at)
        assert target.unavailable_reason(1.99) is Unavailable.PAUSED
        assert target.unavailable_reason(2.0) is None

    def test_trial_request_comes_first_after_a_pause(self, target):
        target.record_pause(1.0, 0.0)
        trial = target.begin_trial(1.0)
        assert target.unavailable_reason(1.1) is Unavailable.ON_TRIAL
        target.end_trial(trial)
        assert target.unavailable_reason(1.1) is None
        assert target.begin_trial(1.1) is None

    def test_trial_request_that_hangs_times_out(self, target):
        target.record_pause(1.0, 0.0)
        target.begin_trial(1.0)
        assert (
            target.unavailable_reason(1.0 + availability.TRIAL_TIMEOUT_S)
            is None
        )

    def test_rejected_trial_request_starts_a_new_pause(self, target):
        target.record_pause(1.0, 0.0)
        trial = target.begin_trial(1.0)
        target.record_pause(1.0, 1.1)
        target.end_trial(trial)
        assert target.unavailable_reason(2.0) is Unavailable.PAUSED
        assert target.unavailable_reason(2.1) is None

    def test_answer_to_an_earlier_request_does_not_end_a_pause(self, target):
        early = target.begin_trial(0.0)
        target.record_pause(1.0, 0.1)
        target.end_trial(early)
        assert target.unavailable_reason(0.5) is Unavailable.PAUSED


class TestRetryAfter:
    """Guard against a rejected herd that retries all at the same time.

    It comes about when all targets of a service reject the callers at once.
    """

    def test_follows_the_earliest_end_of_a_pause_and_is_spread(self):
        availabilities = [availability.Availability() for _ in range(3)]
        availabilities[0].record_pause(4.0, 0.0)
        availabilities[1].record_pause(2.0, 0.0)
        availabilities[2].record_pause(1.0, 0.0)
        availabilities[2].record_leaving()
        rng = random.Random(1)
        waits = [
            availability.retry_after_s(availabilities, 0.5, rng)
            for _ in range(99)
        ]
        assert 1.5 <= min(waits) and max(waits) <= 2.0
        assert len(set(waits)) == 99

    def test_leaving_target_yields_no_retry_time(self):
        leaving = availability.Availability()
        leaving.record_leaving()
        rng = random.Random(1)
        assert availability.retry_after_s([leaving], 0.0, rng) is None
