"""Tests of verdicts on requests at instances that miss some messages."""

import asyncio
import random

import msgspec
import pytest

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import aggregators
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts
from sassafrasflow.gateway import quarantine
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import rewrites
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import verdict_writer
from sassafrasflow.gateway import verdicts

REQUEST = poison.fingerprint_of(ids.OrganisationId("club"), "/plan/1", b"log")
DATA_CENTRES = "aabb"


class FakeExchange:
    """Fake exchange of one instance with its peers."""

    def __init__(self, fleet, own_entry):
        self._fleet = fleet
        self.peers = peer_table.PeerTable(own_entry)

    def live(self):
        return self.peers.live(self._fleet.now)

    def aggregators_of(self, key):
        return aggregators.choose_aggregators(key, self.peers, self._fleet.now)

    def send(self, peers, message):
        content = msgspec.msgpack.encode(message)
        assert len(content) <= exchanges.MAX_DATAGRAM_BYTES
        for peer in peers:
            self._fleet.deliver(self.peers.own_entry.id, peer.id, content)


class FakeStore:
    """Fake store of refused requests, as the platform has one."""

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
    """Quarantines of several instances, without a network."""

    def __init__(self):
        self.now = 100.0
        self.store = FakeStore()
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
        own_entry = registries.InstanceEntry(
            ids.InstanceId(name), "10.0.0.1", 1, ids.DataCentre(data_centre)
        )
        manager = self.managers[name] = quarantine.QuarantineManager(
            own_entry.id,
            targets.Directory(),
            self.store,
            lambda now: 1000 * (now - self.now),
            lambda: self.now,
            telemetry.EventLog(name, fd=-1),
            self.metrics,
            random.Random(1),
        )
        manager.exchange = FakeExchange(self, own_entry)

    def deliver(self, sender, receiver, content):
        if self.cut_off & {sender, receiver}:
            return
        message = self._decoder.decode(content)
        self.sent.append((sender, receiver, message))
        manager = self.managers[receiver]
        handlers = {
            verdicts.DeathReport: manager.handle_report,
            verdicts.QuarantineNotice: manager.handle_notice,
            verdicts.QuarantineQuery: manager.handle_query,
            verdicts.QuarantineState: manager.handle_state,
        }
        handlers[type(message)](message)

    def report(self, receiver, name, ago_s):
        """Report a crash to an aggregator."""
        reported = verdicts.ReportedCrash(
            ids.TargetId(name),
            0,
            round(1000 * (ago_s + 0.5)),
            round(1000 * ago_s),
            1.0,
        )
        self[receiver].handle_report(
            verdicts.DeathReport(ids.InstanceId("other"), REQUEST, (reported,))
        )

    def refusing_instances(self):
        """Return the numbers of the instances that refuse the request."""
        return [
            number
            for number in range(len(DATA_CENTRES))
            if self[number].is_refused(REQUEST)
        ]

    def report_two_crashes(self):
        self.report(0, "t1", 4.0)
        self.report(0, "t2", 1.0)

    def send_queries(self, rounds=6):
        for _ in range(rounds):
            for manager in self.managers.values():
                manager.send_query()


@pytest.fixture
async def fleet():
    """Return four instances, each with all others as peers."""
    return Fleet()


class TestAggregators:
    """Crashes that different instances observe add up at the aggregators."""

    def test_observers_share_one_aggregator_and_have_a_local_one(self, fleet):
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
        assert all(anywhere.id in chosen for chosen in aggregators)
        assert all(
            chosen & {"entry-0", "entry-1"} for chosen in aggregators[:2]
        )


class TestVerdicts:
    """Verdicts and their revocations reach all instances.

    Instances that miss a message get the verdicts by a query, and a request
    that one of them has answered is not refused.
    """

    def test_second_crash_is_refused_everywhere(self, fleet):
        fleet.report(0, "t1", 4.0)
        assert fleet.refusing_instances() == []
        fleet.report(0, "t2", 1.0)
        assert fleet.refusing_instances() == [0, 1, 2, 3]

    def test_isolated_instance_gets_the_verdict_by_query(self, fleet):
        fleet.cut_off = {"entry-2"}
        fleet.report_two_crashes()
        assert fleet.refusing_instances() == [0, 1, 3]
        fleet.cut_off.clear()
        fleet.send_queries(1)
        assert fleet.refusing_instances() == [0, 1, 2, 3]

    def test_query_without_missing_verdicts_gets_no_answer(self, fleet):
        fleet.report_two_crashes()
        fleet.sent.clear()
        fleet.send_queries()
        assert {type(message) for _, _, message in fleet.sent} == {
            verdicts.QuarantineQuery
        }

    def test_many_verdicts_are_sent_over_several_queries(self, fleet):
        count = 3 * quarantine.VERDICTS_PER_DATAGRAM
        for number in range(count):
            fleet[0].state.refuse(
                poison.fingerprint_of(None, str(number), b""), 500.0
            )
        fleet.send_queries(90)
        assert [
            len(manager.state.verdicts(fleet.now))
            for manager in fleet.managers.values()
        ] == [count] * 4

    def test_instance_that_answered_the_request_rejects_the_verdict(
        self, fleet
    ):
        fleet[2].state.record_answer(REQUEST, fleet.now - 1.0)
        fleet.report_two_crashes()
        assert fleet.refusing_instances() == []

    def test_verdict_that_all_reject_is_revoked_once(self, fleet):
        for number in range(1, len(DATA_CENTRES)):
            fleet[number].state.record_answer(REQUEST, fleet.now - 1.0)
        fleet.report_two_crashes()
        revocations = [
            (sender, receiver)
            for sender, receiver, message in fleet.sent
            if isinstance(message, verdicts.QuarantineNotice)
            and not message.remaining_ms
        ]
        others = [f"entry-{n}" for n in range(1, len(DATA_CENTRES))]
        assert sorted(revocations) == sorted(
            [(other, "entry-0") for other in others]
            + [("entry-0", other) for other in others]
        )
        assert fleet.refusing_instances() == []

    def test_answer_clears_the_crashes_at_aggregators(self, fleet):
        """Only aggregators get the report, as many requests are suspects."""
        fleet.report(0, "t1", 4.0)
        fleet.report(1, "t1", 4.0)
        fleet.sent.clear()
        for number in range(2):
            fleet[number].handle_report(
                verdicts.DeathReport(ids.InstanceId("entry-2"), REQUEST, ())
            )
            fleet.report(number, "t2", 1.0)
        assert fleet.refusing_instances() == []
        assert not fleet.sent

    def test_revoked_verdict_does_not_return_from_isolated_instance(
        self, fleet
    ):
        fleet.report_two_crashes()
        fleet.cut_off = {"entry-2"}
        for number in range(2):
            fleet[number].handle_notice(
                verdicts.QuarantineNotice(ids.InstanceId("other"), REQUEST, 0)
            )
        assert fleet.refusing_instances() == [2]
        fleet.cut_off.clear()
        fleet.send_queries()
        assert fleet.refusing_instances() == []


class TestStore:
    """The platform stores verdicts for instances that start later."""

    async def save(self, manager, until):
        task = asyncio.create_task(manager.writer.run())
        async with asyncio.timeout(5):
            while not until():
                await asyncio.sleep(0)
        task.cancel()

    async def test_stored_verdict_reaches_a_starting_instance(self, fleet):
        fleet.report_two_crashes()
        await self.save(fleet[0], lambda: fleet.store.rows)
        fleet.start("entry-2", "b")
        assert fleet.refusing_instances() == [0, 1, 3]
        fleet[2].apply_stored(fleet.store.record())
        assert fleet.refusing_instances() == [0, 1, 2, 3]
        fleet.now += poison.RETENTION_S + 1
        assert fleet.refusing_instances() == []

    async def test_failed_write_is_retried(self, fleet, monkeypatch):
        monkeypatch.setattr(verdict_writer, "RETRY_S", 0.0)
        fleet.store.failures = 3
        fleet.report_two_crashes()
        await self.save(fleet[0], lambda: fleet.store.rows)
        assert fleet.store.rows[REQUEST].until_ms > 0

    async def test_verdict_revoked_before_its_write_is_stored_as_revoked(
        self, fleet
    ):
        fleet.report_two_crashes()
        fleet[0].handle_notice(
            verdicts.QuarantineNotice(ids.InstanceId("entry-1"), REQUEST, 0)
        )
        await self.save(fleet[0], lambda: fleet.store.rows)
        assert fleet.store.rows[REQUEST].until_ms == 0
        fleet.start("entry-2", "b")
        fleet[2].apply_stored(fleet.store.record())
        assert 2 not in fleet.refusing_instances()


class TestRestoredRows:
    """A row is overwritten only by what is newer by its evidence."""

    PARTS = prompt_parts.key_of([ids.PromptPartId("part")])
    OTHER = poison.fingerprint_of(None, "/other", b"")
    NOW_MS = 2_000_000

    def verdict(self, fingerprint, at_ms, evidence_ms=None):
        until_ms = at_ms + round(1000 * poison.RETENTION_S)
        return registries.RefusedRequest(fingerprint, until_ms, evidence_ms)

    def revocation(self, fingerprint, at_ms):
        return registries.RefusedRequest(fingerprint, 0, at_ms)

    def supersedes(self, known, stored):
        return rewrites.supersedes(known, stored, self.NOW_MS)

    def test_verdict_without_a_row_is_written_and_a_revocation_is_not(self):
        assert self.supersedes(self.verdict(REQUEST, self.NOW_MS), None)
        assert not self.supersedes(self.revocation(REQUEST, 1), None)

    @pytest.mark.parametrize(
        ("age_ms", "is_written"), [(-100, True), (20_000, False)]
    )
    def test_revocation_ends_only_verdicts_that_are_not_newer(
        self, age_ms, is_written
    ):
        stored = self.verdict(REQUEST, self.NOW_MS)
        known = self.revocation(REQUEST, self.NOW_MS - age_ms)
        assert self.supersedes(known, stored) is is_written

    def test_clocks_that_differ_do_not_keep_a_revoked_verdict(self):
        stored = self.verdict(REQUEST, self.NOW_MS)
        assert self.supersedes(
            self.revocation(REQUEST, self.NOW_MS - 200), stored
        )
        assert not self.supersedes(
            self.verdict(REQUEST, self.NOW_MS),
            self.revocation(REQUEST, self.NOW_MS - 200),
        )

    @pytest.mark.parametrize(
        ("crashed_ms", "disproved_ms"), [(1000, 1100), (1100, 1000)]
    )
    def test_evidence_orders_verdicts_on_parts(self, crashed_ms, disproved_ms):
        verdict = self.verdict(self.PARTS, self.NOW_MS - 1, crashed_ms)
        revocation = self.revocation(self.PARTS, disproved_ms)
        is_verdict_newer = crashed_ms > disproved_ms
        assert self.supersedes(verdict, revocation) is is_verdict_newer
        assert self.supersedes(revocation, verdict) is not is_verdict_newer

    def test_newer_verdict_of_the_same_slot_is_not_overwritten(self):
        older = self.verdict(REQUEST, self.NOW_MS - 60_000)
        newer = self.verdict(self.OTHER, self.NOW_MS)
        assert not self.supersedes(older, newer)
        assert self.supersedes(newer, older)

    def test_expired_row_of_the_same_slot_is_overwritten(self):
        expired = registries.RefusedRequest(self.OTHER, self.NOW_MS - 1)
        assert self.supersedes(
            self.verdict(REQUEST, self.NOW_MS - 1000), expired
        )
