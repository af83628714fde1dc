"""Loan messages over the exchange between instances."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random

from sassafrasflow import ids
from sassafrasflow.gateway import budget as budgets
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import telemetry
from sassafrasflow.lending import manager
from sassafrasflow.lending import messages

__all__ = ["ExchangeChannel", "create_manager"]


class ExchangeChannel(manager.LoanChannel):
    """Send loan messages as datagrams that can wait."""

    def __init__(
        self,
        exchange: Callable[[], exchanges.PeerExchange | None],
        clock: Callable[[], float],
    ) -> None:
        self._exchange = exchange
        self._clock = clock

    @property
    def own_entry(self) -> registries.InstanceEntry | None:
        exchange = self._exchange()
        return None if exchange is None else exchange.peers.own_entry

    def local_peers(self) -> Sequence[registries.InstanceEntry]:
        exchange = self._exchange()
        if exchange is None:
            return []
        return exchange.peers.local_peers(self._clock())

    def may_send(self) -> bool:
        exchange = self._exchange()
        return exchange is not None and exchange.has_budget()

    def send(
        self,
        peers: Sequence[registries.InstanceEntry],
        message: messages.LoanMessage,
    ) -> None:
        exchange = self._exchange()
        if exchange is not None:
            exchange.send(peers, message)


def create_manager(
    is_active: Callable[[], bool],
    budget_of: Callable[[ids.ServiceName], budgets.RetryBudget | None],
    exchange: Callable[[], exchanges.PeerExchange | None],
    clock: Callable[[], float],
    log: telemetry.EventLog,
    metrics: telemetry.Metrics,
    rng: random.Random,
) -> manager.LendingManager:
    """Return a manager of the loans over the exchange of an instance."""
    return manager.LendingManager(
        manager.LendingDependencies(
            is_active,
            budget_of,
            ExchangeChannel(exchange, clock),
            clock,
            log,
            metrics,
            rng,
            lambda *timer: asyncio.get_running_loop().call_later(*timer),
        )
    )
