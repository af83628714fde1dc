"""Instances as processes, with stand-ins around them, for the cases.

The store and the servers are stand-ins in the process of the case. The
instances are started with the command of the deploy file, and their settings
files are made from the deploy template.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

from sassafrasflow.platform.tests import standins

__all__ = [
    "Answer",
    "Case",
    "Client",
    "Instance",
    "Server",
    "entry",
    "free_port",
    "route",
    "run",
]

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = standins.HOST
ATTEMPT = standins.ATTEMPT
HOST_NAME = "shop.example"
KEY = "k3y"
# Bounds of the users' sheets for `sites/northstar-lend.toml`.
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
CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "rollout",
    "platform",
]
ZONES = {
    "north-hall-a": "north-hall",
    "lakeside-a": "lakeside",
    "ridge-a": "ridge",
}


# Fields that a case sets otherwise in the settings of its instances.
NODE_CHANGES = {}


def entry(
    service, port, zone, *, version="v1", slots=6, state="ready", **changes
):
    """Return the entry that a server writes about itself."""
    return {
        "Service": service,
        "Address": f"{HOST}:{port}",
        "Zone": zone,
        "Version": version,
        "Slots": slots,
        "State": state,
        "ColdRemainingMs": 0,
        "Sequence": 1,
        "born": round(time.time() * 1000),
        **changes,
    }


def free_port() -> int:
    """Return a port that is free for TCP and UDP.

    It is below the ports that the kernel gives to clients, so that none takes
    it while an instance restarts.
    """
    while True:
        port = random.randrange(10000, 30000)
        with (
            socket.socket() as tcp,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp,
            contextlib.suppress(OSError),
        ):
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
            return port


def route(name, kind, service, **changes):
    """Return a route of the configuration."""
    fields = {
        "Name": name,
        "Host": HOST_NAME,
        "Prefix": f"/{name}/",
        "Kind": kind,
        "TimeoutMs": 2000,
        "TargetLatencyMs": 250,
        "Priority": 1,
        "Service": service,
        "MaxAttempts": 1,
        "AuthExempt": False,
    }
    return {**fields, **changes}


class Answer:
    """Answer that a client got."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        # Whether the body ended as its framing requires.
        self.complete = False

    @property
    def retry_after_s(self):
        return float(self.headers.get("retry-after", 0))


class Client:
    """Send requests over one kept connection."""

    def __init__(self, port):
        self._port = port
        self._reader = self._writer = None

    async def request(
        self,
        path,
        attempt,
        *,
        method="GET",
        body=b"",
        deadline_ms=4000,
        headers=(),
        on_bytes=lambda content: None,
    ):
        """Return the answer; its status is 0 if the connection broke."""
        answer = Answer()
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        HOST, self._port
                    )
                lines = [
                    f"{method} {path} HTTP/1.1",
                    f"Host: {HOST_NAME}",
                    f"X-Request-Attempt-Id: {attempt}",
                    f"X-Deadline-Remaining: {deadline_ms}",
                    f"X-Key: {KEY}",
                    *(f"{name}: {value}" for name, value in headers),
                ]
                if method != "GET":
                    lines.append(f"Content-Length: {len(body)}")
                head = "\r\n".join([*lines, "", ""]).encode()
                self._writer.write(head + body)
                await self._read(answer, on_bytes)
        except (OSError, EOFError, TimeoutError):
            self.close()
        if answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def _read(self, answer, on_bytes):
        reader = self._reader
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        for line in lines:
            name, _, value = line.partition(":")
            answer.headers[name.lower()] = value.strip()
        answer.status = int(first.split(" ")[1])
        if "content-length" in answer.headers:
            length = int(answer.headers["content-length"])
            answer.body = await reader.readexactly(length)
        else:
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                chunk = (await reader.readexactly(size + 2))[:-2]
                if not size:
                    break
                answer.body += chunk
                on_bytes(chunk)
        answer.complete = True

    def close(self):
        if self._writer is not None:
            self._writer.close()
            self._writer = None


class Server(standins.HttpServer):
    """Server with slots and a short queue, listed in the store.

    A server that leaves says so in all its answers. ``run`` handles a request
    that has a slot.
    """

    def __init__(
        self, case, name, service, zone, *, version="v1", slots=6, queue=24
    ):
        super().__init__(self._handle)
        self.case = case
        self.name = name
        self.service = service
        self.zone = zone
        self.version = version
        self.slots = slots
        self.state = "ready"
        self.arrivals = []
        self._queue = queue
        self._free = asyncio.Semaphore(slots)
        self._waiting = 0
        self._born = round(time.time() * 1000)
        self._sequence = 0

    async def register(self):
        """Listen, and write the own entry."""
        if not self.port:
            await self.start()
        await self.write_entry()

    async def write_entry(self):
        self._sequence += 1
        await self.case.store.put_row(
            "servers",
            self.name,
            entry(
                self.service,
                self.port,
                self.zone,
                version=self.version,
                slots=self.slots,
                state=self.state,
                Sequence=self._sequence,
                born=self._born,
            ),
        )

    async def leave(self, serve_s):
        """Announce the end, go on for a time, and end."""
        self.state = "draining"
        await self.write_entry()
        self.case.note(f"{self.name} draining: the store has accepted it")
        await asyncio.sleep(serve_s)
        await self.case.store.remove_row("servers", self.name)
        await self.close()

    async def _handle(self, conn, req):
        if req.url == "/health":
            return await self._answer(
                conn,
                200 if self.state == "ready" else 503,
                **{"X-Instance-Id": self.name},
            )
        if req.url == "/report":
            return await self._answer(conn, 404)
        self.arrivals.append((self.case.now(), req))
        echo = {"X-Request-Attempt-Id": req.headers.get(ATTEMPT, "")}
        if req.headers.get("x-expect-instance", self.name) != self.name:
            return await self._answer(conn, 421, **echo)
        if self._waiting >= self._queue and self._free.locked():
            return await self._answer(
                conn, 503, **{"X-Not-Executed": "1"}, **echo
            )
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        try:
            await self.run(conn, req, echo)
        finally:
            self._free.release()

    async def run(self, conn, req, echo):
        raise NotImplementedError

    async def _answer(self, conn, status, body=b"", **named):
        if self.state == "draining":
            named["Server-Leaving"] = "1"
        await conn.answer(status, body, **named)

    async def answer_sealed(self, conn, status, body, echo):
        seal = {"X-Response-Seal": f"{self.name}.{status}.{len(body)}"}
        await self._answer(conn, status, body, **seal, **echo)


class Instance:
    """Process of one entry instance."""

    def __init__(self, case, name, zone):
        self.case = case
        self.name = name
        self.port, self.ready_port, self.exchange_port = (
            free_port() for _ in range(3)
        )
        self._zone = zone
        self._path = case.folder / f"{name}.json"
        self._process = None

    def _write_settings(self):
        node = {
            "Node": self.name,
            "Role": "entry",
            "MachineClass": "edge",
            "Serves": ["edge"],
            "Ip": HOST,
            "Zone": self._zone,
            "Region": ZONES[self._zone],
            "Zones": ZONES,
            "Listen": {
                "Front": f"{HOST}:{self.port}",
                "Ready": f"{HOST}:{self.ready_port}",
            },
            "InternalPorts": [self.exchange_port, self.exchange_port],
            "Seeds": [],
            "Bootstrap": True,
            "LossCounts": False,
            "Limits": {
                "CpuShare": 0.537,
                "Cores": 2,
                "MemoryMb": 300,
                "MaxFds": 4100,
                "LinkMbps": 1000.0,
                "DiskMb": 0,
            },
            "DataDir": None,
            "Discovery": "platform",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Contracts": CONTRACTS,
            "FaultTolerance": {"Machines": 2, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
            "Platform": {
                "Address": f"{HOST}:{self.case.store.port}",
                "form": "table",
                "WritesPerS": 400,
                "ReadsPerS": 2000,
                "TxMs": 5.0,
                "PartWritesS": 200,
                "RowBytes": 65536,
                "Across": False,
                "HistoryS": 20,
                "BlobBytes": 8388608,
                "BlobMs": 25.0,
                "BlobMbS": 80.0,
            },
        }
        for name, value in NODE_CHANGES.items():
            if isinstance(value, dict):
                value = {**node[name], **value}
            node[name] = value
        template = (ROOT / "deploy" / "instance.json").read_text()
        self._path.write_text(template.replace("{{.|json}}", json.dumps(node)))

    async def start(self):
        """Start the process with the command of the deploy file."""
        self._write_settings()
        deploy = (ROOT / "deploy" / "system.toml").read_text()
        run = re.search(r'^run = "(.*)"', deploy, re.MULTILINE)[1].split()
        paths = [str(ROOT / "target" / "deps"), str(ROOT)]
        with (self.case.folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable if run[0] == "python3" else run[0],
                *run[1:],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "PYTHONPATH": ":".join(paths),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "SASSAFRASFLOW_NODE_FILE": str(self._path),
                },
                stdout=log,
                stderr=log,
            )
        self.case.note(f"{self.name} started")

    def kill(self):
        self._process.kill()
        self.case.note(f"{self.name} killed")

    async def wait(self):
        await self._process.wait()

    async def close(self):
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()

    async def is_ready(self):
        """Ask as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    HOST, self.ready_port
                )
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                return b" 200 " in line
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self):
        async with asyncio.timeout(15):
            while not await self.is_ready():
                await asyncio.sleep(0.1)

    def events(self, name):
        """Return the logged events of a name."""
        lines = (self.case.folder / f"{self.name}.log").read_text()
        events = []
        for line in lines.splitlines():
            with contextlib.suppress(ValueError):
                events.append(json.loads(line))
        return [line for line in events if line.get("event") == name]


class Case:
    """Store, servers and instances of one case, and its record."""

    def __init__(self, folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = standins.Store()
        self.instances = []
        self.servers = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._record = (pathlib.Path(folder) / "record.txt").open("w")
        self._began_at = time.monotonic()

    def now(self):
        return time.monotonic() - self._began_at

    def note(self, text):
        """Write a line to the record."""
        self._record.write(f"{self.now():8.3f} {text}\n")

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for instance in self.instances:
            await instance.close()
        for server in self.servers:
            with contextlib.suppress(Exception):
                await server.close()
        await self.store.close()
        self._record.close()
        if os.environ.get("KEEP") is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)

    async def configure(self, routes, services, version=1):
        """Write a configuration as the operator does."""
        await self.store.configure(
            {
                "Version": version,
                "Routes": routes,
                "Services": services,
                "Limits": {
                    "MaxHeaderBytes": 16384,
                    "MaxBodyBytes": 4194304,
                    "HeaderTimeoutMs": 3000,
                    "IdleTimeoutMs": 15000,
                },
                "Tenants": [{"Name": "club", "ApiKeys": [KEY]}],
            }
        )

    async def start_instances(self, count):
        """Start instances in different zones, and wait until all are ready."""
        zones = list(ZONES)
        for number in range(count):
            zone = zones[number % len(zones)]
            self.instances.append(Instance(self, f"edge-{number + 1}", zone))
        for instance in self.instances:
            await instance.start()
        for instance in self.instances:
            await instance.wait_until_ready()
        # Until each has heard from the others.
        await asyncio.sleep(5)

    async def add(self, server):
        self.servers.append(server)
        await server.register()
        return server


# A case is given up after this, so that it ends all processes in time.
LIMIT_S = 112


def run(file, play):
    """Play a case; exit with 1 if the rule was broken, and 0 if it held."""

    async def main():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with Case(pathlib.Path(file).parent) as case:
            async with asyncio.timeout(LIMIT_S):
                return await play(case)

    try:
        is_broken = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as exc:
        print(f"could not run: {exc!r}")
        sys.exit(2)
    sys.exit(1 if is_broken else 0)
