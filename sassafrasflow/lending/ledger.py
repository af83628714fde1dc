"""Retries that one instance has lent and borrowed for a service."""

import msgspec

from sassafrasflow import ids
from sassafrasflow.lending import decisions

__all__ = ["LoanLedger"]


class _Lent(msgspec.Struct):
    borrower: ids.InstanceId
    number: int
    amount: int
    until: float
    is_returned: bool = False


class _Borrowed(msgspec.Struct, eq=False):
    lender: ids.InstanceId
    number: int
    remaining: int
    expires_at: float
    # Times at which retries were spent from it.
    spent_at: list[float]


class LoanLedger:
    """Loans of one service, given and taken; each is counted only once.

    What was lent counts at the lender until no retry made from it can be
    within a window any more, also if the loan never arrived or its borrower
    has ended. It is never lent again by the borrower.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._lent: list[_Lent] = []
        self._borrowed: list[_Borrowed] = []

    def lent(self, now: float) -> int:
        """Return the retries that count as used because they were lent."""
        self._lent = [each for each in self._lent if each.until >= now]
        return sum(each.amount for each in self._lent)

    def has_lent(self, borrower: ids.InstanceId, number: int) -> bool:
        """Return whether a request was answered with a loan."""
        return any(
            each.borrower == borrower and each.number == number
            for each in self._lent
        )

    def lend(
        self, borrower: ids.InstanceId, number: int, amount: int, now: float
    ) -> None:
        """Count a loan as used; do this before the loan is sent."""
        until = decisions.lent_until(now, self._window_s)
        self._lent.append(_Lent(borrower, number, amount, until))

    def take_back(
        self, borrower: ids.InstanceId, number: int, amount: int
    ) -> int:
        """Record what a borrower returns; return how much it was."""
        for each in self._lent:
            if (
                each.borrower == borrower
                and each.number == number
                and not each.is_returned
            ):
                returned = min(amount, each.amount)
                each.amount -= returned
                each.is_returned = True
                return returned
        return 0

    def borrow(
        self,
        lender: ids.InstanceId,
        number: int,
        amount: int,
        asked_at: float,
    ) -> None:
        """Add a loan that has arrived."""
        expires_at = decisions.loan_expires_at(asked_at)
        self._borrowed.append(
            _Borrowed(lender, number, amount, expires_at, [])
        )

    def borrowed(self, now: float) -> int:
        """Return how many borrowed retries can be spent now."""
        return sum(
            each.remaining for each in self._borrowed if each.expires_at >= now
        )

    def spend(self, now: float) -> bool:
        """Spend a borrowed retry, of the loan that expires first."""
        usable = [
            each
            for each in self._borrowed
            if each.remaining > 0 and each.expires_at >= now
        ]
        if not usable:
            return False
        loan = min(usable, key=lambda each: each.expires_at)
        loan.remaining -= 1
        loan.spent_at.append(now)
        return True

    def give_back(self, spent_at: float) -> bool:
        """Return a borrowed retry that was spent at a time and not needed.

        Returns whether one was. It can be spent again until its loan expires.
        """
        for each in self._borrowed:
            if spent_at in each.spent_at:
                each.spent_at.remove(spent_at)
                each.remaining += 1
                return True
        return False

    def close_round(self, number: int) -> list[tuple[ids.InstanceId, int]]:
        """Remove the loans of a request; return what was not spent of each.

        None of them can be spent after this.
        """
        closed = [each for each in self._borrowed if each.number == number]
        self._borrowed = [
            each for each in self._borrowed if each.number != number
        ]
        return [
            (each.lender, each.remaining) for each in closed if each.remaining
        ]
