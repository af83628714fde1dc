"""Background task that repeats a step until it is closed.

Use it for polling and gossip. An unexpected exception in a step is logged
and the next step still runs, so that no component of an instance stops
permanently.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger

__all__ = ["Periodic"]


class Periodic:
    """Run a step repeatedly, with a wait after each run.

    ``interval_s`` is called after each step and returns the seconds to wait.
    The name is the prefix of log messages.
    """

    def __init__(
        self,
        name: str,
        step: Callable[[], Awaitable[object]],
        interval_s: Callable[[], float],
    ) -> None:
        self._name = name
        self._step = step
        self._interval_s = interval_s
        self._task: asyncio.Task[None] | None = None

    def start(self, *, at_once: bool = False) -> None:
        """Start the background task; it waits first unless ``at_once``."""
        self._task = asyncio.create_task(self._repeat(at_once))

    async def close(self) -> None:
        """Stop the background task, even in the middle of a step."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self._task = None

    async def _repeat(self, at_once: bool) -> None:
        if not at_once:
            await asyncio.sleep(self._interval_s())
        while True:
            try:
                await self._step()
            except Exception as exc:
                logger.exception("{}: Step failed: {!r}.", self._name, exc)
            await asyncio.sleep(self._interval_s())
