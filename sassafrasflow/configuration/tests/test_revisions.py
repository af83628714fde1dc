"""Revisions only increase, are durable once accepted, and have one author."""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import membership
from sassafrasflow.fakes import table as tables

Fault = tables.WriteFault
INITIAL = configuration.Document(settings={"from": 0.0})


class MemoryExchange:
    """Hold the document that was set last, in place of peers."""

    def __init__(self):
        self.content = b""

    def set_document(self, content):
        self.content = content

    async def fetch(self, origin):
        return [self.content]

    def peer_count(self):
        return 1


class Instance:
    """Hold the keeper and publisher of one instance."""

    def __init__(self, table, shared=None, exchange=None):
        self.keeper = configuration.ConfigurationKeeper(
            table,
            INITIAL,
            configuration.KeeperPolicy(),
            clocks.ManualClock(),
            shared,
            exchange,
        )
        self.publisher = configuration.ConfigurationPublisher(
            table, self.keeper
        )

    async def publish(self, author, value=1.0):
        return await self.publisher.publish(
            lambda doc: msgspec.structs.replace(
                doc, settings={**doc.settings, author: value}
            ),
            author,
        )


def document(revision):
    return configuration.Document(revision=revision)


class TestAdoption:
    @hypothesis.given(st.lists(st.integers(0, 50), min_size=1))
    def test_revision_never_decreases(self, revisions):
        keeper = Instance(tables.MemoryTable()).keeper
        highest = -1
        for revision in revisions:
            adopted = keeper.adopt(document(revision))
            assert adopted == (revision > highest)
            highest = max(highest, revision)
            assert keeper.current.revision == highest

    async def test_fresh_instance_adopts_the_stored_revision(self):
        table = tables.MemoryTable()
        await Instance(table).publish("first")
        fresh = Instance(table)
        await fresh.keeper.refresh()
        assert fresh.keeper.current.revision == 1

    async def test_fresh_instance_without_platform_adopts_from_a_peer(self):
        table = tables.MemoryTable()
        shared = membership.LocalSharedState("entry-0", clocks.ManualClock())
        exchange = MemoryExchange()
        fresh = Instance(table, shared, exchange)
        await Instance(table, shared, exchange).publish("first")
        table.down = True
        await fresh.keeper.catch_up()
        assert fresh.keeper.current.revision == 1

    async def test_older_document_of_a_peer_is_not_adopted(self):
        table = tables.MemoryTable()
        shared = membership.LocalSharedState("entry-0", clocks.ManualClock())
        exchange = MemoryExchange()
        instance = Instance(table, shared, exchange)
        await instance.publish("first")
        await instance.publish("second")
        table.down = True
        shared.publish(
            membership.Topic.CONFIGURATION,
            "current",
            b"",
            version=3,
            ttl_ms=1000,
        )
        for content in (document(1), document(0)):
            exchange.set_document(msgspec.json.encode(content))
            await instance.keeper.catch_up()
            assert instance.keeper.current.revision == 2

    async def test_not_ready_without_platform_and_peers(self):
        table = tables.MemoryTable()
        table.down = True
        instance = Instance(table)
        await instance.keeper.refresh()
        assert not instance.keeper.is_ready
        with pytest.raises(exceptions.Refusal):
            _ = instance.keeper.current

    async def test_stale_read_does_not_lower_the_revision(self):
        table = tables.MemoryTable()
        instance = Instance(table)
        await instance.publish("first")
        stale = dict(table.rows)
        await instance.publish("second")
        for rows in (stale, {}):
            table.rows = rows
            await instance.keeper.refresh()
            assert instance.keeper.current.revision == 2

    async def test_undecodable_documents_are_ignored(self):
        table = tables.MemoryTable()
        shared = membership.LocalSharedState("entry-0", clocks.ManualClock())
        exchange = MemoryExchange()
        instance = Instance(table, shared, exchange)
        await instance.publish("first")
        row = table.rows[configuration.CURRENT_ROW]
        table.rows[row.key] = msgspec.structs.replace(row, value=b"{")
        await instance.keeper.refresh()
        shared.publish(
            membership.Topic.CONFIGURATION,
            "current",
            b"",
            version=9,
            ttl_ms=1000,
        )
        exchange.set_document(b"[]")
        await instance.keeper.catch_up()
        assert instance.keeper.current.revision == 1

    async def test_initial_configuration_is_not_published(self):
        shared = membership.LocalSharedState("entry-0", clocks.ManualClock())
        await Instance(tables.MemoryTable(), shared).keeper.refresh()
        assert not shared.entries(membership.Topic.CONFIGURATION)


# Write faults, read faults, and the error that the publisher raises.
PUBLISH_FAULTS = [
    ([], [], None),
    ([Fault.LOST_ANSWER], [], None),
    ([Fault.LOST_ANSWER], [False, True], None),
    ([Fault.UNAVAILABLE], [], exceptions.TableUnavailable),
    ([Fault.LOST_REQUEST], [], exceptions.TableOutcomeUnknown),
    (
        [Fault.LOST_ANSWER],
        [False, True, True, True],
        exceptions.TableOutcomeUnknown,
    ),
]


class TestPublication:
    @pytest.mark.parametrize(("writes", "reads", "error"), PUBLISH_FAULTS)
    async def test_accepted_means_durable(self, writes, reads, error):
        table = tables.MemoryTable()
        instance = Instance(table)
        table.faults.extend(writes)
        table.read_faults.extend(reads)
        if error is None:
            assert (await instance.publish("a")).revision == 1
            assert configuration.CURRENT_ROW in table.rows
            assert instance.keeper.current.author == "a"
        else:
            with pytest.raises(error):
                await instance.publish("a")
            assert not instance.keeper.is_ready

    @pytest.mark.parametrize("answer_lost", [False, True])
    async def test_lost_race_names_the_winner(self, answer_lost):
        table = tables.MemoryTable()
        winner, loser = Instance(table), Instance(table)
        real_transact = table.transact

        async def race(conditions, writes):
            table.transact = real_transact
            await winner.publish("note-a")
            if answer_lost:
                raise exceptions.TableOutcomeUnknown("lost")
            await real_transact(conditions, writes)

        table.transact = race
        with pytest.raises(exceptions.ConfigurationConflict) as caught:
            await loser.publish("note-b")
        assert caught.value.winner == "note-a"
        await loser.keeper.refresh()
        assert loser.keeper.current.settings == {"from": 0.0, "note-a": 1.0}

    async def test_history_is_bounded(self, monkeypatch):
        monkeypatch.setattr(configuration.publisher, "MAX_HISTORY_ROWS", 3)
        table = tables.MemoryTable()
        instance = Instance(table)
        for _ in range(6):
            await instance.publish("a")
        prefix = configuration.publisher.HISTORY_PREFIX
        assert len([key for key in table.rows if key.startswith(prefix)]) == 3


class TestDeadline:
    def document(self, baseline):
        return configuration.Document(
            models={
                "planner": configuration.Model({"v1": 0.9, "v2": 0.1})
                if baseline
                else configuration.Model({"v2": 1.0})
            },
            trials={
                "planner": configuration.Trial(
                    "note", "v2", "v1" if baseline else None, 0.0, 100.0
                )
            },
        )

    @pytest.mark.parametrize(
        ("baseline", "now", "shares"),
        [
            (True, 99.0, {"v1": 0.9, "v2": 0.1}),
            (True, 100.0, {"v1": 0.9}),
            (False, 99.0, {"v2": 1.0}),
            (False, 101.0, {}),
        ],
    )
    def test_overdue_candidate_gets_no_new_work(self, baseline, now, shares):
        assert self.document(baseline).shares_at("planner", now) == shares
