"""Cost of the control traffic of an entry instance without any requests.

Measures the processor time and memory of real entry processes and counts the
platform's table reads and writes; everything runs on one machine.
"""

import argparse
import asyncio
import json
from typing import Any

import psutil

from sassafrasflow.fakes import processes

SETTLE_S = 5.0
MIB = 1 << 20


async def _table_counts(
    deployment: processes.Deployment,
) -> tuple[int, int]:
    assert deployment.platform is not None
    resp = await deployment.http.get(f"{deployment.platform.url}/fake/rows")
    counts = resp.json()
    return counts["reads"], counts["writes"]


def _cpu_s(meter: psutil.Process) -> float:
    times = meter.cpu_times()
    return times.user + times.system


async def _measure(
    deployment: processes.Deployment,
    entries: list[processes.Process],
    seconds: float,
) -> dict[str, Any]:
    meters = [psutil.Process(entry.pid) for entry in entries]
    before = [_cpu_s(meter) for meter in meters]
    reads, writes = await _table_counts(deployment)
    await asyncio.sleep(seconds)
    after = [_cpu_s(meter) for meter in meters]
    later_reads, later_writes = await _table_counts(deployment)
    spent = [end - begin for begin, end in zip(before, after, strict=True)]
    return {
        "cpu_percent_mean": round(sum(spent) / len(spent) / seconds * 100, 2),
        "cpu_percent_max": round(max(spent) / seconds * 100, 2),
        "rss_mb_max": max(m.memory_info().rss for m in meters) // MIB,
        "table_reads_per_s": round((later_reads - reads) / seconds, 1),
        "table_writes_per_s": round((later_writes - writes) / seconds, 1),
    }


async def _run(args: argparse.Namespace) -> None:
    for entry_count, engine_count in ((1, 2), (3, 2), (3, 12), (9, 18)):
        async with processes.Deployment() as deployment:
            for number in range(engine_count):
                await deployment.engine(f"engine-{number}")
            entries = await deployment.entries(entry_count)
            await asyncio.sleep(SETTLE_S)
            figures = await _measure(deployment, entries, args.seconds)
        sizes = {"entries": entry_count, "engines": engine_count}
        line = {"benchmark": "idle", **sizes, **figures}
        print(json.dumps(line), flush=True)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=10.0)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
