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
from sassafrasflow.gateway import neighbours
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import relay as relays
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import trials
from sassafrasflow.gateway import verdicts

__all__ = ["ByteBudget", "LoadExchange", "Message", "choose_keepers"]

TICK_S = 1.0
# Changes of one loop turn go into one datagram.
COALESCE_S = 0.02
MAX_DATAGRAM_BYTES = 1400
# Loads of so many targets fit into a datagram, and questions too.
TARGETS_PER_DATAGRAM = 24
# A home beside this instance answers in 1 ms, one in another region in 41;
# a busy instance takes longer, and then its answer is not worth the wait.
ASK_NEAR_S = 0.025
ASK_FAR_S = 0.08
# An instance that left this many questions in a row without an answer is
# not asked for a while.
MISSED_ANSWERS = 2
# Losses that are passed on in the time that a data centre takes to lose its
# engines: two show that it is no accident of one engine.
PASSED_LOSSES = 3
PASSED_LOSS_S = 1.2
# Bytes a second that an instance spends on what can wait, and what it may
# save up for a burst of starts.
BUDGET_BYTES_PER_S = 4096.0
BUDGET_BURST_BYTES = 32 * 1024.0


Message = (
    neighbours.Beat
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
        self._left = BUDGET_BURST_BYTES
        self._filled_at = now

    def allows(self, now: float) -> bool:
        """Tell whether something that can wait may be sent now."""
        passed_s = max(0.0, now - self._filled_at)
        self._filled_at = now
        self._left = min(
            BUDGET_BURST_BYTES, self._left + BUDGET_BYTES_PER_S * passed_s
        )
        return self._left > 0

    def spend(self, size: int) -> None:
        """Count bytes that were sent."""
        self._left = max(-BUDGET_BURST_BYTES, self._left - size)


class _Question:
    """Wait for the answers to one round of queries."""

    def __init__(self, asked: set[ids.InstanceId]) -> None:
        self.missing = asked
        self.done = asyncio.get_running_loop().create_future()

    def note(self, sender: ids.InstanceId) -> None:
        self.missing.discard(sender)
        if not self.missing and not self.done.done():
            self.done.set_result(None)


def choose_keepers(
    key: str, known: neighbours.Neighbours, now: float
) -> list[registries.InstanceEntry]:
    """Return who joins the evidence on something, besides this instance.

    One is beside this instance, for as long as the data centre is cut off,
    and one may be anywhere.
    """
    found = {}
    for group in (known.beside(now), known.live(now)):
        keeper = loads.choose_home(key, [*group, known.own])
        assert keeper is not None
        found[keeper.id] = keeper
    found.pop(known.own.id, None)
    return list(found.values())


class LoadExchange(asyncio.DatagramProtocol):
    """Tell and ask other instances what this one has to share."""

    def __init__(
        self,
        own: registries.InstanceEntry,
        started_ms: int,
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
        directory: targets.Directory,
        on_lost: Callable[[ids.TargetId, float], None],
        on_message: Callable[[Message], None],
    ) -> None:
        self.known = neighbours.Neighbours(own)
        self.view = loads.LoadView()
        self.ledger = loads.LoadLedger()
        self._homes = loads.HomeMap(self.known)
        self._own = own
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
        self._loads: dict[ids.TargetId, tuple[targets.ListedTarget, float]]
        self._loads = {}
        self._changed: dict[ids.TargetId, targets.ListedTarget] = {}
        self._homes_epoch = 0
        self._questions: dict[int, _Question] = {}
        self._missed: collections.Counter[ids.InstanceId] = (
            collections.Counter()
        )
        # Losses that were passed on lately, by target.
        self._passed: dict[ids.TargetId, float] = {}
        self._scheduled = False
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
        """Stop; the homes forget this instance's load."""
        if self._task is not None:
            self._task.cancel()
        for target, (listed, _) in list(self._loads.items()):
            self._changed[target] = listed
        self._loads.clear()
        self._send_loads()
        if self._transport is not None:
            self._transport.close()

    def meet(self, entries: list[registries.InstanceEntry]) -> None:
        """Learn of instances that the store lists; greet those beside."""
        now = self._clock()
        for entry in entries:
            self.known.add(entry, now)
        self.send(self.known.beside(now), neighbours.Beat(self._own))

    def load_of(self, target: ids.TargetId) -> float:
        """Return what others are known to have placed on a target."""
        now = self._clock()
        if self.view.is_known(target, now):
            return self.view.load_of(target, now)
        return self.ledger.load_of(target, self._own.id, now)

    def set_load(self, target: targets.ListedTarget, load: float) -> None:
        """Record what this instance has placed on a target."""
        if load:
            self._loads[target.id] = target, load
        else:
            self._loads.pop(target.id, None)
        self._changed[target.id] = target
        self._schedule()

    async def ask(self, asked: Sequence[targets.Target]) -> None:
        """Learn the loads of some targets from their homes.

        Returns at the latest after the time in which answers are worth
        waiting for; who did not answer is asked less.
        """
        now = self._clock()
        by_home = self._group([target.listed for target in asked], now)
        self._note_own_questions(by_home.pop(self._own.id, []), now)
        if not by_home or self._transport is None:
            return
        if not self._budget.allows(now):
            self._metrics.count("questions_saved_total")
            return
        self._number += 1
        number = self._number
        question = self._questions[number] = _Question(set(by_home))
        for home_id, found in by_home.items():
            self._send_query(home_id, number, found)
        near = all(
            listed.data_centre == self._own.data_centre
            for found in by_home.values()
            for listed in found
        )
        try:
            async with asyncio.timeout(ASK_NEAR_S if near else ASK_FAR_S):
                await question.done
        except TimeoutError:
            self._metrics.count("questions_unanswered_total")
            self._note_missed(question.missing)
        finally:
            del self._questions[number]

    def publish_loss(self, target: targets.ListedTarget) -> None:
        """Tell the home of a target that it is dead."""
        now = self._clock()
        home = self._homes.home_of(target, now)
        notice = loads.LossNotice(self._own, target.id)
        if home is None:
            return
        if home.id == self._own.id:
            self._pass_on(notice, now)
        else:
            self.send([home], notice)

    def publish_leaving(self, target: targets.ListedTarget) -> None:
        """Tell those beside this instance that a target leaves.

        It can wait: they learn it from their own next answer as well.
        """
        now = self._clock()
        if not self._budget.allows(now):
            self._metrics.count("leavings_not_told_total")
            return
        notice = loads.LeavingNotice(
            self._own.id, target.id, target.started_ms
        )
        self.send(self.known.beside(now), notice)

    def publish_relay(self, relay: relays.Relay) -> None:
        """Pass a read of the store on within the data centre."""
        beside = self.known.beside(self._clock())
        for part in relays.split(relay):
            self.send(beside, part)

    def publish_settings(self, update: registries.SettingsUpdate) -> None:
        """Pass what operators have set on within the data centre."""
        beside = self.known.beside(self._clock())
        for part in relays.pack_settings(self._own.id, update):
            self.send(beside, part)

    def keepers_of(self, key: str) -> list[registries.InstanceEntry]:
        """Return who joins the evidence on something, besides this one."""
        return choose_keepers(key, self.known, self._clock())

    def live(self) -> list[registries.InstanceEntry]:
        """Return the other instances that are there."""
        return self.known.live(self._clock())

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
            if sender.id == self._own.id:
                return
            self._hear(sender, now)
        elif sender == self._own.id:
            return
        else:
            self.known.hear_id(sender, now)
        self._take(message, now)

    def _hear(self, sender: registries.InstanceEntry, now: float) -> None:
        if self.known.hear(sender, now) and (
            sender.data_centre == self._own.data_centre
        ):
            # It has just started and should hear of those beside it.
            self.send([sender], neighbours.Beat(self._own))

    def _take(self, message: Message, now: float) -> None:
        if isinstance(message, loads.LoadReport):
            self.ledger.apply(message, now)
        elif isinstance(message, loads.LoadQuery):
            self._answer(message, now)
        elif isinstance(message, loads.LoadAnswer):
            self._note_answer(message, now)
        elif isinstance(message, loads.LossNotice):
            self._on_lost(message.target, now)
            self._pass_on(message, now)
        else:
            self._on_message(message)

    def error_received(self, exc: Exception) -> None:
        # A peer that is down answers with an ICMP error; its load expires.
        self._log.write("datagram_failed", routine=True, error=str(exc))

    def _group(
        self, asked: Collection[targets.ListedTarget], now: float
    ) -> dict[ids.InstanceId, list[targets.ListedTarget]]:
        self.known.refresh(now)
        by_home: dict[ids.InstanceId, list[targets.ListedTarget]] = {}
        for listed in asked:
            home = self._homes.home_of(listed, now)
            if home is not None:
                by_home.setdefault(home.id, []).append(listed)
        return by_home

    def _note_own_questions(
        self, asked: Collection[targets.ListedTarget], now: float
    ) -> None:
        for listed in asked:
            self.ledger.note_question(listed.id, self._own.id, now)

    def _send_query(
        self,
        home_id: ids.InstanceId,
        number: int,
        asked: Collection[targets.ListedTarget],
    ) -> None:
        home = self._homes.home_of(next(iter(asked)), self._clock())
        assert home is not None and home.id == home_id
        names = tuple(listed.id for listed in asked)
        self.send([home], loads.LoadQuery(self._own, number, names))

    def _answer(self, query: loads.LoadQuery, now: float) -> None:
        told = []
        for target_id in query.targets[:TARGETS_PER_DATAGRAM]:
            load = self.ledger.load_of(target_id, query.sender.id, now)
            target = self._directory.get(target_id)
            lost_ms = -1
            if target is not None and target.lost_at is not None:
                lost_ms = round(1000 * max(0.0, now - target.lost_at))
            told.append(loads.TargetLoad(target_id, round(load, 2), lost_ms))
            self.ledger.note_question(target_id, query.sender.id, now)
        answer = loads.LoadAnswer(self._own.id, query.number, tuple(told))
        self.send([query.sender], answer)

    def _note_answer(self, answer: loads.LoadAnswer, now: float) -> None:
        self.view.note(answer.loads, now)
        self._missed.pop(answer.sender, None)
        for told in answer.loads:
            if told.lost_ms >= 0:
                self._on_lost(told.id, now - told.lost_ms / 1000)
        question = self._questions.get(answer.number)
        if question is not None:
            question.note(answer.sender)

    def _note_missed(self, missing: Iterable[ids.InstanceId]) -> None:
        now = self._clock()
        for instance in missing:
            self._missed[instance] += 1
            if self._missed[instance] >= MISSED_ANSWERS:
                del self._missed[instance]
                self.known.doubt(instance, now)
                self._log.write("instance_doubted", doubted=instance)

    def _pass_on(self, notice: loads.LossNotice, now: float) -> None:
        """Tell those of a loss who should know it from this instance.

        Load: a data centre that loses its engines within 0.1 s. Whoever has
        work there looks at it at once, and nobody places more there.
        """
        if notice.hop > 1 or not self._passes(notice.target, now):
            return
        heard = {notice.sender.id, self._own.id}
        if notice.hop == 0:
            beside = self.known.beside(now)
            forwarded = loads.LossNotice(self._own, notice.target, 1)
            self.send([e for e in beside if e.id not in heard], forwarded)
            heard.update(entry.id for entry in beside)
        holders: set[ids.InstanceId] = set()
        for target in self.ledger.targets():
            holders |= self.ledger.holders(target, now)
        entries = [
            entry
            for entry in self.known.live(now)
            if entry.id in holders - heard
        ]
        forwarded = loads.LossNotice(self._own, notice.target, 2)
        self.send(entries, forwarded)

    def _passes(self, target: ids.TargetId, now: float) -> bool:
        """Tell whether a loss is among the first of a crash."""
        self._passed = {
            passed: at
            for passed, at in self._passed.items()
            if now - at < PASSED_LOSS_S
        }
        if target in self._passed or len(self._passed) >= PASSED_LOSSES:
            return False
        self._passed[target] = now
        return True

    def _schedule(self) -> None:
        if not self._scheduled and self._transport is not None:
            self._scheduled = True
            asyncio.get_running_loop().call_later(
                COALESCE_S, self._send_changes
            )

    def _send_changes(self) -> None:
        self._scheduled = False
        if self._budget.allows(self._clock()):
            self._send_loads()
        elif self._changed:
            # Kept until the budget allows it; only the newest load counts.
            self._metrics.count("loads_put_off_total")

    def _send_loads(self) -> None:
        """Tell the homes what has changed."""
        now = self._clock()
        by_home = self._group(list(self._changed.values()), now)
        self._changed.clear()
        for found in by_home.values():
            home = self._homes.home_of(found[0], now)
            assert home is not None
            for start in range(0, len(found), TARGETS_PER_DATAGRAM):
                part = found[start : start + TARGETS_PER_DATAGRAM]
                self._report(home, part, now)

    def _report(
        self,
        home: registries.InstanceEntry,
        part: Sequence[targets.ListedTarget],
        now: float,
    ) -> None:
        self._number += 1
        placed = {
            listed.id: self._loads.get(listed.id, (listed, 0.0))[1]
            for listed in part
        }
        report = loads.LoadReport(
            self._own, self._started_ms, self._number, placed
        )
        if home.id == self._own.id:
            self.ledger.apply(report, now)
        else:
            self.send([home], report)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            self._tick(self._clock())

    def _tick(self, now: float) -> None:
        self.known.refresh(now)
        self.ledger.expire(now)
        self.view.expire(now)
        moved = self._homes_epoch != self.known.epoch
        self._homes_epoch = self.known.epoch
        if moved or now - self._refreshed_at >= loads.REFRESH_S:
            self._refreshed_at = now
            for target, (listed, _) in self._loads.items():
                self._changed[target] = listed
        if self._budget.allows(now):
            due = self.known.due_beats(now)
            self.send(due, neighbours.Beat(self._own))
            self._send_loads()
        else:
            self._metrics.count("beats_put_off_total")
