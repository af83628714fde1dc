"""Instances with gates and fake engines, for loads in virtual time.

The figures are those of the deployment with 83 instances and 89 engines.
"""

import asyncio
import collections
import contextlib
import random

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import gate as gates
from sassafrasflow.admission import room as rooms
from sassafrasflow.admission import share_exchange
from sassafrasflow.admission import waiting
from sassafrasflow.admission.tests import share_net
from sassafrasflow.gateway import telemetry

__all__ = ["Class", "Fleet", "PATIENT", "URGENT"]

INSTANCES = 83
ENGINES = 89
DATA_CENTRES = 6
MEMORY_TOKENS = 88_000
SLOTS = 12
# 130 events of 6 tokens, at 4.63 ms for an output step.
ANSWER_TOKENS = 780
STEP_S = 0.00463
# Each running stream slows prompts and steps down by this share.
SLOWDOWN = 0.04
LOCAL_QUERY_S = 0.002
REMOTE_QUERY_S = 0.041
# An owner counts queries of this time as a share of a prompt.
PENDING_QUERY_S = 0.12
PENDING_QUERY_PREFILL = 0.25
TIME_LIMIT_S = 25.0
RESTART_S = 1.2
MAX_TRIES = 4
SERVICE = ids.ServiceName("chat")


class Class(msgspec.Struct, frozen=True):
    """Kind of stream, with its rate in the fleet per second."""

    name: str
    rate: float
    rank: int
    goal_s: float
    prompt_tokens: int = 8200
    organisation: ids.OrganisationId = ids.OrganisationId("one")
    ranks_before: int = 0
    # Where the streams arrive; None for anywhere.
    data_centre: int | None = None


URGENT = Class("urgent", 2.21, 0, 4.0)
PATIENT = Class("patient", 26.2, 2, 10.0, ranks_before=2)


class Rejected(Exception):
    """Raised when an engine is full."""


class Crashed(Exception):
    """Raised when an engine ends."""


class Log(telemetry.EventLog):
    """Write nothing."""

    def write(self, event, *, routine=False, **fields):
        pass


class Engine:
    """Read prompts one after the other, and write in parallel."""

    def __init__(self, name: str, data_centre: int) -> None:
        self.name = name
        self.data_centre = data_centre
        self.used_tokens = 0
        self.unread_tokens = 0
        self.streams = 0
        self.read_tokens = 0
        self.is_up = True
        self._reading = asyncio.Lock()
        # A dictionary keeps the order, so that a seed gives the same course.
        self._tasks: dict[asyncio.Task, None] = {}
        self._queries: dict[int, tuple[float, rooms.Demand]] = {}

    def room(self, asking: int | None = None) -> rooms.Room:
        """Return the room as an owner tells it to an instance."""
        now = asyncio.get_running_loop().time()
        used, unread = self.used_tokens, self.unread_tokens
        for sender, (at, demand) in self._queries.items():
            if sender != asking and now - at < PENDING_QUERY_S:
                used += demand.tokens
                unread += round(PENDING_QUERY_PREFILL * demand.prefill_tokens)
        return rooms.Room(
            MEMORY_TOKENS, used, unread, SLOTS, self.streams, 0.0
        )

    def query(self, asking: int, demand: rooms.Demand) -> rooms.Room:
        now = asyncio.get_running_loop().time()
        self._queries.pop(asking, None)
        room = self.room()
        if rooms.fits(room, demand):
            self._queries[asking] = now, demand
        return self.room(asking)

    def is_idle_for(self, demand: rooms.Demand) -> bool:
        """Return whether the engine could read a prompt at once."""
        room = rooms.Room(
            MEMORY_TOKENS, self.used_tokens, 0, SLOTS, self.streams
        )
        return (
            self.is_up and not self.unread_tokens and rooms.fits(room, demand)
        )

    async def run(self, demand: rooms.Demand) -> float:
        """Run a stream to its first event; return when it came."""
        if not self.is_up:
            raise Crashed
        if self.streams >= SLOTS or (
            self.used_tokens + demand.tokens > MEMORY_TOKENS
        ):
            raise Rejected
        task = asyncio.create_task(self._read(demand))
        self._tasks[task] = None
        try:
            return await task
        except asyncio.CancelledError:
            if self.is_up:
                raise
            raise Crashed from None
        finally:
            del self._tasks[task]

    async def _read(self, demand: rooms.Demand) -> float:
        self.streams += 1
        self.used_tokens += demand.tokens
        self.unread_tokens += demand.prefill_tokens
        is_done = False
        try:
            try:
                async with self._reading:
                    await asyncio.sleep(
                        rooms.wait_s(
                            rooms.Room(0, 0, 0, 0, 0),
                            demand,
                            1 + SLOWDOWN * self.streams,
                        )
                    )
            finally:
                self.unread_tokens -= demand.prefill_tokens
            self.read_tokens += demand.prefill_tokens
            is_done = True
        finally:
            if not is_done:
                self._release(demand)
        write = asyncio.create_task(self._write(demand))
        self._tasks[write] = None
        write.add_done_callback(self._tasks.pop)
        return asyncio.get_running_loop().time()

    async def _write(self, demand: rooms.Demand) -> None:
        try:
            steps = demand.tokens - demand.prefill_tokens
            pace = 1 + SLOWDOWN * self.streams
            await asyncio.sleep(STEP_S * steps * pace)
        finally:
            self._release(demand)

    def _release(self, demand: rooms.Demand) -> None:
        self.streams -= 1
        self.used_tokens -= demand.tokens

    async def crash(self, down_s: float) -> None:
        self.is_up = False
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(down_s)
        self.is_up = True


class Instance:
    """Sample engines, let streams pass its gate and send them."""

    def __init__(self, number: int, fleet: "Fleet") -> None:
        self._number = number
        self._fleet = fleet
        self.data_centre = number % DATA_CENTRES
        # Shares of organisations, with a link to the other instances.
        self.shares: share_exchange.ShareExchange | None = None
        if fleet.net is not None:
            self.shares = fleet.net.shares[number]
        self.gate: gates.StreamGate[Engine] = gates.StreamGate(
            asyncio.get_running_loop().time,
            fleet.rng,
            Log("entry"),
            telemetry.Metrics(),
            lambda: 160_000_000,
            share_source=self.shares,
        )

    def use(self, cls: Class, tokens: int) -> None:
        """Count the tokens of a stream for its organisation."""
        if self.shares is not None:
            self.shares.add_used(SERVICE, cls.organisation, tokens)

    async def sample(self, size, demand, avoid, rounds=1):
        """Return the best of some local targets, or else of remote ones."""
        best = None
        for _ in range(rounds):
            for is_local in (True, False):
                candidates = [
                    engine
                    for engine in self._fleet.engines
                    if engine.is_up
                    and engine.name not in avoid
                    and (engine.data_centre == self.data_centre) is is_local
                ]
                count = size.local if is_local else size.remote
                if not is_local and best is None:
                    count = max(size.local, size.remote)
                drawn = self._fleet.rng.sample(
                    candidates, min(count, len(candidates))
                )
                if not drawn:
                    continue
                self._fleet.queries += len(drawn)
                for engine in drawn:
                    room = engine.query(self._number, demand)
                    wait_s = rooms.wait_s(room, demand)
                    offer = gates.Offer(engine, room, wait_s)
                    key = not rooms.fits(room, demand), wait_s
                    if best is None or key < best[0]:
                        best = key, offer
                await asyncio.sleep(
                    LOCAL_QUERY_S if is_local else REMOTE_QUERY_S
                )
                if best is not None and not best[0][0]:
                    room = best[1].room
                    if not room.prefill_tokens and room.used_slots < 2:
                        return best[1]
            if best is not None and not best[0][0]:
                break
        return None if best is None else best[1]

    async def run(self, cls: Class, time_limit_s: float = TIME_LIMIT_S):
        """Run a stream; return its first event's time, or a refusal."""
        loop = asyncio.get_running_loop()
        arrived_at = loop.time()
        demand = rooms.Demand(
            cls.prompt_tokens + ANSWER_TOKENS, cls.prompt_tokens
        )
        avoid: set[str] = set()
        for number in range(MAX_TRIES):
            began = loop.time()
            offer = await self.sample(
                waiting.SampleSize(2, 2), demand, avoid, rounds=3
            )
            if offer is not None and self._fleet.has_gates:
                entrant = gates.Entrant(
                    waiting.StreamRequest(
                        cls.rank,
                        arrived_at,
                        arrived_at + cls.goal_s,
                        arrived_at + time_limit_s,
                        demand,
                        cls.organisation,
                        cls.ranks_before,
                        stream_s=5.0,
                        is_new=not number,
                        service=SERVICE,
                    ),
                    lambda size: self.sample(size, demand, avoid),
                    lambda engine: engine.is_up and engine.name not in avoid,
                )
                self._fleet.demands[id(entrant)] = demand
                try:
                    offer = await self.gate.enter(entrant, offer, began)
                finally:
                    del self._fleet.demands[id(entrant)]
            if offer is None:
                return gates.Refused(waiting.RefuseCause.TOO_LATE, 1.0)
            if isinstance(offer, gates.Refused):
                return offer
            engine = offer.target
            self._fleet.sends += 1
            if engine.data_centre != self.data_centre:
                await asyncio.sleep(REMOTE_QUERY_S / 2)
            self.use(cls, demand.tokens)
            used_s = 0.0
            try:
                async with asyncio.timeout_at(arrived_at + time_limit_s):
                    first_at = await engine.run(demand)
                used_s = STEP_S * ANSWER_TOKENS
                return first_at
            except Rejected:
                self._fleet.rejected += 1
            except Crashed:
                self._fleet.restarted += 1
            except TimeoutError:
                break
            finally:
                loop.call_later(used_s, self.use, cls, -demand.tokens)
                self.gate.wake_first()
            avoid.add(engine.name)
        return gates.Refused(waiting.RefuseCause.TOO_LATE, 0.25)


class Fleet:
    """Play a load and collect the times of the first events."""

    def __init__(
        self,
        *,
        seed=1,
        instances=INSTANCES,
        engines=ENGINES,
        has_gates=True,
        has_shares=False,
    ) -> None:
        self.rng = random.Random(seed)
        # Network for the shares of organisations.
        self.net: share_net.ShareNet | None = None
        if has_shares:
            loop = asyncio.get_running_loop()
            self.net = share_net.ShareNet(
                instances, DATA_CENTRES, loop.time, seed
            )
        self.has_gates = has_gates
        self.engines = [
            Engine(f"e{n}", n % DATA_CENTRES) for n in range(engines)
        ]
        self.instances = [Instance(n, self) for n in range(instances)]
        self.sends = self.rejected = self.restarted = self.queries = 0
        self.refused: collections.Counter[str] = collections.Counter()
        # Time from the arrival to the first event, by class; a stream without
        # one counts with infinity.
        self.first_s: dict[str, list[float]] = collections.defaultdict(list)
        self.goals: dict[str, float] = {}
        # Demands of the streams at the gates.
        self.demands: dict[int, rooms.Demand] = {}
        # Longest time for which one stream waited while a quarter of the
        # engines were idle.
        self.longest_beside_idle_s = 0.0
        # Whether refused callers retry at once, or honour Retry-After.
        self.retries_at_once = False
        self._tasks: list[asyncio.Task] = []

    async def caller(self, cls: Class) -> None:
        """Send a request, and again after a refusal, to any instance."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        self.goals[cls.name] = cls.goal_s
        first = float("inf")
        for _ in range(2):
            remaining_s = TIME_LIMIT_S - (loop.time() - began)
            if remaining_s <= 0.05:
                break
            instance = self.rng.choice(
                [
                    each
                    for each in self.instances
                    if cls.data_centre in (None, each.data_centre)
                ]
            )
            result = await instance.run(cls, remaining_s)
            if not isinstance(result, gates.Refused):
                first = result - began
                break
            self.refused[cls.name] += 1
            if not self.retries_at_once:
                await asyncio.sleep(min(result.retry_after_s, remaining_s / 3))
        self.first_s[cls.name].append(first)

    async def arrivals(self, cls: Class, for_s: float) -> None:
        """Start the streams of a class at random times."""
        if not cls.rate:
            return
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        while True:
            await asyncio.sleep(self.rng.expovariate(cls.rate))
            if loop.time() >= until:
                return
            self.start(cls)

    def start(self, cls: Class) -> None:
        self._tasks.append(asyncio.create_task(self.caller(cls)))

    async def play(self, classes, for_s: float) -> None:
        """Play some classes at the same time, and wait for all answers."""
        watch = asyncio.create_task(self._watch_idle())
        if self.net is not None:
            self.net.start()
        try:
            await asyncio.gather(
                *(self.arrivals(cls, for_s) for cls in classes)
            )
            while self._tasks:
                tasks, self._tasks = self._tasks, []
                await asyncio.gather(*tasks)
        finally:
            watch.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await watch
            if self.net is not None:
                await self.net.close()

    async def _watch_idle(self) -> None:
        """Measure how long each stream waits beside idle engines.

        A stream samples few of the engines, so it need not find a single idle
        one; it has to find one of a quarter of them soon.
        """
        step_s = 0.02
        beside_s: dict[int, float] = {}
        while True:
            await asyncio.sleep(step_s)
            previous, beside_s = beside_s, {}
            for key, demand in self.demands.items():
                idle = sum(each.is_idle_for(demand) for each in self.engines)
                if 4 * idle >= len(self.engines):
                    beside_s[key] = previous.get(key, 0.0) + step_s
            self.longest_beside_idle_s = max(
                self.longest_beside_idle_s, *beside_s.values(), 0.0
            )

    def on_time(self, name: str) -> float:
        """Return the share of a class's streams that were on time."""
        times, goal_s = self.first_s[name], self.goals[name]
        return sum(each <= goal_s for each in times) / max(1, len(times))

    def percentile(self, name: str, share: float = 0.95) -> float:
        times = sorted(self.first_s[name])
        return times[min(len(times) - 1, int(share * len(times)))]
