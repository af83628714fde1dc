"""Answers that an instance gives without an answer of a target."""

import enum

import msgspec

__all__ = ["Refusal", "RefusalReason", "RefusedBeforeSend", "refuse_not_run"]


class RefusalReason(enum.Enum):
    """Reason of a refusal; each reason is counted separately."""

    NOT_READY = "not_ready"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    NO_TARGET = "no_target"
    TARGETS_FULL = "targets_full"
    TOO_LATE = "too_late"
    BUDGET_SPENT = "budget_spent"
    TRIES_SPENT = "tries_spent"
    OUTCOME_UNKNOWN = "outcome_unknown"
    TIMED_OUT = "timed_out"
    POISON = "poison"
    MEMORY = "memory"
    STOPPING = "stopping"
    MALFORMED = "malformed"
    HEAD_TOO_LARGE = "head_too_large"
    BODY_TOO_LARGE = "body_too_large"
    CALLER_TOO_SLOW = "caller_too_slow"
    # The caller didn't read its answer.
    UNREAD = "unread"
    # Callers have as many connections as the descriptors allow.
    CONNECTIONS = "connections"
    INTERNAL = "internal"


class Refusal(msgspec.Struct, frozen=True):
    """Answer that the instance gives without a target's answer.

    Statuses 408, 421, 429 and 503 promise that the request has not run and
    never will. All other statuses promise nothing.
    """

    status: int
    reason: RefusalReason
    retry_after_s: float | None = None


class RefusedBeforeSend(Exception):
    """Raised when a request is refused before it is sent to a target."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.reason.value)
        self.refusal = refusal


def refuse_not_run(
    reason: RefusalReason, retry_after_s: float | None = None
) -> Refusal:
    """Return a 503, which promises that the request has not run."""
    return Refusal(503, reason, retry_after_s)
