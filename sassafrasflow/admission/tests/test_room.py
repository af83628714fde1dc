"""Room of engines, demands of streams and the choice among targets."""

import math
import random

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasflow import ids
from sassafrasflow.admission import placing
from sassafrasflow.admission import room
from sassafrasflow.admission import waiting
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import targets
from sassafrasflow.gateway.tests import test_targets

NORTH = ids.DataCentre("north")
SOUTH = ids.DataCentre("south")
WEST = ids.DataCentre("west")
REGIONS = {
    NORTH: ids.Region("one"),
    SOUTH: ids.Region("one"),
    WEST: ids.Region("two"),
}
MEMORY = 88_000
# Prompt and answer of the streams of deployment A.
STREAM = room.Demand(8_980, 8_200)
LARGE = room.Demand(4 * 8_200 + 780, 4 * 8_200)


def room_with(used_tokens=0, prefill_tokens=0, used_slots=0) -> room.Room:
    """Return the room of an engine with twelve slots."""
    return room.Room(MEMORY, used_tokens, prefill_tokens, 12, used_slots, 0.0)


def engine(name, data_centre=NORTH, **figures) -> targets.Target:
    """Return an engine with some of this instance's work."""
    entry = test_targets.listed(name, data_centre=data_centre, slots=12)
    target = targets.Target(entry, 1)
    for field, value in figures.items():
        setattr(target, field, value)
    return target


def choose(candidates, demand=STREAM) -> targets.Target | None:
    """Choose an engine for a stream of an instance in NORTH."""
    preference = placement.Preference(
        NORTH, demand=demand, memory_tokens=MEMORY
    )
    rng = random.Random(1)
    return placement.choose_target(candidates, preference, 10.0, rng)


class TestFits:
    """Guard against streams that an engine preempts or rejects."""

    def test_memory_of_copies_and_waiting_prompts_counts(self):
        free = MEMORY - STREAM.tokens
        assert room.fits(room_with(used_tokens=free), STREAM)
        assert not room.fits(room_with(used_tokens=free + 1), STREAM)

    def test_engine_without_a_slot_has_no_room(self):
        assert room.fits(room_with(used_slots=11), STREAM)
        assert not room.fits(room_with(used_slots=12), STREAM)

    def test_copy_leaves_room_for_an_ordinary_stream(self):
        used = MEMORY - 2 * STREAM.tokens
        assert room.fits_copy(room_with(used_tokens=used), STREAM, STREAM)
        assert not room.fits_copy(
            room_with(used_tokens=used + 1), STREAM, STREAM
        )

    def test_copy_needs_no_slot(self):
        assert room.fits_copy(room_with(used_slots=12), STREAM, STREAM)


class TestWait:
    """The first event comes after all prompts that wait at the engine."""

    def test_waiting_prompts_and_own_prompt_are_read(self):
        waiting = room_with(prefill_tokens=2 * 8_200)
        assert room.wait_s(waiting, STREAM) == pytest.approx(3.075)

    def test_slow_engine_takes_longer(self):
        assert room.wait_s(room_with(), STREAM, 1.6) == pytest.approx(1.64)


class TestDemand:
    """Guard against counts of callers that take more than they need."""

    def demand_of(self, prompt=8_200, answer=780, hint=0) -> room.Demand:
        return room.demand_of(prompt, answer, hint, MEMORY, STREAM)

    def test_prompt_and_answer_count(self):
        assert self.demand_of() == STREAM

    def test_hint_lowers_the_expected_answer(self):
        """A hint is doubled, as half of the answers are longer."""
        assert self.demand_of(answer=2_000, hint=600).tokens == 9_400

    def test_low_hint_is_not_believed(self):
        assert self.demand_of(answer=2_000, hint=1).tokens == 9_200

    def test_high_hint_does_not_raise_the_count(self):
        assert self.demand_of(hint=10**300) == STREAM

    def test_hint_without_counts_claims_no_whole_engine(self):
        demand = self.demand_of(answer=0, hint=10**300)
        assert demand.tokens == 8_200 + STREAM.tokens

    def test_request_without_counts_is_an_ordinary_one(self):
        assert self.demand_of(prompt=0, answer=0) == STREAM

    @hypothesis.given(
        strategies.integers(0, 10**18),
        strategies.integers(0, 10**18),
        strategies.integers(0, 10**18),
    )
    def test_no_stream_needs_more_than_an_engine(self, prompt, answer, hint):
        """Guard against a stream that would never fit anywhere."""
        demand = self.demand_of(prompt, answer, hint)
        assert 0 <= demand.prefill_tokens <= demand.tokens <= MEMORY
        assert room.fits(room_with(), demand)

    def test_average_starts_with_the_share_of_a_slot(self):
        average = room.DemandAverage(MEMORY, 12)
        assert average.ordinary.tokens == round(MEMORY / 12)

    def test_average_follows_the_streams(self):
        average = room.DemandAverage(MEMORY, 12)
        for _ in range(200):
            average.record(STREAM)
        assert average.ordinary.tokens == pytest.approx(8_980, rel=0.01)

    def test_one_large_prompt_changes_the_average_little(self):
        average = room.DemandAverage(MEMORY, 12)
        for _ in range(200):
            average.record(STREAM)
        average.record(LARGE)
        assert average.ordinary.tokens < 1.1 * STREAM.tokens


class TestPlacement:
    """Steady load of deployment A: no engine is asked for more than it has."""

    def test_engine_where_the_stream_fits_wins(self):
        full = engine("full", used_tokens=80_000)
        busy = engine("busy", in_flight=8, used_tokens=72_000)
        assert choose([full, busy]) is busy

    def test_large_prompt_goes_where_it_fits(self):
        near = engine("near", in_flight=6, used_tokens=54_500)
        remote = engine("remote", SOUTH, in_flight=6, used_tokens=54_300)
        assert choose([near, remote], LARGE) is remote

    def test_tokens_of_other_instances_count(self):
        full, free = engine("full"), engine("free", SOUTH)
        full.peer_used_tokens = 80_000
        assert choose([full, free]) is free

    def test_copies_count(self):
        holder = engine("holder", copies=9, used_tokens=81_000)
        free = engine("free", in_flight=5, used_tokens=45_000)
        assert choose([holder, free]) is free

    def test_shorter_wait_wins_over_fewer_streams(self):
        reading = engine(
            "reading", in_flight=1, prefills=1, prefill_tokens=LARGE.tokens
        )
        running = engine("running", in_flight=6, used_tokens=54_000)
        assert choose([reading, running]) is running

    def test_unhealthy_engine_with_room_is_a_last_resort(self):
        """The order of health and avoidance comes before that of room."""
        lost, full = engine("lost"), engine("full", used_tokens=80_000)
        lost.record_loss(9.5)
        assert choose([lost, full]) is full

    def test_without_room_the_shortest_wait_wins(self):
        first = engine("first", used_tokens=85_000, prefill_tokens=16_400)
        second = engine("second", used_tokens=87_000)
        assert choose([first, second]) is second

    def test_choice_tells_room_wait_and_age(self):
        target = engine("e1", used_tokens=80_000, prefill_tokens=8_200)
        target.peers_known_at = 9.9
        preference = placement.Preference(
            NORTH, demand=STREAM, memory_tokens=MEMORY
        )
        choice = preference.choice_of(target, 10.0)
        assert not choice.fits
        assert choice.wait_s == pytest.approx(2.05)
        assert choice.age_s == pytest.approx(0.1)
        target.peers_known_at = None
        assert preference.choice_of(target, 10.0).age_s == math.inf

    @pytest.mark.parametrize("seed", range(200))
    def test_service_without_memory_is_placed_as_before(self, seed):
        """Guard against a change for services that state no memory."""
        rng = random.Random(seed)
        candidates = [
            engine(
                f"e{number}",
                rng.choice([NORTH, SOUTH]),
                in_flight=rng.randrange(9),
                used_tokens=rng.randrange(2 * MEMORY),
                prefill_tokens=rng.randrange(MEMORY),
            )
            for number in range(8)
        ]
        preference = placement.Preference(NORTH)
        chosen = placement.choose_target(candidates, preference, 10.0, rng)
        assert preference.cost_of(chosen) == min(
            map(preference.cost_of, candidates)
        )
        assert preference.choice_of(chosen, 10.0).fits


class TestRegions:
    """Guard against streams that cross regions without need.

    The query and the request take 80 ms in round trips between regions.
    """

    def preference(self, **named) -> placement.Preference:
        named = {"regions": REGIONS, **named}
        return placement.Preference(
            NORTH, demand=STREAM, memory_tokens=MEMORY, **named
        )

    @pytest.mark.parametrize(
        "figures, is_worth",
        [
            ({}, True),
            ({"in_flight": 5}, True),
            ({"in_flight": 6}, False),
            ({"prefill_tokens": 600}, True),
            ({"prefill_tokens": 700}, False),
            ({"used_tokens": MEMORY}, False),
            ({"lost_at": 9.0}, False),
            ({"peers_known_at": None}, False),
        ],
    )
    @pytest.mark.parametrize("data_centre", [NORTH, SOUTH])
    def test_stream_stays_for_a_nearly_idle_engine(
        self, data_centre, figures, is_worth
    ):
        figures = {"peers_known_at": 9.9, **figures}
        target = engine("e1", data_centre, **figures)
        preference = self.preference()
        assert preference.is_worth_staying_for(target, 10.0) is is_worth

    def test_unknown_regions_are_no_reason_to_stay(self):
        preference = self.preference(regions={})
        target = engine("e1", peers_known_at=9.9)
        assert not preference.is_worth_staying_for(target, 10.0)
        assert not preference.is_in_region(engine("e1", SOUTH))

    def test_idle_engine_of_the_region_costs_less_than_a_distant_one(self):
        preference = self.preference()
        costs = [
            preference.cost_of(engine(where, where))
            for where in (NORTH, SOUTH, WEST)
        ]
        assert costs == sorted(costs) and len(set(costs)) == 3
        assert costs[1] < 0.1 * costs[2]

    def test_sample_of_a_waiting_stream_has_no_nearby_part(self):
        """Its size is part of the budget for queries."""
        candidates = [
            engine(f"{where}{n}", where)
            for where in (NORTH, SOUTH, WEST)
            for n in range(9)
        ]
        rng = random.Random(1)
        drawn = placement.sample_choices(
            candidates, self.preference(), 10.0, rng
        )
        counts = [len(drawn.local), len(drawn.nearby), len(drawn.remote)]
        assert counts == [2, 4, 2]
        size = waiting.SampleSize(3, 3)
        drawn = placement.sample_choices(
            candidates, self.preference(), 10.0, rng, size
        )
        counts = [len(drawn.local), len(drawn.nearby), len(drawn.remote)]
        assert counts == [3, 0, 3]


class TestCopies:
    """Guard against copies that take the room of streams.

    Of 747 copies that were ordered on a heavy day of A, 182 were used.
    """

    def holders(self, *candidates) -> list[targets.Target]:
        return placement.holders_with_room(
            candidates, MEMORY, STREAM, STREAM, 10.0
        )

    def test_copy_goes_only_where_it_leaves_room(self):
        full = engine("full", SOUTH, used_tokens=MEMORY - 17_000)
        free = engine("free", SOUTH, in_flight=7, used_tokens=63_000)
        assert self.holders(full, free) == [free]

    def test_no_copy_without_room(self):
        assert not self.holders(engine("full", used_tokens=80_000))


class TestFormerBuild:
    """Instances of the former build report only a number of requests."""

    def test_work_is_estimated_from_the_load(self):
        """Guard against engines that seem empty during an upgrade."""
        work = placing.estimate_work(18.0, STREAM)
        assert work.streams == 9
        assert work.used_tokens == pytest.approx(9 * 8_980, rel=0.01)
        assert not placing.estimate_work(0.0, STREAM).used_tokens
