"""From a request's id to its cause, for three kinds of failure."""

import pytest

from sassafrasflow import cli
from sassafrasflow.cli import explain
from sassafrasflow.gateway import ledger
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins


@pytest.fixture
async def fleet():
    """Start a store and close every part afterwards."""
    async with fleets.Fleet() as running:
        yield running


def timed(lines):
    """Return collected lines as an instance would write them."""
    return [
        {"time": float(number), "instance": "entry-0", **line}
        for number, line in enumerate(lines)
    ]


class TestStory:
    """The cause of a failure is among the lines of its story."""

    async def test_stream_that_ended_early(self, fleet):
        async def crash(conn, req):
            await conn.start_stream(req)
            await conn.event(1)
            conn.reset()

        config = documents.limit_plan_targets(documents.configuration(), 1)
        await fleet.store.configure(config)
        await fleet.add_worker("w1", crash)
        await fleet.start()
        async with fleet.caller() as caller:
            answer = await caller.ask("/plan/x", method="POST", body=b"log")
        assert not answer.complete
        found = explain.request_events(timed(fleet.log_lines), "a1")
        ended = [line for line in found if line["event"] == "run_ended"]
        assert ended[0]["target"] == "w1"
        assert ended[0]["cause"] in ("reset", "closed")
        assert found[-1]["outcome"].startswith("cut")

    async def test_call_refused_although_targets_are_listed(self, fleet):
        await fleet.add_worker("w1", standins.shed)
        await fleet.start()
        async with fleet.caller() as caller:
            await caller.ask("/book/x", method="POST", body=b"{}")
        found = explain.request_events(timed(fleet.log_lines), "a1")
        tries = [line for line in found if line["event"] == "try_failed"]
        assert (tries[0]["end"], tries[0]["status"]) == ("not_run", 503)
        listed = [line for line in found if line["event"] == "target_listed"]
        assert listed[0]["target"] == "w1"

    async def test_key_refused_after_a_change(self, fleet):
        await fleet.add_worker("w1")
        gateway = await fleet.start()
        config = documents.without_keys(documents.configuration(version=9))
        await fleet.store.configure(config)
        await fleets.until(lambda: gateway.settings.version == 9)
        async with fleet.caller() as caller:
            await caller.ask("/read/x")
        found = explain.request_events(timed(fleet.log_lines), "a1")
        changes = [line for line in found if line["event"] == "configuration"]
        assert changes[-1]["version"] == 9
        assert found[-1]["outcome"] == "refused_401_unknown_key"

    async def test_copies_of_one_request_share_a_fingerprint(self, fleet):
        async def break_off(conn, req):
            conn.reset()

        await fleet.add_worker("w1", break_off)
        await fleet.start()
        for attempt in ("a1", "a2"):
            async with fleet.caller() as caller:
                await caller.ask(
                    "/book/x", method="POST", body=b"{}", attempt=attempt
                )
        # Ended runs are kept for a while, and looked through once a second.
        await fleets.until(
            lambda: len(fleet.events("death_not_judged")) == 2,
            timeout_s=2 * ledger.KEPT_S,
        )
        mark = fleet.events("death_not_judged")[0]["fingerprint"]
        found = explain.fingerprint_events(timed(fleet.log_lines), mark)
        assert [(line["event"], line["request"]) for line in found] == [
            ("try_failed", "a1"),
            ("try_failed", "a2"),
            ("death_not_judged", "a1"),
            ("death_not_judged", "a2"),
        ]

    def test_other_instances_beliefs_are_left_out(self):
        lines = [
            {"time": 1, "instance": "a", "event": "store_lost"},
            {"time": 1, "instance": "b", "event": "store_lost"},
            {"time": 2, "instance": "a", "event": "request", "request": "r"},
        ]
        found = explain.request_events(lines, "r")
        assert [line["instance"] for line in found] == ["a", "a"]


class TestTargetsThatWantNothing:
    """What targets say of themselves is named as the cause of refusals."""

    @pytest.mark.parametrize(
        "named, cause",
        [
            ({"Server_Leaving": "1"}, "targets leaving"),
            ({"Retry_After": "5"}, "targets paused"),
        ],
    )
    async def test_refusals_are_grouped_by_what_targets_said(
        self, fleet, named, cause
    ):
        async def turn_away(conn, req):
            await conn.answer(
                503,
                X_Not_Executed="1",
                X_Request_Attempt_Id=req.headers[standins.ATTEMPT],
                **named,
            )

        await fleet.add_worker("w1", turn_away)
        await fleet.start()
        for number in range(3):
            async with fleet.caller() as caller:
                await caller.ask(
                    "/book/x", method="POST", attempt=f"a{number}"
                )
        await fleets.until(lambda: len(fleet.events("request")) == 3)
        found = explain.failed_by_cause(timed(fleet.log_lines))
        grouped = {
            each: requests
            for each, requests in found.items()
            if each.endswith(cause)
        }
        # The first was turned away by the target itself.
        assert sorted(*grouped.values()) == ["a1", "a2"]


class TestCommand:
    """Lines are read from files whatever stands before and between."""

    def test_story_is_printed(self, tmp_path, capsys):
        log = tmp_path / "entry.log"
        log.write_text(
            "  1.0 node {noise\n"
            '  1.2 node {"time":1,"instance":"a","event":"request",'
            '"request":"r1","outcome":"refused_503_no_target","took_ms":4}\n'
        )
        assert cli.main(["explain", "r1", "--log", str(log)]) == 0
        assert "refused_503_no_target" in capsys.readouterr().out

    def test_failures_are_grouped(self, tmp_path, capsys):
        log = tmp_path / "entry.log"
        log.write_text(
            '{"time":1,"instance":"a","event":"try_failed","request":"r1",'
            '"end":"lost"}\n'
            '{"time":2,"instance":"a","event":"request","request":"r1",'
            '"outcome":"refused_502_outcome_unknown"}\n'
        )
        assert cli.main(["explain", "--failed", "--log", str(log)]) == 0
        assert "outcome_unknown: lost" in capsys.readouterr().out

    def test_unknown_request_is_said(self, tmp_path, capsys):
        log = tmp_path / "entry.log"
        log.write_text("")
        assert cli.main(["explain", "r1", "--log", str(log)]) == 1
