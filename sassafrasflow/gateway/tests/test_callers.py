"""Memory of callers' connections."""

import asyncio
import gc
import socket
import tracemalloc

import pytest

from sassafrasflow.gateway import callers
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import routes
from sassafrasflow.memory import account as accounts
from sassafrasflow.memory import limits as memory_limits

HOST = "127.0.0.1"
CONNECTIONS = 20
MB = 1024 * 1024
BODY_BYTES = MB
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"


async def answer(req, responder) -> None:
    responder.send(200, [], b"%d" % len(req.body))


async def send_request(port, framing):
    """Send a request and return the open connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    body = bytes(BODY_BYTES)
    head = b"POST / HTTP/1.1\r\nHost: a\r\n"
    if framing == "length":
        writer.write(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    else:
        coding = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body)
        writer.write(head + coding + body + b"\r\n0\r\n\r\n")
    await reader.readuntil(b"%d" % BODY_BYTES)
    return writer


class TestIdleConnections:
    """Guard against idle connections that keep the bodies of requests."""

    async def test_answered_bodies_are_released(self):
        server = callers.CallerServer(
            answer, routes.CallerLimits, lambda: 0.0, lambda *_: None
        )
        listening = socket.create_server((HOST, 0))
        await server.start(listening)
        port = listening.getsockname()[1]
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            writers = [
                await send_request(port, ("length", "chunks")[number % 2])
                for number in range(CONNECTIONS)
            ]
            after, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert len(server.connections) == CONNECTIONS
        assert after - before < 2 * BODY_BYTES
        for writer in writers:
            writer.close()
        await server.close()


class Server:
    """Server of callers with an account, a clock and limits of the test."""

    def __init__(self, handler=answer, *, memory_bytes=160 * MB, **limits):
        self.now = 100.0
        self.limits = routes.CallerLimits()
        self.reasons = []
        self.max_connections = None
        self.account = accounts.Account(
            lambda: memory_bytes,
            lambda: memory_limits.MemoryLimits(**limits),
            lambda: self.now,
        )
        self.server = callers.CallerServer(
            handler,
            lambda: self.limits,
            lambda: self.now,
            lambda _, reason: self.reasons.append(reason),
            account=self.account,
            max_connections=lambda: self.max_connections,
            on_cut=self.reasons.append,
        )

    async def __aenter__(self):
        listening = socket.create_server((HOST, 0))
        listening.setblocking(False)
        await self.server.start(listening)
        self.port = listening.getsockname()[1]
        self.sweeps = asyncio.create_task(self.server.run())
        return self

    async def __aexit__(self, *_):
        self.sweeps.cancel()
        await self.server.close()

    async def connect(self, content=b""):
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(content)
        return reader, writer

    async def wait_until(self, condition):
        async with asyncio.timeout(5):
            while not condition():
                await asyncio.sleep(0.01)


def post(size, framing="length"):
    """Return the head of a request with a body."""
    if framing == "length":
        return HEAD + b"Content-Length: %d\r\n\r\n" % size
    return HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % size


async def read_status(reader):
    async with asyncio.timeout(5):
        head = await reader.readuntil(b"\r\n\r\n")
    return int(head.split()[1]), head


class TestEndedConnections:
    """Guard against bodies that ended connections keep until collected."""

    async def test_bodies_are_released_without_a_collection(self):
        async with Server() as server:
            gc.collect()
            gc.disable()
            tracemalloc.start()
            try:
                before, _ = tracemalloc.get_traced_memory()
                for _ in range(CONNECTIONS):
                    _, writer = await server.connect(
                        post(BODY_BYTES) + bytes(BODY_BYTES - 1)
                    )
                    await writer.drain()
                    await server.wait_until(
                        lambda: server.account.used_bytes > BODY_BYTES
                    )
                    writer.close()
                    await server.wait_until(
                        lambda: not server.server.connections
                    )
                after, _ = tracemalloc.get_traced_memory()
            finally:
                tracemalloc.stop()
                gc.enable()
        assert after - before < 2 * BODY_BYTES
        assert not server.account.used_bytes


class TestRefusals:
    """Guard against refusals that come late or promise too much."""

    @pytest.mark.parametrize("framing", ["length", "chunks"])
    async def test_body_over_the_limit_is_not_read_further(self, framing):
        async with Server() as server:
            server.limits = routes.CallerLimits(body_bytes=1000)
            reader, writer = await server.connect(post(1001, framing))
            if framing == "chunks":
                writer.write(bytes(1001))
            status, _ = await read_status(reader)
            assert status == 413
            assert server.account.used_bytes <= 2 * accounts.CONNECTION_BYTES
            writer.close()

    async def test_announced_body_without_room_is_refused_at_once(self):
        async with Server(memory_bytes=8 * MB) as server:
            reader, writer = await server.connect(post(4 * MB))
            status, head = await read_status(reader)
            assert status == 503
            assert b"Retry-After: 0.50\r\n" in head
            assert server.reasons == [refusals.RefusalReason.MEMORY]
            writer.close()

    async def test_small_request_is_served_beside_large_ones(self):
        async with Server(memory_bytes=8 * MB) as server:
            writers = []
            for _ in range(4):
                _, writer = await server.connect(post(MB // 2))
                writers.append(writer)
            reader, writer = await server.connect(post(100) + bytes(100))
            assert (await read_status(reader))[0] == 200
            for each in [writer, *writers]:
                each.close()

    async def test_crowd_that_stopped_short_makes_room(self):
        async with Server(memory_bytes=8 * MB) as server:
            crowd = [await server.connect(post(MB // 2)) for _ in range(3)]
            await server.wait_until(
                lambda: server.account.used_bytes > 3 * MB // 2
            )
            server.now += 1.0
            reader, writer = await server.connect(post(MB) + bytes(MB))
            assert (await read_status(reader))[0] == 200
            assert (await read_status(crowd[0][0]))[0] == 503
            for each in [writer, *(writer for _, writer in crowd)]:
                each.close()

    async def test_largest_request_is_served_on_the_smallest_machine(self):
        """A body of 4 MiB, with 160 MB and the default limits."""
        size = 4 * MB
        async with Server() as server:
            for framing, end in ("length", b""), ("chunks", b"\r\n0\r\n\r\n"):
                reader, writer = await server.connect(
                    post(size, framing) + bytes(size) + end
                )
                assert (await read_status(reader))[0] == 200
                writer.close()
            await server.wait_until(lambda: not server.server.connections)
            assert not server.account.used_bytes


class TestProgress:
    """Guard against callers that hold memory with a byte now and then."""

    async def test_dripping_body_is_refused(self):
        async with Server() as server:
            reader, writer = await server.connect(post(5000))
            async with asyncio.timeout(10):
                while not server.reasons:
                    writer.write(b"b")
                    await asyncio.sleep(0.3)
                    server.now += 2.0
            assert (await read_status(reader))[0] == 408
            writer.close()

    async def test_slow_body_is_served(self):
        async with Server() as server:
            reader, writer = await server.connect(post(5000))
            for _ in range(10):
                writer.write(bytes(500))
                await asyncio.sleep(0.3)
                server.now += 2.0
            assert (await read_status(reader))[0] == 200
            writer.close()

    async def test_unread_answer_is_cut(self):
        async def answer_at_length(req, responder):
            responder.send(200, [], bytes(16 * MB))

        async with Server(answer_at_length) as server:
            _, writer = await server.connect(post(0))
            await server.wait_until(lambda: server.account.used_bytes > 4 * MB)

            def is_cut_after_31_s():
                # The kernel may still move bytes after the first of them.
                server.now += 31.0
                return not server.server.connections

            await server.wait_until(is_cut_after_31_s)
            assert server.reasons == [refusals.RefusalReason.UNREAD]
            writer.close()


class TestConnections:
    """Guard against silent connections that take all descriptors."""

    async def test_unused_connections_make_room(self):
        async with Server() as server:
            server.max_connections = 20
            crowd = [await server.connect() for _ in range(60)]
            await server.wait_until(
                lambda: len(server.server.connections) <= 20
            )
            reader, writer = await server.connect(post(10) + bytes(10))
            assert (await read_status(reader))[0] == 200
            for each in [writer, *(writer for _, writer in crowd)]:
                each.close()

    async def test_requests_in_flight_keep_their_connections(self):
        release = asyncio.Event()

        async def answer_late(req, responder):
            await release.wait()
            responder.send(200, [], b"")

        async with Server(answer_late) as server:
            server.max_connections = 4
            in_flight = [await server.connect(post(0)) for _ in range(4)]
            await server.wait_until(lambda: server.server.answering == 4)
            reader, writer = await server.connect(post(0))
            async with asyncio.timeout(5):
                with pytest.raises(OSError):
                    if not await reader.read():
                        raise ConnectionResetError
            assert server.reasons == [refusals.RefusalReason.CONNECTIONS]
            release.set()
            for reader, each in in_flight:
                assert (await read_status(reader))[0] == 200
                each.close()
            writer.close()
