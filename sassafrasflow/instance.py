"""One instance: every part of the daemon, started and closed together."""

import random

from loguru import logger

from sassafrasflow import api
from sassafrasflow import calls
from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import generations
from sassafrasflow import membership
from sassafrasflow import observability
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
            self.platform, _directory_policy(cfg), clock
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
        self.metrics.gauges["live_peers"] = lambda: len(self.gossip.peers())
        self.metrics.gauges["shared_entries"] = self.gossip.entry_count
        self.shared: membership.SharedState = self.gossip
        self.members: membership.MemberView = self.gossip
        self.router = routing.Router(
            self.directory,
            routing.ShareChooser(self.keeper, rng),
            cfg.region,
            rng,
        )
        self.observers: list[generations.AttemptObserver] = []
        self.registry = generations.GenerationRegistry(
            self.directory,
            self.router,
            _registry_policy(cfg),
            self.metrics,
            self.observers,
        )
        self.call_desk = calls.CallDesk(
            self.platform,
            self.directory,
            calls.CallPolicy(cfg.calls.timeout_ms, cfg.calls.max_attempts),
            clock,
            rng,
            self.metrics,
        )
        self.note_desk = releases.NoteDesk(self.platform, self.keeper, clock)
        self._parts = api.Services(
            self.keeper,
            self.registry,
            self.call_desk,
            self.note_desk,
            self.metrics,
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
        logger.info(
            "instance: {} serves on port {}.", self.cfg.instance, self.port
        )

    async def drain(self) -> None:
        """Refuse new requests and wait until the running ones have ended."""
        self._parts.stopping = True
        logger.info("instance: {} is stopping.", self.cfg.instance)
        await self.registry.drained()

    async def close(self) -> None:
        """Stop every part."""
        await self.registry.close()
        await self._server.close()
        await self.gossip.close()
        await self.peers.close()
        await self.directory.close()
        await self.keeper.close()
        await self.platform.close()


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
        beat_interval_ms=part.beat_interval_ms,
        beat_ttl_ms=part.beat_ttl_ms,
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
