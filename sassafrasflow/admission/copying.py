"""Which running stream without a copy gets one next."""

from collections.abc import Callable
from collections.abc import Sequence

import msgspec

__all__ = ["CopySearches", "RunningStream", "choose_next"]

# An instance searches a holder for a copy at most this often. Each search
# queries up to eight targets.
SEARCH_INTERVAL_S = 1.0
# No copy is ordered with less output than this to come: it would end before
# its first refresh.
MIN_REMAINING_S = 1.5


class RunningStream(msgspec.Struct, frozen=True):
    """Stream that runs without a copy.

    ``remaining_s`` is the expected time of its remaining output, 0 if it is
    not known.
    """

    prompt_tokens: int
    remaining_s: float
    is_prompt_read: bool


def choose_next(
    streams: Sequence[RunningStream], *, waiting: int
) -> int | None:
    """Return the position of the stream whose loss would cost most.

    The cost is its prompt, which is read again, and the risk rises with the
    output still to come. While streams wait for room, none gets a copy.
    """
    eligible = [
        position
        for position, stream in enumerate(streams)
        if stream.is_prompt_read and stream.remaining_s >= MIN_REMAINING_S
    ]
    if waiting or not eligible:
        return None
    return max(
        eligible,
        key=lambda position: (
            streams[position].prompt_tokens * streams[position].remaining_s
        ),
    )


class CopySearches:
    """Streams of an instance that look for the holder of a copy."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._next_at = 0.0
        self._streams: list[Callable[[], RunningStream]] = []

    def __len__(self) -> int:
        return len(self._streams)

    def add(self, describe: Callable[[], RunningStream]) -> None:
        """Add a stream by the function that describes it."""
        self._streams.append(describe)

    def remove(self, describe: Callable[[], RunningStream]) -> None:
        """Remove a stream that has a copy now, or has ended."""
        if describe in self._streams:
            self._streams.remove(describe)

    def try_begin(
        self, describe: Callable[[], RunningStream], waiting: int
    ) -> bool:
        """Return whether it is a stream's turn to search now."""
        now = self._clock()
        if now < self._next_at or describe not in self._streams:
            return False
        streams = [each() for each in self._streams]
        position = choose_next(streams, waiting=waiting)
        if position is None or self._streams[position] is not describe:
            return False
        self._next_at = now + SEARCH_INTERVAL_S
        return True
