"""Directory of all targets, updated by polling."""

import asyncio
from collections.abc import Callable
from collections.abc import Hashable
from collections.abc import Iterator
import contextlib
import random

from loguru import logger
import msgspec

from sassafrasflow import clocks
from sassafrasflow import engines
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import periodic
from sassafrasflow import services
from sassafrasflow import storage
from sassafrasflow.targets import breaker as breakers
from sassafrasflow.targets import pool as pools
from sassafrasflow.targets import route_breakers
from sassafrasflow.targets import target as targets

__all__ = ["DirectoryPolicy", "TargetDirectory"]

EngineFactory = Callable[[str], engines.Engine]
ServiceFactory = Callable[[str], services.PlainService]
Connection = engines.Engine | services.PlainService


class DirectoryPolicy(msgspec.Struct, frozen=True):
    """Set how often targets are polled and how long failures count.

    A target that is no longer listed is removed once it has neither reported
    nor completed work for ``forget_ms`` and runs no work of this instance.
    """

    list_interval_ms: int = 1_000
    report_interval_ms: int = 500
    failure_pause_ms: int = 2_000
    max_pause_ms: int = 15_000
    failure_threshold: int = 3
    probe_ms: int = 1_000
    forget_ms: int = 30_000

    def breaker(self) -> breakers.BreakerPolicy:
        """Return the policy of each target's circuit breaker."""
        return breakers.BreakerPolicy(
            threshold=self.failure_threshold,
            pause_ms=self.failure_pause_ms,
            max_pause_ms=self.max_pause_ms,
            probe_ms=self.probe_ms,
        )


class TargetDirectory:
    """Poll the instance list and every engine, and hold the connections."""

    def __init__(
        self,
        instance_list: storage.InstanceList,
        policy: DirectoryPolicy,
        clock: clocks.Clock,
        engine_factory: EngineFactory = engines.HttpEngine,
        service_factory: ServiceFactory = services.HttpService,
        rng: random.Random | None = None,
    ) -> None:
        self._instance_list = instance_list
        self._policy = policy
        self._clock = clock
        self._engine_factory = engine_factory
        self._service_factory = service_factory
        self._rng = rng or random.Random()
        self._targets: dict[ids.TargetId, targets.Target] = {}
        self._index = pools.PoolIndex()
        self.route_breakers = route_breakers.RouteBreakers(
            policy.breaker(), clock, self._rng
        )
        self._conns: dict[ids.TargetId, tuple[str, Connection]] = {}
        self._polls: list[periodic.Periodic] = []
        self._closing_conns: set[asyncio.Future[None]] = set()
        self._report_tasks: dict[ids.TargetId, asyncio.Task[None]] = {}
        self._listed_at: float | None = None
        self.entry_instances: frozenset[ids.InstanceId] = frozenset()
        self.on_change: list[Callable[[], None]] = []
        self.on_failure: list[Callable[[ids.TargetId], None]] = []

    async def start(self) -> None:
        """Poll once, then start polling in the background."""
        await self._poll_list()
        self._poll_reports()
        await asyncio.gather(
            *self._report_tasks.values(), return_exceptions=True
        )
        policy = self._policy
        self._polls = [
            periodic.Periodic(
                "targets",
                self._poll_list,
                lambda: policy.list_interval_ms / 1000,
            ),
            periodic.Periodic(
                "targets",
                self._poll_and_notify,
                lambda: policy.report_interval_ms / 1000,
            ),
        ]
        for poll in self._polls:
            poll.start()

    async def close(self) -> None:
        """Stop polling and close every connection."""
        await asyncio.gather(*(poll.close() for poll in self._polls))
        tasks = list(self._report_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(
            *tasks, *self._closing_conns, return_exceptions=True
        )
        conns = [conn for _, conn in self._conns.values()]
        self._conns.clear()
        await asyncio.gather(
            *(conn.close() for conn in conns), return_exceptions=True
        )

    def __iter__(self) -> Iterator[targets.Target]:
        return iter(self._targets.values())

    def find(self, target_id: ids.TargetId) -> targets.Target | None:
        """Return a target, or ``None`` if the directory does not have it."""
        return self._targets.get(target_id)

    def is_ready(self, target_id: ids.TargetId) -> bool:
        """Return whether a target may get new work."""
        target = self._targets.get(target_id)
        if target is None:
            return False
        state = target.state(self._clock.monotonic())
        return state is targets.TargetState.READY

    def is_suspected(self, target_id: ids.TargetId) -> bool:
        """Return whether a peer reported failed work at a target lately."""
        target = self._targets.get(target_id)
        now = self._clock.monotonic()
        return target is not None and target.is_suspected(now)

    def ready_targets(self) -> list[targets.Target]:
        """Return the targets that may get new work."""
        return [target for target in self if self.is_ready(target.id)]

    def service_targets(
        self, service: ids.ServiceName
    ) -> list[targets.Target]:
        """Return the ready targets of a plain service."""
        return [
            self._targets[target_id]
            for pool in self.regions(service).values()
            for target_id in pool
            if self.is_ready(target_id)
        ]

    def regions(self, key: Hashable) -> dict[ids.Region, pools.Pool]:
        """Return the pools by region for a service or (model, version)."""
        return self._index.regions(key)

    def list_age_s(self) -> float | None:
        """Return the seconds since the last list of the platform.

        ``None`` until the first list has arrived.
        """
        if self._listed_at is None:
            return None
        return self._clock.monotonic() - self._listed_at

    def engine(self, target_id: ids.TargetId) -> engines.Engine:
        """Return the connection to an engine.

        Raises
        ------
        TargetRefused : the directory does not have the target
        """
        conn = self._connection(target_id, self._engine_factory)
        assert isinstance(conn, engines.Engine)
        return conn

    def service(self, target_id: ids.TargetId) -> services.PlainService:
        """Return the connection to a target of a plain service.

        Raises
        ------
        TargetRefused : the directory does not have the target
        """
        conn = self._connection(target_id, self._service_factory)
        assert isinstance(conn, services.PlainService)
        return conn

    def _connection(
        self, target_id: ids.TargetId, factory: Callable[[str], Connection]
    ) -> Connection:
        target = self._targets.get(target_id)
        if target is None:
            raise exceptions.TargetRefused(f"{target_id} is not known")
        address = target.listed.address
        entry = self._conns.get(target_id)
        if entry is not None and entry[0] == address:
            return entry[1]
        self._drop_connection(target_id)
        conn = factory(f"http://{address}")
        self._conns[target_id] = (address, conn)
        return conn

    def _drop_connection(self, target_id: ids.TargetId) -> None:
        entry = self._conns.pop(target_id, None)
        if entry is not None:
            closing = asyncio.ensure_future(entry[1].close())
            self._closing_conns.add(closing)
            closing.add_done_callback(self._closing_conns.discard)

    def record_failure(self, target_id: ids.TargetId) -> None:
        """Record a failure, which pauses new work to the target."""
        target = self._targets.get(target_id)
        if target is None:
            return
        target.record_failure(self._clock.monotonic())
        for callback in self.on_failure:
            callback(target_id)

    @contextlib.contextmanager
    def track_work(self, target_id: ids.TargetId) -> Iterator[None]:
        """Count one piece of work at a target while the context is open.

        Raises
        ------
        TargetRefused : the directory does not have the target
        """
        target = self._targets.get(target_id)
        if target is None:
            raise exceptions.TargetRefused(f"{target_id} is not known")
        target.record_begin(self._clock.monotonic())
        succeeded = False
        try:
            yield
            succeeded = True
        finally:
            target.record_end(self._clock.monotonic(), succeeded=succeeded)

    async def _poll_and_notify(self) -> None:
        self._poll_reports()
        for callback in self.on_change:
            callback()

    async def _poll_list(self) -> None:
        try:
            listed = await self._instance_list.instances()
        except exceptions.PlatformError as exc:
            logger.warning("targets: Instance list failed: {}.", exc)
            return
        self.apply_list(listed)

    def apply_list(self, listed: list[storage.ListedInstance]) -> None:
        """Apply the platform's list of instances."""
        now = self._clock.monotonic()
        self._listed_at = now
        entries = []
        for item in listed:
            if item.kind is storage.TargetKind.ENTRY:
                entries.append(ids.InstanceId(item.id))
            else:
                self._record_listing(item, now)
        self.entry_instances = frozenset(entries)
        self._remove_vanished({item.id for item in listed}, now)
        for callback in self.on_change:
            callback()

    def _record_listing(
        self, listed: storage.ListedInstance, now: float
    ) -> None:
        target = self._targets.get(ids.TargetId(listed.id))
        if target is None:
            breaker = breakers.Breaker(self._policy.breaker(), self._rng)
            target = targets.Target(listed, breaker, now)
            self._targets[target.id] = target
        else:
            target.record_listing(listed, now)
        self._reindex(target)

    def _reindex(self, target: targets.Target) -> None:
        keys: frozenset[Hashable] = target.serves()
        if target.listed.service is not None:
            keys = frozenset([target.listed.service])
        self._index.put(target.id, target.listed.region, keys)

    def _remove_vanished(self, listed: set[str], now: float) -> None:
        forget_s = self._policy.forget_ms / 1000
        for target in list(self._targets.values()):
            is_silent = now - target.last_seen_at > forget_s
            is_idle = target.running_here == 0
            if target.id not in listed and is_silent and is_idle:
                self._remove(target.id)

    def _remove(self, target_id: ids.TargetId) -> None:
        logger.info("targets: {} has vanished.", target_id)
        del self._targets[target_id]
        self._index.remove(target_id)
        self._drop_connection(target_id)

    def _poll_reports(self) -> None:
        for target in self._targets.values():
            # A target that is slow to answer must not delay the others.
            if target.is_engine and target.id not in self._report_tasks:
                task = asyncio.ensure_future(self._poll_report(target))
                self._report_tasks[target.id] = task
                task.add_done_callback(self._report_callback(target.id))

    def _report_callback(
        self, target_id: ids.TargetId
    ) -> Callable[[asyncio.Task[None]], None]:
        def done(task: asyncio.Task[None]) -> None:
            self._report_tasks.pop(target_id, None)
            if not task.cancelled() and task.exception() is not None:
                logger.error("targets: Report failed: {!r}.", task.exception())

        return done

    async def _poll_report(self, target: targets.Target) -> None:
        requested_at = self._clock.monotonic()
        counts = (target.sent, target.ended)
        try:
            report = await self.engine(target.id).report()
        except exceptions.TargetError:
            target.record_unreachable(self._clock.monotonic())
            return
        self.apply_report(target, report, requested_at, counts)

    def apply_report(
        self,
        target: targets.Target,
        report: engines.EngineReport,
        requested_at: float | None = None,
        counts: tuple[int, int] | None = None,
    ) -> None:
        """Apply an engine's report; see ``Target.record_report``."""
        now = self._clock.monotonic()
        target.record_report(report, now, requested_at, counts)
        if target.id in self._targets:
            self._reindex(target)
