"""Refusals of calls to plain services."""

from sassafrasflow import exceptions
from sassafrasflow.calls import claim as claims
from sassafrasflow.services import interface

__all__ = [
    "answer_repeat",
    "claim_store_unavailable",
    "no_target",
    "target_failed",
]

RETRY_AFTER_S = 2
STORE_RETRY_AFTER_S = 5


def answer_repeat(
    action: claims.ClaimAction,
    stored: claims.Claim | None,
    may_be_running: bool,
) -> interface.ServiceResponse:
    """Return the stored answer of an earlier call with the same key.

    ``may_be_running`` is true if that call may still be answered.

    Raises
    ------
    Refusal : there is no answer to return
    """
    if action is claims.ClaimAction.REPLAY:
        assert stored is not None
        assert stored.response is not None
        return stored.response
    if action is claims.ClaimAction.KEY_REUSED:
        raise exceptions.Refusal(
            exceptions.RefusalReason.KEY_REUSED,
            exceptions.Ran.NO,
            "The Idempotency-Key was used with another call.",
            status=422,
        )
    if action is claims.ClaimAction.ANSWER_NOT_KEPT:
        raise exceptions.Refusal(
            exceptions.RefusalReason.ANSWER_NOT_KEPT,
            exceptions.Ran.YES,
            "The call ran once; its answer was too large to be kept.",
            status=409,
        )
    raise exceptions.Refusal(
        exceptions.RefusalReason.CLAIM_UNRESOLVED,
        exceptions.Ran.UNKNOWN,
        "The call was claimed before and its result is not known.",
        status=409,
        retry_after_s=RETRY_AFTER_S if may_be_running else None,
    )


def claim_store_unavailable(ran: exceptions.Ran) -> exceptions.Refusal:
    """Return the refusal of a call whose claim could not be stored."""
    return exceptions.Refusal(
        exceptions.RefusalReason.CLAIM_STORE_UNAVAILABLE,
        ran,
        "The call was not dispatched. Whether an earlier one with this key"
        " ran can't be told until the table answers; repeat with the key.",
        retry_after_s=STORE_RETRY_AFTER_S,
    )


def no_target(ran: exceptions.Ran, age_s: float | None) -> exceptions.Refusal:
    """Return the refusal of a call for which no target is ready.

    ``age_s`` is the age of the instance list in seconds.
    """
    age = "never read" if age_s is None else f"{age_s:.0f} s old"
    return exceptions.Refusal(
        exceptions.RefusalReason.NO_TARGET,
        ran,
        f"No worker of the service is ready; the instance list is {age}.",
        retry_after_s=RETRY_AFTER_S,
    )


def target_failed(ran: exceptions.Ran) -> exceptions.Refusal:
    """Return the refusal of a call that no target answered."""
    return exceptions.Refusal(
        exceptions.RefusalReason.TARGET_FAILED,
        ran,
        "The service did not answer.",
        status=502,
        retry_after_s=RETRY_AFTER_S,
    )
