"""What the gateway needs of the words that callers and targets speak."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Sequence

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import targets

__all__ = ["AnswerHead", "CallerHead", "Dispatch", "Header", "WireFormat"]

Header = tuple[bytes, bytes]


class CallerHead(msgspec.Struct, frozen=True):
    """Hold what a caller's headers say."""

    host: str
    attempt_id: str | None
    # Milliseconds that the caller will wait; None if it doesn't say.
    caller_timeout_ms: float | None
    keys: tuple[str, ...]
    # Last event that the caller already has.
    resume_after: int | None
    # Tokens of the prompt and most tokens of the answer.
    prompt_tokens: int
    answer_tokens: int
    # End-to-end headers that go to the target as they came.
    forwarded: tuple[Header, ...]
    wants_close: bool = False


class Dispatch(msgspec.Struct, frozen=True):
    """Hold what a target is told about one try."""

    target: targets.ListedTarget
    remaining_ms: int
    organisation: ids.OrganisationId | None
    rank: int | None = None
    # Where the target sends a copy of the run's memory.
    copy_to: targets.ListedTarget | None = None
    # Go on from the copy that this target holds.
    from_copy: bool = False
    # Where that copy was ordered, and its handle; a copy that the run was
    # started with is named by the target and the attempt id.
    copy_source: targets.ListedTarget | None = None
    copy_handle: str | None = None
    resume_after: int | None = None


class AnswerHead(msgspec.Struct, frozen=True):
    """Hold what a target's headers say."""

    attempt_id: str | None
    # The target says that it did not run the request.
    not_run: bool
    # Another start of a target answered: the expected one is gone.
    wrong_target: bool
    close: bool
    # Seconds after which the target closes an idle connection.
    idle_timeout_s: float | None
    forwarded: tuple[Header, ...]
    # The target is about to stop.
    leaving: bool = False
    # The target wants nothing from this instance for so long.
    pause_s: float | None = None
    # What it said of itself that makes no sense.
    rejected: str | None = None


class WireFormat(ABC):
    """Translate headers; each method is a pure function."""

    @abstractmethod
    def read_caller(self, headers: Sequence[Header]) -> CallerHead:
        """Decode a caller's headers.

        Raises
        ------
        ValueError : a header contradicts itself
        """

    @abstractmethod
    def target_headers(
        self, head: CallerHead, dispatch: Dispatch
    ) -> list[Header]:
        """Return the headers of one try."""

    @abstractmethod
    def read_answer(
        self, status: int, headers: Sequence[Header]
    ) -> AnswerHead:
        """Decode a target's headers."""

    @abstractmethod
    def refusal_headers(
        self, attempt_id: str | None, retry_after_s: float | None
    ) -> list[Header]:
        """Return the headers of an answer of our own."""
