"""Write verdicts on requests, and crashes, to the platform."""

import asyncio
from collections.abc import Callable
import itertools

from sassafrasflow import exceptions
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import telemetry

__all__ = ["VerdictWriter"]

# Verdicts are rare, and outages of the platform last for seconds.
RETRY_S = 1.0


class VerdictWriter:
    """Write what instances that start later have to know.

    Verdicts go before crashes. What can't be written is tried again.
    """

    def __init__(
        self,
        registry: registries.Registry,
        remaining_s: Callable[[poison.Fingerprint], float],
        evidence_at: Callable[[poison.Fingerprint], float | None],
        store_time_ms: Callable[[float], float | None],
        clock: Callable[[], float],
        log: telemetry.EventLog,
    ) -> None:
        self._registry = registry
        self._remaining_s = remaining_s
        self._evidence_at = evidence_at
        self._store_time_ms = store_time_ms
        self._clock = clock
        self._log = log
        # What waits, with the number of its last addition: what is added
        # again during its write is written again.
        self._verdicts: dict[poison.Fingerprint, int] = {}
        self._crashes: dict[prompt_parts.PartCrash, int] = {}
        self._numbers = itertools.count()
        # What this instance has written; the oldest are dropped.
        self._saved: dict[poison.Fingerprint | prompt_parts.PartCrash, None]
        self._saved = {}
        self._added = asyncio.Event()

    @property
    def unsaved_count(self) -> int:
        """Return the number of verdicts and crashes that wait."""
        return len(self._verdicts) + len(self._crashes)

    def add_verdict(self, fingerprint: poison.Fingerprint) -> None:
        """Schedule the write of the current verdict on a request."""
        self._verdicts[fingerprint] = next(self._numbers)
        self._added.set()

    def add_crash(self, crash: prompt_parts.PartCrash) -> None:
        """Schedule the write of a crash."""
        self._crashes[crash] = next(self._numbers)
        self._added.set()

    def has_saved(
        self, item: poison.Fingerprint | prompt_parts.PartCrash
    ) -> bool:
        """Return whether this instance wrote a verdict or a crash."""
        return item in self._saved

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            while self.unsaved_count:
                if not await self._write_next():
                    await asyncio.sleep(RETRY_S)
            await self._added.wait()
            self._added.clear()

    async def _write_next(self) -> bool:
        """Write one row; return whether it is saved.

        Nothing is written while the store's time is unknown.
        """
        store_ms = self._store_time_ms(self._clock())
        if store_ms is None:
            return False
        if self._verdicts:
            fingerprint, number = next(iter(self._verdicts.items()))
            if not await self._write_verdict(fingerprint, store_ms):
                return False
            self._record_saved(fingerprint)
            if self._verdicts[fingerprint] == number:
                del self._verdicts[fingerprint]
            return True
        crash, number = next(iter(self._crashes.items()))
        if not await self._write_crash(crash, store_ms):
            return False
        self._record_saved(crash)
        if self._crashes[crash] == number:
            del self._crashes[crash]
        return True

    def _record_saved(
        self, item: poison.Fingerprint | prompt_parts.PartCrash
    ) -> None:
        self._saved[item] = None
        while len(self._saved) > poison.MAX_REQUESTS:
            del self._saved[next(iter(self._saved))]

    def stored_verdict(
        self, fingerprint: poison.Fingerprint, store_ms: float
    ) -> registries.RefusedRequest:
        """Return the row of the current verdict on a request."""
        remaining_s = self._remaining_s(fingerprint)
        until_ms = round(store_ms + 1000 * remaining_s) if remaining_s else 0
        evidence_at = self._evidence_at(fingerprint)
        evidence_ms = None
        if evidence_at is not None:
            evidence_ms = self._to_store_ms(evidence_at, store_ms)
        return registries.RefusedRequest(fingerprint, until_ms, evidence_ms)

    def stored_crash(
        self, crash: prompt_parts.PartCrash, store_ms: float
    ) -> registries.StoredPartCrash:
        """Return the row of a crash."""
        return registries.StoredPartCrash(
            crash.request,
            crash.target,
            crash.started_ms,
            crash.data_centre,
            self._to_store_ms(crash.crashed_at, store_ms),
            crash.parts,
        )

    async def _write_verdict(
        self, fingerprint: poison.Fingerprint, store_ms: float
    ) -> bool:
        row = self.stored_verdict(fingerprint, store_ms)
        try:
            await self._registry.write_refused(row)
        except exceptions.PlatformError as exc:
            self._log.write(
                "verdict_not_saved", fingerprint=fingerprint, error=str(exc)
            )
            return False
        self._log.write(
            "verdict_saved",
            fingerprint=fingerprint,
            left_s=max(0, round((row.until_ms - store_ms) / 1000)),
        )
        return True

    async def _write_crash(
        self, crash: prompt_parts.PartCrash, store_ms: float
    ) -> bool:
        try:
            await self._registry.write_part_crash(
                self.stored_crash(crash, store_ms)
            )
        except exceptions.PlatformError as exc:
            self._log.write(
                "part_crash_not_saved", target=crash.target, error=str(exc)
            )
            return False
        return True

    def _to_store_ms(self, at: float, store_ms: float) -> int:
        """Convert a time of this instance to that of the store."""
        return round(store_ms - 1000 * (self._clock() - at))
