"""Interface to the platform's store, and the contents read from it."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Callable

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import versions

__all__ = [
    "FleetRecord",
    "InstanceEntry",
    "RefusedRequest",
    "Registry",
    "RolloutUpdate",
    "SettingsUpdate",
    "StoreContact",
    "StoredRecheck",
    "StoredPartCrash",
    "TargetUpdate",
]

# The store counts as down after this long without a successful call; single
# lost answers are no outage.
OUTAGE_S = 1.0


class TargetUpdate(msgspec.Struct, frozen=True):
    """Target entries up to a revision."""

    changes: tuple[targets.TargetChange, ...]
    revision: int
    # Time of the store's own monotonic clock.
    store_ms: int = 0
    era: decoding.Era = versions.UNKNOWN_ERA

    @property
    def version(self) -> versions.StoreVersion:
        return versions.StoreVersion(self.era, self.revision)


class SettingsUpdate(msgspec.Struct, frozen=True):
    """Settings that operators wrote up to a revision."""

    configuration: routes.Configuration | None
    revision: int
    # Revision of the newest row that operators wrote, or 0 without any.
    newest: decoding.Count = 0
    # Number of rows in the answer; each version is one.
    rows: int = 0
    orders: tuple[rollouts.Order, ...] = ()
    era: decoding.Era = versions.UNKNOWN_ERA

    @property
    def version(self) -> versions.StoreVersion:
        """Return the version up to which the settings were read."""
        return versions.StoreVersion(self.era, self.revision)

    @property
    def newest_version(self) -> versions.StoreVersion:
        """Return the version of the newest row that operators wrote."""
        return versions.StoreVersion(self.era, self.newest)


class InstanceEntry(msgspec.Struct, frozen=True):
    """Address at which an instance receives datagrams."""

    id: ids.InstanceId
    host: decoding.Host
    port: decoding.Port
    data_centre: ids.DataCentre


class RefusedRequest(msgspec.Struct, frozen=True):
    """Request that all instances refuse, and until when."""

    fingerprint: poison.Fingerprint
    # Time by the store's clock; 0 if the request has proved harmless.
    until_ms: decoding.Int
    # Time of the first crash that a verdict on prompt parts is based on.
    evidence_ms: decoding.Int | None = None


class StoredPartCrash(msgspec.Struct, frozen=True):
    """Crash that the parts of a prompt may have caused."""

    request: poison.Fingerprint
    target: ids.TargetId
    started_ms: decoding.Int
    data_centre: ids.DataCentre
    # Time by the store's clock.
    crashed_ms: decoding.Int
    parts: prompt_parts.Parts


class RolloutUpdate(msgspec.Struct, frozen=True):
    """State of every rollout, as read in one era."""

    records: tuple[rollouts.Record, ...]
    era: decoding.Era = versions.UNKNOWN_ERA


class StoredReservation(msgspec.Struct, frozen=True):
    """Part of its slack that an instance has reserved."""

    instance: ids.InstanceId
    part: decoding.Number
    # Number of instances among which the slack was divided, the fewest that
    # still counts.
    instances: decoding.Count
    # Version of the row; its revision is 0 if there is none.
    version: versions.StoreVersion


class StoredRecheck(msgspec.Struct, frozen=True):
    """Newest recheck of a verdict that an instance has claimed."""

    fingerprint: poison.Fingerprint
    # Rechecks of the verdict up to this one.
    number: decoding.Count
    # Time by the store's clock.
    claimed_ms: decoding.Int
    # Version of the row; its revision is 0 if there is none.
    version: versions.StoreVersion


class FleetRecord(msgspec.Struct, frozen=True):
    """State that instances have written for those that start."""

    # Every instance that was ever started.
    instances: tuple[InstanceEntry, ...]
    refused: tuple[RefusedRequest, ...]
    store_ms: int
    part_crashes: tuple[StoredPartCrash, ...] = ()
    era: decoding.Era = versions.UNKNOWN_ERA
    reservations: tuple[StoredReservation, ...] = ()
    rechecks: tuple[StoredRecheck, ...] = ()

    def reservation_of(self, instance: ids.InstanceId) -> StoredReservation:
        """Return what an instance has reserved; nothing if it has no row."""
        for reservation in self.reservations:
            if reservation.instance == instance:
                return reservation
        return StoredReservation(
            instance, 0.0, 0, versions.StoreVersion(self.era, 0)
        )

    def largest_part(self, instances: int) -> float:
        """Return the largest reserved part of a share among fewer instances.

        Without any, return 0.
        """
        return max(
            (
                each.part
                for each in self.reservations
                if each.instances < instances
            ),
            default=0.0,
        )


class Registry(ABC):
    """Read and follow the store.

    Raises
    ------
    TableUnavailable : the store was not reached; nothing was read or written
    HistoryLost : the store no longer has the changes after the version, or
        was restored from a copy since
    """

    @property
    @abstractmethod
    def calls(self) -> int:
        """Return the number of calls that were made."""

    @abstractmethod
    async def read_targets(self) -> TargetUpdate:
        """Return every target entry."""

    @abstractmethod
    async def await_targets(
        self, after: versions.StoreVersion, wait_s: float
    ) -> TargetUpdate:
        """Return the entries that changed after a version."""

    @abstractmethod
    async def read_settings(self) -> SettingsUpdate:
        """Return the operators' settings."""

    @abstractmethod
    async def await_settings(
        self, after: versions.StoreVersion, wait_s: float
    ) -> SettingsUpdate:
        """Return the settings that changed after a version."""

    @abstractmethod
    async def read_rollouts(self) -> RolloutUpdate:
        """Return the state of every rollout."""

    @abstractmethod
    async def write_rollout(
        self, record: rollouts.Record
    ) -> versions.StoreVersion:
        """Replace the row version of a state; return the new one.

        Raises
        ------
        TableConflict : the stored state has another version
        TableOutcomeUnknown : the write may take effect, now or later
        """

    @abstractmethod
    async def announce(self, entry: InstanceEntry) -> None:
        """Write the entry of this instance."""

    @abstractmethod
    async def read_fleet(self) -> FleetRecord:
        """Return the state that instances have written."""

    @abstractmethod
    async def write_reservation(
        self, reservation: StoredReservation
    ) -> StoredReservation:
        """Replace the row version of a reservation; return the new row.

        Raises
        ------
        TableConflict : the stored row has another version
        TableOutcomeUnknown : the write may take effect, now or later
        """

    @abstractmethod
    async def write_refused(self, request: RefusedRequest) -> None:
        """Write a refused request over its previous row.

        Raises
        ------
        TableOutcomeUnknown : the write may take effect, now or later
        """

    @abstractmethod
    def row_key(
        self, row: RefusedRequest | StoredPartCrash | StoredRecheck
    ) -> str:
        """Return the key of a row, which a later one may overwrite."""

    @abstractmethod
    async def write_recheck(self, recheck: StoredRecheck) -> StoredRecheck:
        """Replace the row version of a recheck; return the new row.

        Raises
        ------
        TableConflict : the stored row has another version
        TableOutcomeUnknown : the write may take effect, now or later
        """

    @abstractmethod
    async def write_part_crash(self, crash: StoredPartCrash) -> None:
        """Write a crash over an older one.

        Raises
        ------
        TableOutcomeUnknown : the write may take effect, now or later
        """


class StoreContact:
    """Distinguish outages of the store from single failed calls."""

    def __init__(
        self,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        table: str,
        on_regained: Callable[[float], None] = lambda now: None,
    ) -> None:
        self._clock = clock
        self._table = table
        self._log = log
        self._on_regained = on_regained
        self._last_success = clock()
        self.failing = False
        self.has_succeeded = False

    def age_s(self) -> float:
        """Return seconds since the store last answered."""
        return self._clock() - self._last_success

    def record_success(self) -> None:
        """Record a successful call; report the end of an outage."""
        now = self._clock()
        away_s = now - self._last_success
        if self.failing and self.has_succeeded and away_s > OUTAGE_S:
            self._on_regained(now)
        if self.failing or not self.has_succeeded:
            self._log.write(
                "store_regained", table=self._table, away_s=round(away_s, 3)
            )
        self.failing = False
        self.has_succeeded = True
        self._last_success = now

    def record_failure(self, exc: Exception) -> None:
        """Record a call that failed."""
        if not self.failing:
            self.failing = True
            self._log.write(
                "store_lost",
                table=self._table,
                error=str(exc) or repr(exc),
                since_s=round(self.age_s(), 3),
            )
