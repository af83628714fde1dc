"""Settings of a gateway."""

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import intake as intakes

__all__ = ["Address", "GatewaySettings", "parse_address"]

Address = tuple[str, int]


class GatewaySettings(msgspec.Struct, frozen=True):
    """Hold what an instance is told at its start."""

    instance: ids.InstanceId
    data_centre: ids.DataCentre
    regions: dict[ids.DataCentre, ids.Region]
    host: str
    caller_address: Address
    # Health checks.
    health_address: Address
    # Datagrams of other instances.
    exchange_port: int
    store_address: Address
    memory_bytes: int
    # Time between the request to stop and the end by force.
    stop_grace_s: float
    # Repeats allowed for each request, over a window, and a constant part
    # that all instances share.
    retry_ratio: float
    retry_window_s: float
    retry_slack: float
    # Metrics are also served on the health address.
    metrics_address: Address | None = None
    # What one answer of a target may take.
    intake: intakes.IntakeLimits = intakes.IntakeLimits()
    # The longest time that a target is believed to want nothing; one that
    # names a year by mistake is asked again after this.
    max_target_pause_s: float = 120.0
    # Log lines, in bytes a second; more are dropped and counted. A line
    # takes some 300 bytes.
    log_bytes_per_s: int = 64 * 1024
    # Whether ordinary successes are logged as well.
    log_successes: bool = True


def parse_address(text: str) -> Address:
    """Split ``host:port``.

    Raises
    ------
    ValueError : not an address
    """
    host, _, port = text.rpartition(":")
    if not host:
        raise ValueError(f"{text!r} is no host:port")
    return host, int(port)
