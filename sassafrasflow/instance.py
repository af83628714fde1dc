"""One instance: every part of the daemon, started and closed together."""

import random

from loguru import logger

from sassafrasflow import api
from sassafrasflow import calls
from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import generations
from sassafrasflow import ids
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
        # Replaced by the gossiping implementation once several instances
        # share state; alone, an instance shares with itself.
        self.shared: membership.SharedState = membership.LocalSharedState(
            cfg.instance, clock
        )
        self.members: membership.MemberView = membership.StaticMembers(
            _seed_peers(cfg)
        )
        self.router = routing.Router(
            self.directory,
            routing.ShareChooser(self.keeper, rng),
            cfg.region,
            rng,
        )
        self.observers: list[generations.AttemptObserver] = []
        self.replicator = generations.Replicator(
            self.peers,
            self._peer_address,
            self._replica_peers,
            _replication_policy(cfg),
            clock,
            self.metrics,
        )
        store = generations.ReplicaStore(_replica_policy(cfg))
        self.registry = generations.GenerationRegistry(
            self._runner_parts(clock, rng), store, _registry_policy(cfg)
        )
        service = generations.RecordService(
            self.peers,
            store,
            self.registry.runner,
            self._peer_address,
            clock,
        )
        self.registry.find_with(
            generations.RecordFinder(
                self.peers,
                service,
                self.replicator,
                self._replica_peers,
                _finder_policy(cfg),
                rng,
            )
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

    async def hand_over(self) -> None:
        """End the streams that still run so that others go on with them."""
        self.registry.hand_over()
        await self.registry.drained()

    async def close(self) -> None:
        """Stop every part."""
        await self.registry.close()
        await self.replicator.close()
        await self._server.close()
        await self.peers.close()
        await self.directory.close()
        await self.keeper.close()
        await self.platform.close()

    def _peer_address(self) -> str:
        return f"{self.cfg.peers.host}:{self.peers.port}"

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
            bounds=_silence_bounds(cfg),
            clock=clock,
            rng=rng,
            observers=self.observers,
        )


def _seed_peers(cfg: settings.Settings) -> list[membership.Peer]:
    """Return the seeds as peers of this data centre."""
    return [
        membership.Peer(
            ids.InstanceId(address), address, cfg.region, cfg.data_centre
        )
        for address in cfg.peers.seeds
    ]


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
        kept_bytes=part.kept_bytes,
        unattended_ms=part.unattended_ms,
        runner=generations.RunnerPolicy(
            no_target_wait_ms=part.no_target_wait_ms,
            no_target_poll_ms=part.no_target_poll_ms,
            retry=generations.RetryPolicy(
                max_attempts=part.max_attempts,
                backoff_ms=part.backoff_ms,
                backoff_ceiling_ms=part.backoff_ceiling_ms,
                avoid_ms=part.avoid_failed_ms,
            ),
            stream=generations.StreamPolicy(part.reattach_timeout_ms),
        ),
    )


def _silence_bounds(
    part: settings.GenerationSettings,
) -> generations.SilenceBounds:
    return generations.SilenceBounds(
        first=generations.SilenceBound(
            generations.SilencePolicy(
                part.first_token_floor_ms,
                part.first_token_timeout_ms,
                part.stall_factor,
            )
        ),
        between=generations.SilenceBound(
            generations.SilencePolicy(
                part.stall_floor_ms, part.stall_ceiling_ms, part.stall_factor
            )
        ),
    )


def _replication_policy(
    cfg: settings.Settings,
) -> generations.ReplicationPolicy:
    part = cfg.generations.replication
    return generations.ReplicationPolicy(
        part.replicas, part.interval_ms, part.timeout_ms, part.missing_ms
    )


def _replica_policy(cfg: settings.Settings) -> generations.ReplicaPolicy:
    part = cfg.generations.replication
    return generations.ReplicaPolicy(part.kept_ms, part.max_bytes)


def _finder_policy(cfg: settings.Settings) -> generations.FinderPolicy:
    part = cfg.generations.replication
    return generations.FinderPolicy(part.lookup_peers, part.lookup_timeout_ms)
