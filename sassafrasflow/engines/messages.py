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
    """Hold the settings that decide the next token."""

    max_tokens: int = 256
    temperature: float = 0.0
    top_p: float = 1.0
    seed: int | None = None
    stop: tuple[str, ...] = ()


class EngineRequest(msgspec.Struct, frozen=True):
    """Start one attempt of a generation.

    ``prefix`` holds the tokens that earlier attempts already produced;
    the engine continues behind them and does not send them again.
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
    """Tell why a generation is complete."""

    STOP = "stop"
    LENGTH = "length"


class TokenBatch(msgspec.Struct, frozen=True, tag_field="type", tag="tokens"):
    """Carry consecutive tokens; ``index`` is that of the first."""

    attempt: ids.AttemptNumber
    index: int
    tokens: list[int]
    texts: list[str]


class Finished(msgspec.Struct, frozen=True, tag_field="type", tag="end"):
    """End an attempt; ``index`` is the number of tokens in total."""

    attempt: ids.AttemptNumber
    index: int
    reason: FinishReason


EngineEvent = TokenBatch | Finished


class LoadedVersion(msgspec.Struct, frozen=True):
    """Name a version that an engine holds in memory."""

    model: ids.ModelName
    version: ids.VersionId
    ready: bool = True


class Role(enum.Enum):
    """Tell which phase of generations an engine accepts."""

    MIXED = "mixed"
    PREFILL = "prefill"
    DECODE = "decode"


class EngineReport(msgspec.Struct, frozen=True):
    """Report what an engine holds and how loaded it is."""

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
    """Name what an order changes."""

    LOAD = "load"
    UNLOAD = "unload"
    SET_ROLE = "set_role"


class Order(msgspec.Struct, frozen=True):
    """Change what an engine holds; repeating an order is harmless."""

    kind: OrderKind
    fencing: int
    model: ids.ModelName | None = None
    version: ids.VersionId | None = None
    role: Role | None = None


class OrderOutcome(msgspec.Struct, frozen=True):
    """Answer an order."""

    accepted: bool
    detail: str = ""


class CacheEvent(msgspec.Struct, frozen=True):
    """Tell that prefix blocks were stored or removed."""

    sequence: int
    stored: list[str] = []
    removed: list[str] = []


class CacheEvents(msgspec.Struct, frozen=True):
    """Carry the cache events after a sequence number."""

    incarnation: int
    events: list[CacheEvent]
