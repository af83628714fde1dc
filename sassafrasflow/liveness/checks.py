"""Connections that check targets, one for each target at a time."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum
import functools
import math

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.liveness import evidence

__all__ = ["CheckerDependencies", "LivenessChecker", "OwnNetworkFault"]


class OwnNetworkFault(connections.ConnectError):
    """Raised when the control check of a silent target failed too."""


class Cause(enum.Enum):
    """Why a connection is opened."""

    REQUEST = "request"
    CHECK = "check"
    CONTROL = "control"


class CheckerDependencies(msgspec.Struct, frozen=True):
    """What a checker needs of the access to targets."""

    connect: Callable[
        [targets.Target], Awaitable[connections.ClientConnection]
    ]
    # Called with a connection that a check has opened.
    keep: Callable[[targets.Target, connections.ClientConnection], None]
    choose_control: Callable[[targets.Target], targets.Target | None]
    is_same_region: Callable[[targets.Target], bool]
    clock: Callable[[], float]
    log: telemetry.EventLog
    metrics: telemetry.Metrics


class _Check:
    """Check in progress."""

    def __init__(self) -> None:
        # The connection starts in a later turn of the event loop than the
        # first request for it.
        self.began_at = math.inf
        self.task: asyncio.Task[bool]


class LivenessChecker:
    """Check targets, and share the checks among all that ask."""

    def __init__(self, deps: CheckerDependencies) -> None:
        self._deps = deps
        self._reached = evidence.ReachedTimes()
        self._checks: dict[targets.Target, _Check] = {}
        # Control checks in progress, by the suspect's data centre.
        self._controls: dict[ids.DataCentre, asyncio.Task[bool]] = {}

    async def is_alive(
        self, target: targets.Target, since: float | None = None
    ) -> bool:
        """Return whether a target accepts a connection.

        A check that is in progress is shared if it began after the given
        time. Without one, only a connection that begins from now on counts.
        Bytes don't, as those that are read now may have been sent before a
        crash.

        If neither the target nor a target in another data centre answers,
        this instance's own network is the likely cause, and the target
        counts as alive.
        """
        after = self._deps.clock() if since is None else since
        while True:
            check = self._checks.get(target)
            # Waiting for one that has just ended would not give control back.
            if check is None or check.task.done():
                check = self._start_check(target)
            else:
                self._count_saved("shared")
            if not await asyncio.shield(check.task):
                return False
            if check.began_at >= after:
                return True

    async def reach(
        self, target: targets.Target, cause: Cause = Cause.REQUEST
    ) -> connections.ClientConnection:
        """Return a new connection to a target.

        Raises
        ------
        OwnNetworkFault : neither the target nor the control check answered
        ConnectError : the target is unavailable or can't be reached
        """
        control = asyncio.get_running_loop().create_task(
            self._can_reach_other_data_centre(target, self._deps.clock())
        )
        try:
            return await self._connect(target, cause)
        except connections.ConnectError as exc:
            if not exc.is_local and (not exc.silent or await control):
                raise
            self._record_own_network_fault(target)
            raise OwnNetworkFault(str(exc), silent=True) from exc
        finally:
            control.cancel()

    def close(self) -> None:
        """Cancel the checks in progress."""
        for task in (
            *(check.task for check in self._checks.values()),
            *self._controls.values(),
        ):
            task.cancel()

    def _start_check(self, target: targets.Target) -> _Check:
        check = self._checks[target] = _Check()
        check.task = asyncio.get_running_loop().create_task(
            self._check(target, check)
        )
        check.task.add_done_callback(lambda _: self._remove(target, check))
        return check

    def _remove(self, target: targets.Target, check: _Check) -> None:
        """Forget a check that has ended, unless another one has begun."""
        if self._checks.get(target) is check:
            del self._checks[target]

    async def _check(self, target: targets.Target, check: _Check) -> bool:
        check.began_at = self._deps.clock()
        try:
            conn = await self.reach(target, Cause.CHECK)
        except OwnNetworkFault:
            return True
        except connections.ConnectError as exc:
            if not exc.silent and "reset" in str(exc).lower():
                return True
            sign = target.sign_of_life
            alive_at = max(sign.accepted_at, sign.received_at)
            silent_ms = None
            if math.isfinite(alive_at):
                silent_ms = round(1000 * (check.began_at - alive_at))
            self._deps.log.write(
                "liveness_check_failed",
                target=target.id,
                cause=str(exc),
                silent_ms=silent_ms,
            )
            return False
        self._deps.keep(target, conn)
        return True

    async def _can_reach_other_data_centre(
        self, suspect: targets.Target, since: float
    ) -> bool:
        """Return whether this instance reaches another data centre.

        An instance that just started under full load, or whose link is
        saturated, connects late to every target. The check keeps it from
        declaring live targets lost. If no other data centre has a healthy
        target, the result is true.
        """
        same_region = self._deps.is_same_region(suspect)
        await asyncio.sleep(evidence.control_delay_s(same_region=same_region))
        place = suspect.listed.data_centre
        if self._reached.has_reached_other(place, since):
            self._count_saved("reached")
            return True
        task = self._controls.get(place)
        if task is None:
            task = asyncio.get_running_loop().create_task(
                self._connect_to_control(suspect)
            )
            self._controls[place] = task
            task.add_done_callback(lambda _: self._controls.pop(place, None))
        else:
            self._count_saved("shared")
        return await asyncio.shield(task)

    async def _connect_to_control(self, suspect: targets.Target) -> bool:
        other = self._deps.choose_control(suspect)
        if other is None:
            return True
        try:
            conn = await self._connect(other, Cause.CONTROL)
        except connections.ConnectError as exc:
            return not (exc.silent or exc.is_local)
        self._deps.keep(other, conn)
        return True

    async def _connect(
        self, target: targets.Target, cause: Cause
    ) -> connections.ClientConnection:
        began_at = self._deps.clock()
        self._deps.metrics.count("connections_opened_total", cause=cause.value)
        conn = await self._deps.connect(target)
        target.sign_of_life.record_accepted(began_at)
        self._reached.record(target.listed.data_centre, began_at)
        conn.on_received = functools.partial(self._record_received, target)
        return conn

    def _record_received(self, target: targets.Target) -> None:
        target.sign_of_life.record_received(self._deps.clock())

    def _record_own_network_fault(self, target: targets.Target) -> None:
        self._deps.metrics.count("own_faults_total")
        self._deps.log.write("own_network_suspected", target=target.id)

    def _count_saved(self, by: str) -> None:
        self._deps.metrics.count("checks_saved_total", by=by)
