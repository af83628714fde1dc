"""A small deployment: instances as processes, stand-ins for the rest."""

import asyncio
import json
import math
import os
import pathlib
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from sassafrasflow.platform.tests import callers  # noqa: E402
from sassafrasflow.platform.tests import documents  # noqa: E402
from sassafrasflow.platform.tests import standins  # noqa: E402

HOST = standins.HOST
CONTACT_S = 4.0
GRACE_S = 8.0
# A server's entry is removed after three heartbeats of 1.2 s without a word.
ENTRY_LIFE_S = 3.6
ANSWER_TIMEOUT_S = 26.0
PLAY_TIMEOUT_S = 110.0
ZONES = {"north-a": "north", "lake-a": "lake", "ridge-a": "ridge"}
ZONE_NAMES = list(ZONES)
BOUNDS = {
    "ContactMs": 4000,
    "DrainMs": 2500,
    "GraceS": GRACE_S,
    "ConfigMs": 2500,
    "RetryBudgetRatio": 0.8,
    "BudgetWindowS": 10,
    "BudgetSlack": 150,
}


class Record:
    """Write what was sent, answered and run to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def now(self) -> float:
        """Return seconds since the start of the record."""
        return time.monotonic() - self._began_at

    def write(self, event: str, **fields) -> None:
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now():8.3f} {event} {text}\n".rstrip(" "))
        self._file.flush()

    def close(self) -> None:
        self._file.close()


def free_port() -> int:
    """Return a port that is free for TCP and UDP."""
    while True:
        with socket.socket() as tcp:
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            with socket.socket(type=socket.SOCK_DGRAM) as udp:
                try:
                    udp.bind((HOST, port))
                except OSError:
                    continue
                return port


def run_command() -> list[str]:
    """Return the command of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return shlex.split(deploy["roles"]["entry"]["run"])


def gateway_section() -> dict:
    """Return the project's own part of the settings template."""
    template = (ROOT / "deploy" / "instance.json").read_text()
    section = json.loads(template.replace("{{.|json}}", "{}"))["gateway"]
    section.pop("metrics_port", None)
    return section


class Instance:
    """One entry instance, run as the deploy file says."""

    def __init__(self, number, folder, store_port, record) -> None:
        self.name = f"edge-{number}"
        self.zone = ZONE_NAMES[number % len(ZONE_NAMES)]
        self.front, self.ready, self.exchange = (free_port() for _ in range(3))
        self._path = folder / f"{self.name}.json"
        self._log_path = folder / f"{self.name}.log"
        self._store_port = store_port
        self._record = record
        self.process: asyncio.subprocess.Process | None = None

    def settings(self) -> dict:
        node = {
            "Node": self.name,
            "Role": "entry",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": HOST,
            "Zone": self.zone,
            "Region": ZONES[self.zone],
            "Zones": ZONES,
            "Listen": {
                "Front": f"{HOST}:{self.front}",
                "Ready": f"{HOST}:{self.ready}",
            },
            "InternalPorts": [self.exchange, self.exchange],
            "Bootstrap": True,
            "Limits": {"MemoryMb": 300, "MaxFds": 4100},
            "HeartbeatMs": 1200,
            "Contracts": ["base", "drain", "config", "platform"],
            "Bounds": BOUNDS,
            "Platform": {
                "Address": f"{HOST}:{self._store_port}",
                "form": "table",
            },
        }
        return {"node": node, "gateway": gateway_section()}

    async def start(self) -> None:
        self._path.write_text(json.dumps(self.settings()))
        program, *words = run_command()
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": str(self._path.parent),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "SASSAFRASFLOW_NODE_FILE": str(self._path),
        }
        with self._log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                program, *words, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self._record.write("instance started", instance=self.name)

    async def kill(self) -> None:
        """End the process with SIGKILL."""
        assert self.process is not None
        if self.process.returncode is None:
            self._record.write("instance killed", instance=self.name)
            self.process.kill()
        await self.process.wait()

    def send_signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self._record.write("signal", instance=self.name, signal=number.name)
        self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            reader, writer = await asyncio.open_connection(HOST, self.ready)
            writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in line

    async def wait_until_ready(self) -> None:
        async with asyncio.timeout(15):
            while not await self.is_ready():
                await asyncio.sleep(0.05)
        self._record.write("instance ready", instance=self.name)

    def events(self, name: str) -> list[dict]:
        """Return the log lines of one kind, for the record only."""
        found = []
        for line in self._log_path.read_text().splitlines():
            if line.startswith("{"):
                fields = json.loads(line)
                if fields["event"] == name:
                    found.append(fields)
        return found


class Deployment:
    """The platform's store, the servers and the instances."""

    def __init__(self, folder, record, instances: int) -> None:
        self.record = record
        self.store = standins.Store()
        self._folder = pathlib.Path(folder)
        self._instances = instances
        self.instances: list[Instance] = []
        self.servers: list[Server] = []
        self._rng = random.Random()

    async def start(self, config: dict, servers: "list[Server]") -> None:
        """Start everything, and wait until all instances are ready."""
        await self.store.start()
        await self.store.configure(config)
        self.servers = servers
        for server in servers:
            await server.start(self.store, self.record)
        self.instances = [
            Instance(number, self._folder, self.store.port, self.record)
            for number in range(self._instances)
        ]
        for instance in self.instances:
            await instance.start()
        for instance in self.instances:
            await instance.wait_until_ready()

    def choose(self) -> Instance:
        """Return the instance that the balancer gives a caller."""
        return self._rng.choice(self.instances)

    async def close(self) -> None:
        for instance in self.instances:
            if instance.process is not None:
                await instance.kill()
        for server in self.servers:
            await server.close()
        await self.store.close()


class Server:
    """One server, which may crash and come back as a new incarnation."""

    def __init__(self, name, zone, script, service="pool", slots=24) -> None:
        self._base = name
        self.zone = zone
        self._script = script
        self._service = service
        self._slots = slots
        self._starts = 0
        self._port = 0
        self.worker: standins.Worker | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def name(self) -> str:
        return f"{self._base}-{self._starts}"

    async def start(self, store, record) -> None:
        self._store, self._record = store, record
        self._starts += 1

        async def run(conn, req):
            await self._script(self, conn, req)

        self.worker = standins.Worker(self.name, run, self.zone)
        await self.worker.start(self._port)
        self._port = self.worker.port
        await store.list_worker(
            self.worker,
            service=self._service,
            zone=self.zone,
            Slots=self._slots,
            born=int(time.time() * 1000),
        )
        record.write("server started", server=self.name, zone=self.zone)

    async def crash(self, down_s: float) -> None:
        """Crash, and start again under another id some time later."""
        worker, self.worker = self.worker, None
        if worker is None:
            return
        self._record.write("server crashed", server=worker.name)
        await worker.close()
        self._run(self._expire(worker))
        self._run(self._restart(down_s))

    def _run(self, job) -> None:
        task = asyncio.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _expire(self, worker) -> None:
        await asyncio.sleep(ENTRY_LIFE_S)
        await self._store.unlist_worker(worker)

    async def _restart(self, down_s: float) -> None:
        await asyncio.sleep(down_s)
        await self.start(self._store, self._record)

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        if self.worker is not None:
            await self.worker.close()


def stream_config(tenants: dict[str, str], **changes) -> dict:
    """Return a configuration like that of a small deployment.

    ``tenants`` holds the key of each tenant.
    """
    config = documents.configuration()
    config["Tenants"] = [
        {"Name": name, "ApiKeys": [key], "Priority": 1}
        for name, key in tenants.items()
    ]
    config["Limits"] = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 4194304,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    }
    plan = config["Routes"][2]
    plan |= {"TimeoutMs": 25000, "MaxAttempts": 5, "TargetGapMs": 700}
    config["Services"][0]["Engine"]["Slots"] = 24
    config["Services"][0]["Engine"]["KvCapacityTokens"] = 88000
    return {**config, **changes}


class Traffic:
    """Callers, each with a connection of its own for one request."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._record = deployment.record
        self._tasks: set[asyncio.Task] = set()
        self._count = 0
        # Requests in the order in which they were sent.
        self.sent: list[Sent] = []

    def send(self, instance, path, key, body=b"", **headers) -> "Sent":
        """Send a request in the background."""
        self._count += 1
        sent = Sent(f"a{self._count}", self._record.now(), key, headers)
        self.sent.append(sent)
        self._record.write(
            "sent",
            attempt=sent.attempt,
            instance=instance.name,
            key=key,
            **{name: value for name, value in headers.items()},
        )
        task = asyncio.create_task(
            self._send(sent, instance, path, key, body, headers)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return sent

    async def _send(self, sent, instance, path, key, body, headers) -> None:
        try:
            async with callers.Caller(instance.front) as caller:
                caller.send(
                    path,
                    method="POST",
                    body=body,
                    attempt=sent.attempt,
                    X_Key=key,
                    **headers,
                )
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    answer = await caller._read()
        except (OSError, EOFError, TimeoutError) as exc:
            sent.status = 0
            self._record.write(
                "no answer", attempt=sent.attempt, error=repr(exc)
            )
            return
        sent.took_s = self._record.now() - sent.at
        sent.status = answer.status
        sent.complete = answer.complete
        sent.answer = answer
        text = answer.body[:80] if answer.status != 200 else ""
        self._record.write(
            "answered",
            attempt=sent.attempt,
            status=answer.status,
            complete=answer.complete,
            bytes=len(answer.body),
            text=text,
        )

    async def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks)


class Sent:
    """A request that was sent, and its answer."""

    def __init__(self, attempt, at, key, headers) -> None:
        self.attempt = attempt
        self.at = at
        self.key = key
        self.headers = headers
        # None while there is no answer, 0 if the connection ended without.
        self.status: int | None = None
        self.complete = False
        # Seconds until the whole answer, without end if there was none.
        self.took_s = math.inf
        self.answer: callers.Answer | None = None


def run(play, folder: pathlib.Path) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held.

    A case that could not run exits with 2.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play_in_time() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            async with asyncio.timeout(PLAY_TIMEOUT_S):
                return await play(pathlib.Path(temporary), record, trouble)

    try:
        is_broken = asyncio.run(play_in_time())
    except Exception as exc:
        record.write("could not run", error=repr(exc))
        print(f"could not run: {exc!r}")
        code = 2
    else:
        record.write("verdict", rule="broken" if is_broken else "held")
        print("rule broken" if is_broken else "rule held")
        code = int(is_broken)
    record.close()
    sys.exit(code)
