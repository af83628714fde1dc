"""Followers that keep targets and settings up to date with the store."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import random
from typing import Any

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import relay as relays
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import versions

__all__ = ["SettingsFollower", "TargetFollower"]

# Least time between two reads of targets. A change ends the wait of a read at
# once, and changes come in bursts when a data centre crashes. With this period
# one answer contains a whole burst.
TARGET_READ_PERIOD_S = 0.3
# A read of settings waits up to this long for changes. A dead connection is
# detected 1.2 s after this wait, within the 4 s that are allowed for a reset.
SETTINGS_WAIT_S = 2.0
# Least time between two reads of settings, so that changes in quick succession
# are read together.
SETTINGS_READ_PERIOD_S = 0.3
TARGET_WAIT_S = 1.0
RETRY_MIN_S = 0.1
RETRY_MAX_S = 0.5
# A read without an answer is repeated soon, this many times. After that the
# store counts as unavailable and is called less often, as each call costs the
# same.
QUICK_RETRIES = 2
OUTAGE_RETRY_MIN_S = 1.5
OUTAGE_RETRY_MAX_S = 2.5
# Settings are read directly after this long without relays of a reader.
RELAY_TIMEOUT_S = 2.0
IDLE_POLL_S = 0.25
# A reader sends settings every 0.5 s at most, so announced settings arrive
# within this time unless a datagram was lost. Operators allow 2.5 s.
PARTS_WAIT_S = 0.7
# An instance that started before the first configuration was written reads
# again after this, unless a reader sends it.
UNWRITTEN_MIN_S = 1.0
UNWRITTEN_MAX_S = 1.5
# Least time between two queries for a configuration; an answer takes up to
# 31 KB.
QUERY_INTERVAL_S = 0.5


def _version_fields(
    after: versions.StoreVersion | None,
) -> dict[str, Any]:
    """Return the fields of a log line that name a version of the store."""
    if after is None:
        return {"after": None}
    return {"after": after.revision, "era": after.era}


class TargetFollower:
    """Keep a directory of targets up to date."""

    def __init__(
        self,
        registry: registries.Registry,
        directory: targets.Directory,
        contact: registries.StoreContact,
        role: relays.ReaderRole,
        eras: versions.EraTracker,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        rng: random.Random,
        on_gone: Callable[[ids.TargetId], None],
        on_update: Callable[[], None],
    ) -> None:
        self._registry = registry
        self._directory = directory
        self._contact = contact
        self._role = role
        self._eras = eras
        self._clock = clock
        self._log = log
        self._rng = rng
        self._on_gone = on_gone
        self._on_update = on_update
        self._after: versions.StoreVersion | None = None
        self._wake = asyncio.Event()
        self.history = relays.RelayLog()
        self._parts = relays.RelayAssembler()
        self.store_clock = relays.StoreClock()
        # Sends a relay to the local peers; set once datagrams are exchanged.
        self.publish: Callable[[relays.RelayLog], None] = lambda history: None

    async def run(self) -> None:
        """Follow the store until cancelled."""
        # After an error, changes that were read may not have been applied.
        self._after = None
        while True:
            wait_s = self._role.wait_s(self._clock())
            if self._after is None or not wait_s:
                await self._read()
                continue
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._wake.wait()
            self._expire()

    def handle_relay(self, relay: relays.Relay) -> None:
        """Apply a read of the store that another instance relayed."""
        now = self._clock()
        self._eras.record(relay.era)
        if relay.era < self._eras.current:
            self._log.write(
                "relay_outdated",
                routine=True,
                sender=relay.sender,
                era=relay.era,
            )
            return
        if relay.complete:
            self._handle_list(relay, now)
            return
        if not self._directory.is_loaded:
            return
        self._directory.begin_era(relay.era)
        for change in self._directory.apply(relay.changes, now):
            self._report(change)
        if self._after is None or relay.base_version > self._after:
            self._log.write("relay_gap", routine=True, sender=relay.sender)
            self._role.read_soon(now)
            self._wake.set()
            return
        if self._parts.add(relay) is not None:
            self._record_relay(relay, now)

    def _handle_list(self, relay: relays.Relay, now: float) -> None:
        """Apply a complete list that another instance relayed.

        Without such lists every instance would read every target itself when
        the store drops its history.
        """
        if self._after is not None and relay.version < self._after:
            return
        entries = self._parts.add(relay)
        if entries is None:
            return
        if not self.store_clock.is_fresh(relay.store_ms, now):
            return
        self._record_relay(relay, now)
        altered = self._directory.replace(entries, relay.upto, now, relay.era)
        for change in altered:
            self._report(change)
        self._log.write(
            "target_list_relayed",
            routine=True,
            sender=relay.sender,
            revision=relay.upto,
            era=relay.era,
            count=len(entries),
            altered=len(altered),
        )
        self._on_update()

    def _record_relay(self, relay: relays.Relay, now: float) -> None:
        if self._after is None or relay.version > self._after:
            self._after = relay.version
        # The sender is recorded even if the relay contains nothing new.
        # Otherwise readers that read in step would never detect each other.
        if self.store_clock.is_fresh(relay.store_ms, now):
            self._contact.record_success()
            self._role.record_relay(relay.sender, now)

    async def _read(self) -> None:
        started = self._clock()
        after = self._after
        try:
            if after is None:
                update = await self._registry.read_targets()
            else:
                update = await self._registry.await_targets(
                    after, self._read_wait_s(started)
                )
        except exceptions.HistoryLost:
            self._log.write("target_history_lost", **_version_fields(after))
            self._after = None
            return
        except exceptions.TableUnavailable as exc:
            self._contact.record_failure(exc)
            self._expire()
            self._role.record_failure(self._clock())
            if after is None:
                # The instance serves nothing before its first list, so the
                # read is retried after a short delay.
                await asyncio.sleep(
                    self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
                )
            return
        # Recorded before the update is applied, so that entries that lapsed in
        # an outage get their grace period.
        self._contact.record_success()
        now = self._clock()
        self._eras.record(update.era)
        if after is None:
            self._role.record_list(now)
        else:
            self._role.record_read(started)
        self.store_clock.record_read(update.store_ms, now)
        if update.era < self._eras.current or (
            self._after is not None
            and after is not None
            and self._after.era != after.era
        ):
            # The store was restored during the read, as a relay has shown.
            await asyncio.sleep(self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S))
            return
        if self._after is None or update.version > self._after:
            self._after = update.version
        self._apply(update, after)
        self._expire()

    def _read_wait_s(self, now: float) -> float:
        """Return how long the store may wait for changes.

        A read that tests whether the store is back returns at once. So does
        the first read of a new reader, because its relay has to reach the
        other instances before they read as well. No read waits beyond the
        time at which an entry that was not rewritten is dropped.
        """
        if self._contact.failing or not self._role.is_reader:
            return 0.0
        expires_at = self._directory.next_expiry()
        if expires_at is None:
            return TARGET_WAIT_S
        return min(TARGET_WAIT_S, max(0.0, expires_at - now))

    def _apply(
        self,
        update: registries.TargetUpdate,
        after: versions.StoreVersion | None,
    ) -> None:
        now = self._clock()
        if after is None:
            self.history.replace(update)
            altered = self._directory.replace(
                update.changes, update.revision, now, update.era
            )
        else:
            altered = self._directory.apply(update.changes, now)
            self.history.add(after.revision, update)
        for change in altered:
            self._report(change)
        if after is not None or self._role.has_read_lately(now):
            self.publish(self.history)
        self._on_update()

    def _expire(self) -> None:
        for target in self._directory.expire(self._clock()):
            self._log.write("target_gone", target=target, cause="not_back")
            self._on_gone(target)
        for change in self._directory.release_held(self._clock()):
            self._report(change)

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
    """Keep the configuration up to date; its version never decreases."""

    def __init__(
        self,
        registry: registries.Registry,
        contact: registries.StoreContact,
        role: relays.ReaderRole,
        eras: versions.EraTracker,
        target_age_s: Callable[[], float],
        clock: Callable[[], float],
        log: telemetry.EventLog,
        rng: random.Random,
        on_update: Callable[[], None],
        on_orders: Callable[[Sequence[rollouts.Order]], None],
        on_newer: Callable[[], None],
    ) -> None:
        self._registry = registry
        self._contact = contact
        self._role = role
        self._eras = eras
        self._target_age_s = target_age_s
        self._clock = clock
        self._log = log
        self._rng = rng
        self._on_update = on_update
        self._on_orders = on_orders
        self._on_newer = on_newer
        self._after: versions.StoreVersion | None = None
        self._announced = versions.NOTHING_READ
        # Since when a newer version is announced and no newer settings have
        # arrived.
        self._behind_since = 0.0
        # Until when the store is not read again for the first configuration.
        self._unwritten_until = 0.0
        self._parts = relays.SettingsAssembler()
        # The last heartbeat of a peer with a newer configuration.
        self._newer_peer: peer_table.Beat | None = None
        self._queried_at = -QUERY_INTERVAL_S
        # Asks a peer for its configuration; set once datagrams are exchanged.
        self.query_peer: Callable[[registries.InstanceEntry], None] = (
            lambda peer: None
        )
        self._failures = 0
        # Whether the last read returned several versions; more may follow.
        self._in_burst = False
        self._wake = asyncio.Event()
        self.current: routes.Configuration | None = None
        # Newest order of each service.
        self._order_by_service: dict[ids.ServiceName, rollouts.Order] = {}
        # Store version of the newest operators' row that was read.
        self.newest = versions.NOTHING_READ

    @property
    def version(self) -> int:
        """Return the version in force, or -1 before the first one."""
        return -1 if self.current is None else self.current.version

    @property
    def revision(self) -> int:
        """Return the revision of the newest operators' row that was read."""
        return self.newest.revision

    def known_settings(self) -> registries.SettingsUpdate:
        """Return all settings that this instance knows.

        A part of them would hide from its receiver that others are missing.
        """
        return registries.SettingsUpdate(
            self.current,
            self.newest.revision,
            self.newest.revision,
            orders=tuple(self._order_by_service.values()),
            era=self.newest.era,
        )

    async def run(self) -> None:
        """Follow the store until cancelled."""
        # After an error, changes that were read may not have been applied.
        self._after = None
        while True:
            if self._must_read():
                await self._read()
                continue
            await self._sleep(IDLE_POLL_S)

    def handle_store_regained(self) -> None:
        """Read again soon, as the store answers again after an outage."""
        if self._contact.failing:
            self._wake.set()

    def handle_revision(
        self, revision: int, era: ids.StoreEra = versions.UNKNOWN_ERA
    ) -> None:
        """Handle the version of the operators' row that a peer announces."""
        announced = versions.StoreVersion(era, revision)
        if announced <= self._announced:
            return
        if self._announced <= self.newest:
            self._behind_since = self._clock()
        self._announced = announced
        self._wake.set()

    def handle_beat(self, beat: peer_table.Beat) -> None:
        """Handle the version of the configuration that a peer has."""
        if beat.configuration_version > self.version:
            self._newer_peer = beat
            self._query_if_behind()

    def _query_if_behind(self) -> None:
        """Ask a peer for a configuration that the store no longer has.

        A peer that has read no more of the store than this instance can have
        a newer configuration only from before the store was restored.
        """
        peer = self._newer_peer
        now = self._clock()
        if (
            peer is None
            or self._after is None
            or peer.settings > self.newest
            or now - self._queried_at < QUERY_INTERVAL_S
        ):
            return
        self._newer_peer = None
        if peer.configuration_version > self.version:
            self._log.write(
                "settings_queried",
                peer=peer.sender.id,
                version=peer.configuration_version,
            )
            self._queried_at = now
            self.query_peer(peer.sender)

    def handle_part(self, part: relays.SettingsPart) -> None:
        """Handle a part of the settings that another instance relayed."""
        is_newer = part.version > self.newest
        if not is_newer and part.configuration_version <= self.version:
            return
        if self.current is None and self._after is None:
            # The datagram may have been delayed and be older than the store's
            # settings, which this instance has not read yet.
            self._log.write(
                "settings_part_early", routine=True, sender=part.sender
            )
            return
        self._eras.record(part.era)
        if is_newer:
            self.handle_revision(part.revision, part.era)
        if not part.parts:
            if is_newer:
                self._behind_since -= PARTS_WAIT_S
            return
        try:
            update = self._parts.add(part)
        except ValueError as exc:
            self._log.write(
                "settings_part_rejected", sender=part.sender, error=str(exc)
            )
            return
        if update is not None:
            self._log.write(
                "settings_relayed",
                routine=True,
                sender=part.sender,
                revision=part.revision,
                era=part.era,
                waited_s=round(self._clock() - self._behind_since, 3),
            )
            self._apply_update(update)

    def apply_configuration(self, new: routes.Configuration) -> None:
        """Put a configuration in force if it is newer than the current."""
        if new.version <= self.version:
            return
        self.current = new
        self._log.write(
            "configuration",
            version=new.version,
            routes=sum(len(of_host) for of_host in new.routes.values()),
            services=len(new.services),
        )
        self._on_update()

    def _retry_s(self) -> float:
        if self.current is None or self._failures <= QUICK_RETRIES:
            return self._rng.uniform(RETRY_MIN_S, RETRY_MAX_S)
        return self._rng.uniform(OUTAGE_RETRY_MIN_S, OUTAGE_RETRY_MAX_S)

    async def _sleep(self, seconds: float) -> None:
        """Wait for some time, or until there is something to read.

        A wake-up during the previous read ends the wait at once.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._wake.wait()
        self._wake.clear()

    def _must_read(self) -> bool:
        if self._role.is_reader or self._is_behind():
            return True
        if self.current is None:
            return self._clock() >= self._unwritten_until
        return self._target_age_s() > RELAY_TIMEOUT_S

    def _is_behind(self) -> bool:
        """Return whether announced settings have not arrived in time.

        If many versions are written in quick succession and their datagrams
        are lost on the way to some instances, a newer announcement must not
        postpone the read of such an instance.
        """
        return self._announced > self.newest and (
            self._clock() - self._behind_since >= PARTS_WAIT_S
        )

    def _apply_update(self, update: registries.SettingsUpdate) -> None:
        if update.newest_version > self.newest:
            self.newest = update.newest_version
            self._behind_since = self._clock()
        for order in update.orders:
            known = self._order_by_service.get(order.service)
            if known is None or order.row_version > known.row_version:
                self._order_by_service[order.service] = order
        self._on_orders(update.orders)
        if update.configuration is not None:
            self.apply_configuration(update.configuration)

    async def _read(self) -> None:
        behind = self._announced > self.newest
        started = self._clock()
        self._wake.clear()
        try:
            if self._after is None or behind or self._in_burst:
                # A read of changes would return every version of a burst.
                update = await self._registry.read_settings()
                self._in_burst = update.newest_version > self.newest
            else:
                # A read during an outage tests whether the store is back.
                wait_s = 0.0 if self._contact.failing else SETTINGS_WAIT_S
                update = await self._registry.await_settings(
                    self._after, wait_s
                )
                self._in_burst = update.rows > 1
        except exceptions.HistoryLost:
            self._log.write(
                "settings_history_lost", **_version_fields(self._after)
            )
            self._after = None
            return
        except exceptions.TableUnavailable as exc:
            self._contact.record_failure(exc)
            self._failures += 1
            await self._sleep(self._retry_s())
            return
        self._contact.record_success()
        self._failures = 0
        self._eras.record(update.era)
        self._after = update.version
        newer = update.newest_version > self.newest
        self._apply_update(update)
        self._query_if_behind()
        if newer:
            self._on_newer()
        if self.current is None and not self._role.is_reader:
            # No configuration is written yet; the reader that gets it first
            # relays it.
            wait_s = self._rng.uniform(UNWRITTEN_MIN_S, UNWRITTEN_MAX_S)
            self._unwritten_until = self._clock() + wait_s
        elif self.current is None or self._announced > self.newest:
            # No configuration is written yet, or the announced version can't
            # be read here.
            await asyncio.sleep(RETRY_MIN_S)
        elif self._role.is_reader:
            delay_s = started + SETTINGS_READ_PERIOD_S - self._clock()
            await asyncio.sleep(max(0.0, delay_s))
