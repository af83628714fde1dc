"""Placement: which targets hold which version, and the orders to get there.

The planner compares what is wanted with what is seen and returns orders;
it keeps no memory, so a new leader continues where the last one stopped,
and an old order that arrives late is put right with the next look.
"""

from collections import defaultdict
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import math

import msgspec

from sassafrasflow import configuration
from sassafrasflow import engines
from sassafrasflow import ids

__all__ = [
    "TargetSnapshot",
    "Placement",
    "PlacementPolicy",
    "PlannedOrder",
    "plan_orders",
    "shortfall",
]

VersionKey = tuple[ids.ModelName, ids.VersionId]


class PlacementPolicy(msgspec.Struct, frozen=True):
    """Set how many targets hold a version and how many change at once."""

    min_per_region: int = 2
    changing_share: float = 0.34


class TargetSnapshot(msgspec.Struct, frozen=True):
    """Hold what one engine reports."""

    target: ids.TargetId
    region: ids.Region
    loaded: tuple[engines.LoadedVersion, ...]
    memory_slots: int

    def is_ready(self, model: ids.ModelName, version: ids.VersionId) -> bool:
        """Tell whether a version is ready here."""
        return engines.LoadedVersion(model, version) in self.loaded

    def has_version(
        self, model: ids.ModelName, version: ids.VersionId
    ) -> bool:
        """Tell whether a version is ready or loading here."""
        return any(
            (loaded_version.model, loaded_version.version) == (model, version)
            for loaded_version in self.loaded
        )

    def can_host(self, model: ids.ModelName) -> bool:
        """Tell whether work of a model may be placed here."""
        mine = any(
            loaded_version.model == model for loaded_version in self.loaded
        )
        return mine or not self.loaded

    @property
    def is_loading(self) -> bool:
        """Tell whether a load is running."""
        return any(not loaded_version.ready for loaded_version in self.loaded)


class Placement(msgspec.Struct, frozen=True):
    """Ask for a version on a share of the targets of its model."""

    model: ids.ModelName
    version: ids.VersionId
    share: float


class PlannedOrder(msgspec.Struct, frozen=True):
    """Name an order and its target."""

    target: ids.TargetId
    kind: engines.OrderKind
    model: ids.ModelName
    version: ids.VersionId


def placements_of(
    document: configuration.Document,
    next_shares: Mapping[ids.ModelName, float],
) -> list[Placement]:
    """Return what a configuration wants loaded.

    A candidate is loaded for its next share; whatever it replaces stays
    loaded everywhere until it is withdrawn.
    """
    wanted = []
    for model, entry in document.models.items():
        trial = document.trials.get(model)
        for version, share in entry.shares.items():
            if trial is not None and version == trial.candidate:
                ahead = max(share, next_shares.get(model, 0.0))
                wanted.append(Placement(model, version, ahead))
            elif share or trial is not None:
                wanted.append(Placement(model, version, 1.0))
    return wanted


def shortfall(
    placement: Placement,
    snapshots: Sequence[TargetSnapshot],
    policy: PlacementPolicy,
) -> list[ids.TargetId]:
    """Return the targets that still have to get a version ready."""
    return [
        snapshot.target
        for snapshot in _select(placement, snapshots, policy)
        if not snapshot.is_ready(placement.model, placement.version)
    ]


def plan_orders(
    wanted: Sequence[Placement],
    withdrawn: Mapping[ids.ModelName, Collection[ids.VersionId]],
    busy: Collection[VersionKey],
    snapshots: Sequence[TargetSnapshot],
    policy: PlacementPolicy,
) -> list[PlannedOrder]:
    """Return the orders that bring the targets closer to what is wanted.

    ``busy`` names versions that still have work; they are not unloaded.
    """
    keep = {(placement.model, placement.version) for placement in wanted}
    unloads = _unloads(withdrawn, keep | set(busy), snapshots)
    loads = _loads(wanted, snapshots, policy)
    return [*unloads, *loads]


def _unloads(
    withdrawn: Mapping[ids.ModelName, Collection[ids.VersionId]],
    keep: Collection[VersionKey],
    snapshots: Sequence[TargetSnapshot],
) -> list[PlannedOrder]:
    return [
        PlannedOrder(
            snapshot.target,
            engines.OrderKind.UNLOAD,
            loaded_version.model,
            loaded_version.version,
        )
        for snapshot in snapshots
        for loaded_version in snapshot.loaded
        if loaded_version.version in withdrawn.get(loaded_version.model, ())
        and (loaded_version.model, loaded_version.version) not in keep
    ]


def _loads(
    wanted: Sequence[Placement],
    snapshots: Sequence[TargetSnapshot],
    policy: PlacementPolicy,
) -> list[PlannedOrder]:
    regions: dict[ids.Region, list[TargetSnapshot]] = defaultdict(list)
    for snapshot in snapshots:
        regions[snapshot.region].append(snapshot)
    budget = {
        region: max(1, int(policy.changing_share * len(here)))
        - sum(snapshot.is_loading for snapshot in here)
        for region, here in regions.items()
    }
    free = {
        snapshot.target: snapshot.memory_slots - len(snapshot.loaded)
        for snapshot in snapshots
    }
    orders = []
    for placement in wanted:
        for snapshot in _select(placement, snapshots, policy):
            if snapshot.has_version(placement.model, placement.version):
                continue
            if budget[snapshot.region] <= 0 or free[snapshot.target] <= 0:
                continue
            budget[snapshot.region] -= 1
            free[snapshot.target] -= 1
            orders.append(
                PlannedOrder(
                    snapshot.target,
                    engines.OrderKind.LOAD,
                    placement.model,
                    placement.version,
                )
            )
    return orders


def _select(
    placement: Placement,
    snapshots: Sequence[TargetSnapshot],
    policy: PlacementPolicy,
) -> list[TargetSnapshot]:
    """Return the targets for a version, in every region."""
    regions: dict[ids.Region, list[TargetSnapshot]] = defaultdict(list)
    for snapshot in snapshots:
        if snapshot.can_host(placement.model):
            regions[snapshot.region].append(snapshot)
    chosen = []
    for here in regions.values():
        count = math.ceil(placement.share * len(here))
        count = min(len(here), max(policy.min_per_region, count))
        ranked = sorted(here, key=lambda snapshot: _rank(snapshot, placement))
        chosen += ranked[:count]
    return chosen


def _rank(
    snapshot: TargetSnapshot, placement: Placement
) -> tuple[bool, bool, ids.TargetId]:
    has = snapshot.has_version(placement.model, placement.version)
    full = len(snapshot.loaded) >= snapshot.memory_slots
    return not has, full, snapshot.target
