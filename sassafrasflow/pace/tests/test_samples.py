"""Compact form of samples, and detection of suspensions."""

import math

import pytest

from sassafrasflow.pace import samples
from sassafrasflow.pace import suspension


class TestPacking:
    """Guard against times or loads that change on the way to a peer."""

    @pytest.mark.parametrize("kind", samples.WorkKind)
    @pytest.mark.parametrize("seconds", [0.0001, 0.0225, 0.13, 1.03, 25.0])
    def test_sample_differs_by_less_than_a_step(self, kind, seconds):
        code = samples.pack_sample(samples.Sample(kind, seconds, 7.0))
        assert code < 2**15
        sample = samples.unpack_sample(code)
        assert sample.kind is kind
        assert sample.load == 7.0
        step = 2 ** (1 / samples.STEPS_PER_OCTAVE)
        assert 1 / step < sample.seconds / seconds < step

    def test_summary_keeps_count_and_limit(self):
        sample = samples.Sample(samples.WorkKind.CALL, 0.02, 3.0)
        for limit in (None, 3):
            code = samples.pack_summary(samples.Summary(sample, 9, limit))
            assert code < 2**24
            summary = samples.unpack_summary(code)
            assert (summary.count, summary.limit) == (9, limit)
            assert summary.sample.kind is samples.WorkKind.CALL

    @pytest.mark.parametrize("code", [-1, 3 << 13, 2**40])
    def test_number_out_of_range_is_rejected(self, code):
        with pytest.raises(ValueError):
            samples.unpack_sample(code)
        with pytest.raises(ValueError):
            samples.unpack_summary(code << 9)

    def test_summary_of_no_samples_is_rejected(self):
        sample = samples.Sample(samples.WorkKind.CALL, 0.02, 3.0)
        with pytest.raises(ValueError):
            samples.unpack_summary(samples.pack_sample(sample) << 9)

    @pytest.mark.parametrize(
        ("seconds", "load"),
        [(0.0, 0), (-1, 0), (math.nan, 0), (math.inf, 0), (1e9, 0), (1, -1)],
    )
    def test_time_out_of_range_is_no_sample(self, seconds, load):
        kind = samples.WorkKind.EVENT
        assert not samples.Sample(kind, seconds, load).is_valid


class TestSuspension:
    """Guard against time in which this process did not run."""

    def monitor(self) -> suspension.SuspensionMonitor:
        """Return a monitor whose process ran from time 0 to 1."""
        monitor = suspension.SuspensionMonitor(0.0)
        for tick in range(1, 11):
            monitor.tick(tick / 10)
        return monitor

    def test_running_process_is_not_suspended(self):
        assert not self.monitor().was_suspended(0.0, 1.05)

    def test_suspension_shows_before_the_timer_fires(self):
        assert self.monitor().was_suspended(0.95, 1.3)

    def test_suspension_shows_for_requests_sent_before_it(self):
        monitor = self.monitor()
        monitor.tick(2.0)
        monitor.tick(2.1)
        assert monitor.was_suspended(0.9, 2.1)
        assert not monitor.was_suspended(2.05, 2.1)

    def test_clock_that_goes_back_counts_as_a_suspension(self):
        assert self.monitor().was_suspended(0.5, 0.9)
