"""Simulations of one release with each kind of fault, with a fixed seed.

A release with a faulty version must be taken back, and a release of a good
version must complete despite faults elsewhere. ``make bench-releases`` runs
hundreds of each kind.
"""

import pytest

from benchmarks import release_world
from benchmarks import releases as simulation

SPAN_S = 1_800.0


class TestSimulatedRelease:
    @pytest.mark.parametrize("fault", release_world.Fault)
    def test_only_good_versions_complete(self, fault):
        case = simulation.Case(
            "sequential", release_world.SIZES[0], fault, 1, SPAN_S
        )
        result = simulation.simulate(case)
        assert result.done == (fault in release_world.GOOD), result.reason
        assert result.ended_at <= SPAN_S
