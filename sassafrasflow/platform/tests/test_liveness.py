"""Number of connections to targets that wait or are silent."""

import asyncio
import collections

import pytest

from sassafrasflow.gateway import connections
from sassafrasflow.gateway import silence as silences
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets

WAIT_S = 2.0
CHECK_S = silences.FIRST_EVENT_CHECK_S


@pytest.fixture
def opened(monkeypatch):
    """Count the connections to each port."""
    counts = collections.Counter()
    connect = connections.connect

    async def connect_and_count(host, port, *args):
        counts[port] += 1
        return await connect(host, port, *args)

    monkeypatch.setattr(connections, "connect", connect_and_count)
    return counts


async def wait_and_answer(conn, req):
    """Answer a stream after the time of a long prompt."""
    await conn.start_stream(req)
    if req.url == "/plan/busy":
        for number in range(1, 200):
            await conn.event(number)
            await asyncio.sleep(0.03)
    await asyncio.sleep(WAIT_S)
    await conn.event(1)
    await conn.send(b"0\r\n\r\n")


async def answer(fleet, url):
    async with fleet.caller() as caller:
        response = await caller.request(
            url, method="POST", body=b"x", attempt=url
        )
        return response.complete and response.status == 200


class TestOpenedConnections:
    """Guard against a connection for each check of each waiting stream.

    Load: heavy days opened 24,285 connections for 8,762 requests, as every
    stream without a first event checked its target every 0.3 s.
    """

    async def start(self, fleet):
        config = documents.configuration()
        config["Services"][0]["Engine"]["Backups"] = False
        await fleet.store.configure(config)
        worker = await fleet.add_worker("w1", wait_and_answer)
        gateway = await fleet.start()
        await fleets.wait_until(lambda: len(gateway.directory) == 1)
        return worker

    @pytest.mark.parametrize("streams", [1, 6])
    async def test_waiting_streams_share_checks(self, fleet, opened, streams):
        worker = await self.start(fleet)
        urls = [f"/plan/{number}" for number in range(streams)]
        answers = [asyncio.create_task(answer(fleet, url)) for url in urls]
        assert all(await asyncio.gather(*answers))
        # Evenly spaced, with the mean delay of separate checks, and one more
        # as timers may be early.
        checks = WAIT_S / (2 * CHECK_S / (streams + 1)) + 1
        assert opened[worker.port] <= streams + checks

    async def test_events_of_another_stream_replace_checks(
        self, fleet, opened
    ):
        worker = await self.start(fleet)
        busy = asyncio.create_task(answer(fleet, "/plan/busy"))
        await fleets.wait_until(lambda: worker.requests)
        before = opened[worker.port]
        answers = [
            asyncio.create_task(answer(fleet, f"/plan/{number}"))
            for number in range(4)
        ]
        assert all(await asyncio.gather(*answers))
        # One of six checks of one stream is allowed for, as this process may
        # have been suspended.
        assert opened[worker.port] - before <= len(answers) + 1
        busy.cancel()

    async def test_lost_runs_share_a_check(self, fleet, opened):
        worker = await self.start(fleet)
        access = fleet.gateways[0].access
        target = access.directory.get("w1")
        before = opened[worker.port]
        checks = [access.is_alive(target) for _ in range(6)]
        assert all(await asyncio.gather(*checks))
        assert opened[worker.port] - before == 1
