"""Estimates of paces and limits, with thousands of seeds."""

import itertools
import math
import random

import pytest

from sassafrasflow import ids
from sassafrasflow.pace import estimates
from sassafrasflow.pace import samples

POOL = ids.ServiceName("pool")
KIND = samples.WorkKind.FIRST_EVENT
# Time for 1,000 prompt tokens of an idle engine.
IDLE_S = 0.125
# Relative standard deviation of the times of one target.
NOISE = 0.2


def name(number) -> ids.TargetId:
    """Return the id of a target."""
    return ids.TargetId(f"t{number:02}")


class Pool:
    """Targets with known paces, from which samples come in turn."""

    def __init__(self, paces, seed=1, *, noise=NOISE):
        self.table = estimates.PaceTable()
        self.paces = list(paces)
        self.rng = random.Random(seed)
        self.noise = noise
        self.now = 100.0

    def respond(self, number, *, load=0.0, slowness=1.0, growth=0.1):
        """Let a target respond once."""
        seconds = IDLE_S * self.paces[number] * (1 + growth * load) * slowness
        seconds *= self.rng.lognormvariate(0.0, self.noise)
        sample = samples.Sample(KIND, seconds, load)
        self.table.record(POOL, name(number), sample, self.now)

    def play(self, rounds=10, *, loads=(0.0, 1.0, 2.0), interval_s=1.0):
        """Let each target respond in each round, at loads drawn evenly."""
        for _ in range(rounds):
            self.now += interval_s
            for number in range(len(self.paces)):
                self.respond(number, load=self.rng.choice(loads))

    def pace(self, number) -> estimates.Pace:
        return self.table.of(name(number), KIND, self.now)

    def factor(self, number) -> float:
        return self.pace(number).factor


class TestFactor:
    """Guard against slow targets that count as fast, and the reverse."""

    def test_uniform_pool_stays_in_the_dead_band(self):
        """At most one of a hundred estimates may seem different."""
        outside = 0
        for seed in range(1000):
            pool = Pool([1.0] * 8, seed)
            pool.play()
            outside += sum(pool.factor(n) != 1.0 for n in range(8))
        assert outside <= 80

    def test_three_speeds_are_told_apart(self):
        paces = [0.6, 1.0, 1.6] * 3
        wrong = 0
        for seed in range(1000):
            pool = Pool(paces, seed)
            pool.play()
            for number, pace in enumerate(paces):
                ratio = pool.factor(number) / pace
                wrong += not 0.75 < ratio < 1.33
        assert wrong <= 0.02 * 9 * 1000

    @pytest.mark.parametrize("step", [2.5, 0.4])
    def test_step_is_followed_within_ten_requests(self, step):
        late = 0
        for seed in range(1000):
            pool = Pool([1.0] * 5, seed)
            pool.play(20)
            pool.paces[0] = step
            for _ in range(10):
                pool.now += 0.5
                pool.respond(0, load=pool.rng.choice((0.0, 1.0, 2.0)))
            late += not 0.7 < pool.factor(0) / step < 1.4
        assert late <= 20

    @pytest.mark.parametrize("slowness", [0.01, 0.4, 2.5, 100.0])
    def test_single_response_changes_nothing(self, slowness):
        for seed in range(500):
            pool = Pool([1.0] * 5, seed, noise=0.05)
            pool.play(12)
            pool.now += 0.5
            pool.respond(0, slowness=slowness)
            assert [pool.factor(n) for n in range(5)] == [1.0] * 5

    def test_single_first_response_changes_nothing(self):
        """Guard against a new target that is judged by one response."""
        for slowness in (0.01, 100.0):
            pool = Pool([1.0] * 5)
            for number in range(1, 5):
                pool.respond(number)
            pool.play(12)
            pool.table.forget(name(0))
            pool.respond(0, slowness=slowness)
            assert pool.factor(0) == 1.0
            pool.respond(0)
            assert pool.factor(0) == 1.0

    def test_moments_are_told_from_lasting_slowness(self):
        """A fourth of the responses of one target meets a stall."""
        stalled_outside, slow_inside = 0, 0
        for seed in range(1000):
            pool = Pool([1.0, 2.5, 1.0, 1.0, 1.0], seed)
            for _ in range(12):
                pool.now += 1.0
                for number in range(5):
                    stalls = number == 0 and pool.rng.random() < 0.25
                    pool.respond(number, slowness=2.5 if stalls else 1.0)
            stalled_outside += pool.factor(0) > 1.6
            slow_inside += pool.factor(1) < 1.6
        assert stalled_outside <= 30
        assert slow_inside <= 30

    def test_waiting_behind_other_prompts_is_not_slowness(self):
        """Guard against a busy engine that counts as a slow one.

        The growth of times with load is learnt in the first two minutes.
        """
        outside = 0
        for seed in range(300):
            pool = Pool([1.0] * 6, seed)
            for _ in range(150):
                pool.now += 1.0
                for number in range(6):
                    busy = number == 0
                    loads = (0, 3, 6, 6, 7, 8) if busy else (0, 0, 1, 3, 6)
                    load = pool.rng.choice(loads)
                    pool.respond(number, load=load, growth=0.3)
            outside += pool.factor(0) != 1.0
        assert outside <= 6

    def test_pool_of_one_has_no_pace(self):
        """The mean is that of the newest samples, also at the same moment."""
        pool = Pool([3.0])
        for _ in range(8):
            pool.respond(0)
            assert pool.factor(0) == 1.0
        pool.play(50)
        assert pool.factor(0) == 1.0

    def test_service_that_becomes_slow_as_a_whole_keeps_its_paces(self):
        for seed in range(200):
            pool = Pool([1.0] * 6, seed, noise=0.1)
            pool.play()
            pool.paces = [4.0] * 6
            pool.play(12)
            assert [pool.factor(n) for n in range(6)] == [1.0] * 6

    def test_one_very_slow_target_leaves_the_others_in_the_dead_band(self):
        pool = Pool([20.0, 1.0, 1.0, 1.0], noise=0.1)
        pool.play()
        assert pool.factor(0) > 10
        assert [pool.factor(n) for n in (1, 2, 3)] == [1.0] * 3

    def test_idle_target_returns_to_the_mean(self):
        """Guard against a target that is excluded permanently."""
        pool = Pool([2.5, 1.0, 1.0, 1.0], noise=0.1)
        pool.play()
        assert pool.factor(0) > 2
        factors = []
        for _ in range(240):
            pool.now += 1.0
            for number in (1, 2, 3):
                pool.respond(number)
            factors.append(pool.factor(0))
        assert factors[-1] == 1.0
        steps = itertools.pairwise(factors)
        assert all(later < earlier + 0.2 for earlier, later in steps)
        assert math.isclose(pool.pace(0).age_s, 240.0)

    def test_unknown_target_has_the_pace_of_the_mean(self):
        pool = Pool([1.0, 2.0])
        pool.play()
        unknown = pool.table.of(ids.TargetId("new"), KIND, pool.now)
        assert unknown is estimates.UNKNOWN_PACE

    def test_samples_of_an_ended_target_are_dropped(self):
        pool = Pool([2.5, 1.0, 1.0], noise=0.1)
        pool.play()
        pool.table.forget(name(0))
        assert pool.pace(0) is estimates.UNKNOWN_PACE
        assert not pool.table.summaries(name(0), pool.now)
        assert name(0) not in {target for target, _ in pool.table.known()}


class TestSummaries:
    """Guard against paces that owners know and others don't."""

    def test_summary_tells_an_instance_without_samples_of_its_own(self):
        wrong = 0
        for seed in range(300):
            owner = Pool([0.6, 1.0, 1.6, 1.0, 1.0], seed)
            owner.play()
            table = estimates.PaceTable()
            for number in range(5):
                for summary in owner.table.summaries(name(number), owner.now):
                    code = samples.pack_summary(summary)
                    told = samples.unpack_summary(code)
                    table.record_summary(POOL, name(number), told, owner.now)
            for number, pace in enumerate(owner.paces):
                factor = table.of(name(number), KIND, owner.now).factor
                wrong += not 0.7 < factor / pace < 1.4
        assert wrong <= 0.03 * 5 * 300

    def test_summary_holds_recent_samples_only(self):
        pool = Pool([1.0, 1.0])
        pool.play()
        assert pool.table.summaries(name(0), pool.now)
        assert not pool.table.summaries(name(0), pool.now + 60)

    def test_own_samples_remain_in_use_without_an_owner(self):
        pool = Pool([2.5, 1.0, 1.0, 1.0], noise=0.1)
        told = samples.Summary(samples.Sample(KIND, IDLE_S, 0.0), 9)
        pool.table.record_summary(POOL, name(0), told, pool.now)
        pool.play(30, interval_s=5.0)
        assert pool.factor(0) > 2


class TestLimit:
    """Guard against targets that slow down long before they are full."""

    def test_slow_down_from_half_load_is_found(self):
        found = 0
        for seed in range(300):
            pool = Pool([1.0] * 6, seed)
            for _ in range(60):
                pool.now += 1.0
                for number in range(6):
                    load = pool.rng.randrange(6)
                    slow = number == 0 and load >= 3
                    pool.respond(
                        number, load=load, slowness=2.0 if slow else 1.0
                    )
            found += pool.pace(0).limit in (3.0, 4.0)
        assert found >= 0.95 * 300

    def test_uniform_pool_has_no_limit(self):
        """Times that grow with the load of all targets are no limit."""
        limited = 0
        for seed in range(200):
            pool = Pool([1.0] * 6, seed)
            pool.play(80, loads=(0, 1, 2, 3, 4, 5), interval_s=1.0)
            limited += sum(pool.pace(n).limit < math.inf for n in range(6))
        assert limited <= 0.02 * 6 * 200

    def test_limit_is_forgotten_when_it_is_not_seen(self):
        pool = Pool([1.0] * 3, noise=0.05)
        for _ in range(40):
            pool.now += 1.0
            for number in range(3):
                load = pool.rng.randrange(5)
                slow = number == 0 and load >= 3
                pool.respond(number, load=load, slowness=3 if slow else 1)
        assert pool.pace(0).limit == 3.0
        pool.play(130, loads=(0, 1))
        assert pool.pace(0).limit == math.inf


class TestCombination:
    """Guard against streams that are placed by only one kind of work."""

    def test_kind_with_more_samples_counts_more(self):
        slow = estimates.Pace(2.0, 6.0, 9.0, 1.0)
        unknown = estimates.Pace(1.0, math.inf, 3.0, 5.0)
        both = estimates.combine(slow, unknown)
        assert 1.6 < both.factor < 1.7
        assert (both.limit, both.samples, both.age_s) == (6.0, 12.0, 1.0)

    def test_unknown_kinds_leave_the_factor_at_one(self):
        unknown = estimates.UNKNOWN_PACE
        assert estimates.combine(unknown, unknown) is unknown
