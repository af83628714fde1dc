"""Tests of the HTTP client: it sends once, and errors tell what may have run.

A retry by the client, or an error that wrongly says that a call did not run,
would let a call run twice.
"""

import asyncio

import litestar
import pytest

from sassafrasflow import api
from sassafrasflow import exceptions
from sassafrasflow import services
from sassafrasflow.fakes import proxy
from sassafrasflow.fakes import service as fakes

TIMEOUT_S = 0.3
STALLED = exceptions.RetryReason.STALLED
LOST = exceptions.RetryReason.CONNECTION_LOST


@pytest.fixture
async def proxied_service():
    fake = fakes.FakeService("booking")
    server = api.HttpServer(fake.app(), "127.0.0.1", 0)
    await server.start()
    fault_proxy = proxy.FaultProxy("127.0.0.1", server.port)
    await fault_proxy.start()
    client = services.HttpService(f"http://{fault_proxy.address}")
    yield fake, fault_proxy, client
    await client.close()
    await fault_proxy.close()
    await server.close()


def call(path="/checkouts", **fields):
    return services.ServiceRequest("POST", path, body=b"7", **fields)


class TestFailures:
    @pytest.mark.parametrize(
        ("fault", "reason", "most"),
        [
            ("truncate answer", LOST, 1),
            ("truncate request", LOST, 0),
            ("break at once", LOST, 0),
            ("freeze answer", STALLED, 1),
            ("freeze request", STALLED, 0),
        ],
    )
    async def test_contacted_target_may_have_run(
        self, proxied_service, fault, reason, most
    ):
        fake, fault_proxy, client = proxied_service
        if fault == "truncate answer":
            fault_proxy.truncate(proxy.Direction.TO_CLIENT, 20)
        elif fault == "truncate request":
            fault_proxy.truncate(proxy.Direction.TO_SERVER, 20)
        elif fault == "break at once":
            fault_proxy.partition()
        elif fault == "freeze answer":
            fault_proxy.freeze(proxy.Direction.TO_CLIENT)
        else:
            fault_proxy.freeze(proxy.Direction.TO_SERVER)
        with pytest.raises(exceptions.TargetLost) as caught:
            await client.call(call(), TIMEOUT_S)
        assert caught.value.reason is reason
        fault_proxy.reset_connections()
        await asyncio.sleep(0)
        assert len(fake.executions) <= most

    async def test_refused_connection_proves_that_nothing_ran(
        self, proxied_service
    ):
        fake, fault_proxy, client = proxied_service
        await fault_proxy.close()
        with pytest.raises(exceptions.TargetRefused):
            await client.call(call(), TIMEOUT_S)
        assert fake.executions == []

    async def test_redirect_is_an_answer(self):
        @litestar.post("/a", status_code=307)
        async def redirect() -> litestar.Response[bytes]:
            return litestar.Response(b"", headers={"location": "/b"})

        app = litestar.Litestar([redirect], openapi_config=None)
        server = api.HttpServer(app, "127.0.0.1", 0)
        await server.start()
        client = services.HttpService(f"http://127.0.0.1:{server.port}")
        answer = await client.call(call("/a"), TIMEOUT_S * 10)
        assert answer.status == 307
        await client.close()
        await server.close()


class TestRequests:
    @pytest.mark.parametrize(
        "path",
        [
            "/a b",
            "/a?b",
            "/a#b",
            "/100%",
            "/a%2e%2e/b",
            "/%2e%2e/b",
            "/é",
            "/a;b=1,2",
        ],
    )
    async def test_target_receives_the_path_that_was_looked_up(
        self, proxied_service, path
    ):
        fake, _, client = proxied_service
        await client.call(call(path), 5.0)
        assert [run["path"] for run in fake.executions] == [path]

    async def test_odd_headers_and_queries_are_sent(self, proxied_service):
        fake, _, client = proxied_service
        request = call(query="q=%20\xe9 [1]", content_type="text/pl\xe9in")
        answer = await client.call(request, 5.0)
        assert answer.status == 200
        assert len(fake.executions) == 1
