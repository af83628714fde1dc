"""Heavy loads on many instances with gates, in virtual time.

The figures are those of the deployment with 83 instances and 89 engines: 2.21
urgent streams a second (rank 0, 4 s) and 26.2 patient ones (rank 2, 10 s).
"""

import asyncio

import msgspec
import pytest

from sassafrasflow import ids
from sassafrasflow.admission.tests import gated_fleet as fleets
from sassafrasflow.admission.tests import virtual_loop

BOTH = (fleets.URGENT, fleets.PATIENT)
SEEDS = (1, 2, 3)


def scaled(factor, classes=BOTH) -> list[fleets.Class]:
    return [
        msgspec.structs.replace(cls, rate=factor * cls.rate) for cls in classes
    ]


async def burst(fleet) -> None:
    """Play five times the load for 5 s, amid the ordinary one."""
    ordinary = asyncio.create_task(fleet.play(BOTH, 20))
    await asyncio.sleep(5)
    await asyncio.gather(*(fleet.arrivals(cls, 5) for cls in scaled(4)))
    await ordinary


async def half_gone(fleet) -> None:
    """Lose half of the engines for good."""
    ordinary = asyncio.create_task(fleet.play(BOTH, 20))
    await asyncio.sleep(5)
    await asyncio.gather(*(each.crash(60) for each in fleet.engines[::2]))
    await ordinary


async def herd(fleet) -> None:
    """Return all streams of 12 s at once, as after a kill of all instances."""
    for _ in range(314):
        fleet.start(fleets.PATIENT)
    for _ in range(26):
        fleet.start(fleets.URGENT)
    await fleet.play(BOTH, 10)


async def data_centres_in_turn(fleet) -> None:
    """Lose the engines of each data centre in turn for 1.2 s, every 1 s."""
    crashes = []

    async def lose():
        for number in range(18):
            await asyncio.sleep(1.0)
            crashes.extend(
                asyncio.create_task(engine.crash(1.2))
                for engine in fleet.engines
                if engine.data_centre == number % fleets.DATA_CENTRES
            )

    losses = asyncio.create_task(lose())
    await fleet.play(BOTH, 18)
    await losses
    await asyncio.gather(*crashes)


def play(load, **named) -> fleets.Fleet:
    """Play a load on a new fleet."""

    async def simulation():
        fleet = fleets.Fleet(**named)
        await load(fleet)
        return fleet

    return virtual_loop.run(simulation())


def play_seeds(load, **named) -> list[fleets.Fleet]:
    return [play(load, seed=seed, **named) for seed in SEEDS]


def on_time(played, name) -> float:
    """Return the share of a class that was on time in some fleets."""
    times = [each for fleet in played for each in fleet.first_s[name]]
    goal_s = played[0].goals[name]
    return sum(each <= goal_s for each in times) / len(times)


class TestUrgentStreams:
    """Guard against urgent streams that wait behind patient ones."""

    @pytest.mark.parametrize("load", [burst, half_gone])
    def test_are_on_time_at_least_as_often_as_patient_ones(self, load):
        played = play_seeds(load)
        assert on_time(played, "urgent") >= on_time(played, "patient")
        assert on_time(played, "urgent") >= 0.98

    @pytest.mark.parametrize("load", [herd, data_centres_in_turn])
    def test_are_on_time(self, load):
        """A lost run takes a quarter of an urgent stream's time.

        The patient ones have time for three runs.
        """
        played = play_seeds(load)
        assert on_time(played, "urgent") >= 0.97
        assert on_time(played, "patient") >= 0.99

    @pytest.mark.parametrize("load", [burst, herd])
    def test_patient_ones_pay_little(self, load):
        """Guard against a gate that leaves engines idle under load."""
        held = play_seeds(load)
        sent = play_seeds(load, has_gates=False)
        assert on_time(sent, "urgent") < 0.85
        for with_gates, without in zip(held, sent, strict=True):
            assert with_gates.percentile(
                "patient"
            ) <= 1.4 * without.percentile("patient")

    def test_ordinary_load_is_not_held(self):
        async def ordinary(fleet):
            await fleet.play(BOTH, 20)

        held = play(ordinary)
        sent = play(ordinary, has_gates=False)
        for name in ("urgent", "patient"):
            assert held.percentile(name) <= 1.05 * sent.percentile(name)


class TestStreamsOfOneRank:
    """Guard against a wait that helps nobody.

    In the other deployment all streams have rank 1 and 4.5 s. It has 85
    instances and 48 engines; here five times the load for 5 s.
    """

    CLASSES = tuple(
        fleets.Class(name, rate, 1, 4.5)
        for name, rate in (("urgent", 1.04), ("patient", 9.93))
    )

    async def load(self, fleet):
        ordinary = asyncio.create_task(fleet.play(self.CLASSES, 20))
        await asyncio.sleep(5)
        extra = scaled(4, self.CLASSES)
        await asyncio.gather(*(fleet.arrivals(cls, 5) for cls in extra))
        await ordinary

    def test_are_on_time_as_often_as_without_gates(self):
        sizes = {"instances": 85, "engines": 48}
        held = play_seeds(self.load, **sizes)
        sent = play_seeds(self.load, has_gates=False, **sizes)
        for name in ("urgent", "patient"):
            assert on_time(held, name) >= on_time(sent, name)


class TestIdleEngines:
    """Guard against streams that wait while an engine could run them."""

    @pytest.mark.parametrize(
        "load", [burst, half_gone, herd, data_centres_in_turn]
    )
    def test_waiting_stream_finds_one_of_several_soon(self, load):
        for fleet in play_seeds(load):
            assert fleet.longest_beside_idle_s < 1.0


class TestOverloadingOrganisation:
    """Guard against one organisation that delays the others."""

    @pytest.mark.parametrize("seed", SEEDS)
    def test_others_keep_their_times(self, seed):
        """One of ten organisations has eight times its load."""

        def organisations(factor):
            return [
                msgspec.structs.replace(
                    fleets.PATIENT,
                    name=f"o{number}",
                    rate=2.62 * (factor if number == 0 else 1),
                    organisation=ids.OrganisationId(f"o{number}"),
                )
                for number in range(10)
            ]

        def others(factor) -> float:
            async def load(fleet):
                classes = [fleets.URGENT, *organisations(factor)]
                await fleet.play(classes, 30)

            fleet = play(load, seed=seed)
            times = sorted(
                each
                for number in range(1, 10)
                for each in fleet.first_s[f"o{number}"]
            )
            assert fleet.on_time("urgent") >= 0.98
            return times[int(0.95 * len(times))]

        assert others(8) <= 1.25 * others(1)


class TestImpatientCallers:
    """Guard against refused callers that retry at once and crowd out others.

    Three in four engines are gone, so that the others are full.
    """

    async def load(self, fleet):
        fleet.retries_at_once = True
        await fleet.play(BOTH, 20)

    def test_urgent_streams_are_on_time_as_often_as_patient_ones(self):
        played = play_seeds(self.load, engines=24)
        assert on_time(played, "urgent") >= on_time(played, "patient")
        without = play_seeds(self.load, engines=24, has_gates=False)
        assert on_time(played, "urgent") > on_time(without, "urgent")
        assert on_time(played, "patient") > 0.9 * on_time(without, "patient")
