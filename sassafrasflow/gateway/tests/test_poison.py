"""Requests that crash their targets, told from those that die with them."""

import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import poison

REQUEST = poison.fingerprint_of(ids.OrganisationId("club"), "/plan/1", b"log")
HALF = poison.DOUBTFUL_WEIGHT


def crash(name, began_at, crashed_at, weight=1.0, started_ms=0):
    return poison.Crash(
        ids.TargetId(name), started_ms, began_at, crashed_at, weight
    )


class TestFingerprint:
    def test_same_request_under_another_attempt_is_the_same(self):
        again = poison.fingerprint_of(
            ids.OrganisationId("club"), "/plan/1", b"log"
        )
        assert again == REQUEST

    @pytest.mark.parametrize(
        "organisation, url, body",
        [
            ("shop", "/plan/1", b"log"),
            ("club", "/plan/2", b"log"),
            ("club", "/plan/1", b"logs"),
            ("club", "/plan/1l", b"og"),
        ],
    )
    def test_another_request_is_another(self, organisation, url, body):
        found = poison.fingerprint_of(
            ids.OrganisationId(organisation), url, body
        )
        assert found != REQUEST


class TestRecurrence:
    """Only crashes that followed one another are further evidence."""

    @pytest.mark.parametrize(
        "crashes, weight",
        [
            ([], 0.0),
            ([crash("t1", 0, 1)], 1.0),
            # A retry, or a copy that came later.
            ([crash("t1", 0, 1), crash("t2", 1, 2)], 2.0),
            # Copies at the same time: one event took both.
            ([crash("t1", 0, 1), crash("t2", 0.9, 1.1)], 1.0),
            # Copies that overlap in a chain are half as many events.
            ([crash(f"t{n}", n, n + 1.5) for n in range(4)], 2.0),
            # One long run says no more than the short ones within it.
            ([crash("t1", 0, 9), crash("t2", 0, 1), crash("t3", 2, 3)], 2.0),
            # The clearer of two crashes at the same time counts.
            ([crash("t1", 0, 1, HALF), crash("t2", 0, 1)], 1.0),
            ([crash("t1", 0, 1, HALF), crash("t2", 2, 3)], 1.5),
        ],
    )
    def test_weight(self, crashes, weight):
        assert poison.recurrence(crashes) == weight
        assert poison.recurrence(reversed(crashes)) == weight


class TestQuarantine:
    """Load: one request that crashes each target, at several instances."""

    def test_second_death_refuses_it(self):
        quarantine = poison.Quarantine()
        assert not quarantine.add_crashes(REQUEST, [crash("t1", 0, 1)], 1.6)
        assert not quarantine.is_refused(REQUEST, 2.0)
        assert quarantine.add_crashes(REQUEST, [crash("t2", 2, 3)], 3.6)
        assert quarantine.is_refused(REQUEST, 4.0)

    def test_verdict_is_told_once(self):
        quarantine = poison.Quarantine()
        quarantine.add_crashes(
            REQUEST, [crash("t1", 0, 1), crash("t2", 2, 3)], 3.0
        )
        assert not quarantine.add_crashes(REQUEST, [crash("t3", 4, 5)], 5.0)

    @pytest.mark.parametrize("targets", [2, 8])
    def test_crash_that_takes_many_copies_at_once_refuses_nothing(
        self, targets
    ):
        """Load: a hot request at many targets of a data centre that dies."""
        quarantine = poison.Quarantine()
        crashes = [crash(f"t{n}", n / 100, 1.0) for n in range(targets)]
        assert not quarantine.add_crashes(REQUEST, crashes, 2.0)

    def test_four_deaths_with_other_causes_refuse_it(self):
        quarantine = poison.Quarantine()
        for number in range(3):
            found = crash(f"t{number}", number, number + 0.5, HALF)
            assert not quarantine.add_crashes(REQUEST, [found], 9.0)
        assert quarantine.add_crashes(REQUEST, [crash("t3", 4, 5, HALF)], 9.0)

    def test_one_death_that_two_instances_report_counts_once(self):
        quarantine = poison.Quarantine()
        quarantine.add_crashes(REQUEST, [crash("t1", 0, 1)], 1.0)
        assert not quarantine.add_crashes(REQUEST, [crash("t1", 1, 2)], 2.0)

    def test_two_starts_under_one_id_are_two_targets(self):
        quarantine = poison.Quarantine()
        quarantine.add_crashes(REQUEST, [crash("t1", 0, 1, started_ms=1)], 1.0)
        assert quarantine.add_crashes(
            REQUEST, [crash("t1", 2, 3, started_ms=2)], 3.0
        )

    def test_answer_clears_it(self):
        quarantine = poison.Quarantine()
        quarantine.add_crashes(
            REQUEST, [crash("t1", 0, 1), crash("t2", 2, 3)], 3.0
        )
        assert quarantine.record_answer(REQUEST, 3.0)
        assert not quarantine.is_refused(REQUEST, 3.0)
        assert quarantine.suspect_count == quarantine.refused_count == 0
        assert not quarantine.record_answer(REQUEST, 4.0)

    def test_hot_request_is_not_blamed_for_crashes(self):
        """Load: a request that is asked for all the time, and answered."""
        quarantine = poison.Quarantine()
        quarantine.record_answer(REQUEST, 0.0)
        for number in range(4):
            found = crash(f"t{number}", number, number + 1)
            assert not quarantine.add_crashes(REQUEST, [found], number + 1.0)
        assert quarantine.suspect_count == quarantine.refused_count == 0

    def test_answer_long_ago_says_nothing(self):
        quarantine = poison.Quarantine()
        quarantine.record_answer(REQUEST, 0.0)
        late = poison.HARMLESS_TTL_S
        crashes = [
            crash("t1", late, late + 1),
            crash("t2", late + 1, late + 2),
        ]
        assert quarantine.add_crashes(REQUEST, crashes, late + 2)

    def test_is_forgotten_in_the_end(self):
        quarantine = poison.Quarantine()
        quarantine.add_crashes(
            REQUEST, [crash("t1", 0, 1), crash("t2", 2, 3)], 3.0
        )
        assert not quarantine.is_refused(REQUEST, 3.0 + poison.RETENTION_S)

    def test_old_deaths_count_no_more(self):
        quarantine = poison.Quarantine()
        quarantine.add_crashes(REQUEST, [crash("t1", 0, 1)], 1.0)
        late = 2.0 + poison.RETENTION_S
        assert not quarantine.add_crashes(
            REQUEST, [crash("t2", late - 1, late)], late
        )

    def test_memory_is_bounded(self):
        quarantine = poison.Quarantine()
        for number in range(poison.MAX_REQUESTS + 50):
            key = poison.fingerprint_of(None, str(number), b"")
            quarantine.add_crashes(
                key, [crash("t1", 0, 1), crash("t2", 1, 2)], 2.0
            )
            quarantine.record_answer(f"{number}", 2.0)
        for number in range(50):
            quarantine.add_crashes(REQUEST, [crash(f"t{number}", 0, 1)], 2.0)
        assert len(quarantine._answered_at) == poison.MAX_REQUESTS
        assert (
            quarantine.suspect_count
            == quarantine.refused_count
            == poison.MAX_REQUESTS
        )
        assert (
            len(quarantine.crashes_of(REQUEST))
            == poison.MAX_CRASHES_PER_REQUEST
        )
