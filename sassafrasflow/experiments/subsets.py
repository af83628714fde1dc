"""Ways for an instance to follow a part of the targets only.

Load: a crash of a data centre changes hundreds of entries, which every
instance reads although it sends to a few targets in that time.
"""

from collections.abc import Sequence
import hashlib
import zlib

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import relay
from sassafrasflow.gateway import targets

__all__ = [
    "ChurnFigures",
    "bytes_per_s",
    "choose_by_hash",
    "choose_window",
    "encoded_sizes",
]


def choose_by_hash(
    instance: str, found: Sequence[str], size: int
) -> frozenset[str]:
    """Return the targets whose hash with the instance is the highest.

    A change of the fleet moves few members; how many instances a target
    gets is left to chance.
    """
    return frozenset(
        sorted(found, key=lambda target: _hash(instance, target))[:size]
    )


def choose_window(
    instance: str, instances: Sequence[str], found: Sequence[str], size: int
) -> frozenset[str]:
    """Return a window of the targets, one after another for the instances.

    Every target gets as many instances as every other, or one more; a
    change of the fleet moves the windows of those behind it.
    """
    ordered = sorted(found, key=lambda target: _hash("ring", target))
    position = sorted(instances).index(instance)
    start = position * len(ordered) // max(1, len(instances))
    return frozenset(
        ordered[(start + step) % len(ordered)]
        for step in range(min(size, len(ordered)))
    )


class ChurnFigures(msgspec.Struct, frozen=True):
    """Hold the size of a fleet and how often its entries change."""

    instances: int = 300
    targets: int = 2999
    data_centres: int = 6
    # A crash changes each entry of this share twice.
    crash_share: float = 0.15
    crash_every_s: float = 6.0

    @property
    def changes_per_s(self) -> float:
        """Return changes of all entries a second."""
        return 2 * self.crash_share * self.targets / self.crash_every_s


def encoded_sizes(changes: Sequence[targets.TargetChange]) -> dict[str, float]:
    """Return bytes of a change in each form: as relayed now, and packed.

    Packed: entries as columns, so that equal values stand side by side.
    """
    sent = relay.Relay(
        ids.InstanceId("entry-0"), 0, len(changes), 0, tuple(changes), 0
    )
    columns = list(
        zip(
            *(
                (change.id, change.revision, *_fields(change.listed))
                for change in changes
            ),
            strict=True,
        )
    )
    packed = zlib.compress(msgspec.msgpack.encode(columns))
    count = len(changes)
    return {
        "relayed": len(msgspec.msgpack.encode(sent)) / count,
        "packed": len(packed) / count,
    }


def bytes_per_s(
    figures: ChurnFigures, change_bytes: float, subset: int | None = None
) -> dict[str, float]:
    """Return what a member and a reader of a data centre carry.

    A reader gets every change once and sends each member those that it
    follows.
    """
    members = figures.instances / figures.data_centres - 1
    share = 1.0 if subset is None else min(1.0, subset / figures.targets)
    every = figures.changes_per_s * change_bytes
    return {"member": share * every, "reader": every + share * every * members}


def _fields(listed: targets.ListedTarget | None) -> tuple[object, ...]:
    if listed is None:
        return (None,) * len(targets.ListedTarget.__struct_fields__)
    return msgspec.structs.astuple(listed)


def _hash(one: str, other: str) -> bytes:
    return hashlib.blake2b(f"{one}/{other}".encode(), digest_size=8).digest()
