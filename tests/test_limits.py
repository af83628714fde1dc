"""Limits between organisations, through a real instance and engine."""

import asyncio
import collections

import pytest

from sassafrasflow import configuration
from sassafrasflow.fakes import processes

FLOOD = 40
SLOTS = 4
TOKENS = 20


def two_organisations():
    cfg = processes.initial_configuration()
    for name, priority in (("large", 0), ("small", 5)):
        cfg["organisations"][name] = {
            "key_hashes": [configuration.hash_key(name)],
            "priority": priority,
        }
    return cfg


async def complete(deployment, entry, organisation, number):
    """Return the status of a completion and what it says about running."""
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
