"""Division of capacity among organisations and instances."""

from collections.abc import Mapping

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import shares as fair_share_rules

__all__ = [
    "Demand",
    "InstanceQuota",
    "is_significant_change",
    "fair_shares",
    "instance_quota",
]

MIN_RELATIVE_CHANGE = 0.2

Amounts = fair_share_rules.Amounts
fair_shares = fair_share_rules.fair_shares


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Describe the demand of an organisation at an instance.

    ``wanted`` is the work that runs or waits now. ``offered`` is the average
    arrival rate multiplied by the duration of work, so that a growing queue
    does not raise it.
    """

    wanted: float = 0.0
    offered: float = 0.0


Demands = Mapping[ids.OrganisationId, Demand]


class InstanceQuota(msgspec.Struct, frozen=True):
    """Bound what one instance runs at once, in total and by organisation.

    ``reported`` holds the organisations with a demand at any instance.
    ``satisfied`` holds those of them that offer, over all instances, no more
    than their fair share.
    """

    limit: float
    organisations: dict[ids.OrganisationId, float]
    satisfied: frozenset[ids.OrganisationId] = frozenset()
    reported: frozenset[ids.OrganisationId] = frozenset()


def is_significant_change(published: Demands, current: Demands) -> bool:
    """Return whether demand has changed enough to be published."""
    return any(
        _is_significant(
            published.get(name, Demand()), current.get(name, Demand())
        )
        for name in {*published, *current}
    )


def _is_significant(published: Demand, current: Demand) -> bool:
    change = abs(published.wanted - current.wanted)
    return change > max(1.0, MIN_RELATIVE_CHANGE * published.wanted)


def instance_quota(
    capacity: float,
    demands: Mapping[ids.InstanceId, Demands],
    weights: Amounts,
    instance: ids.InstanceId,
    *,
    silent_count: int,
    floor_share: float,
) -> InstanceQuota:
    """Return the part of a capacity that one instance may use.

    ``demands`` holds the demand of each reporting instance, including this
    one. Each of the ``silent_count`` instances without a report keeps an
    equal part. ``floor_share`` is the part of an equal share that an
    instance always has, so that it can start work at once after idle time.
    """
    reporting_count = max(1, len(demands))
    count = reporting_count + silent_count
    reporting_capacity = capacity * reporting_count / count
    total = _total_demand(demands)
    offered = {name: demand.offered for name, demand in total.items()}
    offered_shares = fair_shares(reporting_capacity, offered, weights)
    satisfied = frozenset(
        n for n in offered_shares if offered_shares[n] >= offered[n]
    )
    shares = _wanted_shares(reporting_capacity, total, weights, satisfied)
    quotas = {
        name: shares[name] * demand.wanted / total[name].wanted
        for name, demand in demands.get(instance, {}).items()
        if demand.wanted > 0
    }
    spare_capacity = (
        max(0.0, reporting_capacity - sum(shares.values())) / reporting_count
    )
    floor = capacity * floor_share / count
    limit = max(sum(quotas.values()) + spare_capacity, floor)
    return InstanceQuota(limit, quotas, satisfied, frozenset(total))


def _total_demand(
    demands: Mapping[ids.InstanceId, Demands],
) -> dict[ids.OrganisationId, Demand]:
    total: dict[ids.OrganisationId, Demand] = {}
    for demand_by_organisation in demands.values():
        for name, demand in demand_by_organisation.items():
            subtotal = total.get(name, Demand())
            total[name] = Demand(
                subtotal.wanted + demand.wanted,
                subtotal.offered + demand.offered,
            )
    return total


def _wanted_shares(
    capacity: float,
    total: Demands,
    weights: Amounts,
    satisfied: frozenset[ids.OrganisationId],
) -> dict[ids.OrganisationId, float]:
    """Return shares of the wanted work, satisfied organisations first.

    Satisfied organisations get what they want as far as the capacity allows,
    and the others divide the rest.
    """
    shares: dict[ids.OrganisationId, float] = {}
    for group in (satisfied, total.keys() - satisfied):
        wanted = {name: total[name].wanted for name in group}
        remaining_capacity = capacity - sum(shares.values())
        shares.update(
            fair_shares(max(0.0, remaining_capacity), wanted, weights)
        )
    return shares
