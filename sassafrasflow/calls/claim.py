"""Claim: the durable record that a call may be dispatched once."""

import enum
import urllib.parse

import msgspec

from sassafrasflow import ids
from sassafrasflow.services import interface

__all__ = [
    "Claim",
    "ClaimState",
    "ClaimAction",
    "claim_key",
    "as_done",
    "decide_action",
    "as_released",
]


class ClaimState(enum.Enum):
    """Tell how far a claimed call has come."""

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"


class Claim(msgspec.Struct, frozen=True):
    """Record who claimed a call, for which body, and its result.

    A released claim was never dispatched and never will be.
    """

    token: str
    body_hash: str
    state: ClaimState
    claimed_at: float
    response: interface.ServiceResponse | None = None
    owner: str = ""


class ClaimAction(enum.Enum):
    """Tell what an instance does with a call, given the stored claim."""

    CLAIM = "claim"
    DISPATCH = "dispatch"
    REPLAY = "replay"
    ANSWER_NOT_KEPT = "answer_not_kept"
    KEY_REUSED = "key_reused"
    UNRESOLVED = "unresolved"


def claim_key(organisation: ids.OrganisationId, key: ids.RequestKey) -> str:
    """Return the table key of a claim."""
    return f"claim/{urllib.parse.quote(organisation, safe='')}/{key}"


def decide_action(
    stored: Claim | None, token: str, body_hash: str
) -> ClaimAction:
    """Decide what to do, from the stored claim and the own token.

    A claim of another instance without a result stays unresolved: its
    owner may be between dispatch and result.
    """
    if stored is None:
        return ClaimAction.CLAIM
    if stored.body_hash != body_hash:
        return ClaimAction.KEY_REUSED
    if stored.state is ClaimState.RELEASED:
        return ClaimAction.CLAIM
    if stored.state is ClaimState.DONE:
        kept = stored.response is not None
        return ClaimAction.REPLAY if kept else ClaimAction.ANSWER_NOT_KEPT
    if stored.token == token:
        return ClaimAction.DISPATCH
    return ClaimAction.UNRESOLVED


def as_released(claim: Claim) -> Claim:
    """Return the claim of a call that was not dispatched."""
    return msgspec.structs.replace(claim, state=ClaimState.RELEASED)


def as_done(
    claim: Claim, response: interface.ServiceResponse, replay_bytes: int
) -> Claim:
    """Return the claim of an answered call, with a small enough answer."""
    kept = response if len(response.body) <= replay_bytes else None
    return msgspec.structs.replace(claim, state=ClaimState.DONE, response=kept)
