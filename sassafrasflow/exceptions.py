"""Exceptions, and the reasons for refusals and retries.

Every exception that a public function raises derives from
:class:`SassafrasflowError`. A check that finds several faults raises them
as an :class:`ExceptionGroup`.
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
    """Whether a refused request ran on a target."""

    NO = "no"
    UNKNOWN = "unknown"
    PARTLY = "partly"
    YES = "yes"


class RefusalReason(enum.Enum):
    """Reasons for refusing a request; each has its own counter."""

    ANSWER_NOT_KEPT = "answer_not_kept"
    BODY_TIMEOUT = "body_timeout"
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
    MEMORY = "memory"
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
    """Reasons for another attempt; each has its own counter."""

    CONNECTION_LOST = "connection_lost"
    STALLED = "stalled"
    TARGET_REFUSED = "target_refused"


class SassafrasflowError(Exception):
    """Base class of all exceptions of this package."""


class SettingsError(SassafrasflowError):
    """Raised for each fault in the settings file.

    Parameters
    ----------
    path : position in the file, such as ``$.api.port``
    problem : the value and what is allowed
    """

    def __init__(self, path: str, problem: str) -> None:
        super().__init__(f"{path}: {problem}")
        self.path = path
        self.problem = problem


class AddressError(SassafrasflowError):
    """Raised when an address can't be listened on."""


class UsageError(SassafrasflowError):
    """Raised when a command is called with invalid arguments."""


class InstanceUnreachable(SassafrasflowError):
    """Raised when an instance does not answer a command."""


class InstanceRefused(SassafrasflowError):
    """Raised when an instance refuses the request of a command."""


class ConfigurationError(SassafrasflowError):
    """Raised when a configuration must not be adopted."""


class ConfigurationConflict(ConfigurationError):
    """Raised when another change was published under the same revision.

    Parameters
    ----------
    revision : the revision that both changes used
    winner : author of the change that was published
    """

    def __init__(self, revision: int, winner: str) -> None:
        super().__init__(f"revision {revision} was taken by {winner}")
        self.revision = revision
        self.winner = winner


class LeaseLost(SassafrasflowError):
    """Raised when this instance does not hold the lease to give orders."""


class NoteError(SassafrasflowError):
    """Raised for each fault in a release note."""


class JournalError(SassafrasflowError):
    """Raised when a token event can't be appended or its id is malformed."""


class PeerError(SassafrasflowError):
    """Raised when a call to a peer fails."""


class PlatformError(SassafrasflowError):
    """Base class of failures of the platform's services."""


class TableConflict(PlatformError):
    """Raised when a condition failed and nothing was written."""


class TableUnavailable(PlatformError):
    """Raised when the table is unavailable and nothing was written."""


class HistoryLost(PlatformError):
    """Raised when the platform no longer has all changes after a revision."""


class TableOutcomeUnknown(PlatformError):
    """Raised when a write may or may not have been applied."""


class TargetError(SassafrasflowError):
    """Base class of failures of one target."""


class TargetLost(TargetError):
    """Raised when a target stops answering after it was contacted.

    The request may have run there.
    """

    def __init__(
        self,
        detail: str,
        reason: RetryReason = RetryReason.CONNECTION_LOST,
    ) -> None:
        super().__init__(detail)
        self.reason = reason


class TargetRefused(TargetError):
    """Raised when it is certain that a target did not start the work."""


class TargetDown(TargetRefused):
    """Raised when nothing listens at a target's address."""


class Refusal(SassafrasflowError):
    """Raised to refuse a request; becomes the answer to the caller.

    Parameters
    ----------
    reason : reason that is counted, once for each refusal
    ran : whether a target may have run the request
    detail : one sentence for the caller
    status : HTTP status code
    retry_after_s : seconds until a retry may succeed; ``None`` if it never
        will
    faults : every fault of the request, if there are several
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
