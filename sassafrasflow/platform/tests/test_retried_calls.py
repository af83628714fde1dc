"""Calls that are sent again, and whom their lost tries count against."""

import asyncio

from sassafrasflow.memory import account as accounts
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins


class TestLastRetry:
    """Guard against two calls that both use the last retry of the budget."""

    async def test_is_used_once(self, fleet):
        async def reset(conn, req):
            conn.reset()

        for name in ("w1", "w2", "w3"):
            await fleet.add_worker(name, reset)
        gateway = await fleet.start(retry_ratio=0.0, retry_slack=1.0)
        await fleets.wait_until(lambda: len(gateway.directory) == 3)
        deciding, both_decide = [], asyncio.Event()

        async def wait_for_the_other(job, tries):
            deciding.append(job)
            if len(deciding) >= 2:
                both_decide.set()
            async with asyncio.timeout(5):
                await both_decide.wait()
            return True

        gateway.access.can_try_again = wait_for_the_other
        async with fleet.caller() as first, fleet.caller() as second:
            first.send("/read/1", attempt="a1")
            second.send("/read/1", attempt="a2")
            answers = [await first.read(), await second.read()]
        assert [each.status for each in answers] == [502, 502]
        sent = sum(len(each.requests) for each in fleet.workers.values())
        assert sent == 3
        reasons = [answer.body for answer in answers]
        assert b'{"reason":"budget_spent"}' in reasons


class TestWaitForMemory:
    """Guard against targets that are blamed for a shortage of this instance.

    A target cuts off an answer that stays unread for some seconds.
    """

    async def test_reset_meanwhile_is_no_failure(self, fleet, monkeypatch):
        waits = asyncio.Event()

        async def reset_while_unread(conn, req):
            await conn.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n"
                b"X-Request-Attempt-Id: "
                + req.headers[standins.ATTEMPT].encode()
                + b"\r\n\r\npart"
            )
            async with asyncio.timeout(5):
                await waits.wait()
            conn.reset()

        async def wait_for_room(self, holding, more_bytes):
            waits.set()
            await asyncio.sleep(0.05)
            holding.add(accounts.Use.RUNNING, more_bytes)
            return True

        monkeypatch.setattr(accounts.Account, "wait_for_room", wait_for_room)
        await fleet.add_worker("w1", reset_while_unread)
        gateway = await fleet.start()
        async with fleet.caller() as caller:
            answer = await caller.request("/book/1", method="POST", body=b"x")
        assert answer.status == 502
        assert gateway.directory.get("w1")._failures == []

    async def test_time_is_no_sample(self, fleet, monkeypatch):
        async def wait_for_room(self, holding, more_bytes):
            await asyncio.sleep(0.05)
            holding.add(accounts.Use.RUNNING, more_bytes)
            return True

        monkeypatch.setattr(accounts.Account, "wait_for_room", wait_for_room)
        await fleet.add_worker("w1")
        gateway = await fleet.start()
        async with fleet.caller() as caller:
            assert (await caller.request("/read/1")).status == 200
        assert not list(gateway.access.pace._table.known())
