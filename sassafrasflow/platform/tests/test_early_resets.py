"""Targets that answer a long upload at once and reset the connection."""

import asyncio
import time

import pytest

from sassafrasflow.fakes import early_target
from sassafrasflow.gateway import connections
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins
from sassafrasflow.platform.tests.test_unanswered import events
from sassafrasflow.platform.tests.test_unanswered import LONG_BODY
from sassafrasflow.platform.tests.test_unanswered import START
from sassafrasflow.platform.tests.test_unanswered import with_limits

# A body in one read, and one that takes several.
SIZES = [1000, 80_000]
DELAYS_S = [0.0, 0.002, 0.05]
each_delay = pytest.mark.parametrize("delay_s", DELAYS_S)


def unread_target(answer, **options):
    """Return a target whose kernel sends the reset, as bytes are unread."""
    return early_target.EarlyTarget(answer, lingers=True, **options)


each_end = pytest.mark.parametrize(
    "make_target", [early_target.EarlyTarget, unread_target]
)


async def start(fleet, target, *, sound=None):
    """Start an instance with the target, and another one if given."""
    worker = standins.Worker("w1")
    worker.port = target.port
    await fleet.store.list_worker(worker)
    config = {**with_limits(MaxBodyBytes=2**26), "Version": 1}
    await fleet.store.configure(config)
    if sound is not None:
        await fleet.add_worker("w2", sound)
    gateway = await fleet.start()
    listed = 1 if sound is None else 2
    await fleets.wait_until(lambda: len(gateway.directory) == listed)
    return gateway


async def upload(fleet, kind, *, attempt="a1", method="POST"):
    async with fleet.caller() as caller:
        caller.send(
            f"/{kind}/1", method=method, body=LONG_BODY, attempt=attempt
        )
        return await caller.read()


def suspend_after_send(monkeypatch, suspend_s=0.3):
    """Stop this process after each upload until the reset has arrived."""
    send = connections.ClientConnection.send

    def send_before_a_stop(self, content):
        send(self, content)
        if len(content) >= len(LONG_BODY):
            time.sleep(suspend_s)

    monkeypatch.setattr(
        connections.ClientConnection, "send", send_before_a_stop
    )


@each_end
class TestPartOfAnAnswer:
    """Guard against a part of an answer that is passed on as a whole one.

    On another system, a target answered a long upload with a 200 that had no
    length, sent a part of its body and reset the connection.
    """

    @each_delay
    @pytest.mark.parametrize("size", SIZES)
    @pytest.mark.parametrize("kind", ["read", "book"])
    async def test_call_gets_no_part(
        self, fleet, make_target, kind, size, delay_s
    ):
        answer = START + b"\r\n" + b"a" * size
        with make_target(answer, delay_s=delay_s) as target:
            await start(fleet, target)
            response = await upload(fleet, kind)
            assert target.answered
        assert response.status == 502

    @pytest.mark.parametrize("size", SIZES)
    @pytest.mark.parametrize("kind", ["read", "book"])
    async def test_part_and_reset_in_one_read(
        self, fleet, make_target, monkeypatch, kind, size
    ):
        suspend_after_send(monkeypatch)
        with make_target(START + b"\r\n" + b"a" * size) as target:
            await start(fleet, target)
            response = await upload(fleet, kind)
        assert response.status == 502

    @each_delay
    async def test_retryable_call_is_answered_elsewhere(
        self, fleet, make_target, delay_s
    ):
        answer = START + b"\r\nhalf"
        with make_target(answer, delay_s=delay_s) as target:
            await start(fleet, target, sound=standins.answer_ok)
            for number in range(4):
                response = await upload(fleet, "read", attempt=f"a{number}")
                assert response.status == 200
                assert response.body == b"ran /read/1"

    @each_delay
    @pytest.mark.parametrize("part", [b"", b"id: 3\nda"])
    async def test_stream_goes_on_elsewhere(
        self, fleet, make_target, part, delay_s
    ):
        answer = START + b"\r\n" + events(1, 2) + part
        with make_target(answer, delay_s=delay_s) as target:
            await start(fleet, target, sound=standins.stream_script(5))
            for number in range(4):
                response = await upload(fleet, "plan", attempt="a1")
                assert (response.status, response.complete) == (200, True)
                assert response.body == events(1, 5), number

    @each_delay
    async def test_stream_that_can_go_nowhere_is_cut(
        self, fleet, make_target, delay_s
    ):
        answer = START + b"\r\n" + events(1, 2)
        with make_target(answer, delay_s=delay_s) as target:
            await start(fleet, target)
            response = await upload(fleet, "plan")
        assert response.status == 502 or not response.complete

    @each_delay
    async def test_upload_that_arrives_in_chunks(
        self, fleet, make_target, delay_s
    ):
        answer = START + b"\r\nhalf"
        with make_target(answer, delay_s=delay_s) as target:
            await start(fleet, target)
            async with fleet.caller() as caller:
                caller.send_raw(
                    caller.encode(
                        "/book/1",
                        method="POST",
                        Transfer_Encoding="chunked",
                    )
                )
                for _ in range(5):
                    caller.send_raw(b"2000\r\n" + b"a" * 8192 + b"\r\n")
                    await asyncio.sleep(0.02)
                # Nothing is sent to a target before the upload is whole.
                assert not target.answered
                caller.send_raw(b"0\r\n\r\n")
                response = await caller.read()
        assert response.status == 502

    @each_delay
    async def test_caller_that_reads_late(self, fleet, make_target, delay_s):
        answer = START + b"\r\n" + b"a" * 80_000
        with make_target(answer, delay_s=delay_s) as target:
            await start(fleet, target)
            async with fleet.caller() as caller:
                caller.send("/book/1", method="POST", body=LONG_BODY)
                await fleets.wait_until(lambda: target.answered)
                await asyncio.sleep(0.2)
                response = await caller.read()
        assert response.status == 502

    @each_delay
    @pytest.mark.parametrize("kind", ["read", "book", "plan"])
    async def test_caller_that_has_disconnected(
        self, fleet, make_target, kind, delay_s
    ):
        answer = START + b"\r\n" + events(1, 2)
        with make_target(answer, delay_s=delay_s) as target:
            gateway = await start(fleet, target)
            async with fleet.caller() as caller:
                caller.send(f"/{kind}/1", method="POST", body=LONG_BODY)
                await fleets.wait_until(lambda: target.answered)
            await fleets.wait_until(lambda: not gateway.dispatcher.in_flight)
        assert not fleet.events("internal_error")


@each_end
class TestHead:
    """An answer to HEAD is whole once its head is."""

    @each_delay
    @pytest.mark.parametrize("following", [b"", b"half"])
    async def test_head_before_a_reset_is_passed(
        self, fleet, make_target, following, delay_s
    ):
        answer = START + b"\r\n" + following
        with make_target(answer, delay_s=delay_s) as target:
            await start(fleet, target)
            async with fleet.caller() as caller:
                caller.send("/read/1", method="HEAD")
                head = await caller.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200")

    @each_delay
    async def test_part_of_a_head_is_not_passed(
        self, fleet, make_target, delay_s
    ):
        with make_target(START, delay_s=delay_s) as target:
            await start(fleet, target)
            async with fleet.caller() as caller:
                caller.send("/read/1", method="HEAD")
                head = await caller.reader.readuntil(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 502")


@each_end
class TestHalfClose:
    """A half-close ends an answer without length; a reset may follow.

    An answer that ends before the whole request was written is not complete.
    """

    @each_delay
    @pytest.mark.parametrize("kind", ["read", "book"])
    @pytest.mark.parametrize("size", SIZES)
    async def test_end_before_the_whole_request_is_no_end(
        self, fleet, make_target, kind, size, delay_s
    ):
        answer = START + b"\r\n" + b"a" * size
        with make_target(answer, delay_s=delay_s, half_close=True) as target:
            await start(fleet, target)
            response = await upload(fleet, kind)
        assert response.status == 502

    @pytest.mark.parametrize("kind", ["read", "book"])
    @pytest.mark.parametrize("size", SIZES)
    async def test_end_after_the_whole_request_is_one(
        self, fleet, make_target, kind, size
    ):
        body = b"a" * size
        with make_target(
            START + b"\r\n" + body, half_close=True, read_bytes=len(LONG_BODY)
        ) as target:
            await start(fleet, target)
            response = await upload(fleet, kind)
        assert (response.status, response.body) == (200, body)

    async def test_target_that_reads_no_further_is_left_in_time(
        self, fleet, make_target
    ):
        answer = START + b"\r\nhalf"
        with make_target(answer, delay_s=6.0, half_close=True) as target:
            await start(fleet, target)
            # The caller waits for 4 s.
            async with asyncio.timeout(5.5):
                response = await upload(fleet, "book")
        assert response.status in (502, 504)

    @each_delay
    async def test_answer_with_a_length_is_not_cut(
        self, fleet, make_target, delay_s
    ):
        answer = START + b"Content-Length: 10\r\n\r\nhalf"
        with make_target(answer, delay_s=delay_s, half_close=True) as target:
            await start(fleet, target)
            response = await upload(fleet, "book")
        assert response.status == 502

    @each_delay
    async def test_part_of_an_event_is_not_passed(
        self, fleet, make_target, delay_s
    ):
        answer = START + b"\r\n" + events(1, 2) + b"id: 3\nda"
        with make_target(answer, delay_s=delay_s, half_close=True) as target:
            await start(fleet, target, sound=standins.stream_script(5))
            response = await upload(fleet, "plan")
        assert (response.status, response.complete) == (200, True)
        assert response.body == events(1, 5)


class TestDroppedBytes:
    """A kernel may drop what it has received when a reset arrives."""

    @pytest.mark.parametrize("kind", ["read", "book"])
    @pytest.mark.parametrize("framed", [False, True])
    async def test_answer_is_refused(self, fleet, monkeypatch, kind, framed):
        def read_nothing(self):
            """Read no bytes, as from such a kernel."""

        monkeypatch.setattr(
            connections.ClientConnection, "_read_received", read_nothing
        )
        suspend_after_send(monkeypatch)
        length = b"Content-Length: 4\r\n" if framed else b""
        with early_target.EarlyTarget(START + length + b"\r\nhalf") as target:
            await start(fleet, target)
            response = await upload(fleet, kind)
        assert response.status in ((200, 502) if framed else (502,))
