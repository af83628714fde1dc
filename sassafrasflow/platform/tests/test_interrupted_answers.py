"""Targets that begin an answer before they have ended another one."""

import asyncio
import contextlib
import itertools

import pytest

from sassafrasflow.gateway import calls
from sassafrasflow.gateway import connections
from sassafrasflow.platform import headers
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import standins
from sassafrasflow.platform.tests.test_extra_answers import BODY
from sassafrasflow.platform.tests.test_extra_answers import head
from sassafrasflow.platform.tests.test_extra_answers import in_chunks
from sassafrasflow.platform.tests.test_extra_answers import Target
from sassafrasflow.platform.tests.test_extra_answers import TIMEOUT_S
from sassafrasflow.platform.tests.test_extra_answers import with_length

ATTEMPT = "a1"
SEAL = "X-Response-Seal: success"
LONG_BODY = BODY * 20
# Step between the places where a long answer is interrupted.
LONG_STEP = 31


def without_length(status, attempt=None, *fields, body=BODY):
    """Return an answer that ends with its connection."""
    return head(status, attempt, *fields) + body


BEGUN = {
    "length": with_length(200, ATTEMPT, SEAL),
    "long": with_length(200, ATTEMPT, SEAL, body=LONG_BODY),
    "no-length": without_length(200, ATTEMPT, SEAL),
    "chunks": in_chunks(200, ATTEMPT, SEAL),
}
FOLLOWING = {
    "failure": with_length(500, ATTEMPT, "X-Response-Seal: failure"),
    "chunks": in_chunks(500, ATTEMPT),
    "no-id": with_length(500),
    "not-run": with_length(503, ATTEMPT, "X-Not-Executed: 1"),
    "earlier": with_length(200, "a0", "X-Response-Seal: earlier"),
}


TEXTS = {
    "example": b"Send this:\r\nHTTP/1.1 200 OK\r\nServer: a\r\n\r\nbody",
    "line": b"HTTP/1.1 200 OK",
    "id": b"X-Request-Attempt-Id: a1",
    "request": b"GET / HTTP/1.1\r\nX-Request-Attempt-Id: a1\r\n\r\n",
    "prefix": b"a body that ends in HTTP",
}
# Without a length and an id, nothing tells the second answer from a body.
PAIRS = [
    (begun, following)
    for begun, following in itertools.product(BEGUN, FOLLOWING)
    if (begun, following) != ("no-length", "no-id")
]


def places(answer):
    """Return the numbers of bytes after which an answer is interrupted."""
    return range(1, len(answer), LONG_STEP if len(answer) > 400 else 1)


async def read_interrupted(target, parts, *, close, timeout_s=0.05):
    """Return how an answer is read whose parts arrive one by one.

    Joined answers may be read until the deadline, sound ones are not.
    """
    conn, _, writer = await target.connect()
    conn.send(b"request")
    reading = asyncio.create_task(
        calls.read_answer(conn, headers.PlatformHeaders(), ATTEMPT)
    )
    for part in parts:
        writer.write(part)
        for _ in range(2):
            await asyncio.sleep(0)
    if close:
        writer.close()
    result = None
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            result = await reading
    conn.abort()
    return result


class TestInterruptedAnswers:
    """Guard against a success that holds the bytes of a failure."""

    @pytest.mark.parametrize("at_once", [True, False])
    @pytest.mark.parametrize("begun, following", PAIRS)
    async def test_caller_gets_no_joined_answer(
        self, begun, following, at_once
    ):
        first, second = BEGUN[begun], FOLLOWING[following]
        async with Target() as target:
            for size in places(first):
                parts = [first[:size], second]
                if at_once:
                    parts = [b"".join(parts)]
                result = await read_interrupted(
                    target, parts, close=begun == "no-length"
                )
                assert not isinstance(result, calls.TargetAnswer), size

    @pytest.mark.parametrize("begun", ["length", "long", "no-length"])
    async def test_extra_answer_within_the_own_one(self, begun):
        own, extra = BEGUN[begun], FOLLOWING["earlier"]
        async with Target() as target:
            for size in places(own):
                result = await read_interrupted(
                    target,
                    [own[:size] + extra + own[size:]],
                    close=begun == "no-length",
                )
                assert not isinstance(result, calls.TargetAnswer), size

    @pytest.mark.parametrize("size", [0, 1, 100])
    async def test_answer_that_never_reaches_its_length(self, size):
        # The caller must not wait until its deadline.
        begun = BEGUN["long"]
        first = begun[: len(begun) - len(LONG_BODY) + size]
        for second in ("failure", "chunks", "earlier"):
            for at_once in (True, False):
                parts = [first, FOLLOWING[second]]
                if at_once:
                    parts = [b"".join(parts)]
                async with Target() as target:
                    result = await read_interrupted(
                        target, parts, close=False, timeout_s=TIMEOUT_S
                    )
                assert result is connections.ConnectionEnd.GARBLED


class TestCutSecondAnswers:
    """Guard against second answers that show no id in an endless body."""

    @pytest.mark.parametrize("following", ["failure", "chunks", "not-run"])
    async def test_second_answer_is_cut_before_its_id_ends(self, following):
        first, second = BEGUN["no-length"], FOLLOWING[following]
        begin = second.index(b"\r\n") + len(b"\r\nX-")
        end = second.index(b"X-Request-Attempt-Id:")
        size = len(first) - len(BODY) + 10
        passed = []
        async with Target() as target:
            for cut in range(begin, max(end, begin + 2)):
                result = await read_interrupted(
                    target, [first[:size] + second[:cut]], close=True
                )
                if isinstance(result, calls.TargetAnswer):
                    passed.append(cut)
        assert not passed

    async def test_second_answer_without_an_id_ends_the_body(self):
        # Its own length ends where the connection does.
        first, second = BEGUN["no-length"], FOLLOWING["no-id"]
        async with Target() as target:
            result = await read_interrupted(
                target, [first[:-9] + second], close=True
            )
        assert not isinstance(result, calls.TargetAnswer)


class TestSoundAnswers:
    """Guard against sound answers that are taken for two."""

    async def test_prose_about_a_status_line_and_the_id(self):
        body = (
            b"An answer begins with HTTP/1.1 200 OK, for instance.\n\n"
            b"Headers of a request:\nX-Request-Attempt-Id: id of the try\n"
        )
        async with Target() as target:
            result = await read_interrupted(
                target,
                [with_length(200, ATTEMPT, SEAL, body=body)],
                close=False,
                timeout_s=TIMEOUT_S,
            )
        assert isinstance(result, calls.TargetAnswer)
        assert result.body == body

    @pytest.mark.parametrize("text", TEXTS)
    @pytest.mark.parametrize("close", [False, True])
    async def test_body_about_http_is_passed_on(self, text, close):
        body = TEXTS[text]
        make = without_length if close else with_length
        async with Target() as target:
            result = await read_interrupted(
                target,
                [make(200, ATTEMPT, SEAL, body=body)],
                close=close,
                timeout_s=TIMEOUT_S,
            )
        assert result.body == body

    @pytest.mark.parametrize(
        "extra", [with_length(500, ATTEMPT), b"HTTP/1.1 500", b"\0garbage"]
    )
    async def test_bytes_after_a_whole_answer_change_nothing(self, extra):
        async with Target() as target:
            result = await read_interrupted(
                target,
                [BEGUN["length"] + extra],
                close=False,
                timeout_s=TIMEOUT_S,
            )
        assert (result.status, result.body) == (200, BODY)


class FailingWorker:
    """Begin some answers of success, and answer a failure instead."""

    def __init__(self, begun):
        self.runs = {}
        self.failed = set()
        self._begun = begun
        self._numbers = itertools.count()

    async def __call__(self, conn, req):
        attempt = req.headers[standins.ATTEMPT]
        self.runs[attempt] = self.runs.get(attempt, 0) + 1
        keep = "Keep-Alive: timeout=15"
        if next(self._numbers) % 3:
            await conn.send(with_length(200, attempt, SEAL, keep))
            return
        self.failed.add(attempt)
        make = without_length if self._begun == "no-length" else with_length
        success = make(200, attempt, SEAL, body=LONG_BODY)
        await conn.send(
            success[: -len(LONG_BODY) + 10] + with_length(500, attempt)
        )
        if self._begun == "no-length":
            conn.close()
        elif self._begun == "filled":
            await conn.send(b"x" * len(LONG_BODY))


class TestCallers:
    """Guard against callers that get a success where the target failed."""

    @pytest.mark.parametrize("kind", ["book", "read"])
    @pytest.mark.parametrize("begun", ["filled", "no-length"])
    async def test_success_is_whole(self, fleet, begun, kind):
        routes = [
            documents.route("book", "non_idempotent", MaxAttempts=2),
            documents.route("read", "idempotent", MaxAttempts=2),
        ]
        await fleet.store.configure(documents.configuration(Routes=routes))
        worker = FailingWorker(begun)
        await fleet.add_worker("w1", worker)
        await fleet.start()
        async with fleet.caller() as caller:
            for number in range(9):
                attempt = f"r{number}"
                answer = await caller.request(
                    f"/{kind}/{number}",
                    method="POST" if kind == "book" else "GET",
                    attempt=attempt,
                    X_Deadline_Remaining="500",
                )
                if kind == "book":
                    assert worker.runs[attempt] == 1
                if answer.status == 200:
                    assert answer.body == BODY
                else:
                    assert attempt in worker.failed
        assert fleet.events("answer_joined")


class TestStreams:
    """Guard against streams that hold the head of another answer."""

    @pytest.mark.parametrize("size", [0, 1, 9, 20, 30])
    async def test_second_answer_is_not_passed_on(self, fleet, size):
        events = [f"id: {n}\ndata: token-{n}\n\n" for n in range(4)]
        stream = "Content-Type: text/event-stream"

        async def script(conn, req):
            attempt = req.headers[standins.ATTEMPT]
            text = "".join(events).encode()
            second = with_length(200, attempt, stream, body=text)
            begun = without_length(200, attempt, stream, body=text[:size])
            await conn.send(begun + second)
            conn.close()

        await fleet.add_worker("w1", script)
        await fleet.start()
        async with fleet.caller() as caller:
            with contextlib.suppress(EOFError, OSError):
                answer = await caller.request(
                    "/plan/1", attempt="s1", X_Key="secret"
                )
                assert b"HTTP/1.1" not in answer.body

    @pytest.mark.parametrize("size", [15, 16, 18])
    async def test_start_of_an_answer_outside_data_is_not_passed_on(
        self, fleet, size
    ):
        text = b"id: 0\ndata: token-0\n\nid: 1\ndata: token-1\n\n"
        size += text.index(b"id: 1") - 14
        joined = text[:size] + b"HTTP/1.1 503 Some " + text[size:]

        async def script(conn, req):
            attempt = req.headers[standins.ATTEMPT]
            stream = "Content-Type: text/event-stream"
            await conn.send(without_length(200, attempt, stream, body=joined))
            conn.close()

        await fleet.add_worker("w1", script)
        await fleet.start()
        async with fleet.caller() as caller:
            with contextlib.suppress(EOFError, OSError):
                answer = await caller.request(
                    "/plan/1", attempt="s1", X_Key="secret"
                )
                assert b"HTTP/1.1" not in answer.body


class TestSoundStreams:
    """Guard against sound events that are taken for two answers."""

    @pytest.mark.parametrize(
        "event",
        [
            b"id: 1\ndata: HTTP/1.1 200 OK\ndata: Content-Length: 2\n\n",
            b"id: 1\ndata: HTTP/1.1 200 OK\r\ndata: Content-Length: 2\r\n\n",
            b'id: 1\ndata: {"text":"HTTP/1.1 200 OK\\r\\n"}\n\n',
        ],
        ids=["lines", "carriage-returns", "json"],
    )
    async def test_text_about_http_is_passed_on(self, fleet, event):
        text = b"id: 0\ndata: An example:\n\n" + event

        async def script(conn, req):
            attempt = req.headers[standins.ATTEMPT]
            stream = "Content-Type: text/event-stream"
            await conn.send(with_length(200, attempt, stream, body=text))

        await fleet.add_worker("w1", script)
        await fleet.start()
        async with fleet.caller() as caller:
            answer = await caller.request(
                "/plan/1", attempt="s1", X_Key="secret"
            )
        assert answer.complete
        assert answer.body == text
        assert not fleet.events("answer_joined")
