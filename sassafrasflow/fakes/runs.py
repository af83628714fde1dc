"""Run of one attempt on the fake engine."""

import asyncio

import msgspec

from sassafrasflow import engines

__all__ = ["Run"]


class Run:
    """Hold the events of one attempt, so that streams can resume."""

    def __init__(self, req: engines.EngineRequest) -> None:
        self.req = req
        self.events: list[bytes] = []
        self.end_indexes: list[int] = []
        self.done = False
        self.failed = False
        self.changed = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.readers = 0

    def add_event(self, event: engines.EngineEvent, end: int) -> None:
        self.events.append(msgspec.json.encode(event) + b"\n")
        self.end_indexes.append(end)
        self.wake_readers()

    def wake_readers(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
