"""Limits between organisations, with real instances and an engine."""

import asyncio
import collections
import itertools

import pytest

from sassafrasflow import configuration
from sassafrasflow.fakes import processes

FLOOD = 40
SLOTS = 4
TOKENS = 20
TIMEOUT_S = 30.0
CONSECUTIVE_SAMPLES = 10


def two_organisations():
    cfg = processes.initial_configuration()
    for name, priority in (("large", 0), ("small", 5)):
        cfg["organisations"][name] = {
            "key_hashes": [configuration.hash_key(name)],
            "priority": priority,
        }
    return cfg


async def complete(deployment, entry, organisation, number):
    """Return the status of a completion and whether it ran."""
    resp = await deployment.http.post(
        f"{entry.url}/v1/completions",
        json={
            "model": processes.MODEL,
            "prompt": f"plan {organisation} {number}",
            "max_tokens": TOKENS,
        },
        headers={"authorization": f"Bearer {organisation}"},
    )
    if resp.status_code == 200:
        return 200, "yes"
    assert int(resp.headers["retry-after"]) >= 1
    return resp.status_code, resp.json()["ran"]


class TestLimits:
    @pytest.fixture
    async def entry(self, deployment):
        self.engine = await deployment.engine(
            "engine-0", capacity=SLOTS, token_interval_ms=10.0
        )
        return await deployment.entry(
            "entry-0",
            initial_configuration=two_organisations(),
            limits={"min_limit": 1, "overcommit": 1.0},
        )

    async def test_flood_is_refused_and_others_are_served(
        self, deployment, entry
    ):
        flood = [
            asyncio.create_task(complete(deployment, entry, "large", number))
            for number in range(FLOOD)
        ]
        await asyncio.wait(flood, return_when=asyncio.FIRST_COMPLETED)
        small = [
            await complete(deployment, entry, "small", number)
            for number in range(3)
        ]
        outcomes = collections.Counter(await asyncio.gather(*flood))
        assert small == [(200, "yes")] * 3
        assert set(outcomes) == {(200, "yes"), (429, "no")}
        log = await deployment.http.get(f"{self.engine.url}/fake/log")
        starts = log.json()["starts"]
        assert len(starts) == outcomes[(200, "yes")] + len(small)
        assert sorted(start["priority"] for start in starts)[-3:] == [5] * 3


class SteadyLoad:
    """Keep a number of completions in flight at one instance."""

    def __init__(self, deployment, entry, width):
        self._deployment = deployment
        self._entry = entry
        self._numbers = itertools.count()
        self._tasks = [
            asyncio.create_task(self._send_requests()) for _ in range(width)
        ]

    async def _send_requests(self):
        while True:
            number = next(self._numbers)
            outcome = await complete(
                self._deployment, self._entry, "large", number
            )
            if outcome[0] != 200:
                await asyncio.sleep(0.05)

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class TestDemand:
    async def test_slots_follow_demand_and_return_when_cut_off(
        self, deployment
    ):
        engine = await deployment.engine(
            "engine-0", capacity=3 * SLOTS, token_interval_ms=30.0
        )
        entries = [
            await deployment.entry(
                f"entry-{number}",
                initial_configuration=two_organisations(),
                limits={
                    "min_limit": 1,
                    "overcommit": 1.0,
                    "demand_ttl_ms": 1_500,
                },
            )
            for number in range(3)
        ]

        async def running():
            resp = await deployment.http.get(f"{engine.url}/v1/report")
            return resp.json()["running"]

        async def until(condition):
            consecutive = 0
            async with asyncio.timeout(TIMEOUT_S):
                while consecutive < CONSECUTIVE_SAMPLES:
                    consecutive = (
                        consecutive + 1 if condition(await running()) else 0
                    )
                    await asyncio.sleep(0.05)

        load = SteadyLoad(deployment, entries[0], 4 * SLOTS)
        # An equal share is SLOTS, but the other instances have no demand.
        await until(lambda count: count >= 2 * SLOTS)
        for entry in entries[1:]:
            entry.pause()
        await until(lambda count: count <= SLOTS)
        for entry in entries[1:]:
            entry.resume()
        await until(lambda count: count >= 2 * SLOTS)
        await load.close()
