"""One instance reads the store for its data centre.

Load: 76 instances and 62 targets that write every 1.2 s.
"""

import itertools
import random

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from sassafrasflow.gateway import exchange
from sassafrasflow.gateway import registry
from sassafrasflow.gateway import relay
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import targets
from sassafrasflow.gateway.tests import test_targets

PERIOD_S = 0.3
WAIT_S = 1.0
# From the ack of a leave to the last request that may reach the target.
DRAIN_S = 2.5
# From the end of an outage until its last settings are in force, and what a
# busy machine takes of it.
SETTINGS_S = 2.5
BUSY_S = 0.5
# A read without an answer ends after this.
HANG_S = 0.7


def role(name, seed=1):
    """Return the role of an instance."""
    return relay.ReaderRole(name, PERIOD_S, random.Random(seed))


class TestReaderRole:
    """Without an election one instance reads, and silence is short."""

    def play(self, names, until_s, dead_at=None, cut=frozenset()):
        """Return the reads of each instance, by the time of their end.

        Each read waits for a change that doesn't come. The first name dies
        at a time; instances in ``cut`` get no answer.
        """
        roles = {name: role(name, n) for n, name in enumerate(names)}
        under_way: dict[str, float] = {}
        reads = []
        now = 0.0
        while now < until_s:
            for name, found in roles.items():
                if dead_at is not None and now >= dead_at:
                    if name == names[0]:
                        continue
                started = under_way.get(name)
                if started is None and not found.wait_s(now):
                    if name in cut:
                        found.record_failure(now)
                    else:
                        under_way[name] = now
                elif started is not None and now >= started + WAIT_S:
                    del under_way[name]
                    found.record_read(started)
                    reads.append((now, name))
                    for other in names:
                        if other != name:
                            roles[other].record_relay(name, now)
            now = round(now + 0.01, 2)
        return reads

    def test_one_instance_reads(self):
        names = [f"i{n:02}" for n in range(13)]
        reads = self.play(names, 30.0)
        settled = [name for at, name in reads if at > 3.0]
        assert set(settled) == {"i00"}
        assert len(settled) <= 27.0 / WAIT_S + 1

    def test_silence_after_a_death_is_short(self):
        names = [f"i{n:02}" for n in range(13)]
        reads = self.play(names, 30.0, dead_at=10.0)
        times = [at for at, _ in reads]
        gaps = [b - a for a, b in itertools.pairwise(times)]
        longest = relay.TAKEOVER_MAX_S + 0.1
        # A take-over begins with a read that returns at a change.
        assert max(gaps) <= longest + WAIT_S
        assert longest < DRAIN_S - 0.4

    def test_instance_that_the_store_refuses_lets_others_read(self):
        names = ["i00", "i01", "i02"]
        reads = self.play(names, 20.0, cut={"i00"})
        times = [at for at, _ in reads]
        gaps = [b - a for a, b in itertools.pairwise(times)]
        assert {name for at, name in reads if at > 3.0} == {"i01"}
        assert max(gaps) <= relay.TAKEOVER_MAX_S + 0.1 + WAIT_S

    @pytest.mark.parametrize("seed", range(20))
    def test_store_that_is_back_is_read_in_time_for_its_settings(self, seed):
        """The last read of an outage hangs, and another one follows."""
        found = role("i00", seed)
        found.record_failure(HANG_S)
        assert found.wait_s(0.0) <= SETTINGS_S - BUSY_S

    def test_instance_alone_reads(self):
        assert len(self.play(["i00"], 6.5)) == 6


class TestRelays:
    """What a follower believes is what the store has said."""

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["t1", "t2", "t3"]),
                strategies.sampled_from(["beat", "leave", "remove", "new"]),
                strategies.booleans(),
                strategies.booleans(),
            ),
            max_size=40,
        )
    )
    def test_follower_agrees_or_knows_that_it_lacks_something(self, steps):
        reader, follower = targets.Directory(), targets.Directory()
        log, own, known = relay.RelayLog(), 0, 0
        entries = {}
        for revision, (name, what, read, arrives) in enumerate(steps, 1):
            entries[name] = change_of(entries, name, what, revision)
            if not read:
                continue
            found = [c for c in entries.values() if c.revision > own]
            update = registry.TargetUpdate(tuple(found), revision)
            reader.apply(found, 0.0)
            log.add(own, update)
            own = revision
            sent = log.relay("r", 1)
            if arrives and sent.after <= known:
                parts = relay.RelayAssembler()
                for part in relay.split_relay(sent):
                    follower.apply(part.changes, 0.0)
                    if parts.add(part) is not None:
                        known = part.upto
            if known == own:
                assert usable(follower) == usable(reader)


class TestRelaySize:
    """Load: a crash of 450 engines, told to 50 neighbours on a slow link."""

    def update(self, first, count):
        found = tuple(
            test_targets.change(first + n, test_targets.listed(f"i-{n:010}"))
            for n in range(count)
        )
        return registry.TargetUpdate(found, first + count)

    def logged(self, *counts):
        log, after = relay.RelayLog(), 0
        for count in counts:
            update = self.update(after, count)
            log.add(after, update)
            after = update.revision
        return log.relay("edge-1", 7)

    def test_small_updates_are_repeated(self):
        sent = self.logged(5, 6, 7)
        assert (sent.after, sent.upto) == (0, 18)

    def test_large_updates_are_not_repeated(self):
        sent = self.logged(100, 90, 80)
        assert (sent.after, sent.upto) == (190, 270)
        assert len(sent.changes) <= 80

    def test_what_fills_the_link_is_only_pointed_to(self):
        sent = self.logged(5, 900)
        assert sent.changes == ()
        assert sent.after == sent.upto == 905
        assert sent.settings_revision == 7


class TestParts:
    """Load: 20 engines of a data centre are listed anew within a second."""

    def large(self):
        found = tuple(
            test_targets.change(n, test_targets.listed(f"i-{n:010}"))
            for n in range(30)
        )
        return relay.Relay("edge-north-hall-a-1", 1, 50, 1, found, 7)

    def test_parts_fit_into_datagrams(self):
        for part in relay.split_relay(self.large()):
            content = msgspec.msgpack.encode(part)
            assert len(content) <= exchange.MAX_DATAGRAM_BYTES

    def test_relay_counts_once_all_parts_have_come(self):
        first, second, third = relay.split_relay(self.large())
        parts = relay.RelayAssembler()
        found = [parts.add(p) for p in (third, first, first, second)]
        assert found == [None, None, None, self.large().changes]

    def test_relay_without_changes_is_one_part(self):
        empty = relay.Relay("a", 1, 2, 1, (), 7)
        assert relay.split_relay(empty) == [empty]


class TestStoreClock:
    """Datagrams that waited in a frozen process are old news."""

    def test_age_is_judged_by_the_store(self):
        clock = relay.StoreClock()
        assert not clock.is_fresh(5000, 1.0)
        clock.record_read(5000, 1.0)
        assert clock.is_fresh(8000, 4.2)
        assert not clock.is_fresh(8000, 9.0)


def change_of(entries, name, what, revision):
    """Return the next entry of a target."""
    old = entries.get(name)
    listed = None if old is None else old.listed
    if what == "remove":
        listed = None
    elif what == "new" or listed is None:
        listed = test_targets.listed(name, started_ms=revision)
    elif what == "leave":
        listed = test_targets.listed(
            name,
            started_ms=listed.started_ms,
            state=targets.ListedState.LEAVING,
        )
    return test_targets.change(revision, listed, name)


def usable(directory):
    """Return the usable targets and their starts."""
    return {
        (target.id, target.listed.started_ms)
        for target in directory.usable("pool")
    }


class TestSettingsParts:
    """What operators have set is put together from datagrams."""

    def pack(self, sender):
        rng = random.Random(sender)
        orders = tuple(
            rollouts.Order(f"s{rng.random()}", f"v{rng.random()}", 20.0, 7)
            for _ in range(200)
        )
        update = registry.SettingsUpdate(None, 7, 7, orders=orders)
        parts = relay.pack_settings(sender, update)
        assert len(parts) > 1
        return parts

    def test_two_readers_at_once_do_not_displace_each_other(self):
        """Both pass the same versions of a storm on, again and again."""
        known = relay.SettingsAssembler()
        whole = [
            known.add(part)
            for pair in zip(self.pack("i01"), self.pack("i02"), strict=True)
            for part in pair
        ]
        assert any(whole)
