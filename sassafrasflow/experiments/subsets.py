"""Ways for an instance to follow only a subset of the targets.

A crash of a data centre changes hundreds of entries. Every instance reads
them, although it sends to only a few targets in that time.
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
    instance: str, target_ids: Sequence[str], size: int
) -> frozenset[str]:
    """Choose the first targets by their hash with the instance.

    A change of the fleet changes few members of the subset, but the number
    of instances for each target is random.
    """
    return frozenset(
        sorted(target_ids, key=lambda target: _hash(instance, target))[:size]
    )


def choose_window(
    instance: str,
    instances: Sequence[str],
    target_ids: Sequence[str],
    size: int,
) -> frozenset[str]:
    """Choose a window on the ring of targets, shifted for each instance.

    Every target gets as many instances as every other, or one more. An
    instance or a target that joins or leaves moves the windows behind it.
    """
    ordered = sorted(target_ids, key=lambda target: _hash("ring", target))
    position = sorted(instances).index(instance)
    start = position * len(ordered) // max(1, len(instances))
    return frozenset(
        ordered[(start + step) % len(ordered)]
        for step in range(min(size, len(ordered)))
    )


class ChurnFigures(msgspec.Struct, frozen=True):
    """Hold the size of a fleet and the rate at which its entries change."""

    instances: int = 300
    targets: int = 2999
    data_centres: int = 6
    # A crash changes each entry of this share of the targets twice.
    crash_share: float = 0.15
    crash_every_s: float = 6.0

    @property
    def changes_per_s(self) -> float:
        """Return the changes of all entries per second."""
        return 2 * self.crash_share * self.targets / self.crash_every_s


def encoded_sizes(changes: Sequence[targets.TargetChange]) -> dict[str, float]:
    """Return the bytes of a change, as relayed now and as packed.

    The packed form has entries as columns, so that equal values are
    adjacent.
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
    """Return the bytes per second of a member and a reader of a data centre.

    A reader gets every change once and sends each member the changes of the
    targets that the member follows.
    """
    members = figures.instances / figures.data_centres - 1
    share = 1.0 if subset is None else min(1.0, subset / figures.targets)
    all_bytes_per_s = figures.changes_per_s * change_bytes
    return {
        "member": share * all_bytes_per_s,
        "reader": all_bytes_per_s + share * all_bytes_per_s * members,
    }


def _fields(listed: targets.ListedTarget | None) -> tuple[object, ...]:
    if listed is None:
        return (None,) * len(targets.ListedTarget.__struct_fields__)
    return msgspec.structs.astuple(listed)


def _hash(one: str, other: str) -> bytes:
    return hashlib.blake2b(f"{one}/{other}".encode(), digest_size=8).digest()
