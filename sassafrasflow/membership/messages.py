"""Messages that instances exchange to share state.

One :class:`Gossip` structure serves every exchange; a part that has nothing
to say stays empty. :mod:`sassafrasflow.membership.codec` puts it on the
wire.
"""

import enum

import msgspec

from sassafrasflow import ids
from sassafrasflow.membership import shared
from sassafrasflow.membership import view

__all__ = [
    "Gossip",
    "KnownVersion",
    "Outgoing",
    "Purpose",
    "content_size",
    "entry_size",
]

ENTRY_BYTES = 32
SENDER_BYTES = 96
VERSION_BYTES = 20
BUCKET_BYTES = 4
HASH_BYTES = 8


class Purpose(enum.Enum):
    """Name what a message is sent for; bytes are counted by purpose."""

    PROBE = "probe"
    INDIRECT = "indirect"
    RUMOUR = "rumour"
    REMOTE = "remote"
    SYNC = "sync"
    JOIN = "join"


class KnownVersion(msgspec.Struct, frozen=True):
    """Tell which version of an entry the sender holds."""

    key_hash: int
    version: int
    fingerprint: int


class Gossip(msgspec.Struct, frozen=True, kw_only=True):
    """Carry entries, digests and probe results of one sender.

    ``digest`` is zero when no comparison is asked for. ``buckets`` answers
    a digest that differs; ``asked`` and ``versions`` then list what the
    sender holds in the buckets that differ, and ``wanted`` names entries
    by key hash.
    """

    sender: view.Peer
    digest: int = 0
    entries: tuple[shared.Entry, ...] = ()
    buckets: tuple[int, ...] = ()
    asked: tuple[int, ...] = ()
    versions: tuple[KnownVersion, ...] = ()
    wanted: tuple[int, ...] = ()
    probe: ids.InstanceId | None = None
    confirmed: tuple[ids.InstanceId, ...] = ()


class Outgoing(msgspec.Struct, frozen=True):
    """Name one message to send; ``instance`` is empty for a bare address."""

    address: str
    instance: ids.InstanceId | None
    purpose: Purpose
    message: Gossip
    cross_region: bool = False


def entry_size(entry: shared.Entry) -> int:
    """Estimate the bytes that an entry takes in a message."""
    content = len(entry.key) + len(entry.origin) + len(entry.value)
    return ENTRY_BYTES + content


def content_size(message: Gossip) -> int:
    """Estimate the bytes of what a message carries besides its sender."""
    return (
        sum(entry_size(entry) for entry in message.entries)
        + VERSION_BYTES * len(message.versions)
        + BUCKET_BYTES * len(message.buckets)
        + HASH_BYTES * len(message.wanted)
    )
