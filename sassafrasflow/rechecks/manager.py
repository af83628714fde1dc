"""Claim rechecks of verdicts, and let single requests run for them.

A verdict refuses the requests that could prove it wrong. So a few of them
run all the same, one at a time over all instances: whoever has such a request
claims it by a conditional write to a row of the verdict.
"""

import asyncio
from collections.abc import Callable
import random

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import part_quarantine
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import versions
from sassafrasflow.rechecks import messages
from sassafrasflow.rechecks import schedule as schedules

__all__ = ["RecheckManager"]

# Claims of all instances are spread over this time for each instance, so that
# most of them hear of the first claim before their own.
SPREAD_S = 0.05
MAX_SPREAD_S = 3.0
# After a claim that failed, half to one and a half times this.
RETRY_S = 2.0
# A sound stream shows by then that a verdict is wrong.
OUTCOME_S = 4.0
# Requests that are suspect for another reason are used only if no other one
# has come for this long.
SUSPECT_DELAY_S = 6.0
# Callers that are refused for the same recheck return within this time.
RETRY_SPREAD_S = 1.0


class RecheckManager:
    """Decide which refused requests may run, together with the peers."""

    def __init__(
        self,
        instance: ids.InstanceId,
        state: poison.Quarantine,
        parts: part_quarantine.PartQuarantine,
        registry: registries.Registry,
        store_time_ms: Callable[[float], float | None],
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ) -> None:
        self.exchange: exchanges.PeerExchange | None = None
        self._instance = instance
        self._state = state
        self._parts = parts
        self._registry = registry
        self._store_time_ms = store_time_ms
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._schedule = schedules.RecheckSchedule()
        # Claims of this instance that no request has used yet.
        self._claims: dict[poison.Fingerprint, schedules.Recheck] = {}
        # Verdicts whose recheck a request of this instance could be.
        self._wanted: dict[poison.Fingerprint, None] = {}
        self._is_wanted = asyncio.Event()
        # Versions of the rows by their keys; None until they are read.
        self._versions: dict[str, versions.StoreVersion] | None = None
        self._era = versions.UNKNOWN_ERA

    def admit(self, job: jobs.Job) -> bool:
        """Return whether a refused request may run to check its verdict."""
        key = self._find_verdict(job)
        if key is None or not self._can_check(job, key):
            return False
        recheck = self._claims.pop(key, None)
        if recheck is not None and recheck == self._newest(key):
            job.recheck = recheck
            return True
        if self._is_due(key):
            self._wanted[key] = None
            self._is_wanted.set()
        return False

    def retry_after_s(self, job: jobs.Job) -> float | None:
        """Return when a recheck may have revoked the verdict on a request.

        Without a recheck due or at work, return ``None``.
        """
        key = self._find_verdict(job)
        if key is None:
            return None
        now = self._clock()
        newest = self._newest(key)
        if newest is not None and now < newest.claimed_at + OUTCOME_S:
            wait_s = newest.claimed_at + OUTCOME_S - now
        else:
            due_at = self._due_at(key)
            if due_at is None:
                return None
            wait_s = max(0.0, due_at - now) + OUTCOME_S
        return wait_s + self._rng.uniform(0, RETRY_SPREAD_S)

    def begin_run(self, job: jobs.Job, target: ids.TargetId) -> None:
        """Record that a request is sent, which uses up its recheck."""
        recheck, job.recheck = job.recheck, None
        if recheck is None:
            return
        self._metrics.count("rechecks_total")
        self._log.write(
            "recheck_sent",
            fingerprint=recheck.key,
            number=recheck.number,
            target=target,
        )

    def end(self, job: jobs.Job) -> None:
        """Keep the recheck of a request that ended without being sent."""
        recheck, job.recheck = job.recheck, None
        if recheck is not None and recheck == self._newest(recheck.key):
            self._claims[recheck.key] = recheck

    def forget(self, key: poison.Fingerprint) -> None:
        """Forget the rechecks of a verdict that was revoked."""
        self._schedule.forget(key)
        self._claims.pop(key, None)
        self._wanted.pop(key, None)

    def handle_notice(self, notice: messages.RecheckNotice) -> None:
        """Record the claim of a peer."""
        claimed_at = self._clock() - notice.claimed_ms_ago / 1000
        # Drops what a former verdict with the same key has left.
        self._newest(notice.fingerprint)
        self._schedule.record(
            schedules.Recheck(notice.fingerprint, notice.number, claimed_at)
        )
        self._record_version(notice.fingerprint, notice.version)

    def apply_stored(self, record: registries.FleetRecord) -> None:
        """Take over the claims that the platform stores."""
        now = self._clock()
        self._versions = {}
        self._era = record.era
        for row in record.rechecks:
            self._versions[self._registry.row_key(row)] = row.version
            age_s = max(0, record.store_ms - row.claimed_ms) / 1000
            if age_s <= poison.RETENTION_S:
                self._schedule.record(
                    schedules.Recheck(row.fingerprint, row.number, now - age_s)
                )

    def record_restore(self) -> None:
        """Record that the store was restored from an older copy."""
        self._versions = None

    async def run(self) -> None:
        """Claim the rechecks that are due, until cancelled."""
        while True:
            await self._is_wanted.wait()
            self._is_wanted.clear()
            while self._wanted:
                key = next(iter(self._wanted))
                await asyncio.sleep(self._rng.uniform(0, self._spread_s()))
                self._wanted.pop(key, None)
                if self._is_due(key) and not await self._claim(key):
                    await asyncio.sleep(RETRY_S * self._rng.uniform(0.5, 1.5))

    def _find_verdict(self, job: jobs.Job) -> poison.Fingerprint | None:
        """Return the verdict that a run of a request would check.

        It is the one that the fewest requests match.
        """
        keys = self._parts.matching_verdicts(job.shared_parts)
        if keys:
            return max(
                keys, key=lambda key: (len(prompt_parts.parts_of(key)), key)
            )
        if self._state.is_refused(job.fingerprint, self._clock()):
            return job.fingerprint
        return None

    def _can_check(self, job: jobs.Job, key: poison.Fingerprint) -> bool:
        """Return whether a request is the one to check a verdict now.

        If it crashed its target for another reason, that would confirm the
        verdict.
        """
        if key == job.fingerprint:
            return True
        now = self._clock()
        if self._state.is_refused(job.fingerprint, now):
            return False
        parts = prompt_parts.parts_of(key)
        is_suspect = self._state.crashes_of(job.fingerprint) or any(
            self._parts.evidence.is_suspect(part)
            for part in job.shared_parts
            if part not in parts
        )
        claim = self._claims.get(key)
        due_at = self._due_at(key) if claim is None else claim.claimable_at
        return not is_suspect or (
            due_at is not None and now >= due_at + SUSPECT_DELAY_S
        )

    def _newest(self, key: poison.Fingerprint) -> schedules.Recheck | None:
        """Return the newest recheck of the verdict that is in force."""
        newest = self._schedule.newest(key)
        evidence_at = self._parts.evidence_at(key)
        if (
            newest is not None
            and evidence_at is not None
            and newest.claimed_at < evidence_at
        ):
            self._schedule.forget(key)
            return None
        return newest

    def _due_at(self, key: poison.Fingerprint) -> float | None:
        """Return when the next recheck is due; ``None`` if there is none."""
        verdict_at = self._state.verdict_at(key)
        if verdict_at is None:
            return None
        return schedules.due_at(key, verdict_at, self._newest(key))

    def _spread_s(self) -> float:
        if self.exchange is None:
            return 0.0
        return min(MAX_SPREAD_S, SPREAD_S * len(self.exchange.live()))

    def _is_due(self, key: poison.Fingerprint) -> bool:
        due_at = self._due_at(key)
        return due_at is not None and self._clock() >= due_at

    async def _claim(self, key: poison.Fingerprint) -> bool:
        """Claim the next recheck; return whether there is none left to claim.

        If the outcome of the write is unknown, nobody uses the claim.
        """
        try:
            if self._versions is None:
                self.apply_stored(await self._registry.read_fleet())
            due_at = self._due_at(key)
            if due_at is None or self._clock() < due_at:
                return True
            row = self._next_row(key)
            if row is None:
                return False
            stored = await self._registry.write_recheck(row)
        except exceptions.PlatformError as exc:
            if not isinstance(exc, exceptions.TableUnavailable):
                # Another instance was first, or the row may have changed.
                self._versions = None
            self._log.write(
                "recheck_not_claimed", fingerprint=key, error=str(exc)
            )
            return False
        recheck = schedules.Recheck(key, stored.number, self._clock(), due_at)
        self._record_version(key, stored.version)
        self._schedule.record(recheck)
        self._claims[key] = recheck
        self._log.write(
            "recheck_claimed", fingerprint=key, number=recheck.number
        )
        if self.exchange is not None:
            self.exchange.send(
                self.exchange.live(),
                messages.RecheckNotice(
                    self._instance, key, stored.number, 0, stored.version
                ),
            )
        return True

    def _next_row(
        self, key: poison.Fingerprint
    ) -> registries.StoredRecheck | None:
        """Return the row of the next claim, if the store's time is known."""
        store_ms = self._store_time_ms(self._clock())
        if store_ms is None:
            return None
        newest = self._newest(key)
        row = registries.StoredRecheck(
            key,
            1 if newest is None else newest.number + 1,
            round(store_ms),
            versions.StoreVersion(self._era, 0),
        )
        assert self._versions is not None
        version = self._versions.get(self._registry.row_key(row), row.version)
        return registries.StoredRecheck(
            row.fingerprint, row.number, row.claimed_ms, version
        )

    def _record_version(
        self, key: poison.Fingerprint, version: versions.StoreVersion
    ) -> None:
        if self._versions is None:
            return
        row = registries.StoredRecheck(key, 0, 0, version)
        row_key = self._registry.row_key(row)
        known = self._versions.get(row_key, version)
        self._versions[row_key] = max(known, version)
        self._era = max(self._era, version.era)
