"""Calls through real instances and workers behind the fault proxy.

Each refusal that says "no" is checked against the workers' own log.
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
WAIT_S = 20.0
CLOSED_ADDRESS = "127.0.0.1:1"
DISPATCH_WITHIN_MS = 1_000
LEAVING_BOUND_S = 3.0


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


class Checkout:
    """Send one checkout, again and again, to any instance."""

    def __init__(self, deployment, worker, key):
        self._deployment = deployment
        self._worker = worker
        self._key = key
        self.body = f"scope {key}"

    async def send(self, entry):
        """Return the status and what the answer says about running."""
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
        """Return how often the worker ran the checkout."""
        log = await self._deployment.http.get(f"{self._worker.url}/fake/log")
        return sum(run["body"] == self.body for run in log.json())


async def until(check):
    """Poll a condition with a generous limit."""
    async with asyncio.timeout(WAIT_S):
        while not await check():
            await asyncio.sleep(0.02)


class Site:
    """Hold a worker and the table behind proxies, and the entries."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.proxies = []

    async def relay(self, process):
        made = proxy.FaultProxy("127.0.0.1", process.port)
        await made.start()
        self.proxies.append(made)
        return made

    async def start(self, entries):
        self.worker = await self.deployment.service("booking-0")
        self.to_worker = await self.relay(self.worker)
        self.to_table = await self.relay(self.deployment.platform)
        await self.list_worker(self.to_worker.address)
        self.entries = await asyncio.gather(
            *(
                self.deployment.entry(
                    f"entry-{number}",
                    platform_url=f"http://{self.to_table.address}",
                    calls={"dispatch_within_ms": DISPATCH_WITHIN_MS},
                )
                for number in range(entries)
            )
        )

    async def list_worker(self, address, **fields):
        await self.deployment.list_instance(
            listed("booking-0", address, **fields)
        )

    async def has_claim(self):
        url = f"{self.deployment.platform.url}/fake/rows"
        rows = (await self.deployment.http.get(url)).json()["rows"]
        return any(row["key"].startswith("claim/") for row in rows)


@pytest.fixture
async def site(deployment):
    made = Site(deployment)
    await made.start(entries=3)
    yield made
    for each in made.proxies:
        await each.close()


class TestCalls:
    async def test_lost_answer_then_an_outage(self, deployment, site):
        checkout = Checkout(deployment, site.worker, "k1")
        site.to_worker.truncate(proxy.Direction.TO_CLIENT, 10)
        assert await checkout.send(site.entries[0]) == LOST
        site.to_worker.heal()
        for entry in site.entries:
            assert await checkout.send(entry) == UNRESOLVED
        site.to_table.partition()
        assert await checkout.send(site.entries[1]) == (503, "unknown")
        fresh = Checkout(deployment, site.worker, "k2")
        assert await fresh.send(site.entries[1]) == (503, "unknown")
        site.to_table.heal()
        assert await fresh.send(site.entries[2]) == ANSWERED
        assert await checkout.executions() == 1
        assert await fresh.executions() == 1

    async def test_unreached_worker_runs_it_on_a_repeat(
        self, deployment, site
    ):
        await site.list_worker(CLOSED_ADDRESS)
        checkout = Checkout(deployment, site.worker, "k3")

        keys = itertools.count()

        async def told_no():
            probe = Checkout(deployment, site.worker, f"probe-{next(keys)}")
            return (await probe.send(site.entries[0]))[1] == "no"

        await until(told_no)
        assert (await checkout.send(site.entries[0]))[1] == "no"
        await site.list_worker(site.to_worker.address)

        async def answered():
            return await checkout.send(site.entries[1]) == ANSWERED

        await until(answered)
        assert await checkout.executions() == 1

    async def test_paused_owner_does_not_dispatch_late(self, deployment, site):
        checkout = Checkout(deployment, site.worker, "k4")
        owner = site.entries[0]
        site.to_table.freeze(proxy.Direction.TO_CLIENT)
        told = asyncio.create_task(checkout.send(owner))
        await until(site.has_claim)
        owner.pause()
        site.to_table.heal()
        assert await checkout.send(site.entries[1]) == UNRESOLVED
        await asyncio.sleep(2 * DISPATCH_WITHIN_MS / 1000)
        owner.resume()
        assert await told == (503, "no")

        async def answered():
            return await checkout.send(site.entries[2]) == ANSWERED

        await until(answered)
        assert await checkout.executions() == 1

    async def test_owner_killed_before_the_result(self, deployment, site):
        await deployment.configure_fake(
            site.worker, "behaviour", delay_ms=60_000
        )
        checkout = Checkout(deployment, site.worker, "k5")
        told = asyncio.create_task(checkout.send(site.entries[0]))
        await until(checkout.executions)
        site.entries[0].kill()
        await asyncio.gather(told, return_exceptions=True)
        for entry in site.entries[1:]:
            assert await checkout.send(entry) == UNRESOLVED
        assert await checkout.executions() == 1

    async def test_cut_off_from_the_platform(self, deployment, site):
        site.to_table.partition()
        url = f"{site.entries[0].url}/services/booking/catalogue"
        lookup = await deployment.http.get(url, headers=AUTH)
        assert lookup.status_code == 200
        checkout = Checkout(deployment, site.worker, "k7")
        assert await checkout.send(site.entries[0]) == (503, "unknown")
        await deployment.http.post(
            f"{site.worker.url}/fake/behaviour", json={"lose_answers": 9}
        )
        refused = await deployment.http.get(url, headers=AUTH)
        assert refused.json()["ran"] == "unknown"
        site.to_worker.partition()

        async def tells_age():
            refused = await deployment.http.get(url, headers=AUTH)
            return " s old" in refused.json()["detail"]

        await until(tells_age)

    async def test_leaving_worker_gets_no_new_work(self, deployment, site):
        leaving = storage.ListedState.LEAVING
        await deployment.configure_fake(
            site.worker, "behaviour", delay_ms=4_000
        )
        held = Checkout(deployment, site.worker, "k6")
        running = asyncio.create_task(held.send(site.entries[0]))
        await until(held.executions)
        other = await deployment.service("booking-1")
        await site.list_worker(site.to_worker.address, state=leaving)
        await asyncio.sleep(LEAVING_BOUND_S)
        for number in range(12):
            checkout = Checkout(deployment, other, f"k6-{number}")
            told = await checkout.send(site.entries[number % 3])
            assert told == ANSWERED
            assert await checkout.executions() == 1
        assert await running == ANSWERED
