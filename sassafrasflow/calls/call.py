"""One call to a plain service, and checks of its key and path."""

import hashlib

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.services import interface

__all__ = ["Call", "check_path"]

MAX_KEY_CHARS = 200


class Call(msgspec.Struct, frozen=True):
    """Request to a plain service and the organisation that makes it."""

    organisation: ids.OrganisationId
    service: ids.ServiceName
    req: interface.ServiceRequest
    idempotent: bool
    key: ids.RequestKey | None = None
    weight: float = 1.0

    def body_hash(self) -> str:
        """Return a hash of the service and the whole request."""
        parts = (self.service, msgspec.json.encode(self.req))
        return hashlib.sha256(repr(parts).encode()).hexdigest()

    def checked_key(self) -> ids.RequestKey:
        """Return the idempotency key.

        Raises
        ------
        Refusal : there is no key, or it is too long
        """
        if self.key is None:
            raise exceptions.Refusal(
                exceptions.RefusalReason.KEY_REQUIRED,
                exceptions.Ran.NO,
                "This call may not be repeated and needs an Idempotency-Key.",
                status=400,
            )
        if len(self.key) > MAX_KEY_CHARS:
            raise exceptions.Refusal(
                exceptions.RefusalReason.MALFORMED_REQUEST,
                exceptions.Ran.NO,
                f"An Idempotency-Key has at most {MAX_KEY_CHARS} characters.",
                status=400,
            )
        return self.key


def check_path(path: str) -> None:
    """Check that a path is unambiguous.

    The configuration and the target must resolve a path to the same route.

    Raises
    ------
    Refusal : a target could resolve a dot segment or an empty first segment
        to another route than the one that was looked up
    """
    segments = path.split("/")
    dots = any(segment in (".", "..") for segment in segments)
    if dots or path.startswith("//"):
        raise exceptions.Refusal(
            exceptions.RefusalReason.MALFORMED_REQUEST,
            exceptions.Ran.NO,
            "The path holds a dot segment or begins with an empty one.",
            status=400,
        )
