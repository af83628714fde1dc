"""Directory of the listed targets and the observed health of each."""

from collections.abc import Callable
from collections.abc import Iterable
import enum
import math

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import availability
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import versions
from sassafrasflow.liveness import evidence

__all__ = [
    "Directory",
    "Health",
    "ListedState",
    "ListedTarget",
    "Target",
    "TargetChange",
]

# A live target rewrites an entry that lapsed during an outage of the store
# about 2 s after the store is back.
RELIST_GRACE_S = 2.3
# A crashed engine restarts and answers again after 1.2 s, usually under a new
# id, so a lost target gets no work for this long.
LOST_HOLD_S = 1.5
# The store removes the entry of a dead target after three missed heartbeats
# of 1.2 s each, so a target that is still listed after this was not dead.
DOUBTFUL_AFTER_LOSS_S = 4.5
# Incarnations that left or were removed and are remembered: the entry of a
# leaving target may lapse and be written again before the target is gone.
MAX_REMEMBERED_INCARNATIONS = 1000
# Entries of a restored store that say less than is known of their targets are
# used only if they are still listed after this, because the store removes
# those of dead targets before.
OUTDATED_HOLD_S = DOUBTFUL_AFTER_LOSS_S
# Targets without entries that are remembered, to recognise their successors.
MAX_REMOVED_TARGETS = 1000
# A target with this many failures within FAILURE_WINDOW_S is used only as a
# last resort.
FAILURE_THRESHOLD = 3
FAILURE_WINDOW_S = 4.0


class ListedState(enum.Enum):
    """State that a target announces in its entry."""

    READY = "ready"
    LEAVING = "leaving"


class ListedTarget(msgspec.Struct, frozen=True, array_like=True):
    """Entry of one incarnation of a target."""

    id: ids.TargetId
    service: ids.ServiceName
    host: decoding.Host
    port: decoding.Port
    data_centre: ids.DataCentre
    slots: decoding.Count
    state: ListedState = ListedState.READY
    version: ids.VersionId = ids.VersionId("")
    # Distinguishes two incarnations of a target under the same id.
    started_ms: decoding.Int = 0
    # Remaining time in which the target is slow because it has just started.
    warming_ms: decoding.Number = 0.0


class TargetChange(msgspec.Struct, frozen=True, array_like=True):
    """New entry of a target, or ``None`` for its removal."""

    id: ids.TargetId
    revision: decoding.Int
    listed: ListedTarget | None


class Health(enum.IntEnum):
    """Health of a target; lower values are preferred."""

    GOOD = 0
    DOUBTFUL = 1
    LOST = 2


class Target:
    """State that this instance keeps about one incarnation of a target."""

    def __init__(
        self,
        listed: ListedTarget,
        revision: int,
        era: ids.StoreEra = versions.UNKNOWN_ERA,
    ) -> None:
        self.listed = listed
        # Store version of the entry.
        self.version = versions.StoreVersion(era, revision)
        # Number of requests that this instance has running at the target.
        self.in_flight = 0
        # Number of these requests that are streams without a first event.
        self.prefills = 0
        # Number of streams that run at another target and whose KV cache is
        # copied to this one.
        self.copies = 0
        # Tokens of the streams and copies of this instance at the target, and
        # of its prompts that the target has not read yet.
        self.used_tokens = 0
        self.prefill_tokens = 0
        # Last reported load that other instances place on the target.
        self.peer_load = 0.0
        # Last reported tokens and streams of other instances, and when they
        # were reported; None if that is not known.
        self.peer_used_tokens = 0
        self.peer_prefill_tokens = 0
        self.peer_streams = 0
        self.peers_known_at: float | None = None
        self.lost_at: float | None = None
        # The target is slow until this time because it has just started.
        self.warm_at = 0.0
        # Time of the last answer that showed the target alive.
        self.confirmed_at: float | None = None
        self.sign_of_life = evidence.SignOfLife()
        # Whether the entry was removed or its address was taken by another
        # incarnation.
        self.ended = False
        # Whether another incarnation has the id or the address. A target whose
        # entry was removed may go on with its runs for many seconds.
        self.replaced = False
        # Whether the target accepts work, according to its own answers.
        self.availability = availability.Availability()
        # Until then the target is a last resort, as its owner was told of many
        # failures.
        self.failing_until = -math.inf
        self._failures: list[float] = []

    @property
    def id(self) -> ids.TargetId:
        return self.listed.id

    def is_same_as(self, other: "Target") -> bool:
        """Return whether both are the same incarnation."""
        return (self.id, self.listed.started_ms) == (
            other.id,
            other.listed.started_ms,
        )

    def record_loss(self, now: float) -> None:
        """Record that the target is lost: dead or unresponsive."""
        self.lost_at = now

    def is_lost_since(self, since: float) -> bool:
        """Return whether the target ended, or was found lost, after a time."""
        return self.replaced or (
            self.lost_at is not None and self.lost_at >= since
        )

    def record_failure(self, now: float) -> None:
        """Record a failed or missing answer."""
        recent = [at for at in self._failures if now - at < FAILURE_WINDOW_S]
        self._failures = [*recent, now]

    def record_success(self, now: float) -> None:
        """Record a complete answer; it clears losses and failures."""
        self.lost_at = None
        self.confirmed_at = now
        self._failures.clear()

    def health(self, now: float) -> Health:
        """Return the health of the target at a time."""
        lost_s = (
            DOUBTFUL_AFTER_LOSS_S
            if self.lost_at is None
            else now - self.lost_at
        )
        if lost_s < LOST_HOLD_S:
            return Health.LOST
        if lost_s < DOUBTFUL_AFTER_LOSS_S:
            return Health.DOUBTFUL
        if now < self.failing_until:
            return Health.DOUBTFUL
        recent = [at for at in self._failures if now - at < FAILURE_WINDOW_S]
        if len(recent) >= FAILURE_THRESHOLD:
            return Health.DOUBTFUL
        return Health.GOOD


class Directory:
    """Newest entry of every target.

    Targets whose entries disappear right after an outage of the store stay
    in use for as long as they may still rewrite their entries.
    """

    def __init__(self) -> None:
        self._target_by_id: dict[ids.TargetId, Target] = {}
        self._target_by_address: dict[tuple[str, int], Target] = {}
        self._revision_by_id: dict[ids.TargetId, int] = {}
        self._missing_until: dict[ids.TargetId, float] = {}
        # Incarnations that announced that they leave, the oldest first.
        self._leaving_incarnations: dict[tuple[ids.TargetId, int], None] = {}
        # Incarnations whose entries were removed, the oldest first.
        self._gone_incarnations: dict[tuple[ids.TargetId, int], None] = {}
        # Outdated entries of a restored store, and until when they are held.
        self._held: dict[ids.TargetId, tuple[TargetChange, float]] = {}
        # Restarted targets that were adopted during an outage of the store
        # and have no entry yet.
        self._unlisted: set[ids.TargetId] = set()
        # Targets whose entries were removed, by id and by address.
        self._removed: dict[ids.TargetId | tuple[str, int], Target] = {}
        self._store_regained_at: float | None = None
        # Era of the revisions of all targets.
        self._era = versions.UNKNOWN_ERA
        # Era of the last complete list.
        self._listed_era = versions.UNKNOWN_ERA
        # Whether a complete list has been applied.
        self.is_loaded = False
        # Called with each incarnation that the list shows to have ended, and
        # once more if it shows the successor only after a removal.
        self.on_ended: Callable[[Target], None] = lambda target: None

    def __len__(self) -> int:
        return len(self._target_by_id)

    def get(self, target: ids.TargetId) -> Target | None:
        """Return the target with an id, or ``None``."""
        return self._target_by_id.get(target)

    def record_store_regained(self, now: float) -> None:
        """Record that the store answers again after an outage."""
        self._store_regained_at = now
        for target in self._unlisted:
            self._missing_until.setdefault(target, now + RELIST_GRACE_S)

    def add_unlisted(
        self, listed: ListedTarget, predecessor: ids.TargetId
    ) -> Target:
        """Add a restarted target that the store does not list yet."""
        target = self._target_by_id.get(listed.id)
        replaced = self._target_by_id.pop(predecessor, None)
        if replaced is not None:
            self._mark_replaced(replaced)
        if target is None:
            target = self._target_by_id[listed.id] = Target(
                listed, -1, self._era
            )
            self._target_by_address[listed.host, listed.port] = target
            self._unlisted.add(listed.id)
        return target

    def record_leaving(
        self, target_id: ids.TargetId, started_ms: int
    ) -> Target | None:
        """Record that an incarnation leaves; return it if it is listed."""
        _remember(self._leaving_incarnations, (target_id, started_ms))
        target = self._target_by_id.get(target_id)
        if target is None or target.listed.started_ms != started_ms:
            return None
        return target

    def apply(
        self, changes: Iterable[TargetChange], now: float
    ) -> list[TargetChange]:
        """Apply changes and return those that altered the directory."""
        altered = []
        for change in changes:
            if change.revision <= self._revision_by_id.get(change.id, -1):
                continue
            self._revision_by_id[change.id] = change.revision
            self._held.pop(change.id, None)
            if self._apply_change(change, now):
                altered.append(change)
        return altered

    def begin_era(self, era: ids.StoreEra) -> None:
        """Forget the revisions of a former era, which are given out again."""
        if era > self._era:
            self._era = era
            self._revision_by_id.clear()

    def replace(
        self,
        entries: Iterable[TargetChange],
        revision: int,
        now: float,
        era: ids.StoreEra = versions.UNKNOWN_ERA,
    ) -> list[TargetChange]:
        """Apply a complete list; targets missing from it were removed."""
        entries = list(entries)
        present = {entry.id for entry in entries}
        self.begin_era(era)
        for target_id in self._held.keys() - present:
            del self._held[target_id]
        if era > self._listed_era:
            self._listed_era = era
            entries = self._hold_outdated(entries, now)
        gone = [
            TargetChange(target, revision, None)
            for target in self._target_by_id
            if target not in present
        ]
        self.is_loaded = True
        return self.apply([*entries, *gone], now)

    def next_expiry(self) -> float | None:
        """Return when the next target without an entry is dropped."""
        return min(self._missing_until.values(), default=None)

    def expire(self, now: float) -> list[ids.TargetId]:
        """Drop targets whose entries were not rewritten in time."""
        due = [key for key, at in self._missing_until.items() if now >= at]
        for key in due:
            del self._missing_until[key]
            self._unlisted.discard(key)
            target = self._target_by_id.pop(key, None)
            if target is not None:
                self._mark_removed(target)
        return due

    def release_held(self, now: float) -> list[TargetChange]:
        """Apply the held entries that no newer one replaced in time."""
        due = [entry for entry, until in self._held.values() if now >= until]
        for entry in due:
            del self._held[entry.id]
        return [entry for entry in due if self._apply_change(entry, now)]

    def usable(self, service: ids.ServiceName) -> list[Target]:
        """Return the targets of a service that are listed as ready."""
        return [
            target
            for target in self._target_by_id.values()
            if target.listed.service == service
            and target.listed.state is ListedState.READY
        ]

    def targets(self) -> list[Target]:
        """Return all targets."""
        return list(self._target_by_id.values())

    def _hold_outdated(
        self, entries: list[TargetChange], now: float
    ) -> list[TargetChange]:
        """Hold entries that the store had replaced before it was restored.

        Their targets have left or are leaving, as this instance has read.
        """
        current = []
        for entry in entries:
            if self._is_outdated(entry):
                self._revision_by_id[entry.id] = entry.revision
                self._held[entry.id] = entry, now + OUTDATED_HOLD_S
            else:
                current.append(entry)
        return current

    def _is_outdated(self, entry: TargetChange) -> bool:
        listed = entry.listed
        if listed is None or entry.id in self._revision_by_id:
            return False
        if (entry.id, listed.started_ms) in self._gone_incarnations:
            return True
        target = self._target_by_id.get(entry.id)
        if target is None:
            return False
        if target.listed.started_ms != listed.started_ms:
            return target.listed.started_ms > listed.started_ms
        return (
            target.listed.state is ListedState.LEAVING
            and listed.state is ListedState.READY
        )

    def _apply_change(self, change: TargetChange, now: float) -> bool:
        target = self._target_by_id.get(change.id)
        if change.listed is None:
            return self._remove(change, target, now)
        self._missing_until.pop(change.id, None)
        self._gone_incarnations.pop(
            (change.id, change.listed.started_ms), None
        )
        unlisted = change.id in self._unlisted
        self._unlisted.discard(change.id)
        restarted = (
            target is not None
            and not unlisted
            and (target.listed.started_ms != change.listed.started_ms)
        )
        if target is None or restarted:
            if target is not None:
                self._mark_replaced(target)
            target = Target(change.listed, change.revision, self._era)
            target.warm_at = now + change.listed.warming_ms / 1000
            if (
                change.id,
                change.listed.started_ms,
            ) in self._leaving_incarnations:
                target.availability.record_leaving()
            self._target_by_id[change.id] = target
            self._claim_address(target)
            return True
        altered = target.listed != change.listed
        if altered:
            self._release_address(target)
        target.listed = change.listed
        target.version = versions.StoreVersion(self._era, change.revision)
        if altered:
            self._claim_address(target)
        return altered

    def _claim_address(self, target: Target) -> None:
        """Assign an address to the incarnation that was listed last there.

        The entry of a dead incarnation stays listed for a while, and a
        complete list may name it after the entry of its successor.
        """
        address = target.listed.host, target.listed.port
        holder = self._target_by_address.get(address)
        newest = target
        if holder is not None and _was_listed_later(holder, target):
            newest = holder
        self._target_by_address[address] = newest
        for each in (holder, target):
            if each is not None and each is not newest:
                self._mark_replaced(each)
        for key in (target.id, address):
            removed = self._removed.pop(key, None)
            if removed is not None and not removed.is_same_as(target):
                self._mark_replaced(removed)

    def _release_address(self, target: Target) -> None:
        address = target.listed.host, target.listed.port
        if self._target_by_address.get(address) is target:
            del self._target_by_address[address]

    def _mark_replaced(self, target: Target) -> None:
        self._release_address(target)
        if not target.replaced:
            target.ended = target.replaced = True
            self.on_ended(target)

    def _mark_removed(self, target: Target) -> None:
        self._release_address(target)
        listed = target.listed
        _remember(self._gone_incarnations, (target.id, listed.started_ms))
        for key in (listed.id, (listed.host, listed.port)):
            self._removed[key] = target
        while len(self._removed) > 2 * MAX_REMOVED_TARGETS:
            del self._removed[next(iter(self._removed))]
        if not target.ended:
            target.ended = True
            self.on_ended(target)

    def _remove(
        self, change: TargetChange, target: Target | None, now: float
    ) -> bool:
        if target is None or change.id in self._missing_until:
            return False
        regained = self._store_regained_at
        if regained is not None and now < regained + RELIST_GRACE_S:
            self._missing_until[change.id] = regained + RELIST_GRACE_S
        else:
            del self._target_by_id[change.id]
            self._mark_removed(target)
        return True


def _remember(
    incarnations: dict[tuple[ids.TargetId, int], None],
    incarnation: tuple[ids.TargetId, int],
) -> None:
    """Add an incarnation and drop the oldest ones beyond the limit."""
    incarnations[incarnation] = None
    while len(incarnations) > MAX_REMEMBERED_INCARNATIONS:
        del incarnations[next(iter(incarnations))]


def _was_listed_later(target: Target, other: Target) -> bool:
    """Return whether a target was listed after another one.

    Revisions of different eras do not tell; the starts of the targets do.
    """
    if target.version.era == other.version.era:
        return target.version.revision > other.version.revision
    return target.listed.started_ms > other.listed.started_ms
