"""Every row of the calls table in docs/API.md."""

import asyncio
import collections

import pytest

from sassafrasflow import organisations
from sassafrasflow import targets
from sassafrasflow.calls.tests import setup
from sassafrasflow.fakes import table as tables

Fault = tables.WriteFault
ANSWERED = (200, "", "yes")
NO_STORE = (503, "claim_store_unavailable", "unknown")
LOST = (502, "target_failed", "unknown")
NOT_REACHED = (502, "target_failed", "no")
UNRESOLVED = (409, "claim_unresolved", "unknown")

# Name, faults of the table's writes, faults of the worker, what the
# first caller is told, what a repeat is told, executions after both.
CASES = [
    ("no fault", [], [], ANSWERED, ANSWERED, 1),
    ("claim unavailable", [Fault.UNAVAILABLE], [], NO_STORE, ANSWERED, 1),
    ("claim answer lost", [Fault.LOST_ANSWER], [], ANSWERED, ANSWERED, 1),
    ("claim request lost", [Fault.LOST_REQUEST], [], ANSWERED, ANSWERED, 1),
    ("claim late", [Fault.LATE], [], ANSWERED, ANSWERED, 1),
    ("claim never told", [Fault.LATE] * 3, [], NO_STORE, ANSWERED, 1),
    ("claim told by none", [Fault.LOST_ANSWER] * 3, [], ANSWERED, ANSWERED, 1),
    (
        "outage after the claim",
        [Fault.LATE, Fault.UNAVAILABLE, Fault.UNAVAILABLE],
        [],
        NO_STORE,
        ANSWERED,
        1,
    ),
    ("not reached", [], ["refuse"], NOT_REACHED, ANSWERED, 1),
    (
        "not reached, release lost",
        [Fault.NONE, Fault.LOST_ANSWER],
        ["refuse"],
        NOT_REACHED,
        ANSWERED,
        1,
    ),
    ("request lost", [], ["lose_request"], LOST, UNRESOLVED, 0),
    ("answer lost", [], ["lose_answer"], LOST, UNRESOLVED, 1),
    (
        "result not recorded",
        [Fault.NONE, Fault.UNAVAILABLE],
        [],
        ANSWERED,
        UNRESOLVED,
        1,
    ),
    (
        "result answer lost",
        [Fault.NONE, Fault.LOST_ANSWER],
        [],
        ANSWERED,
        ANSWERED,
        1,
    ),
]


async def settle(desk):
    """Wait until background releases and records have ended."""
    await desk.drained()
    tasks = list(desk._store._releases)
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.fixture
async def bench():
    made = setup.Bench(tables.MemoryTable())
    yield made
    await made.close()


def assert_truthful(told, executions):
    """Check a refusal against the workers' own log."""
    if told[2] == "no":
        assert executions == []


class TestAtMostOnce:
    @pytest.mark.parametrize(
        ("name", "writes", "calls", "first", "repeat", "executions"),
        CASES,
        ids=[case[0] for case in CASES],
    )
    async def test_case(
        self, bench, name, writes, calls, first, repeat, executions
    ):
        bench.table.faults.extend(writes)
        worker = next(iter(bench.workers.values()))
        worker.faults.extend(calls)
        desk = bench.desk()
        told = await setup.outcome(desk)
        assert_truthful(told, bench.executions)
        await settle(desk)
        bench.table.land()
        other = bench.desk()
        told_again = await setup.outcome(other)
        assert_truthful(told_again, bench.executions)
        assert (told, told_again) == (first, repeat)
        assert len(bench.executions) == executions

    async def test_other_body_with_the_key(self, bench):
        await setup.outcome(bench.desk())
        told = await setup.outcome(bench.desk(), setup.call(b"scope 8"))
        assert told == (422, "key_reused", "no")
        assert bench.executions == [b"scope 7"]

    async def test_no_worker_is_ready(self, bench):
        desk = bench.desk()
        for target in list(desk.directory):
            target.record_peer_leaving(targets.Incarnation())
        told = await setup.outcome(desk)
        assert told == (503, "no_target", "no")
        await settle(desk)
        assert await setup.outcome(bench.desk()) == ANSWERED

    async def test_wait_for_a_slot_is_too_long(self, bench):
        desk = bench.desk()
        kind = organisations.WorkKind.CALL
        name = organisations.LimiterKey(kind, setup.SERVICE)
        limiter = desk._gate.limiter(name)
        limiter.set_quota(organisations.InstanceQuota(0, {}))
        held = [
            await desk._gate.acquire(kind, "other", 1.0, service=setup.SERVICE)
            for _ in range(limiter.limit)
        ]
        waiting = [
            asyncio.create_task(setup.outcome(desk, setup.call(key=f"{n}")))
            for n in range(60)
        ]
        done, _ = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        told = {task.result() for task in done}
        assert told == {(429, "overloaded", "no")}
        assert bench.executions == []
        for ticket in held:
            ticket.release()
        outcomes = collections.Counter(await asyncio.gather(*waiting))
        assert len(bench.executions) == outcomes[ANSWERED]
        assert outcomes.total() == 60

    async def test_key_is_required(self, bench):
        told = await setup.outcome(bench.desk(), setup.call(key=None))
        assert told == (400, "key_required", "no")

    async def test_answer_too_large_to_keep(self, bench):
        desk = bench.desk(replay_bytes=3)
        assert await setup.outcome(desk) == ANSWERED
        told = await setup.outcome(bench.desk())
        assert told == (409, "answer_not_kept", "yes")
        assert len(bench.executions) == 1

    async def test_crossed_repeats_at_two_instances(self, bench):
        told = await asyncio.gather(
            *(setup.outcome(bench.desk()) for _ in range(4))
        )
        assert sorted(told) == [ANSWERED, *[UNRESOLVED] * 3]
        assert len(bench.executions) == 1

    async def test_crossed_repeats_at_one_instance(self, bench):
        desk = bench.desk()
        told = await asyncio.gather(*(setup.outcome(desk) for _ in range(4)))
        assert told.count(ANSWERED) >= 1
        assert len(bench.executions) == 1

    async def test_owner_dies_before_dispatch(self, bench):
        desk = bench.desk()
        worker = next(iter(bench.workers.values()))
        worker.hold = asyncio.Event()
        worker.faults.append("lose_request")
        dying = asyncio.create_task(setup.outcome(desk))
        while not bench.table.rows:
            await asyncio.sleep(0)
        dying.cancel()
        await asyncio.gather(dying, return_exceptions=True)
        assert await setup.outcome(bench.desk()) == UNRESOLVED

    async def test_owner_dies_before_the_result(self, bench):
        worker = next(iter(bench.workers.values()))
        worker.hold = asyncio.Event()
        dying = asyncio.create_task(setup.outcome(bench.desk()))
        while not worker.executions:
            await asyncio.sleep(0)
        dying.cancel()
        await asyncio.gather(dying, return_exceptions=True)
        assert await setup.outcome(bench.desk()) == UNRESOLVED
        assert len(bench.executions) == 1

    async def test_paused_owner_does_not_dispatch_late(self, bench):
        desk = bench.desk()
        put = desk._store.put

        async def pause_after(*args):
            stored = await put(*args)
            bench.clock.advance(3600)
            return stored

        desk._store.put = pause_after
        told = await setup.outcome(desk)
        assert told == (503, "claim_expired", "no")
        assert bench.executions == []
        await settle(desk)
        assert await setup.outcome(bench.desk()) == ANSWERED

    async def test_repeat_in_an_outage_is_not_told_no(self, bench):
        worker = next(iter(bench.workers.values()))
        worker.faults.append("lose_answer")
        assert await setup.outcome(bench.desk()) == LOST
        bench.table.down = True
        assert await setup.outcome(bench.desk()) == NO_STORE

    async def test_repeat_without_workers_is_replayed(self, bench):
        await setup.outcome(bench.desk())
        desk = bench.desk()
        for target in list(desk.directory):
            target.record_peer_leaving(targets.Incarnation())
        assert await setup.outcome(desk) == ANSWERED

    async def test_next_worker_takes_a_call_that_was_not_sent(self):
        bench = setup.Bench(tables.MemoryTable(), workers=2)
        for worker in bench.workers.values():
            worker.faults.append("refuse")
        first = next(iter(bench.workers.values()))
        first.faults.clear()
        assert await setup.outcome(bench.desk()) == ANSWERED
        assert len(bench.executions) == 1
        await bench.close()


class TestIdempotent:
    @pytest.mark.parametrize(
        ("faults", "told", "executions"),
        [
            ([[], []], ANSWERED, 1),
            ([["lose_answer"], []], ANSWERED, None),
            ([["refuse"], ["refuse"]], NOT_REACHED, 0),
            ([["lose_request"], ["refuse"]], LOST, 0),
        ],
    )
    async def test_retry_on_another_worker(self, faults, told, executions):
        bench = setup.Bench(tables.MemoryTable(), workers=2)
        for worker, script in zip(bench.workers.values(), faults, strict=True):
            worker.faults.extend(script)
        seen = await setup.outcome(bench.desk(), setup.call(idempotent=True))
        assert seen == told
        if executions is not None:
            assert len(bench.executions) == executions
        await bench.close()

    async def test_stalled_route_is_avoided_while_others_work(self):
        bench = setup.Bench(tables.MemoryTable(), workers=2)
        desk = bench.desk()
        slow, quick = bench.workers.values()
        slow.faults.extend(["stall"] * 2)
        for _ in range(20):
            told = await setup.outcome(desk, setup.call(idempotent=True))
            assert told == ANSWERED
        assert len(slow.faults) == 1
        assert len(quick.executions) == 20
        quick.faults.extend(["refuse"] * 2)
        slow.faults.clear()
        told = await setup.outcome(desk, setup.call(idempotent=True))
        assert told == ANSWERED
        await bench.close()

    async def test_no_claim_is_written(self, bench):
        await setup.outcome(bench.desk(), setup.call(idempotent=True))
        assert bench.table.transactions == 0


class TestDrain:
    async def test_waits_for_running_calls(self, bench):
        worker = next(iter(bench.workers.values()))
        worker.hold = asyncio.Event()
        desk = bench.desk()
        running = asyncio.create_task(setup.outcome(desk))
        while not worker.executions:
            await asyncio.sleep(0)
        drained = asyncio.create_task(desk.drained())
        await asyncio.sleep(0)
        assert not drained.done()
        worker.hold.set()
        await drained
        assert await running == ANSWERED
