"""Polling of the engines' cache events for the prefix index."""

import asyncio

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import periodic
from sassafrasflow.routing import prefixes
from sassafrasflow.targets import directory as directories
from sassafrasflow.targets import target as targets

__all__ = ["CacheFeed"]


class CacheFeed:
    """Poll each ready engine for the blocks that its cache gained and lost."""

    def __init__(
        self,
        directory: directories.TargetDirectory,
        index: prefixes.PrefixIndex,
        interval_ms: int,
    ) -> None:
        self._directory = directory
        self._index = index
        self._polled_targets: set[ids.TargetId] = set()
        self._periodic = periodic.Periodic(
            "routing", self.poll, lambda: interval_ms / 1000
        )

    async def start(self) -> None:
        """Start polling in the background."""
        self._periodic.start()

    async def close(self) -> None:
        """Stop polling."""
        await self._periodic.close()

    async def poll(self) -> None:
        """Poll every ready engine once."""
        ready = [
            target
            for target in self._directory.ready_targets()
            if target.is_engine
        ]
        await asyncio.gather(*(self._poll_engine(target) for target in ready))
        self._remove_vanished()

    async def _poll_engine(self, target: targets.Target) -> None:
        after = self._index.sequence(target.id)
        try:
            engine = self._directory.engine(target.id)
            events = await engine.cache_events(after)
        except exceptions.TargetError:
            return
        self._index.apply(target.id, events)
        self._polled_targets.add(target.id)

    def _remove_vanished(self) -> None:
        for target_id in list(self._polled_targets):
            if self._directory.find(target_id) is None:
                self._index.remove_target(target_id)
                self._polled_targets.discard(target_id)
