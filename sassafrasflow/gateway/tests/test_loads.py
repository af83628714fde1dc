"""Owners, load reports and the exchange between peers at any fleet size."""

import asyncio
import collections
import functools

import msgspec
import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import byte_budget
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


def peers_of(own, count, now=0.0) -> peer_table.PeerTable:
    """Return the peer table of an instance that has added a whole fleet."""
    peers = peer_table.PeerTable(own)
    for number in range(count):
        peers.add(entry(number), now)
    return peers


def report(sender=1, number=1, *, started_ms=1, **placed):
    """Return a load report of an instance."""
    return loads.LoadReport(entry(sender), started_ms, number, placed)


class TestPeerTable:
    """Heartbeats cost the same at any size of the fleet."""

    @pytest.mark.parametrize("count", [7, 76, 195, 1000])
    def test_heartbeats_per_second_are_bounded(self, count):
        peers = peers_of(entry(0), count)
        sent = collections.Counter()
        peers.due_heartbeats(0.0)
        for second in range(1, 61):
            sent.update(
                each.id for each in peers.due_heartbeats(float(second))
            )
        assert sum(sent.values()) <= 60 * 2 * peer_table.HEARTBEATS_PER_S
        assert entry(0).id not in sent

    @pytest.mark.parametrize("count", [7, 76, 195, 1000])
    def test_heartbeats_come_within_the_timeout(self, count):
        """Guard against a live peer that counts as gone."""
        peers = peers_of(entry(0), count)
        last = {entry(number).id: 0.0 for number in range(1, count)}
        longest = collections.Counter()
        peers.due_heartbeats(0.0)
        for second in range(1, 601):
            for each in peers.due_heartbeats(float(second)):
                is_local = each.data_centre == entry(0).data_centre
                gap = second - last[each.id]
                longest[is_local] = max(longest[is_local], gap)
                last[each.id] = second
        for is_local, gap in longest.items():
            allowed = peer_table.MISSED_HEARTBEATS * peers._period_s(is_local)
            # Twice the longest gap has to fit into the timeout, as a heartbeat
            # may be lost.
            assert 2 * gap <= allowed

    def test_silent_peer_is_not_live(self):
        peers = peers_of(entry(0), 7)
        assert len(peers.live(12.0)) == 6
        peers.record_contact_by_id(entry(1).id, 10.0)
        assert peers.live(20.0) == [entry(1)]

    def test_doubtful_peer_is_trusted_after_a_message_or_in_time(self):
        peers = peers_of(entry(0), 13)
        peer = entry(6)
        peers.mark_doubtful(peer.id, 1.0)
        assert peer not in peers.eligible_owners(ZONES[0], 1.0)
        peers.record_contact_by_id(peer.id, 1.5)
        assert peer in peers.eligible_owners(ZONES[0], 1.5)
        peers.mark_doubtful(peer.id, 2.0)
        peers.expire_doubts(2.0 + peer_table.DOUBTFUL_S)
        assert peer in peers.eligible_owners(
            ZONES[0], 2.0 + peer_table.DOUBTFUL_S
        )

    def test_new_address_of_a_peer_is_noticed(self):
        peers = peers_of(entry(0), 7)
        moved = msgspec.structs.replace(entry(1), host="10.9.9.9")
        assert peers.record_contact(moved, 1.0)
        assert not peers.record_contact(moved, 1.1)
        assert moved in peers.live(1.1)


class TestOwnerMap:
    """All instances find the same owner without coordination."""

    def test_thousand_instances_find_the_same_owner(self):
        maps = [
            loads.OwnerMap(peers_of(entry(number), 1000))
            for number in (0, 1, 500, 999)
        ]
        for number in range(200):
            owners = {
                owner_map.owner_of(engine(number), 0.0).id
                for owner_map in maps
            }
            assert len(owners) == 1

    def test_owner_is_in_the_data_centre_of_its_target(self):
        owner_map = loads.OwnerMap(peers_of(entry(0), 195))
        for number in range(59):
            listed = engine(number)
            owner = owner_map.owner_of(listed, 0.0)
            assert owner.data_centre == listed.data_centre

    def test_owned_targets_are_spread(self):
        owner_map = loads.OwnerMap(peers_of(entry(0), 1000))
        counts = collections.Counter(
            owner_map.owner_of(engine(number), 0.0).id
            for number in range(4000)
        )
        assert max(counts.values()) <= 16

    def test_doubtful_owner_loses_only_its_own_targets(self):
        peers = peers_of(entry(0), 195)
        owner_map = loads.OwnerMap(peers)
        before = {n: owner_map.owner_of(engine(n), 0.0).id for n in range(59)}
        gone = before[0]
        peers.mark_doubtful(gone, 1.0)
        for number, owner in before.items():
            new_owner = owner_map.owner_of(engine(number), 1.0).id
            assert (new_owner != owner) == (owner == gone)

    def test_target_without_instances_in_its_data_centre_has_no_owner(self):
        owner_map = loads.OwnerMap(peers_of(entry(0, zones=2), 1))
        assert owner_map.owner_of(engine(5), 0.0) is None


class TestLoadTable:
    """Late, lost and repeated datagrams have no lasting effect."""

    def test_loads_add_up_without_the_querying_instance(self):
        table = loads.LoadTable()
        table.apply(report(1, e1=2.0), 0.0)
        table.apply(report(2, e1=1.5), 0.0)
        assert table.load_of("e1", entry(3).id, 0.0) == 3.5
        assert table.load_of("e1", entry(1).id, 0.0) == 1.5

    def test_report_changes_only_its_own_targets(self):
        table = loads.LoadTable()
        table.apply(report(e1=2.0, e2=1.0), 0.0)
        table.apply(report(number=2, e1=0.0), 0.1)
        assert table.load_of("e1", "me", 0.1) == 0.0
        assert table.load_of("e2", "me", 0.1) == 1.0

    def test_older_report_is_ignored(self):
        table = loads.LoadTable()
        table.apply(report(number=5, e1=2.0), 0.0)
        table.apply(report(number=4, e1=0.0), 0.1)
        assert table.load_of("e1", "me", 0.1) == 2.0

    def test_report_of_a_restarted_instance_is_accepted(self):
        """Guard against ignored reports of an instance after its restart.

        Its sequence numbers start again, and its start time may be smaller,
        as the clock may have been set back between the two incarnations.
        """
        table = loads.LoadTable()
        table.apply(report(number=50, started_ms=5000, e1=2.0), 0.0)
        table.apply(report(number=1, started_ms=3000, e1=1.0), 0.1)
        assert table.load_of("e1", "me", 0.1) == 1.0

    def test_load_of_a_silent_instance_expires(self):
        table = loads.LoadTable()
        table.apply(report(e1=2.0), 0.0)
        table.expire(loads.REPORT_TTL_S + 1.0)
        assert table.load_of("e1", "me", loads.REPORT_TTL_S + 1.0) == 0.0
        table.expire(loads.REPORT_TTL_S + 2.0)
        assert not table.targets()

    def test_queries_at_the_same_moment_count_as_load(self):
        """Guard against a herd that chooses the same target.

        When instances are killed, their callers come to all others at once.
        """
        table = loads.LoadTable()
        for sender in range(8):
            table.record_query("e1", entry(sender).id, 0.0)
        others = table.load_of("e1", entry(0).id, 0.01)
        assert others == 7 * loads.PENDING_QUERY_LOAD
        later = table.load_of("e1", entry(0).id, loads.PENDING_QUERY_S + 0.01)
        assert later == 0.0

    def test_report_replaces_the_pending_query(self):
        table = loads.LoadTable()
        table.record_query("e1", entry(1).id, 0.0)
        table.apply(report(1, e1=3.0), 0.02)
        assert table.load_of("e1", "me", 0.02) == 3.0


class TestByteBudget:
    """Datagrams that can wait keep to a number of bytes per second."""

    def test_datagrams_that_can_wait_are_bounded(self):
        budget = byte_budget.ByteBudget(0.0)
        sent = 0
        for step in range(6000):
            if budget.allows(step / 100):
                budget.spend(500)
                sent += 500
        allowed = byte_budget.BUDGET_BURST_BYTES
        allowed += 60 * byte_budget.BUDGET_BYTES_PER_S
        assert sent <= allowed + 500

    def test_urgent_datagrams_defer_the_others(self):
        budget = byte_budget.ByteBudget(0.0)
        budget.spend(2 * int(byte_budget.BUDGET_BURST_BYTES))
        assert not budget.allows(1.0)
        assert budget.allows(9.0)


class Net(asyncio.DatagramTransport):
    """Network that delivers datagrams between exchanges in order.

    Datagrams from or to an instance in ``down`` are dropped.
    """

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
            peer_exchange = exchange.PeerExchange(
                own,
                1,
                lambda: self.now,
                telemetry.EventLog(own.id, fd=-1),
                telemetry.Metrics(),
                self.directory,
                self._record_losses(own.id),
                lambda message: None,
                functools.partial(peer_table.Beat, own),
            )
            self.exchanges[own.id] = peer_exchange
            for other in entries:
                peer_exchange.peers.add(other, 0.0)
            peer_exchange._transport = Wire(self, own)
        self._hosts = {each.host: each.id for each in entries}

    def _record_losses(self, name):
        return lambda target, at: self.lost[name].append(target)

    def enqueue(self, sender, host, content):
        self.sent[sender] += len(content)
        assert len(content) <= exchange.MAX_DATAGRAM_BYTES
        self._queue.append((sender, self._hosts[host], content))

    def deliver_all(self):
        while self._queue:
            sender, receiver, content = self._queue.popleft()
            if not {sender, receiver} & self.down:
                self.exchanges[receiver].datagram_received(content, ("", 0))

    def advance(self, seconds):
        for _ in range(seconds):
            self.now += 1.0
            for name, peer_exchange in self.exchanges.items():
                if name not in self.down:
                    peer_exchange._tick(self.now)
            self.deliver_all()


class Wire(asyncio.DatagramTransport):
    """Transport of one instance in a :class:`Net`."""

    def __init__(self, net, own):
        super().__init__()
        self._net = net
        self._own = own

    def sendto(self, data, addr=None):
        self._net.enqueue(self._own.id, addr[0], data)

    def close(self):
        pass


class TestFleet:
    """Exchanges of whole fleets, in virtual time."""

    async def query(self, net, querying, listed):
        """Query the load of a target from an instance; return the result."""
        peer_exchange = net.exchanges[querying]
        query = asyncio.create_task(
            peer_exchange.query_loads([targets.Target(listed, 1)])
        )
        await asyncio.sleep(0)
        net.deliver_all()
        await query
        return peer_exchange.load_of(listed.id)

    def place(self, net, instance, listed, load):
        net.exchanges[instance].set_load(listed, load)
        net.exchanges[instance]._flush()
        net.deliver_all()

    async def test_query_returns_the_load_that_others_place(self):
        net = Net(30)
        listed = engine(3)
        self.place(net, "entry-1", listed, 3.0)
        self.place(net, "entry-8", listed, 1.0)
        assert await self.query(net, "entry-20", listed) >= 4.0
        self.place(net, "entry-1", listed, 0.0)
        net.now += 1.0
        assert await self.query(net, "entry-20", listed) == pytest.approx(
            1.0, abs=2 * loads.PENDING_QUERY_LOAD
        )

    async def test_next_owner_gets_the_loads_when_an_owner_crashes(self):
        net = Net(60)
        listed = engine(3)
        querying = net.exchanges["entry-2"]
        owner = querying._owners.owner_of(listed, 0.0)
        placer = "entry-1"
        self.place(net, placer, listed, 3.0)
        net.down.add(owner.id)
        for name, peer_exchange in net.exchanges.items():
            if name != owner.id:
                peer_exchange.peers.mark_doubtful(owner.id, net.now)
        net.advance(2)
        assert querying._owners.owner_of(listed, net.now).id != owner.id
        assert await self.query(net, "entry-2", listed) >= 3.0

    async def test_owner_that_does_not_answer_is_replaced(self):
        net = Net(60)
        listed = engine(3)
        owner = net.exchanges["entry-2"]._owners.owner_of(listed, 0.0)
        net.down.add(owner.id)
        for _ in range(exchange.MAX_MISSED_ANSWERS):
            await self.query(net, "entry-2", listed)
        new_owner = net.exchanges["entry-2"]._owners.owner_of(listed, net.now)
        assert new_owner.id != owner.id

    async def test_lost_reports_are_sent_again(self):
        net = Net(60)
        listed = engine(3)
        owner = net.exchanges["entry-2"]._owners.owner_of(listed, 0.0)
        net.down.add(owner.id)
        self.place(net, "entry-1", listed, 3.0)
        net.down.clear()
        net.advance(5)
        assert await self.query(net, "entry-2", listed) >= 3.0

    async def test_report_of_more_targets_than_fit_into_a_datagram(self):
        """Guard against a report of many targets that is dropped as too large.

        Reports of more than 59 targets were dropped.
        """
        net = Net(7, zones=1)
        peer_exchange = net.exchanges["entry-1"]
        for number in range(300):
            peer_exchange.set_load(engine(number, zones=1), 1.0)
        peer_exchange._send_load_reports()
        net.deliver_all()
        for number in range(300):
            listed = engine(number, zones=1)
            assert await self.query(net, "entry-2", listed) >= 1.0

    async def test_loss_reaches_instances_with_work_in_the_data_centre(self):
        """Guard against work that is still sent to a crashed data centre.

        The crash silently ends 10 of 59 engines, and one instance detects it
        first.
        """
        net = Net(195)
        crashed = [engine(number) for number in range(0, 59, 6)]
        for number, listed in enumerate(crashed):
            self.place(net, f"entry-{number * 7 + 1}", listed, 1.0)
        net.sent.clear()
        observer = net.exchanges["entry-1"]
        observer.publish_loss(crashed[0])
        net.deliver_all()
        for number in range(1, 10):
            assert net.lost[f"entry-{number * 7 + 1}"]
        local = [n for n in range(195) if n % 6 == 0]
        assert all(net.lost[f"entry-{number}"] for number in local[1:])
        assert sum(net.sent.values()) < 195 * 100

    async def test_crash_is_not_forwarded_once_per_engine(self):
        net = Net(195)
        crashed = [engine(number) for number in range(0, 59, 6)]
        for number, listed in enumerate(crashed):
            self.place(net, f"entry-{number * 7 + 1}", listed, 1.0)
        net.sent.clear()
        for number, listed in enumerate(crashed):
            net.exchanges[f"entry-{number * 7 + 1}"].publish_loss(listed)
            net.deliver_all()
        # Three losses are forwarded to 32 local peers and to the instances
        # with work in the data centre.
        assert sum(net.sent.values()) < 100 * (10 + 10 * 3 * (32 + 10))

    @pytest.mark.parametrize("count", [195, 1000])
    async def test_bytes_do_not_grow_with_the_fleet(self, count):
        """Each instance of the fleet places one stream a second."""
        net = Net(count)
        engines = [engine(number) for number in range(count // 3)]
        net.advance(1)
        net.sent.clear()
        for second in range(10):
            for number in range(count):
                peer_exchange = net.exchanges[f"entry-{number}"]
                listed = engines[(number * 7 + second) % len(engines)]
                queried = [
                    targets.Target(engines[(number + k) % len(engines)], 1)
                    for k in (1, 2)
                ]
                query = asyncio.create_task(peer_exchange.query_loads(queried))
                await asyncio.sleep(0)
                net.deliver_all()
                await query
                peer_exchange.set_load(listed, 3.0)
                peer_exchange._send_load_reports()
            net.deliver_all()
            net.advance(1)
        rates = sorted(net.sent[f"entry-{n}"] / 10 for n in range(count))
        # The requirements allow 4 KB a second.
        assert rates[len(rates) // 2] <= 4096
        assert rates[-1] <= 2 * 4096

    async def test_reader_of_a_large_data_centre_still_reports_its_loads(self):
        """Guard against relays that use up the byte budget for loads.

        The reader of a large data centre sends 10 KB of relays a second.
        """
        net = Net(195)
        listed = engine(3)
        reader = net.exchanges["entry-1"]
        changes = tuple(
            test_targets.change(n, test_targets.listed(f"i-{n:010}"))
            for n in range(20)
        )
        for number in range(10):
            message = relay.Relay("entry-1", number, number + 1, 1, changes, 1)
            reader.publish_relay(message)
            net.deliver_all()
            net.advance(1)
        assert net.sent["entry-1"] > 10 * byte_budget.BUDGET_BYTES_PER_S
        self.place(net, "entry-1", listed, 3.0)
        assert await self.query(net, "entry-2", listed) >= 3.0

    async def test_malformed_datagrams_change_nothing(self):
        net = Net(7)
        peer_exchange = net.exchanges["entry-1"]
        listed = engine(1)
        self.place(net, "entry-2", listed, 2.0)
        before = peer_exchange.peers.epoch
        for content in (b"", b"\xff" * 40, b"\x93\xa4load\x01\x02"):
            peer_exchange.datagram_received(content, ("1.2.3.4", 5))
        assert peer_exchange.peers.epoch == before
        assert b"datagrams_rejected_total 3" in peer_exchange._metrics.render(
            []
        )
