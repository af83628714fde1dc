"""Placements to compare, the one in force among them."""

from collections.abc import Sequence
import random

from sassafrasflow import ids
from sassafrasflow.experiments import fleet
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import targets

__all__ = ["POLICIES"]


def _sampled(
    known: Sequence[targets.Target],
    data_centre: ids.DataCentre,
    now: float,
    rng: random.Random,
) -> targets.Target | None:
    """Place as the gateway does."""
    return placement.choose_target(
        known, data_centre=data_centre, now=now, rng=rng
    )


def _least_loaded(
    known: Sequence[targets.Target],
    data_centre: ids.DataCentre,
    now: float,
    rng: random.Random,
) -> targets.Target | None:
    """Place at the least loaded of all, near ones first."""

    def cost(target: targets.Target) -> tuple[float, float]:
        load = placement.load_of(target)
        if target.listed.data_centre != data_centre:
            load += placement.REMOTE_PENALTY
        return load, rng.random()

    return min(known, key=cost, default=None)


def _any(
    known: Sequence[targets.Target],
    data_centre: ids.DataCentre,
    now: float,
    rng: random.Random,
) -> targets.Target | None:
    """Place anywhere."""
    return rng.choice(known) if known else None


POLICIES: dict[str, fleet.Policy] = {
    "sampled": _sampled,
    "least-loaded": _least_loaded,
    "random": _any,
}
