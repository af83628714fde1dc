"""In-memory table service with a scripted fault for each call."""

import asyncio
import collections
from collections.abc import Iterable
from collections.abc import Sequence
import enum

from sassafrasflow import exceptions
from sassafrasflow import storage

__all__ = ["MemoryTable", "WriteFault"]


class WriteFault(enum.Enum):
    """List the faults of a write."""

    NONE = "none"
    UNAVAILABLE = "unavailable"
    LOST_REQUEST = "lost_request"
    LOST_ANSWER = "lost_answer"
    LATE = "late"


class MemoryTable(storage.TableService):
    """Apply transactions in memory.

    Writes with the fault ``LATE`` wait until ``apply_late_writes``.
    """

    def __init__(self, faults: Iterable[WriteFault] = ()) -> None:
        self.rows: dict[str, storage.Row] = {}
        self.faults = collections.deque(faults)
        self.read_faults: collections.deque[bool] = collections.deque()
        self.reads_fail = False
        self.down = False
        self.transactions = 0
        self._late: list[
            tuple[Sequence[storage.Condition], Sequence[storage.Write]]
        ] = []

    async def get(self, key: str) -> storage.Row | None:
        await asyncio.sleep(0)
        self._check_read()
        return self.rows.get(key)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> list[storage.Row]:
        self._check_read()
        keys = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        return [self.rows[key] for key in keys[:limit]]

    async def transact(
        self,
        conditions: Sequence[storage.Condition],
        writes: Sequence[storage.Write],
    ) -> None:
        await asyncio.sleep(0)
        if self.down:
            raise exceptions.TableUnavailable("table: down")
        self.transactions += 1
        fault = self.faults.popleft() if self.faults else WriteFault.NONE
        if fault is WriteFault.UNAVAILABLE:
            raise exceptions.TableUnavailable("table: unavailable")
        if fault is WriteFault.LATE:
            self._late.append((conditions, writes))
        elif fault is not WriteFault.LOST_REQUEST:
            self._apply(conditions, writes)
        if fault is not WriteFault.NONE:
            raise exceptions.TableOutcomeUnknown("table: no answer")

    def apply_late_writes(self) -> None:
        """Apply the late writes whose conditions still hold."""
        late, self._late = self._late, []
        for conditions, writes in late:
            try:
                self._apply(conditions, writes)
            except exceptions.TableConflict:
                continue

    def _check_read(self) -> None:
        fails = self.read_faults.popleft() if self.read_faults else False
        if self.down or self.reads_fail or fails:
            raise exceptions.TableUnavailable("table: down")

    def _apply(
        self,
        conditions: Sequence[storage.Condition],
        writes: Sequence[storage.Write],
    ) -> None:
        for condition in conditions:
            if self._version(condition.key) != condition.version:
                raise exceptions.TableConflict("a condition failed")
        for write in writes:
            if write.value is None:
                self.rows.pop(write.key, None)
                continue
            version = self._version(write.key) + 1
            row = storage.Row(write.key, write.value, version)
            self.rows[write.key] = row

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else 0
