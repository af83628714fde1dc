"""Relays of store reads, so that one instance of a data centre reads for all.

If 76 instances all follow the store, it answers 150 calls a second with the
same content, and every crash of engines wakes all of them. Instead a reader
sends the changes to its local peers, which read the store themselves only if
no relay arrives, a datagram was lost, or a relay is old. There is no election:
a reader stops when it receives a relay of a reader with a smaller id, and any
instance starts to read after a random time without relays.
"""

from collections.abc import Iterable
import random
import zlib

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import registry
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import versions

__all__ = [
    "ReaderRole",
    "Relay",
    "RelayLog",
    "RelayAssembler",
    "SettingsPart",
    "SettingsAssembler",
    "SettingsQuery",
    "StoreClock",
    "pack_settings",
    "split_relay",
]

# An instance takes over after a random time without relays. A reader sends a
# relay at least every 1.1 s, and a leaving target serves for 2.5 s after it
# announced that it leaves, so the read has to come in between.
TAKEOVER_MIN_S = 1.35
TAKEOVER_MAX_S = 1.9
READER_RETRY_S = 0.1
# A read waits up to 1 s for changes. The store cuts it when it drops its
# history, and the other instances still wait for the list that is read next.
RECENT_READ_S = 2.5
# Settings that were accepted when the store came back have to be in force
# 2.5 s later, and a read that hangs takes 0.7 s of that time.
OUTAGE_RETRY_MIN_S = 0.8
OUTAGE_RETRY_MAX_S = 1.2
# An instance that has just started reads again soon if it has no local peers.
# With half a core it takes some 0.3 s to meet those that start at the same
# time.
START_READ_DELAY_S = 0.6
# Local peers that miss the same datagram read at different moments within this
# time.
GAP_READ_MAX_S = 0.3
START_READ_MIN_S = 0.4
START_READ_MAX_S = 1.2
# A relay that is older than this does not describe the present state.
MAX_RELAY_AGE_S = 1.0
# An entry usually takes 90 bytes, and a datagram holds 1,400. Long names take
# up to 850 bytes; the other fields of a relay take 100.
CHANGES_PER_PART = 12
PART_BYTES = 1200
# Each relay repeats the last updates, so that a lost datagram does not cause a
# read of the store, up to a total number of changes.
MAX_REPEATED_UPDATES = 3
MAX_REPEATED_CHANGES = 48
# A relay with more changes fills the reader's link: for 50 local peers 240
# changes are 1.2 MB. The peers read larger updates themselves.
MAX_RELAYED_CHANGES = 240
# Settings usually take 3 KB packed. The most that is relayed to 50 local peers
# is 1.6 MB; larger settings are read from the store.
SETTINGS_PIECE_BYTES = 1300
MAX_SETTINGS_PARTS = 24
# A data centre has two readers while one takes over from another; parts of a
# few senders are assembled at the same time.
MAX_SENDERS = 4
# Upper bound of the decompressed settings.
MAX_SETTINGS_BYTES = 2 * 1024 * 1024


class Relay(msgspec.Struct, frozen=True, array_like=True, tag="relay"):
    """Result of a read of the store, sent to the local peers."""

    sender: ids.InstanceId
    # The changes are complete after this revision and up to ``upto``.
    after: decoding.Count
    upto: decoding.Count
    # The store's clock at the time of the read.
    store_ms: decoding.Int
    changes: tuple[targets.TargetChange, ...]
    # Revision of the newest operators' row that the sender has read.
    settings_revision: decoding.Count
    # A large relay is split into parts and is complete once all were received.
    part: decoding.Count = 0
    parts: decoding.Count = 1
    # Whether the changes of all parts together list every target.
    complete: bool = False
    # Eras of the revisions of the targets and of the settings.
    era: decoding.Era = versions.UNKNOWN_ERA
    settings_era: decoding.Era = versions.UNKNOWN_ERA

    @property
    def base_version(self) -> versions.StoreVersion:
        """Return the version after which the changes are complete."""
        return versions.StoreVersion(self.era, self.after)

    @property
    def version(self) -> versions.StoreVersion:
        """Return the version up to which the changes are complete."""
        return versions.StoreVersion(self.era, self.upto)


class SettingsPart(
    msgspec.Struct, frozen=True, array_like=True, tag="settings"
):
    """One part of the operators' settings, sent to the local peers."""

    sender: ids.InstanceId
    # Revision of the newest operators' row in the settings.
    revision: decoding.Count
    part: decoding.Count
    # Number of parts; 0 if the settings are too large to relay.
    parts: decoding.Count
    content: bytes = b""
    era: decoding.Era = versions.UNKNOWN_ERA
    # Version of the configuration in the settings, or -1 without one.
    configuration_version: decoding.Int = -1

    @property
    def version(self) -> versions.StoreVersion:
        return versions.StoreVersion(self.era, self.revision)


class SettingsQuery(
    msgspec.Struct, frozen=True, array_like=True, tag="settings?"
):
    """Query for the configuration that is in force at a peer."""

    sender: registry.InstanceEntry


def pack_settings(
    sender: ids.InstanceId, update: registry.SettingsUpdate
) -> list[SettingsPart]:
    """Return the datagrams that carry the operators' settings."""
    content = zlib.compress(msgspec.msgpack.encode(update))
    pieces = [
        content[start : start + SETTINGS_PIECE_BYTES]
        for start in range(0, len(content), SETTINGS_PIECE_BYTES)
    ]
    configuration_version = -1
    if update.configuration is not None:
        configuration_version = update.configuration.version
    if len(pieces) > MAX_SETTINGS_PARTS:
        pieces = []
    parts = [
        SettingsPart(
            sender,
            update.newest,
            number,
            len(pieces),
            piece,
            update.era,
            configuration_version,
        )
        for number, piece in enumerate(pieces or [b""])
    ]
    return parts


_settings_decoder = msgspec.msgpack.Decoder(registry.SettingsUpdate)


class _PartialSettings(msgspec.Struct):
    """Parts of one version of the settings from one sender."""

    version: versions.StoreVersion
    parts: int
    content: dict[int, bytes] = msgspec.field(default_factory=dict)


class SettingsAssembler:
    """Assemble the operators' settings from their parts."""

    def __init__(self) -> None:
        self._partial_by_sender: dict[ids.InstanceId, _PartialSettings] = {}

    def add(self, part: SettingsPart) -> registry.SettingsUpdate | None:
        """Add a part; return the settings once all parts were received.

        Raises
        ------
        ValueError : the part's number or the assembled content is invalid
        """
        if not 0 <= part.part < part.parts <= MAX_SETTINGS_PARTS:
            raise ValueError("no such part")
        partial = self._partial_of(part)
        partial.content[part.part] = part.content
        if len(partial.content) < part.parts:
            return None
        packed = b"".join(partial.content[n] for n in range(part.parts))
        del self._partial_by_sender[part.sender]
        unpacker = zlib.decompressobj()
        try:
            content = unpacker.decompress(packed, MAX_SETTINGS_BYTES)
        except zlib.error as exc:
            raise ValueError(str(exc)) from exc
        return decoding.decode(_settings_decoder.decode, content)

    def _partial_of(self, part: SettingsPart) -> _PartialSettings:
        """Return the settings that a part belongs to.

        Only the version of each sender's last part is kept.
        """
        partial = self._partial_by_sender.pop(part.sender, None)
        if partial is None or (partial.version, partial.parts) != (
            part.version,
            part.parts,
        ):
            partial = _PartialSettings(part.version, part.parts)
        self._partial_by_sender[part.sender] = partial
        if len(self._partial_by_sender) > MAX_SENDERS:
            del self._partial_by_sender[next(iter(self._partial_by_sender))]
        return partial


class RelayAssembler:
    """Assemble a relay from its parts."""

    def __init__(self) -> None:
        self._key: (
            tuple[ids.InstanceId, versions.StoreVersion, bool] | None
        ) = None
        self._parts: dict[int, tuple[targets.TargetChange, ...]] = {}

    def add(self, relay: Relay) -> tuple[targets.TargetChange, ...] | None:
        """Add a part; return all changes once every part was received."""
        key = (relay.sender, relay.version, relay.complete)
        if key != self._key:
            self._key = key
            self._parts = {}
        self._parts[relay.part] = relay.changes
        if len(self._parts) < relay.parts:
            return None
        return tuple(
            change
            for part in sorted(self._parts)
            for change in self._parts[part]
        )


def split_relay(relay: Relay) -> list[Relay]:
    """Split a relay into parts that each fit into a datagram."""
    groups = _group_changes(relay.changes)
    return [
        msgspec.structs.replace(
            relay, changes=tuple(group), part=number, parts=len(groups)
        )
        for number, group in enumerate(groups)
    ]


def _group_changes(
    changes: Iterable[targets.TargetChange],
) -> list[list[targets.TargetChange]]:
    """Return the changes of each part, at least one part."""
    groups: list[list[targets.TargetChange]] = [[]]
    group_bytes = 0
    for change in changes:
        size = len(msgspec.msgpack.encode(change))
        if len(groups[-1]) == CHANGES_PER_PART or (
            groups[-1] and group_bytes + size > PART_BYTES
        ):
            groups.append([])
            group_bytes = 0
        groups[-1].append(change)
        group_bytes += size
    return groups


class ReaderRole:
    """Decide when this instance reads the store itself."""

    def __init__(
        self, instance: ids.InstanceId, period_s: float, rng: random.Random
    ) -> None:
        self._instance = instance
        self._period_s = period_s
        self._rng = rng
        self._due_at = 0.0
        # When the last relay of a reader with a smaller id arrived.
        self._yielded_at = -1.0
        # Whether this instance has read or has received a message of a local
        # peer.
        self._is_settled = False
        self.is_reader = False
        # Start of this instance's last read as a reader.
        self._last_reader_read_at = -RECENT_READ_S

    def has_read_lately(self, now: float) -> bool:
        """Return whether peers may still wait for this instance's relay."""
        return (
            self.is_reader or now - self._last_reader_read_at < RECENT_READ_S
        )

    def wait_s(self, now: float) -> float:
        """Return seconds until this instance reads next."""
        return max(0.0, self._due_at - now)

    def record_read(self, started_at: float) -> None:
        """Record a read that the store answered.

        A read waits for changes. An instance that received a relay of a reader
        with a smaller id meanwhile does not go on reading.
        """
        self._is_settled = True
        if self._yielded_at >= started_at:
            return
        self.is_reader = True
        self._last_reader_read_at = started_at
        self._due_at = started_at + self._period_s

    def record_list(self, now: float) -> None:
        """Record a complete list, which an instance reads when it starts."""
        if not self.is_reader:
            self._due_at = max(self._due_at, now + START_READ_DELAY_S)

    def record_peer(self, now: float) -> None:
        """Record a message of a local peer.

        If all instances start at once, each waits for a random time, and the
        first whose wait ends reads for the others.
        """
        if not self._is_settled:
            self._is_settled = True
            wait_s = self._rng.uniform(START_READ_MIN_S, START_READ_MAX_S)
            self._due_at = max(self._due_at, now + wait_s)

    def record_failure(self, now: float) -> None:
        """Record a read without an answer.

        A reader tries once more soon, as the cause may have been its
        connection. After that it gives up the role, so that another instance
        takes over, one that the store may still answer.
        """
        if self.is_reader:
            wait_s = READER_RETRY_S
        else:
            wait_s = self._rng.uniform(OUTAGE_RETRY_MIN_S, OUTAGE_RETRY_MAX_S)
        self.is_reader = False
        self._due_at = now + wait_s

    def record_relay(self, sender: ids.InstanceId, now: float) -> None:
        """Record a fresh relay of another reader."""
        self._is_settled = True
        if self.is_reader and self._instance < sender:
            return
        self.is_reader = False
        if sender < self._instance:
            self._yielded_at = now
        wait_s = self._rng.uniform(TAKEOVER_MIN_S, TAKEOVER_MAX_S)
        self._due_at = max(self._due_at, now + wait_s)

    def read_soon(self, now: float) -> None:
        """Schedule a read soon because changes are missing here.

        The local peers may miss the same changes, so the delay is random.
        """
        wait_s = self._rng.uniform(0.0, GAP_READ_MAX_S)
        self._due_at = min(self._due_at, now + wait_s)


class RelayLog:
    """Last updates, for relays that overlap."""

    def __init__(self) -> None:
        self._updates: list[tuple[int, registry.TargetUpdate]] = []
        self._last_list: registry.TargetUpdate | None = None

    def add(self, after: int, update: registry.TargetUpdate) -> None:
        """Add the update that a read after a revision returned."""
        if self._updates and self._updates[-1][1].version != (
            versions.StoreVersion(update.era, after)
        ):
            self._updates.clear()
        self._updates.append((after, update))
        del self._updates[:-MAX_REPEATED_UPDATES]
        while len(self._updates) > 1 and (
            sum(len(update.changes) for _, update in self._updates)
            > MAX_REPEATED_CHANGES
        ):
            del self._updates[0]

    def replace(self, update: registry.TargetUpdate) -> None:
        """Replace all updates by a complete list."""
        self._updates.clear()
        self._last_list = update

    def relay(
        self,
        sender: ids.InstanceId,
        settings: versions.StoreVersion,
    ) -> Relay | None:
        """Return a relay of the last updates or else of the last list.

        If the last update is too large, the relay has no changes and only
        announces the revision. Returns ``None`` without any updates or list.
        """
        if not self._updates:
            return self._relay_list(sender, settings)
        after = self._updates[0][0]
        last = self._updates[-1][1]
        if len(last.changes) > MAX_RELAYED_CHANGES:
            return Relay(
                sender=sender,
                after=last.revision,
                upto=last.revision,
                store_ms=last.store_ms,
                changes=(),
                settings_revision=settings.revision,
                era=last.era,
                settings_era=settings.era,
            )
        newest: dict[ids.TargetId, targets.TargetChange] = {}
        for _, update in self._updates:
            for change in update.changes:
                newest[change.id] = change
        return Relay(
            sender=sender,
            after=after,
            upto=last.revision,
            store_ms=last.store_ms,
            changes=tuple(newest.values()),
            settings_revision=settings.revision,
            era=last.era,
            settings_era=settings.era,
        )

    def _relay_list(
        self, sender: ids.InstanceId, settings: versions.StoreVersion
    ) -> Relay | None:
        update = self._last_list
        if update is None or len(update.changes) > MAX_RELAYED_CHANGES:
            return None
        return Relay(
            sender=sender,
            after=update.revision,
            upto=update.revision,
            store_ms=update.store_ms,
            changes=update.changes,
            settings_revision=settings.revision,
            complete=True,
            era=update.era,
            settings_era=settings.era,
        )


class StoreClock:
    """Estimate of the store's clock, to tell how old a relay is.

    The time of arrival does not show the age of a datagram: it may have
    waited while this process was suspended.
    """

    def __init__(self) -> None:
        self._offset_s: float | None = None

    def record_read(self, store_ms: int, now: float) -> None:
        """Update the clock offset from an answer of the store."""
        self._offset_s = store_ms / 1000 - now

    def time_ms(self, now: float) -> float | None:
        """Return the store's time in ms; ``None`` before the first answer."""
        if self._offset_s is None:
            return None
        return (now + self._offset_s) * 1000

    def is_fresh(self, store_ms: int, now: float) -> bool:
        """Return whether a relay is recent enough to describe the present."""
        if self._offset_s is None:
            return False
        return now + self._offset_s - store_ms / 1000 <= MAX_RELAY_AGE_S
