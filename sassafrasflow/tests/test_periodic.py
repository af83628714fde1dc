"""Tests of the periodic background task."""

import asyncio

import pytest

from sassafrasflow import periodic


class TestPeriodic:
    @pytest.mark.parametrize("at_once", [True, False])
    async def test_continues_after_an_error(self, at_once):
        runs = []
        third_run = asyncio.Event()

        async def step():
            runs.append(len(runs))
            if len(runs) == 3:
                third_run.set()
            raise ValueError("unexpected")

        task = periodic.Periodic("test", step, lambda: 0.0)
        task.start(at_once=at_once)
        await third_run.wait()
        await task.close()
        count = len(runs)
        await asyncio.sleep(0)
        assert len(runs) == count

    async def test_close_ends_a_step(self):
        started = asyncio.Event()
        never = asyncio.Event()

        async def step():
            started.set()
            await never.wait()

        task = periodic.Periodic("test", step, lambda: 0.0)
        await task.close()
        task.start(at_once=True)
        await started.wait()
        await task.close()
