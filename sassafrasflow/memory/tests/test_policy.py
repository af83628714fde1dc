"""Decisions on memory and descriptors, without a network."""

import random

import pytest

from sassafrasflow.memory import limits
from sassafrasflow.memory import policy
from sassafrasflow.memory import progress

MB = 1024 * 1024
# Bounds of an instance of 160 MB with the default limits.
BOUNDS = policy.Bounds(48 * MB, 12 * MB, 64 * 1024)


def claim(number, phase=policy.Phase.READING, **changes):
    fields = {"held_bytes": MB, "silence_s": 0.0, "progress": 0.5}
    return policy.Claim(
        policy.HoldingId(number), phase, **{**fields, **changes}
    )


def choose(claims, missing_bytes=1, claimant=0):
    return policy.choose_to_turn_away(claims, missing_bytes, claimant)


def relieve(claims, used_bytes):
    return policy.choose_to_relieve(claims, used_bytes, BOUNDS)


class TestRoom:
    """Guard against small requests that find no room behind large ones."""

    def test_largest_request_fits_an_idle_instance(self):
        assert not policy.shortage(BOUNDS, 8192, 8192, 2 * 4 * MB)

    def test_large_claims_leave_the_reserve(self):
        assert policy.shortage(BOUNDS, 36 * MB, 0, MB) == MB
        assert not policy.shortage(BOUNDS, 36 * MB, 0, 64 * 1024)

    def test_many_small_claims_are_bounded_too(self):
        assert policy.shortage(BOUNDS, 48 * MB, 8192, 1) == 1

    def test_a_claim_that_has_grown_is_large(self):
        """Guard against bodies that grow in small steps."""
        assert policy.shortage(BOUNDS, 36 * MB, 64 * 1024, 1) == 1


class TestTurnAway:
    """Guard against honest callers that are turned away for a crowd."""

    def test_longest_silence_goes_first(self):
        claims = [claim(1, silence_s=0.6), claim(2, silence_s=2.1), claim(3)]
        assert choose(claims) == [2]

    def test_least_progress_goes_first_among_the_active(self):
        claims = [claim(1, progress=0.9), claim(2, progress=0.1)]
        assert choose(claims) == [2]

    def test_largest_claim_goes_first_with_equal_progress(self):
        claims = [claim(1), claim(2, held_bytes=2 * MB)]
        assert choose(claims) == [2]

    def test_a_delay_of_one_packet_is_no_silence(self):
        claims = [
            claim(1, silence_s=0.4, progress=0.9),
            claim(2, progress=0.1),
        ]
        assert choose(claims) == [2]

    def test_newcomer_is_refused_if_others_got_further(self):
        claims = [claim(1), claim(2), claim(0, progress=0.0)]
        assert choose(claims) is None

    def test_newcomer_is_served_before_a_crowd_that_stopped_short(self):
        """Load: 100 callers that stop one byte short."""
        crowd = [
            claim(number, silence_s=1.0, progress=0.999)
            for number in range(1, 101)
        ]
        chosen = choose([claim(0, progress=0.0), *crowd], 4 * MB)
        assert chosen == [1, 2, 3, 4]

    def test_nobody_is_turned_away_in_vain(self):
        claims = [claim(1, silence_s=1.0), claim(0, progress=0.0)]
        assert choose(claims, 2 * MB) is None

    def test_requests_in_flight_stay(self):
        running = claim(1, policy.Phase.RUNNING, silence_s=9.0)
        assert choose([running]) is None

    def test_only_callers_that_stopped_reading_lose_their_answer(self):
        reading = claim(1, policy.Phase.UNREAD, silence_s=0.2)
        stopped = claim(2, policy.Phase.UNREAD, silence_s=0.7)
        assert choose([reading]) is None
        assert choose([reading, stopped]) == [2]

    @pytest.mark.parametrize("seed", range(200))
    def test_enough_is_released_and_no_more(self, seed):
        rng = random.Random(seed)
        claims = [
            claim(
                number,
                rng.choice(list(policy.Phase)),
                held_bytes=rng.randrange(1, 4 * MB),
                silence_s=rng.uniform(0, 4),
                progress=rng.random(),
            )
            for number in range(1, 60)
        ]
        missing = rng.randrange(1, 20 * MB)
        chosen = choose(claims, missing)
        assert chosen is not None
        held = {each.id: each.held_bytes for each in claims}
        released = [held[number] for number in chosen]
        assert sum(released) >= missing
        assert sum(released[:-1]) < missing


class TestRelief:
    """Guard against answers that stay beyond the bounds."""

    def test_only_the_silent_are_turned_away(self):
        claims = [
            claim(1),
            claim(2, policy.Phase.UNREAD, silence_s=1.0),
            claim(3, policy.Phase.UNREAD, silence_s=3.0),
        ]
        limit = BOUNDS.total - BOUNDS.reserve
        assert relieve(claims, limit + 10 * MB) == [3, 2]
        assert relieve(claims, limit + MB) == [3]

    def test_small_claims_may_use_the_whole_total(self):
        """Guard against small uploads cut for the part kept for them."""
        claims = [
            claim(1, silence_s=1.0, held_bytes=BOUNDS.small),
            claim(2, silence_s=1.0, held_bytes=BOUNDS.small + 1),
        ]
        assert relieve(claims, BOUNDS.total) == [2]
        assert relieve(claims[:1], BOUNDS.total) == []
        assert relieve(claims[:1], BOUNDS.total + 1) == [1]


class TestConnections:
    """Guard against silent connections that take all descriptors."""

    def test_unused_connections_go_first(self):
        claims = [
            claim(1, policy.Phase.IDLE, silence_s=9.0),
            claim(2, policy.Phase.IDLE, silence_s=0.1, has_sent=False),
            claim(3, policy.Phase.IDLE, silence_s=0.3, has_sent=False),
            claim(4, policy.Phase.IDLE, has_sent=False),
        ]
        assert policy.choose_to_close(claims, 2, 4) == [3, 2]

    def test_only_one_idle_connection_that_was_used_is_closed(self):
        claims = [
            claim(number, policy.Phase.IDLE, silence_s=number)
            for number in range(1, 9)
        ]
        assert policy.choose_to_close(claims, 4, 0) == [8]

    def test_requests_stay(self):
        claims = [claim(1, policy.Phase.RUNNING, silence_s=9.0), claim(2)]
        assert not policy.choose_to_close(claims, 4, 0)

    def test_limit_follows_the_descriptors(self):
        """An instance has 1,638 to 10,250 descriptors, 200 for files."""
        allowed = limits.MemoryLimits()
        assert limits.connection_limit(1638, allowed) == 862
        assert limits.connection_limit(10250, allowed) == 6030
        assert limits.connection_limit(None, allowed) is None
        assert limits.connection_limit(100, allowed) > 0


class TestProgress:
    """Guard against a byte now and then that keeps a body open."""

    def test_slow_link_is_fast_enough(self):
        body = progress.BodyProgress(0.0)
        for second in range(1, 600):
            assert not body.is_too_slow(second, 1000 * second, 3.0, 1024)

    def test_a_byte_per_second_is_too_slow(self):
        body = progress.BodyProgress(0.0)
        slow = [
            second
            for second in range(60)
            if body.is_too_slow(second, second, 3.0, 1024)
        ]
        assert slow[0] == 13

    def test_zero_means_no_limit(self):
        body = progress.BodyProgress(0.0)
        assert not body.is_too_slow(99.0, 0, 3.0, 0)

    def test_caller_that_reads_is_not_silent(self):
        reads = progress.ReadProgress(0.0)
        reads.record_write(1.0, 9000)
        reads.record_check(5.0, 8000)
        assert reads.silence_s(6.0) == 1.0
        reads.record_check(7.0, 0)
        assert reads.silence_s(9.0) == 0.0

    def test_more_writes_are_no_progress(self):
        reads = progress.ReadProgress(0.0)
        reads.record_write(1.0, 9000)
        reads.record_write(5.0, 18000)
        assert reads.silence_s(6.0) == 5.0


class TestLimits:
    """Guard against settings that leave no room for ordinary requests."""

    @pytest.mark.parametrize(
        "changes",
        [
            {"share": 0.01},
            {"share": 0.9},
            {"small_share": 0.6},
            {"small_bytes": 100},
            {"body_progress_bytes": -1},
            {"unread_timeout_s": 0.0},
            {"caller_fd_share": 1.0},
        ],
    )
    def test_bad_limits_are_rejected(self, changes):
        limits.MemoryLimits().check()
        with pytest.raises(ValueError):
            limits.MemoryLimits(**changes).check()
