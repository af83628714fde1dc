"""One instance: every part of the daemon, started and closed together."""

import random

from loguru import logger

from sassafrasflow import api
from sassafrasflow import assembly
from sassafrasflow import calls
from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import generations
from sassafrasflow import membership
from sassafrasflow import observability
from sassafrasflow import organisations
from sassafrasflow import peers
from sassafrasflow import platform
from sassafrasflow import releases
from sassafrasflow import routing
from sassafrasflow import settings
from sassafrasflow import survival
from sassafrasflow import targets

__all__ = ["Instance"]


class Instance:
    """Run the parts of one instance on the current loop."""

    def __init__(
        self,
        cfg: settings.Settings,
        clock: clocks.Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.cfg = cfg
        clock = clock or clocks.SystemClock()
        rng = rng or random.Random()
        self.metrics = observability.Metrics()
        self.platform = platform.PlatformClient(
            cfg.platform.url, timeout_ms=cfg.platform.timeout_ms
        )
        self.keeper = configuration.ConfigurationKeeper(
            self.platform,
            cfg.initial_configuration,
            configuration.KeeperPolicy(cfg.configuration.poll_interval_ms),
            clock,
        )
        self.directory = targets.TargetDirectory(
            self.platform, _directory_policy(cfg), clock, rng=rng
        )
        self.peers = peers.PeerNode(
            cfg.instance,
            cfg.peers.host,
            cfg.peers.port,
            cfg.peers.shared_key,
        )
        self.gossip = membership.GossipNode(
            _myself(cfg),
            self.peers,
            clock,
            rng,
            _gossip_policy(cfg),
            cfg.peers.seeds,
            self.platform,
            membership.ListPolling(
                shortest_ms=cfg.peers.list_interval_ms,
                reads_per_s=cfg.peers.list_reads_per_s,
            ),
        )
        self.peers.is_paid = self.gossip.is_paid
        self.metrics.traffic = self.peers.traffic
        self.shared: membership.SharedState = self.gossip
        self.members: membership.MemberView = self.gossip
        self.leaving = targets.LeavingExchange(self.directory, self.shared)
        self.budget = routing.RetryBudget(assembly.budget_policy(cfg), clock)
        self.prefixes = routing.PrefixIndex(assembly.prefix_policy(cfg))
        self.cache_feed = routing.CacheFeed(
            self.directory, self.prefixes, cfg.routing.cache_interval_ms
        )
        self.router = routing.Router(
            self.directory,
            routing.ShareChooser(self.keeper, rng),
            cfg.region,
            rng,
            assembly.router_policy(cfg),
            self.prefixes,
            self.budget,
        )
        self.gate = organisations.Gate(assembly.lane_policies(cfg), clock)
        self.demand = assembly.build_demand_exchange(
            cfg, self.gate, self.shared, self.directory, self.keeper, clock
        )
        self.observers: list[generations.AttemptObserver] = []
        self.replicator = generations.Replicator(
            self.peers,
            self._peer_address,
            self._replica_peers,
            survival.replication_policy(cfg),
            clock,
            self.metrics,
        )
        self.registry = survival.build_registry(
            cfg,
            self._runner_parts(clock, rng),
            self.peers,
            self._peer_address,
            self._replica_peers,
        )
        self.call_desk = assembly.build_call_desk(
            cfg,
            self.platform,
            self.directory,
            self.budget,
            self.gate,
            clock,
            rng,
            self.metrics,
        )
        self.sweeper = calls.ClaimSweeper(
            self.platform,
            assembly.sweep_policy(cfg),
            clock,
            lambda: assembly.is_sweeper(cfg.instance, self.members),
        )
        self.note_desk = releases.NoteDesk(self.platform, self.keeper, clock)
        self._parts = api.Services(
            self.keeper,
            self.registry,
            self.call_desk,
            self.note_desk,
            self.metrics,
            self.gate,
        )
        app = api.build_app(self._parts, max_body_bytes=cfg.api.max_body_bytes)
        self._server = api.HttpServer(app, cfg.api.host, cfg.api.port)

    @property
    def port(self) -> int:
        """Return the port that callers connect to."""
        return self._server.port

    async def start(self) -> None:
        """Start every part.

        Raises
        ------
        OSError : the address can't be listened on
        """
        await self._server.start()
        await self.peers.start()
        await self.gossip.start()
        await self.keeper.start()
        await self.directory.start()
        self.leaving.start()
        await self.cache_feed.start()
        await self.demand.start()
        await self.sweeper.start()
        logger.info(
            "instance: {} serves on port {}.", self.cfg.instance, self.port
        )

    async def drain(self) -> None:
        """Refuse new requests and wait until the running ones have ended."""
        self._parts.stopping = True
        logger.info("instance: {} is stopping.", self.cfg.instance)
        await self.registry.drained()
        await self.call_desk.drained()

    async def hand_over(self) -> None:
        """End the streams that still run so that others go on with them."""
        self.registry.hand_over()
        await self.registry.drained()

    async def close(self) -> None:
        """Stop every part."""
        await self.registry.close()
        await self.replicator.close()
        await self._server.close()
        await self.gossip.close()
        await self.peers.close()
        await self.sweeper.close()
        await self.call_desk.close()
        await self.demand.close()
        await self.cache_feed.close()
        await self.directory.close()
        await self.keeper.close()
        await self.platform.close()

    def _peer_address(self) -> str:
        return self.cfg.peers.advertised_address or self.peers.address

    def _replica_peers(self) -> list[membership.Peer]:
        return [
            peer
            for peer in self.members.peers()
            if peer.data_centre == self.cfg.data_centre
        ]

    def _runner_parts(
        self, clock: clocks.Clock, rng: random.Random
    ) -> generations.RunnerParts:
        cfg = self.cfg.generations
        return generations.RunnerParts(
            directory=self.directory,
            router=self.router,
            metrics=self.metrics,
            replicator=self.replicator,
            quarantine=generations.Quarantine(
                self.shared,
                generations.PoisonPolicy(
                    cfg.poison.progress_tokens, cfg.poison.memory_ms
                ),
                clock,
            ),
            bounds=survival.silence_bounds(cfg),
            clock=clock,
            rng=rng,
            observers=self.observers,
        )


def _myself(cfg: settings.Settings) -> membership.Peer:
    return membership.Peer(
        cfg.instance,
        cfg.peers.advertised_address or "",
        cfg.region,
        cfg.data_centre,
    )


def _gossip_policy(cfg: settings.Settings) -> membership.GossipPolicy:
    part = cfg.peers
    return membership.GossipPolicy(
        probe_interval_ms=part.probe_interval_ms,
        call_timeout_ms=part.call_timeout_ms,
        suspect_ms=part.suspect_ms,
        remote_interval_ms=part.remote_interval_ms,
        gateways=part.gateways,
        fan_out=part.fan_out,
        bytes_per_s=part.control_bytes_per_s,
    )


def _directory_policy(cfg: settings.Settings) -> targets.DirectoryPolicy:
    part = cfg.directory
    return targets.DirectoryPolicy(
        list_interval_ms=part.list_interval_ms,
        report_interval_ms=part.report_interval_ms,
        failure_pause_ms=part.failure_pause_ms,
        max_pause_ms=part.max_pause_ms,
        failure_threshold=part.failure_threshold,
        probe_ms=part.probe_ms,
        forget_ms=part.forget_ms,
    )
