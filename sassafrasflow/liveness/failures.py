"""Decide which targets fail their requests, by the answers of all instances.

A target that fails each request at once seems idle and attracts more of them,
while each of many instances sees too few of its answers to notice.
"""

import collections
from collections.abc import Iterable
import math

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import decoding

__all__ = ["AnswerCounts", "FailureTable", "UnreportedAnswers"]

# Answers of this time decide, as do those that one instance gets itself.
WINDOW_S = 4.0
# A target that failed this many requests in the window, and more than it
# answered well, is used only as a last resort. One or two failures may be
# those of the requests.
MIN_FAILURES = 3
# Time after the last failure in which the target is a last resort. Then it
# gets requests again, which show whether it has recovered.
HOLD_S = 4.0
# In this time after a hold the first failure begins the next one, unless the
# target has answered a request well.
PROBATION_S = 12.0
# Senders of reports that are remembered, to ignore repeated reports.
MAX_SENDERS = 4096


class AnswerCounts(msgspec.Struct, frozen=True, array_like=True):
    """Answers of one target that were failures, and those that were not."""

    failed: decoding.Count = 0
    succeeded: decoding.Count = 0


class _Answers:
    """Recent answers of one target."""

    def __init__(self) -> None:
        self.recent: collections.deque[tuple[float, AnswerCounts]] = (
            collections.deque()
        )
        self.failing_until = -math.inf
        self.on_probation_until = -math.inf

    def record(self, counts: AnswerCounts, now: float) -> bool:
        """Record answers; return whether they begin a hold."""
        self.recent.append((now, counts))
        while self.recent[0][0] < now - WINDOW_S:
            self.recent.popleft()
        failed = sum(each.failed for _, each in self.recent)
        succeeded = sum(each.succeeded for _, each in self.recent)
        if succeeded:
            self.on_probation_until = -math.inf
        least = 1 if now < self.on_probation_until else MIN_FAILURES
        if not counts.failed or failed < least or failed <= succeeded:
            return False
        is_new = now >= self.failing_until
        self.failing_until = now + HOLD_S
        self.on_probation_until = self.failing_until + PROBATION_S
        return is_new

    def is_outdated(self, now: float) -> bool:
        """Return whether nothing recorded matters any more."""
        return now >= self.on_probation_until and (
            not self.recent or self.recent[-1][0] < now - WINDOW_S
        )


class FailureTable:
    """Reported answers of the targets that this instance owns."""

    def __init__(self) -> None:
        self._answers_by_target: dict[ids.TargetId, _Answers] = {}
        # Incarnation and number of the last report of each instance.
        self._last_reports: dict[ids.InstanceId, tuple[int, int]] = {}

    def record(
        self,
        sender: ids.InstanceId,
        report: tuple[int, int],
        answers: dict[ids.TargetId, AnswerCounts],
        now: float,
    ) -> list[ids.TargetId]:
        """Record the answers in a report; return the targets that now fail.

        ``report`` is the start of the sender in milliseconds and the number
        of its report. Repeated and overtaken reports are ignored.
        """
        if report <= self._last_reports.get(sender, (-1, -1)):
            return []
        self._last_reports.pop(sender, None)
        self._last_reports[sender] = report
        if len(self._last_reports) > MAX_SENDERS:
            del self._last_reports[next(iter(self._last_reports))]
        failing = []
        for target, counts in answers.items():
            known = self._answers_by_target.setdefault(target, _Answers())
            if known.record(counts, now):
                failing.append(target)
        return failing

    def remaining_s(self, target: ids.TargetId, now: float) -> float:
        """Return how long a target is still a last resort, 0 if it is not."""
        known = self._answers_by_target.get(target)
        return 0.0 if known is None else max(0.0, known.failing_until - now)

    def expire(self, now: float) -> None:
        """Forget the targets without recent answers."""
        for target, known in list(self._answers_by_target.items()):
            if known.is_outdated(now):
                del self._answers_by_target[target]


class UnreportedAnswers:
    """Answers that the owners of their targets don't know yet."""

    def __init__(self) -> None:
        self._counts: dict[ids.TargetId, AnswerCounts] = {}

    def record(self, target: ids.TargetId, *, failed: bool) -> None:
        """Record the answer of a target."""
        counts = self._counts.get(target, AnswerCounts())
        self._counts[target] = AnswerCounts(
            counts.failed + failed, counts.succeeded + (not failed)
        )

    def take(
        self, targets: Iterable[ids.TargetId]
    ) -> dict[ids.TargetId, AnswerCounts]:
        """Return and forget the answers of some targets."""
        return {
            target: self._counts.pop(target)
            for target in targets
            if target in self._counts
        }
