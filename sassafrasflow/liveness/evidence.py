"""Decide what shows that a target is alive or that this network works."""

import math

from sassafrasflow import ids

__all__ = [
    "ReachedTimes",
    "SignOfLife",
    "control_delay_s",
    "next_check_at",
]

# Delay before a control check, a connection to a target in another data
# centre, starts. A target that answers within this time needs none. The
# control's round trip of 40 ms has to fit into the rest of the timeout, so
# that it delays no detection.
CONTROL_DELAY_SAME_REGION_S = 0.05
# A connection to another region takes 41 ms and has a timeout of 180 ms.
CONTROL_DELAY_OTHER_REGION_S = 0.1


class SignOfLife:
    """Times at which a target was last known to be alive.

    An idle connection that is still open shows nothing, as a target that is
    cut off closes none.
    """

    def __init__(self) -> None:
        # Start of the last connection that the target accepted.
        self.accepted_at = -math.inf
        # Arrival of the last bytes on any connection.
        self.received_at = -math.inf

    def record_accepted(self, began_at: float) -> None:
        """Record a connection that the target accepted."""
        self.accepted_at = max(self.accepted_at, began_at)

    def record_received(self, at: float) -> None:
        """Record bytes of the target."""
        self.received_at = max(self.received_at, at)


def next_check_at(
    checked_at: float,
    received_at: float,
    interval_s: float,
    waiting: int,
) -> float:
    """Return when one of several waiting streams checks their target next.

    ``waiting`` streams that each check every ``interval_s``, at any phase,
    detect a loss after ``interval_s / (waiting + 1)`` in the mean, and open
    ``waiting`` connections in an interval. Evenly spaced, fewer checks detect
    it as soon. After bytes, which may have come just before the loss, the
    next check is due after that mean, but no more often than separate
    streams would check.
    """
    mean_s = interval_s / (waiting + 1)
    if received_at <= checked_at:
        return checked_at + 2 * mean_s
    return max(checked_at + interval_s / waiting, received_at + mean_s)


class ReachedTimes:
    """Start of the last connection that was made to each data centre.

    Bytes of open connections don't count here: on a saturated link they go
    on to arrive while no new connection is made in time.
    """

    def __init__(self) -> None:
        self._at: dict[ids.DataCentre, float] = {}

    def record(self, place: ids.DataCentre, began_at: float) -> None:
        """Record a connection that was made."""
        self._at[place] = max(began_at, self._at.get(place, began_at))

    def has_reached_other(self, place: ids.DataCentre, since: float) -> bool:
        """Return whether a connection made elsewhere began since a time."""
        return any(
            other != place and at >= since for other, at in self._at.items()
        )


def control_delay_s(*, same_region: bool) -> float:
    """Return how long to wait for a target before a control check."""
    if same_region:
        return CONTROL_DELAY_SAME_REGION_S
    return CONTROL_DELAY_OTHER_REGION_S
