"""Moves of a stream to another target, while its old run goes on."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import contextlib

from sassafrasflow.gateway import copies
from sassafrasflow.gateway import runs

__all__ = ["ACCEPT_TIMEOUT_S", "Move", "OpenRun"]

# Two targets may work on a stream for 0.4 s at most. A target that rejects a
# request does so within 0.1 s, and one that continues a copy sends its first
# event within 0.16 s. One that is silent for longer has accepted the request.
ACCEPT_TIMEOUT_S = 0.25


class OpenRun:
    """Run that was sent, with the resources that it holds until its end."""

    def __init__(
        self,
        run: runs.Run,
        prefill: runs.Prefill,
        maintainer: copies.CopyMaintainer | None,
        resources: contextlib.ExitStack,
    ) -> None:
        self.run = run
        self.prefill = prefill
        # Move to another target that is under way, if any.
        self.move: Move | None = None
        self._maintainer = maintainer
        self._resources = resources
        self._used_copy: copies.Copy | None = None

    @property
    def copy(self) -> copies.Copy | None:
        """Return the copy from which the stream can be continued, if any."""
        if self._maintainer is None or not self.run.has_copy():
            return None
        copy = self._maintainer.copy
        return None if copy is self._used_copy else copy

    def record_copy_use(self, copy: copies.Copy | None) -> None:
        """Record that a run was sent to go on from a copy, which ends it."""
        if copy is not None:
            self._used_copy = copy
            self.run.silence.drop_copy()

    def close(self) -> None:
        """Release the resources, and stop the run if it has not finished."""
        self._resources.close()


class Move:
    """Start a stream's next run in the background."""

    def __init__(
        self,
        start: Coroutine[None, None, OpenRun | None],
        on_end: Callable[[], None],
    ) -> None:
        self._task = asyncio.get_running_loop().create_task(start)
        self._task.add_done_callback(lambda _: on_end())

    @property
    def ended(self) -> bool:
        """Return whether the next run was accepted or has failed."""
        return self._task.done()

    def result(self) -> OpenRun | None:
        """Return the accepted run, or ``None`` if no target accepted it."""
        return self._task.result()

    async def wait(self, timeout_s: float) -> None:
        """Wait until the move has ended, up to a timeout in seconds."""
        await asyncio.wait([self._task], timeout=max(0.0, timeout_s))

    async def stop(self) -> None:
        """Give up the move and stop the next run."""
        self._task.cancel()
        # The wait may be cancelled as well, but the run has to be closed.
        self._task.add_done_callback(_close_accepted)
        await asyncio.wait([self._task])


def _close_accepted(task: asyncio.Task[OpenRun | None]) -> None:
    """Close the run of a move that was given up."""
    if not task.cancelled():
        opened = task.result()
        if opened is not None:
            opened.close()
