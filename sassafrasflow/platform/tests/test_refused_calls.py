"""What callers of short calls are told when the targets are full."""

import asyncio

import pytest

from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import standins

BOOK = "/book/1"
READ = "/read/1"
# Time of the call that the target with one slot runs.
CALL_S = 0.4


class FullTarget:
    """Script of a target that runs one call, and rejects the others."""

    def __init__(self, **rejection_headers) -> None:
        self.arrivals = 0
        self.has_room = True
        self._headers = rejection_headers

    async def __call__(self, conn, req):
        self.arrivals += 1
        attempt = req.headers[standins.ATTEMPT]
        if self.has_room:
            await asyncio.sleep(CALL_S)
            await conn.answer(
                200, b"{}", X_Request_Attempt_Id=attempt, X_Response_Seal="s"
            )
        else:
            await conn.answer(
                503,
                b"{}",
                X_Request_Attempt_Id=attempt,
                X_Not_Executed="1",
                **self._headers,
            )


async def start(fleet, script, **changes):
    """Start an instance that has measured a call of its one target."""
    worker = await fleet.add_worker("w1", script)
    await fleet.store.list_worker(worker, Slots=1, Sequence=2)
    await fleet.store.configure(documents.configuration())
    gateway = await fleet.start(**changes)
    answer = await send(fleet, "first")
    assert answer.status == 200
    script.has_room = False
    return gateway


async def send(fleet, attempt, path=BOOK, deadline_ms=1900):
    async with fleet.caller() as caller:
        return await caller.request(
            path,
            method="POST",
            body=attempt.encode(),
            attempt=attempt,
            X_Deadline_Remaining=str(deadline_ms),
        )


class TestRetryAfter:
    """Guard against callers that are told a time that nobody has estimated.

    They came back after 0.25 s, whatever the calls and their number.
    """

    async def test_is_the_time_until_a_call_ends(self, fleet):
        await start(fleet, FullTarget(), holds_streams=True)
        answer = await send(fleet, "second")
        assert answer.status == 503
        assert CALL_S <= float(answer.headers["retry-after"]) <= 0.64
        (line,) = fleet.events("call_refused")
        assert line["reason"] == "tries_spent" and line["rejecting"] == 1

    async def test_callers_do_not_come_back_together(self, fleet):
        """One slot has room for one call in each 0.4 s."""
        await start(fleet, FullTarget(), holds_streams=True)
        waits = []
        for number in range(8):
            answer = await send(fleet, f"a{number}", deadline_ms=1900)
            assert answer.status == 503
            waits.append(float(answer.headers["retry-after"]))
        assert len(set(waits)) >= 5

    @pytest.mark.parametrize("path", [BOOK, READ])
    async def test_is_no_longer_than_a_third_of_the_remaining_time(
        self, fleet, path
    ):
        await start(fleet, FullTarget(), holds_streams=True)
        answer = await send(fleet, "second", path, deadline_ms=900)
        assert answer.status == 503
        assert 0.25 <= float(answer.headers["retry-after"]) <= 0.3

    async def test_is_as_short_as_the_target_asks(self, fleet):
        script = FullTarget(Retry_After="0.1")
        await start(fleet, script, holds_streams=True)
        answer = await send(fleet, "second")
        assert answer.status == 503
        assert 0.05 <= float(answer.headers["retry-after"]) <= 0.15

    async def test_is_constant_without_the_setting(self, fleet):
        await start(fleet, FullTarget())
        answer = await send(fleet, "second")
        assert answer.status == 503
        assert answer.headers["retry-after"] in ("0.25", "1.00")
        assert not fleet.events("call_refused")


class TestHopelessCalls:
    """Guard against calls that wait at targets until it is too late."""

    async def test_is_refused_without_a_try(self, fleet):
        script = FullTarget()
        await start(fleet, script, holds_streams=True)
        assert (await send(fleet, "second")).status == 503
        arrivals = script.arrivals
        answer = await send(fleet, "third", deadline_ms=150)
        assert answer.status == 503
        assert b"too_late" in answer.body
        assert script.arrivals == arrivals

    @pytest.mark.parametrize(
        "holds_streams, deadline_ms, delay_s",
        [
            # The call can end in time.
            (True, 1900, 0.0),
            # The rejection is too old to tell anything.
            (True, 150, 1.1),
            (False, 150, 0.0),
        ],
    )
    async def test_others_are_sent(
        self, fleet, holds_streams, deadline_ms, delay_s
    ):
        """Guard against a refusal while a target may be free."""
        script = FullTarget()
        await start(fleet, script, holds_streams=holds_streams)
        assert (await send(fleet, "second")).status == 503
        await asyncio.sleep(delay_s)
        arrivals = script.arrivals
        await send(fleet, "third", deadline_ms=deadline_ms)
        assert script.arrivals > arrivals

    async def test_target_that_has_run_a_call_is_not_full(self, fleet):
        script = FullTarget()
        await start(fleet, script, holds_streams=True)
        assert (await send(fleet, "second")).status == 503
        script.has_room = True
        assert (await send(fleet, "third")).status == 200
        arrivals = script.arrivals
        await send(fleet, "fourth", deadline_ms=150)
        assert script.arrivals > arrivals
