"""What the platform's store tells, and how an instance follows it."""

from abc import ABC
from abc import abstractmethod
import asyncio
from collections.abc import Callable
import random

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry

__all__ = [
    "InstanceEntry",
    "Registry",
    "SettingsUpdate",
    "SettingsFollower",
    "StoreContact",
    "TargetFollower",
    "TargetUpdate",
]

# A leaving target keeps serving for 2.5 s; reading every 0.6 s leaves time
# for a slow answer, and costs a third of the calls of following each beat.
TARGET_PERIOD_S = 0.6
# Operator changes are awaited; a connection that went silent is noticed
# after this and CALL_MARGIN_S, within the 4 s that a reset is given.
SETTINGS_WAIT_S = 2.0
TARGET_WAIT_S = 1.0
CALL_MARGIN_S = 1.0
# Calls without success for this long are an outage; single lost answers
# are not.
OUTAGE_S = 1.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5


class TargetUpdate(msgspec.Struct, frozen=True):
    """Hold target entries up to a revision."""

    changes: tuple[targets.TargetChange, ...]
    revision: int


class SettingsUpdate(msgspec.Struct, frozen=True):
    """Hold what operators wrote up to a revision."""

    configuration: routes.Configuration | None
    revision: int


class InstanceEntry(msgspec.Struct, frozen=True):
    """Tell where an instance takes datagrams of others."""

    id: ids.InstanceId
    host: str
    port: int
    data_centre: ids.DataCentre


class Registry(ABC):
    """Read and follow the store.

    Raises
    ------
    TableUnavailable : not reached, nothing was read or written
    HistoryLost : changes after the revision are no longer kept
    """

    @abstractmethod
    async def read_targets(self) -> TargetUpdate:
        """Return every target entry."""

    @abstractmethod
    async def await_targets(self, after: int, wait_s: float) -> TargetUpdate:
        """Return the entries that changed after a revision."""

    @abstractmethod
    async def read_settings(self) -> SettingsUpdate:
        """Return what operators have set."""

    @abstractmethod
    async def await_settings(
        self, after: int, wait_s: float
    ) -> SettingsUpdate:
        """Return what operators set after a revision."""

    @abstractmethod
    async def announce(self, entry: InstanceEntry) -> None:
        """Write this instance's own entry."""

    @abstractmethod
    async def read_instances(self) -> list[InstanceEntry]:
        """Return the entries of all instances that ever started."""


class StoreContact:
    """Tell outages of the store from single failures."""

    def __init__(
        self,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        on_restored: Callable[[float], None],
    ) -> None:
        self._clock = clock
        self._log = log
        self._on_restored = on_restored
        self._last_success = clock()
        self._failing = False
        self.ever = False

    def age_s(self) -> float:
        """Return seconds since the store last answered."""
        return self._clock() - self._last_success

    def succeeded(self) -> None:
        """Record an answer."""
        now = self._clock()
        away_s = now - self._last_success
        if self._failing and self.ever and away_s > OUTAGE_S:
            self._on_restored(now)
        if self._failing or not self.ever:
            self._log.write("store_regained", away_s=round(away_s, 3))
        self._failing = False
        self.ever = True
        self._last_success = now

    def failed(self, exc: Exception) -> None:
        """Record a call without an answer."""
        if not self._failing:
            self._failing = True
            self._log.write(
                "store_lost",
                error=str(exc) or repr(exc),
                since_s=round(self.age_s(), 3),
            )


class TargetFollower:
    """Keep a directory of targets up to date."""

    def __init__(
        self,
        registry: Registry,
        directory: targets.Directory,
        contact: StoreContact,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        rng: random.Random,
        on_gone: Callable[[ids.TargetId], None],
        on_update: Callable[[], None],
    ) -> None:
        self._registry = registry
        self._directory = directory
        self._contact = contact
        self._clock = clock
        self._log = log
        self._rng = rng
        self._on_gone = on_gone
        self._on_update = on_update
        self._after: int | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self._step()

    async def _step(self) -> None:
        started = self._clock()
        complete = self._after is None
        try:
            if self._after is None:
                update = await self._registry.read_targets()
            else:
                update = await self._registry.await_targets(
                    self._after, TARGET_WAIT_S
                )
        except exceptions.HistoryLost:
            self._log.write("target_history_lost", after=self._after)
            self._after = None
            return
        except exceptions.TableUnavailable as exc:
            self._contact.failed(exc)
            self._expire()
            await asyncio.sleep(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
            return
        # First, so that entries that lapsed in an outage get their grace.
        self._contact.succeeded()
        self._after = update.revision
        self._apply(update, complete=complete)
        self._expire()
        spent = self._clock() - started
        await asyncio.sleep(max(0.0, TARGET_PERIOD_S - spent))

    def _apply(self, update: TargetUpdate, *, complete: bool) -> None:
        now = self._clock()
        if complete:
            altered = self._directory.replace(
                update.changes, update.revision, now
            )
        else:
            altered = self._directory.apply(update.changes, now)
        for change in altered:
            self._report(change)
        self._on_update()

    def _expire(self) -> None:
        for target in self._directory.expire(self._clock()):
            self._log.write("target_gone", target=target, cause="not_back")
            self._on_gone(target)

    def _report(self, change: targets.TargetChange) -> None:
        if change.listed is None:
            kept = self._directory.get(change.id) is not None
            self._log.write(
                "target_vanished" if kept else "target_gone",
                target=change.id,
                revision=change.revision,
            )
            if not kept:
                self._on_gone(change.id)
            return
        self._log.write(
            "target_listed",
            target=change.id,
            revision=change.revision,
            state=change.listed.state.value,
            service=change.listed.service,
            data_centre=change.listed.data_centre,
            version=change.listed.version,
        )


class SettingsFollower:
    """Keep the configuration up to date; it never goes back."""

    def __init__(
        self,
        registry: Registry,
        contact: StoreContact,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        rng: random.Random,
        on_update: Callable[[], None],
    ) -> None:
        self._registry = registry
        self._contact = contact
        self._clock = clock
        self._log = log
        self._rng = rng
        self._on_update = on_update
        self._after: int | None = None
        self.current: routes.Configuration | None = None
        self.read_at = 0.0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            await self._step()

    async def _step(self) -> None:
        try:
            if self._after is None:
                update = await self._registry.read_settings()
            else:
                update = await self._registry.await_settings(
                    self._after, SETTINGS_WAIT_S
                )
        except exceptions.HistoryLost:
            self._log.write("settings_history_lost", after=self._after)
            self._after = None
            return
        except exceptions.TableUnavailable as exc:
            self._contact.failed(exc)
            await asyncio.sleep(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
            return
        self._contact.succeeded()
        self._after = update.revision
        self.read_at = self._clock()
        if update.configuration is not None:
            self.accept(update.configuration)
        elif self.current is None:
            # No operator has written anything yet.
            await asyncio.sleep(RETRY_MIN_S)

    def accept(self, new: routes.Configuration) -> None:
        """Put a configuration in force unless a newer one is."""
        if self.current is not None and new.version <= self.current.version:
            return
        self.current = new
        self._log.write(
            "configuration",
            version=new.version,
            routes=sum(len(found) for found in new.routes.values()),
            services=len(new.services),
        )
        self._on_update()
