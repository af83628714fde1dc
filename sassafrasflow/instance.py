"""One instance: every part of the daemon, started and closed together."""

from collections.abc import Callable
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
        self.metrics = observability.Metrics(
            clock, cfg.metrics.window_ms / 1000
        )
        self.platform = platform.PlatformClient(
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
        self.suspicion = targets.SuspicionExchange(
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
        self.gate = organisations.Gate(assembly.lane_policies(cfg), clock)
        self.demand = assembly.build_demand_exchange(
            cfg, self.gate, self.shared, self.directory, self.keeper, clock
        )
        self.observers: list[generations.AttemptObserver] = []
        self.registry = generations.GenerationRegistry(
            self.directory,
            self.router,
            _registry_policy(cfg),
            self.metrics,
            self.observers,
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
        self.chooser.blocks = self.releases.book
        self.observers.append(self.releases.watcher.observe)
        self._parts = api.Services(
            self.keeper,
            self.registry,
            self.call_desk,
            self.releases.desk,
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
        app = api.build_app(self._parts, max_body_bytes=cfg.api.max_body_bytes)
        self._server = api.HttpServer(
            api.identify_requests(app),
            cfg.api.host,
            cfg.api.port,
            _http_bounds(cfg),
            self.metrics,
        )
        self._watch_gauges()

    def _watch_gauges(self) -> None:
        gauge = observability.Gauge
        readers: dict[observability.Gauge, Callable[[], float | None]] = {
            gauge.CONFIGURATION_AGE_SECONDS: self.keeper.age_s,
            gauge.CONFIGURATION_REVISION: self._revision,
            gauge.OPEN_CONNECTIONS: lambda: len(self.http_connections),
            gauge.RUNNING_GENERATIONS: lambda: self.registry.running,
            gauge.TARGETS_KNOWN: lambda: len(list(self.directory)),
            gauge.TARGETS_READY: lambda: len(self.directory.ready()),
        }
        for name, read in readers.items():
            self.metrics.watch(name, read)

    def _revision(self) -> float | None:
        return self.keeper.current.revision if self.keeper.ready else None

    @property
    def port(self) -> int:
        """Return the port that callers connect to."""
        return self._server.port

    @property
    def http_connections(self) -> list[api.BoundedProtocol]:
        """Return the open connections of callers and operators."""
        return self._server.connections

    async def start(self) -> None:
        """Start every part.

        Raises
        ------
        AddressError : the address can't be listened on
        """
        await self._server.start()
        await self.peers.start()
        await self.gossip.start()
        await self.keeper.start()
        await self.directory.start()
        self.leaving.start()
        self.suspicion.start()
        await self.cache_feed.start()
        await self.demand.start()
        await self.sweeper.start()
        self.releases.start()
        logger.info(
            "instance: {} serves on port {}.", self.cfg.instance, self.port
        )

    async def drain(self) -> None:
        """Refuse new requests and wait until the running ones have ended."""
        self._parts.stopping = True
        logger.info("instance: {} is stopping.", self.cfg.instance)
        await self.releases.hand_over()
        await self.registry.drained()
        await self.call_desk.drained()

    async def close(self) -> None:
        """Stop every part."""
        await self.releases.close()
        await self.registry.close()
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


def _http_bounds(cfg: settings.Settings) -> api.HttpBounds:
    part = cfg.api
    return api.HttpBounds(
        max_head_bytes=part.max_head_bytes,
        head_timeout_ms=part.head_timeout_ms,
        reader_timeout_ms=part.reader_timeout_ms,
        send_buffer_bytes=part.send_buffer_bytes,
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


def _registry_policy(cfg: settings.Settings) -> generations.RegistryPolicy:
    part = cfg.generations
    return generations.RegistryPolicy(
        kept_ms=part.kept_ms,
        runner=generations.RunnerPolicy(
            max_attempts=part.max_attempts,
            first_token_timeout_ms=part.first_token_timeout_ms,
            stall_timeout_ms=part.stall_timeout_ms,
            no_target_wait_ms=part.no_target_wait_ms,
            no_target_poll_ms=part.no_target_poll_ms,
        ),
    )
