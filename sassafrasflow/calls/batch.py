"""Batch: many conditional row changes in one table transaction."""

import asyncio
from collections.abc import Iterable
from collections.abc import Mapping

import msgspec

from sassafrasflow import storage

__all__ = ["PendingChange", "RowChange", "split_stale", "split_batch"]


class RowChange(msgspec.Struct, frozen=True):
    """Set a row that still has a version; version 0 means none."""

    key: str
    version: int
    value: bytes | None

    def condition(self) -> storage.Condition:
        """Return the condition under which the change applies."""
        return storage.Condition(self.key, self.version)

    def write(self) -> storage.Write:
        """Return the write of the change."""
        return storage.Write(self.key, self.value)


class PendingChange:
    """Hold a change and the future that its caller waits on."""

    def __init__(
        self, change: RowChange, outcome: asyncio.Future[None]
    ) -> None:
        self.change = change
        self.outcome = outcome

    def succeed(self) -> None:
        """Tell the caller that the change took effect."""
        if not self.outcome.done():
            self.outcome.set_result(None)

    def fail(self, exc: Exception) -> None:
        """Tell the caller why the change is not known to hold."""
        if not self.outcome.done():
            self.outcome.set_exception(exc)


def split_batch(
    pending: Iterable[PendingChange], limit: int
) -> tuple[list[PendingChange], list[PendingChange]]:
    """Return the next batch and the rest, in order of arrival.

    A batch holds a row at most once: both conditions of two changes of
    one row would hold, and the second would replace the first.
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
    """Return the changes whose condition fails, and the others."""
    stale: list[PendingChange] = []
    current: list[PendingChange] = []
    for item in batch:
        holds = versions[item.change.key] == item.change.version
        (current if holds else stale).append(item)
    return stale, current
