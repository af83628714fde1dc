"""Exceptions and the reasons that refusals and retries carry.

Every error that a public function raises derives from
:class:`SassafrasflowError`. Several problems found at once are raised as
an :class:`ExceptionGroup` of them.
"""

from collections.abc import Sequence
import enum

__all__ = [
    "AddressError",
    "ConfigurationConflict",
    "ConfigurationError",
    "HistoryLost",
    "InstanceRefused",
    "InstanceUnreachable",
    "JournalError",
    "LeaseLost",
    "NoteError",
    "PeerError",
    "PlatformError",
    "Ran",
    "Refusal",
    "RefusalReason",
    "RetryReason",
    "SassafrasflowError",
    "SettingsError",
    "TableConflict",
    "TableOutcomeUnknown",
    "TableUnavailable",
    "TargetDown",
    "TargetError",
    "TargetLost",
    "TargetRefused",
    "UsageError",
]


class Ran(enum.Enum):
    """Tell whether a refused request ran on a target."""

    NO = "no"
    UNKNOWN = "unknown"
    PARTLY = "partly"
    YES = "yes"


class RefusalReason(enum.Enum):
    """Name each reason for refusing a request; each has a counter."""

    ANSWER_NOT_KEPT = "answer_not_kept"
    BODY_TOO_LARGE = "body_too_large"
    CLAIM_EXPIRED = "claim_expired"
    CLAIM_STORE_UNAVAILABLE = "claim_store_unavailable"
    CLAIM_UNRESOLVED = "claim_unresolved"
    CONFLICT = "conflict"
    GENERATION_MISMATCH = "generation_mismatch"
    HEAD_TIMEOUT = "head_timeout"
    HEAD_TOO_LARGE = "head_too_large"
    INTERNAL_ERROR = "internal_error"
    KEY_REQUIRED = "key_required"
    KEY_REUSED = "key_reused"
    MALFORMED_REQUEST = "malformed_request"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NO_TARGET = "no_target"
    NOT_FOUND = "not_found"
    NOT_READY = "not_ready"
    OVERLOADED = "overloaded"
    PLATFORM_UNAVAILABLE = "platform_unavailable"
    POISON = "poison"
    RESUME_ELSEWHERE = "resume_elsewhere"
    RETRIES_EXHAUSTED = "retries_exhausted"
    STOPPING = "stopping"
    TARGET_FAILED = "target_failed"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    VERSION_GONE = "version_gone"


class RetryReason(enum.Enum):
    """Name each reason for another attempt; each has a counter."""

    CONNECTION_LOST = "connection_lost"
    STALLED = "stalled"
    TARGET_REFUSED = "target_refused"


class SassafrasflowError(Exception):
    """Base class of every error of this package."""


class SettingsError(SassafrasflowError):
    """Report one fault in the settings file.

    Parameters
    ----------
    path : where in the file, such as ``$.api.port``
    problem : the value and what is allowed
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class AddressError(SassafrasflowError):
    """Report an address that can't be listened on."""


class UsageError(SassafrasflowError):
    """Report a command that was used wrongly."""


class InstanceUnreachable(SassafrasflowError):
    """Report that an instance did not answer a command."""


class InstanceRefused(SassafrasflowError):
    """Report that an instance refused what a command asked."""


class ConfigurationError(SassafrasflowError):
    """Report a configuration that may not be adopted."""


class ConfigurationConflict(ConfigurationError):
    """Report that another change took the revision.

    Parameters
    ----------
    revision : the revision that both changes wanted
    winner : author of the change that took it
    """

    def __init__(self, revision: int, winner: str) -> None:
        super().__init__(f"revision {revision} was taken by {winner}")
        self.revision = revision
        self.winner = winner


class LeaseLost(SassafrasflowError):
    """Report that this instance may not give orders now."""


class NoteError(SassafrasflowError):
    """Report one fault in a release note."""


class JournalError(SassafrasflowError):
    """Report a token event that may not be appended."""


class PeerError(SassafrasflowError):
    """Report that another instance did not answer a call."""


class PlatformError(SassafrasflowError):
    """Report a failure of the platform's services."""


class TableConflict(PlatformError):
    """Report that a condition failed and nothing was written."""


class TableUnavailable(PlatformError):
    """Report that the table was not reached and nothing was written."""


class HistoryLost(PlatformError):
    """Report that changes after a revision are no longer kept."""


class TableOutcomeUnknown(PlatformError):
    """Report that a write may or may not have taken effect."""


class TargetError(SassafrasflowError):
    """Report a failure of one target."""


class TargetLost(TargetError):
    """Report that a target stopped answering after it was contacted."""

    def __init__(
        self,
        detail: str,
        reason: RetryReason = RetryReason.CONNECTION_LOST,
    ) -> None:
        super().__init__(detail)
        self.reason = reason


class TargetRefused(TargetError):
    """Report that a target proved that it did not start the work."""


class TargetDown(TargetRefused):
    """Report that nothing listens at a target's address."""


class Refusal(SassafrasflowError):
    """Refuse a request with its reason.

    Parameters
    ----------
    reason : counted once per refusal
    ran : whether a target may have run the request
    detail : one sentence for the caller
    status : HTTP status code
    retry_after_s : when a repeat may succeed; ``None`` when it never will
    faults : every fault of the request, where several were found
    """

    def __init__(
        self,
        reason: RefusalReason,
        ran: Ran,
        detail: str,
        *,
        status: int = 503,
        retry_after_s: int | None = None,
        faults: Sequence[str] = (),
    ) -> None:
        super().__init__(detail)
        self.reason = reason
        self.ran = ran
        self.detail = detail
        self.status = status
        self.retry_after_s = retry_after_s
        self.faults = tuple(faults)
