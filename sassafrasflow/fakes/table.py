"""Table service in memory, with scripted faults, for unit tests."""

from collections.abc import Sequence
import enum

from sassafrasflow import exceptions
from sassafrasflow import platform

__all__ = ["Fault", "MemoryTable"]


class Fault(enum.Enum):
    """Name how one call fails."""

    UNAVAILABLE = "unavailable"
    ANSWER_LOST = "answer_lost"
    REQUEST_LOST = "request_lost"


class MemoryTable(platform.TableService):
    """Keep rows in memory; ``faults`` fail the next calls in turn."""

    def __init__(self) -> None:
        self.rows: dict[str, platform.Row] = {}
        self.read_faults: list[Fault | None] = []
        self.write_faults: list[Fault | None] = []
        self.down = False
        self.writes = 0

    async def get(self, key: str) -> platform.Row | None:
        self._read()
        return self.rows.get(key)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> list[platform.Row]:
        self._read()
        keys = sorted(
            key for key in self.rows if key.startswith(prefix) and key > after
        )
        return [self.rows[key] for key in keys[:limit]]

    async def transact(
        self,
        conditions: Sequence[platform.Condition],
        writes: Sequence[platform.Write],
    ) -> None:
        fault = self.write_faults.pop(0) if self.write_faults else None
        if self.down or fault is Fault.UNAVAILABLE:
            raise exceptions.TableUnavailable("down")
        if fault is Fault.REQUEST_LOST:
            raise exceptions.TableOutcomeUnknown("request lost")
        if any(self._version(c.key) != c.version for c in conditions):
            raise exceptions.TableConflict("a condition failed")
        for write in writes:
            self._apply(write)
        self.writes += 1
        if fault is Fault.ANSWER_LOST:
            raise exceptions.TableOutcomeUnknown("answer lost")

    def _read(self) -> None:
        fault = self.read_faults.pop(0) if self.read_faults else None
        if self.down or fault is not None:
            raise exceptions.TableUnavailable("down")

    def _version(self, key: str) -> int:
        row = self.rows.get(key)
        return row.version if row else 0

    def _apply(self, write: platform.Write) -> None:
        if write.value is None:
            self.rows.pop(write.key, None)
            return
        version = self._version(write.key) + 1
        self.rows[write.key] = platform.Row(write.key, write.value, version)
