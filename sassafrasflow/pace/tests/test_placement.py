"""Placement by pace, on simulated pools without a network."""

import heapq
import math
import random

import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import targets
from sassafrasflow.gateway.tests import test_targets
from sassafrasflow.pace import estimates
from sassafrasflow.pace import samples

NORTH = ids.DataCentre("north")
SOUTH = ids.DataCentre("south")
POOL = ids.ServiceName("pool")
KIND = samples.WorkKind.CALL
WORK_S = 0.05


def target(number, data_centre=NORTH, *, slots=6) -> targets.Target:
    """Return a healthy target."""
    entry = test_targets.listed(
        f"t{number:02}", data_centre=data_centre, slots=slots
    )
    return targets.Target(entry, 1)


def choose(candidates, paces, rng, *, short_call=False):
    """Choose a target for a request of an instance in NORTH at time 10."""
    preference = placement.Preference(
        NORTH,
        short_call=short_call,
        pace_of=lambda each: paces.get(each, estimates.UNKNOWN_PACE),
    )
    return placement.choose_target(candidates, preference, 10.0, rng)


class TestPreference:
    """Guard against work at slow targets while faster ones are free."""

    def test_uniform_pool_is_placed_as_without_paces(self):
        """The same random numbers give the same targets."""
        unknown = {
            f"t{n:02}": estimates.Pace(1.0, samples=9) for n in range(8)
        }
        for seed in range(2000):
            loads = random.Random(seed)
            pool = [
                target(n, loads.choice([NORTH, SOUTH]), slots=6 + n % 3)
                for n in range(8)
            ]
            for each in pool:
                each.in_flight = loads.randrange(8)
                each.peer_load = loads.choice([0.0, 0.3, 2.0])
            for short_call in (False, True):
                now, then = (
                    choose(
                        pool, paces, random.Random(1), short_call=short_call
                    )
                    for paces in (unknown, {})
                )
                former = choose_formerly(pool, short_call=short_call)
                assert now is then is former

    def test_faster_idle_target_wins(self):
        pool = [target(0), target(1)]
        paces = {"t00": estimates.Pace(1.6), "t01": estimates.Pace(0.6)}
        rng = random.Random(1)
        assert all(choose(pool, paces, rng) is pool[1] for _ in range(50))

    def test_slow_idle_target_wins_over_a_busier_fast_one(self):
        pool = [target(0), target(1)]
        pool[1].in_flight = 3
        paces = {"t00": estimates.Pace(1.6), "t01": estimates.Pace(0.6)}
        assert choose(pool, paces, random.Random(1)) is pool[0]

    def test_target_at_its_limit_ranks_behind(self):
        limited, other = target(0), target(1, SOUTH)
        limited.in_flight, other.in_flight = 3, 4
        paces = {"t00": estimates.Pace(limit=3.0)}
        rng = random.Random(1)
        assert choose([limited, other], paces, rng) is other
        limited.in_flight = 2
        assert choose([limited, other], paces, rng) is limited

    def test_only_limited_targets_are_used_all_the_same(self):
        limited = target(0)
        limited.in_flight = 5
        paces = {"t00": estimates.Pace(4.0, limit=1.0)}
        assert choose([limited], paces, random.Random(1)) is limited

    def test_calls_are_spread_by_speed(self):
        """Guard against all instances choosing the fastest target."""
        pool = [target(n) for n in range(3)]
        paces = {"t00": estimates.Pace(0.5), "t01": estimates.Pace(2.0)}
        rng = random.Random(1)
        chosen = [
            choose(pool, paces, rng, short_call=True).id for _ in range(3500)
        ]
        assert 1850 < chosen.count("t00") < 2150
        assert 900 < chosen.count("t02") < 1100
        assert 430 < chosen.count("t01") < 570

    def test_calls_stay_local_unless_the_local_target_is_far_slower(self):
        pool = [target(0), target(1, SOUTH), target(2, SOUTH)]
        rng = random.Random(1)
        paces = {"t00": estimates.Pace(1.8)}
        for _ in range(200):
            chosen = choose(pool, paces, rng, short_call=True)
            assert chosen is pool[0]
        paces = {"t00": estimates.Pace(3.0)}
        chosen = [
            choose(pool, paces, rng, short_call=True) for _ in range(700)
        ]
        assert 50 < chosen.count(pool[0]) < 150


def choose_formerly(pool, *, short_call) -> targets.Target:
    """Choose a target as before paces were used."""
    preference = placement.Preference(NORTH, short_call=short_call)
    rng = random.Random(1)

    def cost(each) -> tuple[float, float]:
        load = placement.load_of(each)
        if each.listed.data_centre != NORTH:
            load += (
                placement.REMOTE_CALL_PENALTY_REQUESTS
                if short_call
                else placement.REMOTE_STREAM_PENALTY_REQUESTS
            )
        return load / max(1, each.listed.slots), rng.random()

    return min(preference.best_of(pool, 10.0), key=cost)


class Simulation:
    """Requests to a pool, each placed among a sample whose loads are known."""

    def __init__(self, speeds, seed, *, utilisation=0.4, knee=None):
        self.rng = random.Random(seed)
        self.speeds = list(speeds)
        # Load from which on the first target takes three times as long.
        self.knee = knee
        self.pool = [target(number) for number in range(len(speeds))]
        capacity = sum(each.listed.slots for each in self.pool) / WORK_S
        self.rate = utilisation * capacity / 4
        self.table = estimates.PaceTable()
        self.now = 100.0
        self.ends = []
        self.served = [0] * len(speeds)

    def full_knowledge(self, each) -> estimates.Pace:
        """Return the true pace and limit."""
        number = int(each[1:])
        mean = math.exp(
            sum(math.log(speed) for speed in self.speeds) / len(self.speeds)
        )
        limit = math.inf
        if self.knee is not None and number == 0:
            limit = self.knee
        return estimates.Pace(self.speeds[number] / mean, limit)

    def play(self, requests, *, informed=False, pace_of=None):
        """Place requests; return the mean time from request to answer."""
        pace_of = pace_of or (
            self.full_knowledge
            if informed
            else lambda each: self.table.of(each, KIND, self.now)
        )
        total_s = 0.0
        for _ in range(requests):
            self.now += self.rng.expovariate(self.rate)
            self.end_due()
            preference = placement.Preference(NORTH, pace_of=pace_of)
            drawn = placement.sample_choices(
                self.pool, preference, self.now, self.rng
            )
            chosen = placement.choose_target(
                drawn.local, preference, self.now, self.rng
            )
            total_s += self.serve(chosen)
        return total_s / requests

    def serve(self, chosen) -> float:
        number = int(chosen.id[1:])
        load = chosen.in_flight
        took_s = WORK_S * self.speeds[number] * (1 + 0.15 * load)
        if self.knee is not None and number == 0 and load >= self.knee:
            took_s *= 3
        took_s *= self.rng.lognormvariate(0.0, 0.2)
        chosen.in_flight += 1
        self.served[number] += 1
        heapq.heappush(self.ends, (self.now + took_s, number, took_s, load))
        return took_s

    def end_due(self):
        while self.ends and self.ends[0][0] <= self.now:
            at, number, took_s, load = heapq.heappop(self.ends)
            ended = self.pool[number]
            ended.in_flight -= 1
            sample = samples.Sample(KIND, took_s, float(load))
            self.table.record(POOL, ended.id, sample, at)


class TestSimulation:
    """Guard against estimates that are worse than none in placement."""

    def mean_wait_s(self, seeds, speeds, *, informed=False, **named):
        total = 0.0
        for seed in range(seeds):
            simulation = Simulation(speeds, seed, **named)
            simulation.play(200, informed=informed)
            total += simulation.play(200, informed=informed)
        return total / seeds

    @pytest.mark.parametrize(
        ("speeds", "knee"),
        [
            ([0.6, 1.0, 1.6] * 2, None),
            ([1.0] * 6, 3),
            ([1.0], None),
            ([2.5, 1.0, 1.0, 1.0, 1.0, 1.0], None),
        ],
    )
    def test_mean_wait_is_close_to_that_of_full_knowledge(self, speeds, knee):
        wait_s, best_s = (
            self.mean_wait_s(60, speeds, informed=informed, knee=knee)
            for informed in (False, True)
        )
        assert wait_s <= 1.1 * best_s

    def test_different_speeds_are_worth_knowing(self):
        speeds = [0.6, 1.0, 1.6] * 2
        wait_s = self.mean_wait_s(40, speeds)
        total = 0.0
        for seed in range(40):
            simulation = Simulation(speeds, seed)
            ignorant = placement.Preference(NORTH).pace_of
            simulation.play(200, pace_of=ignorant)
            total += simulation.play(200, pace_of=ignorant)
        assert wait_s < 0.95 * total / 40

    def test_uniform_pool_waits_no_longer(self):
        speeds = [1.0] * 6
        wait_s, best_s = (
            self.mean_wait_s(60, speeds, informed=informed)
            for informed in (False, True)
        )
        assert wait_s <= 1.02 * best_s

    @pytest.mark.parametrize("slowest", [1.6, 4.0, 20.0])
    def test_every_target_gets_some_requests(self, slowest):
        for seed in range(50):
            simulation = Simulation([slowest, 1.0, 1.0, 0.6], seed)
            simulation.play(200)
            simulation.served = [0] * 4
            # The estimate of an idle target decays in some minutes.
            simulation.rate = 3.0
            simulation.play(900)
            assert min(simulation.served) > 0

    def test_step_in_pace_is_followed(self):
        """The wait after a step is close to that of full knowledge."""
        waits = []
        for informed in (False, True):
            total = 0.0
            for seed in range(60):
                simulation = Simulation([1.0] * 6, seed)
                simulation.play(200, informed=informed)
                simulation.speeds[0] = 2.5
                simulation.play(60, informed=informed)
                total += simulation.play(200, informed=informed)
            waits.append(total)
        assert waits[0] <= 1.1 * waits[1]

    def test_service_that_is_slow_as_a_whole_is_not_starved(self):
        simulation = Simulation([1.0] * 6, 1)
        simulation.play(200)
        simulation.speeds = [5.0] * 6
        simulation.served = [0] * 6
        simulation.play(300)
        assert min(simulation.served) > 20
