"""Choice of versions by shares, ready targets, blocks and deadlines."""

from collections import Counter
import random

import pytest

from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import routing


class FixedKeeper:
    """Keep one configuration document in force."""

    def __init__(self, shares, deadline):
        trial = configuration.Trial("note", "v2", "v1", 0.0, deadline)
        self.current = configuration.Document(
            models={"planner": configuration.Model(shares)},
            trials={"planner": trial},
        )


class FixedDirectory:
    """List one target for each served version."""

    def __init__(self, served, ready):
        self._served = served
        self._ready = ready

    def regions(self, key):
        return {"east": [key[1]]} if key[1] in self._served else {}

    def is_ready(self, target):
        return target in self._ready


class FixedBlocks(routing.VersionBlocks):
    """Block one version."""

    def __init__(self, blocked):
        self._blocked = blocked

    def is_blocked(self, model, version):
        return version == self._blocked


def count_choices(
    shares, served=("v1", "v2"), ready=None, blocked=None, deadline=2e9
):
    chooser = routing.ShareChooser(
        FixedKeeper(shares, deadline),
        FixedDirectory(served, served if ready is None else ready),
        random.Random(3),
        clocks.ManualClock(),
        FixedBlocks(blocked),
    )
    work = routing.Work("club", "planner", "Plan.")
    return Counter(chooser.choose(work) for _ in range(1_000))


SHARES = {"v1": 0.9, "v2": 0.1}

# Arguments of count_choices, then the versions that get work.
CASES = [
    ({"served": ("v1",)}, {"v1"}),
    ({"ready": ("v1",)}, {"v1"}),
    ({"served": ()}, {"v1", "v2"}),
    ({"blocked": "v2"}, {"v1"}),
    ({"deadline": 1.0}, {"v1"}),
    ({}, {"v1", "v2"}),
]


class TestShareChooser:
    @pytest.mark.parametrize(("arguments", "versions"), CASES)
    def test_versions_that_get_work(self, arguments, versions):
        assert count_choices(SHARES, **arguments).keys() == versions

    def test_work_follows_the_shares(self):
        assert 70 <= count_choices(SHARES)["v2"] <= 130

    def test_blocked_candidate_at_full_share_leaves_the_baseline(self):
        assert count_choices({"v2": 1.0}, blocked="v2").keys() == {"v1"}

    def test_model_without_versions(self):
        assert count_choices({}, deadline=1.0).keys() <= {"v1", None}
