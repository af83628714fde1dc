"""Table of shared entries whose merge does not depend on the order.

Of two entries of a key the one with the higher ``(version, origin, value)``
wins; if these are equal, the earlier expiry applies. After an entry has
expired, its ``(version, origin, value)`` is kept as a floor for a while, so
that a late copy of the entry is not merged as a new one.
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

BUCKET_COUNT = 64
BUCKET_MASK = 0xFFFFFFFF
DIGEST_BITS = 64
MS_PER_S = 1_000

# Left out of digests: their origin replaces these entries before a comparison
# would find a difference.
UNCOMPARED_TOPICS = frozenset(
    {shared.Topic.BEAT, shared.Topic.DEMAND, shared.Topic.OVERLOAD}
)

Key = tuple[shared.Topic, str]
Order = tuple[int, str, bytes]


class Limits(msgspec.Struct, frozen=True):
    """Limits of each topic and each value, and how long floors are kept."""

    max_entries: int = 8_192
    max_value_bytes: int = 4_096
    floor_ms: int = 600_000


class AgeClock:
    """Measure elapsed seconds, including those of a suspended machine.

    The monotonic clock stops while a virtual machine is suspended, and the
    wall clock can be set. Each step is therefore the larger step of the two
    clocks.
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


class _StoredEntry(msgspec.Struct):
    entry: shared.Entry
    expires_at: float
    key_hash: int
    fingerprint: int


class _Floor(msgspec.Struct, frozen=True):
    order: Order
    until: float


class EntryTable:
    """Store the winning entry of every key."""

    def __init__(self, limits: Limits, clock: clocks.Clock) -> None:
        self._limits = limits
        self._age = AgeClock(clock)
        self._stored_by_topic: dict[shared.Topic, dict[str, _StoredEntry]] = {
            topic: {} for topic in shared.Topic
        }
        self._by_bucket: list[dict[int, _StoredEntry]] = [
            {} for _ in range(BUCKET_COUNT)
        ]
        self._bucket_sums = [0] * BUCKET_COUNT
        self._floors: dict[Key, _Floor] = {}
        self._expired: list[Key] = []
        self._heap: list[tuple[float, int, str]] = []

    def __len__(self) -> int:
        return sum(len(stored) for stored in self._stored_by_topic.values())

    def merge(self, entry: shared.Entry) -> bool:
        """Merge an entry; return whether it is new and was stored."""
        now = self.expire()
        if len(entry.value) > self._limits.max_value_bytes:
            return False
        if entry.ttl_ms <= 0 or self._is_below_floor(entry):
            return False
        expires_at = now + entry.ttl_ms / 1000
        current = self._stored_by_topic[entry.topic].get(entry.key)
        if current is None or order_of(entry) > order_of(current.entry):
            return self._put(entry, expires_at)
        if order_of(entry) == order_of(current.entry):
            self._shorten_ttl(current, expires_at)
        return False

    def get(self, topic: shared.Topic, key: str) -> shared.Entry | None:
        """Return a live entry with its remaining TTL."""
        now = self.expire()
        stored = self._stored_by_topic[topic].get(key)
        return None if stored is None else _current(stored, now)

    def has(self, topic: shared.Topic, key: str) -> bool:
        """Return whether a key has a live entry."""
        self.expire()
        return key in self._stored_by_topic[topic]

    def pop_expired(self) -> list[Key]:
        """Return the keys whose entries expired since the last call."""
        self.expire()
        expired, self._expired = self._expired, []
        return expired

    def version(self, topic: shared.Topic, key: str) -> int:
        """Return the highest version of a key, stored or as a floor, or 0."""
        stored = self._stored_by_topic[topic].get(key)
        floor = self._floors.get((topic, key))
        return max(
            stored.entry.version if stored else 0,
            floor.order[0] if floor else 0,
        )

    def entries(self, topic: shared.Topic) -> list[shared.Entry]:
        """Return the live entries of a topic."""
        now = self.expire()
        return [
            _current(stored, now)
            for stored in self._stored_by_topic[topic].values()
        ]

    def digest(self) -> int:
        """Return a digest of all entries that are compared; never 0."""
        self.expire()
        content = b"".join(s.to_bytes(8, "big") for s in self._bucket_sums)
        return _hash(content) or 1

    def buckets(self) -> tuple[int, ...]:
        """Return a 32-bit digest of each bucket."""
        return tuple(s & BUCKET_MASK for s in self._bucket_sums)

    def differing_buckets(self, buckets: Iterable[int]) -> list[int]:
        """Return the numbers of the buckets whose digests differ."""
        return [
            number
            for number, (local, peer) in enumerate(
                zip(self.buckets(), buckets, strict=False)
            )
            if local != peer
        ]

    def versions(
        self, numbers: Iterable[int]
    ) -> Iterator[messages.KnownVersion]:
        """Yield the versions stored in some buckets."""
        for number in numbers:
            for stored in self._by_bucket[number % BUCKET_COUNT].values():
                yield messages.KnownVersion(
                    stored.key_hash, stored.entry.version, stored.fingerprint
                )

    def compare(
        self,
        numbers: Iterable[int],
        theirs: Iterable[messages.KnownVersion],
    ) -> tuple[list[shared.Entry], list[int]]:
        """Return the entries to send and the key hashes to request.

        Entries with equal versions and different contents are in both.
        """
        now = self.expire()
        theirs_by_hash = {item.key_hash: item for item in theirs}
        send = []
        for number in numbers:
            for stored in self._by_bucket[number % BUCKET_COUNT].values():
                peer_version = theirs_by_hash.get(stored.key_hash)
                if peer_version is None or _may_win(stored, peer_version):
                    send.append(_current(stored, now))
        wanted = [
            item.key_hash
            for item in theirs_by_hash.values()
            if self._is_wanted(item)
        ]
        return sorted(send, key=_priority), wanted

    def by_hash(self, hashes: Iterable[int]) -> list[shared.Entry]:
        """Return the live entries with the given key hashes."""
        now = self.expire()
        matches = (self._by_bucket[h % BUCKET_COUNT].get(h) for h in hashes)
        return sorted(
            (
                _current(stored, now)
                for stored in matches
                if stored is not None
            ),
            key=_priority,
        )

    def expire(self) -> float:
        """Drop expired entries and floors; return the current age."""
        now = self._age.now()
        while self._heap and self._heap[0][0] <= now:
            _, number, key = heapq.heappop(self._heap)
            self._drop_if_due(_TOPICS[number], key, now)
        return now

    def _drop_if_due(self, topic: shared.Topic, key: str, now: float) -> None:
        stored = self._stored_by_topic[topic].get(key)
        if stored is not None and stored.expires_at <= now:
            self._remove(stored)
            self._expired.append((topic, key))
            until = now + self._limits.floor_ms / 1000
            self._floors[(topic, key)] = _Floor(order_of(stored.entry), until)
            self._push(until, topic, key)
        floor = self._floors.get((topic, key))
        if floor is not None and floor.until <= now:
            del self._floors[(topic, key)]

    def _is_below_floor(self, entry: shared.Entry) -> bool:
        floor = self._floors.get((entry.topic, entry.key))
        return floor is not None and order_of(entry) <= floor.order

    def _put(self, entry: shared.Entry, expires_at: float) -> bool:
        current = self._stored_by_topic[entry.topic].get(entry.key)
        if current is not None:
            self._remove(current)
        stored = _StoredEntry(
            entry, expires_at, _key_hash(entry), _fingerprint(entry)
        )
        self._stored_by_topic[entry.topic][entry.key] = stored
        if entry.topic not in UNCOMPARED_TOPICS:
            number = stored.key_hash % BUCKET_COUNT
            self._by_bucket[number][stored.key_hash] = stored
            self._bucket_sums[number] ^= stored.fingerprint
        self._push(expires_at, entry.topic, entry.key)
        return self._trim(entry)

    def _trim(self, entry: shared.Entry) -> bool:
        # Removing the entry with the highest key hash keeps the same keys at
        # every instance, whatever the order of arrival.
        stored_by_key = self._stored_by_topic[entry.topic]
        if len(stored_by_key) <= self._limits.max_entries:
            return True
        last = max(stored_by_key.values(), key=lambda item: item.key_hash)
        self._remove(last)
        return last.entry is not entry

    def _remove(self, stored: _StoredEntry) -> None:
        del self._stored_by_topic[stored.entry.topic][stored.entry.key]
        if stored.entry.topic not in UNCOMPARED_TOPICS:
            number = stored.key_hash % BUCKET_COUNT
            del self._by_bucket[number][stored.key_hash]
            self._bucket_sums[number] ^= stored.fingerprint

    def _shorten_ttl(self, stored: _StoredEntry, expires_at: float) -> None:
        if expires_at < stored.expires_at:
            stored.expires_at = expires_at
            self._push(expires_at, stored.entry.topic, stored.entry.key)

    def _push(self, at: float, topic: shared.Topic, key: str) -> None:
        heapq.heappush(self._heap, (at, _NUMBER_BY_TOPIC[topic], key))

    def _is_wanted(self, item: messages.KnownVersion) -> bool:
        stored = self._by_bucket[item.key_hash % BUCKET_COUNT].get(
            item.key_hash
        )
        if stored is None:
            return True
        if stored.entry.version != item.version:
            return stored.entry.version < item.version
        return stored.fingerprint != item.fingerprint


_TOPICS = list(shared.Topic)
_NUMBER_BY_TOPIC = {topic: number for number, topic in enumerate(shared.Topic)}


def order_of(entry: shared.Entry) -> Order:
    """Return the sort key that decides between two entries of a key."""
    return (entry.version, entry.origin, entry.value)


def _priority(entry: shared.Entry) -> int:
    return _NUMBER_BY_TOPIC[entry.topic]


def _current(stored: _StoredEntry, now: float) -> shared.Entry:
    entry = stored.entry
    return shared.Entry(
        entry.topic,
        entry.key,
        entry.version,
        entry.origin,
        entry.value,
        max(int((stored.expires_at - now) * MS_PER_S), 0),
    )


def _may_win(
    stored: _StoredEntry, peer_version: messages.KnownVersion
) -> bool:
    if stored.entry.version != peer_version.version:
        return stored.entry.version > peer_version.version
    return stored.fingerprint != peer_version.fingerprint


def _key_hash(entry: shared.Entry) -> int:
    return _hash(f"{entry.topic.value}/{entry.key}".encode())


def _fingerprint(entry: shared.Entry) -> int:
    parts = (entry.topic.value, entry.key, str(entry.version), entry.origin)
    return _hash("\0".join(parts).encode() + b"\0" + entry.value)


def _hash(content: bytes) -> int:
    digest = hashlib.blake2b(content, digest_size=DIGEST_BITS // 8)
    return int.from_bytes(digest.digest(), "big")
