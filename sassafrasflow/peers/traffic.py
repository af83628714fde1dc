"""Counts of calls and bytes between instances."""

import enum
from typing import NamedTuple

__all__ = ["Direction", "Flow", "Traffic"]


class Direction(enum.Enum):
    """Direction of a call: sent to a peer or received from one.

    The answer counts in the direction of its call.
    """

    SENT = "sent"
    RECEIVED = "received"


class Flow(NamedTuple):
    """Key of the calls that are counted together.

    ``cross_region`` marks calls to another region.
    """

    purpose: str
    direction: Direction
    cross_region: bool


class Traffic:
    """Count calls and payload bytes of each flow."""

    def __init__(self) -> None:
        self.calls: dict[Flow, int] = {}
        self.payload_bytes: dict[Flow, int] = {}

    def record(
        self, purpose: str, direction: Direction, cross_region: bool, size: int
    ) -> None:
        """Count one payload and its bytes."""
        flow = Flow(purpose, direction, cross_region)
        self.calls[flow] = self.calls.get(flow, 0) + 1
        self.payload_bytes[flow] = self.payload_bytes.get(flow, 0) + size
