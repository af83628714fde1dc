"""Poll intervals that limit the load on the platform.

The more instances there are, the less often each one polls. Together they
still poll often, and the first one to read a change passes it on to the
others.
"""

import random

__all__ = ["poll_interval_s"]

JITTER = 0.2
MS_PER_S = 1_000


def poll_interval_s(
    members: int,
    shortest_ms: int,
    longest_ms: int,
    reads_per_s: float,
    rng: random.Random,
) -> float:
    """Return the seconds until an instance should read the platform again.

    ``reads_per_s`` limits the reads of all members together. ``longest_ms``
    limits the interval, for a member that receives nothing from its peers.
    """
    shared_ms = members / reads_per_s * MS_PER_S
    interval_ms = min(max(shared_ms, shortest_ms), longest_ms)
    return interval_ms / MS_PER_S * rng.uniform(1 - JITTER, 1 + JITTER)
