"""Tests of the memory that callers make a server hold."""

import asyncio

import litestar
import msgspec
import pytest

from sassafrasflow import api
from sassafrasflow import observability

BODY_BYTES = 256 * 1024
HEAD = b"POST / HTTP/1.1\r\nHost: club.example\r\nContent-Length: %d\r\n%b\r\n"
BOUNDS = api.HttpBounds(
    max_body_bytes=BODY_BYTES,
    # Room for two of the largest bodies.
    max_held_bytes=3 << 20,
)
SHORT_TIMEOUT = msgspec.structs.replace(BOUNDS, head_timeout_ms=100)
# Silences are compared in steps of 0.5 s.
SILENCE_S = 0.6


class Server:
    """Server whose handler counts the bodies that it got."""

    def __init__(self, bounds=BOUNDS):
        self.bodies = 0
        self.metrics = observability.Metrics()

        @litestar.post("/")
        async def read(request: litestar.Request) -> str:
            body = await request.body()
            self.bodies += 1
            return str(len(body))

        app = litestar.Litestar(
            [read], request_max_body_size=BODY_BYTES, openapi_config=None
        )
        self.http = api.HttpServer(app, "127.0.0.1", 0, bounds, self.metrics)

    @property
    def held_bytes(self):
        return self.http.account.used_bytes

    async def send(self, content):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.http.port
        )
        writer.write(content)
        return reader, writer

    async def until(self, condition):
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.01)


@pytest.fixture
async def server():
    running = Server()
    await running.http.start()
    yield running
    await running.http.close()


@pytest.fixture
async def impatient():
    running = Server(SHORT_TIMEOUT)
    await running.http.start()
    yield running
    await running.http.close()


def request(sent=BODY_BYTES, *lines):
    head = HEAD % (BODY_BYTES, b"".join(lines))
    return head + b"b" * sent


class TestBodies:
    """Bodies that are being read were counted nowhere."""

    async def test_largest_body_is_served(self, server):
        reader, writer = await server.send(request())
        answer = await reader.readuntil(str(BODY_BYTES).encode())
        assert answer.startswith(b"HTTP/1.1 201")
        writer.close()
        await server.until(lambda: not server.held_bytes)

    async def test_silent_caller_gives_way(self, server):
        stopped = [await server.send(request(100)) for _ in range(2)]
        await server.until(lambda: server.held_bytes > 6 * BODY_BYTES)
        await asyncio.sleep(SILENCE_S)
        reader, writer = await server.send(request())
        assert await reader.readuntil(str(BODY_BYTES).encode())
        refused = await asyncio.wait_for(
            asyncio.wait(
                [asyncio.ensure_future(r.read()) for r, _ in stopped],
                return_when=asyncio.FIRST_COMPLETED,
            ),
            20,
        )
        (answer,) = [task.result() for task in refused[0]][:1]
        assert answer.startswith(b"HTTP/1.1 503")
        assert b"retry-after: 1\r\n" in answer
        assert b'"ran":"no"' in answer
        assert server.bodies == 1
        for _, other in [*stopped, (None, writer)]:
            other.close()
        await server.until(lambda: not server.held_bytes)

    async def test_earlier_call_with_the_key_may_have_run(self, impatient):
        key = b"Idempotency-Key: k\r\n"
        reader, writer = await impatient.send(request(100, key))
        answer = await asyncio.wait_for(reader.read(), 20)
        assert answer.startswith(b"HTTP/1.1 408")
        problem = msgspec.json.decode(answer.partition(b"\r\n\r\n")[2])
        assert problem["ran"] == "unknown"
        writer.close()

    async def test_body_without_progress_is_refused(self, impatient):
        reader, writer = await impatient.send(request(100))
        answer = await asyncio.wait_for(reader.read(), 20)
        assert answer.startswith(b"HTTP/1.1 408")
        assert b'"reason":"body_timeout"' in answer
        assert not impatient.bodies
        writer.close()
        await impatient.until(lambda: not impatient.held_bytes)


class TestPipelined:
    """Thousands of small requests in one read took 4 MB a connection."""

    async def test_all_are_answered(self, server):
        small = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nb"
        reader, writer = await server.send(small * 300)
        async with asyncio.timeout(60):
            for _ in range(300):
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 201")
                assert await reader.readexactly(1) == b"1"
        writer.close()
        await server.until(lambda: not server.held_bytes)


class TestConnections:
    """Connections without a byte used up the descriptors."""

    async def test_unused_one_gives_way(self):
        bounds = msgspec.structs.replace(BOUNDS, max_connections=16)
        server = Server(bounds)
        await server.http.start()
        unused = [await server.send(b"") for _ in range(16)]
        await server.until(lambda: len(server.http.connections) == 16)
        reader, writer = await server.send(request())
        assert await reader.readuntil(str(BODY_BYTES).encode())
        assert "sassafrasflow_connections_cut_total 1" in (
            server.metrics.render()
        )
        for _, other in [*unused, (reader, writer)]:
            other.close()
        await server.http.close()


class TestHeads:
    """Heads that arrived in several reads were counted twice."""

    async def test_long_head_in_pieces_is_served(self, server):
        lines = b"".join(b"X-%d: %b\r\n" % (n, b"a" * 100) for n in range(240))
        content = request(BODY_BYTES, lines)
        reader, writer = await server.send(b"")
        for start in range(0, 28_000, 4000):
            writer.write(content[start : start + 4000])
            await asyncio.sleep(0.002)
        writer.write(content[28_000:])
        assert await reader.readuntil(str(BODY_BYTES).encode())
        writer.close()
