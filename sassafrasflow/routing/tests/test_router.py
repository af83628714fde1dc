"""Choice of targets, and the retry budget."""

import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasflow import clocks
from sassafrasflow import engines
from sassafrasflow import ids
from sassafrasflow import routing
from sassafrasflow import storage
from sassafrasflow import targets

MODEL = ids.ModelName("planner")
VERSION = ids.VersionId("v1")
EAST = ids.Region("east")
WEST = ids.Region("west")
PROMPT = "x" * 640
WORK = routing.Work(ids.OrganisationId("club"), MODEL, PROMPT)


class FixedVersionChooser(routing.VersionChooser):
    def choose(self, work):
        return VERSION


class Fleet:
    """Hold a directory of engines that run the given amounts of work."""

    def __init__(self, loads, clock=None):
        self.clock = clock or clocks.ManualClock()
        self.directory = targets.TargetDirectory(
            None, targets.DirectoryPolicy(), self.clock
        )
        self.directory.apply_list(
            [
                storage.ListedInstance(
                    id=name,
                    kind=storage.TargetKind.ENGINE,
                    address="10.0.0.1:80",
                    region=EAST if name.startswith("east") else WEST,
                    data_centre=ids.DataCentre("dc"),
                )
                for name in loads
            ]
        )
        for target in self.directory:
            self.directory.apply_report(
                target,
                engines.EngineReport(
                    incarnation=1,
                    loaded=[engines.LoadedVersion(MODEL, VERSION)],
                    running=loads[target.id],
                    queued=0,
                    capacity=10,
                ),
            )

    def router(self, index=None, budget=None, **cost):
        return routing.Router(
            self.directory,
            FixedVersionChooser(),
            EAST,
            random.Random(5),
            routing.RouterPolicy(cost=routing.CostPolicy(**cost)),
            index,
            budget,
        )

    def count_choices(self, router, times=40, avoid=()):
        counts = collections.Counter()
        for _ in range(times):
            choice = router.choose(WORK, None, avoid)
            counts[choice.target if choice else None] += 1
        return counts


class TestRouter:
    def test_own_region_is_used_while_not_full(self):
        fleet = Fleet({"east-0": 9, "west-0": 0})
        assert set(fleet.count_choices(fleet.router())) == {"east-0"}

    @pytest.mark.parametrize(
        ("price", "target"), [(1.0, "west-0"), (10_000.0, "east-0")]
    )
    def test_other_region_when_waiting_costs_more(self, price, target):
        fleet = Fleet({"east-0": 30, "west-0": 0})
        router = fleet.router(price_ms_per_kib=price)
        assert set(fleet.count_choices(router)) == {target}

    def test_other_region_when_own_has_no_ready_target(self):
        fleet = Fleet({"east-0": 0, "west-0": 0})
        fleet.directory.record_failure("east-0")
        assert set(fleet.count_choices(fleet.router())) == {"west-0"}

    def test_cache_holder_is_preferred_until_it_is_busy(self):
        fleet = Fleet({f"east-{n}": 0 for n in range(8)})
        index = routing.PrefixIndex(routing.PrefixPolicy())
        blocks = engines.prompt_blocks(MODEL, VERSION, PROMPT)
        index.record_expected("east-3", blocks)
        router = fleet.router(index)
        assert router.choose(WORK, None, ()).target == "east-3"
        fleet = Fleet({f"east-{n}": 30 * (n == 3) for n in range(8)})
        assert fleet.router(index).choose(WORK, None, ()).target != "east-3"

    def test_two_choices_avoid_the_most_loaded(self):
        fleet = Fleet({"east-0": 9, "east-1": 1, "east-2": 1})
        assert "east-0" not in fleet.count_choices(fleet.router())

    def test_suspected_target_costs_more_but_is_not_excluded(self):
        fleet = Fleet({"east-0": 0, "east-1": 3})
        fleet.directory.find("east-0").mark_suspected(60.0)
        assert set(fleet.count_choices(fleet.router())) == {"east-1"}
        fleet = Fleet({"east-0": 0})
        fleet.directory.find("east-0").mark_suspected(60.0)
        assert set(fleet.count_choices(fleet.router())) == {"east-0"}

    def test_failed_target_is_used_when_there_is_no_other(self):
        fleet = Fleet({"east-0": 0})
        counts = fleet.count_choices(fleet.router(), avoid={"east-0"})
        assert set(counts) == {"east-0"}

    def test_no_target(self):
        fleet = Fleet({})
        assert fleet.router().choose(WORK, None, ()) is None

    def test_retries_are_bounded_by_the_budget(self):
        fleet = Fleet({"east-0": 0, "east-1": 0})
        policy = routing.BudgetPolicy(ratio=0.1, burst=2, floor_per_s=0)
        budget = routing.RetryBudget(policy, fleet.clock)
        router = fleet.router(budget=budget)
        counts = fleet.count_choices(router, 10, avoid={"east-0"})
        assert counts == {"east-1": 2, None: 8}
        # Retries that save generated tokens are sent even without budget.
        for _ in range(10):
            assert router.choose(WORK, VERSION, {"east-0"}) is not None
        assert budget.balance == -2


class TestRetryBudget:
    @hypothesis.given(
        strategies.lists(strategies.sampled_from(["fresh", "retry"]))
    )
    def test_retries_stay_below_their_share(self, steps):
        policy = routing.BudgetPolicy(ratio=0.2, burst=3, floor_per_s=0)
        budget = routing.RetryBudget(policy, clocks.ManualClock())
        fresh = retried = 0
        for step in steps:
            if step == "fresh":
                budget.record_request()
                fresh += 1
            else:
                retried += budget.try_spend()
            assert retried <= 0.2 * fresh + 3 + 1e-6

    def test_idle_instance_regains_retries_over_time(self):
        clock = clocks.ManualClock()
        policy = routing.BudgetPolicy(burst=1, floor_per_s=0.5)
        budget = routing.RetryBudget(policy, clock)
        assert budget.try_spend()
        assert not budget.try_spend()
        clock.advance(2.1)
        assert budget.try_spend()

    @hypothesis.given(strategies.integers(0, 2_000))
    def test_backoff_has_full_jitter_within_its_bound(self, attempt):
        rng = random.Random(attempt)
        backoff_s = routing.full_jitter_s(attempt, 50, 1_000, rng)
        assert 0 <= backoff_s <= min(1.0, 0.05 * 2 ** min(attempt, 30))
