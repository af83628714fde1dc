"""Model of engines whose streams share slots, memory and prompt processing.

The figures come from the pages of the platform and were checked against days
that were run. An engine sends events every 30 ms, or every 230 ms while it
reads a prompt. It reads 8,200 tokens in one second.
"""

import msgspec

__all__ = ["Engine", "EngineFigures", "Stream"]


class EngineFigures(msgspec.Struct, frozen=True):
    """Hold the capacity and speed of one kind of engine."""

    slots: int = 12
    memory_tokens: int = 88_000
    prompt_tokens_per_s: float = 8_000.0
    event_s: float = 0.03
    # Interval of events while the engine also reads a prompt.
    slow_event_s: float = 0.23


class Stream(msgspec.Struct, eq=False):
    """Track one request through all its runs."""

    arrived_at: float
    prompt_tokens: int = 8_200
    events: int = 140
    # Prompt tokens that are still to be read, and events produced so far.
    unread_tokens: float = 8_200.0
    produced_events: float = 0.0
    first_at: float | None = None
    ended_at: float | None = None
    last_at: float | None = None
    longest_gap_s: float = 0.0
    runs: int = 0
    # The instance that handles the stream, and engines that rejected it.
    instance: int | None = None
    tried_engines: list[int] = msgspec.field(default_factory=list)

    @property
    def memory_tokens(self) -> float:
        """Return the tokens of the stream in the memory of its engine."""
        return (
            self.prompt_tokens - self.unread_tokens + 8 * self.produced_events
        )


class Engine:
    """Serve streams in small time steps."""

    def __init__(self, figures: EngineFigures, data_centre_index: int) -> None:
        self.figures = figures
        self.data_centre_index = data_centre_index
        self.running: list[Stream] = []
        self.waiting: list[Stream] = []
        self.alive = True

    def add(self, stream: Stream) -> None:
        """Queue a stream until a slot and enough memory are free."""
        stream.runs += 1
        self.waiting.append(stream)

    def crash(self) -> list[Stream]:
        """Drop and return every stream."""
        lost = self.running + self.waiting
        self.running, self.waiting = [], []
        self.alive = False
        return lost

    def step(self, now: float, step_s: float) -> list[Stream]:
        """Advance by one step; return the streams that have ended."""
        self._admit()
        prefilling = next(
            (each for each in self.running if each.unread_tokens), None
        )
        if prefilling is not None:
            read_tokens = self.figures.prompt_tokens_per_s * step_s
            prefilling.unread_tokens = max(
                0.0, prefilling.unread_tokens - read_tokens
            )
        event_interval_s = self.figures.event_s
        if prefilling is not None:
            event_interval_s = self.figures.slow_event_s
        ended = []
        for stream in list(self.running):
            if stream.unread_tokens:
                continue
            events_before = int(stream.produced_events)
            stream.produced_events += step_s / event_interval_s
            if (
                int(stream.produced_events) > events_before
                or stream.first_at is None
            ):
                self._record_event(stream, now)
            if stream.produced_events >= stream.events:
                stream.ended_at = now
                self.running.remove(stream)
                ended.append(stream)
        return ended

    def _admit(self) -> None:
        used = sum(
            stream.memory_tokens + stream.unread_tokens
            for stream in self.running
        )
        while self.waiting and len(self.running) < self.figures.slots:
            needed = self.waiting[0].prompt_tokens
            if used + needed > self.figures.memory_tokens:
                return
            used += needed
            self.running.append(self.waiting.pop(0))

    @staticmethod
    def _record_event(stream: Stream, now: float) -> None:
        if stream.first_at is None:
            stream.first_at = now
        elif stream.last_at is not None:
            gap_s = now - stream.last_at
            stream.longest_gap_s = max(stream.longest_gap_s, gap_s)
        stream.last_at = now
