"""Tests of the ``explain-placement`` command."""

import asyncio
import json

import pytest

from sassafrasflow import cli
from sassafrasflow.gateway import health
from sassafrasflow.gateway import sockets
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

ROUTE = ["--host", "shop.example", "--path", "/plan/1"]


@pytest.fixture
async def gateway():
    """Start a store, an engine and an instance."""
    async with fleets.Fleet() as fleet:
        await fleet.add_worker("w1", standins.stream_script(3))
        yield await fleet.start()


@pytest.fixture(autouse=True)
def key(monkeypatch):
    monkeypatch.setenv("SASSAFRASFLOW_KEY", "secret")


def port_of(server):
    """Return the port on which a server listens."""
    return server._server.sockets[0].getsockname()[1]


async def run(server, *arguments) -> int:
    url = f"http://{standins.HOST}:{port_of(server)}"
    command = ["explain-placement", "--url", url, *ROUTE, *arguments]
    return await asyncio.to_thread(cli.main, command)


class TestCommand:
    async def test_shows_text(self, gateway, capsys):
        assert await run(gateway._health, "--prompt-tokens", "8200") == 0
        out = capsys.readouterr().out
        assert out.startswith("would be sent to w1 (best_target)\n")
        assert "route plan, kind stream, service pool" in out
        assert "secret" not in out

    async def test_prints_json(self, gateway, capsys):
        assert await run(gateway._health, "--json") == 0
        found = json.loads(capsys.readouterr().out)
        assert found["candidates"][0]["target"] == "w1"

    async def test_shows_a_refusal(self, gateway, capsys, monkeypatch):
        monkeypatch.setenv("SASSAFRASFLOW_KEY", "wrong")
        assert await run(gateway._health) == 0
        out = capsys.readouterr().out
        assert "would be refused with 401 (unknown_key)" in out


class TestMistakes:
    """Guard against errors that don't say what to do."""

    async def test_value_out_of_range(self, gateway, capsys):
        assert await run(gateway._health, "--rank", "12") == 2
        assert "rank" in capsys.readouterr().err

    def test_unreachable_instance(self, capsys):
        command = ["explain-placement", "--url", "http://127.0.0.1:1", *ROUTE]
        assert cli.main(command) == 3
        assert "127.0.0.1:1" in capsys.readouterr().err

    def test_malformed_url(self, capsys):
        assert cli.main(["explain-placement", "--url", "x", *ROUTE]) == 2

    @pytest.mark.parametrize("is_ready", [True, False])
    async def test_former_build(self, capsys, is_ready):
        server = health.HealthServer(lambda: is_ready, lambda: b"")
        await server.start(sockets.listen_if_free((standins.HOST, 0)))
        assert await run(server) == 1
        await server.close()
        assert "older build" in capsys.readouterr().err

    async def test_answer_that_is_cut(self, capsys):
        async def cut(reader, writer):
            await reader.readuntil(b"}")
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                b'Content-Length: 100\r\n\r\n{"ver'
            )
            writer.close()

        server = health.HealthServer(lambda: True, lambda: b"")
        server._server = await asyncio.start_server(cut, standins.HOST, 0)
        assert await run(server) == 3
        await server.close()
        assert capsys.readouterr().err
