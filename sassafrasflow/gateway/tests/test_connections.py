"""Connecting, also while the whole process is suspended."""

import asyncio
import contextlib
import fcntl
import socket
import sys
import termios
import time

import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import intake
from sassafrasflow.gateway import pool as pools
from sassafrasflow.gateway import targets

TIMEOUT_S = 0.1
SUSPENSION_S = 0.4
# Tolerance for further suspensions of the process on a busy machine.
SLACK_S = 1.0
HOST = "127.0.0.1"


def suspend_process() -> None:
    """Block the event loop, as if the process were suspended."""
    time.sleep(SUSPENSION_S)


async def connect(port):
    """Suspend the process after the connection attempt has started."""
    loop = asyncio.get_running_loop()
    task = loop.create_task(connections.connect(HOST, port, TIMEOUT_S))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    suspend_process()
    return await task


class TestProcessSuspension:
    """Guard against blaming a target for a suspension of this process.

    After a suspension the timer of a connection attempt is overdue while the
    answer may be waiting unread.
    """

    async def test_connection_accepted_during_the_suspension_is_made(self):
        server = await asyncio.start_server(lambda *_: None, HOST, 0)
        conn = await connect(server.sockets[0].getsockname()[1])
        assert conn.reusable
        conn.close()
        server.close()

    async def test_attempt_without_answer_ends_soon_after_the_suspension(
        self, silent_port
    ):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(connections.ConnectError) as caught:
            await connect(silent_port)
        assert caught.value.silent
        limit_s = SUSPENSION_S + connections.MAX_SUSPENSION_GRACE_S
        assert loop.time() - started_at < limit_s + SLACK_S


class TestConnect:
    async def test_attempt_without_answer_times_out(self, silent_port):
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(connections.ConnectError) as caught:
            await connections.connect(HOST, silent_port, TIMEOUT_S)
        assert caught.value.silent
        assert TIMEOUT_S <= loop.time() - started_at < TIMEOUT_S + SLACK_S

    async def test_refused_connection_is_not_silent(self):
        server = await asyncio.start_server(lambda *_: None, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        with pytest.raises(connections.ConnectError) as caught:
            await connections.connect(HOST, port, TIMEOUT_S)
        assert not caught.value.silent


TARGET = targets.ListedTarget(
    id=ids.TargetId("t1"),
    service=ids.ServiceName("pool"),
    host=HOST,
    port=1,
    data_centre=ids.DataCentre("a"),
    slots=1,
)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
# Larger than the buffers of both kernels together.
LONG_BODY = b"b" * (24 * 1024 * 1024)


def unacknowledged_bytes(sock):
    """Return the size of a socket's send queue."""
    size = fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(4))
    return int.from_bytes(size, sys.byteorder)


class TestFailedWrite:
    """Bytes that arrived before a write failed count."""

    async def exchange(self, received, limits=connections.DEFAULT_LIMITS):
        """Return all items after a reset that follows the given bytes."""
        loop = asyncio.get_running_loop()
        with socket.create_server((HOST, 0)) as listening:
            listening.setblocking(False)
            accepting = loop.create_task(loop.sock_accept(listening))
            port = listening.getsockname()[1]
            conn = await connections.connect(
                HOST, port, SLACK_S, limits=limits
            )
            sock, _ = await accepting
        conn.send(connections.encode_request("POST", "/", [], LONG_BODY))
        with sock:
            sock.recv(1000)
            sock.sendall(received)
            suspend_process()
            # Bytes that are left in the queue would be lost in the reset.
            assert not unacknowledged_bytes(sock)
        # Both the reset and the bytes have arrived once the loop goes on.
        suspend_process()
        items = []
        while connections.ConnectionEnd.RESET not in items:
            items.append(await conn.next(SLACK_S))
            assert items[-1] is not None
            if items[-1] is connections.ConnectionEnd.OVERSIZED:
                break
        assert not conn.reusable
        return conn, items

    @pytest.mark.parametrize("size", [1, 80_000])
    async def test_complete_answer_is_read(self, size):
        _, items = await self.exchange(HEAD % size + b"a" * size)
        body = b"".join(item for item in items if isinstance(item, bytes))
        assert isinstance(items[0], connections.AnswerStart)
        assert len(body) == size
        assert items[-2:] == [
            connections.ConnectionEnd.ANSWER_COMPLETE,
            connections.ConnectionEnd.RESET,
        ]

    @pytest.mark.parametrize(
        "received",
        [
            b"",
            b"HTTP/1.1 200",
            HEAD % 9 + b"a" * 8,
            b"HTTP/1.1 200 OK\r\n\r\na",
            b"HTTP/1.1 100 Continue\r\n\r\n",
        ],
        ids=["nothing", "head", "body", "unframed", "interim"],
    )
    async def test_incomplete_answer_is_reset(self, received):
        _, items = await self.exchange(received)
        assert connections.ConnectionEnd.ANSWER_COMPLETE not in items
        assert items[-1] is connections.ConnectionEnd.RESET

    async def test_framing_is_bounded(self):
        received = b"HTTP/1.1 200 OK\r\n" + b"A: b\r\n" * 1000
        _, items = await self.exchange(received)
        assert items == [connections.ConnectionEnd.OVERSIZED]

    async def test_amount_is_bounded(self):
        limits = intake.IntakeLimits(framing_bytes=8192, answer_bytes=8192)
        size = 100_000
        _, items = await self.exchange(HEAD % size + b"a" * size, limits)
        assert connections.ConnectionEnd.ANSWER_COMPLETE not in items

    async def test_connection_is_not_pooled(self):
        conn, items = await self.exchange(HEAD % 1 + b"a")
        assert connections.ConnectionEnd.ANSWER_COMPLETE in items
        pool = pools.ConnectionPool(time.monotonic)
        pool.release(TARGET, conn, None)
        assert pool.acquire(TARGET) is None


class TestHead:
    """An answer to HEAD ends with its head, and so does its connection."""

    @pytest.mark.parametrize(
        "pieces",
        [
            [HEAD % 5],
            [HEAD % 5 + b"other"],
            [HEAD % 5, b"other"],
            [HEAD % 5 + HEAD % 0],
            [HEAD % 5, HEAD % 0],
            [HEAD % 10**6 + b"a" * 10**6],
            [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"],
            [b"HTTP/1.1 200 OK\r\n\r\n"],
            [b"HTTP/1.1 100 Continue\r\n\r\n", HEAD % 5],
            [HEAD[:9], HEAD[9:] % 5],
        ],
    )
    async def test_body_is_neither_awaited_nor_read_as_an_answer(self, pieces):
        loop = asyncio.get_running_loop()
        with socket.create_server((HOST, 0)) as listening:
            listening.setblocking(False)
            accepting = loop.create_task(loop.sock_accept(listening))
            port = listening.getsockname()[1]
            conn = await connections.connect(HOST, port, SLACK_S)
            sock, _ = await accepting
        conn.expect_no_body()
        conn.send(connections.encode_request("HEAD", "/", [], b""))
        with sock:
            sending = loop.create_task(asyncio.to_thread(send, sock, pieces))
            items = [await conn.next(SLACK_S) for _ in range(2)]
            assert isinstance(items[0], connections.AnswerStart)
            assert items[1] is connections.ConnectionEnd.ANSWER_COMPLETE
            assert not conn.reusable
            pool = pools.ConnectionPool(time.monotonic)
            pool.release(TARGET, conn, None)
            assert pool.acquire(TARGET) is None
            await sending


def send(sock, pieces):
    """Send pieces some time apart, unless the remote end has closed."""
    sock.settimeout(SLACK_S)
    with contextlib.suppress(OSError):
        for piece in pieces:
            sock.sendall(piece)
            time.sleep(0.01)


class TestUnfinishedUpload:
    async def test_connection_is_not_pooled(self):
        loop = asyncio.get_running_loop()
        with socket.create_server((HOST, 0)) as listening:
            listening.setblocking(False)
            accepting = loop.create_task(loop.sock_accept(listening))
            port = listening.getsockname()[1]
            conn = await connections.connect(HOST, port, SLACK_S)
            sock, _ = await accepting
        conn.send(connections.encode_request("POST", "/", [], LONG_BODY))
        pool = pools.ConnectionPool(time.monotonic)
        with sock:
            sock.sendall(HEAD % 1 + b"a")
            reply = await connections.collect_reply(conn, SLACK_S, SLACK_S)
            assert reply.body == b"a"
            assert conn.reusable
            assert not conn.sent_all
            pool.release(TARGET, conn, None)
            assert pool.acquire(TARGET) is None


@pytest.fixture
def silent_port():
    """Return a port whose backlog of connections is full."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen(0)
        address = listener.getsockname()
        with socket.create_connection(address):
            yield address[1]
