"""Background tasks that are restarted after an unexpected error.

If such an error ended the process, content that every instance reads would
end all of them, again after each start. So only the failed component starts
again, and the others go on.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import random
import traceback
from typing import Any

from sassafrasflow.gateway import telemetry

__all__ = ["Supervisor"]

# Delay before the first restart. It doubles with each further one, as long as
# the component does not run for RECOVERY_S.
MIN_DELAY_S = 0.2
MAX_DELAY_S = 5.0
RECOVERY_S = 10.0
MAX_TRACE_CHARS = 2000

Job = Callable[[], Coroutine[Any, Any, None]]


class Supervisor:
    """Run the background tasks of an instance."""

    def __init__(
        self,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, name: str, job: Job) -> None:
        """Run a job in the background, again after each error."""
        self._start_task(self._run(name, job))

    def start_once(self, name: str, job: Job) -> None:
        """Run a job in the background, and report an error."""
        self._start_task(self._run_once(name, job))

    async def close(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks)

    def handle_loop_error(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]
    ) -> None:
        """Report an error of a callback or of a task that nobody awaits."""
        message = str(context.get("message", ""))
        self._report("callback", context.get("exception"), message)

    def _start_task(self, run: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(run)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _run(self, name: str, job: Job) -> None:
        delay_s = MIN_DELAY_S
        while True:
            started_at = self._clock()
            if await self._run_once(name, job):
                return
            if self._clock() - started_at > RECOVERY_S:
                delay_s = MIN_DELAY_S
            # All instances may have failed at the same moment.
            await asyncio.sleep(self._rng.uniform(delay_s / 2, delay_s))
            delay_s = min(2 * delay_s, MAX_DELAY_S)

    async def _run_once(self, name: str, job: Job) -> bool:
        """Run a job; return whether a job ended without an error."""
        try:
            await job()
        except Exception as exc:
            self._report(name, exc)
            return False
        return True

    def _report(
        self, name: str, exc: BaseException | None, message: str = ""
    ) -> None:
        self._metrics.count("tasks_failed_total", task=name)
        trace = "".join(traceback.format_exception(exc))
        self._log.write(
            "task_failed",
            task=name,
            error=repr(exc),
            message=message,
            trace=trace[-MAX_TRACE_CHARS:],
        )
