"""Choice of a plain service's worker."""

from collections.abc import Collection
import random

from sassafrasflow import ids
from sassafrasflow.targets import directory as directories
from sassafrasflow.targets import pool as pools

__all__ = ["choose_worker"]

SAMPLED = 2


def choose_worker(
    directory: directories.TargetDirectory,
    service: ids.ServiceName,
    region: ids.Region,
    avoid: Collection[str],
    rng: random.Random,
    route: str = "",
) -> ids.TargetId | None:
    """Return the less loaded of two workers, in the nearest region.

    A worker whose route fails is used when no other is left.
    """

    def ready(worker: ids.TargetId) -> bool:
        return worker not in avoid and directory.is_ready(worker)

    def sound(worker: ids.TargetId) -> bool:
        return ready(worker) and directory.route_breakers.allows(worker, route)

    for usable in (sound, ready):
        worker = _nearest(directory, service, region, usable, rng)
        if worker is not None:
            return worker
    return None


def _nearest(
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
        pair = regions[name].sample(SAMPLED, usable, rng)
        if pair:
            return min(pair, key=load)
    return None
