"""Assembly of the components that carry out releases at one instance."""

from collections import Counter
from collections.abc import Iterator

from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import generations
from sassafrasflow import ids
from sassafrasflow import leases
from sassafrasflow import membership
from sassafrasflow import settings
from sassafrasflow import storage
from sassafrasflow import targets
from sassafrasflow.releases import collector as collectors
from sassafrasflow.releases import evidence_exchange as exchanges
from sassafrasflow.releases import leader as leaders
from sassafrasflow.releases import note_manager as note_managers
from sassafrasflow.releases import note_store as note_stores
from sassafrasflow.releases import placement as placements
from sassafrasflow.releases import reconciler as reconcilers
from sassafrasflow.releases import rollout as rollouts
from sassafrasflow.releases import verdict as verdicts
from sassafrasflow.releases import watcher as watchers

__all__ = ["Releases"]

LEASE_NAME = "releases"
CONTENDERS = 8


class Releases:
    """Note manager, watcher, leader and lease of one instance."""

    def __init__(
        self,
        cfg: settings.Settings,
        client: storage.PlatformClient,
        keeper: configuration.ConfigurationKeeper,
        directory: targets.TargetDirectory,
        registry: generations.GenerationRegistry,
        shared: membership.SharedState,
        clock: clocks.Clock,
        members: membership.MemberView | None = None,
    ) -> None:
        section = cfg.releases
        self._registry = registry
        self.lease = leases.LeaseKeeper(
            LEASE_NAME,
            cfg.instance,
            client,
            _lease_policy(cfg),
            clock,
            lambda: is_contender(cfg.instance, members),
        )
        publisher = configuration.ConfigurationPublisher(client, keeper)
        note_store = note_stores.NoteStore(client, shared, clock)
        rollout = _rollout_policy(section)
        self.note_manager = note_managers.NoteManager(
            note_store, publisher, keeper, clock, rollout.min_duration_s
        )
        collector = collectors.Collector(
            cfg.region, _collector_policy(section), clock
        )
        self.evidence_exchange = exchanges.EvidenceExchange(
            cfg.instance, collector, shared, clock
        )
        reconciler = reconcilers.TargetReconciler(
            directory,
            client,
            self.lease,
            shared,
            _reconciler_policy(section),
            clock,
        )
        evaluator = verdicts.EvaluatorPolicy(
            section.false_alarm, section.false_pass
        )
        self.leader = leaders.ReleaseLeader(
            note_store,
            publisher,
            keeper,
            self.lease,
            reconciler,
            self.evidence_exchange,
            leaders.LeaderPolicy(
                rollout,
                evaluator,
                section.segments,
                section.report_interval_ms,
            ),
            clock,
        )
        self.watcher = watchers.ReleaseWatcher(
            cfg.instance,
            keeper,
            collector,
            self.evidence_exchange,
            reconciler,
            self.leader,
            shared,
            self._running,
            watchers.WatcherPolicy(
                section.look_interval_ms, evaluator, section.segments
            ),
            clock,
        )

    def start(self) -> None:
        """Start to poll the lease and to watch the trials."""
        self.lease.start()
        self.watcher.start()

    async def hand_over(self) -> None:
        """Release the lease and continue to watch the trials."""
        await self.lease.close()

    async def close(self) -> None:
        """Stop the watcher and release the lease."""
        await self.watcher.close()
        await self.lease.close()

    def _running(self) -> Iterator[reconcilers.RunningCount]:
        counts = Counter(
            (generation.req.model, generation.version)
            for generation in self._registry.running_generations()
            if generation.version is not None
        )
        for (model, version), count in counts.items():
            yield reconcilers.RunningCount(model, version, count)


def is_contender(
    instance: ids.InstanceId, members: membership.MemberView | None
) -> bool:
    """Return whether an instance is one of the few lease contenders."""
    if members is None:
        return True
    me = membership.Peer(instance, "", ids.Region(""), ids.DataCentre(""))
    everyone = [me, *members.peers()]
    return me in membership.rendezvous(LEASE_NAME, everyone, CONTENDERS)


def _lease_policy(cfg: settings.Settings) -> leases.LeasePolicy:
    return leases.LeasePolicy(
        term_ms=cfg.leases.term_ms,
        renew_after_ms=cfg.leases.renew_after_ms,
        safety_margin_ms=cfg.leases.safety_margin_ms,
        longest_order_ms=cfg.leases.longest_order_ms,
    )


def _rollout_policy(
    section: settings.ReleaseSettings,
) -> rollouts.RolloutPolicy:
    return rollouts.RolloutPolicy(
        shares=section.shares,
        step_ms=section.step_ms,
        watch_ms=section.watch_ms,
        finish_ms=section.finish_ms,
        load_ms=section.load_ms,
        accept_without_evidence=section.accept_without_evidence,
    )


def _collector_policy(
    section: settings.ReleaseSettings,
) -> collectors.CollectorPolicy:
    return collectors.CollectorPolicy(
        segments=section.segments,
        burst_ms=section.burst_ms,
        slow_percentile=section.slow_percentile,
        slow_factor=section.slow_factor,
    )


def _reconciler_policy(
    section: settings.ReleaseSettings,
) -> reconcilers.ReconcilerPolicy:
    return reconcilers.ReconcilerPolicy(
        placements.PlacementPolicy(
            section.targets_per_region, section.changing_share
        ),
        section.drain_ms,
    )
