"""Samples of the pace of targets, taken from requests of callers."""

import asyncio

import pytest

from sassafrasflow.gateway import responses
from sassafrasflow.gateway import runs
from sassafrasflow.pace import samples
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

EVENTS = runs.SAMPLED_GAPS + 8
PAUSE_S = 0.01


def kinds(gateway) -> set[samples.WorkKind]:
    """Return the kinds of work of which an instance has samples."""
    return {kind for _, kind in gateway.access.pace._table.known()}


async def stream(fleet, attempt="s1", tokens="1000,100"):
    """Request a stream and return its answer."""
    async with fleet.caller() as caller:
        return await caller.request(
            "/plan/x", attempt=attempt, X_Token_Counts=tokens
        )


class TestSamples:
    """Guard against paces that come from other delays than the target's."""

    async def test_stream_and_call_give_samples(self, fleet):
        script = standins.stream_script(EVENTS, pause_s=PAUSE_S)
        worker = await fleet.add_worker("w1", script)
        gateway = await fleet.start()
        assert (await stream(fleet)).complete
        assert kinds(gateway) == {
            samples.WorkKind.FIRST_EVENT,
            samples.WorkKind.EVENT,
        }
        worker.script = standins.answer_ok
        async with fleet.caller() as caller:
            assert (await caller.request("/read/x")).status == 200
        assert kinds(gateway) == set(samples.WorkKind)
        gauges = {
            (labels["target"], labels["kind"]): value
            for name, labels, value in gateway.access.pace.gauges()
            if name == "pace_samples"
        }
        assert gauges[worker.name, "call"] == pytest.approx(1, abs=0.2)
        lines = gateway._render().decode().splitlines()
        shown = [line for line in lines if "pace_factor" in line]
        assert 'sassafrasflow_pace_factor{target="w1",kind="call"} 1' in shown

    async def test_setting_turns_samples_off(self, fleet):
        await fleet.add_worker("w1")
        gateway = await fleet.start(pace=False)
        async with fleet.caller() as caller:
            assert (await caller.request("/read/x")).status == 200
        assert not kinds(gateway)

    async def test_short_stream_gives_no_sample_of_gaps(self, fleet):
        script = standins.stream_script(5, pause_s=PAUSE_S)
        await fleet.add_worker("w1", script)
        gateway = await fleet.start()
        assert (await stream(fleet)).complete
        assert kinds(gateway) == {samples.WorkKind.FIRST_EVENT}

    async def test_slow_caller_gives_no_sample_of_gaps(
        self, fleet, monkeypatch
    ):
        """Guard against targets that seem slow as their callers are."""
        write = responses.Responder.write

        async def write_slowly(responder, content):
            await write(responder, content)
            await asyncio.sleep(4 * PAUSE_S)

        monkeypatch.setattr(responses.Responder, "write", write_slowly)
        script = standins.stream_script(EVENTS, pause_s=PAUSE_S)
        await fleet.add_worker("w1", script)
        gateway = await fleet.start()
        assert (await stream(fleet)).complete
        assert kinds(gateway) == {samples.WorkKind.FIRST_EVENT}

    async def test_run_after_a_loss_gives_no_sample(self, fleet):
        """Many runs that were lost together wait at the engines that remain.

        The first target breaks off before its first event.
        """

        async def break_off(conn, req):
            conn.reset()

        script = standins.stream_script(EVENTS, pause_s=PAUSE_S)
        await fleet.add_worker("w1", break_off)
        gateway = await fleet.start()
        await fleet.add_worker("w2", script, zone="b")
        await fleets.wait_until(lambda: len(gateway.directory) == 2)
        assert (await stream(fleet)).complete
        assert not kinds(gateway)

    async def test_resumed_run_gives_no_sample(self, fleet):
        script = standins.stream_script(EVENTS, pause_s=PAUSE_S)
        await fleet.add_worker("w1", script)
        gateway = await fleet.start()
        async with fleet.caller() as caller:
            answer = await caller.request(
                "/plan/x", X_Token_Counts="1000,100", Last_Event_Id="2"
            )
        assert answer.complete
        assert not kinds(gateway)

    async def test_call_to_another_region_gives_no_sample(self, fleet):
        """Its round trip takes as long as its work."""
        await fleet.add_worker("w1", zone="b")
        gateway = await fleet.start()
        async with fleet.caller() as caller:
            assert (await caller.request("/read/x")).status == 200
        assert not kinds(gateway)

    @pytest.mark.parametrize("status", [404, 500])
    async def test_failure_gives_no_sample(self, fleet, status):
        """Guard against a target that seems fast as it refuses."""

        async def fail(conn, req):
            await conn.answer(
                status, b"", X_Request_Attempt_Id=req.headers[standins.ATTEMPT]
            )

        await fleet.add_worker("w1", fail)
        gateway = await fleet.start()
        async with fleet.caller() as caller:
            assert (await caller.request("/read/x")).status == status
        assert not kinds(gateway)

    async def test_suspended_process_gives_no_sample(self, fleet):
        """The answer comes while the process does not run."""

        async def answer_late(conn, req):
            await asyncio.sleep(0.05)
            gateway.access.pace._suspensions.tick(gateway.access.clock() + 5.0)
            gateway.access.pace._suspensions.tick(gateway.access.clock())
            await standins.answer_ok(conn, req)

        await fleet.add_worker("w1", answer_late)
        gateway = await fleet.start()
        async with fleet.caller() as caller:
            assert (await caller.request("/read/x")).status == 200
        assert not kinds(gateway)
