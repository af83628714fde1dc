"""Tests of the background step."""

import asyncio

import pytest

from sassafrasflow import periodic


class TestPeriodic:
    @pytest.mark.parametrize("at_once", [True, False])
    async def test_goes_on_after_an_error(self, at_once):
        runs = []
        enough = asyncio.Event()

        async def step():
            runs.append(len(runs))
            if len(runs) == 3:
                enough.set()
            raise ValueError("unexpected")

        repeated = periodic.Periodic("test", step, lambda: 0.0)
        repeated.start(at_once=at_once)
        await enough.wait()
        await repeated.close()
        count = len(runs)
        await asyncio.sleep(0)
        assert len(runs) == count

    async def test_close_ends_a_step(self):
        began = asyncio.Event()
        never = asyncio.Event()

        async def step():
            began.set()
            await never.wait()

        repeated = periodic.Periodic("test", step, lambda: 0.0)
        await repeated.close()
        repeated.start(at_once=True)
        await began.wait()
        await repeated.close()
