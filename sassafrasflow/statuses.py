"""Which statuses of HTTP answers are responses."""

import enum

__all__ = ["StatusKind", "classify"]

SWITCHING_PROTOCOLS = 101


class StatusKind(enum.Enum):
    """What an answer with a status is."""

    RESPONSE = "response"
    # A response follows.
    INTERIM = "interim"
    INVALID = "invalid"


def classify(status: int) -> StatusKind:
    """Return what an answer with a status is.

    No request asks for another protocol, so 101 answers none.
    """
    if 200 <= status <= 599:
        return StatusKind.RESPONSE
    if 100 <= status <= 199 and status != SWITCHING_PROTOCOLS:
        return StatusKind.INTERIM
    return StatusKind.INVALID
