"""State of one target, and whether it may get new work."""

import enum
import random

import msgspec

from sassafrasflow import ids
from sassafrasflow import storage
from sassafrasflow.engines import messages
from sassafrasflow.targets import breaker as breakers

__all__ = ["Incarnation", "Target", "TargetState"]


class TargetState(enum.Enum):
    """States of a target; only a ready one gets new work."""

    UNKNOWN = "unknown"
    READY = "ready"
    LEAVING = "leaving"
    FAILED = "failed"


class Incarnation(msgspec.Struct, frozen=True):
    """Identify one start of a target, by the list and by its reports."""

    listed: int = 0
    reported: int = 0

    def is_older_than(self, other: "Incarnation") -> bool:
        """Return whether ``other`` is a later start of the target."""
        return other.listed > self.listed or other.reported > self.reported > 0


class Target:
    """Combine the list, reports, peers' entries and the results of work."""

    def __init__(
        self,
        listed: storage.ListedInstance,
        breaker: breakers.Breaker | None = None,
        now: float = 0.0,
    ) -> None:
        self.id = ids.TargetId(listed.id)
        self.listed = listed
        self.report: messages.EngineReport | None = None
        self.last_seen_at = now
        self.sent = 0
        self.ended = 0
        self._sent_before_report = 0
        self._ended_before_report = 0
        self._report_requested_at: float | None = None
        self._breaker = breaker or breakers.Breaker(
            breakers.BreakerPolicy(), random.Random()
        )
        self._suspected_until = 0.0
        self._leaving_incarnation: Incarnation | None = None
        if listed.state is storage.ListedState.LEAVING:
            self._leaving_incarnation = self.incarnation

    @property
    def incarnation(self) -> Incarnation:
        """Return the newest incarnation in the list and in the reports."""
        reported = self.report.incarnation if self.report else 0
        return Incarnation(self.listed.incarnation, reported)

    @property
    def is_engine(self) -> bool:
        """Return whether the target runs models."""
        return self.listed.kind is storage.TargetKind.ENGINE

    @property
    def is_leaving(self) -> bool:
        """Return whether this incarnation was reported as leaving."""
        return self._leaving_incarnation is not None

    @property
    def running_here(self) -> int:
        """Return how many pieces of this instance's work are at the target."""
        return self.sent - self.ended

    def is_suspected(self, now: float) -> bool:
        """Return whether a peer reported failed work at the target lately."""
        return now < self._suspected_until

    def mark_suspected(self, until: float) -> None:
        """Apply a peer's report that work failed at the target."""
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
        """Record the target's item of the platform's list.

        A target that is listed as leaving stays so until it restarts.
        """
        if listed.incarnation < self.listed.incarnation:
            return
        self.listed = listed
        self.last_seen_at = now
        self._clear_leaving_if_restarted()
        if listed.state is storage.ListedState.LEAVING:
            self._leaving_incarnation = self.incarnation

    def record_report(
        self,
        report: messages.EngineReport,
        now: float = 0.0,
        requested_at: float | None = None,
        counts: tuple[int, int] | None = None,
    ) -> None:
        """Record a report of the target.

        ``requested_at`` is when the report was requested. ``counts`` holds
        how many pieces of this instance's work had been sent and had ended
        by then. A report that was requested before the newest recorded one
        is ignored.
        """
        requested_at = now if requested_at is None else requested_at
        if (
            self._report_requested_at is not None
            and requested_at < self._report_requested_at
        ):
            return
        self._report_requested_at = requested_at
        self._sent_before_report, self._ended_before_report = counts or (
            self.sent,
            self.ended,
        )
        self.report = report
        self.last_seen_at = now
        self._breaker.record_reachable()
        self._clear_leaving_if_restarted()
        if report.leaving:
            self._leaving_incarnation = self.incarnation

    def record_peer_leaving(self, incarnation: Incarnation) -> None:
        """Record a peer's entry that an incarnation is leaving."""
        if not incarnation.is_older_than(self.incarnation):
            self._leaving_incarnation = incarnation

    def _clear_leaving_if_restarted(self) -> None:
        if (
            self._leaving_incarnation
            and self._leaving_incarnation.is_older_than(self.incarnation)
        ):
            self._leaving_incarnation = None

    def record_begin(self, now: float) -> None:
        """Record that a piece of work is sent."""
        self.sent += 1
        self._breaker.record_begin(now)

    def record_end(self, now: float, *, succeeded: bool) -> None:
        """Record that a piece of work has ended."""
        self.ended += 1
        if succeeded:
            self.last_seen_at = now
            self._suspected_until = 0.0
            self._breaker.record_success()
        else:
            self._breaker.record_inconclusive()

    def record_failure(self, now: float) -> None:
        """Record that a piece of work failed at the target."""
        self._breaker.record_failure(now)

    def record_unreachable(self, now: float) -> None:
        """Record that the target did not answer a poll."""
        self._breaker.record_unreachable(now)

    def versions(self, model: ids.ModelName) -> set[ids.VersionId]:
        """Return the versions of a model that are ready at the target."""
        return {version for name, version in self.serves() if name == model}

    def serves(self) -> frozenset[tuple[ids.ModelName, ids.VersionId]]:
        """Return the models and versions that are ready at the target."""
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
        unreported = self.sent - self._sent_before_report
        unreported -= self.ended - self._ended_before_report
        work = max(self.running_here, reported + unreported)
        return work / max(1, self.report.capacity)
