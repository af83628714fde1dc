"""Work that has to wait for the data that has arrived."""

import asyncio
from collections.abc import Callable

__all__ = ["call_after_reads"]


def call_after_reads(action: Callable[[], None]) -> None:
    """Call a function after the data that already waits has been read.

    After a suspension of this process, timers run before the data that
    arrived meanwhile is read.
    """
    asyncio.get_running_loop().call_later(0, action)
