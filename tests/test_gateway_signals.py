"""Signals to a gateway process: stop, reload and pause."""

import asyncio
import json
import os
import signal
import sys

import pytest

from sassafrasflow.platform import settings
from sassafrasflow.platform.tests import callers
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins


class GatewayProcess:
    """Run one instance as a process, with its store and a target."""

    def __init__(self, folder):
        self.folder = folder
        self.store = standins.Store()
        self.target = standins.Worker(
            "w1", standins.stream_script(20, pause_s=0.05)
        )
        self.ports = tuple(fleets.free_port() for _ in range(3))
        self.process = None

    async def __aenter__(self):
        await self.store.start()
        await self.target.start()
        await self.store.configure(documents.configuration())
        await self.store.list_worker(self.target)
        self.write_settings(
            documents.node_settings(
                "entry-0", "a", self.ports, self.store.port
            )
        )
        await self.start()
        await self.wait_until_ready()
        return self

    async def start(self):
        with (self.folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sassafrasflow",
                "gateway",
                env={**os.environ, settings.PATH_VARIABLE: str(self.path)},
                stdout=log,
                stderr=log,
            )

    async def restart_with_hangup(self):
        """Restart the process and send SIGHUP while it reads its settings."""
        self.process.kill()
        await self.process.wait()
        content = self.path.read_bytes()
        self.path.unlink()
        os.mkfifo(self.path)
        await self.start()
        # Opening blocks until the process opens the pipe for reading.
        pipe = await asyncio.to_thread(self.path.open, "wb")
        self.process.send_signal(signal.SIGHUP)
        self.path.unlink()
        self.path.write_bytes(content)
        pipe.write(content)
        pipe.close()

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        await self.target.close()
        await self.store.close()

    @property
    def path(self):
        return self.folder / "node.json"

    def write_settings(self, content):
        self.path.write_text(json.dumps(content))

    async def wait_until_ready(self):
        async with asyncio.timeout(10):
            while True:
                try:
                    async with callers.Caller(self.ports[0]) as caller:
                        if (await caller.request("/read/x")).status == 200:
                            return
                except OSError:
                    await asyncio.sleep(0.05)

    def events(self, name):
        lines = (self.folder / "log").read_text().splitlines()
        events = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in events if line["event"] == name]


@pytest.mark.processes
class TestSignals:
    """Signals of planned operations do not break streams."""

    async def start_stream(self, caller):
        caller.send("/plan/x", method="POST", body=b"log", attempt="s1")
        await caller.reader.readuntil(b"\r\n\r\n")

    async def test_second_stop_request_does_not_break_streams(self, tmp_path):
        async with GatewayProcess(tmp_path) as running:
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
        async with GatewayProcess(tmp_path) as running:
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
        async with GatewayProcess(tmp_path) as running:
            async with callers.Caller(running.ports[0]) as caller:
                await self.start_stream(caller)
                running.process.send_signal(signal.SIGSTOP)
                await asyncio.sleep(2.0)
                running.process.send_signal(signal.SIGCONT)
                count = [1 async for _ in caller.chunks()]
            assert len(count) == 20
            assert not running.events("target_lost")

    async def test_hangup_applies_changed_settings(self, tmp_path):
        async with GatewayProcess(tmp_path) as running:
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
        async with GatewayProcess(tmp_path) as running:
            await running.restart_with_hangup()
            await running.wait_until_ready()
            assert running.process.returncode is None
            await fleets.wait_until(lambda: running.events("reload"))
