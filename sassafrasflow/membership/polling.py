"""Poll intervals that keep the platform's load constant as members grow.

Each instance polls less often the more of them there are; together they
still read often, and who reads news first tells the others.
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

    ``reads_per_s`` bounds the reads of all members together; ``longest_ms``
    bounds the interval of one that hears nothing from its peers.
    """
    shared_ms = members / reads_per_s * MS_PER_S
    interval_ms = min(max(shared_ms, shortest_ms), longest_ms)
    return interval_ms / MS_PER_S * rng.uniform(1 - JITTER, 1 + JITTER)
