"""Runs of requests at targets, kept until it is clear how they ended.

The run that crashed a target need not be the one that detects the crash: its
caller may have disconnected, its deadline may have passed, or the loss of its
connection may have looked like an idle timeout.
"""

import msgspec

from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import targets

__all__ = ["RunLedger", "RunRecord"]

# Other requests or probes detect the crash of a target within this time.
DETECTION_DELAY_S = 1.0
# If a new incarnation is up before anybody detects a crash, the target list
# shows the end of the old one within this time.
LISTING_DELAY_S = 3.0
# Crashes are attributed a moment after their detection, so runs are kept for
# one more second.
RETENTION_S = LISTING_DELAY_S + 1.0


class RunRecord(msgspec.Struct, eq=False):
    """Progress of one run of a request at a target."""

    job: jobs.Job
    target: targets.Target
    began_at: float
    # Events received from the target, and when the first one came.
    events: int = 0
    first_event_at: float | None = None
    last_event_at: float | None = None
    # How long the target has written, without long pauses.
    written_s: float = 0.0
    # Whether the target went on writing for a while after the first event.
    made_progress: bool = False
    # Whether the answer was whole, but ended with its connection, as it does
    # if the target crashes.
    ended_with_connection: bool = False
    # When the run ended without an answer, or ``None``.
    ended_at: float | None = None


class RunLedger:
    """Keep the runs that a crash may have ended."""

    def __init__(self) -> None:
        self._runs: dict[targets.Target, list[RunRecord]] = {}

    def __len__(self) -> int:
        return sum(map(len, self._runs.values()))

    def begin(
        self, job: jobs.Job, target: targets.Target, now: float
    ) -> RunRecord:
        """Record that a request is sent to a target."""
        record = RunRecord(job, target, now)
        self._runs.setdefault(target, []).append(record)
        return record

    def end_answered(self, record: RunRecord) -> None:
        """Drop a run whose target has answered."""
        self._remove(record)

    def end_unanswered(self, record: RunRecord, now: float) -> None:
        """Mark a run as ended; its target may have crashed."""
        record.ended_at = now

    def has_runs(self, target: targets.Target) -> bool:
        """Return whether runs are kept for a target."""
        return target in self._runs

    def pop_ended(
        self, target: targets.Target, crashed_at: float
    ) -> list[RunRecord]:
        """Remove and return the runs that a target's crash ended.

        Runs without an end stay: either the target is alive, or they have
        not detected the crash yet.
        """
        max_delay_s = LISTING_DELAY_S if target.ended else DETECTION_DELAY_S
        ended = [
            record
            for record in self._runs.get(target, [])
            if record.began_at <= crashed_at
            and record.ended_at is not None
            and crashed_at <= record.ended_at + max_delay_s
        ]
        for record in ended:
            self._remove(record)
        return ended

    def expire(self, now: float) -> list[RunRecord]:
        """Remove and return ended runs that no crash explained in time."""
        expired = []
        for records in list(self._runs.values()):
            for record in list(records):
                ended_at = record.ended_at
                if ended_at is not None and now - ended_at > RETENTION_S:
                    self._remove(record)
                    expired.append(record)
        return expired

    def _remove(self, record: RunRecord) -> None:
        records = self._runs.get(record.target, [])
        if record in records:
            records.remove(record)
        if not records:
            self._runs.pop(record.target, None)
