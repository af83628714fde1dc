"""Attribute crashes of targets to parts of prompts, together with peers."""

import asyncio
from collections.abc import Callable

from sassafrasflow import ids
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import ledger as ledgers
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import verdicts

__all__ = ["PartQuarantine"]

# Other crashes of the same moment that a report lists, so that it fits into a
# datagram. More would not change its weight.
MAX_OTHERS = 8


class PartQuarantine:
    """Collect the evidence on prompt parts and decide which to refuse.

    A crash without another likely cause is rare, so all instances get it, and
    it is written to the platform for those that start later. Crashes of a
    whole data centre go only to the instances that aggregate them.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        state: poison.Quarantine,
        unsaved: asyncio.Queue[poison.Fingerprint | prompt_parts.PartCrash],
        refuse: Callable[[poison.Fingerprint, float | None, bool], None],
        revoke: Callable[[poison.Fingerprint, float], None],
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
    ) -> None:
        self.evidence = prompt_parts.PartEvidence()
        self.exchange: exchanges.PeerExchange | None = None
        self._instance = instance
        self._state = state
        self._unsaved = unsaved
        self._refuse = refuse
        self._revoke = revoke
        self._clock = clock
        self._log = log
        self._metrics = metrics
        # When this instance learned of each verdict.
        self._learned_at: dict[poison.Fingerprint, float] = {}

    def is_refused(self, parts: prompt_parts.Parts) -> bool:
        """Return whether a prompt has all parts of a verdict."""
        return bool(parts) and bool(self._matching_verdicts(parts))

    def record_crash(
        self,
        record: ledgers.RunRecord,
        crashed_at: float,
        others: set[ids.TargetId],
    ) -> None:
        """Record a crash that ended a run before it made progress."""
        job, listed = record.job, record.target.listed
        if record.made_progress or not job.shared_parts:
            return
        crash = prompt_parts.PartCrash(
            job.fingerprint,
            listed.id,
            listed.started_ms,
            listed.data_centre,
            crashed_at,
            tuple(sorted(others))[:MAX_OTHERS],
            job.shared_parts,
        )
        known = self.evidence.crashed_targets(crash.parts)
        is_doubtful = crash.has_other_cause(known)
        self._metrics.count(
            "part_crashes_total",
            verdict="doubtful" if is_doubtful else "blamed",
        )
        self._log.write(
            "part_crash",
            request=job.head.attempt_id,
            fingerprint=job.fingerprint,
            target=listed.id,
            parts=crash.parts,
            others_died=len(others),
        )
        self._publish_crash(crash, is_doubtful)
        if not is_doubtful:
            self._unsaved.put_nowait(crash)
        self._add_crash(crash, publish=True)

    def handle_report(self, report: verdicts.PartCrashReport) -> None:
        """Add a crash that a peer observed."""
        crash = report.to_crash(self._clock())
        self._add_crash(crash, publish=False)

    def apply_stored(
        self, stored: registries.StoredPartCrash, store_ms: int
    ) -> None:
        """Add a crash that the platform stores."""
        age_s = max(0, store_ms - stored.crashed_ms) / 1000
        crash = prompt_parts.PartCrash(
            stored.request,
            stored.target,
            stored.started_ms,
            stored.data_centre,
            self._clock() - age_s,
            (),
            stored.parts,
        )
        self._add_crash(crash, publish=False)

    def record_progress(
        self, parts: prompt_parts.Parts, began_at: float
    ) -> None:
        """Record a run that goes on; revoke verdicts that it disproves."""
        if not parts:
            return
        self.evidence.record_progress(parts, began_at)
        for key in self._matching_verdicts(parts):
            first_at = self.evidence.first_crash_at(prompt_parts.parts_of(key))
            learned_at = self._learned_at.get(key)
            limits = [at for at in (first_at, learned_at) if at is not None]
            if limits and began_at > min(limits):
                self._log.write(
                    "suspect_cleared", fingerprint=key, was_refused=True
                )
                self._metrics.count("suspects_cleared_total", heard="here")
                self._revoke(key, self._clock())

    def record_verdict(self, key: poison.Fingerprint, now: float) -> None:
        """Record when this instance began to refuse a set of parts."""
        if prompt_parts.parts_of(key):
            self._learned_at[key] = now

    def record_revocation(self, key: poison.Fingerprint, now: float) -> None:
        """Discard the evidence for a verdict that proved wrong."""
        parts = prompt_parts.parts_of(key)
        self._learned_at.pop(key, None)
        if parts:
            self.evidence.record_progress(tuple(sorted(parts)), now)

    def disproves(
        self, key: poison.Fingerprint, evidence_at: float | None
    ) -> bool:
        """Return whether a run made progress after a verdict's evidence."""
        parts = prompt_parts.parts_of(key)
        return (
            bool(parts)
            and evidence_at is not None
            and self.evidence.has_progress_since(parts, evidence_at)
        )

    def _matching_verdicts(
        self, parts: prompt_parts.Parts
    ) -> list[poison.Fingerprint]:
        now = self._clock()
        return [
            key
            for key in prompt_parts.matching_keys(
                self._state.refused_keys(), parts
            )
            if self._state.is_refused(key, now)
        ]

    def _add_crash(
        self, crash: prompt_parts.PartCrash, *, publish: bool
    ) -> None:
        for parts in self.evidence.add_crash(crash, self._clock()):
            self._refuse(
                prompt_parts.key_of(parts),
                self.evidence.first_crash_at(frozenset(parts)),
                publish or self._is_aggregator(parts),
            )

    def _is_aggregator(self, parts: prompt_parts.Parts) -> bool:
        exchange = self.exchange
        return exchange is not None and any(map(exchange.is_aggregator, parts))

    def _publish_crash(
        self, crash: prompt_parts.PartCrash, is_doubtful: bool
    ) -> None:
        if self.exchange is None:
            return
        report = verdicts.PartCrashReport.from_crash(
            self._instance, crash, self._clock()
        )
        if not is_doubtful:
            self.exchange.send(self.exchange.live(), report)
            return
        aggregators = {
            entry.id: entry
            for part in crash.parts
            for entry in self.exchange.aggregators_of(part)
        }
        self.exchange.send(aggregators.values(), report)
