"""Quota, fair queue, limiter, gate and the exchange of demand."""

import asyncio
import collections
from concurrent import futures

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import membership
from sassafrasflow import organisations

WorkKind = organisations.WorkKind
CALLS = organisations.LimiterKey(WorkKind.CALL)
demands = strategies.dictionaries(
    strategies.sampled_from("abcd"), strategies.floats(0, 100), min_size=1
)


class TestFairShares:
    @pytest.mark.parametrize(
        ("demand", "weights", "shares"),
        [
            ({"a": 5}, {}, {"a": 5}),
            ({"a": 100}, {}, {"a": 12}),
            ({"a": 100, "b": 2}, {}, {"a": 10, "b": 2}),
            ({"a": 100, "b": 100}, {"a": 2.0}, {"a": 8, "b": 4}),
            ({"a": 0, "b": 100}, {}, {"a": 0, "b": 12}),
        ],
    )
    def test_shares(self, demand, weights, shares):
        fair_shares = organisations.fair_shares(12, demand, weights)
        assert fair_shares == pytest.approx(shares)

    @hypothesis.given(demands, strategies.floats(0, 200))
    def test_capacity_is_used_and_not_exceeded(self, demand, capacity):
        shares = organisations.fair_shares(capacity, demand, {})
        wanted = min(capacity, sum(demand.values()))
        assert sum(shares.values()) == pytest.approx(wanted)
        assert all(shares[n] <= demand[n] + 1e-9 for n in demand)


def make_demand(wanted, offered=None):
    offered = wanted if offered is None else offered
    return organisations.Demand(wanted, offered)


class TestInstanceQuota:
    @hypothesis.given(
        strategies.lists(demands, min_size=1, max_size=5),
        strategies.floats(1, 200),
        strategies.integers(0, 4),
    )
    def test_limits_add_up_to_the_capacity(
        self, parts, capacity, silent_count
    ):
        demands_by_instance = {
            str(n): {
                name: make_demand(amount) for name, amount in part.items()
            }
            for n, part in enumerate(parts)
        }
        limits = [
            organisations.instance_quota(
                capacity,
                demands_by_instance,
                {},
                name,
                silent_count=silent_count,
                floor_share=0.25,
            ).limit
            for name in demands_by_instance
        ]
        part = len(parts) / (len(parts) + silent_count)
        assert sum(limits) <= capacity * part * 1.25 + 1e-6
        assert sum(limits) >= capacity * part - 1e-6

    def test_follows_demand_and_keeps_a_floor(self):
        demands_by_instance = {
            "i0": {"a": make_demand(90)},
            "i1": {"a": make_demand(10)},
            "i2": {},
        }
        limits = {
            name: organisations.instance_quota(
                60,
                demands_by_instance,
                {},
                name,
                silent_count=0,
                floor_share=0.25,
            ).limit
            for name in demands_by_instance
        }
        assert limits == pytest.approx({"i0": 54, "i1": 6, "i2": 5})

    def test_cut_off_instance_keeps_an_equal_part(self):
        quota = organisations.instance_quota(
            60,
            {"i0": {"a": make_demand(99)}},
            {},
            "i0",
            silent_count=2,
            floor_share=0.25,
        )
        assert quota.limit == pytest.approx(20)

    @pytest.mark.parametrize(
        ("published", "current", "significant"),
        [
            ({}, {"a": make_demand(1)}, False),
            ({}, {"a": make_demand(2)}, True),
            ({"a": make_demand(100)}, {"a": make_demand(119)}, False),
            ({"a": make_demand(100)}, {"a": make_demand(121)}, True),
            ({"a": make_demand(9)}, {}, True),
        ],
    )
    def test_small_changes_are_not_published(
        self, published, current, significant
    ):
        assert (
            organisations.is_significant_change(published, current)
            is significant
        )

    def test_satisfied_organisations_get_what_they_want_before_a_flood(self):
        demands_by_instance = {
            "i0": {
                "flood": make_demand(500, offered=500),
                "a": make_demand(40, offered=20),
                "b": make_demand(10, offered=20),
            }
        }
        quota = organisations.instance_quota(
            60, demands_by_instance, {}, "i0", silent_count=0, floor_share=0.25
        )
        assert quota.satisfied == {"a", "b"}
        assert quota.organisations == pytest.approx(
            {"a": 40, "b": 10, "flood": 10}
        )


class TestFairQueue:
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(["a", "b", "pop"]), max_size=80
        )
    )
    def test_service_follows_weights_while_both_wait(self, steps):
        queue = organisations.FairQueue()
        weights = {"a": 3.0, "b": 1.0}
        served = collections.Counter()
        for step in steps:
            if step in weights:
                queue.push(step, weights[step], 1.0, None, 0.0)
                continue
            both_wait = queue.queued_count("a") and queue.queued_count("b")
            queued = queue.pop(lambda name: True)
            if queued is None:
                continue
            served[queued.organisation] += 1
            if not both_wait:
                served.clear()
            gap = served["a"] / 3.0 - served["b"] / 1.0
            assert abs(gap) <= 1.0 + 1 / 3 + 1e-9

    def test_idle_organisation_gains_no_credit(self):
        queue = organisations.FairQueue()
        for _ in range(50):
            queue.push("a", 1.0, 1.0, None, 0.0)
        for _ in range(40):
            queue.pop(lambda name: True)
        for _ in range(10):
            queue.push("b", 1.0, 1.0, None, 0.0)
        order = [queue.pop(lambda name: True).organisation for _ in range(10)]
        assert order.count("b") == 5


def make_limiter(limit=10, **policy):
    limiter = organisations.Limiter(
        organisations.LimiterPolicy(min_limit=1, **policy)
    )
    limiter.set_quota(organisations.InstanceQuota(limit, {}))
    return limiter


def offer(limiter, organisation, times):
    return [
        limiter.offer(organisation, 1.0, 1.0, None, 0.0) for _ in range(times)
    ]


class TestLimiter:
    def test_idle_capacity_goes_to_any_organisation(self):
        assert offer(make_limiter(), "a", 10) == [None] * 10

    def test_reserve_is_kept_for_organisations_within_their_share(self):
        limiter = make_limiter(reserve_share=0.2)
        offer(limiter, "b", 1)
        started = offer(limiter, "a", 12).count(None)
        assert started == 7
        assert offer(limiter, "b", 2) == [None, None]

    def test_satisfied_organisation_goes_first(self):
        limiter = make_limiter(limit=20, max_wait_ms=1e9, reserve_share=0.0)
        offer(limiter, "flood", 10)
        offer(limiter, "a", 10)
        offer(limiter, "flood", 4)
        offer(limiter, "a", 4)
        limiter.set_quota(
            organisations.InstanceQuota(
                20, {}, frozenset("a"), frozenset(["a", "flood"])
            )
        )
        for _ in range(6):
            limiter.end("flood", 1.0)
        order = [limiter.start_next().organisation for _ in range(6)]
        assert order == ["a"] * 4 + ["flood"] * 2

    def test_growing_queue_does_not_raise_offered_demand(self):
        limiter = make_limiter(limit=1, max_wait_ms=1e9, expected_ms=1_000)
        for second in range(60):
            limiter.offer("a", 1.0, 1.0, None, float(second))
            demand = limiter.demand(second + 0.5)["a"]
        assert demand.wanted == 60
        assert demand.offered == pytest.approx(1.0, abs=0.2)

    def test_refuses_at_once_work_that_would_wait_too_long(self):
        limiter = make_limiter(limit=1, expected_ms=1_000, max_wait_ms=2_500)
        results = offer(limiter, "a", 5)
        overloads = [
            result
            for result in results
            if isinstance(result, organisations.Overload)
        ]
        assert [each.wait_s for each in overloads] == [3.0, 3.0]

    def test_flood_does_not_lengthen_another_estimate(self):
        limiter = make_limiter(limit=2, expected_ms=100, max_wait_ms=60_000)
        offer(limiter, "a", 100)
        assert limiter.expected_wait_s("b") <= 0.1

    def test_queue_is_bounded(self):
        limiter = make_limiter(limit=1, max_waiting=3, max_wait_ms=1e9)
        results = offer(limiter, "a", 6)
        assert isinstance(results[-1], organisations.Overload)

    @hypothesis.given(
        strategies.lists(strategies.sampled_from(["a", "b", "end a", "end b"]))
    )
    def test_never_above_the_limit_and_never_idle(self, steps):
        limiter = make_limiter(limit=3, max_wait_ms=1e9, reserve_share=0.0)
        running = collections.Counter()
        for step in steps:
            name = step[-1]
            if step.startswith("end"):
                if not running[name]:
                    continue
                limiter.end(name, 1.0)
                running[name] -= 1
                while (queued := limiter.start_next()) is not None:
                    running[queued.organisation] += 1
            elif limiter.offer(name, 1.0, 1.0, None, 0.0) is None:
                running[name] += 1
            assert limiter.running == running.total() <= 3
            assert limiter.waiting == 0 or limiter.running == 3


def make_gate(**policy):
    policies = dict.fromkeys(
        WorkKind, organisations.LimiterPolicy(min_limit=1, **policy)
    )
    return organisations.Gate(policies, clocks.SystemClock())


class TestGate:
    async def test_released_slot_goes_to_the_next(self):
        gate = make_gate(max_wait_ms=60_000)
        first = await gate.acquire(WorkKind.CALL, "a", 1.0)
        waiting_task = asyncio.create_task(
            gate.acquire(WorkKind.CALL, "b", 1.0)
        )
        await asyncio.sleep(0)
        assert not waiting_task.done()
        first.release()
        first.release()
        second = await waiting_task
        assert gate.limiter(CALLS).running == 1
        second.release()
        assert gate.limiter(CALLS).running == 0

    async def test_refused_when_the_wait_ends(self):
        gate = make_gate(max_wait_ms=30, expected_ms=1)
        await gate.acquire(WorkKind.CALL, "a", 1.0)
        with pytest.raises(exceptions.Refusal) as caught:
            await gate.acquire(WorkKind.CALL, "b", 1.0)
        assert caught.value.reason is exceptions.RefusalReason.OVERLOADED
        assert caught.value.ran is exceptions.Ran.NO
        assert caught.value.retry_after_s >= 1
        assert gate.limiter(CALLS).waiting == 0

    async def test_unresponsive_service_uses_no_slot_of_another(self):
        gate = make_gate(max_wait_ms=60_000)
        await gate.acquire(WorkKind.CALL, "a", 1.0, service="stalled")
        ticket = await gate.acquire(WorkKind.CALL, "a", 1.0, service="booking")
        ticket.release()

    async def test_cancelled_wait_passes_its_slot_on(self):
        gate = make_gate(max_wait_ms=60_000)
        first = await gate.acquire(WorkKind.CALL, "a", 1.0)
        tasks = [
            asyncio.create_task(gate.acquire(WorkKind.CALL, name, 1.0))
            for name in "bc"
        ]
        await asyncio.sleep(0)
        first.release()
        tasks[0].cancel()
        await asyncio.gather(tasks[0], return_exceptions=True)
        ticket = await tasks[1]
        ticket.release()
        assert gate.limiter(CALLS).running == 0


class TestDemandExchange:
    def test_capacity_follows_demand_and_returns(self):
        clock = clocks.ManualClock()
        shared = membership.LocalSharedState("all", clock)
        names = ["i0", "i1"]
        limiter_and_exchange = {}
        for name in names:
            instance_gate = organisations.Gate(
                dict.fromkeys(
                    WorkKind, organisations.LimiterPolicy(min_limit=1)
                ),
                clock,
            )
            exchange = organisations.DemandExchange(
                instance_gate,
                shared,
                name,
                lambda: {CALLS: 40.0},
                lambda: names,
                dict,
                organisations.DemandPolicy(ttl_ms=5_000),
                clock,
            )
            limiter_and_exchange[name] = (
                instance_gate.limiter(CALLS),
                exchange,
            )

        def limits():
            for _ in range(2):
                clock.advance(0.5)
                for _, exchange in limiter_and_exchange.values():
                    exchange.exchange()
            return [limiter_and_exchange[name][0].limit for name in names]

        assert limits() == [20, 20]
        busy = limiter_and_exchange["i0"][0]
        for _ in range(60):
            turn = futures.Future()
            busy.offer("a", 1.0, 1.0, turn, clock.monotonic())
        grown = limits()
        assert grown[0] > 25
        while busy.running:
            busy.end("a", 1.0)
            busy.start_next()
        clock.advance(60)
        assert limits() == [20, 20]
