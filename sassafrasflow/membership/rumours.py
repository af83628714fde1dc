"""Rumours: new entries that are passed on for a few rounds.

Urgent entries are sent soon after they arrived. Entries of the lazy topics
are piggybacked on messages that are sent anyway.
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
    """Rumours, and the number of rounds in which each is still sent."""

    def __init__(self) -> None:
        self._rounds_left: dict[Key, int] = {}

    def __bool__(self) -> bool:
        return bool(self._rounds_left)

    def add(self, entry: shared.Entry, rounds: int) -> None:
        """Queue an entry for a number of rounds."""
        self._rounds_left[(entry.topic, entry.key)] = rounds

    def keys(self) -> list[Key]:
        """Return the queued keys, the most important topic first."""
        return sorted(
            self._rounds_left, key=lambda key: _RANK_BY_TOPIC[key[0]]
        )

    def record_sent(self, entries: Iterable[shared.Entry]) -> None:
        """Count one round of each entry; drop those without further rounds."""
        for entry in entries:
            key = (entry.topic, entry.key)
            if key not in self._rounds_left:
                continue
            self._rounds_left[key] -= 1
            if self._rounds_left[key] <= 0:
                del self._rounds_left[key]

    def clear(self) -> None:
        """Drop all rumours."""
        self._rounds_left.clear()

    def drop(self, key: Key) -> None:
        """Drop a rumour."""
        self._rounds_left.pop(key, None)


# Beats come first, because there is only one small entry for each data centre.
# Evidence and demand are large.
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
    """Return the first entries that fit; the very first may exceed the limit.

    Nothing is returned if the limit is not positive.
    """
    if max_bytes <= 0:
        return ()
    fitting: list[shared.Entry] = []
    size = 0
    for entry in entries:
        size += messages.entry_size(entry)
        if fitting and size > max_bytes:
            break
        fitting.append(entry)
    return tuple(fitting)
