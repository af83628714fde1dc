"""Batches of conditional row changes for one table transaction."""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from sassafrasflow import storage

__all__ = ["PendingChange", "RowChange", "split_stale", "split_batch"]


class RowChange(msgspec.Struct, frozen=True):
    """Change of a row, if the row still has the given version.

    Version 0 means that the row must not exist; a value of ``None`` deletes
    the row.
    """

    key: str
    version: int
    value: bytes | None

    def condition(self) -> storage.Condition:
        """Return the condition under which the change applies."""
        return storage.Condition(self.key, self.version)

    def write(self) -> storage.Write:
        """Return the write that makes the change."""
        return storage.Write(self.key, self.value)


class PendingChange:
    """Change, with the future on which its caller waits."""

    def __init__(
        self, change: RowChange, outcome: asyncio.Future[None]
    ) -> None:
        self.change = change
        self.outcome = outcome

    def succeed(self) -> None:
        """Report to the caller that the change took effect."""
        if not self.outcome.done():
            self.outcome.set_result(None)

    def fail(self, exc: Exception) -> None:
        """Report to the caller why the change failed or may have failed."""
        if not self.outcome.done():
            self.outcome.set_exception(exc)


def split_batch(
    pending: Iterable[PendingChange], limit: int
) -> tuple[list[PendingChange], list[PendingChange]]:
    """Split off the next batch; return it and the rest in order of arrival.

    A batch contains each row at most once. With two changes of one row, the
    conditions of both would hold, and the second would replace the first.
    """
    batch: list[PendingChange] = []
    rest: list[PendingChange] = []
    keys: set[str] = set()
    for item in pending:
        if len(batch) < limit and item.change.key not in keys:
            batch.append(item)
        else:
            rest.append(item)
        keys.add(item.change.key)
    return batch, rest


def split_stale(
    batch: Iterable[PendingChange], versions: Mapping[str, int]
) -> tuple[list[PendingChange], list[PendingChange]]:
    """Split a batch into changes whose condition fails and the others."""
    stale: list[PendingChange] = []
    current: list[PendingChange] = []
    for item in batch:
        holds = versions[item.change.key] == item.change.version
        (current if holds else stale).append(item)
    return stale, current
