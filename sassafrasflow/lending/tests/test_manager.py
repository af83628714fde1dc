"""Waiting for loans, and the messages between instances."""

import asyncio

import msgspec
import pytest

from sassafrasflow import ids
from sassafrasflow.admission.tests import virtual_loop
from sassafrasflow.gateway import decoding
from sassafrasflow.gateway import exchange
from sassafrasflow.gateway import loads
from sassafrasflow.gateway.tests import test_loads
from sassafrasflow.lending import manager
from sassafrasflow.lending import messages
from sassafrasflow.lending.tests import lending_fleet

SERVICE = lending_fleet.SERVICE
# Streams of one instance in 10 s, and instances of the fleet and of the data
# centre, on the heavy day.
STREAMS = 3
FLEET = 83
LOCAL = 14


def local_fleet():
    """Return the instances of a data centre, with 4 retries each."""
    fleet = lending_fleet.Fleet(LOCAL, slack_total=150 * LOCAL / FLEET)
    fleet.settle()
    for node in fleet.nodes.values():
        for _ in range(STREAMS):
            node.record_request()
        assert node.budget.remaining(fleet.now) == 4
    return fleet


async def carry(fleet, delay_s):
    """Deliver each message after a time, until cancelled."""
    while True:
        await asyncio.sleep(delay_s)
        fleet.deliver_all()


async def retry(node):
    """Return whether a lost stream gets a retry, as a session does it."""
    if node.budget.remaining(node.fleet.now) < 1:
        await node.manager.obtain(SERVICE)
    if not node.spend():
        return False
    node.manager.ask_ahead(SERVICE)
    return True


async def lose(fleet, node, count, delay_s=0.001):
    """Return for each of some lost streams whether it gets a retry."""
    carrier = asyncio.create_task(carry(fleet, delay_s))
    try:
        return await asyncio.gather(*(retry(node) for _ in range(count)))
    finally:
        carrier.cancel()


class TestWave:
    """Guard against streams that end while others have retries left.

    Load: a crash wave takes 6 streams of one instance at once; 31 streams of
    a day ended so while the fleet had 220 retries left.
    """

    @pytest.mark.parametrize("instance", range(LOCAL))
    def test_all_streams_of_one_instance_are_retried(self, instance):
        fleet = local_fleet()
        node = fleet.nodes[f"i{instance}"]
        assert all(virtual_loop.run(lose(fleet, node, 6)))

    def test_lenders_keep_half_and_their_next_retry(self):
        fleet = local_fleet()
        virtual_loop.run(lose(fleet, fleet.nodes["i0"], 12))
        others = [each for name, each in fleet.nodes.items() if name != "i0"]
        assert all(each.budget.remaining(fleet.now) >= 2 for each in others)

    def test_budget_of_the_data_centre_is_the_limit(self):
        fleet = local_fleet()
        results = virtual_loop.run(lose(fleet, fleet.nodes["i0"], 60))
        assert 6 <= sum(results) < 4 * LOCAL

    def test_wait_is_bounded_without_answers(self):
        """Load: the links of the data centre are cut."""
        fleet = local_fleet()
        node = fleet.nodes["i0"]

        async def measure():
            began = asyncio.get_running_loop().time()
            results = await lose(fleet, node, 6, delay_s=9.0)
            return results, asyncio.get_running_loop().time() - began

        results, took_s = virtual_loop.run(measure())
        assert sum(results) == 4
        assert took_s <= manager.MAX_WAIT_S + 1e-6

    def test_second_request_goes_to_other_lenders(self):
        fleet = local_fleet()
        node = fleet.nodes["i0"]
        while node.spend():
            pass
        virtual_loop.run(lose(fleet, node, 1, delay_s=9.0))
        asked = [receiver for _, receiver, _ in fleet.messages]
        assert len(asked) == len(set(asked)) == 6

    def test_stream_that_ends_while_it_waits_leaves_nothing(self):
        """Load: the caller disconnects, or the instance stops."""
        fleet = local_fleet()
        node = fleet.nodes["i0"]
        while node.spend():
            pass

        async def leave():
            waiting = asyncio.create_task(node.manager.obtain(SERVICE))
            await asyncio.sleep(0)
            waiting.cancel()
            await asyncio.wait([waiting])
            return waiting.cancelled()

        assert virtual_loop.run(leave())
        assert not node.manager._waiting
        fleet.deliver_all()
        fleet.pass_time(2.1)
        fleet.deliver_all()
        remaining = [
            each.budget.remaining(fleet.now) for each in fleet.nodes.values()
        ]
        assert remaining == [0] + [4] * (LOCAL - 1)


class TestTraffic:
    """Guard against datagrams that nobody needs, and against false ones."""

    def test_calm_fleet_sends_nothing(self):
        fleet = local_fleet()
        node = fleet.nodes["i0"]
        for _ in range(2):
            assert node.spend()
            node.manager.ask_ahead(SERVICE)
        assert fleet.sent == 0

    def test_one_request_ahead_within_an_interval(self):
        fleet = local_fleet()
        node = fleet.nodes["i0"]
        while node.spend():
            node.manager.ask_ahead(SERVICE)
        for _ in range(10):
            node.manager.ask_ahead(SERVICE)
        assert fleet.sent == 3

    def test_request_of_another_data_centre_is_ignored(self):
        fleet = local_fleet()
        node = fleet.nodes["i0"]
        sender = msgspec.structs.replace(
            fleet.nodes["i1"].entry, data_centre=ids.DataCentre("south")
        )
        node.manager.handle(messages.LoanRequest(sender, 1, SERVICE, 2))
        assert node.budget.remaining(fleet.now) == 4
        assert fleet.sent == 0

    def test_nothing_is_asked_or_lent_without_byte_budget(self, monkeypatch):
        """Guard against a loan that is deducted and can't be sent."""
        fleet = local_fleet()
        node, sender = fleet.nodes["i0"], fleet.nodes["i1"].entry
        monkeypatch.setattr(
            lending_fleet.Channel, "may_send", lambda channel: False
        )
        node.manager.handle(messages.LoanRequest(sender, 1, SERVICE, 2))
        assert node.manager.ask(SERVICE, 9) is None
        assert node.budget.remaining(fleet.now) == 4
        assert fleet.sent == 0

    def test_unknown_service_creates_no_budget(self):
        fleet = local_fleet()
        node, sender = fleet.nodes["i0"], fleet.nodes["i1"].entry
        other = ids.ServiceName("other")
        node.manager.handle(messages.LoanRequest(sender, 1, other, 2))
        assert fleet.sent == 0

    def test_grant_beyond_the_request_is_cut(self):
        fleet = local_fleet()
        node = fleet.nodes["i0"]
        while node.spend():
            pass
        node.manager.ask(SERVICE, 2)
        request = fleet.messages[0]
        grant = messages.LoanGrant(
            request[1], request[2].number, SERVICE, 1_000_000
        )
        node.manager.handle(grant)
        assert node.budget.remaining(fleet.now) == request[2].amount


class TestOtherBuilds:
    """Guard against messages that builds without lending can't ignore."""

    MESSAGES = (
        messages.LoanRequest(test_loads.entry(1), 2**53 - 1, SERVICE, 16),
        messages.LoanGrant(ids.InstanceId("e"), 2**53 - 1, SERVICE, 16),
        messages.LoanReturn(ids.InstanceId("e"), 2**53 - 1, SERVICE, 16),
    )

    @pytest.mark.parametrize("message", MESSAGES)
    def test_message_is_read_by_this_build_only(self, message):
        content = msgspec.msgpack.encode(message)
        assert len(content) < 150
        read = msgspec.msgpack.decode(content, type=exchange.Message)
        assert read == message
        former = msgspec.msgpack.Decoder(
            loads.LoadReport | loads.LoadQuery | loads.LoadAnswer
        )
        with pytest.raises(ValueError, match="Invalid value"):
            # Counted as rejected, without further effect.
            decoding.decode(former.decode, content)

    @pytest.mark.parametrize("amount", [-1, 2**60, 1.5, "1"])
    def test_amount_out_of_range_is_rejected(self, amount):
        content = msgspec.msgpack.encode(["lend", "e", 1, SERVICE, amount])
        with pytest.raises(ValueError, match=r"\$\[4\]"):
            msgspec.msgpack.decode(content, type=exchange.Message)
