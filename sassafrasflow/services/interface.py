"""Abstract interface to one worker of a plain service."""

from abc import ABC
from abc import abstractmethod

import msgspec

__all__ = ["PlainService", "ServiceRequest", "ServiceResponse"]


class ServiceRequest(msgspec.Struct, frozen=True):
    """Carry one call to a plain service."""

    method: str
    path: str
    query: str = ""
    content_type: str = "application/json"
    body: bytes = b""


class ServiceResponse(msgspec.Struct, frozen=True):
    """Carry the answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class PlainService(ABC):
    """Talk to one worker; an implementation must never retry.

    Raises
    ------
    TargetLost : the call may have run
    TargetRefused : the worker was not reached, the call did not run
    """

    @abstractmethod
    async def call(
        self, req: ServiceRequest, timeout_s: float
    ) -> ServiceResponse:
        """Send a call once and return the answer."""

    @abstractmethod
    async def close(self) -> None:
        """Close the connections."""
