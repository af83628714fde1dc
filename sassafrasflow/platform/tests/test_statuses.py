"""Answers of targets and of the store whose status is not a response's."""

import asyncio

import msgspec
import pytest

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import targets
from sassafrasflow.platform import inspection
from sassafrasflow.platform import memory
from sassafrasflow.platform import store
from sassafrasflow.platform.tests import standins

# No time limit ends these tests, so that an answer that is taken for an
# interim one fails them.
BOUND_S = 1.0
INVALID = ["000", "001", "099", "101", "600", "999"]
KINDS = {"read": "GET", "book": "POST", "plan": "POST"}
each_status = pytest.mark.parametrize("status", INVALID)
each_kind = pytest.mark.parametrize("kind", KINDS)
FRAMINGS = {
    "length": b"Content-Length: 2\r\n\r\n{}",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "none": b"\r\n{}",
}


def answer_with(status, attempt="a1", framing="length"):
    """Return an answer whose connection the target keeps open."""
    head = f"HTTP/1.1 {status} Any\r\nX-Request-Attempt-Id: {attempt}\r\n"
    return head.encode() + FRAMINGS[framing]


def answer_always(status, framing="length"):
    async def script(conn, req):
        attempt = req.headers.get(standins.ATTEMPT, "")
        await conn.send(answer_with(status, attempt, framing))
        await conn.wait_closed()

    return script


async def request(fleet, kind, attempt="a1"):
    async with fleet.caller() as caller:
        return await caller.request(
            f"/{kind}/1",
            method=KINDS[kind],
            body=b"" if kind == "read" else b"x",
            attempt=attempt,
            X_Deadline_Remaining="8000",
        )


class TestTargets:
    """Guard against an invalid status that is passed on or ends a try late.

    A target in trouble sent the status 000, and its callers got it.
    """

    @pytest.mark.parametrize("framing", FRAMINGS)
    @each_status
    @each_kind
    async def test_try_ends_at_once_as_broken(
        self, fleet, kind, status, framing
    ):
        await fleet.add_worker("w1", answer_always(status, framing))
        await fleet.start()
        answer = await request(fleet, kind)
        # After the time limit it would be 504.
        assert answer.status == 502
        (line, *_) = fleet.events("status_invalid")
        assert line["status"] == int(status)
        assert line["target"] == "w1"
        metrics = fleet.gateways[0].metrics.render([])
        assert b"sassafrasflow_statuses_invalid_total" in metrics

    @each_status
    async def test_retryable_requests_are_answered_elsewhere(
        self, fleet, status
    ):
        await fleet.add_worker("w1", answer_always(status))

        async def sound(conn, req):
            if req.url.startswith("/plan"):
                return await standins.stream_script(2)(conn, req)
            await standins.answer_ok(conn, req)

        await fleet.add_worker("w2", sound)
        gateway = await fleet.start()
        while len(gateway.directory) < 2:
            await asyncio.sleep(0.01)
        for kind in ("read", "plan"):
            for number in range(4):
                answer = await request(fleet, kind, f"{kind}-{number}")
                assert answer.status == 200

    @each_status
    async def test_target_is_avoided_after_several(self, fleet, status):
        await fleet.add_worker("w1", answer_always(status))
        gateway = await fleet.start()
        target = gateway.directory.get("w1")
        for number in range(targets.FAILURE_THRESHOLD):
            await request(fleet, "book", f"a{number}")
        health = target.health(gateway.access.clock())
        assert health is not targets.Health.GOOD

    @pytest.mark.parametrize("interim", ["100", "102", "103", "199"])
    @each_kind
    async def test_interim_answers_are_passed_over(self, fleet, kind, interim):
        async def script(conn, req):
            await conn.send(f"HTTP/1.1 {interim} Any\r\n\r\n".encode())
            if kind == "plan":
                return await standins.stream_script(2)(conn, req)
            await standins.answer_ok(conn, req)

        await fleet.add_worker("w1", script)
        await fleet.start()
        answer = await request(fleet, kind)
        assert answer.status == 200
        assert not fleet.events("status_invalid")

    @pytest.mark.parametrize("status", ["201", "299", "418", "599"])
    @pytest.mark.parametrize("kind", ["read", "book"])
    async def test_unusual_responses_are_passed_on(self, fleet, kind, status):
        await fleet.add_worker("w1", answer_always(status))
        await fleet.start()
        answer = await request(fleet, kind)
        assert answer.status == int(status)


async def serve(status):
    """Start a server that answers every request with a status."""

    async def handle(conn, req):
        await conn.send(answer_with(status))
        await conn.wait_closed()

    server = standins.HttpServer(handle)
    await server.start()
    return server


class Lines(list):
    """Collect log lines."""

    def write(self, event, *, routine=False, **fields):
        self.append({"event": event, **fields})


class TestOtherClients:
    """Guard against calls to targets and the store that time out instead."""

    @each_status
    async def test_copy_order_fails_at_once(self, status):
        server = await serve(status)
        log = Lines()
        listed = targets.ListedTarget(
            id=ids.TargetId("t1"),
            service=ids.ServiceName("pool"),
            host=standins.HOST,
            port=server.port,
            data_centre=ids.DataCentre("a"),
            slots=1,
        )
        maker = memory.HttpCopyMaker(standins.HOST, log)
        async with asyncio.timeout(BOUND_S):
            assert await maker.make(listed, "a1", listed) is None
        assert [line["event"] for line in log] == ["copy_order_failed"]
        await server.close()

    @each_status
    async def test_status_check_finds_no_target(self, status, monkeypatch):
        monkeypatch.setattr(inspection, "TIMEOUT_S", 10 * BOUND_S)
        server = await serve(status)
        inspector = inspection.HttpTargetInspector(standins.HOST)
        async with asyncio.timeout(BOUND_S):
            found = await inspector.inspect(standins.HOST, server.port)
        assert found is None
        await server.close()

    @each_status
    async def test_read_of_the_store_fails_at_once(self, status, monkeypatch):
        monkeypatch.setattr(store, "CALL_TIMEOUT_S", 10 * BOUND_S)
        server = await serve(status)
        client = store.PlatformStore(standins.HOST, server.port)
        async with asyncio.timeout(BOUND_S):
            with pytest.raises(exceptions.TableUnavailable, match="status"):
                await client.read_rows("servers")
        client.close()
        await server.close()

    @each_status
    async def test_write_to_the_store_may_have_been_applied(
        self, status, monkeypatch
    ):
        monkeypatch.setattr(store, "CALL_TIMEOUT_S", 10 * BOUND_S)
        server = await serve(status)
        client = store.PlatformStore(standins.HOST, server.port)
        async with asyncio.timeout(BOUND_S):
            with pytest.raises(exceptions.TableOutcomeUnknown):
                await client.write(
                    [store.Write("op", "key", msgspec.json.encode(1))]
                )
        client.close()
        await server.close()
