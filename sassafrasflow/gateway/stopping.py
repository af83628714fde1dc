"""Decide what an instance still does between SIGTERM and its exit."""

from sassafrasflow.gateway import routes

__all__ = ["can_admit", "should_close_idle", "can_exit"]

# The load balancer checks health once a second and removes an instance after
# two failed checks. Until then new connections still arrive.
BALANCER_REMOVAL_S = 3.0
# Streams take 5 to 7 s, so one that starts later could not finish. Where they
# take longer, their measured time refuses them earlier.
MAX_STREAM_ADMIT_S = 1.5
# Time reserved for calls, which normally take at most 0.3 s.
CALL_RESERVE_S = 1.0
# Requests in flight are answered with a failure, or their streams cut, this
# long before the process would be killed.
CUT_MARGIN_S = 0.4


def can_admit(
    kind: routes.CallKind,
    stopping_for_s: float,
    grace_s: float,
    stream_s: float = 0.0,
) -> bool:
    """Return whether a new request can be answered before the exit.

    ``stream_s`` is the mean time of the service's streams; 0 if unknown.
    """
    if kind is routes.CallKind.STREAM:
        return (
            stopping_for_s <= MAX_STREAM_ADMIT_S
            and stopping_for_s + stream_s <= grace_s - CUT_MARGIN_S
        )
    return stopping_for_s <= grace_s - CUT_MARGIN_S - CALL_RESERVE_S


def should_close_idle(stopping_for_s: float) -> bool:
    """Return whether to close idle connections now.

    Later requests on them would arrive too close to the exit.
    """
    return stopping_for_s >= BALANCER_REMOVAL_S


def can_exit(stopping_for_s: float, answering: int, grace_s: float) -> bool:
    """Return whether the process can exit now."""
    if stopping_for_s >= grace_s - CUT_MARGIN_S:
        return True
    return stopping_for_s >= BALANCER_REMOVAL_S and not answering
