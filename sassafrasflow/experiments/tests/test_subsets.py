"""Parts of the targets that instances follow, and what that saves."""

import collections
import random

import pytest

from sassafrasflow import ids
from sassafrasflow.experiments import subsets
from sassafrasflow.gateway import targets

# Instances of a data centre and targets: the sizes of the deployments.
SIZES = [(3, 18), (13, 56), (33, 59), (50, 2999), (167, 4000)]
SUBSET = 32
# Letter 1 allows 4 KB a second for all control.
BUDGET_BYTES_PER_S = 4096


def names(kind, count):
    return [f"{kind}{number:04}" for number in range(count)]


def windows(instances, found):
    """Return the part of each instance."""
    return {
        each: subsets.choose_window(each, instances, found, SUBSET)
        for each in instances
    }


class TestWindow:
    """Every target gets as many instances, whoever works it out."""

    @pytest.mark.parametrize("instances, count", SIZES)
    def test_is_balanced(self, instances, count):
        found = names("t", count)
        parts = windows(names("i", instances), found)
        size = min(SUBSET, count)
        assert {len(part) for part in parts.values()} == {size}
        users = collections.Counter(
            target for part in parts.values() for target in part
        )
        mean = instances * size / count
        assert max(users.values()) <= mean + 2
        if mean > 2:
            assert min(users[target] for target in found) >= mean - 2

    def test_does_not_depend_on_the_order_of_what_is_known(self):
        instances, found = names("i", 13), names("t", 56)
        parts = windows(instances, found)
        rng = random.Random(1)
        rng.shuffle(instances)
        rng.shuffle(found)
        assert windows(instances, found) == parts

    def test_lost_target_moves_few_members(self):
        instances, found = names("i", 50), names("t", 2999)
        before = windows(instances, found)
        after = windows(instances, found[1:])
        moved = sum(len(after[each] - before[each]) for each in instances)
        assert moved <= 2 * len(instances)


class TestByHash:
    """The other way: chance decides who gets how many."""

    def test_lost_instance_moves_nothing_of_the_others(self):
        found = names("t", 56)
        part = subsets.choose_by_hash("i0001", found, SUBSET)
        assert part == subsets.choose_by_hash("i0001", found[::-1], SUBSET)
        assert len(part) == SUBSET

    def test_is_less_balanced_than_a_window(self):
        instances, found = names("i", 50), names("t", 2999)
        by_hash = collections.Counter(
            target
            for each in instances
            for target in subsets.choose_by_hash(each, found, SUBSET)
        )
        unused = sum(not by_hash[target] for target in found)
        assert unused > 0.5 * len(found)


class TestBytes:
    """What the changes of a crash cost those who follow them."""

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

    def test_only_a_part_keeps_to_the_budget_of_a_reader(self):
        """Load: 2,999 targets, 15% of which crash every 6 s."""
        figures = subsets.ChurnFigures()
        sizes = subsets.encoded_sizes(self.changes(900))
        whole = subsets.bytes_per_s(figures, sizes["packed"])
        part = subsets.bytes_per_s(figures, sizes["relayed"], SUBSET)
        assert part["member"] < whole["member"] < BUDGET_BYTES_PER_S
        assert part["reader"] < whole["reader"] / 5
