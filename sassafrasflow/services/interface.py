"""Abstract interface to one target of a plain service."""

from abc import ABC
from abc import abstractmethod

import msgspec

__all__ = ["PlainService", "ServiceRequest", "ServiceResponse"]


class ServiceRequest(msgspec.Struct, frozen=True):
    """One call to a plain service."""

    method: str
    path: str
    query: str = ""
    content_type: str = "application/json"
    body: bytes = b""


class ServiceResponse(msgspec.Struct, frozen=True):
    """Answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainService(ABC):
    """Client of one target; an implementation must never retry.

    Raises
    ------
    TargetLost : the call may have run
    TargetRefused : the target was not reached, the call did not run
    """

    @abstractmethod
    async def call(
        self, req: ServiceRequest, timeout_s: float
    ) -> ServiceResponse:
        """Send a call once and return its answer."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
