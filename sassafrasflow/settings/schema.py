"""Schema of the settings file.

The name of every duration and size ends with its unit. Unknown keys are
refused.
"""

import enum
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
    "LimitSettings",
    "LogLevel",
    "LogSettings",
    "MetricSettings",
    "PeerSettings",
    "PlatformSettings",
    "PoisonSettings",
    "ReplicationSettings",
    "ReleaseSettings",
    "RetrySettings",
    "RoutingSettings",
    "Settings",
]

Port = Annotated[int, msgspec.Meta(ge=0, le=65535)]
Millis = Annotated[int, msgspec.Meta(ge=1, le=3_600_000)]
Bytes = Annotated[int, msgspec.Meta(ge=1, le=1 << 32)]
OpenShare = Annotated[float, msgspec.Meta(gt=0, lt=1)]
Percent = Annotated[float, msgspec.Meta(gt=0, lt=100)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Hours = Annotated[int, msgspec.Meta(ge=1, le=87_600)]
Share = Annotated[float, msgspec.Meta(ge=0.0, le=1.0)]
Rate = Annotated[float, msgspec.Meta(ge=0.0, le=1_000.0)]
Cost = Annotated[float, msgspec.Meta(ge=0.0, le=1_000_000.0)]


class _Section(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base class of all sections; refuses unknown keys."""


class LogLevel(enum.Enum):
    """Lowest level of log lines that are written."""

    DEBUG = "DEBUG"
    INFO = "INFO"
    WARNING = "WARNING"
    ERROR = "ERROR"


class ApiSettings(_Section, frozen=True):
    """Address for callers and operators, and limits on their requests.

    Callers make the instance hold ``max_held_bytes`` at most. A body has to
    bring ``body_progress_bytes`` in each four ``head_timeout_ms``. Without
    ``max_connections``, the descriptors of the process limit connections.
    """

    host: str = "127.0.0.1"
    port: Port = 8080
    max_body_bytes: Bytes = 4 << 20
    max_head_bytes: Bytes = 32 << 10
    head_timeout_ms: Millis = 10_000
    reader_timeout_ms: Millis = 60_000
    send_buffer_bytes: Bytes = 64 << 10
    max_held_bytes: Bytes = 512 << 20
    body_progress_bytes: Annotated[int, msgspec.Meta(ge=0, le=1 << 20)] = 1024
    max_connections: Annotated[int, msgspec.Meta(ge=16)] | None = None


class PeerSettings(_Section, frozen=True):
    """Address for peers, and parameters of membership and gossip."""

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


class PlatformSettings(_Section, frozen=True):
    """URL of the platform's services."""

    url: str
    timeout_ms: Millis = 1_000


class ConfigurationSettings(_Section, frozen=True):
    """Interval between reads of the configuration."""

    poll_interval_ms: Millis = 500


class DirectorySettings(_Section, frozen=True):
    """Polling of targets, and how long failures are taken into account."""

    list_interval_ms: Millis = 1_000
    report_interval_ms: Millis = 500
    failure_pause_ms: Millis = 2_000
    max_pause_ms: Millis = 15_000
    failure_threshold: Count = 3
    probe_ms: Millis = 1_000
    forget_ms: Millis = 30_000


class ReplicationSettings(_Section, frozen=True):
    """Replication of accepted tokens to peers before delivery."""

    replicas: Annotated[int, msgspec.Meta(ge=0, le=2)] = 1
    interval_ms: Millis = 10
    timeout_ms: Millis = 150
    missing_ms: Millis = 1_000
    lookup_peers: Count = 4
    lookup_timeout_ms: Millis = 200
    kept_ms: Millis = 300_000
    max_bytes: Bytes = 64 << 20


class PoisonSettings(_Section, frozen=True):
    """Detection of requests that crash their targets.

    A suspected request is cleared once its answer is ``progress_tokens``
    longer than at its last crash. Crashes count for ``memory_ms``.
    """

    progress_tokens: Count = 16
    memory_ms: Millis = 600_000


class GenerationSettings(_Section, frozen=True):
    """Limits on the attempts of generations and on what is kept of them.

    The timeout between tokens adapts to the gaps measured for the version,
    between ``stall_floor_ms`` and ``stall_timeout_ms``. The timeout for the
    first token is ``first_token_cold_ms`` while few first tokens of the
    version have been measured, and doubles with each stall of a generation.
    If there is no target, a new request waits ``no_target_wait_ms`` and an
    answer that has begun waits ``resume_wait_ms``.
    """

    max_attempts: Count = 8
    backoff_ms: Millis = 20
    backoff_ceiling_ms: Millis = 500
    avoid_failed_ms: Millis = 5_000
    first_token_floor_ms: Millis = 1_000
    first_token_cold_ms: Millis = 1_500
    first_token_timeout_ms: Millis = 10_000
    stall_floor_ms: Millis = 250
    stall_timeout_ms: Millis = 1_000
    stall_factor: Annotated[float, msgspec.Meta(ge=1, le=100)] = 4.0
    reattach_timeout_ms: Millis = 300
    no_target_wait_ms: Millis = 1_500
    resume_wait_ms: Millis = 5_000
    no_target_poll_ms: Millis = 50
    kept_ms: Millis = 300_000
    kept_bytes: Bytes = 64 << 20
    unattended_ms: Millis = 120_000
    replication: ReplicationSettings = ReplicationSettings()
    poison: PoisonSettings = PoisonSettings()


class CallSettings(_Section, frozen=True):
    """Limits on calls to plain services, their claims and kept answers."""

    timeout_ms: Millis = 10_000
    attempt_timeout_ms: Millis = 4_000
    max_attempts: Count = 3
    backoff_base_ms: Millis = 50
    backoff_max_ms: Millis = 1_000
    dispatch_within_ms: Millis = 5_000
    record_wait_ms: Millis = 500
    replay_bytes: Bytes = 65_536
    claims_per_write: Count = 64
    write_interval_ms: Millis = 20
    write_burst: Count = 10
    kept_hours: Hours = 24
    unresolved_kept_hours: Hours = 720
    sweep_interval_ms: Millis = 600_000
    sweep_rows: Count = 100
    sweep_writes_per_s: Count = 5


class RetrySettings(_Section, frozen=True):
    """Retry budget, as a ratio of retries to new requests."""

    ratio: Share = 0.1
    burst: Count = 100
    floor_per_s: Rate = 1.0


class RoutingSettings(_Section, frozen=True):
    """Costs of waiting, prefill and transfers; limits of the prefix index.

    ``turn_ms`` is the wait for queued work that equals the capacity of a
    target. It is charged for the load above ``knee``.
    """

    sampled: Count = 2
    holders: Count = 4
    prefixes: bool = True
    cache_interval_ms: Millis = 500
    index_blocks: Count = 100_000
    gap_trust: Share = 0.5
    answer_bytes: Bytes = 4_096
    knee: Share = 0.75
    batch_ms: Cost = 40.0
    turn_ms: Cost = 1_000.0
    block_ms: Cost = 4.0
    region_ms: Cost = 40.0
    suspicion_ms: Cost = 300.0
    suspicion_lasts_ms: Millis = 5_000
    price_ms_per_kib: Cost = 20.0


class LimitSettings(_Section, frozen=True):
    """Limits on running and waiting requests of organisations."""

    max_wait_ms: Millis = 2_000
    max_waiting: Count = 1_000
    reserve_share: Share = 0.1
    floor_share: Share = 0.25
    min_limit: Count = 16
    overcommit: Annotated[float, msgspec.Meta(ge=1.0, le=100.0)] = 1.25
    calls_per_worker: Count = 32
    demand_interval_ms: Millis = 500
    demand_ttl_ms: Millis = 5_000


class LeaseSettings(_Section, frozen=True):
    """Timing of the lease on releases.

    ``longest_order_ms`` is the maximum duration of an order. A new holder
    waits that long before its first order.
    """

    term_ms: Millis = 3_000
    renew_after_ms: Millis = 1_000
    safety_margin_ms: Millis = 500
    longest_order_ms: Millis = 1_500


class ReleaseSettings(_Section, frozen=True):
    """Ramp of a release and the evidence that it needs.

    ``shares`` are the steps of the ramp; the last step leaves a control
    group. ``false_alarm`` bounds the probability that a good version is
    taken back, and ``false_pass`` the probability that a harmful version
    passes a step; lower values need more samples. With
    ``accept_without_evidence``, a release that lacks evidence at its
    deadline is finished instead of taken back.
    """

    shares: tuple[OpenShare, ...] = (0.05, 0.2, 0.5, 0.95)
    load_ms: Millis = 120_000
    step_ms: Millis = 60_000
    watch_ms: Millis = 300_000
    finish_ms: Millis = 180_000
    drain_ms: Millis = 5_000
    look_interval_ms: Millis = 250
    report_interval_ms: Millis = 5_000
    false_alarm: OpenShare = 0.002
    false_pass: OpenShare = 0.02
    segments: Count = 16
    burst_ms: Millis = 2_000
    slow_percentile: Percent = 90.0
    slow_factor: Annotated[float, msgspec.Meta(ge=1, le=100)] = 1.2
    targets_per_region: Count = 2
    changing_share: OpenShare = 0.34
    accept_without_evidence: bool = False


class LogSettings(_Section, frozen=True):
    """Level and format of the log."""

    level: LogLevel = LogLevel.INFO
    json: bool = False


class MetricSettings(_Section, frozen=True):
    """Time window of the latency quantiles."""

    window_ms: Millis = 60_000


class Settings(_Section, frozen=True):
    """All settings of one instance.

    ``initial_configuration`` applies until operators submit the first
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
    retries: RetrySettings = RetrySettings()
    routing: RoutingSettings = RoutingSettings()
    limits: LimitSettings = LimitSettings()
    logs: LogSettings = LogSettings()
    metrics: MetricSettings = MetricSettings()
    stop_grace_ms: Millis = 30_000
    initial_configuration: document.Document = document.Document()
