"""Choose and reach targets, and share observed failures with peers."""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib
import random

from sassafrasflow import ids
from sassafrasflow.admission import gate as gates
from sassafrasflow.admission import placing
from sassafrasflow.admission import refusing
from sassafrasflow.admission import share_exchange
from sassafrasflow.admission import waiting
from sassafrasflow.gateway import announcements as announcements_module
from sassafrasflow.gateway import anomalies
from sassafrasflow.gateway import availability
from sassafrasflow.gateway import budget as retry_budgets
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import copies
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import loads
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
from sassafrasflow.lending import channel
from sassafrasflow.lending import service_budgets
from sassafrasflow.liveness import checks
from sassafrasflow.pace import tracker as pace_trackers

__all__ = ["TargetAccess", "send_refusal"]

# Connecting to a live target takes one round trip plus 1 ms. The round trip
# between regions is 40 ms.
CONNECT_TIMEOUT_SAME_REGION_S = 0.1
CONNECT_TIMEOUT_OTHER_REGION_S = 0.18
# A loss that a peer reports less than this after the last recorded loss of
# the target is the same crash.
SAME_CRASH_S = 1.0


class TargetAccess:
    """Open connections to targets, and track the targets' health."""

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
        rollouts: rollout_manager.RolloutManager,
        quarantine: quarantines.QuarantineManager,
    ) -> None:
        self.cfg = cfg
        self.rollouts = rollouts
        self.directory = directory
        self.wire = wire
        self.copy_maker = copy_maker
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.rng = rng
        self.anomalies = anomalies.AnswerAnomalies(wire, log, metrics)
        self.pool = pools.ConnectionPool(clock, self.anomalies)
        self.exchange: exchanges.PeerExchange | None = None
        self.quarantine = quarantine
        self.liveness = checks.LivenessChecker(
            checks.CheckerDependencies(
                # Looked up at each call, as tests replace it.
                lambda target: self._connect(target),
                self._keep,
                self._choose_control,
                lambda target: self.is_same_region(target.listed),
                clock,
                log,
                metrics,
            )
        )
        self.pace = pace_trackers.PaceTracker(
            lambda: self.cfg.pace, clock, log, metrics
        )
        self.announcements = announcements_module.Announcements(
            directory,
            lambda: self.cfg.max_target_pause_s,
            self.pool.close_target,
            clock,
            log,
            metrics,
        )
        self.shares = share_exchange.ShareExchange(
            cfg.instance,
            lambda: self.cfg.holds_streams,
            clock,
            log,
            metrics,
            rng,
        )
        self.gate: gates.StreamGate[placement.Choice] = gates.StreamGate(
            clock,
            rng,
            log,
            metrics,
            lambda: self.cfg.memory_bytes,
            lambda: self.exchange is None or self.exchange.has_spare_budget(),
            self.shares,
        )
        self.placer = placing.StreamPlacer(
            lambda: self.cfg.data_centre,
            lambda: self.exchange,
            clock,
            log,
            metrics,
            rng,
            self.pace.pace_of_stream,
            lambda: self.cfg.regions,
        )
        # Times of calls, and of returns of their callers, by service.
        self.call_times = refusing.TimesByService(refusing.CallTimes)
        self.return_times = refusing.TimesByService(refusing.ReturnTimes)
        self.budgets = service_budgets.ServiceBudgets(
            lambda: self.cfg,
            lambda: self.exchange,
            lambda service: bool(directory.usable(service)),
            clock,
        )
        self.lending = channel.create_manager(
            lambda: self.cfg.holds_streams,
            self.budgets.find,
            lambda: self.exchange,
            clock,
            log,
            metrics,
            rng,
        )
        self._watches: set[silences.StreamWatch] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    def candidates(
        self,
        service: ids.ServiceName,
        arm: rollouts.Arm = rollouts.Arm.OLD,
    ) -> list[targets.Target]:
        """Return the available targets of a service with current loads."""
        now = self.clock()
        available = self.rollouts.usable(
            service,
            self.directory.usable(service),
            arm,
            lambda target: target.availability.unavailable_reason(now) is None,
        )
        if self.exchange is not None:
            for target in available:
                target.peer_load = self.exchange.load_of(target.id)
        return available

    def refuse_without_target(
        self, job: jobs.Job, tries: retries.Tries
    ) -> refusals.Refusal:
        """Return the refusal of a request that no target accepts now.

        Log how many targets are unavailable for each reason.
        """
        if tries.may_have_run:
            return refusals.Refusal(502, refusals.RefusalReason.NO_TARGET)
        now = self.clock()
        service = job.service.name
        usable = self.rollouts.usable(service, self.directory.usable(service))
        reasons = collections.Counter(
            target.availability.unavailable_reason(now) for target in usable
        )
        self.log.write(
            "no_target",
            request=job.head.attempt_id,
            service=service,
            usable=len(usable),
            leaving=reasons[availability.Unavailable.LEAVING],
            paused=reasons[availability.Unavailable.PAUSED],
            on_trial=reasons[availability.Unavailable.ON_TRIAL],
        )
        wait_s = None
        if not reasons[None]:
            wait_s = availability.retry_after_s(
                (target.availability for target in usable), now, self.rng
            )
        if wait_s is None:
            return refusals.refuse_not_run(
                refusals.RefusalReason.NO_TARGET, retries.RETRY_AFTER_LOSS_S
            )
        return refusals.refuse_not_run(
            refusals.RefusalReason.TARGETS_FULL, wait_s
        )

    def budget(self, service: ids.ServiceName) -> retry_budgets.RetryBudget:
        """Return the retry budget of a service."""
        return self.budgets.get(service)

    async def open(
        self, target: targets.Target, *, force_new: bool = False
    ) -> connections.ClientConnection:
        """Return a pooled or new connection that is ready for a request.

        A target that refuses or does not answer is recorded as lost. If it
        does not answer and the control check fails too, the fault is
        attributed to this instance's network instead.

        Raises
        ------
        ConnectError : the target is unavailable or can't be reached
        """
        await self.announcements.wait_to_send(target)
        if not self.is_available(target):
            raise connections.ConnectError("wants no work", silent=False)
        if not force_new:
            conn = self.pool.acquire(target.listed)
            if conn is not None:
                return conn
        try:
            return await self.liveness.reach(target)
        except checks.OwnNetworkFault:
            raise
        except connections.ConnectError as exc:
            self.record_loss(target, f"connect: {exc}")
            raise

    async def is_alive(
        self, target: targets.Target, since: float | None = None
    ) -> bool:
        """Return whether a target was alive after a time, or is now."""
        return await self.liveness.is_alive(target, since)

    def _keep(
        self, target: targets.Target, conn: connections.ClientConnection
    ) -> None:
        """Pool the connection of a check if the target is still listed."""
        if self.directory.get(target.id) is target:
            self.pool.release(target.listed, conn, None)
        else:
            conn.close()

    def _choose_control(
        self, suspect: targets.Target
    ) -> targets.Target | None:
        return placement.choose_control_target(
            self.directory.targets(), suspect, self.clock(), self.rng
        )

    def record_loss(self, target: targets.Target, cause: str) -> None:
        """Record the loss of a target, and notify the peers."""
        now = self.clock()
        newly_lost = target.health(now) is not targets.Health.LOST
        target.record_loss(now)
        self.pool.close_target(target.id)
        if not newly_lost:
            return
        self.metrics.count("targets_lost_total", heard="here")
        self.log.write("target_lost", target=target.id, cause=cause)
        if self.exchange is not None:
            self.exchange.publish_loss(target.listed)
        self.quarantine.record_target_crash(target)
        silences.check_streams_near(self._watches, target, now)

    def record_broken_answer(
        self,
        target: targets.Target,
        end: connections.ConnectionEnd,
        job: jobs.Job,
        conn: connections.ClientConnection,
    ) -> None:
        """Count and log an answer that broke off or never ended."""
        if conn.is_joined:
            self.anomalies.record_joined_answer(target.id, conn)
        self.anomalies.record_invalid_status(target.id, conn)
        self.metrics.count("answers_broken_total", end=end.value)
        self.log.write(
            "answer_broken",
            request=job.head.attempt_id,
            target=target.id,
            end=end.value,
            uses=conn.uses,
        )

    def record_replacement(self, target: targets.Target) -> None:
        """Record that another target answers at this target's address."""
        target.ended = target.replaced = True
        self.record_loss(target, "another target answers there")

    def handle_ended(self, target: targets.Target) -> None:
        """Handle the end of a target according to the target list.

        Without an entry it may still be at work. If it accepts connections,
        runs that ended there meanwhile are no sign of a crash.
        """
        self.pace.forget(target.id)
        if target.replaced:
            self.quarantine.record_target_ended(target)
        elif self.quarantine.runs.has_runs(target):
            self._start_task(self._check_removed(target))

    async def _check_removed(self, target: targets.Target) -> None:
        if not await self.is_alive(target):
            self.quarantine.record_target_ended(target)

    def handle_loss_notice(
        self, target_id: ids.TargetId, lost_at: float
    ) -> None:
        """Apply a peer's notice that a target is lost.

        Silent streams in the target's data centre are checked at once. The
        target is recorded as lost only if no stream of this instance uses
        it. A notice is ignored if it is too old, repeats a recorded loss or
        precedes a success.
        """
        target = self.directory.get(target_id)
        if target is None:
            return
        now = self.clock()
        previous_loss_at = target.lost_at
        if (
            previous_loss_at is not None
            and lost_at - previous_loss_at < SAME_CRASH_S
        ):
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
            self.quarantine.record_target_crash(target)
        silences.check_streams_near(self._watches, target, now)

    def _start_task(
        self, job: Coroutine[None, None, None]
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def record_lost_run(
        self,
        job: jobs.Job,
        target: targets.Target,
        sent_at: float,
        cause: str,
    ) -> None:
        """Record a run without an answer; check whether its target is lost.

        A run that reached the deadline tells nothing of its target.
        """
        job.lost_runs.append((target, sent_at))
        is_known = target.is_lost_since(sent_at)
        if not is_known and job.remaining_s(self.clock()) > 0:
            job.liveness_checks.append(
                self._start_task(self._check_liveness(target, cause))
            )

    async def wait_for_liveness_checks(self, job: jobs.Job) -> bool:
        """Wait for the checks of lost runs; return whether any was pending."""
        pending = [task for task in job.liveness_checks if not task.done()]
        if pending:
            remaining_s = max(0.0, job.remaining_s(self.clock()))
            await asyncio.wait(pending, timeout=remaining_s)
        return bool(pending)

    def schedule_crash_attribution(
        self, job: jobs.Job, target: targets.Target
    ) -> None:
        """Check in the background whether a target crashed on a request."""
        job.crash_attributions.append(
            self.quarantine.schedule_attribution(target)
        )

    async def can_try_again(self, job: jobs.Job, tries: retries.Tries) -> bool:
        """Return whether a request may be sent to another target.

        After several lost tries, wait until the crashes of their targets
        are attributed, so that a poison request is recognised.
        """
        if job.crash_attributions and retries.needs_crash_attribution(tries):
            await asyncio.wait(job.crash_attributions)
        return not self.is_poison(job)

    def is_poison(self, job: jobs.Job) -> bool:
        """Return whether a request is quarantined for crashing targets."""
        return self.quarantine.is_poison(job)

    @contextlib.contextmanager
    def watching(self, watch: silences.StreamWatch) -> Iterator[None]:
        """Keep a stream registered for checks after losses of targets."""
        self._watches.add(watch)
        try:
            yield
        finally:
            self._watches.discard(watch)

    @contextlib.contextmanager
    def counting_in_flight(
        self, target: targets.Target, tokens: int = 0
    ) -> Iterator[None]:
        """Count a request and its tokens as in flight at a target."""
        target.in_flight += 1
        target.used_tokens += tokens
        try:
            yield
        finally:
            target.in_flight -= 1
            target.used_tokens -= tokens

    def publish_load(self, target: targets.Target) -> None:
        """Publish this instance's share of a target's load to the peers.

        If the target has restarted, that of the new incarnation is published,
        as the old one's streams and copies are gone.
        """
        if self.exchange is None:
            return
        current = self.directory.get(target.id) or target
        own_load = placement.load_of(current) - current.peer_load
        work = loads.TargetWork.of_tokens(
            current.used_tokens, current.prefill_tokens, current.in_flight
        )
        self.exchange.set_load(current.listed, round(own_load, 2), work)

    def is_ready(self, target: targets.Target) -> bool:
        """Return whether a target is still listed as ready, and available."""
        return (
            self.directory.get(target.id) is target
            and target.listed.state is targets.ListedState.READY
            and self.is_available(target)
        )

    def is_available(self, target: targets.Target) -> bool:
        """Return whether a target's own answers allow sending it work."""
        return target.availability.unavailable_reason(self.clock()) is None

    def is_lost(self, target: targets.Target) -> bool:
        """Return whether a target is lost or no longer listed."""
        return (
            self.directory.get(target.id) is not target
            or target.health(self.clock()) is targets.Health.LOST
        )

    def choose_call_target(
        self,
        job: jobs.Job,
        avoid: set[ids.TargetId],
        *,
        first_try: bool = False,
    ) -> targets.Target | None:
        """Choose the target of a call's next try, without asking for loads."""
        return placement.choose_target(
            self._draw_candidates(job, first_try=first_try),
            self.call_preference(avoid),
            self.clock(),
            self.rng,
        )

    def call_preference(
        self, avoid: Collection[ids.TargetId] = ()
    ) -> placement.Preference:
        """Return the order of preference of the targets for a call."""
        return placement.Preference(
            self.cfg.data_centre,
            frozenset(avoid),
            short_call=True,
            pace_of=self.pace.pace_of_call,
        )

    async def choose_stream_target(
        self,
        job: jobs.Job,
        avoid: set[ids.TargetId],
        avoid_data_centres: set[ids.DataCentre],
        *,
        first_try: bool = False,
        size: waiting.SampleSize | None = None,
    ) -> placement.Choice | None:
        """Choose the target of a stream's next run from a random sample.

        A stream that waits gives the size of the sample.
        """
        return await self.placer.choose(
            job,
            self._draw_candidates(job, first_try=first_try),
            avoid,
            avoid_data_centres,
            size,
        )

    async def choose_copy_holder(
        self,
        job: jobs.Job,
        primary: targets.Target,
        avoid: set[ids.TargetId],
        pending: Collection[ids.TargetId] = (),
    ) -> targets.Target | None:
        """Choose the holder of a stream's copy; ``None`` if none has room."""
        return await self.placer.choose_copy_holder(
            job, self.candidates(job.service.name), primary, avoid, pending
        )

    def _draw_candidates(
        self, job: jobs.Job, *, first_try: bool
    ) -> list[targets.Target]:
        arm = rollouts.Arm.OLD
        if first_try:
            arm = self.rollouts.draw_arm(job.service.name, job.route.name)
        return self.candidates(job.service.name, arm)

    def encode(self, job: jobs.Job, dispatch: protocol.Dispatch) -> bytes:
        """Return the bytes of one try."""
        return connections.encode_request(
            job.req.method,
            job.req.url,
            self.wire.target_headers(job.head, dispatch),
            job.req.body,
        )

    def is_same_region(self, listed: targets.ListedTarget) -> bool:
        """Return whether a target is in the region of this instance."""
        regions = self.cfg.regions
        return regions.get(listed.data_centre) == regions.get(
            self.cfg.data_centre
        )

    async def _connect(
        self, target: targets.Target
    ) -> connections.ClientConnection:
        listed = target.listed
        return await connections.connect(
            listed.host,
            listed.port,
            CONNECT_TIMEOUT_SAME_REGION_S
            if self.is_same_region(listed)
            else CONNECT_TIMEOUT_OTHER_REGION_S,
            self.cfg.host,
            self.cfg.intake,
        )

    async def _check_liveness(
        self, target: targets.Target, cause: str
    ) -> None:
        if not await self.is_alive(target):
            self.record_loss(target, cause)


def send_refusal(
    responder: responses.Responder,
    wire: protocol.WireFormat,
    attempt_id: str | None,
    refusal: refusals.Refusal,
) -> None:
    """Answer with a refusal, or abort an answer that has already started."""
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
