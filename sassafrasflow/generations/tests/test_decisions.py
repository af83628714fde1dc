"""Tests of timeouts, attempt budgets, quarantine and replica store."""

import random

import pytest

from sassafrasflow import clocks
from sassafrasflow import engines
from sassafrasflow import generations
from sassafrasflow import ids
from sassafrasflow import membership

VERSION = ids.VersionId("v")
ORGANISATION = ids.OrganisationId("club")


class TestAdaptiveTimeout:
    @pytest.mark.parametrize(
        ("gap_s", "samples", "stall_count", "timeout_s"),
        [
            (0.0, 0, 0, 1.0),
            (0.02, 100, 0, 1.0),
            (0.02, 300, 0, 0.25),
            (0.1, 300, 0, 0.4),
            (0.1, 300, 1, 0.8),
            (0.1, 300, 4, 1.0),
            (5.0, 300, 0, 1.0),
        ],
    )
    def test_follows_the_gaps(self, gap_s, samples, stall_count, timeout_s):
        timeout = generations.AdaptiveTimeout(
            generations.AdaptiveTimeoutPolicy()
        )
        for _ in range(samples):
            timeout.record(VERSION, gap_s)
        measured = timeout.timeout_s(VERSION, stall_count)
        assert measured == pytest.approx(timeout_s, rel=0.02)

    @pytest.mark.parametrize(
        ("stall_count", "timeout_s"), [(0, 1.5), (1, 3.0), (2, 6.0), (3, 10.0)]
    )
    def test_each_stall_doubles_the_timeout_of_a_new_version(
        self, stall_count, timeout_s
    ):
        timeout = generations.AdaptiveTimeout(
            generations.AdaptiveTimeoutPolicy(1_000, 10_000, 1_500)
        )
        assert timeout.timeout_s(VERSION, stall_count) == timeout_s

    def test_versions_are_independent_and_old_gaps_expire(self):
        policy = generations.AdaptiveTimeoutPolicy(window_samples=400)
        timeout = generations.AdaptiveTimeout(policy)
        for gap_s in (0.2, 0.02, 0.02):
            for _ in range(400):
                timeout.record(VERSION, gap_s)
        assert timeout.timeout_s(VERSION) == pytest.approx(0.25)
        assert timeout.timeout_s(ids.VersionId("new")) == 1.0


class TestAttemptBudget:
    def budget(self):
        return generations.AttemptBudget(
            generations.RetryPolicy(max_attempts=3), random.Random(1)
        )

    def lose(self, budget, index, now=0.0, target="t"):
        budget.record_loss(ids.TargetId(target), index, now, stalled=True)

    def test_is_exhausted_without_progress(self):
        budget = self.budget()
        for _ in range(3):
            assert not budget.exhausted
            self.lose(budget, 5)
        assert budget.exhausted

    def test_progress_resets_the_count(self):
        budget = self.budget()
        for index in range(1, 10):
            self.lose(budget, index)
            assert budget.stall_count == 1
        assert not budget.exhausted

    def test_first_retry_is_immediate_and_later_ones_are_delayed(self):
        budget = self.budget()
        self.lose(budget, 0)
        assert budget.delay_s() == 0
        self.lose(budget, 0)
        assert 0.01 <= budget.delay_s() <= 0.02

    def test_failed_targets_are_avoided_for_a_time(self):
        budget = self.budget()
        self.lose(budget, 0, 10.0, "a")
        assert budget.recently_failed(12.0) == {"a"}
        assert budget.recently_failed(16.0) == set()


class TestQuarantine:
    def make(self, count=1):
        clock = clocks.ManualClock()
        shared = membership.LocalSharedState(ids.InstanceId("a"), clock)
        policy = generations.PoisonPolicy()
        quarantines = [
            generations.Quarantine(shared, policy, clock) for _ in range(count)
        ]
        return [clock, *quarantines]

    @pytest.mark.parametrize(
        ("crashes", "status"),
        [
            ([], "clear"),
            ([("a", 0, 0)], "suspect"),
            ([("a", 50, 50)], "clear"),
            ([("a", 0, 0), ("b", 0, 0)], "refused"),
            ([("a", 0, 0), ("a", 0, 0)], "suspect"),
            # Two targets crashed at the same time; the second had not added
            # a token.
            ([("a", 50, 50), ("b", 0, 50)], "suspect"),
            ([("a", 50, 50), ("b", 0, 50), ("c", 0, 50)], "refused"),
        ],
    )
    def test_status_after_crashes(self, crashes, status):
        _, local, remote = self.make(2)
        for target, new_tokens, index in crashes:
            local.record_crash(
                "f", ids.TargetId(target), new_tokens=new_tokens, index=index
            )
        for quarantine in (local, remote):
            assert quarantine.status("f").value == status
            assert quarantine.status("other").value == "clear"

    def test_progress_clears_a_suspect(self):
        _, quarantine = self.make()
        quarantine.record_crash("f", ids.TargetId("a"), new_tokens=0, index=40)
        quarantine.record_progress("f", 41)
        assert quarantine.status("f").value == "suspect"
        quarantine.record_progress("f", 56)
        assert quarantine.status("f").value == "clear"

    def test_crashes_expire(self):
        clock, quarantine = self.make()
        for target in ("a", "b"):
            quarantine.record_crash(
                "f", ids.TargetId(target), new_tokens=0, index=0
            )
        assert quarantine.retry_after_s("f") == 601
        clock.advance(601)
        assert quarantine.status("f").value == "clear"

    def test_suspect_and_target_are_reserved_for_each_other(self):
        _, quarantine = self.make()
        one, two = ids.TargetId("a"), ids.TargetId("b")
        assert quarantine.reserve("f", one)
        assert not quarantine.reserve("f", two)
        assert not quarantine.reserve("g", one)
        assert quarantine.reserve("g", two)
        quarantine.free("f", one)
        assert quarantine.reserved_targets() == {two}


def update(key="k", generation="g", epoch=1, index=0, count=3, **changes):
    header = generations.RecordHeader(
        ORGANISATION,
        ids.RequestKey(key),
        ids.GenerationId(generation),
        "f",
        "owner",
        ids.Epoch(epoch),
        VERSION,
        None,
        ids.AttemptNumber(1),
    )
    values = {"header": header, **changes}
    return generations.ReplicaUpdate(
        ids.GenerationId(generation),
        ids.Epoch(epoch),
        index,
        list(range(index, index + count)),
        ["x"] * count,
        **values,
    )


class TestReplicaStore:
    @pytest.mark.parametrize(
        ("updates", "status", "length"),
        [
            ([update()], "KEPT", 3),
            ([update(), update()], "KEPT", 3),
            ([update(), update(index=2)], "KEPT", 5),
            ([update(), update(index=4)], "UNKNOWN", 3),
            ([update(header=None)], "UNKNOWN", 0),
            ([update(), update(epoch=2, index=3)], "UNKNOWN", 0),
            ([update(epoch=2), update(epoch=1, index=3)], "SUPERSEDED", 3),
            ([update(), update(epoch=2, count=1)], "KEPT", 1),
            ([update(), update(generation="h", count=1)], "KEPT", 1),
        ],
    )
    def test_updates(self, updates, status, length):
        store = generations.ReplicaStore(generations.ReplicaPolicy())
        answers = [store.apply(item, 0.0) for item in updates]
        assert answers[-1].status.name == status
        assert answers[-1].length == length
        assert len(store) <= 1

    def test_only_one_takeover_succeeds(self):
        store = generations.ReplicaStore(generations.ReplicaPolicy())
        store.apply(update(), 0.0)
        scoped_key = (ORGANISATION, ids.RequestKey("k"))
        first = store.take_over(
            *scoped_key, prior=ids.Epoch(1), epoch=ids.Epoch(9)
        )
        assert first.tokens == [0, 1, 2]
        assert not store.take_over(
            *scoped_key, prior=ids.Epoch(1), epoch=ids.Epoch(12)
        )
        late = store.apply(update(index=3, header=None), 0.0)
        assert late.status is generations.ReplicaStatus.SUPERSEDED

    def test_complete_answer_is_returned_without_a_new_owner(self):
        store = generations.ReplicaStore(generations.ReplicaPolicy())
        store.apply(update(finish=engines.FinishReason.STOP), 0.0)
        for _ in range(2):
            record = store.take_over(
                ORGANISATION,
                ids.RequestKey("k"),
                prior=ids.Epoch(1),
                epoch=ids.Epoch(9),
            )
            assert record.header.finish is engines.FinishReason.STOP

    def test_memory_is_bounded(self):
        store = generations.ReplicaStore(
            generations.ReplicaPolicy(max_bytes=20_000)
        )
        for number in range(100):
            store.apply(update(f"k{number}", f"g{number}", count=10), 0.0)
        assert store.size_bytes <= 20_000
        assert store.evicted == 100 - len(store)
        kept = store.find(ORGANISATION, ids.RequestKey("k99"))
        assert kept is not None

    def test_records_expire(self):
        store = generations.ReplicaStore(generations.ReplicaPolicy(1_000))
        store.apply(update(), 0.0)
        store.apply(update("l", "h"), 0.9)
        store.expire(1.5)
        assert len(store) == 1
        store.expire(2.0)
        assert (len(store), store.size_bytes) == (0, 0)
