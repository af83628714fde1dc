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
    section = cfg.generations
    return generations.RegistryPolicy(
        kept_ms=section.kept_ms,
        kept_bytes=section.kept_bytes,
        unattended_ms=section.unattended_ms,
        runner=generations.RunnerPolicy(
            place=generations.PlacementPolicy(
                section.no_target_wait_ms,
                section.resume_wait_ms,
                section.no_target_poll_ms,
            ),
            retry=generations.RetryPolicy(
                max_attempts=section.max_attempts,
                backoff_ms=section.backoff_ms,
                backoff_ceiling_ms=section.backoff_ceiling_ms,
                avoid_ms=section.avoid_failed_ms,
            ),
            stream=generations.StreamPolicy(section.reattach_timeout_ms),
        ),
    )


def stream_timeouts(
    section: settings.GenerationSettings,
) -> generations.StreamTimeouts:
    return generations.StreamTimeouts(
        first_token=generations.AdaptiveTimeout(
            generations.AdaptiveTimeoutPolicy(
                section.first_token_floor_ms,
                section.first_token_timeout_ms,
                section.first_token_cold_ms,
                section.stall_factor,
            )
        ),
        inter_token=generations.AdaptiveTimeout(
            generations.AdaptiveTimeoutPolicy(
                section.stall_floor_ms,
                section.stall_timeout_ms,
                section.stall_timeout_ms,
                section.stall_factor,
            )
        ),
    )


def replication_policy(
    cfg: settings.Settings,
) -> generations.ReplicationPolicy:
    section = cfg.generations.replication
    return generations.ReplicationPolicy(
        section.replicas,
        section.interval_ms,
        section.timeout_ms,
        section.missing_ms,
    )


def replica_policy(cfg: settings.Settings) -> generations.ReplicaPolicy:
    section = cfg.generations.replication
    return generations.ReplicaPolicy(section.kept_ms, section.max_bytes)


def finder_policy(cfg: settings.Settings) -> generations.FinderPolicy:
    section = cfg.generations.replication
    return generations.FinderPolicy(
        section.lookup_peers, section.lookup_timeout_ms
    )
