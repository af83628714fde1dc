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
import signal
import sys
import tempfile
import weakref
import zlib

import msgspec

from sassafrasflow.platform import settings
from sassafrasflow.platform.tests import callers
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

__all__ = ["FORMS", "FORMS_BY_HAND", "Options", "Play", "play"]

FAULTY_SHARE = 0.6
START_TIMEOUT_S = 15.0
START_TIMEOUT_PER_INSTANCE_S = 0.5
ANSWER_TIMEOUT_S = 6.0
PAUSE_S = 0.02
# Share of the answers of a faulty target that an extra one follows.
EXTRA_SHARE = 0.3
FAILED_SHARE = 0.3
LOST_SHARE = 0.02
FULL_SHARE = 0.15
SUCCESS = 200
FAILURE = 500
DELAYS_S = (0.0, 0.001, 0.005, 0.02, 0.1)
PIECE_DELAYS_S = (0.0, 0.001, 0.005, 0.02)
# Instances that are stopped in turn, one at a time.
STOPPED_IN_TURN = 8
NOT_RUN_STATUSES = (408, 421, 429, 503)
REQUESTS = (
    ("POST", "once"),
    ("POST", "book"),
    ("POST", "read"),
    ("GET", "read"),
)


class Options(msgspec.Struct, frozen=True):
    """Size of a play, and what happens besides the requests."""

    instances: int = 2
    targets: int = 5
    callers: int = 16
    # Whether instances are stopped and continued at random moments.
    pause: bool = False
    # If set, some of what targets send late comes after up to this time.
    late_s: float = 0.0


def _content(attempt: str) -> bytes:
    return f"body of {attempt}".encode()


def _long_content(attempt: str) -> bytes:
    """Return a body that may hold a whole answer or a part of one."""
    content = _content(attempt)
    return content + b"." * (zlib.crc32(content) % 400)


def _head(status: int, attempt: str | None, *fields: str) -> bytes:
    lines = [f"HTTP/1.1 {status} Reason", *fields, "Keep-Alive: timeout=15"]
    if attempt is not None:
        lines.append(f"X-Request-Attempt-Id: {attempt}")
        lines.append(f"X-Response-Seal: seal-of-{attempt}")
    return "\r\n".join([*lines, "", ""]).encode()


def _answer(
    status: int, attempt: str | None, *fields: str, body: bytes | None = None
) -> bytes:
    body = _content(str(attempt)) if body is None else body
    length = f"Content-Length: {len(body)}"
    return _head(status, attempt, *fields, length) + body


class Turn(msgspec.Struct, frozen=True):
    """Answer of a target, and the one before it on the connection."""

    own: bytes
    status: int
    attempt: str
    earlier: bytes | None


class Extra(msgspec.Struct, frozen=True):
    """Bytes that a faulty target sends besides an answer."""

    now: bytes = b""
    later: tuple[bytes, ...] = ()
    reset: bool = False
    closes: bool = False
    # What is sent, with pauses, in the place of the target's own answer.
    own: tuple[bytes, ...] = ()
    # What the target answered at last, if not the status of its own answer.
    status: int | None = None


def _whole(rng: random.Random, turn: Turn) -> Extra:
    return Extra(turn.own)


def _late(rng: random.Random, turn: Turn) -> Extra:
    return Extra(later=(turn.own,))


def _cut(rng: random.Random, turn: Turn) -> Extra:
    return Extra(turn.own[: rng.randrange(1, len(turn.own))])


def _late_cut(rng: random.Random, turn: Turn) -> Extra:
    return Extra(later=(turn.own[: rng.randrange(1, len(turn.own))],))


def _split(rng: random.Random, turn: Turn) -> Extra:
    size = rng.randrange(1, len(turn.own))
    return Extra(turn.own[:size], (turn.own[size:],))


def _reset(rng: random.Random, turn: Turn) -> Extra:
    size = rng.randrange(1, len(turn.own))
    return Extra(later=(turn.own[:size],), reset=True)


def _other_status(rng: random.Random, turn: Turn) -> Extra:
    return Extra(later=(_answer(SUCCESS, turn.attempt),))


def _status_line(rng: random.Random, turn: Turn) -> Extra:
    return Extra(b"HTTP/1.1 200 OK")


def _without_id(rng: random.Random, turn: Turn) -> Extra:
    status = rng.choice([SUCCESS, FAILURE, 503])
    return Extra(later=(_answer(status, None, "X-Not-Executed: 1"),))


def _split_lines(rng: random.Random, answer: bytes) -> tuple[bytes, ...]:
    """Return the status line, some headers and the rest."""
    lines = answer.split(b"\r\n")
    middle = rng.randrange(2, len(lines) - 2)
    pieces = (lines[:1], lines[1:middle], lines[middle:])
    first, second, rest = (b"\r\n".join(piece) for piece in pieces)
    return first + b"\r\n", second + b"\r\n", rest


def _pieces(rng: random.Random, turn: Turn) -> Extra:
    return Extra(
        own=_split_lines(rng, turn.own), later=_split_lines(rng, turn.own)
    )


def _within(rng: random.Random, turn: Turn) -> Extra | None:
    if turn.earlier is None:
        return None
    size = rng.randrange(turn.own.index(b"\r\n\r\n") + 4, len(turn.own))
    return Extra(own=(turn.own[:size], turn.earlier, turn.own[size:]))


def _failure_within(rng: random.Random, turn: Turn) -> Extra | None:
    if turn.status != SUCCESS:
        return None
    content = _long_content(turn.attempt)
    # The failure fills the rest of some of these bodies, but not of others.
    begun = content + b"." * rng.randrange(1000)
    own = _answer(SUCCESS, turn.attempt, body=begun)
    size = rng.randrange(len(own) - len(begun), len(own))
    failure = _answer(FAILURE, turn.attempt, body=content)
    return Extra(own=(own[:size], failure), status=FAILURE)


def _failure_within_closing(rng: random.Random, turn: Turn) -> Extra | None:
    extra = _failure_within(rng, turn)
    return extra and msgspec.structs.replace(extra, closes=True)


def _without_length(turn: Turn) -> bytes:
    body = _long_content(turn.attempt)
    return _head(turn.status, turn.attempt, "Connection: close") + body


def _no_length(rng: random.Random, turn: Turn) -> Extra | None:
    if turn.status not in (SUCCESS, FAILURE):
        return None
    return Extra(own=(_without_length(turn) + turn.own,), closes=True)


def _no_length_late(rng: random.Random, turn: Turn) -> Extra | None:
    if turn.status not in (SUCCESS, FAILURE):
        return None
    own = (_without_length(turn),)
    return Extra(own=own, later=(turn.own,), closes=True)


def _no_length_failure(rng: random.Random, turn: Turn) -> Extra | None:
    if turn.status != SUCCESS:
        return None
    body = _long_content(turn.attempt)
    failure = _answer(FAILURE, turn.attempt, body=body)
    own = (_without_length(turn), failure)
    return Extra(own=own, closes=True, status=FAILURE)


FORMS = {
    "none": lambda rng, turn: Extra(),
    "whole": _whole,
    "late": _late,
    "cut": _cut,
    "late-cut": _late_cut,
    "split": _split,
    "reset": _reset,
    "other-status": _other_status,
    "status-line": _status_line,
    "without-id": _without_id,
    "within": _within,
    "failure-within": _failure_within,
    "failure-within-closing": _failure_within_closing,
    "no-length": _no_length,
    "no-length-late": _no_length_late,
    "no-length-failure": _no_length_failure,
}
# Forms that were right before and after the fixes; they stay out of CI.
FORMS_BY_HAND = {"pieces": _pieces}
# Forms with bodies of more than a few bytes.
LONG_FORMS = (
    "within",
    "failure-within",
    "failure-within-closing",
    "no-length",
    "no-length-late",
    "no-length-failure",
)


class Target:
    """Answer requests, some of them twice."""

    def __init__(self, play: "Play", *, faulty: bool) -> None:
        self._play = play
        self._faulty = faulty
        self._earlier: weakref.WeakKeyDictionary[
            standins.Connection, bytes
        ] = weakref.WeakKeyDictionary()

    async def __call__(self, conn, req) -> None:
        play, rng = self._play, self._play.rng
        attempt = req.headers[standins.ATTEMPT]
        if not play.has_begun:
            await conn.send(_answer(SUCCESS, attempt))
            return
        if rng.random() < FULL_SHARE:
            await self._send(conn, attempt, 503, "X-Not-Executed: 1")
            return
        play.runs[attempt] += 1
        await asyncio.sleep(rng.uniform(0.0, 0.02))
        if rng.random() < LOST_SHARE:
            play.lost.add(attempt)
            conn.reset()
            return
        status = FAILURE if rng.random() < FAILED_SHARE else SUCCESS
        await self._send(conn, attempt, status)

    async def _send(self, conn, attempt: str, status: int, *fields) -> None:
        play, rng = self._play, self._play.rng
        own = _answer(status, attempt, *fields, body=play.content(attempt))
        extra = None
        if self._faulty and rng.random() < EXTRA_SHARE:
            earlier = self._earlier.get(conn)
            extra = play.form(rng, Turn(own, status, attempt, earlier))
        self._earlier[conn] = own
        if extra is None:
            play.statuses[attempt].add(status)
            in_pieces = self._faulty and play.form is _pieces
            pieces = _split_lines(rng, own) if in_pieces else (own,)
            await self._send_pieces(conn, pieces)
            return
        play.statuses[attempt].add(extra.status or status)
        play.extras += 1
        await self._send_pieces(conn, extra.own or (own + extra.now,))
        if extra.later or extra.reset:
            delay_s = rng.choice(play.delays_s)
            task = asyncio.create_task(self._send_later(conn, extra, delay_s))
            play.tasks.add(task)
            task.add_done_callback(play.tasks.discard)
        elif extra.closes:
            conn.writer.close()

    async def _send_later(self, conn, extra: Extra, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        with contextlib.suppress(OSError):
            await self._send_pieces(conn, extra.later)
            if extra.reset:
                conn.reset()
            elif extra.closes:
                conn.writer.close()

    async def _send_pieces(self, conn, pieces: tuple[bytes, ...]) -> None:
        rng = self._play.rng
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(rng.choice(PIECE_DELAYS_S))
            await conn.send(piece)


class Play:
    """Run instances as processes, and count what callers get."""

    def __init__(
        self,
        form: str,
        seed: int,
        folder: pathlib.Path,
        options: Options,
    ) -> None:
        self.form = (FORMS | FORMS_BY_HAND)[form]
        self.content = _long_content if form in LONG_FORMS else _content
        self.delays_s: tuple[float, ...] = DELAYS_S
        if options.late_s:
            self.delays_s += (options.late_s / 3, options.late_s)
        # Targets send sound answers until all instances are ready.
        self.has_begun = False
        self.pauses = 0
        self._options = options
        self._handed_out: set[int] = set()
        # The number of each caller's last request.
        self._asked: dict[str, int] = {}
        self.rng = random.Random(seed)
        self.runs: collections.Counter[str] = collections.Counter()
        self.statuses: dict[str, set[int]] = collections.defaultdict(set)
        self.lost: set[str] = set()
        self.tasks: set[asyncio.Task] = set()
        self.extras = 0
        self.answers: collections.Counter[str] = collections.Counter()
        self.methods: collections.Counter[str] = collections.Counter()
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
            self.has_begun = True
            if self._options.pause:
                for number in range(0, len(self._processes), STOPPED_IN_TURN):
                    group = self._processes[number : number + STOPPED_IN_TURN]
                    self.tasks.add(asyncio.create_task(self._pause(group)))
            calls = [
                asyncio.create_task(self._call(n, seconds), name=f"c{n}")
                for n in range(self._options.callers)
            ]
            try:
                async with asyncio.timeout(seconds + 4 * ANSWER_TIMEOUT_S):
                    await asyncio.gather(*calls)
            except TimeoutError:
                self.broken["unfinished"] += [
                    f"{task.get_name()} at {self._asked.get(task.get_name())}"
                    for task in calls
                    if task.cancelled() or not task.done()
                ] or ["all callers"]
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
        faulty_targets = round(FAULTY_SHARE * self._options.targets)
        for number in range(self._options.targets):
            worker = standins.Worker(
                f"w{number}", Target(self, faulty=number < faulty_targets)
            )
            self._workers.append(worker)
            await worker.start()
            await self._store.list_worker(worker)
        for number in range(self._options.instances):
            ports = (self._port(), self._port(), self._port())
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
        timeout_s = START_TIMEOUT_S + (
            START_TIMEOUT_PER_INSTANCE_S * self._options.instances
        )
        async with asyncio.timeout(timeout_s):
            for port in self._ports:
                await self._wait_until_ready(port)

    def _port(self) -> int:
        """Return a free port that no other instance was given."""
        while True:
            port = fleets.free_port()
            if port not in self._handed_out:
                self._handed_out.add(port)
                return port

    async def _pause(
        self, processes: list[asyncio.subprocess.Process]
    ) -> None:
        """Stop one of the processes after another for a while."""
        rng = random.Random(processes[0].pid)
        while True:
            await asyncio.sleep(rng.uniform(0.05, 0.5))
            process = rng.choice(processes)
            if process.returncode is not None:
                return
            self.pauses += 1
            process.send_signal(signal.SIGSTOP)
            try:
                await asyncio.sleep(rng.uniform(0.05, 0.4))
            finally:
                process.send_signal(signal.SIGCONT)

    async def _wait_until_ready(self, port: int) -> None:
        while True:
            with contextlib.suppress(OSError, EOFError):
                async with callers.Caller(port) as caller:
                    answer = await caller.request(f"/read/{port}")
                    if answer.status == SUCCESS:
                        return
            await asyncio.sleep(0.05)

    async def _stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for process in self._processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for worker in self._workers:
            await worker.close()
        await self._store.close()

    async def _call(self, number: int, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        sent = 0
        while loop.time() < until:
            port = self._ports[number % len(self._ports)]
            async with callers.Caller(port) as caller:
                while loop.time() < until:
                    sent += 1
                    self._asked[f"c{number}"] = sent
                    if not await self._ask(caller, f"c{number}-{sent}"):
                        break
                    await asyncio.sleep(PAUSE_S)

    async def _ask(self, caller: callers.Caller, attempt: str) -> bool:
        """Send a request, with or without a body, and check its answer."""
        method, kind = self.rng.choice(REQUESTS)
        fields = {"Transfer_Encoding": "chunked"} if method == "POST" else {}
        content = caller.encode(
            f"/{kind}/{attempt}?scope=7",
            method=method,
            attempt=attempt,
            X_Deadline_Remaining="3000",
            **fields,
        )
        if method == "POST":
            content += b"5\r\nscope\r\n2\r\n 7\r\n0\r\n\r\n"
        caller.send_raw(content)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                answer = await caller.read()
        except (OSError, EOFError, TimeoutError) as exc:
            self.answers["none"] += 1
            reason = type(exc).__name__
            self.broken["unanswered"].append(f"{attempt} {reason}")
            return False
        self.answers[str(answer.status)] += 1
        self.methods[method] += 1
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
        if answer.status == SUCCESS and (
            SUCCESS not in self.statuses[attempt]
        ):
            self.broken["success for a failure"].append(attempt)
        seal = answer.headers.get("x-response-seal")
        if answer.status != SUCCESS and seal is None:
            return
        if seal != f"seal-of-{attempt}" or (
            answer.body != self.content(attempt)
        ):
            self.broken["foreign"].append(attempt)
        elif answer.status in (SUCCESS, FAILURE) and (
            answer.status not in self.statuses[attempt]
        ):
            self.broken["other status"].append(attempt)


async def play(
    form: str,
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    options: Options | None = None,
) -> Play:
    """Return the counts of a play."""
    result = Play(form, seed, folder, options or Options())
    await result.run(seconds)
    return result


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("form", choices=[*FORMS, *FORMS_BY_HAND])
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    for name, default in (
        ("instances", Options().instances),
        ("targets", Options().targets),
        ("callers", Options().callers),
    ):
        parser.add_argument(f"--{name}", type=int, default=default)
    parser.add_argument("--pause", action="store_true")
    parser.add_argument("--late-s", type=float, default=0.0)
    args = parser.parse_args()
    options = Options(
        args.instances, args.targets, args.callers, args.pause, args.late_s
    )
    with tempfile.TemporaryDirectory() as name:
        result = asyncio.run(
            play(
                args.form,
                args.seed,
                args.seconds,
                pathlib.Path(name),
                options,
            )
        )
    print(
        json.dumps(
            {
                "form": args.form,
                "seed": args.seed,
                "requests": result.answers.total(),
                "methods": result.methods,
                "answers": result.answers,
                "extra": result.extras,
                "pauses": result.pauses,
                "broken": {k: len(v) for k, v in result.broken.items()},
                "examples": {k: v[:3] for k, v in result.broken.items()},
            }
        )
    )
    return int(bool(result.broken))


if __name__ == "__main__":
    sys.exit(main())
