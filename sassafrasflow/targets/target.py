"""Target: what is known of one back end, and whether it may get work."""

import enum

from sassafrasflow import ids
from sassafrasflow import platform
from sassafrasflow.engines import messages

__all__ = ["Target", "TargetState"]


class TargetState(enum.Enum):
    """Tell whether a target may get new work."""

    UNKNOWN = "unknown"
    READY = "ready"
    LEAVING = "leaving"
    FAILED = "failed"


class Target:
    """Combine the platform's list, the target's reports and own results."""

    def __init__(self, listed: platform.ListedInstance) -> None:
        self.id = ids.TargetId(listed.id)
        self.listed = listed
        self.report: messages.EngineReport | None = None
        self.sent_since_report = 0
        self.running_here = 0
        self._leaving = listed.state is platform.ListedState.LEAVING
        self._retry_at = 0.0

    def state(self, now: float) -> TargetState:
        """Return the state at a monotonic time."""
        if self._leaving:
            return TargetState.LEAVING
        if now < self._retry_at:
            return TargetState.FAILED
        if self.is_engine and self.report is None:
            return TargetState.UNKNOWN
        return TargetState.READY

    @property
    def is_engine(self) -> bool:
        """Tell whether the target runs models."""
        return self.listed.kind is platform.TargetKind.ENGINE

    def note_listed(self, listed: platform.ListedInstance) -> None:
        """Apply the platform's list; leaving lasts until a restart."""
        if listed.incarnation > self.listed.incarnation:
            self._leaving = False
        self.listed = listed
        if listed.state is platform.ListedState.LEAVING:
            self._leaving = True

    def note_report(self, report: messages.EngineReport) -> None:
        """Apply the target's own report."""
        if self.report and report.incarnation > self.report.incarnation:
            self._leaving = False
        self.report = report
        self.sent_since_report = 0
        self._retry_at = 0.0
        if report.leaving:
            self._leaving = True

    def note_failure(self, retry_at: float) -> None:
        """Keep new work away until a monotonic time or the next report."""
        self._retry_at = retry_at

    def versions(self, model: ids.ModelName) -> set[ids.VersionId]:
        """Return the versions of a model that are ready here."""
        if self.report is None:
            return set()
        return {
            loaded.version
            for loaded in self.report.loaded
            if loaded.model == model and loaded.ready
        }

    def load(self) -> float:
        """Return the work at the target as a share of its capacity."""
        if self.report is None:
            return float(self.sent_since_report)
        work = self.report.running + self.report.queued
        return (work + self.sent_since_report) / max(1, self.report.capacity)
