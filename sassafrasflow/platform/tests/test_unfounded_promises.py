"""Answers of targets whose status promises what the target doesn't state."""

import pytest

from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

BOOK, READ, PLAN = "/book/1", "/read/1", "/plan/1"
PROMISES = [408, 429, 503]
SEAL = "x-response-seal"
# Further headers and body of an answer, or None for one without a length.
FORMS = {
    "body": ({}, b"{}"),
    "no-body": ({}, b""),
    "pause": ({"Retry_After": "1"}, b"{}"),
    "close": ({"Connection": "close"}, b"{}"),
    "event-stream": ({"Content_Type": "text/event-stream"}, b"id: 1\n\n"),
    "no-length": ({}, None),
}


class Desk:
    """Script of a target that runs bookings and answers with one status."""

    def __init__(self, status, headers=None, body=b"{}") -> None:
        self.ran: list[str] = []
        self._status = status
        self._headers = headers or {}
        self._body = body

    async def __call__(self, conn, req):
        attempt = req.headers[standins.ATTEMPT]
        self.ran.append(attempt)
        if self._body is None:
            lines = [
                f"HTTP/1.1 {self._status} Any",
                f"X-Request-Attempt-Id: {attempt}",
                "X-Response-Seal: sealed",
                "",
                "part",
            ]
            await conn.send("\r\n".join(lines).encode())
            conn.writer.close()
            return
        await conn.answer(
            self._status,
            self._body,
            X_Request_Attempt_Id=attempt,
            X_Response_Seal="sealed",
            **self._headers,
        )


async def request(fleet, path, attempt="a1", method="POST"):
    async with fleet.caller() as caller:
        return await caller.request(
            path,
            method=method,
            body=b"" if method == "HEAD" else b"seat",
            attempt=attempt,
            X_Token_Counts="100,10",
        )


async def start(fleet, script, *, resumable=True, max_targets=1):
    """Start an instance with one target."""
    cfg = documents.configuration()
    cfg["Routes"][1]["MaxAttempts"] = max_targets
    cfg["Routes"][2]["Resumable"] = resumable
    await fleet.store.configure(cfg)
    await fleet.add_worker("w1", script)
    return await fleet.start()


def check_withheld(fleet, answer, status):
    """Check that a caller is not told that its request has not run."""
    assert answer.status == 502
    assert SEAL not in answer.headers
    assert "retry-after" not in answer.headers
    (line,) = fleet.events("answer_withheld")
    assert line["status"] == status and line["target"] == "w1"


class TestRequestsThatMayRunOnce:
    """Guard against bookings that callers repeat though they have run."""

    @pytest.mark.parametrize("status", PROMISES)
    @pytest.mark.parametrize("form", FORMS)
    async def test_call_is_answered_as_unknown(self, fleet, status, form):
        desk = Desk(status, *FORMS[form])
        await start(fleet, desk)
        answer = await request(fleet, BOOK)
        check_withheld(fleet, answer, status)
        assert desk.ran == ["a1"]

    @pytest.mark.parametrize("status", PROMISES)
    async def test_head_request_is_answered_as_unknown(self, fleet, status):
        await start(fleet, Desk(status, body=b""))
        answer = await request(fleet, BOOK, method="HEAD")
        check_withheld(fleet, answer, status)

    @pytest.mark.parametrize("status", PROMISES)
    async def test_stream_that_may_not_be_resumed(self, fleet, status):
        await start(fleet, Desk(status), resumable=False)
        answer = await request(fleet, PLAN)
        check_withheld(fleet, answer, status)

    async def test_answer_on_a_used_connection(self, fleet):
        desk = Desk(200)
        await start(fleet, desk)
        assert (await request(fleet, BOOK, "first")).status == 200
        desk._status = 503
        check_withheld(fleet, await request(fleet, BOOK), 503)

    async def test_try_that_was_not_run_before_proves_nothing(self, fleet):
        full = Desk(503, {"X_Not_Executed": "1"})
        gateway = await start(fleet, full, max_targets=2)
        desk = Desk(503)
        await fleet.add_worker("w2", desk)
        await fleets.wait_until(lambda: len(gateway.directory.targets()) == 2)
        for number in range(8):
            answer = await request(fleet, BOOK, f"a{number}")
            assert answer.status == 502
        assert set(full.ran) & set(desk.ran)

    async def test_withheld_answers_count_against_a_version(self, fleet):
        gateway = await start(fleet, Desk(429))
        recorded = []
        gateway.access.rollouts.record_answer = (
            lambda target, route, *, failed, took_s: recorded.append(failed)
        )
        await request(fleet, BOOK)
        assert recorded == [True]


class TestStatedStatuses:
    """What a target states is told as before."""

    @pytest.mark.parametrize("status", PROMISES)
    async def test_call_that_was_not_run_is_refused_as_such(
        self, fleet, status
    ):
        await start(fleet, Desk(status, {"X_Not_Executed": "1"}))
        assert (await request(fleet, BOOK)).status == 503
        assert not fleet.events("answer_withheld")

    async def test_misdirected_call_is_refused_as_not_run(self, fleet):
        await start(fleet, Desk(421))
        assert (await request(fleet, BOOK)).status == 503

    @pytest.mark.parametrize("status", [400, 404, 409, 500, 502, 504])
    async def test_status_without_a_promise_is_passed_on(self, fleet, status):
        await start(fleet, Desk(status))
        answer = await request(fleet, BOOK)
        assert answer.status == status
        assert answer.headers[SEAL] == "sealed"

    @pytest.mark.parametrize("path", [READ, PLAN])
    @pytest.mark.parametrize("status", PROMISES)
    async def test_retryable_request_gets_the_target_s_answer(
        self, fleet, path, status
    ):
        await start(fleet, Desk(status))
        answer = await request(fleet, path)
        assert answer.status == status
        assert answer.headers[SEAL] == "sealed"
