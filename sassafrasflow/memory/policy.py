"""Decide what an instance may hold, and whom it turns away first."""

from collections.abc import Sequence
import enum
from typing import NewType

import msgspec

__all__ = [
    "RETRY_AFTER_S",
    "Bounds",
    "Claim",
    "HoldingId",
    "Phase",
    "choose_to_close",
    "choose_to_relieve",
    "choose_to_turn_away",
    "shortage",
]

HoldingId = NewType("HoldingId", int)

# A crowd that stops short is turned away within this time.
RETRY_AFTER_S = 0.5
# Silences are compared in steps of this length, as a lost packet arrives
# again within 0.2 to 0.5 s.
SILENCE_STEP_S = 0.5


class Phase(enum.Enum):
    """What a caller's connection is doing."""

    IDLE = "idle"
    # A request is being received.
    READING = "reading"
    # A request is in flight.
    RUNNING = "running"
    # Bytes of an answer wait for the caller.
    UNREAD = "unread"


class Claim(msgspec.Struct, frozen=True):
    """What one connection holds, and how its remote end gets on."""

    id: HoldingId
    phase: Phase
    # Charged and reserved bytes.
    held_bytes: int
    # Time since the remote end last sent or accepted a byte.
    silence_s: float
    # Received share of the request's largest possible size.
    progress: float = 0.0
    # Whether the remote end has ever sent a byte.
    has_sent: bool = True


class Bounds(msgspec.Struct, frozen=True):
    """Bounds of the account, in bytes."""

    total: int
    # Part of the total that only small claims may use.
    reserve: int
    # Largest small claim.
    small: int


def shortage(
    bounds: Bounds, used_bytes: int, held_bytes: int, more_bytes: int
) -> int:
    """Return how many bytes are missing for a claim to grow, or 0.

    ``used_bytes`` is what all connections hold, ``held_bytes`` what the
    claiming one does.
    """
    is_small = held_bytes + more_bytes <= bounds.small
    limit = bounds.total if is_small else bounds.total - bounds.reserve
    return max(0, used_bytes + more_bytes - limit)


def choose_to_turn_away(
    claims: Sequence[Claim], missing_bytes: int, claimant: HoldingId
) -> list[HoldingId] | None:
    """Return whom to turn away for a claimant, or ``None``.

    The longest silence goes first, then the least progress, then the largest
    claim. ``None`` means that the claimant's turn comes before there is
    enough, or that all others together don't hold enough.
    """
    chosen: list[HoldingId] = []
    for claim in sorted(filter(_can_turn_away, claims), key=_order):
        if claim.id == claimant:
            return None
        chosen.append(claim.id)
        missing_bytes -= claim.held_bytes
        if missing_bytes <= 0:
            return chosen
    return None


def choose_to_relieve(
    claims: Sequence[Claim], used_bytes: int, bounds: Bounds
) -> list[HoldingId]:
    """Return whom to turn away until what is used is within the bounds.

    Unlike a claim, an excess is not refused: it is released as far as the
    silent connections hold it. Small claims may use the whole total.
    """
    chosen: list[HoldingId] = []
    ordered = sorted(filter(_can_turn_away, claims), key=_order)
    for is_small, limit in (
        (False, bounds.total - bounds.reserve),
        (True, bounds.total),
    ):
        for claim in ordered:
            if (claim.held_bytes <= bounds.small) is not is_small:
                continue
            if used_bytes <= limit or claim.silence_s < SILENCE_STEP_S:
                break
            chosen.append(claim.id)
            used_bytes -= claim.held_bytes
    return chosen


def choose_to_close(
    claims: Sequence[Claim], count: int, newcomer: HoldingId
) -> list[HoldingId]:
    """Return which connections to close in favour of a newcomer.

    Up to ``count`` that have never sent a byte, or else the one that has
    been silent for the longest time.
    """
    closable = sorted(
        (
            claim
            for claim in claims
            if claim.id != newcomer
            and claim.phase is not Phase.RUNNING
            and (
                claim.phase is Phase.IDLE or claim.silence_s >= SILENCE_STEP_S
            )
        ),
        key=lambda claim: (claim.has_sent, -claim.silence_s),
    )
    unused = [claim.id for claim in closable[:count] if not claim.has_sent]
    return unused or [claim.id for claim in closable[:1]]


def _can_turn_away(claim: Claim) -> bool:
    if claim.phase is Phase.UNREAD:
        # A caller that reads gets the rest of its answer.
        return claim.silence_s >= SILENCE_STEP_S
    return claim.phase is Phase.READING


def _order(claim: Claim) -> tuple[int, float, int, int]:
    steps = int(claim.silence_s / SILENCE_STEP_S)
    return -steps, claim.progress, -claim.held_bytes, claim.id
