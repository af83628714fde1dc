"""Loads that few instances know, at any size of the fleet."""

import asyncio
import collections

import msgspec
import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import exchange
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import registry
from sassafrasflow.gateway import relay
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway.tests import test_targets

ZONES = [ids.DataCentre(f"zone-{number}") for number in range(9)]


def entry(number, zones=6) -> registry.InstanceEntry:
    """Return the entry of an instance."""
    return registry.InstanceEntry(
        ids.InstanceId(f"entry-{number}"),
        f"10.0.{number // 250}.{number % 250}",
        7200,
        ZONES[number % zones],
    )


def engine(number, zones=6) -> targets.ListedTarget:
    """Return the entry of an engine."""
    return test_targets.listed(f"e{number}", data_centre=ZONES[number % zones])


def know_all(own, count, now=0.0) -> peer_table.PeerTable:
    """Return what an instance knows of a whole fleet."""
    known = peer_table.PeerTable(own)
    for number in range(count):
        known.add(entry(number), now)
    return known


def report(sender=1, number=1, *, started_ms=1, **placed):
    """Return what an instance has placed."""
    return loads.LoadReport(entry(sender), started_ms, number, placed)


class TestNeighbours:
    """Word of life costs the same at any size."""

    @pytest.mark.parametrize("count", [7, 76, 195, 1000])
    def test_beats_a_second_are_bounded(self, count):
        known = know_all(entry(0), count)
        sent = collections.Counter()
        known.due_heartbeats(0.0)
        for second in range(1, 61):
            sent.update(
                each.id for each in known.due_heartbeats(float(second))
            )
        assert sum(sent.values()) <= 60 * 2 * peer_table.HEARTBEATS_PER_S
        assert entry(0).id not in sent

    @pytest.mark.parametrize("count", [7, 76, 195, 1000])
    def test_everybody_hears_before_they_forget(self, count):
        """A live instance is never taken for gone."""
        known = know_all(entry(0), count)
        last = {entry(number).id: 0.0 for number in range(1, count)}
        longest = collections.Counter()
        known.due_heartbeats(0.0)
        for second in range(1, 601):
            for each in known.due_heartbeats(float(second)):
                beside = each.data_centre == entry(0).data_centre
                gap = second - last[each.id]
                longest[beside] = max(longest[beside], gap)
                last[each.id] = second
        for beside, gap in longest.items():
            allowed = peer_table.MISSED_HEARTBEATS * known._period_s(beside)
            # Two beats in a row may be lost.
            assert 2 * gap <= allowed

    def test_silent_instance_is_gone(self):
        known = know_all(entry(0), 7)
        assert len(known.live(12.0)) == 6
        known.record_contact_by_id(entry(1).id, 10.0)
        assert known.live(20.0) == [entry(1)]

    def test_doubt_ends_with_a_word_or_in_time(self):
        known = know_all(entry(0), 13)
        beside = entry(6)
        known.mark_doubtful(beside.id, 1.0)
        assert beside not in known.eligible_owners(ZONES[0], 1.0)
        known.record_contact_by_id(beside.id, 1.5)
        assert beside in known.eligible_owners(ZONES[0], 1.5)
        known.mark_doubtful(beside.id, 2.0)
        known.expire_doubts(2.0 + peer_table.DOUBTFUL_S)
        assert beside in known.eligible_owners(
            ZONES[0], 2.0 + peer_table.DOUBTFUL_S
        )

    def test_restart_at_another_address_is_noticed(self):
        known = know_all(entry(0), 7)
        moved = msgspec.structs.replace(entry(1), host="10.9.9.9")
        assert known.record_contact(moved, 1.0)
        assert not known.record_contact(moved, 1.1)
        assert moved in known.live(1.1)


class TestHomes:
    """All instances find the same owner, without talking about it."""

    def test_thousand_instances_agree(self):
        maps = [
            loads.OwnerMap(know_all(entry(number), 1000))
            for number in (0, 1, 500, 999)
        ]
        for number in range(200):
            owners = {found.owner_of(engine(number), 0.0).id for found in maps}
            assert len(owners) == 1

    def test_home_stands_beside_its_target(self):
        found = loads.OwnerMap(know_all(entry(0), 195))
        for number in range(59):
            listed = engine(number)
            owner = found.owner_of(listed, 0.0)
            assert owner.data_centre == listed.data_centre

    def test_work_is_spread(self):
        found = loads.OwnerMap(know_all(entry(0), 1000))
        counts = collections.Counter(
            found.owner_of(engine(number), 0.0).id for number in range(4000)
        )
        assert max(counts.values()) <= 16

    def test_lost_home_moves_only_its_targets(self):
        known = know_all(entry(0), 195)
        found = loads.OwnerMap(known)
        before = {n: found.owner_of(engine(n), 0.0).id for n in range(59)}
        gone = before[0]
        known.mark_doubtful(gone, 1.0)
        for number, owner in before.items():
            now_at = found.owner_of(engine(number), 1.0).id
            assert (now_at != owner) == (owner == gone)

    def test_data_centre_without_instances_has_no_home(self):
        found = loads.OwnerMap(know_all(entry(0, zones=2), 1))
        assert found.owner_of(engine(5), 0.0) is None


class TestLedger:
    """Soft state: late, lost and repeated datagrams do no lasting harm."""

    def test_loads_add_up_without_the_asker(self):
        ledger = loads.LoadTable()
        ledger.apply(report(1, e1=2.0), 0.0)
        ledger.apply(report(2, e1=1.5), 0.0)
        assert ledger.load_of("e1", entry(3).id, 0.0) == 3.5
        assert ledger.load_of("e1", entry(1).id, 0.0) == 1.5

    def test_change_replaces_one_target(self):
        ledger = loads.LoadTable()
        ledger.apply(report(e1=2.0, e2=1.0), 0.0)
        ledger.apply(report(number=2, e1=0.0), 0.1)
        assert ledger.load_of("e1", "me", 0.1) == 0.0
        assert ledger.load_of("e2", "me", 0.1) == 1.0

    def test_overtaken_report_is_ignored(self):
        ledger = loads.LoadTable()
        ledger.apply(report(number=5, e1=2.0), 0.0)
        ledger.apply(report(number=4, e1=0.0), 0.1)
        assert ledger.load_of("e1", "me", 0.1) == 2.0

    def test_restart_counts_anew(self):
        """The time of day may have been set back between two starts."""
        ledger = loads.LoadTable()
        ledger.apply(report(number=50, started_ms=5000, e1=2.0), 0.0)
        ledger.apply(report(number=1, started_ms=3000, e1=1.0), 0.1)
        assert ledger.load_of("e1", "me", 0.1) == 1.0

    def test_silent_instance_is_forgotten(self):
        ledger = loads.LoadTable()
        ledger.apply(report(e1=2.0), 0.0)
        ledger.expire(loads.REPORT_TTL_S + 1.0)
        assert ledger.load_of("e1", "me", loads.REPORT_TTL_S + 1.0) == 0.0
        ledger.expire(loads.REPORT_TTL_S + 2.0)
        assert not ledger.targets()

    def test_herd_that_asks_at_once_is_seen(self):
        """Load: callers of killed instances come to all others at once."""
        ledger = loads.LoadTable()
        for sender in range(8):
            ledger.record_query("e1", entry(sender).id, 0.0)
        others = ledger.load_of("e1", entry(0).id, 0.01)
        assert others == 7 * loads.PENDING_QUERY_LOAD
        later = ledger.load_of("e1", entry(0).id, loads.PENDING_QUERY_S + 0.01)
        assert later == 0.0

    def test_report_takes_the_place_of_its_question(self):
        ledger = loads.LoadTable()
        ledger.record_query("e1", entry(1).id, 0.0)
        ledger.apply(report(1, e1=3.0), 0.02)
        assert ledger.load_of("e1", "me", 0.02) == 3.0


class TestBudget:
    """What can wait keeps to its bytes a second."""

    def test_what_can_wait_is_bounded(self):
        budget = exchange.ByteBudget(0.0)
        sent = 0
        for step in range(6000):
            if budget.allows(step / 100):
                budget.spend(500)
                sent += 500
        allowed = exchange.BUDGET_BURST_BYTES
        allowed += 60 * exchange.BUDGET_BYTES_PER_S
        assert sent <= allowed + 500

    def test_what_is_urgent_makes_the_rest_wait(self):
        budget = exchange.ByteBudget(0.0)
        budget.spend(2 * int(exchange.BUDGET_BURST_BYTES))
        assert not budget.allows(1.0)
        assert budget.allows(9.0)


class Net(asyncio.DatagramTransport):
    """Carry datagrams between exchanges, in order and at once."""

    def __init__(self, count, zones=6) -> None:
        super().__init__()
        self.now = 0.0
        self.down: set[str] = set()
        self.sent: collections.Counter[str] = collections.Counter()
        self.lost: dict[str, list] = collections.defaultdict(list)
        self.exchanges: dict[str, exchange.PeerExchange] = {}
        self.directory = targets.Directory()
        self._queue: collections.deque = collections.deque()
        entries = [entry(number, zones) for number in range(count)]
        for own in entries:
            found = exchange.PeerExchange(
                own,
                1,
                lambda: self.now,
                telemetry.EventLog(own.id, fd=-1),
                telemetry.Metrics(),
                self.directory,
                self._lost_at(own.id),
                lambda message: None,
            )
            self.exchanges[own.id] = found
            for other in entries:
                found.peers.add(other, 0.0)
            found._transport = Wire(self, own)
        self._hosts = {each.host: each.id for each in entries}

    def _lost_at(self, name):
        return lambda target, at: self.lost[name].append(target)

    def carry(self, sender, host, content):
        self.sent[sender] += len(content)
        assert len(content) <= exchange.MAX_DATAGRAM_BYTES
        self._queue.append((sender, self._hosts[host], content))

    def settle(self):
        while self._queue:
            sender, receiver, content = self._queue.popleft()
            if not {sender, receiver} & self.down:
                self.exchanges[receiver].datagram_received(content, ("", 0))

    def pass_time(self, seconds):
        for _ in range(seconds):
            self.now += 1.0
            for name, found in self.exchanges.items():
                if name not in self.down:
                    found._tick(self.now)
            self.settle()


class Wire(asyncio.DatagramTransport):
    def __init__(self, net, own):
        super().__init__()
        self._net = net
        self._own = own

    def sendto(self, data, addr=None):
        self._net.carry(self._own.id, addr[0], data)

    def close(self):
        pass


class TestFleet:
    """Whole fleets in virtual time."""

    async def ask(self, net, asker, listed):
        """Let an instance ask about a target; return what it knows then."""
        found = net.exchanges[asker]
        asking = asyncio.create_task(
            found.query_loads([targets.Target(listed, 1)])
        )
        await asyncio.sleep(0)
        net.settle()
        await asking
        return found.load_of(listed.id)

    def place(self, net, instance, listed, load):
        net.exchanges[instance].set_load(listed, load)
        net.exchanges[instance]._flush()
        net.settle()

    async def test_asker_learns_what_others_placed(self):
        net = Net(30)
        listed = engine(3)
        self.place(net, "entry-1", listed, 3.0)
        self.place(net, "entry-8", listed, 1.0)
        assert await self.ask(net, "entry-20", listed) >= 4.0
        self.place(net, "entry-1", listed, 0.0)
        net.now += 1.0
        assert await self.ask(net, "entry-20", listed) == pytest.approx(
            1.0, abs=2 * loads.PENDING_QUERY_LOAD
        )

    async def test_next_home_learns_when_one_dies(self):
        net = Net(60)
        listed = engine(3)
        asker = net.exchanges["entry-2"]
        owner = asker._owners.owner_of(listed, 0.0)
        placer = "entry-1"
        self.place(net, placer, listed, 3.0)
        net.down.add(owner.id)
        for name, found in net.exchanges.items():
            if name != owner.id:
                found.peers.mark_doubtful(owner.id, net.now)
        net.pass_time(2)
        assert asker._owners.owner_of(listed, net.now).id != owner.id
        assert await self.ask(net, "entry-2", listed) >= 3.0

    async def test_home_that_does_not_answer_is_left(self):
        net = Net(60)
        listed = engine(3)
        owner = net.exchanges["entry-2"]._owners.owner_of(listed, 0.0)
        net.down.add(owner.id)
        for _ in range(exchange.MAX_MISSED_ANSWERS):
            await self.ask(net, "entry-2", listed)
        now_at = net.exchanges["entry-2"]._owners.owner_of(listed, net.now)
        assert now_at.id != owner.id

    async def test_lost_reports_are_told_again(self):
        net = Net(60)
        listed = engine(3)
        owner = net.exchanges["entry-2"]._owners.owner_of(listed, 0.0)
        net.down.add(owner.id)
        self.place(net, "entry-1", listed, 3.0)
        net.down.clear()
        net.pass_time(5)
        assert await self.ask(net, "entry-2", listed) >= 3.0

    async def test_more_targets_than_a_datagram_holds(self):
        """A full report above 59 targets was dropped."""
        net = Net(7, zones=1)
        found = net.exchanges["entry-1"]
        for number in range(300):
            found.set_load(engine(number, zones=1), 1.0)
        found._send_load_reports()
        net.settle()
        for number in range(300):
            listed = engine(number, zones=1)
            assert await self.ask(net, "entry-2", listed) >= 1.0

    async def test_loss_reaches_those_with_work_there(self):
        """Load: a dark crash of a data centre; 10 engines of 59."""
        net = Net(195)
        dying = [engine(number) for number in range(0, 59, 6)]
        for number, listed in enumerate(dying):
            self.place(net, f"entry-{number * 7 + 1}", listed, 1.0)
        net.sent.clear()
        finder = net.exchanges["entry-1"]
        finder.publish_loss(dying[0])
        net.settle()
        for number in range(1, 10):
            assert net.lost[f"entry-{number * 7 + 1}"]
        beside = [n for n in range(195) if n % 6 == 0]
        assert all(net.lost[f"entry-{number}"] for number in beside[1:])
        assert sum(net.sent.values()) < 195 * 100

    async def test_crash_is_not_told_once_an_engine(self):
        net = Net(195)
        dying = [engine(number) for number in range(0, 59, 6)]
        for number, listed in enumerate(dying):
            self.place(net, f"entry-{number * 7 + 1}", listed, 1.0)
        net.sent.clear()
        for number, listed in enumerate(dying):
            net.exchanges[f"entry-{number * 7 + 1}"].publish_loss(listed)
            net.settle()
        # Thrice told to 32 instances, and to those with work there.
        assert sum(net.sent.values()) < 100 * (10 + 10 * 3 * (32 + 10))

    @pytest.mark.parametrize("count", [195, 1000])
    async def test_bytes_do_not_grow_with_the_fleet(self, count):
        """A stream a second at each instance of the long-run target."""
        net = Net(count)
        engines = [engine(number) for number in range(count // 3)]
        net.pass_time(1)
        net.sent.clear()
        for second in range(10):
            for number in range(count):
                found = net.exchanges[f"entry-{number}"]
                listed = engines[(number * 7 + second) % len(engines)]
                self_asked = [
                    targets.Target(engines[(number + k) % len(engines)], 1)
                    for k in (1, 2)
                ]
                asking = asyncio.create_task(found.query_loads(self_asked))
                await asyncio.sleep(0)
                net.settle()
                await asking
                found.set_load(listed, 3.0)
                found._send_load_reports()
            net.settle()
            net.pass_time(1)
        rates = sorted(net.sent[f"entry-{n}"] / 10 for n in range(count))
        # Letter 1 allows 4 KB a second.
        assert rates[len(rates) // 2] <= 4096
        assert rates[-1] <= 2 * 4096

    async def test_reader_of_many_still_tells_its_loads(self):
        """A reader of a large data centre sends 10 KB of relays a second."""
        net = Net(195)
        listed = engine(3)
        reader = net.exchanges["entry-1"]
        changes = tuple(
            test_targets.change(n, test_targets.listed(f"i-{n:010}"))
            for n in range(20)
        )
        for number in range(10):
            word = relay.Relay("entry-1", number, number + 1, 1, changes, 1)
            reader.publish_relay(word)
            net.settle()
            net.pass_time(1)
        assert net.sent["entry-1"] > 10 * exchange.BUDGET_BYTES_PER_S
        self.place(net, "entry-1", listed, 3.0)
        assert await self.ask(net, "entry-2", listed) >= 3.0

    async def test_strange_datagrams_change_nothing(self):
        net = Net(7)
        found = net.exchanges["entry-1"]
        listed = engine(1)
        self.place(net, "entry-2", listed, 2.0)
        before = found.peers.epoch
        for content in (b"", b"\xff" * 40, b"\x93\xa4load\x01\x02"):
            found.datagram_received(content, ("1.2.3.4", 5))
        assert found.peers.epoch == before
        assert b"datagrams_rejected_total 3" in found._metrics.render([])
