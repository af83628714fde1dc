"""Messages that engines and instances exchange."""

import enum

import msgspec

from sassafrasflow import ids

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "EngineEvent",
    "EngineReport",
    "EngineRequest",
    "FinishReason",
    "Finished",
    "LoadedVersion",
    "Order",
    "OrderKind",
    "OrderOutcome",
    "Role",
    "Sampling",
    "TokenBatch",
]


class Sampling(msgspec.Struct, frozen=True):
    """Parameters that determine how tokens are sampled."""

    max_tokens: int = 256
    temperature: float = 0.0
    top_p: float = 1.0
    seed: int | None = None
    stop: tuple[str, ...] = ()


class EngineRequest(msgspec.Struct, frozen=True):
    """Request to start one attempt of a generation.

    ``prefix`` holds the tokens that earlier attempts have produced. The
    engine continues after them and does not send them again.
    """

    generation: ids.GenerationId
    attempt: ids.AttemptNumber
    model: ids.ModelName
    version: ids.VersionId
    prompt: str
    sampling: Sampling
    prefix: tuple[int, ...] = ()
    priority: int = 0


class FinishReason(enum.Enum):
    """Reason why a generation is complete."""

    STOP = "stop"
    LENGTH = "length"


class TokenBatch(msgspec.Struct, frozen=True, tag_field="type", tag="tokens"):
    """Consecutive tokens; ``index`` is the position of the first one."""

    attempt: ids.AttemptNumber
    index: int
    tokens: list[int]
    texts: list[str]


class Finished(msgspec.Struct, frozen=True, tag_field="type", tag="end"):
    """End of an attempt; ``index`` is the total number of tokens."""

    attempt: ids.AttemptNumber
    index: int
    reason: FinishReason


EngineEvent = TokenBatch | Finished


class LoadedVersion(msgspec.Struct, frozen=True):
    """Version that an engine has in memory."""

    model: ids.ModelName
    version: ids.VersionId
    ready: bool = True


class Role(enum.Enum):
    """Phase of generations that an engine accepts."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class EngineReport(msgspec.Struct, frozen=True):
    """State and load of an engine, as the engine reports them."""

    incarnation: int
    loaded: list[LoadedVersion]
    running: int
    queued: int
    capacity: int
    leaving: bool = False
    role: Role = Role.MIXED
    fencing: int = 0
    memory_slots: int = 2


class OrderKind(enum.Enum):
    """Kind of change that an order requests."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


class Order(msgspec.Struct, frozen=True):
    """Order to change the versions or the role of an engine; idempotent."""

    kind: OrderKind
    fencing: int
    model: ids.ModelName | None = None
    version: ids.VersionId | None = None
    role: Role | None = None


class OrderOutcome(msgspec.Struct, frozen=True):
    """Answer of an engine to an order."""

    accepted: bool
    detail: str = ""


class CacheEvent(msgspec.Struct, frozen=True):
    """Prompt blocks that an engine has stored in or removed from its cache."""

    sequence: int
    stored: list[str] = []
    removed: list[str] = []


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events of an engine after a sequence number."""

    incarnation: int
    events: list[CacheEvent]
