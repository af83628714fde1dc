"""Instance that starts and closes all components of the daemon."""

from collections.abc import Callable
import random

from loguru import logger

from sassafrasflow import api
from sassafrasflow import assembly
from sassafrasflow import calls
from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import generation_assembly
from sassafrasflow import generations
from sassafrasflow import membership
from sassafrasflow import observability
from sassafrasflow import organisations
from sassafrasflow import peers
from sassafrasflow import releases
from sassafrasflow import routing
from sassafrasflow import settings
from sassafrasflow import storage
from sassafrasflow import targets

__all__ = ["Instance"]


class Instance:
    """Run all components of one instance on the current event loop."""

    def __init__(
        self,
        cfg: settings.Settings,
        clock: clocks.Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.cfg = cfg
        clock = clock or clocks.SystemClock()
        rng = rng or random.Random()
        self.metrics = observability.Metrics(
            clock, cfg.metrics.window_ms / 1000
        )
        self.platform = storage.PlatformClient(
            cfg.platform.url, timeout_ms=cfg.platform.timeout_ms
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
            _own_peer(cfg),
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
        self.peers.is_cross_region = self.gossip.is_cross_region
        self.metrics.traffic = self.peers.traffic
        self.shared: membership.SharedState = self.gossip
        self.members: membership.MemberView = self.gossip
        self.leaving_exchange = targets.LeavingExchange(
            self.directory, self.shared
        )
        self.suspicion_exchange = targets.SuspicionExchange(
            self.directory,
            self.shared,
            cfg.instance,
            targets.SuspicionPolicy(cfg.routing.suspicion_lasts_ms),
            clock,
        )
        self.budget = routing.RetryBudget(assembly.budget_policy(cfg), clock)
        self.prefixes = routing.PrefixIndex(assembly.prefix_policy(cfg))
        self.cache_feed = routing.CacheFeed(
            self.directory, self.prefixes, cfg.routing.cache_interval_ms
        )
        self.keeper = configuration.ConfigurationKeeper(
            self.platform,
            cfg.initial_configuration,
            configuration.KeeperPolicy(cfg.configuration.poll_interval_ms),
            clock,
            self.shared,
            configuration.DocumentExchange(self.peers, self.members, rng),
        )
        self.chooser = routing.ShareChooser(
            self.keeper, self.directory, rng, clock
        )
        self.router = routing.Router(
            self.directory,
            self.chooser,
            cfg.region,
            rng,
            assembly.router_policy(cfg),
            self.prefixes,
            self.budget,
        )
        self.gate = organisations.Gate(assembly.limiter_policies(cfg), clock)
        self.demand_exchange = assembly.build_demand_exchange(
            cfg, self.gate, self.shared, self.directory, self.keeper, clock
        )
        self.observers: list[generations.AttemptObserver] = []
        self.replicator = generations.Replicator(
            self.peers,
            self._peer_address,
            self._replica_peers,
            generation_assembly.replication_policy(cfg),
            clock,
            self.metrics,
        )
        self.registry = generation_assembly.build_registry(
            cfg,
            self._runner_dependencies(clock, rng),
            self.peers,
            self._peer_address,
            self._replica_peers,
        )
        self.call_handler = assembly.build_call_handler(
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
        self.releases = releases.Releases(
            cfg,
            self.platform,
            self.keeper,
            self.directory,
            self.registry,
            self.shared,
            clock,
            self.members,
        )
        self.chooser.blocks = self.releases.evidence_exchange
        self.observers.append(self.releases.watcher.observe)
        self._app_state = api.AppState(
            self.keeper,
            self.registry,
            self.call_handler,
            self.releases.note_manager,
            self.metrics,
            api.StatusRoutes(
                api.InstanceIdentity(
                    cfg.instance, cfg.region, cfg.data_centre
                ),
                self.keeper,
                self.directory,
                self.registry,
                self.members,
                clock,
            ),
            self.gate,
        )
        app = api.build_app(
            self._app_state, max_body_bytes=cfg.api.max_body_bytes
        )
        self._server = api.HttpServer(
            api.add_request_ids(app),
            cfg.api.host,
            cfg.api.port,
            _http_bounds(cfg),
            self.metrics,
        )
        self._register_gauges()

    def _register_gauges(self) -> None:
        gauge = observability.Gauge
        readers: dict[observability.Gauge, Callable[[], float | None]] = {
            gauge.CONFIGURATION_AGE_SECONDS: self.keeper.age_s,
            gauge.CONFIGURATION_REVISION: self._revision,
            gauge.LIVE_PEERS: lambda: len(self.gossip.peers()),
            gauge.SHARED_ENTRIES: self.gossip.entry_count,
            gauge.OPEN_CONNECTIONS: lambda: len(self.http_connections),
            gauge.HELD_BYTES: lambda: self._server.account.used_bytes,
            gauge.REPLICA_PEERS: lambda: len(self._replica_peers()),
            gauge.RUNNING_GENERATIONS: lambda: self.registry.running,
            gauge.TARGETS_KNOWN: lambda: len(list(self.directory)),
            gauge.TARGETS_READY: lambda: len(self.directory.ready_targets()),
        }
        for name, read in readers.items():
            self.metrics.register_gauge(name, read)

    def _revision(self) -> float | None:
        return self.keeper.current.revision if self.keeper.is_ready else None

    @property
    def port(self) -> int:
        """Return the port that callers connect to."""
        return self._server.port

    @property
    def http_connections(self) -> list[api.BoundedProtocol]:
        """Return the open connections of callers and operators."""
        return self._server.connections

    async def start(self) -> None:
        """Start every component.

        Raises
        ------
        AddressError : the address can't be listened on
        """
        await self._server.start()
        await self.peers.start()
        await self.gossip.start()
        await self.keeper.start()
        await self.directory.start()
        self.leaving_exchange.start()
        self.suspicion_exchange.start()
        await self.cache_feed.start()
        await self.demand_exchange.start()
        await self.sweeper.start()
        self.releases.start()
        logger.info(
            "instance: {} serves on port {}.", self.cfg.instance, self.port
        )

    async def drain(self) -> None:
        """Refuse new requests and wait until the requests in flight end."""
        self._app_state.stopping = True
        logger.info("instance: {} is stopping.", self.cfg.instance)
        await self.releases.hand_over()
        await self.registry.drained()
        await self.call_handler.drained()

    async def hand_over(self) -> None:
        """End the streams in flight so that other instances continue them."""
        self.registry.hand_over()
        await self.registry.drained()

    async def close(self) -> None:
        """Stop every component."""
        await self.releases.close()
        await self.registry.close()
        await self.replicator.close()
        await self._server.close()
        await self.gossip.close()
        await self.peers.close()
        await self.sweeper.close()
        await self.call_handler.close()
        await self.demand_exchange.close()
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

    def _runner_dependencies(
        self, clock: clocks.Clock, rng: random.Random
    ) -> generations.RunnerDependencies:
        cfg = self.cfg.generations
        return generations.RunnerDependencies(
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
            timeouts=generation_assembly.stream_timeouts(cfg),
            clock=clock,
            rng=rng,
            observers=self.observers,
        )


def _http_bounds(cfg: settings.Settings) -> api.HttpBounds:
    section = cfg.api
    return api.HttpBounds(
        max_head_bytes=section.max_head_bytes,
        head_timeout_ms=section.head_timeout_ms,
        reader_timeout_ms=section.reader_timeout_ms,
        send_buffer_bytes=section.send_buffer_bytes,
        max_body_bytes=section.max_body_bytes,
        max_held_bytes=section.max_held_bytes,
        body_progress_bytes=section.body_progress_bytes,
        max_connections=section.max_connections,
    )


def _own_peer(cfg: settings.Settings) -> membership.Peer:
    return membership.Peer(
        cfg.instance,
        cfg.peers.advertised_address or "",
        cfg.region,
        cfg.data_centre,
    )


def _gossip_policy(cfg: settings.Settings) -> membership.GossipPolicy:
    section = cfg.peers
    return membership.GossipPolicy(
        probe_interval_ms=section.probe_interval_ms,
        call_timeout_ms=section.call_timeout_ms,
        suspect_ms=section.suspect_ms,
        beat_interval_ms=section.beat_interval_ms,
        beat_ttl_ms=section.beat_ttl_ms,
        remote_interval_ms=section.remote_interval_ms,
        gateways=section.gateways,
        fan_out=section.fan_out,
        bytes_per_s=section.control_bytes_per_s,
    )


def _directory_policy(cfg: settings.Settings) -> targets.DirectoryPolicy:
    section = cfg.directory
    return targets.DirectoryPolicy(
        list_interval_ms=section.list_interval_ms,
        report_interval_ms=section.report_interval_ms,
        failure_pause_ms=section.failure_pause_ms,
        max_pause_ms=section.max_pause_ms,
        failure_threshold=section.failure_threshold,
        probe_ms=section.probe_ms,
        forget_ms=section.forget_ms,
    )
