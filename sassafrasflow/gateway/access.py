"""Reach targets, and share what is learnt of them."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import random

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import announcements as announcement_books
from sassafrasflow.gateway import availability
from sassafrasflow.gateway import budget as budgets
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import copies
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import pool as pools
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import quarantine as quarantines
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import responses
from sassafrasflow.gateway import retries
from sassafrasflow.gateway import rollout_manager
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import settings
from sassafrasflow.gateway import silence as silences
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry

__all__ = ["StreamWatch", "TargetAccess", "send_refusal"]

# A connection to a live target takes one round trip and 1 ms; regions are
# 40 ms apart there and back.
CONNECT_NEAR_S = 0.1
CONNECT_FAR_S = 0.18
# A target that answers at once needs no second connection to compare with.
CONTROL_DELAY_S = 0.05
# A loss in a data centre makes its other silent streams suspect if they
# have been silent for this long: events come every 30 ms when all is well.
SUSPECT_SILENCE_S = 0.06
# Draws of targets for one run; the second one knows what the first learnt.
PLACEMENT_ROUNDS = 2
# Word of a loss this soon after the last one tells of the same crash.
NEWS_OF_LOSS_S = 1.0


class StreamWatch(msgspec.Struct, eq=False):
    """Let a stream be looked at when its neighbours are lost."""

    target: targets.Target
    silence: silences.SilenceMonitor
    conn: connections.ClientConnection


class TargetAccess:
    """Open connections to targets and keep the beliefs about them."""

    def __init__(
        self,
        cfg: settings.GatewaySettings,
        directory: targets.Directory,
        wire: protocol.WireFormat,
        copy_maker: copies.CopyMaker,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
        rng: random.Random,
        releases: rollout_manager.RolloutManager,
        quarantine: quarantines.QuarantineManager,
    ) -> None:
        self.cfg = cfg
        self.releases = releases
        self.directory = directory
        self.wire = wire
        self.copy_maker = copy_maker
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.rng = rng
        self.pool = pools.ConnectionPool(clock)
        self.exchange: exchanges.PeerExchange | None = None
        self.quarantine = quarantine
        self.announcements = announcement_books.Announcements(
            directory,
            lambda: self.cfg.max_target_pause_s,
            self.pool.close_target,
            clock,
            log,
            metrics,
        )
        self._budgets: dict[ids.ServiceName, budgets.RetryBudget] = {}
        self._watches: set[StreamWatch] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def candidates(
        self,
        service: ids.ServiceName,
        arm: rollouts.Arm = rollouts.Arm.OLD,
    ) -> list[targets.Target]:
        """Return the targets that take work, with their newest loads."""
        now = self.clock()
        found = self.releases.usable(
            service,
            self.directory.usable(service),
            arm,
            lambda target: target.availability.unavailable_reason(now) is None,
        )
        if self.exchange is not None:
            for target in found:
                target.peer_load = self.exchange.load_of(target.id)
        return found

    def refuse_without_target(
        self, job: jobs.Job, tries: retries.Tries
    ) -> refusals.Refusal:
        """Refuse a request that no target takes now, and tell why."""
        if tries.may_have_run:
            return refusals.Refusal(502, refusals.RefusalReason.NO_TARGET)
        now = self.clock()
        service = job.service.name
        found = self.releases.usable(service, self.directory.usable(service))
        reasons = collections.Counter(
            target.availability.unavailable_reason(now) for target in found
        )
        self.log.write(
            "no_target",
            request=job.head.attempt_id,
            service=service,
            usable=len(found),
            leaving=reasons[availability.Unavailable.LEAVING],
            paused=reasons[availability.Unavailable.PAUSED],
            on_trial=reasons[availability.Unavailable.ON_TRIAL],
        )
        wait_s = None
        if not reasons[None]:
            wait_s = availability.retry_after_s(
                (target.availability for target in found), now, self.rng
            )
        if wait_s is None:
            return refusals.refuse_unsent(
                refusals.RefusalReason.NO_TARGET, retries.RETRY_AFTER_LOSS_S
            )
        return refusals.refuse_unsent(
            refusals.RefusalReason.TARGETS_FULL, wait_s
        )

    def budget(self, service: ids.ServiceName) -> budgets.RetryBudget:
        """Return the retry budget of a service."""
        found = self._budgets.get(service)
        if found is None:
            found = self._budgets[service] = budgets.RetryBudget(
                self.cfg.retry_ratio,
                self.cfg.retry_window_s,
                self.cfg.retry_slack,
            )
        if self.exchange is not None:
            found.set_instances(1 + len(self.exchange.peers))
        return found

    async def open(
        self, target: targets.Target, *, fresh: bool = False
    ) -> connections.ClientConnection:
        """Return a connection that may carry a request.

        Raises
        ------
        ConnectError : nothing was sent; a silent target counts as lost
        """
        await self.announcements.wait_to_send(target)
        if not self.wants_work(target):
            raise connections.ConnectError("wants no work", silent=False)
        if not fresh:
            conn = self.pool.acquire(target.listed)
            if conn is not None:
                return conn
        control = self._start_control(target)
        try:
            return await self._connect(target)
        except connections.ConnectError as exc:
            if not exc.silent or await control:
                self.note_lost(target, f"connect: {exc}")
            else:
                self._note_own_fault(target)
            raise
        finally:
            control.cancel()

    async def is_alive(self, target: targets.Target) -> bool:
        """Tell whether a target accepts a connection.

        Without an answer of it or of a target elsewhere nothing is known,
        and the target is not blamed. Connections are kept for the next
        request.
        """
        control = self._start_control(target)
        try:
            conn = await self._connect(target)
        except connections.ConnectError as exc:
            if not exc.silent:
                return "reset" in str(exc).lower()
            if await control:
                return False
            self._note_own_fault(target)
            return True
        finally:
            control.cancel()
        self.pool.release(target.listed, conn, None)
        return True

    def _start_control(self, target: targets.Target) -> asyncio.Task[bool]:
        return asyncio.get_running_loop().create_task(
            self._reach_elsewhere(target)
        )

    async def _reach_elsewhere(self, target: targets.Target) -> bool:
        """Tell whether this instance reaches another data centre.

        Load: an instance that was just started under full load, or whose
        link is full, connects late to every target.
        """
        await asyncio.sleep(CONTROL_DELAY_S)
        other = placement.choose_control_target(
            self.directory.targets(), target, self.clock(), self.rng
        )
        if other is None:
            return True
        try:
            conn = await self._connect(other)
        except connections.ConnectError as exc:
            return not exc.silent
        self.pool.release(other.listed, conn, None)
        return True

    def _note_own_fault(self, target: targets.Target) -> None:
        self.metrics.count("own_faults_total")
        self.log.write("own_network_suspected", target=target.id)

    def note_lost(self, target: targets.Target, cause: str) -> None:
        """Record a dead target here and at other instances."""
        now = self.clock()
        fresh = target.health(now) is not targets.Health.LOST
        target.record_loss(now)
        self.pool.close_target(target.id)
        if not fresh:
            return
        self.metrics.count("targets_lost_total", heard="here")
        self.log.write("target_lost", target=target.id, cause=cause)
        if self.exchange is not None:
            self.exchange.publish_loss(target.listed)
        self.quarantine.note_death(target)
        self._suspect_neighbours(target, now)

    def note_broken(
        self,
        target: targets.Target,
        end: connections.ConnectionEnd,
        job: jobs.Job,
    ) -> None:
        """Record an answer that broke off or never ended."""
        self.metrics.count("answers_broken_total", end=end.value)
        self.log.write(
            "answer_broken",
            request=job.head.attempt_id,
            target=target.id,
            end=end.value,
        )

    def note_replaced(self, target: targets.Target) -> None:
        """Record that another target answers at its address."""
        target.ended = True
        self.note_lost(target, "another target answers there")

    def hear_lost(self, target_id: ids.TargetId, lost_at: float) -> None:
        """Apply the news that another instance found a target dead."""
        target = self.directory.get(target_id)
        if target is None:
            return
        now = self.clock()
        known_at = target.lost_at
        if known_at is not None and lost_at - known_at < NEWS_OF_LOSS_S:
            return
        confirmed_at = target.confirmed_at
        if now - lost_at > targets.DOUBTFUL_AFTER_LOSS_S or (
            confirmed_at is not None and confirmed_at > lost_at
        ):
            return
        busy = any(watch.target is target for watch in self._watches)
        self.log.write(
            "target_suspected",
            target=target_id,
            busy=busy,
            age_ms=round(1000 * (now - lost_at)),
        )
        self.metrics.count("targets_lost_total", heard="peer")
        if not busy:
            target.record_loss(lost_at)
            self.quarantine.note_death(target)
        self._suspect_neighbours(target, now)

    def check_later(self, target: targets.Target, cause: str) -> None:
        """Find out whether a target that broke off an answer is dead."""
        task = asyncio.get_running_loop().create_task(
            self._check(target, cause)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def suspect_later(self, job: jobs.Job, target: targets.Target) -> None:
        """Find out whether a target died with a request that it had begun."""
        job.inquiries.append(self.quarantine.judge_later(target))

    async def may_try_again(self, job: jobs.Job, tries: retries.Tries) -> bool:
        """Wait until it is known what the targets of the last tries had."""
        if job.inquiries and retries.awaits_inquiry(tries):
            await asyncio.wait(job.inquiries)
        return not self.is_poison(job)

    def is_poison(self, job: jobs.Job) -> bool:
        """Tell whether targets died of a request."""
        return self.quarantine.known.refused > 0 and (
            self.quarantine.is_refused(job.fingerprint)
        )

    @contextlib.contextmanager
    def watching(self, watch: StreamWatch) -> Iterator[None]:
        """Keep a stream among those that are watched."""
        self._watches.add(watch)
        try:
            yield
        finally:
            self._watches.discard(watch)

    @contextlib.contextmanager
    def working(self, target: targets.Target) -> Iterator[None]:
        """Count a request at a target."""
        target.in_flight += 1
        try:
            yield
        finally:
            target.in_flight -= 1

    def publish_load(self, target: targets.Target) -> None:
        """Tell other instances the load placed on a target."""
        if self.exchange is not None:
            own = placement.load_of(target) - target.peer_load
            self.exchange.set_load(target.listed, round(own, 2))

    def takes_work(self, target: targets.Target) -> bool:
        """Tell whether a target is still listed as ready, and wants work."""
        return (
            self.directory.get(target.id) is target
            and target.listed.state is targets.ListedState.READY
            and self.wants_work(target)
        )

    def wants_work(self, target: targets.Target) -> bool:
        """Tell whether a target says nothing against work."""
        return target.availability.unavailable_reason(self.clock()) is None

    def is_lost(self, target: targets.Target) -> bool:
        """Tell whether a target is dead or no longer listed."""
        return (
            self.directory.get(target.id) is not target
            or target.health(self.clock()) is targets.Health.LOST
        )

    def choose(
        self,
        job: jobs.Job,
        avoid: set[ids.TargetId],
        *,
        first_try: bool = False,
    ) -> targets.Target | None:
        """Choose the target of a short call's next try."""
        return placement.choose_target(
            self._candidates_for(job, first_try=first_try),
            placement.Preference(
                self.cfg.data_centre, frozenset(avoid), short_call=True
            ),
            self.clock(),
            self.rng,
        )

    async def place(
        self,
        job: jobs.Job,
        avoid: set[ids.TargetId],
        avoid_data_centres: set[ids.DataCentre],
        *,
        first_try: bool = False,
    ) -> targets.Target | None:
        """Choose the target of a stream's next run by the loads of a few.

        Those near are asked about first. What the answers tell may rule
        all of them out; then others are drawn once more.
        """
        candidates = self._candidates_for(job, first_try=first_try)
        preference = placement.Preference(
            self.cfg.data_centre,
            frozenset(avoid),
            frozenset(avoid_data_centres),
        )
        best: targets.Target | None = None
        for _ in range(PLACEMENT_ROUNDS):
            drawn = placement.sample_choices(
                candidates, preference, self.clock(), self.rng
            )
            best = await self._best_of(drawn, preference)
            if best is None or (
                best.health(self.clock()) is targets.Health.GOOD
            ):
                break
        return best

    async def _best_of(
        self, drawn: placement.Choices, preference: placement.Preference
    ) -> targets.Target | None:
        near = await self._learn_loads(drawn.local)
        now = self.clock()
        best = placement.choose_target(near, preference, now, self.rng)
        if best is not None and placement.is_lightly_loaded(best, now):
            return best
        far = await self._learn_loads(drawn.remote)
        return placement.choose_target(
            [*near, *far], preference, self.clock(), self.rng
        )

    async def _learn_loads(
        self, drawn: Sequence[targets.Target]
    ) -> Sequence[targets.Target]:
        if self.exchange is not None and drawn:
            await self.exchange.query_loads(drawn)
            for target in drawn:
                target.peer_load = self.exchange.load_of(target.id)
        return drawn

    def _candidates_for(
        self, job: jobs.Job, *, first_try: bool
    ) -> list[targets.Target]:
        arm = rollouts.Arm.OLD
        if first_try:
            arm = self.releases.draw_arm(job.service.name, job.route.name)
        return self.candidates(job.service.name, arm)

    def encode(self, job: jobs.Job, dispatch: protocol.Dispatch) -> bytes:
        """Return the bytes of one try."""
        return connections.encode_request(
            job.req.method,
            job.req.url,
            self.wire.target_headers(job.head, dispatch),
            job.req.body,
        )

    async def _connect(
        self, target: targets.Target
    ) -> connections.ClientConnection:
        listed = target.listed
        regions = self.cfg.regions
        near = regions.get(listed.data_centre) == regions.get(
            self.cfg.data_centre
        )
        return await connections.connect(
            listed.host,
            listed.port,
            CONNECT_NEAR_S if near else CONNECT_FAR_S,
            self.cfg.host,
            self.cfg.intake,
        )

    async def _check(self, target: targets.Target, cause: str) -> None:
        if not await self.is_alive(target):
            self.note_lost(target, cause)

    def _suspect_neighbours(self, lost: targets.Target, now: float) -> None:
        for watch in self._watches:
            same = watch.target.listed.data_centre == lost.listed.data_centre
            if same and watch.silence.silence_s(now) > SUSPECT_SILENCE_S:
                watch.silence.make_check_due(now)
                watch.conn.wake()


def send_refusal(
    responder: responses.Responder,
    wire: protocol.WireFormat,
    attempt_id: str | None,
    refusal: refusals.Refusal,
) -> None:
    """Answer a request with a refusal, or cut an answer under way."""
    if responder.started:
        responder.cut()
        return
    body = b'{"reason":"%b"}' % refusal.reason.value.encode()
    responder.send(
        refusal.status,
        [
            (b"Content-Type", b"application/json"),
            *wire.refusal_headers(attempt_id, refusal.retry_after_s),
        ],
        body,
    )
