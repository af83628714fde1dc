"""Tokens per second and core through one entry instance.

Measures only the processor time of the entry process, with and without a
replica, and compares it with a plain pass-through by the same libraries.
"""

import argparse
import asyncio
import json
import time
from typing import Any
import uuid

import msgspec
import psutil

from sassafrasflow import engines
from sassafrasflow import ids
from sassafrasflow.fakes import callers
from sassafrasflow.fakes import processes

TOKENS = 300
TOKEN_INTERVAL_MS = 47
TARGET_TOKENS_PER_S = 7_300


async def _read(
    deployment: processes.Deployment, url: str, body: bytes
) -> None:
    async with deployment.http.stream(
        "POST",
        f"{url}/v1/completions",
        content=body,
        headers=callers.AUTH,
        timeout=60.0,
    ) as resp:
        async for _ in resp.aiter_raw():
            pass


def _completion(number: int) -> bytes:
    return msgspec.json.encode(
        {
            "model": processes.MODEL,
            "prompt": f"plan {number}",
            "max_tokens": TOKENS,
            "stream": True,
        }
    )


def _engine_request(number: int) -> bytes:
    return msgspec.json.encode(
        engines.EngineRequest(
            ids.GenerationId(uuid.uuid4().hex),
            ids.AttemptNumber(1),
            ids.ModelName(processes.MODEL),
            ids.VersionId(processes.VERSION),
            f"plan {number}",
            engines.Sampling(max_tokens=TOKENS),
        )
    )


async def _measure(
    deployment: processes.Deployment,
    process: processes.Process,
    bodies: list[bytes],
    way: str,
) -> dict[str, Any]:
    meter = psutil.Process(process.pid)
    before = meter.cpu_times()
    started_at = time.monotonic()
    await asyncio.gather(
        *(_read(deployment, process.url, body) for body in bodies)
    )
    elapsed_s = time.monotonic() - started_at
    after = meter.cpu_times()
    cpu_s = after.user + after.system - before.user - before.system
    tokens = TOKENS * len(bodies)
    per_core = tokens / cpu_s
    return {
        "benchmark": "tokens",
        "way": way,
        "streams": len(bodies),
        "tokens": tokens,
        "elapsed_s": round(elapsed_s, 2),
        "cpu_s": round(cpu_s, 2),
        "tokens_per_s": round(tokens / elapsed_s),
        "tokens_per_s_per_core": round(per_core),
        "cores_at_target": round(TARGET_TOKENS_PER_S / per_core, 2),
    }


async def _run(args: argparse.Namespace) -> None:
    numbers = range(args.streams)
    async with processes.Deployment() as deployment:
        engine = await deployment.engine(
            "engine-0", token_interval_ms=TOKEN_INTERVAL_MS, capacity=10_000
        )
        relay = await deployment.run_module(
            "relay", "benchmarks.passthrough", "--engine", engine.url
        )
        entries = await deployment.entries(2)
        without_replica = await deployment.entry(
            "alone", generations={"replication": {"replicas": 0}}
        )
        engine_requests = [_engine_request(number) for number in numbers]
        completions = [_completion(number) for number in numbers]
        for way, process, bodies in (
            ("pass_through", relay, engine_requests),
            ("without_replica", without_replica, completions),
            ("with_replica", entries[0], completions),
        ):
            figures = await _measure(deployment, process, bodies, way)
            print(json.dumps(figures), flush=True)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--streams", type=int, default=50)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
