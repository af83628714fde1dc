"""What to do after one try of a request has ended without its answer."""

import enum

import msgspec

from sassafrasflow.gateway import refusals

__all__ = [
    "Next",
    "Step",
    "Tries",
    "TryEnd",
    "decide_next_step",
    "needs_crash_check",
    "refuse_poison",
]

# A caller that comes back after this long finds targets that were full
# or restarting a moment ago; engines restart in 1.2 s.
RETRY_AFTER_FULL_S = 0.25
RETRY_AFTER_LOSS_S = 1.0
# No sooner than the request is forgotten would another try be of use; the
# longest wait that callers honour is a third of their time.
RETRY_AFTER_POISON_S = 30.0
# A third target gets a request only when it is known whether the first two
# died of it.
NO_PROGRESS_LIMIT = 2
# Neither does a fourth target of a stream that three died with.
LOST_LIMIT = 3
# A try that can't bring an answer in this time isn't worth its work.
MIN_TRY_S = 0.05


class TryEnd(enum.Enum):
    """Tell how a try ended."""

    # The request never left this instance.
    NOT_SENT = "not_sent"
    # The target says that it did not run the request.
    NOT_RUN = "not_run"
    # Sent; whether it ran is unknown.
    LOST = "lost"
    # The target answered with a failure of its own.
    FAILED = "failed"


class Next(enum.Enum):
    """Name the step after a try."""

    TRY_AGAIN = "try_again"
    REFUSE = "refuse"
    PASS_FAILURE = "pass_failure"


class Step(msgspec.Struct, frozen=True):
    """Tell the next step and, for a refusal, its answer."""

    next: Next
    refusal: refusals.Refusal | None = None


class Tries(msgspec.Struct):
    """Count the tries of one request."""

    # Targets that the request was sent to.
    sent: int = 0
    # Of these, those that died or fell silent with it.
    lost: int = 0
    # Of these, those that did not prove that they left it alone.
    possibly_run: int = 0
    # Of these, those that were lost before they had got anywhere.
    without_progress: int = 0

    @property
    def may_have_run(self) -> bool:
        """Tell whether a target may have run the request."""
        return self.possibly_run > 0

    def record_send(self) -> None:
        """Count a send, or one that is about to happen."""
        self.sent += 1
        self.possibly_run += 1

    def record_not_sent(self) -> None:
        """Take back a send that did not happen."""
        self.sent -= 1
        self.possibly_run -= 1

    def record_not_run(self) -> None:
        """Take back that a target may have run the request."""
        self.possibly_run -= 1


def needs_crash_check(tries: Tries) -> bool:
    """Tell whether to find out what targets died of before another try."""
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
    """Decide after a try that brought no answer.

    Load: targets that die, shed or fail in numbers. Repeats are bounded by
    the route's number of targets and by the shared budget, so that a
    failing pool isn't buried under them.
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


def refuse_poison() -> refusals.Refusal:
    """Refuse a request that targets died of."""
    return refusals.refuse_not_run(
        refusals.RefusalReason.POISON, RETRY_AFTER_POISON_S
    )


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
