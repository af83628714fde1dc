"""Directory of targets, their health and the search for successors."""

import msgspec
import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import successors
from sassafrasflow.gateway import targets
from sassafrasflow.gateway.targets import Health


def listed(name="t1", **changes) -> targets.ListedTarget:
    """Return the entry of a target."""
    entry = targets.ListedTarget(
        id=ids.TargetId(name),
        service=ids.ServiceName("pool"),
        host="10.0.0.1",
        port=80,
        data_centre=ids.DataCentre("a"),
        slots=4,
        started_ms=1,
    )
    return msgspec.structs.replace(entry, **changes)


def change(revision, entry=None, name="t1") -> targets.TargetChange:
    """Return a change of one target."""
    return targets.TargetChange(ids.TargetId(name), revision, entry)


LEAVING = targets.ListedState.LEAVING


class TestDirectory:
    """The newest entry of each target counts, in any order of arrival."""

    def test_older_revision_is_ignored(self):
        directory = targets.Directory()
        directory.apply([change(5, listed(state=LEAVING))], 0.0)
        directory.apply([change(4, listed())], 0.0)
        assert not directory.usable("pool")

    def test_removed_target_stays_removed(self):
        directory = targets.Directory()
        directory.apply([change(5, listed()), change(6)], 0.0)
        directory.apply([change(5, listed())], 1.0)
        assert not directory.usable("pool")

    def test_leaving_target_is_not_usable(self):
        directory = targets.Directory()
        directory.apply([change(1, listed())], 0.0)
        directory.apply([change(2, listed(state=LEAVING))], 0.0)
        assert not directory.usable("pool")

    def test_target_missing_from_a_complete_list_is_removed(self):
        directory = targets.Directory()
        directory.apply([change(1, listed())], 0.0)
        directory.replace([], 7, 1.0)
        assert not directory.usable("pool")

    def test_new_incarnation_does_not_inherit_the_health_of_the_old(self):
        directory = targets.Directory()
        directory.apply([change(1, listed())], 0.0)
        directory.get("t1").record_loss(1.0)
        directory.apply([change(2, listed(started_ms=2))], 1.1)
        assert directory.get("t1").health(1.1) is Health.GOOD

    @pytest.mark.parametrize("back_at, usable", [(1.9, True), (None, False)])
    def test_entry_that_lapsed_in_an_outage_gets_a_grace_period(
        self, back_at, usable
    ):
        directory = targets.Directory()
        directory.apply([change(1, listed())], 0.0)
        directory.record_store_regained(10.0)
        directory.replace([], 2, 10.0)
        assert directory.usable("pool")
        if back_at is not None:
            directory.apply([change(3, listed())], 10.0 + back_at)
        directory.expire(12.5)
        assert bool(directory.usable("pool")) is usable

    def test_entry_that_lapsed_without_an_outage_is_removed(self):
        directory = targets.Directory()
        directory.apply([change(1, listed()), change(2)], 0.0)
        assert not directory.usable("pool")


class TestEndedTarget:
    """Each end of an incarnation that the list shows is reported once."""

    @pytest.fixture
    def ended(self):
        """Return the ids and start times of targets reported as ended."""
        return []

    @pytest.fixture
    def directory(self, ended):
        directory = targets.Directory()
        directory.on_ended = lambda target: ended.append(
            (target.id, target.listed.started_ms)
        )
        directory.apply([change(1, listed())], 0.0)
        return directory

    def test_removed_entry_ends(self, directory, ended):
        directory.apply([change(2)], 0.0)
        assert ended == [("t1", 1)]

    def test_entry_that_is_rewritten_after_an_outage_does_not_end(
        self, directory, ended
    ):
        directory.record_store_regained(10.0)
        directory.replace([], 2, 10.0)
        directory.apply([change(3, listed())], 11.0)
        directory.expire(20.0)
        assert not ended

    def test_entry_that_is_not_rewritten_after_an_outage_ends(
        self, directory, ended
    ):
        directory.record_store_regained(10.0)
        directory.replace([], 2, 10.0)
        assert not ended
        directory.expire(20.0)
        assert ended == [("t1", 1)]

    def test_new_incarnation_under_the_same_id_ends_the_old(
        self, directory, ended
    ):
        directory.apply([change(2, listed(started_ms=2))], 0.0)
        assert ended == [("t1", 1)]

    def test_new_id_at_the_same_address_ends_the_old(self, directory, ended):
        directory.apply([change(2, listed("t2"), "t2")], 0.0)
        assert ended == [("t1", 1)]

    def test_list_may_name_the_successor_first(self, ended):
        directory = targets.Directory()
        directory.on_ended = lambda target: ended.append(target.id)
        directory.replace(
            [change(9, listed("t2"), "t2"), change(1, listed())], 9, 0.0
        )
        assert ended == ["t1"]

    def test_end_is_reported_once(self, directory, ended):
        directory.apply([change(2, listed("t2"), "t2")], 0.0)
        directory.apply([change(3)], 0.0)
        assert ended == [("t1", 1)]

    def test_removed_entry_is_no_proof_of_the_end(self, directory):
        target = directory.get("t1")
        directory.apply([change(2)], 0.0)
        assert target.ended and not target.replaced

    def test_entry_that_is_not_rewritten_is_no_proof_of_the_end(
        self, directory
    ):
        target = directory.get("t1")
        directory.record_store_regained(10.0)
        directory.replace([], 2, 10.0)
        directory.expire(20.0)
        assert target.ended and not target.replaced

    @pytest.mark.parametrize(
        "name, changes",
        [
            ("t1", {"started_ms": 2}),
            ("t1", {"started_ms": 2, "port": 9}),
            ("t2", {}),
        ],
        ids=["same-id", "same-id-elsewhere", "same-address"],
    )
    def test_successor_proves_the_end_of_a_removed_target(
        self, directory, ended, name, changes
    ):
        target = directory.get("t1")
        directory.apply([change(2)], 0.0)
        directory.apply([change(3, listed(name, **changes), name)], 0.0)
        assert target.replaced
        assert ended == [("t1", 1)] * 2

    def test_entry_that_is_written_again_replaces_no_target(
        self, directory, ended
    ):
        target = directory.get("t1")
        directory.apply([change(2)], 0.0)
        directory.apply([change(3, listed())], 0.0)
        assert not target.replaced
        assert ended == [("t1", 1)]

    def test_other_target_elsewhere_replaces_no_target(self, directory):
        target = directory.get("t1")
        directory.apply([change(2)], 0.0)
        directory.apply([change(3, listed("t2", port=9), "t2")], 0.0)
        assert not target.replaced

    def test_few_removed_targets_are_remembered(self):
        directory = targets.Directory()
        for number in range(targets.MAX_REMOVED_TARGETS + 10):
            name = f"t{number}"
            entry = listed(name, port=number)
            directory.apply([change(2 * number, entry, name)], 0.0)
            directory.apply([change(2 * number + 1, None, name)], 0.0)
        assert len(directory._removed) == 2 * targets.MAX_REMOVED_TARGETS

    def test_new_address_of_an_incarnation_does_not_end_it(
        self, directory, ended
    ):
        directory.apply([change(2, listed(port=9))], 0.0)
        directory.apply([change(3, listed("t2"), "t2")], 0.0)
        assert not ended


class TestHealth:
    """Health after losses and failures, until newer evidence replaces it."""

    def test_lost_target_becomes_doubtful_when_a_restart_is_likely(self):
        target = targets.Target(listed(), 1)
        target.record_loss(10.0)
        assert target.health(11.0) is Health.LOST
        assert target.health(11.6) is Health.DOUBTFUL

    def test_target_that_stays_listed_becomes_good_again(self):
        target = targets.Target(listed(), 1)
        target.record_loss(10.0)
        assert target.health(14.4) is Health.DOUBTFUL
        assert target.health(14.6) is Health.GOOD

    def test_repeated_failures_make_a_target_doubtful(self):
        target = targets.Target(listed(), 1)
        for at in (1.0, 1.5, 2.0):
            target.record_failure(at)
        assert target.health(2.0) is Health.DOUBTFUL
        assert target.health(7.0) is Health.GOOD

    def test_complete_answer_clears_a_loss(self):
        target = targets.Target(listed(), 1)
        target.record_loss(1.0)
        target.record_success(1.05)
        assert target.health(1.1) is Health.GOOD


class TestSuccessors:
    """Restarted engines are adopted while the store is down.

    Engines that crash during an outage return under new ids, and no list can
    name them.
    """

    def is_inspection_due(
        self, target, now, *, inspected_at=None, common=None
    ):
        return successors.is_inspection_due(target, inspected_at, common, now)

    def test_lost_engine_is_inspected_after_its_restart(self):
        target = targets.Target(listed(), 1)
        target.record_loss(10.0)
        assert not self.is_inspection_due(target, 11.0)
        assert self.is_inspection_due(target, 11.3)
        assert not self.is_inspection_due(target, 11.5, inspected_at=11.3)
        assert not self.is_inspection_due(target, 30.0)

    def test_replaced_engine_is_inspected_at_once(self):
        target = targets.Target(listed(), 1)
        target.ended = True
        assert self.is_inspection_due(target, 10.1)

    def test_idle_engine_is_inspected_after_losses_in_its_data_centre(self):
        idle, confirmed = (
            targets.Target(listed(), 1),
            targets.Target(listed(), 1),
        )
        confirmed.record_success(10.5)
        assert self.is_inspection_due(idle, 11.4, common=10.0)
        assert not self.is_inspection_due(confirmed, 11.4, common=10.0)

    def test_correlated_losses_are_counted_by_data_centre(self):
        lost = [targets.Target(listed(f"t{n}"), 1) for n in range(2)]
        alone = targets.Target(
            listed("t9", data_centre=ids.DataCentre("b")), 1
        )
        for target in [*lost, alone]:
            target.record_loss(10.0)
        losses = successors.correlated_losses([*lost, alone], 11.0)
        assert losses == {"a": 10.0}

    @pytest.mark.parametrize("engines, found", [(1, "s0"), (2, None)])
    def test_successors_are_added_only_to_a_sole_engine_service(
        self, engines, found
    ):
        profile = routes.EngineProfile(4, 1000)
        services = {
            f"s{n}": routes.Service(f"s{n}", 10, profile)
            for n in range(engines)
        }
        services["calls"] = routes.Service("calls", 10)
        cfg = routes.Configuration(
            1, {}, services, None, routes.CallerLimits()
        )
        assert successors.sole_engine_service(cfg) == found

    def test_successor_that_is_already_listed_is_not_dropped(self):
        """Guard against listed engines that are dropped after an outage.

        On the benchmark's day scale-2 six engines were dropped 2.3 s after an
        outage, as they had been added as successors although they were listed
        already.
        """
        directory = targets.Directory()
        directory.apply(
            [change(1, listed("old"), "old"), change(2, listed("new"), "new")],
            0.0,
        )
        directory.add_unlisted(listed("new"), predecessor=ids.TargetId("old"))
        directory.record_store_regained(10.0)
        directory.expire(13.0)
        assert [t.id for t in directory.usable("pool")] == ["new"]


class TestRestoredStore:
    """Entries of a restored store are older than what is known of targets."""

    def directory(self, *changes):
        directory = targets.Directory()
        directory.replace([], 1, 0.0, era=1)
        directory.apply(changes, 0.0)
        return directory

    def test_entry_of_a_removed_target_is_not_used_at_once(self):
        directory = self.directory(change(5, listed()), change(6))
        directory.replace([change(5, listed())], 5, 1.0, era=2)
        assert not directory.usable("pool")

    def test_entry_that_stays_listed_is_used(self):
        directory = self.directory(change(5, listed()), change(6))
        directory.replace([change(5, listed())], 5, 1.0, era=2)
        assert not directory.release_held(5.4)
        assert directory.release_held(5.6)
        assert directory.usable("pool")

    def test_leaving_target_does_not_become_ready_again(self):
        directory = self.directory(
            change(5, listed()), change(6, listed(state=LEAVING))
        )
        directory.replace([change(5, listed())], 5, 1.0, era=2)
        assert not directory.usable("pool")
        assert directory.get("t1") is not None

    def test_entry_that_is_written_again_is_used(self):
        directory = self.directory(change(5, listed()), change(6))
        directory.replace([change(5, listed())], 5, 1.0, era=2)
        directory.apply([change(6, listed())], 1.1)
        assert directory.usable("pool")
        assert not directory.release_held(9.0)

    def test_change_before_the_first_list_is_not_undone_by_it(self):
        directory = self.directory(change(5, listed()), change(6))
        directory.begin_era(2)
        directory.apply([change(6, listed())], 1.0)
        directory.replace([change(6, listed())], 6, 1.1, era=2)
        assert directory.usable("pool")

    def test_successor_keeps_its_address(self):
        new = listed("t2", started_ms=2)
        directory = self.directory(change(7, new, "t2"))
        directory.record_store_regained(1.0)
        directory.replace([change(5, listed())], 5, 1.0, era=2)
        assert not directory.get("t2").ended
        assert directory.get("t1").ended

    def test_earlier_incarnation_does_not_replace_its_successor(self):
        directory = self.directory(
            change(5, listed()), change(6, listed(started_ms=2))
        )
        directory.replace([change(5, listed())], 5, 1.0, era=2)
        assert directory.get("t1").listed.started_ms == 2
