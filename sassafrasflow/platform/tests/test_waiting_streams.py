"""Streams that wait at an instance until an engine has room."""

import asyncio

import pytest

from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins


class OneStream:
    """Script of an engine that turns away a second stream."""

    def __init__(self) -> None:
        self.running = 0
        self.rejected = 0
        self.ranks: list[str] = []
        self.began = asyncio.Event()
        self.end = asyncio.Event()

    async def __call__(self, conn, req):
        if self.running:
            self.rejected += 1
            return await standins.shed(conn, req)
        self.running += 1
        try:
            self.ranks.append(req.headers["x-request-priority"])
            await conn.start_stream(req)
            await conn.event(1)
            self.began.set()
            await self.end.wait()
            await conn.event(2)
        finally:
            self.running -= 1
        await conn.send(b"0\r\n\r\n")


@pytest.fixture
def script():
    return OneStream()


def send(caller, attempt="a1", path="/plan/1", deadline_ms=8000):
    caller.send(
        path,
        method="POST",
        body=b"log",
        attempt=attempt,
        X_Deadline_Remaining=str(deadline_ms),
        X_Token_Counts="800,40",
    )


async def start(fleet, script, **changes):
    """Start an instance and an engine with one slot."""
    worker = await fleet.add_worker("w1", script)
    await fleet.store.list_worker(worker, Slots=1, Sequence=2)
    await fleet.store.configure(documents.configuration())
    return await fleet.start(**changes)


async def wait_for_waiting(gateway, count=1):
    await fleets.wait_until(lambda: len(gateway.access.gate) == count)


class TestWait:
    """Guard against streams that are sent to an engine that is full."""

    async def test_stream_waits_for_the_end_of_another_one(
        self, fleet, script
    ):
        gateway = await start(fleet, script, holds_streams=True)
        async with fleet.caller() as first, fleet.caller() as second:
            send(first)
            await script.began.wait()
            send(second, "a2")
            await wait_for_waiting(gateway)
            script.end.set()
            for caller in (first, second):
                answer = await caller.read()
                assert answer.status == 200 and answer.complete
        assert script.rejected == 0
        (line,) = fleet.events("stream_waited")
        assert line["request"] == "a2" and line["outcome"] == "sent"
        text = gateway._render().decode()
        assert 'streams_waited_total{outcome="sent"} 1' in text
        assert "sassafrasflow_streams_waiting 0" in text

    async def test_without_the_setting_it_is_sent_as_before(
        self, fleet, script
    ):
        await start(fleet, script)
        async with fleet.caller() as first, fleet.caller() as second:
            send(first)
            await script.began.wait()
            send(second, "a2")
            answer = await second.read()
            assert answer.status == 503
            assert answer.headers["retry-after"] == "0.25"
            script.end.set()
            await first.read()
        assert script.rejected >= 1
        assert not fleet.events("stream_waited")

    async def test_urgent_stream_is_sent_first(self, fleet, script):
        gateway = await start(fleet, script, holds_streams=True)
        config = documents.configuration(2)
        config["Tenants"].append(
            {"Name": "slow", "ApiKeys": ["other"], "Priority": 7}
        )
        await fleet.store.configure(config)
        await fleets.wait_until(lambda: gateway.settings.version == 2)
        async with (
            fleet.caller() as first,
            fleet.caller() as patient,
            fleet.caller() as urgent,
        ):
            send(first)
            await script.began.wait()
            patient.send(
                "/plan/1",
                method="POST",
                body=b"log",
                attempt="a2",
                X_Deadline_Remaining="8000",
                X_Key="other",
            )
            await wait_for_waiting(gateway)
            send(urgent, "a3")
            await wait_for_waiting(gateway, 2)
            script.end.set()
            for caller in (first, urgent, patient):
                assert (await caller.read()).status == 200
        # Places in the order of the configured ranks, 1 and 7.
        assert script.ranks == ["0", "0", "1"]
        assert script.rejected == 0

    async def test_plain_services_are_not_held(self, fleet):
        await fleet.add_worker("w1")
        await fleet.start(holds_streams=True)
        async with fleet.caller() as caller:
            answer = await caller.request("/read/1")
        assert answer.status == 200
        assert not fleet.events("stream_waited")


class TestEnds:
    """How a wait ends if the stream is not sent."""

    async def test_caller_that_leaves_releases_its_place(self, fleet, script):
        gateway = await start(fleet, script, holds_streams=True)
        async with fleet.caller() as first:
            send(first)
            await script.began.wait()
            async with fleet.caller() as second:
                send(second, "a2")
                await wait_for_waiting(gateway)
            await wait_for_waiting(gateway, 0)
            script.end.set()
            await first.read()
        assert fleet.events("stream_waited")[0]["outcome"] == "caller_gone"
        assert script.rejected == 0

    async def test_stop_refuses_what_has_no_room(self, fleet, script):
        """The refusal promises that the stream has not run."""
        gateway = await start(fleet, script, holds_streams=True)
        async with fleet.caller() as first, fleet.caller() as second:
            send(first)
            await script.began.wait()
            send(second, "a2")
            await wait_for_waiting(gateway)
            stop = asyncio.create_task(gateway.drain())
            answer = await second.read()
            assert answer.status == 503
            assert b"stopping" in answer.body
            assert float(answer.headers["retry-after"]) >= 0.25
            script.end.set()
            assert (await first.read()).status == 200
            await stop
        assert script.rejected == 0

    async def test_latest_moment_goes_to_the_engine(self, fleet, script):
        """Guard against a wait that becomes a refusal of this instance.

        The engine may have room that this instance doesn't know of.
        """
        await start(fleet, script, holds_streams=True)
        async with fleet.caller() as first, fleet.caller() as second:
            send(first)
            await script.began.wait()
            send(second, "a2")
            answer = await second.read()
            assert answer.status == 503
            assert script.rejected >= 1
            script.end.set()
            await first.read()
        (line, *_) = fleet.events("stream_waited")
        assert line["outcome"] == "sent" and line["waited_ms"] > 3000

    async def test_retry_after_is_the_time_until_there_is_room(
        self, fleet, script
    ):
        """A stream takes 0.5 s, and the engine has one slot."""
        gateway = await start(fleet, script, holds_streams=True)
        times = gateway.access.gate.times("pool")
        times.record(0.5, 0.4, 40)
        async with fleet.caller() as first, fleet.caller() as second:
            send(first)
            await script.began.wait()
            send(second, "a2")
            answer = await second.read()
            script.end.set()
            await first.read()
        assert answer.status == 503
        assert 0.5 <= float(answer.headers["retry-after"]) <= 0.75
