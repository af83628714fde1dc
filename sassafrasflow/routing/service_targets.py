"""Choice of a worker, which is a target of a plain service."""

from collections.abc import Collection
import random

from sassafrasflow import ids
from sassafrasflow.targets import directory as directories
from sassafrasflow.targets import pool as pools

__all__ = ["choose_worker"]

SAMPLED_WORKERS = 2


def choose_worker(
    directory: directories.TargetDirectory,
    service: ids.ServiceName,
    region: ids.Region,
    avoid: Collection[str],
    rng: random.Random,
    route: str = "",
) -> ids.TargetId | None:
    """Return the less loaded of two random workers of the nearest region.

    A worker whose breaker for the route is open is used only when there is
    no other.
    """

    def ready(worker: ids.TargetId) -> bool:
        return worker not in avoid and directory.is_ready(worker)

    def ready_with_route(worker: ids.TargetId) -> bool:
        return ready(worker) and directory.route_breakers.allows(worker, route)

    for usable in (ready_with_route, ready):
        worker = _sample_nearest(directory, service, region, usable, rng)
        if worker is not None:
            return worker
    return None


def _sample_nearest(
    directory: directories.TargetDirectory,
    service: ids.ServiceName,
    region: ids.Region,
    usable: pools.Usable,
    rng: random.Random,
) -> ids.TargetId | None:
    regions = directory.regions(service)

    def load(worker: ids.TargetId) -> tuple[bool, float]:
        target = directory.find(worker)
        assert target is not None
        return directory.is_suspected(worker), target.load()

    for name in sorted(regions, key=lambda name: name != region):
        sampled = regions[name].sample(SAMPLED_WORKERS, usable, rng)
        if sampled:
            return min(sampled, key=load)
    return None
