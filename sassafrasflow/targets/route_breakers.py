"""Circuit breakers for single routes of otherwise working targets."""

import collections
import random

from sassafrasflow import clocks
from sassafrasflow import ids
from sassafrasflow.targets import breaker as breakers

__all__ = ["RouteBreakers", "route_of"]

MAX_ROUTES = 4_096


def route_of(method: str, path: str) -> str:
    """Return the route of a call: its method and first path segment."""
    return f"{method} /{path.lstrip('/').partition('/')[0]}"


class RouteBreakers:
    """Hold a circuit breaker for each route of a target that failed lately.

    Routes that work have none. Above ``MAX_ROUTES``, those that failed
    longest ago are dropped.
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
        """Return whether a call may be sent."""
        breaker = self._breakers.get((target, route))
        return breaker is None or breaker.allows(self._clock.monotonic())

    def record_begin(self, target: ids.TargetId, route: str) -> None:
        """Record that a call is sent."""
        breaker = self._breakers.get((target, route))
        if breaker is not None:
            breaker.record_begin(self._clock.monotonic())

    def record_success(self, target: ids.TargetId, route: str) -> None:
        """Record that a call was answered."""
        self._breakers.pop((target, route), None)

    def record_failure(self, target: ids.TargetId, route: str) -> None:
        """Record that a call timed out."""
        breaker = self._breakers.pop((target, route), None)
        if breaker is None:
            breaker = breakers.Breaker(self._policy, self._rng)
        self._breakers[(target, route)] = breaker
        breaker.record_failure(self._clock.monotonic())
        if len(self._breakers) > MAX_ROUTES:
            self._breakers.popitem(last=False)
