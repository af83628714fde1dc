"""Maintain the copy of a run's KV cache when its holder is lost.

If data centres lose their engines in turn, every six seconds, a stream that
takes as long often loses the holder of its copy before its target.
"""

from abc import ABC
from abc import abstractmethod
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import msgspec

from sassafrasflow.gateway import targets

__all__ = ["Copy", "CopyMaintainer", "CopyMaker"]

CHECK_INTERVAL_S = 0.25
# A target keeps a copy that was made on request for 4 s after its last part.
REFRESH_INTERVAL_S = 1.5
RETRY_DELAY_S = 0.5
MAX_CONSECUTIVE_FAILURES = 4


class Copy(msgspec.Struct, frozen=True, eq=False):
    """Copy of a run's KV cache, and the target that holds it."""

    holder: targets.Target
    # Target of the run when the copy was requested; None for the copy that
    # was set up with the start of the run.
    source: targets.ListedTarget | None = None
    handle: str | None = None


class CopyMaker(ABC):
    """Request copies of the KV cache of runs."""

    @abstractmethod
    async def make(
        self,
        source: targets.ListedTarget,
        attempt_id: str,
        holder: targets.ListedTarget,
    ) -> str | None:
        """Copy a run from its source; return the handle of a complete copy.

        A further request for the same holder copies only what is new.
        Returns ``None`` if the copy failed.
        """


class CopyMaintainer:
    """Refresh the copy of one run, and replace it if its holder is lost."""

    def __init__(
        self,
        maker: CopyMaker,
        source: targets.Target,
        attempt_id: str,
        first: Copy,
        choose: Callable[[], Awaitable[targets.Target | None]],
        is_lost: Callable[[targets.Target], bool],
        on_change: Callable[[Copy, Copy], None],
    ) -> None:
        self.copy = first
        self._maker = maker
        self._source = source
        self._attempt_id = attempt_id
        self._choose = choose
        self._is_lost = is_lost
        self._on_change = on_change
        self._failures = 0

    async def run(self) -> None:
        """Maintain the copy until cancelled or after repeated failures."""
        while self._failures < MAX_CONSECUTIVE_FAILURES:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._is_lost(self.copy.holder):
                holder = await self._choose()
                if holder is not None:
                    await self._make_copy(holder)
            elif self.copy.handle is not None:
                await asyncio.sleep(REFRESH_INTERVAL_S - CHECK_INTERVAL_S)
                await self._make_copy(self.copy.holder)

    async def _make_copy(self, holder: targets.Target) -> None:
        source = self._source.listed
        handle = await self._maker.make(
            source, self._attempt_id, holder.listed
        )
        if handle is None:
            self._failures += 1
            await asyncio.sleep(RETRY_DELAY_S)
            return
        self._failures = 0
        old, self.copy = self.copy, Copy(holder, source, handle)
        self._on_change(old, self.copy)
