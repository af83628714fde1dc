"""The part of the callers' and targets' protocol that the gateway uses."""

from abc import ABC
from abc import abstractmethod
from collections.abc import Sequence

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import targets

__all__ = ["AnswerHead", "CallerHead", "Dispatch", "Header", "WireFormat"]

Header = tuple[bytes, bytes]


class CallerHead(msgspec.Struct, frozen=True):
    """Decoded headers of a caller's request."""

    host: str
    attempt_id: str | None
    # Milliseconds that the caller will wait; None if it gives no limit.
    caller_timeout_ms: float | None
    keys: tuple[str, ...]
    # Id of the last event that the caller has received.
    resume_after: int | None
    # Number of tokens of the prompt, and maximum number for the answer.
    prompt_tokens: int
    answer_tokens: int
    # End-to-end headers, forwarded to the target unchanged.
    forwarded: tuple[Header, ...]
    wants_close: bool = False
    # Parts of the prompt that other requests may share, in order.
    shared_parts: tuple[ids.PromptPartId, ...] = ()
    # The caller's estimate of the tokens of the answer; 0 without one.
    length_hint: int = 0


class Dispatch(msgspec.Struct, frozen=True):
    """Content of the headers of one try."""

    target: targets.ListedTarget
    remaining_ms: int
    organisation: ids.OrganisationId | None
    rank: int | None = None
    # Target that receives a copy of the run's KV cache.
    copy_to: targets.ListedTarget | None = None
    # Whether to resume from a copy that the target holds.
    from_copy: bool = False
    # Source and handle of a copy made on request. The copy that was set up
    # with the start of the run is identified by the target and attempt id.
    copy_source: targets.ListedTarget | None = None
    copy_handle: str | None = None
    resume_after: int | None = None


class AnswerHead(msgspec.Struct, frozen=True):
    """Decoded headers of a target's answer."""

    attempt_id: str | None
    # The target states that it did not run the request.
    not_run: bool
    # Another target, or another incarnation of it, answered at the address,
    # so the expected one is gone.
    wrong_target: bool
    close: bool
    # Seconds after which the target closes an idle connection.
    idle_timeout_s: float | None
    forwarded: tuple[Header, ...]
    # Length that the target states; an answer to HEAD has no such body.
    body_bytes: int | None = None
    # The target announces that it will stop.
    leaving: bool = False
    # Seconds for which the target wants no requests from this instance.
    pause_s: float | None = None
    # An announcement of the target that is invalid.
    rejected: str | None = None
    # Callers take the status as a promise that the request has not run and
    # never will, whether or not the target states so.
    promises_not_run: bool = False

    @property
    def is_promise_unfounded(self) -> bool:
        """Return whether the status promises what the target doesn't state.

        A request that may run only once could be sent again on such an answer.
        """
        return self.promises_not_run and not self.not_run


class WireFormat(ABC):
    """Encode and decode headers; the methods are pure functions."""

    @property
    @abstractmethod
    def attempt_id_name(self) -> bytes:
        """Return the lower-case name of the header that all answers have."""

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
        """Return the headers of a refusal."""
