"""Decide how to go on after a try that brought no answer."""

import enum

import msgspec

from sassafrasflow.gateway import refusals

__all__ = [
    "Next",
    "Step",
    "Tries",
    "TryEnd",
    "decide_next_step",
    "needs_crash_attribution",
    "refuse_poison",
    "refuse_unknown_outcome",
]

# Retry-after of refusals. Full targets soon have room again; lost targets take
# longer, since engines restart in 1.2 s.
RETRY_AFTER_FULL_S = 0.25
RETRY_AFTER_LOSS_S = 1.0
# Retrying a quarantined request is useless before its quarantine expires.
# Callers honour a wait of at most a third of their time.
RETRY_AFTER_POISON_S = 30.0
# After this many tries lost without progress, the attribution of their
# targets' crashes has to finish before a third target gets the request.
NO_PROGRESS_LIMIT = 2
# The same holds after this many lost tries of any kind, before a fourth
# target gets the request.
LOST_LIMIT = 3
# No try starts with less remaining time than this, as it could not finish.
MIN_TRY_S = 0.05


class TryEnd(enum.Enum):
    """How a try ended."""

    # The request was not sent.
    NOT_SENT = "not_sent"
    # The target states that it did not run the request.
    NOT_RUN = "not_run"
    # The request was sent, and it is unknown whether it ran.
    LOST = "lost"
    # The target answered with a server error.
    FAILED = "failed"


class Next(enum.Enum):
    """What to do after a try."""

    TRY_AGAIN = "try_again"
    REFUSE = "refuse"
    PASS_FAILURE = "pass_failure"


class Step(msgspec.Struct, frozen=True):
    """Next step, with the refusal if the step is to refuse."""

    next: Next
    refusal: refusals.Refusal | None = None

    @property
    def is_budget_spent(self) -> bool:
        """Return whether a retry more would let the request go on."""
        return self.refusal is not None and (
            self.refusal.reason is refusals.RefusalReason.BUDGET_SPENT
        )

    @property
    def is_tries_spent(self) -> bool:
        """Return whether the route's number of targets ends the request."""
        return self.refusal is not None and (
            self.refusal.reason is refusals.RefusalReason.TRIES_SPENT
        )


class Tries(msgspec.Struct):
    """Counts of the tries of one request."""

    # Tries that were sent to a target, or are about to be.
    sent: int = 0
    # Sent tries whose targets are known to be lost by now.
    lost: int = 0
    # Sent tries without proof that the target did not run the request.
    possibly_run: int = 0
    # Sent tries that were lost before they made progress.
    without_progress: int = 0

    @property
    def may_have_run(self) -> bool:
        """Return whether a target may have run the request."""
        return self.possibly_run > 0

    def record_send(self) -> None:
        """Count a try that was sent or is about to be sent."""
        self.sent += 1
        self.possibly_run += 1

    def record_not_sent(self) -> None:
        """Undo the count of a try that was not sent after all."""
        self.sent -= 1
        self.possibly_run -= 1

    def record_not_run(self) -> None:
        """Record proof that the target of a sent try did not run it."""
        self.possibly_run -= 1


def needs_crash_attribution(tries: Tries) -> bool:
    """Return whether crash attribution has to finish before another try."""
    return (
        tries.without_progress >= NO_PROGRESS_LIMIT or tries.lost >= LOST_LIMIT
    )


def decide_next_step(
    end: TryEnd,
    tries: Tries,
    *,
    is_retryable: bool,
    max_targets: int,
    remaining_s: float,
    has_other_targets: bool,
    has_budget: bool,
    is_poison: bool = False,
) -> Step:
    """Decide how to go on after a try that brought no answer.

    Many targets may die, shed load or fail at the same time. The route's
    number of targets and the service's retry budget bound the retries, so
    that they don't overload a failing pool.
    """
    if end is TryEnd.FAILED:
        again = is_retryable and tries.sent < max_targets
        if (
            again
            and has_other_targets
            and has_budget
            and remaining_s > MIN_TRY_S
        ):
            return Step(Next.TRY_AGAIN)
        return Step(Next.PASS_FAILURE)
    if tries.may_have_run and not is_retryable:
        return Step(Next.REFUSE, _refuse_request(tries, end))
    reason = None
    if is_poison:
        reason = refusals.RefusalReason.POISON
    elif remaining_s <= MIN_TRY_S:
        reason = refusals.RefusalReason.TOO_LATE
    elif tries.sent - tries.lost >= max_targets or (
        tries.sent >= 2 * max_targets
    ):
        reason = refusals.RefusalReason.TRIES_SPENT
    elif not has_other_targets:
        reason = refusals.RefusalReason.NO_TARGET
    elif tries.sent and not has_budget:
        reason = refusals.RefusalReason.BUDGET_SPENT
    if reason is None:
        return Step(Next.TRY_AGAIN)
    return Step(Next.REFUSE, _refuse_request(tries, end, reason))


def refuse_poison(recheck_s: float | None = None) -> refusals.Refusal:
    """Return the refusal of a quarantined request.

    A recheck of the verdict may let the request run earlier.
    """
    wait_s = RETRY_AFTER_POISON_S
    if recheck_s is not None:
        wait_s = min(wait_s, recheck_s)
    return refusals.refuse_not_run(refusals.RefusalReason.POISON, wait_s)


def refuse_unknown_outcome() -> refusals.Refusal:
    """Return the refusal of a request that a target may have run."""
    return refusals.Refusal(502, refusals.RefusalReason.OUTCOME_UNKNOWN)


def _refuse_request(
    tries: Tries,
    end: TryEnd,
    reason: refusals.RefusalReason = refusals.RefusalReason.OUTCOME_UNKNOWN,
) -> refusals.Refusal:
    if tries.may_have_run:
        return refusals.Refusal(502, reason)
    if reason is refusals.RefusalReason.POISON:
        return refuse_poison()
    wait_s = (
        RETRY_AFTER_FULL_S if end is TryEnd.NOT_RUN else RETRY_AFTER_LOSS_S
    )
    return refusals.refuse_not_run(reason, wait_s)
