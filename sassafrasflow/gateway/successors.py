"""Find engines that restarted while the store could not say so.

An engine that crashes comes back at its address under a new id. While the
store is away nobody lists that id, and a crash of a data centre during an
outage would cost its engines until the end of the outage. An engine tells
its own id, and an address that reports an engine's state belongs to the only
service that has engines.
"""

from abc import ABC
from abc import abstractmethod
import asyncio
from collections.abc import Callable
from collections.abc import Iterable

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry

__all__ = [
    "Inspection",
    "SuccessorFinder",
    "TargetInspector",
    "common_losses",
    "sole_engine_service",
    "worth_inspecting",
]

# Without word from the store for this long, its list is out of date.
STALE_LIST_S = 1.5
# Engines restart in 1.2 s; an earlier look finds nothing.
RESTART_S = 1.25
INSPECT_AGAIN_S = 1.5
POLL_S = 0.25
# An engine may have moved to another address for good by then.
GIVE_UP_S = 12.0


class Inspection(msgspec.Struct, frozen=True):
    """Tell what answers at an address."""

    id: ids.TargetId
    healthy: bool
    is_engine: bool


class TargetInspector(ABC):
    """Ask a target who it is."""

    @abstractmethod
    async def inspect(self, host: str, port: int) -> Inspection | None:
        """Return what answers, or ``None`` if nothing does."""


def sole_engine_service(
    cfg: routes.Configuration | None,
) -> ids.ServiceName | None:
    """Return the service that every engine belongs to."""
    if cfg is None:
        return None
    found = [svc.name for svc in cfg.services.values() if svc.engine]
    return found[0] if len(found) == 1 else None


def worth_inspecting(
    target: targets.Target,
    inspected_at: float | None,
    common_loss_at: float | None,
    now: float,
) -> bool:
    """Tell whether a target may have a successor by now.

    Engines without work die unnoticed; ``common_loss_at`` tells when their
    data centre last lost several targets.
    """
    if inspected_at is not None and now - inspected_at < INSPECT_AGAIN_S:
        return False
    if target.ended:
        return True
    lost_at = target.lost_at
    if lost_at is None and common_loss_at is not None:
        confirmed_at = target.confirmed_at
        if confirmed_at is None or confirmed_at < common_loss_at:
            lost_at = common_loss_at
    return lost_at is not None and RESTART_S <= now - lost_at <= GIVE_UP_S


def common_losses(
    candidates: Iterable[targets.Target], now: float
) -> dict[ids.DataCentre, float]:
    """Return when data centres last lost several targets."""
    losses: dict[ids.DataCentre, list[float]] = {}
    for target in candidates:
        if target.lost_at is not None and now - target.lost_at <= GIVE_UP_S:
            where = target.listed.data_centre
            losses.setdefault(where, []).append(target.lost_at)
    return {
        where: max(times)
        for where, times in losses.items()
        if len(times) >= placement.MIN_CORRELATED_LOSSES
    }


class SuccessorFinder:
    """Adopt the successors of lost engines during an outage."""

    def __init__(
        self,
        inspector: TargetInspector,
        directory: targets.Directory,
        configuration: Callable[[], routes.Configuration | None],
        list_age_s: Callable[[], float],
        clock: Callable[[], float],
        log: telemetry.EventLog,
    ) -> None:
        self._inspector = inspector
        self._directory = directory
        self._configuration = configuration
        self._list_age_s = list_age_s
        self._clock = clock
        self._log = log
        self._inspected: dict[ids.TargetId, float] = {}

    async def run(self) -> None:
        """Look for successors until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            if self._list_age_s() < STALE_LIST_S:
                self._inspected.clear()
                continue
            service = sole_engine_service(self._configuration())
            if service is not None:
                await self._inspect_lost(service)

    async def _inspect_lost(self, service: ids.ServiceName) -> None:
        now = self._clock()
        candidates = self._directory.usable(service)
        common = common_losses(candidates, now)
        due = [
            target
            for target in candidates
            if worth_inspecting(
                target,
                self._inspected.get(target.id),
                common.get(target.listed.data_centre),
                now,
            )
        ]
        for target in due:
            self._inspected[target.id] = now
        await asyncio.gather(*(self._inspect(target) for target in due))

    async def _inspect(self, target: targets.Target) -> None:
        listed = target.listed
        found = await self._inspector.inspect(listed.host, listed.port)
        outcome = "nothing"
        if found is not None and found.healthy and found.is_engine:
            outcome = "alive" if found.id == target.id else "adopted"
        self._log.write(
            "target_inspected",
            target=target.id,
            found=None if found is None else found.id,
            list_age_s=round(self._list_age_s(), 2),
            outcome=outcome,
        )
        if outcome == "alive":
            target.record_success(self._clock())
        elif outcome == "adopted":
            assert found is not None
            self._directory.add_unlisted(
                msgspec.structs.replace(listed, id=found.id, started_ms=0),
                predecessor=target.id,
            )
