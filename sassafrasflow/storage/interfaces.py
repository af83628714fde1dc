"""Abstract interfaces to the platform's table, objects and instance list.

Implement these to run on another platform.
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
    """Hold one table row; version 0 means that it does not exist."""

    key: str
    value: bytes
    version: int


class Condition(msgspec.Struct, frozen=True):
    """Require a row version before a transaction is applied."""

    key: str
    version: int


class Write(msgspec.Struct, frozen=True):
    """Set a row, or delete it when the value is ``None``."""

    key: str
    value: bytes | None


class TargetKind(enum.Enum):
    """Tell what a listed instance runs."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


class ListedState(enum.Enum):
    """Tell what the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedInstance(msgspec.Struct, frozen=True):
    """Describe one entry of the platform's instance list."""

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
    """Tell when a weight download may begin."""

    granted: bool
    retry_after_ms: int = 0


class TableService(ABC):
    """Read rows and apply conditional transactions.

    Raises
    ------
    TableConflict : a condition failed, nothing was written
    TableUnavailable : not reached, nothing was written
    TableOutcomeUnknown : a write may have taken effect
    """

    @abstractmethod
    async def get(self, key: str) -> Row | None:
        """Return a row, or ``None`` when it does not exist."""

    @abstractmethod
    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> list[Row]:
        """Return rows whose key has a prefix, in key order."""

    @abstractmethod
    async def transact(
        self, conditions: Sequence[Condition], writes: Sequence[Write]
    ) -> None:
        """Apply all writes if all conditions hold."""


class ObjectStore(ABC):
    """Keep large values by name."""

    @abstractmethod
    async def load_object(self, name: str) -> bytes | None:
        """Return an object, or ``None`` when it does not exist."""

    @abstractmethod
    async def store_object(self, name: str, value: bytes) -> None:
        """Store an object, replacing an older one."""

    @abstractmethod
    async def delete_object(self, name: str) -> None:
        """Remove an object if it exists."""


class WeightStore(ABC):
    """Grant downloads of model weights at a limited rate."""

    @abstractmethod
    async def reserve(
        self, model: ids.ModelName, version: ids.VersionId
    ) -> WeightGrant:
        """Ask for permission to download one version once."""


class InstanceList(ABC):
    """List live and leaving instances, with a lag."""

    @abstractmethod
    async def instances(self) -> list[ListedInstance]:
        """Return the platform's current list."""
