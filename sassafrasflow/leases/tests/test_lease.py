"""Tests that a lease has at most one holder at any time.

Two keepers contend while processes are suspended, the answers of the table
are lost or the table is unavailable.
"""

import hypothesis
from hypothesis import strategies as st
import pytest

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import leases
from sassafrasflow.fakes import table as tables

Fault = tables.WriteFault
POLICY = leases.LeasePolicy()
TERM_S = POLICY.term_ms / 1000
LONGEST_ORDER_S = POLICY.longest_order_ms / 1000


class KeeperPair:
    """Two keepers of one lease that share a table and a clock."""

    def __init__(self):
        self.table = tables.MemoryTable()
        self.clock = clocks.ManualClock()
        self.keepers = [
            leases.LeaseKeeper(
                "releases", f"entry-{n}", self.table, POLICY, self.clock
            )
            for n in range(2)
        ]

    async def take_over(self):
        """Let the lease lapse, so that the second keeper acquires it."""
        await self.keepers[1].step()
        self.clock.advance(TERM_S)
        await self.keepers[1].step()


@pytest.fixture
async def pair():
    started = KeeperPair()
    await started.keepers[0].step()
    assert started.keepers[0].fencing_token() == 1
    return started


class TestLease:
    async def test_first_holder_may_order_at_once(self, pair):
        await pair.keepers[1].step()
        assert not pair.keepers[1].is_held()

    async def test_renewed_lease_is_not_taken_over(self, pair):
        for _ in range(20):
            pair.clock.advance(1.0)
            for keeper in pair.keepers:
                await keeper.step()
        assert pair.keepers[0].fencing_token() == 1
        assert not pair.keepers[1].is_held()

    async def test_suspended_holder_loses_the_lease_by_its_own_clock(
        self, pair
    ):
        pair.clock.advance(TERM_S - POLICY.safety_margin_ms / 1000)
        with pytest.raises(exceptions.LeaseLost):
            pair.keepers[0].fencing_token()
        with pytest.raises(exceptions.LeaseLost):
            pair.keepers[0].condition()

    async def test_new_holder_waits_for_the_longest_order(self, pair):
        await pair.take_over()
        new = pair.keepers[1]
        assert new.is_held()
        with pytest.raises(exceptions.LeaseLost):
            new.fencing_token()
        pair.clock.advance(LONGEST_ORDER_S)
        assert new.fencing_token() == 2

    async def test_suspended_holder_cannot_commit(self, pair):
        condition = pair.keepers[0].condition()
        await pair.take_over()
        with pytest.raises(exceptions.TableConflict):
            await pair.table.transact([condition], [])
        await pair.keepers[0].step()
        assert not pair.keepers[0].is_held()

    async def test_released_lease_is_acquired_without_waiting(self, pair):
        await pair.keepers[0].release()
        await pair.keepers[1].step()
        assert pair.keepers[1].fencing_token() == 2

    async def test_process_with_the_same_name_does_not_share_the_lease(
        self, pair
    ):
        namesake = leases.LeaseKeeper(
            "releases", "entry-0", pair.table, POLICY, pair.clock
        )
        await namesake.step()
        assert not namesake.is_held()
        pair.clock.advance(TERM_S)
        await namesake.step()
        assert namesake.is_held()
        await pair.keepers[0].step()
        assert not pair.keepers[0].is_held()

    @pytest.mark.parametrize(
        ("fault", "reads", "held"),
        [
            (Fault.LOST_ANSWER, [], True),
            (Fault.LOST_REQUEST, [], False),
            (Fault.UNAVAILABLE, [], False),
            (Fault.LOST_ANSWER, [False, False, True], False),
        ],
    )
    async def test_acquisition_when_the_write_fails(self, fault, reads, held):
        pair = KeeperPair()
        pair.table.faults.append(fault)
        pair.table.read_faults.extend(reads)
        await pair.keepers[0].step()
        assert pair.keepers[0].is_held() is held
        await pair.keepers[1].step()
        assert sum(keeper.is_held() for keeper in pair.keepers) <= 1

    async def test_lease_lapses_in_an_outage_and_is_reacquired(self, pair):
        pair.table.down = True
        for _ in range(8):
            pair.clock.advance(0.5)
            await pair.keepers[0].step()
        assert not pair.keepers[0].is_held()
        pair.table.down = False
        await pair.keepers[0].step()
        pair.clock.advance(LONGEST_ORDER_S)
        assert pair.keepers[0].fencing_token() == 2

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.integers(0, 1),
                st.floats(0, 2),
                st.sampled_from(Fault),
            ),
            max_size=40,
        )
    )
    async def test_one_holder_at_most_and_fencing_tokens_increase(self, steps):
        pair = KeeperPair()
        highest = 0
        for number, elapsed_s, fault in steps:
            pair.clock.advance(elapsed_s)
            pair.table.faults.append(fault)
            await pair.keepers[number].step()
            holders = [keeper for keeper in pair.keepers if keeper.is_held()]
            assert len(holders) <= 1
            for keeper in holders:
                fencing_token = keeper.lease.view.record.fencing
                assert fencing_token >= highest
                highest = fencing_token
