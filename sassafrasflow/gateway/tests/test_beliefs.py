"""What an instance believes of its targets."""

import msgspec
import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import targets
from sassafrasflow.gateway.targets import Health


def listed(name="t1", **changes) -> targets.ListedTarget:
    """Return an entry."""
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
    """The newest entry of each target counts."""

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

    def test_list_without_a_target_removes_it(self):
        directory = targets.Directory()
        directory.apply([change(1, listed())], 0.0)
        directory.replace([], 7, 1.0)
        assert not directory.usable("pool")

    def test_second_start_under_one_id_forgets_the_first(self):
        directory = targets.Directory()
        directory.apply([change(1, listed())], 0.0)
        directory.get("t1").note_loss(1.0)
        directory.apply([change(2, listed(started_ms=2))], 1.1)
        assert directory.get("t1").health(1.1) is Health.GOOD

    @pytest.mark.parametrize("back_at, usable", [(1.9, True), (None, False)])
    def test_entry_that_lapsed_in_an_outage(self, back_at, usable):
        directory = targets.Directory()
        directory.apply([change(1, listed())], 0.0)
        directory.note_restored(10.0)
        directory.replace([], 2, 10.0)
        assert directory.usable("pool")
        if back_at is not None:
            directory.apply([change(3, listed())], 10.0 + back_at)
        directory.expire(12.5)
        assert bool(directory.usable("pool")) is usable

    def test_entry_that_lapsed_without_an_outage_is_gone(self):
        directory = targets.Directory()
        directory.apply([change(1, listed()), change(2)], 0.0)
        assert not directory.usable("pool")


class TestHealth:
    """Losses and failures, until something newer speaks against them."""

    def test_loss_holds_until_a_restart_is_likely(self):
        target = targets.Target(listed(), 1)
        target.note_loss(10.0)
        assert target.health(11.0) is Health.LOST
        assert target.health(11.6) is Health.DOUBTFUL

    def test_heartbeat_written_before_the_loss_does_not_end_it(self):
        target = targets.Target(listed(), 1)
        target.note_loss(10.0)
        target.note_heartbeat(11.0)
        assert target.lost_at is not None
        target.note_heartbeat(12.1)
        assert target.health(12.1) is Health.GOOD

    def test_repeated_failures_make_a_last_resort(self):
        target = targets.Target(listed(), 1)
        for at in (1.0, 1.5, 2.0):
            target.note_failure(at)
        assert target.health(2.0) is Health.DOUBTFUL
        assert target.health(7.0) is Health.GOOD

    def test_answer_ends_doubt(self):
        target = targets.Target(listed(), 1)
        target.note_loss(1.0)
        target.note_success()
        assert target.health(1.1) is Health.GOOD
