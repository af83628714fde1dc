"""Demo: an engine is killed mid-answer and the answer comes out whole.

Everything runs in one process, on loopback.
"""

import time
from typing import Any

import httpx
import msgspec

from sassafrasflow import api
from sassafrasflow import engines
from sassafrasflow import ids
from sassafrasflow import instance
from sassafrasflow import observability
from sassafrasflow import platform
from sassafrasflow import settings
from sassafrasflow.fakes import engine as fake_engine
from sassafrasflow.fakes import language
from sassafrasflow.fakes import platform as fake_platform
from sassafrasflow.fakes import processes
from sassafrasflow.fakes import service as fake_service

__all__ = ["run"]

MODEL = ids.ModelName(processes.MODEL)
VERSION = ids.VersionId(processes.VERSION)
PROMPT = "Draft an observing plan for the Orion nebula."
TOKENS = 200
TOKENS_BEFORE_KILL = 60


class _Stage:
    """Run the stand-ins and one instance in this process."""

    def __init__(self) -> None:
        self.platform = fake_platform.FakePlatform()
        self.engines = [self._engine(), self._engine()]
        self.servers: list[api.HttpServer] = []
        self.node: instance.Instance | None = None

    @staticmethod
    def _engine() -> fake_engine.FakeEngine:
        return fake_engine.FakeEngine(
            [engines.LoadedVersion(MODEL, VERSION)], kills_itself=False
        )

    async def start(self) -> None:
        url = f"http://127.0.0.1:{await self._serve(self.platform.app())}"
        for number, fake in enumerate(self.engines):
            port = await self._serve(fake.app())
            self._list(f"engine-{number}", platform.TargetKind.ENGINE, port)
        port = await self._serve(fake_service.FakeService("booking").app())
        self._list(
            "booking-0",
            platform.TargetKind.SERVICE,
            port,
            ids.ServiceName("booking"),
        )
        raw = {
            "instance": "entry-0",
            "region": "east",
            "data_centre": "east-1",
            "platform": {"url": url},
            "api": {"port": 0},
            "peers": {"port": 0},
            "initial_configuration": processes.initial_configuration(),
        }
        cfg = settings.parse_settings(msgspec.json.encode(raw))
        self.node = instance.Instance(cfg)
        await self.node.start()

    async def close(self) -> None:
        assert self.node is not None
        await self.node.close()
        for fake in self.engines:
            fake.close()
        for server in self.servers:
            await server.close()

    async def kill_engine(self, number: int) -> None:
        """Break every connection of an engine, as its death would."""
        self.engines[number].close()
        await self.servers[1 + number].abort()

    def busy_engine(self) -> int:
        """Return the number of the engine that runs the answer."""
        made = [fake.tokens_made for fake in self.engines]
        return made.index(max(made))

    async def _serve(self, app: Any) -> int:
        server = api.HttpServer(app, "127.0.0.1", 0)
        await server.start()
        self.servers.append(server)
        return server.port

    def _list(
        self,
        name: str,
        kind: platform.TargetKind,
        port: int,
        service: ids.ServiceName | None = None,
    ) -> None:
        self.platform.instances[name] = platform.ListedInstance(
            id=name,
            kind=kind,
            address=f"127.0.0.1:{port}",
            region=ids.Region("east"),
            data_centre=ids.DataCentre("east-1"),
            service=service,
        )


async def run() -> dict[str, Any]:
    """Run the demo and return what was seen."""
    observability.configure_logs("ERROR")
    stage = _Stage()
    await stage.start()
    try:
        print("Started a platform, two engines, one service, one instance.")
        await _call_service(stage)
        return await _stream_answer(stage)
    finally:
        await stage.close()


async def _call_service(stage: _Stage) -> None:
    assert stage.node is not None
    async with _client(stage.node.port) as http:
        resp = await http.post(
            "/services/booking/checkouts",
            json={"scope": 7},
            headers={"idempotency-key": "checkout-7"},
        )
    print(f"Booking service answered: {resp.text}")


async def _stream_answer(stage: _Stage) -> dict[str, Any]:
    assert stage.node is not None
    seen = _Reader()
    body = {
        "model": MODEL,
        "prompt": PROMPT,
        "max_tokens": TOKENS,
        "stream": True,
    }
    print(f"Asking for {TOKENS} tokens.")
    async with _client(stage.node.port) as http:
        async with http.stream("POST", "/v1/completions", json=body) as resp:
            async for line in resp.aiter_lines():
                seen.read(line)
                if seen.tokens >= TOKENS_BEFORE_KILL and not seen.killed_at:
                    await stage.kill_engine(stage.busy_engine())
                    seen.killed_at = time.monotonic()
                    print(f"Killed the engine after {seen.tokens} tokens.")
    whole = language.greedy_answer(MODEL, VERSION, PROMPT, TOKENS)
    complete = seen.ended and seen.text == whole
    print(f"Answer went on after {seen.resume_ms:.0f} ms.")
    print("Answer is whole." if complete else "Answer is NOT whole.")
    return {
        "complete": complete,
        "engine_killed": seen.killed_at > 0,
        "resume_latency_ms": round(seen.resume_ms, 1),
        "tokens": seen.tokens,
    }


class _Reader:
    """Collect the answer from stream lines."""

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
            self._note_gap()

    def _note_gap(self) -> None:
        # Text already on its way arrives after the kill, so the longest
        # silence from then on is the time that the resume took.
        now = time.monotonic()
        if self.killed_at:
            silence_s = now - max(self.killed_at, self._last_at)
            self.resume_ms = max(self.resume_ms, silence_s * 1000)
        self._last_at = now


def _client(port: int) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        base_url=f"http://127.0.0.1:{port}",
        headers={"authorization": f"Bearer {processes.CALLER_KEY}"},
        timeout=30.0,
        trust_env=False,
    )
