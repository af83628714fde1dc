"""Lines and counters about what targets send besides their answers."""

import asyncio

import pytest

from sassafrasflow.platform import store
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins
from sassafrasflow.platform.tests.test_extra_answers import BODY
from sassafrasflow.platform.tests.test_extra_answers import in_chunks
from sassafrasflow.platform.tests.test_extra_answers import with_length

KEEP = "Keep-Alive: timeout=15"


class ScriptedWorker:
    """Send given bytes before, with and after the answer to a request."""

    def __init__(self, before=b"", after=b"", later=b""):
        self._before, self._after, self._later = before, after, later
        self._requests = 0

    async def __call__(self, conn, req):
        self._requests += 1
        first = self._requests == 1
        before = b"" if first else self._before
        own = with_length(200, req.headers[standins.ATTEMPT], KEEP)
        await conn.send(before + own + (self._after if first else b""))
        if first and self._later:
            await asyncio.sleep(0.05)
            await conn.send(self._later)


async def ask_twice(fleet, worker):
    """Send two requests to a worker; return the instance."""
    await fleet.store.configure(
        documents.configuration(
            Routes=[documents.route("book", "non_idempotent")]
        )
    )
    await fleet.add_worker("w1", worker)
    gateway = await fleet.start()
    async with fleet.caller() as caller:
        await caller.request("/book/1", attempt="a1")
        await asyncio.sleep(0.2)
        await caller.request("/book/2", attempt="a2")
    return gateway


def count(gateway, name, **labels):
    """Return the value of a counter of an instance."""
    key = (name, tuple(sorted(labels.items())))
    return gateway.metrics._counters.get(key, 0)


class TestSkippedAnswers:
    """Guard against answers that are skipped without a trace."""

    async def test_line_names_both_ids(self, fleet):
        late = with_length(500, "a1", KEEP)
        gateway = await ask_twice(fleet, ScriptedWorker(before=late))
        (line,) = fleet.events("answer_skipped")
        assert line["request"] == "a2"
        assert line["found"] == "a1"
        assert line["target"] == "w1"
        assert (line["status"], line["uses"]) == (500, 2)
        assert line["bytes"] == 28
        assert count(gateway, "answers_skipped_total") == 1

    async def test_line_for_a_stream(self, fleet):
        stream = standins.stream_script(2, Keep_Alive="timeout=15")
        asked = []

        async def script(conn, req):
            if asked:
                await conn.send(with_length(200, asked[-1], KEEP))
            asked.append(req.headers[standins.ATTEMPT])
            await stream(conn, req)

        await fleet.add_worker("w1", script)
        gateway = await fleet.start()
        async with fleet.caller() as caller:
            for attempt in ("a1", "a2"):
                await caller.request(
                    "/plan/1", attempt=attempt, X_Key="secret"
                )
        (line,) = fleet.events("answer_skipped")
        assert (line["request"], line["found"]) == ("a2", "a1")
        assert count(gateway, "answers_skipped_total") == 1

    async def test_long_id_does_not_spend_the_logs_budget(self, fleet):
        late = with_length(200, "a" * 2000)
        await ask_twice(fleet, ScriptedWorker(before=late))
        (line,) = fleet.events("answer_skipped")
        assert line["found"] == "a" * 64


class TestLeftConnections:
    """Guard against connections that are left without a trace."""

    @pytest.mark.parametrize(
        "after, status, found",
        [
            (b"HTTP/1.1 200 OK", None, None),
            (with_length(500, "a1"), 500, "a1"),
        ],
        ids=["start", "whole"],
    )
    async def test_bytes_after_an_answer(self, fleet, after, status, found):
        gateway = await ask_twice(fleet, ScriptedWorker(after=after))
        (line,) = fleet.events("connection_left")
        assert line["reason"] == "bytes_after_answer"
        assert line["target"] == "w1"
        assert (line["status"], line["uses"]) == (status, 1)
        assert (line["request"], line["found"]) == ("a1", found)
        reason = line["reason"]
        assert count(gateway, "connections_left_total", reason=reason) == 1

    async def test_bytes_on_an_idle_connection(self, fleet):
        later = with_length(200, "a1")
        gateway = await ask_twice(fleet, ScriptedWorker(later=later))
        (line,) = fleet.events("connection_left")
        assert line["reason"] == "bytes_when_idle"
        assert line["bytes"] == len(later)
        reason = line["reason"]
        assert count(gateway, "connections_left_total", reason=reason) == 1

    async def test_bytes_after_an_answer_that_ends_the_connection(self, fleet):
        async def script(conn, req):
            attempt = req.headers[standins.ATTEMPT]
            own = with_length(200, attempt, "Connection: close")
            await conn.send(own + with_length(500, attempt))

        await fleet.add_worker("w1", script)
        await fleet.start()
        async with fleet.caller() as caller:
            answer = await caller.request("/read/1", attempt="a1")
            assert (answer.status, answer.body) == (200, BODY)
        (line,) = fleet.events("connection_left")
        # The parser reads no answer after one that ends the connection.
        assert (line["reason"], line["status"]) == ("bytes_after_answer", None)
        assert line["request"] == "a1"

    async def test_idle_connection_that_the_target_closes_is_no_fault(
        self, fleet
    ):
        async def script(conn, req):
            await standins.answer_ok(conn, req, Keep_Alive="timeout=15")
            conn.close()

        await ask_twice(fleet, script)
        assert not fleet.events("connection_left")

    async def test_sound_answers_leave_no_line(self, fleet):
        async def script(conn, req):
            attempt = req.headers[standins.ATTEMPT]
            if req.method == "HEAD":
                await conn.send(with_length(200, attempt).removesuffix(BODY))
                return
            length = b"Content-Length: 28\r\n"
            await conn.send(with_length(200, attempt).replace(length, b""))
            conn.close()

        await fleet.add_worker("w1", script)
        await fleet.start()
        async with fleet.caller() as caller:
            caller.send("/read/1", method="HEAD")
            head = await caller.reader.readuntil(b"\r\n\r\n")
            assert head.startswith(b"HTTP/1.1 200")
            answer = await caller.request("/read/2")
            assert (answer.status, answer.body) == (200, BODY)
        assert not fleet.events("connection_left")


class TestJoinedAnswers:
    """Guard against heads made of two that look like any broken answer."""

    async def test_head_with_a_status_line_has_a_line_of_its_own(self, fleet):
        start = b"HTTP/1.1 200 OK"
        gateway = await ask_twice(fleet, ScriptedWorker(before=start))
        (line,) = fleet.events("answer_joined")
        assert line["request"] == "a2"
        assert (line["target"], line["uses"]) == ("w1", 2)
        assert line["part"] == "head"
        assert count(gateway, "answers_joined_total", part="head") == 1
        assert fleet.events("answer_broken")[0]["end"] == "garbled"

    async def test_answer_in_chunks_that_another_one_breaks_off(self, fleet):
        async def script(conn, req):
            attempt = req.headers[standins.ATTEMPT]
            own = in_chunks(200, attempt)
            size = own.index(BODY[7:])
            await conn.send(own[:size] + with_length(500, attempt))
            await conn.send(b"x" * 99)

        await fleet.add_worker("w1", script)
        await fleet.start()
        async with fleet.caller() as caller:
            await caller.request("/book/1", method="POST", attempt="a1")
        assert fleet.events("answer_broken")[0]["end"] == "garbled"
        assert fleet.events("answer_joined")[0]["part"] == "body"

    async def test_stream_that_a_failure_breaks_off(self, fleet):
        async def script(conn, req):
            attempt = req.headers[standins.ATTEMPT]
            text = b"id: 0\ndata: a\n\nid: 1\ndata: b"
            stream = "Content-Type: text/event-stream"
            own = with_length(200, attempt, stream, body=text)
            own = own.replace(b"Content-Length: %d\r\n" % len(text), b"")
            await conn.send(own + with_length(500, attempt))
            conn.close()

        await fleet.add_worker("w1", script)
        await fleet.start()
        async with fleet.caller() as caller:
            await caller.request("/plan/1", attempt="s1", X_Key="secret")
        assert fleet.events("answer_joined")


class TestStoreConnections:
    """Guard against bytes of the store that leave no trace."""

    async def test_bytes_after_an_answer(self, monkeypatch):
        async def answer(conn, req):
            body = with_length(200, None, body=b'{"Ver":1}')
            await conn.send(body + b"HTTP/1.1 200 OK")

        server = standins.HttpServer(answer)
        await server.start()
        lines = []
        log = fleets.CollectingLog("e1", lines)
        client = store.PlatformStore(standins.HOST, server.port, log)
        await client.read_rows("op")
        client.close()
        await server.close()
        assert [line["event"] for line in lines] == ["store_connection_left"]
        assert lines[0]["reason"] == "bytes_after_answer"
