"""Cost of one routing decision by number of targets."""

import argparse
from collections.abc import Callable
import json
import random
import statistics
import time

from benchmarks import fleet
from sassafrasflow import clocks
from sassafrasflow import routing
from sassafrasflow import targets

SIZES = (12, 18, 400, 4_000)
CAPACITY = 16
ROUNDS = 7
PROMPT_CHARS = 4_000
FAMILIES = 64
US_PER_S = 1e6


def prompts(rng: random.Random) -> list[routing.Work]:
    """Return requests that share their first blocks in families."""
    heads = [
        "".join(rng.choices("abcdefgh ", k=PROMPT_CHARS))
        for _ in range(FAMILIES)
    ]
    return [
        routing.Work(
            fleet.ORGANISATION,
            fleet.MODEL,
            rng.choice(heads) + str(rng.random()),
        )
        for _ in range(256)
    ]


def choose_by_scan(
    directory: targets.TargetDirectory, work: routing.Work
) -> str:
    """Choose the least loaded target by looking at every one."""
    able = [
        target
        for target in directory.ready_targets()
        if fleet.VERSION in target.versions(work.model)
    ]
    near = [t for t in able if t.listed.region == fleet.REGIONS[0]]
    return min(near or able, key=lambda target: target.load()).id


def time_us(decide: Callable[[routing.Work], object], works: list) -> float:
    """Return microseconds for each decision, the median of rounds."""
    rounds = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for work in works:
            decide(work)
        rounds.append((time.perf_counter() - started) / len(works))
    return statistics.median(rounds) * US_PER_S


def measure(size: int, seed: int) -> tuple[float, float]:
    """Return the cost of the router and of the scan."""
    rng = random.Random(seed)
    clock = clocks.SystemClock()
    directory = fleet.build_directory(size, clock, CAPACITY)
    router = routing.Router(
        directory,
        fleet.OneVersion(),
        fleet.REGIONS[0],
        rng,
        routing.RouterPolicy(),
        routing.PrefixIndex(routing.PrefixPolicy()),
        routing.RetryBudget(routing.BudgetPolicy(), clock),
    )
    works = prompts(rng)
    ours = time_us(lambda work: router.choose(work, None, ()), works)
    few = works[: max(4, 40_000 // size // 10)]
    scan = time_us(lambda work: choose_by_scan(directory, work), few)
    return ours, scan


def main(args: argparse.Namespace) -> None:
    """Print one line with every size."""
    costs = {size: measure(size, args.seed) for size in SIZES}
    line = {
        "bench": "decide",
        "seed": args.seed,
        "prompt_chars": PROMPT_CHARS,
        "us": {size: round(ours, 1) for size, (ours, _) in costs.items()},
        "ratio_4000_to_18": round(costs[4_000][0] / costs[18][0], 2),
        "baseline": "scan of every target, no prefix",
        "baseline_us": {
            size: round(scan, 1) for size, (_, scan) in costs.items()
        },
        "baseline_ratio_4000_to_18": round(costs[4_000][1] / costs[18][1], 1),
    }
    print(json.dumps(line))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="benchmarks.decide")
    parser.add_argument("--seed", type=int, default=6)
    main(parser.parse_args())
