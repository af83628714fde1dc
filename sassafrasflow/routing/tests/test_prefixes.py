"""Prefix index under lost, late and repeated cache events."""

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasflow import engines
from sassafrasflow import routing

BLOCKS = ["b1", "b2", "b3", "b4"]


def events(*items, incarnation=1):
    made = [
        engines.CacheEvent(sequence, stored, removed)
        for sequence, stored, removed in items
    ]
    return engines.CacheEvents(incarnation, made)


def index(**policy):
    return routing.PrefixIndex(routing.PrefixPolicy(**policy))


class TestPrefixIndex:
    @pytest.mark.parametrize(
        ("batches", "cached"),
        [
            ([events((1, BLOCKS[:3], []))], 3.0),
            ([events((1, BLOCKS[:3], [])), events((2, [], ["b3"]))], 2.0),
            ([events((1, ["b1"], [])), events((1, ["b2"], []))], 1.0),
            ([events((1, BLOCKS[:2], [])), events((3, [], []))], 1.0),
            ([events((1, BLOCKS[:2], [])), events((3, ["b3"], []))], 3.0),
            (
                [
                    events((1, BLOCKS[:2], [])),
                    events((2, ["x"], []), incarnation=2),
                ],
                0.0,
            ),
            (
                [
                    events((1, BLOCKS[:2], [])),
                    events((1, ["b1"], []), incarnation=2),
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
    def test_events(self, batches, cached):
        prefixes = index()
        for batch in batches:
            prefixes.apply("engine-0", batch)
        found = prefixes.cached_blocks(BLOCKS).get("engine-0", 0.0)
        assert found == pytest.approx(cached, abs=1e-6)

    def test_restart_is_asked_for_from_the_beginning(self):
        prefixes = index()
        prefixes.apply("engine-0", events((1, ["b1"], []), (2, ["b2"], [])))
        prefixes.apply("engine-0", events((3, ["x"], []), incarnation=2))
        assert prefixes.sequence("engine-0") == 0

    def test_own_request_counts_before_its_event(self):
        prefixes = index()
        prefixes.record_expected("engine-0", BLOCKS)
        assert prefixes.cached_blocks(BLOCKS) == {"engine-0": 4.0}

    def test_forgotten_target_is_not_trusted_again(self):
        prefixes = index()
        prefixes.apply("engine-0", events((1, BLOCKS, []), (9, [], [])))
        prefixes.remove_target("engine-0")
        prefixes.apply("engine-0", events((1, ["x"], [])))
        assert prefixes.cached_blocks(BLOCKS) == {}

    def test_longest_prefix_comes_first(self):
        prefixes = index()
        prefixes.record_expected("engine-0", BLOCKS[:1])
        prefixes.record_expected("engine-1", BLOCKS[:3])
        assert list(prefixes.cached_blocks(BLOCKS).items()) == [
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
        prefixes = index(max_blocks=10, max_holders=3)
        for target, block in sends:
            prefixes.record_expected(f"engine-{target}", [f"b{block}"])
            assert len(prefixes) <= 10
            found = prefixes.cached_blocks([f"b{block}"])
            assert len(found) <= 3
