"""Tests of the target subsets that instances follow, and of their cost."""

import collections
import random

import pytest

from sassafrasflow import ids
from sassafrasflow.experiments import subsets
from sassafrasflow.gateway import targets

# Instances of a data centre and targets, for each size of a deployment.
SIZES = [(3, 18), (13, 56), (33, 59), (50, 2999), (167, 4000)]
SUBSET = 32
# The users' letter 1 allows 4 KB/s for all control traffic.
BUDGET_BYTES_PER_S = 4096


def names(kind, count):
    return [f"{kind}{number:04}" for number in range(count)]


def windows(instances, target_ids):
    """Return the window of each instance."""
    return {
        each: subsets.choose_window(each, instances, target_ids, SUBSET)
        for each in instances
    }


class TestWindow:
    """Guard against windows that are unbalanced or differ by instance."""

    @pytest.mark.parametrize("instances, count", SIZES)
    def test_is_balanced(self, instances, count):
        target_ids = names("t", count)
        window_by_instance = windows(names("i", instances), target_ids)
        size = min(SUBSET, count)
        assert {len(subset) for subset in window_by_instance.values()} == {
            size
        }
        users = collections.Counter(
            target
            for subset in window_by_instance.values()
            for target in subset
        )
        mean = instances * size / count
        assert max(users.values()) <= mean + 2
        if mean > 2:
            assert min(users[target] for target in target_ids) >= mean - 2

    def test_does_not_depend_on_the_order_of_arguments(self):
        instances, target_ids = names("i", 13), names("t", 56)
        window_by_instance = windows(instances, target_ids)
        rng = random.Random(1)
        rng.shuffle(instances)
        rng.shuffle(target_ids)
        assert windows(instances, target_ids) == window_by_instance

    def test_lost_target_changes_few_members(self):
        instances, target_ids = names("i", 50), names("t", 2999)
        before = windows(instances, target_ids)
        after = windows(instances, target_ids[1:])
        added = sum(len(after[each] - before[each]) for each in instances)
        assert added <= 2 * len(instances)


class TestByHash:
    """Guard the choice by hash, which is stable but less balanced."""

    def test_subset_does_not_depend_on_other_instances(self):
        target_ids = names("t", 56)
        subset = subsets.choose_by_hash("i0001", target_ids, SUBSET)
        assert subset == subsets.choose_by_hash(
            "i0001", target_ids[::-1], SUBSET
        )
        assert len(subset) == SUBSET

    def test_is_less_balanced_than_a_window(self):
        instances, target_ids = names("i", 50), names("t", 2999)
        by_hash = collections.Counter(
            target
            for each in instances
            for target in subsets.choose_by_hash(each, target_ids, SUBSET)
        )
        unused = sum(not by_hash[target] for target in target_ids)
        assert unused > 0.5 * len(target_ids)


class TestBytes:
    """Guard against changes of a crash that exceed the byte budget."""

    def changes(self, count):
        rng = random.Random(1)
        return [
            targets.TargetChange(
                ids.TargetId(f"model-{rng.randrange(16**8):08x}"),
                number,
                targets.ListedTarget(
                    ids.TargetId(f"model-{rng.randrange(16**8):08x}"),
                    ids.ServiceName("model-fleet"),
                    f"10.0.{rng.randrange(256)}.{rng.randrange(256)}",
                    7000 + rng.randrange(100),
                    ids.DataCentre(f"zone-{rng.randrange(6)}"),
                    12,
                )
                if number % 2
                else None,
            )
            for number in range(count)
        ]

    def test_packed_changes_are_smaller(self):
        sizes = subsets.encoded_sizes(self.changes(900))
        assert sizes["packed"] < 0.5 * sizes["relayed"]

    def test_subset_reduces_the_bytes_of_a_reader(self):
        """Load: 2,999 targets, 15% of which crash every 6 s."""
        figures = subsets.ChurnFigures()
        sizes = subsets.encoded_sizes(self.changes(900))
        all_targets = subsets.bytes_per_s(figures, sizes["packed"])
        subset = subsets.bytes_per_s(figures, sizes["relayed"], SUBSET)
        assert subset["member"] < all_targets["member"] < BUDGET_BYTES_PER_S
        assert subset["reader"] < all_targets["reader"] / 5
