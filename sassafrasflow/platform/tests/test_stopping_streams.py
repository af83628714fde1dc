"""Streams that arrive while their instance stops."""

import asyncio

import pytest

from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

PLAN = "/plan/1"


async def start(fleet, **changes):
    """Start an instance with a grace period of 2 s, and an engine."""
    await fleet.add_worker("w1", standins.stream_script(3))
    await fleet.store.configure(documents.configuration())
    return await fleet.start(stop_grace_s=2.0, **changes)


async def request_after_stop(fleet, gateway):
    """Return the answer to a stream that arrives after the request to stop."""
    async with fleet.caller() as caller:
        # Opens the connection, as a stopping instance accepts no new one.
        assert (await caller.request("/read/0")).status == 200
        stop = asyncio.create_task(gateway.drain())
        await fleets.wait_until(lambda: gateway.stopping_for_s() is not None)
        answer = await caller.request(PLAN, method="POST", body=b"log")
        await stop
    return answer


class TestArrivalAfterStop:
    """Guard against streams that are cut when their instance exits.

    Load: instances are stopped while engines read prompts for most of the
    time, so that streams take 10.8 s and the grace period is 8 s.
    """

    async def test_stream_that_takes_too_long_is_refused(self, fleet):
        gateway = await start(fleet, holds_streams=True)
        gateway.access.gate.times("pool").record(2.0, 1.0, 40)
        answer = await request_after_stop(fleet, gateway)
        assert answer.status == 503
        assert b"stopping" in answer.body
        assert float(answer.headers["retry-after"]) == 0.05
        methods = [each.method for each in fleet.workers["w1"].requests]
        assert methods == ["GET"]
        assert fleet.events("stream_too_long_at_stop")
        text = gateway.metrics.render([]).decode()
        assert "streams_too_long_at_stop_total 1" in text

    @pytest.mark.parametrize("mean_s", [0.0, 0.5])
    async def test_stream_that_ends_in_time_is_accepted(self, fleet, mean_s):
        gateway = await start(fleet, holds_streams=True)
        if mean_s:
            gateway.access.gate.times("pool").record(mean_s, 0.4, 40)
        answer = await request_after_stop(fleet, gateway)
        assert answer.status == 200
        assert not fleet.events("stream_too_long_at_stop")

    async def test_other_deployments_accept_streams_as_before(self, fleet):
        gateway = await start(fleet)
        gateway.access.gate.times("pool").record(2.0, 1.0, 40)
        answer = await request_after_stop(fleet, gateway)
        assert answer.status == 200
