"""Sweeper that deletes old claims at a bounded rate."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

from loguru import logger
import msgspec

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import periodic
from sassafrasflow import storage
from sassafrasflow.calls import claim as claims

__all__ = ["ClaimSweeper", "SweepPolicy", "expired"]

PREFIX = "claim/"


class SweepPolicy(msgspec.Struct, frozen=True):
    """How long claims are kept, and how fast expired ones are deleted.

    An unresolved claim is kept longer, because its call may have run.
    """

    kept_ms: int = 86_400_000
    unresolved_kept_ms: int = 2_592_000_000
    interval_ms: int = 600_000
    page_rows: int = 100
    max_writes_per_s: int = 5


def expired(
    rows: Iterable[storage.Row], now: float, policy: SweepPolicy
) -> list[storage.Row]:
    """Return the rows whose claims are older than their retention time."""
    return [row for row in rows if _is_expired(row, now, policy)]


def _is_expired(row: storage.Row, now: float, policy: SweepPolicy) -> bool:
    claim = msgspec.json.decode(row.value, type=claims.Claim)
    kept_ms = policy.kept_ms
    if claim.state is claims.ClaimState.CLAIMED:
        kept_ms = policy.unresolved_kept_ms
    return now - claim.claimed_at > kept_ms / 1000


class ClaimSweeper:
    """Delete expired claims periodically on the instance that sweeps."""

    def __init__(
        self,
        table: storage.TableService,
        policy: SweepPolicy,
        clock: clocks.Clock,
        is_sweeper: Callable[[], bool],
    ) -> None:
        self._table = table
        self._policy = policy
        self._clock = clock
        self._is_sweeper = is_sweeper
        self._periodic = periodic.Periodic(
            "calls", self._sweep_if_sweeper, lambda: policy.interval_ms / 1000
        )

    async def start(self) -> None:
        """Start to sweep in the background."""
        self._periodic.start()

    async def close(self) -> None:
        """Stop sweeping."""
        await self._periodic.close()

    async def sweep(self) -> int:
        """Scan all claims once and return how many were deleted."""
        deleted = 0
        after = ""
        while rows := await self._table.scan(
            PREFIX, after=after, limit=self._policy.page_rows
        ):
            after = rows[-1].key
            old = expired(rows, self._clock.wall(), self._policy)
            deleted += await self._delete(old)
            await asyncio.sleep(1 / self._policy.max_writes_per_s)
        return deleted

    async def _delete(self, rows: list[storage.Row]) -> int:
        if not rows:
            return 0
        try:
            await self._table.transact(
                [storage.Condition(row.key, row.version) for row in rows],
                [storage.Write(row.key, None) for row in rows],
            )
        except exceptions.TableConflict:
            # A row has changed in between, so nothing was deleted; the next
            # sweep scans these rows again.
            return 0
        return len(rows)

    async def _sweep_if_sweeper(self) -> None:
        if not self._is_sweeper():
            return
        try:
            count = await self.sweep()
        except exceptions.PlatformError as exc:
            logger.warning("calls: Sweep failed: {}.", exc)
        else:
            logger.info("calls: Deleted {} old claims.", count)
