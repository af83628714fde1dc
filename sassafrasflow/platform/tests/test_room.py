"""Tokens of streams and copies at their targets, with whole instances."""

import asyncio

import msgspec
import pytest

from sassafrasflow.gateway import targets
from sassafrasflow.platform import headers
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

PLAN = "/plan/1"
MEMORY = 90_000


def read_head(**named):
    """Return the decoded head of a caller's request."""
    sent = [(b"Host", b"a.test")]
    sent += [(name.encode(), value) for name, value in named.items()]
    return headers.PlatformHeaders().read_caller(sent)


class TestLengthHint:
    """Guard against hints that are no numbers."""

    @pytest.mark.parametrize(
        ("value", "tokens"),
        [(b"780", 780), (b"-5", 0), (b"many", 0), (b"1e999", 0), (b"", 0)],
    )
    def test_hint_is_decoded(self, value, tokens):
        assert read_head(**{"X-Length-Hint": value}).length_hint == tokens

    def test_request_without_a_hint(self):
        assert read_head().length_hint == 0


class TestTokens:
    """Guard against tokens that are counted after their stream has ended."""

    async def test_streams_and_copies_are_counted_until_they_end(self, fleet):
        began, go_on = asyncio.Event(), asyncio.Event()

        async def serve(conn, req):
            began.set()
            await go_on.wait()
            await standins.stream_script(3)(conn, req)

        await fleet.add_worker("w1", serve)
        await fleet.add_worker("w2", serve, zone="b")
        gateway = await fleet.start()
        engines = gateway.directory.targets()
        async with fleet.caller() as caller:
            caller.send(
                PLAN,
                method="POST",
                body=b"log",
                X_Token_Counts="8200,780",
                X_Length_Hint="9000",
            )
            await began.wait()
            assert [each.used_tokens for each in engines] == [8_980] * 2
            assert sum(each.prefill_tokens for each in engines) == 8_200
            go_on.set()
            async with asyncio.timeout(5):
                await caller.read()
        await fleets.wait_until(
            lambda: not any(each.used_tokens for each in engines)
        )
        assert not any(each.prefill_tokens for each in engines)

    async def test_caller_that_leaves_frees_them(self, fleet):
        began = asyncio.Event()

        async def serve(conn, req):
            began.set()
            await conn.wait_closed()

        await fleet.add_worker("w1", serve)
        gateway = await fleet.start()
        async with fleet.caller() as caller:
            caller.send(
                PLAN, method="POST", body=b"log", X_Token_Counts="8200,780"
            )
            await began.wait()
        await fleets.wait_until(
            lambda: gateway.directory.get("w1").used_tokens == 0
        )
        assert gateway.directory.get("w1").prefill_tokens == 0

    async def test_caller_that_leaves_during_the_choice_of_a_holder(
        self, fleet, monkeypatch
    ):
        """Guard against a load that peers are told for ever."""
        began = asyncio.Event()

        async def choose(*args):
            began.set()
            await asyncio.Event().wait()

        await fleet.add_worker("w1", standins.stream_script(3))
        gateway = await fleet.start(exchange_port=fleets.free_port())
        target = gateway.directory.get("w1")
        exchange = gateway.access.exchange
        monkeypatch.setattr(gateway.access, "choose_copy_holder", choose)
        async with fleet.caller() as caller:
            caller.send(
                PLAN, method="POST", body=b"log", X_Token_Counts="8200,780"
            )
            await began.wait()
            assert target.used_tokens == 8_980
            assert exchange._own_loads["w1"].work.used_tokens >= 8_980
        await fleets.wait_until(lambda: target.used_tokens == 0)
        assert not exchange._own_loads

    async def test_restarted_engine_starts_at_zero(self, fleet):
        """Guard against tokens of a former incarnation that are reported."""
        await fleet.add_worker("w1", standins.stream_script(3))
        gateway = await fleet.start(exchange_port=fleets.free_port())
        old = gateway.directory.get("w1")
        old.in_flight, old.used_tokens = 1, 8_980
        gateway.access.publish_load(old)
        own_loads = gateway.access.exchange._own_loads
        assert own_loads["w1"].work.used_tokens >= 8_980
        restarted = msgspec.structs.replace(
            old.listed, started_ms=old.listed.started_ms + 1
        )
        entry = targets.TargetChange(old.id, 10**6, restarted)
        gateway.directory.apply([entry], gateway.access.clock())
        gateway.access.publish_load(old)
        assert gateway.directory.get("w1").used_tokens == 0
        assert "w1" not in own_loads

    async def test_peers_learn_that_a_prompt_was_read(self, fleet):
        """Guard against prompts that seem to wait to the stream's end."""
        go_on = asyncio.Event()

        async def serve(conn, req):
            await conn.start_stream(req)
            await conn.event(1)
            await go_on.wait()

        await fleet.add_worker("w1", serve)
        await fleet.start(exchange_port=fleets.free_port())
        second = await fleet.start(exchange_port=fleets.free_port())
        await fleets.wait_until(lambda: len(second.access.exchange.peers) == 1)
        target = second.directory.get("w1")
        async with fleet.caller() as caller:
            caller.send(
                PLAN, method="POST", body=b"log", X_Token_Counts="8200,780"
            )
            async with asyncio.timeout(5):
                while True:
                    await second.access.exchange.query_loads([target])
                    figures = second.access.exchange.figures_of(target.listed)
                    work = figures.work
                    if work.used_tokens >= 8_980 and not work.prefill_tokens:
                        break
                    await asyncio.sleep(0.02)
            go_on.set()


class TestCopies:
    """Guard against copies that take the room of other streams."""

    @pytest.mark.parametrize(
        ("prompt", "has_copy"), [(8_200, True), (MEMORY - 10_000, False)]
    )
    async def test_copy_needs_room_for_another_stream(
        self, fleet, prompt, has_copy
    ):
        script = standins.stream_script(3)
        first = await fleet.add_worker("w1", script)
        second = await fleet.add_worker("w2", script, zone="b")
        gateway = await fleet.start()
        async with fleet.caller() as caller:
            answer = await caller.request(
                PLAN,
                method="POST",
                body=b"log",
                X_Token_Counts=f"{prompt},780",
            )
        assert answer.complete
        sent = [*first.requests, *second.requests]
        assert ["x-kv-backup" in each.headers for each in sent] == [has_copy]
        text = gateway.metrics.render([]).decode()
        assert ("copies_without_room_total" in text) == (not has_copy)


class TestPlacement:
    """Guard against streams that go where they don't fit."""

    async def test_stream_goes_to_the_target_with_room(self, fleet):
        script = standins.stream_script(3)
        await fleet.add_worker("w1", script)
        remote = await fleet.add_worker("w2", script, zone="b")
        gateway = await fleet.start()
        gateway.directory.get("w1").used_tokens = MEMORY - 5_000
        async with fleet.caller() as caller:
            await caller.request(
                PLAN, method="POST", body=b"log", X_Token_Counts="8200,780"
            )
        assert len(remote.requests) == 1
        assert not fleet.events("placed_without_room")

    async def test_stream_without_room_is_logged(self, fleet):
        await fleet.add_worker("w1", standins.stream_script(3))
        gateway = await fleet.start()
        gateway.directory.get("w1").used_tokens = MEMORY - 5_000
        async with fleet.caller() as caller:
            answer = await caller.request(
                PLAN, method="POST", body=b"log", X_Token_Counts="8200,780"
            )
        assert answer.complete
        await fleets.wait_until(lambda: fleet.events("placed_without_room"))
        (line,) = fleet.events("placed_without_room")
        assert line["tokens"] == 8_980
        assert 'room="no"' in gateway.metrics.render([]).decode()
