"""Simulated targets, traffic and faults for releases."""

import enum
import heapq
import itertools
import math
import random

import msgspec

from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import generations
from sassafrasflow import ids

__all__ = ["Fault", "GOOD", "Request", "Size", "SIZES", "World"]

MODEL = ids.ModelName("planner")
OLD = "v1"
NEW = "v2"
REGIONS = ("east", "north", "west")
ROUTES = ("/v1/completions", "/v1/chat/completions")
ROUTE_WEIGHTS = (0.7, 0.3)
MAX_TOKENS = 400
TARGET_FAILURE_S = 300.0
OVERLOAD_S = 400.0
CRASH_INTERVAL_S = 30.0
POISON_CRASHES = 3
RETRY_REASON = exceptions.RetryReason


class Fault(enum.Enum):
    """List the faults of a release or of its environment."""

    FAILS_AT_ONCE = "fails_at_once"
    FAILS_LATER = "fails_later"
    SLOW_AT_ONCE = "slow_at_once"
    SLOW_LATER = "slow_later"
    FAILS_UNDER_LOAD = "fails_under_load"
    SLOW_UNDER_LOAD = "slow_under_load"
    FAILS_ON_ROUTE = "fails_on_route"
    FAILS_IN_REGION = "fails_in_region"
    CUT_OUTPUT = "cut_output"
    CRASH_LOOP = "crash_loop"
    NEVER_LOADS = "never_loads"
    HEALTHY = "healthy"
    DYING_TARGET = "dying_target"
    POISON_REQUEST = "poison_request"
    GLOBAL_OVERLOAD = "global_overload"
    SLOW_LINK = "slow_link"
    NOISY_ORGANISATION = "noisy_organisation"


GOOD = frozenset(
    {
        Fault.HEALTHY,
        Fault.DYING_TARGET,
        Fault.POISON_REQUEST,
        Fault.GLOBAL_OVERLOAD,
        Fault.SLOW_LINK,
        Fault.NOISY_ORGANISATION,
    }
)
LATER = frozenset({Fault.FAILS_LATER, Fault.SLOW_LATER})
LOAD_SHARE = 0.5
FAILING_RATE = 0.3
SLOW_FACTOR = 1.6


class Size(msgspec.Struct, frozen=True):
    """Hold the size of a deployment and its requests per second."""

    name: str
    targets_per_region: int
    requests_per_s: float


SIZES = (Size("northstar", 6, 4.5), Size("zancos", 4, 3.0))


class Request(msgspec.Struct, frozen=True):
    """Hold one request and its target."""

    at: float
    region: str
    route: str
    organisation: str
    version: str
    target: str
    fingerprint: str


class World:
    """Generate requests whose outcomes follow from a fault."""

    def __init__(
        self, size: Size, fault: Fault, span_s: float, rng: random.Random
    ) -> None:
        self.size = size
        self.fault = fault
        self.rng = rng
        self.onset = 0.0
        if fault in LATER or fault in GOOD:
            self.onset = rng.uniform(0.1, 0.6) * span_s
        self.targets = {
            region: [f"{region}-{n}" for n in range(size.targets_per_region)]
            for region in REGIONS
        }
        self.candidate_targets: dict[str, list[str]] = {
            region: [] for region in REGIONS
        }
        self.crashed: list[str] = []
        self._bad_region = rng.choice(REGIONS)
        self._bad_target = f"{self._bad_region}-0"
        self._running: list[
            tuple[float, int, Request, generations.AttemptOutcome]
        ] = []
        self._order = itertools.count()
        self._poison_times = sorted(
            self.onset + rng.expovariate(1 / 20) for _ in range(POISON_CRASHES)
        )

    def load_candidate(self, per_region: int) -> None:
        """Load the candidate on the first targets of every region."""
        for region, targets in self.targets.items():
            self.candidate_targets[region] = targets[:per_region]

    def generate_requests(
        self, now: float, step_s: float, share: float
    ) -> list[Request]:
        """Generate and start the requests of one time step."""
        rate = self.size.requests_per_s
        if self.fault is Fault.GLOBAL_OVERLOAD and self._is_active(now):
            rate *= 2
        count = _poisson(self.rng, rate * step_s)
        return [self._request(now, share) for _ in range(count)]

    def pop_ended_attempts(
        self, now: float
    ) -> list[tuple[Request, generations.AttemptOutcome]]:
        """Remove and return the attempts that have ended."""
        self._crash(now)
        ended = []
        while self._running and self._running[0][0] <= now:
            _, _, req, outcome = heapq.heappop(self._running)
            ended.append((req, outcome))
        return ended

    def is_bad_at(self, now: float, share: float) -> bool:
        """Return whether the candidate's fault is active at a time."""
        if self.fault in GOOD or now < self.onset:
            return False
        if self.fault in (Fault.FAILS_UNDER_LOAD, Fault.SLOW_UNDER_LOAD):
            return share >= LOAD_SHARE
        return True

    def _is_active(self, now: float) -> bool:
        return self.onset <= now < self.onset + OVERLOAD_S

    def _request(self, now: float, share: float) -> Request:
        rng = self.rng
        region = rng.choice(REGIONS)
        version = NEW if rng.random() < share else OLD
        pool = self.candidate_targets[region] if version == NEW else []
        req = Request(
            now,
            region,
            rng.choices(ROUTES, ROUTE_WEIGHTS)[0],
            f"org-{min(9, int(rng.expovariate(0.5)))}",
            version,
            rng.choice(pool or self.targets[region]),
            f"{rng.getrandbits(64):x}",
        )
        self._start_attempt(req, share)
        return req

    def _start_attempt(self, req: Request, share: float) -> None:
        rng = self.rng
        failure = self._failure(req, share)
        slow = self._slowdown(req, share)
        first_s = 0.25 * slow * math.exp(rng.gauss(0, 0.5))
        inter_s = 0.03 * slow * math.exp(rng.gauss(0, 0.25))
        tokens = max(1, int(MAX_TOKENS * rng.betavariate(4, 2)))
        if self._truncates(req):
            tokens = max(1, tokens // 4)
        duration_s = first_s + tokens * inter_s
        if failure is not None:
            duration_s *= rng.random()
        if req.organisation == "org-0" and self._is_noisy(req.at):
            tokens = MAX_TOKENS
            inter_s *= 1.5
        outcome = generations.AttemptOutcome(
            model=MODEL,
            version=req.version,  # type: ignore[arg-type]
            target=req.target,  # type: ignore[arg-type]
            organisation=req.organisation,  # type: ignore[arg-type]
            fingerprint=req.fingerprint,
            tokens=tokens,
            max_tokens=MAX_TOKENS,
            first_token_s=None if failure else first_s,
            inter_token_s=None if failure else inter_s,
            failure=failure,
            route=req.route,
            duration_s=duration_s,
        )
        entry = (req.at + duration_s, next(self._order), req, outcome)
        heapq.heappush(self._running, entry)

    def _is_noisy(self, now: float) -> bool:
        return self.fault is Fault.NOISY_ORGANISATION and self._is_active(now)

    def _truncates(self, req: Request) -> bool:
        return self.fault is Fault.CUT_OUTPUT and req.version == NEW

    def _failure(
        self, req: Request, share: float
    ) -> exceptions.RetryReason | None:
        rng = self.rng
        if rng.random() < 0.002:
            return RETRY_REASON.CONNECTION_LOST
        has_failing_target = self.fault is Fault.DYING_TARGET
        is_failing = (
            has_failing_target
            and self.onset <= req.at < self.onset + TARGET_FAILURE_S
        )
        if is_failing and req.target == self._bad_target:
            return RETRY_REASON.CONNECTION_LOST
        overloaded = self.fault is Fault.GLOBAL_OVERLOAD
        if overloaded and self._is_active(req.at) and rng.random() < 0.1:
            return RETRY_REASON.STALLED
        if self._is_noisy(req.at) and req.organisation == "org-0":
            return RETRY_REASON.STALLED if rng.random() < 0.2 else None
        if not self._is_faulty(req, share) or rng.random() > FAILING_RATE:
            return None
        return rng.choice((RETRY_REASON.CONNECTION_LOST, RETRY_REASON.STALLED))

    def _is_faulty(self, req: Request, share: float) -> bool:
        if req.version != NEW or not self.is_bad_at(req.at, share):
            return False
        if self.fault is Fault.FAILS_ON_ROUTE:
            return req.route == ROUTES[1]
        if self.fault is Fault.FAILS_IN_REGION:
            return req.region == self._bad_region
        return self.fault in (
            Fault.FAILS_AT_ONCE,
            Fault.FAILS_LATER,
            Fault.FAILS_UNDER_LOAD,
        )

    def _slowdown(self, req: Request, share: float) -> float:
        if self.fault is Fault.GLOBAL_OVERLOAD and self._is_active(req.at):
            return 2.5
        if self.fault is Fault.SLOW_LINK and self._is_active(req.at):
            return 2.0 if req.region == self._bad_region else 1.0
        slow = self.fault in (
            Fault.SLOW_AT_ONCE,
            Fault.SLOW_LATER,
            Fault.SLOW_UNDER_LOAD,
        )
        if slow and req.version == NEW and self.is_bad_at(req.at, share):
            return SLOW_FACTOR
        return 1.0

    def _crash(self, now: float) -> None:
        if self.fault is Fault.CRASH_LOOP:
            for targets in self.candidate_targets.values():
                for target in targets:
                    if self.rng.random() < 1 / CRASH_INTERVAL_S:
                        self._crash_target(target, now)
        poison = self.fault is Fault.POISON_REQUEST
        while poison and self._poison_times and self._poison_times[0] <= now:
            self._poison_times.pop(0)
            region = self.rng.choice(REGIONS)
            self._crash_target(self.rng.choice(self.targets[region]), now)

    def _crash_target(self, target: str, now: float) -> None:
        self.crashed.append(target)
        attempts = []
        for entry in self._running:
            at, order, req, outcome = entry
            if req.target == target:
                lost = msgspec.structs.replace(
                    outcome,
                    failure=RETRY_REASON.CONNECTION_LOST,
                    first_token_s=None,
                    inter_token_s=None,
                    duration_s=min(at, now) - req.at,
                )
                entry = (min(at, now), order, req, lost)
            attempts.append(entry)
        self._running = attempts
        heapq.heapify(self._running)


def document_with(
    share: float, trial: configuration.Trial
) -> configuration.Document:
    """Return a configuration that gives the candidate a share."""
    shares = {ids.VersionId(OLD): 1 - share, ids.VersionId(NEW): share}
    return configuration.Document(
        models={MODEL: configuration.Model(shares)},
        trials={MODEL: trial},
    )


def _poisson(rng: random.Random, mean: float) -> int:
    limit = math.exp(-mean)
    count = 0
    product = rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count
