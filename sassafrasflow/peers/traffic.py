"""Counts of what instances send each other."""

import enum
from typing import NamedTuple

__all__ = ["Direction", "Flow", "Traffic"]


class Direction(enum.Enum):
    """Tell who began the call that bytes belong to."""

    SENT = "sent"
    RECEIVED = "received"


class Flow(NamedTuple):
    """Name what is counted together; ``cross_region`` crosses regions."""

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
        """Count one payload."""
        flow = Flow(purpose, direction, cross_region)
        self.calls[flow] = self.calls.get(flow, 0) + 1
        self.payload_bytes[flow] = self.payload_bytes.get(flow, 0) + size
