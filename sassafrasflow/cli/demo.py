"""Demo that kills an engine during an answer and still completes it.

All components run in one process on the loopback interface.
"""

import time

import msgspec

from sassafrasflow import observability
from sassafrasflow.fakes import in_process
from sassafrasflow.fakes import token_source

__all__ = ["DemoResult", "run"]

PROMPT = "Draft an observing plan for the Orion nebula."
TOKENS = 200
TOKENS_BEFORE_KILL = 60


class DemoResult(msgspec.Struct, frozen=True):
    """Result of the demo."""

    complete: bool
    engine_killed: bool
    resume_latency_ms: float
    tokens: int


async def run() -> DemoResult:
    """Run the demo and return its result."""
    observability.configure_logs("ERROR")
    async with in_process.InProcessDeployment() as stage:
        print("Started a platform, two engines, one service, one instance.")
        await _call_service(stage)
        return await _stream_answer(stage)


async def _call_service(stage: in_process.InProcessDeployment) -> None:
    async with stage.client() as http:
        resp = await http.post(
            "/services/booking/checkouts",
            json={"scope": 7},
            headers={"idempotency-key": "checkout-7"},
        )
    print(f"Booking service answered: {resp.text}")


async def _stream_answer(stage: in_process.InProcessDeployment) -> DemoResult:
    reader = _StreamReader()
    body = {
        "model": in_process.MODEL,
        "prompt": PROMPT,
        "max_tokens": TOKENS,
        "stream": True,
    }
    print(f"Asking for {TOKENS} tokens: {PROMPT!r}")
    async with stage.client() as http:
        async with http.stream("POST", "/v1/completions", json=body) as resp:
            async for line in resp.aiter_lines():
                reader.read(line)
                if (
                    reader.tokens >= TOKENS_BEFORE_KILL
                    and not reader.killed_at
                ):
                    number = stage.busy_engine()
                    await stage.kill_engine(number)
                    reader.killed_at = time.monotonic()
                    print(f"Killed engine-{number} at token {reader.tokens}.")
    expected = token_source.greedy_answer(
        in_process.MODEL, in_process.VERSION, PROMPT, TOKENS
    )
    complete = reader.ended and reader.text == expected
    print(f"The answer went on after {reader.resume_ms:.0f} ms.")
    print(
        f"All {reader.tokens} tokens came, each once: the answer is whole."
        if complete
        else f"The answer is NOT whole: {reader.tokens} tokens came."
    )
    return DemoResult(
        complete=complete,
        engine_killed=reader.killed_at > 0,
        resume_latency_ms=round(reader.resume_ms, 1),
        tokens=reader.tokens,
    )


class _StreamReader:
    """Collect the answer from the lines of a stream."""

    def __init__(self) -> None:
        self.text = ""
        self.ended = False
        self.killed_at = 0.0
        self.resume_ms = 0.0
        self._last_at = 0.0

    @property
    def tokens(self) -> int:
        return len(self.text.split())

    def read(self, line: str) -> None:
        if line == "data: [DONE]":
            self.ended = True
        elif line.startswith("data: "):
            chunk = msgspec.json.decode(line.removeprefix("data: "))
            self.text += chunk["choices"][0]["text"]
            self._record_gap()

    def _record_gap(self) -> None:
        # Text in flight may still arrive after the kill, so the resume took
        # as long as the longest gap since then.
        now = time.monotonic()
        if self.killed_at:
            silence_s = now - max(self.killed_at, self._last_at)
            self.resume_ms = max(self.resume_ms, silence_s * 1000)
        self._last_at = now
