"""Group commit of the row changes of one instance."""

import asyncio

from loguru import logger
import msgspec

from sassafrasflow import exceptions
from sassafrasflow import observability
from sassafrasflow import storage
from sassafrasflow.calls import batch as batches

__all__ = ["RowWriter", "WriterPolicy"]


class WriterPolicy(msgspec.Struct, frozen=True):
    """Limits of the size and rate of transactions.

    ``burst`` transactions may follow each other without a delay; after that
    there is one per interval.
    """

    max_batch: int = 64
    interval_ms: int = 20
    burst: int = 10


class RowWriter:
    """Commit together the changes that arrive during a transaction.

    At most one transaction is in flight. The writer never repeats a change.
    """

    def __init__(
        self,
        table: storage.TableService,
        policy: WriterPolicy,
        metrics: observability.Metrics,
    ) -> None:
        self._table = table
        self._policy = policy
        self._metrics = metrics
        self._pending: list[batches.PendingChange] = []
        self._task: asyncio.Task[None] | None = None
        self._next_at = 0.0

    async def close(self) -> None:
        """Stop the writer; pending changes fail and are not written."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        closed = exceptions.TableUnavailable("the instance is closing")
        _fail_all(self._pending, closed)

    async def commit(self, change: batches.RowChange) -> None:
        """Commit a change and wait for its result.

        Raises
        ------
        TableConflict : the row has another version
        TableUnavailable : the table could not be reached, and nothing was
            written
        TableOutcomeUnknown : the change may have taken effect
        """
        outcome: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending.append(batches.PendingChange(change, outcome))
        if self._task is None or self._task.done():
            self._task = asyncio.create_task(self._flush())
        await outcome

    async def _flush(self) -> None:
        while self._pending:
            batch, self._pending = batches.split_batch(
                self._pending, self._policy.max_batch
            )
            await self._commit(batch)
            await asyncio.sleep(self._delay_s())

    def _delay_s(self) -> float:
        now = asyncio.get_running_loop().time()
        interval_s = self._policy.interval_ms / 1000
        earliest = now - self._policy.burst * interval_s
        self._next_at = max(self._next_at, earliest) + interval_s
        return max(0.0, self._next_at - now)

    async def _commit(self, batch: list[batches.PendingChange]) -> None:
        self._metrics.add(observability.Counter.CLAIM_TRANSACTIONS)
        try:
            await self._table.transact(
                [item.change.condition() for item in batch],
                [item.change.write() for item in batch],
            )
        except exceptions.TableConflict as exc:
            await self._resolve_conflict(batch, exc)
        except exceptions.PlatformError as exc:
            _fail_all(batch, exc)
        except asyncio.CancelledError as exc:
            _fail_all(batch, exceptions.TableOutcomeUnknown(repr(exc)))
            raise
        except Exception as exc:
            logger.exception("calls: Transaction failed: {!r}.", exc)
            _fail_all(batch, exceptions.TableOutcomeUnknown(repr(exc)))
        else:
            self._metrics.add(
                observability.Counter.CLAIM_ROWS_WRITTEN, len(batch)
            )
            for item in batch:
                item.succeed()

    async def _resolve_conflict(
        self,
        batch: list[batches.PendingChange],
        conflict: exceptions.TableConflict,
    ) -> None:
        if len(batch) == 1:
            batch[0].fail(conflict)
            return
        try:
            versions = await self._versions(batch)
        except exceptions.PlatformError as exc:
            # The conflict means that no change of the batch was written.
            _fail_all(batch, exceptions.TableUnavailable(repr(exc)))
            return
        stale, current = batches.split_stale(batch, versions)
        _fail_all(stale, conflict)
        if stale and current:
            await self._commit(current)
        elif current:
            # Every row has its expected version now, so a row changed between
            # the transaction and the read. A transaction of a single change
            # has a certain result.
            for item in current:
                await self._commit([item])

    async def _versions(
        self, batch: list[batches.PendingChange]
    ) -> dict[str, int]:
        keys = [item.change.key for item in batch]
        rows = await asyncio.gather(*(self._table.get(key) for key in keys))
        return {
            key: row.version if row else 0
            for key, row in zip(keys, rows, strict=True)
        }


def _fail_all(batch: list[batches.PendingChange], exc: Exception) -> None:
    for item in batch:
        item.fail(exc)
