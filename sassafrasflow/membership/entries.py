"""Table of shared entries that merges the same in any order.

Of two entries of a key the one with the higher ``(version, origin,
value)`` wins; between equal ones the earlier expiry wins. An expired entry
leaves its version behind, so that a late copy is not taken for news.
"""

from collections.abc import Iterable
from collections.abc import Iterator
import hashlib
import heapq

import msgspec

from sassafrasflow import clocks
from sassafrasflow.membership import messages
from sassafrasflow.membership import shared

__all__ = ["AgeClock", "EntryTable", "Limits"]

BUCKETS = 64
BUCKET_MASK = 0xFFFFFFFF
DIGEST_BITS = 64
MS_PER_S = 1_000

# Replaced by their origin before a comparison would find them.
UNCOMPARED = frozenset(
    {shared.Topic.BEAT, shared.Topic.DEMAND, shared.Topic.OVERLOAD}
)

Key = tuple[shared.Topic, str]
Order = tuple[int, str, bytes]


class Limits(msgspec.Struct, frozen=True):
    """Bound the entries of a topic and what is kept of expired ones."""

    max_entries: int = 8_192
    max_value_bytes: int = 4_096
    floor_ms: int = 600_000


class AgeClock:
    """Count seconds that passed on either clock, also through a suspend.

    The monotonic clock stands still while a virtual machine is suspended,
    the wall clock can be set; the larger step of the two is taken.
    """

    def __init__(self, clock: clocks.Clock) -> None:
        self._clock = clock
        self._monotonic = clock.monotonic()
        self._wall = clock.wall()
        self._age_s = 0.0

    def now(self) -> float:
        """Return the age in seconds since creation."""
        monotonic = self._clock.monotonic()
        wall = self._clock.wall()
        step_s = monotonic - self._monotonic
        wall_step_s = wall - self._wall
        if wall_step_s > step_s:
            step_s = wall_step_s
        if step_s > 0:
            self._age_s += step_s
        self._monotonic = monotonic
        self._wall = wall
        return self._age_s


class _Held(msgspec.Struct):
    entry: shared.Entry
    expires_at: float
    key_hash: int
    fingerprint: int


class _Floor(msgspec.Struct, frozen=True):
    order: Order
    until: float


class EntryTable:
    """Hold the winning entry of every key."""

    def __init__(self, limits: Limits, clock: clocks.Clock) -> None:
        self._limits = limits
        self._age = AgeClock(clock)
        self._topics: dict[shared.Topic, dict[str, _Held]] = {
            topic: {} for topic in shared.Topic
        }
        self._by_bucket: list[dict[int, _Held]] = [{} for _ in range(BUCKETS)]
        self._sums = [0] * BUCKETS
        self._floors: dict[Key, _Floor] = {}
        self._expired: list[Key] = []
        self._heap: list[tuple[float, int, str]] = []

    def __len__(self) -> int:
        return sum(len(held) for held in self._topics.values())

    def merge(self, entry: shared.Entry) -> bool:
        """Take an entry in and tell whether it is news."""
        now = self.expire()
        if len(entry.value) > self._limits.max_value_bytes:
            return False
        if entry.ttl_ms <= 0 or self._below_floor(entry):
            return False
        expires_at = now + entry.ttl_ms / 1000
        known = self._topics[entry.topic].get(entry.key)
        if known is None or order_of(entry) > order_of(known.entry):
            return self._put(entry, expires_at)
        if order_of(entry) == order_of(known.entry):
            self._shorten(known, expires_at)
        return False

    def get(self, topic: shared.Topic, key: str) -> shared.Entry | None:
        """Return a live entry with the time that it has left."""
        now = self.expire()
        held = self._topics[topic].get(key)
        return None if held is None else _current(held, now)

    def has(self, topic: shared.Topic, key: str) -> bool:
        """Tell whether a key has a live entry."""
        self.expire()
        return key in self._topics[topic]

    def take_expired(self) -> list[Key]:
        """Return the keys whose entries expired since the last time."""
        self.expire()
        expired, self._expired = self._expired, []
        return expired

    def version(self, topic: shared.Topic, key: str) -> int:
        """Return the highest version seen of a key, or zero."""
        held = self._topics[topic].get(key)
        floor = self._floors.get((topic, key))
        return max(
            held.entry.version if held else 0,
            floor.order[0] if floor else 0,
        )

    def entries(self, topic: shared.Topic) -> list[shared.Entry]:
        """Return the live entries of a topic."""
        now = self.expire()
        return [_current(held, now) for held in self._topics[topic].values()]

    def digest(self) -> int:
        """Return a digest of all entries that are compared."""
        self.expire()
        content = b"".join(s.to_bytes(8, "big") for s in self._sums)
        return _hash(content) or 1

    def buckets(self) -> tuple[int, ...]:
        """Return one short digest for each bucket."""
        return tuple(s & BUCKET_MASK for s in self._sums)

    def differing(self, buckets: Iterable[int]) -> list[int]:
        """Return the numbers of the buckets that differ."""
        return [
            number
            for number, (mine, theirs) in enumerate(
                zip(self.buckets(), buckets, strict=False)
            )
            if mine != theirs
        ]

    def versions(
        self, numbers: Iterable[int]
    ) -> Iterator[messages.KnownVersion]:
        """Yield the versions held in some buckets."""
        for number in numbers:
            for held in self._by_bucket[number % BUCKETS].values():
                yield messages.KnownVersion(
                    held.key_hash, held.entry.version, held.fingerprint
                )

    def compare(
        self,
        numbers: Iterable[int],
        theirs: Iterable[messages.KnownVersion],
    ) -> tuple[list[shared.Entry], list[int]]:
        """Return the entries that the other lacks and the hashes to ask for.

        Equal versions with different contents go both ways.
        """
        now = self.expire()
        known = {item.key_hash: item for item in theirs}
        send = []
        for number in numbers:
            for held in self._by_bucket[number % BUCKETS].values():
                other = known.get(held.key_hash)
                if other is None or _may_win(held, other):
                    send.append(_current(held, now))
        want = [item.key_hash for item in known.values() if self._wants(item)]
        return sorted(send, key=_priority), want

    def by_hash(self, hashes: Iterable[int]) -> list[shared.Entry]:
        """Return the live entries with some key hashes."""
        now = self.expire()
        found = (self._by_bucket[h % BUCKETS].get(h) for h in hashes)
        return sorted(
            (_current(held, now) for held in found if held is not None),
            key=_priority,
        )

    def expire(self) -> float:
        """Drop entries and floors whose time is up; return the time."""
        now = self._age.now()
        while self._heap and self._heap[0][0] <= now:
            _, number, key = heapq.heappop(self._heap)
            self._drop_if_due(_TOPICS[number], key, now)
        return now

    def _drop_if_due(self, topic: shared.Topic, key: str, now: float) -> None:
        held = self._topics[topic].get(key)
        if held is not None and held.expires_at <= now:
            self._remove(held)
            self._expired.append((topic, key))
            until = now + self._limits.floor_ms / 1000
            self._floors[(topic, key)] = _Floor(order_of(held.entry), until)
            self._push(until, topic, key)
        floor = self._floors.get((topic, key))
        if floor is not None and floor.until <= now:
            del self._floors[(topic, key)]

    def _below_floor(self, entry: shared.Entry) -> bool:
        floor = self._floors.get((entry.topic, entry.key))
        return floor is not None and order_of(entry) <= floor.order

    def _put(self, entry: shared.Entry, expires_at: float) -> bool:
        known = self._topics[entry.topic].get(entry.key)
        if known is not None:
            self._remove(known)
        held = _Held(entry, expires_at, _key_hash(entry), _fingerprint(entry))
        self._topics[entry.topic][entry.key] = held
        if entry.topic not in UNCOMPARED:
            number = held.key_hash % BUCKETS
            self._by_bucket[number][held.key_hash] = held
            self._sums[number] ^= held.fingerprint
        self._push(expires_at, entry.topic, entry.key)
        return self._trim(entry)

    def _trim(self, entry: shared.Entry) -> bool:
        # The same keys survive everywhere, whatever the order of arrival.
        held = self._topics[entry.topic]
        if len(held) <= self._limits.max_entries:
            return True
        last = max(held.values(), key=lambda item: item.key_hash)
        self._remove(last)
        return last.entry is not entry

    def _remove(self, held: _Held) -> None:
        del self._topics[held.entry.topic][held.entry.key]
        if held.entry.topic not in UNCOMPARED:
            number = held.key_hash % BUCKETS
            del self._by_bucket[number][held.key_hash]
            self._sums[number] ^= held.fingerprint

    def _shorten(self, held: _Held, expires_at: float) -> None:
        if expires_at < held.expires_at:
            held.expires_at = expires_at
            self._push(expires_at, held.entry.topic, held.entry.key)

    def _push(self, at: float, topic: shared.Topic, key: str) -> None:
        heapq.heappush(self._heap, (at, _NUMBERS[topic], key))

    def _wants(self, item: messages.KnownVersion) -> bool:
        held = self._by_bucket[item.key_hash % BUCKETS].get(item.key_hash)
        if held is None:
            return True
        if held.entry.version != item.version:
            return held.entry.version < item.version
        return held.fingerprint != item.fingerprint


_TOPICS = list(shared.Topic)
_NUMBERS = {topic: number for number, topic in enumerate(shared.Topic)}


def order_of(entry: shared.Entry) -> Order:
    """Return what decides between two entries of a key."""
    return (entry.version, entry.origin, entry.value)


def _priority(entry: shared.Entry) -> int:
    return _NUMBERS[entry.topic]


def _current(held: _Held, now: float) -> shared.Entry:
    entry = held.entry
    return shared.Entry(
        entry.topic,
        entry.key,
        entry.version,
        entry.origin,
        entry.value,
        max(int((held.expires_at - now) * MS_PER_S), 0),
    )


def _may_win(held: _Held, other: messages.KnownVersion) -> bool:
    if held.entry.version != other.version:
        return held.entry.version > other.version
    return held.fingerprint != other.fingerprint


def _key_hash(entry: shared.Entry) -> int:
    return _hash(f"{entry.topic.value}/{entry.key}".encode())


def _fingerprint(entry: shared.Entry) -> int:
    parts = (entry.topic.value, entry.key, str(entry.version), entry.origin)
    return _hash("\0".join(parts).encode() + b"\0" + entry.value)


def _hash(content: bytes) -> int:
    digest = hashlib.blake2b(content, digest_size=DIGEST_BITS // 8)
    return int.from_bytes(digest.digest(), "big")
