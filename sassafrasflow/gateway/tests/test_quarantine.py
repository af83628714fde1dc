"""Verdicts on requests, over instances that miss some of them."""

import asyncio
import random

import msgspec
import pytest

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import quarantine
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import verdicts

REQUEST = poison.fingerprint_of(ids.OrganisationId("club"), "/plan/1", b"log")
DATA_CENTRES = "aabb"


class Exchange:
    """Stand in for the exchange of one instance."""

    def __init__(self, fleet, own):
        self._fleet = fleet
        self.peers = peer_table.PeerTable(own)

    def live(self):
        return self.peers.live(self._fleet.now)

    def aggregators_of(self, key):
        return exchanges.choose_aggregators(key, self.peers, self._fleet.now)

    def send(self, peers, message):
        content = msgspec.msgpack.encode(message)
        assert len(content) <= exchanges.MAX_DATAGRAM_BYTES
        for peer in peers:
            self._fleet.deliver(self.peers.own_entry.id, peer.id, content)


class Store:
    """Keep refused requests; stand in for the platform."""

    def __init__(self):
        self.rows = {}
        self.failures = 0

    async def write_refused(self, request):
        if self.failures:
            self.failures -= 1
            raise exceptions.TableOutcomeUnknown("lost")
        self.rows[request.fingerprint] = request

    def record(self):
        return registries.FleetRecord((), tuple(self.rows.values()), 0)


class Fleet:
    """Run the quarantines of some instances, without a network."""

    def __init__(self):
        self.now = 100.0
        self.store = Store()
        self.cut_off = set()
        self.sent = []
        self.managers = {}
        self.metrics = telemetry.Metrics()
        for number, data_centre in enumerate(DATA_CENTRES):
            self.start(f"entry-{number}", data_centre)
        for each in self.managers.values():
            for other in self.managers.values():
                each.exchange.peers.record_contact(
                    other.exchange.peers.own_entry, self.now
                )
        self._decoder = msgspec.msgpack.Decoder(exchanges.Message)

    def __getitem__(self, number):
        return self.managers[f"entry-{number}"]

    def start(self, name, data_centre):
        own = registries.InstanceEntry(
            ids.InstanceId(name), "h", 1, ids.DataCentre(data_centre)
        )
        manager = self.managers[name] = quarantine.QuarantineManager(
            own.id,
            targets.Directory(),
            self.store,
            lambda now: 1000 * (now - self.now),
            lambda: self.now,
            telemetry.EventLog(name, fd=-1),
            self.metrics,
            random.Random(1),
        )
        manager.exchange = Exchange(self, own)

    def deliver(self, sender, receiver, content):
        if self.cut_off & {sender, receiver}:
            return
        message = self._decoder.decode(content)
        self.sent.append((sender, receiver, message))
        manager = self.managers[receiver]
        hear = {
            verdicts.DeathReport: manager.hear_report,
            verdicts.QuarantineNotice: manager.hear_notice,
            verdicts.QuarantineQuery: manager.hear_query,
            verdicts.QuarantineState: manager.hear_state,
        }
        hear[type(message)](message)

    def report(self, receiver, name, ago_s):
        """Report a death to one who joins the evidence."""
        told = verdicts.ToldDeath(
            ids.TargetId(name),
            0,
            round(1000 * (ago_s + 0.5)),
            round(1000 * ago_s),
            1.0,
        )
        self[receiver].hear_report(
            verdicts.DeathReport(ids.InstanceId("other"), REQUEST, (told,))
        )

    def refusing(self):
        """Return which instances refuse the request."""
        return [
            number
            for number in range(len(DATA_CENTRES))
            if self[number].is_refused(REQUEST)
        ]

    def condemn(self):
        self.report(0, "t1", 4.0)
        self.report(0, "t2", 1.0)

    def ask_in_turn(self, rounds=6):
        for _ in range(rounds):
            for manager in self.managers.values():
                manager.ask()


@pytest.fixture
async def fleet():
    """Return three instances that know each other."""
    return Fleet()


class TestKeepers:
    """Evidence of all instances meets at the same two."""

    def test_observers_agree_on_one_and_have_one_beside(self, fleet):
        aggregators = [
            {
                entry.id
                for entry in (
                    *manager.exchange.aggregators_of(REQUEST),
                    manager.exchange.peers.own_entry,
                )
            }
            for manager in fleet.managers.values()
        ]
        anywhere = loads.choose_owner(
            REQUEST,
            [
                each.exchange.peers.own_entry
                for each in fleet.managers.values()
            ],
        )
        assert all(anywhere.id in found for found in aggregators)
        assert all(found & {"entry-0", "entry-1"} for found in aggregators[:2])


class TestVerdicts:
    """Who has missed a verdict hears of it; a harmless request is let go."""

    def test_second_death_is_refused_everywhere(self, fleet):
        fleet.report(0, "t1", 4.0)
        assert fleet.refusing() == []
        fleet.report(0, "t2", 1.0)
        assert fleet.refusing() == [0, 1, 2, 3]

    def test_one_that_was_cut_off_asks(self, fleet):
        fleet.cut_off = {"entry-2"}
        fleet.condemn()
        assert fleet.refusing() == [0, 1, 3]
        fleet.cut_off.clear()
        fleet.ask_in_turn(1)
        assert fleet.refusing() == [0, 1, 2, 3]

    def test_nothing_is_answered_to_one_that_knows_all(self, fleet):
        fleet.condemn()
        fleet.sent.clear()
        fleet.ask_in_turn()
        assert {type(message) for _, _, message in fleet.sent} == {
            verdicts.QuarantineQuery
        }

    def test_many_verdicts_are_told_in_parts(self, fleet):
        count = 3 * quarantine.VERDICTS_PER_DATAGRAM
        for number in range(count):
            fleet[0].known.refuse(
                poison.fingerprint_of(None, str(number), b""), 500.0
            )
        fleet.ask_in_turn(90)
        assert [
            len(manager.known.verdicts(fleet.now))
            for manager in fleet.managers.values()
        ] == [count] * 4

    def test_one_that_answered_it_denies_the_verdict(self, fleet):
        fleet[2].known.note_served(REQUEST, fleet.now - 1.0)
        fleet.condemn()
        assert fleet.refusing() == []

    def test_verdict_that_all_deny_is_taken_back_once(self, fleet):
        for number in range(1, len(DATA_CENTRES)):
            fleet[number].known.note_served(REQUEST, fleet.now - 1.0)
        fleet.condemn()
        told = [
            (sender, receiver)
            for sender, receiver, message in fleet.sent
            if isinstance(message, verdicts.QuarantineNotice)
            and not message.left_ms
        ]
        others = [f"entry-{n}" for n in range(1, len(DATA_CENTRES))]
        assert sorted(told) == sorted(
            [(other, "entry-0") for other in others]
            + [("entry-0", other) for other in others]
        )
        assert fleet.refusing() == []

    def test_answer_takes_the_evidence_from_those_who_join_it(self, fleet):
        """Only they are told: crashes make many requests suspect."""
        fleet.report(0, "t1", 4.0)
        fleet.report(1, "t1", 4.0)
        fleet.sent.clear()
        for number in range(2):
            fleet[number].hear_report(
                verdicts.DeathReport(ids.InstanceId("entry-2"), REQUEST, ())
            )
            fleet.report(number, "t2", 1.0)
        assert fleet.refusing() == []
        assert not fleet.sent

    def test_verdict_does_not_return_from_one_that_missed_its_end(self, fleet):
        fleet.condemn()
        fleet.cut_off = {"entry-2"}
        for number in range(2):
            fleet[number].hear_notice(
                verdicts.QuarantineNotice(ids.InstanceId("other"), REQUEST, 0)
            )
        assert fleet.refusing() == [2]
        fleet.cut_off.clear()
        fleet.ask_in_turn()
        assert fleet.refusing() == []


class TestStore:
    """The platform keeps verdicts for those that start."""

    async def save(self, manager, until):
        task = asyncio.create_task(manager.save())
        async with asyncio.timeout(5):
            while not until():
                await asyncio.sleep(0)
        task.cancel()

    async def test_verdict_is_kept_for_one_that_starts(self, fleet):
        fleet.condemn()
        await self.save(fleet[0], lambda: fleet.store.rows)
        fleet.start("entry-2", "b")
        assert fleet.refusing() == [0, 1, 3]
        fleet[2].take_stored(fleet.store.record())
        assert fleet.refusing() == [0, 1, 2, 3]
        fleet.now += poison.MEMORY_S + 1
        assert fleet.refusing() == []

    async def test_write_is_tried_again(self, fleet, monkeypatch):
        monkeypatch.setattr(quarantine, "SAVE_RETRY_S", 0.0)
        fleet.store.failures = 3
        fleet.condemn()
        await self.save(fleet[0], lambda: fleet.store.rows)
        assert fleet.store.rows[REQUEST].until_ms > 0

    async def test_request_found_harmless_meanwhile_is_written_so(self, fleet):
        fleet.condemn()
        fleet[0].hear_notice(
            verdicts.QuarantineNotice(ids.InstanceId("entry-1"), REQUEST, 0)
        )
        await self.save(fleet[0], lambda: fleet.store.rows)
        assert fleet.store.rows[REQUEST].until_ms == 0
        fleet.start("entry-2", "b")
        fleet[2].take_stored(fleet.store.record())
        assert 2 not in fleet.refusing()
