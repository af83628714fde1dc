"""Simulate rollouts in virtual time: many instances and a lossy network."""

import asyncio
import collections
import random

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import exchange
from sassafrasflow.gateway import registry
from sassafrasflow.gateway import rollout_manager
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import versions

POOL = ids.ServiceName("pool")
NEW = ids.VersionId("v2")
STEP_S = 0.05
# Operators allow a bad version a tenth of the service's requests plus fifty,
# and none later than 5 s after its fiftieth bad answer.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_S = 5.0


def sound(sim, kind, target, load):
    return False, 0.05


def failing(sim, kind, target, load):
    return sim.rng.random() < 0.4, 0.05


def slow(sim, kind, target, load):
    return False, 0.3 if sim.rng.random() < 0.6 else 0.05


def failing_on_one_kind(sim, kind, target, load):
    return kind == "draft" and sim.rng.random() < 0.8, 0.05


def failing_late(sim, kind, target, load):
    late = sim.now > 0.6 * sim.duration_s
    return late and sim.rng.random() < 0.5, 0.05


def failing_under_load(sim, kind, target, load):
    return load > 0.5 and sim.rng.random() < 0.6, 0.05


def broken_target(sim, kind, target, load):
    return target == "n0" and sim.rng.random() < 0.5, 0.05


class Table:
    """Row of the rollout; answers to writes are lost on demand."""

    def __init__(self):
        self.record = None
        self.revision = 100
        self.history = []
        self.lose_answers = 0
        self.late_writes = []
        self.down = False
        self.era = versions.UNKNOWN_ERA

    def copy(self):
        return self.record, self.revision

    def restore(self, copy):
        """Go back to a copy, which begins the next era."""
        self.record, self.revision = copy
        self.era += 1

    def write(self, record):
        current = 0 if self.record is None else self.record.revision
        if record.revision != current:
            raise exceptions.TableConflict("changed")
        self.revision += 1
        self.record = msgspec.structs.replace(record, revision=self.revision)
        self.history.append(self.record.stage)
        return versions.StoreVersion(self.era, self.revision)


class Registry(registry.Registry):
    def __init__(self, table):
        self._table = table
        self.call_count = 0

    @property
    def calls(self):
        return self.call_count

    def _count_call(self):
        self.call_count += 1
        if self._table.down:
            raise exceptions.TableUnavailable("down")

    async def read_rollouts(self):
        self._count_call()
        era, record = self._table.era, self._table.record
        records = ()
        if record is not None:
            records = (msgspec.structs.replace(record, era=era),)
        return registry.RolloutUpdate(records, era)

    async def write_rollout(self, record):
        self._count_call()
        if self._table.lose_answers:
            self._table.lose_answers -= 1
            self._table.late_writes.append(record)
            raise exceptions.TableOutcomeUnknown("lost")
        return self._table.write(record)

    async def read_targets(self):
        raise NotImplementedError

    async def await_targets(self, after, wait_s):
        raise NotImplementedError

    async def read_settings(self):
        raise NotImplementedError

    async def await_settings(self, after, wait_s):
        raise NotImplementedError

    async def announce(self, entry):
        raise NotImplementedError

    async def read_fleet(self):
        raise NotImplementedError

    async def write_reservation(self, reservation):
        raise NotImplementedError

    async def write_refused(self, request):
        raise NotImplementedError

    async def write_recheck(self, recheck):
        raise NotImplementedError

    async def write_part_crash(self, crash):
        raise NotImplementedError

    def row_key(self, row):
        raise NotImplementedError


class FakeExchange:
    """Fake exchange of one instance with its peers."""

    def __init__(self, sim, name):
        self._sim = sim
        self._name = name

    def live(self):
        return [
            registry.InstanceEntry(name, "h", 1, "a")
            for name in self._sim.instance_names
            if name != self._name and self._name not in self._sim.cut_off
        ]

    def send(self, peers, message):
        content = msgspec.msgpack.encode(message)
        assert len(content) <= exchange.MAX_DATAGRAM_BYTES
        for peer in peers:
            self._sim.deliver(self._name, peer.id, content)


class Simulation:
    """Simulate one rollout.

    ``answer`` returns whether an answer of the new version is a failure, and
    the seconds that it takes.
    """

    def __init__(
        self,
        answer,
        *,
        seed=1,
        instances=8,
        rate=40.0,
        duration_s=40.0,
        targets_each=4,
        era=versions.UNKNOWN_ERA,
    ):
        self.answer = answer
        self.rng = random.Random(seed)
        self.rate = rate
        self.duration_s = duration_s
        # Number of targets of each version.
        self.targets_each = targets_each
        self.now = 0.0
        self.table = Table()
        self.table.era = era
        self.loss_share = 0.0
        # Share of the answers of both versions that fail.
        self.failure_share = 0.0
        # Share of the requests that are of the second kind.
        self.draft_share = 0.15
        self.cut_off = set()
        self.suspended = set()
        self.instance_names = [
            f"entry-{number}" for number in range(instances)
        ]
        self.managers = {}
        self.eras = {}
        self.directories = {}
        # Versions of the listed targets, by the first letter of their ids.
        self.listed = {"o": "v1", "n": "v2"}
        self.list_revision = 1
        self.requests = 0
        # Times of the requests to the new version, and of bad answers.
        self.sent_at = []
        # Times of the requests to each version.
        self.sent_at_by_version = collections.defaultdict(list)
        self.bad_at = []
        self.recent_is_new = collections.deque(maxlen=100)
        self.order = rollouts.Order(POOL, NEW, duration_s, 7, era)
        for name in self.instance_names:
            self.start(name)
            self.managers[name].handle_orders([])
            self.managers[name].handle_orders([self.order])

    def start(self, name):
        directory = targets.Directory()
        directory.replace(
            self._entries(self.list_revision), self.list_revision, 0.0
        )
        self.eras[name] = versions.EraTracker(
            SilentLog(name),
            telemetry.Metrics(),
            lambda: self.managers[name].handle_store_restored(),
        )
        manager = rollout_manager.RolloutManager(
            name,
            int(self.now * 1000),
            Registry(self.table),
            directory,
            lambda now: now * 1000,
            self.eras[name],
            lambda: self.now,
            SilentLog(name),
            random.Random(self.rng.random()),
        )
        manager.exchange = FakeExchange(self, name)
        self.managers[name] = manager
        self.directories[name] = directory

    def _entries(self, revision):
        return [
            targets.TargetChange(
                ids.TargetId(f"{side}{number}"),
                revision,
                targets.ListedTarget(
                    ids.TargetId(f"{side}{number}"),
                    POOL,
                    "h",
                    1,
                    ids.DataCentre("a"),
                    4,
                    version=ids.VersionId(version),
                ),
            )
            for side, version in self.listed.items()
            for number in range(self.targets_each)
        ]

    def list_versions(self, **listed):
        """List targets of these versions only, as ``o="v1"``."""
        self.listed = listed
        self.list_revision += 1
        for directory in self.directories.values():
            directory.replace(
                self._entries(self.list_revision), self.list_revision, self.now
            )

    def replace_order(self, version, revision):
        """Order another version at all instances."""
        self.order = msgspec.structs.replace(
            self.order,
            version=ids.VersionId(version),
            revision=revision,
            era=ids.StoreEra(self.table.era),
        )
        for manager in self.managers.values():
            manager.handle_orders([self.order])

    def restart_all(self):
        for name in self.instance_names:
            self.start(name)
            self.managers[name].handle_orders([self.order])

    def deliver(self, sender, receiver, content):
        unreachable = {sender, receiver} & (self.cut_off | self.suspended)
        manager = self.managers.get(receiver)
        if (
            unreachable
            or manager is None
            or self.rng.random() < self.loss_share
        ):
            return
        message = msgspec.msgpack.decode(content, type=exchange.Message)
        if isinstance(message, rollouts.News):
            manager.handle_news(message)
        else:
            manager.handle_report(message)

    def run(self, until=None, *, events=()):
        """Run to a time, by default the deadline.

        ``events`` are pairs of a time and an action, in order of time.
        """
        asyncio.run(self._run(until or self.duration_s, list(events)))
        return self

    async def _run(self, until, events):
        ticks = 0
        while self.now < until:
            while events and events[0][0] <= self.now:
                events.pop(0)[1]()
            self._send_requests()
            ticks += 1
            if ticks % 5 == 0:
                for name, manager in list(self.managers.items()):
                    if name not in self.suspended:
                        await manager.step()
            self.now += STEP_S

    def _send_requests(self):
        expected = self.rate * STEP_S
        count = int(expected) + (self.rng.random() < expected % 1)
        for _ in range(count):
            name = self.rng.choice(list(self.managers))
            # A request waits for an instance that has not read the states.
            if name not in self.suspended and self.managers[name].is_loaded:
                self._request(name)

    def _request(self, name):
        manager, directory = self.managers[name], self.directories[name]
        kind = "draft" if self.rng.random() < self.draft_share else "report"
        manager.record_request(POOL)
        self.requests += 1
        arm = manager.draw_arm(POOL, kind)
        candidates = manager.usable(POOL, directory.usable(POOL), arm)
        target = self.rng.choice(candidates)
        manager.record_send(target)
        self.sent_at_by_version[target.listed.version].append(self.now)
        is_new = target.listed.version == NEW
        self.recent_is_new.append(is_new)
        failed, took_s = False, 0.05
        if is_new:
            self.sent_at.append(self.now)
            load = sum(self.recent_is_new) / len(self.recent_is_new)
            failed, took_s = self.answer(self, kind, target.id, load)
            if failed or took_s > 0.1:
                self.bad_at.append(self.now)
        if self.failure_share and self.rng.random() < self.failure_share:
            failed = True
        took_s *= self.rng.uniform(0.7, 1.4)
        manager.record_answer(target, kind, failed=failed, took_s=took_s)

    @property
    def stage(self):
        record = self.table.record
        return None if record is None else record.stage

    def assert_exposure_bounded(self):
        allowed = EXPOSURE_SHARE * self.requests + EXPOSURE_SLACK
        assert len(self.sent_at) <= allowed
        if len(self.bad_at) >= 50:
            assert self.sent_at[-1] <= self.bad_at[49] + ROLLBACK_S

    def assert_rolled_back(self):
        assert self.stage is rollouts.Stage.ROLLED_BACK
        self.assert_exposure_bounded()

    def assert_completed(self):
        assert self.stage is rollouts.Stage.COMPLETED


class SilentLog(telemetry.EventLog):
    def write(self, event, *, routine=False, **fields):
        pass
