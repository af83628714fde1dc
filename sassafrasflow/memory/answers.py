"""Room for the body of an answer in the account of its caller."""

import types

from sassafrasflow.memory import account as accounts

__all__ = ["AnswerRoom"]

# Memory for an answer of unknown length is reserved in steps of this size.
STEP_BYTES = 8 * 1024
# An answer is copied when it is complete, and when it is written.
COPIES = 2


class AnswerRoom:
    """Reservation for one answer, up to the largest one allowed.

    Leaving its context releases it unless the answer is kept.
    """

    def __init__(
        self, holding: accounts.Holding | None, limit_bytes: int
    ) -> None:
        self._holding = holding
        self._limit_bytes = limit_bytes
        self._reserved_bytes = 0
        self._is_kept = False
        # Whether the answer was not read for a while, as there was no room.
        self.has_waited = False

    def __enter__(self) -> "AnswerRoom":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        if not self._is_kept:
            self.release()

    def keep(self) -> None:
        """Keep the reservation until the request ends."""
        self._is_kept = True

    def release(self) -> None:
        """Release what was reserved for an answer that is not used."""
        if self._holding is not None:
            self._holding.add(
                accounts.Use.RUNNING, -COPIES * self._reserved_bytes
            )
        self._reserved_bytes = 0

    async def reserve(self, size: int) -> None:
        """Wait until there is room for a body of this size."""
        size = min(size, self._limit_bytes)
        if self._holding is None or size <= self._reserved_bytes:
            return
        more = max(size - self._reserved_bytes, STEP_BYTES)
        if await self._holding.admit(COPIES * more):
            self.has_waited = True
        self._reserved_bytes += more
