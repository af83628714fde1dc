"""Proofs of the shared key, bound to fresh nonces of both sides."""

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
    """Name who gives a proof, so that it can't be sent back."""

    CALLER = b"caller"
    LISTENER = b"listener"


def new_nonce() -> bytes:
    """Return random bytes for one connection."""
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
    """Tell whether a proof was made with the shared key."""
    nonces_fit = len(listener_nonce) == len(caller_nonce) == NONCE_BYTES
    wanted = compute_proof(
        shared_key, side, instance, listener_nonce, caller_nonce
    )
    return nonces_fit and hmac.compare_digest(wanted, given)
