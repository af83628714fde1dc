"""Simulation of streams on engines whose loads are learned with a delay."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Sequence
import math
import random

import msgspec

from sassafrasflow import ids
from sassafrasflow.experiments import announcements
from sassafrasflow.experiments import engines
from sassafrasflow.experiments import load_sharing
from sassafrasflow.experiments import subsets
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import retries
from sassafrasflow.gateway import targets

__all__ = ["Fleet", "FleetFigures", "Policy", "Result", "View", "simulate"]

STEP_S = 0.01
# A crash is detected quickly, because its connections are reset.
LOSS_DETECTION_S = 0.05
# The rejection of an engine arrives after this delay. A request goes to at
# most this many engines before its caller is told to retry later.
REJECTION_DELAY_S = 2 * load_sharing.REMOTE_DELAY_S
MAX_TRIES = 3
# Time for streams to end after the last arrival; the longest ones take half.
DRAIN_S = 20.0
# Goals of the routes for the first event and for the longest gap of events.
FIRST_EVENT_GOAL_S = 4.5
GAP_GOAL_S = 0.7


class Policy(ABC):
    """Choose an engine from the information that an instance has."""

    # How instances share the loads of targets.
    sharing: type[load_sharing.LoadSharing] = load_sharing.Broadcast
    # Whether engines that announced a pause or their leaving are avoided.
    uses_announcements = True

    @abstractmethod
    def choose(self, view: "View") -> targets.Target | None:
        """Return the target of a stream."""


class View:
    """Present the engines to an instance at one moment."""

    def __init__(
        self,
        fleet: "Fleet",
        instance: int,
        candidates: Sequence[targets.Target],
        now: float,
    ) -> None:
        self.targets = candidates
        self.data_centre = fleet.data_centre_of(instance)
        self.now = now
        self.rng = fleet.rng
        self._fleet = fleet
        self._instance = instance

    def subset(self, size: int) -> frozenset[ids.TargetId]:
        """Return up to ``size`` local targets and as many remote ones."""
        return self._fleet.subset_of(self._instance, size)

    def query_loads(
        self, queried: Sequence[targets.Target]
    ) -> Sequence[targets.Target]:
        """Return some targets with the loads that the instance knows."""
        self._fleet.load_sharing.query_loads(self._instance, queried, self.now)
        return queried


class FleetFigures(msgspec.Struct, frozen=True):
    """Hold the size of a deployment and its load."""

    engines: int = 48
    instances: int = 79
    # Number of data centres.
    regions: int = 6
    streams_per_s: float = 12.4
    duration_s: float = 30.0
    # At this time instances die with their streams, whose callers retry at
    # the other instances within ``herd_return_s``.
    herd_at: float | None = None
    herd_share: float = 0.6
    herd_return_s: float = 0.1
    # At this time the engines of one data centre restart without their
    # streams.
    restart_at: float | None = None
    announced: announcements.AnnouncementFigures = (
        announcements.AnnouncementFigures()
    )


class Result(msgspec.Struct, frozen=True):
    """Summarise what callers got in one simulation."""

    streams: int
    # Share of the streams that got all events in time.
    on_time: float
    first_p50_s: float
    first_p95_s: float
    first_max_s: float
    # Most prompts that one engine was reading or queueing at once.
    most_at_once: int
    # Share of streams placed in the data centre of the instance.
    near: float = 0.0
    # Bytes per second that an instance sends to others.
    bytes_per_s: float = 0.0
    # Requests to engines that were paused or leaving, and the most that one
    # instance sent to one of them after the announcement arrived.
    unwanted: int = 0
    unwanted_known: int = 0
    # Number of times that callers were told to retry later.
    refused: int = 0
    first_s: tuple[float, ...] = ()
    # Counts for each second.
    unwanted_by_second: tuple[int, ...] = ()
    ended_by_second: tuple[int, ...] = ()


class Fleet:
    """Hold the engines, the instances and messages between them."""

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
                    ids.DataCentre(str(engine.data_centre_index)),
                    engine.figures.slots,
                ),
                1,
            )
            for index, engine in enumerate(self.engines)
        ]
        self.load_sharing = policy.sharing(figures.instances, figures.engines)
        self.announced = announcements.Announcements(
            figures.announced, uses_announcements=policy.uses_announcements
        )
        self.refused = 0
        self._instances = figures.instances
        self._subsets: dict[int, frozenset[ids.TargetId]] = {}
        self.local_placements = 0
        self._policy = policy
        self._live_instances = list(range(figures.instances))
        self._placements: dict[int, tuple[int, int]] = {}

    def data_centre_of(self, instance: int) -> ids.DataCentre:
        """Return the data centre of an instance."""
        return ids.DataCentre(str(instance % self.regions))

    def subset_of(self, instance: int, size: int) -> frozenset[ids.TargetId]:
        """Return the targets that an instance considers."""
        cached = self._subsets.get(instance)
        if cached is not None:
            return cached
        data_centre = self.data_centre_of(instance)
        local_instances = [
            f"i{each:04}"
            for each in range(self._instances)
            if self.data_centre_of(each) == data_centre
        ]
        local_ids = [
            x.id for x in self.targets if x.listed.data_centre == data_centre
        ]
        remote_ids = [
            x.id for x in self.targets if x.listed.data_centre != data_centre
        ]
        name = f"i{instance:04}"
        chosen = frozenset(
            ids.TargetId(each)
            for target_ids in (local_ids, remote_ids)
            for each in subsets.choose_window(
                name, local_instances, target_ids, size
            )
        )
        self._subsets[instance] = chosen
        return chosen

    def deliver(self, now: float) -> None:
        """Deliver shared loads and announcements that are due."""
        self.load_sharing.deliver(now)
        self.announced.deliver(now)

    def place(self, stream: engines.Stream, now: float) -> float | None:
        """Send a stream to an engine from a live instance.

        Return the seconds until its next try if no engine accepted it.
        """
        instance = stream.instance
        if instance not in self._live_instances:
            instance = self.rng.choice(self._live_instances)
        stream.instance = instance
        target = self._choose(stream, instance, now)
        if target is None:
            return self._refuse(stream, instance, now)
        index = target.listed.port
        stream.tried_engines.append(index)
        if not self.announced.send(instance, index, now):
            return REJECTION_DELAY_S
        stream.tried_engines.clear()
        data_centre = self.data_centre_of(instance)
        self.local_placements += target.listed.data_centre == data_centre
        load = 1.0 + placement.PREFILL_LOAD_REQUESTS
        self.load_sharing.change(instance, index, load, now)
        self._placements[id(stream)] = (instance, index)
        self.engines[index].add(stream)
        return None

    def _choose(
        self, stream: engines.Stream, instance: int, now: float
    ) -> targets.Target | None:
        if len(stream.tried_engines) == MAX_TRIES:
            return None
        candidates = [
            target
            for index, target in enumerate(self.targets)
            if index not in stream.tried_engines
            and self.announced.is_available(instance, index, now)
        ]
        if not candidates:
            return None
        return self._policy.choose(View(self, instance, candidates, now))

    def _refuse(
        self, stream: engines.Stream, instance: int, now: float
    ) -> float:
        """Refuse a stream; return the seconds until its caller retries."""
        self.refused += 1
        stream.tried_engines.clear()
        stream.instance = None
        wait_s = self.announced.retry_after_s(
            instance, len(self.targets), now, self.rng
        )
        return retries.RETRY_AFTER_FULL_S if wait_s is None else wait_s

    def record_first_event(self, stream: engines.Stream, now: float) -> None:
        """Remove the load of a prompt that was read."""
        instance, index = self._placements[id(stream)]
        change = -placement.PREFILL_LOAD_REQUESTS
        self.load_sharing.change(instance, index, change, now)

    def record_end(self, stream: engines.Stream, now: float) -> None:
        """Remove the load of a stream that has ended."""
        instance, index = self._placements.pop(id(stream))
        self.load_sharing.change(instance, index, -1.0, now)

    def kill_instances(self, share: float) -> list[engines.Stream]:
        """Remove a share of the instances; return the streams they handled."""
        dead = self.rng.sample(
            self._live_instances, int(share * len(self._live_instances))
        )
        self._live_instances = [
            each for each in self._live_instances if each not in dead
        ]
        lost = []
        for engine in self.engines:
            for stream in engine.running + engine.waiting:
                assignment = self._placements.get(id(stream))
                if assignment is not None and assignment[0] in dead:
                    lost.append(stream)
        for engine in self.engines:
            engine.running = [s for s in engine.running if s not in lost]
            engine.waiting = [s for s in engine.waiting if s not in lost]
        for instance in dead:
            self.load_sharing.forget_instance(instance)
        return lost

    def restart_data_centre(
        self, data_centre_index: int
    ) -> list[engines.Stream]:
        """Restart engines of a data centre; return the streams they lost."""
        lost = []
        for index, engine in enumerate(self.engines):
            if engine.data_centre_index == data_centre_index:
                lost += engine.crash()
                engine.alive = True
                self.load_sharing.forget_engine(index)
        return lost


class _Simulation:
    """Simulate one load in steps of ``STEP_S``."""

    def __init__(
        self, figures: FleetFigures, policy: Policy, seed: int
    ) -> None:
        self._figures = figures
        self.fleet = Fleet(figures, policy, seed)
        self._rng = self.fleet.rng
        self._now = 0.0
        self._next_at = 0.0
        # Streams that will be placed again, and when.
        self._pending_returns: list[tuple[float, engines.Stream]] = []
        self._herd_at = figures.herd_at
        self._restart_at = figures.restart_at
        self.streams: list[engines.Stream] = []
        self.most_at_once = 0

    def run(self) -> None:
        """Run until the last streams have had time to end."""
        while self._now < self._figures.duration_s + DRAIN_S:
            self.fleet.deliver(self._now)
            self._crash_engines()
            self._kill_instances()
            for stream in self._arrivals():
                wait_s = self.fleet.place(stream, self._now)
                if wait_s is not None:
                    self._pending_returns.append((self._now + wait_s, stream))
            for engine in self.fleet.engines:
                self._step(engine)
            self._now += STEP_S

    def _arrivals(self) -> list[engines.Stream]:
        arrivals = [
            each for at, each in self._pending_returns if at <= self._now
        ]
        self._pending_returns = [
            pair for pair in self._pending_returns if pair[0] > self._now
        ]
        while self._next_at <= min(self._now, self._figures.duration_s):
            stream = engines.Stream(self._next_at)
            self.streams.append(stream)
            arrivals.append(stream)
            self._next_at += self._rng.expovariate(self._figures.streams_per_s)
        return arrivals

    def _crash_engines(self) -> None:
        """Restart a data centre's engines; instances resend lost streams."""
        if self._restart_at is None or self._now < self._restart_at:
            return
        self._restart_at = None
        for each in self.fleet.restart_data_centre(0):
            retry = engines.Stream(each.arrived_at)
            self.streams.append(retry)
            self._pending_returns.append((self._now + LOSS_DETECTION_S, retry))

    def _kill_instances(self) -> None:
        """Remove instances; their callers retry at the remaining ones."""
        if self._herd_at is None or self._now < self._herd_at:
            return
        self._herd_at = None
        lost = self.fleet.kill_instances(self._figures.herd_share)
        self.streams = [each for each in self.streams if each not in lost]
        for _ in lost:
            wait_s = self._rng.uniform(0.0, self._figures.herd_return_s)
            retry = engines.Stream(self._now)
            self.streams.append(retry)
            self._pending_returns.append((self._now + wait_s, retry))

    def _step(self, engine: engines.Engine) -> None:
        unread = sum(1 for each in engine.running if each.unread_tokens)
        self.most_at_once = max(
            self.most_at_once, unread + len(engine.waiting)
        )
        reading = [each for each in engine.running if each.first_at is None]
        ended = engine.step(self._now, STEP_S)
        for stream in reading:
            if stream.first_at is not None:
                self.fleet.record_first_event(stream, self._now)
        for stream in ended:
            self.fleet.record_end(stream, self._now)


def simulate(figures: FleetFigures, policy: Policy, seed: int) -> Result:
    """Simulate one load and return what callers got."""
    simulation = _Simulation(figures, policy, seed)
    simulation.run()
    result = _summarise(simulation.streams, simulation.most_at_once)
    seconds = math.ceil(figures.duration_s + DRAIN_S)
    return msgspec.structs.replace(
        result,
        near=round(
            simulation.fleet.local_placements / max(1, result.streams), 3
        ),
        bytes_per_s=round(
            simulation.fleet.load_sharing.bytes_sent
            / figures.instances
            / figures.duration_s
        ),
        unwanted=len(simulation.fleet.announced.unwanted),
        unwanted_known=simulation.fleet.announced.longest_unwanted_series(),
        refused=simulation.fleet.refused,
        unwanted_by_second=tuple(
            simulation.fleet.announced.unwanted_by_second(seconds)
        ),
        ended_by_second=tuple(_ended_by_second(simulation.streams, seconds)),
    )


def _ended_by_second(
    streams: Sequence[engines.Stream], seconds: int
) -> list[int]:
    """Return the number of streams that ended on time in each second."""
    counts = [0] * seconds
    for stream in streams:
        ended_at = stream.ended_at
        if ended_at is not None and ended_at < seconds:
            counts[int(ended_at)] += is_on_time(stream)
    return counts


def is_on_time(stream: engines.Stream) -> bool:
    """Return whether a caller got the first and all other events in time."""
    return (
        stream.ended_at is not None
        and stream.first_at is not None
        and stream.first_at - stream.arrived_at <= FIRST_EVENT_GOAL_S
        and stream.longest_gap_s <= GAP_GOAL_S
    )


def _summarise(streams: Sequence[engines.Stream], most: int) -> Result:
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
