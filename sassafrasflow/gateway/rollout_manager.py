"""Carry out the rollouts that operators order, without an elected leader.

The state of a rollout is one row of the store. Each write names the revision
that it replaces, so a write that is late or repeated, or whose answer was
lost, cannot undo what another instance has decided since. The live instance
with the smallest id leads. If it does not write a state that is due, the
others take over one after the other. Instances send counts to the leaders
and the state to all by datagrams; an instance that receives no state reads
the row.

If the store was restored from a copy, the states that it lost are written
again, and the orders that operators write again continue their rollouts.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
import random

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.baseline import history as histories
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import trials
from sassafrasflow.gateway import versions

__all__ = ["RolloutManager"]

STEP_INTERVAL_S = 0.25
# A leader publishes the state this often. An instance that misses three of
# these messages reads the row.
PUBLISH_INTERVAL_S = 0.5
LEADER_TIMEOUT_S = 1.5
# An instance waits this long for each one of smaller id to write a due state.
SUCCESSION_DELAY_S = 0.4
# A slow store takes a quarter of a second. If an answer is lost, the row
# shows whether the write was done.
WRITE_TIMEOUT_S = 0.4
# If all instances are killed together, they lose the counts of at most this
# period.
SAVE_INTERVAL_S = 5.0
# After this many trials of a kind of request, over all instances, the rest of
# the exposure is left to other kinds.
SUFFICIENT_TRIALS = 24
# Counts are sent to this many leaders, so that a successor has them.
LEADERS = 2
# Cells that fit in a datagram of 1,400 bytes.
CELLS_PER_REPORT = 16
# An instance that has just started gives its peers this time to send a state
# that the store lacks, before it begins the rollout.
STATE_WAIT_S = 1.2


class RolloutManager:
    """Carry out one instance's part in the rollouts of all services.

    It limits the exposure of new versions, counts and evaluates their
    answers, and writes the state when this instance leads.
    """

    def __init__(
        self,
        instance: ids.InstanceId,
        started_ms: int,
        registry: registries.Registry,
        directory: targets.Directory,
        store_time_ms: Callable[[float], float | None],
        eras: versions.EraTracker,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        rng: random.Random,
    ) -> None:
        self._instance = instance
        self._started_ms = started_ms
        self._registry = registry
        self._directory = directory
        self._store_time_ms = store_time_ms
        self._eras = eras
        self._clock = clock
        self._log = log
        self._rng = rng
        self._history_by_service: dict[
            ids.ServiceName, histories.OrderHistory
        ] = {}
        # Newest known versions of the rows that a write may replace.
        self._row_by_service: dict[ids.ServiceName, versions.StoreVersion] = {}
        self._wake = asyncio.Event()
        # Orders of the first read are older than this instance, so it gets no
        # part of their constant exposure, which others may have used.
        self._first_read = True
        # Called when the states of the first orders have been read.
        self.on_loaded: Callable[[], None] = lambda: None
        self.exchange: exchanges.PeerExchange | None = None

    def get(self, service: ids.ServiceName) -> rollouts.Rollout | None:
        """Return the rollout of the current order of a service."""
        history = self._history_by_service.get(service)
        return None if history is None else history.current

    def handle_orders(self, orders: Sequence[rollouts.Order]) -> None:
        """Begin the rollouts of new orders.

        A new version gets no request before its rollout has a stage.
        """
        for order in orders:
            self._handle_order(order)
        self._first_read = False

    @property
    def is_loaded(self) -> bool:
        """Return whether the states of the first orders have been read.

        They tell which versions earlier orders have ruled out.
        """
        return all(each.is_loaded for each in self._current_rollouts())

    def handle_store_restored(self) -> None:
        """Handle that the store was restored from an older copy."""
        self._wake.set()

    def _handle_order(self, order: rollouts.Order) -> None:
        current = self.get(order.service)
        if current is None:
            self._begin(order)
            return
        if order.row_version in current.order_versions or (
            order.row_version < current.order_versions[-1]
        ):
            return
        known = self._history_by_service[order.service].find_order(order)
        if known is None:
            self._begin(order)
            return
        # Whether the store has kept the row since the former era.
        is_kept = known.is_copied(order.row_version)
        is_outdated = is_kept and known is not current
        known.add_versions([order.row_version])
        if not is_outdated:
            self._make_current(known)
        self._log.write(
            "rollout_order_outdated"
            if is_outdated
            else "rollout_order_rewritten",
            service=order.service,
            version=order.version,
            revision=order.revision,
            era=order.era,
            kept=is_kept,
        )

    def _begin(self, order: rollouts.Order) -> None:
        slack = 0.0
        if not self._first_read:
            slack = rollouts.TRIAL_SLACK / (1 + len(self._peers()))
        exposure = rollouts.Exposure(slack, self._rng)
        self._make_current(
            rollouts.Rollout(
                order,
                exposure,
                self._clock(),
                precedes_start=self._first_read,
            )
        )
        self._log.write(
            "rollout_ordered",
            service=order.service,
            version=order.version,
            duration_s=order.duration_s,
            revision=order.revision,
            era=order.era,
        )

    def _make_current(self, rollout: rollouts.Rollout) -> None:
        service = rollout.order.service
        history = self._history_by_service.get(service)
        if history is None:
            history = histories.OrderHistory()
            self._history_by_service[service] = history
        else:
            self._record_listed(history.current)
        history.make_current(rollout)
        self._wake.set()

    def _current_rollouts(self) -> list[rollouts.Rollout]:
        return [each.current for each in self._history_by_service.values()]

    def _record_listed(self, rollout: rollouts.Rollout) -> None:
        """Record the versions that serve, also without any request."""
        if rollout.stage is not rollouts.Stage.COMPLETED:
            rollout.record_listed(
                self._directory.usable(rollout.order.service)
            )

    def usable(
        self,
        service: ids.ServiceName,
        listed: list[targets.Target],
        arm: rollouts.Arm = rollouts.Arm.OLD,
        is_available: Callable[[targets.Target], bool] = lambda target: True,
    ) -> list[targets.Target]:
        """Return the targets that a try of one version may use.

        If all targets of one version have asked for a pause, the other
        version gets its requests as far as the rollout allows.
        """
        available = [target for target in listed if is_available(target)]
        rollout = self.get(service)
        if rollout is None:
            return available
        stage = rollout.stage
        if stage is rollouts.Stage.COMPLETED:
            return [each for each in available if not rollout.is_past(each)]
        rollout.record_listed(listed)
        self._log_baseline(rollout)
        new = [target for target in available if rollout.is_new(target)]
        if not rollout.baseline.serving:
            # No other version has been there to serve.
            return new
        old = [
            target
            for target in available
            if not rollout.is_new(target) and not rollout.is_withdrawn(target)
        ]
        if stage is rollouts.Stage.MOVING:
            not_lost = [target for target in new if target.lost_at is None]
            return not_lost or old or new
        if stage is not rollouts.Stage.TRYING or not new:
            return old
        if arm is rollouts.Arm.NEW:
            return new
        if not old and rollout.exposure.allows(proven=False):
            return new
        return old

    def _log_baseline(self, rollout: rollouts.Rollout) -> None:
        """Log which versions serve beside the ordered one if that changed."""
        if rollout.baseline == rollout.logged_baseline:
            return
        rollout.logged_baseline = rollout.baseline
        self._log.write(
            "rollout_old_versions",
            service=rollout.order.service,
            version=rollout.order.version,
            old=rollout.baseline.serving,
            withdrawn=rollout.baseline.withdrawn,
        )

    def draw_arm(self, service: ids.ServiceName, kind: str) -> rollouts.Arm:
        """Choose the version of a request's first try."""
        rollout = self.get(service)
        if rollout is None or rollout.stage is None:
            return rollouts.Arm.OLD
        proven = self._can_defer_trials(rollout, kind)
        return rollouts.choose_arm(
            rollout.stage,
            allowed=rollout.exposure.allows(proven),
            first_try=True,
            rng=self._rng,
        )

    def _can_defer_trials(self, rollout: rollouts.Rollout, kind: str) -> bool:
        """Return whether further trials of a kind of request can wait.

        If a sound version gives one bad answer among its first trials, only
        more trials can settle the evidence. Kinds with few trials come first.
        """
        finding = rollout.finding(self._instance, self._clock())
        if finding is trials.Finding.GOOD:
            return True
        if finding is trials.Finding.DOUBTFUL:
            return False
        enough = max(2.0, SUFFICIENT_TRIALS / (1 + len(self._peers())))
        if rollout.evidence.count_trials(kind) < enough:
            return False
        return finding is not trials.Finding.OPEN or any(
            rollout.evidence.count_trials(other) < enough
            for other in rollout.evidence.relevant_kinds()
        )

    def is_retiring(self, target: targets.Target) -> bool:
        """Return whether a target has an old version that is about to stop."""
        rollout = self.get(target.listed.service)
        return (
            rollout is not None
            and rollout.stage
            in (rollouts.Stage.MOVING, rollouts.Stage.COMPLETED)
            and not rollout.is_new(target)
        )

    def is_withdrawn(self, target: targets.Target) -> bool:
        """Return whether a target's version must not get any request."""
        rollout = self.get(target.listed.service)
        if rollout is None:
            return False
        if rollout.is_new(target):
            return rollout.stage is rollouts.Stage.ROLLED_BACK and bool(
                rollout.baseline.serving
            )
        return rollout.is_withdrawn(target)

    def record_request(self, service: ids.ServiceName) -> None:
        """Count a request of a caller."""
        rollout = self.get(service)
        if rollout is not None:
            rollout.exposure.requests += 1

    def record_send(self, target: targets.Target) -> None:
        """Count a request that is about to be sent to a target."""
        rollout = self.get(target.listed.service)
        if rollout is not None and rollout.is_new(target):
            rollout.exposure.sent += 1

    def record_answer(
        self,
        target: targets.Target,
        kind: str,
        *,
        failed: bool,
        took_s: float | None = None,
    ) -> None:
        """Count an answer, or a failure, as evidence."""
        service = target.listed.service
        rollout = self.get(service)
        if rollout is None or rollout.stage is rollouts.Stage.COMPLETED:
            return
        if rollout.is_withdrawn(target):
            # It must not make the new version look better.
            return
        is_new = rollout.is_new(target)
        if is_new and self._clock() < target.warm_at:
            # A target that has just started is slow with any version.
            took_s = None
        rollout.evidence.record_answer(
            kind, target.id if is_new else None, failed=failed, took_s=took_s
        )
        if is_new and failed:
            self._evaluate(rollout)

    def handle_report(self, report: trials.Report) -> None:
        """Store the counts that a peer sent."""
        history = self._history_by_service.get(report.service)
        rollout = None
        if history is not None:
            rollout = history.match(report.version, report.order_versions)
        if rollout is None:
            self._answer_replaced(
                report.sender,
                report.service,
                report.version,
                report.order_versions,
            )
            return
        rollout.add_versions(report.order_versions)
        key = (report.sender, report.started_ms)
        rollout.counts_by_peer_incarnation[key] = (
            report.requests,
            report.exposed,
        )
        rollout.evidence.apply_counts(
            report.sender, report.started_ms, report.cells
        )
        if not report.knows_state:
            self._send_news(rollout, self._peers_of_id(report.sender))

    def handle_news(self, news: rollouts.News) -> None:
        """Apply the state and the finding that a peer sent."""
        rollout = self.get(news.record.service)
        if rollout is None:
            return
        self._eras.record(news.record.era)
        is_current = self._handle_record(rollout, news.record)
        if is_current:
            rollout.handle_finding(news.sender, news.finding, self._clock())
            self._log_finding(rollout, heard_from=news.sender)
            if rollout.record is not None and rollout.record.is_further(
                news.record
            ):
                self._send_news(rollout, self._peers_of_id(news.sender))
        else:
            self._answer_replaced(
                news.sender,
                news.record.service,
                news.record.version,
                news.record.order_versions,
            )
        if self._is_open(rollout):
            self._wake.set()

    def _answer_replaced(
        self,
        sender: ids.InstanceId,
        service: ids.ServiceName,
        version: ids.VersionId | None,
        order_versions: Sequence[versions.StoreVersion],
    ) -> None:
        """Send the current state to a peer that has a replaced order."""
        history = self._history_by_service.get(service)
        if history is None:
            return
        known = history.find(version, order_versions)
        if known not in (None, history.current):
            self._send_news(history.current, self._peers_of_id(sender))

    async def run(self) -> None:
        """Step all open rollouts until cancelled."""
        while True:
            if not any(map(self._is_open, self._current_rollouts())):
                self._wake.clear()
                await self._wake.wait()
            await self.step()
            await asyncio.sleep(STEP_INTERVAL_S)

    async def step(self) -> None:
        """Take one step of every open rollout.

        An error in one step is raised after the others.
        """
        error = None
        for rollout in self._current_rollouts():
            try:
                if self._is_open(rollout):
                    await self._step(rollout)
            except Exception as exc:
                error = exc
        if error is not None:
            raise error

    def _is_open(self, rollout: rollouts.Rollout) -> bool:
        """Return whether the rollout still needs steps of this instance."""
        if self.get(rollout.order.service) is not rollout:
            return False
        if rollout.is_replaced:
            # The copy held its order, and the newer one isn't written again.
            return False
        return (
            rollout.record is None
            or not rollout.record.stage.ended
            or self._must_restore(rollout)
        )

    def _must_restore(self, rollout: rollouts.Rollout) -> bool:
        """Return whether the row may lack the state that is known here."""
        record = rollout.record
        row = self._row_by_service.get(rollout.order.service)
        in_era = versions.StoreVersion(self._eras.current, 0)
        return record is not None and (
            record.row_version < max(row or in_era, in_era)
        )

    async def _step(self, rollout: rollouts.Rollout) -> None:
        if not rollout.is_loaded:
            await self._read_again(rollout)
        now = self._clock()
        store_ms = self._store_time_ms(now)
        if store_ms is None:
            return
        self._evaluate(rollout)
        rank = self._rank()
        try:
            # The leader need not read: if its state is outdated, its writes
            # fail.
            if rank and self._misses_state(rollout, now):
                await self._read(rollout)
            await self._write_due_state(rollout, store_ms, rank)
        except (exceptions.PlatformError, TimeoutError) as exc:
            self._log.write(
                "rollout_not_written",
                service=rollout.order.service,
                error=str(exc) or repr(exc),
            )
            await self._read_again(rollout)
        self._publish_if_due(rollout, now, leads=rank < LEADERS)

    def _misses_state(self, rollout: rollouts.Rollout, now: float) -> bool:
        """Return whether the leader should have sent a state by now.

        It sends none of an ended rollout. If that has to be written again,
        the instances read the row one after the other before they write.
        """
        record = rollout.record
        if record is not None and record.stage.ended:
            return False
        return now - rollout.state_received_at > LEADER_TIMEOUT_S

    async def _write_due_state(
        self, rollout: rollouts.Rollout, store_ms: float, rank: int
    ) -> None:
        """Write a due state unless an instance of smaller id has done so."""
        now = self._clock()
        must_restore = self._must_restore(rollout)
        if not must_restore and self._next_record(rollout, store_ms) is None:
            rollout.due_since = None
            record = rollout.record
            if rank or record is None or record.stage.ended:
                return
            if now - rollout.saved_at > SAVE_INTERVAL_S:
                await self._write(rollout, record)
            return
        if rollout.due_since is None:
            rollout.due_since = now
        if now - rollout.due_since < rank * SUCCESSION_DELAY_S:
            return
        if self._must_await_state(rollout):
            return
        if rank or rollout.record is None or must_restore:
            await self._read(rollout)
            if self._must_await_state(rollout):
                return
        record = self._next_record(rollout, store_ms)
        if record is None and self._must_restore(rollout):
            record = rollout.record
        if record is not None:
            await self._write(rollout, record)
        elif must_restore:
            self._publish_news(rollout)

    def _must_await_state(self, rollout: rollouts.Rollout) -> bool:
        """Return whether peers may still send a state that the row lacks."""
        row = self._row_by_service.get(rollout.order.service)
        return (
            rollout.record is None
            and rollout.precedes_start
            and row is not None
            and row.era == self._eras.current
            and self._clock() - rollout.ordered_at < STATE_WAIT_S
        )

    def _next_record(
        self, rollout: rollouts.Rollout, store_ms: float
    ) -> rollouts.Record | None:
        """Return the state to write, or ``None`` if none is due."""
        record = rollout.record
        if record is None:
            order, now = rollout.order, self._clock()
            began_ms = round(store_ms - 1000 * (now - rollout.ordered_at))
            return rollouts.Record(
                order.service,
                order.version,
                order.revision,
                began_ms,
                began_ms + round(order.duration_s * 1000),
                rollouts.Stage.TRYING,
                "ordered",
            )
        step = rollouts.next_stage(record, self._progress(rollout), store_ms)
        if step is None:
            return None
        stage, reason = step
        return msgspec.structs.replace(record, stage=stage, reason=reason)

    async def _write(
        self, rollout: rollouts.Rollout, record: rollouts.Record
    ) -> None:
        row = self._row_by_service.get(record.service)
        if row is None or row.era != self._eras.current:
            # The row holds the state of a newer order, or was last read
            # before the store was restored.
            return
        requests, exposed = rollout.totals()
        rollout.saved_at = self._clock()
        self._record_listed(rollout)
        record = msgspec.structs.replace(
            record,
            order_revision=rollout.order_versions[-1].revision,
            orders=rollout.order_versions,
            replaced=self._history_by_service[record.service].replaced,
            revision=row.revision,
            era=row.era,
            requests=requests,
            exposed=exposed,
            cells=tuple(rollout.evidence.cells()),
            baseline=rollout.baseline,
        )
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            written = await self._registry.write_rollout(record)
        self._eras.record(written.era)
        self._handle_record(
            rollout,
            msgspec.structs.replace(
                record, revision=written.revision, era=written.era
            ),
        )
        self._publish_news(rollout)

    async def _read_again(self, rollout: rollouts.Rollout) -> None:
        with contextlib.suppress(exceptions.PlatformError):
            # The state stays as it was, and the next step tries again.
            await self._read(rollout)

    async def _read(self, rollout: rollouts.Rollout) -> None:
        update = await self._registry.read_rollouts()
        self._eras.record(update.era)
        service = rollout.order.service
        for record in update.records:
            if record.service == service:
                self._handle_record(rollout, record)
                break
        else:
            self._record_row(service, versions.StoreVersion(update.era, 0))
        was_loaded, rollout.is_row_read = self.is_loaded, True
        if self.is_loaded and not was_loaded:
            self.on_loaded()

    def _handle_record(
        self, rollout: rollouts.Rollout, record: rollouts.Record
    ) -> bool:
        """Apply a state that was read, written or sent by a peer.

        Return whether it belongs to the rollout.
        """
        history = self._history_by_service[record.service]
        matched = history.match(record.version, record.order_versions)
        if matched is rollout:
            rollout.add_versions(record.order_versions)
            self._record_row(record.service, record.row_version)
            self._apply_record(rollout, record)
            return True
        if rollout.is_replaced_in(record):
            rollout.is_replaced = True
        elif self._is_earlier(rollout, record):
            self._record_row(record.service, record.row_version)
            self._handle_earlier_record(record)
        return False

    def _handle_earlier_record(self, record: rollouts.Record) -> None:
        """Apply how the rollout of an earlier order stands."""
        history = self._history_by_service[record.service]
        earlier = history.find(record.version, record.order_versions)
        if earlier is not None:
            self._apply_record(earlier, record)
        else:
            history.handle_former_record(record)

    def _is_earlier(
        self, rollout: rollouts.Rollout, record: rollouts.Record
    ) -> bool:
        """Return whether a state belongs to an earlier order."""
        history = self._history_by_service[record.service]
        known = history.find(record.version, record.order_versions)
        if known is not None:
            return known is not history.current
        newest, current = (
            max(record.order_versions),
            rollout.order_versions[-1],
        )
        if newest.era == versions.UNKNOWN_ERA:
            return newest.revision < current.revision
        return newest < current

    def _record_row(
        self, service: ids.ServiceName, version: versions.StoreVersion
    ) -> None:
        known = self._row_by_service.get(service)
        if known is None or version > known:
            self._row_by_service[service] = version

    def _apply_record(
        self, rollout: rollouts.Rollout, record: rollouts.Record
    ) -> None:
        if not rollout.apply_record(record, self._clock()):
            return
        self._history_by_service[record.service].derive_baselines()
        self._log.write(
            "rollout_stage",
            service=record.service,
            version=record.version,
            stage=record.stage.value,
            reason=record.reason,
            revision=record.revision,
            era=record.era,
        )

    def _evaluate(self, rollout: rollouts.Rollout) -> None:
        finding = trials.evaluate(
            rollout.evidence.cells(),
            rollout.evidence.recent_cells(self._clock()),
        )
        rollout.local_finding = finding
        newly_harmful = (
            finding is trials.Finding.HARMFUL and not rollout.harmful
        )
        rollout.harmful = rollout.harmful or newly_harmful
        self._log_finding(rollout)
        if newly_harmful:
            self._publish_news(rollout)

    def _log_finding(
        self,
        rollout: rollouts.Rollout,
        heard_from: ids.InstanceId | None = None,
    ) -> None:
        """Log the finding in force if it has changed."""
        finding = rollout.finding(self._instance, self._clock())
        if finding is rollout.logged_finding:
            return
        rollout.logged_finding = finding
        requests, exposed = rollout.totals()
        self._log.write(
            "rollout_evidence",
            service=rollout.order.service,
            version=rollout.order.version,
            finding=finding.value,
            own=rollout.local_finding.value,
            heard_from=heard_from,
            requests=requests,
            exposed=exposed,
        )

    def _progress(self, rollout: rollouts.Rollout) -> rollouts.Progress:
        requests, exposed = rollout.totals()
        usable = self._directory.usable(rollout.order.service)
        self._record_listed(rollout)
        return rollouts.Progress(
            requests,
            exposed,
            rollout.finding(self._instance, self._clock()),
            has_new_targets=any(map(rollout.is_new, usable)),
            serves_alone=not rollout.baseline.serving,
        )

    def _publish_if_due(
        self, rollout: rollouts.Rollout, now: float, *, leads: bool
    ) -> None:
        if now - rollout.published_at < PUBLISH_INTERVAL_S:
            return
        rollout.published_at = now
        if leads:
            self._publish_news(rollout)
        self._publish_report(rollout)

    def _publish_news(self, rollout: rollouts.Rollout) -> None:
        self._send_news(rollout, self._peers())

    def _send_news(
        self,
        rollout: rollouts.Rollout,
        peers: Sequence[registries.InstanceEntry],
    ) -> None:
        if self.exchange is not None and rollout.record is not None:
            record = msgspec.structs.replace(
                rollout.record,
                cells=(),
                orders=rollout.order_versions,
                replaced=self._history_by_service[
                    rollout.order.service
                ].replaced,
                baseline=rollout.baseline,
            )
            finding = rollout.local_finding
            if rollout.harmful:
                finding = trials.Finding.HARMFUL
            news = rollouts.News(self._instance, record, finding)
            self.exchange.send(peers, news)

    def _publish_report(self, rollout: rollouts.Rollout) -> None:
        peers = sorted(self._peers(), key=lambda peer: peer.id)
        knows_state = rollout.record is not None
        # Without a state, any peer may be the one that knows it.
        receivers = peers[:LEADERS] if knows_state else peers
        if self.exchange is None or not receivers:
            return
        cells = rollout.evidence.local_cells()
        for part in _batches(cells):
            report = trials.Report(
                self._instance,
                self._started_ms,
                rollout.order.service,
                rollout.order_versions[-1].revision,
                rollout.exposure.requests,
                rollout.exposure.sent,
                part,
                rollout.order.version,
                rollout.order_versions,
                knows_state,
            )
            self.exchange.send(receivers, report)

    def _peers(self) -> list[registries.InstanceEntry]:
        if self.exchange is None:
            return []
        return self.exchange.live()

    def _peers_of_id(
        self, instance: ids.InstanceId
    ) -> list[registries.InstanceEntry]:
        return [peer for peer in self._peers() if peer.id == instance]

    def _rank(self) -> int:
        """Return the number of live instances with a smaller id."""
        return sum(peer.id < self._instance for peer in self._peers())


def _batches(cells: list[trials.Cell]) -> Iterable[tuple[trials.Cell, ...]]:
    for start in range(0, max(1, len(cells)), CELLS_PER_REPORT):
        yield tuple(cells[start : start + CELLS_PER_REPORT])
