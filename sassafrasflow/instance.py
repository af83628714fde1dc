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
        self.directory = targets.TargetDirectory(
            self.platform, _directory_policy(cfg), clock
        )
        self.peers = peers.PeerNode(
            cfg.instance,
            cfg.peers.host,
            cfg.peers.port,
            cfg.peers.shared_key,
        )
        # Replaced by the gossiping implementation once several instances
        # share state; alone, an instance shares with itself.
        self.shared: membership.SharedState = membership.LocalSharedState(
            cfg.instance, clock
        )
        self.members: membership.MemberView = membership.StaticMembers()
        self.keeper = configuration.ConfigurationKeeper(
            self.platform,
            cfg.initial_configuration,
            configuration.KeeperPolicy(cfg.configuration.poll_interval_ms),
            clock,
            self.shared,
        )
        self.chooser = routing.ShareChooser(
            self.keeper, self.directory, rng, clock
        )
        self.router = routing.Router(
            self.directory,
            self.chooser,
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
        self.releases = releases.Releases(
            cfg,
            self.platform,
            self.keeper,
            self.directory,
            self.registry,
            self.shared,
            clock,
        )
        self.chooser.blocks = self.releases.book
        self.observers.append(self.releases.watcher.observe)
        self._parts = api.Services(
            self.keeper,
            self.registry,
            self.call_desk,
            self.releases.desk,
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
        await self.keeper.start()
        await self.directory.start()
        self.releases.start()
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
        await self.releases.close()
        await self.registry.close()
        await self._server.close()
        await self.peers.close()
        await self.directory.close()
        await self.keeper.close()
        await self.platform.close()


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
