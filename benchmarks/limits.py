"""Fairness between organisations, and retries through an outage.

Virtual time drives the product's own limiters, quotas, router, breakers and
retry budget; arrivals and durations are random.
"""

import argparse
import collections
from collections.abc import Callable
import json
import random
import statistics

import msgspec

from benchmarks import fleet
from benchmarks import timeline
from sassafrasflow import ids
from sassafrasflow import organisations
from sassafrasflow import routing

INSTANCES = 9
ORGANISATIONS = 10
SLOTS = 18 * 16
SERVICE_S = 2.0
UTILISATION = 0.95
FLOOD = 10
SPAN_S = 240.0
WARM_UP_S = 40.0
EXCHANGE_S = 0.5
MAX_WAIT_S = 2.0

OUTAGE_TARGETS = 18
OUTAGE_RATE = 60.0
OUTAGE_FROM_S = 20.0
OUTAGE_TO_S = 50.0
OUTAGE_SPAN_S = 90.0
OUTAGE_CAPACITY = 10
OUTAGE_MOST = 20
MAX_ATTEMPTS = 8
POLL_S = 0.05
WAIT_FOR_TARGET_S = 1.5


class Outcome(msgspec.Struct):
    """Hold what the organisations got in one run."""

    waits: dict[str, list[float]]
    done: collections.Counter
    offered: collections.Counter
    refused: collections.Counter
    busy_s: float = 0.0

    def victims_p95_ms(self) -> float:
        """Return the 95th percentile wait of all but the first."""
        waits = [
            wait
            for name, each in self.waits.items()
            for wait in each
            if name != "org-0"
        ]
        return 1000 * statistics.quantiles(waits, n=20)[18]

    def utilisation(self) -> float:
        """Return the share of slots that were busy."""
        return self.busy_s / (SLOTS * (SPAN_S - WARM_UP_S))


class FairInstance:
    """Admit work by the product's limiter and quotas."""

    def __init__(self, name: str, line: timeline.Timeline) -> None:
        self.name = ids.InstanceId(name)
        self.line = line
        self.limiter: organisations.Limiter[Callable[[], None]] = (
            organisations.Limiter(
                organisations.LimiterPolicy(
                    min_limit=1,
                    max_wait_ms=MAX_WAIT_S * 1000,
                    expected_ms=SERVICE_S * 1000,
                )
            )
        )

    def offer(
        self,
        name: ids.OrganisationId,
        start: Callable[[], None],
        refuse: Callable[[], None],
    ) -> None:
        """Start work, queue it or refuse it."""
        result = self.limiter.offer(name, 1.0, 1.0, start, self.line.now)
        if result is None:
            start()
        elif isinstance(result, organisations.Overload):
            refuse()

    def end(self, name: ids.OrganisationId, duration_s: float) -> None:
        """Give a slot back."""
        self.limiter.end(name, duration_s)
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start what may start."""
        while (waiting := self.limiter.start_next()) is not None:
            waiting.item()


class StaticInstance:
    """Admit work by a fixed part for each instance, first come first."""

    def __init__(self, name: str, line: timeline.Timeline) -> None:
        self.line = line
        self._running = 0
        self._queue: collections.deque[Callable[[], None]] = (
            collections.deque()
        )

    def offer(
        self,
        name: ids.OrganisationId,
        start: Callable[[], None],
        refuse: Callable[[], None],
    ) -> None:
        """Start work, queue it or refuse it."""
        slots = SLOTS // INSTANCES
        if self._running < slots:
            self._running += 1
            start()
        elif len(self._queue) * SERVICE_S / slots < MAX_WAIT_S:
            self._queue.append(start)
        else:
            refuse()

    def end(self, name: ids.OrganisationId, duration_s: float) -> None:
        """Give a slot back."""
        self._running -= 1
        if self._queue:
            self._running += 1
            self._queue.popleft()()


def exchange(
    instances: list[FairInstance],
    line: timeline.Timeline,
) -> None:
    """Apply the quotas that follow from everyone's demand."""
    demands = {one.name: one.limiter.demand(line.now) for one in instances}
    for one in instances:
        quota = organisations.instance_quota(
            SLOTS,
            demands,
            {},
            one.name,
            silent_count=0,
            floor_share=0.25,
        )
        one.limiter.set_quota(quota)
        one.start_waiting()


def run_fairness(kind: type, flood: float, seed: int) -> Outcome:
    """Run all organisations, the first at a multiple of its share.

    The others send the same work whatever the first does.
    """
    line = timeline.Timeline()
    instances = [kind(f"i{n}", line) for n in range(INSTANCES)]
    if kind is FairInstance:
        exchange(instances, line)
        line.every(EXCHANGE_S, lambda: exchange(instances, line))
    made = Outcome(
        collections.defaultdict(list),
        collections.Counter(),
        collections.Counter(),
        collections.Counter(),
    )
    share = SLOTS * UTILISATION / SERVICE_S / ORGANISATIONS
    for number in range(ORGANISATIONS):
        rate = share * (flood if number == 0 else 1.0)
        name = ids.OrganisationId(f"org-{number}")
        rng = random.Random(seed * ORGANISATIONS + number)
        arrive = _arrivals(name, rate, instances, line, rng, made)
        line.after(rng.expovariate(rate), arrive)
    line.run_until(SPAN_S)
    return made


def _arrivals(
    name: ids.OrganisationId,
    rate: float,
    instances: list,
    line: timeline.Timeline,
    rng: random.Random,
    made: Outcome,
) -> Callable[[], None]:
    def arrive() -> None:
        line.after(rng.expovariate(rate), arrive)
        instance = rng.choice(instances)
        duration_s = rng.expovariate(1 / SERVICE_S)
        arrived_at = line.now
        counts = arrived_at >= WARM_UP_S
        made.offered[name] += counts

        def refuse() -> None:
            made.refused[name] += counts

        def start() -> None:
            if counts:
                made.waits[name].append(line.now - arrived_at)
                made.done[name] += 1
            _add_busy(made, line.now, duration_s)
            line.after(duration_s, lambda: instance.end(name, duration_s))

        instance.offer(name, start, refuse)

    return arrive


def _add_busy(made: Outcome, begin: float, duration_s: float) -> None:
    end = min(begin + duration_s, SPAN_S)
    made.busy_s += max(0.0, end - max(begin, WARM_UP_S))


def jain_index(made: Outcome) -> float:
    """Return Jain's index of what each got of its fair share."""
    seconds = SPAN_S - WARM_UP_S
    capacity = SLOTS / SERVICE_S * seconds
    fair = organisations.fair_shares(
        capacity, {name: float(n) for name, n in made.offered.items()}, {}
    )
    parts = [min(1.0, made.done[name] / fair[name]) for name in fair]
    return sum(parts) ** 2 / (len(parts) * sum(part**2 for part in parts))


class Outage:
    """Send requests to targets that all go away and come back."""

    def __init__(self, seed: int, *, limited: bool) -> None:
        self.line = timeline.Timeline()
        self.rng = random.Random(seed)
        self.limited = limited
        self.directory = fleet.build_directory(
            OUTAGE_TARGETS, self.line.clock, OUTAGE_CAPACITY
        )
        budget = routing.RetryBudget(routing.BudgetPolicy(), self.line.clock)
        self.router = routing.Router(
            self.directory,
            fleet.OneVersion(),
            fleet.REGIONS[0],
            self.rng,
            budget=budget if limited else None,
        )
        self.running: collections.Counter[str] = collections.Counter()
        self.offered: collections.Counter[int] = collections.Counter()
        self.sent: collections.Counter[int] = collections.Counter()
        self.retried: collections.Counter[int] = collections.Counter()
        self.done = 0

    def is_down(self) -> bool:
        """Tell whether the outage is on."""
        return OUTAGE_FROM_S <= self.line.now < OUTAGE_TO_S

    def run(self) -> None:
        """Run arrivals and reports."""
        self.line.every(0.5, self.report)
        self.line.after(0.0, self.arrive)
        self.line.run_until(OUTAGE_SPAN_S)

    def report(self) -> None:
        """Poll every target."""
        for target in self.directory:
            if self.is_down():
                target.record_unreachable(self.line.now)
            else:
                made = fleet.report(
                    self.running[target.id], 0, OUTAGE_CAPACITY
                )
                self.directory.apply_report(target, made)

    def arrive(self) -> None:
        """Begin one request."""
        self.line.after(self.rng.expovariate(OUTAGE_RATE), self.arrive)
        self.offered[int(self.line.now)] += 1
        self.attempt(set(), 0, self.line.now + WAIT_FOR_TARGET_S)

    def attempt(self, failed: set[str], tried: int, until: float) -> None:
        """Send a request, wait for a target, or give it up."""
        work = routing.Work(fleet.ORGANISATION, fleet.MODEL, "prompt")
        if self.limited:
            choice = self.router.choose(work, None, failed)
            name = choice.target if choice else None
        else:
            name = self.rng.choice(list(self.directory)).id
        if name is None:
            if self.line.now < until:
                self.line.after(
                    POLL_S, lambda: self.attempt(failed, tried, until)
                )
            return
        self.sent[int(self.line.now)] += 1
        self.retried[int(self.line.now)] += tried > 0
        if self.is_down() or self.running[name] >= OUTAGE_MOST:
            self.fail(name, failed, tried, until)
            return
        self.begin(name)

    def fail(
        self, name: ids.TargetId, failed: set[str], tried: int, until: float
    ) -> None:
        """Note a failure and try elsewhere."""
        if self.limited:
            self.directory.record_failure(name)
        if tried + 1 < MAX_ATTEMPTS:
            self.line.after(
                POLL_S,
                lambda: self.attempt({*failed, name}, tried + 1, until),
            )

    def begin(self, name: ids.TargetId) -> None:
        """Run a request on a target."""
        self.running[name] += 1
        target = self.directory.find(name)
        assert target is not None
        target.record_begin(self.line.now)

        def end() -> None:
            self.running[name] -= 1
            target.record_end(self.line.now, succeeded=True)
            self.done += 1

        self.line.after(self.rng.expovariate(1 / SERVICE_S), end)

    def retries_per_request(self) -> float:
        """Return retries for each request from the outage on."""
        first = int(OUTAGE_FROM_S)
        retried = sum(n for at, n in self.retried.items() if at >= first)
        offered = sum(n for at, n in self.offered.items() if at >= first)
        return retried / offered

    def series(self, counts: collections.Counter[int]) -> list[int]:
        """Return counts for each ten seconds."""
        return [
            sum(counts[at] for at in range(first, first + 10))
            for first in range(0, int(OUTAGE_SPAN_S), 10)
        ]


def fairness_line(kind: type, seed: int) -> dict[str, float]:
    """Return the figures of one way to admit work."""
    calm = run_fairness(kind, 1.0, seed)
    flood = run_fairness(kind, FLOOD, seed)
    before = max(1.0, calm.victims_p95_ms())
    after = max(1.0, flood.victims_p95_ms())
    refused = sum(flood.refused.values()) - flood.refused["org-0"]
    offered = sum(flood.offered.values()) - flood.offered["org-0"]
    return {
        "victim_queue_p95_ms_calm": round(before, 1),
        "victim_queue_p95_ms_flood": round(after, 1),
        "victim_queue_p95_ratio": round(after / before, 3),
        "victims_refused_share": round(refused / offered, 4),
        "fairness_index": round(jain_index(flood), 4),
        "utilisation": round(flood.utilisation(), 3),
        "utilisation_calm": round(calm.utilisation(), 3),
    }


def main(args: argparse.Namespace) -> None:
    """Print one line with the product and the baseline."""
    outage = Outage(args.seed, limited=True)
    outage.run()
    storm = Outage(args.seed, limited=False)
    storm.run()
    line = {
        "bench": "limits",
        "seed": args.seed,
        "instances": INSTANCES,
        "organisations": ORGANISATIONS,
        "slots": SLOTS,
        "flood": FLOOD,
        "time": "virtual",
        **fairness_line(FairInstance, args.seed),
        "retries_per_request": round(outage.retries_per_request(), 4),
        "outage_done": outage.done,
        "offered_by_10s": outage.series(outage.offered),
        "sent_by_10s": outage.series(outage.sent),
        "baseline": "static split, first come first; unlimited retries",
        "baseline_fairness": fairness_line(StaticInstance, args.seed),
        "baseline_retries_per_request": round(storm.retries_per_request(), 3),
        "baseline_outage_done": storm.done,
        "baseline_sent_by_10s": storm.series(storm.sent),
    }
    print(json.dumps(line))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(prog="benchmarks.limits")
    parser.add_argument("--seed", type=int, default=6)
    main(parser.parse_args())
