"""Workforce: the targets as a release sees them, and orders to them."""

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

__all__ = ["Running", "Workforce", "WorkforcePolicy"]

RUNNING_PREFIX = "running/"
CRASH_WINDOW_S = 600.0
CRASHES_KEPT = 16
NO_TARGET = ids.TargetId("no target is known")


class WorkforcePolicy(msgspec.Struct, frozen=True):
    """Set where versions are placed and how long old work may drain."""

    placement: placements.PlacementPolicy = placements.PlacementPolicy()
    drain_ms: int = 5_000


class Running(msgspec.Struct, frozen=True, array_like=True):
    """Tell how many generations of a version run at one instance."""

    model: ids.ModelName
    version: ids.VersionId
    count: int


class Workforce:
    """Read what targets hold and bring it to what is wanted."""

    def __init__(
        self,
        directory: targets.TargetDirectory,
        weights: storage.WeightStore,
        lease: leases.LeaseKeeper,
        shared: membership.SharedState,
        policy: WorkforcePolicy,
        clock: clocks.Clock,
    ) -> None:
        self._directory = directory
        self._weights = weights
        self._lease = lease
        self._shared = shared
        self._policy = policy
        self._clock = clock
        self._last_seen: dict[ids.TargetId, placements.Holder] = {}
        self._incarnations: dict[ids.TargetId, int] = {}
        self._crashes: dict[
            tuple[ids.ModelName, ids.VersionId],
            dict[ids.TargetId, list[float]],
        ] = defaultdict(lambda: defaultdict(list))
        self._unwanted_since: dict[
            tuple[ids.ModelName, ids.VersionId], float
        ] = {}

    def holders(self) -> list[placements.Holder]:
        """Return what every reachable engine holds."""
        return [
            _holder_of(target)
            for target in self._directory.ready()
            if target.report is not None
        ]

    def shortfall(self, placement: placements.Placement) -> list[ids.TargetId]:
        """Return the targets that still have to get a version ready."""
        hosts = [
            holder
            for holder in self.holders()
            if holder.hosts(placement.model)
        ]
        if not hosts:
            return [NO_TARGET]
        return placements.shortfall(placement, hosts, self._policy.placement)

    def having(
        self, model: ids.ModelName, version: ids.VersionId
    ) -> list[ids.TargetId]:
        """Return the targets that hold or load a version."""
        holders = self.holders()
        if not holders:
            return [NO_TARGET]
        return [
            holder.target for holder in holders if holder.has(model, version)
        ]

    def holder_share(
        self, model: ids.ModelName, version: ids.VersionId
    ) -> int:
        """Return the permille of a model's targets that hold a version."""
        hosts = [holder for holder in self.holders() if holder.hosts(model)]
        having = sum(holder.has(model, version) for holder in hosts)
        return evidences.PERMILLE * having // max(1, len(hosts))

    def crash_looping(
        self, model: ids.ModelName, version: ids.VersionId, least: int
    ) -> int:
        """Return how many targets crash often while holding a version."""
        since = self._clock.monotonic() - CRASH_WINDOW_S
        crashes = self._crashes[(model, version)]
        return sum(
            sum(at >= since for at in times) >= least
            for times in crashes.values()
        )

    def note_crashes(self) -> list[placements.Holder]:
        """Return what restarted targets held before, since the last call."""
        crashed = []
        for target in self._directory:
            if target.report is None:
                continue
            known = self._incarnations.get(target.id)
            if known is not None and target.report.incarnation > known:
                crashed.append(self._last_seen[target.id])
            self._incarnations[target.id] = target.report.incarnation
            self._last_seen[target.id] = _holder_of(target)
        for holder in crashed:
            for held in holder.loaded:
                key = (held.model, held.version)
                times = self._crashes[key][holder.target]
                times.append(self._clock.monotonic())
                del times[:-CRASHES_KEPT]
        return crashed

    async def reconcile(
        self,
        wanted: Sequence[placements.Placement],
        withdrawn: Mapping[ids.ModelName, Collection[ids.VersionId]],
    ) -> None:
        """Give the orders that bring targets closer to what is wanted.

        Raises
        ------
        LeaseLost : the lease is not held, or orders have to wait
        """
        orders = placements.plan_orders(
            wanted,
            withdrawn,
            self._busy(withdrawn),
            self.holders(),
            self._policy.placement,
        )
        await asyncio.gather(*(self._give(order) for order in orders))

    async def _give(self, planned: placements.PlannedOrder) -> None:
        if planned.kind is engines.OrderKind.LOAD:
            grant = await self._weights.reserve(planned.model, planned.version)
            if not grant.granted:
                return
        # The lease is checked last, after every wait.
        order = engines.Order(
            planned.kind,
            self._lease.fencing(),
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
        """Return the withdrawn versions that may still have work."""
        now = self._clock.monotonic()
        keys = {
            (model, version)
            for model, versions in withdrawn.items()
            for version in versions
        }
        self._unwanted_since = {
            key: self._unwanted_since.get(key, now) for key in keys
        }
        drain_s = self._policy.drain_ms / 1000
        early = {
            key
            for key, since in self._unwanted_since.items()
            if now < since + drain_s
        }
        running = {
            (entry.model, entry.version)
            for entry in self._running()
            if entry.count
        }
        return early | (running & keys)

    def _running(self) -> Iterator[Running]:
        for entry in self._shared.entries(membership.Topic.EVIDENCE):
            if entry.key.startswith(RUNNING_PREFIX):
                yield from msgspec.json.decode(entry.value, type=list[Running])


def _holder_of(target: targets.Target) -> placements.Holder:
    assert target.report is not None
    return placements.Holder(
        target.id,
        target.listed.region,
        tuple(target.report.loaded),
        target.report.memory_slots,
    )
