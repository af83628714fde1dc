"""Tests that the ``explain`` command shows why a request failed."""

import pytest

from sassafrasflow import cli
from sassafrasflow.cli import explain
from sassafrasflow.gateway import ledger
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins


@pytest.fixture
async def fleet():
    """Start a store; close it and everything started on it at the end."""
    async with fleets.Fleet() as running:
        yield running


def timed(lines):
    """Return collected log lines with a time and an instance added."""
    return [
        {"time": float(number), "instance": "entry-0", **line}
        for number, line in enumerate(lines)
    ]


class TestRequestEvents:
    """The lines of a request include the cause of its failure."""

    async def test_stream_that_ended_early(self, fleet):
        async def crash(conn, req):
            await conn.start_stream(req)
            await conn.event(1)
            conn.reset()

        config = documents.limit_stream_targets(documents.configuration(), 1)
        await fleet.store.configure(config)
        await fleet.add_worker("w1", crash)
        await fleet.start()
        async with fleet.caller() as caller:
            answer = await caller.request(
                "/plan/x", method="POST", body=b"log"
            )
        assert not answer.complete
        events = explain.request_events(timed(fleet.log_lines), "a1")
        ended = [line for line in events if line["event"] == "run_ended"]
        assert ended[0]["target"] == "w1"
        assert ended[0]["cause"] in ("reset", "closed")
        assert events[-1]["outcome"].startswith("cut")

    async def test_call_refused_although_targets_are_listed(self, fleet):
        await fleet.add_worker("w1", standins.shed)
        await fleet.start()
        async with fleet.caller() as caller:
            await caller.request("/book/x", method="POST", body=b"{}")
        events = explain.request_events(timed(fleet.log_lines), "a1")
        tries = [line for line in events if line["event"] == "try_failed"]
        assert (tries[0]["end"], tries[0]["status"]) == ("not_run", 503)
        listed = [line for line in events if line["event"] == "target_listed"]
        assert listed[0]["target"] == "w1"

    async def test_key_refused_after_a_change(self, fleet):
        await fleet.add_worker("w1")
        gateway = await fleet.start()
        config = documents.without_keys(documents.configuration(version=9))
        await fleet.store.configure(config)
        await fleets.wait_until(lambda: gateway.settings.version == 9)
        async with fleet.caller() as caller:
            await caller.request("/read/x")
        events = explain.request_events(timed(fleet.log_lines), "a1")
        changes = [line for line in events if line["event"] == "configuration"]
        assert changes[-1]["version"] == 9
        assert events[-1]["outcome"] == "refused_401_unknown_key"

    async def test_copies_of_one_request_share_a_fingerprint(self, fleet):
        async def reset(conn, req):
            conn.reset()

        await fleet.add_worker("w1", reset)
        await fleet.start()
        for attempt in ("a1", "a2"):
            async with fleet.caller() as caller:
                await caller.request(
                    "/book/x", method="POST", body=b"{}", attempt=attempt
                )
        # Ended runs are kept for some time and checked once a second.
        await fleets.wait_until(
            lambda: len(fleet.events("death_not_judged")) == 2,
            timeout_s=2 * ledger.RETENTION_S,
        )
        fingerprint = fleet.events("death_not_judged")[0]["fingerprint"]
        events = explain.fingerprint_events(
            timed(fleet.log_lines), fingerprint
        )
        assert [(line["event"], line["request"]) for line in events] == [
            ("try_failed", "a1"),
            ("try_failed", "a2"),
            ("death_not_judged", "a1"),
            ("death_not_judged", "a2"),
        ]

    def test_state_changes_of_other_instances_are_left_out(self):
        lines = [
            {"time": 1, "instance": "a", "event": "store_lost"},
            {"time": 1, "instance": "b", "event": "store_lost"},
            {"time": 2, "instance": "a", "event": "request", "request": "r"},
        ]
        events = explain.request_events(lines, "r")
        assert [line["instance"] for line in events] == ["a", "a"]


class TestUnavailableTargets:
    """The cause of a refusal names the state that the targets announced."""

    @pytest.mark.parametrize(
        "announcement, cause",
        [
            ({"Server_Leaving": "1"}, "targets leaving"),
            ({"Retry_After": "5"}, "targets paused"),
        ],
    )
    async def test_refusals_are_grouped_by_target_state(
        self, fleet, announcement, cause
    ):
        async def refuse(conn, req):
            await conn.answer(
                503,
                X_Not_Executed="1",
                X_Request_Attempt_Id=req.headers[standins.ATTEMPT],
                **announcement,
            )

        await fleet.add_worker("w1", refuse)
        await fleet.start()
        for number in range(3):
            async with fleet.caller() as caller:
                await caller.request(
                    "/book/x", method="POST", attempt=f"a{number}"
                )
        await fleets.wait_until(lambda: len(fleet.events("request")) == 3)
        requests_by_cause = explain.failed_by_cause(timed(fleet.log_lines))
        requests_by_refusal = {
            each: requests
            for each, requests in requests_by_cause.items()
            if each.endswith(cause)
        }
        # The first request was refused by the target itself.
        assert sorted(*requests_by_refusal.values()) == ["a1", "a2"]


class TestCommand:
    """Log lines are found among other text in files."""

    def test_request_events_are_printed(self, tmp_path, capsys):
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

    def test_unknown_request_is_reported(self, tmp_path, capsys):
        log = tmp_path / "entry.log"
        log.write_text("")
        assert cli.main(["explain", "r1", "--log", str(log)]) == 1
