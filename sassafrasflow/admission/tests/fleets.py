"""Instances that place streams on shared engines, in virtual time.

The instances use the gateway's own placement, load table and load cache.
Messages between them take the time of a link, and can be lost.
"""

from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Generator
import heapq
import itertools
import random
from typing import Any

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import placing
from sassafrasflow.admission import room as rooms
from sassafrasflow.gateway import exchange
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import registry
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway.tests import test_targets

LOCAL_DELAY_S = 0.0005
SAME_REGION_DELAY_S = 0.0007
REMOTE_DELAY_S = 0.02
MEMORY_TOKENS = 88_000
SLOTS = 12
PROMPT_TOKENS = 8_200
ANSWER_TOKENS = 780
# Time from the first event to the last one.
DECODE_S = 3.9
POOL = ids.ServiceName("pool")


class Delay:
    """Suspend a simulated task for some seconds."""

    def __init__(self, seconds: float) -> None:
        self.seconds = seconds

    def __await__(self) -> Generator["Delay", None, None]:
        yield self


class Engine:
    """Engine that counts the tokens that it was asked to hold."""

    def __init__(self, listed: targets.ListedTarget) -> None:
        self.listed = listed
        self.asked_tokens = 0
        self.streams = 0
        self.most_tokens = 0
        self.waiting_until = 0.0

    def add(self, tokens: int, streams: int) -> None:
        """Add or remove the tokens of a stream or a copy."""
        self.asked_tokens += tokens
        self.streams += streams
        self.most_tokens = max(self.most_tokens, self.asked_tokens)


class Job(msgspec.Struct):
    """The fields of a job that placement uses."""

    head: protocol.CallerHead
    service: routes.Service
    rank: int = 2


class Placement(msgspec.Struct):
    """Where a stream came from and went, and when."""

    arrived_at: float
    came_to: ids.DataCentre
    went_to: ids.DataCentre
    first_s: float


class Exchange:
    """Exchange of one instance, whose owners are tables of the fleet."""

    def __init__(self, fleet: "Fleet", instance: "Instance") -> None:
        self._fleet = fleet
        self._instance = instance
        self._cache = loads.LoadCache()
        self._number = itertools.count()

    def load_of(self, target: ids.TargetId) -> float:
        return self._cache.load_of(target, self._fleet.now)

    def figures_of(self, target: targets.ListedTarget) -> loads.PeerFigures:
        cached = self._cache.figures_of(target.id, self._fleet.now)
        return cached or loads.PeerFigures(0.0)

    async def query_loads(self, queried, work, memory_units) -> None:
        fleet, own = self._fleet, self._instance.entry
        delay_s = max(fleet.delay_s(own, each.listed) for each in queried)
        await Delay(delay_s)
        answers = []
        for target in queried:
            if fleet.is_without_owner(target.listed, own):
                continue
            table = fleet.tables[target.listed.data_centre]
            placed = table.work_of(target.id, own.id, fleet.now)
            load = table.load_of(target.id, own.id, fleet.now)
            if self._instance.is_former_build:
                placed, asked, memory = None, loads.NO_WORK, 0
            else:
                asked, memory = work, memory_units
            answers.append(loads.TargetLoad(target.id, load, -1, placed))
            table.record_query(target.id, own.id, fleet.now, asked, memory)
        if len(answers) < len(queried):
            await Delay(exchange.REMOTE_QUERY_TIMEOUT_S)
        await Delay(delay_s)
        self._cache.record_answers(answers, fleet.now)

    def publish(self, target: targets.Target) -> None:
        load = placement.load_of(target) - target.peer_load
        work = loads.TargetWork.of_tokens(
            target.used_tokens, target.prefill_tokens, target.in_flight
        )
        report = loads.LoadReport(
            self._instance.entry,
            1,
            next(self._number),
            {target.id: round(load, 2)},
            () if self._instance.is_former_build else (work,),
        )
        fleet, own = self._fleet, self._instance.entry
        delay_s = exchange.COALESCE_S + fleet.delay_s(own, target.listed)
        fleet.call_later(delay_s, lambda: fleet.apply(report, target.listed))


class Instance:
    """Instance that places streams and copies."""

    def __init__(
        self, fleet: "Fleet", entry: registry.InstanceEntry, *, copies: bool
    ) -> None:
        self.entry = entry
        self.is_former_build = False
        self._copies = copies
        self._fleet = fleet
        self.exchange = Exchange(fleet, self)
        self.targets = {
            each.listed.id: targets.Target(each.listed, 1)
            for each in fleet.engines.values()
        }
        peer_exchange: Any = self.exchange
        self.placer = placing.StreamPlacer(
            lambda: entry.data_centre,
            lambda: peer_exchange,
            lambda: fleet.now,
            telemetry.EventLog(entry.id, fd=-1),
            fleet.metrics,
            fleet.rng,
            regions=lambda: fleet.regions if fleet.knows_regions else {},
        )

    async def stream(self, job: Any) -> None:
        """Place a stream when an engine has room, and run it to its end."""
        fleet = self._fleet
        candidates = list(self.targets.values())
        arrived_at = fleet.now
        while True:
            could_fit = fleet.has_room(job)
            choice = await self.placer.choose(job, candidates, (), ())
            assert choice is not None and choice.demand is not None
            fleet.choices += 1
            fleet.missed += could_fit and not choice.fits
            if choice.fits or not fleet.waits:
                break
            await Delay(fleet.rng.uniform(0.05, 0.15))
        target, demand = choice.target, choice.demand
        self.placer.record_placement(job, choice)
        self._count(target, demand.tokens, 1)
        target.prefills += 1
        target.prefill_tokens += demand.prefill_tokens
        self.exchange.publish(target)
        holder = None
        if self._copies:
            holder = await self.placer.choose_copy_holder(
                job, candidates, target, (), choice.pending
            )
        if holder is not None:
            holder.copies += 1
            holder.used_tokens += demand.tokens
            self.exchange.publish(holder)
            fleet.copies += 1
            fleet.engines[holder.id].add(demand.tokens, 0)
        await self._run(target, demand)
        first_s = fleet.now - DECODE_S - arrived_at
        fleet.first_s.append(first_s)
        fleet.placements.append(
            Placement(
                arrived_at,
                self.entry.data_centre,
                target.listed.data_centre,
                first_s,
            )
        )
        if holder is not None:
            holder.copies -= 1
            holder.used_tokens -= demand.tokens
            self.exchange.publish(holder)
            fleet.engines[holder.id].add(-demand.tokens, 0)

    async def _run(self, target: targets.Target, demand: rooms.Demand) -> None:
        fleet = self._fleet
        running = fleet.engines[target.id]
        running.add(demand.tokens, 1)
        running.waiting_until = max(running.waiting_until, fleet.now)
        read_s = demand.prefill_tokens / rooms.PROMPT_TOKENS_PER_S
        running.waiting_until += read_s
        await Delay(running.waiting_until - fleet.now)
        target.prefills -= 1
        target.prefill_tokens -= demand.prefill_tokens
        self.exchange.publish(target)
        await Delay(DECODE_S)
        running.add(-demand.tokens, -1)
        self._count(target, -demand.tokens, -1)
        self.exchange.publish(target)

    @staticmethod
    def _count(target: targets.Target, tokens: int, streams: int) -> None:
        target.in_flight += streams
        target.used_tokens += tokens


class Fleet:
    """Engines, instances and the owners' tables of a deployment."""

    def __init__(
        self,
        seed: int,
        *,
        instances: int = 20,
        engines: int = 12,
        data_centres: int = 3,
        waits: bool = True,
        copies: bool = False,
        regions: int | None = None,
    ) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.metrics = telemetry.Metrics()
        # Whether streams wait until a sampled engine has room.
        self.waits = waits
        self.choices = 0
        # Choices without room while some engine of the pool had it.
        self.missed = 0
        self.copies = 0
        self.first_s: list[float] = []
        self.dead_owners: set[ids.DataCentre] = set()
        self._events: list[tuple[float, int, Callable[[], Any]]] = []
        self._order = itertools.count()
        self._service = routes.Service(
            POOL, 100, routes.EngineProfile(SLOTS, MEMORY_TOKENS, copies)
        )
        where = [ids.DataCentre(f"dc-{n}") for n in range(data_centres)]
        # Without a number of regions, each data centre is one.
        self.regions = {
            each: ids.Region(
                f"r{n if regions is None else n * regions // data_centres}"
            )
            for n, each in enumerate(where)
        }
        self.knows_regions = regions is not None
        self.placements: list[Placement] = []
        self.tables = {each: loads.LoadTable() for each in where}
        listed = [
            test_targets.listed(
                f"e{n}", data_centre=where[n % data_centres], slots=SLOTS
            )
            for n in range(engines)
        ]
        self.engines = {each.id: Engine(each) for each in listed}
        self.instances = [
            Instance(
                self,
                registry.InstanceEntry(
                    ids.InstanceId(f"i{n}"),
                    f"10.0.0.{n}",
                    7200,
                    where[n % data_centres],
                ),
                copies=copies,
            )
            for n in range(instances)
        ]

    def delay_s(
        self, entry: registry.InstanceEntry, listed: targets.ListedTarget
    ) -> float:
        """Return the one-way latency between an instance and an owner."""
        if entry.data_centre == listed.data_centre:
            return LOCAL_DELAY_S
        own = self.regions[entry.data_centre]
        is_same = own == self.regions[listed.data_centre]
        return SAME_REGION_DELAY_S if is_same else REMOTE_DELAY_S

    def is_without_owner(
        self, listed: targets.ListedTarget, entry: registry.InstanceEntry
    ) -> bool:
        """Return whether the owner of a target does not answer."""
        return listed.data_centre in self.dead_owners

    def apply(
        self, report: loads.LoadReport, listed: targets.ListedTarget
    ) -> None:
        """Deliver a report to the owner of a target, if it is alive."""
        if listed.data_centre not in self.dead_owners:
            self.tables[listed.data_centre].apply(report, self.now)

    def has_room(self, job: Job) -> bool:
        """Return whether any engine can hold a stream now."""
        tokens = job.head.prompt_tokens + job.head.answer_tokens
        return any(
            each.streams < SLOTS
            and each.asked_tokens + tokens <= MEMORY_TOKENS
            for each in self.engines.values()
        )

    def call_later(self, delay_s: float, call) -> None:
        """Call a function in virtual time."""
        item = self.now + delay_s, next(self._order), call
        heapq.heappush(self._events, item)

    def start(self, coro: Coroutine[Delay, None, None]) -> None:
        """Run a task until its end, in virtual time."""

        def step() -> None:
            try:
                delay = coro.send(None)
            except StopIteration:
                return
            self.call_later(delay.seconds, step)

        step()

    def arrive(
        self,
        at: float,
        prompt_tokens: int = PROMPT_TOKENS,
        data_centre: ids.DataCentre | None = None,
    ) -> None:
        """Let a stream arrive at an instance, of a data centre if given."""
        instance = self.rng.choice(
            [
                each
                for each in self.instances
                if data_centre in (None, each.entry.data_centre)
            ]
        )
        head = protocol.CallerHead(
            host="",
            attempt_id=None,
            caller_timeout_ms=None,
            keys=(),
            resume_after=None,
            prompt_tokens=prompt_tokens,
            answer_tokens=ANSWER_TOKENS,
            forwarded=(),
        )
        job = Job(head, self._service)
        delay_s = at - self.now
        self.call_later(delay_s, lambda: self.start(instance.stream(job)))

    def run(self, until: float) -> None:
        """Advance the virtual time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    @property
    def used_share(self) -> float:
        """Return the share of the memory that is in use."""
        used = sum(each.asked_tokens for each in self.engines.values())
        return used / (MEMORY_TOKENS * len(self.engines))

    @property
    def most_tokens(self) -> int:
        """Return the most tokens that an engine was asked to hold."""
        return max(each.most_tokens for each in self.engines.values())
