"""Rank all candidates of a request as placement ranks a sample of them."""

from collections.abc import Sequence
import math

from sassafrasflow.admission import room as rooms
from sassafrasflow.explanation import messages
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import targets

__all__ = ["rank_candidates", "report_candidate"]


def rank_candidates(
    candidates: Sequence[targets.Target],
    preference: placement.Preference,
    now: float,
) -> list[tuple[targets.Target, messages.Reason]]:
    """Return the candidates, the best one first, and why others follow it."""
    doubtful = preference.doubtful_data_centres(candidates, now)
    ranked = sorted(
        (
            preference.rank_of(target, now, doubtful),
            preference.order_of(target, now),
            target.id,
            target,
        )
        for target in candidates
    )
    if not ranked:
        return []
    best = ranked[0][0]
    reasons = [messages.Reason.BEST]
    reasons += [_reason(rank, best) for rank, *_ in ranked[1:]]
    return [
        (target, reason)
        for (*_, target), reason in zip(ranked, reasons, strict=True)
    ]


def report_candidate(
    target: targets.Target,
    reason: messages.Reason,
    preference: placement.Preference,
    now: float,
) -> messages.CandidateReport:
    """Return the figures that decide on a candidate."""
    pace = preference.pace_of(target.id)
    room = None
    if preference.demand is not None:
        room = _report_room(
            placement.room_of(target, preference.memory_tokens, now)
        )
    return messages.CandidateReport(
        target.id,
        target.listed.data_centre,
        reason,
        target.health(now).name.lower(),
        round(placement.load_of(target), 2),
        round(pace.factor, 2),
        None if math.isinf(pace.limit) else round(pace.limit, 2),
        round(preference.order_of(target, now), 3),
        round(1000 * preference.wait_s(target, now)),
        room,
    )


def _reason(
    rank: placement.TargetRank, best: placement.TargetRank
) -> messages.Reason:
    """Return the first criterion in which a candidate is worse."""
    if rank.health > best.health:
        return messages.Reason.HEALTH
    if rank.lacks_room > best.lacks_room:
        return messages.Reason.NO_ROOM
    if rank.is_full > best.is_full:
        return messages.Reason.FULL
    return messages.Reason.COST


def _report_room(room: rooms.Room) -> messages.RoomReport:
    return messages.RoomReport(
        room.used_tokens,
        room.free_tokens,
        room.prefill_tokens,
        room.slots,
        room.used_slots,
        None if math.isinf(room.age_s) else round(1000 * room.age_s),
    )
