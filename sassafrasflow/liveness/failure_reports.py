"""Exchange of failures of targets between instances, in load messages."""

from sassafrasflow import ids
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.liveness import failures

__all__ = ["FailureReports"]


class FailureReports:
    """Report answers of targets to their owners, and apply what they tell."""

    def __init__(
        self,
        directory: targets.Directory,
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
    ) -> None:
        self.table = failures.FailureTable()
        self.unreported = failures.UnreportedAnswers()
        self._directory = directory
        self._log = log
        self._metrics = metrics

    def remaining_ms(self, target: ids.TargetId, now: float) -> int:
        """Return how long an owned target is still a last resort."""
        return round(1000 * self.table.remaining_s(target, now))

    def apply_report(self, report: loads.LoadReport, now: float) -> None:
        """Record the answers of owned targets that an instance reports."""
        for target in self.table.record(
            report.sender.id,
            (report.started_ms, report.number),
            report.answers,
            now,
        ):
            self.apply_own(target, now)
            self._metrics.count("targets_failing_total")
            self._log.write("target_failing", target=target)

    def apply_answer(self, reported: loads.TargetLoad, now: float) -> None:
        """Apply an owner's answer about a target."""
        self._apply(reported.id, reported.failing_ms / 1000, now)

    def apply_own(self, target: ids.TargetId, now: float) -> None:
        """Apply what is known of an owned target."""
        self._apply(target, self.table.remaining_s(target, now), now)

    def _apply(
        self, target_id: ids.TargetId, remaining_s: float, now: float
    ) -> None:
        target = self._directory.get(target_id)
        if target is not None and remaining_s > 0:
            target.failing_until = now + min(remaining_s, failures.HOLD_S)
