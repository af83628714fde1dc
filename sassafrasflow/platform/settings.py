"""Decode the settings file that the platform places on an instance."""

import os
import pathlib
import resource
from typing import Annotated

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import intake as intakes
from sassafrasflow.gateway import settings
from sassafrasflow.memory import limits as memory_limits

__all__ = ["load_settings", "settings_path"]

PATH_VARIABLE = "SASSAFRASFLOW_NODE_FILE"
# Set by the deploy file, because the platform's settings name no port for
# metrics.
METRICS_PORT_VARIABLE = "SASSAFRASFLOW_METRICS_PORT"
# Contract of a deployment whose streams wait or are refused under pressure.
PRESSURE_CONTRACT = "pressure"


class _Listen(msgspec.Struct, rename="pascal"):
    # Address for callers.
    front: str
    # Address for the health check of the load balancer.
    ready: str


class _Limits(msgspec.Struct, rename="pascal"):
    memory_mb: int = 300
    # The limit of the process applies if the platform names none.
    max_fds: int | None = None


class _Bounds(msgspec.Struct, rename="pascal"):
    grace_s: float = 8.0
    retry_budget_ratio: float = 0.0
    budget_window_s: float = 10.0
    budget_slack: float = 0.0


class _Platform(msgspec.Struct, rename="pascal"):
    address: str


class _Node(msgspec.Struct, rename="pascal"):
    node: str
    ip: str
    zone: str
    zones: dict[str, str]
    listen: _Listen
    platform: _Platform
    internal_ports: tuple[int, int] = (7200, 7215)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    contracts: tuple[str, ...] | None = None


class _GatewaySection(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Section of the file that the platform does not define."""

    intake: intakes.IntakeLimits = intakes.IntakeLimits()
    memory: memory_limits.MemoryLimits = memory_limits.MemoryLimits()
    log_bytes_per_s: Annotated[int, msgspec.Meta(ge=4096)] = 64 * 1024
    log_successes: bool = True
    metrics_port: Annotated[int, msgspec.Meta(ge=1, le=65535)] | None = None
    max_target_pause_s: Annotated[float, msgspec.Meta(gt=0)] = 120.0
    pace: bool = True
    # Overrides what follows from the platform's contracts.
    holds_streams: bool | None = None


class _File(msgspec.Struct):
    # The platform's settings, where the deployment template places them.
    node: _Node
    gateway: _GatewaySection = msgspec.field(default_factory=_GatewaySection)


_fields_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])
_file_decoder = msgspec.json.Decoder(_File)
_node_decoder = msgspec.json.Decoder(_Node)


def settings_path() -> pathlib.Path:
    """Return the path of the settings file that the platform placed."""
    return pathlib.Path(os.environ.get(PATH_VARIABLE, "node.json"))


def load_settings(path: pathlib.Path) -> settings.GatewaySettings:
    """Read and validate the settings file.

    Raises
    ------
    SettingsError : the file can't be read or a field is invalid
    """
    try:
        file = _decode(path.read_bytes())
        file.gateway.intake.check()
        file.gateway.memory.check()
        port = os.environ.get(METRICS_PORT_VARIABLE)
        return _translate(file, port)
    except OSError as exc:
        raise exceptions.SettingsError(str(path), str(exc)) from exc
    except ValueError as exc:
        raise exceptions.SettingsError(str(path), str(exc)) from exc


def _decode(content: bytes) -> _File:
    """Decode a file of the deployment template, or a plain platform file."""
    fields = decoding.decode(_fields_decoder.decode, content)
    if "node" in fields:
        return decoding.decode(_file_decoder.decode, content)
    return _File(decoding.decode(_node_decoder.decode, content))


def _translate(file: _File, port: str | None) -> settings.GatewaySettings:
    node, section = file.node, file.gateway
    if section.metrics_port is not None:
        port = str(section.metrics_port)
    holds_streams = section.holds_streams
    if holds_streams is None:
        holds_streams = PRESSURE_CONTRACT in (node.contracts or ())
    return settings.GatewaySettings(
        instance=ids.InstanceId(node.node),
        data_centre=ids.DataCentre(node.zone),
        regions={
            ids.DataCentre(zone): ids.Region(region)
            for zone, region in node.zones.items()
        },
        host=node.ip,
        caller_address=settings.parse_address(node.listen.front),
        health_address=settings.parse_address(node.listen.ready),
        exchange_port=node.internal_ports[0],
        store_address=settings.parse_address(node.platform.address),
        memory_bytes=node.limits.memory_mb * 1024 * 1024,
        stop_grace_s=node.bounds.grace_s,
        retry_ratio=node.bounds.retry_budget_ratio,
        retry_window_s=node.bounds.budget_window_s,
        retry_slack=node.bounds.budget_slack,
        metrics_address=None if port is None else (node.ip, int(port)),
        intake=section.intake,
        memory=section.memory,
        max_fds=node.limits.max_fds or _own_fd_limit(),
        log_bytes_per_s=section.log_bytes_per_s,
        log_successes=section.log_successes,
        max_target_pause_s=section.max_target_pause_s,
        pace=section.pace,
        holds_streams=holds_streams,
    )


def _own_fd_limit() -> int | None:
    """Return how many descriptors the process may open, if bounded."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft == resource.RLIM_INFINITY else soft
