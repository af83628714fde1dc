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
    """Refresh the copy of one run, and replace it if its holder is lost.

    A run that began without a copy gets one when a holder is found. Copies
    count at their holder from their order on.
    """

    def __init__(
        self,
        maker: CopyMaker,
        source: targets.Target,
        attempt_id: str,
        first: Copy | None,
        choose: Callable[[], Awaitable[targets.Target | None]],
        is_lost: Callable[[targets.Target], bool],
        may_search: Callable[[], bool],
        count: Callable[[targets.Target, int], None],
        on_change: Callable[[Copy | None, Copy], None],
    ) -> None:
        self.copy = first
        self._maker = maker
        self._source = source
        self._attempt_id = attempt_id
        self._choose = choose
        self._is_lost = is_lost
        self._may_search = may_search
        self._count = count
        self._on_change = on_change
        self._failures = 0

    async def run(self) -> None:
        """Maintain the copy until cancelled or after repeated failures."""
        while self._failures < MAX_CONSECUTIVE_FAILURES:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self.copy is None or self._is_lost(self.copy.holder):
                if self.copy is None and not self._may_search():
                    continue
                holder = await self._choose()
                if holder is not None:
                    await self._make_copy(holder)
            elif self.copy.handle is not None:
                await asyncio.sleep(REFRESH_INTERVAL_S - CHECK_INTERVAL_S)
                await self._make_copy(self.copy.holder)

    async def _make_copy(self, holder: targets.Target) -> None:
        source = self._source.listed
        old = self.copy
        is_new = old is None or old.holder is not holder
        if is_new:
            self._count(holder, 1)
        handle: str | None = None
        try:
            handle = await self._maker.make(
                source, self._attempt_id, holder.listed
            )
        finally:
            if is_new and handle is None:
                self._count(holder, -1)
        if handle is None:
            self._failures += 1
            await asyncio.sleep(RETRY_DELAY_S)
            return
        self._failures = 0
        self.copy = Copy(holder, source, handle)
        if is_new and old is not None:
            self._count(old.holder, -1)
        self._on_change(old, self.copy)

    def close(self) -> None:
        """Stop counting the copy, as its run has ended."""
        if self.copy is not None:
            self._count(self.copy.holder, -1)
