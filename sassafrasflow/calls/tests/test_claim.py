"""Tests of the actions on claims, checks of paths, and the sweeper."""

import msgspec
import pytest

from sassafrasflow import calls
from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import services
from sassafrasflow.fakes import table as tables

State = calls.ClaimState
ClaimAction = calls.ClaimAction
ANSWER = services.ServiceResponse(200, "text/plain", b"done")


def claim(state, token="a", body="x", response=None, at=0.0):
    return calls.Claim(token, body, state, at, response)


class TestDecideAction:
    @pytest.mark.parametrize(
        ("stored", "action"),
        [
            (None, ClaimAction.CLAIM),
            (claim(State.CLAIMED), ClaimAction.DISPATCH),
            (claim(State.CLAIMED, token="b"), ClaimAction.UNRESOLVED),
            (claim(State.CLAIMED, body="y"), ClaimAction.KEY_REUSED),
            (claim(State.RELEASED, token="b"), ClaimAction.CLAIM),
            (claim(State.RELEASED, body="y"), ClaimAction.KEY_REUSED),
            (claim(State.DONE, response=ANSWER), ClaimAction.REPLAY),
            (claim(State.DONE), ClaimAction.ANSWER_NOT_KEPT),
            (claim(State.DONE, body="y"), ClaimAction.KEY_REUSED),
        ],
    )
    def test_action(self, stored, action):
        assert calls.decide_action(stored, "a", "x") is action

    def test_organisations_have_distinct_keys(self):
        assert calls.claim_key("a/b", "c") != calls.claim_key("a", "b/c")


class TestPath:
    @pytest.mark.parametrize(
        "path", ["/catalogue/../checkouts", "/./x", "//other/x", "/.."]
    )
    def test_ambiguous_path_is_refused(self, path):
        with pytest.raises(exceptions.Refusal) as caught:
            calls.check_path(path)
        assert caught.value.ran is exceptions.Ran.NO

    @pytest.mark.parametrize("path", ["/", "/a/b.c", "/a..b", "/.well"])
    def test_plain_path_passes(self, path):
        calls.check_path(path)


class TestSweeper:
    async def test_old_claims_are_deleted_by_state(self):
        clock = clocks.ManualClock(wall_s=100.0)
        table = tables.MemoryTable()
        policy = calls.SweepPolicy(
            kept_ms=10_000,
            unresolved_kept_ms=50_000,
            page_rows=2,
            max_writes_per_s=10_000,
        )
        ages = {"done-old": 95, "done-new": 5, "lost-old": 80, "lost": 40}
        for name, age in ages.items():
            state = State.CLAIMED if "lost" in name else State.DONE
            value = msgspec.json.encode(claim(state, at=100.0 - age))
            change = calls.RowChange(f"claim/club/{name}", 0, value)
            await table.transact([change.condition()], [change.write()])
        sweeper = calls.ClaimSweeper(table, policy, clock, lambda: True)
        assert await sweeper.sweep() == 2
        assert {key.rpartition("/")[2] for key in table.rows} == {
            "done-new",
            "lost",
        }
