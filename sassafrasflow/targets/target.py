"""Target: what is known of one back end, and whether it may get work."""

import enum
import random

import msgspec

from sassafrasflow import ids
from sassafrasflow import storage
from sassafrasflow.engines import messages
from sassafrasflow.targets import breaker as breakers

__all__ = ["Incarnation", "Target", "TargetState"]


class TargetState(enum.Enum):
    """Tell whether a target may get new work."""

    UNKNOWN = "unknown"
    READY = "ready"
    LEAVING = "leaving"
    FAILED = "failed"


class Incarnation(msgspec.Struct, frozen=True):
    """Name one life of a target, by the list and by its own word."""

    listed: int = 0
    reported: int = 0

    def is_older_than(self, other: "Incarnation") -> bool:
        """Tell whether the target has restarted since."""
        return other.listed > self.listed or other.reported > self.reported > 0


class Target:
    """Combine the list, reports, peers' word and own results."""

    def __init__(
        self,
        listed: storage.ListedInstance,
        breaker: breakers.Breaker | None = None,
        now: float = 0.0,
    ) -> None:
        self.id = ids.TargetId(listed.id)
        self.listed = listed
        self.report: messages.EngineReport | None = None
        self.last_contact_at = now
        self.sent = 0
        self.ended = 0
        self._sent_before_report = 0
        self._ended_before_report = 0
        self._reported_at: float | None = None
        self._breaker = breaker or breakers.Breaker(
            breakers.BreakerPolicy(), random.Random()
        )
        self._suspected_until = 0.0
        self._left: Incarnation | None = None
        if listed.state is storage.ListedState.LEAVING:
            self._left = self.incarnation

    @property
    def incarnation(self) -> Incarnation:
        """Return the target's newest known life."""
        reported = self.report.incarnation if self.report else 0
        return Incarnation(self.listed.incarnation, reported)

    @property
    def is_engine(self) -> bool:
        """Tell whether the target runs models."""
        return self.listed.kind is storage.TargetKind.ENGINE

    @property
    def is_leaving(self) -> bool:
        """Tell whether anyone said that this life is ending."""
        return self._left is not None

    @property
    def running_here(self) -> int:
        """Return how many pieces of own work are at the target."""
        return self.sent - self.ended

    def is_suspected(self, now: float) -> bool:
        """Tell whether a peer has seen work fail here lately."""
        return now < self._suspected_until

    def mark_suspected(self, until: float) -> None:
        """Apply a peer's word that work failed here."""
        self._suspected_until = until

    def state(self, now: float) -> TargetState:
        """Return the state at a monotonic time."""
        if self.is_leaving:
            return TargetState.LEAVING
        if not self._breaker.allows(now):
            return TargetState.FAILED
        if self.is_engine and self.report is None:
            return TargetState.UNKNOWN
        return TargetState.READY

    def record_listing(
        self, listed: storage.ListedInstance, now: float = 0.0
    ) -> None:
        """Apply the platform's list; leaving lasts until a restart."""
        if listed.incarnation < self.listed.incarnation:
            return
        self.listed = listed
        self.last_contact_at = now
        self._clear_if_restarted()
        if listed.state is storage.ListedState.LEAVING:
            self._left = self.incarnation

    def record_report(
        self,
        report: messages.EngineReport,
        now: float = 0.0,
        asked_at: float | None = None,
        counts: tuple[int, int] | None = None,
    ) -> None:
        """Apply the target's own report.

        ``asked_at`` and ``counts`` (own work sent and ended) are those of
        when the report was asked for; a report that overtook it wins.
        """
        asked_at = now if asked_at is None else asked_at
        if self._reported_at is not None and asked_at < self._reported_at:
            return
        self._reported_at = asked_at
        self._sent_before_report, self._ended_before_report = counts or (
            self.sent,
            self.ended,
        )
        self.report = report
        self.last_contact_at = now
        self._breaker.record_reachable()
        self._clear_if_restarted()
        if report.leaving:
            self._left = self.incarnation

    def record_peer_leaving(self, mark: Incarnation) -> None:
        """Apply another instance's word that a life is ending."""
        if not mark.is_older_than(self.incarnation):
            self._left = mark

    def _clear_if_restarted(self) -> None:
        if self._left and self._left.is_older_than(self.incarnation):
            self._left = None

    def record_begin(self, now: float) -> None:
        """Count a piece of work that is sent."""
        self.sent += 1
        self._breaker.record_begin(now)

    def record_end(self, now: float, *, succeeded: bool) -> None:
        """Count a piece of work that has ended."""
        self.ended += 1
        if succeeded:
            self.last_contact_at = now
            self._suspected_until = 0.0
            self._breaker.record_success()
        else:
            self._breaker.record_inconclusive()

    def record_failure(self, now: float) -> None:
        """Note that a piece of work failed here."""
        self._breaker.record_failure(now)

    def record_unreachable(self, now: float) -> None:
        """Note that the target did not answer a poll."""
        self._breaker.record_unreachable(now)

    def versions(self, model: ids.ModelName) -> set[ids.VersionId]:
        """Return the versions of a model that are ready here."""
        return {version for name, version in self.serves() if name == model}

    def serves(self) -> frozenset[tuple[ids.ModelName, ids.VersionId]]:
        """Return the models and versions that are ready here."""
        if self.report is None:
            return frozenset()
        return frozenset(
            (loaded.model, loaded.version)
            for loaded in self.report.loaded
            if loaded.ready
        )

    def load(self) -> float:
        """Return the work at the target as a share of its capacity."""
        if self.report is None:
            return float(self.running_here)
        reported = self.report.running + self.report.queued
        since = self.sent - self._sent_before_report
        since -= self.ended - self._ended_before_report
        work = max(self.running_here, reported + since)
        return work / max(1, self.report.capacity)
