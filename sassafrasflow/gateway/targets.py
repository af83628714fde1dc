"""Targets that an instance knows, and what it believes of each."""

from collections.abc import Callable
from collections.abc import Iterable
import enum

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import availability

__all__ = [
    "Directory",
    "Health",
    "ListedState",
    "ListedTarget",
    "Target",
    "TargetChange",
]

# A lapsed entry is written again about 2 s after the store has returned.
RELIST_GRACE_S = 2.3
# Restarting engines answer again 1.2 s after a crash, most under a new id.
LOST_HOLD_S = 1.5
# The entry of a dead target is removed after three missed heartbeats of
# 1.2 s; one that is still listed after this was not dead.
DOUBTFUL_AFTER_LOSS_S = 4.5
# Starts of targets that said they leave. An entry may lapse and be written
# again before the target is gone.
MAX_LEAVING_INCARNATIONS = 1000
# Failures within FAILURE_WINDOW_S that make a target a last resort.
FAILURE_THRESHOLD = 3
FAILURE_WINDOW_S = 4.0


class ListedState(enum.Enum):
    """Tell what a target says of itself."""

    READY = "ready"
    LEAVING = "leaving"


class ListedTarget(msgspec.Struct, frozen=True, array_like=True):
    """Describe one start of a target."""

    id: ids.TargetId
    service: ids.ServiceName
    host: str
    port: int
    data_centre: ids.DataCentre
    slots: int
    state: ListedState = ListedState.READY
    version: ids.VersionId = ids.VersionId("")
    # Differs between two starts under one id.
    started_ms: int = 0
    # How much longer the target is slow after its start.
    warming_ms: float = 0.0


class TargetChange(msgspec.Struct, frozen=True, array_like=True):
    """Tell a target's new entry, or ``None`` after its removal."""

    id: ids.TargetId
    revision: int
    listed: ListedTarget | None


class Health(enum.IntEnum):
    """Order targets by how willing one is to use them."""

    GOOD = 0
    DOUBTFUL = 1
    LOST = 2


class Target:
    """Hold the beliefs about one target."""

    def __init__(self, listed: ListedTarget, revision: int) -> None:
        self.listed = listed
        self.revision = revision
        # Requests of this instance that the target works on.
        self.in_flight = 0
        # Of these, streams that have shown no event yet.
        self.prefills = 0
        # Streams elsewhere whose memory is copied to this target.
        self.copies = 0
        # Requests of other instances, as last heard.
        self.peer_load = 0.0
        self.lost_at: float | None = None
        # Until then it is slow after its start.
        self.warm_at = 0.0
        # When an answer last showed it alive.
        self.confirmed_at: float | None = None
        # Its entry is gone, or its address belongs to another start.
        self.ended = False
        # What its own answers say.
        self.availability = availability.Availability()
        self._failures: list[float] = []

    @property
    def id(self) -> ids.TargetId:
        return self.listed.id

    def record_loss(self, now: float) -> None:
        """Record that the target was found dead or silent."""
        self.lost_at = now

    def record_failure(self, now: float) -> None:
        """Record an answer that failed or never came."""
        recent = [at for at in self._failures if now - at < FAILURE_WINDOW_S]
        self._failures = [*recent, now]

    def record_success(self, now: float) -> None:
        """Record a complete answer, newer than any loss."""
        self.lost_at = None
        self.confirmed_at = now
        self._failures.clear()

    def health(self, now: float) -> Health:
        """Tell whether to use the target, at a time."""
        lost_s = (
            DOUBTFUL_AFTER_LOSS_S
            if self.lost_at is None
            else now - self.lost_at
        )
        if lost_s < LOST_HOLD_S:
            return Health.LOST
        if lost_s < DOUBTFUL_AFTER_LOSS_S:
            return Health.DOUBTFUL
        recent = [at for at in self._failures if now - at < FAILURE_WINDOW_S]
        if len(recent) >= FAILURE_THRESHOLD:
            return Health.DOUBTFUL
        return Health.GOOD


class Directory:
    """Keep the newest entry of every target.

    Entries that disappear right after the store has come back are used for
    as long as their targets may still write them again.
    """

    def __init__(self) -> None:
        self._target_by_id: dict[ids.TargetId, Target] = {}
        self._target_by_address: dict[tuple[str, int], Target] = {}
        self._revision_by_id: dict[ids.TargetId, int] = {}
        self._missing_until: dict[ids.TargetId, float] = {}
        # Starts of targets that said they leave, the oldest first.
        self._leaving_incarnations: dict[tuple[ids.TargetId, int], None] = {}
        # Targets that no entry names, adopted while the store was away.
        self._unlisted: set[ids.TargetId] = set()
        self._store_restored_at: float | None = None
        self.revision = 0
        self.is_loaded = False
        # Called with each start of a target that the list shows to be over.
        self.on_ended: Callable[[Target], None] = lambda target: None

    def __len__(self) -> int:
        return len(self._target_by_id)

    def get(self, target: ids.TargetId) -> Target | None:
        """Return a target by id."""
        return self._target_by_id.get(target)

    def record_store_restored(self, now: float) -> None:
        """Record that the store answers again after an outage."""
        self._store_restored_at = now
        for target in self._unlisted:
            self._missing_until.setdefault(target, now + RELIST_GRACE_S)

    def add_unlisted(
        self, listed: ListedTarget, predecessor: ids.TargetId
    ) -> Target:
        """Use a restarted target until the store can list it."""
        known = self._target_by_id.get(listed.id)
        before = self._target_by_id.pop(predecessor, None)
        if before is not None:
            self._mark_ended(before)
        if known is None:
            known = self._target_by_id[listed.id] = Target(listed, -1)
            self._target_by_address[listed.host, listed.port] = known
            self._unlisted.add(listed.id)
        return known

    def record_leaving(
        self, target_id: ids.TargetId, started_ms: int
    ) -> Target | None:
        """Remember that a start of a target leaves; return it if known."""
        self._leaving_incarnations[target_id, started_ms] = None
        while len(self._leaving_incarnations) > MAX_LEAVING_INCARNATIONS:
            del self._leaving_incarnations[
                next(iter(self._leaving_incarnations))
            ]
        known = self._target_by_id.get(target_id)
        if known is None or known.listed.started_ms != started_ms:
            return None
        return known

    def apply(
        self, changes: Iterable[TargetChange], now: float
    ) -> list[TargetChange]:
        """Apply changes and return those that said something new."""
        altered = []
        for change in changes:
            if change.revision <= self._revision_by_id.get(change.id, -1):
                continue
            self._revision_by_id[change.id] = change.revision
            if self._apply_change(change, now):
                altered.append(change)
        return altered

    def replace(
        self, entries: Iterable[TargetChange], revision: int, now: float
    ) -> list[TargetChange]:
        """Apply a complete list: what is missing has been removed."""
        entries = list(entries)
        present = {entry.id for entry in entries}
        gone = [
            TargetChange(target, revision, None)
            for target in self._target_by_id
            if target not in present
        ]
        self.is_loaded = True
        return self.apply([*entries, *gone], now)

    def next_expiry(self) -> float | None:
        """Return when the next vanished target is dropped."""
        return min(self._missing_until.values(), default=None)

    def expire(self, now: float) -> list[ids.TargetId]:
        """Drop vanished targets that were not listed again in time."""
        due = [key for key, at in self._missing_until.items() if now >= at]
        for key in due:
            del self._missing_until[key]
            self._unlisted.discard(key)
            known = self._target_by_id.pop(key, None)
            if known is not None:
                self._mark_ended(known)
        return due

    def usable(self, service: ids.ServiceName) -> list[Target]:
        """Return the targets of a service that may get new work."""
        return [
            target
            for target in self._target_by_id.values()
            if target.listed.service == service
            and target.listed.state is ListedState.READY
        ]

    def targets(self) -> list[Target]:
        """Return every known target."""
        return list(self._target_by_id.values())

    def _apply_change(self, change: TargetChange, now: float) -> bool:
        known = self._target_by_id.get(change.id)
        if change.listed is None:
            return self._remove(change, known, now)
        self._missing_until.pop(change.id, None)
        adopted = change.id in self._unlisted
        self._unlisted.discard(change.id)
        restarted = (
            known is not None
            and not adopted
            and (known.listed.started_ms != change.listed.started_ms)
        )
        if known is None or restarted:
            if known is not None:
                self._mark_ended(known)
            known = Target(change.listed, change.revision)
            known.warm_at = now + change.listed.warming_ms / 1000
            if (
                change.id,
                change.listed.started_ms,
            ) in self._leaving_incarnations:
                known.availability.record_leaving()
            self._target_by_id[change.id] = known
            self._claim_address(known)
            return True
        altered = known.listed != change.listed
        if altered:
            self._release_address(known)
        known.listed = change.listed
        known.revision = change.revision
        if altered:
            self._claim_address(known)
        return altered

    def _claim_address(self, target: Target) -> None:
        """Note which start an address belongs to, the last that was listed.

        The entry of a dead one stays for a while, and a complete list may
        name it after its successor.
        """
        address = target.listed.host, target.listed.port
        holder = self._target_by_address.get(address)
        newest = target
        if holder is not None and holder.revision > target.revision:
            newest = holder
        self._target_by_address[address] = newest
        for each in (holder, target):
            if each is not None and each is not newest:
                self._mark_ended(each)

    def _release_address(self, target: Target) -> None:
        address = target.listed.host, target.listed.port
        if self._target_by_address.get(address) is target:
            del self._target_by_address[address]

    def _mark_ended(self, target: Target) -> None:
        self._release_address(target)
        if not target.ended:
            target.ended = True
            self.on_ended(target)

    def _remove(
        self, change: TargetChange, known: Target | None, now: float
    ) -> bool:
        if known is None or change.id in self._missing_until:
            return False
        restored = self._store_restored_at
        if restored is not None and now < restored + RELIST_GRACE_S:
            self._missing_until[change.id] = restored + RELIST_GRACE_S
        else:
            del self._target_by_id[change.id]
            self._mark_ended(known)
        return True
