"""Test the client of the platform's store with a slow or silent store."""

import asyncio

import pytest

from sassafrasflow import exceptions
from sassafrasflow.gateway import versions
from sassafrasflow.platform import store
from sassafrasflow.platform.tests import standins

ANSWER = b'{"Ver":7,"NowMs":1,"Rows":[]}'


class SlowServer(standins.HttpServer):
    """Answer in pieces, with a pause before each."""

    def __init__(self, pieces, pause_s):
        super().__init__(self._answer)
        self._pieces = pieces
        self._pause_s = pause_s

    async def _answer(self, conn, req):
        await conn.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(ANSWER)
        )
        size = len(ANSWER) // len(range(self._pieces)) + 1
        for start in range(0, len(ANSWER), size):
            await asyncio.sleep(self._pause_s)
            await conn.send(ANSWER[start : start + size])


class TestSlowAnswers:
    """A large answer takes seconds on a link of a few Mbit/s.

    The client must not time out while data arrives, only when it stops.
    """

    async def read(self, pieces, pause_s, wait_s=0.0):
        server = SlowServer(pieces, pause_s)
        await server.start()
        client = store.PlatformStore(standins.HOST, server.port)
        try:
            return await client.await_changes(
                "op", versions.StoreVersion(0, 1), wait_s
            )
        finally:
            client.close()
            await server.close()

    async def test_slow_answer_is_received(self):
        page = await self.read(pieces=10, pause_s=0.2)
        assert page.revision == 7

    async def test_stalled_answer_times_out(self):
        started = asyncio.get_running_loop().time()
        with pytest.raises(exceptions.TableUnavailable):
            await self.read(pieces=2, pause_s=5.0)
        assert asyncio.get_running_loop().time() - started < 1.5
