"""Targets that send bytes which belong to no request."""

import asyncio
import contextlib
import itertools
import socket
import struct

import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import calls
from sassafrasflow.gateway import connections
from sassafrasflow.platform import headers
from sassafrasflow.platform import inspection
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

FIRST, SECOND = "a1", "a2"
BODY = b"the whole body of the answer"
TIMEOUT_S = 5.0


def head(status, attempt=None, *fields):
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} Some Reason", *fields]
    if attempt is not None:
        lines.append(f"X-Request-Attempt-Id: {attempt}")
    return "\r\n".join([*lines, "", ""]).encode()


def with_length(status, attempt=None, *fields, body=BODY):
    """Return an answer with a length."""
    length = f"Content-Length: {len(body)}"
    return head(status, attempt, *fields, length) + body


def in_chunks(status, attempt=None, *fields):
    """Return an answer in chunks, with a trailer."""
    body = b"7\r\n%b\r\n15\r\n%b\r\n0\r\nX-Trailer: a\r\n\r\n"
    coding = "Transfer-Encoding: chunked"
    return head(status, attempt, *fields, coding) + (
        body % (BODY[:7], BODY[7:])
    )


EXTRAS = {
    "success": with_length(200, FIRST, "X-Response-Seal: first"),
    "failure": with_length(500, FIRST, "Keep-Alive: timeout=15"),
    "not-run": with_length(503, FIRST, "X-Not-Executed: 1"),
    "chunks": in_chunks(200, FIRST, "X-Response-Seal: first"),
    "no-id": with_length(200),
    "failure-without-id": with_length(500),
    "not-run-without-id": with_length(503, None, "X-Not-Executed: 1"),
    "other-target-without-id": with_length(421),
    "no-body": head(204, FIRST),
    "interim": head(100),
    "http-1.0": with_length(200, FIRST).replace(b"HTTP/1.1", b"HTTP/1.0"),
    "upgrade": head(101, FIRST, "Connection: upgrade", "Upgrade: h2c"),
    "garbage": b"\x00\x01garbage\r\n\r\n",
}
ANSWERS = {
    "success": with_length(200, SECOND, "X-Response-Seal: second"),
    "failure": with_length(500, SECOND),
    "not-run": with_length(503, SECOND, "X-Not-Executed: 1"),
    "chunks": in_chunks(500, SECOND),
    "empty": with_length(500, SECOND, body=b""),
}


class Target:
    """Send scripted bytes on the connections that are made to it."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._accepted = asyncio.Queue()
        self._writers = []

    async def __aenter__(self):
        async def accept(reader, writer):
            self._writers.append(writer)
            await self._accepted.put((reader, writer))

        self._server = await asyncio.start_server(accept, standins.HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *_):
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def connect(self):
        """Return a client connection and its remote end."""
        conn = await connections.connect(standins.HOST, self.port, TIMEOUT_S)
        # Closed connections must not hold thousands of local ports.
        conn._transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        return conn, *await self._accepted.get()


async def read(conn, attempt):
    """Return the answer to an attempt, or how it broke off."""
    async with asyncio.timeout(TIMEOUT_S):
        return await calls.read_answer(
            conn, headers.PlatformHeaders(), attempt
        )


async def wait_for_bytes(conn):
    """Wait until the event loop has read what the target has sent."""
    for _ in range(3):
        await asyncio.sleep(0.001)


class TestReuse:
    """Guard against bytes after an answer that begin the next one."""

    @pytest.mark.parametrize("extra", EXTRAS)
    async def test_answer_with_further_bytes_ends_the_connection(self, extra):
        async with Target() as target:
            for size in range(1, len(EXTRAS[extra])):
                conn, _, writer = await target.connect()
                conn.send(b"request")
                writer.write(with_length(200, FIRST) + EXTRAS[extra][:size])
                answer = await read(conn, FIRST)
                assert (answer.status, answer.body) == (200, BODY)
                assert not conn.reusable
                conn.abort()

    async def test_unread_bytes_end_the_connection(self):
        async with Target() as target:
            conn, _, writer = await target.connect()
            conn.send(b"request")
            writer.write(with_length(200, FIRST))
            assert await read(conn, FIRST)
            assert conn.reusable
            writer.write(b"H")
            assert not conn.reusable
            conn.abort()

    async def test_answer_that_ends_the_connection_is_the_last(self):
        async with Target() as target:
            conn, _, writer = await target.connect()
            conn.send(b"request")
            writer.write(EXTRAS["http-1.0"])
            answer = await read(conn, FIRST)
            assert (answer.status, answer.body) == (200, BODY)
            assert not conn.reusable
            conn.abort()


class TestLateBytes:
    """Guard against bytes that arrive after the next request was sent."""

    @pytest.mark.parametrize("answer", ANSWERS)
    @pytest.mark.parametrize("extra", EXTRAS)
    @pytest.mark.parametrize("pause", [False, True])
    async def test_answer_is_the_targets_own_or_broken(
        self, monkeypatch, extra, answer, pause
    ):
        monkeypatch.setattr(connections, "STALE_ANSWER_TIMEOUT_S", 0.02)
        own = ANSWERS[answer]
        async with Target() as target:
            for size in range(len(EXTRAS[extra]) + 1):
                conn, _, writer = await target.connect()
                conn.send(b"request")
                writer.write(with_length(200, FIRST))
                await read(conn, FIRST)
                assert conn.reusable
                conn.send(b"request")
                writer.write(EXTRAS[extra][:size])
                if pause:
                    await wait_for_bytes(conn)
                writer.write(own)
                result = None
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.1):
                        result = await calls.read_answer(
                            conn, headers.PlatformHeaders(), SECOND
                        )
                if isinstance(result, calls.TargetAnswer):
                    assert result.status == int(own[9:12])
                    body = b"" if answer == "empty" else BODY
                    assert result.body == body
                    assert result.head.attempt_id == SECOND
                    assert result.head.not_run == (answer == "not-run")
                elif size in (0, len(EXTRAS[extra])) and extra not in (
                    "http-1.0",
                    "upgrade",
                    "garbage",
                ):
                    pytest.fail(f"{result} after {size} bytes")
                conn.abort()

    async def test_unfinished_answer_is_not_awaited_until_the_deadline(
        self, monkeypatch
    ):
        monkeypatch.setattr(connections, "STALE_ANSWER_TIMEOUT_S", 0.2)
        async with Target() as target:
            conn, _, writer = await target.connect()
            conn.send(b"request")
            writer.write(with_length(200, FIRST))
            await read(conn, FIRST)
            conn.send(b"request")
            long_body = with_length(200, FIRST, body=b"b" * 5000)
            writer.write(long_body[:200] + ANSWERS["success"])
            result = await read(conn, SECOND)
            assert result is connections.ConnectionEnd.GARBLED
            conn.abort()


def is_used_again(conn):
    """Count a request on a connection; return whether it is a later one."""
    conn.uses = getattr(conn, "uses", 0) + 1
    return conn.uses > 1


class StutteringWorker:
    """Answer, and send further bytes with the answer or before the next."""

    def __init__(self, extra, *, late=False):
        self.runs = {}
        self._extra = extra
        self._late = late
        self._numbers = itertools.count()

    async def __call__(self, conn, req):
        attempt = req.headers[standins.ATTEMPT]
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        failed = next(self._numbers) % 3 == 2
        is_used = is_used_again(conn)
        if self._late and is_used:
            await conn.send(self._extra)
        status = 500 if failed else 200
        own = with_length(
            status,
            attempt,
            "X-Response-Seal: sealed",
            "Keep-Alive: timeout=15",
        )
        await conn.send(own if self._late else own + self._extra)


class TestBookings:
    """Guard against bookings that run twice or get another answer."""

    @pytest.mark.parametrize("late", [False, True])
    @pytest.mark.parametrize(
        "extra",
        [
            b"HTTP/1.1 200 OK",
            b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nX: y",
            with_length(503, None, "X-Not-Executed: 1"),
            with_length(503, "other", "X-Not-Executed: 1"),
            with_length(200, "other")[:-5],
        ],
        ids=["status", "head", "no-id", "other-id", "body"],
    )
    async def test_runs_once_and_gets_its_own_answer(self, fleet, extra, late):
        routes = [
            documents.route("book", "non_idempotent", MaxAttempts=2),
            documents.route("read", "idempotent"),
        ]
        await fleet.store.configure(documents.configuration(Routes=routes))
        workers = []
        for name in ("w1", "w2"):
            worker = StutteringWorker(extra, late=late)
            workers.append(worker)
            await fleet.add_worker(name, worker)
        await fleet.start()
        statuses = []
        async with fleet.caller() as caller:
            for number in range(30):
                answer = await caller.request(
                    f"/book/{number}",
                    attempt=f"b{number}",
                    X_Key="secret",
                    X_Deadline_Remaining="500",
                )
                runs = sum(w.runs.get(f"b{number}", 0) for w in workers)
                assert runs <= 1
                if answer.status in (429, 503):
                    assert not runs
                if answer.status == 200:
                    assert answer.body == BODY
                statuses.append(answer.status)
        assert 200 in statuses


class TestSameRequestAgain:
    """Guard against the late answer to a former try of the same request."""

    async def test_rejection_that_comes_twice_is_not_the_second_answer(
        self, fleet
    ):
        sends = []

        async def script(conn, req):
            attempt = req.headers[standins.ATTEMPT]
            is_used = is_used_again(conn)
            sends.append(attempt)
            rejection = with_length(
                503, attempt, "X-Not-Executed: 1", "Keep-Alive: timeout=15"
            )
            if attempt == "again" and sends.count(attempt) == 1:
                return await conn.send(rejection)
            if attempt == "again" and is_used:
                # The first answer once more.
                await conn.send(rejection)
            await standins.answer_ok(conn, req, Keep_Alive="timeout=15")

        routes = [documents.route("book", "non_idempotent", MaxAttempts=2)]
        await fleet.store.configure(documents.configuration(Routes=routes))
        await fleet.add_worker("w1", script)
        gateway = await fleet.start()
        async with fleet.caller() as caller:
            await caller.request("/book/1", attempt="warm")
            # The request returns to its first target, as the other one is lost
            # with all that it ran.
            await fleet.add_worker("w2")
            await fleets.wait_until(
                lambda: gateway.directory.get(ids.TargetId("w2")) is not None
            )
            other = gateway.directory.get(ids.TargetId("w2"))
            other.record_loss(gateway._clock())
            other.in_flight = other.listed.slots
            answer = await caller.request("/book/2", attempt="again")
        assert sends.count("again") == 2
        assert answer.status == 200


class TestStreams:
    """Guard against streams that get the answer to another request."""

    @pytest.mark.parametrize(
        "extra",
        [
            b"HTTP/1.1 200 OK",
            with_length(503, None, "X-Not-Executed: 1"),
            with_length(200, None, body=b"id: 1\ndata: odd\n\n"),
            with_length(200, "other", body=b"id: 1\ndata: odd\n\n"),
        ],
        ids=["status", "not-run", "no-id", "other-id"],
    )
    @pytest.mark.parametrize("late", [False, True])
    async def test_stream_is_the_targets_own(self, fleet, extra, late):
        stream = standins.stream_script(4, Keep_Alive="timeout=15")

        async def script(conn, req):
            if is_used_again(conn) and late:
                await conn.send(extra)
            await stream(conn, req)
            if not late:
                await conn.send(extra)

        for name in ("w1", "w2"):
            await fleet.add_worker(name, script)
        await fleet.start()
        async with fleet.caller() as caller:
            for number in range(6):
                answer = await caller.request(
                    f"/plan/{number}", attempt=f"s{number}", X_Key="secret"
                )
                assert b"odd" not in answer.body
                if answer.status == 200:
                    assert answer.body.count(b"token-") == 4


class TestStatusChecks:
    """Guard against a status check that reads an answer to another one."""

    async def test_second_health_answer_is_no_report(self):
        async def answer(conn, req):
            if req.url == "/health":
                body = with_length(200, None, "X-Instance-Id: w1")
                await conn.send(body)
                await conn.send(body)
            else:
                await conn.answer(404)

        server = standins.HttpServer(answer)
        await server.start()
        inspector = inspection.HttpTargetInspector(standins.HOST)
        found = await inspector.inspect(standins.HOST, server.port)
        assert found is not None
        assert found.id == "w1"
        assert not found.is_engine
        await server.close()
