"""Keeper of one lease in the table service.

A lease is stored in two rows. The lease row changes only with its holder, so
that commits can be conditional on it. The heartbeat row changes with each
renewal. A takeover is conditional on both rows, so a concurrent renewal
either succeeds first or is refused.
"""

from collections.abc import Callable
import contextlib
import uuid

from loguru import logger
import msgspec

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import periodic
from sassafrasflow import storage
from sassafrasflow.leases import lease as leases

__all__ = ["LeaseKeeper"]

POLL_INTERVAL_S = 0.3
# An instance that is not a contender polls only to take over the lease when
# all contenders are gone.
IDLE_INTERVAL_S = 30.0


class LeaseKeeper:
    """Try to acquire a lease, and renew it while it is held."""

    def __init__(
        self,
        name: str,
        instance: ids.InstanceId,
        table: storage.TableService,
        policy: leases.LeasePolicy,
        clock: clocks.Clock,
        is_contender: Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_contender = is_contender
        self.lease = leases.Lease(instance, policy)
        self._row = f"lease/{name}"
        self._heartbeat_row = f"lease/{name}/heartbeat"
        self._instance = instance
        self._table = table
        self._clock = clock
        self._periodic = periodic.Periodic(
            "leases", self.step, self._interval_s
        )

    def start(self) -> None:
        """Start to poll the lease."""
        self._periodic.start(at_once=True)

    async def close(self) -> None:
        """Stop polling, and release the lease if it is held."""
        await self._periodic.close()
        with contextlib.suppress(exceptions.PlatformError):
            await self.release()

    def is_held(self) -> bool:
        """Return whether this instance holds the lease now."""
        return self.lease.is_held(self._clock.monotonic())

    def fencing_token(self) -> leases.FencingToken:
        """Return the fencing token for an order that is sent now.

        Raises
        ------
        LeaseLost : the lease is not held, or orders are not allowed yet
        """
        return self.lease.fencing_token(self._clock.monotonic())

    def condition(self) -> storage.Condition:
        """Return the condition for commits of the holder.

        Raises
        ------
        LeaseLost : the lease is not held
        """
        if not self.is_held() or self.lease.view is None:
            raise exceptions.LeaseLost("the lease is not held")
        return storage.Condition(self._row, self.lease.view.row_version)

    async def step(self) -> None:
        """Read the rows once and renew or acquire the lease if that is due."""
        try:
            await self._read()
            action = self.lease.next_action(self._clock.monotonic())
            if action is leases.LeaseAction.RENEW:
                await self._renew()
            elif action is leases.LeaseAction.ACQUIRE:
                await self._acquire()
        except exceptions.PlatformError as exc:
            logger.warning("leases: Table failed: {}.", exc)

    async def release(self) -> None:
        """Release the lease, so that another instance need not wait."""
        view = self.lease.view
        if not self.is_held() or view is None or view.record is None:
            return
        self.lease.apply_release()
        record = msgspec.structs.replace(
            view.record, holder=ids.InstanceId(""), token=uuid.uuid4().hex
        )
        await self._table.transact(
            [storage.Condition(self._row, view.row_version)],
            [storage.Write(self._row, msgspec.json.encode(record))],
        )

    def _interval_s(self) -> float:
        polls_often = self.is_held() or self._is_contender()
        return POLL_INTERVAL_S if polls_often else IDLE_INTERVAL_S

    async def _read(self) -> None:
        row = await self._table.get(self._row)
        heartbeat = await self._table.get(self._heartbeat_row)
        record = None
        if row is not None:
            record = msgspec.json.decode(row.value, type=leases.LeaseRecord)
        view = leases.LeaseView(
            record,
            row.version if row else 0,
            heartbeat.version if heartbeat else 0,
        )
        self.lease.apply_reading(self._clock.monotonic(), view)

    async def _renew(self) -> None:
        view = self._current_view()
        renewed = msgspec.structs.replace(
            view, heartbeat_version=view.heartbeat_version + 1
        )
        await self._write(
            view,
            [storage.Write(self._heartbeat_row, uuid.uuid4().hex.encode())],
            lambda sent_at: self.lease.apply_renewal(sent_at, renewed),
        )

    async def _acquire(self) -> None:
        view = self._current_view()
        released = self.lease.is_released()
        token = uuid.uuid4().hex
        record = leases.LeaseRecord(
            self._instance, self.lease.next_fencing_token(), token
        )
        acquired_view = leases.LeaseView(
            record, view.row_version + 1, view.heartbeat_version + 1
        )

        def apply(sent_at: float) -> None:
            self.lease.apply_acquisition(
                sent_at, acquired_view, after_release=released
            )
            logger.info(
                "leases: Acquired {} with fencing token {}.",
                self._row,
                record.fencing,
            )

        writes = [
            storage.Write(self._row, msgspec.json.encode(record)),
            storage.Write(self._heartbeat_row, token.encode()),
        ]
        await self._write(view, writes, apply)

    async def _write(
        self,
        view: leases.LeaseView,
        writes: list[storage.Write],
        apply: Callable[[float], None],
    ) -> None:
        conditions = [
            storage.Condition(self._row, view.row_version),
            storage.Condition(self._heartbeat_row, view.heartbeat_version),
        ]
        sent_at = self._clock.monotonic()
        try:
            await self._table.transact(conditions, writes)
        except exceptions.TableConflict:
            # The next reading shows who holds the lease. No other instance
            # can have taken it over before it lapsed.
            return
        except exceptions.TableOutcomeUnknown:
            heartbeat = await self._table.get(self._heartbeat_row)
            if heartbeat is None or heartbeat.value != writes[-1].value:
                return
        apply(sent_at)

    def _current_view(self) -> leases.LeaseView:
        assert self.lease.view is not None
        return self.lease.view
