"""Call: one request to a plain service, and how it is refused."""

import hashlib

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.services import interface

__all__ = ["Call", "check_path"]

MAX_KEY_CHARS = 200


class Call(msgspec.Struct, frozen=True):
    """Hold one call and who makes it."""

    organisation: ids.OrganisationId
    service: ids.ServiceName
    req: interface.ServiceRequest
    idempotent: bool
    key: ids.RequestKey | None = None
    weight: float = 1.0

    def body_hash(self) -> str:
        """Return a hash of everything that the call does."""
        parts = (self.service, msgspec.json.encode(self.req))
        return hashlib.sha256(repr(parts).encode()).hexdigest()

    def checked_key(self) -> ids.RequestKey:
        """Return the key.

        Raises
        ------
        Refusal : there is none, or it is too long
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
    """Check that a path means the same to the configuration and a worker.

    Raises
    ------
    Refusal : a dot segment or empty first segment could be resolved to
        another route than the one that was looked up
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
