"""Let one instance of a data centre read the store for the others.

Load: with 76 instances that all follow the store, it answers 150 calls a
second that say the same, and every crash of engines wakes all. Whoever
reads sends what changed to the instances beside it; they read themselves
only when nothing comes, when a datagram was lost, or when what came is old.
There is no election: hearing a reader with a smaller id makes a reader stop,
and a random time without word makes any instance read.
"""

import random
import zlib

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import registry
from sassafrasflow.gateway import targets

__all__ = [
    "ReaderRole",
    "Relay",
    "RelayLog",
    "RelayAssembler",
    "SettingsPart",
    "SettingsAssembler",
    "StoreClock",
    "pack_settings",
    "split_relay",
]

# A reader sends word at least every 1.1 s, and a leaving target serves for
# 2.5 s after its own; an instance that hears nothing reads in between.
TAKEOVER_MIN_S = 1.35
TAKEOVER_MAX_S = 1.9
READER_RETRY_S = 0.1
# A read waits 1 s; the store cuts it when it drops its history, and the list
# that is read then is still what the others wait for.
RECENT_READ_S = 2.5
# Settings that were accepted as the store came back are to be in force 2.5 s
# later, and a read that hangs takes 0.7 s.
OUTAGE_RETRY_MIN_S = 0.8
OUTAGE_RETRY_MAX_S = 1.2
# An instance that has just started reads soon if nobody is beside it; with
# half a core it takes some 0.3 s to meet those that start with it.
START_READ_DELAY_S = 0.6
# Neighbours that miss the same datagrams don't read at the same moment.
GAP_READ_MAX_S = 0.3
START_READ_MIN_S = 0.4
START_READ_MAX_S = 1.2
# What is older than this says nothing about now.
MAX_RELAY_AGE_S = 1.0
# An entry takes 90 bytes, and a datagram 1,400.
CHANGES_PER_PART = 12
# Updates that each relay repeats, so that one lost datagram costs no call,
# and the changes in all up to which it does so.
MAX_REPEATED_UPDATES = 3
MAX_REPEATED_CHANGES = 48
# A relay with more changes fills the reader's link: with 50 neighbours
# 240 changes are 1.2 MB. Neighbours read them themselves.
MAX_RELAYED_CHANGES = 240
# Settings take 3 KB packed; with 50 neighbours the most that is passed on
# are 1.6 MB. What is larger is read from the store.
SETTINGS_PIECE_BYTES = 1300
MAX_SETTINGS_PARTS = 24
# A data centre has two readers while one takes over from another.
MAX_SENDERS = 4
# What a packed datagram may unfold to.
MAX_SETTINGS_BYTES = 2 * 1024 * 1024


class Relay(msgspec.Struct, frozen=True, array_like=True, tag="relay"):
    """Pass on what one read of the store brought."""

    sender: ids.InstanceId
    # Changes are complete after this revision, up to the next one.
    after: int
    upto: int
    # The store's own clock at the read.
    store_ms: int
    changes: tuple[targets.TargetChange, ...]
    # Newest row of operators that the sender knows.
    settings_revision: int
    # Large relays come in parts; they count once all have come.
    part: int = 0
    parts: int = 1
    # The changes of all parts are every target there is.
    complete: bool = False


class SettingsPart(
    msgspec.Struct, frozen=True, array_like=True, tag="settings"
):
    """Pass on a part of what operators have set."""

    sender: ids.InstanceId
    # Newest row of operators in it.
    revision: int
    part: int
    # 0 if the whole is too large to pass on.
    parts: int
    content: bytes = b""


def pack_settings(
    sender: ids.InstanceId, update: registry.SettingsUpdate
) -> list[SettingsPart]:
    """Return the datagrams that carry what operators have set."""
    content = zlib.compress(msgspec.msgpack.encode(update))
    pieces = [
        content[start : start + SETTINGS_PIECE_BYTES]
        for start in range(0, len(content), SETTINGS_PIECE_BYTES)
    ]
    if len(pieces) > MAX_SETTINGS_PARTS:
        return [SettingsPart(sender, update.newest, 0, 0)]
    return [
        SettingsPart(sender, update.newest, number, len(pieces), piece)
        for number, piece in enumerate(pieces)
    ]


class _PartialSettings(msgspec.Struct):
    """Hold what has come of one version from one sender."""

    revision: int
    parts: int
    content: dict[int, bytes] = msgspec.field(default_factory=dict)


class SettingsAssembler:
    """Put what operators have set together again."""

    def __init__(self) -> None:
        self._partial_by_sender: dict[ids.InstanceId, _PartialSettings] = {}

    def add(self, part: SettingsPart) -> registry.SettingsUpdate | None:
        """Take a part; return the whole once it is complete.

        Raises
        ------
        ValueError : the parts make no sense
        """
        if not 0 <= part.part < part.parts <= MAX_SETTINGS_PARTS:
            raise ValueError("no such part")
        found = self._partial_of(part)
        found.content[part.part] = part.content
        if len(found.content) < part.parts:
            return None
        packed = b"".join(found.content[n] for n in range(part.parts))
        del self._partial_by_sender[part.sender]
        unpacker = zlib.decompressobj()
        try:
            content = unpacker.decompress(packed, MAX_SETTINGS_BYTES)
        except zlib.error as exc:
            raise ValueError(str(exc)) from exc
        return msgspec.msgpack.decode(content, type=registry.SettingsUpdate)

    def _partial_of(self, part: SettingsPart) -> _PartialSettings:
        """Return what a part belongs to; each sender's newest is kept."""
        found = self._partial_by_sender.pop(part.sender, None)
        if found is None or (found.revision, found.parts) != (
            part.revision,
            part.parts,
        ):
            found = _PartialSettings(part.revision, part.parts)
        self._partial_by_sender[part.sender] = found
        if len(self._partial_by_sender) > MAX_SENDERS:
            del self._partial_by_sender[next(iter(self._partial_by_sender))]
        return found


class RelayAssembler:
    """Tell when every part of a relay has come."""

    def __init__(self) -> None:
        self._key: tuple[ids.InstanceId, int, bool] | None = None
        self._parts: dict[int, tuple[targets.TargetChange, ...]] = {}

    def add(self, relay: Relay) -> tuple[targets.TargetChange, ...] | None:
        """Record a part; return all changes once every part has come."""
        key = (relay.sender, relay.upto, relay.complete)
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
    """Return parts that fit into a datagram each."""
    groups = [
        relay.changes[start : start + CHANGES_PER_PART]
        for start in range(0, len(relay.changes), CHANGES_PER_PART)
    ] or [()]
    return [
        msgspec.structs.replace(
            relay, changes=group, part=number, parts=len(groups)
        )
        for number, group in enumerate(groups)
    ]


class ReaderRole:
    """Decide when this instance reads the store itself."""

    def __init__(
        self, instance: ids.InstanceId, period_s: float, rng: random.Random
    ) -> None:
        self._instance = instance
        self._period_s = period_s
        self._rng = rng
        self._due_at = 0.0
        # When a reader with a smaller id was last heard.
        self._yielded_at = -1.0
        # Whether this instance has read or has heard of others.
        self._is_settled = False
        self.is_reader = False
        self._last_reader_read_at = -RECENT_READ_S

    def has_read_lately(self, now: float) -> bool:
        """Tell whether others may still wait for this reader."""
        return (
            self.is_reader or now - self._last_reader_read_at < RECENT_READ_S
        )

    def wait_s(self, now: float) -> float:
        """Return seconds until the next read of its own."""
        return max(0.0, self._due_at - now)

    def record_read(self, started_at: float) -> None:
        """Record a read that the store answered.

        A read waits for changes; who heard a smaller reader meanwhile does
        not go on reading after it.
        """
        self._is_settled = True
        if self._yielded_at >= started_at:
            return
        self.is_reader = True
        self._last_reader_read_at = started_at
        self._due_at = started_at + self._period_s

    def record_list(self, now: float) -> None:
        """Record a complete list, which the start of an instance takes."""
        if not self.is_reader:
            self._due_at = max(self._due_at, now + START_READ_DELAY_S)

    def record_peer(self, now: float) -> None:
        """Record word of an instance beside this one.

        Load: all instances start at once; the first whose wait ends reads
        for the others.
        """
        if not self._is_settled:
            self._is_settled = True
            wait_s = self._rng.uniform(START_READ_MIN_S, START_READ_MAX_S)
            self._due_at = max(self._due_at, now + wait_s)

    def record_failure(self, now: float) -> None:
        """Record a read without an answer.

        A reader tries once more soon: its connection may have been the
        cause. Then others, whom the store may serve, get their turn.
        """
        if self.is_reader:
            wait_s = READER_RETRY_S
        else:
            wait_s = self._rng.uniform(OUTAGE_RETRY_MIN_S, OUTAGE_RETRY_MAX_S)
        self.is_reader = False
        self._due_at = now + wait_s

    def record_relay(self, sender: ids.InstanceId, now: float) -> None:
        """Record fresh word of another reader."""
        self._is_settled = True
        if self.is_reader and self._instance < sender:
            return
        self.is_reader = False
        if sender < self._instance:
            self._yielded_at = now
        wait_s = self._rng.uniform(TAKEOVER_MIN_S, TAKEOVER_MAX_S)
        self._due_at = max(self._due_at, now + wait_s)

    def read_soon(self, now: float) -> None:
        """Make a read due: something is missing, maybe for all neighbours."""
        wait_s = self._rng.uniform(0.0, GAP_READ_MAX_S)
        self._due_at = min(self._due_at, now + wait_s)


class RelayLog:
    """Keep the last updates for relays that overlap."""

    def __init__(self) -> None:
        self._updates: list[tuple[int, registry.TargetUpdate]] = []
        self._last_list: registry.TargetUpdate | None = None

    def add(self, after: int, update: registry.TargetUpdate) -> None:
        """Record what a read after a revision brought."""
        if self._updates and self._updates[-1][1].revision != after:
            self._updates.clear()
        self._updates.append((after, update))
        del self._updates[:-MAX_REPEATED_UPDATES]
        while len(self._updates) > 1 and (
            sum(len(update.changes) for _, update in self._updates)
            > MAX_REPEATED_CHANGES
        ):
            del self._updates[0]

    def replace(self, update: registry.TargetUpdate) -> None:
        """Record that a complete list was read."""
        self._updates.clear()
        self._last_list = update

    def relay(
        self,
        sender: ids.InstanceId,
        settings_revision: int,
    ) -> Relay | None:
        """Return the newest relay."""
        if not self._updates:
            return self._relay_list(sender, settings_revision)
        after = self._updates[0][0]
        last = self._updates[-1][1]
        if len(last.changes) > MAX_RELAYED_CHANGES:
            return Relay(
                sender=sender,
                after=last.revision,
                upto=last.revision,
                store_ms=last.store_ms,
                changes=(),
                settings_revision=settings_revision,
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
            settings_revision=settings_revision,
        )

    def _relay_list(
        self, sender: ids.InstanceId, settings_revision: int
    ) -> Relay | None:
        found = self._last_list
        if found is None or len(found.changes) > MAX_RELAYED_CHANGES:
            return None
        return Relay(
            sender=sender,
            after=found.revision,
            upto=found.revision,
            store_ms=found.store_ms,
            changes=found.changes,
            settings_revision=settings_revision,
            complete=True,
        )


class StoreClock:
    """Tell how old a relay is, by the store's clock.

    Datagrams that waited while this process stood still look new by their
    arrival alone.
    """

    def __init__(self) -> None:
        self._offset_s: float | None = None

    def record_read(self, store_ms: int, now: float) -> None:
        """Learn the offset from an answer of the store."""
        self._offset_s = store_ms / 1000 - now

    def time_ms(self, now: float) -> float | None:
        """Return the store's time, or ``None`` before the first answer."""
        if self._offset_s is None:
            return None
        return (now + self._offset_s) * 1000

    def is_fresh(self, store_ms: int, now: float) -> bool:
        """Tell whether a relay speaks of the present."""
        if self._offset_s is None:
            return False
        return now + self._offset_s - store_ms / 1000 <= MAX_RELAY_AGE_S
