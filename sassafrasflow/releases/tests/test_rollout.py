"""Rollouts: every note ends by its deadline, and what it changes."""

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


def observed(**parts):
    return releases.Observations(**{"loaded": True, **parts})


BY = releases.plan_rollout(record(Phase.LOADING), POLICY)

# phase, step, time, observations, action, share
DECISIONS = [
    (Phase.LOADING, -1, 0, observed(loaded=False), Action.HOLD, 0),
    (Phase.LOADING, -1, 0, observed(), Action.STEP, 0.05),
    (
        Phase.LOADING,
        -1,
        BY.ramp_by,
        observed(loaded=False),
        Action.TAKE_BACK,
        0,
    ),
    (Phase.RAMPING, 0, 20, observed(safety=GOOD), Action.STEP, 0.2),
    (Phase.RAMPING, 0, 5, observed(safety=GOOD), Action.HOLD, 0),
    (Phase.RAMPING, 0, 20, observed(), Action.HOLD, 0),
    (
        Phase.RAMPING,
        0,
        20,
        observed(safety=GOOD, loaded=False),
        Action.HOLD,
        0,
    ),
    (Phase.RAMPING, 0, 20, observed(harm=HARM), Action.TAKE_BACK, 0),
    (Phase.RAMPING, 0, 20, observed(blocked="slow"), Action.TAKE_BACK, 0),
    (Phase.RAMPING, 0, 20, observed(crash_looping=2), Action.TAKE_BACK, 0),
    (Phase.RAMPING, 0, 20, observed(crash_looping=1), Action.HOLD, 0),
    (Phase.RAMPING, 1, BY.watch_by, observed(), Action.TAKE_BACK, 0),
    (Phase.RAMPING, 2, 20, observed(safety=GOOD), Action.STEP, 0.95),
    (Phase.WATCHING, 3, 20, observed(suspected=FAILED), Action.STEP, 0.5),
    (Phase.RAMPING, 2, 5, observed(suspected=FAILED), Action.HOLD, 0),
    (Phase.WATCHING, 3, 20, observed(suspected=FAILED, harm=HARM), BACK, 0),
    (
        Phase.WATCHING,
        3,
        BY.finish_at - 1,
        observed(safety=GOOD),
        Action.HOLD,
        0,
    ),
    (Phase.WATCHING, 3, BY.finish_at, observed(safety=GOOD), Action.FINISH, 0),
    (Phase.WATCHING, 3, BY.finish_at, observed(), Action.TAKE_BACK, 0),
    (Phase.WATCHING, 3, DEADLINE, observed(safety=GOOD), Action.TAKE_BACK, 0),
    (
        Phase.FINISHING,
        3,
        DEADLINE - 1,
        observed(unloaded=False),
        Action.HOLD,
        0,
    ),
    (Phase.FINISHING, 3, DEADLINE, observed(unloaded=False), Action.END, 0),
    (Phase.FINISHING, 3, 20, observed(harm=HARM), Action.END, 0),
]


class TestRollout:
    @pytest.mark.parametrize(
        ("phase", "step", "now", "observations", "action", "share"), DECISIONS
    )
    def test_decision(self, phase, step, now, observations, action, share):
        rollout = releases.Rollout(record(phase, step), POLICY)
        decision = rollout.decide(now, observations)
        assert (decision.action, decision.share) == (action, share)

    def test_accepts_without_evidence_when_told_to(self):
        policy = releases.RolloutPolicy(accept_without_evidence=True)
        rollout = releases.Rollout(record(Phase.WATCHING, 3), policy)
        decision = rollout.decide(BY.finish_at, observed())
        assert decision.action is Action.FINISH

    def test_steps_back_only_so_often(self):
        note = record(Phase.WATCHING, 3, cautions=POLICY.max_cautions)
        rollout = releases.Rollout(note, POLICY)
        decision = rollout.decide(20, observed(suspected=FAILED))
        assert decision.action is Action.HOLD

    def test_late_step_back_may_ramp_until_the_finish(self):
        note = record(Phase.RAMPING, 2, cautions=1)
        rollout = releases.Rollout(note, POLICY)
        late = (BY.watch_by + BY.finish_at) / 2
        assert rollout.decide(late, observed()).action is Action.HOLD
        again = rollout.decide(late, observed(safety=GOOD))
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
        observations = observed(
            loaded=loaded, safety=safety, unloaded=unloaded
        )
        decision = rollout.decide(DEADLINE, observations)
        assert decision.action in (Action.END, Action.TAKE_BACK)


shares = st.dictionaries(
    st.sampled_from(["v0", "v1", "v2"]),
    st.sampled_from([0.0, 0.3, 1.0]),
    min_size=1,
)


class TestChanges:
    @hypothesis.given(shares, st.lists(st.floats(0.01, 0.99), max_size=4))
    def test_take_back_restores_what_was(self, before, steps):
        known = configuration.Document(
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
            moves=releases.moves_of(body, known),
            before=dict(known.models),
            settings_before={"limit": 1.0},
        )
        document = changes.begin(note, known)
        assert document.shares("planner") == known.shares("planner")
        assert document.settings == {"limit": 2.0}
        for share in steps:
            document = changes.set_share(note, document, share)
            total = sum(document.shares("planner").values())
            assert total == pytest.approx(1.0)
        document = changes.take_back(note, document)
        assert document.withdrawn == {"planner": ("v3",)}
        assert msgspec.structs.replace(document, withdrawn={}) == known

    def test_finish_withdraws_and_ends_the_trial(self):
        note = record(Phase.WATCHING, 3)
        known = configuration.Document(models=dict(note.before))
        document = changes.finish(note, changes.begin(note, known))
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
    """Return the placement of the candidate at a share."""
    return [placements.Placement("planner", "v2", share)]


def orders(snapshots, wanted=None, withdrawn=(), busy=()):
    wanted = wanted_at(0.05) if wanted is None else wanted
    found = releases.plan_orders(
        wanted, {"planner": withdrawn}, busy, snapshots, PLACEMENT
    )
    return {(order.target, order.kind.value, order.version) for order in found}


class TestPlacement:
    def test_canary_goes_to_every_region(self):
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

    def test_few_targets_load_at_a_time(self):
        snapshots = [snapshot(f"t-{n}", "v1") for n in range(9)]
        snapshots[8] = snapshot("t-8", "v1", loading=("v2",))
        assert len(orders(snapshots, wanted_at(1.0))) == 2

    def test_full_memory_gets_no_load(self):
        assert not orders([snapshot("t-0", "v1", slots=1)])

    def test_withdrawn_version_leaves_after_its_work(self):
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
    def test_reaches_what_is_wanted_from_any_state(self, states):
        """Late orders of an old leader leave any state behind."""
        held = {f"t-{n}": set(have) for n, have in enumerate(states)}
        for _ in range(12):
            snapshots = [
                snapshot(t, *sorted(have)) for t, have in held.items()
            ]
            for target, kind, version in orders(
                snapshots, wanted_at(1.0), ["v0", "v1"]
            ):
                change = set.add if kind == "load" else set.discard
                change(held[target], version)
        assert all(have == {"v2"} for have in held.values())
