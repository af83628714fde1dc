"""Budget for retries of requests at other targets."""

import collections
from collections.abc import Callable
import math

from sassafrasflow import ids
from sassafrasflow.lending import decisions
from sassafrasflow.lending import ledger as ledgers

__all__ = ["RetryBudget"]


class RetryBudget:
    """Bound retries to a ratio of this instance's recent requests.

    As every instance respects the ratio for its own requests, the sum over
    all instances respects it without messages between them. Only the
    constant slack is divided among the instances. What one instance lends to
    another counts as spent at the lender.
    """

    def __init__(
        self, ratio: float, window_s: float, slack: float, instances: int = 1
    ) -> None:
        self.loans = ledgers.LoanLedger(window_s)
        # How much of its share of the slack this instance may use.
        self.slack_part = 1.0
        # Called with the part of the share that is in use, or with None if
        # a retry lacks slack.
        self.on_slack_used: Callable[[float | None], None] = lambda part: None
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._instances = max(1, instances)
        self._requests: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def set_instances(self, instances: int) -> None:
        """Set the number of instances that share the slack."""
        self._instances = max(1, instances)

    @property
    def share(self) -> float:
        """Return this instance's share of the slack."""
        return self._slack / self._instances

    def record_request(self, now: float) -> None:
        """Record a caller's request."""
        self._requests.append(now)

    def remaining(self, now: float) -> int:
        """Return how many retries the budget still allows, with loans."""
        own = self._remaining_of(now, self._recent_requests(now))
        if own < 1 and self.slack_part < 1.0:
            # Who asks has a retry to send, also if it is not tried then.
            self.on_slack_used(None)
        borrowed = self.loans.borrowed(now)
        return max(0, own) + borrowed if borrowed else own

    def lend(
        self, borrower: ids.InstanceId, number: int, asked: int, now: float
    ) -> int:
        """Lend retries to another instance; return how many.

        They are counted as spent at once. Requests that leave the window
        before the loan expires don't count.
        """
        if self.loans.has_lent(borrower, number):
            return 0
        self._recent_requests(now)
        oldest = decisions.lent_until(now, 0.0) - self._window_s
        requests = sum(at >= oldest for at in self._requests)
        amount = decisions.lendable(asked, self._remaining_of(now, requests))
        if amount:
            self.loans.lend(borrower, number, amount, now)
            self.on_slack_used(self._slack_used(now))
        return amount

    def try_spend(self, now: float) -> bool:
        """Spend one retry if the budget allows it; return whether it does."""
        if self.loans.spend(now):
            return True
        if self.remaining(now) < 1:
            return False
        self._retries.append(now)
        self.on_slack_used(self._slack_used(now))
        return True

    def give_back(self, spent_at: float) -> None:
        """Return a retry that was spent at a time and not needed."""
        if self.loans.give_back(spent_at):
            return
        if spent_at in self._retries:
            self._retries.remove(spent_at)

    def _recent_requests(self, now: float) -> int:
        _drop_before(self._requests, now - self._window_s)
        return len(self._requests)

    def _remaining_of(self, now: float, requests: int) -> int:
        """Return the own retries that a number of requests allows."""
        allowed = math.floor(
            self._ratio * requests + self.slack_part * self.share
        )
        return allowed - self._spent(now)

    def _spent(self, now: float) -> int:
        """Return the retries that count now, with those that were lent."""
        _drop_before(self._retries, now - self._window_s)
        return len(self._retries) + self.loans.lent(now)

    def _slack_used(self, now: float) -> float:
        """Return which part of the share of the slack is in use."""
        backed = math.floor(self._ratio * self._recent_requests(now))
        used = self._spent(now) - backed
        return used / self.share if used > 0 and self.share else 0.0


def _drop_before(times: collections.deque[float], limit: float) -> None:
    while times and times[0] < limit:
        times.popleft()
