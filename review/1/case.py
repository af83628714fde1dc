"""A target appends the broken start of another answer to some answers."""

import asyncio
import collections

import harness

from sassafrasflow.platform.tests import callers
from sassafrasflow.platform.tests import standins

LENGTH_S = 14.0
CALLERS = 20
PAUSE_S = 0.2
WORK_S = 0.045
# Three of the five targets spoil 0.03 of their answers for 5 s.
TARGETS = 5
FAULTY = 3
GARBLED_EVERY = 34
GARBLE_AT_S = 3.0
GARBLE_LENGTH_S = 5.0
# Additional bytes after a complete response, which belong to no request: the
# start of an answer that breaks off within a header line.
EXTRA = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"X-Not-Executed: 1\r\n"
    b"Content-Type: text/plai"
)


class Bookings:
    """Run bookings, and count the runs of each request."""

    def __init__(self, record: harness.Record) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.garbled = 0
        # When the faulty target begins to spoil answers.
        self.garble_at = float("inf")
        self._record = record
        self._answers: collections.Counter[str] = collections.Counter()

    def script(self, name: str, *, faulty: bool) -> standins.Handler:
        async def run(conn: standins.Connection, req: standins.Request):
            attempt = req.headers[standins.ATTEMPT]
            self.runs[attempt] += 1
            self._record.write("run", target=name, request=attempt)
            await asyncio.sleep(WORK_S)
            body = f"{name} ran {attempt}".encode()
            answer = (
                b"HTTP/1.1 200 OK\r\n"
                b"X-Request-Attempt-Id: %b\r\n"
                b"X-Response-Seal: seal-of-%b\r\n"
                b"Keep-Alive: timeout=15\r\n"
                b"Content-Length: %d\r\n\r\n%b"
                % (attempt.encode(), attempt.encode(), len(body), body)
            )
            since_s = self._record.now() - self.garble_at
            if faulty and 0.0 <= since_s < GARBLE_LENGTH_S:
                self._answers[name] += 1
            if faulty and self._answers[name] == GARBLED_EVERY:
                self._answers[name] = 0
                self.garbled += 1
                self._record.write("extra_bytes", target=name, after=attempt)
                answer += EXTRA
            await conn.send(answer)

        return run


async def call(
    record: harness.Record,
    instance: harness.Instance,
    number: int,
    answers: dict[str, int | None],
) -> None:
    """Send bookings over one connection that is kept open."""
    until = record.now() + LENGTH_S
    sent = 0
    while record.now() < until:
        async with callers.Caller(instance.port) as caller:
            while record.now() < until:
                sent += 1
                attempt = f"c{number}-{sent}"
                prefix = "book" if (sent + number) % 4 else "reserve"
                answer = await harness.ask(
                    record,
                    caller,
                    f"/{prefix}/{attempt}",
                    attempt,
                    method="POST",
                    body=b"scope 7",
                )
                answers[attempt] = None if answer is None else answer.status
                if answer is None:
                    break
                await asyncio.sleep(PAUSE_S)


async def play(deployment: harness.Deployment) -> bool:
    record = deployment.record
    bookings = Bookings(record)
    await deployment.store.configure(
        harness.configuration(
            [
                harness.route("reserve", "non_idempotent", "lending"),
                harness.route(
                    "book", "non_idempotent", "lending", MaxAttempts=2
                ),
            ],
            [{"Name": "lending", "MaxConnections": 110}],
        )
    )
    for number in range(TARGETS):
        name = f"i-{number}"
        faulty = number < FAULTY and harness.has_trouble()
        await deployment.add_worker(
            name,
            bookings.script(name, faulty=faulty),
            "a",
            service="lending",
            Slots=6,
        )
    await deployment.start_instances("aa")
    bookings.garble_at = record.now() + GARBLE_AT_S
    answers: dict[str, int | None] = {}
    await asyncio.gather(
        *(
            call(record, deployment.instances[number % 2], number, answers)
            for number in range(CALLERS)
        )
    )
    twice = sorted(key for key, count in bookings.runs.items() if count > 1)
    refused = sorted(
        key
        for key, status in answers.items()
        if status in (408, 421, 429, 503) and bookings.runs[key]
    )
    record.write(
        "result",
        requests=len(answers),
        garbled=bookings.garbled,
        run_twice=twice,
        refused_though_run=refused,
    )
    print(
        f"{len(answers)} requests, {bookings.garbled} answers with extra"
        f" bytes; run twice: {twice}; refused though run: {refused}"
    )
    served = sum(status == 200 for status in answers.values())
    if served < len(answers) / 2 or (
        harness.has_trouble() and not bookings.garbled
    ):
        raise RuntimeError("the deployment did not serve, or no trouble came")
    return bool(twice)


harness.run_case(__file__, play)
