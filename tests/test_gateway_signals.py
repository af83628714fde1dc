"""Signals to a gateway process: stop, reload and pause."""

import asyncio
import json
import signal

import pytest

from sassafrasflow.platform.tests import callers
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins
from tests import gateways


@pytest.mark.processes
class TestSignals:
    """Signals of planned operations do not break streams."""

    async def start_stream(self, caller):
        caller.send("/plan/x", method="POST", body=b"log", attempt="s1")
        await caller.reader.readuntil(b"\r\n\r\n")

    async def test_second_stop_request_does_not_break_streams(self, tmp_path):
        async with gateways.GatewayProcess(tmp_path) as running:
            async with callers.Caller(running.ports[0]) as caller:
                await self.start_stream(caller)
                running.process.send_signal(signal.SIGTERM)
                await asyncio.sleep(0.2)
                running.process.send_signal(signal.SIGTERM)
                count = [1 async for _ in caller.chunks()]
            assert len(count) == 20
            async with asyncio.timeout(5):
                assert await running.process.wait() == 0
            assert len(running.events("stop_requested")) == 1

    async def test_broken_settings_file_changes_nothing(self, tmp_path):
        async with gateways.GatewayProcess(tmp_path) as running:
            async with callers.Caller(running.ports[0]) as caller:
                await self.start_stream(caller)
                running.path.write_text('{"Node": 3')
                running.process.send_signal(signal.SIGHUP)
                count = [1 async for _ in caller.chunks()]
                answer = await caller.request("/read/x", attempt="r2")
            assert len(count) == 20
            assert answer.status == 200
            assert running.events("reload")

    async def test_stream_survives_a_pause_of_seconds(self, tmp_path):
        async with gateways.GatewayProcess(tmp_path) as running:
            async with callers.Caller(running.ports[0]) as caller:
                await self.start_stream(caller)
                running.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(2.0)
                running.process.send_signal(signal.SIGCONT)
                count = [1 async for _ in caller.chunks()]
            assert len(count) == 20
            assert not running.events("target_lost")

    async def test_hangup_applies_changed_settings(self, tmp_path):
        async with gateways.GatewayProcess(tmp_path) as running:
            port = fleets.free_port()
            node = json.loads(running.path.read_text())
            gateway_settings = {"metrics_port": port, "log_successes": False}
            running.write_settings({"node": node, "gateway": gateway_settings})
            running.process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(5):
                while not running.events("reload"):
                    await asyncio.sleep(0.02)
            assert running.events("reload")[0]["outcome"] == "in_force"
            reader, writer = await asyncio.open_connection(standins.HOST, port)
            writer.write(b"GET /metrics HTTP/1.1\r\n\r\n")
            assert b"200 OK" in await reader.readline()
            writer.close()

    async def test_hangup_during_start_does_not_end_the_process(
        self, tmp_path
    ):
        """SIGHUP ended an instance that had just started (soak 633199305)."""
        async with gateways.GatewayProcess(tmp_path) as running:
            await running.restart_with_hangup()
            await running.wait_until_ready()
            assert running.process.returncode is None
            await fleets.wait_until(lambda: running.events("reload"))
