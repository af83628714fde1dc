"""Samples of one instance, and what instances tell each other of them."""

import asyncio
import math

import msgspec
import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway.tests import test_loads
from sassafrasflow.gateway.tests import test_targets
from sassafrasflow.pace import estimates
from sassafrasflow.pace import samples
from sassafrasflow.pace import suspension
from sassafrasflow.pace import tracker

POOL = ids.ServiceName("pool")
T1 = ids.TargetId("t1")


class Log(telemetry.EventLog):
    """Log that keeps its lines."""

    def __init__(self) -> None:
        super().__init__("entry-0", fd=-1)
        self.lines: list[dict] = []

    def write(self, event, *, routine=False, **fields):
        self.lines.append({"event": event, **fields})


class Instance:
    """Tracker with a clock of its own, whose process runs all the time."""

    def __init__(self) -> None:
        self.now = 100.0
        self.enabled = True
        self.log = Log()
        self.metrics = telemetry.Metrics()
        self.pace = tracker.PaceTracker(
            lambda: self.enabled, lambda: self.now, self.log, self.metrics
        )

    def run(self, seconds: float) -> None:
        """Let time pass, with the timer firing as it should."""
        until = self.now + seconds
        while self.now < until:
            self.now = min(until, self.now + suspension.TICK_INTERVAL_S)
            self.pace.tick(self.now)

    def call(self, target=T1, *, took_s=0.05, load=0.0) -> None:
        sent_at = self.now
        self.run(took_s)
        self.pace.record_call(POOL, target, sent_at=sent_at, load=load)

    def stream(self, target=T1, *, took_s=1.0, tokens=8000, load=0.0) -> None:
        sent_at = self.now
        self.run(took_s)
        self.pace.record_first_event(
            POOL, target, sent_at=sent_at, prompt_tokens=tokens, load=load
        )

    def play(self, paces: dict[str, float], rounds: int = 13) -> None:
        """Let some targets respond to calls with given paces."""
        for _ in range(rounds):
            for target, pace in paces.items():
                self.call(ids.TargetId(target), took_s=0.05 * pace)
                self.run(0.2)

    def counted(self, name: str) -> bool:
        return name.encode() in self.metrics.render([])


class TestSamples:
    """Guard against samples that say nothing of the target."""

    def test_call_and_streams_are_sampled(self):
        instance = Instance()
        instance.call()
        instance.stream()
        instance.pace.record_events(
            POOL, T1, first_at=instance.now - 0.1, gaps=3, load=1.0
        )
        kinds = {labels["kind"] for _, labels, _ in instance.pace.gauges()}
        assert kinds == {"call", "event", "first_event"}

    def test_response_during_a_suspension_is_dropped(self):
        """The response is handled before the timer, or after it."""
        for is_timer_first in (False, True):
            instance = Instance()
            instance.run(1.0)
            sent_at = instance.now
            instance.now += 3.0
            if is_timer_first:
                instance.pace.tick(instance.now)
            instance.pace.record_call(POOL, T1, sent_at=sent_at, load=0.0)
            assert not list(instance.pace.gauges())
            assert not instance.pace.take_samples([T1])
            assert instance.counted('pace_samples_dropped_total{cause="late"}')

    def test_response_after_a_suspension_is_sampled(self):
        instance = Instance()
        instance.now += 3.0
        instance.run(0.5)
        instance.call()
        assert list(instance.pace.gauges())

    def test_short_prompt_is_no_sample(self):
        instance = Instance()
        instance.stream(tokens=tracker.MIN_PROMPT_TOKENS - 1)
        assert not list(instance.pace.gauges())

    def test_time_out_of_range_is_counted(self):
        instance = Instance()
        instance.call(took_s=1e-6)
        assert not list(instance.pace.gauges())
        assert instance.counted('pace_samples_dropped_total{cause="range"}')

    def test_ended_target_is_forgotten(self):
        instance = Instance()
        instance.stream()
        instance.pace.forget(T1)
        assert not list(instance.pace.gauges())
        assert not instance.pace.take_samples([T1])

    def test_setting_turns_everything_off(self):
        instance = Instance()
        instance.play({"t1": 4.0, "t2": 1.0, "t3": 1.0})
        assert instance.pace.pace_of_call(T1).factor > 2
        instance.enabled = False
        assert instance.pace.pace_of_call(T1) is estimates.UNKNOWN_PACE
        instance.call()
        instance.run(6.0)
        assert not list(instance.pace.gauges())
        assert not instance.pace.take_samples([T1])
        assert not instance.pace.take_summaries(T1)


class TestReports:
    """Guard against reports that grow, repeat samples or mislead."""

    def test_sample_is_reported_once(self):
        instance = Instance()
        instance.stream()
        assert len(instance.pace.take_samples([T1])[T1]) == 1
        assert not instance.pace.take_samples([T1])

    def test_calls_are_added_to_reports_of_other_targets(self):
        sender, receiver = Instance(), Instance()
        sender.stream(ids.TargetId("engine"))
        for number in range(20):
            sender.call(ids.TargetId(f"call-{number % 3}"))
        taken = sender.pace.take_samples([ids.TargetId("engine")])
        assert set(taken) == {"engine", "call-0", "call-1", "call-2"}
        assert sum(map(len, taken.values())) == 1 + tracker.MAX_CALL_SAMPLES
        receiver.pace.apply_samples(taken, lambda target: POOL)
        shown = {labels["target"] for _, labels, _ in receiver.pace.gauges()}
        assert shown == set(taken)

    def test_report_is_bounded(self):
        instance = Instance()
        names = [ids.TargetId(f"engine-{n:03}") for n in range(200)]
        for each in names:
            for _ in range(9):
                instance.stream(each, took_s=0.3)
        taken = instance.pace.take_samples(names[-50:])
        assert len(taken) == tracker.MAX_SAMPLED_TARGETS
        content = msgspec.msgpack.encode(taken)
        assert len(content) <= tracker.MAX_SAMPLED_TARGETS * (11 + 1 + 12) + 1
        rest = instance.pace.take_samples(names[:136])
        assert not rest

    @pytest.mark.parametrize("code", [-1, 2**15, 2**60])
    def test_sample_out_of_range_is_ignored_and_counted(self, code):
        instance = Instance()
        instance.pace.apply_samples({T1: (code,)}, lambda target: POOL)
        assert not list(instance.pace.gauges())
        assert instance.counted("pace_reports_rejected_total 1")

    @pytest.mark.parametrize("code", [-1, 0, 2**24, 2**60])
    def test_summary_out_of_range_is_ignored_and_counted(self, code):
        instance = Instance()
        instance.pace.apply_summaries(T1, (code,), POOL)
        assert not list(instance.pace.gauges())
        assert instance.counted("pace_reports_rejected_total 1")

    def test_samples_of_an_unlisted_target_are_ignored(self):
        instance = Instance()
        code = samples.pack_sample(
            samples.Sample(samples.WorkKind.CALL, 0.05, 0.0)
        )
        instance.pace.apply_samples({T1: (code,)}, lambda target: None)
        instance.pace.apply_summaries(T1, (code << 9 | 32,), None)
        assert not list(instance.pace.gauges())


class TestObservation:
    """Guard against logs and metrics that grow with the targets."""

    def test_change_is_logged_when_the_pace_leaves_and_returns(self):
        instance = Instance()
        instance.play({"t1": 4.0, "t2": 1.0, "t3": 1.0})
        instance.run(6.0)
        instance.play({"t1": 1.0, "t2": 1.0, "t3": 1.0}, rounds=20)
        instance.run(6.0)
        lines = [
            line
            for line in instance.log.lines
            if line["event"] == "pace_changed"
        ]
        assert [line["target"] for line in lines] == [T1, T1]
        assert lines[0]["factor"] > 2
        assert lines[1]["factor"] == 1.0

    def test_lines_of_one_check_are_bounded(self):
        instance = Instance()
        paces = {f"t{number:02}": 1.0 for number in range(41)}
        paces |= {f"t{number:02}": 6.0 for number in range(20)}
        for _ in range(13):
            for target, pace in paces.items():
                instance.call(ids.TargetId(target), took_s=0.001 * pace)
        assert not instance.log.lines
        instance.now += tracker.CHANGE_CHECK_INTERVAL_S
        instance.pace.tick(instance.now)
        assert len(instance.log.lines) == tracker.MAX_CHANGE_LINES
        assert instance.counted("pace_lines_deferred_total")

    def test_gauges_are_bounded(self):
        instance = Instance()
        for number in range(300):
            instance.call(ids.TargetId(f"t{number:03}"), took_s=0.001)
            instance.run(0.1)
        shown = {labels["target"] for _, labels, _ in instance.pace.gauges()}
        assert len(shown) == tracker.MAX_MEASURED_TARGETS

    def test_gauges_are_rendered_with_labels(self):
        metrics = telemetry.Metrics()
        labels = {"target": 't"\\1', "kind": "call"}
        content = metrics.render([], [("pace_factor", labels, 1.5)])
        assert content == (
            b'sassafrasflow_pace_factor{target="t\\"\\\\1",kind="call"} 1.5\n'
        )


class FormerReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Load report of builds without paces."""

    sender: object
    started_ms: int
    number: int
    loads: dict[str, float]


class FormerLoad(msgspec.Struct, frozen=True, array_like=True):
    """Load of a target in answers of builds without paces."""

    id: str
    load: float
    lost_ms: int = -1


class TestMessages:
    """Guard against instances of two builds that don't understand each other.

    An upgrade takes the instances one by one.
    """

    def test_former_build_reads_new_reports_and_answers(self):
        report = loads.LoadReport(
            test_loads.entry(1), 1, 2, {T1: 3.0}, {T1: (7,)}
        )
        content = msgspec.msgpack.encode(report)
        read = msgspec.msgpack.decode(content, type=FormerReport)
        assert read.loads == {T1: 3.0}
        content = msgspec.msgpack.encode(loads.TargetLoad(T1, 2.0, -1, (9,)))
        assert msgspec.msgpack.decode(content, type=FormerLoad).load == 2.0

    def test_new_build_reads_former_reports_and_answers(self):
        former = FormerReport(
            msgspec.to_builtins(test_loads.entry(1)), 1, 2, {T1: 3.0}
        )
        content = msgspec.msgpack.encode(former)
        report = msgspec.msgpack.decode(content, type=loads.LoadReport)
        assert (report.loads, report.samples) == ({T1: 3.0}, {})
        content = msgspec.msgpack.encode(FormerLoad(T1, 2.0))
        load = msgspec.msgpack.decode(content, type=loads.TargetLoad)
        assert load.paces == ()


class TestFleet:
    """Guard against instances that know only what they have seen."""

    def fleet(self, count=30):
        """Return a network, its trackers and the entries of six engines."""
        net = test_loads.Net(count)
        trackers = {}
        for name, peer_exchange in net.exchanges.items():
            trackers[name] = tracker.PaceTracker(
                lambda: True, lambda: net.now, Log(), telemetry.Metrics()
            )
            peer_exchange.pace = trackers[name]
        engines = [test_loads.engine(number) for number in range(6)]
        net.directory.apply(
            [
                test_targets.change(number + 1, each, each.id)
                for number, each in enumerate(engines)
            ],
            0.0,
        )
        return net, trackers, engines

    def play(self, net, trackers, engines, paces, rounds=13):
        """Let instances in turn run a stream at each engine."""
        for number in range(rounds):
            for engine, pace in zip(engines, paces, strict=True):
                name = f"entry-{(7 * number + 1) % len(trackers)}"
                for each in trackers.values():
                    each.tick(net.now)
                net.now += 0.02
                trackers[name].record_first_event(
                    engine.service,
                    engine.id,
                    sent_at=net.now - 0.02 * pace,
                    prompt_tokens=1000,
                    load=0.0,
                )
                net.exchanges[name].set_load(engine, 1.0)
                net.exchanges[name]._send_load_reports()
                net.deliver_all()

    async def query(self, net, name, engines):
        query = asyncio.create_task(
            net.exchanges[name].query_loads(
                [targets.Target(each, 1) for each in engines]
            )
        )
        await asyncio.sleep(0)
        net.deliver_all()
        await query

    async def test_instance_learns_paces_from_the_owners(self):
        net, trackers, engines = self.fleet()
        self.play(net, trackers, engines, [1.0, 3.0, 1.0, 1.0, 1.0, 1.0])
        querying = "entry-5"
        assert trackers[querying].pace_of_stream(engines[1].id).factor == 1.0
        await self.query(net, querying, engines)
        paces = [trackers[querying].pace_of_stream(e.id) for e in engines]
        assert 2.5 < paces[1].factor < 3.6
        assert [p.factor for p in paces[2:]] == [1.0] * 4

    async def test_own_samples_remain_when_an_owner_dies(self):
        net, trackers, engines = self.fleet()
        paces = [1.0, 3.0, 1.0, 1.0, 1.0, 1.0]
        self.play(net, {"entry-0": trackers["entry-0"]}, engines, paces)
        owner = net.exchanges["entry-0"]._owners.owner_of(engines[1], 0.0)
        net.down.add(owner.id)
        await self.query(net, "entry-0", engines)
        assert trackers["entry-0"].pace_of_stream(engines[1].id).factor > 2

    async def test_next_owner_learns_from_new_reports(self):
        net, trackers, engines = self.fleet()
        paces = [1.0, 3.0, 1.0, 1.0, 1.0, 1.0]
        owner = net.exchanges["entry-2"]._owners.owner_of(engines[1], 0.0)
        net.down.add(owner.id)
        for name, peer_exchange in net.exchanges.items():
            if name != owner.id:
                peer_exchange.peers.mark_doubtful(owner.id, net.now)
        self.play(net, trackers, engines, paces)
        querying = next(
            name for name in ("entry-2", "entry-3") if name != owner.id
        )
        await self.query(net, querying, engines)
        assert trackers[querying].pace_of_stream(engines[1].id).factor > 2

    async def test_reports_of_many_targets_fit_into_datagrams(self):
        """The network checks the size of each datagram."""
        net, trackers, _ = self.fleet(7)
        many = [
            test_targets.listed(
                f"i-{'0' * 30}{number:03}", data_centre=test_loads.ZONES[0]
            )
            for number in range(60)
        ]
        for each in many:
            trackers["entry-1"].tick(net.now)
            for _ in range(5):
                trackers["entry-1"].record_call(
                    each.service, each.id, sent_at=net.now - 0.05, load=0.0
                )
                trackers["entry-1"].record_first_event(
                    each.service,
                    each.id,
                    sent_at=net.now - 0.05,
                    prompt_tokens=1000,
                    load=0.0,
                )
            net.exchanges["entry-1"].set_load(each, 12.34)
        for count in (60, 12, 1):
            for each in many[:count]:
                net.exchanges["entry-1"].set_load(each, 12.34)
            net.exchanges["entry-1"]._send_load_reports()
            net.deliver_all()
        for count in (24, 12, 1):
            await self.query(net, "entry-2", many[:count])
        assert math.isclose(
            net.exchanges["entry-2"].load_of(many[0].id), 12.34
        )
