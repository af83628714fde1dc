"""Tests of the group commit of row changes: batches, conflicts, failures."""

import asyncio

import hypothesis
from hypothesis import strategies
import pytest

from sassafrasflow import calls
from sassafrasflow import exceptions
from sassafrasflow import observability
from sassafrasflow.fakes import table as tables


def writer_on(table, **policy):
    return calls.RowWriter(
        table,
        calls.WriterPolicy(interval_ms=1, **policy),
        observability.Metrics(),
    )


async def commit_all(writer, changes):
    return await asyncio.gather(
        *(writer.commit(change) for change in changes),
        return_exceptions=True,
    )


class TestSplitBatch:
    @hypothesis.given(
        strategies.lists(strategies.integers(0, 5)),
        strategies.integers(1, 4),
    )
    def test_rows_appear_once_and_in_order(self, rows, limit):
        pending = [
            calls.PendingChange(calls.RowChange(str(row), n, b""), None)
            for n, row in enumerate(rows)
        ]
        batch, rest = calls.split_batch(pending, limit)
        keys = [item.change.key for item in batch]
        assert len(set(keys)) == len(keys) <= limit
        assert len(batch) + len(rest) == len(rows)
        for key in keys:
            first = rows.index(int(key))
            assert pending[first] in batch


class TestRowWriter:
    async def test_many_changes_share_a_transaction(self):
        table = tables.MemoryTable()
        changes = [calls.RowChange(f"row/{n}", 0, b"x") for n in range(50)]
        assert await commit_all(writer_on(table), changes) == [None] * 50
        assert table.transactions == 1

    async def test_conflict_fails_its_row_only(self):
        table = tables.MemoryTable()
        await writer_on(table).commit(calls.RowChange("row/3", 0, b"old"))
        changes = [calls.RowChange(f"row/{n}", 0, b"new") for n in range(8)]
        results = await commit_all(writer_on(table), changes)
        assert isinstance(results.pop(3), exceptions.TableConflict)
        assert results == [None] * 7
        assert table.rows["row/3"].value == b"old"

    async def test_same_row_twice_conflicts(self):
        table = tables.MemoryTable()
        changes = [calls.RowChange("row", 0, value) for value in (b"a", b"b")]
        results = await commit_all(writer_on(table), changes)
        assert results[0] is None
        assert isinstance(results[1], exceptions.TableConflict)
        assert table.rows["row"].value == b"a"

    @pytest.mark.parametrize(
        ("fault", "kind"),
        [
            (tables.WriteFault.UNAVAILABLE, exceptions.TableUnavailable),
            (tables.WriteFault.LOST_ANSWER, exceptions.TableOutcomeUnknown),
        ],
    )
    async def test_failure_reaches_each_change(self, fault, kind):
        table = tables.MemoryTable([fault])
        changes = [calls.RowChange(f"row/{n}", 0, b"x") for n in range(3)]
        results = await commit_all(writer_on(table), changes)
        assert [type(result) for result in results] == [kind] * 3

    async def test_unreadable_conflict_wrote_nothing(self):
        table = tables.MemoryTable()
        await writer_on(table).commit(calls.RowChange("row/0", 0, b"old"))
        table.reads_fail = True
        changes = [calls.RowChange(f"row/{n}", 0, b"x") for n in range(2)]
        results = await commit_all(writer_on(table), changes)
        kinds = {type(result) for result in results}
        assert kinds == {exceptions.TableUnavailable}
        assert len(table.rows) == 1

    async def test_transactions_keep_their_interval_after_a_burst(self):
        table = tables.MemoryTable()
        writer = writer_on(table, burst=3)
        delays = [writer._delay_s() for _ in range(6)]
        assert delays[:3] == [0.0] * 3
        assert all(delay > 0 for delay in delays[3:])

    async def test_unexpected_error_leaves_no_caller_waiting(self):
        table = tables.MemoryTable()
        writer = writer_on(table, max_batch=1)
        apply = table.transact

        async def fail(*_):
            table.transact = apply
            raise ValueError("unexpected")

        table.transact = fail
        changes = [calls.RowChange(f"row/{n}", 0, b"x") for n in range(3)]
        results = await commit_all(writer, changes)
        assert isinstance(results.pop(0), exceptions.TableOutcomeUnknown)
        assert results == [None] * 2

    async def test_close_ends_waiting_changes(self):
        table = tables.MemoryTable()
        writer = writer_on(table, max_batch=1)
        changes = [calls.RowChange(f"row/{n}", 0, b"x") for n in range(3)]
        waiting = asyncio.create_task(commit_all(writer, changes))
        while not table.transactions:
            await asyncio.sleep(0)
        await writer.close()
        results = await waiting
        assert isinstance(results[-1], exceptions.TableUnavailable)
