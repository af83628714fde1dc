"""Authentication of callers and operators with bearer keys."""

from typing import Any

import litestar

from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import ids

__all__ = ["authenticate_caller", "authenticate_operator"]


def authenticate_caller(
    req: litestar.Request[Any, Any, Any], cfg: configuration.Document
) -> ids.OrganisationId:
    """Return the organisation that the key of a request belongs to.

    Raises
    ------
    Refusal : the key is missing or unknown
    """
    organisation = cfg.organisation_of(_bearer(req))
    if organisation is None:
        raise _unauthenticated()
    return organisation


def authenticate_operator(
    req: litestar.Request[Any, Any, Any], cfg: configuration.Document
) -> None:
    """Check that the key of a request belongs to an operator.

    Raises
    ------
    Refusal : the key is missing or does not belong to an operator
    """
    if not cfg.is_operator(_bearer(req)):
        raise _unauthenticated()


def _bearer(req: litestar.Request[Any, Any, Any]) -> str:
    scheme, _, key = req.headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key:
        raise _unauthenticated()
    return key


def _unauthenticated() -> exceptions.Refusal:
    return exceptions.Refusal(
        exceptions.RefusalReason.UNAUTHENTICATED,
        exceptions.Ran.NO,
        "A valid key is needed: Authorization: Bearer KEY.",
        status=401,
    )
