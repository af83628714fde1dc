"""Intervals and limits of the gossip."""

import msgspec

from sassafrasflow.membership import entries

__all__ = ["GossipPolicy"]

MS_PER_S = 1_000
HOUR_MS = 3_600_000


class GossipPolicy(msgspec.Struct, frozen=True, kw_only=True):
    """Intervals and limits of the messages between instances.

    An instance that did nothing for ``suspension_ms`` counts as suspended.
    """

    probe_interval_ms: int = 1_000
    call_timeout_ms: int = 500
    indirect_probes: int = 2
    indirect_timeout_ms: int = 1_000
    suspect_ms: int = 3_000
    flush_interval_ms: int = 100
    fan_out: int = 2
    push_rounds: int = 2
    gateways: int = 3
    remote_interval_ms: int = 1_000
    remote_flush_interval_ms: int = 250
    remote_sync_interval_ms: int = 1_000
    sync_interval_ms: int = 5_000
    resync_interval_ms: int = 500
    beat_interval_ms: int = 5_000
    beat_ttl_ms: int = 25_000
    join_interval_ms: int = 1_000
    reconnect_interval_ms: int = 10_000
    member_ttl_ms: int = 24 * HOUR_MS
    tombstone_ttl_ms: int = 48 * HOUR_MS
    suspension_ms: int = 3_000
    bytes_per_s: int = 2_048
    join_bytes: int = 65_536
    max_message_bytes: int = 4_096
    limits: entries.Limits = entries.Limits()
