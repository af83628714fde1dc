"""Read and write the table in which instances keep what they share."""

from collections.abc import Callable
import functools
from typing import Annotated
from typing import TypeVar
import zlib

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import registry
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import versions
from sassafrasflow.platform import eras
from sassafrasflow.platform import store as stores

__all__ = ["REFUSED_SLOTS", "FleetRows"]

T = TypeVar("T")

# Written by instances: their addresses, the requests that they refuse and the
# retry slack that they reserve. A starting instance reads all in one call.
FLEET_TABLE = "sassafrasflow-instances"
REFUSED_PREFIX = "refused/"
# Rows are never removed, so a refused request overwrites an older one that
# hashes to the same slot.
REFUSED_SLOTS = 64
# Crashes that the parts of prompts may have caused.
PART_CRASH_PREFIX = "part-crash/"
# Crashes of runs with the same parts share a group of slots.
PART_CRASH_GROUPS = 16
SLOTS_PER_GROUP = 8
# Part of the retry slack that each instance has reserved.
RESERVATION_PREFIX = "slack/"
# Newest recheck of each verdict, in slots like those of the verdicts.
RECHECK_PREFIX = "recheck/"


class _Instance(msgspec.Struct):
    host: decoding.Host
    port: decoding.Port
    data_centre: decoding.Name


class _Reservation(msgspec.Struct):
    part: Annotated[float, msgspec.Meta(ge=0, le=1)]
    instances: decoding.Count


class _Recheck(msgspec.Struct):
    fingerprint: poison.Fingerprint
    number: decoding.Count
    claimed_ms: decoding.Int


_instance_decoder = msgspec.json.Decoder(_Instance)
_reservation_decoder = msgspec.json.Decoder(_Reservation)
_recheck_decoder = msgspec.json.Decoder(_Recheck)
_refused_decoder = msgspec.json.Decoder(registry.RefusedRequest)
_part_crash_decoder = msgspec.json.Decoder(registry.StoredPartCrash)


class FleetRows(registry.Registry):
    """Read and write the rows of the instances' own table."""

    def __init__(
        self, store: stores.PlatformStore, log: telemetry.EventLog
    ) -> None:
        self._store = store
        self._log = log

    @property
    def calls(self) -> int:
        return self._store.calls

    async def announce(self, entry: registry.InstanceEntry) -> None:
        wire = _Instance(entry.host, entry.port, entry.data_centre)
        value = msgspec.json.encode(wire)
        await self._store.write([stores.Write(FLEET_TABLE, entry.id, value)])

    async def read_fleet(self) -> registry.FleetRecord:
        page = await self._store.read_rows(FLEET_TABLE)
        instances, refused, part_crashes = [], [], []
        reservations, rechecks = [], []
        for row in page.rows:
            if row.key.startswith(REFUSED_PREFIX):
                request = self._decode(row, _refused_decoder.decode)
                if request is not None:
                    refused.append(request)
                continue
            if row.key.startswith(PART_CRASH_PREFIX):
                crash = self._decode(row, _part_crash_decoder.decode)
                if crash is not None:
                    part_crashes.append(crash)
                continue
            if row.key.startswith(RESERVATION_PREFIX):
                reservation = self._decode(
                    row, functools.partial(_decode_reservation, row, page.era)
                )
                if reservation is not None:
                    reservations.append(reservation)
                continue
            if row.key.startswith(RECHECK_PREFIX):
                recheck = self._decode(
                    row, functools.partial(_decode_recheck, row, page.era)
                )
                if recheck is not None:
                    rechecks.append(recheck)
                continue
            wire = self._decode(row, _instance_decoder.decode)
            if wire is not None:
                instances.append(
                    registry.InstanceEntry(
                        ids.InstanceId(row.key),
                        wire.host,
                        wire.port,
                        ids.DataCentre(wire.data_centre),
                    )
                )
        return registry.FleetRecord(
            tuple(instances),
            tuple(refused),
            page.store_ms,
            tuple(part_crashes),
            page.era,
            tuple(reservations),
            tuple(rechecks),
        )

    async def write_reservation(
        self, reservation: registry.StoredReservation
    ) -> registry.StoredReservation:
        version = await self._store.write(
            [
                stores.Write(
                    FLEET_TABLE,
                    RESERVATION_PREFIX + reservation.instance,
                    msgspec.json.encode(
                        _Reservation(reservation.part, reservation.instances)
                    ),
                    reservation.version.revision,
                ),
                *eras.fence(reservation.version.era),
            ]
        )
        return msgspec.structs.replace(reservation, version=version)

    async def write_recheck(
        self, recheck: registry.StoredRecheck
    ) -> registry.StoredRecheck:
        wire = _Recheck(
            recheck.fingerprint, recheck.number, recheck.claimed_ms
        )
        version = await self._store.write(
            [
                stores.Write(
                    FLEET_TABLE,
                    self.row_key(recheck),
                    msgspec.json.encode(wire),
                    recheck.version.revision,
                ),
                *eras.fence(recheck.version.era),
            ]
        )
        return msgspec.structs.replace(recheck, version=version)

    async def write_refused(self, request: registry.RefusedRequest) -> None:
        await self._write_fleet_row(request)

    async def write_part_crash(self, crash: registry.StoredPartCrash) -> None:
        await self._write_fleet_row(crash)

    def row_key(
        self,
        row: registry.RefusedRequest
        | registry.StoredPartCrash
        | registry.StoredRecheck,
    ) -> str:
        if not isinstance(row, registry.StoredPartCrash):
            is_recheck = isinstance(row, registry.StoredRecheck)
            prefix = RECHECK_PREFIX if is_recheck else REFUSED_PREFIX
            # Verdicts on prompt parts are rare and have slots of their own.
            kind, _, _ = row.fingerprint.rpartition(":")
            slot = _slot_of(row.fingerprint, REFUSED_SLOTS)
            return f"{prefix}{kind}{slot}"
        group = _slot_of(",".join(row.parts), PART_CRASH_GROUPS)
        slot = _slot_of(f"{row.target}/{row.started_ms}", SLOTS_PER_GROUP)
        return f"{PART_CRASH_PREFIX}{group}-{slot}"

    async def _write_fleet_row(
        self, row: registry.RefusedRequest | registry.StoredPartCrash
    ) -> None:
        value = msgspec.json.encode(row)
        await self._store.write(
            [stores.Write(FLEET_TABLE, self.row_key(row), value)]
        )

    def _decode(
        self, row: stores.StoreRow, decode: Callable[[bytes], T]
    ) -> T | None:
        if row.value is None:
            return None
        try:
            return decoding.decode(decode, row.value)
        except ValueError as exc:
            self._log.write(
                "row_rejected",
                table=row.table,
                key=row.key[:64],
                revision=row.revision,
                error=str(exc),
            )
            return None


def _slot_of(name: str, slots: int) -> int:
    return zlib.crc32(name.encode()) % slots


def _decode_reservation(
    row: stores.StoreRow, era: ids.StoreEra, content: bytes
) -> registry.StoredReservation:
    wire = _reservation_decoder.decode(content)
    return registry.StoredReservation(
        ids.InstanceId(row.key.removeprefix(RESERVATION_PREFIX)),
        wire.part,
        wire.instances,
        versions.StoreVersion(era, row.revision),
    )


def _decode_recheck(
    row: stores.StoreRow, era: ids.StoreEra, content: bytes
) -> registry.StoredRecheck:
    wire = _recheck_decoder.decode(content)
    return registry.StoredRecheck(
        wire.fingerprint,
        wire.number,
        wire.claimed_ms,
        versions.StoreVersion(era, row.revision),
    )
