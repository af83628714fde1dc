"""Randomized soak test: faults around real instances, invariants checked.

Run random seeds with ``python -m tests.soak --seeds 50``.
"""

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

from sassafrasflow.fakes import ports
from sassafrasflow.fakes import proxy
from sassafrasflow.platform import settings
from sassafrasflow.platform.tests import callers
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import standins
from tests import invariants

INSTANCES = 3
WORKERS = 4
EVENTS = 30
CALLERS = 6
# Range of the pause between faults, short enough that faults overlap.
FAULT_GAP_S = (0.2, 0.8)
RECOVERY_S = 8.0
POISON_PROBABILITY = 0.1
HOST = standins.HOST
# A seed draws the same ports again if they are free.
PORT_RANGE = (10_000, 30_000)


class Soak:
    """Run instances as processes and inject faults around them."""

    KINDS = ("book", "read", "plan")
    STREAMS = frozenset({"plan"})
    CALLERS = CALLERS

    def __init__(self, seed: int, folder: pathlib.Path) -> None:
        self.seed = seed
        # Injected faults with their time; the name of the method is stored.
        self.faults: list[tuple[float, str]] = []
        self.rng = random.Random(seed)
        self.port_rng = random.Random(f"ports of {seed}")
        self.folder = folder
        self.checker = invariants.InvariantChecker()
        self.store = standins.Store()
        self.store_link = proxy.FaultProxy(HOST, 1)
        self.workers: dict[int, standins.Worker] = {}
        self.links: dict[int, proxy.FaultProxy] = {}
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.ports: dict[int, tuple[int, int, int]] = {}
        self.sequence = 0
        self.stopping = False
        # Each caller keeps its connection until it breaks.
        self.connections: dict[int, tuple[int, callers.Caller]] = {}
        # Workers that announce that they leave, or that they pause.
        self.leaving_workers: set[str] = set()
        self.pausing_workers: set[str] = set()

    async def run(self, duration_s: float) -> invariants.InvariantChecker:
        """Run the soak for a time and check its invariants."""
        await self._start()
        try:
            callers = [
                asyncio.create_task(self._call_until_stopped(number))
                for number in range(self.CALLERS)
            ]
            loop = asyncio.get_running_loop()
            end = loop.time() + duration_s
            while loop.time() < end:
                await self._inject_fault()
                await asyncio.sleep(self.rng.uniform(*FAULT_GAP_S))
            self.stopping = True
            await asyncio.gather(*callers)
            await self._recover()
        finally:
            await self._close()
        self.checker.finish()
        return self.checker

    async def _start(self) -> None:
        await self.store.start()
        self.store_link.relay_to(HOST, self.store.port)
        await self.store_link.start()
        await self.store.configure(self._configuration())
        for number in range(WORKERS):
            await self._start_worker(number)
        for number in range(INSTANCES):
            caller_port, ready_port, exchange_port = (
                ports.draw_port(self.port_rng, PORT_RANGE) for _ in range(3)
            )
            self.ports[number] = (caller_port, ready_port, exchange_port)
            await self._start_instance(number)
        await self._until_ready()

    async def _start_worker(self, number: int) -> None:
        self.sequence += 1
        worker = standins.Worker(
            f"w{number}-{self.sequence}", self._handle_request
        )
        await worker.start()
        self.workers[number] = worker
        link = self.links.get(number)
        if link is None:
            link = self.links[number] = proxy.FaultProxy(HOST, worker.port)
            await link.start()
        link.relay_to(HOST, worker.port)
        await self.store.list_worker(
            worker, zone="ab"[number % 2], port=link.port, born=self.sequence
        )

    async def _handle_request(self, conn, req) -> None:
        attempt = req.headers[standins.ATTEMPT]
        name = req.headers["x-expect-instance"]
        self.checker.check_arrival(name, attempt)
        key = name, attempt.split("-")[1]
        if name in self.pausing_workers:
            self.checker.paused_since[key] = invariants.now()
            return await conn.answer(
                503,
                X_Not_Executed="1",
                X_Request_Attempt_Id=attempt,
                Retry_After=str(invariants.RETRY_AFTER_S),
            )
        self.checker.runs[attempt] += 1
        self.checker.check(
            standins.has_organisation(req, self._organisation(attempt)),
            f"{attempt} with wrong headers",
        )
        if req.body == b"poison":
            return await self._crash_by_poison(name, attempt)
        await asyncio.sleep(self.rng.uniform(0.0, 0.05))
        announcement = (
            {"Server_Leaving": "1"} if name in self.leaving_workers else {}
        )
        if attempt.split("-")[0] in self.STREAMS:
            await self._run_stream(name, conn, req, announcement)
        else:
            await standins.answer_ok(conn, req, **announcement)
        if announcement:
            self.checker.leaving_since.setdefault(key, invariants.now())

    async def _run_stream(self, name, conn, req, announcement) -> None:
        script = standins.stream_script(EVENTS, pause_s=0.03, **announcement)
        await script(conn, req)

    async def _crash_by_poison(self, name: str, attempt: str) -> None:
        for number, worker in list(self.workers.items()):
            if worker.name == name:
                self.checker.poison_crashes.append(
                    (invariants.now(), attempt.split("-")[1])
                )
                await self._restart_worker(number)

    async def _start_instance(self, number: int) -> None:
        node = self._node_settings(
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

    async def _inject_fault(self) -> None:
        kind = self.rng.choice(self._list_faults())
        self.faults.append((time.time(), kind.__name__))
        await kind()

    def _list_faults(self) -> list:
        return [
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

    def timeline(self) -> list[dict[str, object]]:
        """Return faults and poison crashes in order of their Unix time."""
        offset_s = time.time() - invariants.now()
        events = [{"at": at, "fault": kind} for at, kind in self.faults]
        events += [
            {"at": at + offset_s, "killed_through": instance}
            for at, instance in self.checker.poison_crashes
        ]
        return sorted(events, key=lambda each: each["at"])

    async def _kill_instance(self) -> None:
        number = self._choose_instance()
        await self._end_instance(number, signal.SIGKILL)
        await self._start_instance(number)

    async def _stop_instance(self) -> None:
        number = self._choose_instance()
        await self._end_instance(number, signal.SIGTERM)
        await self._start_instance(number)

    async def _pause_instance(self) -> None:
        number = self._choose_instance()
        process = self.processes[number]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.2, 2.0))
        process.send_signal(signal.SIGCONT)
        self.checker.record_disturbance(str(number))

    async def _hang_up(self) -> None:
        process = self.processes[self._choose_instance()]
        # SIGHUP ends a process that has not installed a handler yet.
        while process.returncode is None and not _handles_hangup(process.pid):
            await asyncio.sleep(0.005)
        process.send_signal(signal.SIGHUP)

    async def _crash_worker(self) -> None:
        await self._restart_worker(self.rng.randrange(WORKERS))

    async def _let_worker_leave(self) -> None:
        number = self.rng.randrange(WORKERS)
        self.leaving_workers.add(self.workers[number].name)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        await self._restart_worker(number)

    async def _let_worker_pause(self) -> None:
        name = self.workers[self.rng.randrange(WORKERS)].name
        self.pausing_workers.add(name)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self.pausing_workers.discard(name)

    async def _restart_worker(self, number: int) -> None:
        worker = self.workers[number]
        await worker.close()
        self.links[number].reset_connections()
        await self.store.unlist_worker(worker)
        await self._start_worker(number)

    async def _freeze_worker_link(self) -> None:
        link = self.links[self.rng.randrange(WORKERS)]
        link.freeze()
        await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        link.heal()

    async def _cut_worker_link(self) -> None:
        self.links[self.rng.randrange(WORKERS)].reset_connections()

    async def _store_fault(self) -> None:
        self.store.fault = self.rng.choice([503, 429, "silent", "reset"])
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        self.store.fault = None
        self.checker.record_disturbance("store")

    async def _store_link_fault(self) -> None:
        self.store_link.freeze()
        await asyncio.sleep(self.rng.uniform(0.3, 2.0))
        self.store_link.heal()
        self.checker.record_disturbance("store")

    async def _change_configuration(self) -> None:
        self.sequence += 1
        await self.store.configure(self._configuration(100 + self.sequence))

    def _configuration(self, version: int = 1) -> dict:
        return documents.configuration(version)

    def _node_settings(self, *args) -> dict:
        return documents.node_settings(*args)

    def _caller_headers(self, kind: str, caller: int) -> dict[str, str]:
        return {}

    def _organisation(self, attempt: str) -> str:
        return "club"

    async def _end_instance(self, number: int, signum: signal.Signals) -> None:
        process = self.processes[number]
        ended = process.returncode
        self.checker.check(ended is None, f"{number} had ended with {ended}")
        with contextlib.suppress(ProcessLookupError):
            process.send_signal(signum)
        await process.wait()
        self.checker.record_disturbance(str(number))

    def _choose_instance(self) -> int:
        return self.rng.randrange(INSTANCES)

    async def _call_until_stopped(self, caller: int) -> None:
        count = 0
        while not self.stopping:
            count += 1
            kind = self.rng.choice(self.KINDS)
            await self._call(f"{caller}-{count}", kind, caller)
            await asyncio.sleep(self.rng.uniform(0.0, 0.05))

    async def _call(self, name: str, kind: str, caller: int) -> bool:
        number, conn = await self._open_connection(caller)
        attempt = f"{kind}-{number}-{name}"
        method = "GET" if kind == "read" else "POST"
        body = b"" if kind == "read" else b"log"
        may_be_poison = caller >= 0 and kind == "plan"
        if may_be_poison and self.rng.random() < POISON_PROBABILITY:
            body = b"poison"
        self.checker.call_started_at[attempt] = invariants.now()
        try:
            if conn is None:
                raise ConnectionError("no connection")
            async with asyncio.timeout(9):
                answer = await conn.request(
                    f"/{kind}/x",
                    method=method,
                    body=body,
                    attempt=attempt,
                    **self._caller_headers(kind, caller),
                )
        except (OSError, EOFError, TimeoutError):
            await self._drop_connection(caller)
            self.checker.outcomes[f"{kind} no answer"] += 1
            return False
        if not answer.complete or answer.headers.get("connection") == "close":
            await self._drop_connection(caller)
        self._check_answer(attempt, kind, answer)
        self.checker.outcomes[f"{kind} {answer.status}"] += 1
        return answer.status == 200 and answer.complete

    async def _open_connection(
        self, caller: int
    ) -> tuple[int, callers.Caller | None]:
        """Return the instance and the open connection of a caller."""
        if caller not in self.connections:
            number = self._choose_instance()
            conn = callers.Caller(self.ports[number][0])
            try:
                await conn.__aenter__()
            except OSError:
                # The instance is down, so the call counts as unanswered.
                return number, None
            self.connections[caller] = number, conn
        return self.connections[caller]

    async def _drop_connection(self, caller: int) -> None:
        if caller in self.connections:
            _, conn = self.connections.pop(caller)
            await conn.__aexit__()

    def _check_answer(self, attempt: str, kind: str, answer) -> None:
        check = self.checker.check
        if answer.status in (408, 421, 429, 503):
            self.checker.not_run.add(attempt)
        check(answer.status not in (401, 403, 404), f"{attempt} was denied")
        if answer.status != 200:
            return
        if kind not in self.STREAMS:
            matches = answer.body == f"ran /{kind}/x".encode()
            check(matches, f"{attempt} got {answer.body!r}")
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
        self.leaving_workers.clear()
        self.pausing_workers.clear()
        await asyncio.sleep(invariants.RETRY_AFTER_S)
        for kind in self.KINDS:
            for number in range(5):
                succeeded = await self._call(f"after-{number}", kind, -1)
                self.checker.check(succeeded, f"{kind} fails after recovery")
                await self._drop_connection(-1)

    async def _until_ready(self) -> None:
        async with asyncio.timeout(RECOVERY_S):
            for _, ready, _ in self.ports.values():
                while not await _is_ready(ready):
                    await asyncio.sleep(0.05)

    async def _close(self) -> None:
        for caller in list(self.connections):
            await self._drop_connection(caller)
        for number in self.processes:
            with contextlib.suppress(ProcessLookupError):
                self.processes[number].send_signal(signal.SIGCONT)
            await self._end_instance(number, signal.SIGKILL)
        for drawn in self.ports.values():
            ports.release_ports(drawn)
        for worker in self.workers.values():
            await worker.close()
        for link in self.links.values():
            await link.close()
        await self.store_link.close()
        await self.store.close()


def _handles_hangup(pid: int) -> bool:
    """Return whether a process blocks or handles SIGHUP."""
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


async def run_seed(
    seed: int,
    duration_s: float,
    *,
    keep_logs: bool = False,
    kind: type[Soak] = Soak,
) -> invariants.InvariantChecker:
    """Run the soak with one seed and keep the logs if it fails.

    Raises
    ------
    invariants.InvariantViolated : an invariant does not hold
    """
    with tempfile.TemporaryDirectory() as folder:
        soak = kind(seed, pathlib.Path(folder))
        try:
            checker = await soak.run(duration_s)
        except Exception:
            _keep_logs(pathlib.Path(folder), soak)
            raise
        if keep_logs:
            _keep_logs(pathlib.Path(folder), soak)
        return checker


def _keep_logs(folder: pathlib.Path, soak: Soak) -> None:
    log_folder = pathlib.Path(tempfile.gettempdir())
    for log in folder.glob("entry-*.log"):
        target = log_folder / f"soak-{soak.seed}-{log.name}"
        target.write_bytes(log.read_bytes())
    (log_folder / f"soak-{soak.seed}-faults.jsonl").write_text(
        "".join(json.dumps(each) + "\n" for each in soak.timeline())
    )


def main() -> int:
    """Run random seeds or a given one; return 1 if any failed."""
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
            checker = asyncio.run(
                run_seed(seed, args.seconds, keep_logs=args.keep_logs)
            )
            print(seed, "kept", dict(checker.outcomes), flush=True)
        except (invariants.InvariantViolated, TimeoutError) as exc:
            failed += 1
            print(seed, "BROKEN", repr(exc), flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
