"""Deployment of real processes for tests and benchmarks.

A closing deployment ends each of its processes by its own pid.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import sys
import tempfile
from typing import Any

import httpx
import msgspec

from sassafrasflow import configuration
from sassafrasflow import storage
from sassafrasflow.fakes import ports

__all__ = [
    "CALLER_KEY",
    "Deployment",
    "MODEL",
    "OPERATOR_KEY",
    "Process",
    "VERSION",
    "initial_configuration",
]

CALLER_KEY = "caller-key"
OPERATOR_KEY = "operator-key"
MODEL = "planner"
VERSION = "v1"
START_TIMEOUT_S = 30.0


def initial_configuration() -> dict[str, Any]:
    """Return a configuration with one model and one service."""
    return {
        "models": {MODEL: {"shares": {VERSION: 1.0}}},
        "services": {"booking": {}},
        "organisations": {
            "club": {"key_hashes": [configuration.hash_key(CALLER_KEY)]}
        },
        "operator_key_hashes": [configuration.hash_key(OPERATOR_KEY)],
    }


class Process:
    """Run one Python module as a process that announces its port."""

    def __init__(self, *args: str, log_path: pathlib.Path) -> None:
        self._args = args
        self._log_path = log_path
        self._process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.announced: dict[str, Any] = {}

    @property
    def address(self) -> str:
        """Return host and port."""
        return f"127.0.0.1:{self.port}"

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.address}"

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Return whether the process has started and not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process and wait for its port."""
        with self._log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self._args,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
            )
        assert self._process.stdout is not None
        async with asyncio.timeout(START_TIMEOUT_S):
            line = await self._process.stdout.readline()
        if not line:
            raise RuntimeError(self._log_path.read_text()[-2000:])
        self.announced = json.loads(line)
        self.port = self.announced["port"]

    def send_signal(self, number: int) -> None:
        """Send a signal to this process only."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.pid, number)

    def kill(self) -> None:
        """Kill the process."""
        self.send_signal(signal.SIGKILL)

    def pause(self) -> None:
        """Pause the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self.send_signal(signal.SIGCONT)

    async def wait(self) -> int:
        """Wait until the process ends and return its exit code."""
        assert self._process is not None
        return await self._process.wait()

    async def close(self) -> None:
        """Kill the process if it still runs."""
        if self._process is None or self._process.returncode is not None:
            return
        self.resume()
        self.kill()
        await self.wait()


class Deployment:
    """Start a platform, targets and entry instances as processes."""

    def __init__(self) -> None:
        self._stack = contextlib.AsyncExitStack()
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="sassafrasflow-"))
        self.platform: Process | None = None
        self.processes: dict[str, Process] = {}

    async def __aenter__(self) -> "Deployment":
        self.http = httpx.AsyncClient(timeout=30.0, trust_env=False)
        self._stack.push_async_callback(self.http.aclose)
        self.platform = await self._run("platform", "platform")
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    async def _run(self, name: str, *args: str) -> Process:
        return await self._spawn(name, "-m", "sassafrasflow.fakes", *args)

    async def run_module(self, name: str, module: str, *args: str) -> Process:
        """Start a module that announces its port."""
        return await self._spawn(name, "-m", module, *args)

    async def _spawn(self, name: str, *args: str) -> Process:
        process = Process(*args, log_path=self._folder / f"{name}.log")
        self._stack.push_async_callback(process.close)
        await process.start()
        self.processes[name] = process
        return process

    def read_log(self, name: str) -> str:
        """Return the standard error output of a process."""
        return (self._folder / f"{name}.log").read_text()

    async def engine(
        self,
        name: str,
        *,
        loaded: tuple[str, ...] = (f"{MODEL}@{VERSION}",),
        region: str = "east",
        data_centre: str = "east-1",
        address: str | None = None,
        **behaviour: Any,
    ) -> Process:
        """Start a fake engine and list it, under ``address`` if given."""
        process = await self.unlisted_engine(name, loaded=loaded, **behaviour)
        await self.list_engine(
            name,
            address or process.address,
            region=region,
            data_centre=data_centre,
        )
        return process

    async def unlisted_engine(
        self,
        name: str,
        *,
        loaded: tuple[str, ...] = (f"{MODEL}@{VERSION}",),
        **behaviour: Any,
    ) -> Process:
        """Start a fake engine without adding it to the instance list."""
        return await self._run(
            name,
            "engine",
            "--loaded",
            *loaded,
            "--behaviour",
            json.dumps(behaviour),
        )

    async def list_engine(
        self,
        name: str,
        address: str,
        *,
        region: str = "east",
        data_centre: str = "east-1",
    ) -> None:
        """Add an engine to the platform's instance list."""
        await self.list_instance(
            storage.ListedInstance(
                id=name,
                kind=storage.TargetKind.ENGINE,
                address=address,
                region=region,  # type: ignore[arg-type]
                data_centre=data_centre,  # type: ignore[arg-type]
            )
        )

    async def service(
        self,
        name: str,
        *,
        service: str = "booking",
        region: str = "east",
        data_centre: str = "east-1",
        address: str | None = None,
    ) -> Process:
        """Start a fake plain service and list it."""
        process = await self._run(name, "service", "--name", name)
        await self.list_instance(
            storage.ListedInstance(
                id=name,
                kind=storage.TargetKind.SERVICE,
                address=address or process.address,
                region=region,  # type: ignore[arg-type]
                data_centre=data_centre,  # type: ignore[arg-type]
                service=service,  # type: ignore[arg-type]
            )
        )
        return process

    async def entry(
        self,
        name: str,
        *,
        region: str = "east",
        data_centre: str = "east-1",
        platform_url: str | None = None,
        **sections: Any,
    ) -> Process:
        """Start an entry instance and wait until it is ready."""
        assert self.platform is not None
        cfg = {
            "instance": name,
            "region": region,
            "data_centre": data_centre,
            "platform": {"url": platform_url or self.platform.url},
            "initial_configuration": initial_configuration(),
            **sections,
        }
        cfg["api"] = {"port": 0, **sections.get("api", {})}
        cfg["peers"] = {"port": 0, **sections.get("peers", {})}
        path = self._folder / f"{name}.json"
        path.write_text(json.dumps(cfg))
        return await self.restart_entry(name)

    async def restart_entry(self, name: str) -> Process:
        """Start an entry instance with its previous settings."""
        path = self._folder / f"{name}.json"
        cfg = json.loads(path.read_text())
        process = await self._spawn(
            name, "-m", "sassafrasflow", "serve", "--settings", str(path)
        )
        await self.list_instance(
            storage.ListedInstance(
                id=name,
                kind=storage.TargetKind.ENTRY,
                address=process.address,
                region=cfg["region"],
                data_centre=cfg["data_centre"],
                peer_address=cfg["peers"].get("advertised_address")
                or f"127.0.0.1:{process.announced['peer_port']}",
            )
        )
        return process

    async def entries(self, count: int, **sections: Any) -> list[Process]:
        """Start entry instances of one data centre that are peers."""
        drawn = [ports.draw_port() for _ in range(count)]
        started = []
        for number, port in enumerate(drawn):
            seeds = [f"127.0.0.1:{other}" for other in drawn if other != port]
            network = {"port": port, "seeds": seeds}
            started.append(
                await self.entry(f"entry-{number}", **sections, peers=network)
            )
        for entry in started:
            await self.wait_for_peers(entry, count - 1)
        return started

    async def wait_for_peers(self, entry: Process, count: int) -> None:
        """Wait until an entry instance reports a number of replica peers."""
        wanted = f"sassafrasflow_replica_peers {count}"
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                resp = await self.http.get(f"{entry.url}/metrics")
                if wanted in resp.text.splitlines():
                    return
                await asyncio.sleep(0.02)

    async def list_instance(self, item: storage.ListedInstance) -> None:
        """Add an instance or target to the platform's instance list."""
        assert self.platform is not None
        resp = await self.http.put(
            f"{self.platform.url}/fake/instances",
            content=msgspec.json.encode(item),
        )
        resp.raise_for_status()

    async def configure_fake(
        self, process: Process, endpoint: str, **values: Any
    ) -> None:
        """Change a fake's behaviour or faults while it runs."""
        resp = await self.http.post(
            f"{process.url}/fake/{endpoint}", json=values
        )
        resp.raise_for_status()
