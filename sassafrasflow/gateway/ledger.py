"""Runs of requests at targets, until it is known how they ended.

A target may be found dead by other work than the request that it died of:
the request's caller has left, its time ran out, or its connection only
looked as if it had been idle for too long.
"""

import msgspec

from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import targets

__all__ = ["RunLedger", "RunRecord"]

# A target that crashed is found dead by other work within this time.
DETECTION_DELAY_S = 1.0
# The list shows within this time that one is over that nobody found dead,
# as another start of it was there before anybody looked.
LISTING_DELAY_S = 3.0
# A death is judged a moment after it is known.
RETENTION_S = LISTING_DELAY_S + 1.0


class RunRecord(msgspec.Struct, eq=False):
    """Record one run of a request at a target."""

    job: jobs.Job
    target: targets.Target
    began_at: float
    # Events that it has brought.
    events: int = 0
    # When it ended without an answer.
    ended_at: float | None = None


class RunLedger:
    """Remember which runs a death may have ended."""

    def __init__(self) -> None:
        self._runs: dict[targets.Target, list[RunRecord]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._runs.values()))

    def begin(
        self, job: jobs.Job, target: targets.Target, now: float
    ) -> RunRecord:
        """Record a send."""
        record = RunRecord(job, target, now)
        self._runs.setdefault(target, []).append(record)
        return record

    def end_answered(self, record: RunRecord) -> None:
        """Forget a run whose target has answered."""
        self._remove(record)

    def end_unanswered(self, record: RunRecord, now: float) -> None:
        """Keep a run whose target may have died."""
        record.ended_at = now

    def has_runs(self, target: targets.Target) -> bool:
        """Tell whether runs may have ended with a target."""
        return target in self._runs

    def pop_ended(
        self, target: targets.Target, crashed_at: float
    ) -> list[RunRecord]:
        """Return and forget the runs that ended as a target died.

        Those that still go on show that it lives, or have not noticed yet.
        """
        max_delay_s = LISTING_DELAY_S if target.ended else DETECTION_DELAY_S
        found = [
            record
            for record in self._runs.get(target, [])
            if record.began_at <= crashed_at
            and record.ended_at is not None
            and crashed_at <= record.ended_at + max_delay_s
        ]
        for record in found:
            self._remove(record)
        return found

    def expire(self, now: float) -> list[RunRecord]:
        """Return and forget ended runs whose target lives on."""
        gone = []
        for records in list(self._runs.values()):
            for record in list(records):
                ended_at = record.ended_at
                if ended_at is not None and now - ended_at > RETENTION_S:
                    self._remove(record)
                    gone.append(record)
        return gone

    def _remove(self, record: RunRecord) -> None:
        records = self._runs.get(record.target, [])
        if record in records:
            records.remove(record)
        if not records:
            self._runs.pop(record.target, None)
