"""Problem documents that refusals are sent as."""

from typing import Any

import litestar
from litestar import exceptions as litestar_exceptions
import msgspec

from sassafrasflow import exceptions

__all__ = ["Problem", "internal_error", "problem_of", "to_response"]

MEDIA_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold a problem document with the fields of this product."""

    type: str
    title: str
    status: int
    detail: str
    reason: str
    ran: str
    retry_after_s: int | None = None
    faults: list[str] = []
    # Callers' libraries look for this member in a stream.
    error: dict[str, str] | None = None


def problem_of(refusal: exceptions.Refusal) -> Problem:
    """Return the problem document of a refusal."""
    reason = refusal.reason.value
    return Problem(
        type=f"urn:sassafrasflow:refusal:{reason}",
        title=reason.replace("_", " "),
        status=refusal.status,
        detail=refusal.detail,
        reason=reason,
        ran=refusal.ran.value,
        retry_after_s=refusal.retry_after_s,
        error={"message": refusal.detail, "code": reason},
    )


def to_response(problem: Problem) -> litestar.Response[bytes]:
    """Return a problem document as an HTTP response."""
    headers = {}
    if problem.retry_after_s is not None:
        headers["retry-after"] = str(problem.retry_after_s)
    return litestar.Response(
        msgspec.json.encode(problem),
        status_code=problem.status,
        media_type=MEDIA_TYPE,
        headers=headers,
    )


def internal_error(
    _: litestar.Request[Any, Any, Any], exc: Exception
) -> litestar.Response[bytes]:
    """Return a problem document for an error of the framework."""
    status = getattr(exc, "status_code", 500)
    if isinstance(exc, litestar_exceptions.HTTPException):
        detail = exc.detail
    else:
        detail = "Internal error."
    reasons = {
        404: exceptions.RefusalReason.NOT_FOUND,
        413: exceptions.RefusalReason.BODY_TOO_LARGE,
    }
    reason = reasons.get(status, exceptions.RefusalReason.MALFORMED_REQUEST)
    ran = exceptions.Ran.NO if status < 500 else exceptions.Ran.UNKNOWN
    refusal = exceptions.Refusal(reason, ran, detail, status=status)
    return to_response(problem_of(refusal))
