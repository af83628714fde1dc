"""Reconciler of the versions on the targets with the configuration."""

import asyncio
from collections import defaultdict
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence

from loguru import logger
import msgspec

from sassafrasflow import clocks
from sassafrasflow import engines
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import leases
from sassafrasflow import membership
from sassafrasflow import storage
from sassafrasflow import targets
from sassafrasflow.releases import evidence as evidences
from sassafrasflow.releases import placement as placements

__all__ = ["RunningCount", "TargetReconciler", "ReconcilerPolicy"]

RUNNING_PREFIX = "running/"
CRASH_WINDOW_S = 600.0
MAX_CRASH_TIMES = 16
NO_TARGET = ids.TargetId("no target is known")


class ReconcilerPolicy(msgspec.Struct, frozen=True):
    """Placement of versions and time for draining their work."""

    placement: placements.PlacementPolicy = placements.PlacementPolicy()
    drain_ms: int = 5_000


class RunningCount(msgspec.Struct, frozen=True, array_like=True):
    """Number of running generations of a version at one instance."""

    model: ids.ModelName
    version: ids.VersionId
    count: int


class TargetReconciler:
    """Read the versions that targets hold and order the needed changes."""

    def __init__(
        self,
        directory: targets.TargetDirectory,
        weights: storage.WeightStore,
        lease: leases.LeaseKeeper,
        shared: membership.SharedState,
        policy: ReconcilerPolicy,
        clock: clocks.Clock,
    ) -> None:
        self._directory = directory
        self._weights = weights
        self._lease = lease
        self._shared = shared
        self._policy = policy
        self._clock = clock
        self._last_snapshots: dict[
            ids.TargetId, placements.TargetSnapshot
        ] = {}
        self._incarnations: dict[ids.TargetId, int] = {}
        self._crashes: dict[
            tuple[ids.ModelName, ids.VersionId],
            dict[ids.TargetId, list[float]],
        ] = defaultdict(lambda: defaultdict(list))
        self._withdrawn_since: dict[
            tuple[ids.ModelName, ids.VersionId], float
        ] = {}

    def snapshots(self) -> list[placements.TargetSnapshot]:
        """Return the last report of every ready engine."""
        return [
            _snapshot_of(target)
            for target in self._directory.ready_targets()
            if target.report is not None
        ]

    def shortfall(self, placement: placements.Placement) -> list[ids.TargetId]:
        """Return the targets on which a version is wanted but not ready."""
        hosts = [
            snapshot
            for snapshot in self.snapshots()
            if snapshot.can_host(placement.model)
        ]
        if not hosts:
            return [NO_TARGET]
        return placements.shortfall(placement, hosts, self._policy.placement)

    def targets_with(
        self, model: ids.ModelName, version: ids.VersionId
    ) -> list[ids.TargetId]:
        """Return the targets on which a version is ready or loading."""
        snapshots = self.snapshots()
        if not snapshots:
            return [NO_TARGET]
        return [
            snapshot.target
            for snapshot in snapshots
            if snapshot.has_version(model, version)
        ]

    def holding_permille(
        self, model: ids.ModelName, version: ids.VersionId
    ) -> int:
        """Return the share of a model's targets that hold a version.

        The share is in permille.
        """
        hosts = [
            snapshot
            for snapshot in self.snapshots()
            if snapshot.can_host(model)
        ]
        holding = sum(
            snapshot.has_version(model, version) for snapshot in hosts
        )
        return evidences.PERMILLE * holding // max(1, len(hosts))

    def count_crash_looping(
        self, model: ids.ModelName, version: ids.VersionId, min_crashes: int
    ) -> int:
        """Return how many targets crashed often while holding a version."""
        since = self._clock.monotonic() - CRASH_WINDOW_S
        crashes = self._crashes[(model, version)]
        return sum(
            sum(at >= since for at in times) >= min_crashes
            for times in crashes.values()
        )

    def record_crashes(self) -> list[placements.TargetSnapshot]:
        """Record the restarts of targets since the last call as crashes.

        Return the last snapshot of each target before its restart.
        """
        crashed = []
        for target in self._directory:
            if target.report is None:
                continue
            previous = self._incarnations.get(target.id)
            if previous is not None and target.report.incarnation > previous:
                crashed.append(self._last_snapshots[target.id])
            self._incarnations[target.id] = target.report.incarnation
            self._last_snapshots[target.id] = _snapshot_of(target)
        for snapshot in crashed:
            for loaded_version in snapshot.loaded:
                key = (loaded_version.model, loaded_version.version)
                times = self._crashes[key][snapshot.target]
                times.append(self._clock.monotonic())
                del times[:-MAX_CRASH_TIMES]
        return crashed

    async def reconcile(
        self,
        wanted: Sequence[placements.Placement],
        withdrawn: Mapping[ids.ModelName, Collection[ids.VersionId]],
    ) -> None:
        """Send the orders that bring the targets closer to the placements.

        Raises
        ------
        LeaseLost : the lease is not held, or orders are not allowed yet
        """
        orders = placements.plan_orders(
            wanted,
            withdrawn,
            self._busy(withdrawn),
            self.snapshots(),
            self._policy.placement,
        )
        await asyncio.gather(*(self._send_order(order) for order in orders))

    async def _send_order(self, planned: placements.PlannedOrder) -> None:
        if planned.kind is engines.OrderKind.LOAD:
            grant = await self._weights.reserve(planned.model, planned.version)
            if not grant.granted:
                return
        # The lease is checked after every wait, because it may have lapsed
        # meanwhile.
        order = engines.Order(
            planned.kind,
            self._lease.fencing_token(),
            planned.model,
            planned.version,
        )
        try:
            engine = self._directory.engine(planned.target)
            outcome = await engine.order(order)
        except exceptions.TargetError as exc:
            logger.warning(
                "releases: Order to {} failed: {}.", planned.target, exc
            )
            return
        logger.info(
            "releases: {} {} on {}: {}.",
            planned.kind.value,
            planned.version,
            planned.target,
            "accepted" if outcome.accepted else outcome.detail,
        )

    def _busy(
        self, withdrawn: Mapping[ids.ModelName, Collection[ids.VersionId]]
    ) -> set[tuple[ids.ModelName, ids.VersionId]]:
        """Return the withdrawn versions that may still have work.

        These have been withdrawn for less than the drain time, or an
        instance reports running generations of them.
        """
        now = self._clock.monotonic()
        withdrawn_keys = {
            (model, version)
            for model, versions in withdrawn.items()
            for version in versions
        }
        self._withdrawn_since = {
            key: self._withdrawn_since.get(key, now) for key in withdrawn_keys
        }
        drain_s = self._policy.drain_ms / 1000
        draining = {
            key
            for key, since in self._withdrawn_since.items()
            if now < since + drain_s
        }
        running = {
            (entry.model, entry.version)
            for entry in self._running()
            if entry.count
        }
        return draining | (running & withdrawn_keys)

    def _running(self) -> Iterator[RunningCount]:
        for entry in self._shared.entries(membership.Topic.EVIDENCE):
            if entry.key.startswith(RUNNING_PREFIX):
                yield from msgspec.json.decode(
                    entry.value, type=list[RunningCount]
                )


def _snapshot_of(target: targets.Target) -> placements.TargetSnapshot:
    assert target.report is not None
    return placements.TargetSnapshot(
        target.id,
        target.listed.region,
        tuple(target.report.loaded),
        target.report.memory_slots,
    )
