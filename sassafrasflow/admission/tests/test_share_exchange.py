"""Shares over many instances, without a network, and their failures."""

import asyncio

import msgspec
import pytest

from sassafrasflow import ids
from sassafrasflow.admission import share_exchange
from sassafrasflow.admission import share_messages
from sassafrasflow.admission import share_table
from sassafrasflow.admission import shares
from sassafrasflow.admission.tests import share_net
from sassafrasflow.admission.tests import virtual_loop
from sassafrasflow.gateway import exchange
from sassafrasflow.gateway import loads

CHAT = ids.ServiceName("chat")
STREAM = 8980
LARGE = ids.OrganisationId("large")
SMALL = ids.OrganisationId("small")
INSTANCES = 24
DATA_CENTRES = 3


class Fleet(share_net.ShareNet):
    """Instances whose streams a test sets."""

    def __init__(self, count=INSTANCES) -> None:
        loop = asyncio.get_running_loop()
        super().__init__(count, DATA_CENTRES, loop.time)

    def place(self, number, organisation, running=0, waiting=0) -> None:
        """Add streams to an instance."""
        each = self.shares[number]
        for _ in range(running):
            each.add_used(CHAT, organisation, STREAM)
        each.add_waiting(CHAT, organisation, STREAM * waiting)

    async def wait(self, seconds, *, waiting=range(INSTANCES)) -> None:
        """Let time pass while streams wait at some instances."""
        for _ in range(round(seconds / 0.25)):
            for number in waiting:
                self.shares[number].record_long_wait()
            await asyncio.sleep(0.25)

    def standings(self, organisation) -> list[shares.Standing]:
        return [
            each.standing_of(CHAT, organisation)
            for number, each in enumerate(self.shares)
            if number not in self.down
        ]

    def owner_of(self, organisation, centre=0) -> int:
        """Return the owner of an organisation in a data centre."""
        owner = loads.choose_owner(
            f"share/{organisation}", self.entries[centre::DATA_CENTRES]
        )
        assert owner is not None
        return owner.port

    def overload(self) -> None:
        """Let each instance run streams of one, and one hold those of all."""
        for number in range(len(self.shares)):
            self.place(number, LARGE, running=8, waiting=2)
            if number % 2:
                self.place(number, SMALL, running=1, waiting=1)


def simulate(test):
    """Run a test on a fleet in virtual time."""

    def run(self, *args, **named):
        async def simulation():
            fleet = Fleet()
            fleet.start()
            try:
                await test(self, fleet, *args, **named)
            finally:
                await fleet.close()

        virtual_loop.run(simulation())

    run.__doc__ = test.__doc__
    return run


def rejected(fleet, number, reason) -> bool:
    text = fleet.metrics[number].render([]).decode()
    return f'share_reports_rejected_total{{reason="{reason}"}}' in text


class TestExchange:
    """Guard against an overload that no single instance notices."""

    @simulate
    async def test_all_instances_learn_who_exceeds_its_share(self, fleet):
        fleet.overload()
        await fleet.wait(8.0)
        assert set(fleet.standings(LARGE)) == {shares.Standing.OVER}
        assert set(fleet.standings(SMALL)) == {shares.Standing.UNDER}

    @simulate
    async def test_one_waiting_stream_makes_all_report(self, fleet):
        """Guard against use that instances without a waiting stream hide."""
        fleet.overload()
        await fleet.wait(20.0, waiting=[0])
        assert set(fleet.standings(LARGE)) == {shares.Standing.OVER}

    @simulate
    async def test_calm_fleet_sends_nothing(self, fleet):
        """Guard against bytes that a fleet without waiting streams sends."""
        for number in range(INSTANCES):
            fleet.place(number, LARGE, running=8)
        await fleet.wait(30.0, waiting=())
        assert not fleet.sent

    @simulate
    async def test_messages_end_after_the_last_wait(self, fleet):
        """Guard against instances that keep each other active."""
        fleet.overload()
        await fleet.wait(8.0)
        assert fleet.sent
        for number in range(INSTANCES):
            fleet.place(number, LARGE, waiting=-2)
        await fleet.wait(3 * share_exchange.ACTIVE_S, waiting=())
        sent = dict(fleet.sent)
        await fleet.wait(30.0, waiting=())
        assert fleet.sent == sent

    @simulate
    async def test_bytes_are_bounded(self, fleet):
        """An instance may send 4,096 bytes a second; 24 organisations wait."""
        for number in range(INSTANCES):
            for other in range(24):
                fleet.place(number, ids.OrganisationId(f"o{other}"), 3, 1)
        await fleet.wait(60.0)
        assert max(fleet.sent.values()) / 60 < 2048

    @simulate
    async def test_spent_byte_budget_defers_the_messages(self, fleet):
        fleet.overload()
        for peer_exchange in fleet.exchanges:
            peer_exchange._budget.spend(10**6)
        await fleet.wait(4.0)
        assert not fleet.sent
        text = fleet.metrics[0].render([]).decode()
        assert "shares_put_off_total" in text
        await fleet.wait(16.0)
        assert fleet.sent

    @simulate
    async def test_changes_are_logged_once(self, fleet):
        fleet.overload()
        await fleet.wait(30.0)
        lines = [
            line
            for line in fleet.logs[0].lines
            if line["event"] == "share_changed"
        ]
        assert len(lines) == 1 and lines[0]["exceeded"]

    def test_long_names_fit_into_datagrams(self):
        """Guard against reports that are dropped as too large."""
        usages = {
            (CHAT, ids.OrganisationId(f"{n:0200}")): shares.Usage(2**50, 2**50)
            for n in range(40)
        }
        for amounts in share_exchange._split(usages):
            message = share_messages.ShareReport(
                ids.InstanceId("i" * 200), 2**50, amounts
            )
            size = len(msgspec.msgpack.encode(message))
            assert size <= exchange.MAX_DATAGRAM_BYTES


class TestFailures:
    """What happens when an owner, a link or a process fails."""

    @simulate
    async def test_owner_dies(self, fleet):
        """Own knowledge decides until the next owner has reports."""
        fleet.overload()
        await fleet.wait(8.0)
        owner = fleet.owner_of(LARGE)
        local = [n for n in range(INSTANCES) if n % DATA_CENTRES == 0]
        fleet.down.add(owner)
        for peer_exchange in fleet.exchanges:
            peer_exchange.peers.mark_doubtful(
                fleet.entries[owner].id, peer_exchange._clock()
            )
        fleet.exchanges[owner].peers._peer_by_id.clear()
        await fleet.wait(20.0)
        for number in local:
            if number != owner:
                standing = fleet.shares[number].standing_of(CHAT, LARGE)
                assert standing is shares.Standing.OVER

    @simulate
    async def test_link_between_data_centres_is_cut(self, fleet):
        """The last sums expire; then the data centre's own sums decide."""
        for number in range(INSTANCES):
            if number % DATA_CENTRES == 0:
                fleet.place(number, LARGE, running=2, waiting=1)
                fleet.place(number, SMALL, running=2, waiting=1)
            else:
                fleet.place(number, LARGE, running=9)
        await fleet.wait(8.0)
        first = fleet.shares[0]
        assert first.standing_of(CHAT, LARGE) is shares.Standing.OVER
        fleet.is_cut = True
        await fleet.wait(share_table.FIGURES_TTL_S + 6.0)
        assert first.standing_of(CHAT, LARGE) is shares.Standing.EVEN

    @simulate
    async def test_starting_instance_knows_only_its_own_work(self, fleet):
        fleet.overload()
        started = share_exchange.ShareExchange(
            fleet.entries[0].id,
            lambda: True,
            asyncio.get_running_loop().time,
            fleet.logs[0],
            fleet.metrics[0],
            fleet.shares[0]._rng,
        )
        started.add_used(CHAT, LARGE, STREAM)
        started.add_waiting(CHAT, LARGE, STREAM)
        assert started.standing_of(CHAT, LARGE) is shares.Standing.EVEN
        assert started.standing_of(CHAT, SMALL) is shares.Standing.EVEN

    @simulate
    async def test_suspended_process_forgets_its_figures(self, fleet):
        """Guard against an order by figures from before a suspension."""
        fleet.overload()
        await fleet.wait(8.0)
        each = fleet.shares[0]
        assert each.standing_of(CHAT, LARGE) is shares.Standing.OVER
        fleet.ahead_s[0] += 3.0
        assert each.standing_of(CHAT, LARGE) is shares.Standing.EVEN
        message = share_messages.ShareTotals(
            fleet.entries[3].id,
            0,
            (share_messages.ShareAmount(CHAT, SMALL, 1, 1),),
        )
        each.handle(message)
        assert rejected(fleet, 0, "suspended")
        await fleet.wait(8.0)
        assert each.standing_of(CHAT, LARGE) is shares.Standing.OVER

    @pytest.mark.parametrize(
        ("reason", "sender", "amount"),
        [
            ("range", 3, (CHAT, LARGE, 2**40, 0)),
            ("unknown_sender", None, (CHAT, LARGE, 1, 0)),
            ("wrong_data_centre", 1, (CHAT, LARGE, 1, 0)),
        ],
    )
    def test_odd_reports_are_ignored_and_counted(self, reason, sender, amount):
        @simulate
        async def handle(self, fleet):
            name = ids.InstanceId("nobody")
            if sender is not None:
                name = fleet.entries[sender].id
            message = share_messages.ShareReport(
                name, 0, (share_messages.ShareAmount(*amount),)
            )
            fleet.shares[0].handle(message)
            assert rejected(fleet, 0, reason)
            assert not len(fleet.shares[0]._table)
            await fleet.wait(6.0, waiting=())
            assert not fleet.sent

        handle(self)

    @simulate
    async def test_too_many_organisations_are_ignored_and_counted(self, fleet):
        """Guard against memory that the reports of others fill."""
        for start in range(0, share_exchange.MAX_KEYS + 100, 100):
            amounts = tuple(
                share_messages.ShareAmount(
                    CHAT, ids.OrganisationId(f"o{start + n}"), 1, 1
                )
                for n in range(100)
            )
            fleet.shares[0].handle(
                share_messages.ShareReport(fleet.entries[3].id, 0, amounts)
            )
        assert len(fleet.shares[0]._table) <= share_exchange.MAX_KEYS
        assert rejected(fleet, 0, "too_many")


class TestOtherBuilds:
    """Instances of the former build and of later ones are in the fleet."""

    @pytest.mark.parametrize("tag", ["share", "share_sums", "share_totals"])
    def test_unknown_tag_changes_nothing(self, tag):
        """The former build's messages have none of these tags."""
        kinds = [
            kind
            for kind in exchange.Message.__args__
            if not kind.__struct_config__.tag.startswith("share")
        ]
        former = kinds[0]
        for kind in kinds[1:]:
            former = former | kind
        content = msgspec.msgpack.encode([tag, "entry-1", 0, []])
        with pytest.raises(msgspec.ValidationError):
            msgspec.msgpack.decode(content, type=former)

    @simulate
    async def test_datagram_with_an_unknown_tag_is_counted(self, fleet):
        content = msgspec.msgpack.encode(["share_later", "entry-3", 0, []])
        peer_exchange = fleet.exchanges[0]
        before = peer_exchange.peers.epoch
        peer_exchange.datagram_received(content, ("10.0.0.1", 3))
        assert peer_exchange.peers.epoch == before
        text = fleet.metrics[0].render([]).decode()
        assert "datagrams_rejected_total 1" in text

    @simulate
    async def test_fields_of_a_later_build_are_ignored(self, fleet):
        amount = ["chat", "large", 1, 2, "later"]
        content = msgspec.msgpack.encode(
            ["share", "entry-3", 0, [amount], "later"]
        )
        fleet.exchanges[0].datagram_received(content, ("10.0.0.1", 3))
        total = fleet.shares[0]._table.local_sum((CHAT, LARGE), 0.0)
        assert total.waiting_tokens == 2 * loads.TOKENS_PER_UNIT

    @simulate
    async def test_negative_amounts_are_rejected(self, fleet):
        content = msgspec.msgpack.encode(
            ["share", "entry-3", 0, [["chat", "large", -1, 0]]]
        )
        fleet.exchanges[0].datagram_received(content, ("10.0.0.1", 3))
        assert not len(fleet.shares[0]._table)
