"""Write verdicts and crashes again that a restored store has lost."""

import asyncio
from collections.abc import Callable
import random

from sassafrasflow import exceptions
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import verdict_writer

__all__ = ["RowRewriter", "supersedes"]

# The first checks after a restore are spread over this time, so that most
# instances find what another one has written again.
SPREAD_S = 1.0
# Checks are repeated at this interval and for this long, in which instances
# notice that others have ended and become aggregators in their place.
CHECK_INTERVAL_S = 1.0
CHECK_PERIOD_S = 16.0
RETENTION_MS = round(1000 * poison.RETENTION_S)
# Instances convert the time of an event to the store's clock with errors
# below this.
CLOCK_TOLERANCE_MS = 1000


class RowRewriter:
    """Compare the store's rows with what is known, after each restore.

    A check costs a read only if there is something to compare, and each row
    is compared once for each restore.
    """

    def __init__(
        self,
        registry: registries.Registry,
        writer: verdict_writer.VerdictWriter,
        verdicts_to_keep: Callable[[], list[poison.Fingerprint]],
        crashes_to_keep: Callable[[], list[prompt_parts.PartCrash]],
        clock: Callable[[], float],
        log: telemetry.EventLog,
        rng: random.Random,
    ) -> None:
        self._registry = registry
        self._writer = writer
        self._verdicts_to_keep = verdicts_to_keep
        self._crashes_to_keep = crashes_to_keep
        self._clock = clock
        self._log = log
        self._rng = rng
        self._restored = asyncio.Event()

    def record_restore(self) -> None:
        """Record that the store was restored from a copy."""
        self._restored.set()

    async def run(self) -> None:
        """Check the rows after each restore, until cancelled."""
        while True:
            await self._restored.wait()
            await asyncio.sleep(self._rng.uniform(0, SPREAD_S))
            self._restored.clear()
            try:
                await self._check_repeatedly()
            except Exception:
                self._restored.set()
                raise

    async def _check_repeatedly(self) -> None:
        """Check for some time, or until the next restore."""
        checked: set[poison.Fingerprint | prompt_parts.PartCrash] = set()
        end = self._clock() + CHECK_PERIOD_S
        while self._clock() < end and not self._restored.is_set():
            verdicts = [
                key for key in self._verdicts_to_keep() if key not in checked
            ]
            crashes = [
                crash
                for crash in self._crashes_to_keep()
                if crash not in checked
            ]
            if verdicts or crashes:
                if await self._check(verdicts, crashes):
                    checked.update(verdicts)
                    checked.update(crashes)
                else:
                    end = self._clock() + CHECK_PERIOD_S
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def _check(
        self,
        verdicts: list[poison.Fingerprint],
        crashes: list[prompt_parts.PartCrash],
    ) -> bool:
        """Schedule writes of lost rows; return whether the store was read."""
        try:
            record = await self._registry.read_fleet()
        except exceptions.PlatformError as exc:
            self._log.write("rows_not_checked", error=str(exc))
            return False
        lost_verdicts = self._lost_verdicts(record, verdicts)
        lost_crashes = self._lost_crashes(record, crashes)
        for key in lost_verdicts:
            self._writer.add_verdict(key)
        for crash in lost_crashes:
            self._writer.add_crash(crash)
        if lost_verdicts or lost_crashes:
            self._log.write(
                "rows_lost",
                era=record.era,
                verdicts=len(lost_verdicts),
                crashes=len(lost_crashes),
            )
        return True

    def _lost_verdicts(
        self,
        record: registries.FleetRecord,
        verdicts: list[poison.Fingerprint],
    ) -> list[poison.Fingerprint]:
        stored_by_key = {
            self._registry.row_key(row): row for row in record.refused
        }
        known_by_key = {}
        for row in sorted(
            (
                self._writer.stored_verdict(key, record.store_ms)
                for key in verdicts
            ),
            key=_decided_ms,
        ):
            key = self._registry.row_key(row)
            if supersedes(row, stored_by_key.get(key), record.store_ms):
                known_by_key[key] = row
        return [row.fingerprint for row in known_by_key.values()]

    def _lost_crashes(
        self,
        record: registries.FleetRecord,
        crashes: list[prompt_parts.PartCrash],
    ) -> list[prompt_parts.PartCrash]:
        stored_by_key = {
            self._registry.row_key(row): row for row in record.part_crashes
        }
        known_by_key = {}
        for crash in sorted(crashes, key=lambda crash: crash.crashed_at):
            row = self._writer.stored_crash(crash, record.store_ms)
            key = self._registry.row_key(row)
            stored = stored_by_key.get(key)
            if stored is None or (
                row.crashed_ms > stored.crashed_ms + CLOCK_TOLERANCE_MS
            ):
                known_by_key[key] = crash
        return list(known_by_key.values())


def _decided_ms(row: registries.RefusedRequest) -> int:
    """Return the time that orders the verdicts on a request."""
    if row.evidence_ms is not None:
        return row.evidence_ms
    return max(0, row.until_ms - RETENTION_MS)


def supersedes(
    known: registries.RefusedRequest,
    stored: registries.RefusedRequest | None,
    store_ms: int,
) -> bool:
    """Return whether a known verdict has to be written over a row."""
    is_stored_in_force = stored is not None and stored.until_ms > store_ms
    if stored is None or stored.fingerprint != known.fingerprint:
        # Without a verdict in the row there is nothing to revoke.
        return known.until_ms > 0 and (
            stored is None
            or not is_stored_in_force
            or _decided_ms(known) > _decided_ms(stored) + CLOCK_TOLERANCE_MS
        )
    newer_ms = _decided_ms(known) - _decided_ms(stored)
    if known.until_ms and is_stored_in_force:
        return newer_ms > CLOCK_TOLERANCE_MS
    # A request is revoked soon after its verdict, and gets the next one much
    # later. Those on parts carry the times of runs that differ.
    tolerance_ms = (
        0 if prompt_parts.parts_of(known.fingerprint) else CLOCK_TOLERANCE_MS
    )
    if known.until_ms:
        return newer_ms > tolerance_ms
    return is_stored_in_force and newer_ms >= -tolerance_ms
