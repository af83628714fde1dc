"""Memory and descriptors of ``serve`` under crowds of untrusted callers.

The crowds are those of the gateway. Their members have a valid key, as the
bodies of others are discarded while they arrive.
"""

import asyncio
import signal

import msgspec
import pytest

from sassafrasflow.fakes import processes
from tests import crowds

MEMBERS = 100
FEW_MEMBERS = 40
# A process that has served one request has 73 MB.
MEMORY_MB = 100
# How long the service keeps a call.
HOLD_S = 1.5
# A stream of so many tokens exceeds what the kernel holds for a slow reader.
STREAM_TOKENS = 3000
SETTINGS = {
    "api": {
        "max_body_bytes": crowds.BODY_BYTES,
        "max_head_bytes": crowds.HEAD_BYTES,
        "head_timeout_ms": 3000,
        "max_held_bytes": 8 << 20,
        "max_connections": 480,
    },
    "generations": {
        "kept_bytes": 4 << 20,
        "replication": {"max_bytes": 4 << 20},
    },
    "limits": {"calls_per_worker": 400},
}
AUTH = {"authorization": f"Bearer {processes.CALLER_KEY}"}


def write_head(path="/services/booking/crowd", *, method="GET", **named):
    """Return the head of a request with a valid key."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: club.example",
        f"Authorization: Bearer {processes.CALLER_KEY}",
    ]
    lines += [f"{k.replace('_', '-')}: {v}" for k, v in named.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def completion(*, prompt="Hello", **fields):
    """Return a whole request for a completion."""
    body = msgspec.json.encode(
        {"model": processes.MODEL, "prompt": prompt, **fields}
    )
    head = write_head(
        "/v1/completions", method="POST", Content_Length=len(body)
    )
    return head + body


@pytest.fixture
async def entry(deployment):
    """Return an instance with an engine and a slow service."""
    await deployment.engine("engine-0", capacity=400, token_interval_ms=1.0)
    service = await deployment.service("booking-0")
    await deployment.configure_fake(
        service, "behaviour", delay_before_ms=1000 * HOLD_S
    )
    process = await deployment.entry("entry-0", **SETTINGS)
    await check_ordinary_requests(deployment, process)
    return process


async def check_ordinary_requests(deployment, entry):
    """Check that an ordinary call and an ordinary completion are answered."""
    call = await deployment.http.get(
        f"{entry.url}/services/booking/x", headers=AUTH
    )
    assert call.status_code == 200, call.text
    body = {"model": processes.MODEL, "prompt": "Hello", "max_tokens": 8}
    answer = await deployment.http.post(
        f"{entry.url}/v1/completions", json=body, headers=AUTH
    )
    assert answer.status_code == 200, answer.text


def check_bounds(entry):
    """Check that the process lives, and its memory and descriptors."""
    assert entry.is_running
    peak_mb = crowds.read_status(entry.pid, "VmHWM:") / 1024
    fds = crowds.count_fds(entry.pid)
    print(f"peak {peak_mb:.1f} MB, {fds} descriptors")
    assert peak_mb <= MEMORY_MB
    assert fds <= crowds.MAX_FDS - crowds.RESERVED_FDS


async def check_crowd(
    deployment, entry, count, pieces, *, reads=True, wait_s=0.0
):
    """Check an instance during and after the requests of a crowd."""
    async with crowds.Crowd(entry.port, reads_slowly=not reads) as crowd:
        await crowd.send(count, pieces)
        await asyncio.sleep(wait_s)
        await crowds.settle(entry.pid, lambda: not entry.is_running)
        check_bounds(entry)
        await check_ordinary_requests(deployment, entry)
    await check_ordinary_requests(deployment, entry)
    check_bounds(entry)


@pytest.mark.crowd
@pytest.mark.processes
class TestLargeBodies:
    """Bodies over the limit are held until their connections close."""

    async def test_announced_over_the_limit(self, deployment, entry):
        size = 32 * crowds.BODY_BYTES
        pieces = crowds.with_length(size, 2 * crowds.BODY_BYTES, write_head)
        await check_crowd(deployment, entry, MEMBERS, pieces)

    async def test_sent_over_the_limit(self, deployment, entry):
        pieces = crowds.chunked(
            2 * crowds.BODY_BYTES, crowds.PIECE_BYTES, write_head
        )
        await check_crowd(deployment, entry, MEMBERS, pieces)


@pytest.mark.crowd
@pytest.mark.processes
class TestManyBodies:
    """Bodies of legal size together exceed the memory."""

    async def test_whole(self, deployment, entry):
        content = b"".join(
            crowds.with_length(crowds.BODY_BYTES, write_head=write_head)
        )
        await check_crowd(deployment, entry, MEMBERS, [content])

    async def test_whole_prompts(self, deployment, entry):
        prompt = "b" * (crowds.BODY_BYTES - 1024)
        content = completion(prompt=prompt, max_tokens=8)
        await check_crowd(deployment, entry, MEMBERS, [content])

    async def test_in_pieces(self, deployment, entry):
        pieces = crowds.with_length(crowds.BODY_BYTES, write_head=write_head)
        await check_crowd(deployment, entry, MEMBERS, pieces)

    async def test_stopping_short(self, deployment, entry):
        size = crowds.BODY_BYTES
        pieces = crowds.with_length(size, size - 1, write_head)
        await check_crowd(deployment, entry, MEMBERS, pieces)

    async def test_large_chunks_stopping_short(self, deployment, entry):
        pieces = crowds.chunked(
            crowds.BODY_BYTES, crowds.PIECE_BYTES, write_head
        )
        await check_crowd(deployment, entry, MEMBERS, pieces)

    async def test_one_byte_chunks_stopping_short(self, deployment, entry):
        pieces = crowds.chunked(crowds.BODY_BYTES, 1, write_head)
        await check_crowd(deployment, entry, 60, pieces)

    async def test_pipelined(self, deployment, entry):
        body = b"".join(
            crowds.with_length(crowds.BODY_BYTES, write_head=write_head)
        )
        await check_crowd(deployment, entry, 20, [body] * 9)

    async def test_small_pipelined(self, deployment, entry):
        content = write_head() * 2000
        await check_crowd(deployment, entry, MEMBERS, [content])


@pytest.mark.crowd
@pytest.mark.processes
class TestHeadsAndConnections:
    """Heads and connections themselves take memory and descriptors."""

    async def test_long_heads_stopping_short(self, deployment, entry):
        pieces = crowds.long_head(write_head)
        await check_crowd(deployment, entry, 4 * MEMBERS, pieces)

    async def test_connections_without_a_byte(self, deployment, entry):
        await check_crowd(deployment, entry, crowds.MAX_FDS, [])


@pytest.mark.crowd
@pytest.mark.processes
class TestAnswers:
    """What is buffered for callers that don't read exceeds the memory."""

    async def test_streams_that_callers_do_not_read(self, deployment, entry):
        content = completion(max_tokens=STREAM_TOKENS, stream=True)
        await check_crowd(
            deployment, entry, MEMBERS, [content], reads=False, wait_s=4.0
        )


@pytest.mark.crowd
@pytest.mark.processes
class TestStop:
    """A crowd keeps a stopping instance from its end, or exhausts it."""

    async def test_bodies_during_sigterm(self, entry):
        async with crowds.Crowd(entry.port) as crowd:
            size = crowds.BODY_BYTES
            sending = asyncio.create_task(
                crowd.send(
                    MEMBERS, crowds.with_length(size, size - 1, write_head)
                )
            )
            await asyncio.sleep(0.2)
            check_bounds(entry)
            entry.send_signal(signal.SIGTERM)
            await sending
            if entry.is_running:
                check_bounds(entry)
            async with asyncio.timeout(40):
                assert await entry.wait() == 0
