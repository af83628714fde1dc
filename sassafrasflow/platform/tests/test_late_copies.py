"""Copies that are ordered while a stream runs, with whole instances."""

import asyncio

import pytest

from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

PLAN = "/plan/1"
MEMORY = 90_000


async def run_stream(fleet, *, crashes):
    """Run a stream for whose copy there is room only after its start.

    Returns the answer, the engine of the stream and the holder.
    """
    go_on = asyncio.Event()

    async def serve(conn, req):
        await conn.start_stream(req)
        await conn.event(1)
        await go_on.wait()
        if crashes:
            return conn.reset()
        await conn.event(2)
        await conn.event(3)
        await conn.send(b"0\r\n\r\n")

    first = await fleet.add_worker("w1", serve)
    second = await fleet.add_worker("w2", standins.stream_script(3), zone="b")
    gateway = await fleet.start(holds_streams=True)
    gateway.access.gate.times("pool").record(6.0, 5.0, 780)
    holder = gateway.directory.get("w2")
    holder.used_tokens = MEMORY - 5_000
    async with fleet.caller() as caller:
        caller.send(
            PLAN, method="POST", body=b"log", X_Token_Counts="8200,780"
        )
        await caller.reader.readuntil(b"\r\n\r\n")
        assert "x-kv-backup" not in first.requests[0].headers
        assert not first.copy_orders
        holder.used_tokens = 0
        async with asyncio.timeout(5):
            while not fleet.events("copy_ordered_late"):
                await asyncio.sleep(0.05)
        counted = holder.copies, holder.used_tokens
        go_on.set()
        body = b"".join([chunk async for chunk in caller.chunks()])
    assert counted == (1, 8_980)
    await fleets.wait_until(lambda: not holder.used_tokens)
    assert not holder.copies
    assert not gateway.access.placer.copy_searches
    return body, first, second


class TestLateCopy:
    """Guard against prompts that are read again for want of a copy.

    Load: engines are full when a stream starts, and have room later.
    """

    @pytest.mark.parametrize("crashes", [False, True])
    async def test_stream_gets_a_copy_when_there_is_room(self, fleet, crashes):
        body, first, second = await run_stream(fleet, crashes=crashes)
        assert [f"id: {n}".encode() in body for n in (1, 2, 3)] == [True] * 3
        assert first.copy_orders[0]["To"] == f"{standins.HOST}:{second.port}"
        assert len(second.requests) == int(crashes)
        if crashes:
            source = f"{standins.HOST}:{first.port}"
            assert second.requests[0].headers["kv-from"] == f"{source}/h1"
