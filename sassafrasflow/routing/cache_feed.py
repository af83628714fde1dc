"""Feed that polls engines' cache events into the prefix index."""

import asyncio

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import periodic
from sassafrasflow.routing import prefixes
from sassafrasflow.targets import directory as directories
from sassafrasflow.targets import target as targets

__all__ = ["CacheFeed"]


class CacheFeed:
    """Ask each ready engine for what its cache gained and lost."""

    def __init__(
        self,
        directory: directories.TargetDirectory,
        index: prefixes.PrefixIndex,
        interval_ms: int,
    ) -> None:
        self._directory = directory
        self._index = index
        self._followed: set[ids.TargetId] = set()
        self._periodic = periodic.Periodic(
            "routing", self.poll, lambda: interval_ms / 1000
        )

    async def start(self) -> None:
        """Begin to poll in the background."""
        self._periodic.start()

    async def close(self) -> None:
        """Stop polling."""
        await self._periodic.close()

    async def poll(self) -> None:
        """Ask every ready engine once."""
        ready = [
            target
            for target in self._directory.ready_targets()
            if target.is_engine
        ]
        await asyncio.gather(*(self._poll_one(target) for target in ready))
        self._forget_vanished()

    async def _poll_one(self, target: targets.Target) -> None:
        after = self._index.sequence(target.id)
        try:
            engine = self._directory.engine(target.id)
            events = await engine.cache_events(after)
        except exceptions.TargetError:
            return
        self._index.apply(target.id, events)
        self._followed.add(target.id)

    def _forget_vanished(self) -> None:
        for target_id in list(self._followed):
            if self._directory.find(target_id) is None:
                self._index.forget(target_id)
                self._followed.discard(target_id)
