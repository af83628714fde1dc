"""Store the reservation of this instance on the platform."""

import asyncio
from collections.abc import Callable
import contextlib
import random

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import telemetry
from sassafrasflow.lending import reservation as reservations

__all__ = ["ReservationWriter"]

# A reservation that is no longer needed is lowered within this time.
POLL_INTERVAL_S = 1.0
# Instances that start together have written their entries by this time after
# the start of the first one.
FIRST_START_S = 0.3
# A new instance looks so often whether its peers count it.
BEGIN_INTERVAL_S = 0.1
RETRY_S = 1.0


class ReservationWriter:
    """Write the reservation when it has changed.

    Each write names the version that it replaces. So a write that takes
    effect late can't lower what has been reserved since.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        reservation: reservations.SlackReservation,
        registry: registries.Registry,
        is_counted: Callable[[], bool],
        add_peers: Callable[[registries.FleetRecord], None],
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ) -> None:
        self._instance = instance
        self._reservation = reservation
        self._registry = registry
        self._is_counted = is_counted
        self._add_peers = add_peers
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._started_at = clock()
        self._has_met_others = False
        # Whether no instance had reserved anything when this one started.
        self._is_first_start = False
        # The stored row; None while it has to be read again.
        self._row: registries.StoredReservation | None = None
        self._wake = asyncio.Event()
        # Called when the platform has stored the first reservation.
        self.on_stored: Callable[[], None] = lambda: None

    @property
    def is_awaited(self) -> bool:
        """Return whether the first reservation is about to be stored.

        That of a new instance may have to wait for its peers.
        """
        if self._reservation.has_stored:
            return False
        is_new = self._row is not None and not self._row.version.revision
        return not is_new or self._is_counted()

    def handle_fleet(self, record: registries.FleetRecord) -> None:
        """Take over what the platform stores of this instance."""
        if not self._has_met_others:
            self._is_first_start = not record.reservations
        self._has_met_others = True
        self._row = record.reservation_of(self._instance)
        self._wake.set()

    def handle_use(self) -> None:
        """Handle that more of the slack is in use."""
        if self._reservation.due(self._clock()) is not None:
            self._wake.set()

    def handle_store_restored(self) -> None:
        """Handle that the store was restored from an older copy."""
        # It is read before the next write only, so that instances at rest
        # do not all read at the same time.
        self._row = None
        self._reservation.record_restore()
        self._wake.set()

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            self._wake.clear()
            if not await self._write_due():
                await asyncio.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))
                continue
            interval_s = POLL_INTERVAL_S
            if not self._reservation.is_begun:
                interval_s = BEGIN_INTERVAL_S
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(interval_s):
                    await self._wake.wait()

    async def _write_due(self) -> bool:
        """Write the reservation if it is due; return whether none is left."""
        if not self._has_met_others:
            return True
        part = None
        try:
            if not self._reservation.is_begun and not await self._begin():
                return True
            part = self._reservation.due(self._clock())
            if part is None:
                return True
            row = self._row or await self._read()
            self._reservation.record_write(part)
            # The outcome is unknown until the platform has answered.
            self._row = None
            self._row = await self._registry.write_reservation(
                msgspec.structs.replace(
                    row,
                    part=part,
                    instances=self._reservation.fewest_instances(
                        self._clock()
                    ),
                )
            )
        except exceptions.PlatformError as exc:
            self._log.write("slack_not_reserved", part=part, error=str(exc))
            return False
        is_first = not self._reservation.has_stored
        self._reservation.record_stored(part)
        if is_first:
            self.on_stored()
        self._metrics.count("slack_reservations_total")
        self._log.write("slack_reserved", part=round(part, 3))
        return True

    async def _read(self) -> registries.StoredReservation:
        record = await self._registry.read_fleet()
        self._row = record.reservation_of(self._instance)
        return self._row

    async def _begin(self) -> bool:
        """Begin to reserve if that is due; return whether it has begun.

        Without a row, this instance is new. Before its peers count it, their
        shares are larger, and what they have spent of these counts for a
        window. If all are new, nobody has spent anything.
        """
        now = self._clock()
        row = self._row or await self._read()
        if row.version.revision:
            self._reservation.resume(row.part, self._started_at)
        elif self._is_first_start:
            if now - self._started_at >= FIRST_START_S:
                self._add_peers(await self._registry.read_fleet())
                self._reservation.join(0.0, now)
        elif self._is_counted():
            instances = self._reservation.fewest_instances(now)
            record = await self._registry.read_fleet()
            self._reservation.join(record.largest_part(instances), now)
        return self._reservation.is_begun
