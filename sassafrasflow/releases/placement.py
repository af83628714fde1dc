"""Plan of which targets hold which version, and the orders to reach it.

The planner compares the wanted placements with the reports of the targets
and returns orders. It keeps no state. A new leader can therefore continue
where the last one stopped, and the effect of an old order that arrives late
is corrected by the next plan.
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
    """Limits of how many targets hold a version and how many load at once.

    ``changing_share`` limits the share of a region's targets that load at
    once.
    """

    min_per_region: int = 2
    changing_share: float = 0.34


class TargetSnapshot(msgspec.Struct, frozen=True):
    """Versions and memory slots that one engine reports."""

    target: ids.TargetId
    region: ids.Region
    loaded: tuple[engines.LoadedVersion, ...]
    memory_slots: int

    def is_ready(self, model: ids.ModelName, version: ids.VersionId) -> bool:
        """Return whether a version is loaded and ready on the target."""
        return engines.LoadedVersion(model, version) in self.loaded

    def has_version(
        self, model: ids.ModelName, version: ids.VersionId
    ) -> bool:
        """Return whether a version is ready or loading on the target."""
        return any(
            (loaded_version.model, loaded_version.version) == (model, version)
            for loaded_version in self.loaded
        )

    def can_host(self, model: ids.ModelName) -> bool:
        """Return whether the target holds this model or no model at all."""
        hosts_model = any(
            loaded_version.model == model for loaded_version in self.loaded
        )
        return hosts_model or not self.loaded

    @property
    def is_loading(self) -> bool:
        """Return whether the target is loading a version."""
        return any(not loaded_version.ready for loaded_version in self.loaded)


class Placement(msgspec.Struct, frozen=True):
    """Version that is wanted on a share of the targets of its model."""

    model: ids.ModelName
    version: ids.VersionId
    share: float


class PlannedOrder(msgspec.Struct, frozen=True):
    """Order to load or unload a version, and its target."""

    target: ids.TargetId
    kind: engines.OrderKind
    model: ids.ModelName
    version: ids.VersionId


def placements_of(
    document: configuration.Document,
    next_shares: Mapping[ids.ModelName, float],
) -> list[Placement]:
    """Return the placements that a configuration requires.

    A candidate is loaded for its next share. The versions that it replaces
    stay loaded on all targets until they are withdrawn.
    """
    wanted = []
    for model, entry in document.models.items():
        trial = document.trials.get(model)
        for version, share in entry.shares.items():
            if trial is not None and version == trial.candidate:
                next_share = max(share, next_shares.get(model, 0.0))
                wanted.append(Placement(model, version, next_share))
            elif share or trial is not None:
                wanted.append(Placement(model, version, 1.0))
    return wanted


def shortfall(
    placement: Placement,
    snapshots: Sequence[TargetSnapshot],
    policy: PlacementPolicy,
) -> list[ids.TargetId]:
    """Return the selected targets on which a version is not ready."""
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
    """Return the orders that bring the targets closer to the placements.

    ``busy`` names withdrawn versions that may still have work. They are not
    unloaded.
    """
    needed = {(placement.model, placement.version) for placement in wanted}
    unloads = _unloads(withdrawn, needed | set(busy), snapshots)
    loads = _loads(wanted, snapshots, policy)
    return [*unloads, *loads]


def _unloads(
    withdrawn: Mapping[ids.ModelName, Collection[ids.VersionId]],
    needed: Collection[VersionKey],
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
        and (loaded_version.model, loaded_version.version) not in needed
    ]


def _loads(
    wanted: Sequence[Placement],
    snapshots: Sequence[TargetSnapshot],
    policy: PlacementPolicy,
) -> list[PlannedOrder]:
    snapshots_by_region: dict[ids.Region, list[TargetSnapshot]] = defaultdict(
        list
    )
    for snapshot in snapshots:
        snapshots_by_region[snapshot.region].append(snapshot)
    load_budget = {
        region: max(1, int(policy.changing_share * len(regional)))
        - sum(snapshot.is_loading for snapshot in regional)
        for region, regional in snapshots_by_region.items()
    }
    free_slots = {
        snapshot.target: snapshot.memory_slots - len(snapshot.loaded)
        for snapshot in snapshots
    }
    orders = []
    for placement in wanted:
        for snapshot in _select(placement, snapshots, policy):
            if snapshot.has_version(placement.model, placement.version):
                continue
            if (
                load_budget[snapshot.region] <= 0
                or free_slots[snapshot.target] <= 0
            ):
                continue
            load_budget[snapshot.region] -= 1
            free_slots[snapshot.target] -= 1
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
    """Return the targets that should hold a version, in every region.

    Targets that already hold it come first, then those with a free slot.
    """
    snapshots_by_region: dict[ids.Region, list[TargetSnapshot]] = defaultdict(
        list
    )
    for snapshot in snapshots:
        if snapshot.can_host(placement.model):
            snapshots_by_region[snapshot.region].append(snapshot)
    chosen = []
    for regional in snapshots_by_region.values():
        count = math.ceil(placement.share * len(regional))
        count = min(len(regional), max(policy.min_per_region, count))
        ranked = sorted(
            regional, key=lambda snapshot: _preference(snapshot, placement)
        )
        chosen += ranked[:count]
    return chosen


def _preference(
    snapshot: TargetSnapshot, placement: Placement
) -> tuple[bool, bool, ids.TargetId]:
    has_version = snapshot.has_version(placement.model, placement.version)
    is_full = len(snapshot.loaded) >= snapshot.memory_slots
    return not has_version, is_full, snapshot.target
