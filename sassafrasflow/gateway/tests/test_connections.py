"""Connecting, also while the whole process is suspended."""

import asyncio
import socket
import time

import pytest

from sassafrasflow.gateway import connections

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


@pytest.fixture
def silent_port():
    """Return a port whose backlog of connections is full."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen(0)
        address = listener.getsockname()
        with socket.create_connection(address):
            yield address[1]
