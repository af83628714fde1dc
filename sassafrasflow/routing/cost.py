"""Cost of sending a request to a target, in milliseconds."""

import msgspec

__all__ = ["CostPolicy", "Placement", "cost_ms"]

BYTES_PER_KIB = 1024


class CostPolicy(msgspec.Struct, frozen=True):
    """Set the cost of load, prefill and cross-region bytes in milliseconds.

    ``turn_ms`` is the wait for queued work that equals the capacity of a
    target. It is charged for the load above ``knee``, since a target that is
    nearly full fills up before its next report.
    """

    knee: float = 0.75
    batch_ms: float = 40.0
    turn_ms: float = 1_000.0
    block_ms: float = 4.0
    region_ms: float = 40.0
    suspicion_ms: float = 300.0
    price_ms_per_kib: float = 20.0


class Placement(msgspec.Struct, frozen=True):
    """Describe a request at a target; a ``load`` of 1 is full capacity."""

    load: float
    blocks: int
    cached_blocks: float
    is_cross_region: bool
    transfer_bytes: int
    suspected: bool = False


def cost_ms(placement: Placement, policy: CostPolicy) -> float:
    """Return the expected wait plus the price of cross-region bytes."""
    batching_ms = min(placement.load, 1.0) * policy.batch_ms
    queueing_ms = max(0.0, placement.load - policy.knee) * policy.turn_ms
    missing_blocks = max(0.0, placement.blocks - placement.cached_blocks)
    total_ms = batching_ms + queueing_ms + missing_blocks * policy.block_ms
    if placement.suspected:
        total_ms += policy.suspicion_ms
    if placement.is_cross_region:
        transfer_kib = placement.transfer_bytes / BYTES_PER_KIB
        total_ms += policy.region_ms + transfer_kib * policy.price_ms_per_kib
    return total_ms
