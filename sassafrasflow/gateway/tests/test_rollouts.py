"""Rollouts played in virtual time: many instances, one row, lossy news."""

import asyncio
import collections
import random

import msgspec
import pytest

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import exchange
from sassafrasflow.gateway import registry
from sassafrasflow.gateway import rollout_manager
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import trials

POOL = ids.ServiceName("pool")
NEW = ids.VersionId("v2")
STEP_S = 0.05
# What operators allow: a tenth of the service's requests and fifty more
# for a bad version, and none 5 s after its fiftieth bad answer.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_S = 5.0


def sound(play, kind, target, load):
    return False, 0.05


def failing(play, kind, target, load):
    return play.rng.random() < 0.4, 0.05


def slow(play, kind, target, load):
    return False, 0.3 if play.rng.random() < 0.6 else 0.05


def failing_on_one_kind(play, kind, target, load):
    return kind == "draft" and play.rng.random() < 0.8, 0.05


def failing_late(play, kind, target, load):
    late = play.now > 0.6 * play.duration_s
    return late and play.rng.random() < 0.5, 0.05


def failing_under_load(play, kind, target, load):
    return load > 0.5 and play.rng.random() < 0.6, 0.05


def broken_target(play, kind, target, load):
    return target == "n0" and play.rng.random() < 0.5, 0.05


class Table:
    """Keep the rows of the store, and lose answers on demand."""

    def __init__(self):
        self.record = None
        self.revision = 100
        self.history = []
        self.lose_answers = 0
        self.late = []
        self.down = False

    def write(self, record):
        current = 0 if self.record is None else self.record.revision
        if record.revision != current:
            raise exceptions.TableConflict("changed")
        self.revision += 1
        self.record = msgspec.structs.replace(record, revision=self.revision)
        self.history.append(self.record.stage)
        return self.revision


class Registry(registry.Registry):
    def __init__(self, table):
        self._table = table
        self.checked = 0

    @property
    def calls(self):
        return self.checked

    def _check(self):
        self.checked += 1
        if self._table.down:
            raise exceptions.TableUnavailable("down")

    async def read_rollouts(self):
        self._check()
        record = self._table.record
        return [] if record is None else [record]

    async def write_rollout(self, record):
        self._check()
        if self._table.lose_answers:
            self._table.lose_answers -= 1
            self._table.late.append(record)
            raise exceptions.TableOutcomeUnknown("lost")
        return self._table.write(record)

    async def read_targets(self):
        raise NotImplementedError

    async def await_targets(self, after, wait_s):
        raise NotImplementedError

    async def read_settings(self):
        raise NotImplementedError

    async def await_settings(self, after, wait_s):
        raise NotImplementedError

    async def announce(self, entry):
        raise NotImplementedError

    async def read_fleet(self):
        raise NotImplementedError

    async def write_refused(self, request):
        raise NotImplementedError


class Bus:
    """Stand in for the exchange of one instance."""

    def __init__(self, play, name):
        self._play = play
        self._name = name

    def live(self):
        return [
            registry.InstanceEntry(name, "h", 1, "a")
            for name in self._play.listed
            if name != self._name and self._name not in self._play.cut_off
        ]

    def send(self, peers, message):
        content = msgspec.msgpack.encode(message)
        assert len(content) <= exchange.MAX_DATAGRAM_BYTES
        for peer in peers:
            self._play.deliver(self._name, peer.id, content)


class Play:
    """Play one rollout; ``answer`` tells how the new version behaves."""

    def __init__(
        self,
        answer,
        *,
        seed=1,
        instances=8,
        rate=40.0,
        duration_s=40.0,
        targets_each=4,
    ):
        self.answer = answer
        self.rng = random.Random(seed)
        self.rate = rate
        self.duration_s = duration_s
        # Targets of each version.
        self.targets_each = targets_each
        self.now = 0.0
        self.table = Table()
        self.loss = 0.0
        # Share of the answers of both versions that fail.
        self.noise = 0.0
        # Share of the requests of a second kind.
        self.drafts = 0.15
        self.cut_off = set()
        self.paused = set()
        self.listed = [f"entry-{number}" for number in range(instances)]
        self.managers = {}
        self.directories = {}
        self.requests = 0
        self.sent = []
        self.bad = []
        self.recent = collections.deque(maxlen=100)
        self.order = rollouts.Order(POOL, NEW, duration_s, 7)
        for name in self.listed:
            self.start(name)
            self.managers[name].hear_orders([])
            self.managers[name].hear_orders([self.order])

    def start(self, name):
        directory = targets.Directory()
        directory.replace(
            [
                targets.TargetChange(
                    ids.TargetId(f"{side}{number}"),
                    1,
                    targets.ListedTarget(
                        ids.TargetId(f"{side}{number}"),
                        POOL,
                        "h",
                        1,
                        ids.DataCentre("a"),
                        4,
                        version=ids.VersionId(version),
                    ),
                )
                for side, version in (("o", "v1"), ("n", "v2"))
                for number in range(self.targets_each)
            ],
            1,
            0.0,
        )
        manager = rollout_manager.RolloutManager(
            name,
            int(self.now * 1000),
            Registry(self.table),
            directory,
            lambda now: now * 1000,
            lambda: self.now,
            Quiet(name),
            random.Random(self.rng.random()),
        )
        manager.exchange = Bus(self, name)
        self.managers[name] = manager
        self.directories[name] = directory

    def restart_all(self):
        for name in self.listed:
            self.start(name)
            self.managers[name].hear_orders([self.order])

    def deliver(self, sender, receiver, content):
        apart = {sender, receiver} & (self.cut_off | self.paused)
        manager = self.managers.get(receiver)
        if apart or manager is None or self.rng.random() < self.loss:
            return
        message = msgspec.msgpack.decode(content, type=exchange.Message)
        if isinstance(message, rollouts.News):
            manager.hear_news(message)
        else:
            manager.hear_report(message)

    def run(self, until=None, *, events=()):
        """Play to the deadline; ``events`` are (time, action) pairs."""
        asyncio.run(self._run(until or self.duration_s, list(events)))
        return self

    async def _run(self, until, events):
        ticks = 0
        while self.now < until:
            while events and events[0][0] <= self.now:
                events.pop(0)[1]()
            self._traffic()
            ticks += 1
            if ticks % 5 == 0:
                for name, manager in list(self.managers.items()):
                    if name not in self.paused:
                        await manager.step()
            self.now += STEP_S

    def _traffic(self):
        expected = self.rate * STEP_S
        count = int(expected) + (self.rng.random() < expected % 1)
        for _ in range(count):
            name = self.rng.choice(list(self.managers))
            if name not in self.paused:
                self._request(name)

    def _request(self, name):
        manager, directory = self.managers[name], self.directories[name]
        kind = "draft" if self.rng.random() < self.drafts else "report"
        manager.note_request(POOL)
        self.requests += 1
        arm = manager.draw_arm(POOL, kind)
        found = manager.usable(POOL, directory.usable(POOL), arm)
        target = self.rng.choice(found)
        manager.note_send(target)
        is_new = target.listed.version == NEW
        self.recent.append(is_new)
        failed, took_s = False, 0.05
        if is_new:
            self.sent.append(self.now)
            load = sum(self.recent) / len(self.recent)
            failed, took_s = self.answer(self, kind, target.id, load)
            if failed or took_s > 0.1:
                self.bad.append(self.now)
        if self.noise and self.rng.random() < self.noise:
            failed = True
        took_s *= self.rng.uniform(0.7, 1.4)
        manager.note_answer(target, kind, failed=failed, took_s=took_s)

    @property
    def stage(self):
        record = self.table.record
        return None if record is None else record.stage

    def assert_exposure_bounded(self):
        allowed = EXPOSURE_SHARE * self.requests + EXPOSURE_SLACK
        assert len(self.sent) <= allowed
        if len(self.bad) >= 50:
            assert self.sent[-1] <= self.bad[49] + ROLLBACK_S

    def assert_rolled_back(self):
        assert self.stage is rollouts.Stage.ROLLED_BACK
        self.assert_exposure_bounded()

    def assert_completed(self):
        assert self.stage is rollouts.Stage.COMPLETED


def tally(answers, failures, slow):
    """Return counts of answers of 50 ms, and of 400 ms if slow."""
    prompt = answers - failures - slow
    return trials.Tally(answers, failures, {-9: prompt, -3: slow})


class Quiet(telemetry.EventLog):
    def write(self, event, *, routine=False, **fields):
        pass


class TestPausedVersion:
    """Load: all targets of one version turn requests away for a while."""

    def usable(self, play, paused):
        """Return the versions of what one instance may use."""
        name = play.listed[0]
        found = play.managers[name].usable(
            POOL,
            play.directories[name].usable(POOL),
            rollouts.Arm.OLD,
            lambda target: target.listed.version not in paused,
        )
        return {target.listed.version for target in found}

    def test_old_version_serves_while_the_new_one_that_took_over_pauses(self):
        play = Play(sound).run(until=38.4)
        assert play.stage is rollouts.Stage.MOVING
        assert self.usable(play, set()) == {NEW}
        assert self.usable(play, {NEW}) == {"v1"}
        assert not self.usable(play, {NEW, "v1"})

    def test_new_version_on_trial_serves_as_far_as_its_exposure_goes(self):
        play = Play(sound).run(until=5.0)
        assert play.stage is rollouts.Stage.TRYING
        assert self.usable(play, {"v1"}) <= {NEW}
        manager = play.managers[play.listed[0]]
        exposure = manager.get(POOL).exposure
        exposure.sent = 10 * exposure.requests + 100
        assert not self.usable(play, {"v1"})

    def test_version_that_pauses_since_the_order_is_still_the_old_one(self):
        play = Play(sound).run(until=0.2)
        assert self.usable(play, {"v1"}) <= {NEW}
        assert self.usable(play, set()) == {"v1"}


class TestSoundVersion:
    """Load: all requests of a service move to a version in time."""

    @pytest.mark.parametrize("rate", [5.0, 40.0, 150.0])
    @pytest.mark.parametrize("duration_s", [20.0, 40.0, 90.0])
    def test_completes_before_the_deadline(self, rate, duration_s):
        play = Play(sound, rate=rate, duration_s=duration_s).run()
        play.assert_completed()

    def test_traffic_has_moved_before_the_old_version_stops(self):
        play = Play(sound)
        play.run(until=38.4)
        assert play.stage is rollouts.Stage.MOVING
        before = len(play.sent), play.requests
        play.run(until=39.9)
        assert len(play.sent) - before[0] == play.requests - before[1]

    def test_completes_where_both_versions_fail_now_and_then(self):
        for seed in range(5):
            play = Play(sound, seed=seed, duration_s=20.0)
            play.noise = 0.02
            play.run().assert_completed()

    @pytest.mark.parametrize("targets_each", [1, 2])
    @pytest.mark.parametrize("instances", [2, 8])
    def test_is_not_taken_back_for_one_bad_answer_among_the_first(
        self, instances, targets_each
    ):
        for seed in range(20):
            first_bad = random.Random(seed).randrange(12, 26)

            def answer(play, kind, target, load, first_bad=first_bad):
                return len(play.sent) == first_bad, 0.05

            play = Play(
                answer,
                seed=seed,
                instances=instances,
                rate=60.0,
                duration_s=6.0,
                targets_each=targets_each,
            )
            play.drafts = 0.0
            play.run().assert_completed()

    def test_hardly_meets_requests_before_it_moves(self):
        play = Play(sound).run(until=30.0)
        play.assert_exposure_bounded()

    def test_target_that_fails_alone_does_not_condemn_it(self):
        assert all(
            Play(broken_target, seed=seed).run().stage
            is rollouts.Stage.COMPLETED
            for seed in range(5)
        )

    def test_order_of_the_only_version_keeps_nobody_waiting(self):
        """Operators order what runs already."""
        play = Play(sound)
        for directory in play.directories.values():
            directory.replace(
                [
                    targets.TargetChange(target.id, 2, target.listed)
                    for target in directory.targets()
                    if target.listed.version == NEW
                ],
                2,
                0.0,
            )
        play.run(until=10.0)
        assert len(play.sent) == play.requests


class TestBadVersion:
    """Load: a version that fails or is slow, at once, late or in part."""

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize(
        "answer", [failing, slow, failing_late, failing_under_load]
    )
    def test_is_rolled_back(self, answer, seed):
        Play(answer, seed=seed).run().assert_rolled_back()

    @pytest.mark.parametrize("begin_s", [6.0, 10.0])
    @pytest.mark.parametrize("rate", [20.0, 45.0])
    def test_is_not_completed_when_a_few_fail_after_good_evidence(
        self, begin_s, rate
    ):
        """Load: hardly any request tries a version that seems sound."""

        def failing_in_part(play, kind, target, load):
            return play.now > begin_s and play.rng.random() < 0.3, 0.05

        for seed in range(5):
            Play(
                failing_in_part, seed=seed, rate=rate, duration_s=20.0
            ).run().assert_rolled_back()

    @pytest.mark.parametrize("rate", [5.0, 150.0])
    @pytest.mark.parametrize("answer", [failing, slow])
    def test_is_rolled_back_at_any_load(self, answer, rate):
        Play(answer, rate=rate).run().assert_rolled_back()

    def test_fault_of_one_kind_of_request_shows(self):
        Play(failing_on_one_kind).run().assert_rolled_back()

    def test_harm_stops_traffic_before_it_can_be_written(self):
        play = Play(failing)
        play.run(until=2.0)
        play.table.down = True
        play.run(until=20.0)
        play.assert_exposure_bounded()
        sent = len(play.sent)
        play.run(until=30.0)
        assert len(play.sent) == sent
        play.table.down = False
        play.run(until=40.0)
        play.assert_rolled_back()


class TestLeaders:
    """Load: leaders die, freeze, lose answers or see only themselves."""

    def kill(self, play, name):
        def action():
            play.managers.pop(name)

        return action

    @pytest.mark.parametrize("at", [0.1, 3.0, 30.0, 38.3, 38.6])
    @pytest.mark.parametrize("answer", [sound, failing])
    def test_killed_leader_is_succeeded(self, answer, at):
        play = Play(answer)
        play.run(events=[(at, self.kill(play, "entry-0"))])
        if answer is sound:
            # Two more tenths than the leader would have taken.
            play.run(until=40.0)
            play.assert_completed()
        else:
            play.assert_rolled_back()

    def test_frozen_leader_writes_nothing_late(self):
        play = Play(failing)
        play.run(
            until=60.0,
            events=[
                (1.0, lambda: play.paused.add("entry-0")),
                (45.0, play.paused.clear),
            ],
        )
        assert play.stage is rollouts.Stage.ROLLED_BACK
        ended = play.table.history.index(rollouts.Stage.ROLLED_BACK)
        assert ended == len(play.table.history) - 1

    def test_lost_answer_that_takes_effect_late_changes_nothing(self):
        play = Play(sound)

        def lose():
            play.table.lose_answers = 1

        def apply_late():
            for record in play.table.late:
                with pytest.raises(exceptions.TableConflict):
                    play.table.write(record)

        play.run(
            until=46.0, events=[(38.2, lose), (44.5, apply_late)]
        ).assert_completed()

    def test_instance_alone_does_not_decide_for_the_others(self):
        play = Play(sound)
        play.cut_off.add("entry-5")
        play.run().assert_completed()

    def test_instance_alone_follows_the_row(self):
        play = Play(failing)
        play.cut_off.add("entry-5")
        play.run()
        manager = play.managers["entry-5"]
        assert manager.get(POOL).stage is rollouts.Stage.ROLLED_BACK

    def test_lossy_news_do_not_matter(self):
        for answer in (sound, failing):
            play = Play(answer)
            play.loss = 0.3
            play.run()
            if answer is sound:
                play.assert_completed()
            else:
                play.assert_rolled_back()

    @pytest.mark.parametrize("answer", [sound, failing_late])
    def test_all_instances_killed_go_on_from_the_row(self, answer):
        play = Play(answer)
        play.run(events=[(22.0, play.restart_all)])
        if answer is sound:
            play.assert_completed()
        else:
            play.assert_rolled_back()

    def test_restarted_instance_sends_nothing_before_it_knows_the_state(
        self,
    ):
        play = Play(failing).run(until=20.0)
        assert play.stage is rollouts.Stage.ROLLED_BACK
        sent = len(play.sent)
        play.restart_all()
        play.run(until=35.0)
        assert len(play.sent) == sent

    def test_calls_of_the_store_stay_few(self):
        """One leader writes; the others hear of it."""
        play = Play(sound).run()
        calls = sum(m._registry.calls for m in play.managers.values())
        assert calls <= 40


class TestFinding:
    """Whose finding counts: that of an instance that has the counts."""

    def rollout(self):
        order = rollouts.Order(POOL, NEW, 20.0, 7)
        exposure = rollouts.Exposure(1.0, random.Random(1))
        return rollouts.Rollout(order, exposure, 0.0)

    def test_leader_that_doubts_is_not_overruled_by_what_it_told_before(self):
        follower = self.rollout()
        follower.hear_finding("entry-0", trials.Finding.GOOD, 0.0)
        follower.own_finding = trials.Finding.LIKELY
        follower.hear_finding("entry-0", trials.Finding.DOUBTFUL, 1.0)
        assert follower.finding("entry-5", 1.1) is trials.Finding.DOUBTFUL

    def test_leader_goes_by_its_own_counts(self):
        leader = self.rollout()
        leader.own_finding = trials.Finding.OPEN
        leader.hear_finding("entry-5", trials.Finding.GOOD, 1.0)
        assert leader.finding("entry-0", 1.0) is trials.Finding.OPEN

    def test_foremost_of_those_that_lead_counts(self):
        follower = self.rollout()
        follower.hear_finding("entry-0", trials.Finding.OPEN, 0.0)
        follower.hear_finding("entry-1", trials.Finding.GOOD, 0.1)
        assert follower.finding("entry-5", 0.2) is trials.Finding.OPEN

    def test_word_of_a_silent_leader_is_forgotten(self):
        follower = self.rollout()
        follower.hear_finding("entry-0", trials.Finding.GOOD, 0.0)
        late = rollouts.TOLD_S + 0.1
        assert follower.finding("entry-5", late) is trials.Finding.OPEN

    def test_harm_that_anybody_found_counts_for_good(self):
        known = self.rollout()
        known.hear_finding("entry-7", trials.Finding.HARMFUL, 0.0)
        known.own_finding = trials.Finding.GOOD
        assert known.finding("entry-0", 9.0) is trials.Finding.HARMFUL

    @pytest.mark.parametrize(
        "stage, left_s, finding, expected",
        [
            ("moving", 0.9, trials.Finding.GOOD, "completed"),
            ("moving", 0.9, trials.Finding.DOUBTFUL, "rolled_back"),
            ("moving", 1.1, trials.Finding.DOUBTFUL, None),
            ("trying", 1.4, trials.Finding.GOOD, "moving"),
            ("trying", 1.4, trials.Finding.DOUBTFUL, None),
            # The store may have delayed the move.
            ("trying", 0.6, trials.Finding.GOOD, "moving"),
            ("trying", 0.4, trials.Finding.GOOD, "rolled_back"),
        ],
    )
    def test_last_steps(self, stage, left_s, finding, expected):
        record = rollouts.Record(
            POOL, NEW, 7, 0, 20_000, rollouts.Stage(stage), revision=1
        )
        seen = rollouts.Progress(900, 90, finding, present=True)
        step = rollouts.next_stage(record, seen, 20_000 - 1000 * left_s)
        assert (step and step[0].value) == expected


class TestJudge:
    """Evidence speaks against a version, for it, or is not enough."""

    def cells(self, new, old, kind="plan", target="n0"):
        return [
            trials.Cell(kind, ids.TargetId(target), tally(*new)),
            trials.Cell(kind, None, tally(*old)),
        ]

    @pytest.mark.parametrize(
        "new, old, finding",
        [
            ((2, 0, 0), (200, 0, 0), trials.Finding.OPEN),
            ((40, 0, 0), (200, 0, 0), trials.Finding.GOOD),
            ((12, 5, 0), (200, 0, 0), trials.Finding.HARMFUL),
            ((30, 0, 15), (200, 0, 2), trials.Finding.HARMFUL),
            # The old version fails as often: nothing against the new one.
            ((30, 9, 0), (200, 60, 0), trials.Finding.OPEN),
        ],
    )
    def test_finding(self, new, old, finding):
        assert trials.judge(self.cells(new, old)) is finding

    def test_sound_target_is_not_left_out(self):
        """Two targets without a fault count together."""
        new = [
            trials.Cell("plan", ids.TargetId(name), tally(answers, 0, 0))
            for name, answers in (("n0", 16), ("n1", 8))
        ]
        old = trials.Cell("plan", None, tally(200, 0, 0))
        assert trials.judge([*new, old]) is trials.Finding.GOOD

    def test_untried_kind_leaves_it_likely(self):
        cells = self.cells((40, 0, 0), (200, 0, 0))
        cells.append(trials.Cell("draft", None, tally(100, 0, 0)))
        assert trials.judge(cells) is trials.Finding.LIKELY

    def test_old_counts_of_an_instance_do_not_replace_newer_ones(self):
        book = trials.EvidenceBook()
        new, old = self.cells((9, 1, 0), (200, 0, 0))
        book.hear("entry-1", 1, [new, old])
        book.hear("entry-1", 1, self.cells((4, 0, 0), (150, 0, 0)))
        assert new in book.cells()
