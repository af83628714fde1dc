"""Datagrams between instances: loads of targets, losses and relays.

Instances place work on the same targets without a coordinator. What one has
to know of the others is told to few and asked for when it is needed, see
:mod:`sassafrasflow.gateway.loads`. The state is soft: what a lost datagram
said is told again.
"""

import asyncio
import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import socket

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import relay as relays
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import trials
from sassafrasflow.gateway import verdicts

__all__ = ["ByteBudget", "PeerExchange", "Message", "choose_aggregators"]

TICK_INTERVAL_S = 1.0
# Changes of one loop turn go into one datagram.
COALESCE_S = 0.02
MAX_DATAGRAM_BYTES = 1400
# Loads of so many targets fit into a datagram, and questions too.
TARGETS_PER_DATAGRAM = 24
# An owner beside this instance answers in 1 ms, one in another region in 41;
# a busy instance takes longer, and then its answer is not worth the wait.
LOCAL_QUERY_TIMEOUT_S = 0.025
REMOTE_QUERY_TIMEOUT_S = 0.08
# An instance that left this many questions in a row without an answer is
# not asked for a while.
MAX_MISSED_ANSWERS = 2
# Losses that are passed on in the time that a data centre takes to lose its
# engines: two show that it is no accident of one engine.
MAX_FORWARDED_LOSSES = 3
FORWARDED_LOSS_WINDOW_S = 1.2
# Bytes a second that an instance spends on what can wait, and what it may
# save up for a burst of starts.
BUDGET_BYTES_PER_S = 4096.0
BUDGET_BURST_BYTES = 32 * 1024.0


Message = (
    peer_table.Beat
    | loads.LoadReport
    | loads.LoadQuery
    | loads.LoadAnswer
    | loads.LossNotice
    | loads.LeavingNotice
    | relays.Relay
    | relays.SettingsPart
    | rollouts.News
    | trials.Report
    | verdicts.DeathReport
    | verdicts.QuarantineNotice
    | verdicts.QuarantineQuery
    | verdicts.QuarantineState
)


class ByteBudget:
    """Bound the bytes of what can wait; urgent datagrams go first.

    What is urgent is sent at once and counted, so that the rest waits for
    it. Relays are left out: a reader owes them to its data centre, and they
    have bounds of their own.
    """

    def __init__(self, now: float) -> None:
        self._available_bytes = BUDGET_BURST_BYTES
        self._refilled_at = now

    def allows(self, now: float) -> bool:
        """Tell whether something that can wait may be sent now."""
        passed_s = max(0.0, now - self._refilled_at)
        self._refilled_at = now
        self._available_bytes = min(
            BUDGET_BURST_BYTES,
            self._available_bytes + BUDGET_BYTES_PER_S * passed_s,
        )
        return self._available_bytes > 0

    def spend(self, size: int) -> None:
        """Count bytes that were sent."""
        self._available_bytes = max(
            -BUDGET_BURST_BYTES, self._available_bytes - size
        )


class _PendingQuery:
    """Wait for the answers to one round of queries."""

    def __init__(self, asked: set[ids.InstanceId]) -> None:
        self.missing = asked
        self.done = asyncio.get_running_loop().create_future()

    def record_answer(self, sender: ids.InstanceId) -> None:
        self.missing.discard(sender)
        if not self.missing and not self.done.done():
            self.done.set_result(None)


def choose_aggregators(
    key: str, known: peer_table.PeerTable, now: float
) -> list[registries.InstanceEntry]:
    """Return who joins the evidence on something, besides this instance.

    One is beside this instance, for as long as the data centre is cut off,
    and one may be anywhere.
    """
    found = {}
    for group in (known.local_peers(now), known.live(now)):
        aggregator = loads.choose_owner(key, [*group, known.own_entry])
        assert aggregator is not None
        found[aggregator.id] = aggregator
    found.pop(known.own_entry.id, None)
    return list(found.values())


class PeerExchange(asyncio.DatagramProtocol):
    """Tell and ask other instances what this one has to share."""

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
    ) -> None:
        self.peers = peer_table.PeerTable(own_entry)
        self.load_cache = loads.LoadCache()
        self.load_table = loads.LoadTable()
        self._owners = loads.OwnerMap(self.peers)
        self._own_entry = own_entry
        self._started_ms = started_ms
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._directory = directory
        self._on_lost = on_lost
        self._on_message = on_message
        self._budget = ByteBudget(clock())
        self._number = 0
        # What this instance has placed, and where that was told last.
        self._own_loads: dict[ids.TargetId, tuple[targets.ListedTarget, float]]
        self._own_loads = {}
        self._unreported: dict[ids.TargetId, targets.ListedTarget] = {}
        self._owners_epoch = 0
        self._pending_queries: dict[int, _PendingQuery] = {}
        self._missed_answers: collections.Counter[ids.InstanceId] = (
            collections.Counter()
        )
        # Losses that were passed on lately, by target.
        self._forwarded_at: dict[ids.TargetId, float] = {}
        self._is_flush_scheduled = False
        self._refreshed_at = clock()
        self._transport: asyncio.DatagramTransport | None = None
        self._task: asyncio.Task[None] | None = None
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Message)

    async def start(self, sock: socket.socket) -> None:
        """Take datagrams on a bound socket."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, sock=sock
        )
        self._task = loop.create_task(self._run())

    async def close(self) -> None:
        """Stop; the owners forget this instance's load."""
        if self._task is not None:
            self._task.cancel()
        for target, (listed, _) in list(self._own_loads.items()):
            self._unreported[target] = listed
        self._own_loads.clear()
        self._send_load_reports()
        if self._transport is not None:
            self._transport.close()

    def add_peers(self, entries: list[registries.InstanceEntry]) -> None:
        """Learn of instances that the store lists; greet those beside."""
        now = self._clock()
        for entry in entries:
            self.peers.add(entry, now)
        self.send(
            self.peers.local_peers(now), peer_table.Beat(self._own_entry)
        )

    def load_of(self, target: ids.TargetId) -> float:
        """Return what others are known to have placed on a target."""
        now = self._clock()
        if self.load_cache.is_known(target, now):
            return self.load_cache.load_of(target, now)
        return self.load_table.load_of(target, self._own_entry.id, now)

    def set_load(self, target: targets.ListedTarget, load: float) -> None:
        """Record what this instance has placed on a target."""
        if load:
            self._own_loads[target.id] = target, load
        else:
            self._own_loads.pop(target.id, None)
        self._unreported[target.id] = target
        self._schedule_flush()

    async def query_loads(self, asked: Sequence[targets.Target]) -> None:
        """Learn the loads of some targets from their owners.

        Returns at the latest after the time in which answers are worth
        waiting for; who did not answer is asked less.
        """
        now = self._clock()
        by_home = self._group_by_owner(
            [target.listed for target in asked], now
        )
        self._record_own_queries(by_home.pop(self._own_entry.id, []), now)
        if not by_home or self._transport is None:
            return
        if not self._budget.allows(now):
            self._metrics.count("questions_saved_total")
            return
        self._number += 1
        number = self._number
        question = self._pending_queries[number] = _PendingQuery(set(by_home))
        for home_id, found in by_home.items():
            self._send_query(home_id, number, found)
        near = all(
            listed.data_centre == self._own_entry.data_centre
            for found in by_home.values()
            for listed in found
        )
        try:
            async with asyncio.timeout(
                LOCAL_QUERY_TIMEOUT_S if near else REMOTE_QUERY_TIMEOUT_S
            ):
                await question.done
        except TimeoutError:
            self._metrics.count("questions_unanswered_total")
            self._record_missed_answers(question.missing)
        finally:
            del self._pending_queries[number]

    def publish_loss(self, target: targets.ListedTarget) -> None:
        """Tell the owner of a target that it is dead."""
        now = self._clock()
        owner = self._owners.owner_of(target, now)
        notice = loads.LossNotice(self._own_entry, target.id)
        if owner is None:
            return
        if owner.id == self._own_entry.id:
            self._forward_loss(notice, now)
        else:
            self.send([owner], notice)

    def publish_leaving(self, target: targets.ListedTarget) -> None:
        """Tell those beside this instance that a target leaves.

        It can wait: they learn it from their own next answer as well.
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
        """Pass a read of the store on within the data centre."""
        beside = self.peers.local_peers(self._clock())
        for part in relays.split_relay(relay):
            self.send(beside, part)

    def publish_settings(self, update: registries.SettingsUpdate) -> None:
        """Pass what operators have set on within the data centre."""
        beside = self.peers.local_peers(self._clock())
        for part in relays.pack_settings(self._own_entry.id, update):
            self.send(beside, part)

    def aggregators_of(self, key: str) -> list[registries.InstanceEntry]:
        """Return who joins the evidence on something, besides this one."""
        return choose_aggregators(key, self.peers, self._clock())

    def live(self) -> list[registries.InstanceEntry]:
        """Return the other instances that are there."""
        return self.peers.live(self._clock())

    def send(
        self,
        peers: Iterable[registries.InstanceEntry],
        message: Message,
    ) -> None:
        """Send a datagram to instances."""
        if self._transport is None:
            return
        content = self._encoder.encode(message)
        kind = type(message).__name__
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
            message = self._decoder.decode(data)
        except msgspec.MsgspecError as exc:
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
            # It has just started and should hear of those beside it.
            self.send([sender], peer_table.Beat(self._own_entry))

    def _handle_message(self, message: Message, now: float) -> None:
        if isinstance(message, loads.LoadReport):
            self.load_table.apply(message, now)
        elif isinstance(message, loads.LoadQuery):
            self._handle_query(message, now)
        elif isinstance(message, loads.LoadAnswer):
            self._handle_answer(message, now)
        elif isinstance(message, loads.LossNotice):
            self._on_lost(message.target, now)
            self._forward_loss(message, now)
        else:
            self._on_message(message)

    def error_received(self, exc: Exception) -> None:
        # A peer that is down answers with an ICMP error; its load expires.
        self._log.write("datagram_failed", routine=True, error=str(exc))

    def _group_by_owner(
        self, asked: Collection[targets.ListedTarget], now: float
    ) -> dict[ids.InstanceId, list[targets.ListedTarget]]:
        self.peers.expire_doubts(now)
        by_home: dict[ids.InstanceId, list[targets.ListedTarget]] = {}
        for listed in asked:
            owner = self._owners.owner_of(listed, now)
            if owner is not None:
                by_home.setdefault(owner.id, []).append(listed)
        return by_home

    def _record_own_queries(
        self, asked: Collection[targets.ListedTarget], now: float
    ) -> None:
        for listed in asked:
            self.load_table.record_query(listed.id, self._own_entry.id, now)

    def _send_query(
        self,
        home_id: ids.InstanceId,
        number: int,
        asked: Collection[targets.ListedTarget],
    ) -> None:
        owner = self._owners.owner_of(next(iter(asked)), self._clock())
        assert owner is not None and owner.id == home_id
        names = tuple(listed.id for listed in asked)
        self.send([owner], loads.LoadQuery(self._own_entry, number, names))

    def _handle_query(self, query: loads.LoadQuery, now: float) -> None:
        told = []
        for target_id in query.targets[:TARGETS_PER_DATAGRAM]:
            load = self.load_table.load_of(target_id, query.sender.id, now)
            target = self._directory.get(target_id)
            lost_ms = -1
            if target is not None and target.lost_at is not None:
                lost_ms = round(1000 * max(0.0, now - target.lost_at))
            told.append(loads.TargetLoad(target_id, round(load, 2), lost_ms))
            self.load_table.record_query(target_id, query.sender.id, now)
        answer = loads.LoadAnswer(
            self._own_entry.id, query.number, tuple(told)
        )
        self.send([query.sender], answer)

    def _handle_answer(self, answer: loads.LoadAnswer, now: float) -> None:
        self.load_cache.record_answers(answer.loads, now)
        self._missed_answers.pop(answer.sender, None)
        for told in answer.loads:
            if told.lost_ms >= 0:
                self._on_lost(told.id, now - told.lost_ms / 1000)
        question = self._pending_queries.get(answer.number)
        if question is not None:
            question.record_answer(answer.sender)

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

    def _forward_loss(self, notice: loads.LossNotice, now: float) -> None:
        """Tell those of a loss who should know it from this instance.

        Load: a data centre that loses its engines within 0.1 s. Whoever has
        work there looks at it at once, and nobody places more there.
        """
        if notice.hop > 1 or not self._may_forward_loss(notice.target, now):
            return
        heard = {notice.sender.id, self._own_entry.id}
        if notice.hop == 0:
            beside = self.peers.local_peers(now)
            forwarded = loads.LossNotice(self._own_entry, notice.target, 1)
            self.send([e for e in beside if e.id not in heard], forwarded)
            heard.update(entry.id for entry in beside)
        holders: set[ids.InstanceId] = set()
        for target in self.load_table.targets():
            holders |= self.load_table.instances_using(target, now)
        entries = [
            entry
            for entry in self.peers.live(now)
            if entry.id in holders - heard
        ]
        forwarded = loads.LossNotice(self._own_entry, notice.target, 2)
        self.send(entries, forwarded)

    def _may_forward_loss(self, target: ids.TargetId, now: float) -> bool:
        """Tell whether a loss is among the first of a crash."""
        self._forwarded_at = {
            passed: at
            for passed, at in self._forwarded_at.items()
            if now - at < FORWARDED_LOSS_WINDOW_S
        }
        if (
            target in self._forwarded_at
            or len(self._forwarded_at) >= MAX_FORWARDED_LOSSES
        ):
            return False
        self._forwarded_at[target] = now
        return True

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled and self._transport is not None:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_later(COALESCE_S, self._flush)

    def _flush(self) -> None:
        self._is_flush_scheduled = False
        if self._budget.allows(self._clock()):
            self._send_load_reports()
        elif self._unreported:
            # Kept until the budget allows it; only the newest load counts.
            self._metrics.count("loads_put_off_total")

    def _send_load_reports(self) -> None:
        """Tell the owners what has changed."""
        now = self._clock()
        by_home = self._group_by_owner(list(self._unreported.values()), now)
        self._unreported.clear()
        for found in by_home.values():
            owner = self._owners.owner_of(found[0], now)
            assert owner is not None
            for start in range(0, len(found), TARGETS_PER_DATAGRAM):
                part = found[start : start + TARGETS_PER_DATAGRAM]
                self._send_load_report(owner, part, now)

    def _send_load_report(
        self,
        owner: registries.InstanceEntry,
        part: Sequence[targets.ListedTarget],
        now: float,
    ) -> None:
        self._number += 1
        placed = {
            listed.id: self._own_loads.get(listed.id, (listed, 0.0))[1]
            for listed in part
        }
        report = loads.LoadReport(
            self._own_entry, self._started_ms, self._number, placed
        )
        if owner.id == self._own_entry.id:
            self.load_table.apply(report, now)
        else:
            self.send([owner], report)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._tick(self._clock())

    def _tick(self, now: float) -> None:
        self.peers.expire_doubts(now)
        self.load_table.expire(now)
        self.load_cache.expire(now)
        moved = self._owners_epoch != self.peers.epoch
        self._owners_epoch = self.peers.epoch
        if moved or now - self._refreshed_at >= loads.REPORT_REFRESH_S:
            self._refreshed_at = now
            for target, (listed, _) in self._own_loads.items():
                self._unreported[target] = listed
        if self._budget.allows(now):
            due = self.peers.due_heartbeats(now)
            self.send(due, peer_table.Beat(self._own_entry))
            self._send_load_reports()
        else:
            self._metrics.count("beats_put_off_total")
