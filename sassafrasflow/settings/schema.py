"""Structure of the settings file.

Every duration and size has its unit in the name. Unknown keys are
refused.
"""

from typing import Annotated

import msgspec

from sassafrasflow import ids
from sassafrasflow.configuration import document

__all__ = [
    "ApiSettings",
    "CallSettings",
    "ConfigurationSettings",
    "DirectorySettings",
    "GenerationSettings",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "Settings",
]

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Millis = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Bytes = Annotated[int, msgspec.Meta(ge=1, le=1 << 32)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class _Part(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Refuse unknown keys in every part."""


class ApiSettings(_Part, frozen=True):
    """Set where callers and operators connect and what they may send."""

    host: str = "127.0.0.1"
    port: Port = 8080
    max_body_bytes: Bytes = 4 << 20


class PeerSettings(_Part, frozen=True):
    """Set how instances reach each other."""

    host: str = "127.0.0.1"
    port: Port = 8081
    seeds: tuple[str, ...] = ()
    shared_key: str = ""
    advertised_address: str | None = None
    probe_interval_ms: Millis = 1_000
    call_timeout_ms: Millis = 500
    suspect_ms: Millis = 3_000
    beat_interval_ms: Millis = 5_000
    beat_ttl_ms: Millis = 25_000
    remote_interval_ms: Millis = 1_000
    gateways: Count = 3
    fan_out: Count = 2
    control_bytes_per_s: Bytes = 2_048
    list_interval_ms: Millis = 1_000
    list_reads_per_s: Count = 50


class PlatformSettings(_Part, frozen=True):
    """Set where the platform's services are."""

    url: str
    timeout_ms: Millis = 1_000


class ConfigurationSettings(_Part, frozen=True):
    """Set how often the configuration is read."""

    poll_interval_ms: Millis = 500


class DirectorySettings(_Part, frozen=True):
    """Set how often targets are polled and how long failures count."""

    list_interval_ms: Millis = 1_000
    report_interval_ms: Millis = 500
    failure_pause_ms: Millis = 2_000


class GenerationSettings(_Part, frozen=True):
    """Bound the attempts of a generation and what is remembered."""

    max_attempts: Count = 8
    first_token_timeout_ms: Millis = 10_000
    stall_timeout_ms: Millis = 1_000
    no_target_wait_ms: Millis = 1_500
    no_target_poll_ms: Millis = 50
    kept_ms: Millis = 300_000


class CallSettings(_Part, frozen=True):
    """Bound calls to plain services."""

    timeout_ms: Millis = 10_000
    max_attempts: Count = 3


class LogSettings(_Part, frozen=True):
    """Set how logs are written."""

    level: str = "INFO"
    json: bool = False


class Settings(_Part, frozen=True):
    """Hold the settings of one instance.

    ``initial_configuration`` is in force until operators submit the first
    release note.
    """

    instance: ids.InstanceId
    region: ids.Region
    data_centre: ids.DataCentre
    platform: PlatformSettings
    api: ApiSettings = ApiSettings()
    peers: PeerSettings = PeerSettings()
    configuration: ConfigurationSettings = ConfigurationSettings()
    directory: DirectorySettings = DirectorySettings()
    generations: GenerationSettings = GenerationSettings()
    calls: CallSettings = CallSettings()
    logs: LogSettings = LogSettings()
    stop_grace_ms: Millis = 30_000
    initial_configuration: document.Document = document.Document()
