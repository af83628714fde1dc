"""Event loop in virtual time, which passes only while nothing can run."""

import asyncio
from collections.abc import Coroutine
import selectors
from typing import Any
from typing import TypeVar

__all__ = ["VirtualLoop", "run"]

ResultT = TypeVar("ResultT")


class _Selector(selectors.SelectSelector):
    """Let time pass instead of waiting for it."""

    now = 0.0

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            raise RuntimeError("nothing left to wait for")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run timers in order, without waiting for them."""

    def __init__(self) -> None:
        self._selector_in_time = _Selector()
        super().__init__(self._selector_in_time)

    def time(self) -> float:
        return self._selector_in_time.now


def run(main: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Run a coroutine in virtual time, from 0."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
