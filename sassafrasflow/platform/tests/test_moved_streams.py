"""Moves of streams whose callers leave."""

import asyncio
import contextlib

import pytest

from sassafrasflow.gateway import moves
from sassafrasflow.gateway import targets
from sassafrasflow.gateway.tests import test_targets
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins
from sassafrasflow.platform.tests import test_removed_entries


class Opened:
    """Run that records whether it was closed."""

    def __init__(self):
        self.closed = False

    def close(self):
        self.closed = True


class TestCallerLeaves:
    """No run is left open at the target that has accepted the stream.

    A caller that closes its side cancels the handler twice: when the end is
    read, and when the connection is lost.
    """

    @pytest.mark.parametrize("cancels", [1, 2])
    async def test_run_that_was_just_accepted_is_closed(self, cancels):
        opened = Opened()

        async def start():
            return opened

        move = moves.Move(start(), lambda: None)

        async def consume():
            try:
                await asyncio.Event().wait()
            finally:
                await move.stop()

        task = asyncio.create_task(consume())
        await asyncio.sleep(0)
        assert move.ended
        for _ in range(cancels):
            task.cancel()
            await asyncio.sleep(0)
        with contextlib.suppress(asyncio.CancelledError):
            await task
        await asyncio.sleep(0.01)
        assert opened.closed

    async def test_caller_closes_as_the_next_target_accepts(
        self, fleet, monkeypatch
    ):
        """The accepted run ends, and nothing counts as in flight."""
        silent = test_removed_entries.SilentTarget(8.0)
        accepted, ended = asyncio.Event(), asyncio.Event()

        async def accept(conn, req):
            await conn.start_stream(req)
            accepted.set()
            await conn.wait_closed()
            ended.set()

        await fleet.add_worker("w1", silent)
        gateway = await fleet.start()
        create = moves.Move.__init__

        def create_and_leave(move, start, on_end):
            def leave():
                # As asyncio does when the end of the caller is read.
                for conn in list(gateway._server.connections):
                    if not conn.eof_received():
                        conn._transport.close()
                on_end()

            create(move, start, leave)

        monkeypatch.setattr(moves.Move, "__init__", create_and_leave)
        async with fleet.caller() as caller:
            caller.send(
                "/plan/1",
                method="POST",
                body=b"log",
                X_Deadline_Remaining="8000",
            )
            await silent.began.wait()
            await fleet.add_worker("w2", accept)
            async with asyncio.timeout(6.0):
                await accepted.wait()
            await asyncio.sleep(1.0)
            assert ended.is_set()
            assert {t.in_flight for t in gateway.directory.targets()} == {0}


class TestRelistedTarget:
    """A target whose entry came back is known to have been replaced."""

    def test_restart_after_the_entry_came_back(self):
        """Else a stream waits at a target that has restarted."""
        directory = targets.Directory()
        change, listed = test_targets.change, test_targets.listed
        directory.apply([change(1, listed())], 0.0)
        used = directory.get("t1")
        directory.apply([change(2)], 1.0)
        directory.apply([change(3, listed())], 2.0)
        directory.apply([change(4, listed(started_ms=2))], 3.0)
        assert used.replaced


class TestLeavingHolder:
    """A target that has announced its end gets no stream from a copy."""

    async def test_stream_is_not_moved_to_a_holder_that_leaves(self, fleet):
        """It leaves for longer than the 2.5 s in which it may get requests."""
        listed_at = None
        loop = asyncio.get_running_loop()

        async def fall_silent(conn, req):
            await conn.start_stream(req)
            number = 0
            while listed_at is None or loop.time() < listed_at + 3.0:
                number += 1
                await conn.event(number)
                await asyncio.sleep(0.2)
            await conn.wait_closed()

        first = await fleet.add_worker("w1", fall_silent)
        gateway = await fleet.start()
        second = await fleet.add_worker("w2")
        await fleets.wait_until(lambda: len(gateway.directory) == 2)
        async with fleet.caller() as caller:
            # The first target is the only one that is ready, and the second
            # one is known as the holder of the copy.
            await fleet.store.list_worker(second, Slots=1)
            caller.send(
                "/plan/1",
                method="POST",
                body=b"log",
                X_Deadline_Remaining="9000",
            )
            await fleets.wait_until(lambda: first.requests or second.requests)
            if second.requests:
                pytest.fail("the stream began at the holder")
            assert "x-kv-backup" in first.requests[0].headers
            await fleet.store.list_worker(second, State="draining")
            await fleet.add_worker("w3")
            listed_at = loop.time()
            await asyncio.sleep(5.0)
        assert not second.requests


class TestLateRefusals:
    """A live target is left only for one that goes on with the stream."""

    @pytest.mark.parametrize("refused_after_s", [0.05, 0.35])
    async def test_stream_is_not_cut(self, fleet, refused_after_s):
        """The target is silent for 3.5 s and then goes on."""
        script = test_removed_entries.SilentTarget(3.5)

        async def refuse(conn, req):
            await asyncio.sleep(refused_after_s)
            await standins.shed(conn, req)

        await fleet.add_worker("w1", script)
        await fleet.start()
        async with fleet.caller() as caller:
            caller.send(
                "/plan/1",
                method="POST",
                body=b"log",
                X_Deadline_Remaining="8000",
            )
            await script.began.wait()
            for name in ("w2", "w3", "w4"):
                await fleet.add_worker(name, refuse)
            answer = await caller.read()
        assert [line["outcome"] for line in fleet.events("request")] == [
            "answered_200"
        ]
        assert answer.complete

    async def test_two_targets_work_for_less_than_0_4_s(self, fleet):
        loop = asyncio.get_running_loop()
        times = {}
        began = asyncio.Event()

        async def fall_silent(conn, req):
            await conn.start_stream(req)
            await conn.event(1)
            began.set()
            await conn.wait_closed()
            times["left"] = loop.time()

        async def accept_silently(conn, req):
            times["began"] = loop.time()
            await conn.wait_closed()

        await fleet.add_worker("w1", fall_silent)
        await fleet.start()
        async with fleet.caller() as caller:
            caller.send(
                "/plan/1",
                method="POST",
                body=b"log",
                X_Deadline_Remaining="6000",
            )
            await began.wait()
            await fleet.add_worker("w2", accept_silently)
            async with asyncio.timeout(6.0):
                while "left" not in times:
                    await asyncio.sleep(0.01)
        assert times["left"] - times["began"] < 0.4
