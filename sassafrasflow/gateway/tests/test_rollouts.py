"""Tests of rollouts in virtual time and of the evidence for decisions."""

import random

import pytest

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import trials
from sassafrasflow.gateway.tests import rollout_simulation as simulation


def tally(answers, failures, slow):
    """Return counts of answers of 50 ms, and of 400 ms if slow."""
    prompt = answers - failures - slow
    return trials.Tally(answers, failures, {-9: prompt, -3: slow})


class TestPausedVersion:
    """All targets of one version ask for a pause during a rollout.

    The other version must serve then, but a version on trial only within its
    exposure.
    """

    def usable(self, sim, paused):
        """Return the versions that one instance may send requests to."""
        name = sim.instance_names[0]
        usable = sim.managers[name].usable(
            simulation.POOL,
            sim.directories[name].usable(simulation.POOL),
            rollouts.Arm.OLD,
            lambda target: target.listed.version not in paused,
        )
        return {target.listed.version for target in usable}

    def test_old_version_serves_while_the_new_one_that_took_over_pauses(self):
        sim = simulation.Simulation(simulation.sound).run(until=38.4)
        assert sim.stage is rollouts.Stage.MOVING
        assert self.usable(sim, set()) == {simulation.NEW}
        assert self.usable(sim, {simulation.NEW}) == {"v1"}
        assert not self.usable(sim, {simulation.NEW, "v1"})

    def test_new_version_on_trial_serves_within_its_exposure(self):
        sim = simulation.Simulation(simulation.sound).run(until=5.0)
        assert sim.stage is rollouts.Stage.TRYING
        assert self.usable(sim, {"v1"}) <= {simulation.NEW}
        manager = sim.managers[sim.instance_names[0]]
        exposure = manager.get(simulation.POOL).exposure
        exposure.sent = 10 * exposure.requests + 100
        assert not self.usable(sim, {"v1"})

    def test_version_that_pauses_since_the_order_is_still_the_old_one(self):
        sim = simulation.Simulation(simulation.sound).run(until=0.2)
        assert self.usable(sim, {"v1"}) <= {simulation.NEW}
        assert self.usable(sim, set()) == {"v1"}


class TestSoundVersion:
    """A sound version gets all requests before the deadline."""

    @pytest.mark.parametrize("rate", [5.0, 40.0, 150.0])
    @pytest.mark.parametrize("duration_s", [20.0, 40.0, 90.0])
    def test_completes_before_the_deadline(self, rate, duration_s):
        sim = simulation.Simulation(
            simulation.sound, rate=rate, duration_s=duration_s
        ).run()
        sim.assert_completed()

    def test_traffic_has_moved_before_the_old_version_stops(self):
        sim = simulation.Simulation(simulation.sound)
        sim.run(until=38.4)
        assert sim.stage is rollouts.Stage.MOVING
        before = len(sim.sent_at), sim.requests
        sim.run(until=39.9)
        assert len(sim.sent_at) - before[0] == sim.requests - before[1]

    def test_completes_where_both_versions_fail_now_and_then(self):
        for seed in range(5):
            sim = simulation.Simulation(
                simulation.sound, seed=seed, duration_s=20.0
            )
            sim.failure_share = 0.02
            sim.run().assert_completed()

    @pytest.mark.parametrize("targets_each", [1, 2])
    @pytest.mark.parametrize("instances", [2, 8])
    def test_is_not_rolled_back_for_one_early_bad_answer(
        self, instances, targets_each
    ):
        for seed in range(20):
            first_bad = random.Random(seed).randrange(12, 26)

            def answer(sim, kind, target, load, first_bad=first_bad):
                return len(sim.sent_at) == first_bad, 0.05

            sim = simulation.Simulation(
                answer,
                seed=seed,
                instances=instances,
                rate=60.0,
                duration_s=6.0,
                targets_each=targets_each,
            )
            sim.draft_share = 0.0
            sim.run().assert_completed()

    def test_exposure_is_bounded_before_the_move(self):
        sim = simulation.Simulation(simulation.sound).run(until=30.0)
        sim.assert_exposure_bounded()

    def test_one_broken_target_does_not_roll_it_back(self):
        assert all(
            simulation.Simulation(simulation.broken_target, seed=seed)
            .run()
            .stage
            is rollouts.Stage.COMPLETED
            for seed in range(5)
        )

    def test_order_of_the_running_version_does_not_delay_requests(self):
        """An order names the version that all targets have already."""
        sim = simulation.Simulation(simulation.sound)
        for directory in sim.directories.values():
            directory.replace(
                [
                    targets.TargetChange(target.id, 2, target.listed)
                    for target in directory.targets()
                    if target.listed.version == simulation.NEW
                ],
                2,
                0.0,
            )
        sim.run(until=10.0)
        assert len(sim.sent_at) == sim.requests


class TestBadVersion:
    """A bad version is rolled back within the exposure that is allowed.

    It fails or is slow from the start, later, under load or for one kind of
    request.
    """

    @pytest.mark.parametrize("seed", range(3))
    @pytest.mark.parametrize(
        "answer",
        [
            simulation.failing,
            simulation.slow,
            simulation.failing_late,
            simulation.failing_under_load,
        ],
    )
    def test_is_rolled_back(self, answer, seed):
        simulation.Simulation(answer, seed=seed).run().assert_rolled_back()

    @pytest.mark.parametrize("begin_s", [6.0, 10.0])
    @pytest.mark.parametrize("rate", [20.0, 45.0])
    def test_is_not_completed_when_a_few_fail_after_good_evidence(
        self, begin_s, rate
    ):
        """The fault begins when hardly any request still tries the version."""

        def failing_in_part(sim, kind, target, load):
            return sim.now > begin_s and sim.rng.random() < 0.3, 0.05

        for seed in range(5):
            simulation.Simulation(
                failing_in_part, seed=seed, rate=rate, duration_s=20.0
            ).run().assert_rolled_back()

    @pytest.mark.parametrize("rate", [5.0, 150.0])
    @pytest.mark.parametrize("answer", [simulation.failing, simulation.slow])
    def test_is_rolled_back_at_any_load(self, answer, rate):
        simulation.Simulation(answer, rate=rate).run().assert_rolled_back()

    def test_fault_of_one_kind_of_request_shows(self):
        simulation.Simulation(
            simulation.failing_on_one_kind
        ).run().assert_rolled_back()

    def test_harm_stops_traffic_before_it_can_be_written(self):
        sim = simulation.Simulation(simulation.failing)
        sim.run(until=2.0)
        sim.table.down = True
        sim.run(until=20.0)
        sim.assert_exposure_bounded()
        sent = len(sim.sent_at)
        sim.run(until=30.0)
        assert len(sim.sent_at) == sent
        sim.table.down = False
        sim.run(until=40.0)
        sim.assert_rolled_back()


class TestLeaders:
    """Leaders are killed, suspended or isolated, or lose store answers.

    The rollout must end as it would without the fault.
    """

    def kill(self, sim, name):
        def action():
            sim.managers.pop(name)

        return action

    @pytest.mark.parametrize("at", [0.1, 3.0, 30.0, 38.3, 38.6])
    @pytest.mark.parametrize("answer", [simulation.sound, simulation.failing])
    def test_killed_leader_is_replaced(self, answer, at):
        sim = simulation.Simulation(answer)
        sim.run(events=[(at, self.kill(sim, "entry-0"))])
        if answer is simulation.sound:
            # A successor may need 0.2 s more than the leader would have.
            sim.run(until=40.0)
            sim.assert_completed()
        else:
            sim.assert_rolled_back()

    def test_suspended_leader_writes_nothing_late(self):
        sim = simulation.Simulation(simulation.failing)
        sim.run(
            until=60.0,
            events=[
                (1.0, lambda: sim.suspended.add("entry-0")),
                (45.0, sim.suspended.clear),
            ],
        )
        assert sim.stage is rollouts.Stage.ROLLED_BACK
        ended = sim.table.history.index(rollouts.Stage.ROLLED_BACK)
        assert ended == len(sim.table.history) - 1

    def test_lost_answer_that_takes_effect_late_changes_nothing(self):
        sim = simulation.Simulation(simulation.sound)

        def lose():
            sim.table.lose_answers = 1

        def apply_late():
            for record in sim.table.late_writes:
                with pytest.raises(exceptions.TableConflict):
                    sim.table.write(record)

        sim.run(
            until=46.0, events=[(38.2, lose), (44.5, apply_late)]
        ).assert_completed()

    def test_isolated_instance_does_not_decide_for_the_others(self):
        sim = simulation.Simulation(simulation.sound)
        sim.cut_off.add("entry-5")
        sim.run().assert_completed()

    def test_isolated_instance_follows_the_row(self):
        sim = simulation.Simulation(simulation.failing)
        sim.cut_off.add("entry-5")
        sim.run()
        manager = sim.managers["entry-5"]
        assert manager.get(simulation.POOL).stage is rollouts.Stage.ROLLED_BACK

    def test_message_loss_does_not_change_the_outcome(self):
        for answer in (simulation.sound, simulation.failing):
            sim = simulation.Simulation(answer)
            sim.loss_share = 0.3
            sim.run()
            if answer is simulation.sound:
                sim.assert_completed()
            else:
                sim.assert_rolled_back()

    @pytest.mark.parametrize(
        "answer", [simulation.sound, simulation.failing_late]
    )
    def test_rollout_continues_from_the_row_after_all_instances_are_killed(
        self, answer
    ):
        sim = simulation.Simulation(answer)
        sim.run(events=[(22.0, sim.restart_all)])
        if answer is simulation.sound:
            sim.assert_completed()
        else:
            sim.assert_rolled_back()

    def test_restarted_instance_sends_nothing_before_it_has_the_state(
        self,
    ):
        sim = simulation.Simulation(simulation.failing).run(until=20.0)
        assert sim.stage is rollouts.Stage.ROLLED_BACK
        sent = len(sim.sent_at)
        sim.restart_all()
        sim.run(until=35.0)
        assert len(sim.sent_at) == sent

    def test_store_calls_are_few(self):
        """Only the leader writes; the others get its messages."""
        sim = simulation.Simulation(simulation.sound).run()
        calls = sum(m._registry.calls for m in sim.managers.values())
        assert calls <= 40


class TestFinding:
    """The finding of an instance that gets all counts decides."""

    def rollout(self):
        order = rollouts.Order(simulation.POOL, simulation.NEW, 20.0, 7)
        exposure = rollouts.Exposure(1.0, random.Random(1))
        return rollouts.Rollout(order, exposure, 0.0)

    def test_newer_doubt_of_the_leader_replaces_its_earlier_finding(self):
        follower = self.rollout()
        follower.handle_finding("entry-0", trials.Finding.GOOD, 0.0)
        follower.local_finding = trials.Finding.LIKELY
        follower.handle_finding("entry-0", trials.Finding.DOUBTFUL, 1.0)
        assert follower.finding("entry-5", 1.1) is trials.Finding.DOUBTFUL

    def test_leader_decides_by_its_own_counts(self):
        leader = self.rollout()
        leader.local_finding = trials.Finding.OPEN
        leader.handle_finding("entry-5", trials.Finding.GOOD, 1.0)
        assert leader.finding("entry-0", 1.0) is trials.Finding.OPEN

    def test_finding_of_the_first_leader_decides(self):
        follower = self.rollout()
        follower.handle_finding("entry-0", trials.Finding.OPEN, 0.0)
        follower.handle_finding("entry-1", trials.Finding.GOOD, 0.1)
        assert follower.finding("entry-5", 0.2) is trials.Finding.OPEN

    def test_finding_of_a_silent_leader_expires(self):
        follower = self.rollout()
        follower.handle_finding("entry-0", trials.Finding.GOOD, 0.0)
        late = rollouts.FINDING_TTL_S + 0.1
        assert follower.finding("entry-5", late) is trials.Finding.OPEN

    def test_harm_found_by_any_instance_is_final(self):
        rollout = self.rollout()
        rollout.handle_finding("entry-7", trials.Finding.HARMFUL, 0.0)
        rollout.local_finding = trials.Finding.GOOD
        assert rollout.finding("entry-0", 9.0) is trials.Finding.HARMFUL

    @pytest.mark.parametrize(
        "stage, remaining_s, finding, expected",
        [
            ("moving", 0.9, trials.Finding.GOOD, "completed"),
            ("moving", 0.9, trials.Finding.DOUBTFUL, "rolled_back"),
            ("moving", 1.1, trials.Finding.DOUBTFUL, None),
            ("trying", 1.4, trials.Finding.GOOD, "moving"),
            ("trying", 1.4, trials.Finding.DOUBTFUL, None),
            # A slow store may have delayed the move.
            ("trying", 0.6, trials.Finding.GOOD, "moving"),
            ("trying", 0.4, trials.Finding.GOOD, "rolled_back"),
        ],
    )
    def test_stage_shortly_before_the_deadline(
        self, stage, remaining_s, finding, expected
    ):
        record = rollouts.Record(
            simulation.POOL,
            simulation.NEW,
            7,
            0,
            20_000,
            rollouts.Stage(stage),
            revision=1,
        )
        progress = rollouts.Progress(900, 90, finding, has_new_targets=True)
        step = rollouts.next_stage(
            record, progress, 20_000 - 1000 * remaining_s
        )
        assert (step and step[0].value) == expected


class TestEvaluate:
    """Evidence shows that a version is bad or sound, or is insufficient."""

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
            # The old version fails as often, so this is no evidence of harm.
            ((30, 9, 0), (200, 60, 0), trials.Finding.OPEN),
        ],
    )
    def test_finding(self, new, old, finding):
        assert trials.evaluate(self.cells(new, old)) is finding

    def test_sound_target_is_not_excluded(self):
        """If no target has faults, the answers of all count."""
        new = [
            trials.Cell("plan", ids.TargetId(name), tally(answers, 0, 0))
            for name, answers in (("n0", 16), ("n1", 8))
        ]
        old = trials.Cell("plan", None, tally(200, 0, 0))
        assert trials.evaluate([*new, old]) is trials.Finding.GOOD

    def test_untried_kind_limits_the_finding_to_likely(self):
        cells = self.cells((40, 0, 0), (200, 0, 0))
        cells.append(trials.Cell("draft", None, tally(100, 0, 0)))
        assert trials.evaluate(cells) is trials.Finding.LIKELY

    def test_outdated_counts_do_not_replace_newer_ones(self):
        evidence = trials.Evidence()
        new, old = self.cells((9, 1, 0), (200, 0, 0))
        evidence.apply_counts("entry-1", 1, [new, old])
        evidence.apply_counts("entry-1", 1, self.cells((4, 0, 0), (150, 0, 0)))
        assert new in evidence.cells()
