"""Tests of verdicts on requests that don't crash targets any more."""

import asyncio

import pytest

from sassafrasflow.platform.tests import test_poison_parts as pools

PARTS = (pools.FIRST, pools.CRASHING)
# Operators allow this long until sound requests are served again.
RECOVERY_S = 8.0
PAUSE_S = 0.1


class MendedPool(pools.PartPool):
    """Run targets that a part crashes until they are mended."""

    is_mended = False

    def is_crashing(self, req):
        return not self.is_mended and super().is_crashing(req)


@pytest.fixture
def pool(fleet):
    return MendedPool(fleet)


class TestVerdictWithoutCause:
    """Guard against sound requests that are refused for ten minutes."""

    async def refuse(self, pool):
        """Let a part be refused, and mend the targets."""
        await pool.start_in_two()
        for number in range(pools.FREE_CRASHES):
            await pool.send_crashing(number)
            await asyncio.sleep(PAUSE_S)
            await pool.settle()
        pool.is_mended = True
        answer = await pool.send(0, *PARTS)
        assert answer.status == 503

    async def check_served(self, pool):
        loop = asyncio.get_running_loop()
        end = loop.time() + RECOVERY_S
        while loop.time() < end:
            # The callers of the part reach one instance only.
            await pool.send(0, *PARTS)
            await asyncio.sleep(PAUSE_S)
        statuses = await pool.send_sound(*PARTS)
        assert statuses == [200] * pools.SOUND_REQUESTS

    async def test_requests_are_served_again(self, pool):
        await self.refuse(pool)
        await self.check_served(pool)

    async def test_requests_are_served_after_all_instances_restart(self, pool):
        await self.refuse(pool)
        await pool.restart_all_instances()
        await self.check_served(pool)
