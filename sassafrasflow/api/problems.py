"""Problem documents, the HTTP representation of refusals."""

from typing import Any

import litestar
from litestar import exceptions as litestar_exceptions
import msgspec

from sassafrasflow import exceptions

__all__ = ["Problem", "problem_of", "refusal_of", "to_response"]

MEDIA_TYPE = "application/problem+json"
RETRY_AFTER_PLATFORM_S = 5


class ProblemError(msgspec.Struct, frozen=True):
    """Hold the ``error`` member that client libraries expect."""

    message: str
    type: str
    code: str
    param: str | None = None


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold a problem document with the additional fields of this product."""

    type: str
    title: str
    status: int
    detail: str
    reason: str
    ran: str
    error: ProblemError
    retry_after_s: int | None = None
    faults: list[str] = []


def problem_of(refusal: exceptions.Refusal) -> Problem:
    """Return the problem document of a refusal."""
    reason = refusal.reason.value
    kind = "server_error" if refusal.status >= 500 else "invalid_request_error"
    return Problem(
        type=f"urn:sassafrasflow:refusal:{reason}",
        title=reason.replace("_", " "),
        status=refusal.status,
        detail=refusal.detail,
        reason=reason,
        ran=refusal.ran.value,
        error=ProblemError(refusal.detail, kind, reason),
        retry_after_s=refusal.retry_after_s,
        faults=list(refusal.faults),
    )


def to_response(refusal: exceptions.Refusal) -> litestar.Response[Any]:
    """Return a refusal as an HTTP response."""
    headers = {}
    if refusal.retry_after_s is not None:
        headers["retry-after"] = str(refusal.retry_after_s)
    if refusal.status == 401:
        headers["www-authenticate"] = "Bearer"
    return litestar.Response(
        msgspec.json.encode(problem_of(refusal)),
        status_code=refusal.status,
        media_type=MEDIA_TYPE,
        headers=headers,
    )


def refusal_of(exc: Exception) -> exceptions.Refusal:
    """Convert any exception to the refusal that is sent to the caller."""
    if isinstance(exc, exceptions.Refusal):
        return exc
    if isinstance(exc, exceptions.PlatformError):
        return exceptions.Refusal(
            exceptions.RefusalReason.PLATFORM_UNAVAILABLE,
            exceptions.Ran.UNKNOWN,
            f"The platform's table did not answer: {exc}.",
            retry_after_s=RETRY_AFTER_PLATFORM_S,
        )
    if isinstance(exc, litestar_exceptions.InternalServerException):
        # The framework raises this when a body ends before its declared
        # length.
        return _request_refusal(400, "The body was cut short.")
    if isinstance(exc, litestar_exceptions.HTTPException):
        return _request_refusal(exc.status_code, exc.detail)
    return exceptions.Refusal(
        exceptions.RefusalReason.INTERNAL_ERROR,
        exceptions.Ran.UNKNOWN,
        "Internal error.",
        status=500,
    )


def _request_refusal(status: int, detail: str) -> exceptions.Refusal:
    reasons = {
        404: exceptions.RefusalReason.NOT_FOUND,
        405: exceptions.RefusalReason.METHOD_NOT_ALLOWED,
        413: exceptions.RefusalReason.BODY_TOO_LARGE,
    }
    reason = reasons.get(status, exceptions.RefusalReason.MALFORMED_REQUEST)
    # The framework raises these errors before a handler sends anything to a
    # target, so nothing ran.
    return exceptions.Refusal(reason, exceptions.Ran.NO, detail, status=status)
