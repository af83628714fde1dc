"""Bytes of one answer that could be taken for a part of another one."""

import asyncio

import pytest

from sassafrasflow import exceptions
from sassafrasflow.gateway import versions
from sassafrasflow.platform import store
from sassafrasflow.platform.tests import standins

WRITE = store.Write("t", "k", b"{}", 1)
WRITTEN = b'{"Ver":7,"NowMs":1}'
CONFLICT = b'{"Ver":9,"Rows":[{"Table":"t","part":"","Key":"k","Ver":9}]}'


def with_length(status, body=b"", *lines):
    """Return an answer of the store."""
    length = b"Content-Length: %d" % len(body)
    head = b"HTTP/1.1 %d Any" % status
    return b"\r\n".join([head, b"Store-Era: 1", length, *lines, b"", body])


class ScriptedStore(standins.HttpServer):
    """Answer the calls with scripted bytes."""

    def __init__(self, *pieces, pause_s=0.01, closes=False):
        super().__init__(self._answer)
        self._pieces = list(pieces)
        self._pause_s = pause_s
        self._closes = closes
        self.calls = 0

    async def _answer(self, conn, req):
        self.calls += 1
        content = self._pieces.pop(0)
        for part in content if isinstance(content, tuple) else (content,):
            await conn.send(part)
            await asyncio.sleep(self._pause_s)
        if self._closes:
            conn.writer.close()


class StoreCalls:
    """Call a scripted store."""

    def __init__(self, *pieces, **options):
        self.server = ScriptedStore(*pieces, **options)

    async def __aenter__(self):
        await self.server.start()
        self.client = store.PlatformStore(standins.HOST, self.server.port)
        return self

    async def __aexit__(self, *_):
        self.client.close()
        await self.server.close()

    async def write(self):
        return await self.client.write([WRITE])

    async def read(self):
        return await self.client.await_changes(
            "op", versions.StoreVersion(1, 1), 0.0
        )


class TestOutcomeOfWrites:
    """Guard against writes that took effect and count as not done."""

    @pytest.mark.parametrize("size", range(len(WRITTEN)))
    async def test_unreadable_success_is_no_failure(self, size):
        rest = with_length(503)
        body = (WRITTEN[:size] + rest)[: len(WRITTEN)]
        async with StoreCalls(with_length(200, body)) as calls:
            with pytest.raises(exceptions.TableOutcomeUnknown):
                await calls.write()

    @pytest.mark.parametrize("size", range(len(WRITTEN)))
    async def test_success_without_length_may_be_cut(self, size):
        content = b"HTTP/1.1 200 OK\r\n\r\n" + WRITTEN[:size]
        async with StoreCalls(content, closes=True) as calls:
            with pytest.raises(exceptions.TableOutcomeUnknown):
                await calls.write()

    @pytest.mark.parametrize("status", [204, 307, 404, 408, 500, 502, 504])
    async def test_status_without_promise_leaves_the_outcome_open(
        self, status
    ):
        async with StoreCalls(with_length(status)) as calls:
            with pytest.raises(exceptions.TableOutcomeUnknown):
                await calls.write()

    @pytest.mark.parametrize("status", [403, 429, 503])
    async def test_rejected_write_has_done_nothing(self, status):
        async with StoreCalls(with_length(status, b"no")) as calls:
            with pytest.raises(exceptions.TableUnavailable):
                await calls.write()

    @pytest.mark.parametrize("body", [b"", CONFLICT])
    async def test_conflict_has_done_nothing(self, body):
        async with StoreCalls(with_length(412, body)) as calls:
            with pytest.raises(exceptions.TableConflict):
                await calls.write()
