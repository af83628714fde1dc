"""Cost of the data path: processor time of an entry instance per token.

Many callers stream through one real entry process while the engines produce a
token every 47 ms. Reports the latencies at the callers and the processor time
and memory of the entry process.
"""

import argparse
import asyncio
import itertools
import json
import time

from hdrh import histogram
import httpx
import psutil

from sassafrasflow.fakes import processes

ENGINES = 4
TOKEN_INTERVAL_MS = 47.0
MAX_LATENCY_US = 600_000_000
DIGITS = 3


class Readers:
    """Stream answers and record the latencies of their tokens."""

    def __init__(self, url: str, tokens: int, seed: int) -> None:
        self._url = url
        self._tokens = tokens
        self._seed = seed
        self.first = histogram.HdrHistogram(1, MAX_LATENCY_US, DIGITS)
        self.gaps = histogram.HdrHistogram(1, MAX_LATENCY_US, DIGITS)
        self.completed = 0
        self.events = 0

    async def read(self, http: httpx.AsyncClient, number: int) -> None:
        """Stream one answer."""
        body = {
            "model": processes.MODEL,
            "prompt": f"Plan {self._seed}/{number}",
            "max_tokens": self._tokens,
            "stream": True,
        }
        headers = {"authorization": f"Bearer {processes.CALLER_KEY}"}
        # Spread the starts of the callers evenly over one token interval.
        await asyncio.sleep(number % 47 / 1000)
        last = time.perf_counter()
        hist = self.first
        async with http.stream(
            "POST", self._url, json=body, headers=headers
        ) as resp:
            async for line in resp.aiter_lines():
                if line == "data: [DONE]":
                    self.completed += 1
                elif line.startswith("data: "):
                    now = time.perf_counter()
                    hist.record_value(int((now - last) * 1e6))
                    last = now
                    hist = self.gaps
                    self.events += 1


async def measure(
    streams: int, tokens: int, seed: int, batch: int
) -> dict[str, object]:
    """Run one round and return its figures."""
    async with processes.Deployment() as deployment:
        for number in range(ENGINES):
            await deployment.engine(
                f"engine-{number}",
                token_interval_ms=TOKEN_INTERVAL_MS,
                tokens_per_event=batch,
                capacity=streams,
            )
        entry = await deployment.entry("entry-0")
        process = psutil.Process(entry.pid)
        readers = Readers(f"{entry.url}/v1/completions", tokens, seed)
        limits = httpx.Limits(max_connections=None)
        async with httpx.AsyncClient(
            timeout=None, trust_env=False, limits=limits
        ) as http:
            await readers.read(http, 0)
            idle_bytes = process.memory_info().rss
            before = process.cpu_times()
            started = time.perf_counter()
            await asyncio.gather(
                *(readers.read(http, n + 1) for n in range(streams))
            )
            elapsed_s = time.perf_counter() - started
            after = process.cpu_times()
            busy_bytes = process.memory_info().rss
    spent_s = after.user + after.system - before.user - before.system
    produced = streams * tokens
    return {
        "bench": "streams",
        "seed": seed,
        "streams": streams,
        "tokens_each": tokens,
        "tokens_per_event": batch,
        "whole": readers.completed - 1,
        "tokens_per_s": round(produced / elapsed_s),
        "entry_cpu_us_per_token": round(spent_s / produced * 1e6, 1),
        "entry_cores": round(spent_s / elapsed_s, 3),
        "entry_kib_per_stream": round(
            (busy_bytes - idle_bytes) / streams / 1024, 1
        ),
        "first_token_p95_ms": _p95_ms(readers.first),
        "inter_token_p95_ms": _p95_ms(readers.gaps),
    }


def _p95_ms(hist: histogram.HdrHistogram) -> float:
    return round(hist.get_value_at_percentile(95) / 1000, 1)


def main() -> None:
    """Print one JSON object for each number of streams and batch."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="*", default=[20, 80])
    parser.add_argument("--batch", type=int, nargs="*", default=[1, 5])
    parser.add_argument("--tokens", type=int, default=200)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for streams, batch in itertools.product(args.streams, args.batch):
        figures = asyncio.run(measure(streams, args.tokens, args.seed, batch))
        print(json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
