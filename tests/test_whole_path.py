"""Requests from caller to target through separate processes."""

import time

import msgspec
import pytest

from sassafrasflow.fakes import processes
from sassafrasflow.fakes import token_source

AUTH = {"authorization": f"Bearer {processes.CALLER_KEY}"}
OPERATOR = {"authorization": f"Bearer {processes.OPERATOR_KEY}"}
PROMPT = "Draft an observing plan."
TOKENS = 200


async def read_stream(deployment, entry, on_progress=None):
    """Return the text of a streamed completion and whether it completed."""
    body = {
        "model": processes.MODEL,
        "prompt": PROMPT,
        "max_tokens": TOKENS,
        "stream": True,
    }
    text = ""
    ended = False
    url = f"{entry.url}/v1/completions"
    async with deployment.http.stream(
        "POST", url, json=body, headers=AUTH
    ) as resp:
        assert resp.status_code == 200
        async for line in resp.aiter_lines():
            if line == "data: [DONE]":
                ended = True
            elif line.startswith("data: "):
                chunk = msgspec.json.decode(line.removeprefix("data: "))
                assert "choices" in chunk, f"after {text!r}: {chunk}"
                text += chunk["choices"][0]["text"]
                if on_progress is not None:
                    await on_progress(len(text.split()))
    return text, ended


async def find_running_engine(deployment, engines):
    """Return the engine that started the latest attempt.

    The attempt before it may have been lost at another engine, which still
    lists its start.
    """
    latest = {}
    for engine in engines:
        log = await deployment.http.get(f"{engine.url}/fake/log")
        for start in log.json()["starts"]:
            latest[start["attempt"]] = engine
    return latest[max(latest)]


class TestSeparateProcesses:
    @pytest.mark.parametrize("moves_before", [False, True])
    async def test_answer_survives_a_killed_engine(
        self, deployment, moves_before
    ):
        # An answer may move before the kill, as its engine may stall.
        engines = [
            await deployment.engine(
                f"engine-{n}", orphan_ms=100, token_interval_ms=15
            )
            for n in range(2)
        ]
        entry = await deployment.entry("entry-0")
        stalled = []
        killed = []

        async def stall_or_kill(tokens):
            if moves_before and tokens >= 20 and not stalled:
                engine = await find_running_engine(deployment, engines)
                stalled.append(engine)
                await deployment.configure_fake(
                    engine, "behaviour", stalled=True
                )
            if tokens < 50 or killed:
                return
            engine = await find_running_engine(deployment, engines)
            if engine in stalled:
                return
            for item in stalled:
                await deployment.configure_fake(
                    item, "behaviour", stalled=False
                )
            engine.kill()
            killed.append(engine)

        text, ended = await read_stream(deployment, entry, stall_or_kill)
        assert len(killed) == 1
        assert ended
        assert text == token_source.greedy_answer(
            processes.MODEL, processes.VERSION, PROMPT, TOKENS
        )

    async def test_service_call_runs_once(self, deployment):
        worker = await deployment.service("booking-0")
        entry = await deployment.entry("entry-0")
        url = f"{entry.url}/services/booking/checkouts"
        headers = {**AUTH, "idempotency-key": "checkout-7"}
        answers = [
            await deployment.http.post(url, json={"scope": 7}, headers=headers)
            for _ in range(2)
        ]
        assert [resp.status_code for resp in answers] == [200, 200]
        assert answers[0].content == answers[1].content
        log = await deployment.http.get(f"{worker.url}/fake/log")
        assert len(log.json()) == 1

    async def test_submitted_note_can_be_read(self, deployment):
        entry = await deployment.entry("entry-0")
        body = {
            "title": "Raise the limit",
            "deadline": time.time() + 3600,
            "changes": [
                {
                    "kind": "change",
                    "subject": "setting",
                    "setting": "limit",
                    "value": 2,
                }
            ],
        }
        url = f"{entry.url}/operator/notes"
        sent = await deployment.http.post(url, json=body, headers=OPERATOR)
        assert sent.status_code == 201, sent.text
        note_id = sent.json()["id"]
        shown = await deployment.http.get(f"{url}/{note_id}", headers=OPERATOR)
        assert shown.json()["body"]["title"] == body["title"]
