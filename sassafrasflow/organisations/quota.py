"""Quota: how capacity is split over organisations and instances."""

from collections.abc import Mapping

import msgspec

from sassafrasflow import ids

__all__ = ["InstanceQuota", "fair_shares", "instance_quota"]

Demand = Mapping[ids.OrganisationId, float]


class InstanceQuota(msgspec.Struct, frozen=True):
    """Bound what one instance runs at once, in all and for each."""

    limit: float
    organisations: dict[ids.OrganisationId, float]


def fair_shares(
    capacity: float, demand: Demand, weights: Demand
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


def instance_quota(
    capacity: float,
    demands: Mapping[ids.InstanceId, Demand],
    weights: Demand,
    instance: ids.InstanceId,
    *,
    unheard: int,
    floor_share: float,
) -> InstanceQuota:
    """Return the part of a capacity that one instance may use.

    ``demands`` holds what each heard instance asks for, this one
    included; each of the ``unheard`` ones keeps an equal part. The floor
    is the part of an equal share that an instance always has, so that it
    starts at once after a quiet time.
    """
    heard = max(1, len(demands))
    count = heard + unheard
    heard_capacity = capacity * heard / count
    total: dict[ids.OrganisationId, float] = {}
    for demand in demands.values():
        for name, amount in demand.items():
            total[name] = total.get(name, 0.0) + amount
    shares = fair_shares(heard_capacity, total, weights)
    own = demands.get(instance, {})
    quotas = {
        name: shares[name] * amount / total[name]
        for name, amount in own.items()
        if amount > 0
    }
    spare = max(0.0, heard_capacity - sum(shares.values())) / heard
    floor = capacity * floor_share / count
    return InstanceQuota(max(sum(quotas.values()) + spare, floor), quotas)
