"""Tests of how false verdicts end, and of what true ones cost."""

import asyncio

import pytest

from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts
from sassafrasflow.rechecks import manager as managers
from sassafrasflow.rechecks import schedule as schedules
from sassafrasflow.rechecks.tests import simulation

FIRST, CRASHING = simulation.FIRST, simulation.CRASHING
PERIOD_S = 0.3
# Sound requests have to be served again by this time after a crash.
RECOVERY_S = 8.0
# Operators allow so many runs of crashing requests after the fifth crash.
ALLOWED_LATE_RUNS = 3


async def send_for(fleet, duration_s, *parts, instances=None, crashes=False):
    """Send requests to instances in turn; return how many were admitted."""
    numbers = instances or range(len(fleet))
    admitted = 0
    for step in range(round(duration_s / PERIOD_S)):
        number = numbers[step % len(numbers)]
        admitted += fleet.send(number, *parts, crashes=crashes)
        await asyncio.sleep(PERIOD_S)
    return admitted


class TestFalseVerdict:
    """Guard against sound requests that are refused for ten minutes."""

    @pytest.mark.parametrize("instances", [1, 3, 40])
    def test_sound_requests_of_one_instance_end_it_everywhere(self, instances):
        async def scenario(fleet):
            await fleet.crash_three(instances - 1, FIRST)
            await send_for(fleet, RECOVERY_S, FIRST, instances=[0])
            assert not fleet.refusing(FIRST)

        simulation.simulate(scenario, instances)

    def test_stored_verdict_ends_after_all_instances_were_killed(self):
        async def scenario(fleet):
            await fleet.crash_three(0, FIRST)
            await asyncio.sleep(1.0)
            await fleet.kill(0, 1, 2)
            assert fleet.refusing(FIRST) == 3
            await send_for(fleet, RECOVERY_S, FIRST)
            assert not fleet.refusing(FIRST)

        simulation.simulate(scenario)

    def test_recheck_that_is_lost_with_its_instance_is_repeated(self):
        async def scenario(fleet):
            await fleet.crash_three(1, FIRST)
            while not fleet.checks:
                await send_for(fleet, PERIOD_S, FIRST, instances=[0])
            await fleet.kill(0, 1, 2)
            await send_for(fleet, 15.0, FIRST)
            assert not fleet.refusing(FIRST)
            assert len(fleet.checks) == 2

        simulation.simulate(scenario)

    def test_crashing_requests_do_not_take_the_recheck(self):
        """A crash by another part would confirm the verdict falsely."""

        async def scenario(fleet):
            for _ in range(3):
                fleet.crash(1, FIRST, CRASHING)
            for _ in range(3):
                fleet.crash(2, FIRST)
                await asyncio.sleep(0.1)
            assert fleet.refusing(FIRST) == 3
            key = prompt_parts.key_of([FIRST, CRASHING])
            for manager in fleet.managers.values():
                # Only the verdict on the first part is left.
                manager.state._refused_until.pop(key, None)
            await asyncio.sleep(3.0)
            for _ in range(10):
                for number in range(3):
                    assert not fleet.send(number, FIRST, CRASHING)
                await asyncio.sleep(0.1)
            await send_for(fleet, 2.0, FIRST, instances=[0])
            assert not fleet.refusing(FIRST)

        simulation.simulate(scenario)

    def test_request_with_a_further_suspect_part_is_used_in_the_end(self):
        async def scenario(fleet):
            for _ in range(2):
                fleet.crash(1, CRASHING)
            await fleet.crash_three(1, FIRST)
            await send_for(fleet, 15.0, FIRST, CRASHING)
            assert not fleet.refusing(FIRST)

        simulation.simulate(scenario)

    def test_verdict_on_a_request_ends_too(self):
        async def scenario(fleet):
            for manager in fleet.managers.values():
                manager.state.refuse("asked", fleet.loop.time() + 600)
            await asyncio.sleep(schedules.REQUEST_DELAYS_S[0])
            for _ in range(10):
                fleet.send(0, request="asked")
                await asyncio.sleep(PERIOD_S)
            assert not fleet[0].is_refused("asked")

        simulation.simulate(scenario)

    def test_next_verdict_on_the_same_part_ends_as_soon(self):
        async def scenario(fleet):
            for _ in range(4):
                await fleet.crash_three(1, FIRST)
                await send_for(fleet, RECOVERY_S, FIRST, instances=[0])
                assert not fleet.refusing(FIRST)
                # Runs that go on after a crash disprove it.
                await asyncio.sleep(2 * simulation.RUN_S)
            assert len(fleet.checks) == 4

        simulation.simulate(scenario)


class TestTrueVerdict:
    """Guard against rechecks that grow with instances, starts or repeats."""

    @pytest.mark.parametrize("instances", [1, 8, 40])
    def test_runs_are_bounded_for_the_deployment(self, instances):
        async def scenario(fleet):
            await fleet.crash_three(0, FIRST, CRASHING)
            await send_for(
                fleet,
                poison.RETENTION_S - 10,
                FIRST,
                CRASHING,
                crashes=True,
            )
            # Three crashes came before, and five are free.
            assert 0 < len(fleet.checks) <= 2 + ALLOWED_LATE_RUNS
            assert len(fleet.checks) <= len(schedules.PART_DELAYS_S)

        simulation.simulate(scenario, instances)

    @pytest.mark.parametrize("period_s", [1.0, 5.0, 20.0])
    def test_restarts_of_all_instances_add_none(self, period_s):
        async def scenario(fleet):
            await fleet.crash_three(0, FIRST, CRASHING)
            await asyncio.sleep(0.5)
            for _ in range(round(300 / period_s)):
                await send_for(fleet, period_s, FIRST, CRASHING, crashes=True)
                await fleet.kill(0, 1, 2)
            assert len(fleet.checks) <= len(schedules.PART_DELAYS_S)

        simulation.simulate(scenario)

    def test_restore_of_the_store_adds_none(self):
        async def scenario(fleet):
            await fleet.crash_three(0, FIRST, CRASHING)
            for _ in range(5):
                await send_for(fleet, 50.0, FIRST, CRASHING, crashes=True)
                fleet.registry.restore({})
            assert len(fleet.checks) <= len(schedules.PART_DELAYS_S)

        simulation.simulate(scenario)

    def test_requests_at_all_instances_at_once_take_one(self):
        async def scenario(fleet):
            await fleet.crash_three(0, FIRST, CRASHING)
            await asyncio.sleep(3.0)
            for _ in range(40):
                for number in range(len(fleet)):
                    fleet.send(number, FIRST, CRASHING, crashes=True)
                await asyncio.sleep(0.1)
            assert len(fleet.checks) == fleet.registry.claims == 1

        simulation.simulate(scenario, 20)


class TestClaims:
    """Guard against two requests with one claim, and claims for nothing."""

    @pytest.mark.parametrize("outcome", ["lost", "applied", "late"])
    def test_claim_without_an_answer_is_not_used(self, outcome):
        async def scenario(fleet):
            fleet.registry.outcomes = [outcome]
            await fleet.crash_three(0, FIRST, CRASHING)
            await send_for(fleet, 100.0, FIRST, CRASHING, crashes=True)
            assert len(fleet.checks) <= fleet.registry.claims
            assert fleet.checks

        simulation.simulate(scenario)

    def test_store_that_is_away_delays_the_recheck(self):
        async def scenario(fleet):
            await fleet.crash_three(0, FIRST)
            fleet.registry.is_down = True
            assert not await send_for(fleet, 20.0, FIRST)
            fleet.registry.is_down = False
            await send_for(fleet, RECOVERY_S, FIRST)
            assert not fleet.refusing(FIRST)

        simulation.simulate(scenario)

    def test_claim_of_a_request_that_was_not_sent_serves_another(self):
        async def scenario(fleet):
            await fleet.crash_three(0, FIRST)
            manager = fleet[0].rechecks
            await asyncio.sleep(3.0)
            job = fleet.job(FIRST)
            while not manager.admit(job):
                await asyncio.sleep(PERIOD_S)
            assert not fleet[0].is_poison(job)
            manager.end(job)
            await send_for(fleet, 2.0, FIRST, instances=[0])
            assert not fleet.refusing(FIRST)
            assert fleet.registry.claims == 1

        simulation.simulate(scenario)

    def test_request_is_refused_again_once_it_was_sent(self):
        async def scenario(fleet):
            await fleet.crash_three(0, FIRST)
            await asyncio.sleep(3.0)
            job = fleet.job(FIRST)
            while not fleet[0].rechecks.admit(job):
                await asyncio.sleep(PERIOD_S)
            fleet[0].begin_run(job, fleet.target())
            assert fleet[0].is_poison(job)

        simulation.simulate(scenario)

    def test_most_instances_do_not_call_the_store(self):
        async def scenario(fleet):
            await fleet.crash_three(0, FIRST, CRASHING)
            await asyncio.sleep(2.0)
            before = fleet.registry.store_calls
            await send_for(fleet, 10.0, FIRST, CRASHING, crashes=True)
            assert fleet.registry.store_calls - before <= 6

        simulation.simulate(scenario, 40)


class TestRetryAfter:
    """Callers that are refused return when a recheck may have helped."""

    def test_it_covers_the_next_recheck(self):
        async def scenario(fleet):
            manager = fleet[0].rechecks
            await fleet.crash_three(0, FIRST)
            wait_s = manager.retry_after_s(fleet.job(FIRST))
            first_s = schedules.PART_DELAYS_S[0] + managers.OUTCOME_S
            assert wait_s == pytest.approx(first_s, abs=1.5)
            assert manager.retry_after_s(fleet.job(CRASHING)) is None

        simulation.simulate(scenario)
