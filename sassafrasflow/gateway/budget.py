"""Budget for retries of requests at other targets."""

import collections
import math

__all__ = ["RetryBudget"]


class RetryBudget:
    """Bound retries to a ratio of this instance's recent requests.

    As every instance respects the ratio for its own requests, the sum over
    all instances respects it without messages between them. Only the
    constant slack is divided among the instances.
    """

    def __init__(
        self, ratio: float, window_s: float, slack: float, instances: int = 1
    ) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._instances = max(1, instances)
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def set_instances(self, instances: int) -> None:
        """Set the number of instances that share the slack."""
        self._instances = max(1, instances)

    def record_request(self, now: float) -> None:
        """Record a caller's request."""
        self._requests.append(now)

    def remaining(self, now: float) -> int:
        """Return how many retries the budget still allows."""
        _drop_before(self._requests, now - self._window_s)
        _drop_before(self._retries, now - self._window_s)
        allowed = (
            self._ratio * len(self._requests) + self._slack / self._instances
        )
        return math.floor(allowed) - len(self._retries)

    def try_spend(self, now: float) -> bool:
        """Spend one retry if the budget allows it; return whether it does."""
        if self.remaining(now) < 1:
            return False
        self._retries.append(now)
        return True

    def give_back(self, spent_at: float) -> None:
        """Return a retry that was spent at a time and not needed."""
        if spent_at in self._retries:
            self._retries.remove(spent_at)


def _drop_before(times: collections.deque[float], limit: float) -> None:
    while times and times[0] < limit:
        times.popleft()
