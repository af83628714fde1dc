"""A small deployment of real processes, shared by the cases of the review.

The instances are processes of the deploy file's command. The store, the
targets and the callers are stand-ins in the process of the case.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

from sassafrasflow.platform.tests import callers
from sassafrasflow.platform.tests import standins

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = standins.HOST
KEY = "secret"
# The platform starts a process again after a short delay.
RESTART_DELAY_S = 0.5
MEMORY_POLL_S = 0.02
READY_POLL_S = 0.1
START_TIMEOUT_S = 20.0
CASE_TIMEOUT_S = 112.0
LOWEST_PORT = 20000
HIGHEST_PORT = 32000
# Bounds of the site file sites/northstar-lend.toml, as in its settings.
BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 4000,
    "AckMs": 5000,
    "CatchUpS": 4,
    "DrainMs": 2500,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigMs": 2500,
    "RollbackSlackMs": 250,
    "OuterMs": 6000,
    "StrictRevoke": False,
    "RevokeMs": 5000,
    "RetryBudgetRatio": 0.8,
    "BudgetWindowS": 10,
    "BudgetSlack": 150,
    "ExposureShare": 0.1,
    "ExposureSlack": 50,
    "RollbackMs": 5000,
    "RecoveryS": 12,
    "PassMs": 300,
    "ReuseWindowS": 10,
}
LIMITS = {
    "CpuShare": 0.537,
    "Cores": 2,
    "MemoryMb": 300,
    "MaxFds": 4100,
    "LinkMbps": 1000.0,
    "DiskMb": 0,
}


_used_ports: set[int] = set()


def has_trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a port of the loopback address that is free for TCP and UDP.

    The ports lie below those that the kernel gives to clients, and none is
    returned twice.
    """
    while True:
        port = random.randrange(LOWEST_PORT, HIGHEST_PORT)
        if port in _used_ports:
            continue
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
            contextlib.suppress(OSError),
        ):
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
            _used_ports.add(port)
            return port


class Record:
    """Write what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._started = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._started

    def write(self, event: str, **fields) -> None:
        line = {"at": round(self.now(), 3), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        self._file.close()


def route(name: str, kind: str, service: str, **changes) -> dict:
    """Return a route as the site file's services have them."""
    fields = {
        "Name": name,
        "Host": "shop.example",
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 2000,
        "TargetLatencyMs": 250,
        "Priority": 2,
        "Service": service,
        "MaxAttempts": 2 if kind == "idempotent" else 1,
        "AuthExempt": False,
    }
    return {**fields, **changes}


def configuration(routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration with the limits that the platform shows."""
    return {
        "Version": 7,
        "Routes": routes,
        "Services": services,
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "club", "ApiKeys": [KEY], "Priority": 1}],
    }


class Instance:
    """One instance, as a process of the deploy file's command."""

    def __init__(self, deployment: "Deployment", name: str, zone: str):
        self.name = name
        self.zone = zone
        self.port = free_port()
        self.ready_port = free_port()
        # Ends that the deployment did not ask for.
        self.own_ends = 0
        # Ends for memory over the limit.
        self.memory_ends = 0
        self.is_stopping = False
        self._exchange_port = free_port()
        self._metrics_port = free_port()
        self._deployment = deployment
        self._process: asyncio.subprocess.Process | None = None

    @property
    def log_path(self) -> pathlib.Path:
        return self._deployment.folder / f"{self.name}.log"

    def write_settings(self) -> pathlib.Path:
        """Place the settings file, as the deploy file's template has it."""
        node = {
            "Node": self.name,
            "Role": "entry",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": HOST,
            "Zone": self.zone,
            "Region": self.zone,
            "Zones": {"a": "a", "b": "b", "c": "c"},
            "Listen": {
                "Front": f"{HOST}:{self.port}",
                "Ready": f"{HOST}:{self.ready_port}",
            },
            "InternalPorts": [self._exchange_port, self._exchange_port],
            "Seeds": [],
            "Bootstrap": True,
            "Limits": LIMITS,
            "HeartbeatMs": 1200,
            "Bounds": BOUNDS,
            "Platform": {
                "Address": f"{HOST}:{self._deployment.store.port}",
                "form": "table",
                "RowBytes": 65536,
            },
        }
        template = (ROOT / "deploy" / "instance.json").read_text()
        text = template.replace("{{.|json}}", json.dumps(node))
        text = text.replace("9464", str(self._metrics_port))
        path = self._deployment.folder / f"{self.name}.json"
        path.write_text(text)
        return path

    async def start(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["SASSAFRASFLOW_NODE_FILE"] = str(self.write_settings())
        with self.log_path.open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._deployment.record.write(
            "process_started", instance=self.name, pid=self._process.pid
        )

    async def wait(self) -> int:
        assert self._process is not None
        return await self._process.wait()

    def kill(self) -> None:
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Ask the process to stop, as the platform does."""
        assert self._process is not None
        self._process.send_signal(signal.SIGTERM)

    def memory_mb(self) -> float:
        """Return the resident memory of the process, in MiB."""
        if self._process is None or self._process.returncode is not None:
            return 0.0
        with contextlib.suppress(OSError, ValueError):
            status = pathlib.Path(f"/proc/{self._process.pid}/status")
            for line in status.read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    async def is_ready(self) -> bool:
        """Ask as the platform does, once."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    HOST, self.ready_port
                )
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    def events(self, name: str) -> list[dict]:
        """Return the lines of one kind that the instance has logged."""
        lines = self.log_path.read_text(errors="replace").splitlines()
        found = []
        for line in lines:
            with contextlib.suppress(ValueError):
                fields = json.loads(line)
                if fields.get("event") == name:
                    found.append(fields)
        return found


class Deployment:
    """Stand-ins and instances of one case."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.store = standins.Store()
        self.workers: dict[str, standins.Worker] = {}
        self.instances: list[Instance] = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        # Whether processes with more memory than their limit are killed.
        self.limits_memory = False
        self._tasks: list[asyncio.Task] = []

    async def __aenter__(self) -> "Deployment":
        await self.store.start()
        return self

    async def __aexit__(self, *_) -> None:
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            instance.is_stopping = True
            instance.kill()
            with contextlib.suppress(AssertionError):
                await instance.wait()
        for worker in self.workers.values():
            await worker.close()
        await self.store.close()
        if "KEEP" in os.environ:
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def add_worker(
        self, name: str, script: standins.Handler, zone: str, **entry
    ) -> standins.Worker:
        worker = standins.Worker(name, script, zone)
        await worker.start()
        self.workers[name] = worker
        await self.store.list_worker(worker, zone=zone, **entry)
        return worker

    async def start_instances(self, zones: str) -> None:
        """Start an instance for each letter, and wait until all are ready."""
        for number, zone in enumerate(zones, 1):
            self.instances.append(
                Instance(self, f"edge-{zone}-{number}", zone)
            )
        for instance in self.instances:
            await instance.start()
            self._tasks.append(asyncio.create_task(self._supervise(instance)))
        async with asyncio.timeout(START_TIMEOUT_S):
            for instance in self.instances:
                while not await instance.is_ready():
                    await asyncio.sleep(READY_POLL_S)
        # Traffic starts some time after the machines.
        await asyncio.sleep(3.0)

    async def _supervise(self, instance: Instance) -> None:
        """Start an instance again whenever its process ends."""
        while True:
            limiter = asyncio.create_task(self._limit_memory(instance))
            status = await instance.wait()
            limiter.cancel()
            if instance.is_stopping:
                return
            instance.own_ends += 1
            self.record.write(
                "process_ended", instance=instance.name, status=status
            )
            await asyncio.sleep(RESTART_DELAY_S)
            await instance.start()

    async def _limit_memory(self, instance: Instance) -> None:
        """Kill a process that exceeds MemoryMb, as the platform does."""
        while self.limits_memory:
            used_mb = instance.memory_mb()
            if used_mb > LIMITS["MemoryMb"]:
                instance.memory_ends += 1
                self.record.write(
                    "killed_for_memory",
                    instance=instance.name,
                    used_mb=round(used_mb),
                )
                instance.kill()
                return
            await asyncio.sleep(MEMORY_POLL_S)


async def ask(
    record: Record, caller: callers.Caller, path: str, attempt: str, **named
) -> callers.Answer | None:
    """Send a request and record the answer; ``None`` if there was none."""
    record.write("sent", request=attempt, path=path)
    try:
        answer = await caller.request(
            path, attempt=attempt, X_Key=KEY, **named
        )
    except (EOFError, OSError, TimeoutError) as exc:
        record.write("no_answer", request=attempt, error=repr(exc))
        return None
    record.write(
        "answered",
        request=attempt,
        status=answer.status,
        seal=answer.headers.get("x-response-seal"),
        body=answer.body[:120].decode("latin-1"),
    )
    return answer


def run_case(file: str, play: Callable[[Deployment], Awaitable[bool]]) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held."""

    async def run() -> bool:
        record = Record(pathlib.Path(file).parent / "record.txt")
        try:
            async with asyncio.timeout(CASE_TIMEOUT_S):
                async with Deployment(record) as deployment:
                    return await play(deployment)
        finally:
            record.close()

    def stop(*_) -> None:
        # Ends the case like an error, so that its processes are ended too.
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, stop)
    try:
        broken = asyncio.run(run())
    except BaseException:
        traceback.print_exc()
        sys.exit(2)
    print("rule broken" if broken else "rule held")
    sys.exit(int(broken))
