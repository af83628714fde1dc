"""Traffic to instances whose targets answer twice or break off.

    python -m tests.extra_answers FORM --seconds 10 --seed 1

prints what callers got that was not the answer of their request's target.
"""

import argparse
import asyncio
import collections
import contextlib
import json
import os
import pathlib
import random
import sys
import tempfile

from sassafrasflow.platform import settings
from sassafrasflow.platform.tests import callers
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

__all__ = ["FORMS", "Play", "play"]

TARGETS = 5
FAULTY_TARGETS = 3
INSTANCES = 2
CALLERS = 16
START_TIMEOUT_S = 15.0
ANSWER_TIMEOUT_S = 6.0
PAUSE_S = 0.02
# Share of the answers of a faulty target that an extra one follows.
EXTRA_SHARE = 0.3
FAILED_SHARE = 0.3
LOST_SHARE = 0.02
FULL_SHARE = 0.15
SUCCESS = 200
NOT_RUN_STATUSES = (408, 421, 429, 503)


def _answer(status: int, attempt: str | None, *fields: str) -> bytes:
    body = f"body of {attempt}".encode()
    lines = [f"HTTP/1.1 {status} Reason", *fields, "Keep-Alive: timeout=15"]
    if attempt is not None:
        lines.append(f"X-Request-Attempt-Id: {attempt}")
        lines.append(f"X-Response-Seal: seal-of-{attempt}")
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


class Extra:
    """Bytes that a faulty target sends besides an answer."""

    def __init__(
        self, now: bytes = b"", later: bytes = b"", *, reset: bool = False
    ) -> None:
        self.now = now
        self.later = later
        self.reset = reset


def _whole(rng: random.Random, own: bytes, attempt: str) -> Extra:
    return Extra(own)


def _late(rng: random.Random, own: bytes, attempt: str) -> Extra:
    return Extra(later=own)


def _cut(rng: random.Random, own: bytes, attempt: str) -> Extra:
    return Extra(own[: rng.randrange(1, len(own))])


def _late_cut(rng: random.Random, own: bytes, attempt: str) -> Extra:
    return Extra(later=own[: rng.randrange(1, len(own))])


def _split(rng: random.Random, own: bytes, attempt: str) -> Extra:
    size = rng.randrange(1, len(own))
    return Extra(own[:size], own[size:])


def _reset(rng: random.Random, own: bytes, attempt: str) -> Extra:
    return Extra(later=own[: rng.randrange(1, len(own))], reset=True)


def _other_status(rng: random.Random, own: bytes, attempt: str) -> Extra:
    return Extra(later=_answer(SUCCESS, attempt))


def _status_line(rng: random.Random, own: bytes, attempt: str) -> Extra:
    return Extra(b"HTTP/1.1 200 OK")


def _without_id(rng: random.Random, own: bytes, attempt: str) -> Extra:
    status = rng.choice([SUCCESS, 500, 503])
    return Extra(later=_answer(status, None, "X-Not-Executed: 1"))


FORMS = {
    "none": lambda rng, own, attempt: Extra(),
    "whole": _whole,
    "late": _late,
    "cut": _cut,
    "late-cut": _late_cut,
    "split": _split,
    "reset": _reset,
    "other-status": _other_status,
    "status-line": _status_line,
    "without-id": _without_id,
}


class Target:
    """Answer requests, some of them twice."""

    def __init__(self, play: "Play", *, faulty: bool) -> None:
        self._play = play
        self._faulty = faulty

    async def __call__(self, conn, req) -> None:
        play, rng = self._play, self._play.rng
        attempt = req.headers[standins.ATTEMPT]
        if rng.random() < FULL_SHARE:
            own = _answer(503, attempt, "X-Not-Executed: 1")
            await self._send(conn, own, attempt)
            return
        play.runs[attempt] += 1
        await asyncio.sleep(rng.uniform(0.0, 0.02))
        if rng.random() < LOST_SHARE:
            play.lost.add(attempt)
            conn.reset()
            return
        status = 500 if rng.random() < FAILED_SHARE else SUCCESS
        play.statuses[attempt].add(status)
        await self._send(conn, _answer(status, attempt), attempt)

    async def _send(self, conn, own: bytes, attempt: str) -> None:
        rng = self._play.rng
        if not self._faulty or rng.random() >= EXTRA_SHARE:
            await conn.send(own)
            return
        extra = self._play.form(rng, own, attempt)
        self._play.extras += 1
        await conn.send(own + extra.now)
        if extra.later or extra.reset:
            delay_s = rng.choice([0.0, 0.001, 0.005, 0.02, 0.1])
            task = asyncio.create_task(self._send_later(conn, extra, delay_s))
            self._play.tasks.add(task)
            task.add_done_callback(self._play.tasks.discard)

    async def _send_later(self, conn, extra: Extra, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        with contextlib.suppress(OSError):
            await conn.send(extra.later)
            if extra.reset:
                conn.reset()


class Play:
    """Run instances as processes, and count what callers get."""

    def __init__(self, form: str, seed: int, folder: pathlib.Path) -> None:
        self.form = FORMS[form]
        self.rng = random.Random(seed)
        self.runs: collections.Counter[str] = collections.Counter()
        self.statuses: dict[str, set[int]] = collections.defaultdict(set)
        self.lost: set[str] = set()
        self.tasks: set[asyncio.Task] = set()
        self.extras = 0
        self.answers: collections.Counter[str] = collections.Counter()
        # What broke a promise, by kind.
        self.broken: dict[str, list[str]] = collections.defaultdict(list)
        self._folder = folder
        self._store = standins.Store()
        self._workers: list[standins.Worker] = []
        self._processes: list[asyncio.subprocess.Process] = []
        self._ports: list[int] = []

    async def run(self, seconds: float) -> None:
        try:
            await self._start()
            async with asyncio.timeout(seconds + 4 * ANSWER_TIMEOUT_S):
                await asyncio.gather(
                    *(self._call(n, seconds) for n in range(CALLERS))
                )
            for process in self._processes:
                if process.returncode is not None:
                    self.broken["ended"].append(str(process.returncode))
        finally:
            await self._stop()

    async def _start(self) -> None:
        await self._store.start()
        routes = [
            documents.route("once", "non_idempotent", MaxAttempts=1),
            documents.route("book", "non_idempotent", MaxAttempts=2),
            documents.route("read", "idempotent", MaxAttempts=2),
        ]
        await self._store.configure(documents.configuration(Routes=routes))
        for number in range(TARGETS):
            worker = standins.Worker(
                f"w{number}", Target(self, faulty=number < FAULTY_TARGETS)
            )
            self._workers.append(worker)
            await worker.start()
            await self._store.list_worker(worker)
        for number in range(INSTANCES):
            ports = tuple(fleets.free_port() for _ in range(3))
            self._ports.append(ports[0])
            path = self._folder / f"{number}.json"
            path.write_text(
                json.dumps(
                    documents.node_settings(
                        f"e{number}", "a", ports, self._store.port
                    )
                )
            )
            with (self._folder / f"{number}.log").open("wb") as log:
                process = await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "sassafrasflow",
                    "gateway",
                    env={**os.environ, settings.PATH_VARIABLE: str(path)},
                    stdout=log,
                    stderr=log,
                )
            self._processes.append(process)
        async with asyncio.timeout(START_TIMEOUT_S):
            for port in self._ports:
                await self._wait_until_ready(port)

    async def _wait_until_ready(self, port: int) -> None:
        while True:
            with contextlib.suppress(OSError, EOFError):
                async with callers.Caller(port) as caller:
                    answer = await caller.request(f"/read/{port}")
                    if answer.status in (SUCCESS, 500):
                        return
            await asyncio.sleep(0.05)

    async def _stop(self) -> None:
        for process in self._processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for task in list(self.tasks):
            task.cancel()
        for worker in self._workers:
            await worker.close()
        await self._store.close()

    async def _call(self, number: int, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        sent = 0
        while loop.time() < until:
            port = self._ports[number % INSTANCES]
            async with callers.Caller(port) as caller:
                while loop.time() < until:
                    sent += 1
                    if not await self._ask(caller, f"c{number}-{sent}"):
                        break
                    await asyncio.sleep(PAUSE_S)

    async def _ask(self, caller: callers.Caller, attempt: str) -> bool:
        """Send a request with a body in chunks, and check its answer."""
        kind = self.rng.choice(["once", "book", "read"])
        content = caller.encode(
            f"/{kind}/{attempt}?scope=7",
            method="POST",
            attempt=attempt,
            Transfer_Encoding="chunked",
            X_Deadline_Remaining="3000",
        )
        caller.send_raw(content + b"5\r\nscope\r\n2\r\n 7\r\n0\r\n\r\n")
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await caller.read()
        except (OSError, EOFError, TimeoutError):
            self.answers["none"] += 1
            self.broken["unanswered"].append(attempt)
            return False
        self.answers[str(answer.status)] += 1
        self._check(kind, attempt, answer)
        return answer.headers.get("connection") != "close"

    def _check(self, kind: str, attempt: str, answer: callers.Answer) -> None:
        if kind != "read":
            if self.runs[attempt] > 1:
                self.broken["twice"].append(attempt)
            if answer.status in NOT_RUN_STATUSES and self.runs[attempt]:
                self.broken["refused"].append(attempt)
        if answer.status == 504:
            self.broken["late"].append(attempt)
        seal = answer.headers.get("x-response-seal")
        if answer.status != SUCCESS and seal is None:
            return
        if seal != f"seal-of-{attempt}" or (
            answer.body != f"body of {attempt}".encode()
        ):
            self.broken["foreign"].append(attempt)
        elif answer.status in (SUCCESS, 500) and (
            answer.status not in self.statuses[attempt]
        ):
            self.broken["other status"].append(attempt)


async def play(
    form: str, seed: int, seconds: float, folder: pathlib.Path
) -> Play:
    """Return the counts of a play."""
    result = Play(form, seed, folder)
    await result.run(seconds)
    return result


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("form", choices=FORMS)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        result = asyncio.run(
            play(args.form, args.seed, args.seconds, pathlib.Path(name))
        )
    print(
        json.dumps(
            {
                "form": args.form,
                "seed": args.seed,
                "answers": result.answers,
                "extra": result.extras,
                "broken": {k: len(v) for k, v in result.broken.items()},
                "examples": {k: v[:3] for k, v in result.broken.items()},
            }
        )
    )
    return int(bool(result.broken))


if __name__ == "__main__":
    sys.exit(main())
