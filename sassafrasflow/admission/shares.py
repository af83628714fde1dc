"""Fair shares of organisations, and which organisations exceed theirs."""

from collections.abc import Mapping
import enum
import math

import msgspec

from sassafrasflow import ids

__all__ = [
    "Amounts",
    "Share",
    "Standing",
    "Usage",
    "fair_shares",
    "find_exceeding",
]

Amounts = Mapping[ids.OrganisationId, float]

# An organisation exceeds its share if it uses more than the share and this
# part of an equal share, or less where the others want little.
TOLERANCE = 0.25
# Part of the others' demand that may wait before it does.
UNMET_TOLERANCE = 0.05
# Organisations with the same load differ by chance. One that uses no more than
# an equal share and this many standard deviations of its number of streams
# does not exceed its share. With three, one of 24 equal organisations was
# above this at some time in most simulations of 30 s.
DEVIATIONS = 4.0


class Standing(enum.Enum):
    """Place of an organisation beside those that exceed their share."""

    # No organisation exceeds its share.
    EVEN = "even"
    # Others exceed their share.
    UNDER = "under"
    OVER = "over"


class Usage(msgspec.Struct, frozen=True):
    """Tokens that an organisation's streams use, and those they wait for."""

    used_tokens: int = 0
    waiting_tokens: int = 0

    def plus(self, other: "Usage") -> "Usage":
        """Return the sum of two usages."""
        return Usage(
            self.used_tokens + other.used_tokens,
            self.waiting_tokens + other.waiting_tokens,
        )


NO_USAGE = Usage()


class Share(msgspec.Struct, frozen=True):
    """What an organisation uses, and its fair share of what all use."""

    usage: Usage
    share_tokens: float


def fair_shares(
    capacity: float, demand: Amounts, weights: Amounts
) -> dict[ids.OrganisationId, float]:
    """Return the weighted max-min fair shares of a capacity.

    No organisation gets more than its demand. Capacity that one leaves
    unused goes to those that want more, in proportion to their weights.
    """
    shares: dict[ids.OrganisationId, float] = {}
    remaining_capacity = capacity
    remaining_weight = sum(weights.get(name, 1.0) for name in demand)
    # The organisation with the least demand per weight is satisfied first.
    for name in sorted(
        demand, key=lambda name: demand[name] / weights.get(name, 1.0)
    ):
        weight = weights.get(name, 1.0)
        shares[name] = min(
            demand[name], remaining_capacity * weight / remaining_weight
        )
        remaining_capacity -= shares[name]
        remaining_weight -= weight
    return shares


def find_exceeding(
    usages: Mapping[ids.OrganisationId, Usage], stream_tokens: float = 0.0
) -> dict[ids.OrganisationId, Share]:
    """Return the organisations that use more than their fair share.

    While streams wait, the capacity is what all organisations use together.
    None exceeds its share unless streams of another one wait.
    ``stream_tokens`` are those of an ordinary stream.
    """
    demand = {
        name: float(usage.used_tokens + usage.waiting_tokens)
        for name, usage in usages.items()
        if usage.used_tokens or usage.waiting_tokens
    }
    if len(demand) < 2:
        return {}
    capacity = float(sum(usages[name].used_tokens for name in demand))
    equal = capacity / len(demand)
    usual = equal + DEVIATIONS * math.sqrt(equal * stream_tokens)
    shares = fair_shares(capacity, demand, {})
    total = sum(demand.values())
    exceeding = {}
    for name, share in shares.items():
        used = usages[name].used_tokens
        tolerance = min(
            TOLERANCE * equal, UNMET_TOLERANCE * (total - demand[name])
        )
        if used > max(usual, share + tolerance):
            exceeding[name] = Share(usages[name], share)
    return exceeding
