"""Tests of the identification of requests that crash their targets."""

import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import poison

REQUEST = poison.fingerprint_of(ids.OrganisationId("club"), "/plan/1", b"log")
HALF = poison.OTHER_CAUSE_WEIGHT


def crash(name, began_at, crashed_at, weight=1.0, started_ms=0):
    return poison.Crash(
        ids.TargetId(name), started_ms, began_at, crashed_at, weight
    )


class TestFingerprint:
    def test_repeated_request_has_the_same_fingerprint(self):
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
    def test_different_request_has_another_fingerprint(
        self, organisation, url, body
    ):
        other = poison.fingerprint_of(
            ids.OrganisationId(organisation), url, body
        )
        assert other != REQUEST


class TestRecurrence:
    """Only crashes of runs that did not overlap add up."""

    @pytest.mark.parametrize(
        "crashes, weight",
        [
            ([], 0.0),
            ([crash("t1", 0, 1)], 1.0),
            # A retry, or a copy that was sent later.
            ([crash("t1", 0, 1), crash("t2", 1, 2)], 2.0),
            # Copies that ran at the same time: one event ended both.
            ([crash("t1", 0, 1), crash("t2", 0.9, 1.1)], 1.0),
            # Of copies that overlap in a chain, every other one counts.
            ([crash(f"t{n}", n, n + 1.5) for n in range(4)], 2.0),
            # A long run adds nothing to the short ones within its time.
            ([crash("t1", 0, 9), crash("t2", 0, 1), crash("t3", 2, 3)], 2.0),
            # Of two crashes at the same time, the one of more weight counts.
            ([crash("t1", 0, 1, HALF), crash("t2", 0, 1)], 1.0),
            ([crash("t1", 0, 1, HALF), crash("t2", 2, 3)], 1.5),
        ],
    )
    def test_weight(self, crashes, weight):
        assert poison.recurrence(crashes) == weight
        assert poison.recurrence(reversed(crashes)) == weight


class TestQuarantine:
    """One request crashes each target that it is sent to.

    A request that was answered, or whose crashes have other causes, must not
    be refused.
    """

    def test_second_crash_causes_refusal(self):
        quarantine = poison.Quarantine()
        assert not quarantine.add_crashes(REQUEST, [crash("t1", 0, 1)], 1.6)
        assert not quarantine.is_refused(REQUEST, 2.0)
        assert quarantine.add_crashes(REQUEST, [crash("t2", 2, 3)], 3.6)
        assert quarantine.is_refused(REQUEST, 4.0)

    def test_verdict_is_reported_as_new_once(self):
        quarantine = poison.Quarantine()
        quarantine.add_crashes(
            REQUEST, [crash("t1", 0, 1), crash("t2", 2, 3)], 3.0
        )
        assert not quarantine.add_crashes(REQUEST, [crash("t3", 4, 5)], 5.0)

    @pytest.mark.parametrize("targets", [2, 8])
    def test_simultaneous_crashes_cause_no_refusal(self, targets):
        """A data centre fails where many targets run a popular request."""
        quarantine = poison.Quarantine()
        crashes = [crash(f"t{n}", n / 100, 1.0) for n in range(targets)]
        assert not quarantine.add_crashes(REQUEST, crashes, 2.0)

    def test_four_crashes_with_other_causes_cause_refusal(self):
        quarantine = poison.Quarantine()
        for number in range(3):
            one_crash = crash(f"t{number}", number, number + 0.5, HALF)
            assert not quarantine.add_crashes(REQUEST, [one_crash], 9.0)
        assert quarantine.add_crashes(REQUEST, [crash("t3", 4, 5, HALF)], 9.0)

    def test_crash_reported_by_two_instances_counts_once(self):
        quarantine = poison.Quarantine()
        quarantine.add_crashes(REQUEST, [crash("t1", 0, 1)], 1.0)
        assert not quarantine.add_crashes(REQUEST, [crash("t1", 1, 2)], 2.0)

    def test_crashes_of_two_incarnations_count_twice(self):
        quarantine = poison.Quarantine()
        quarantine.add_crashes(REQUEST, [crash("t1", 0, 1, started_ms=1)], 1.0)
        assert quarantine.add_crashes(
            REQUEST, [crash("t1", 2, 3, started_ms=2)], 3.0
        )

    def test_answer_clears_the_refusal(self):
        quarantine = poison.Quarantine()
        quarantine.add_crashes(
            REQUEST, [crash("t1", 0, 1), crash("t2", 2, 3)], 3.0
        )
        assert quarantine.record_answer(REQUEST, 3.0)
        assert not quarantine.is_refused(REQUEST, 3.0)
        assert quarantine.suspect_count == quarantine.refused_count == 0
        assert not quarantine.record_answer(REQUEST, 4.0)

    def test_popular_request_is_not_refused_for_crashes(self):
        """Targets crash while a request runs that is also answered."""
        quarantine = poison.Quarantine()
        quarantine.record_answer(REQUEST, 0.0)
        for number in range(4):
            one_crash = crash(f"t{number}", number, number + 1)
            assert not quarantine.add_crashes(
                REQUEST, [one_crash], number + 1.0
            )
        assert quarantine.suspect_count == quarantine.refused_count == 0

    def test_old_answer_does_not_prevent_refusal(self):
        quarantine = poison.Quarantine()
        quarantine.record_answer(REQUEST, 0.0)
        late = poison.HARMLESS_TTL_S
        crashes = [
            crash("t1", late, late + 1),
            crash("t2", late + 1, late + 2),
        ]
        assert quarantine.add_crashes(REQUEST, crashes, late + 2)

    def test_verdict_expires(self):
        quarantine = poison.Quarantine()
        quarantine.add_crashes(
            REQUEST, [crash("t1", 0, 1), crash("t2", 2, 3)], 3.0
        )
        assert not quarantine.is_refused(REQUEST, 3.0 + poison.RETENTION_S)

    def test_old_crashes_expire(self):
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
