"""Tests of rollouts in virtual time whose store is restored from a copy."""

import msgspec
import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import trials
from sassafrasflow.gateway.tests import rollout_simulation as simulation

OTHER = ids.VersionId("v3")
# Revision of an order that operators write again after a restore.
REWRITTEN = 130


class Site:
    """Simulate one rollout in a store that can be restored."""

    def __init__(self, answer=simulation.sound, **changes):
        self.sim = simulation.Simulation(answer, era=1, **changes)
        self.table = self.sim.table

    def restore(self, copy=None):
        """Go back to a copy, by default one before the first state."""
        self.table.restore(copy or (None, 99))
        self.table.history.clear()

    def learn(self, names=None):
        """Let instances read in the new era."""
        for name in names or self.sim.instance_names:
            self.sim.eras[name].record(self.table.era)

    def order(self, revision=REWRITTEN, names=None, **changes):
        """Let instances read an order in the current era."""
        order = msgspec.structs.replace(
            self.sim.order,
            revision=revision,
            era=ids.StoreEra(self.table.era),
            **changes,
        )
        for name in names or self.sim.instance_names:
            self.sim.managers[name].handle_orders([order])

    def rollouts(self):
        return [
            manager.get(simulation.POOL)
            for manager in self.sim.managers.values()
        ]

    def stages(self):
        return {rollout.stage for rollout in self.rollouts()}


class TestEndedRollout:
    """An ended rollout stays ended, whatever the store has lost."""

    @pytest.mark.parametrize(
        "answer, stage",
        [
            (simulation.sound, rollouts.Stage.COMPLETED),
            (simulation.failing, rollouts.Stage.ROLLED_BACK),
        ],
    )
    @pytest.mark.parametrize("state_kept", [False, True])
    @pytest.mark.parametrize("delay_s", [0.0, 3.0])
    def test_order_written_again_does_not_begin_it_again(
        self, answer, stage, state_kept, delay_s
    ):
        site = Site(answer)
        sim = site.sim
        sim.run(until=1.0)
        copy = site.table.copy() if state_kept else None
        sim.run(until=41.0)
        assert sim.stage is stage
        sent = len(sim.sent_at), sim.requests
        half = sim.instance_names[::2]
        sim.run(
            until=55.0,
            events=[
                (42.0, lambda: site.restore(copy)),
                (42.2, lambda: site.learn(half)),
                (43.0, lambda: site.order(names=half)),
                (43.0 + delay_s, site.learn),
                (43.1 + delay_s, site.order),
            ],
        )
        assert site.stages() == {stage}
        assert set(site.table.history) == {stage}
        new = len(sim.sent_at) - sent[0]
        requests = sim.requests - sent[1]
        assert new == (requests if stage is rollouts.Stage.COMPLETED else 0)

    def test_lost_state_is_written_again_before_the_order_is(self):
        site = Site()
        site.sim.run(
            until=45.0,
            events=[(42.0, site.restore), (42.5, site.learn)],
        )
        assert site.table.history == [rollouts.Stage.COMPLETED]

    @pytest.mark.parametrize("kept", [False, True])
    def test_leader_that_has_just_started_does_not_begin_it_again(self, kept):
        site = Site()
        sim = site.sim

        def restart():
            site.restore()
            sim.start("entry-0")
            if kept:
                site.order(7)

        def learn():
            site.learn()
            site.order()

        sim.run(until=50.0, events=[(42.0, restart), (44.0, learn)])
        assert site.stages() == {rollouts.Stage.COMPLETED}
        assert set(site.table.history) == {rollouts.Stage.COMPLETED}

    def test_second_restore_before_the_order_is_written_again(self):
        site = Site()
        site.sim.run(
            until=50.0,
            events=[
                (42.0, site.restore),
                (42.3, site.learn),
                (43.0, site.restore),
                (43.3, site.learn),
                (44.0, site.order),
            ],
        )
        assert site.stages() == {rollouts.Stage.COMPLETED}
        assert site.table.history == [rollouts.Stage.COMPLETED]

    def test_state_of_another_instance_that_began_it_again_is_replaced(self):
        site = Site()
        sim = site.sim

        def begin_again():
            site.table.restore((None, 99))
            order = rollouts.Order(simulation.POOL, simulation.NEW, 40, 130, 2)
            site.table.write(
                rollouts.Record(
                    simulation.POOL,
                    simulation.NEW,
                    order.revision,
                    42_000,
                    82_000,
                    rollouts.Stage.TRYING,
                    orders=(order.row_version,),
                )
            )

        sim.run(
            until=50.0,
            events=[(42.0, begin_again), (42.5, site.learn)],
        )
        assert sim.stage is rollouts.Stage.COMPLETED


class TestRolloutInProgress:
    """A rollout in progress goes on with its deadline and its counts."""

    @pytest.mark.parametrize("at", [0.6, 5.0, 20.0, 35.0, 38.4])
    @pytest.mark.parametrize(
        "answer", [simulation.sound, simulation.failing_late]
    )
    def test_restore_does_not_change_its_end(self, at, answer):
        site = Site(answer)
        half = site.sim.instance_names[1::2]
        site.sim.run(
            events=[
                (at, site.restore),
                (at + 0.2, lambda: site.learn(half)),
                (at + 0.5, lambda: site.order(names=half)),
                (at + 0.8, site.learn),
                (at + 1.0, site.order),
            ],
        )
        if answer is simulation.sound:
            site.sim.assert_completed()
        else:
            site.sim.assert_rolled_back()

    def test_later_deadline_of_an_instance_without_the_order_is_not_used(
        self,
    ):
        site = Site()
        sim = site.sim

        def restart():
            site.restore()
            sim.start("entry-0")
            site.learn()
            site.order()

        sim.run(events=[(20.0, restart)])
        sim.assert_completed()

    def test_counts_of_instances_in_the_former_era_are_used(self):
        """Half of the instances miss the restore."""
        site = Site(simulation.failing, rate=10.0)
        sim = site.sim
        half = sim.instance_names[::2]
        sim.run(
            until=30.0,
            events=[
                (0.5, site.restore),
                (0.6, lambda: site.learn(half)),
                (0.6, lambda: site.order(names=half)),
            ],
        )
        sim.assert_rolled_back()
        leader = sim.managers["entry-0"].get(simulation.POOL)
        reported = {sender for sender, _ in leader.counts_by_peer_incarnation}
        assert reported == set(sim.instance_names) - {"entry-0"}

    def test_older_counts_of_the_copy_do_not_replace_newer_ones(self):
        """The instances have just started, so only the row had the counts."""
        site = Site()
        sim = site.sim
        sim.run(until=7.0)
        copy = site.table.copy()
        sim.run(until=19.0)
        sim.restart_all()
        sim.run(until=20.0)
        before = sim.managers["entry-0"].get(simulation.POOL).record
        assert before.requests
        trials_before = self._trials(site)
        site.restore(copy)
        site.learn()
        sim.run(until=20.5)
        for rollout in site.rollouts():
            assert rollout.record.row_version.era == 2
            assert rollout.record.requests >= before.requests
            assert rollout.record.exposed >= before.exposed
        assert self._trials(site) >= trials_before

    def _trials(self, site):
        rollout = site.sim.managers["entry-0"].get(simulation.POOL)
        return sum(cell.tally.answers for cell in rollout.evidence.cells())


class TestOrders:
    """Orders are told apart although versions are given out again."""

    def start(self):
        """Return a site with an order that replaced one of 'v3'."""
        site = Site()
        earlier = rollouts.Order(simulation.POOL, OTHER, 40.0, 5, 1)
        for name in site.sim.instance_names:
            site.sim.start(name)
            for orders in ([], [earlier], [site.sim.order]):
                site.sim.managers[name].handle_orders(orders)
        site.sim.run(until=41.0)
        return site

    def versions(self, site):
        return {rollout.order.version for rollout in site.rollouts()}

    def test_replaced_order_that_the_copy_holds_is_not_carried_out(self):
        site = self.start()
        before = site.rollouts()
        site.restore()
        site.learn()
        site.order(5, version=OTHER)
        assert self.versions(site) == {simulation.NEW}
        site.sim.run(until=43.0)
        site.order()
        site.sim.run(until=45.0)
        assert site.rollouts() == before
        assert site.stages() == {rollouts.Stage.COMPLETED}

    def test_leader_that_has_just_started_does_not_carry_it_out(self):
        """Its peers alone know that the order in the copy was replaced."""
        site = self.start()

        def restart():
            site.restore()
            site.sim.start("entry-0")
            site.learn()
            site.order(5, version=OTHER)

        site.sim.run(until=45.0, events=[(42.0, restart)])
        assert len(site.table.history) == 1
        site.order()
        site.sim.run(until=47.0)
        assert set(site.table.history) == {rollouts.Stage.COMPLETED}
        assert self.versions(site) == {simulation.NEW}
        assert site.stages() == {rollouts.Stage.COMPLETED}

    def test_replaced_order_that_is_written_again_first_is_replaced(self):
        site = self.start()
        before = site.rollouts()
        site.restore()
        site.learn()
        site.order(120, version=OTHER)
        site.order()
        assert site.rollouts() == before

    def test_order_of_another_version_begins(self):
        site = self.start()
        site.restore()
        site.learn()
        site.order()
        site.order(140, version=OTHER)
        assert self.versions(site) == {OTHER}
        assert site.stages() == {None}

    def test_known_revision_of_another_version_begins(self):
        site = self.start()
        site.restore()
        site.learn()
        site.order(7, version=ids.VersionId("v4"))
        assert self.versions(site) == {"v4"}

    def test_order_that_is_repeated_in_the_new_era_begins(self):
        site = self.start()
        site.restore()
        site.learn()
        site.order()
        site.order(140)
        assert site.stages() == {None}
        site.sim.run(until=83.0)
        assert site.stages() == {rollouts.Stage.COMPLETED}
        assert rollouts.Stage.TRYING in site.table.history

    def test_late_read_of_the_former_era_changes_nothing(self):
        site = self.start()
        site.restore()
        site.learn()
        site.order()
        before = site.rollouts()
        late = rollouts.Order(simulation.POOL, OTHER, 40.0, 900, 1)
        for manager in site.sim.managers.values():
            manager.handle_orders([late])
        assert site.rollouts() == before


class TestMessages:
    """Messages count for their order only, whichever era they name."""

    def manager(self):
        site = Site()
        site.restore()
        site.learn()
        site.order()
        site.order(140)
        return site.sim.managers["entry-0"]

    def news(self, *orders):
        return rollouts.News(
            ids.InstanceId("entry-1"),
            rollouts.Record(
                simulation.POOL,
                simulation.NEW,
                orders[-1][1] if orders else 140,
                0,
                40_000,
                rollouts.Stage.COMPLETED,
                revision=150,
                orders=orders,
            ),
            trials.Finding.GOOD,
        )

    @pytest.mark.parametrize(
        "orders", [[(1, 7)], [(2, REWRITTEN)], [(1, 7), (2, REWRITTEN)]]
    )
    def test_state_of_the_order_before_is_not_used(self, orders):
        manager = self.manager()
        manager.handle_news(self._decode(self.news(*orders)))
        assert manager.get(simulation.POOL).record is None

    @pytest.mark.parametrize("orders", [[], [(2, 140)], [(2, 140), (3, 20)]])
    def test_state_of_the_order_is_used(self, orders):
        """A message of older software names the revision alone."""
        manager = self.manager()
        manager.handle_news(self._decode(self.news(*orders)))
        stage = manager.get(simulation.POOL).stage
        assert stage is rollouts.Stage.COMPLETED

    def test_report_of_older_software_is_counted(self):
        manager = self.manager()
        report = trials.Report(
            ids.InstanceId("entry-1"), 0, simulation.POOL, 140, 9, 3, ()
        )
        content = msgspec.to_builtins(report)[:8]
        manager.handle_report(msgspec.convert(content, trials.Report))
        assert manager.get(simulation.POOL).totals() == (9, 3)

    def _decode(self, news):
        return msgspec.msgpack.decode(
            msgspec.msgpack.encode(news), type=rollouts.News
        )
