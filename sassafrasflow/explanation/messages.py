"""Questions of operators about the placement of a request, and answers."""

import enum
from typing import Annotated

import msgspec

from sassafrasflow import ids

__all__ = [
    "MAX_CANDIDATES",
    "MAX_QUESTION_BYTES",
    "PATH",
    "CandidateReport",
    "Explanation",
    "Question",
    "Reason",
    "RoomReport",
    "Verdict",
    "decode_question",
]

PATH = "/explain-placement"
MAX_QUESTION_BYTES = 8 * 1024
# Candidates that an answer names, the best ones first.
MAX_CANDIDATES = 20

Tokens = Annotated[int, msgspec.Meta(ge=0, le=100_000_000)]
Rank = Annotated[int, msgspec.Meta(ge=0, le=9)]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86_400)]


class Question(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Request whose placement is to be explained."""

    host: str
    path: str = "/"
    # The caller's key, or else the organisation that holds it.
    key: str | None = None
    organisation: ids.OrganisationId | None = None
    prompt_tokens: Tokens = 0
    answer_tokens: Tokens = 0
    length_hint: Tokens = 0
    # Rank to assume instead of the configured one.
    rank: Rank | None = None
    time_limit_s: Seconds | None = None


class Verdict(enum.Enum):
    """What would happen to the request."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


class Reason(enum.Enum):
    """Why a candidate comes behind the best one."""

    BEST = "best"
    # It was lost or failed lately, or its data centre lost several targets.
    HEALTH = "health"
    # The stream does not fit into its memory, or it has no slot.
    NO_ROOM = "no_room"
    # Its slots are taken, or it is beyond the load that it takes well.
    FULL = "full"
    # Its load, distance, pace and expected wait cost more.
    COST = "cost"


class RoomReport(msgspec.Struct, frozen=True):
    """Room of an engine; tokens of prompts that are not read are unread."""

    used_tokens: int
    free_tokens: int
    unread_tokens: int
    slots: int
    used_slots: int
    # Age of the other instances' figures; None if there are none.
    age_ms: int | None


class CandidateReport(msgspec.Struct, frozen=True):
    """Target that may get the request."""

    target: ids.TargetId
    data_centre: ids.DataCentre
    reason: Reason
    health: str
    load: float
    pace: float
    # Load from which on the target is slow; None if none is known.
    limit: float | None
    cost: float
    expected_wait_ms: int
    room: RoomReport | None = None


class Explanation(msgspec.Struct, frozen=True):
    """Where a request would go now, and why."""

    verdict: Verdict
    # Cause of the verdict, or the reason of the refusal.
    cause: str
    route: str | None = None
    service: ids.ServiceName | None = None
    kind: str | None = None
    organisation: ids.OrganisationId | None = None
    rank: int | None = None
    status: int | None = None
    retry_after_s: float | None = None
    # How long the request would wait at most.
    wait_ms: int | None = None
    streams_waiting: int = 0
    candidates: tuple[CandidateReport, ...] = ()
    candidates_total: int = 0
    # Targets that take no requests now, by cause.
    unavailable: dict[str, int] = {}
    # Placement compares random samples, so that a request may go to another
    # candidate than the best one.
    is_sampled: bool = True


_decoder = msgspec.json.Decoder(Question)


def decode_question(content: bytes) -> Question:
    """Return the decoded question.

    Raises
    ------
    ValueError : the content is malformed
    """
    if len(content) > MAX_QUESTION_BYTES:
        raise ValueError(f"longer than {MAX_QUESTION_BYTES} bytes")
    try:
        question = _decoder.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        raise ValueError(str(exc)) from exc
    if question.key is not None and question.organisation is not None:
        raise ValueError("give a key or an organisation, not both")
    return question
