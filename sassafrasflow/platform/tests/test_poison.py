"""Test a request that crashes its targets and is sent repeatedly."""

import asyncio
import itertools

import pytest

from sassafrasflow.platform.tests import crashes

ROUNDS = 8
COPIES = 4
ALLOWED_LATE_CRASHES = 3
MAX_CRASHES = crashes.ALLOWED_CRASHES + ALLOWED_LATE_CRASHES
# Callers of silent targets wait for PATIENCE_MS.
PATIENCE_MS = 1000
# Pause between the answer to a copy of the request and the next copy.
PAUSE_S = 0.7


@pytest.fixture
def pool(fleet):
    """Return a pool of targets that a request may crash."""
    return crashes.CrashingPool(fleet)


class TestCrashingRequestReachesFewTargets:
    """Rule BUDGET holds whatever happens during and between the copies."""

    async def repeat(self, pool, path=crashes.BOOK):
        for number in range(ROUNDS):
            await crashes.send_request(
                pool.fleet, number % crashes.INSTANCES, f"r{number}", path=path
            )
            await asyncio.sleep(PAUSE_S)
            await pool.settle()

    @pytest.mark.parametrize(
        "path", [crashes.PLAN, crashes.READ, crashes.BOOK]
    )
    async def test_when_it_comes_to_one_instance_after_another(
        self, pool, path
    ):
        await pool.start(8)
        await self.repeat(pool, path)
        assert 1 <= pool.crash_count <= MAX_CRASHES

    @pytest.mark.parametrize("bodies", [1, 2])
    async def test_when_copies_come_at_once_to_several_instances(
        self, pool, bodies
    ):
        await pool.start(8, zones="a")
        rounds = itertools.count()
        async with crashes.traffic(pool.fleet):
            last = 0
            while last < ROUNDS:
                last += pool.is_detection_due()
                number = next(rounds)
                await asyncio.gather(
                    *(
                        crashes.send_request(
                            pool.fleet,
                            (number + copy) % crashes.INSTANCES,
                            f"r{number}-{copy}",
                            crashes.POISON + b"%d" % (copy % bodies),
                            crashes.BOOK,
                        )
                        for copy in range(COPIES)
                    )
                )
                await asyncio.sleep(PAUSE_S)
                await pool.settle()
        assert pool.late_crash_count <= ALLOWED_LATE_CRASHES

    @pytest.mark.parametrize(
        "path", [crashes.PLAN, crashes.READ, crashes.BOOK]
    )
    async def test_when_its_targets_restart_before_detection(self, pool, path):
        pool.restart_at_once = True
        await pool.start(8)
        await self.repeat(pool, path)
        assert 1 <= pool.crash_count <= MAX_CRASHES

    @pytest.mark.parametrize(
        "path", [crashes.PLAN, crashes.READ, crashes.BOOK]
    )
    async def test_when_its_targets_fall_silent(
        self, pool, fleet, monkeypatch, path
    ):
        await pool.start(8)
        pool.silence_targets(monkeypatch)
        async with crashes.traffic(fleet):
            for number in range(ROUNDS):
                await crashes.send_request(
                    fleet,
                    number % crashes.INSTANCES,
                    f"r{number}",
                    path=path,
                    X_Deadline_Remaining=str(PATIENCE_MS),
                )
                await asyncio.sleep(crashes.SILENT_S)
                await pool.settle()
        assert 1 <= pool.crash_count <= MAX_CRASHES

    async def test_when_other_targets_crash_at_the_same_time(self, pool):
        pool.extra_crashes = 2
        await pool.start(8, zones="a")
        async with crashes.traffic(pool.fleet):
            await self.repeat(pool)
        assert 1 <= pool.crash_count <= MAX_CRASHES

    async def test_when_each_copy_reaches_a_restarted_instance(
        self, pool, fleet
    ):
        await pool.start(8)
        for number in range(ROUNDS):
            await pool.restart_instance(number % crashes.INSTANCES)
            await crashes.send_request(
                fleet, number % crashes.INSTANCES, f"r{number}"
            )
            await pool.settle()
        assert 1 <= pool.crash_count <= MAX_CRASHES

    async def test_when_all_instances_start_again(self, pool, fleet):
        await pool.start(6, instances=2)
        for number in range(ROUNDS // 2):
            for gateway in fleet.gateways:
                await gateway.close()
            for instance in range(2):
                await pool.restart_instance(instance)
            await crashes.send_request(fleet, number % 2, f"r{number}")
            await pool.settle()
        assert 1 <= pool.crash_count <= MAX_CRASHES

    @pytest.mark.parametrize("instances", [1, crashes.INSTANCES])
    async def test_when_a_failing_target_answers_every_other_copy(
        self, pool, fleet, instances
    ):
        await pool.start(8, instances)
        for number in range(2 * ROUNDS):
            pool.failing = number % 2 == 1
            await crashes.send_request(
                fleet, number % instances, f"r{number}", path=crashes.BOOK
            )
            await asyncio.sleep(PAUSE_S)
            await pool.settle()
        assert 1 <= pool.crash_count <= MAX_CRASHES

    @pytest.mark.parametrize("delay_s", [0.1, 0.15])
    async def test_when_its_callers_leave_before_the_crash(
        self, pool, fleet, delay_s
    ):
        pool.crash_delay_s = delay_s
        await pool.start(8)
        async with crashes.traffic(fleet):
            for number in range(2 * ROUNDS):
                async with fleet.caller(number % crashes.INSTANCES) as caller:
                    caller.send(
                        crashes.PLAN,
                        method="POST",
                        body=crashes.POISON,
                        attempt=f"r{number}",
                    )
                    await asyncio.sleep(0.05)
                await asyncio.sleep(0.1)
                await pool.settle()
        assert 1 <= pool.crash_count <= MAX_CRASHES

    async def test_when_it_crashes_in_the_middle_of_a_stream(self, pool):
        pool.events_before_crash = 5
        await pool.start(8)
        await self.repeat(pool, crashes.PLAN)
        assert 1 <= pool.crash_count <= MAX_CRASHES
