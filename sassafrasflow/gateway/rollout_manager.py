"""Follow the rollouts that operators order, and lead them in turn.

The state of a rollout is one row of the store, written under its revision;
whatever an instance does late, twice or without an answer then changes
nothing that another has decided since. The live instance with the smallest
id leads. The others take its place one after the other when the row stands
still, so nothing has to be elected. Datagrams carry counts to the leaders
and the state to all; who hears none reads the row.
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
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import trials

__all__ = ["RolloutManager"]

TICK_S = 0.25
# News of the leader come this often; three of them lost are a silence.
NEWS_S = 0.5
SILENCE_S = 1.5
# Each instance gives the one before it this long to write what is due.
SUCCESSION_S = 0.4
# The store takes a quarter of a second while it is slow; after a lost
# answer the row tells whether the write was done.
WRITE_TIMEOUT_S = 0.4
# Counts that all instances lose when they are killed together.
SAVE_S = 5.0
# A kind of request that was tried this often, over all instances, leaves
# the rest of the exposure to the others.
ENOUGH_TRIALS = 24
# Counts go to this many leaders, so that a successor has them.
LEADERS = 2
# Cells in a datagram of 1,400 bytes.
CELLS_PER_REPORT = 16


class RolloutManager:
    """Limit, count, judge and lead the rollouts of all services."""

    def __init__(
        self,
        instance: ids.InstanceId,
        started_ms: int,
        registry: registries.Registry,
        directory: targets.Directory,
        store_ms: Callable[[float], float | None],
        clock: Callable[[], float],
        log: telemetry.EventLog,
        rng: random.Random,
    ) -> None:
        self._instance = instance
        self._started_ms = started_ms
        self._registry = registry
        self._directory = directory
        self._store_ms = store_ms
        self._clock = clock
        self._log = log
        self._rng = rng
        self._rollouts: dict[ids.ServiceName, rollouts.Rollout] = {}
        # Revisions of states that earlier orders left behind.
        self._stale_revision: dict[ids.ServiceName, int] = {}
        self._wake = asyncio.Event()
        # Orders that stood when this instance started met others before.
        self._first_read = True
        self.exchange: exchanges.PeerExchange | None = None

    def get(self, service: ids.ServiceName) -> rollouts.Rollout | None:
        """Return the rollout of a service."""
        return self._rollouts.get(service)

    def hear_orders(self, orders: Sequence[rollouts.Order]) -> None:
        """Take orders that were read; none goes before its state is known."""
        for order in orders:
            known = self._rollouts.get(order.service)
            if known is not None and known.order.revision >= order.revision:
                continue
            slack = 0.0
            if not self._first_read:
                slack = rollouts.TRIAL_SLACK / (1 + len(self._peers()))
            exposure = rollouts.Exposure(slack, self._rng)
            self._rollouts[order.service] = rollouts.Rollout(
                order, exposure, self._clock()
            )
            self._log.write(
                "rollout_ordered",
                service=order.service,
                version=order.version,
                duration_s=order.duration_s,
                revision=order.revision,
            )
            self._wake.set()
        self._first_read = False

    def usable(
        self,
        service: ids.ServiceName,
        listed: list[targets.Target],
        arm: rollouts.Arm = rollouts.Arm.OLD,
        wants_work: Callable[[targets.Target], bool] = lambda target: True,
    ) -> list[targets.Target]:
        """Return the targets that a try of one version may use.

        Load: all targets of one version ask for a pause; the other one
        takes its requests as far as the rollout allows.
        """
        found = [target for target in listed if wants_work(target)]
        rollout = self._rollouts.get(service)
        if rollout is None:
            return found
        stage = rollout.stage
        if stage is rollouts.Stage.COMPLETED:
            # Later versions come without an order as well.
            past = rollout.old_versions
            return [t for t in found if t.listed.version not in past]
        rollout.old_versions.update(
            target.listed.version
            for target in listed
            if not rollout.is_new(target)
        )
        if not rollout.old_versions:
            # The ordered version is the only one that was ever there.
            return found
        new = [target for target in found if rollout.is_new(target)]
        old = [target for target in found if not rollout.is_new(target)]
        if stage is rollouts.Stage.MOVING:
            sound = [target for target in new if target.lost_at is None]
            return sound or old or new
        if stage is not rollouts.Stage.TRYING or not new:
            return old
        if arm is rollouts.Arm.NEW:
            return new
        if not old and rollout.exposure.allows(proven=False):
            return new
        return old

    def draw_arm(self, service: ids.ServiceName, kind: str) -> rollouts.Arm:
        """Choose the version of a request's first try."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.stage is None:
            return rollouts.Arm.OLD
        proven = self._is_settled(rollout, kind)
        return rollouts.choose_arm(
            rollout.stage,
            allowed=rollout.exposure.allows(proven),
            first_try=True,
            rng=self._rng,
        )

    def _is_settled(self, rollout: rollouts.Rollout, kind: str) -> bool:
        """Tell whether further trials of a kind of request can wait.

        Load: one bad answer among the first trials of a sound version
        leaves open what it is; only more trials can tell. Kinds that were
        hardly tried go first.
        """
        finding = rollout.finding(self._instance, self._clock())
        if finding is trials.Finding.GOOD:
            return True
        if finding is trials.Finding.DOUBTFUL:
            return False
        enough = max(2.0, ENOUGH_TRIALS / (1 + len(self._peers())))
        if rollout.evidence.tried(kind) < enough:
            return False
        return finding is not trials.Finding.OPEN or any(
            rollout.evidence.tried(other) < enough
            for other in rollout.evidence.relevant_kinds()
        )

    def is_retiring(self, target: targets.Target) -> bool:
        """Tell whether a target's version is about to stop."""
        rollout = self._rollouts.get(target.listed.service)
        return (
            rollout is not None
            and rollout.stage
            in (rollouts.Stage.MOVING, rollouts.Stage.COMPLETED)
            and not rollout.is_new(target)
        )

    def note_request(self, service: ids.ServiceName) -> None:
        """Count a caller's request."""
        rollout = self._rollouts.get(service)
        if rollout is not None:
            rollout.exposure.requests += 1

    def note_send(self, target: targets.Target) -> None:
        """Count a request that a target is about to get."""
        rollout = self._rollouts.get(target.listed.service)
        if rollout is not None and rollout.is_new(target):
            rollout.exposure.sent += 1

    def note_answer(
        self,
        target: targets.Target,
        kind: str,
        *,
        failed: bool,
        took_s: float | None = None,
    ) -> None:
        """Count an answer as evidence."""
        service = target.listed.service
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.stage is rollouts.Stage.COMPLETED:
            return
        is_new = rollout.is_new(target)
        if is_new and self._clock() < target.warm_at:
            # A target that has just started is slow, whatever its version.
            took_s = None
        rollout.evidence.note(
            kind, target.id if is_new else None, failed=failed, took_s=took_s
        )
        if is_new and failed:
            self._judge(rollout)

    def hear_report(self, report: trials.Report) -> None:
        """Take the counts of another instance."""
        rollout = self._rollouts.get(report.service)
        if rollout is None or rollout.order.revision != report.order_revision:
            return
        key = (report.sender, report.started_ms)
        rollout.others[key] = (report.requests, report.exposed)
        rollout.evidence.hear(report.sender, report.started_ms, report.cells)

    def hear_news(self, news: rollouts.News) -> None:
        """Take the state that another instance knows."""
        rollout = self._rollouts.get(news.record.service)
        if rollout is None:
            return
        self._adopt(rollout, news.record)
        if news.record.order_revision == rollout.order.revision:
            rollout.hear_finding(news.sender, news.finding, self._clock())
            self._report_finding(rollout, heard_from=news.sender)

    async def run(self) -> None:
        """Step all rollouts until cancelled."""
        while True:
            if not any(map(self._is_open, self._rollouts.values())):
                self._wake.clear()
                await self._wake.wait()
            await self.step()
            await asyncio.sleep(TICK_S)

    async def step(self) -> None:
        """Read, judge, lead and tell what is due now."""
        for rollout in list(self._rollouts.values()):
            if self._is_open(rollout):
                await self._step(rollout)

    def _is_open(self, rollout: rollouts.Rollout) -> bool:
        """Tell whether the rollout still needs steps of this instance."""
        if self._rollouts.get(rollout.order.service) is not rollout:
            return False
        return rollout.record is None or not rollout.record.stage.ended

    async def _step(self, rollout: rollouts.Rollout) -> None:
        now = self._clock()
        store_ms = self._store_ms(now)
        if store_ms is None:
            return
        self._judge(rollout)
        rank = self._rank()
        try:
            # The leader's own writes tell it when it is behind.
            if rank and now - rollout.heard_at > SILENCE_S:
                await self._read(rollout)
            await self._lead(rollout, store_ms, rank)
        except (exceptions.PlatformError, TimeoutError) as exc:
            self._log.write(
                "rollout_not_written",
                service=rollout.order.service,
                error=str(exc) or repr(exc),
            )
            await self._read_again(rollout)
        self._tell(rollout, now, leads=rank < LEADERS)

    async def _lead(
        self, rollout: rollouts.Rollout, store_ms: float, rank: int
    ) -> None:
        """Write the next state unless an instance before this one does."""
        now = self._clock()
        if self._next(rollout, store_ms) is None:
            rollout.due_since = None
            record = rollout.record
            if rank or record is None or record.stage.ended:
                return
            if now - rollout.saved_at > SAVE_S:
                await self._write(rollout, record)
            return
        if rollout.due_since is None:
            rollout.due_since = now
        if now - rollout.due_since < rank * SUCCESSION_S:
            return
        if rank or rollout.record is None:
            await self._read(rollout)
        record = self._next(rollout, store_ms)
        if record is not None:
            await self._write(rollout, record)

    def _next(
        self, rollout: rollouts.Rollout, store_ms: float
    ) -> rollouts.Record | None:
        """Return the state to write, or ``None`` if it stands."""
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
                self._stale_revision.get(order.service, 0),
            )
        step = rollouts.next_stage(record, self._progress(rollout), store_ms)
        if step is None:
            return None
        stage, reason = step
        return msgspec.structs.replace(record, stage=stage, reason=reason)

    async def _write(
        self, rollout: rollouts.Rollout, record: rollouts.Record
    ) -> None:
        requests, exposed = rollout.totals()
        rollout.saved_at = self._clock()
        record = msgspec.structs.replace(
            record,
            requests=requests,
            exposed=exposed,
            cells=tuple(rollout.evidence.cells()),
        )
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            revision = await self._registry.write_rollout(record)
        self._adopt(
            rollout, msgspec.structs.replace(record, revision=revision)
        )
        self._send_news(rollout)

    async def _read_again(self, rollout: rollouts.Rollout) -> None:
        with contextlib.suppress(exceptions.PlatformError):
            # The next step tries again; the state stays as it was.
            await self._read(rollout)

    async def _read(self, rollout: rollouts.Rollout) -> None:
        for record in await self._registry.read_rollouts():
            if record.service != rollout.order.service:
                continue
            if record.order_revision < rollout.order.revision:
                self._stale_revision[record.service] = record.revision
            self._adopt(rollout, record)

    def _adopt(
        self, rollout: rollouts.Rollout, record: rollouts.Record
    ) -> None:
        if not rollout.adopt(record, self._clock()):
            return
        self._log.write(
            "rollout_stage",
            service=record.service,
            version=record.version,
            stage=record.stage.value,
            reason=record.reason,
            revision=record.revision,
        )

    def _judge(self, rollout: rollouts.Rollout) -> None:
        found = trials.judge(
            rollout.evidence.cells(),
            rollout.evidence.recent_cells(self._clock()),
        )
        rollout.own_finding = found
        newly = found is trials.Finding.HARMFUL and not rollout.harmful
        rollout.harmful = rollout.harmful or newly
        self._report_finding(rollout)
        if newly:
            self._send_news(rollout)

    def _report_finding(
        self,
        rollout: rollouts.Rollout,
        heard_from: ids.InstanceId | None = None,
    ) -> None:
        """Log what counts now, if that is something else than before."""
        finding = rollout.finding(self._instance, self._clock())
        if finding is rollout.reported:
            return
        rollout.reported = finding
        requests, exposed = rollout.totals()
        self._log.write(
            "rollout_evidence",
            service=rollout.order.service,
            version=rollout.order.version,
            finding=finding.value,
            own=rollout.own_finding.value,
            heard_from=heard_from,
            requests=requests,
            exposed=exposed,
        )

    def _progress(self, rollout: rollouts.Rollout) -> rollouts.Progress:
        requests, exposed = rollout.totals()
        found = self._directory.usable(rollout.order.service)
        return rollouts.Progress(
            requests,
            exposed,
            rollout.finding(self._instance, self._clock()),
            present=any(map(rollout.is_new, found)),
        )

    def _tell(
        self, rollout: rollouts.Rollout, now: float, *, leads: bool
    ) -> None:
        if now - rollout.told_at < NEWS_S:
            return
        rollout.told_at = now
        if leads:
            self._send_news(rollout)
        self._send_report(rollout)

    def _send_news(self, rollout: rollouts.Rollout) -> None:
        if self.exchange is not None and rollout.record is not None:
            record = msgspec.structs.replace(rollout.record, cells=())
            found = rollout.own_finding
            if rollout.harmful:
                found = trials.Finding.HARMFUL
            news = rollouts.News(self._instance, record, found)
            self.exchange.send(self._peers(), news)

    def _send_report(self, rollout: rollouts.Rollout) -> None:
        peers = sorted(self._peers(), key=lambda peer: peer.id)
        leaders = peers[:LEADERS]
        if self.exchange is None or not leaders:
            return
        cells = rollout.evidence.own_cells()
        for part in _parts(cells):
            report = trials.Report(
                self._instance,
                self._started_ms,
                rollout.order.service,
                rollout.order.revision,
                rollout.exposure.requests,
                rollout.exposure.sent,
                part,
            )
            self.exchange.send(leaders, report)

    def _peers(self) -> list[registries.InstanceEntry]:
        if self.exchange is None:
            return []
        return self.exchange.live()

    def _rank(self) -> int:
        """Return how many live instances go before this one."""
        return sum(peer.id < self._instance for peer in self._peers())


def _parts(cells: list[trials.Cell]) -> Iterable[tuple[trials.Cell, ...]]:
    for start in range(0, max(1, len(cells)), CELLS_PER_REPORT):
        yield tuple(cells[start : start + CELLS_PER_REPORT])
