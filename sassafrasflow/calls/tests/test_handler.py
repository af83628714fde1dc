"""Tests of calls when writes to the table or calls to targets fail.

The cases cover every row of the calls table in docs/API.md.
"""

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

# Name, faults of the table's writes, faults of the target, outcome of the
# first call, outcome of a repeat, number of executions after both.
CASES = [
    ("no fault", [], [], ANSWERED, ANSWERED, 1),
    ("claim unavailable", [Fault.UNAVAILABLE], [], NO_STORE, ANSWERED, 1),
    ("claim answer lost", [Fault.LOST_ANSWER], [], ANSWERED, ANSWERED, 1),
    ("claim request lost", [Fault.LOST_REQUEST], [], ANSWERED, ANSWERED, 1),
    ("claim late", [Fault.LATE], [], ANSWERED, ANSWERED, 1),
    ("claim never told", [Fault.LATE] * 3, [], NO_STORE, ANSWERED, 1),
    (
        "claim told by none",
        [Fault.LOST_ANSWER] * 3,
        [],
        ANSWERED,
        ANSWERED,
        1,
    ),
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


async def settle(handler):
    """Wait until releases and result writes in the background have ended."""
    await handler.drained()
    tasks = list(handler._store._releases)
    await asyncio.gather(*tasks, return_exceptions=True)


@pytest.fixture
async def cluster():
    shared = setup.Cluster(tables.MemoryTable())
    yield shared
    await shared.close()


def assert_truthful(outcome, executions):
    """Check that a call refused as not run was not executed."""
    if outcome[2] == "no":
        assert executions == []


class TestAtMostOnce:
    @pytest.mark.parametrize(
        ("name", "writes", "calls", "first", "repeat", "executions"),
        CASES,
        ids=[case[0] for case in CASES],
    )
    async def test_call_and_its_repeat(
        self, cluster, name, writes, calls, first, repeat, executions
    ):
        cluster.table.faults.extend(writes)
        target = next(iter(cluster.targets.values()))
        target.faults.extend(calls)
        handler = cluster.handler()
        outcome = await setup.outcome(handler)
        assert_truthful(outcome, cluster.executions)
        await settle(handler)
        cluster.table.land()
        other = cluster.handler()
        repeat_outcome = await setup.outcome(other)
        assert_truthful(repeat_outcome, cluster.executions)
        assert (outcome, repeat_outcome) == (first, repeat)
        assert len(cluster.executions) == executions

    async def test_other_body_with_the_key(self, cluster):
        await setup.outcome(cluster.handler())
        outcome = await setup.outcome(
            cluster.handler(), setup.call(b"scope 8")
        )
        assert outcome == (422, "key_reused", "no")
        assert cluster.executions == [b"scope 7"]

    async def test_no_target_is_ready(self, cluster):
        handler = cluster.handler()
        for target in list(handler.directory):
            target.record_peer_leaving(targets.Incarnation())
        outcome = await setup.outcome(handler)
        assert outcome == (503, "no_target", "no")
        await settle(handler)
        assert await setup.outcome(cluster.handler()) == ANSWERED

    async def test_wait_for_a_slot_is_too_long(self, cluster):
        handler = cluster.handler()
        kind = organisations.WorkKind.CALL
        name = organisations.LimiterKey(kind, setup.SERVICE)
        limiter = handler._gate.limiter(name)
        limiter.set_quota(organisations.InstanceQuota(0, {}))
        tickets = [
            await handler._gate.acquire(
                kind, "other", 1.0, service=setup.SERVICE
            )
            for _ in range(limiter.limit)
        ]
        waiting = [
            asyncio.create_task(setup.outcome(handler, setup.call(key=f"{n}")))
            for n in range(60)
        ]
        done, _ = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        outcome = {task.result() for task in done}
        assert outcome == {(429, "overloaded", "no")}
        assert cluster.executions == []
        for ticket in tickets:
            ticket.release()
        outcomes = collections.Counter(await asyncio.gather(*waiting))
        assert len(cluster.executions) == outcomes[ANSWERED]
        assert outcomes.total() == 60

    async def test_key_is_required(self, cluster):
        outcome = await setup.outcome(cluster.handler(), setup.call(key=None))
        assert outcome == (400, "key_required", "no")

    async def test_answer_too_large_to_keep(self, cluster):
        handler = cluster.handler(replay_bytes=3)
        assert await setup.outcome(handler) == ANSWERED
        outcome = await setup.outcome(cluster.handler())
        assert outcome == (409, "answer_not_kept", "yes")
        assert len(cluster.executions) == 1

    async def test_concurrent_repeats_at_several_instances(self, cluster):
        outcome = await asyncio.gather(
            *(setup.outcome(cluster.handler()) for _ in range(4))
        )
        assert sorted(outcome) == [ANSWERED, *[UNRESOLVED] * 3]
        assert len(cluster.executions) == 1

    async def test_concurrent_repeats_at_one_instance(self, cluster):
        handler = cluster.handler()
        outcome = await asyncio.gather(
            *(setup.outcome(handler) for _ in range(4))
        )
        assert outcome.count(ANSWERED) >= 1
        assert len(cluster.executions) == 1

    async def test_owner_crashes_before_dispatch(self, cluster):
        handler = cluster.handler()
        target = next(iter(cluster.targets.values()))
        target.hold = asyncio.Event()
        target.faults.append("lose_request")
        crashing = asyncio.create_task(setup.outcome(handler))
        while not cluster.table.rows:
            await asyncio.sleep(0)
        crashing.cancel()
        await asyncio.gather(crashing, return_exceptions=True)
        assert await setup.outcome(cluster.handler()) == UNRESOLVED

    async def test_owner_crashes_before_the_result(self, cluster):
        target = next(iter(cluster.targets.values()))
        target.hold = asyncio.Event()
        crashing = asyncio.create_task(setup.outcome(cluster.handler()))
        while not target.executions:
            await asyncio.sleep(0)
        crashing.cancel()
        await asyncio.gather(crashing, return_exceptions=True)
        assert await setup.outcome(cluster.handler()) == UNRESOLVED
        assert len(cluster.executions) == 1

    async def test_suspended_owner_does_not_dispatch_late(self, cluster):
        handler = cluster.handler()
        put = handler._store.put

        async def suspend_after(*args):
            stored = await put(*args)
            cluster.clock.advance(3600)
            return stored

        handler._store.put = suspend_after
        outcome = await setup.outcome(handler)
        assert outcome == (503, "claim_expired", "no")
        assert cluster.executions == []
        await settle(handler)
        assert await setup.outcome(cluster.handler()) == ANSWERED

    async def test_repeat_in_an_outage_is_not_refused_as_not_run(
        self, cluster
    ):
        target = next(iter(cluster.targets.values()))
        target.faults.append("lose_answer")
        assert await setup.outcome(cluster.handler()) == LOST
        cluster.table.down = True
        assert await setup.outcome(cluster.handler()) == NO_STORE

    async def test_repeat_without_targets_is_replayed(self, cluster):
        await setup.outcome(cluster.handler())
        handler = cluster.handler()
        for target in list(handler.directory):
            target.record_peer_leaving(targets.Incarnation())
        assert await setup.outcome(handler) == ANSWERED

    async def test_call_that_was_not_sent_goes_to_the_next_target(self):
        cluster = setup.Cluster(tables.MemoryTable(), target_count=2)
        for target in cluster.targets.values():
            target.faults.append("refuse")
        first = next(iter(cluster.targets.values()))
        first.faults.clear()
        assert await setup.outcome(cluster.handler()) == ANSWERED
        assert len(cluster.executions) == 1
        await cluster.close()


class TestIdempotent:
    @pytest.mark.parametrize(
        ("faults", "expected", "executions"),
        [
            ([[], []], ANSWERED, 1),
            ([["lose_answer"], []], ANSWERED, None),
            ([["refuse"], ["refuse"]], NOT_REACHED, 0),
            ([["lose_request"], ["refuse"]], LOST, 0),
        ],
    )
    async def test_retry_on_another_target(self, faults, expected, executions):
        cluster = setup.Cluster(tables.MemoryTable(), target_count=2)
        for target, script in zip(
            cluster.targets.values(), faults, strict=True
        ):
            target.faults.extend(script)
        actual = await setup.outcome(
            cluster.handler(), setup.call(idempotent=True)
        )
        assert actual == expected
        if executions is not None:
            assert len(cluster.executions) == executions
        await cluster.close()

    async def test_stalled_route_is_avoided_while_others_work(self):
        cluster = setup.Cluster(tables.MemoryTable(), target_count=2)
        handler = cluster.handler()
        slow, quick = cluster.targets.values()
        slow.faults.extend(["stall"] * 2)
        for _ in range(20):
            outcome = await setup.outcome(handler, setup.call(idempotent=True))
            assert outcome == ANSWERED
        assert len(slow.faults) == 1
        assert len(quick.executions) == 20
        quick.faults.extend(["refuse"] * 2)
        slow.faults.clear()
        outcome = await setup.outcome(handler, setup.call(idempotent=True))
        assert outcome == ANSWERED
        await cluster.close()

    async def test_no_claim_is_written(self, cluster):
        await setup.outcome(cluster.handler(), setup.call(idempotent=True))
        assert cluster.table.transactions == 0


class TestDrain:
    async def test_waits_for_running_calls(self, cluster):
        target = next(iter(cluster.targets.values()))
        target.hold = asyncio.Event()
        handler = cluster.handler()
        running = asyncio.create_task(setup.outcome(handler))
        while not target.executions:
            await asyncio.sleep(0)
        drained = asyncio.create_task(handler.drained())
        await asyncio.sleep(0)
        assert not drained.done()
        target.hold.set()
        await drained
        assert await running == ANSWERED
