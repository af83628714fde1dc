"""Datagrams between instances: heartbeats, loads, losses and relays.

Instances place work on the same targets without a coordinator. Each load is
reported to one owner and queried when it is needed, see
:mod:`sassafrasflow.gateway.loads`. The state is soft: the content of a lost
datagram is sent again later.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import random
import socket

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import room as rooms
from sassafrasflow.admission import share_messages
from sassafrasflow.gateway import aggregators
from sassafrasflow.gateway import byte_budget
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import losses
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import relay as relays
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import trials
from sassafrasflow.gateway import verdicts
from sassafrasflow.lending import messages as lending_messages
from sassafrasflow.liveness import failure_reports
from sassafrasflow.pace import tracker as pace_trackers
from sassafrasflow.rechecks import messages as recheck_messages

__all__ = [
    "PeerExchange",
    "Message",
]

TICK_INTERVAL_S = 1.0
# Load changes are collected for this long and share a datagram.
COALESCE_S = 0.02
MAX_DATAGRAM_BYTES = 1400
# Number of targets whose loads fit into one report, query or answer.
TARGETS_PER_DATAGRAM = 20
# Reports and answers about more targets than this have no samples of paces, so
# that they stay below the datagram size.
MAX_TARGETS_WITH_PACE = 12
# An owner in the same data centre answers in 1 ms, one in another region in
# 41 ms. A busy owner takes longer, and then its answer is not worth the wait.
LOCAL_QUERY_TIMEOUT_S = 0.025
REMOTE_QUERY_TIMEOUT_S = 0.08
# An instance that leaves this many queries in a row unanswered counts as
# doubtful and is not queried for a while.
MAX_MISSED_ANSWERS = 2
# A starting instance greets this many peers of other data centres, as all
# instances of its own may have started at the same time.
GREETED_REMOTE_PEERS = 3


Message = (
    peer_table.Beat
    | loads.LoadReport
    | loads.LoadQuery
    | loads.LoadAnswer
    | loads.LossNotice
    | loads.LeavingNotice
    | relays.Relay
    | relays.SettingsPart
    | relays.SettingsQuery
    | rollouts.News
    | share_messages.ShareReport
    | share_messages.ShareSums
    | share_messages.ShareTotals
    | trials.Report
    | verdicts.DeathReport
    | verdicts.PartCrashReport
    | verdicts.QuarantineNotice
    | verdicts.QuarantineQuery
    | verdicts.QuarantineState
    | lending_messages.LoanRequest
    | lending_messages.LoanGrant
    | lending_messages.LoanReturn
    | recheck_messages.RecheckNotice
)


class _OwnLoad(msgspec.Struct, frozen=True):
    """Load and work that this instance places on a target."""

    listed: targets.ListedTarget
    load: float = 0.0
    work: loads.TargetWork = loads.NO_WORK


class PeerExchange(asyncio.DatagramProtocol):
    """Exchange loads, losses, heartbeats and relays with other instances."""

    def __init__(
        self,
        own_entry: registries.InstanceEntry,
        started_ms: int,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
        directory: targets.Directory,
        on_lost: Callable[[ids.TargetId, float], None],
        on_message: Callable[[Message], None],
        create_beat: Callable[[], peer_table.Beat],
    ) -> None:
        self.peers = peer_table.PeerTable(own_entry)
        self.load_cache = loads.LoadCache()
        self.load_table = loads.LoadTable()
        self.pace: pace_trackers.PaceTracker | None = None
        self.failures = failure_reports.FailureReports(directory, log, metrics)
        self._owners = loads.OwnerMap(self.peers)
        self._own_entry = own_entry
        self._started_ms = started_ms
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._directory = directory
        self._on_lost = on_lost
        self._on_message = on_message
        self._create_beat = create_beat
        self._rng = random.Random(own_entry.id)
        self._budget = byte_budget.ByteBudget(clock())
        self._number = 0
        # Load and work that this instance places on each target.
        self._own_loads: dict[ids.TargetId, _OwnLoad] = {}
        # Targets whose load was changed since the last report to the owners.
        self._unreported: dict[ids.TargetId, targets.ListedTarget] = {}
        self._owners_epoch = 0
        self._pending_queries: dict[int, loads.PendingQuery] = {}
        self._missed_answers: collections.Counter[ids.InstanceId] = (
            collections.Counter()
        )
        self._losses = losses.LossForwarder(
            self.peers, self.load_table, self.send
        )
        self._is_flush_scheduled = False
        self._refreshed_at = clock()
        self._transport: asyncio.DatagramTransport | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Message)

    async def start(self, sock: socket.socket) -> None:
        """Receive datagrams on a bound socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, sock=sock
        )

    async def close(self) -> None:
        """Report zero load to the owners, and stop."""
        for target, own in list(self._own_loads.items()):
            self._unreported[target] = own.listed
        self._own_loads.clear()
        self._send_load_reports()
        if self._transport is not None:
            self._transport.close()

    def add_peers(self, entries: list[registries.InstanceEntry]) -> None:
        """Add the instances that the store lists, and greet some of them."""
        now = self._clock()
        for entry in entries:
            self.peers.add(entry, now)
        self.peers.is_fleet_read = True
        greeted = self.peers.local_peers(now)
        others = [peer for peer in self.peers.live(now) if peer not in greeted]
        greeted += self._rng.sample(
            others, min(len(others), GREETED_REMOTE_PEERS)
        )
        self.send(greeted, self._create_beat())

    def load_of(self, target: ids.TargetId) -> float:
        """Return the last reported load of other instances on a target."""
        now = self._clock()
        if self.load_cache.is_cached(target, now):
            return self.load_cache.load_of(target, now)
        return self.load_table.load_of(target, self._own_entry.id, now)

    def figures_of(self, target: targets.ListedTarget) -> loads.PeerFigures:
        """Return what is known of the work of other instances on a target."""
        now = self._clock()
        cached = self.load_cache.figures_of(target.id, now)
        if cached is not None:
            return cached
        excluded = self._own_entry.id
        owner = self._owners.owner_of(target, now)
        is_owner = owner is not None and owner.id == excluded
        return loads.PeerFigures(
            self.load_table.load_of(target.id, excluded, now),
            self.load_table.work_of(target.id, excluded, now),
            0.0 if is_owner else rooms.UNKNOWN_AGE_S,
        )

    def set_load(
        self,
        target: targets.ListedTarget,
        load: float,
        work: loads.TargetWork = loads.NO_WORK,
    ) -> None:
        """Set the load and work that this instance places on a target."""
        if load:
            self._own_loads[target.id] = _OwnLoad(target, load, work)
        else:
            self._own_loads.pop(target.id, None)
        self._unreported[target.id] = target
        self._schedule_flush()

    def record_answer(
        self, target: targets.ListedTarget, *, failed: bool
    ) -> None:
        """Report to a target's owner how the target answered."""
        self.failures.unreported.record(target.id, failed=failed)
        self._unreported[target.id] = target
        self._schedule_flush()

    async def query_loads(
        self,
        queried: Sequence[targets.Target],
        work: loads.TargetWork = loads.NO_WORK,
        memory_units: int = 0,
    ) -> None:
        """Query the owners of some targets for their loads.

        The owners count the stream's work as pending where it fits into the
        memory.
        Returns after the query timeout even if answers are missing. Owners
        that repeatedly leave queries unanswered become doubtful.
        """
        now = self._clock()
        by_owner = self._group_by_owner(
            [target.listed for target in queried], now
        )
        for listed in by_owner.pop(self._own_entry.id, []):
            self.load_table.record_query(
                listed.id, self._own_entry.id, now, work, memory_units
            )
            self.failures.apply_own(listed.id, now)
        if not by_owner or self._transport is None:
            return
        if not self._budget.allows(now):
            self._metrics.count("questions_saved_total")
            return
        self._number += 1
        number = self._number
        query = self._pending_queries[number] = loads.PendingQuery(
            set(by_owner)
        )
        for owner_id, owned in by_owner.items():
            owner = self._owners.owner_of(owned[0], now)
            assert owner is not None and owner.id == owner_id
            target_ids = tuple(listed.id for listed in owned)
            message = loads.LoadQuery(
                self._own_entry, number, target_ids, work, memory_units
            )
            self.send([owner], message)
        is_local = all(
            listed.data_centre == self._own_entry.data_centre
            for owned in by_owner.values()
            for listed in owned
        )
        try:
            async with asyncio.timeout(
                LOCAL_QUERY_TIMEOUT_S if is_local else REMOTE_QUERY_TIMEOUT_S
            ):
                await query.done
        except TimeoutError:
            self._metrics.count("questions_unanswered_total")
            self._record_missed_answers(query.missing)
        finally:
            del self._pending_queries[number]

    def has_budget(self) -> bool:
        """Return whether a datagram that can wait may be sent now."""
        return self._budget.allows(self._clock())

    def has_spare_budget(self) -> bool:
        """Return whether a query that can wait leaves budget for others."""
        return self._budget.has_spare(self._clock())

    def publish_loss(self, target: targets.ListedTarget) -> None:
        """Notify the owner of a target that the target is lost."""
        now = self._clock()
        owner = self._owners.owner_of(target, now)
        notice = loads.LossNotice(self._own_entry, target.id)
        if owner is None:
            return
        if owner.id == self._own_entry.id:
            self._losses.forward(notice, now)
        else:
            self.send([owner], notice)

    def publish_leaving(self, target: targets.ListedTarget) -> None:
        """Notify the local peers that a target leaves.

        The notice can wait: the peers also learn it from the next answer that
        the target gives them.
        """
        now = self._clock()
        if not self._budget.allows(now):
            self._metrics.count("leavings_not_told_total")
            return
        notice = loads.LeavingNotice(
            self._own_entry.id, target.id, target.started_ms
        )
        self.send(self.peers.local_peers(now), notice)

    def publish_relay(self, relay: relays.Relay) -> None:
        """Send a read of the store to the local peers."""
        local_peers = self.peers.local_peers(self._clock())
        for part in relays.split_relay(relay):
            self.send(local_peers, part)

    def publish_settings(self, update: registries.SettingsUpdate) -> None:
        """Send the operators' settings to the local peers."""
        self.send_settings(self.peers.local_peers(self._clock()), update)

    def send_settings(
        self,
        peers: Collection[registries.InstanceEntry],
        update: registries.SettingsUpdate,
    ) -> None:
        """Send the operators' settings to some instances."""
        for part in relays.pack_settings(self._own_entry.id, update):
            self.send(peers, part)

    def send_beat(self, peer: registries.InstanceEntry) -> None:
        """Send a heartbeat to one peer."""
        self.send([peer], self._create_beat())

    def query_settings(self, peer: registries.InstanceEntry) -> None:
        """Ask a peer for the configuration that is in force there."""
        self.send([peer], relays.SettingsQuery(self._own_entry))

    def aggregators_of(self, key: str) -> list[registries.InstanceEntry]:
        """Return the other instances that aggregate evidence on a key."""
        return aggregators.choose_aggregators(key, self.peers, self._clock())

    def is_aggregator(self, key: str) -> bool:
        """Return whether this instance aggregates the evidence on a key."""
        return aggregators.is_aggregator(key, self.peers, self._clock())

    def live(self) -> list[registries.InstanceEntry]:
        """Return the other instances that are live."""
        return self.peers.live(self._clock())

    def send(
        self,
        peers: Iterable[registries.InstanceEntry],
        message: Message,
    ) -> None:
        """Send a datagram to each of some instances.

        A message that can't be encoded, or exceeds the datagram size, is
        logged and dropped.
        """
        if self._transport is None:
            return
        kind = type(message).__name__
        try:
            content = self._encoder.encode(message)
        except Exception as exc:
            # One bad value must not end the component that sends it.
            self._metrics.count("datagrams_failed_total", kind=kind)
            self._log.write("datagram_failed", kind=kind, error=repr(exc))
            return
        if len(content) > MAX_DATAGRAM_BYTES:
            self._metrics.count("datagrams_too_large_total", kind=kind)
            self._log.write(
                "datagram_too_large", kind=kind, bytes=len(content)
            )
            return
        relayed = isinstance(message, relays.Relay | relays.SettingsPart)
        for peer in peers:
            self._transport.sendto(content, (peer.host, peer.port))
            self._metrics.count("datagrams_sent_total", kind=kind)
            if not relayed:
                self._budget.spend(len(content))

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        try:
            message = decoding.decode(self._decoder.decode, data)
        except ValueError as exc:
            self._metrics.count("datagrams_rejected_total")
            self._log.write("datagram_rejected", sender=addr, error=str(exc))
            return
        sender = message.sender
        now = self._clock()
        if isinstance(sender, registries.InstanceEntry):
            if sender.id == self._own_entry.id:
                return
            self._record_contact(sender, now)
        elif sender == self._own_entry.id:
            return
        else:
            self.peers.record_contact_by_id(sender, now)
        self._handle_message(message, now)

    def _record_contact(
        self, sender: registries.InstanceEntry, now: float
    ) -> None:
        if self.peers.record_contact(sender, now) and (
            sender.data_centre == self._own_entry.data_centre
        ):
            # The sender has just started or moved, and may not have the entry
            # of this instance yet.
            self.send([sender], self._create_beat())

    def _handle_message(self, message: Message, now: float) -> None:
        if isinstance(message, loads.LoadReport):
            self.load_table.apply(message, now)
            self.failures.apply_report(message, now)
            if self.pace is not None and message.samples:
                self.pace.apply_samples(message.samples, self._service_of)
        elif isinstance(message, loads.LoadQuery):
            self._handle_query(message, now)
        elif isinstance(message, loads.LoadAnswer):
            self._handle_answer(message, now)
        elif isinstance(message, loads.LossNotice):
            self._on_lost(message.target, now)
            self._losses.forward(message, now)
        else:
            self._on_message(message)

    def error_received(self, exc: Exception) -> None:
        # The host of a stopped peer answers with an ICMP error. The load that
        # the peer reported expires by itself.
        self._log.write("datagram_failed", routine=True, error=str(exc))

    def _group_by_owner(
        self, queried: Collection[targets.ListedTarget], now: float
    ) -> dict[ids.InstanceId, list[targets.ListedTarget]]:
        self.peers.expire_doubts(now)
        by_owner: dict[ids.InstanceId, list[targets.ListedTarget]] = {}
        for listed in queried:
            owner = self._owners.owner_of(listed, now)
            if owner is not None:
                by_owner.setdefault(owner.id, []).append(listed)
        return by_owner

    def _handle_query(self, query: loads.LoadQuery, now: float) -> None:
        reported = []
        for target_id in query.targets[:TARGETS_PER_DATAGRAM]:
            load = self.load_table.load_of(target_id, query.sender.id, now)
            target = self._directory.get(target_id)
            lost_ms = -1
            if target is not None and target.lost_at is not None:
                lost_ms = round(1000 * max(0.0, now - target.lost_at))
            work = self.load_table.work_of(target_id, query.sender.id, now)
            paces: tuple[int, ...] = ()
            if (
                self.pace is not None
                and len(query.targets) <= MAX_TARGETS_WITH_PACE
            ):
                paces = self.pace.take_summaries(target_id)
            reported.append(
                loads.TargetLoad(
                    target_id,
                    round(load, 2),
                    lost_ms,
                    work,
                    paces,
                    self.failures.remaining_ms(target_id, now),
                )
            )
            self.load_table.record_query(
                target_id, query.sender.id, now, query.work, query.memory_units
            )
        answer = loads.LoadAnswer(
            self._own_entry.id, query.number, tuple(reported)
        )
        self.send([query.sender], answer)

    def _handle_answer(self, answer: loads.LoadAnswer, now: float) -> None:
        self.load_cache.record_answers(answer.loads, now)
        self._missed_answers.pop(answer.sender, None)
        for reported in answer.loads:
            if reported.lost_ms >= 0:
                self._on_lost(reported.id, now - reported.lost_ms / 1000)
            self.failures.apply_answer(reported, now)
            if self.pace is not None and reported.paces:
                self.pace.apply_summaries(
                    reported.id, reported.paces, self._service_of(reported.id)
                )
        query = self._pending_queries.get(answer.number)
        if query is not None:
            query.record_answer(answer.sender)

    def _service_of(self, target_id: ids.TargetId) -> ids.ServiceName | None:
        target = self._directory.get(target_id)
        return None if target is None else target.listed.service

    def _record_missed_answers(
        self, missing: Iterable[ids.InstanceId]
    ) -> None:
        now = self._clock()
        for instance in missing:
            self._missed_answers[instance] += 1
            if self._missed_answers[instance] >= MAX_MISSED_ANSWERS:
                del self._missed_answers[instance]
                self.peers.mark_doubtful(instance, now)
                self._log.write("instance_doubted", doubted=instance)

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled and self._transport is not None:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_later(COALESCE_S, self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if self._budget.allows(self._clock()):
            self._send_load_reports()
        elif self._unreported:
            # Changed loads stay queued until the budget allows a report,
            # which then contains only the newest load of each target.
            self._metrics.count("loads_put_off_total")

    def _send_load_reports(self) -> None:
        """Report the changed loads to the owners of their targets."""
        now = self._clock()
        by_owner = self._group_by_owner(list(self._unreported.values()), now)
        self._unreported.clear()
        for owned in by_owner.values():
            owner = self._owners.owner_of(owned[0], now)
            assert owner is not None
            for start in range(0, len(owned), TARGETS_PER_DATAGRAM):
                part = owned[start : start + TARGETS_PER_DATAGRAM]
                self._send_load_report(owner, part, now)

    def _send_load_report(
        self,
        owner: registries.InstanceEntry,
        part: Sequence[targets.ListedTarget],
        now: float,
    ) -> None:
        self._number += 1
        own = [
            self._own_loads.get(listed.id) or _OwnLoad(listed)
            for listed in part
        ]
        samples: dict[ids.TargetId, tuple[int, ...]] = {}
        if (
            self.pace is not None
            and owner.id != self._own_entry.id
            and len(part) <= MAX_TARGETS_WITH_PACE
        ):
            samples = self.pace.take_samples([each.id for each in part])
        report = loads.LoadReport(
            self._own_entry,
            self._started_ms,
            self._number,
            {each.listed.id: each.load for each in own},
            tuple(each.work for each in own),
            samples,
            self.failures.unreported.take([each.id for each in part]),
        )
        if owner.id == self._own_entry.id:
            self.load_table.apply(report, now)
            self.failures.apply_report(report, now)
        else:
            self.send([owner], report)

    async def run(self) -> None:
        """Send heartbeats and repeat reports until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._tick(self._clock())

    def _tick(self, now: float) -> None:
        self.peers.expire_doubts(now)
        self.load_table.expire(now)
        self.failures.table.expire(now)
        self.load_cache.expire(now)
        has_changed_owners = self._owners_epoch != self.peers.epoch
        self._owners_epoch = self.peers.epoch
        if (
            has_changed_owners
            or now - self._refreshed_at >= loads.REPORT_REFRESH_S
        ):
            self._refreshed_at = now
            for target, own in self._own_loads.items():
                self._unreported[target] = own.listed
        if self._budget.allows(now):
            due = self.peers.due_heartbeats(now)
            self.send(due, self._create_beat())
            self._send_load_reports()
        else:
            self._metrics.count("beats_put_off_total")
