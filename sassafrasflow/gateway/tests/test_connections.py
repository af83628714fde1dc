"""Connections of a process that stands still meanwhile."""

import asyncio
import socket
import time

import pytest

from sassafrasflow.gateway import connections

TIMEOUT_S = 0.1
STALL_S = 0.4
# A busy machine makes the process stand still once more.
SLACK_S = 1.0
HOST = "127.0.0.1"


def stall_process() -> None:
    """Stop the whole process."""
    time.sleep(STALL_S)


async def connect(port):
    """Stand still once the connection was asked for."""
    loop = asyncio.get_running_loop()
    task = loop.create_task(connections.connect(HOST, port, TIMEOUT_S))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    stall_process()
    return await task


class TestOwnStandstill:
    """It says nothing about the other end."""

    async def test_connection_that_was_accepted_meanwhile_is_made(self):
        server = await asyncio.start_server(lambda *_: None, HOST, 0)
        conn = await connect(server.sockets[0].getsockname()[1])
        assert conn.reusable
        conn.close()
        server.close()

    async def test_silence_after_it_ends_soon(self, silent_port):
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(connections.ConnectError) as caught:
            await connect(silent_port)
        assert caught.value.silent
        limit_s = STALL_S + connections.MAX_STALL_GRACE_S
        assert loop.time() - began < limit_s + SLACK_S


class TestConnect:
    async def test_silence_ends_in_time(self, silent_port):
        loop = asyncio.get_running_loop()
        began = loop.time()
        with pytest.raises(connections.ConnectError) as caught:
            await connections.connect(HOST, silent_port, TIMEOUT_S)
        assert caught.value.silent
        assert TIMEOUT_S <= loop.time() - began < TIMEOUT_S + SLACK_S

    async def test_refusal_is_no_silence(self):
        server = await asyncio.start_server(lambda *_: None, HOST, 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        with pytest.raises(connections.ConnectError) as caught:
            await connections.connect(HOST, port, TIMEOUT_S)
        assert not caught.value.silent


@pytest.fixture
def silent_port():
    """Return a port whose queue of connections is full."""
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen(0)
        address = listener.getsockname()
        with socket.create_connection(address):
            yield address[1]
