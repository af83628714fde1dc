"""How many retries to ask for and to lend, and for how long they hold."""

from collections.abc import Collection
from collections.abc import Sequence
import random

from sassafrasflow import ids
from sassafrasflow.gateway import registry as registries

__all__ = [
    "choose_amount",
    "choose_lenders",
    "lendable",
    "lent_until",
    "loan_expires_at",
]

# Lenders that are asked at the same time.
MAX_LENDERS = 3
# An instance asks ahead if it has no more retries than this, and then for as
# many as the streams of one instance that a lost engine takes on average.
LOW_REMAINING = 1
AMOUNT_AHEAD = 2
# A lender keeps this many for its own next retry.
KEPT_BY_LENDER = 1
# Bound of one request, whatever its sender states.
MAX_AMOUNT = 16
# A loan can be spent for this long after it was asked for. A data centre loses
# its engines within 1.2 s, and their streams are sent again at once.
LOAN_TTL_S = 2.0
# A lender counts a loan as unspent for this much longer. A retry that was
# spent waits for figures of engines and a connection before it is sent, which
# takes up to 0.5 s.
SEND_MARGIN_S = 1.0


def choose_amount(remaining: int, waiting: int) -> int:
    """Return how many retries to ask each lender for; 0 for none.

    Lenders have little as well, so each is asked for half of what is needed.
    """
    if waiting:
        needed = waiting - max(0, remaining)
    elif remaining <= LOW_REMAINING:
        needed = AMOUNT_AHEAD
    else:
        needed = 0
    return min(MAX_AMOUNT, -(-max(0, needed) // 2))


def choose_lenders(
    local_peers: Sequence[registries.InstanceEntry],
    asked_lately: Collection[ids.InstanceId],
    rng: random.Random,
) -> list[registries.InstanceEntry]:
    """Return a random few of the local peers that were not asked lately."""
    others = [peer for peer in local_peers if peer.id not in asked_lately]
    return rng.sample(others, min(MAX_LENDERS, len(others)))


def lendable(asked: int, remaining: int) -> int:
    """Return how many of its remaining retries an instance lends.

    It lends at most half of them, and keeps enough for its own next retry.
    """
    most = min(remaining // 2, remaining - KEPT_BY_LENDER)
    return max(0, min(asked, most, MAX_AMOUNT))


def loan_expires_at(asked_at: float) -> float:
    """Return until when the borrower may spend a loan.

    The time counts from the borrower's request, which precedes the grant. So
    neither a late message nor the clock of another instance extends it.
    """
    return asked_at + LOAN_TTL_S


def lent_until(granted_at: float, window_s: float) -> float:
    """Return until when the lender counts a loan as retries of its own.

    A retry made from it is sent at the latest when it has expired, and counts
    for a window after that.
    """
    return granted_at + LOAN_TTL_S + SEND_MARGIN_S + window_s
