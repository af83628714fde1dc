"""Shared state: small versioned entries that reach every instance.

Publish and subscribe through :class:`SharedState`. An entry with a higher
version replaces one with a lower version, whatever the order of arrival.
"""

from abc import ABC
from abc import abstractmethod
from collections.abc import Callable
import enum

import msgspec

from sassafrasflow import clocks
from sassafrasflow import ids

__all__ = [
    "Entry",
    "LocalSharedState",
    "SharedState",
    "Subscriber",
    "Topic",
]


class Topic(enum.Enum):
    """Subject of an entry."""

    CONFIGURATION = "configuration"
    LEAVING = "leaving"
    EVIDENCE = "evidence"
    BLOCK = "block"
    POISON = "poison"
    DEMAND = "demand"
    OVERLOAD = "overload"
    MEMBER = "member"
    BEAT = "beat"


class Entry(msgspec.Struct, frozen=True):
    """One entry; ``(version, origin)`` orders the entries of a key."""

    topic: Topic
    key: str
    version: int
    origin: ids.InstanceId
    value: bytes
    ttl_ms: int


Subscriber = Callable[[Entry], None]


class SharedState(ABC):
    """Publish entries to all instances and receive those of the others."""

    @abstractmethod
    def publish(
        self,
        topic: Topic,
        key: str,
        value: bytes,
        *,
        version: int,
        ttl_ms: int,
    ) -> None:
        """Share an entry; ignored if a higher or equal version is stored."""

    @abstractmethod
    def subscribe(self, topic: Topic, subscriber: Subscriber) -> None:
        """Call ``subscriber`` for each new entry of a topic."""

    @abstractmethod
    def entries(self, topic: Topic) -> list[Entry]:
        """Return the entries of a topic that have not expired."""


class LocalSharedState(SharedState):
    """Share entries with the subscribers of this instance only."""

    def __init__(self, instance: ids.InstanceId, clock: clocks.Clock) -> None:
        self._instance = instance
        self._clock = clock
        self._entries: dict[tuple[Topic, str], tuple[Entry, float]] = {}
        self._subscribers: dict[Topic, list[Subscriber]] = {}

    def publish(
        self,
        topic: Topic,
        key: str,
        value: bytes,
        *,
        version: int,
        ttl_ms: int,
    ) -> None:
        stored = self._entries.get((topic, key))
        if stored is not None and stored[0].version >= version:
            return
        entry = Entry(topic, key, version, self._instance, value, ttl_ms)
        expires_at = self._clock.monotonic() + ttl_ms / 1000
        self._entries[(topic, key)] = (entry, expires_at)
        for subscriber in self._subscribers.get(topic, []):
            subscriber(entry)

    def subscribe(self, topic: Topic, subscriber: Subscriber) -> None:
        self._subscribers.setdefault(topic, []).append(subscriber)

    def entries(self, topic: Topic) -> list[Entry]:
        now = self._clock.monotonic()
        return [
            entry
            for entry, expires_at in self._entries.values()
            if entry.topic is topic and expires_at > now
        ]
