"""A short soak for CI; ``python -m tests.soak`` runs more seeds."""

import pytest

from tests import hard_soak
from tests import soak

# Seeds that failed once, each with its cause.
REGRESSION_SEEDS = [
    # An outgoing connection had taken an instance's port. Ports are now drawn
    # from the seed, below the range of outgoing connections.
    633199305,
]


class TestSoak:
    """Invariants hold while instances, workers, links and the store fail."""

    @pytest.mark.processes
    @pytest.mark.parametrize("seed", [1, *REGRESSION_SEEDS])
    async def test_invariants_hold(self, seed):
        checker = await soak.run_seed(seed, duration_s=8.0)
        assert any(key.endswith(" 200") for key in checker.outcomes)

    @pytest.mark.processes
    @pytest.mark.parametrize("seed", [1])
    async def test_invariants_hold_under_hard_load(self, seed):
        """Guard the promises while more streams compete than have room."""
        checker = await soak.run_seed(
            seed, duration_s=8.0, kind=hard_soak.HardSoak
        )
        for kind in hard_soak.HardSoak.KINDS:
            assert checker.outcomes[f"{kind} 200"], checker.outcomes
