"""Functions that build the generation registry and its policies."""

from collections.abc import Callable

from sassafrasflow import generations
from sassafrasflow import membership
from sassafrasflow import peers
from sassafrasflow import settings

__all__ = ["build_registry", "replication_policy", "stream_timeouts"]


def build_registry(
    cfg: settings.Settings,
    deps: generations.RunnerDependencies,
    node: peers.PeerNode,
    address: Callable[[], str],
    find_peers: Callable[[], list[membership.Peer]],
) -> generations.GenerationRegistry:
    """Return a registry that serves its records to peers and finds theirs."""
    store = generations.ReplicaStore(replica_policy(cfg))
    registry = generations.GenerationRegistry(
        deps, store, registry_policy(cfg)
    )
    service = generations.RecordService(
        node, store, registry.runner, address, deps.clock
    )
    registry.set_finder(
        generations.RecordFinder(
            node,
            service,
            deps.replicator,
            find_peers,
            finder_policy(cfg),
            deps.rng,
        )
    )
    return registry


def registry_policy(cfg: settings.Settings) -> generations.RegistryPolicy:
    part = cfg.generations
    return generations.RegistryPolicy(
        kept_ms=part.kept_ms,
        kept_bytes=part.kept_bytes,
        unattended_ms=part.unattended_ms,
        runner=generations.RunnerPolicy(
            place=generations.PlacementPolicy(
                part.no_target_wait_ms,
                part.resume_wait_ms,
                part.no_target_poll_ms,
            ),
            retry=generations.RetryPolicy(
                max_attempts=part.max_attempts,
                backoff_ms=part.backoff_ms,
                backoff_ceiling_ms=part.backoff_ceiling_ms,
                avoid_ms=part.avoid_failed_ms,
            ),
            stream=generations.StreamPolicy(part.reattach_timeout_ms),
        ),
    )


def stream_timeouts(
    part: settings.GenerationSettings,
) -> generations.StreamTimeouts:
    return generations.StreamTimeouts(
        first_token=generations.AdaptiveTimeout(
            generations.AdaptiveTimeoutPolicy(
                part.first_token_floor_ms,
                part.first_token_timeout_ms,
                part.first_token_cold_ms,
                part.stall_factor,
            )
        ),
        inter_token=generations.AdaptiveTimeout(
            generations.AdaptiveTimeoutPolicy(
                part.stall_floor_ms,
                part.stall_timeout_ms,
                part.stall_timeout_ms,
                part.stall_factor,
            )
        ),
    )


def replication_policy(
    cfg: settings.Settings,
) -> generations.ReplicationPolicy:
    part = cfg.generations.replication
    return generations.ReplicationPolicy(
        part.replicas, part.interval_ms, part.timeout_ms, part.missing_ms
    )


def replica_policy(cfg: settings.Settings) -> generations.ReplicaPolicy:
    part = cfg.generations.replication
    return generations.ReplicaPolicy(part.kept_ms, part.max_bytes)


def finder_policy(cfg: settings.Settings) -> generations.FinderPolicy:
    part = cfg.generations.replication
    return generations.FinderPolicy(part.lookup_peers, part.lookup_timeout_ms)
