"""Decisions on signs of life, without a network."""

import math
import random
import statistics

import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import silence as silences
from sassafrasflow.liveness import evidence

HERE = ids.DataCentre("a")
ELSEWHERE = ids.DataCentre("b")
CHECK_S = silences.FIRST_EVENT_CHECK_S
ROUND_TRIP_OTHER_REGION_S = 0.041


def sign(accepted_at=-math.inf, received_at=-math.inf):
    """Return signs of life at the given times."""
    known = evidence.SignOfLife()
    known.record_accepted(accepted_at)
    known.record_received(received_at)
    return known


def monitor(now=0.0):
    return silences.SilenceMonitor(now, max_pause_s=0.7, has_copy=False)


class TestReachedTimes:
    """Load: an instance with a saturated link can't connect in time."""

    def test_connection_to_another_data_centre_replaces_a_control(self):
        reached = evidence.ReachedTimes()
        reached.record(ELSEWHERE, 5.0)
        assert reached.has_reached_other(HERE, 5.0)

    def test_connection_that_began_before_does_not_count(self):
        reached = evidence.ReachedTimes()
        reached.record(ELSEWHERE, 4.9)
        assert not reached.has_reached_other(HERE, 5.0)

    def test_suspect_data_centre_does_not_count(self):
        reached = evidence.ReachedTimes()
        reached.record(HERE, 6.0)
        assert not reached.has_reached_other(HERE, 5.0)

    @pytest.mark.parametrize(
        "same_region, timeout_s", [(True, 0.1), (False, 0.18)]
    )
    def test_control_ends_within_the_timeout_of_the_suspect(
        self, same_region, timeout_s
    ):
        delay_s = evidence.control_delay_s(same_region=same_region)
        assert delay_s + ROUND_TRIP_OTHER_REGION_S < timeout_s

    def test_live_target_of_another_region_needs_no_control(self):
        delay_s = evidence.control_delay_s(same_region=False)
        assert delay_s >= 2 * ROUND_TRIP_OTHER_REGION_S


class TestNextCheck:
    """Load: several streams of an instance wait at one engine."""

    def test_single_stream_checks_at_its_interval(self):
        due_at = evidence.next_check_at(5.0, 0.0, CHECK_S, 1)
        assert due_at == pytest.approx(5.0 + CHECK_S)

    @pytest.mark.parametrize("waiting", range(1, 13))
    def test_checks_are_fewer_and_their_mean_delay_the_same(self, waiting):
        spacing_s = evidence.next_check_at(0.0, -1.0, CHECK_S, waiting)
        assert spacing_s >= CHECK_S / waiting
        # A loss falls into the middle of the spacing in the mean.
        assert spacing_s / 2 == pytest.approx(CHECK_S / (waiting + 1))

    @pytest.mark.parametrize("waiting", range(1, 13))
    def test_checks_after_bytes_are_not_more_frequent(self, waiting):
        due_at = evidence.next_check_at(0.0, 0.001, CHECK_S, waiting)
        assert due_at >= CHECK_S / waiting

    @pytest.mark.parametrize("waiting", range(1, 4))
    def test_target_with_frequent_events_is_not_checked(self, waiting):
        for number in range(100):
            received_at = 1.0 + 0.03 * number
            due_at = evidence.next_check_at(0.0, received_at, CHECK_S, waiting)
            assert due_at > received_at + 0.03


class TestSilenceWithSigns:
    """Load: streams that wait for a first event while others have events."""

    def test_accepted_connection_of_another_stream_counts_as_a_check(self):
        silence = monitor()
        silence.record_sign_of_life(sign(accepted_at=0.2), 1)
        assert silence.due_at() == pytest.approx(0.2 + CHECK_S)
        action = silence.choose_action(0.2 + CHECK_S)
        assert action is silences.SilenceAction.CHECK

    def test_sign_before_the_silence_does_not_count(self):
        silence = monitor(1.0)
        silence.record_sign_of_life(sign(0.9, 0.9), 1)
        assert silence.due_at() == pytest.approx(1.0 + CHECK_S)

    def test_sign_before_losses_nearby_does_not_count(self):
        silence = monitor()
        silence.make_check_due(0.2)
        silence.record_sign_of_life(sign(0.19, 0.19), 1)
        assert silence.choose_action(0.2) is silences.SilenceAction.CHECK
        silence.record_sign_of_life(sign(0.21, 0.21), 1)
        assert silence.choose_action(0.22) is silences.SilenceAction.WAIT

    def test_stream_that_is_silent_too_long_is_lost_despite_signs(self):
        silence = monitor()
        silence.record_event(0.1)
        limit_at = silence.limit_at()
        silence.record_sign_of_life(sign(limit_at, limit_at), 1)
        assert silence.choose_action(limit_at) is silences.SilenceAction.LOST

    def test_check_must_begin_after_losses_nearby(self):
        silence = monitor()
        silence.make_check_due(0.2)
        assert silence.needs_check_after == 0.2


class TestDetection:
    """Guard against losses that are detected later than by separate checks."""

    @pytest.mark.parametrize("event_s", [None, 0.03, 0.1, 0.25])
    @pytest.mark.parametrize("waiting", [1, 2, 3, 6, 12])
    def test_losses_are_detected_as_soon_by_fewer_checks(
        self, waiting, event_s
    ):
        rng = random.Random(waiting)
        shared, separate = [], []
        checks = {"shared": 0, "separate": 0}
        for _ in range(2000):
            starts = [rng.uniform(0.0, CHECK_S) for _ in range(waiting)]
            lost_at = rng.uniform(1.0, 2.0)
            dues = [detect_separately(at, lost_at) for at in starts]
            separate.append(min(due for due, _ in dues) - lost_at)
            checks["separate"] += sum(count for _, count in dues)
            first = rng.uniform(0.0, event_s or 0.0)
            due, count = detect_together(starts, lost_at, event_s, first)
            shared.append(due - lost_at)
            checks["shared"] += count
        # The mean of so many has a deviation of 2 ms.
        assert statistics.mean(shared) <= statistics.mean(separate) + 0.005
        assert max(shared) <= CHECK_S
        assert checks["shared"] <= checks["separate"]
        if event_s == 0.03 and waiting < 6:
            assert checks["shared"] < 0.1 * checks["separate"]


def detect_separately(start, lost_at):
    """Return when a stream with checks of its own detects a loss."""
    count = math.floor((lost_at - start) / CHECK_S)
    return start + (count + 1) * CHECK_S, count


def detect_together(starts, lost_at, event_s, first_event_at):
    """Return when streams that share checks detect a loss."""
    waiting = [monitor(start) for start in starts]
    known = evidence.SignOfLife()
    next_bytes = math.inf if event_s is None else first_event_at
    count = 0
    while True:
        for silence in waiting:
            silence.record_sign_of_life(known, len(waiting))
        due_at = min(silence.due_at() for silence in waiting)
        if next_bytes <= min(due_at, lost_at):
            known.record_received(next_bytes)
            next_bytes += event_s
        elif due_at >= lost_at:
            return due_at, count
        else:
            known.record_accepted(due_at)
            count += 1
