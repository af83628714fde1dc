"""Tests of the table of shared entries."""

import itertools

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasflow import clocks
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow.membership import entries

EVIDENCE = membership.Topic.EVIDENCE
KEYS = ("a", "b", "c", "d")

entry_strategy = strategies.builds(
    membership.Entry,
    topic=strategies.sampled_from([EVIDENCE, membership.Topic.DEMAND]),
    key=strategies.sampled_from(KEYS),
    version=strategies.integers(1, 3),
    origin=strategies.sampled_from(["i", "j"]),
    value=strategies.sampled_from([b"", b"x"]),
    ttl_ms=strategies.integers(1, 3).map(lambda n: n * 1000),
)


def entry(key="a", version=1, origin="i", value=b"", ttl_ms=10_000):
    return membership.Entry(
        EVIDENCE, key, version, ids.InstanceId(origin), value, ttl_ms
    )


def table(clock=None, **limits):
    return entries.EntryTable(
        entries.Limits(**limits), clock or clocks.ManualClock()
    )


def contents(held):
    found = (held.entries(topic) for topic in membership.Topic)
    return set(itertools.chain.from_iterable(found))


def merged(*groups, max_entries=3):
    held = table(max_entries=max_entries)
    for item in itertools.chain(*groups):
        held.merge(item)
    return held


class TestMergeLaws:
    @hypothesis.given(strategies.lists(entry_strategy), strategies.randoms())
    def test_any_order_and_repetition(self, items, rng):
        shuffled = items + items[: len(items) // 2]
        rng.shuffle(shuffled)
        one, other = merged(items), merged(shuffled)
        assert contents(one) == contents(other)
        assert one.digest() == other.digest()

    @hypothesis.given(*[strategies.lists(entry_strategy)] * 3)
    def test_any_grouping(self, first, second, third):
        left = merged(contents(merged(first, second)), third)
        right = merged(first, contents(merged(second, third)))
        assert contents(left) == contents(right)

    @hypothesis.given(
        strategies.lists(entry_strategy), strategies.lists(entry_strategy)
    )
    def test_comparison_makes_tables_equal(self, first, second):
        one = merged(first, max_entries=9)
        other = merged(second, max_entries=9)
        numbers = one.differing_buckets(other.buckets())
        send, want = other.compare(numbers, one.versions(numbers))
        give = one.by_hash(want)
        for target, news in ((one, send), (other, give)):
            for item in news:
                target.merge(item)
        assert one.digest() == other.digest()
        assert not one.differing_buckets(other.buckets())


class TestExpiry:
    def test_entry_is_gone_after_its_time(self):
        clock = clocks.ManualClock()
        held = table(clock)
        held.merge(entry(ttl_ms=1_000))
        clock.advance(1.5)
        assert held.entries(EVIDENCE) == []
        assert held.digest() == table().digest()

    def test_remaining_time_is_passed_on(self):
        clock = clocks.ManualClock()
        held = table(clock)
        held.merge(entry(ttl_ms=1_000))
        clock.advance(0.75)
        assert held.get(EVIDENCE, "a").ttl_ms == 250

    def test_late_copy_of_an_expired_entry_is_no_news(self):
        clock = clocks.ManualClock()
        held = table(clock)
        held.merge(entry(version=5, ttl_ms=1_000))
        clock.advance(2)
        assert not held.merge(entry(version=5))
        assert not held.merge(entry(version=4))
        assert held.merge(entry(version=6))

    def test_repeated_copies_do_not_prolong_an_entry(self):
        clock = clocks.ManualClock()
        held = table(clock)
        held.merge(entry(ttl_ms=1_000))
        for _ in range(10):
            clock.advance(0.2)
            held.merge(entry(ttl_ms=1_000))
        assert held.entries(EVIDENCE) == []

    def test_floors_are_forgotten(self):
        clock = clocks.ManualClock()
        held = table(clock, floor_ms=5_000)
        held.merge(entry(version=5, ttl_ms=1_000))
        clock.advance(1.5)
        held.expire()
        clock.advance(10)
        held.expire()
        assert held.version(EVIDENCE, "a") == 0


class SuspendedClock(clocks.ManualClock):
    """Let only the wall clock pass."""

    def suspend(self, seconds):
        self._wall_s += seconds


class TestSuspend:
    def test_time_in_a_suspended_machine_counts(self):
        clock = SuspendedClock()
        held = table(clock)
        held.merge(entry(ttl_ms=10_000))
        clock.suspend(3_600)
        assert held.entries(EVIDENCE) == []

    def test_wall_clock_set_back_prolongs_nothing(self):
        clock = SuspendedClock()
        held = table(clock)
        held.merge(entry(ttl_ms=10_000))
        clock.suspend(-3_600)
        clock.advance(11)
        assert held.entries(EVIDENCE) == []


class TestBounds:
    def test_large_value_is_refused(self):
        held = table(max_value_bytes=8)
        assert not held.merge(entry(value=b"x" * 9))

    @pytest.mark.parametrize("order", list(itertools.permutations(KEYS)))
    def test_the_same_keys_survive(self, order):
        held = table(max_entries=2)
        for key in order:
            held.merge(entry(key))
        survivors = {item.key for item in held.entries(EVIDENCE)}
        everywhere = table(max_entries=2)
        for key in KEYS:
            everywhere.merge(entry(key))
        assert len(survivors) == 2
        assert survivors == {e.key for e in everywhere.entries(EVIDENCE)}
