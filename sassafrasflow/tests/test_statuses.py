"""Which statuses are responses, and what the clients of targets do."""

import asyncio
import contextlib

import pytest

from sassafrasflow import engines
from sassafrasflow import exceptions
from sassafrasflow import services
from sassafrasflow import statuses

HOST = "127.0.0.1"
INVALID = ["000", "001", "099", "101", "600", "999"]
TIMEOUT_S = 5.0
BOUND_S = 1.0


class TestClassify:
    @pytest.mark.parametrize(
        ("status", "kind"),
        [
            (-20, statuses.StatusKind.INVALID),
            (0, statuses.StatusKind.INVALID),
            (20, statuses.StatusKind.INVALID),
            (99, statuses.StatusKind.INVALID),
            (100, statuses.StatusKind.INTERIM),
            (101, statuses.StatusKind.INVALID),
            (102, statuses.StatusKind.INTERIM),
            (199, statuses.StatusKind.INTERIM),
            (200, statuses.StatusKind.RESPONSE),
            (599, statuses.StatusKind.RESPONSE),
            (600, statuses.StatusKind.INVALID),
            (999, statuses.StatusKind.INVALID),
            (1000, statuses.StatusKind.INVALID),
        ],
    )
    def test_status_of_each_range(self, status, kind):
        assert statuses.classify(status) is kind


@contextlib.asynccontextmanager
async def serve(content):
    """Answer every request with the given bytes and stay silent."""

    async def handle(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(content)
        with contextlib.suppress(OSError):
            await reader.read()
        writer.close()

    server = await asyncio.start_server(handle, HOST, 0)
    yield f"http://{HOST}:{server.sockets[0].getsockname()[1]}"
    server.close()


def answer_with(status):
    head = f"HTTP/1.1 {status} Any\r\nContent-Length: 2\r\n\r\n{{}}"
    return head.encode()


class TestClients:
    """Guard against an invalid status that counts as an answer.

    An invalid status tells nothing of the work, so the work may have begun.
    """

    @pytest.mark.parametrize("status", INVALID)
    async def test_service_may_have_run(self, status):
        async with serve(answer_with(status)) as url:
            client = services.HttpService(url)
            async with asyncio.timeout(BOUND_S):
                with pytest.raises(exceptions.TargetLost):
                    await client.call(
                        services.ServiceRequest("POST", "/a", body=b"7"),
                        TIMEOUT_S,
                    )
            await client.close()

    @pytest.mark.parametrize("status", ["201", "418", "599"])
    async def test_response_of_a_service_is_returned(self, status):
        async with serve(answer_with(status)) as url:
            client = services.HttpService(url)
            resp = await client.call(
                services.ServiceRequest("POST", "/a", body=b"7"), TIMEOUT_S
            )
            assert resp.status == int(status)
            await client.close()

    @pytest.mark.parametrize("status", INVALID)
    async def test_engine_may_have_started(self, status):
        async with serve(answer_with(status)) as url:
            client = engines.HttpEngine(url)
            async with asyncio.timeout(BOUND_S):
                with pytest.raises(exceptions.TargetLost):
                    await client.report()
                with pytest.raises(exceptions.TargetLost):
                    async for _ in client.resume("g1", 1, 0):
                        pass
            await client.close()

    @pytest.mark.parametrize("content", [b"", b'{"a', b"<html>"])
    async def test_cut_reply_of_an_engine_is_a_lost_one(self, content):
        """Guard against an error that no caller of an engine handles."""
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
        answer = head + b"Content-Length: %d\r\n\r\n%b" % (
            len(content),
            content,
        )
        async with serve(answer) as url:
            client = engines.HttpEngine(url)
            with pytest.raises(exceptions.TargetLost):
                await client.report()
            with pytest.raises(exceptions.TargetLost):
                await client.cache_events(0)
            await client.close()

    async def test_engine_that_refuses_has_not_started(self):
        async with serve(answer_with("503")) as url:
            client = engines.HttpEngine(url)
            with pytest.raises(exceptions.TargetRefused):
                await client.report()
            await client.close()
