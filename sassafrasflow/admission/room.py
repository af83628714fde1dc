"""Room of an engine: the memory, slots and waiting prompts it has now."""

import math

import msgspec

__all__ = [
    "UNKNOWN_AGE_S",
    "Demand",
    "DemandAverage",
    "Room",
    "demand_of",
    "expected_answer_tokens",
    "fits",
    "fits_copy",
    "wait_s",
]

# An engine reads 8 prompt tokens per millisecond.
PROMPT_TOKENS_PER_S = 8000.0
# Age of the figures of other instances where there are none.
UNKNOWN_AGE_S = math.inf
# The length hint is right at the median, so half of the answers are longer.
# Twice the hint covers most of them.
HINT_MARGIN = 2
# A hint may reduce the stated length of an answer to this share at most, as
# it is often far off and an engine that runs out of memory preempts streams.
# With prompts of 8,200 and answers of 780 tokens the error is at most 5% of
# the stream.
MIN_HINTED_SHARE = 0.5
# Weight of the newest demand in the average. The average then covers about
# the last 32 streams, so that a few prompts of four times the mean change it
# by less than their own size.
AVERAGE_WEIGHT = 1 / 32


class Demand(msgspec.Struct, frozen=True):
    """Tokens that a stream needs in an engine's memory, and must read first.

    ``tokens`` is the prompt and the expected answer.
    """

    tokens: int
    prefill_tokens: int


class Room(msgspec.Struct, frozen=True):
    """Figures of an engine, including what this instance knows of peers.

    ``used_tokens`` are those of streams and copies, ``prefill_tokens`` those
    of prompts that are not read yet. ``age_s`` is the age of the figures of
    other instances.
    """

    memory_tokens: int
    used_tokens: int
    prefill_tokens: int
    slots: int
    used_slots: int
    age_s: float = UNKNOWN_AGE_S

    @property
    def free_tokens(self) -> int:
        """Return the tokens that the engine can still accept."""
        return max(0, self.memory_tokens - self.used_tokens)


def fits(room: Room, demand: Demand) -> bool:
    """Return whether an engine has the memory and a slot for a stream."""
    return (
        room.used_slots < room.slots
        and room.used_tokens + demand.tokens <= room.memory_tokens
    )


def fits_copy(room: Room, copy: Demand, ordinary: Demand) -> bool:
    """Return whether a copy leaves room for one more ordinary stream."""
    needed = copy.tokens + ordinary.tokens
    return room.used_tokens + needed <= room.memory_tokens


def wait_s(room: Room, demand: Demand, pace: float = 1.0) -> float:
    """Return the time until a stream's first event.

    The engine reads the waiting prompts first and then the stream's own.
    """
    unread = room.prefill_tokens + demand.prefill_tokens
    return pace * unread / PROMPT_TOKENS_PER_S


def expected_answer_tokens(stated: int, hint: int) -> int:
    """Return the tokens to expect of an answer.

    ``stated`` is the number of the token counts and ``hint`` the caller's
    estimate, each 0 if it is not given. The hint never raises the former.
    """
    hinted = HINT_MARGIN * hint
    if not stated:
        return hinted
    if not hint:
        return stated
    return min(stated, max(hinted, math.ceil(MIN_HINTED_SHARE * stated)))


def demand_of(
    prompt_tokens: int,
    answer_tokens: int,
    length_hint: int,
    memory_tokens: int,
    ordinary: Demand,
) -> Demand:
    """Return the demand of a stream; that of an ordinary one without counts.

    No stream can use more than the whole memory, whatever its caller states.
    """
    if not prompt_tokens:
        return ordinary
    answer = expected_answer_tokens(answer_tokens, length_hint)
    if not answer_tokens:
        # A hint alone must not claim a whole engine.
        answer = min(answer, ordinary.tokens)
    return Demand(
        min(memory_tokens, prompt_tokens + answer),
        min(memory_tokens, prompt_tokens),
    )


class DemandAverage:
    """Average demand of a service's streams, as of an ordinary one.

    Before the first stream, the memory is taken to suffice for the slots.
    """

    def __init__(self, memory_tokens: int, slots: int) -> None:
        self._tokens = self._prefill_tokens = memory_tokens / max(1, slots)

    def record(self, demand: Demand) -> None:
        """Record the demand of one stream."""
        self._tokens += AVERAGE_WEIGHT * (demand.tokens - self._tokens)
        self._prefill_tokens += AVERAGE_WEIGHT * (
            demand.prefill_tokens - self._prefill_tokens
        )

    @property
    def ordinary(self) -> Demand:
        """Return the demand of an ordinary stream."""
        return Demand(round(self._tokens), round(self._prefill_tokens))
