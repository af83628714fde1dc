"""The account of connections, with holders that record calls."""

import asyncio

import pytest

from sassafrasflow.memory import account as accounts
from sassafrasflow.memory import drafts
from sassafrasflow.memory import limits
from sassafrasflow.memory import policy

KB = 1024
MB = 1024 * KB
# With the default limits, 30 MB in all and 22.5 MB for large requests.
MEMORY_BYTES = 100 * MB


class FakeHolder(accounts.Holder):
    """Holder with a fixed phase and silence."""

    def __init__(self, account, phase=policy.Phase.READING, silence_s=0.0):
        self.phase = phase
        self.silence_s = silence_s
        self.gone = False
        self.holding = account.open(self)

    def describe(self, now):
        return policy.Claim(
            self.holding.id,
            self.phase,
            self.holding.held_bytes,
            self.silence_s,
        )

    def turn_away(self):
        self.gone = True
        self.holding.close()


@pytest.fixture
def account():
    return accounts.Account(
        lambda: MEMORY_BYTES, limits.MemoryLimits, lambda: 0.0
    )


class TestCharges:
    """Guard against charges that outlive what they were made for."""

    def test_everything_is_released(self, account):
        holder = FakeHolder(account)
        draft = drafts.RequestDraft(holder.holding, 0.0)
        draft.head_bytes = 500
        assert draft.charge_head()
        draft.end_head(0.0)
        assert draft.append(b"b" * 100 * KB)
        held = draft.queue()
        assert held >= 100 * KB
        holder.holding.start_request(held)
        holder.holding.add(accounts.Use.UNSENT, 7)
        holder.holding.set(accounts.Use.EVENT, 9)
        holder.holding.end_request()
        assert holder.holding.held_bytes == accounts.CONNECTION_BYTES + 7
        holder.holding.close()
        assert not account.used_bytes
        assert not account.describe()

    def test_closed_holding_is_not_charged(self, account):
        holding = FakeHolder(account).holding
        holding.close()
        holding.add(accounts.Use.RUNNING, 5)
        assert not holding.claim(accounts.Use.BODY, 5)
        assert not account.used_bytes

    def test_announced_body_is_reserved_before_it_arrives(self, account):
        draft = drafts.RequestDraft(FakeHolder(account).holding, 0.0)
        assert draft.reserve(4 * MB)
        assert account.used_bytes > 4 * MB
        assert not draft.body

    def test_refused_bytes_are_not_copied(self, account):
        FakeHolder(account, policy.Phase.RUNNING).holding.add(
            accounts.Use.RUNNING, MEMORY_BYTES
        )
        draft = drafts.RequestDraft(FakeHolder(account).holding, 0.0)
        assert not draft.append(b"b" * KB)
        assert not draft.body

    def test_header_lines_are_charged(self, account):
        """Many short lines take more memory than their bytes."""
        draft = drafts.RequestDraft(FakeHolder(account).holding, 0.0)
        draft.headers = [(b"a", b"b")] * 500
        draft.head_bytes = 500 * 6
        assert draft.charge_head()
        assert account.used_bytes > 500 * accounts.HEADER_LINE_BYTES


class TestShortage:
    """Guard against claims beyond the bounds."""

    def test_silent_holder_makes_room(self, account):
        silent = FakeHolder(account, silence_s=2.0)
        assert silent.holding.claim(accounts.Use.BODY, 22 * MB)
        newcomer = FakeHolder(account)
        assert newcomer.holding.claim(accounts.Use.BODY, MB)
        assert silent.gone

    def test_newcomer_is_refused_for_a_request_in_flight(self, account):
        running = FakeHolder(account, policy.Phase.RUNNING)
        assert running.holding.claim(accounts.Use.RUNNING, 22 * MB)
        newcomer = FakeHolder(account)
        assert not newcomer.holding.claim(accounts.Use.BODY, MB)
        assert newcomer.holding.claim(accounts.Use.BODY, 10 * KB)
        assert not running.gone

    def test_sweep_turns_away_who_does_not_read(self, account):
        reader = FakeHolder(account, policy.Phase.UNREAD, silence_s=1.0)
        reader.holding.set(accounts.Use.UNSENT, 40 * MB)
        account.sweep()
        assert reader.gone
        assert not account.is_short


class TestWaitingAnswers:
    """Guard against answers that wait although there is room."""

    async def test_answer_waits_for_a_release(self, account):
        first = FakeHolder(account, policy.Phase.RUNNING).holding
        second = FakeHolder(account, policy.Phase.RUNNING).holding
        await first.admit(20 * MB)
        waiting = asyncio.create_task(second.admit(5 * MB))
        await asyncio.sleep(0)
        assert not waiting.done()
        first.end_request()
        async with asyncio.timeout(1):
            await waiting
        assert second.size(accounts.Use.RUNNING) == 5 * MB
        assert account.delayed == 1

    async def test_small_answer_does_not_wait(self, account):
        first = FakeHolder(account, policy.Phase.RUNNING).holding
        await first.admit(22 * MB)
        small = FakeHolder(account, policy.Phase.RUNNING).holding
        async with asyncio.timeout(1):
            await small.admit(8 * KB)

    async def test_cancelled_wait_charges_nothing(self, account):
        first = FakeHolder(account, policy.Phase.RUNNING).holding
        second = FakeHolder(account, policy.Phase.RUNNING).holding
        await first.admit(20 * MB)
        waiting = asyncio.create_task(second.admit(5 * MB))
        await asyncio.sleep(0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        first.end_request()
        await asyncio.sleep(0)
        assert not second.size(accounts.Use.RUNNING)

    async def test_answer_gets_the_room_of_a_caller_that_stops_reading(
        self, account
    ):
        reader = FakeHolder(account, policy.Phase.UNREAD)
        reader.holding.set(accounts.Use.UNSENT, 22 * MB)
        holding = FakeHolder(account, policy.Phase.RUNNING).holding
        waiting = asyncio.create_task(holding.admit(5 * MB))
        await asyncio.sleep(0)
        account.sweep()
        assert not waiting.done() and not reader.gone
        reader.silence_s = 0.6
        account.sweep()
        async with asyncio.timeout(1):
            await waiting
        assert reader.gone


class TestPipelinedRequests:
    """Guard against one caller's further requests that displace others."""

    def test_they_displace_nobody(self, account):
        """Load: 20 callers with nine pipelined bodies each."""
        honest = FakeHolder(account, silence_s=1.0)
        assert honest.holding.claim(accounts.Use.BODY, 22 * MB)
        pipelining = FakeHolder(account, policy.Phase.RUNNING)
        pipelining.holding.start_request(4 * KB)
        assert not pipelining.holding.claim(accounts.Use.BODY, MB)
        assert not honest.gone


class TestBlockedAnswers:
    """Guard against answers that wait for memory until their deadlines."""

    async def test_answers_of_unknown_length_don_t_wait_for_each_other(
        self, account
    ):
        """Together they need more than there is, and none can give way."""
        step, size = 64 * KB, 4 * MB

        async def receive(holder):
            for _ in range(0, size, step):
                await holder.holding.admit(step)
                await asyncio.sleep(0)
            holder.holding.close()

        holders = [
            FakeHolder(account, policy.Phase.RUNNING) for _ in range(10)
        ]
        tasks = [asyncio.create_task(receive(each)) for each in holders]
        for _ in range(100):
            account.sweep()
            for _ in range(2 * size // step):
                await asyncio.sleep(0)
        done = [task.done() for task in tasks]
        for task in tasks:
            task.cancel()
        assert all(done)
        assert account.used_bytes == 0

    async def test_one_answer_at_a_time_exceeds_the_bounds(self, account):
        holders = [FakeHolder(account, policy.Phase.RUNNING) for _ in range(3)]
        tasks = [
            asyncio.create_task(each.holding.admit(20 * MB))
            for each in holders
        ]
        await asyncio.sleep(0)
        for _ in range(5):
            account.sweep()
            await asyncio.sleep(0)
        assert [task.done() for task in tasks] == [True, True, False]
        tasks[2].cancel()

    async def test_small_answer_passes_a_large_one(self, account):
        blocker = FakeHolder(account, policy.Phase.RUNNING)
        blocker.holding.add(accounts.Use.RUNNING, 30 * MB)
        large, small = (
            FakeHolder(account, policy.Phase.RUNNING) for _ in range(2)
        )
        waits = [
            asyncio.create_task(large.holding.admit(8 * MB)),
            asyncio.create_task(small.holding.admit(16 * KB)),
        ]
        await asyncio.sleep(0)
        assert not any(task.done() for task in waits)
        blocker.holding.add(accounts.Use.RUNNING, -4 * MB)
        for _ in range(3):
            await asyncio.sleep(0)
        assert [task.done() for task in waits] == [False, True]
        waits[0].cancel()
