"""Copies of streams that found no holder when they started."""

import asyncio

import pytest

from sassafrasflow.admission import copying
from sassafrasflow.admission.tests import virtual_loop
from sassafrasflow.gateway import copies
from sassafrasflow.gateway import targets
from sassafrasflow.gateway.tests import test_targets


def stream(prompt=8_200, remaining_s=5.0, *, is_read=True):
    """Return a stream without a copy."""
    return copying.RunningStream(prompt, remaining_s, is_read)


class TestChoice:
    """Guard against copies of streams that lose little without one.

    Load: 105 of 269 streams that were lost had no copy, as engines were full
    when they started.
    """

    @pytest.mark.parametrize(
        ("streams", "position"),
        [
            ([], None),
            ([stream()], 0),
            ([stream(), stream(32_800)], 1),
            ([stream(), stream(remaining_s=8.0)], 1),
            ([stream(remaining_s=8.0), stream(32_800, 2.5)], 1),
            ([stream(remaining_s=1.4)], None),
            ([stream(remaining_s=0.0), stream(100)], 1),
            ([stream(is_read=False)], None),
            ([stream(32_800, is_read=False), stream()], 1),
        ],
    )
    def test_most_costly_loss_comes_first(self, streams, position):
        assert copying.choose_next(streams, waiting=0) == position

    def test_waiting_streams_have_precedence(self):
        assert copying.choose_next([stream()], waiting=1) is None


class TestSearches:
    """Guard against instances that query owners without end."""

    def test_one_search_a_second(self):
        now = 100.0
        searches = copying.CopySearches(lambda: now)
        describes = [
            lambda number=number: stream(1_000 * number)
            for number in range(1, 4)
        ]
        for describe in describes:
            searches.add(describe)
        begun = []
        for step in range(40):
            now = 100.0 + step * 0.1
            begun += [
                (step, index)
                for index, describe in enumerate(describes)
                if searches.try_begin(describe, 0)
            ]
        assert begun == [(0, 2), (10, 2), (20, 2), (30, 2)]

    def test_ended_stream_is_removed(self):
        searches = copying.CopySearches(lambda: 100.0)
        searches.add(stream)
        searches.remove(stream)
        searches.remove(stream)
        assert not searches.try_begin(stream, 0)
        assert len(searches) == 0


class Maker(copies.CopyMaker):
    """Take a second for each copy, and give one of some answers."""

    def __init__(self, *handles):
        self.handles = list(handles)
        self.holders = []

    async def make(self, source, attempt_id, holder):
        self.holders.append(holder.id)
        await asyncio.sleep(1.0)
        return self.handles.pop(0) if self.handles else None


def engine(name):
    return targets.Target(test_targets.listed(name), 1)


class Setup:
    """Maintainer of a run without a copy, and two possible holders."""

    def __init__(self, maker, *, first=None, may_search=True):
        self.source = engine("source")
        self.holders = [engine("h1"), engine("h2")]
        self.lost = set()
        self.changes = []
        self.maker = maker
        self.maintainer = copies.CopyMaintainer(
            maker,
            self.source,
            "a1",
            first,
            self.choose,
            lambda held: held.id in self.lost,
            lambda: may_search,
            self.count,
            lambda old, new: self.changes.append((old, new)),
        )

    async def choose(self):
        usable = [each for each in self.holders if each.id not in self.lost]
        return usable[0] if usable else None

    def count(self, holder, change):
        holder.copies += change

    @property
    def counted(self):
        return [each.copies for each in self.holders]

    async def run_for(self, seconds, at=None, event=None):
        """Let the maintainer run, with an event in between; then end it."""
        task = asyncio.create_task(self.maintainer.run())
        if at is not None:
            await asyncio.sleep(at)
            event()
        await asyncio.sleep(seconds - (at or 0))
        seen = self.counted
        # The run ends, as its caller has disconnected, the instance stops or
        # its engine has died.
        task.cancel()
        self.maintainer.close()
        await asyncio.wait([task])
        return seen


class TestLateCopy:
    """Guard against copies that stay counted, or are counted too late."""

    def test_run_without_a_copy_gets_one(self):
        setup = Setup(Maker("k1"))
        assert virtual_loop.run(setup.run_for(1.5)) == [1, 0]
        assert setup.maintainer.copy.handle == "k1"
        assert [old for old, _ in setup.changes] == [None]
        assert setup.counted == [0, 0]

    def test_copy_counts_while_it_is_made(self):
        setup = Setup(Maker("k1"))
        assert virtual_loop.run(setup.run_for(0.5)) == [1, 0]

    @pytest.mark.parametrize("end_s", [0.1, 0.3, 0.9, 1.24, 1.25, 1.26, 3.0])
    def test_end_of_the_run_leaves_nothing_counted(self, end_s):
        """Load: callers disconnect, instances stop, engines die.

        Each of them may happen while the copy is made.
        """
        setup = Setup(Maker("k1", "k2", "k3"))
        virtual_loop.run(setup.run_for(end_s))
        assert setup.counted == [0, 0]

    def test_lost_answer_to_the_order(self):
        setup = Setup(Maker(None, "k2"))
        assert virtual_loop.run(setup.run_for(1.4)) == [0, 0]
        assert setup.maintainer.copy is None
        setup = Setup(Maker(None, "k2"))
        assert virtual_loop.run(setup.run_for(3.5)) == [1, 0]
        assert setup.counted == [0, 0]

    def test_failures_end_the_search(self):
        setup = Setup(Maker())
        assert virtual_loop.run(setup.run_for(60.0)) == [0, 0]
        assert len(setup.maker.holders) == copies.MAX_CONSECUTIVE_FAILURES

    def test_holder_is_lost_while_the_copy_is_made(self):
        setup = Setup(Maker("k1", "k2"))
        lose = setup.run_for(3.0, 0.5, lambda: setup.lost.add("h1"))
        assert virtual_loop.run(lose) == [0, 1]
        assert setup.maker.holders == ["h1", "h2"]
        assert setup.counted == [0, 0]

    def test_no_copy_out_of_turn(self):
        setup = Setup(Maker("k1"), may_search=False)
        assert virtual_loop.run(setup.run_for(5.0)) == [0, 0]
        assert not setup.maker.holders

    def test_lost_holder_is_replaced_out_of_turn(self):
        holder = engine("h0")
        holder.copies = 1
        setup = Setup(Maker("k1"), first=copies.Copy(holder), may_search=False)
        setup.lost.add("h0")
        assert virtual_loop.run(setup.run_for(1.5)) == [1, 0]
        assert holder.copies == 0
        assert setup.counted == [0, 0]
