"""Rumours: entries that were learned lately and are passed on a few times.

Urgent ones are sent soon after they were learned, the others ride on
messages that are sent anyway.
"""

from collections.abc import Iterable

from sassafrasflow.membership import messages
from sassafrasflow.membership import shared

__all__ = ["LAZY_TOPICS", "RumourQueue", "fit"]

LAZY_TOPICS = frozenset(
    {shared.Topic.BEAT, shared.Topic.DEMAND, shared.Topic.OVERLOAD}
)

Key = tuple[shared.Topic, str]


class RumourQueue:
    """Count how often each rumour is still to be passed on."""

    def __init__(self) -> None:
        self._rounds_left: dict[Key, int] = {}

    def __bool__(self) -> bool:
        return bool(self._rounds_left)

    def add(self, entry: shared.Entry, rounds: int) -> None:
        """Begin to pass an entry on."""
        self._rounds_left[(entry.topic, entry.key)] = rounds

    def keys(self) -> list[Key]:
        """Return what is to be passed on, most important topic first."""
        return sorted(
            self._rounds_left, key=lambda key: _RANK_BY_TOPIC[key[0]]
        )

    def record_sent(self, entries: Iterable[shared.Entry]) -> None:
        """Count one round for each entry."""
        for entry in entries:
            key = (entry.topic, entry.key)
            if key not in self._rounds_left:
                continue
            self._rounds_left[key] -= 1
            if self._rounds_left[key] <= 0:
                del self._rounds_left[key]

    def clear(self) -> None:
        """Stop passing everything on."""
        self._rounds_left.clear()

    def drop(self, key: Key) -> None:
        """Stop passing an entry on."""
        self._rounds_left.pop(key, None)


# A beat is one small entry a data centre; evidence and demand are large.
_TOPICS_BY_IMPORTANCE = (
    shared.Topic.BEAT,
    shared.Topic.CONFIGURATION,
    shared.Topic.BLOCK,
    shared.Topic.LEAVING,
    shared.Topic.POISON,
    shared.Topic.MEMBER,
    shared.Topic.EVIDENCE,
    shared.Topic.OVERLOAD,
    shared.Topic.DEMAND,
)
_RANK_BY_TOPIC = {
    topic: number for number, topic in enumerate(_TOPICS_BY_IMPORTANCE)
}


def fit(
    entries: Iterable[shared.Entry], max_bytes: int
) -> tuple[shared.Entry, ...]:
    """Return the first entries that fit; one may exceed what is left."""
    if max_bytes <= 0:
        return ()
    taken: list[shared.Entry] = []
    size = 0
    for entry in entries:
        size += messages.entry_size(entry)
        if taken and size > max_bytes:
            break
        taken.append(entry)
    return tuple(taken)
