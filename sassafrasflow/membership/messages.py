"""Messages that instances exchange to share state.

Every exchange uses the structure :class:`Gossip`, whose unused fields stay
empty. :mod:`sassafrasflow.membership.codec` encodes it.
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
    """Purpose of a message; bytes are counted by purpose."""

    PROBE = "probe"
    INDIRECT = "indirect"
    RUMOUR = "rumour"
    REMOTE = "remote"
    SYNC = "sync"
    JOIN = "join"


class KnownVersion(msgspec.Struct, frozen=True):
    """Version of one entry in the table of the sender."""

    key_hash: int
    version: int
    fingerprint: int


class Gossip(msgspec.Struct, frozen=True, kw_only=True):
    """Entries, digests and probe results of one sender.

    ``digest`` is 0 if no comparison is requested. ``buckets`` answers a
    digest that differs. ``asked`` then has the numbers of the buckets that
    differ and ``versions`` the sender's versions in them. ``wanted`` requests
    entries by key hash. ``probe`` requests an indirect probe of an instance,
    and ``confirmed`` names the instances that answered one.
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
    """Message to send.

    ``instance`` is ``None`` if the message goes to whichever instance has the
    address. ``cross_region`` marks a message to another region.
    """

    address: str
    instance: ids.InstanceId | None
    purpose: Purpose
    message: Gossip
    cross_region: bool = False


def entry_size(entry: shared.Entry) -> int:
    """Estimate the bytes of an entry in a message."""
    content = len(entry.key) + len(entry.origin) + len(entry.value)
    return ENTRY_BYTES + content


def content_size(message: Gossip) -> int:
    """Estimate the bytes of a message without its sender."""
    return (
        sum(entry_size(entry) for entry in message.entries)
        + VERSION_BYTES * len(message.versions)
        + BUCKET_BYTES * len(message.buckets)
        + HASH_BYTES * len(message.wanted)
    )
