"""Who knows the load of a target, and what it is.

Each target has an owner among the instances of its own data centre, by
rendezvous hashing. Whoever places work on a target tells its owner; whoever
chooses among a few targets asks their owners. Nothing is told to everybody, so
an instance's share does not grow with the fleet. The state is soft: loads
are told again from time to time, and forgotten when that ends.
"""

from collections.abc import Collection
from collections.abc import Sequence
import hashlib

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import targets

__all__ = [
    "OwnerMap",
    "LeavingNotice",
    "LoadAnswer",
    "LoadTable",
    "LoadQuery",
    "LoadReport",
    "LoadCache",
    "LossNotice",
    "TargetLoad",
    "choose_owner",
]

# Loads are told again this often.
REPORT_REFRESH_S = 4.0
# Three of these missed.
REPORT_TTL_S = 13.0
# Who asks about a target may choose it: until its report comes, each
# question counts as a share of a prompt, as one of four is chosen.
PENDING_QUERY_LOAD = 0.75
PENDING_QUERY_S = 0.12
# Who had work on a target until this long ago hears of its loss as well.
RECENT_WORK_S = 1.5
# An answer says little about a target after this long.
ANSWER_TTL_S = 0.3


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag="load"):
    """Tell an owner what one instance has placed on its targets."""

    sender: registries.InstanceEntry
    # Differs between two starts of an instance.
    started_ms: int
    number: int
    loads: dict[ids.TargetId, float]


class LoadQuery(msgspec.Struct, frozen=True, array_like=True, tag="ask"):
    """Ask an owner for the loads of some of its targets."""

    sender: registries.InstanceEntry
    number: int
    targets: tuple[ids.TargetId, ...]


class TargetLoad(msgspec.Struct, frozen=True, array_like=True):
    """Tell what others than the asking instance have placed."""

    id: ids.TargetId
    load: float
    # Milliseconds since the target was found dead; -1 if it was not.
    lost_ms: int = -1


class LoadAnswer(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """Answer a query."""

    sender: ids.InstanceId
    number: int
    loads: tuple[TargetLoad, ...]


class LossNotice(msgspec.Struct, frozen=True, array_like=True, tag="lost"):
    """Tell that a target was found dead."""

    sender: registries.InstanceEntry
    target: ids.TargetId
    # 0 from the finder to the owner, 1 from there to its data centre and to
    # those with work on the target, 2 to those with work beside it.
    hop: int = 0


class LeavingNotice(
    msgspec.Struct, frozen=True, array_like=True, tag="leaving"
):
    """Tell that a target says in its answers that it leaves."""

    sender: ids.InstanceId
    target: ids.TargetId
    # Tells two starts of a target under one id apart.
    started_ms: int


def choose_owner(
    key: str, entries: Collection[registries.InstanceEntry]
) -> registries.InstanceEntry | None:
    """Return the owner of a target, or of another key, by the highest hash."""
    return max(
        entries,
        key=lambda entry: hashlib.blake2b(
            f"{key}/{entry.id}".encode(), digest_size=8
        ).digest(),
        default=None,
    )


class OwnerMap:
    """Find the owners of targets, as this instance sees the fleet."""

    def __init__(self, peers: peer_table.PeerTable) -> None:
        self._peers = peers
        self._epoch = -1
        self._owner_by_target: dict[
            ids.TargetId, registries.InstanceEntry | None
        ] = {}

    def owner_of(
        self, listed: targets.ListedTarget, now: float
    ) -> registries.InstanceEntry | None:
        """Return the owner of a target; ``None`` if nobody serves there."""
        if self._epoch != self._peers.epoch:
            self._epoch = self._peers.epoch
            self._owner_by_target.clear()
        if listed.id not in self._owner_by_target:
            entries = self._peers.eligible_owners(listed.data_centre, now)
            self._owner_by_target[listed.id] = choose_owner(listed.id, entries)
        return self._owner_by_target[listed.id]


class _ReportedLoad(msgspec.Struct):
    load: float
    started_ms: int
    number: int
    received_at: float


class LoadTable:
    """Add up the loads of the targets that this instance owns."""

    def __init__(self) -> None:
        self._reports_by_target: dict[
            ids.TargetId, dict[ids.InstanceId, _ReportedLoad]
        ] = {}
        # Who asked about a target, and until when that counts.
        self._pending_queries_by_target: dict[
            ids.TargetId, dict[ids.InstanceId, float]
        ] = {}

    def apply(self, report: LoadReport, now: float) -> None:
        """Take what an instance has placed."""
        sender = report.sender.id
        for target, load in report.loads.items():
            self._pending_queries_by_target.get(target, {}).pop(sender, None)
            placed = self._reports_by_target.setdefault(target, {})
            old = placed.get(sender)
            if (
                old is not None
                and old.started_ms == report.started_ms
                and old.number >= report.number
            ):
                continue
            placed[sender] = _ReportedLoad(
                load, report.started_ms, report.number, now
            )

    def record_query(
        self, target: ids.TargetId, sender: ids.InstanceId, now: float
    ) -> None:
        """Record that an instance may be about to choose a target."""
        self._pending_queries_by_target.setdefault(target, {})[sender] = (
            now + PENDING_QUERY_S
        )

    def load_of(
        self, target: ids.TargetId, excluded: ids.InstanceId, now: float
    ) -> float:
        """Return what all others than one instance have placed."""
        placed = sum(
            found.load
            for sender, found in self._reports_by_target.get(
                target, {}
            ).items()
            if sender != excluded
        )
        asked = sum(
            until > now
            for sender, until in self._pending_queries_by_target.get(
                target, {}
            ).items()
            if sender != excluded
        )
        return placed + PENDING_QUERY_LOAD * asked

    def instances_using(
        self, target: ids.TargetId, now: float
    ) -> set[ids.InstanceId]:
        """Return the instances with work on a target, now or just before."""
        return {
            sender
            for sender, found in self._reports_by_target.get(
                target, {}
            ).items()
            if found.load or now - found.received_at < RECENT_WORK_S
        }

    def targets(self) -> list[ids.TargetId]:
        """Return the targets that anybody has reported."""
        return list(self._reports_by_target)

    def expire(self, now: float) -> None:
        """Forget what has not been told again."""
        for found in (
            self._reports_by_target,
            self._pending_queries_by_target,
        ):
            for target in list(found):
                if not found[target]:
                    del found[target]
        for placed in self._reports_by_target.values():
            for sender, each in list(placed.items()):
                if now - each.received_at > REPORT_TTL_S:
                    del placed[sender]
        for asked in self._pending_queries_by_target.values():
            for sender, until in list(asked.items()):
                if until <= now:
                    del asked[sender]


class LoadCache:
    """Remember answers of owners for a short time."""

    def __init__(self) -> None:
        self._answers_by_target: dict[ids.TargetId, tuple[float, float]] = {}

    def record_answers(self, loads: Sequence[TargetLoad], now: float) -> None:
        """Record an answer."""
        for told in loads:
            self._answers_by_target[told.id] = (told.load, now)

    def load_of(self, target: ids.TargetId, now: float) -> float:
        """Return the load that was told, or 0 if that is long ago."""
        load, told_at = self._answers_by_target.get(target, (0.0, now))
        return load if now - told_at <= ANSWER_TTL_S else 0.0

    def is_known(self, target: ids.TargetId, now: float) -> bool:
        """Tell whether a load was told a moment ago."""
        told = self._answers_by_target.get(target)
        return told is not None and now - told[1] <= ANSWER_TTL_S

    def expire(self, now: float) -> None:
        """Forget old answers."""
        for target, (_, told_at) in list(self._answers_by_target.items()):
            if now - told_at > ANSWER_TTL_S:
                del self._answers_by_target[target]
