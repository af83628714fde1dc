"""An instance as a process, with its store and a target."""

import asyncio
import json
import os
import signal
import sys

from sassafrasflow.platform import settings
from sassafrasflow.platform.tests import callers
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins


class GatewayProcess:
    """Run one instance as a process, with its store and a target."""

    def __init__(self, folder, script=None):
        self.folder = folder
        self.store = standins.Store()
        self.target = standins.Worker(
            "w1", script or standins.stream_script(20, pause_s=0.05)
        )
        self.ports = tuple(fleets.free_port() for _ in range(3))
        self.process = None

    async def __aenter__(self):
        await self.store.start()
        await self.target.start()
        await self.store.configure(self.configuration())
        await self.store.list_worker(self.target, **self.entry())
        self.write_settings(self.settings())
        await self.start()
        await self.wait_until_ready()
        return self

    def configuration(self):
        return documents.configuration()

    def entry(self):
        return {}

    def settings(self):
        return documents.node_settings(
            "entry-0", "a", self.ports, self.store.port
        )

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
