"""The gateway process: start, serve, drain and stop."""

import asyncio
from collections.abc import Callable
import contextlib
import os
import random
import signal
import time

from sassafrasflow import exceptions
from sassafrasflow.explanation import explainer
from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import callers
from sassafrasflow.gateway import copies
from sassafrasflow.gateway import dispatcher as dispatchers
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import followers
from sassafrasflow.gateway import health
from sassafrasflow.gateway import message_router as routing
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import quarantine as quarantines
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import relay as relays
from sassafrasflow.gateway import reload as reloads
from sassafrasflow.gateway import rollout_manager
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import settings
from sassafrasflow.gateway import sockets as socket_sets
from sassafrasflow.gateway import stopping
from sassafrasflow.gateway import successors
from sassafrasflow.gateway import supervision
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import versions
from sassafrasflow.lending import reservation_writer
from sassafrasflow.memory import account as accounts
from sassafrasflow.memory import limits as memory_limits
from sassafrasflow.memory import reports

__all__ = ["Gateway", "boot_clock"]

DRAIN_POLL_S = 0.05
POOL_SWEEP_S = 0.5
ANNOUNCE_RETRY_S = 1.0
# After a restore all instances write their entries within this time, in
# random order.
ANNOUNCE_SPREAD_S = 1.0
# An instance that starts soon after a restore reads the entries again after
# this time: learning of the restore takes up to a second, the spread another.
SECOND_READ_S = 3.0
# A starting instance waits this long for the stored verdicts on requests that
# crash targets, for the states of the rollouts that were ordered and for its
# part of the retry slack, if everything else has been read. The platform may
# serve the other tables only.
STORED_STATE_WAIT_S = 0.5
# Settings take some KB for each peer, so after a burst of changes only the
# newest ones are published.
SETTINGS_PUBLISH_INTERVAL_S = 0.5


def boot_clock() -> float:
    """Return monotonic seconds, including time that the machine slept."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Gateway:
    """Connect and run the components of an instance."""

    def __init__(
        self,
        cfg: settings.GatewaySettings,
        registry: registries.Registry,
        wire: protocol.WireFormat,
        inspector: successors.TargetInspector,
        copy_maker: copies.CopyMaker,
        log: telemetry.EventLog,
        *,
        clock: Callable[[], float] = boot_clock,
        rng: random.Random | None = None,
        load_settings: Callable[[], settings.GatewaySettings] | None = None,
    ) -> None:
        rng = rng or random.Random()
        self.cfg = cfg
        self.log = log
        log.configure(cfg.log_bytes_per_s, successes=cfg.log_successes)
        self._load_settings = load_settings or (lambda: self.cfg)
        self.metrics = telemetry.Metrics()
        self.directory = targets.Directory()
        self._clock = clock
        self._registry = registry
        self._rng = rng
        self._stopping_since: float | None = None
        # Set once the configuration, the targets and the verdicts on requests
        # that crash targets have been read.
        self._initial_state_loaded = asyncio.Event()
        self._are_verdicts_loaded = False
        # Whether this instance serves without what it has not read by now.
        self._is_wait_over = False
        self._wait_timer: asyncio.TimerHandle | None = None
        # Set when the platform first answers with everything else.
        self._store_answers = asyncio.Event()
        # Set when the store may lack the entry of this instance.
        self._entry_missing = asyncio.Event()
        self._started_at = clock()
        self._settings_published_at = -SETTINGS_PUBLISH_INTERVAL_S
        self._settings_scheduled = False
        self._started_ms = int(time.time() * 1000)
        self._eras = versions.EraTracker(
            log, self.metrics, self._on_store_restored
        )
        self.rollouts = rollout_manager.RolloutManager(
            cfg.instance,
            self._started_ms,
            registry,
            self.directory,
            lambda now: self._target_follower.store_clock.time_ms(now),
            self._eras,
            clock,
            log,
            rng,
        )
        self.quarantine = quarantines.QuarantineManager(
            cfg.instance,
            self.directory,
            registry,
            lambda now: self._target_follower.store_clock.time_ms(now),
            clock,
            log,
            self.metrics,
            rng,
        )
        self.access = accesses.TargetAccess(
            cfg,
            self.directory,
            wire,
            copy_maker,
            clock,
            log,
            self.metrics,
            rng,
            self.rollouts,
            self.quarantine,
        )
        self._reservation_writer = reservation_writer.ReservationWriter(
            cfg.instance,
            self.access.budgets.reservation,
            registry,
            self.access.budgets.is_counted,
            self._add_peers,
            clock,
            log,
            self.metrics,
            rng,
        )
        self.access.budgets.on_slack_used = self._reservation_writer.handle_use
        self._reservation_writer.on_stored = self._on_update
        self.directory.on_ended = self.access.handle_ended
        self.contact = registries.StoreContact(
            clock, log, "targets", self._on_store_regained
        )
        self._role = relays.ReaderRole(
            cfg.instance, followers.TARGET_READ_PERIOD_S, rng
        )
        self._settings_contact = registries.StoreContact(
            clock, log, "settings"
        )
        self.settings = followers.SettingsFollower(
            registry,
            self._settings_contact,
            self._role,
            self._eras,
            self.contact.age_s,
            clock,
            log,
            rng,
            self._on_update,
            self.rollouts.handle_orders,
            self._on_newer_settings,
        )
        self._target_follower = followers.TargetFollower(
            registry,
            self.directory,
            self.contact,
            self._role,
            self._eras,
            clock,
            log,
            rng,
            self.access.pool.close_target,
            self._on_update,
        )
        self._successors = successors.SuccessorFinder(
            inspector,
            self.directory,
            lambda: self.settings.current,
            self.contact.age_s,
            clock,
            log,
        )
        self.dispatcher = dispatchers.Dispatcher(
            self.access,
            lambda: self.settings.current,
            self._initial_state_loaded,
            self.stopping_for_s,
        )
        self._turned_away = reports.TurnAwayReport(clock, log, self.metrics)
        self._rejections = reports.RejectionReport(clock, log, self.metrics)
        self.account = accounts.Account(
            lambda: self.cfg.memory_bytes,
            lambda: self.cfg.memory,
            clock,
            self._turned_away.record,
        )
        rejections = self._rejections
        self._server = callers.CallerServer(
            self.dispatcher.handle,
            self._limits,
            clock,
            rejections.record,
            self._on_drop,
            self.account,
            lambda: memory_limits.connection_limit(
                self.cfg.max_fds, self.cfg.memory
            ),
            rejections.record_cut,
        )
        self._router = routing.MessageRouter(
            self.settings,
            self._target_follower,
            self.rollouts,
            self.quarantine,
            self.access,
            self._on_beat,
            self._answer_settings_query,
        )
        self._explainer = explainer.PlacementExplainer(
            self.access,
            lambda: self.settings.current,
            self._initial_state_loaded.is_set,
            self.stopping_for_s,
        )
        self._health = self._create_health_server()
        self._metrics_server = self._create_health_server()
        self._supervisor = supervision.Supervisor(
            clock, log, self.metrics, rng
        )

    def is_ready(self) -> bool:
        """Return whether this instance is ready for new connections."""
        return (
            self._stopping_since is None
            and self._initial_state_loaded.is_set()
        )

    async def start(self, sockets: socket_sets.Sockets) -> None:
        """Start to serve on bound sockets."""
        self.log.write("start", pid=os.getpid())
        await self._server.start(sockets.callers)
        await self._health.start(sockets.health)
        if sockets.metrics is not None:
            await self._metrics_server.start(sockets.metrics)
        own_entry = registries.InstanceEntry(
            self.cfg.instance,
            self.cfg.host,
            self.cfg.exchange_port,
            self.cfg.data_centre,
        )
        exchange = exchanges.PeerExchange(
            own_entry,
            self._started_ms,
            self._clock,
            self.log,
            self.metrics,
            self.directory,
            self.access.handle_loss_notice,
            self._on_message,
            lambda: self._create_beat(own_entry),
        )
        await exchange.start(sockets.exchange)
        self.access.exchange = exchange
        exchange.pace = self.access.pace
        self.access.shares.exchange = exchange
        self.rollouts.exchange = exchange
        self.rollouts.on_loaded = self._on_update
        self.quarantine.exchange = exchange
        self.access.announcements.exchange = exchange
        self._target_follower.publish = self._publish_relay
        self.settings.query_peer = exchange.query_settings
        asyncio.get_running_loop().set_exception_handler(
            self._supervisor.handle_loop_error
        )
        for name, job in (
            ("log", self.log.run),
            ("callers", self._server.run),
            ("exchange", exchange.run),
            ("settings", self.settings.run),
            ("targets", self._target_follower.run),
            ("successors", self._successors.run),
            ("rollouts", self.rollouts.run),
            ("quarantine", self.quarantine.run),
            ("verdict_writer", self.quarantine.writer.run),
            ("rewriter", self.quarantine.rewriter.run),
            ("rechecks", self.quarantine.rechecks.run),
            ("slack", self._reservation_writer.run),
            ("announce", lambda: self._announce(own_entry)),
            ("pool", self._sweep),
            ("pace", self.access.pace.run),
            ("shares", self.access.shares.run),
        ):
            self._supervisor.start(name, job)

    async def run_until_stopped(self) -> None:
        """Serve until SIGTERM, then drain."""
        stop = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, stop.set)
        loop.add_signal_handler(signal.SIGINT, stop.set)
        loop.add_signal_handler(signal.SIGHUP, self._on_sighup)
        # SIGHUP may have been blocked during the start.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        await stop.wait()
        await self.drain()
        await self.close()

    async def drain(self) -> None:
        """Finish open answers and close connections in the grace period."""
        self._stopping_since = self._clock()
        self._server.drain()
        self.access.gate.stop()
        self.log.write("stop_requested", under_way=self._server.answering)
        grace_s = self.cfg.stop_grace_s
        while True:
            await asyncio.sleep(DRAIN_POLL_S)
            elapsed_s = self.stopping_for_s() or 0.0
            if stopping.should_close_idle(elapsed_s):
                self._server.close_idle()
                # Requests that wait to be read are still answered.
                await asyncio.sleep(DRAIN_POLL_S)
            if stopping.can_exit(elapsed_s, self._server.answering, grace_s):
                return

    def stopping_for_s(self) -> float | None:
        """Return the seconds since the request to stop, or ``None``."""
        if self._stopping_since is None:
            return None
        return self._clock() - self._stopping_since

    async def close(self) -> None:
        """Stop every component."""
        self.log.write("stop", cut=self._server.answering)
        await self._server.close()
        await self._supervisor.close()
        self.access.lending.close()
        if self._wait_timer is not None:
            self._wait_timer.cancel()
        if self.access.exchange is not None:
            await self.access.exchange.close()
        await self._health.close()
        await self._metrics_server.close()
        self.access.liveness.close()
        self.access.pool.close()
        await asyncio.sleep(0)
        self.log.flush()

    def _on_newer_settings(self) -> None:
        """Publish settings at once, or with others of the same burst."""
        now = self._clock()
        wait_s = (
            self._settings_published_at + SETTINGS_PUBLISH_INTERVAL_S - now
        )
        if wait_s <= 0:
            self._publish_settings()
        elif not self._settings_scheduled:
            self._settings_scheduled = True
            asyncio.get_running_loop().call_later(
                wait_s, self._publish_settings
            )

    def _publish_settings(self) -> None:
        self._settings_scheduled = False
        exchange = self.access.exchange
        if exchange is None or not self._role.is_reader:
            return
        self._settings_published_at = self._clock()
        exchange.publish_settings(self.settings.known_settings())

    def _handle_beat(self, beat: peer_table.Beat) -> None:
        self.settings.handle_beat(beat)
        if (
            beat.configuration_version < self.settings.version
            and beat.sender.data_centre != self.cfg.data_centre
            and self.access.exchange is not None
        ):
            # Local peers answer the first heartbeat of each instance.
            self.access.exchange.send_beat(beat.sender)

    def _create_beat(
        self, own_entry: registries.InstanceEntry
    ) -> peer_table.Beat:
        return peer_table.Beat(
            own_entry, self.settings.version, self.settings.newest
        )

    def _answer_settings_query(self, query: relays.SettingsQuery) -> None:
        if self.settings.current is None or self.access.exchange is None:
            return
        self.access.exchange.send_settings(
            [query.sender], self.settings.known_settings()
        )

    def _publish_relay(self, history: relays.RelayLog) -> None:
        relay = history.relay(self.cfg.instance, self.settings.newest)
        if relay is not None and self.access.exchange is not None:
            self.access.exchange.publish_relay(relay)

    def _on_message(self, message: exchanges.Message) -> None:
        self._router.handle(message)

    def _on_beat(self, beat: peer_table.Beat) -> None:
        if beat.sender.data_centre == self.cfg.data_centre:
            self._role.record_peer(self._clock())
        self._handle_beat(beat)

    def _on_store_regained(self, now: float) -> None:
        self.directory.record_store_regained(now)
        self.settings.handle_store_regained()

    def _on_store_restored(self) -> None:
        """Handle that the store was restored from an older copy."""
        self.directory.record_store_regained(self._clock())
        self._entry_missing.set()
        self.quarantine.rewriter.record_restore()
        self.quarantine.rechecks.record_restore()
        self.rollouts.handle_store_restored()
        self._reservation_writer.handle_store_restored()

    def _on_update(self) -> None:
        if self.settings.current is None or not self.directory.is_loaded:
            return
        is_complete = (
            self._are_verdicts_loaded
            and self.rollouts.is_loaded
            and not self._reservation_writer.is_awaited
        )
        if is_complete or self._is_wait_over:
            self._initial_state_loaded.set()
        elif self._wait_timer is None:
            self._store_answers.set()
            self._wait_timer = asyncio.get_running_loop().call_later(
                STORED_STATE_WAIT_S, self._on_wait_over
            )

    def _on_verdicts_loaded(self) -> None:
        self._are_verdicts_loaded = True
        self._on_update()

    def _on_wait_over(self) -> None:
        self._is_wait_over = True
        if self._reservation_writer.is_awaited:
            self.log.write("reservation_missing", waited_s=STORED_STATE_WAIT_S)
        if not self.rollouts.is_loaded:
            self.log.write(
                "rollout_states_missing", waited_s=STORED_STATE_WAIT_S
            )
        if not self._are_verdicts_loaded:
            self.log.write("verdicts_missing", waited_s=STORED_STATE_WAIT_S)
        self._on_verdicts_loaded()

    def _limits(self) -> routes.CallerLimits:
        current = self.settings.current
        return routes.CallerLimits() if current is None else current.limits

    def _on_drop(self, count: int, *, closed_here: bool) -> None:
        self.metrics.count(
            "requests_dropped_total", closed="here" if closed_here else "peer"
        )
        self.log.write(
            "requests_dropped", count=count, closed_here=closed_here
        )

    async def reload(self) -> None:
        """Read the settings file again; keep the old values if it is bad."""
        try:
            new = self._load_settings()
        except exceptions.SettingsError as exc:
            self.log.write("reload", outcome="refused", error=str(exc))
            return
        merged = reloads.merge(self.cfg, new)
        cfg = merged.settings
        moved = cfg.metrics_address != self.cfg.metrics_address
        self.cfg = self.access.cfg = cfg
        self.log.configure(cfg.log_bytes_per_s, successes=cfg.log_successes)
        if moved:
            await self._move_metrics(cfg.metrics_address)
        self.log.write(
            "reload",
            outcome="in_force" if merged.changed else "unchanged",
            changed=merged.changed,
            after_restart=merged.postponed,
        )

    async def _move_metrics(self, address: settings.Address | None) -> None:
        await self._metrics_server.close()
        sock = socket_sets.listen_if_free(address)
        if sock is None:
            self.log.write("metrics_unserved", address=address)
            return
        self._metrics_server = self._create_health_server()
        await self._metrics_server.start(sock)

    def _create_health_server(self) -> health.HealthServer:
        return health.HealthServer(
            self.is_ready,
            self._render,
            self._explainer.answer,
            self._rejections.record_cut,
        )

    def _on_sighup(self) -> None:
        self._supervisor.start_once("reload", self.reload)

    async def _announce(self, own_entry: registries.InstanceEntry) -> None:
        """Write the own entry, at the start and after each restore."""
        while not await self._write_entry(own_entry):
            await self._wait_to_announce_again()
        record = await self._meet_instances(own_entry)
        if record.era > versions.FIRST_ERA:
            # The others may not have written their entries again yet.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(SECOND_READ_S):
                    await self._announce_after_restores(own_entry)
            await self._meet_instances(own_entry)
        await self._announce_after_restores(own_entry)

    async def _meet_instances(
        self, own_entry: registries.InstanceEntry
    ) -> registries.FleetRecord:
        """Read what the other instances wrote."""
        while True:
            try:
                record = await self._registry.read_fleet()
            except exceptions.PlatformError as exc:
                self.log.write("announce_failed", error=str(exc))
                await self._wait_to_announce_again()
                continue
            self._eras.record(record.era)
            if own_entry not in record.instances:
                # The store was restored since the write.
                self._entry_missing.set()
            self._add_peers(record)
            self.quarantine.apply_stored(record)
            self._reservation_writer.handle_fleet(record)
            self._on_verdicts_loaded()
            self.quarantine.send_query()
            self.log.write("instances_met", count=len(record.instances))
            return record

    def _add_peers(self, record: registries.FleetRecord) -> None:
        assert self.access.exchange is not None
        self.access.exchange.add_peers(list(record.instances))

    async def _announce_after_restores(
        self, own_entry: registries.InstanceEntry
    ) -> None:
        """Write the own entry when the store may lack it, until cancelled."""
        while True:
            await self._entry_missing.wait()
            await asyncio.sleep(self._rng.uniform(0, ANNOUNCE_SPREAD_S))
            # A restore during the write sets the event again.
            self._entry_missing.clear()
            if await self._write_entry(own_entry):
                self.log.write("announced_again", era=self._eras.current)
            else:
                self._entry_missing.set()
                await self._wait_to_announce_again()

    async def _write_entry(self, own_entry: registries.InstanceEntry) -> bool:
        try:
            await self._registry.announce(own_entry)
        except exceptions.PlatformError as exc:
            self.log.write("announce_failed", error=str(exc))
            return False
        return True

    async def _wait_to_announce_again(self) -> None:
        """Wait for some time, or until the platform answers other calls."""
        self._store_answers.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANNOUNCE_RETRY_S):
                await self._store_answers.wait()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(POOL_SWEEP_S)
            self.access.pool.expire()
            self._turned_away.flush()
            self._rejections.flush()

    def _render(self) -> bytes:
        current = self.settings.current
        exchange = self.access.exchange
        return self.metrics.render(
            [
                ("under_way", self.dispatcher.in_flight),
                ("streams_waiting", len(self.access.gate)),
                (
                    "organisations_over_share",
                    self.access.shares.exceeding_count(),
                ),
                ("targets", len(self.directory)),
                ("held_bytes", self.account.used_bytes),
                ("answers_delayed_total", self.account.delayed),
                ("caller_connections", len(self._server.connections)),
                ("store_age_seconds", self.contact.age_s()),
                ("settings_age_seconds", self._settings_contact.age_s()),
                ("store_calls_total", self._registry.calls),
                (
                    "configuration_version",
                    -1 if current is None else current.version,
                ),
                ("peers", 0 if exchange is None else len(exchange.peers)),
                (
                    "retry_slack_part",
                    self.access.budgets.reservation.part(self._clock()),
                ),
                (
                    "suspect_requests",
                    self.quarantine.state.suspect_count,
                ),
                (
                    "quarantined_requests",
                    self.quarantine.state.refused_count,
                ),
                ("log_lines_dropped_total", self.log.dropped),
                ("uptime_seconds", self._clock() - self._started_at),
            ],
            self.access.pace.gauges(),
        )
