"""Randomized soak: real instances, faults from outside, promises checked.

Run seeds by hand with ``python -m tests.soak --seeds 50``.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import math
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

from sassafrasflow.fakes import proxy
from sassafrasflow.platform import settings
from sassafrasflow.platform.tests import callers
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import standins

INSTANCES = 3
WORKERS = 4
EVENTS = 30
CALLERS = 6
# Faults follow each other this closely and overlap.
FAULT_GAP_S = (0.2, 0.8)
RECOVERY_S = 8.0
# Operators count what an instance does that ran undisturbed for this long.
CONTACT_S = 4.0
# What was on its way when a target spoke of itself may still arrive.
UNDER_WAY_S = 0.5
PAUSE_S = 1.0
POISON_SHARE = 0.1
HOST = standins.HOST


class Broken(AssertionError):
    """Report a promise that was broken."""


class Ledger:
    """Remember what workers ran and callers got."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.not_run: set[str] = set()
        self.broken: list[str] = []
        # When calls began, and when instances were disturbed last.
        self.began: dict[str, float] = {}
        self.disturbed: dict[str, float] = {}
        # When a worker told an instance that it leaves, or wants nothing.
        self.left: dict[tuple[str, str], float] = {}
        self.paused: dict[tuple[str, str], float] = {}
        self.uninvited: collections.Counter[tuple[str, str, float]] = (
            collections.Counter()
        )
        # When the crashing request killed a worker, and through whom.
        self.killed: list[tuple[float, str]] = []

    def disturb(self, instance: str) -> None:
        """Record that an instance or the store has trouble."""
        self.disturbed[instance] = now()

    def is_calm(self, instance: str, since: float) -> bool:
        """Tell whether an instance has run undisturbed since a time."""
        return self.disturbed.get(instance, 0.0) < since

    def note_arrival(self, worker: str, attempt: str) -> None:
        """Check that a worker wants a request at all."""
        instance = attempt.split("-")[1]
        key = worker, instance
        left_at = self.left.get(key, math.inf)
        self.check(
            self.began.get(attempt, 0.0) < left_at + UNDER_WAY_S
            or not self.is_calm(instance, left_at),
            f"{attempt} came to {worker}, which leaves",
        )
        paused_at = self.paused.get(key, math.inf)
        if paused_at + UNDER_WAY_S < now() < paused_at + PAUSE_S and (
            self.is_calm(instance, paused_at)
        ):
            self.uninvited[worker, instance, paused_at] += 1

    def check(self, holds: bool, what: str) -> None:
        """Record a broken promise."""
        if not holds:
            self.broken.append(what)

    def finish(self) -> None:
        """Check what only the end can show."""
        for attempt in self.not_run:
            self.check(not self.runs[attempt], f"{attempt} ran, refused")
        for attempt, runs in self.runs.items():
            once = attempt.startswith("book")
            self.check(not once or runs == 1, f"{attempt} ran {runs} times")
        for key, count in self.uninvited.items():
            self.check(count <= 2, f"{key} got {count} in its pause")
        self.check_crashes()
        if self.broken:
            raise Broken("; ".join(self.broken[:5]))

    def check_crashes(self) -> None:
        """Check that a crashing request gets three late retries at most."""
        self.outcomes["killed by one request"] = len(self.killed)
        if len(self.killed) < 3:
            return
        known_at = self.killed[2][0] + CONTACT_S
        late = [
            at
            for at, instance in self.killed
            if at > known_at
            and self.is_calm(instance, at - CONTACT_S)
            and self.is_calm("store", at - CONTACT_S)
        ]
        self.check(len(late) <= 3, f"killed {len(late)} late")


class Soak:
    """Run instances as processes and break things around them."""

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.seed = seed
        # What was done to the instances and around them, and when.
        self.faults: list[tuple[float, str]] = []
        self.rng = random.Random(seed)
        self.port_rng = random.Random(f"ports of {seed}")
        self.folder = folder
        self.ledger = Ledger()
        self.store = standins.Store()
        self.store_link = proxy.FaultProxy(HOST, 1)
        self.workers: dict[int, standins.Worker] = {}
        self.links: dict[int, proxy.FaultProxy] = {}
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.ports: dict[int, tuple[int, int, int]] = {}
        self.births = 0
        self.stopping = False
        # Connections that callers keep until they break.
        self.kept: dict[int, tuple[int, callers.Caller]] = {}
        # Workers that say they leave, and those that want nothing.
        self.leaving: set[str] = set()
        self.pausing: set[str] = set()

    async def run(self, duration_s: float) -> Ledger:
        """Play one seed and check its promises."""
        await self._start()
        try:
            callers = [
                asyncio.create_task(self._call_forever(number))
                for number in range(CALLERS)
            ]
            loop = asyncio.get_running_loop()
            end = loop.time() + duration_s
            while loop.time() < end:
                await self._fault()
                await asyncio.sleep(self.rng.uniform(*FAULT_GAP_S))
            self.stopping = True
            await asyncio.gather(*callers)
            await self._recover()
        finally:
            await self._close()
        self.ledger.finish()
        return self.ledger

    async def _start(self) -> None:
        await self.store.start()
        self.store_link.relay_to(HOST, self.store.port)
        await self.store_link.start()
        config = documents.configuration()
        await self.store.configure(config)
        for number in range(WORKERS):
            await self._start_worker(number)
        ports = _free_ports(self.port_rng, 3 * INSTANCES)
        for number in range(INSTANCES):
            front, ready, exchange = ports[3 * number : 3 * number + 3]
            self.ports[number] = (front, ready, exchange)
            await self._start_instance(number)
        await self._until_ready()

    async def _start_worker(self, number: int) -> None:
        self.births += 1
        worker = standins.Worker(f"w{number}-{self.births}", self._work)
        await worker.start()
        self.workers[number] = worker
        link = self.links.get(number)
        if link is None:
            link = self.links[number] = proxy.FaultProxy(HOST, worker.port)
            await link.start()
        link.relay_to(HOST, worker.port)
        await self.store.list_worker(
            worker, zone="ab"[number % 2], port=link.port, born=self.births
        )

    async def _work(self, conn, req) -> None:
        attempt = req.headers[standins.ATTEMPT]
        name = req.headers["x-expect-instance"]
        self.ledger.note_arrival(name, attempt)
        key = name, attempt.split("-")[1]
        if name in self.pausing:
            self.ledger.paused[key] = now()
            return await conn.answer(
                503,
                X_Not_Executed="1",
                X_Request_Attempt_Id=attempt,
                Retry_After=str(PAUSE_S),
            )
        self.ledger.runs[attempt] += 1
        self.ledger.check(
            standins.has_organisation(req, "club"),
            f"{attempt} with wrong headers",
        )
        if req.body == b"poison":
            return await self._die(name, attempt)
        await asyncio.sleep(self.rng.uniform(0.0, 0.05))
        named = {"Server_Leaving": "1"} if name in self.leaving else {}
        if attempt.startswith("plan"):
            script = standins.stream_script(EVENTS, pause_s=0.03, **named)
            await script(conn, req)
        else:
            await standins.answer_ok(conn, req, **named)
        if named:
            self.ledger.left.setdefault(key, now())

    async def _die(self, name: str, attempt: str) -> None:
        for number, worker in list(self.workers.items()):
            if worker.name == name:
                self.ledger.killed.append((now(), attempt.split("-")[1]))
                await self._restart_worker(number)

    async def _start_instance(self, number: int) -> None:
        node = documents.node_settings(
            f"entry-{number}",
            "ab"[number % 2],
            self.ports[number],
            self.store_link.port,
        )
        path = self.folder / f"node-{number}.json"
        path.write_text(json.dumps(node))
        log = (self.folder / f"entry-{number}.log").open("ab")
        self.processes[number] = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "sassafrasflow",
            "gateway",
            env={**os.environ, settings.PATH_VARIABLE: str(path)},
            stdout=log,
            stderr=log,
        )
        log.close()

    async def _fault(self) -> None:
        kind = self.rng.choice(
            [
                self._kill_instance,
                self._pause_instance,
                self._stop_instance,
                self._crash_worker,
                self._freeze_worker_link,
                self._cut_worker_link,
                self._let_worker_leave,
                self._let_worker_pause,
                self._store_fault,
                self._store_link_fault,
                self._change_configuration,
                self._hang_up,
            ]
        )
        self.faults.append((time.time(), kind.__name__))
        await kind()

    def timeline(self) -> list[dict[str, object]]:
        """Return faults and crashes in their order, in seconds of the day."""
        offset_s = time.time() - now()
        events = [{"at": at, "fault": kind} for at, kind in self.faults]
        events += [
            {"at": at + offset_s, "killed_through": instance}
            for at, instance in self.ledger.killed
        ]
        return sorted(events, key=lambda each: each["at"])

    async def _kill_instance(self) -> None:
        number = self._any_instance()
        await self._end(number, signal.SIGKILL)
        await self._start_instance(number)

    async def _stop_instance(self) -> None:
        number = self._any_instance()
        await self._end(number, signal.SIGTERM)
        await self._start_instance(number)

    async def _pause_instance(self) -> None:
        number = self._any_instance()
        process = self.processes[number]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        process.send_signal(signal.SIGCONT)
        self.ledger.disturb(str(number))

    async def _hang_up(self) -> None:
        process = self.processes[self._any_instance()]
        # Before an interpreter runs anything, the signal ends any program.
        while process.returncode is None and not _takes_hangups(process.pid):
            await asyncio.sleep(0.005)
        process.send_signal(signal.SIGHUP)

    async def _crash_worker(self) -> None:
        await self._restart_worker(self.rng.randrange(WORKERS))

    async def _let_worker_leave(self) -> None:
        number = self.rng.randrange(WORKERS)
        self.leaving.add(self.workers[number].name)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        await self._restart_worker(number)

    async def _let_worker_pause(self) -> None:
        name = self.workers[self.rng.randrange(WORKERS)].name
        self.pausing.add(name)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.pausing.discard(name)

    async def _restart_worker(self, number: int) -> None:
        worker = self.workers[number]
        await worker.close()
        self.links[number].cut()
        await self.store.unlist_worker(worker)
        await self._start_worker(number)

    async def _freeze_worker_link(self) -> None:
        link = self.links[self.rng.randrange(WORKERS)]
        link.freeze()
        await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        link.heal()

    async def _cut_worker_link(self) -> None:
        self.links[self.rng.randrange(WORKERS)].cut()

    async def _store_fault(self) -> None:
        self.store.fault = self.rng.choice([503, 429, "silent", "reset"])
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        self.store.fault = None
        self.ledger.disturb("store")

    async def _store_link_fault(self) -> None:
        self.store_link.freeze()
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        self.store_link.heal()
        self.ledger.disturb("store")

    async def _change_configuration(self) -> None:
        self.births += 1
        config = documents.configuration(version=100 + self.births)
        await self.store.configure(config)

    async def _end(self, number: int, how: signal.Signals) -> None:
        process = self.processes[number]
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(how)
        await process.wait()
        self.ledger.disturb(str(number))

    def _any_instance(self) -> int:
        return self.rng.randrange(INSTANCES)

    async def _call_forever(self, caller: int) -> None:
        count = 0
        while not self.stopping:
            count += 1
            kind = self.rng.choice(["book", "read", "plan"])
            await self._call(f"{caller}-{count}", kind, caller)
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    async def _call(self, name: str, kind: str, caller: int) -> bool:
        number, conn = await self._connection(caller)
        attempt = f"{kind}-{number}-{name}"
        method = "GET" if kind == "read" else "POST"
        body = b"" if kind == "read" else b"log"
        poisonous = caller >= 0 and kind == "plan"
        if poisonous and self.rng.random() < POISON_SHARE:
            body = b"poison"
        self.ledger.began[attempt] = now()
        try:
            if conn is None:
                raise ConnectionError("no connection")
            async with asyncio.timeout(9):
                answer = await conn.request(
                    f"/{kind}/x", method=method, body=body, attempt=attempt
                )
        except (OSError, EOFError, TimeoutError):
            await self._drop_connection(caller)
            self.ledger.outcomes[f"{kind} no answer"] += 1
            return False
        if not answer.complete or answer.headers.get("connection") == "close":
            await self._drop_connection(caller)
        self._check(attempt, kind, answer)
        self.ledger.outcomes[f"{kind} {answer.status}"] += 1
        return answer.status == 200 and answer.complete

    async def _connection(
        self, caller: int
    ) -> tuple[int, callers.Caller | None]:
        """Return the instance that a caller uses until it breaks off."""
        if caller not in self.kept:
            number = self._any_instance()
            conn = callers.Caller(self.ports[number][0])
            try:
                await conn.__aenter__()
            except OSError:
                # The instance is down; the call counts as unanswered.
                return number, None
            self.kept[caller] = number, conn
        return self.kept[caller]

    async def _drop_connection(self, caller: int) -> None:
        if caller in self.kept:
            _, conn = self.kept.pop(caller)
            await conn.__aexit__()

    def _check(self, attempt: str, kind: str, answer) -> None:
        check = self.ledger.check
        if answer.status in (408, 421, 429, 503):
            self.ledger.not_run.add(attempt)
        check(answer.status not in (401, 403, 404), f"{attempt} was denied")
        if answer.status != 200:
            return
        if kind != "plan":
            whole = answer.body == f"ran /{kind}/x".encode()
            check(whole, f"{attempt} got {answer.body!r}")
            return
        ids = [
            int(line[3:])
            for line in answer.body.decode().split("\n")
            if line.startswith("id:")
        ]
        check(ids == list(range(1, len(ids) + 1)), f"{attempt} events {ids}")
        check(
            not answer.complete or len(ids) == EVENTS,
            f"{attempt} complete after {len(ids)}",
        )

    async def _recover(self) -> None:
        self.store.fault = None
        self.store_link.heal()
        for link in self.links.values():
            link.heal()
        await self._until_ready()
        self.leaving.clear()
        self.pausing.clear()
        await asyncio.sleep(PAUSE_S)
        for kind in ("book", "read", "plan"):
            for number in range(5):
                served = await self._call(f"after-{number}", kind, -1)
                self.ledger.check(served, f"{kind} fails after recovery")
                await self._drop_connection(-1)

    async def _until_ready(self) -> None:
        async with asyncio.timeout(RECOVERY_S):
            for _, ready, _ in self.ports.values():
                while not await _is_ready(ready):
                    await asyncio.sleep(0.05)

    async def _close(self) -> None:
        for number in self.processes:
            with contextlib.suppress(ProcessLookupError):
                self.processes[number].send_signal(signal.SIGCONT)
            await self._end(number, signal.SIGKILL)
        for worker in self.workers.values():
            await worker.close()
        for link in self.links.values():
            await link.close()
        await self.store_link.close()
        await self.store.close()


def now() -> float:
    """Return the time that all of this play is measured by."""
    return asyncio.get_running_loop().time()


def _takes_hangups(pid: int) -> bool:
    """Tell whether a process puts the signal off or handles it."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(("SigBlk", "SigCgt"))
    ]
    return any(mask >> (signal.SIGHUP - 1) & 1 for mask in masks)


async def _is_ready(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(b"GET /readiness HTTP/1.1\r\n\r\n")
        status = await reader.readline()
        writer.close()
    except OSError:
        return False
    return b" 200 " in status


def _free_ports(rng: random.Random, count: int) -> list[int]:
    """Draw ports that are free for connections and for datagrams."""
    found: list[int] = []
    while len(found) < count:
        # Below the range of outgoing connections, which would take it.
        port = rng.randrange(10000, 30000)
        if port in found:
            continue
        with (
            contextlib.suppress(OSError),
            socket.socket() as stream,
            socket.socket(type=socket.SOCK_DGRAM) as datagram,
        ):
            stream.bind((HOST, port))
            datagram.bind((HOST, port))
            found.append(port)
    return found


async def play(
    seed: int, duration_s: float, *, keep_logs: bool = False
) -> Ledger:
    """Play one seed; keep the logs of one that breaks.

    Raises
    ------
    Broken : a promise did not hold
    """
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, pathlib.Path(folder))
        try:
            ledger = await soak.run(duration_s)
        except Exception:
            _keep_logs(pathlib.Path(folder), soak)
            raise
        if keep_logs:
            _keep_logs(pathlib.Path(folder), soak)
        return ledger


def _keep_logs(folder: pathlib.Path, soak: Soak) -> None:
    kept = pathlib.Path(tempfile.gettempdir())
    for log in folder.glob("entry-*.log"):
        target = kept / f"soak-{soak.seed}-{log.name}"
        target.write_bytes(log.read_bytes())
    (kept / f"soak-{soak.seed}-faults.jsonl").write_text(
        "".join(json.dumps(each) + "\n" for each in soak.timeline())
    )


def main() -> int:
    """Play fresh or given seeds; return 1 if one of them broke."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--seed", type=int, help="play just this one")
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument(
        "--keep-logs", action="store_true", help="also of seeds that hold"
    )
    args = parser.parse_args()
    seeds = [args.seed]
    if args.seed is None:
        seeds = [random.randrange(10**9) for _ in range(args.seeds)]
    failed = 0
    for seed in seeds:
        try:
            ledger = asyncio.run(
                play(seed, args.seconds, keep_logs=args.keep_logs)
            )
            print(seed, "kept", dict(ledger.outcomes), flush=True)
        except (Broken, TimeoutError) as exc:
            failed += 1
            print(seed, "BROKEN", repr(exc), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
