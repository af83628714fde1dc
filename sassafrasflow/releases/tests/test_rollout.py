"""Tests of the decisions, configuration changes and orders of a rollout.

A rollout must end by its deadline, a take-back must restore the previous
configuration, and orders must reach the wanted placement from any state.
"""

import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from sassafrasflow import configuration
from sassafrasflow import engines
from sassafrasflow import releases
from sassafrasflow.releases import changes
from sassafrasflow.releases import placement as placements

Action = releases.Action
Finding = releases.Finding
Phase = releases.Phase
POLICY = releases.RolloutPolicy()
DEADLINE = 10_000.0
BACK = Action.TAKE_BACK
FAILED = releases.Signal.FAILURES
GOOD = releases.Verdict(Finding.GOOD)
HARM = releases.Verdict(Finding.HARMFUL, releases.Signal.FAILURES, 12.0)


def record(phase, step=-1, **parts):
    values = {
        "id": "note",
        "body": releases.NoteBody("Title", (), DEADLINE),
        "state": releases.NoteState.RUNNING,
        "revision": 1,
        "submitted_at": 0.0,
        "token": "",
        "phase": phase,
        "step": step,
        "moves": (releases.Move("planner", "v2", "v1", ("v1",)),),
        "before": {"planner": configuration.Model({"v1": 1.0})},
    }
    return releases.NoteRecord(**{**values, **parts})


def given(**parts):
    return releases.Observations(**{"loaded": True, **parts})


BY = releases.plan_rollout(record(Phase.LOADING), POLICY)

# phase, step, Unix time, observations, action, share
DECISIONS = [
    (Phase.LOADING, -1, 0, given(loaded=False), Action.HOLD, 0),
    (Phase.LOADING, -1, 0, given(), Action.STEP, 0.05),
    (
        Phase.LOADING,
        -1,
        BY.ramp_by,
        given(loaded=False),
        Action.TAKE_BACK,
        0,
    ),
    (Phase.RAMPING, 0, 20, given(safety=GOOD), Action.STEP, 0.2),
    (Phase.RAMPING, 0, 5, given(safety=GOOD), Action.HOLD, 0),
    (Phase.RAMPING, 0, 20, given(), Action.HOLD, 0),
    (
        Phase.RAMPING,
        0,
        20,
        given(safety=GOOD, loaded=False),
        Action.HOLD,
        0,
    ),
    (Phase.RAMPING, 0, 20, given(harm=HARM), Action.TAKE_BACK, 0),
    (Phase.RAMPING, 0, 20, given(blocked="slow"), Action.TAKE_BACK, 0),
    (Phase.RAMPING, 0, 20, given(crash_looping=2), Action.TAKE_BACK, 0),
    (Phase.RAMPING, 0, 20, given(crash_looping=1), Action.HOLD, 0),
    (Phase.RAMPING, 1, BY.watch_by, given(), Action.TAKE_BACK, 0),
    (Phase.RAMPING, 2, 20, given(safety=GOOD), Action.STEP, 0.95),
    (Phase.WATCHING, 3, 20, given(suspected=FAILED), Action.STEP, 0.5),
    (Phase.RAMPING, 2, 5, given(suspected=FAILED), Action.HOLD, 0),
    (Phase.WATCHING, 3, 20, given(suspected=FAILED, harm=HARM), BACK, 0),
    (
        Phase.WATCHING,
        3,
        BY.finish_at - 1,
        given(safety=GOOD),
        Action.HOLD,
        0,
    ),
    (Phase.WATCHING, 3, BY.finish_at, given(safety=GOOD), Action.FINISH, 0),
    (Phase.WATCHING, 3, BY.finish_at, given(), Action.TAKE_BACK, 0),
    (Phase.WATCHING, 3, DEADLINE, given(safety=GOOD), Action.TAKE_BACK, 0),
    (
        Phase.FINISHING,
        3,
        DEADLINE - 1,
        given(unloaded=False),
        Action.HOLD,
        0,
    ),
    (Phase.FINISHING, 3, DEADLINE, given(unloaded=False), Action.END, 0),
    (Phase.FINISHING, 3, 20, given(harm=HARM), Action.END, 0),
]


class TestRollout:
    @pytest.mark.parametrize(
        ("phase", "step", "now", "situation", "action", "share"), DECISIONS
    )
    def test_decision(self, phase, step, now, situation, action, share):
        rollout = releases.Rollout(record(phase, step), POLICY)
        decision = rollout.decide(now, situation)
        assert (decision.action, decision.share) == (action, share)

    def test_finishes_without_evidence_if_the_policy_allows(self):
        policy = releases.RolloutPolicy(accept_without_evidence=True)
        rollout = releases.Rollout(record(Phase.WATCHING, 3), policy)
        decision = rollout.decide(BY.finish_at, given())
        assert decision.action is Action.FINISH

    def test_steps_back_at_most_max_cautions_times(self):
        note = record(Phase.WATCHING, 3, cautions=POLICY.max_cautions)
        rollout = releases.Rollout(note, POLICY)
        decision = rollout.decide(20, given(suspected=FAILED))
        assert decision.action is Action.HOLD

    def test_ramp_after_a_step_back_may_last_until_the_finish(self):
        note = record(Phase.RAMPING, 2, cautions=1)
        rollout = releases.Rollout(note, POLICY)
        late = (BY.watch_by + BY.finish_at) / 2
        assert rollout.decide(late, given()).action is Action.HOLD
        again = rollout.decide(late, given(safety=GOOD))
        assert (again.action, again.share) == (Action.STEP, 0.95)

    @hypothesis.given(
        st.sampled_from(Phase),
        st.integers(-1, 3),
        st.booleans(),
        st.sampled_from([GOOD, releases.Verdict(Finding.OPEN)]),
        st.booleans(),
    )
    def test_ends_at_the_deadline(self, phase, step, loaded, safety, unloaded):
        rollout = releases.Rollout(record(phase, step), POLICY)
        observations = given(loaded=loaded, safety=safety, unloaded=unloaded)
        decision = rollout.decide(DEADLINE, observations)
        assert decision.action in (Action.END, Action.TAKE_BACK)


shares = st.dictionaries(
    st.sampled_from(["v0", "v1", "v2"]),
    st.sampled_from([0.0, 0.3, 1.0]),
    min_size=1,
)


class TestChanges:
    @hypothesis.given(shares, st.lists(st.floats(0.01, 0.99), max_size=4))
    def test_take_back_restores_the_document(self, before, steps):
        original = configuration.Document(
            models={"planner": configuration.Model(before)},
            settings={"limit": 1.0},
        )
        body = releases.NoteBody(
            "Title",
            (
                releases.Change(
                    releases.ChangeKind.ADD,
                    releases.Subject.VERSION,
                    "planner",
                    "v3",
                ),
                releases.Change(
                    releases.ChangeKind.CHANGE,
                    releases.Subject.SETTING,
                    setting="limit",
                    value=2.0,
                ),
            ),
            DEADLINE,
        )
        note = record(
            Phase.LOADING,
            body=body,
            moves=releases.moves_of(body, original),
            before=dict(original.models),
            settings_before={"limit": 1.0},
        )
        document = changes.begin(note, original)
        assert document.shares("planner") == original.shares("planner")
        assert document.settings == {"limit": 2.0}
        for share in steps:
            document = changes.set_share(note, document, share)
            total = sum(document.shares("planner").values())
            assert total == pytest.approx(1.0)
        document = changes.take_back(note, document)
        assert document.withdrawn == {"planner": ("v3",)}
        assert msgspec.structs.replace(document, withdrawn={}) == original

    def test_finish_withdraws_and_ends_the_trial(self):
        note = record(Phase.WATCHING, 3)
        original = configuration.Document(models=dict(note.before))
        document = changes.finish(note, changes.begin(note, original))
        assert document.models["planner"].shares == {"v2": 1.0}
        assert document.withdrawn["planner"] == ("v1",)
        assert not document.trials


def snapshot(target, *versions, slots=2, region="east", loading=()):
    return placements.TargetSnapshot(
        target,
        region,
        (
            *(engines.LoadedVersion("planner", ver) for ver in versions),
            *(engines.LoadedVersion("planner", v, False) for v in loading),
        ),
        slots,
    )


PLACEMENT = releases.PlacementPolicy()


def wanted_at(share):
    """Return a list with the placement of the candidate at a share."""
    return [placements.Placement("planner", "v2", share)]


def orders(snapshots, wanted=None, withdrawn=(), busy=()):
    wanted = wanted_at(0.05) if wanted is None else wanted
    planned = releases.plan_orders(
        wanted, {"planner": withdrawn}, busy, snapshots, PLACEMENT
    )
    return {
        (order.target, order.kind.value, order.version) for order in planned
    }


class TestPlacement:
    def test_candidate_is_loaded_in_every_region(self):
        snapshots = [
            snapshot(f"{region}-{n}", "v1", region=region)
            for region in ("east", "west")
            for n in range(6)
        ]
        assert orders(snapshots) == {
            (f"{region}-{n}", "load", "v2")
            for region in ("east", "west")
            for n in range(2)
        }

    def test_changing_share_limits_concurrent_loads(self):
        snapshots = [snapshot(f"t-{n}", "v1") for n in range(9)]
        snapshots[8] = snapshot("t-8", "v1", loading=("v2",))
        assert len(orders(snapshots, wanted_at(1.0))) == 2

    def test_target_without_a_free_slot_gets_no_load(self):
        assert not orders([snapshot("t-0", "v1", slots=1)])

    def test_withdrawn_version_is_unloaded_after_its_work(self):
        snapshots = [snapshot("t-0", "v1", "v2")]
        busy = [("planner", "v1")]
        assert not orders(snapshots, None, ["v1"], busy)
        assert orders(snapshots, None, ["v1"]) == {("t-0", "unload", "v1")}

    def test_wanted_version_is_never_unloaded(self):
        assert not orders([snapshot("t-0", "v1", "v2")], None, ["v2"])

    @hypothesis.given(
        st.lists(
            st.sets(st.sampled_from(["v0", "v1", "v2"]), max_size=2),
            min_size=1,
            max_size=8,
        )
    )
    def test_orders_reach_the_placement_from_any_state(self, states):
        """Late orders of an old leader can leave targets in any state."""
        versions_by_target = {
            f"t-{n}": set(have) for n, have in enumerate(states)
        }
        for _ in range(12):
            snapshots = [
                snapshot(t, *sorted(have))
                for t, have in versions_by_target.items()
            ]
            for target, kind, version in orders(
                snapshots, wanted_at(1.0), ["v0", "v1"]
            ):
                change = set.add if kind == "load" else set.discard
                change(versions_by_target[target], version)
        assert all(have == {"v2"} for have in versions_by_target.values())
