"""Keeper of the configuration in force at one instance.

A revision comes from the table, from a peer or from a write of this
instance. It is adopted only if it is higher than the one in force. Gossip
announces the number of a revision; its document is read from the table, or
from a peer when the table does not answer.
"""

import asyncio
from collections.abc import Callable
import contextlib

from loguru import logger
import msgspec

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow import storage
from sassafrasflow.configuration import document
from sassafrasflow.configuration import exchange as exchanges

__all__ = ["CURRENT_ROW", "ConfigurationKeeper", "KeeperPolicy"]

CURRENT_ROW = "configuration/current"
SHARED_KEY = "current"
SHARED_TTL_MS = 24 * 3_600_000


class KeeperPolicy(msgspec.Struct, frozen=True):
    """Bound how often one instance, and all together, read the table."""

    poll_interval_ms: int = 500
    reads_per_s: int = 200


class ConfigurationKeeper:
    """Adopt newer revisions and never an older one."""

    def __init__(
        self,
        table: storage.TableService,
        initial: document.Document,
        policy: KeeperPolicy,
        clock: clocks.Clock,
        shared: membership.SharedState | None = None,
        exchange: exchanges.DocumentExchange | None = None,
    ) -> None:
        self._table = table
        self._shared = shared
        self._exchange = exchange
        self._listeners: list[Callable[[document.Document], None]] = []
        self._announced_revision = 0
        self._announced_by: ids.InstanceId | None = None
        self._announced_event = asyncio.Event()
        self._initial = initial
        self._policy = policy
        self._clock = clock
        self._current: document.Document | None = None
        self._confirmed_at: float | None = None
        self._task: asyncio.Task[None] | None = None
        if shared is not None:
            shared.subscribe(
                membership.Topic.CONFIGURATION, self._handle_announcement
            )

    @property
    def initial(self) -> document.Document:
        """Return the configuration before the first release note."""
        return self._initial

    @property
    def is_ready(self) -> bool:
        """Return whether a revision is in force."""
        return self._current is not None

    @property
    def current(self) -> document.Document:
        """Return the configuration in force.

        Raises
        ------
        Refusal : no configuration is in force yet
        """
        if self._current is None:
            raise exceptions.Refusal(
                exceptions.RefusalReason.NOT_READY,
                exceptions.Ran.NO,
                "No configuration is known yet.",
                retry_after_s=1,
            )
        return self._current

    def age_s(self) -> float | None:
        """Return the seconds since the table was last read, or ``None``."""
        if self._confirmed_at is None:
            return None
        return self._clock.monotonic() - self._confirmed_at

    def adopt(self, candidate: document.Document) -> bool:
        """Put a newer revision in force and return whether it was newer."""
        current = self._current
        if current is not None and candidate.revision <= current.revision:
            return False
        self._current = candidate
        logger.info(
            "configuration: Revision {} is in force.", candidate.revision
        )
        self._notify_peers(candidate)
        for listener in self._listeners:
            listener(candidate)
        return True

    def add_listener(
        self, listener: Callable[[document.Document], None]
    ) -> None:
        """Call a listener with each revision that comes into force."""
        self._listeners.append(listener)

    def _handle_announcement(self, entry: membership.Entry) -> None:
        if entry.version <= self._announced_revision:
            return
        self._announced_revision = entry.version
        self._announced_by = entry.origin
        self._announced_event.set()

    def _is_behind(self) -> bool:
        current = self._current.revision if self._current else 0
        return self._announced_revision > current

    def _notify_peers(self, adopted: document.Document) -> None:
        if self._exchange is not None:
            self._exchange.set_document(msgspec.json.encode(adopted))
        # Revision 0 comes from the settings, which every peer has itself. An
        # instance whose settings differ must not spread them.
        if self._shared is None or not adopted.revision:
            return
        self._announced_revision = max(
            self._announced_revision, adopted.revision
        )
        self._shared.publish(
            membership.Topic.CONFIGURATION,
            SHARED_KEY,
            b"",
            version=adopted.revision,
            ttl_ms=SHARED_TTL_MS,
        )

    async def start(self) -> None:
        """Read the table, then start polling it."""
        await self.refresh()
        self._task = asyncio.create_task(self._poll())

    async def close(self) -> None:
        """Stop polling."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def refresh(self) -> None:
        """Read the table once, and adopt a newer revision."""
        try:
            row = await self._table.get(CURRENT_ROW)
        except exceptions.PlatformError as exc:
            logger.warning("configuration: Table read failed: {}.", exc)
            return
        self._confirmed_at = self._clock.monotonic()
        if row is None:
            self.adopt(self._initial)
        else:
            self._adopt_encoded(row.value)

    def _adopt_encoded(self, value: bytes) -> None:
        try:
            self.adopt(decode_document(value))
        except msgspec.MsgspecError as exc:
            logger.error(
                "configuration: A document cannot be decoded: {}.", exc
            )

    async def catch_up(self) -> None:
        """Read the table, then peers if an announced revision is missing."""
        await self.refresh()
        if not self._is_behind() or self._exchange is None:
            return
        for value in await self._exchange.fetch(self._announced_by):
            self._adopt_encoded(value)

    async def _poll(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._interval_s()):
                    await self._announced_event.wait()
            self._announced_event.clear()
            await self.catch_up()

    def _interval_s(self) -> float:
        if self._is_behind():
            return self._policy.poll_interval_ms / 1000
        instances = 1 + (self._exchange.peer_count() if self._exchange else 0)
        shortest_s = instances / self._policy.reads_per_s
        return max(self._policy.poll_interval_ms / 1000, shortest_s)


def decode_document(value: bytes) -> document.Document:
    """Decode a document from its stored form."""
    return msgspec.json.decode(value, type=document.Document)


def next_revision(current: document.Document) -> ids.Revision:
    """Return the revision that follows the current one."""
    return ids.Revision(current.revision + 1)
