"""Calls through real instances to targets behind the fault proxy.

Each refusal that says "no" is checked against the log of the target.
"""

import asyncio
import itertools

import pytest

from sassafrasflow import storage
from sassafrasflow.fakes import processes
from sassafrasflow.fakes import proxy

AUTH = {"authorization": f"Bearer {processes.CALLER_KEY}"}
ANSWERED = (200, "yes")
LOST = (502, "unknown")
UNRESOLVED = (409, "unknown")
TIMEOUT_S = 20.0
CLOSED_ADDRESS = "127.0.0.1:1"
DISPATCH_WITHIN_MS = 1_000
LEAVING_SPREAD_S = 3.0


def listed(name, address, **fields):
    return storage.ListedInstance(
        id=name,
        kind=storage.TargetKind.SERVICE,
        address=address,
        region="east",
        data_centre="east-1",
        service="booking",
        **fields,
    )


class RepeatedCall:
    """Send one call with the same key repeatedly, to any instance."""

    def __init__(self, deployment, target, key):
        self._deployment = deployment
        self._target = target
        self._key = key
        self.body = f"scope {key}"

    async def send(self, entry):
        """Return the status and whether the answer says that the call ran."""
        resp = await self._deployment.http.post(
            f"{entry.url}/services/booking/checkouts",
            content=self.body,
            headers={**AUTH, "idempotency-key": self._key},
        )
        ran = "yes" if resp.status_code == 200 else resp.json()["ran"]
        if ran == "no":
            assert await self.executions() == 0
        return resp.status_code, ran

    async def executions(self):
        """Return how often the target ran the call."""
        log = await self._deployment.http.get(f"{self._target.url}/fake/log")
        return sum(run["body"] == self.body for run in log.json())


async def until(check):
    """Poll a condition until it holds or ``TIMEOUT_S`` passes."""
    async with asyncio.timeout(TIMEOUT_S):
        while not await check():
            await asyncio.sleep(0.02)


class ProxiedDeployment:
    """Run instances, with proxies before a target and the table."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.proxies = []

    async def add_proxy(self, process):
        relay = proxy.FaultProxy("127.0.0.1", process.port)
        await relay.start()
        self.proxies.append(relay)
        return relay

    async def start(self, entries):
        self.target = await self.deployment.service("booking-0")
        self.target_proxy = await self.add_proxy(self.target)
        self.table_proxy = await self.add_proxy(self.deployment.platform)
        await self.list_target(self.target_proxy.address)
        self.entries = await asyncio.gather(
            *(
                self.deployment.entry(
                    f"entry-{number}",
                    platform_url=f"http://{self.table_proxy.address}",
                    calls={"dispatch_within_ms": DISPATCH_WITHIN_MS},
                )
                for number in range(entries)
            )
        )

    async def list_target(self, address, **fields):
        await self.deployment.list_instance(
            listed("booking-0", address, **fields)
        )

    async def has_claim(self):
        url = f"{self.deployment.platform.url}/fake/rows"
        rows = (await self.deployment.http.get(url)).json()["rows"]
        return any(row["key"].startswith("claim/") for row in rows)


@pytest.fixture
async def proxied(deployment):
    relay = ProxiedDeployment(deployment)
    await relay.start(entries=3)
    yield relay
    for each in relay.proxies:
        await each.close()


class TestCalls:
    async def test_lost_answer_then_an_outage(self, deployment, proxied):
        call = RepeatedCall(deployment, proxied.target, "k1")
        proxied.target_proxy.truncate(proxy.Direction.TO_CLIENT, 10)
        assert await call.send(proxied.entries[0]) == LOST
        proxied.target_proxy.heal()
        for entry in proxied.entries:
            assert await call.send(entry) == UNRESOLVED
        proxied.table_proxy.partition()
        assert await call.send(proxied.entries[1]) == (503, "unknown")
        fresh = RepeatedCall(deployment, proxied.target, "k2")
        assert await fresh.send(proxied.entries[1]) == (503, "unknown")
        proxied.table_proxy.heal()
        assert await fresh.send(proxied.entries[2]) == ANSWERED
        assert await call.executions() == 1
        assert await fresh.executions() == 1

    async def test_unreachable_target_runs_the_call_on_a_retry(
        self, deployment, proxied
    ):
        await proxied.list_target(CLOSED_ADDRESS)
        call = RepeatedCall(deployment, proxied.target, "k3")

        keys = itertools.count()

        async def is_refused_not_run():
            probe = RepeatedCall(
                deployment, proxied.target, f"probe-{next(keys)}"
            )
            return (await probe.send(proxied.entries[0]))[1] == "no"

        await until(is_refused_not_run)
        assert (await call.send(proxied.entries[0]))[1] == "no"
        await proxied.list_target(proxied.target_proxy.address)

        async def answered():
            return await call.send(proxied.entries[1]) == ANSWERED

        await until(answered)
        assert await call.executions() == 1

    async def test_paused_owner_does_not_dispatch_late(
        self, deployment, proxied
    ):
        call = RepeatedCall(deployment, proxied.target, "k4")
        owner = proxied.entries[0]
        proxied.table_proxy.freeze(proxy.Direction.TO_CLIENT)
        pending = asyncio.create_task(call.send(owner))
        await until(proxied.has_claim)
        owner.pause()
        proxied.table_proxy.heal()
        assert await call.send(proxied.entries[1]) == UNRESOLVED
        await asyncio.sleep(2 * DISPATCH_WITHIN_MS / 1000)
        owner.resume()
        assert await pending == (503, "no")

        async def answered():
            return await call.send(proxied.entries[2]) == ANSWERED

        await until(answered)
        assert await call.executions() == 1

    async def test_owner_killed_before_the_result(self, deployment, proxied):
        await deployment.configure_fake(
            proxied.target, "behaviour", delay_ms=60_000
        )
        call = RepeatedCall(deployment, proxied.target, "k5")
        pending = asyncio.create_task(call.send(proxied.entries[0]))
        await until(call.executions)
        proxied.entries[0].kill()
        await asyncio.gather(pending, return_exceptions=True)
        for entry in proxied.entries[1:]:
            assert await call.send(entry) == UNRESOLVED
        assert await call.executions() == 1

    async def test_partition_from_the_platform(self, deployment, proxied):
        proxied.table_proxy.partition()
        url = f"{proxied.entries[0].url}/services/booking/catalogue"
        lookup = await deployment.http.get(url, headers=AUTH)
        assert lookup.status_code == 200
        call = RepeatedCall(deployment, proxied.target, "k7")
        assert await call.send(proxied.entries[0]) == (503, "unknown")
        await deployment.http.post(
            f"{proxied.target.url}/fake/behaviour", json={"lose_answers": 9}
        )
        refused = await deployment.http.get(url, headers=AUTH)
        assert refused.json()["ran"] == "unknown"
        proxied.target_proxy.partition()

        async def states_age():
            refused = await deployment.http.get(url, headers=AUTH)
            return " s old" in refused.json()["detail"]

        await until(states_age)

    async def test_leaving_target_gets_no_new_calls(self, deployment, proxied):
        leaving = storage.ListedState.LEAVING
        await deployment.configure_fake(
            proxied.target, "behaviour", delay_ms=4_000
        )
        slow_call = RepeatedCall(deployment, proxied.target, "k6")
        running = asyncio.create_task(slow_call.send(proxied.entries[0]))
        await until(slow_call.executions)
        other = await deployment.service("booking-1")
        await proxied.list_target(proxied.target_proxy.address, state=leaving)
        await asyncio.sleep(LEAVING_SPREAD_S)
        for number in range(12):
            call = RepeatedCall(deployment, other, f"k6-{number}")
            outcome = await call.send(proxied.entries[number % 3])
            assert outcome == ANSWERED
            assert await call.executions() == 1
        assert await running == ANSWERED
