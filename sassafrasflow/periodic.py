"""Background step that is repeated until it is closed.

Use it for polling and gossip: an unexpected error is logged, and the next
step runs all the same, so that no part of an instance stops for good.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from loguru import logger

__all__ = ["Periodic"]


class Periodic:
    """Run a step, wait, and run it again.

    ``interval_s`` is asked after each step for the seconds to wait.
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
        """Begin in the background, with a wait first unless told not to."""
        self._task = asyncio.create_task(self._repeat(at_once))

    async def close(self) -> None:
        """Stop, also in the middle of a step."""
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
