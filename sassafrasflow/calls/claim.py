"""Claim: the durable record that a call may be dispatched once."""

import enum

import msgspec

from sassafrasflow import ids
from sassafrasflow.services import interface

__all__ = ["Claim", "ClaimState", "Verdict", "claim_key", "judge"]


class ClaimState(enum.Enum):
    """Tell how far a claimed call has come."""

    CLAIMED = "claimed"
    DONE = "done"


class Claim(msgspec.Struct, frozen=True):
    """Record who claimed a call, for which body, and its result."""

    token: str
    body_hash: str
    state: ClaimState
    claimed_at: float
    response: interface.ServiceResponse | None = None


class Verdict(enum.Enum):
    """Tell what an instance does with a call, given the stored claim."""

    CLAIM = "claim"
    DISPATCH = "dispatch"
    REPLAY = "replay"
    KEY_REUSED = "key_reused"
    UNRESOLVED = "unresolved"


def claim_key(organisation: ids.OrganisationId, key: ids.RequestKey) -> str:
    """Return the table key of a claim."""
    return f"claim/{organisation}/{key}"


def judge(stored: Claim | None, token: str, body_hash: str) -> Verdict:
    """Decide what to do, from the stored claim and the own token.

    A claim of another instance without a result stays unresolved: its
    owner may be between dispatch and result.
    """
    if stored is None:
        return Verdict.CLAIM
    if stored.body_hash != body_hash:
        return Verdict.KEY_REUSED
    if stored.state is ClaimState.DONE:
        return Verdict.REPLAY
    if stored.token == token:
        return Verdict.DISPATCH
    return Verdict.UNRESOLVED
