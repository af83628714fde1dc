"""Rollouts played in virtual time, and the evidence that decides them."""

import random

import pytest

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import trials
from sassafrasflow.gateway.tests import rollout_plays as plays


def tally(answers, failures, slow):
    """Return counts of answers of 50 ms, and of 400 ms if slow."""
    prompt = answers - failures - slow
    return trials.Tally(answers, failures, {-9: prompt, -3: slow})


class TestPausedVersion:
    """Load: all targets of one version turn requests away for a while."""

    def usable(self, play, paused):
        """Return the versions of what one instance may use."""
        name = play.listed[0]
        found = play.managers[name].usable(
            plays.POOL,
            play.directories[name].usable(plays.POOL),
            rollouts.Arm.OLD,
            lambda target: target.listed.version not in paused,
        )
        return {target.listed.version for target in found}

    def test_old_version_serves_while_the_new_one_that_took_over_pauses(self):
        play = plays.Play(plays.sound).run(until=38.4)
        assert play.stage is rollouts.Stage.MOVING
        assert self.usable(play, set()) == {plays.NEW}
        assert self.usable(play, {plays.NEW}) == {"v1"}
        assert not self.usable(play, {plays.NEW, "v1"})

    def test_new_version_on_trial_serves_as_far_as_its_exposure_goes(self):
        play = plays.Play(plays.sound).run(until=5.0)
        assert play.stage is rollouts.Stage.TRYING
        assert self.usable(play, {"v1"}) <= {plays.NEW}
        manager = play.managers[play.listed[0]]
        exposure = manager.get(plays.POOL).exposure
        exposure.sent = 10 * exposure.requests + 100
        assert not self.usable(play, {"v1"})

    def test_version_that_pauses_since_the_order_is_still_the_old_one(self):
        play = plays.Play(plays.sound).run(until=0.2)
        assert self.usable(play, {"v1"}) <= {plays.NEW}
        assert self.usable(play, set()) == {"v1"}


class TestSoundVersion:
    """Load: all requests of a service move to a version in time."""

    @pytest.mark.parametrize("rate", [5.0, 40.0, 150.0])
    @pytest.mark.parametrize("duration_s", [20.0, 40.0, 90.0])
    def test_completes_before_the_deadline(self, rate, duration_s):
        play = plays.Play(plays.sound, rate=rate, duration_s=duration_s).run()
        play.assert_completed()

    def test_traffic_has_moved_before_the_old_version_stops(self):
        play = plays.Play(plays.sound)
        play.run(until=38.4)
        assert play.stage is rollouts.Stage.MOVING
        before = len(play.sent), play.requests
        play.run(until=39.9)
        assert len(play.sent) - before[0] == play.requests - before[1]

    def test_completes_where_both_versions_fail_now_and_then(self):
        for seed in range(5):
            play = plays.Play(plays.sound, seed=seed, duration_s=20.0)
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

            play = plays.Play(
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
        play = plays.Play(plays.sound).run(until=30.0)
        play.assert_exposure_bounded()

    def test_target_that_fails_alone_does_not_condemn_it(self):
        assert all(
            plays.Play(plays.broken_target, seed=seed).run().stage
            is rollouts.Stage.COMPLETED
            for seed in range(5)
        )

    def test_order_of_the_only_version_keeps_nobody_waiting(self):
        """Operators order what runs already."""
        play = plays.Play(plays.sound)
        for directory in play.directories.values():
            directory.replace(
                [
                    targets.TargetChange(target.id, 2, target.listed)
                    for target in directory.targets()
                    if target.listed.version == plays.NEW
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
        "answer",
        [
            plays.failing,
            plays.slow,
            plays.failing_late,
            plays.failing_under_load,
        ],
    )
    def test_is_rolled_back(self, answer, seed):
        plays.Play(answer, seed=seed).run().assert_rolled_back()

    @pytest.mark.parametrize("begin_s", [6.0, 10.0])
    @pytest.mark.parametrize("rate", [20.0, 45.0])
    def test_is_not_completed_when_a_few_fail_after_good_evidence(
        self, begin_s, rate
    ):
        """Load: hardly any request tries a version that seems sound."""

        def failing_in_part(play, kind, target, load):
            return play.now > begin_s and play.rng.random() < 0.3, 0.05

        for seed in range(5):
            plays.Play(
                failing_in_part, seed=seed, rate=rate, duration_s=20.0
            ).run().assert_rolled_back()

    @pytest.mark.parametrize("rate", [5.0, 150.0])
    @pytest.mark.parametrize("answer", [plays.failing, plays.slow])
    def test_is_rolled_back_at_any_load(self, answer, rate):
        plays.Play(answer, rate=rate).run().assert_rolled_back()

    def test_fault_of_one_kind_of_request_shows(self):
        plays.Play(plays.failing_on_one_kind).run().assert_rolled_back()

    def test_harm_stops_traffic_before_it_can_be_written(self):
        play = plays.Play(plays.failing)
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
    @pytest.mark.parametrize("answer", [plays.sound, plays.failing])
    def test_killed_leader_is_succeeded(self, answer, at):
        play = plays.Play(answer)
        play.run(events=[(at, self.kill(play, "entry-0"))])
        if answer is plays.sound:
            # Two more tenths than the leader would have taken.
            play.run(until=40.0)
            play.assert_completed()
        else:
            play.assert_rolled_back()

    def test_frozen_leader_writes_nothing_late(self):
        play = plays.Play(plays.failing)
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
        play = plays.Play(plays.sound)

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
        play = plays.Play(plays.sound)
        play.cut_off.add("entry-5")
        play.run().assert_completed()

    def test_instance_alone_follows_the_row(self):
        play = plays.Play(plays.failing)
        play.cut_off.add("entry-5")
        play.run()
        manager = play.managers["entry-5"]
        assert manager.get(plays.POOL).stage is rollouts.Stage.ROLLED_BACK

    def test_lossy_news_do_not_matter(self):
        for answer in (plays.sound, plays.failing):
            play = plays.Play(answer)
            play.loss = 0.3
            play.run()
            if answer is plays.sound:
                play.assert_completed()
            else:
                play.assert_rolled_back()

    @pytest.mark.parametrize("answer", [plays.sound, plays.failing_late])
    def test_all_instances_killed_go_on_from_the_row(self, answer):
        play = plays.Play(answer)
        play.run(events=[(22.0, play.restart_all)])
        if answer is plays.sound:
            play.assert_completed()
        else:
            play.assert_rolled_back()

    def test_restarted_instance_sends_nothing_before_it_knows_the_state(
        self,
    ):
        play = plays.Play(plays.failing).run(until=20.0)
        assert play.stage is rollouts.Stage.ROLLED_BACK
        sent = len(play.sent)
        play.restart_all()
        play.run(until=35.0)
        assert len(play.sent) == sent

    def test_calls_of_the_store_stay_few(self):
        """One leader writes; the others hear of it."""
        play = plays.Play(plays.sound).run()
        calls = sum(m._registry.calls for m in play.managers.values())
        assert calls <= 40


class TestFinding:
    """Whose finding counts: that of an instance that has the counts."""

    def rollout(self):
        order = rollouts.Order(plays.POOL, plays.NEW, 20.0, 7)
        exposure = rollouts.Exposure(1.0, random.Random(1))
        return rollouts.Rollout(order, exposure, 0.0)

    def test_leader_that_doubts_is_not_overruled_by_what_it_told_before(self):
        follower = self.rollout()
        follower.handle_finding("entry-0", trials.Finding.GOOD, 0.0)
        follower.local_finding = trials.Finding.LIKELY
        follower.handle_finding("entry-0", trials.Finding.DOUBTFUL, 1.0)
        assert follower.finding("entry-5", 1.1) is trials.Finding.DOUBTFUL

    def test_leader_goes_by_its_own_counts(self):
        leader = self.rollout()
        leader.local_finding = trials.Finding.OPEN
        leader.handle_finding("entry-5", trials.Finding.GOOD, 1.0)
        assert leader.finding("entry-0", 1.0) is trials.Finding.OPEN

    def test_foremost_of_those_that_lead_counts(self):
        follower = self.rollout()
        follower.handle_finding("entry-0", trials.Finding.OPEN, 0.0)
        follower.handle_finding("entry-1", trials.Finding.GOOD, 0.1)
        assert follower.finding("entry-5", 0.2) is trials.Finding.OPEN

    def test_word_of_a_silent_leader_is_forgotten(self):
        follower = self.rollout()
        follower.handle_finding("entry-0", trials.Finding.GOOD, 0.0)
        late = rollouts.FINDING_TTL_S + 0.1
        assert follower.finding("entry-5", late) is trials.Finding.OPEN

    def test_harm_that_anybody_found_counts_for_good(self):
        known = self.rollout()
        known.handle_finding("entry-7", trials.Finding.HARMFUL, 0.0)
        known.local_finding = trials.Finding.GOOD
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
            plays.POOL,
            plays.NEW,
            7,
            0,
            20_000,
            rollouts.Stage(stage),
            revision=1,
        )
        seen = rollouts.Progress(900, 90, finding, has_new_targets=True)
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
        assert trials.evaluate(self.cells(new, old)) is finding

    def test_sound_target_is_not_left_out(self):
        """Two targets without a fault count together."""
        new = [
            trials.Cell("plan", ids.TargetId(name), tally(answers, 0, 0))
            for name, answers in (("n0", 16), ("n1", 8))
        ]
        old = trials.Cell("plan", None, tally(200, 0, 0))
        assert trials.evaluate([*new, old]) is trials.Finding.GOOD

    def test_untried_kind_leaves_it_likely(self):
        cells = self.cells((40, 0, 0), (200, 0, 0))
        cells.append(trials.Cell("draft", None, tally(100, 0, 0)))
        assert trials.evaluate(cells) is trials.Finding.LIKELY

    def test_old_counts_of_an_instance_do_not_replace_newer_ones(self):
        evidence = trials.Evidence()
        new, old = self.cells((9, 1, 0), (200, 0, 0))
        evidence.apply_counts("entry-1", 1, [new, old])
        evidence.apply_counts("entry-1", 1, self.cells((4, 0, 0), (150, 0, 0)))
        assert new in evidence.cells()
