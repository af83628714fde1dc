"""Test that a target without an entry counts as ended only with proof."""

import asyncio

import pytest

from sassafrasflow.gateway import quarantine
from sassafrasflow.gateway import registry
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

# Longer than a live target may be silent, with and without a copy.
SILENCE_S = 2.5


class SilentTarget:
    """Script of a target that is silent between two events."""

    def __init__(self, silence_s=SILENCE_S):
        self.began = asyncio.Event()
        self._silence_s = silence_s

    async def __call__(self, conn, req):
        await conn.start_stream(req)
        await conn.event(1)
        self.began.set()
        await asyncio.sleep(self._silence_s)
        await conn.event(2)
        await conn.send(b"0\r\n\r\n")


@pytest.fixture
def script():
    return SilentTarget()


async def read_stream(fleet, script, change):
    """Return an answer during which the entry of its target changes."""
    async with fleet.caller() as caller:
        caller.send(
            "/plan/1",
            method="POST",
            body=b"log",
            X_Deadline_Remaining="8000",
        )
        await script.began.wait()
        await change()
        answer = await caller.read()
    outcomes = [line["outcome"] for line in fleet.events("request")]
    return answer, outcomes


def not_resumable():
    config = documents.configuration()
    config["Routes"][2]["Resumable"] = False
    return config


class TestLiveTarget:
    """A target that goes on without its entry loses no stream."""

    async def test_stream_without_retries_left_is_not_cut(self, fleet, script):
        worker = await fleet.add_worker("w1", script)
        for name in ("w2", "w3"):
            await fleet.add_worker(name, standins.shed)
        await fleet.store.list_worker(worker, Slots=400)
        gateway = await fleet.start(retry_ratio=0.0, retry_slack=0.0)
        await fleets.wait_until(lambda: len(gateway.directory) == 3)

        async def unlist():
            await fleet.store.unlist_worker(worker)

        answer, outcomes = await read_stream(fleet, script, unlist)
        assert outcomes == ["answered_200"]
        assert answer.complete

    async def test_entry_that_lapses_in_an_outage_cuts_no_stream(
        self, fleet, script
    ):
        await fleet.store.configure(not_resumable())
        worker = await fleet.add_worker("w1", script)
        gateway = await fleet.start()

        async def lapse():
            fleet.store.fault = 503
            await fleets.wait_until(
                lambda: (
                    gateway.contact.failing
                    and gateway.contact.age_s() > registry.OUTAGE_S
                )
            )
            await fleet.store.unlist_worker(worker)
            fleet.store.fault = None

        script._silence_s = 5.5
        answer, outcomes = await read_stream(fleet, script, lapse)
        gone = [line["cause"] for line in fleet.events("target_gone")]
        assert gone == ["not_back"]
        assert outcomes == ["answered_200"]
        assert answer.complete

    async def test_listener_that_is_closed_first_cuts_no_stream(
        self, fleet, script
    ):
        await fleet.store.configure(not_resumable())
        worker = await fleet.add_worker("w1", script)
        await fleet.start()

        async def leave():
            worker._server.close()
            await fleet.store.unlist_worker(worker)

        answer, outcomes = await read_stream(fleet, script, leave)
        assert outcomes == ["answered_200"]
        assert answer.complete

    async def test_caller_that_left_crashed_no_target(self, fleet, script):
        worker = await fleet.add_worker("w1", script)
        gateway = await fleet.start()
        async with fleet.caller() as caller:
            caller.send("/plan/1", method="POST", body=b"log")
            await script.began.wait()
        await fleets.wait_until(lambda: fleet.events("request"))
        await fleet.store.unlist_worker(worker)
        await fleets.wait_until(lambda: not len(gateway.directory))
        await asyncio.sleep(quarantine.ATTRIBUTION_DELAY_S + 0.3)
        assert not fleet.events("death_judged")


class TestEndedTarget:
    """A target that is known to have ended holds nothing."""

    @pytest.mark.parametrize("in_steps", [False, True])
    async def test_stream_does_not_wait_for_a_replaced_target(
        self, fleet, script, in_steps
    ):
        await fleet.store.configure(not_resumable())
        worker = await fleet.add_worker("w1", script)
        gateway = await fleet.start()

        async def replace():
            await fleet.store.unlist_worker(worker)
            if in_steps:
                await fleets.wait_until(lambda: not len(gateway.directory))
            await fleet.store.put_row("servers", "w2", worker.entry())

        _, outcomes = await read_stream(fleet, script, replace)
        assert outcomes == ["cut_outcome_unknown"]

    async def test_crash_that_only_the_list_shows_is_attributed(
        self, fleet, script
    ):
        worker = await fleet.add_worker("w1", script)
        await fleet.start()
        async with fleet.caller() as caller:
            caller.send("/plan/1", method="POST", body=b"log")
            await script.began.wait()
        await fleets.wait_until(lambda: fleet.events("request"))
        await worker.close()
        await fleet.store.unlist_worker(worker)
        await fleets.wait_until(lambda: fleet.events("death_judged"))
