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


def contents(entry_table):
    groups = (entry_table.entries(topic) for topic in membership.Topic)
    return set(itertools.chain.from_iterable(groups))


def merged(*groups, max_entries=3):
    entry_table = table(max_entries=max_entries)
    for item in itertools.chain(*groups):
        entry_table.merge(item)
    return entry_table


class TestMergeLaws:
    """Guard against tables that depend on the order in which entries come."""

    @hypothesis.given(strategies.lists(entry_strategy), strategies.randoms())
    def test_order_and_repetition_do_not_matter(self, items, rng):
        shuffled = items + items[: len(items) // 2]
        rng.shuffle(shuffled)
        one, other = merged(items), merged(shuffled)
        assert contents(one) == contents(other)
        assert one.digest() == other.digest()

    @hypothesis.given(*[strategies.lists(entry_strategy)] * 3)
    def test_grouping_does_not_matter(self, first, second, third):
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
        entries_for_other, wanted_hashes = other.compare(
            numbers, one.versions(numbers)
        )
        entries_for_one = one.by_hash(wanted_hashes)
        for receiver, items_to_merge in (
            (one, entries_for_other),
            (other, entries_for_one),
        ):
            for item in items_to_merge:
                receiver.merge(item)
        assert one.digest() == other.digest()
        assert not one.differing_buckets(other.buckets())


class TestExpiry:
    def test_entry_expires_after_its_ttl(self):
        clock = clocks.ManualClock()
        entry_table = table(clock)
        entry_table.merge(entry(ttl_ms=1_000))
        clock.advance(1.5)
        assert entry_table.entries(EVIDENCE) == []
        assert entry_table.digest() == table().digest()

    def test_returned_entry_has_the_remaining_ttl(self):
        clock = clocks.ManualClock()
        entry_table = table(clock)
        entry_table.merge(entry(ttl_ms=1_000))
        clock.advance(0.75)
        assert entry_table.get(EVIDENCE, "a").ttl_ms == 250

    def test_late_copy_of_an_expired_entry_is_not_new(self):
        clock = clocks.ManualClock()
        entry_table = table(clock)
        entry_table.merge(entry(version=5, ttl_ms=1_000))
        clock.advance(2)
        assert not entry_table.merge(entry(version=5))
        assert not entry_table.merge(entry(version=4))
        assert entry_table.merge(entry(version=6))

    def test_repeated_copies_do_not_prolong_an_entry(self):
        clock = clocks.ManualClock()
        entry_table = table(clock)
        entry_table.merge(entry(ttl_ms=1_000))
        for _ in range(10):
            clock.advance(0.2)
            entry_table.merge(entry(ttl_ms=1_000))
        assert entry_table.entries(EVIDENCE) == []

    def test_floors_expire(self):
        clock = clocks.ManualClock()
        entry_table = table(clock, floor_ms=5_000)
        entry_table.merge(entry(version=5, ttl_ms=1_000))
        clock.advance(1.5)
        entry_table.expire()
        clock.advance(10)
        entry_table.expire()
        assert entry_table.version(EVIDENCE, "a") == 0


class SuspendedClock(clocks.ManualClock):
    """Clock whose wall time can advance alone, as during a suspension."""

    def suspend(self, seconds):
        self._wall_s += seconds


class TestSuspension:
    def test_suspended_time_counts(self):
        clock = SuspendedClock()
        entry_table = table(clock)
        entry_table.merge(entry(ttl_ms=10_000))
        clock.suspend(3_600)
        assert entry_table.entries(EVIDENCE) == []

    def test_wall_clock_set_back_does_not_prolong_an_entry(self):
        clock = SuspendedClock()
        entry_table = table(clock)
        entry_table.merge(entry(ttl_ms=10_000))
        clock.suspend(-3_600)
        clock.advance(11)
        assert entry_table.entries(EVIDENCE) == []


class TestBounds:
    def test_large_value_is_refused(self):
        entry_table = table(max_value_bytes=8)
        assert not entry_table.merge(entry(value=b"x" * 9))

    @pytest.mark.parametrize("order", list(itertools.permutations(KEYS)))
    def test_surviving_keys_do_not_depend_on_the_order(self, order):
        entry_table = table(max_entries=2)
        for key in order:
            entry_table.merge(entry(key))
        survivors = {item.key for item in entry_table.entries(EVIDENCE)}
        reference = table(max_entries=2)
        for key in KEYS:
            reference.merge(entry(key))
        assert len(survivors) == 2
        assert survivors == {e.key for e in reference.entries(EVIDENCE)}
