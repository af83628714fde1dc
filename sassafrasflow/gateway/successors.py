"""Adopt restarted engines while the store is unavailable.

An engine that crashes restarts at its address under a new id. During an
outage of the store no list names that id, so a crash of a data centre would
make its engines unusable until the outage ends. Each engine reports its own
id, and an address that reports an engine's state belongs to the only service
with engines.
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
    "correlated_losses",
    "sole_engine_service",
    "is_inspection_due",
]

# Without an answer of the store for this long, its list counts as stale.
STALE_LIST_S = 1.5
# Engines restart in 1.2 s, so an earlier inspection finds nothing.
MIN_RESTART_S = 1.25
INSPECT_INTERVAL_S = 1.5
POLL_INTERVAL_S = 0.25
# Losses older than this are not inspected, as the engine may have moved to
# another address for good.
MAX_LOSS_AGE_S = 12.0


class Inspection(msgspec.Struct, frozen=True):
    """Identity and state that a target reports at its address."""

    id: ids.TargetId
    healthy: bool
    is_engine: bool


class TargetInspector(ABC):
    """Query a target's identity and state."""

    @abstractmethod
    async def inspect(self, host: str, port: int) -> Inspection | None:
        """Return what the target reports, or ``None`` without an answer."""


def sole_engine_service(
    cfg: routes.Configuration | None,
) -> ids.ServiceName | None:
    """Return the only service with engines, or ``None``.

    With several such services an engine can't be assigned to one of them.
    """
    if cfg is None:
        return None
    names = [svc.name for svc in cfg.services.values() if svc.engine]
    return names[0] if len(names) == 1 else None


def is_inspection_due(
    target: targets.Target,
    inspected_at: float | None,
    correlated_loss_at: float | None,
    now: float,
) -> bool:
    """Return whether a target may have been replaced by a restarted one.

    The crash of an idle engine goes unnoticed. ``correlated_loss_at``, the
    last time its data centre lost several targets, is used instead.
    """
    if inspected_at is not None and now - inspected_at < INSPECT_INTERVAL_S:
        return False
    if target.ended:
        return True
    lost_at = target.lost_at
    if lost_at is None and correlated_loss_at is not None:
        confirmed_at = target.confirmed_at
        if confirmed_at is None or confirmed_at < correlated_loss_at:
            lost_at = correlated_loss_at
    return (
        lost_at is not None
        and MIN_RESTART_S <= now - lost_at <= MAX_LOSS_AGE_S
    )


def correlated_losses(
    candidates: Iterable[targets.Target], now: float
) -> dict[ids.DataCentre, float]:
    """Return the last loss in each data centre that lost several targets."""
    losses: dict[ids.DataCentre, list[float]] = {}
    for target in candidates:
        if (
            target.lost_at is not None
            and now - target.lost_at <= MAX_LOSS_AGE_S
        ):
            where = target.listed.data_centre
            losses.setdefault(where, []).append(target.lost_at)
    return {
        where: max(times)
        for where, times in losses.items()
        if len(times) >= placement.MIN_CORRELATED_LOSSES
    }


class SuccessorFinder:
    """Adopt restarted engines during an outage of the store."""

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
        self._inspected_at: dict[ids.TargetId, float] = {}

    async def run(self) -> None:
        """Inspect lost engines while the list is stale, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            if self._list_age_s() < STALE_LIST_S:
                self._inspected_at.clear()
                continue
            service = sole_engine_service(self._configuration())
            if service is not None:
                await self._inspect_lost(service)

    async def _inspect_lost(self, service: ids.ServiceName) -> None:
        now = self._clock()
        candidates = self._directory.usable(service)
        loss_by_data_centre = correlated_losses(candidates, now)
        due = [
            target
            for target in candidates
            if is_inspection_due(
                target,
                self._inspected_at.get(target.id),
                loss_by_data_centre.get(target.listed.data_centre),
                now,
            )
        ]
        for target in due:
            self._inspected_at[target.id] = now
        await asyncio.gather(*(self._inspect(target) for target in due))

    async def _inspect(self, target: targets.Target) -> None:
        listed = target.listed
        inspection = await self._inspector.inspect(listed.host, listed.port)
        outcome = "nothing"
        if (
            inspection is not None
            and inspection.healthy
            and inspection.is_engine
        ):
            outcome = "alive" if inspection.id == target.id else "adopted"
        self._log.write(
            "target_inspected",
            target=target.id,
            found=None if inspection is None else inspection.id,
            list_age_s=round(self._list_age_s(), 2),
            outcome=outcome,
        )
        if outcome == "alive":
            target.record_success(self._clock())
        elif outcome == "adopted":
            assert inspection is not None
            self._directory.add_unlisted(
                msgspec.structs.replace(
                    listed, id=inspection.id, started_ms=0
                ),
                predecessor=target.id,
            )
