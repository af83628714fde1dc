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
    "LeaseSettings",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "ReleaseSettings",
    "Settings",
]

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Millis = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Bytes = Annotated[int, msgspec.Meta(ge=1, le=1 << 32)]
Share = Annotated[float, msgspec.Meta(gt=0, lt=1)]
Percent = Annotated[float, msgspec.Meta(gt=0, lt=100)]
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


class LeaseSettings(_Part, frozen=True):
    """Set the term of the lease on releases.

    ``longest_order_ms`` is how long an order may take; a new holder waits
    that long before its first order.
    """

    term_ms: Millis = 3_000
    renew_after_ms: Millis = 1_000
    safety_margin_ms: Millis = 500
    longest_order_ms: Millis = 1_500


class ReleaseSettings(_Part, frozen=True):
    """Set the ramp of a release and the evidence that it needs.

    ``shares`` are the steps of the ramp; the last leaves a control group.
    ``false_alarm`` bounds the chance that a good version is taken back,
    ``false_pass`` that a harmful one passes a step: lower values need more
    samples. ``accept_without_evidence`` finishes a release that lacks
    evidence at its deadline instead of taking it back.
    """

    shares: tuple[Share, ...] = (0.05, 0.2, 0.5, 0.95)
    load_ms: Millis = 120_000
    step_ms: Millis = 60_000
    watch_ms: Millis = 300_000
    finish_ms: Millis = 180_000
    drain_ms: Millis = 5_000
    look_interval_ms: Millis = 250
    report_interval_ms: Millis = 5_000
    false_alarm: Share = 0.002
    false_pass: Share = 0.02
    segments: Count = 16
    burst_ms: Millis = 2_000
    slow_percentile: Percent = 90.0
    slow_factor: Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.2
    targets_per_region: Count = 2
    changing_share: Share = 0.34
    accept_without_evidence: bool = False


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
    leases: LeaseSettings = LeaseSettings()
    releases: ReleaseSettings = ReleaseSettings()
    logs: LogSettings = LogSettings()
    stop_grace_ms: Millis = 30_000
    initial_configuration: document.Document = document.Document()
