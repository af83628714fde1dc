"""Retry budgets of the services, and this instance's part of the slack."""

from collections.abc import Callable

from sassafrasflow import ids
from sassafrasflow.gateway import budget as budgets
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import settings
from sassafrasflow.lending import reservation as reservations

__all__ = ["ServiceBudgets"]


class ServiceBudgets:
    """Create the budget of each service, and keep its slack up to date."""

    def __init__(
        self,
        cfg: Callable[[], settings.GatewaySettings],
        exchange: Callable[[], exchanges.PeerExchange | None],
        has_targets: Callable[[ids.ServiceName], bool],
        clock: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._exchange = exchange
        self._has_targets = has_targets
        self._clock = clock
        self.reservation = reservations.SlackReservation(
            cfg().retry_window_s, cfg().retry_slack, self._instances
        )
        # Called after retries that use the slack.
        self.on_slack_used: Callable[[], None] = lambda: None
        self._budgets: dict[ids.ServiceName, budgets.RetryBudget] = {}

    def get(self, service: ids.ServiceName) -> budgets.RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = self._create(service)
        exchange = self._exchange()
        if exchange is not None:
            budget.set_instances(self._instances())
            budget.slack_part = self.reservation.part(self._clock())
        return budget

    def find(self, service: ids.ServiceName) -> budgets.RetryBudget | None:
        """Return the retry budget of a service if it has targets."""
        if service in self._budgets or self._has_targets(service):
            return self.get(service)
        return None

    def is_counted(self) -> bool:
        """Return whether all that share the slack count this instance."""
        exchange = self._exchange()
        if exchange is None:
            return False
        return exchange.peers.fleet_knowledge(self._clock()).is_counted

    def _instances(self) -> int:
        exchange = self._exchange()
        return 1 if exchange is None else 1 + len(exchange.peers)

    def _create(self, service: ids.ServiceName) -> budgets.RetryBudget:
        cfg = self._cfg()
        budget = budgets.RetryBudget(
            cfg.retry_ratio, cfg.retry_window_s, cfg.retry_slack
        )

        def record_use(part: float | None) -> None:
            now = self._clock()
            if part is None:
                self.reservation.record_shortage(now)
            else:
                self.reservation.record_use(part, now)
            self.on_slack_used()

        budget.on_slack_used = record_use
        return budget
