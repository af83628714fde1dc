"""What an instance still does between SIGTERM and its end."""

from sassafrasflow.gateway import routes

__all__ = ["can_admit", "should_close_idle", "can_exit"]

# The balancer asks once a second and takes an instance out after two
# misses; until then new connections still come.
BALANCER_REMOVAL_S = 3.0
# Streams take 5 to 7 s; of one that begins later the end would be cut.
MAX_STREAM_ADMIT_S = 1.5
# Calls take 0.3 s at most when all is well.
CALL_RESERVE_S = 1.0
# Answers still under way are cut this long before the end by force, so
# that their callers see it.
CUT_MARGIN_S = 0.4


def can_admit(
    kind: routes.CallKind, stopping_for_s: float, grace_s: float
) -> bool:
    """Tell whether a new request can be answered before the end."""
    if kind is routes.CallKind.STREAM:
        return stopping_for_s <= MAX_STREAM_ADMIT_S
    return stopping_for_s <= grace_s - CUT_MARGIN_S - CALL_RESERVE_S


def should_close_idle(stopping_for_s: float) -> bool:
    """Tell whether idle connections are closed now.

    Later requests on them would come too close to the end.
    """
    return stopping_for_s >= BALANCER_REMOVAL_S


def can_exit(stopping_for_s: float, answering: int, grace_s: float) -> bool:
    """Tell whether the process may end now."""
    if stopping_for_s >= grace_s - CUT_MARGIN_S:
        return True
    return stopping_for_s >= BALANCER_REMOVAL_S and not answering
