"""Retry budgets of the services, and this instance's part of the slack."""

from collections.abc import Callable

from sassafrasflow import ids
from sassafrasflow.gateway import budget as budgets
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import settings
from sassafrasflow.lending import slack

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
        self._slack_hold = slack.SlackHold(clock(), cfg().retry_window_s)
        self._budgets: dict[ids.ServiceName, budgets.RetryBudget] = {}

    def get(self, service: ids.ServiceName) -> budgets.RetryBudget:
        """Return the retry budget of a service."""
        cfg = self._cfg()
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = budgets.RetryBudget(
                cfg.retry_ratio, cfg.retry_window_s, cfg.retry_slack
            )
        exchange = self._exchange()
        if exchange is not None:
            now, peers = self._clock(), exchange.peers
            budget.set_instances(1 + len(peers))
            budget.is_slack_held = cfg.holds_streams and (
                self._slack_hold.is_held(peers.fleet_knowledge(now), now)
            )
        return budget

    def find(self, service: ids.ServiceName) -> budgets.RetryBudget | None:
        """Return the retry budget of a service if it has targets."""
        if service in self._budgets or self._has_targets(service):
            return self.get(service)
        return None
