"""Breakers for single routes of a target that works otherwise."""

import collections
import random

from sassafrasflow import clocks
from sassafrasflow import ids
from sassafrasflow.targets import breaker as breakers

__all__ = ["RouteBreakers", "route_of"]

MAX_ROUTES = 4_096


def route_of(method: str, path: str) -> str:
    """Return the method and first path segment of a call."""
    return f"{method} /{path.lstrip('/').partition('/')[0]}"


class RouteBreakers:
    """Remember which routes of which targets have failed lately.

    Only routes that failed are held, and of these the latest.
    """

    def __init__(
        self,
        policy: breakers.BreakerPolicy,
        clock: clocks.Clock,
        rng: random.Random,
    ) -> None:
        self._policy = policy
        self._clock = clock
        self._rng = rng
        self._breakers: collections.OrderedDict[
            tuple[ids.TargetId, str], breakers.Breaker
        ] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._breakers)

    def allows(self, target: ids.TargetId, route: str) -> bool:
        """Tell whether a call may be sent."""
        known = self._breakers.get((target, route))
        return known is None or known.allows(self._clock.monotonic())

    def record_begin(self, target: ids.TargetId, route: str) -> None:
        """Note that a call is sent."""
        known = self._breakers.get((target, route))
        if known is not None:
            known.record_begin(self._clock.monotonic())

    def record_success(self, target: ids.TargetId, route: str) -> None:
        """Note that a call was answered."""
        self._breakers.pop((target, route), None)

    def record_failure(self, target: ids.TargetId, route: str) -> None:
        """Note that a call timed out."""
        known = self._breakers.pop((target, route), None)
        if known is None:
            known = breakers.Breaker(self._policy, self._rng)
        self._breakers[(target, route)] = known
        known.record_failure(self._clock.monotonic())
        if len(self._breakers) > MAX_ROUTES:
            self._breakers.popitem(last=False)
