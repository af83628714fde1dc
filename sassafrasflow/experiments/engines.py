"""A model of engines: prompts are read, tokens made, memory is shared.

Figures are those of the platform's pages, checked against days that were
played: events come every 30 ms when an engine is calm and every 230 ms while
it reads a prompt, which takes one second for 8,200 tokens.
"""

import msgspec

__all__ = ["Engine", "EngineFigures", "Stream"]


class EngineFigures(msgspec.Struct, frozen=True):
    """Hold the figures of one kind of engine."""

    slots: int = 12
    memory_tokens: int = 88_000
    prompt_tokens_per_s: float = 8_000.0
    event_s: float = 0.03
    # While a prompt is read between the tokens of others.
    slow_event_s: float = 0.23


class Stream(msgspec.Struct, eq=False):
    """Follow one request through its runs."""

    arrived_at: float
    prompt_tokens: int = 8_200
    events: int = 140
    # Prompt tokens still to be read, and events made.
    unread: float = 8_200.0
    made: float = 0.0
    first_at: float | None = None
    ended_at: float | None = None
    last_at: float | None = None
    longest_pause_s: float = 0.0
    runs: int = 0
    # The instance that has it, and engines that turned it away.
    instance: int | None = None
    tried: list[int] = msgspec.field(default_factory=list)

    @property
    def memory(self) -> float:
        """Return the tokens that the stream holds at its engine."""
        return self.prompt_tokens - self.unread + 8 * self.made


class Engine:
    """Serve streams in small steps of time."""

    def __init__(self, figures: EngineFigures, region: int) -> None:
        self.figures = figures
        self.region = region
        self.running: list[Stream] = []
        self.waiting: list[Stream] = []
        self.alive = True

    def add(self, stream: Stream) -> None:
        """Take a stream; it waits while there is no room."""
        stream.runs += 1
        self.waiting.append(stream)

    def crash(self) -> list[Stream]:
        """Lose every stream."""
        lost = self.running + self.waiting
        self.running, self.waiting = [], []
        self.alive = False
        return lost

    def step(self, now: float, step_s: float) -> list[Stream]:
        """Work for a step; return the streams that have ended."""
        self._admit()
        reading = next((each for each in self.running if each.unread), None)
        if reading is not None:
            amount = self.figures.prompt_tokens_per_s * step_s
            reading.unread = max(0.0, reading.unread - amount)
        pace_s = self.figures.event_s
        if reading is not None:
            pace_s = self.figures.slow_event_s
        ended = []
        for stream in list(self.running):
            if stream.unread:
                continue
            before = int(stream.made)
            stream.made += step_s / pace_s
            if int(stream.made) > before or stream.first_at is None:
                self._note_event(stream, now)
            if stream.made >= stream.events:
                stream.ended_at = now
                self.running.remove(stream)
                ended.append(stream)
        return ended

    def _admit(self) -> None:
        used = sum(stream.memory + stream.unread for stream in self.running)
        while self.waiting and len(self.running) < self.figures.slots:
            needed = self.waiting[0].prompt_tokens
            if used + needed > self.figures.memory_tokens:
                return
            used += needed
            self.running.append(self.waiting.pop(0))

    @staticmethod
    def _note_event(stream: Stream, now: float) -> None:
        if stream.first_at is None:
            stream.first_at = now
        elif stream.last_at is not None:
            pause = now - stream.last_at
            stream.longest_pause_s = max(stream.longest_pause_s, pause)
        stream.last_at = now
