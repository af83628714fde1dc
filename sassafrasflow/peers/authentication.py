"""Proofs of the shared key, bound to a fresh nonce of each side."""

import enum
import hashlib
import hmac
import secrets

from sassafrasflow import ids

__all__ = [
    "NONCE_BYTES",
    "Side",
    "new_nonce",
    "compute_proof",
    "is_valid_proof",
]

NONCE_BYTES = 16


class Side(enum.Enum):
    """Side that made a proof, so that no proof can be reflected to it."""

    CALLER = b"caller"
    LISTENER = b"listener"


def new_nonce() -> bytes:
    """Return a random nonce for one connection."""
    return secrets.token_bytes(NONCE_BYTES)


def compute_proof(
    shared_key: str,
    side: Side,
    instance: ids.InstanceId,
    listener_nonce: bytes,
    caller_nonce: bytes,
) -> bytes:
    """Return the proof of one side of a connection."""
    nonces = listener_nonce + caller_nonce
    content = side.value + nonces + instance.encode()
    return hmac.digest(shared_key.encode(), content, hashlib.sha256)


def is_valid_proof(
    given: bytes,
    shared_key: str,
    side: Side,
    instance: ids.InstanceId,
    listener_nonce: bytes,
    caller_nonce: bytes,
) -> bool:
    """Return whether a proof was made with the shared key."""
    nonces_are_complete = (
        len(listener_nonce) == len(caller_nonce) == NONCE_BYTES
    )
    expected = compute_proof(
        shared_key, side, instance, listener_nonce, caller_nonce
    )
    return nonces_are_complete and hmac.compare_digest(expected, given)
