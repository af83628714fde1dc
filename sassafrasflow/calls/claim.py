"""Claim: durable record that allows one dispatch of a call."""

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
    """Progress of a claimed call."""

    CLAIMED = "claimed"
    RELEASED = "released"
    DONE = "done"


class Claim(msgspec.Struct, frozen=True):
    """Who claimed a call, for which body, and the result of the call.

    The call of a released claim was not dispatched and never will be.
    """

    token: str
    body_hash: str
    state: ClaimState
    claimed_at: float
    response: interface.ServiceResponse | None = None
    owner: str = ""


class ClaimAction(enum.Enum):
    """What an instance does with a call, given the stored claim."""

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
    """Decide what to do with a call from the stored claim and its own token.

    A claim with another token and without a result is unresolved, because
    its owner may be between the dispatch and the result.
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
    """Return the claim of an answered call.

    The claim contains the answer if its body has at most ``replay_bytes``
    bytes.
    """
    kept = response if len(response.body) <= replay_bytes else None
    return msgspec.structs.replace(claim, state=ClaimState.DONE, response=kept)
