"""Quota: how capacity is split over organisations and instances."""

from collections.abc import Mapping

import msgspec

from sassafrasflow import ids

__all__ = [
    "Demand",
    "InstanceQuota",
    "is_significant_change",
    "fair_shares",
    "instance_quota",
]

MIN_RELATIVE_CHANGE = 0.2

Amounts = Mapping[ids.OrganisationId, float]


class Demand(msgspec.Struct, frozen=True, array_like=True):
    """Tell what an organisation asks of an instance.

    ``wanted`` is what runs and waits now; ``offered`` is the arrival rate
    over some time multiplied by the duration, which a queue that grows
    does not raise.
    """

    wanted: float = 0.0
    offered: float = 0.0


Demands = Mapping[ids.OrganisationId, Demand]


class InstanceQuota(msgspec.Struct, frozen=True):
    """Bound what one instance runs at once, in all and for each.

    ``satisfied`` names those of the ``known`` organisations that offer,
    over all instances, no more than their fair share.
    """

    limit: float
    organisations: dict[ids.OrganisationId, float]
    satisfied: frozenset[ids.OrganisationId] = frozenset()
    known: frozenset[ids.OrganisationId] = frozenset()


def fair_shares(
    capacity: float, demand: Amounts, weights: Amounts
) -> dict[ids.OrganisationId, float]:
    """Return the weighted max-min fair shares of a capacity.

    No organisation gets more than it asks for; what one leaves goes to
    those that still want more, in proportion to their weights.
    """
    shares: dict[ids.OrganisationId, float] = {}
    left = capacity
    weight_left = sum(weights.get(name, 1.0) for name in demand)
    # The least demanding for its weight is satisfied first.
    for name in sorted(
        demand, key=lambda name: demand[name] / weights.get(name, 1.0)
    ):
        weight = weights.get(name, 1.0)
        shares[name] = min(demand[name], left * weight / weight_left)
        left -= shares[name]
        weight_left -= weight
    return shares


def is_significant_change(known: Demands, newest: Demands) -> bool:
    """Tell whether demand has changed enough to be told."""
    return any(
        _is_significant(known.get(name, Demand()), newest.get(name, Demand()))
        for name in {*known, *newest}
    )


def _is_significant(known: Demand, newest: Demand) -> bool:
    change = abs(known.wanted - newest.wanted)
    return change > max(1.0, MIN_RELATIVE_CHANGE * known.wanted)


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

    ``demands`` holds what each heard instance asks for, this one
    included; each of the ``silent_count`` ones keeps an equal part. The floor
    is the part of an equal share that an instance always has, so that it
    starts at once after a quiet time.
    """
    heard = max(1, len(demands))
    count = heard + silent_count
    heard_capacity = capacity * heard / count
    total = _totals(demands)
    offered = {name: demand.offered for name, demand in total.items()}
    fair = fair_shares(heard_capacity, offered, weights)
    satisfied = frozenset(n for n in fair if fair[n] >= offered[n])
    shares = _shares(heard_capacity, total, weights, satisfied)
    quotas = {
        name: shares[name] * demand.wanted / total[name].wanted
        for name, demand in demands.get(instance, {}).items()
        if demand.wanted > 0
    }
    spare = max(0.0, heard_capacity - sum(shares.values())) / heard
    floor = capacity * floor_share / count
    limit = max(sum(quotas.values()) + spare, floor)
    return InstanceQuota(limit, quotas, satisfied, frozenset(total))


def _totals(
    demands: Mapping[ids.InstanceId, Demands],
) -> dict[ids.OrganisationId, Demand]:
    total: dict[ids.OrganisationId, Demand] = {}
    for part in demands.values():
        for name, demand in part.items():
            known = total.get(name, Demand())
            total[name] = Demand(
                known.wanted + demand.wanted, known.offered + demand.offered
            )
    return total


def _shares(
    capacity: float,
    total: Demands,
    weights: Amounts,
    satisfied: frozenset[ids.OrganisationId],
) -> dict[ids.OrganisationId, float]:
    """Give the satisfied what they want now, and the others the rest."""
    shares: dict[ids.OrganisationId, float] = {}
    for group in (satisfied, total.keys() - satisfied):
        wanted = {name: total[name].wanted for name in group}
        left = capacity - sum(shares.values())
        shares.update(fair_shares(max(0.0, left), wanted, weights))
    return shares
