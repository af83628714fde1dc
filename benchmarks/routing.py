"""Prefix hits, first-token latency and paid bytes of routing.

Virtual time drives the product's router, directory and prefix index over
engines with limited caches, lagging reports and cache events with gaps.
"""

import argparse
import collections
from collections.abc import Callable
import itertools
import json
import random
import statistics

import msgspec

from benchmarks import fleet
from benchmarks import timeline
from sassafrasflow import engines
from sassafrasflow import ids
from sassafrasflow import routing
from sassafrasflow import targets

SIZES = {"northstar": 18, "zancos": 12}
CAPACITY = 8
BLOCK_MS = 4.0
TOKEN_S = 2.0
REGION_LINK_S = 0.02
CACHE_BLOCKS = 700
UTILISATION = 0.75
FAMILIES = 40
HEAD_CHARS = 4_096
TAIL_CHARS = 512
ANSWER_BYTES = 4_096
SPAN_S = 180.0
WARM_UP_S = 40.0
POLL_S = 0.5
LAG_S = 0.5
GAP_EVERY = 50
MS_PER_S = 1_000


class Request(msgspec.Struct):
    """Hold one request on its way."""

    region: ids.Region
    work: routing.Work
    arrived_at: float


class Engine:
    """Batch, prefill and cache like an engine with limited memory."""

    def __init__(
        self, name: ids.TargetId, region: ids.Region, line: timeline.Timeline
    ) -> None:
        self.name = name
        self.region = region
        self.line = line
        self.running = 0
        self.queue: collections.deque[Callable[[], None]] = collections.deque()
        self.cache: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.events: list[tuple[float, engines.CacheEvent]] = []
        self.loads: collections.deque[tuple[float, int, int]] = (
            collections.deque([(0.0, 0, 0)], maxlen=2_000)
        )
        self._sequence = itertools.count(1)

    def submit(self, begin: Callable[[], None]) -> None:
        """Begin work now or when a slot is free."""
        if self.running < CAPACITY:
            self.running += 1
            begin()
        else:
            self.queue.append(begin)
        self._note_load()

    def end(self) -> None:
        """Free a slot."""
        self.running -= 1
        if self.queue:
            self.running += 1
            self.queue.popleft()()
        self._note_load()

    def _note_load(self) -> None:
        self.loads.append((self.line.now, self.running, len(self.queue)))

    def prefill(self, blocks: list[str]) -> int:
        """Cache the blocks of a prompt and return how many were hits."""
        hits = 0
        for block in blocks:
            if block not in self.cache:
                break
            hits += 1
        missing = blocks[hits:]
        for block in blocks:
            self.cache[block] = None
            self.cache.move_to_end(block)
        removed = []
        while len(self.cache) > CACHE_BLOCKS:
            removed.append(self.cache.popitem(last=False)[0])
        sequence = next(self._sequence)
        if missing and sequence % GAP_EVERY:
            event = engines.CacheEvent(sequence, missing, removed)
            self.events.append((self.line.now, event))
        return hits

    def report(self) -> engines.EngineReport:
        """Return the load some time ago."""
        seen_at = self.line.now - LAG_S
        seen = [load for load in self.loads if load[0] <= seen_at]
        _, running, queued = seen[-1] if seen else self.loads[0]
        return fleet.report(running, queued, CAPACITY)

    def events_after(self, sequence: int) -> engines.CacheEvents:
        """Return the cache events that can be seen by now."""
        seen_at = self.line.now - LAG_S
        while self.events and self.events[0][1].sequence <= sequence:
            self.events.pop(0)
        events = [event for at, event in self.events if at <= seen_at]
        return engines.CacheEvents(1, events)


class Run:
    """Run one way of routing over one deployment."""

    def __init__(self, size: int, seed: int, way: str) -> None:
        self.line = timeline.Timeline()
        self.rng = random.Random(seed)
        self.way = way
        self.first_token_ms: list[float] = []
        self.blocks = 0
        self.hits = 0
        self.paid_bytes = 0
        self.history: dict[int, collections.deque[tuple[int, int]]] = (
            collections.defaultdict(collections.deque)
        )
        self.engines: dict[ids.TargetId, Engine] = {}
        self.sides = {
            region: self._build_side(size, region) for region in fleet.REGIONS
        }
        directory = next(iter(self.sides.values()))[0]
        for target in directory:
            self.engines[target.id] = Engine(
                target.id, target.listed.region, self.line
            )
        self.turns = itertools.cycle(self.engines)
        self.near_turns = {
            region: itertools.cycle(
                [n for n, e in self.engines.items() if e.region == region]
            )
            for region in fleet.REGIONS
        }
        heads = random.Random(seed)
        self.heads = [
            "".join(heads.choices("abcdefgh ", k=HEAD_CHARS))
            for _ in range(FAMILIES)
        ]
        self.rate = UTILISATION * size * CAPACITY / (TOKEN_S + 0.1)

    def _build_side(self, size: int, region: ids.Region) -> tuple:
        directory = fleet.build_directory(size, self.line.clock, CAPACITY)
        index = routing.PrefixIndex(routing.PrefixPolicy())
        router = routing.Router(
            directory,
            fleet.OneVersion(),
            region,
            self.rng,
            routing.RouterPolicy(prefixes=self.way != "no_prefix"),
            index,
        )
        return directory, index, router

    def run(self) -> None:
        """Run arrivals and polls."""
        self.line.every(POLL_S, self.poll)
        self.line.after(0.0, self.arrive)
        self.line.run_until(SPAN_S)

    def poll(self) -> None:
        """Let each region's instance poll every engine."""
        for directory, index, _ in self.sides.values():
            for target in directory:
                engine = self.engines[target.id]
                directory.apply_report(
                    target,
                    engine.report(),
                    self.line.now - LAG_S,
                    self._counts(target),
                )
                index.apply(
                    target.id, engine.events_after(index.sequence(target.id))
                )

    def _counts(self, target: targets.Target) -> tuple[int, int]:
        """Return own work as of when the report's load was seen."""
        history = self.history[id(target)]
        history.append((target.sent, target.ended))
        return history.popleft() if len(history) > 1 else (0, 0)

    def arrive(self) -> None:
        """Send one request."""
        self.line.after(self.rng.expovariate(self.rate), self.arrive)
        region = self.rng.choices(fleet.REGIONS, (5, 3, 2))[0]
        family = min(int(self.rng.paretovariate(0.6)) - 1, 10**6) % FAMILIES
        tail = "".join(self.rng.choices("abcdefgh ", k=TAIL_CHARS))
        work = routing.Work(
            fleet.ORGANISATION, fleet.MODEL, self.heads[family] + tail
        )
        self.send(Request(region, work, self.line.now))

    def choose(self, req: Request) -> ids.TargetId:
        """Return the engine of a request."""
        if self.way == "round_robin":
            return next(self.turns)
        if self.way == "round_robin_near":
            return next(self.near_turns[req.region])
        choice = self.sides[req.region][2].choose(req.work, None, ())
        assert choice is not None
        return choice.target

    def send(self, req: Request) -> None:
        """Run a request on the chosen engine."""
        name = self.choose(req)
        engine = self.engines[name]
        target = self.sides[req.region][0].find(name)
        target.record_begin(self.line.now)
        blocks = engines.prompt_blocks(
            fleet.MODEL, fleet.VERSION, req.work.prompt
        )
        remote = engine.region != req.region
        link_s = REGION_LINK_S if remote else 0.0
        counts = req.arrived_at >= WARM_UP_S
        if remote and counts:
            self.paid_bytes += len(req.work.prompt) + ANSWER_BYTES

        def begin() -> None:
            hits = engine.prefill(blocks)
            prefill_s = (len(blocks) - hits) * BLOCK_MS / MS_PER_S
            if counts:
                self.blocks += len(blocks)
                self.hits += hits
                ready_at = self.line.now + prefill_s + link_s
                waited_s = ready_at - req.arrived_at
                self.first_token_ms.append(waited_s * MS_PER_S)
            run_s = prefill_s + self.rng.expovariate(1 / TOKEN_S)
            self.line.after(run_s, end)

        def end() -> None:
            engine.end()
            target.record_end(self.line.now, succeeded=True)

        self.line.after(link_s, lambda: engine.submit(begin))

    def figures(self) -> dict[str, float]:
        """Return what was measured."""
        points = statistics.quantiles(self.first_token_ms, n=20)
        return {
            "requests": len(self.first_token_ms),
            "prefix_hit_ratio": round(self.hits / self.blocks, 4),
            "ttft_ms_p50": round(points[9], 1),
            "ttft_ms_p95": round(points[18], 1),
            "cross_region_bytes": self.paid_bytes,
        }


def measure(size: int, seed: int, way: str) -> dict[str, float]:
    """Run one way and return its figures."""
    run = Run(size, seed, way)
    run.run()
    return run.figures()


def ratios(
    ours: dict[str, float], theirs: dict[str, float]
) -> dict[str, float | None]:
    """Return ours divided by the baseline's, where that is not zero."""
    return {
        name: round(ours[name] / theirs[name], 3) if theirs[name] else None
        for name in ours
        if name != "requests"
    }


def main(args: argparse.Namespace) -> None:
    """Print one line for each deployment."""
    for name, size in SIZES.items():
        ours = measure(size, args.seed, "router")
        baseline = measure(size, args.seed, "round_robin")
        near = measure(size, args.seed, "round_robin_near")
        plain = measure(size, args.seed, "no_prefix")
        line = {
            "bench": "routing",
            "deployment": name,
            "seed": args.seed,
            "targets": size,
            "time": "virtual",
            **ours,
            "baseline": "round robin without prefix",
            "baseline_figures": baseline,
            "ratio": ratios(ours, baseline),
            "round_robin_in_region": near,
            "ratio_in_region": ratios(ours, near),
            "router_without_prefix": plain,
        }
        print(json.dumps(line))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="benchmarks.routing")
    parser.add_argument("--seed", type=int, default=6)
    main(parser.parse_args())
