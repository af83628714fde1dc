"""Ask other instances for retries, and lend them some."""

from abc import ABC
from abc import abstractmethod
import asyncio
import collections
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import random

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import budget as budgets
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import telemetry
from sassafrasflow.lending import decisions
from sassafrasflow.lending import messages

__all__ = ["LendingDependencies", "LendingManager", "LoanChannel", "Round"]

# A stream waits at most this long for a loan. A peer in the same data centre
# answers within 1 ms, and a busy one's answer is not worth the wait.
MAX_WAIT_S = 0.025
# Requests to different lenders within this time, of equal parts.
MAX_ROUNDS = 2
# A lender that was asked within this time is not asked again, as it has lent
# what it can spare.
ASK_AGAIN_S = 1.0
# Interval of requests that no stream waits for.
AHEAD_INTERVAL_S = 0.25


class LoanChannel(ABC):
    """How an instance reaches the others of its data centre."""

    @property
    @abstractmethod
    def own_entry(self) -> registries.InstanceEntry | None:
        """Entry of this instance; ``None`` before its start."""

    @abstractmethod
    def local_peers(self) -> Sequence[registries.InstanceEntry]:
        """Return the live instances of the same data centre."""

    @abstractmethod
    def may_send(self) -> bool:
        """Return whether the byte budget allows a datagram that can wait."""

    @abstractmethod
    def send(
        self,
        peers: Sequence[registries.InstanceEntry],
        message: messages.LoanMessage,
    ) -> None:
        """Send a message to some instances; it may get lost."""


class LendingDependencies(msgspec.Struct, frozen=True):
    """What lending needs of the instance."""

    is_active: Callable[[], bool]
    # Returns the budget of a service, or None if there is no such service.
    budget: Callable[[ids.ServiceName], budgets.RetryBudget | None]
    channel: LoanChannel
    clock: Callable[[], float]
    log: telemetry.EventLog
    metrics: telemetry.Metrics
    rng: random.Random
    call_later: Callable[
        [float, Callable[[], None]], asyncio.TimerHandle | None
    ]


class Round:
    """One request for loans, sent to a few lenders at the same time."""

    def __init__(
        self,
        number: int,
        service: ids.ServiceName,
        asked_at: float,
        amount: int,
        lenders: list[registries.InstanceEntry],
        *,
        is_ahead: bool,
    ) -> None:
        self.number = number
        self.service = service
        self.asked_at = asked_at
        self.amount = amount
        self.lenders = {each.id: each for each in lenders}
        self.missing = set(self.lenders)
        self.granted = 0
        self.is_ahead = is_ahead
        self.done = asyncio.Event()
        self.timer: asyncio.TimerHandle | None = None


class LendingManager:
    """Borrow retries that the budget lacks, and lend what is left over."""

    def __init__(self, deps: LendingDependencies) -> None:
        self._deps = deps
        # Rounds whose loans may still be spent, by their number.
        self._rounds: dict[int, Round] = {}
        # Rounds with missing answers that streams wait for.
        self._open: dict[ids.ServiceName, Round] = {}
        self._waiting: collections.Counter[ids.ServiceName] = (
            collections.Counter()
        )
        self._asked_at: dict[ids.InstanceId, float] = {}
        self._next_ahead_at = 0.0

    async def obtain(self, service: ids.ServiceName) -> bool:
        """Wait a moment for a loan; return whether a retry can be spent."""
        deps = self._deps
        budget = deps.budget(service)
        if not deps.is_active() or budget is None:
            return False
        self._waiting[service] += 1
        try:
            for _ in range(MAX_ROUNDS):
                round_ = self._open.get(service) or self.ask(
                    service, self._waiting[service]
                )
                if round_ is None:
                    break
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(MAX_WAIT_S / MAX_ROUNDS):
                        await round_.done.wait()
                if self._open.get(service) is round_:
                    # The lenders are not worth a longer wait. Their answers
                    # still count when they come.
                    del self._open[service]
                if budget.remaining(deps.clock()) > 0:
                    return True
        finally:
            self._waiting[service] -= 1
            if not self._waiting[service]:
                del self._waiting[service]
        return False

    def ask_ahead(self, service: ids.ServiceName) -> None:
        """Ask for a loan if little is left, without waiting for it."""
        deps = self._deps
        now = deps.clock()
        budget = deps.budget(service)
        if (
            budget is None
            or not deps.is_active()
            or now < self._next_ahead_at
            or service in self._open
        ):
            return
        if decisions.choose_amount(budget.remaining(now), 0):
            self._next_ahead_at = now + AHEAD_INTERVAL_S
            self.ask(service)

    def handle(self, message: messages.LoanMessage) -> None:
        """Handle a message of another instance."""
        if not self._deps.is_active():
            self._deps.metrics.count("loan_messages_ignored_total")
        elif isinstance(message, messages.LoanRequest):
            self._handle_request(message)
        elif isinstance(message, messages.LoanGrant):
            self._handle_grant(message)
        else:
            self._handle_return(message)

    def close(self) -> None:
        """Give up all loans."""
        for round_ in self._rounds.values():
            if round_.timer is not None:
                round_.timer.cancel()
        self._rounds.clear()
        self._open.clear()

    def ask(self, service: ids.ServiceName, waiting: int = 0) -> Round | None:
        """Send a request to a few lenders, for some waiting streams."""
        deps = self._deps
        now = deps.clock()
        own_entry, budget = deps.channel.own_entry, deps.budget(service)
        if own_entry is None or budget is None:
            return None
        amount = decisions.choose_amount(budget.remaining(now), waiting)
        if not amount:
            return None
        self._asked_at = {
            lender: at
            for lender, at in self._asked_at.items()
            if now - at < ASK_AGAIN_S
        }
        lenders = decisions.choose_lenders(
            deps.channel.local_peers(), self._asked_at, deps.rng
        )
        if not lenders or not deps.channel.may_send():
            deps.metrics.count(
                "loans_not_asked_total",
                reason="bytes" if lenders else "no_lender",
            )
            return None
        number = deps.rng.getrandbits(53)
        round_ = Round(
            number, service, now, amount, lenders, is_ahead=not waiting
        )
        self._rounds[number] = self._open[service] = round_
        self._asked_at.update((each.id, now) for each in lenders)
        deps.metrics.count(
            "loans_asked_total", cause="needed" if waiting else "ahead"
        )
        deps.channel.send(
            lenders, messages.LoanRequest(own_entry, number, service, amount)
        )
        round_.timer = deps.call_later(
            decisions.LOAN_TTL_S, lambda: self._end_round(round_)
        )
        return round_

    def _handle_request(self, request: messages.LoanRequest) -> None:
        deps = self._deps
        own_entry = deps.channel.own_entry
        budget = deps.budget(request.service)
        sender = request.sender
        if (
            own_entry is None
            or budget is None
            or sender.data_centre != own_entry.data_centre
            or not deps.channel.may_send()
        ):
            deps.metrics.count("loan_messages_ignored_total")
            return
        # The amount is deducted before it is sent.
        amount = budget.lend(
            sender.id, request.number, request.amount, deps.clock()
        )
        if amount:
            deps.metrics.count("retries_lent_total", amount)
            deps.log.write(
                "retries_lent",
                routine=True,
                service=request.service,
                borrower=sender.id,
                asked=request.amount,
                lent=amount,
            )
        deps.channel.send(
            [sender],
            messages.LoanGrant(
                own_entry.id, request.number, request.service, amount
            ),
        )

    def _handle_grant(self, grant: messages.LoanGrant) -> None:
        deps = self._deps
        now = deps.clock()
        round_ = self._rounds.get(grant.number)
        if (
            round_ is None
            or round_.service != grant.service
            or grant.sender not in round_.missing
            or now > decisions.loan_expires_at(round_.asked_at)
        ):
            # It came late or twice, or is meant for an earlier incarnation.
            deps.metrics.count("loan_messages_ignored_total")
            return
        round_.missing.discard(grant.sender)
        amount = min(grant.amount, round_.amount)
        budget = deps.budget(grant.service)
        if amount and budget is not None:
            budget.loans.borrow(
                grant.sender, grant.number, amount, round_.asked_at
            )
            round_.granted += amount
            deps.metrics.count("retries_borrowed_total", amount)
        if not round_.missing:
            if self._open.get(round_.service) is round_:
                del self._open[round_.service]
            round_.done.set()

    def _handle_return(self, message: messages.LoanReturn) -> None:
        deps = self._deps
        budget = deps.budget(message.service)
        returned = 0
        if budget is not None:
            returned = budget.loans.take_back(
                message.sender, message.number, message.amount
            )
        if returned:
            deps.metrics.count("retries_returned_total", returned)
        else:
            deps.metrics.count("loan_messages_ignored_total")

    def _end_round(self, round_: Round) -> None:
        """Return what was not spent of the loans of a round."""
        deps = self._deps
        del self._rounds[round_.number]
        if self._open.get(round_.service) is round_:
            del self._open[round_.service]
        budget, own_entry = deps.budget(round_.service), deps.channel.own_entry
        unspent = 0
        if budget is not None and own_entry is not None:
            # After this, the loans can't be spent any more.
            for lender, amount in budget.loans.close_round(round_.number):
                unspent += amount
                if deps.channel.may_send():
                    deps.channel.send(
                        [round_.lenders[lender]],
                        messages.LoanReturn(
                            own_entry.id, round_.number, round_.service, amount
                        ),
                    )
        deps.log.write(
            "retries_borrowed",
            routine=round_.is_ahead,
            service=round_.service,
            cause="ahead" if round_.is_ahead else "needed",
            asked=round_.amount,
            lenders=len(round_.lenders),
            unanswered=len(round_.missing),
            granted=round_.granted,
            unspent=unspent,
        )
