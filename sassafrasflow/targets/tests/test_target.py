"""State of targets, circuit breakers, pools and the directory."""

import asyncio
import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from sassafrasflow import clocks
from sassafrasflow import engines
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow import storage
from sassafrasflow import targets

State = targets.TargetState
LEAVING = storage.ListedState.LEAVING


def listed(name="engine-0", **fields):
    return storage.ListedInstance(
        id=name,
        kind=storage.TargetKind.ENGINE,
        address="10.0.0.1:80",
        region=ids.Region("east"),
        data_centre=ids.DataCentre("east-1"),
        **fields,
    )


def report(incarnation=1, running=0, **fields):
    version = engines.LoadedVersion(ids.ModelName("m"), ids.VersionId("v"))
    return engines.EngineReport(
        incarnation=incarnation,
        loaded=[version],
        running=running,
        queued=0,
        capacity=10,
        **fields,
    )


def ready_target():
    target = targets.Target(listed())
    target.record_report(report())
    return target


class TestLeaving:
    @pytest.mark.parametrize(
        ("messages", "state"),
        [
            ([], State.READY),
            ([listed(state=LEAVING)], State.LEAVING),
            ([report(leaving=True)], State.LEAVING),
            ([targets.Incarnation(0, 1)], State.LEAVING),
            ([report(leaving=True), report()], State.LEAVING),
            ([listed(state=LEAVING), listed()], State.LEAVING),
            ([report(leaving=True), report(incarnation=2)], State.READY),
            ([listed(state=LEAVING), listed(incarnation=1)], State.READY),
            ([report(incarnation=2), targets.Incarnation(0, 1)], State.READY),
            ([listed(incarnation=2), listed(state=LEAVING)], State.READY),
        ],
    )
    def test_lasts_until_a_new_incarnation(self, messages, state):
        target = ready_target()
        for received in messages:
            if isinstance(received, storage.ListedInstance):
                target.record_listing(received)
            elif isinstance(received, engines.EngineReport):
                target.record_report(received)
            else:
                target.record_peer_leaving(received)
        assert target.state(0.0) is state


class TestLoad:
    def test_work_since_the_report_counts(self):
        target = ready_target()
        for _ in range(3):
            target.record_begin(0.0)
        target.record_end(0.0, succeeded=True)
        assert target.load() == pytest.approx(0.2)

    def test_work_sent_while_the_report_was_requested_counts(self):
        target = ready_target()
        counts = (target.sent, target.ended)
        target.record_begin(0.0)
        target.record_report(report(running=4), 0.2, 0.1, counts)
        assert target.load() == pytest.approx(0.5)

    def test_older_report_is_ignored(self):
        target = ready_target()
        target.record_report(report(running=4), 2.0, 1.0)
        target.record_report(report(running=9), 3.0, 0.5)
        assert target.load() == pytest.approx(0.4)


class TestBreaker:
    POLICY = targets.BreakerPolicy(
        threshold=2, pause_ms=1_000, max_pause_ms=8_000, probe_ms=500
    )

    def breaker(self):
        return targets.Breaker(self.POLICY, random.Random(3))

    def test_answered_poll_closes_after_one_failure(self):
        breaker = self.breaker()
        breaker.record_failure(0.0)
        assert not breaker.allows(0.1)
        breaker.record_reachable()
        assert breaker.allows(0.1)

    def test_repeated_failures_need_a_probe(self):
        breaker = self.breaker()
        for now in (0.0, 1.1):
            breaker.record_failure(now)
        breaker.record_reachable()
        assert not breaker.allows(1.2)
        assert breaker.allows(4.0)
        breaker.record_begin(4.0)
        assert not breaker.allows(4.1)
        breaker.record_success()
        assert breaker.allows(4.1)

    def test_long_probe_counts_as_success(self):
        breaker = self.breaker()
        for now in (0.0, 1.1):
            breaker.record_failure(now)
        breaker.record_begin(4.0)
        assert breaker.allows(4.6)

    def test_work_that_fails_together_counts_once(self):
        breaker = self.breaker()
        for _ in range(50):
            breaker.record_failure(0.0)
        assert breaker.allows(1.1)

    @hypothesis.given(
        strategies.lists(strategies.sampled_from(["fail", "probe", "wait"]))
    )
    def test_half_open_lets_one_probe_through(self, steps):
        breaker = self.breaker()
        now = 0.0
        for step in steps:
            now += 0.4 if step == "wait" else 0.0
            if step == "fail":
                breaker.record_failure(now)
            elif step == "probe" and breaker.allows(now):
                half = breaker.state(now) is targets.BreakerState.HALF_OPEN
                breaker.record_begin(now)
                assert breaker.allows(now) is not half


class TestRouteBreakers:
    def test_failing_route_does_not_block_others(self):
        clock = clocks.ManualClock()
        routes = targets.RouteBreakers(
            targets.BreakerPolicy(), clock, random.Random(1)
        )
        slow = targets.route_of("POST", "/reports/7")
        routes.record_failure("booking-0", slow)
        assert not routes.allows("booking-0", slow)
        assert routes.allows("booking-1", slow)
        assert routes.allows("booking-0", "GET /reports")
        clock.advance(3)
        assert routes.allows("booking-0", slow)
        routes.record_success("booking-0", slow)
        assert len(routes) == 0

    def test_memory_is_bounded(self):
        routes = targets.RouteBreakers(
            targets.BreakerPolicy(), clocks.ManualClock(), random.Random(1)
        )
        for number in range(5_000):
            routes.record_failure("booking-0", f"GET /{number}")
        assert len(routes) <= 4_096


class TestPool:
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.booleans(), strategies.integers(0, 9))
        )
    )
    def test_agrees_with_a_set(self, changes):
        pool = targets.Pool()
        model = set()
        for adds, number in changes:
            (pool.add if adds else pool.discard)(str(number))
            (model.add if adds else model.discard)(str(number))
        assert set(pool) == model
        drawn = pool.sample(4, lambda name: True, random.Random(1))
        assert len(set(drawn)) == len(drawn) == min(4, len(model))
        assert set(drawn) <= model

    def test_finds_the_only_usable_member(self):
        pool = targets.Pool()
        for number in range(64):
            pool.add(str(number))
        drawn = pool.sample(2, lambda name: name == "63", random.Random(1))
        assert drawn == ["63"]


class FakeEngine:
    """Answer with a report, or raise a set error."""

    def __init__(self, url):
        self.url = url
        self.error = None
        self.closed = False

    async def report(self):
        if self.error is not None:
            raise self.error
        return report()

    async def close(self):
        self.closed = True


engines.Engine.register(FakeEngine)


class FakeList(storage.InstanceList):
    def __init__(self):
        self.items = []

    async def instances(self):
        return self.items


class TestDirectory:
    @pytest.fixture
    async def directory(self):
        self.clock = clocks.ManualClock()
        self.list = FakeList()
        self.engines = []
        directory = targets.TargetDirectory(
            self.list,
            targets.DirectoryPolicy(list_interval_ms=1, report_interval_ms=1),
            self.clock,
            engine_factory=self.connect,
        )
        yield directory
        await directory.close()

    def connect(self, url):
        self.engines.append(FakeEngine(url))
        return self.engines[-1]

    async def test_vanished_target_is_removed_when_silent(self, directory):
        self.list.items = [listed()]
        await directory.start()
        self.list.items = []
        self.engines[0].error = exceptions.TargetLost("gone")
        self.clock.advance(60)
        directory.apply_list([])
        assert list(directory) == []
        assert not directory.regions(("m", "v"))

    async def test_vanished_target_is_kept_while_it_reports(self, directory):
        self.list.items = [listed()]
        await directory.start()
        directory.apply_list([])
        assert len(list(directory)) == 1

    async def test_moved_target_is_reached_at_its_new_address(self, directory):
        directory.apply_list([listed()])
        first = directory.engine("engine-0")
        moved = msgspec.structs.replace(listed(), address="10.0.0.9:80")
        directory.apply_list([moved])
        assert directory.engine("engine-0").url == "http://10.0.0.9:80"
        await directory.close()
        assert first.closed

    async def test_polling_continues_after_an_unexpected_error(
        self, directory
    ):
        self.list.items = [listed()]
        await directory.start()
        failures = []
        failed_often = asyncio.Event()

        def fail():
            failures.append(1)
            if len(failures) == 4:
                failed_often.set()
            raise RuntimeError("unexpected")

        directory.on_change.append(fail)
        self.engines[0].error = RuntimeError("unexpected")
        await failed_often.wait()
        await directory.close()
        count = len(failures)
        await asyncio.sleep(0)
        assert len(failures) == count

    async def test_unknown_target_refuses_work(self, directory):
        with pytest.raises(exceptions.TargetRefused):
            directory.engine("engine-9")

    async def test_failed_work_is_published_once(self, directory):
        shared = membership.LocalSharedState("entry-0", self.clock)
        other = targets.TargetDirectory(
            self.list, targets.DirectoryPolicy(), self.clock, self.connect
        )
        published = []
        shared.subscribe(membership.Topic.OVERLOAD, published.append)
        for each, name in ((directory, "entry-0"), (other, "entry-1")):
            each.apply_list([listed()])
            targets.SuspicionExchange(
                each, shared, name, targets.SuspicionPolicy(), self.clock
            ).start()
        for _ in range(3):
            directory.record_failure("engine-0")
        assert len(published) == 1
        assert other.is_suspected("engine-0")
        assert not directory.is_suspected("engine-0")
        self.clock.advance(6)
        assert not other.is_suspected("engine-0")
        directory.record_failure("engine-0")
        assert len(published) == 2
        with other.track_work("engine-0"):
            pass
        assert not other.is_suspected("engine-0")
        await other.close()

    async def test_leaving_target_is_marked_in_another_directory(
        self, directory
    ):
        shared = membership.LocalSharedState("entry-0", self.clock)
        other = targets.TargetDirectory(
            self.list, targets.DirectoryPolicy(), self.clock, self.connect
        )
        for each in (directory, other):
            targets.LeavingExchange(each, shared).start()
            each.apply_list([listed()])
        directory.apply_list([listed(state=LEAVING)])
        assert other.find("engine-0").is_leaving
        await other.close()
