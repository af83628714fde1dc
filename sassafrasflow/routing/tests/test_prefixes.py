"""Prefix index with lost, late and repeated cache events."""

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasflow import engines
from sassafrasflow import routing

BLOCKS = ["b1", "b2", "b3", "b4"]


def make_events(*items, incarnation=1):
    cache_events = [
        engines.CacheEvent(sequence, stored, removed)
        for sequence, stored, removed in items
    ]
    return engines.CacheEvents(incarnation, cache_events)


def make_index(**policy):
    return routing.PrefixIndex(routing.PrefixPolicy(**policy))


class TestPrefixIndex:
    @pytest.mark.parametrize(
        ("batches", "cached"),
        [
            ([make_events((1, BLOCKS[:3], []))], 3.0),
            (
                [
                    make_events((1, BLOCKS[:3], [])),
                    make_events((2, [], ["b3"])),
                ],
                2.0,
            ),
            (
                [make_events((1, ["b1"], [])), make_events((1, ["b2"], []))],
                1.0,
            ),
            (
                [make_events((1, BLOCKS[:2], [])), make_events((3, [], []))],
                1.0,
            ),
            (
                [
                    make_events((1, BLOCKS[:2], [])),
                    make_events((3, ["b3"], [])),
                ],
                3.0,
            ),
            (
                [
                    make_events((1, BLOCKS[:2], [])),
                    make_events((2, ["x"], []), incarnation=2),
                ],
                0.0,
            ),
            (
                [
                    make_events((1, BLOCKS[:2], [])),
                    make_events((1, ["b1"], []), incarnation=2),
                ],
                1.0,
            ),
        ],
        ids=[
            "stored",
            "removed",
            "repeated event",
            "gap",
            "stored after a gap",
            "restart, first events missed",
            "restart",
        ],
    )
    def test_cached_blocks_after_events(self, batches, cached):
        index = make_index()
        for batch in batches:
            index.apply("engine-0", batch)
        blocks = index.cached_blocks(BLOCKS).get("engine-0", 0.0)
        assert blocks == pytest.approx(cached, abs=1e-6)

    def test_restart_resets_the_sequence(self):
        index = make_index()
        index.apply("engine-0", make_events((1, ["b1"], []), (2, ["b2"], [])))
        index.apply("engine-0", make_events((3, ["x"], []), incarnation=2))
        assert index.sequence("engine-0") == 0

    def test_sent_request_counts_before_its_event(self):
        index = make_index()
        index.record_expected("engine-0", BLOCKS)
        assert index.cached_blocks(BLOCKS) == {"engine-0": 4.0}

    def test_removed_target_is_not_trusted_again(self):
        index = make_index()
        index.apply("engine-0", make_events((1, BLOCKS, []), (9, [], [])))
        index.remove_target("engine-0")
        index.apply("engine-0", make_events((1, ["x"], [])))
        assert index.cached_blocks(BLOCKS) == {}

    def test_longest_prefix_comes_first(self):
        index = make_index()
        index.record_expected("engine-0", BLOCKS[:1])
        index.record_expected("engine-1", BLOCKS[:3])
        assert list(index.cached_blocks(BLOCKS).items()) == [
            ("engine-1", 3.0),
            ("engine-0", 1.0),
        ]

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 20), strategies.integers(0, 30)
            )
        )
    )
    def test_memory_is_bounded(self, sends):
        index = make_index(max_blocks=10, max_holders=3)
        for target, block in sends:
            index.record_expected(f"engine-{target}", [f"b{block}"])
            assert len(index) <= 10
            holders = index.cached_blocks([f"b{block}"])
            assert len(holders) <= 3
