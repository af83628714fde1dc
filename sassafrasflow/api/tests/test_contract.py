"""Tests of the HTTP API for callers against an instance in this process."""

import asyncio
import re
import socket

import msgspec
import pytest

from sassafrasflow import exceptions
from sassafrasflow.fakes import engine as fake_engine
from sassafrasflow.fakes import in_process
from sassafrasflow.fakes import processes
from sassafrasflow.fakes import token_source

TEXT = {"model": in_process.MODEL, "prompt": "Hello", "max_tokens": 8}
CHAT = {
    "model": in_process.MODEL,
    "messages": [{"role": "user", "content": "Hello"}],
    "max_tokens": 8,
}
NOTE = {
    "title": "Add v2",
    "deadline": 4e9,
    "changes": [
        {
            "kind": "add",
            "subject": "version",
            "model": in_process.MODEL,
            "version": "v2",
        }
    ],
}
COMPLETIONS = "/v1/completions"
CHATS = "/v1/chat/completions"
MAX_BODY_BYTES = 100_000
TIMEOUT_S = 60.0


def without(name):
    return {key: value for key, value in TEXT.items() if key != name}


BAD = "400 malformed_request"
DENIED = "401 unauthenticated"
LONG = b" " * (MAX_BODY_BYTES + 1)
KEY = "idempotency-key"
LAST = {"last-event-id": "other:3:beef"}

# Path, body and headers of a request, then the expected status and reason
# and a word of the expected detail.
MISTAKES = [
    (COMPLETIONS, b"{", {}, BAD, "not a completion"),
    (COMPLETIONS, b"", {}, BAD, "not a completion"),
    (COMPLETIONS, b"[]", {}, BAD, "object"),
    (COMPLETIONS, b"\xff", {}, BAD, "completion"),
    (COMPLETIONS, without("model"), {}, BAD, "model"),
    (COMPLETIONS, without("prompt"), {}, BAD, "prompt"),
    (CHATS, TEXT, {}, BAD, "messages"),
    (COMPLETIONS, {**TEXT, "n": 2}, {}, BAD, "n is"),
    (CHATS, {**CHAT, "tools": [1]}, {}, BAD, "tools"),
    (COMPLETIONS, {**TEXT, "max_tokens": -1}, {}, BAD, "max_tokens"),
    (COMPLETIONS, TEXT, {KEY: "k" * 201}, BAD, "Idempotency-Key"),
    (COMPLETIONS, {**TEXT, "model": "x"}, {}, "404 unknown_model", "x"),
    (COMPLETIONS, TEXT, LAST, "409 generation_mismatch", "Last-Event-ID"),
    (COMPLETIONS, TEXT, {"authorization": "Bearer no"}, DENIED, "key"),
    (COMPLETIONS, TEXT, {"authorization": "Basic Zm9v"}, DENIED, "key"),
    (COMPLETIONS, LONG, {}, "413 body_too_large", ""),
    (COMPLETIONS, TEXT, {"x": "y" * 40_000}, "431 head_too_large", "head"),
    ("/v1/none", TEXT, {}, "404 not_found", ""),
    ("/healthz", TEXT, {}, "405 method_not_allowed", ""),
    ("/services/none/a", TEXT, {}, "404 unknown_service", "none"),
    ("/services/booking/a", TEXT, {}, "400 key_required", "Idempotency"),
    ("/operator/notes", TEXT, {}, DENIED, "key"),
]


@pytest.fixture
async def stage():
    async with in_process.InProcessDeployment(
        fake_engine.Behaviour(token_interval_ms=1.0),
        api={"max_body_bytes": MAX_BODY_BYTES},
    ) as running:
        yield running


async def until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


def refusals(stage, reason):
    name = f'sassafrasflow_refusals_total{{reason="{reason}"}} '
    lines = stage.entry.metrics.render().splitlines()
    return next(int(x.split()[-1]) for x in lines if x.startswith(name))


def events_of(text):
    """Return (event, id, data) of each event of a stream."""
    for block in text.strip().split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.split("\n"))
        yield fields.get("event"), fields.get("id"), fields["data"]


class TestMistakes:
    @pytest.mark.parametrize(
        ("path", "body", "headers", "expected", "word"), MISTAKES
    )
    async def test_gives_a_problem_document(
        self, stage, path, body, headers, expected, word
    ):
        status, reason = expected.split()
        if not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        async with stage.client() as http:
            resp = await http.post(path, content=body, headers=headers)
        assert resp.status_code == int(status), resp.text
        assert resp.headers["content-type"] == "application/problem+json"
        problem = resp.json()
        assert problem["reason"] == reason
        assert problem["ran"] == "no" or reason == "generation_mismatch"
        assert problem["status"] == int(status)
        assert word in problem["detail"]
        assert problem["error"]["message"] == problem["detail"]
        assert problem["error"]["code"] == reason
        assert refusals(stage, reason) == 1

    @pytest.mark.parametrize(
        ("key", "reason"),
        [
            (processes.CALLER_KEY, b"body_too_large"),
            ("wrong", b"unauthenticated"),
        ],
    )
    async def test_endless_body_is_refused_and_cut(self, stage, key, reason):
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", stage.entry.port
        )
        writer.write(
            b"POST /v1/completions HTTP/1.1\r\nhost: a\r\n"
            + f"authorization: Bearer {key}\r\n".encode()
            + b"transfer-encoding: chunked\r\n\r\n"
        )
        answer = asyncio.create_task(reader.readuntil(b'"ran"'))
        with pytest.raises(ConnectionError):
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    writer.write(b"2710\r\n" + b" " * 10_000 + b"\r\n")
                    await writer.drain()
                    await asyncio.sleep(0)
        assert b'"reason":"' + reason in await answer
        assert not any(engine.log for engine in stage.engines)
        writer.close()

    @pytest.mark.parametrize(
        ("sent", "reason"),
        [
            (b"NONSENSE\r\n\r\n", b"malformed_request"),
            (b"GET / HTTP/1.1\r\nA: " + b"b" * 70_000, b"head_too_large"),
            (b"GET /" + b"b" * 70_000, b"head_too_large"),
            (b"GET / HTTP/1.1\r\n", b"head_timeout"),
        ],
    )
    async def test_bad_head(self, sent, reason):
        async with in_process.InProcessDeployment(
            api={"head_timeout_ms": 100}
        ) as stage:
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", stage.entry.port
            )
            writer.write(sent)
            async with asyncio.timeout(TIMEOUT_S):
                answer = await reader.read()
            writer.close()
        assert b"application/problem+json" in answer
        assert b'"reason":"' + reason in answer

    @pytest.mark.parametrize(
        ("method", "path"),
        [("POST", "/operator/notes"), ("GET", "/operator/notes/none")],
    )
    async def test_platform_down_is_reported_to_operators(
        self, stage, method, path
    ):
        await stage.stop_platform()
        async with stage.client(processes.OPERATOR_KEY) as http:
            resp = await http.request(method, path, json=NOTE)
        assert resp.status_code == 503
        assert resp.json()["reason"] == "platform_unavailable"
        assert resp.json()["ran"] == "unknown"
        assert int(resp.headers["retry-after"]) > 0


class TestStream:
    async def test_events_name_their_position_and_end(self, stage):
        async with stage.client() as http:
            resp = await http.post(COMPLETIONS, json={**TEXT, "stream": True})
        *tokens, last, done = events_of(resp.text)
        assert done == (None, None, "[DONE]")
        end = msgspec.json.decode(last[2])["choices"][0]
        assert end["finish_reason"] == "length"
        generation = resp.headers["x-generation"]
        for _, event_id, data in [*tokens, last]:
            assert event_id.split(":")[0] == generation
            assert msgspec.json.decode(data)["id"] == generation
        assert last[1].split(":")[1] == str(TEXT["max_tokens"])
        assert resp.headers["idempotency-key"]

    async def test_chat_begins_with_the_role(self, stage):
        async with stage.client() as http:
            resp = await http.post(CHATS, json={**CHAT, "stream": True})
        first = next(events_of(resp.text))
        delta = msgspec.json.decode(first[2])["choices"][0]["delta"]
        assert delta == {"role": "assistant", "content": ""}

    @pytest.mark.parametrize("position", [0, 1, 4, -2])
    async def test_retry_continues_after_last_event(self, stage, position):
        body = {**TEXT, "stream": True}
        headers = {"idempotency-key": "plan-1"}
        async with stage.client() as http:
            full_response = await http.post(
                COMPLETIONS, json=body, headers=headers
            )
            events = list(events_of(full_response.text))
            headers["last-event-id"] = events[position][1]
            rest = await http.post(COMPLETIONS, json=body, headers=headers)
        index = int(events[position][1].split(":")[1])
        answer = token_source.greedy_answer(
            in_process.MODEL,
            in_process.VERSION,
            TEXT["prompt"],
            TEXT["max_tokens"],
        )
        text = "".join(
            msgspec.json.decode(data)["choices"][0]["text"]
            for _, _, data in events_of(rest.text)
            if data != "[DONE]"
        )
        assert answer.endswith(text)
        assert len(text.split()) == TEXT["max_tokens"] - index

    async def test_key_with_other_body_is_refused(self, stage):
        headers = {"idempotency-key": "plan-1"}
        async with stage.client() as http:
            await http.post(COMPLETIONS, json=TEXT, headers=headers)
            other = {**TEXT, "prompt": "Other"}
            resp = await http.post(COMPLETIONS, json=other, headers=headers)
        assert resp.status_code == 422
        assert resp.json()["reason"] == "key_reused"

    async def test_refusal_inside_stream_is_counted(self, stage):
        for engine in stage.engines:
            engine.behaviour.failing_versions = [in_process.VERSION]
        reason = exceptions.RefusalReason.RETRIES_EXHAUSTED.value
        async with stage.client() as http:
            resp = await http.post(COMPLETIONS, json={**TEXT, "stream": True})
        *_, (event, _, data) = events_of(resp.text)
        problem = msgspec.json.decode(data)
        assert event == "error"
        assert problem["ran"] in ("no", "unknown")
        assert problem["reason"] in (reason, "no_target")
        assert refusals(stage, problem["reason"]) == 1
        assert "[DONE]" not in resp.text

    async def test_request_id_is_returned(self, stage):
        async with stage.client() as http:
            accepted = await http.get(
                "/healthz", headers={"x-request-id": "abc-1"}
            )
            invalid = await http.get(
                "/healthz", headers={"x-request-id": "a b\tc"}
            )
        assert accepted.headers["x-request-id"] == "abc-1"
        assert invalid.headers["x-request-id"] not in ("", "a b\tc")


class TestSlowReader:
    TOKENS = 2_000
    SOCKET_BUFFER_BYTES = 4096
    # The transport pauses its writer at 64 KiB; one more event may follow.
    MAX_BUFFERED_BYTES = 80 << 10

    async def test_is_held_back_without_filling_memory(self):
        behaviour = fake_engine.Behaviour(token_interval_ms=0.02)
        async with in_process.InProcessDeployment(
            behaviour, api={"send_buffer_bytes": self.SOCKET_BUFFER_BYTES}
        ) as stage:
            reader, writer = await self._send_request(stage)
            await until(lambda: stage.entry.http_connections)
            (conn,) = stage.entry.http_connections
            await until(lambda: conn.flow.write_paused)
            assert stage.entry.registry.running
            buffered_bytes = conn.transport.get_write_buffer_size()
            await until(lambda: not stage.entry.registry.running)
            # The generation has ended, but the buffer has not grown.
            assert conn.transport.get_write_buffer_size() == buffered_bytes
            assert buffered_bytes <= self.MAX_BUFFERED_BYTES
            writer.transport.resume_reading()
            async with asyncio.timeout(TIMEOUT_S):
                received = await reader.readuntil(b"data: [DONE]")
            texts = re.findall(rb'"text":"([^"]*)"', received)
            assert b"".join(texts).decode() == token_source.greedy_answer(
                in_process.MODEL,
                in_process.VERSION,
                TEXT["prompt"],
                self.TOKENS,
            )
            writer.close()

    async def test_is_cut_off_when_it_reads_nothing(self):
        behaviour = fake_engine.Behaviour(token_interval_ms=0.02)
        bounds = {
            "send_buffer_bytes": self.SOCKET_BUFFER_BYTES,
            "reader_timeout_ms": 100,
        }
        async with in_process.InProcessDeployment(
            behaviour, api=bounds
        ) as stage:
            _, writer = await self._send_request(stage)
            metrics = stage.entry.metrics
            cut = "sassafrasflow_readers_cut_total 1"
            await until(lambda: cut in metrics.render())
            await until(lambda: not stage.entry.http_connections)
            writer.close()

    async def _send_request(self, stage):
        sock = socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self.SOCKET_BUFFER_BYTES
        )
        sock.connect(("127.0.0.1", stage.entry.port))
        reader, writer = await asyncio.open_connection(
            sock=sock, limit=1 << 24
        )
        writer.transport.pause_reading()
        body = msgspec.json.encode(
            {**TEXT, "max_tokens": self.TOKENS, "stream": True}
        )
        writer.write(
            b"POST /v1/completions HTTP/1.1\r\nhost: a\r\n"
            + f"authorization: Bearer {processes.CALLER_KEY}\r\n".encode()
            + f"content-length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()
        return reader, writer
