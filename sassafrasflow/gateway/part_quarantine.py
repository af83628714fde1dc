"""Attribute crashes of targets to parts of prompts, together with peers."""

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
    whole data centre go only to the instances that aggregate them. Verdicts
    and revocations carry the time of their evidence, so that the newer one
    stands wherever they meet.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        state: poison.Quarantine,
        issue: Callable[[poison.Fingerprint, float], None],
        revoke: Callable[[poison.Fingerprint, float], None],
        save_crash: Callable[[prompt_parts.PartCrash], None],
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
    ) -> None:
        self.evidence = prompt_parts.PartEvidence()
        self.exchange: exchanges.PeerExchange | None = None
        self._instance = instance
        self._state = state
        # Publish and save a verdict, or its revocation.
        self._issue = issue
        self._revoke = revoke
        self._save_crash = save_crash
        self._clock = clock
        self._log = log
        self._metrics = metrics
        # For each verdict the time of the first crash that it is based on;
        # for each revocation the start of the run that disproved it.
        self._evidence_at: dict[poison.Fingerprint, float] = {}

    def is_refused(self, parts: prompt_parts.Parts) -> bool:
        """Return whether a prompt has all parts of a verdict."""
        return bool(self.matching_verdicts(parts))

    def evidence_at(self, key: poison.Fingerprint) -> float | None:
        """Return the time that a verdict or its revocation is based on."""
        return self._evidence_at.get(key)

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
            prompt_parts.reported_parts(job.shared_parts),
        )
        is_doubtful = self.is_doubtful(crash)
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
            self._save_crash(crash)
        self._judge(self.evidence.add_crash(crash, self._clock()))

    def is_doubtful(self, crash: prompt_parts.PartCrash) -> bool:
        """Return whether a crash has another likely cause than the parts."""
        # Parts that targets have written on don't explain other crashes: all
        # runs of a failing data centre may share them.
        explained = self.evidence.crashed_targets(
            self.evidence.without_progress(crash.parts)
        )
        return crash.has_other_cause(explained)

    def handle_report(self, report: verdicts.PartCrashReport) -> None:
        """Add a crash that a peer observed.

        The observer and the aggregators decide on it. Other instances may
        have no requests with these parts, and so no progress of such runs.
        """
        crash = report.to_crash(self._clock())
        found = self.evidence.add_crash(crash, self._clock())
        exchange = self.exchange
        if exchange is not None and any(
            map(exchange.is_aggregator, crash.parts)
        ):
            self._judge(found)

    def apply_stored(
        self, stored: registries.StoredPartCrash, store_ms: int
    ) -> None:
        """Add a crash that the platform stores, for later verdicts."""
        now = self._clock()
        age_s = max(0, store_ms - stored.crashed_ms) / 1000
        if age_s > poison.RETENTION_S:
            return
        crash = prompt_parts.PartCrash(
            stored.request,
            stored.target,
            stored.started_ms,
            stored.data_centre,
            now - age_s,
            (),
            stored.parts,
        )
        self.evidence.add_crash(crash, now)

    def record_progress(
        self, parts: prompt_parts.Parts, began_at: float
    ) -> None:
        """Record a run that goes on; revoke verdicts that it disproves."""
        if not parts:
            return
        self.evidence.record_progress(parts, began_at)
        for key in self.matching_verdicts(parts):
            evidence_at = self._evidence_at.get(key)
            if evidence_at is not None and began_at > evidence_at:
                self._metrics.count("suspects_cleared_total", heard="here")
                self._clear(key, began_at, sender="here")
                self._revoke(key, began_at)

    def apply_verdict(
        self,
        key: poison.Fingerprint,
        until: float,
        evidence_at: float,
        sender: str,
    ) -> float | None:
        """Apply a peer's verdict; return the progress that disproves it."""
        disproved_at = self.evidence.progress_after(
            prompt_parts.parts_of(key), evidence_at
        )
        if disproved_at is not None:
            self._log.write("verdict_denied", fingerprint=key, sender=sender)
            self._clear(key, disproved_at, sender)
            return disproved_at
        previous_at = self._evidence_at.get(key)
        now = self._clock()
        if not self._state.is_refused(key, now) or previous_at is None:
            self._refuse(key, until, evidence_at, sender)
        elif evidence_at > previous_at:
            self._set_evidence_at(key, evidence_at)
        return None

    def apply_revocation(
        self, key: poison.Fingerprint, disproved_at: float, sender: str
    ) -> bool:
        """Apply a peer's revocation; return whether it ended a verdict.

        A verdict that is based on later crashes stands.
        """
        parts = tuple(sorted(prompt_parts.parts_of(key)))
        self.evidence.record_progress(parts, disproved_at)
        evidence_at = self._evidence_at.get(key)
        if not self._state.is_refused(key, self._clock()) or (
            evidence_at is not None and evidence_at >= disproved_at
        ):
            return False
        self._metrics.count("suspects_cleared_total", heard="peer")
        self._clear(key, disproved_at, sender)
        return True

    def matching_verdicts(
        self, parts: prompt_parts.Parts
    ) -> list[poison.Fingerprint]:
        """Return the verdicts in force whose parts a prompt has all."""
        if not parts:
            return []
        now = self._clock()
        return [
            key
            for key in prompt_parts.matching_keys(
                self._state.refused_keys(), parts
            )
            if self._state.is_refused(key, now)
        ]

    def _judge(self, found: list[prompt_parts.PartVerdict]) -> None:
        """Put new verdicts in force, and issue them to all instances."""
        now = self._clock()
        for verdict in found:
            key = prompt_parts.key_of(verdict.parts)
            if self._state.is_refused(key, now):
                continue
            until = now + poison.RETENTION_S
            self._refuse(
                key,
                until,
                verdict.evidence_at,
                "here",
                targets=verdict.targets,
                unseen=len(self.evidence.without_progress(verdict.parts)),
            )
            self._issue(key, verdict.evidence_at)

    def _refuse(
        self,
        key: poison.Fingerprint,
        until: float,
        evidence_at: float,
        sender: str,
        *,
        targets: int | None = None,
        unseen: int | None = None,
    ) -> None:
        self._log.write(
            "quarantined",
            fingerprint=key,
            sender=sender,
            targets=targets,
            unseen=unseen,
        )
        self._state.refuse(key, until)
        self._set_evidence_at(key, evidence_at)

    def _clear(
        self, key: poison.Fingerprint, disproved_at: float, sender: str
    ) -> None:
        parts = tuple(sorted(prompt_parts.parts_of(key)))
        self.evidence.record_progress(parts, disproved_at)
        self._log.write("suspect_cleared", fingerprint=key, sender=sender)
        self._state.clear(key, self._clock())
        self._set_evidence_at(key, disproved_at)

    def _set_evidence_at(self, key: poison.Fingerprint, at: float) -> None:
        self._evidence_at.pop(key, None)
        self._evidence_at[key] = at
        while len(self._evidence_at) > poison.MAX_REQUESTS:
            del self._evidence_at[next(iter(self._evidence_at))]

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
