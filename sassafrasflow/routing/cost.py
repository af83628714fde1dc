"""Cost of sending a request to a target, in milliseconds of waiting."""

import msgspec

__all__ = ["CostPolicy", "Placement", "cost_ms"]

BYTES_PER_KIB = 1024


class CostPolicy(msgspec.Struct, frozen=True):
    """Price queueing, prefill and paid bytes in milliseconds.

    ``turn_ms`` is the wait for one whole capacity of queued work; it
    counts from ``knee`` on, since a target that is nearly full fills up
    before its next report.
    """

    knee: float = 0.75
    batch_ms: float = 40.0
    turn_ms: float = 1_000.0
    block_ms: float = 4.0
    region_ms: float = 40.0
    suspicion_ms: float = 300.0
    price_ms_per_kib: float = 20.0


class Placement(msgspec.Struct, frozen=True):
    """Describe one request on one target; ``load`` 1 is full."""

    load: float
    blocks: int
    cached_blocks: float
    remote: bool
    paid_bytes: int
    suspected: bool = False


def cost_ms(placement: Placement, policy: CostPolicy) -> float:
    """Return the expected wait plus the price of paid bytes."""
    batching = min(placement.load, 1.0) * policy.batch_ms
    queueing = max(0.0, placement.load - policy.knee) * policy.turn_ms
    missing = max(0.0, placement.blocks - placement.cached_blocks)
    total = batching + queueing + missing * policy.block_ms
    if placement.suspected:
        total += policy.suspicion_ms
    if placement.remote:
        paid_kib = placement.paid_bytes / BYTES_PER_KIB
        total += policy.region_ms + paid_kib * policy.price_ms_per_kib
    return total
