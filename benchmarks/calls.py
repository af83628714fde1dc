"""Calls under faults through real instances, with and without claims.

Each wave of calls has one fault. Every key is sent to one instance, or to two
at once, and is repeated at other instances a few times until it is answered.
The answers are then compared with the workers' own log.
"""

import argparse
import asyncio
import collections
import itertools
import json
import random
import time

from hdrh import histogram
import httpx
import msgspec

from sassafrasflow import storage
from sassafrasflow.fakes import processes
from sassafrasflow.fakes import proxy

AUTH = {"authorization": f"Bearer {processes.CALLER_KEY}"}
ENTRIES = 3
WORKERS = 3
PER_WAVE = 8
REPEATS = 3
TIMEOUT_MS = 1_500
FAULT_DURATION_S = 0.6
DISPATCH_WITHIN_MS = 400
LIST_INTERVAL_MS = 100
CLOSED_ADDRESS = "127.0.0.1:1"
LATENCY_PAUSE_S = 0.05
CLAIMED = "/services/booking/checkouts"
UNCLAIMED = "/services/booking/unclaimed"
FAULTS = (
    "table_answers_lost",
    "table_down",
    "table_partition",
    "table_frozen",
    "answers_lost",
    "answers_truncated",
    "workers_partition",
    "workers_frozen",
    "workers_refused",
    "worker_paused",
    "entry_paused",
    "entry_killed",
)


class AttemptResult(msgspec.Struct):
    """Hold what the answer to one attempt says about running, with times."""

    key: str
    ran: str
    sent_at: float
    answered_at: float


class ProxiedDeployment:
    """Run the processes and inject faults."""

    def __init__(
        self, deployment: processes.Deployment, rng: random.Random
    ) -> None:
        self.deployment = deployment
        self.rng = rng
        self.entries: list[processes.Process] = []
        self.workers: list[processes.Process] = []
        self.proxies: list[proxy.FaultProxy] = []
        self.finished_metrics: collections.Counter[str] = collections.Counter()
        self._names = itertools.count()

    async def start(self) -> None:
        """Start every process and proxy."""
        assert self.deployment.platform is not None
        self.table_proxy = await self._add_proxy(self.deployment.platform)
        for number in range(WORKERS):
            name = f"booking-{number}"
            worker = await self.deployment.service(name)
            self.workers.append(worker)
            relay = await self._add_proxy(worker)
            self.proxies.append(relay)
        await self.list_workers()
        for _ in range(ENTRIES):
            self.entries.append(await self.entry())

    async def list_workers(self, address: str | None = None) -> None:
        """List each worker at its proxy, or all at one address."""
        for number, relay in enumerate(self.proxies):
            await self.deployment.list_instance(
                storage.ListedInstance(
                    id=f"booking-{number}",
                    kind=storage.TargetKind.SERVICE,
                    address=address or relay.address,
                    region="east",  # type: ignore[arg-type]
                    data_centre="east-1",  # type: ignore[arg-type]
                    service="booking",  # type: ignore[arg-type]
                )
            )

    async def close(self) -> None:
        """Close the proxies."""
        for relay in [self.table_proxy, *self.proxies]:
            await relay.close()

    async def _add_proxy(self, process: processes.Process) -> proxy.FaultProxy:
        relay = proxy.FaultProxy("127.0.0.1", process.port)
        await relay.start()
        return relay

    async def entry(self) -> processes.Process:
        """Start one more entry instance."""
        cfg = processes.initial_configuration()
        cfg["services"]["booking"] = {
            "routes": [
                {
                    "method": "POST",
                    "prefix": "/unclaimed",
                    "idempotent": True,
                }
            ]
        }
        return await self.deployment.entry(
            f"entry-{next(self._names)}",
            platform_url=f"http://{self.table_proxy.address}",
            initial_configuration=cfg,
            calls={
                "timeout_ms": TIMEOUT_MS,
                "attempt_timeout_ms": TIMEOUT_MS // 3,
                "dispatch_within_ms": DISPATCH_WITHIN_MS,
            },
            directory={
                "failure_pause_ms": 200,
                "max_pause_ms": 500,
                "list_interval_ms": LIST_INTERVAL_MS,
            },
            retries={"ratio": 1.0, "burst": 1000},
        )

    async def inject(self, fault: str) -> None:
        """Begin a fault."""
        configure_fake = self.deployment.configure_fake
        table = self.deployment.platform
        assert table is not None
        worker = self.rng.choice(self.workers)
        if fault == "table_answers_lost":
            await configure_fake(table, "faults", lose_write_answers=4)
        elif fault == "table_down":
            await configure_fake(table, "faults", down=True)
        elif fault == "table_partition":
            self.table_proxy.partition()
        elif fault == "table_frozen":
            self.table_proxy.freeze(proxy.Direction.TO_CLIENT)
        elif fault == "answers_lost":
            await configure_fake(worker, "behaviour", lose_answers=3)
        elif fault == "answers_truncated":
            for relay in self.proxies:
                relay.truncate(proxy.Direction.TO_CLIENT, 20)
        elif fault == "workers_partition":
            for relay in self.proxies:
                relay.partition()
        elif fault == "workers_frozen":
            for relay in self.proxies:
                relay.freeze(proxy.Direction.TO_CLIENT)
        elif fault == "workers_refused":
            await self.list_workers(CLOSED_ADDRESS)
            await asyncio.sleep(2 * LIST_INTERVAL_MS / 1000)
        elif fault == "worker_paused":
            worker.pause()
        elif fault == "entry_paused":
            self.entries[0].pause()
        elif fault == "entry_killed":
            await self.collect_metrics(self.entries[0])
            self.entries[0].kill()

    async def heal(self, fault: str) -> None:
        """End a fault."""
        assert self.deployment.platform is not None
        for relay in [self.table_proxy, *self.proxies]:
            relay.heal()
        await self.deployment.configure_fake(
            self.deployment.platform,
            "faults",
            down=False,
            lose_write_answers=0,
        )
        await self.list_workers()
        for process in [*self.workers, self.entries[0]]:
            process.resume()
        for worker in self.workers:
            await self.deployment.configure_fake(
                worker, "behaviour", lose_answers=0
            )
        if fault == "entry_killed":
            self.entries[0] = await self.entry()

    async def executions(self) -> dict[str, list[float]]:
        """Return the times at which each body ran, over all workers."""
        ran = collections.defaultdict(list)
        for worker in self.workers:
            log = await self.deployment.http.get(f"{worker.url}/fake/log")
            for run in log.json():
                ran[run["body"]].append(run["at"])
        return ran

    async def collect_metrics(self, entry: processes.Process) -> None:
        """Add the claim counters of an instance."""
        resp = await self.deployment.http.get(f"{entry.url}/metrics")
        for line in resp.text.splitlines():
            if line.startswith("sassafrasflow_claim"):
                name, count = line.split()
                self.finished_metrics[name] += int(count)


async def send(
    proxied: ProxiedDeployment, entry: processes.Process, path: str, key: str
) -> AttemptResult:
    """Send a call once and return its result."""
    sent_at = time.monotonic()
    try:
        resp = await proxied.deployment.http.post(
            f"{entry.url}{path}",
            content=key,
            headers={**AUTH, "idempotency-key": key},
        )
    except httpx.HTTPError:
        return AttemptResult(key, "nothing", sent_at, time.monotonic())
    ran = "yes" if resp.status_code == 200 else resp.json()["ran"]
    return AttemptResult(key, ran, sent_at, time.monotonic())


async def resolve_key(
    proxied: ProxiedDeployment, path: str, key: str
) -> list[AttemptResult]:
    """Send a key, then repeat it at other instances until it is answered.

    Half of the calls that got "no" are not repeated, so that a late
    execution of them is detected.
    """
    order = proxied.rng.sample(range(ENTRIES), ENTRIES)
    concurrent_sends = 2 if proxied.rng.random() < 0.3 else 1
    results = list(
        await asyncio.gather(
            *(
                send(proxied, proxied.entries[n], path, key)
                for n in order[:concurrent_sends]
            )
        )
    )
    for number in range(REPEATS):
        last = results[-1].ran
        if last == "yes" or (last == "no" and proxied.rng.random() < 0.5):
            break
        await asyncio.sleep(FAULT_DURATION_S)
        entry = proxied.entries[order[number % ENTRIES]]
        results.append(await send(proxied, entry, path, key))
    return results


def is_false_no(
    result: AttemptResult,
    results_of_key: list[AttemptResult],
    ran_at: list[float],
) -> bool:
    """Return whether the workers' log contradicts a "no".

    If attempts with one key overlap, an execution between the sending and the
    answer of one of them may belong to another.
    """
    others = [
        other.ran
        for other in results_of_key
        if other is not result
        and other.sent_at < result.answered_at
        and other.answered_at > result.sent_at
    ]
    if all(each.ran == "no" for each in results_of_key) and ran_at:
        return True
    bound = result.sent_at if others else result.answered_at
    return any(at < bound for at in ran_at)


async def run_waves(
    proxied: ProxiedDeployment, path: str, waves: int
) -> dict[str, int | float]:
    """Send calls under faults and compare their results with what ran."""
    results: dict[str, list[AttemptResult]] = {}
    for wave in range(waves):
        fault = FAULTS[wave % len(FAULTS)]
        keys = [f"{path[-9:]}-{wave}-{n}" for n in range(PER_WAVE)]
        tasks = [
            asyncio.create_task(resolve_key(proxied, path, key))
            for key in keys
        ]
        await asyncio.sleep(proxied.rng.random() * 0.02)
        await proxied.inject(fault)
        late = [f"{key}-late" for key in keys[: PER_WAVE // 2]]
        tasks += [
            asyncio.create_task(resolve_key(proxied, path, key))
            for key in late
        ]
        await asyncio.sleep(FAULT_DURATION_S)
        await proxied.heal(fault)
        for key_results in await asyncio.gather(*tasks):
            results[key_results[0].key] = key_results
    await asyncio.sleep(2 * TIMEOUT_MS / 1000)
    return summarise(results, await proxied.executions())


def summarise(
    results: dict[str, list[AttemptResult]], ran: dict[str, list[float]]
) -> dict[str, int | float]:
    """Count the results of calls and attempts, and their violations."""
    attempts = [
        each for key_results in results.values() for each in key_results
    ]
    outcomes = collections.Counter(each.ran for each in attempts)
    return {
        "calls": len(results),
        "attempts": len(attempts),
        "executed_twice": sum(len(ran.get(key, ())) > 1 for key in results),
        "false_not_run": sum(
            is_false_no(each, results[each.key], ran.get(each.key, []))
            for each in attempts
            if each.ran == "no"
        ),
        "answered": sum(
            any(each.ran == "yes" for each in key_results)
            for key_results in results.values()
        ),
        **{f"told_{name}": outcomes[name] for name in sorted(outcomes)},
    }


async def latency_ms(
    proxied: ProxiedDeployment, path: str, calls: int
) -> dict[str, float]:
    """Measure the latency of sequential calls without faults."""
    hist = histogram.HdrHistogram(1, 60_000_000, 3)
    for number in range(calls):
        result = await send(
            proxied, proxied.entries[0], path, f"{path}-{number}-lat"
        )
        hist.record_value(int((result.answered_at - result.sent_at) * 1e6))
        await asyncio.sleep(LATENCY_PAUSE_S)
    return {
        "p50": hist.get_value_at_percentile(50) / 1000,
        "p95": hist.get_value_at_percentile(95) / 1000,
    }


async def burst(proxied: ProxiedDeployment, calls: int, width: int) -> float:
    """Send concurrent calls and return the claims per table write."""
    proxied.finished_metrics.clear()
    gate = asyncio.Semaphore(width)

    async def one(number: int) -> None:
        async with gate:
            entry = proxied.entries[number % ENTRIES]
            await send(proxied, entry, CLAIMED, f"burst-{number}")

    for entry in proxied.entries:
        await proxied.collect_metrics(entry)
    before = dict(proxied.finished_metrics)
    proxied.finished_metrics.clear()
    await asyncio.gather(*(one(number) for number in range(calls)))
    for entry in proxied.entries:
        await proxied.collect_metrics(entry)
    writes = "sassafrasflow_claim_transactions_total"
    return calls / max(1, proxied.finished_metrics[writes] - before[writes])


async def main(args: argparse.Namespace) -> None:
    """Run claimed calls and the baseline, and print one line."""
    rng = random.Random(args.seed)
    async with processes.Deployment() as deployment:
        proxied = ProxiedDeployment(deployment, rng)
        await proxied.start()
        try:
            plain = await latency_ms(proxied, UNCLAIMED, args.latency_calls)
            claimed = await latency_ms(proxied, CLAIMED, args.latency_calls)
            per_write = await burst(
                proxied, args.burst_calls, args.burst_width
            )
            result = await run_waves(proxied, CLAIMED, args.waves)
            baseline = await run_waves(proxied, UNCLAIMED, args.waves)
        finally:
            await proxied.close()
    line = {
        "bench": "calls",
        "seed": args.seed,
        "entries": ENTRIES,
        "workers": WORKERS,
        "waves": args.waves,
        **result,
        "claims_per_table_write": round(per_write, 2),
        "burst_width": args.burst_width,
        "latency_added_ms_p50": round(claimed["p50"] - plain["p50"], 2),
        "latency_added_ms_p95": round(claimed["p95"] - plain["p95"], 2),
        "latency_ms": claimed,
        "baseline": "retries without claims",
        "baseline_result": baseline,
        "baseline_latency_ms": plain,
    }
    print(json.dumps(line))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="benchmarks.calls")
    parser.add_argument("--seed", type=int, default=6)
    parser.add_argument("--waves", type=int, default=27)
    parser.add_argument("--latency-calls", type=int, default=100)
    parser.add_argument("--burst-calls", type=int, default=400)
    parser.add_argument("--burst-width", type=int, default=96)
    asyncio.run(main(parser.parse_args()))
