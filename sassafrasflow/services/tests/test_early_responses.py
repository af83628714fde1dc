"""Calls and streams of ``serve`` to targets that answer early and reset."""

import pytest

from sassafrasflow import engines
from sassafrasflow import exceptions
from sassafrasflow import generations
from sassafrasflow import observability
from sassafrasflow import routing
from sassafrasflow import services
from sassafrasflow.fakes import early_target
from sassafrasflow.generations import streams

LONG_BODY = b"b" * (8 << 20)
HEAD = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 10\r\n\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n4\r\n"
# Without a length, shorter than its length, and without the last chunk.
PARTS = [b"\r\nhalf", LENGTH + b"half", CHUNKED + b"half\r\n"]
TIMEOUT_S = 5.0

each_delay = pytest.mark.parametrize("delay_s", [0.0, 0.002, 0.05])
each_end = pytest.mark.parametrize("lingers", [False, True])


async def call(target, method="POST", body=LONG_BODY):
    client = services.HttpService(f"http://127.0.0.1:{target.port}")
    try:
        req = services.ServiceRequest(method, "/x", body=body)
        return await client.call(req, TIMEOUT_S)
    finally:
        await client.close()


class TestCalls:
    """Guard against a part of a response that is taken for a whole one.

    The reset comes from SO_LINGER, or from the target's kernel as bytes of
    the request are unread.
    """

    @each_delay
    @each_end
    @pytest.mark.parametrize("part", PARTS)
    @pytest.mark.parametrize("body", [b"short", LONG_BODY])
    async def test_part_is_not_passed(self, part, body, lingers, delay_s):
        with early_target.EarlyTarget(
            HEAD + part, lingers=lingers, delay_s=delay_s
        ) as target:
            with pytest.raises(exceptions.TargetLost):
                await call(target, body=body)
            assert target.answered == 1

    @each_delay
    @each_end
    async def test_end_before_the_whole_request_is_no_end(
        self, lingers, delay_s
    ):
        with early_target.EarlyTarget(
            HEAD + PARTS[0], lingers=lingers, delay_s=delay_s, half_close=True
        ) as target:
            with pytest.raises(exceptions.TargetLost):
                await call(target)

    @each_end
    async def test_end_after_the_whole_request_is_one(self, lingers):
        with early_target.EarlyTarget(
            HEAD + PARTS[0],
            lingers=lingers,
            delay_s=0.05,
            half_close=True,
            read_bytes=len(LONG_BODY),
        ) as target:
            response = await call(target)
        assert (response.status, response.body) == (200, b"half")

    @each_delay
    @each_end
    async def test_head_is_whole_or_lost(self, lingers, delay_s):
        with early_target.EarlyTarget(
            HEAD + LENGTH, lingers=lingers, delay_s=delay_s
        ) as target:
            try:
                response = await call(target, "HEAD", b"")
            except exceptions.TargetLost:
                return
        assert (response.status, response.body) == (200, b"")


class TestStreams:
    """A stream is complete only with its last event.

    Guards against a reset, which the client takes for the end of a response
    without length, that ends an answer.
    """

    @each_delay
    @each_end
    @pytest.mark.parametrize("framing", [b"\r\n", LENGTH, CHUNKED])
    async def test_stream_is_lost(self, framing, lingers, delay_s):
        generation = generations.Generation("g", make_request())
        req = generation.begin_attempt("engine-0", "v1")
        timeouts = generations.AdaptiveTimeout(
            generations.AdaptiveTimeoutPolicy()
        )
        with early_target.EarlyTarget(
            HEAD + framing, lingers=lingers, delay_s=delay_s
        ) as target:
            client = engines.HttpEngine(f"http://127.0.0.1:{target.port}")
            stream = streams.AttemptStream(
                generation,
                client,
                routing.Choice("engine-0", "v1"),
                streams.StreamTimeouts(timeouts, timeouts),
                streams.StreamPolicy(),
                observability.Metrics(),
                lambda: None,
            )
            with pytest.raises(exceptions.TargetLost):
                await stream.start(req)
            await client.close()
        assert generation.state is generations.GenerationState.RUNNING
        # An engine that answers has not crashed.
        assert not stream.target_crashed


def make_request():
    return generations.GenerationRequest(
        organisation="club",
        key="k",
        model="planner",
        prompt="p" * len(LONG_BODY),
        sampling=engines.Sampling(max_tokens=5),
        fingerprint="f",
    )
