"""Work in load reports, queries and answers, with both builds."""

import asyncio

import msgspec
import pytest

from sassafrasflow import ids
from sassafrasflow.admission import room
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import exchange
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import registry
from sassafrasflow.gateway import targets
from sassafrasflow.gateway.tests import test_loads

E1 = ids.TargetId("e1")
MEMORY_UNITS = 1375
STREAM = loads.TargetWork.of_tokens(8_980, 8_200, 1)


class FormerReport(msgspec.Struct, array_like=True, tag="load"):
    """Load report of the former build."""

    sender: registry.InstanceEntry
    started_ms: decoding.Int
    number: decoding.Int
    loads: dict[ids.TargetId, decoding.Number]


class FormerQuery(msgspec.Struct, array_like=True, tag="ask"):
    """Load query of the former build."""

    sender: registry.InstanceEntry
    number: decoding.Int
    targets: tuple[ids.TargetId, ...]


class FormerLoad(msgspec.Struct, array_like=True):
    """Load of a target in an answer of the former build."""

    id: ids.TargetId
    load: decoding.Number
    lost_ms: decoding.Int = -1


class FormerAnswer(msgspec.Struct, array_like=True, tag="told"):
    """Answer of the former build."""

    sender: ids.InstanceId
    number: decoding.Int
    loads: tuple[FormerLoad, ...]


FORMER = {
    loads.LoadReport: FormerReport,
    loads.LoadQuery: FormerQuery,
    loads.LoadAnswer: FormerAnswer,
}


def convert(message, kind):
    """Return what a build reads from a message of the other one."""
    content = msgspec.msgpack.encode(message)
    return msgspec.msgpack.decode(content, type=kind)


def report(sender, number, work, load=3.0):
    """Return a load report on one target."""
    return loads.LoadReport(
        test_loads.entry(sender), 1, number, {"e1": load}, work
    )


class TestWork:
    """Owners add up tokens as they do loads."""

    def test_units_are_rounded_up(self):
        """Guard against engines that are asked for a little too much."""
        assert STREAM.used_tokens >= 8_980
        assert STREAM.used_tokens - 8_980 < loads.TOKENS_PER_UNIT

    def test_work_adds_up_without_the_querying_instance(self):
        table = loads.LoadTable()
        table.apply(report(1, 1, (STREAM,)), 0.0)
        table.apply(report(2, 1, (STREAM,)), 0.0)
        me = test_loads.entry(2).id
        assert table.work_of("e1", me, 0.0) == STREAM
        assert table.work_of("e1", "other", 0.0).streams == 2

    def test_sum_stays_within_the_bounds_of_a_message(self):
        """Guard against answers that their receivers reject."""
        table = loads.LoadTable()
        huge = loads.TargetWork(decoding.MAX_COUNT, decoding.MAX_COUNT, 1)
        table.apply(report(1, 1, (huge,)), 0.0)
        table.apply(report(2, 1, (huge,)), 0.0)
        answer = loads.TargetLoad("e1", 6.0, -1, table.work_of("e1", "x", 0))
        assert convert(answer, loads.TargetLoad) == answer

    def test_work_of_a_silent_instance_expires(self):
        table = loads.LoadTable()
        table.apply(report(1, 1, (STREAM,)), 0.0)
        table.record_query("e1", "i", 0.0, STREAM, MEMORY_UNITS)
        later = loads.REPORT_TTL_S + 1.0
        table.expire(later)
        assert table.work_of("e1", "me", later) == loads.NO_WORK
        assert not table._pending_work


class TestPendingQueries:
    """Guard against a herd that takes the last room of one engine.

    When instances are killed, their callers come to all others at once.
    """

    def test_second_query_sees_the_first_stream(self):
        table = loads.LoadTable()
        table.record_query("e1", "i1", 0.0, STREAM, MEMORY_UNITS)
        second = table.work_of("e1", "i2", 0.001)
        assert second.used_tokens == STREAM.used_tokens
        assert second.streams == 1
        assert table.work_of("e1", "i1", 0.001) == loads.NO_WORK
        later = loads.PENDING_QUERY_S + 0.01
        assert table.work_of("e1", "i2", later) == loads.NO_WORK

    def test_stream_that_does_not_fit_is_not_pending(self):
        """Guard against waiting streams that keep each other from room."""
        table = loads.LoadTable()
        full = loads.TargetWork(MEMORY_UNITS - 100, 0, 9)
        table.apply(report(1, 1, (full,)), 0.0)
        for number in range(20):
            table.record_query("e1", f"w{number}", 0.0, STREAM, MEMORY_UNITS)
        assert table.work_of("e1", "me", 0.001) == full

    def test_report_for_another_stream_leaves_it_pending(self):
        """Guard against two streams in the room for one."""
        table = loads.LoadTable()
        sender = test_loads.entry(1).id
        table.record_query("e1", sender, 0.0, STREAM, MEMORY_UNITS)
        table.apply(report(1, 1, (loads.NO_WORK,), load=0.0), 0.01)
        assert table.work_of("e1", "me", 0.02) == STREAM_PENDING


STREAM_PENDING = msgspec.structs.replace(
    STREAM,
    prefill_units=round(loads.PENDING_QUERY_PREFILL * STREAM.prefill_units),
)


class TestFormerBuild:
    """Both builds understand each other during an upgrade."""

    @pytest.mark.parametrize(
        "message",
        [
            report(1, 1, (STREAM,)),
            loads.LoadQuery(
                test_loads.entry(1), 1, (E1,), STREAM, MEMORY_UNITS
            ),
            loads.LoadAnswer(
                test_loads.entry(1).id,
                1,
                (loads.TargetLoad(E1, 1.0, -1, STREAM),),
            ),
        ],
    )
    def test_it_reads_the_messages_of_this_build(self, message):
        former = convert(message, FORMER[type(message)])
        back = convert(former, type(message))
        for field in former.__struct_fields__:
            if field != "loads" or isinstance(former, FormerReport):
                assert getattr(back, field) == getattr(message, field)

    def test_its_report_leaves_the_work_unknown(self):
        """Guard against work that counts as none since it has no tokens."""
        table = loads.LoadTable()
        former = FormerReport(test_loads.entry(1), 1, 1, {"e1": 3.0})
        table.apply(convert(former, loads.LoadReport), 0.0)
        assert table.load_of("e1", "me", 0.0) == 3.0
        assert table.work_of("e1", "me", 0.0) is None
        former = FormerReport(test_loads.entry(1), 1, 2, {"e1": 0.0})
        table.apply(convert(former, loads.LoadReport), 0.1)
        assert table.work_of("e1", "me", 0.1) == loads.NO_WORK

    def test_its_answer_leaves_the_work_unknown(self):
        cache = loads.LoadCache()
        former = FormerAnswer("i", 1, (FormerLoad("e1", 3.0),))
        cache.record_answers(convert(former, loads.LoadAnswer).loads, 0.0)
        assert cache.figures_of("e1", 0.0) == loads.PeerFigures(3.0, None, 0.0)

    def test_its_query_is_answered_and_counts_no_tokens(self):
        table = loads.LoadTable()
        former = FormerQuery(test_loads.entry(1), 1, ("e1",))
        query = convert(former, loads.LoadQuery)
        table.record_query(
            "e1", query.sender.id, 0.0, query.work, query.memory_units
        )
        assert table.work_of("e1", "me", 0.0) == loads.NO_WORK
        assert table.load_of("e1", "me", 0.0) == loads.PENDING_QUERY_LOAD


class TestExchange:
    """Figures of whole fleets, in virtual time."""

    async def query(self, net, name, listed):
        """Query a target from an instance; return the figures."""
        peer_exchange = net.exchanges[name]
        query = asyncio.create_task(
            peer_exchange.query_loads(
                [targets.Target(listed, 1)], STREAM, MEMORY_UNITS
            )
        )
        await asyncio.sleep(0)
        net.deliver_all()
        await query
        return peer_exchange.figures_of(listed)

    def place(self, net, name, listed, work):
        net.exchanges[name].set_load(listed, 3.0, work)
        net.exchanges[name]._flush()
        net.deliver_all()

    async def test_query_returns_the_work_of_others(self):
        net = test_loads.Net(30)
        listed = test_loads.engine(3)
        self.place(net, "entry-1", listed, STREAM)
        self.place(net, "entry-20", listed, STREAM)
        figures = await self.query(net, "entry-20", listed)
        assert figures.work == STREAM
        assert figures.age_s == 0.0
        net.now += loads.ANSWER_TTL_S + 0.1
        aged = net.exchanges["entry-20"].figures_of(listed)
        assert aged.age_s == room.UNKNOWN_AGE_S

    async def test_owner_dies(self):
        """The next owner gets the work again; until then none is known."""
        net = test_loads.Net(60)
        listed = test_loads.engine(3)
        owner = net.exchanges["entry-2"]._owners.owner_of(listed, 0.0)
        self.place(net, "entry-1", listed, STREAM)
        net.down.add(owner.id)
        figures = await self.query(net, "entry-2", listed)
        assert figures == loads.PeerFigures(0.0)
        for name, peer_exchange in net.exchanges.items():
            if name != owner.id:
                peer_exchange.peers.mark_doubtful(owner.id, net.now)
        net.advance(2)
        figures = await self.query(net, "entry-2", listed)
        assert figures.work == STREAM

    async def test_report_of_many_targets_fits_into_datagrams(self):
        """Guard against reports that are dropped as too large."""
        net = test_loads.Net(7, zones=1)
        work = loads.TargetWork(65_535, 65_535, 255)
        for number in range(300):
            listed = test_loads.engine(number, zones=1)
            net.exchanges["entry-1"].set_load(listed, 12.35, work)
        # Datagrams that are too large would be dropped by send().
        net.exchanges["entry-1"]._send_load_reports()
        net.deliver_all()
        for number in range(0, 300, 50):
            listed = test_loads.engine(number, zones=1)
            figures = await self.query(net, "entry-2", listed)
            assert figures.work.used_units >= 65_535

    def test_a_full_report_is_within_the_size_of_a_datagram(self):
        """Guard against reports on targets with long ids that are dropped."""
        names = [
            f"engine-{number:013}"
            for number in range(exchange.TARGETS_PER_DATAGRAM)
        ]
        work = loads.TargetWork(65_535, 65_535, 255)
        message = loads.LoadReport(
            test_loads.entry(1),
            2**48,
            2**31,
            dict.fromkeys(names, 12.35),
            (work,) * len(names),
        )
        size = len(msgspec.msgpack.encode(message))
        assert size <= exchange.MAX_DATAGRAM_BYTES
