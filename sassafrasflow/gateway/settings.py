"""Settings of a gateway."""

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import intake as intakes
from sassafrasflow.memory import limits as memory_limits

__all__ = ["Address", "GatewaySettings", "parse_address"]

Address = tuple[str, int]


class GatewaySettings(msgspec.Struct, frozen=True):
    """Settings of one gateway instance."""

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    regions: dict[ids.DataCentre, ids.Region]
    host: str
    caller_address: Address
    # Listens for health checks.
    health_address: Address
    # Receives datagrams of other instances.
    exchange_port: int
    store_address: Address
    memory_bytes: int
    # Time from the request to stop until the process is killed.
    stop_grace_s: float
    # Retry budget: retries allowed per request within the window, plus a
    # constant number that all instances share.
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    # Additional address for metrics, which the health address serves too.
    metrics_address: Address | None = None
    # Limits of the size of one answer of a target.
    intake: intakes.IntakeLimits = intakes.IntakeLimits()
    # Limits of what callers and targets make the instance hold.
    memory: memory_limits.MemoryLimits = memory_limits.MemoryLimits()
    # Descriptors of the machine; None if they are not bounded.
    max_fds: int | None = None
    # Longest pause that a target may ask for. A target that asks for a year
    # by mistake is tried again after this time.
    max_target_pause_s: float = 120.0
    # Limit of the log volume. Excess lines are dropped and counted; a line
    # takes some 300 bytes.
    log_bytes_per_s: int = 64 * 1024
    # Whether ordinary successes are logged too.
    log_successes: bool = True
    # Whether the speed of targets is estimated and used for placement.
    pace: bool = True
    # Whether streams wait at the instance while that is better than waiting
    # at an engine, and are refused if they can't end in time.
    holds_streams: bool = False


def parse_address(text: str) -> Address:
    """Split ``host:port``.

    Raises
    ------
    ValueError : if there is no host or the port is not a number
    """
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"{text!r} is no host:port")
    return host, int(port)
