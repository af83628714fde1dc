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
    "Holder",
    "Placement",
    "PlacementPolicy",
    "PlannedOrder",
    "plan_orders",
    "shortfall",
]

VersionKey = tuple[ids.ModelName, ids.VersionId]


class PlacementPolicy(msgspec.Struct, frozen=True):
    """Set how many targets hold a version and how many change at once."""

    least_per_region: int = 2
    changing_share: float = 0.34


class Holder(msgspec.Struct, frozen=True):
    """Hold what one engine reports."""

    target: ids.TargetId
    region: ids.Region
    loaded: tuple[engines.LoadedVersion, ...]
    memory_slots: int

    def holds(self, model: ids.ModelName, version: ids.VersionId) -> bool:
        """Tell whether a version is ready here."""
        return engines.LoadedVersion(model, version) in self.loaded

    def has(self, model: ids.ModelName, version: ids.VersionId) -> bool:
        """Tell whether a version is ready or loading here."""
        return any(
            (held.model, held.version) == (model, version)
            for held in self.loaded
        )

    def hosts(self, model: ids.ModelName) -> bool:
        """Tell whether work of a model may be placed here."""
        mine = any(held.model == model for held in self.loaded)
        return mine or not self.loaded

    @property
    def is_changing(self) -> bool:
        """Tell whether a load is running."""
        return any(not held.ready for held in self.loaded)


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
    holders: Sequence[Holder],
    policy: PlacementPolicy,
) -> list[ids.TargetId]:
    """Return the targets that still have to get a version ready."""
    return [
        holder.target
        for holder in _chosen(placement, holders, policy)
        if not holder.holds(placement.model, placement.version)
    ]


def plan_orders(
    wanted: Sequence[Placement],
    withdrawn: Mapping[ids.ModelName, Collection[ids.VersionId]],
    busy: Collection[VersionKey],
    holders: Sequence[Holder],
    policy: PlacementPolicy,
) -> list[PlannedOrder]:
    """Return the orders that bring the targets closer to what is wanted.

    ``busy`` names versions that still have work; they are not unloaded.
    """
    keep = {(placement.model, placement.version) for placement in wanted}
    unloads = _unloads(withdrawn, keep | set(busy), holders)
    loads = _loads(wanted, holders, policy)
    return [*unloads, *loads]


def _unloads(
    withdrawn: Mapping[ids.ModelName, Collection[ids.VersionId]],
    keep: Collection[VersionKey],
    holders: Sequence[Holder],
) -> list[PlannedOrder]:
    return [
        PlannedOrder(
            holder.target, engines.OrderKind.UNLOAD, held.model, held.version
        )
        for holder in holders
        for held in holder.loaded
        if held.version in withdrawn.get(held.model, ())
        and (held.model, held.version) not in keep
    ]


def _loads(
    wanted: Sequence[Placement],
    holders: Sequence[Holder],
    policy: PlacementPolicy,
) -> list[PlannedOrder]:
    regions: dict[ids.Region, list[Holder]] = defaultdict(list)
    for holder in holders:
        regions[holder.region].append(holder)
    budget = {
        region: max(1, int(policy.changing_share * len(here)))
        - sum(holder.is_changing for holder in here)
        for region, here in regions.items()
    }
    free = {
        holder.target: holder.memory_slots - len(holder.loaded)
        for holder in holders
    }
    orders = []
    for placement in wanted:
        for holder in _chosen(placement, holders, policy):
            if holder.has(placement.model, placement.version):
                continue
            if budget[holder.region] <= 0 or free[holder.target] <= 0:
                continue
            budget[holder.region] -= 1
            free[holder.target] -= 1
            orders.append(
                PlannedOrder(
                    holder.target,
                    engines.OrderKind.LOAD,
                    placement.model,
                    placement.version,
                )
            )
    return orders


def _chosen(
    placement: Placement,
    holders: Sequence[Holder],
    policy: PlacementPolicy,
) -> list[Holder]:
    """Return the targets for a version, in every region."""
    regions: dict[ids.Region, list[Holder]] = defaultdict(list)
    for holder in holders:
        if holder.hosts(placement.model):
            regions[holder.region].append(holder)
    chosen = []
    for here in regions.values():
        count = math.ceil(placement.share * len(here))
        count = min(len(here), max(policy.least_per_region, count))
        ranked = sorted(here, key=lambda holder: _rank(holder, placement))
        chosen += ranked[:count]
    return chosen


def _rank(
    holder: Holder, placement: Placement
) -> tuple[bool, bool, ids.TargetId]:
    has = holder.has(placement.model, placement.version)
    full = len(holder.loaded) >= holder.memory_slots
    return not has, full, holder.target
