"""Requests that crash their targets, told from those that die with them."""

import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import poison

REQUEST = poison.fingerprint_of(ids.OrganisationId("club"), "/plan/1", b"log")


class Pair:
    """Two instances that tell each other."""

    def __init__(self):
        self.first = poison.Quarantine("entry-0", self.to_second)
        self.second = poison.Quarantine("entry-1", self.to_first)
        self.now = 0.0

    def to_second(self, notice):
        self.second.hear(notice, self.now)

    def to_first(self, notice):
        self.first.hear(notice, self.now)


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


class TestQuarantine:
    """Load: one request that crashes each target, at several instances."""

    def die(self, quarantine, name, *together, at=0.0, key=REQUEST):
        """Let a target die with a request, among others."""
        target = ids.TargetId(name)
        quarantine.note_loss(key, target)
        blamed = quarantine.judge_death(key, target, {name, *together}, at)
        quarantine.end_losses(key)
        return blamed

    def test_second_death_refuses_it_everywhere(self):
        pair = Pair()
        self.die(pair.first, "t1")
        assert not pair.first.is_refused(REQUEST, 1.0)
        self.die(pair.second, "t2", at=1.0)
        assert pair.first.is_refused(REQUEST, 2.0)
        assert pair.second.is_refused(REQUEST, 2.0)

    def test_deaths_in_quick_succession_are_its_own(self):
        quarantine = Pair().first
        names = [ids.TargetId(f"t{number}") for number in range(3)]
        for name in names:
            quarantine.note_loss(REQUEST, name)
        for name in names:
            assert quarantine.judge_death(REQUEST, name, names, 0.5)

    @pytest.mark.parametrize("others", [1, 5])
    def test_crash_of_several_targets_blames_nobody(self, others):
        quarantine = Pair().first
        together = [f"o{number}" for number in range(others)]
        for number in range(3):
            assert not self.die(quarantine, f"t{number}", *together)
        assert not quarantine.is_refused(REQUEST, 20.0)

    def test_one_target_that_dies_thrice_is_one(self):
        quarantine = Pair().first
        for at in range(3):
            self.die(quarantine, "t1", at=float(at))
        assert not quarantine.is_refused(REQUEST, 3.0)

    def test_answer_clears_it_everywhere(self):
        pair = Pair()
        for number in range(3):
            self.die(pair.first, f"t{number}")
        pair.second.note_answer(REQUEST)
        assert not pair.first.is_refused(REQUEST, 1.0)
        assert not pair.first

    def test_lost_notice_is_made_good_by_the_next(self):
        pair = Pair()
        pair.first._publish = lambda notice: None
        self.die(pair.first, "t1")
        pair.first._publish = lambda notice: pair.second.hear(notice, 0.0)
        self.die(pair.first, "t2")
        assert pair.second.is_refused(REQUEST, 2.0)

    def test_is_forgotten_in_the_end(self):
        quarantine = Pair().first
        for number in range(3):
            self.die(quarantine, f"t{number}")
        assert not quarantine.is_refused(REQUEST, poison.MEMORY_S + 1)

    def test_memory_is_bounded(self):
        quarantine = Pair().first
        for number in range(poison.MAX_KNOWN + 50):
            key = poison.fingerprint_of(None, str(number), b"")
            self.die(quarantine, "t", key=key)
        assert len(quarantine._suspects) == poison.MAX_KNOWN
        assert not quarantine._losses
