"""Abstract interfaces to the services of the platform.

Implement them to run on another platform.
"""

from abc import ABC
from abc import abstractmethod
from collections.abc import Sequence
import enum

import msgspec

from sassafrasflow import ids

__all__ = [
    "Condition",
    "InstanceList",
    "ListedInstance",
    "ListedState",
    "ObjectStore",
    "Row",
    "TableService",
    "TargetKind",
    "WeightGrant",
    "WeightStore",
    "Write",
]


class Row(msgspec.Struct, frozen=True):
    """One row of the table; version 0 means that it does not exist."""

    key: str
    value: bytes
    version: int


class Condition(msgspec.Struct, frozen=True):
    """Version that a row must have for a transaction to be applied."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """New value of a row; ``None`` deletes the row."""

    key: str
    value: bytes | None


class TargetKind(enum.Enum):
    """Kind of process that a listed instance runs."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class ListedState(enum.Enum):
    """State of an instance according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """One entry of the platform's instance list."""

    id: str
    kind: TargetKind
    address: str
    region: ids.Region
    data_centre: ids.DataCentre
    state: ListedState = ListedState.LIVE
    incarnation: int = 0
    service: ids.ServiceName | None = None
    peer_address: str | None = None


class WeightGrant(msgspec.Struct, frozen=True):
    """Answer to a request to download model weights."""

    granted: bool
    retry_after_ms: int = 0


class TableService(ABC):
    """Table with versioned rows and conditional transactions.

    Raises
    ------
    TableConflict : a condition failed, nothing was written
    TableUnavailable : the table was not reached, nothing was written
    TableOutcomeUnknown : a write may have been applied
    """

    @abstractmethod
    async def get(self, key: str) -> Row | None:
        """Return a row, or ``None`` when it does not exist."""

    @abstractmethod
    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> list[Row]:
        """Return rows whose keys have a prefix, in order of their keys."""

    @abstractmethod
    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> None:
        """Apply all writes if all conditions hold."""


class ObjectStore(ABC):
    """Store of large values by name."""

    @abstractmethod
    async def load_object(self, name: str) -> bytes | None:
        """Return an object, or ``None`` when it does not exist."""

    @abstractmethod
    async def store_object(self, name: str, value: bytes) -> None:
        """Store an object, replacing an existing one of the same name."""

    @abstractmethod
    async def delete_object(self, name: str) -> None:
        """Delete an object if it exists."""


class WeightStore(ABC):
    """Rate limiter for downloads of model weights."""

    @abstractmethod
    async def reserve(
        self, model: ids.ModelName, version: ids.VersionId
    ) -> WeightGrant:
        """Request permission to download one version once."""


class InstanceList(ABC):
    """List of live and leaving instances, which may be out of date."""

    @abstractmethod
    async def instances(self) -> list[ListedInstance]:
        """Return the platform's current list."""
