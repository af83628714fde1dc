"""Directory of all targets, kept current by polling."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from loguru import logger
import msgspec

from sassafrasflow import clocks
from sassafrasflow import engines
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import platform
from sassafrasflow import services
from sassafrasflow.targets import target as targets

__all__ = ["DirectoryPolicy", "TargetDirectory"]

EngineFactory = Callable[[str], engines.Engine]
ServiceFactory = Callable[[str], services.PlainService]


class DirectoryPolicy(msgspec.Struct, frozen=True):
    """Set how often targets are asked and how long failures count."""

    list_interval_ms: int = 1_000
    report_interval_ms: int = 500
    failure_pause_ms: int = 2_000


class TargetDirectory:
    """Poll the instance list and every engine, and hold connections."""

    def __init__(
        self,
        instance_list: platform.InstanceList,
        policy: DirectoryPolicy,
        clock: clocks.Clock,
        engine_factory: EngineFactory = engines.HttpEngine,
        service_factory: ServiceFactory = services.HttpService,
    ) -> None:
        self._list = instance_list
        self._policy = policy
        self._clock = clock
        self._engine_factory = engine_factory
        self._service_factory = service_factory
        self._targets: dict[ids.TargetId, targets.Target] = {}
        self._engines: dict[ids.TargetId, engines.Engine] = {}
        self._services: dict[ids.TargetId, services.PlainService] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Begin to poll in the background."""
        await self._poll_list()
        await self._poll_reports()
        self._tasks = [
            asyncio.create_task(
                self._repeat(self._poll_list, self._policy.list_interval_ms)
            ),
            asyncio.create_task(
                self._repeat(
                    self._poll_reports, self._policy.report_interval_ms
                )
            ),
        ]

    async def close(self) -> None:
        """Stop polling and close every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await asyncio.gather(
            *(conn.close() for conn in self._engines.values()),
            *(conn.close() for conn in self._services.values()),
        )

    def __iter__(self) -> Iterator[targets.Target]:
        return iter(self._targets.values())

    def ready(self) -> list[targets.Target]:
        """Return the targets that may get new work."""
        now = self._clock.monotonic()
        return [
            target
            for target in self._targets.values()
            if target.state(now) is targets.TargetState.READY
        ]

    def workers(self, service: ids.ServiceName) -> list[targets.Target]:
        """Return the ready workers of a plain service."""
        return [
            target
            for target in self.ready()
            if target.listed.service == service
        ]

    def engine(self, target_id: ids.TargetId) -> engines.Engine:
        """Return the connection to an engine."""
        if target_id not in self._engines:
            address = self._targets[target_id].listed.address
            self._engines[target_id] = self._engine_factory(
                f"http://{address}"
            )
        return self._engines[target_id]

    def service(self, target_id: ids.TargetId) -> services.PlainService:
        """Return the connection to a service worker."""
        if target_id not in self._services:
            address = self._targets[target_id].listed.address
            self._services[target_id] = self._service_factory(
                f"http://{address}"
            )
        return self._services[target_id]

    def note_failure(self, target_id: ids.TargetId) -> None:
        """Keep new work away from a target for a while."""
        pause_s = self._policy.failure_pause_ms / 1000
        target = self._targets.get(target_id)
        if target is not None:
            target.note_failure(self._clock.monotonic() + pause_s)

    @contextlib.contextmanager
    def busy(self, target_id: ids.TargetId) -> Iterator[None]:
        """Count one piece of work at a target while it lasts."""
        target = self._targets[target_id]
        target.running_here += 1
        target.sent_since_report += 1
        try:
            yield
        finally:
            target.running_here -= 1

    async def _repeat(
        self, poll: Callable[[], object], interval_ms: int
    ) -> None:
        while True:
            await asyncio.sleep(interval_ms / 1000)
            await poll()  # type: ignore[misc]

    async def _poll_list(self) -> None:
        try:
            listed = await self._list.instances()
        except exceptions.PlatformError as exc:
            logger.warning("targets: Instance list failed: {}.", exc)
            return
        for item in listed:
            if item.kind is not platform.TargetKind.ENTRY:
                self._note_listed(item)

    def _note_listed(self, listed: platform.ListedInstance) -> None:
        known = self._targets.get(ids.TargetId(listed.id))
        if known is None:
            target = targets.Target(listed)
            self._targets[target.id] = target
        else:
            known.note_listed(listed)

    async def _poll_reports(self) -> None:
        polled = [target for target in self._targets.values()]
        await asyncio.gather(
            *(self._poll_one(target) for target in polled if target.is_engine)
        )

    async def _poll_one(self, target: targets.Target) -> None:
        try:
            report = await self.engine(target.id).report()
        except exceptions.TargetError:
            self.note_failure(target.id)
        else:
            target.note_report(report)
