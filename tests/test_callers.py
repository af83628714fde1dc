"""Contract with callers, and logs, with real processes."""

import asyncio
import json
import signal

import openai
import pytest

from sassafrasflow.fakes import processes
from sassafrasflow.fakes import token_source

PROMPT = "Draft a private observing plan."
TOKENS = 20
TIMEOUT_S = 60.0


@pytest.fixture
async def entry(deployment):
    await deployment.engine("engine-0", token_interval_ms=1.0)
    return await deployment.entry("entry-0", logs={"json": True})


def client(entry, key=processes.CALLER_KEY):
    return openai.AsyncOpenAI(
        base_url=f"{entry.url}/v1", api_key=key, max_retries=0
    )


class TestIndependentClient:
    """The published ``openai`` client works unchanged."""

    async def test_text_is_streamed(self, entry):
        async with client(entry) as caller:
            chunks = await caller.completions.create(
                model=processes.MODEL,
                prompt=PROMPT,
                max_tokens=TOKENS,
                stream=True,
            )
            received = [chunk async for chunk in chunks]
        assert "".join(
            chunk.choices[0].text for chunk in received
        ) == token_source.greedy_answer(
            processes.MODEL, processes.VERSION, PROMPT, TOKENS
        )
        assert received[-1].choices[0].finish_reason == "length"

    async def test_chat_is_streamed_and_whole(self, entry):
        request = {
            "model": processes.MODEL,
            "messages": [{"role": "user", "content": PROMPT}],
            "max_completion_tokens": TOKENS,
        }
        async with client(entry) as caller:
            chunks = await caller.chat.completions.create(
                **request, stream=True
            )
            received = [chunk.choices[0] async for chunk in chunks]
            whole = await caller.chat.completions.create(**request)
        streamed = "".join(choice.delta.content or "" for choice in received)
        assert received[0].delta.role == "assistant"
        assert received[-1].finish_reason == "length"
        assert whole.choices[0].message.content == streamed
        assert len(streamed.split()) == TOKENS
        assert whole.usage.completion_tokens == TOKENS

    @pytest.mark.parametrize(
        ("key", "model", "error"),
        [
            ("wrong", processes.MODEL, openai.AuthenticationError),
            (processes.CALLER_KEY, "none", openai.NotFoundError),
        ],
    )
    async def test_refusal_raises_error(self, entry, key, model, error):
        async with client(entry, key) as caller:
            with pytest.raises(error) as caught:
                await caller.completions.create(model=model, prompt=PROMPT)
        assert caught.value.body["message"]
        assert caught.value.request_id

    async def test_refusal_inside_a_stream_raises_error(self, deployment):
        entry = await deployment.entry(
            "entry-0", generations={"no_target_wait_ms": 100}
        )
        async with client(entry) as caller:
            chunks = await caller.completions.create(
                model=processes.MODEL, prompt=PROMPT, stream=True
            )
            with pytest.raises(openai.APIError) as caught:
                async for _ in chunks:
                    pass
        assert caught.value.code == "no_target"


class TestProcess:
    async def test_logs_have_request_ids_and_no_secrets(
        self, deployment, entry
    ):
        headers = {
            "authorization": f"Bearer {processes.CALLER_KEY}",
            "x-request-id": "req-1",
        }
        body = {
            "model": processes.MODEL,
            "prompt": PROMPT,
            "max_tokens": 100_000,
            "stream": True,
        }
        url = f"{entry.url}/v1/completions"
        async with deployment.http.stream(
            "POST", url, json=body, headers=headers
        ) as resp:
            generation = resp.headers["x-generation"]
            lines = resp.aiter_lines()
            async for line in lines:
                if line.startswith("id: ") and int(line.split(":")[2]) > 2:
                    break
            deployment.processes["engine-0"].kill()
            async for _ in lines:
                pass
        lines = [
            json.loads(line)
            for line in deployment.read_log("entry-0").splitlines()
        ]
        request_lines = [
            line for line in lines if line.get("request") == "req-1"
        ]
        assert any(
            line.get("generation") == generation for line in request_lines
        )
        assert all(": " in line["message"] for line in lines)
        text = deployment.read_log("entry-0")
        assert PROMPT not in text
        assert processes.CALLER_KEY not in text
        assert processes.OPERATOR_KEY not in text
        metrics = await deployment.http.get(f"{entry.url}/metrics")
        assert "sassafrasflow_first_token_seconds_count 1" in metrics.text
        assert "sassafrasflow_inter_token_seconds_count 0" not in metrics.text
        assert "sassafrasflow_requests_total 1" in metrics.text

    @pytest.mark.parametrize("wrong", [False, True])
    async def test_unreachable_platform_logs_no_traceback(
        self, deployment, wrong
    ):
        url = "http://127.0.0.1:9"
        if wrong:
            # A server of another kind listens at the platform's address.
            url = (await deployment.service("booking-0")).url
        entry = await deployment.entry("entry-0", platform_url=url)
        ready = await deployment.http.get(f"{entry.url}/readyz")
        assert ready.status_code == 503
        text = deployment.read_log("entry-0")
        assert "configuration: Table read failed" in text
        assert "Traceback" not in text
        entry.send_signal(signal.SIGTERM)
        async with asyncio.timeout(TIMEOUT_S):
            assert await entry.wait() == 0
