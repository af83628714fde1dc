"""Choice of a target of a plain service."""

from collections.abc import Collection
import random

from sassafrasflow import ids
from sassafrasflow.targets import directory as directories
from sassafrasflow.targets import pool as pools

__all__ = ["choose_service_target"]

SAMPLED_TARGETS = 2


def choose_service_target(
    directory: directories.TargetDirectory,
    service: ids.ServiceName,
    region: ids.Region,
    avoid: Collection[str],
    rng: random.Random,
    route: str = "",
) -> ids.TargetId | None:
    """Return the less loaded of two random targets of the nearest region.

    A target whose breaker for the route is open is used only when there is
    no other.
    """

    def is_candidate(target_id: ids.TargetId) -> bool:
        return target_id not in avoid and directory.is_ready(target_id)

    def is_candidate_for_route(target_id: ids.TargetId) -> bool:
        return is_candidate(target_id) and directory.route_breakers.allows(
            target_id, route
        )

    for is_usable in (is_candidate_for_route, is_candidate):
        target_id = _sample_nearest(directory, service, region, is_usable, rng)
        if target_id is not None:
            return target_id
    return None


def _sample_nearest(
    directory: directories.TargetDirectory,
    service: ids.ServiceName,
    region: ids.Region,
    is_usable: pools.TargetPredicate,
    rng: random.Random,
) -> ids.TargetId | None:
    regions = directory.regions(service)

    def suspicion_and_load(target_id: ids.TargetId) -> tuple[bool, float]:
        target = directory.find(target_id)
        assert target is not None
        return directory.is_suspected(target_id), target.load()

    for name in sorted(regions, key=lambda name: name != region):
        sampled = regions[name].sample(SAMPLED_TARGETS, is_usable, rng)
        if sampled:
            return min(sampled, key=suspicion_and_load)
    return None
