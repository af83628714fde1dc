"""Nine instances in three data centres behind fault-injecting proxies."""

import asyncio
import contextlib

import httpx
import pytest

from sassafrasflow.fakes import proxy

NODES = 9
CENTRES = 3
TIMEOUT_S = 60.0
POLL_S = 0.1
PEER_SETTINGS = {
    "port": 0,
    "shared_key": "peers",
    "probe_interval_ms": 200,
    "suspect_ms": 1_000,
    "beat_interval_ms": 500,
    "beat_ttl_ms": 4_000,
    "remote_interval_ms": 200,
}


class NineInstances:
    """Run instances whose peers reach them through proxies."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.entries = []
        self.proxies = []

    async def start(self):
        for _ in range(NODES):
            relay = proxy.FaultProxy("127.0.0.1", 0)
            await relay.start()
            self.proxies.append(relay)
        self.entries = await asyncio.gather(
            *(self._start_entry(number) for number in range(NODES))
        )

    async def close(self):
        for relay in self.proxies:
            await relay.close()

    async def _start_entry(self, number):
        centre = number % CENTRES
        relay = self.proxies[number]
        entry = await self.deployment.entry(
            f"entry-{number}",
            region=f"region-{centre}",
            data_centre=f"centre-{centre}",
            peers={
                **PEER_SETTINGS,
                "host": host_of(centre),
                "advertised_address": relay.address,
                "seeds": [self.proxies[0].address],
            },
        )
        relay.retarget(host_of(centre), entry.announced["peer_port"])
        return entry

    def isolate(self, centre):
        others = {host_of(n) for n in range(CENTRES)} - {host_of(centre)}
        for number, relay in enumerate(self.proxies):
            inside = number % CENTRES == centre
            relay.partition_from(others if inside else {host_of(centre)})

    def heal(self):
        for relay in self.proxies:
            relay.heal()

    async def count_live_peers(self, number):
        entry = self.entries[number]
        try:
            resp = await self.deployment.http.get(f"{entry.url}/metrics")
        except httpx.TransportError as exc:
            log = self.deployment.read_log(f"entry-{number}")
            raise AssertionError(f"entry-{number}: {log[-3000:]}") from exc
        name = "sassafrasflow_live_peers "
        lines = resp.text.splitlines()
        matches = [line for line in lines if line.startswith(name)]
        return int(matches[0].removeprefix(name))

    async def wait_for_peer_counts(self, expected):
        """Wait until each instance reports its expected number of peers."""
        counts = {}
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TIMEOUT_S):
                while counts != expected:
                    counts = {
                        n: await self.count_live_peers(n) for n in expected
                    }
                    await asyncio.sleep(POLL_S)
        assert counts == expected


def host_of(centre):
    return f"127.0.{centre + 1}.1"


@pytest.fixture
async def instances(deployment):
    running = NineInstances(deployment)
    await running.start()
    yield running
    await running.close()


@pytest.mark.processes
class TestNineInstances:
    async def test_kill_pause_and_cut(self, instances):
        await instances.wait_for_peer_counts(dict.fromkeys(range(NODES), 8))
        instances.isolate(0)
        inside = dict.fromkeys((0, 3, 6), 2)
        outside = dict.fromkeys((1, 2, 4, 5, 7, 8), 5)
        await instances.wait_for_peer_counts(inside | outside)
        instances.heal()
        await instances.wait_for_peer_counts(dict.fromkeys(range(NODES), 8))
        instances.entries[8].kill()
        alive = range(8)
        await instances.wait_for_peer_counts(dict.fromkeys(alive, 7))
        instances.entries[4].pause()
        rest = [n for n in alive if n != 4]
        await instances.wait_for_peer_counts(dict.fromkeys(rest, 6))
        instances.entries[4].resume()
        await instances.wait_for_peer_counts(dict.fromkeys(alive, 7))
