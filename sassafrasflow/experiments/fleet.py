"""Play streams on engines; instances hear of each other's work late."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Sequence
import math
import random

import msgspec

from sassafrasflow import ids
from sassafrasflow.experiments import announcements
from sassafrasflow.experiments import engines
from sassafrasflow.experiments import knowledge
from sassafrasflow.experiments import subsets
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import retries
from sassafrasflow.gateway import targets

__all__ = ["Fleet", "FleetFigures", "Policy", "Result", "View", "play"]

STEP_S = 0.01
# A reset connection tells of a crash at once.
LOSS_SEEN_S = 0.05
# An engine's refusal is back after this, and a request goes to so many
# engines before its caller is told to return.
TURNED_AWAY_S = 2 * knowledge.FAR_S
MAX_SENDS = 3
# The longest streams take half of this.
ENDING_S = 20.0
# The routes' goals of a first event and of a pause.
GOAL_S = 4.5
PAUSE_GOAL_S = 0.7


class Policy(ABC):
    """Choose an engine, with what an instance can know."""

    # How instances learn of each other's work.
    sharing: type[knowledge.Knowledge] = knowledge.Broadcast
    # Whether engines that leave or want nothing are believed.
    heeds = True

    @abstractmethod
    def choose(self, view: "View") -> targets.Target | None:
        """Return the target of a stream."""


class View:
    """Show an instance the engines at one moment."""

    def __init__(
        self,
        fleet: "Fleet",
        instance: int,
        found: Sequence[targets.Target],
        now: float,
    ) -> None:
        self.targets = found
        self.data_centre = fleet.data_centre_of(instance)
        self.now = now
        self.rng = fleet.rng
        self._fleet = fleet
        self._instance = instance

    def subset(self, size: int) -> frozenset[ids.TargetId]:
        """Return a part of the targets, as many here as elsewhere."""
        return self._fleet.subset_of(self._instance, size)

    def learn_loads(
        self, asked: Sequence[targets.Target]
    ) -> Sequence[targets.Target]:
        """Return some targets with the loads that the instance knows."""
        self._fleet.knowledge.ask(self._instance, asked, self.now)
        return asked


class FleetFigures(msgspec.Struct, frozen=True):
    """Hold the size of a deployment and its load."""

    engines: int = 48
    instances: int = 79
    regions: int = 6
    streams_per_s: float = 12.4
    duration_s: float = 30.0
    # At this time instances die with their streams, whose callers come
    # back at the others.
    herd_at: float | None = None
    herd_share: float = 0.6
    herd_return_s: float = 0.1
    # Engines of one region restart empty at this time.
    restart_at: float | None = None
    announced: announcements.AnnouncementFigures = (
        announcements.AnnouncementFigures()
    )


class Result(msgspec.Struct, frozen=True):
    """Tell what callers got."""

    streams: int
    on_time: float
    first_p50_s: float
    first_p95_s: float
    first_max_s: float
    most_at_once: int
    # Placed in the data centre of the instance.
    near: float = 0.0
    # What an instance sends to others, in bytes a second.
    bytes_per_s: float = 0.0
    # Requests to engines that want nothing or leave, and the most that one
    # instance sent to one of them after it knew.
    unwanted: int = 0
    unwanted_known: int = 0
    # Times that callers were told to return later.
    refused: int = 0
    first_s: tuple[float, ...] = ()
    # In each second.
    unwanted_by_second: tuple[int, ...] = ()
    ended_by_second: tuple[int, ...] = ()


class Fleet:
    """Hold engines, instances and what is on its way between them."""

    def __init__(
        self, figures: FleetFigures, policy: Policy, seed: int
    ) -> None:
        self.rng = random.Random(seed)
        self.regions = figures.regions
        self.engines = [
            engines.Engine(engines.EngineFigures(), index % figures.regions)
            for index in range(figures.engines)
        ]
        self.targets = [
            targets.Target(
                targets.ListedTarget(
                    ids.TargetId(f"e{index}"),
                    ids.ServiceName("pool"),
                    "",
                    index,
                    ids.DataCentre(str(engine.region)),
                    engine.figures.slots,
                ),
                1,
            )
            for index, engine in enumerate(self.engines)
        ]
        self.knowledge = policy.sharing(figures.instances, figures.engines)
        self.announced = announcements.Announcements(
            figures.announced, heeded=policy.heeds
        )
        self.refused = 0
        self._instances = figures.instances
        self._subsets: dict[int, frozenset[ids.TargetId]] = {}
        self.near = 0
        self._policy = policy
        self._alive = list(range(figures.instances))
        self._owners: dict[int, tuple[int, int]] = {}

    def data_centre_of(self, instance: int) -> ids.DataCentre:
        """Return where an instance stands."""
        return ids.DataCentre(str(instance % self.regions))

    def subset_of(self, instance: int, size: int) -> frozenset[ids.TargetId]:
        """Return the targets that an instance follows."""
        found = self._subsets.get(instance)
        if found is not None:
            return found
        here = self.data_centre_of(instance)
        beside = [
            f"i{each:04}"
            for each in range(self._instances)
            if self.data_centre_of(each) == here
        ]
        near = [x.id for x in self.targets if x.listed.data_centre == here]
        far = [x.id for x in self.targets if x.listed.data_centre != here]
        name = f"i{instance:04}"
        chosen = frozenset(
            ids.TargetId(each)
            for found in (near, far)
            for each in subsets.choose_window(name, beside, found, size)
        )
        self._subsets[instance] = chosen
        return chosen

    def deliver(self, now: float) -> None:
        """Let instances hear what others told a while ago."""
        self.knowledge.deliver(now)
        self.announced.deliver(now)

    def place(self, stream: engines.Stream, now: float) -> float | None:
        """Send a stream to an engine, from a live instance.

        Return seconds until it comes again if no engine took it.
        """
        instance = stream.instance
        if instance not in self._alive:
            instance = self.rng.choice(self._alive)
        stream.instance = instance
        found = self._choose(stream, instance, now)
        if found is None:
            return self._refuse(stream, instance, now)
        index = found.listed.port
        stream.tried.append(index)
        if not self.announced.send(instance, index, now):
            return TURNED_AWAY_S
        stream.tried.clear()
        here = self.data_centre_of(instance)
        self.near += found.listed.data_centre == here
        load = 1.0 + placement.PREFILL_LOAD_REQUESTS
        self.knowledge.change(instance, index, load, now)
        self._owners[id(stream)] = (instance, index)
        self.engines[index].add(stream)
        return None

    def _choose(
        self, stream: engines.Stream, instance: int, now: float
    ) -> targets.Target | None:
        if len(stream.tried) == MAX_SENDS:
            return None
        found = [
            target
            for index, target in enumerate(self.targets)
            if index not in stream.tried
            and self.announced.wants_work(instance, index, now)
        ]
        if not found:
            return None
        return self._policy.choose(View(self, instance, found, now))

    def _refuse(
        self, stream: engines.Stream, instance: int, now: float
    ) -> float:
        """Let a caller return later, at any instance."""
        self.refused += 1
        stream.tried.clear()
        stream.instance = None
        wait_s = self.announced.return_after(
            instance, len(self.targets), now, self.rng
        )
        return retries.RETRY_AFTER_FULL_S if wait_s is None else wait_s

    def note_first(self, stream: engines.Stream, now: float) -> None:
        """Stop counting a prompt that was read."""
        instance, index = self._owners[id(stream)]
        change = -placement.PREFILL_LOAD_REQUESTS
        self.knowledge.change(instance, index, change, now)

    def note_end(self, stream: engines.Stream, now: float) -> None:
        """Stop counting a stream that has ended."""
        instance, index = self._owners.pop(id(stream))
        self.knowledge.change(instance, index, -1.0, now)

    def kill_instances(self, share: float) -> list[engines.Stream]:
        """Let instances die; return the streams that they carried."""
        dead = self.rng.sample(self._alive, int(share * len(self._alive)))
        self._alive = [each for each in self._alive if each not in dead]
        lost = []
        for engine in self.engines:
            for stream in engine.running + engine.waiting:
                owner = self._owners.get(id(stream))
                if owner is not None and owner[0] in dead:
                    lost.append(stream)
        for engine in self.engines:
            engine.running = [s for s in engine.running if s not in lost]
            engine.waiting = [s for s in engine.waiting if s not in lost]
        for instance in dead:
            self.knowledge.forget_instance(instance)
        return lost

    def restart_region(self, region: int) -> list[engines.Stream]:
        """Let the engines of a region lose everything and start anew."""
        lost = []
        for index, engine in enumerate(self.engines):
            if engine.region == region:
                lost += engine.crash()
                engine.alive = True
                self.knowledge.forget_engine(index)
        return lost


class _Play:
    """Play one load step by step."""

    def __init__(
        self, figures: FleetFigures, policy: Policy, seed: int
    ) -> None:
        self._figures = figures
        self.fleet = Fleet(figures, policy, seed)
        self._rng = self.fleet.rng
        self._now = 0.0
        self._next_at = 0.0
        # Streams whose callers come back, and when.
        self._returning: list[tuple[float, engines.Stream]] = []
        self._herd_at = figures.herd_at
        self._restart_at = figures.restart_at
        self.streams: list[engines.Stream] = []
        self.most_at_once = 0

    def run(self) -> None:
        """Play until the last streams have had time to end."""
        while self._now < self._figures.duration_s + ENDING_S:
            self.fleet.deliver(self._now)
            self._crash_engines()
            self._kill_instances()
            for stream in self._arrivals():
                wait_s = self.fleet.place(stream, self._now)
                if wait_s is not None:
                    self._returning.append((self._now + wait_s, stream))
            for engine in self.fleet.engines:
                self._step(engine)
            self._now += STEP_S

    def _arrivals(self) -> list[engines.Stream]:
        found = [each for at, each in self._returning if at <= self._now]
        self._returning = [
            pair for pair in self._returning if pair[0] > self._now
        ]
        while self._next_at <= min(self._now, self._figures.duration_s):
            stream = engines.Stream(self._next_at)
            self.streams.append(stream)
            found.append(stream)
            self._next_at += self._rng.expovariate(self._figures.streams_per_s)
        return found

    def _crash_engines(self) -> None:
        """Let the instances send again what a region's engines lost."""
        if self._restart_at is None or self._now < self._restart_at:
            return
        self._restart_at = None
        for each in self.fleet.restart_region(0):
            again = engines.Stream(each.arrived_at)
            self.streams.append(again)
            self._returning.append((self._now + LOSS_SEEN_S, again))

    def _kill_instances(self) -> None:
        """Let the callers of dead instances come back at others."""
        if self._herd_at is None or self._now < self._herd_at:
            return
        self._herd_at = None
        lost = self.fleet.kill_instances(self._figures.herd_share)
        self.streams = [each for each in self.streams if each not in lost]
        for _ in lost:
            wait_s = self._rng.uniform(0.0, self._figures.herd_return_s)
            again = engines.Stream(self._now)
            self.streams.append(again)
            self._returning.append((self._now + wait_s, again))

    def _step(self, engine: engines.Engine) -> None:
        unread = sum(1 for each in engine.running if each.unread)
        self.most_at_once = max(
            self.most_at_once, unread + len(engine.waiting)
        )
        reading = [each for each in engine.running if each.first_at is None]
        ended = engine.step(self._now, STEP_S)
        for stream in reading:
            if stream.first_at is not None:
                self.fleet.note_first(stream, self._now)
        for stream in ended:
            self.fleet.note_end(stream, self._now)


def play(figures: FleetFigures, policy: Policy, seed: int) -> Result:
    """Play one load and return what callers got."""
    played = _Play(figures, policy, seed)
    played.run()
    result = _sum_up(played.streams, played.most_at_once)
    seconds = math.ceil(figures.duration_s + ENDING_S)
    return msgspec.structs.replace(
        result,
        near=round(played.fleet.near / max(1, result.streams), 3),
        bytes_per_s=round(
            played.fleet.knowledge.bytes_sent
            / figures.instances
            / figures.duration_s
        ),
        unwanted=len(played.fleet.announced.unwanted),
        unwanted_known=played.fleet.announced.longest_series(),
        refused=played.fleet.refused,
        unwanted_by_second=tuple(
            played.fleet.announced.unwanted_by_second(seconds)
        ),
        ended_by_second=tuple(_ended_by_second(played.streams, seconds)),
    )


def _ended_by_second(
    streams: Sequence[engines.Stream], seconds: int
) -> list[int]:
    """Return how many streams ended on time in each second."""
    found = [0] * seconds
    for stream in streams:
        ended_at = stream.ended_at
        if ended_at is not None and ended_at < seconds:
            found[int(ended_at)] += is_on_time(stream)
    return found


def is_on_time(stream: engines.Stream) -> bool:
    """Tell whether a caller got the first event and all others in time."""
    return (
        stream.ended_at is not None
        and stream.first_at is not None
        and stream.first_at - stream.arrived_at <= GOAL_S
        and stream.longest_pause_s <= PAUSE_GOAL_S
    )


def _sum_up(streams: Sequence[engines.Stream], most: int) -> Result:
    firsts = sorted(
        math.inf if each.first_at is None else each.first_at - each.arrived_at
        for each in streams
    )
    good = [each for each in streams if is_on_time(each)]
    return Result(
        streams=len(streams),
        on_time=len(good) / max(1, len(streams)),
        first_p50_s=round(firsts[len(firsts) // 2], 3),
        first_p95_s=round(firsts[int(0.95 * (len(firsts) - 1))], 3),
        first_max_s=round(firsts[-1], 3),
        most_at_once=most,
        first_s=tuple(round(each, 3) for each in firsts),
    )
