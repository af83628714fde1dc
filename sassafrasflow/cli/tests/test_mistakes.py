"""Tests of the command line's output and exit codes after mistakes."""

import asyncio
import json
import socket

import pytest

from sassafrasflow import api
from sassafrasflow import cli
from sassafrasflow.cli import client
from sassafrasflow.cli import status
from sassafrasflow.fakes import processes
from sassafrasflow.fakes import stage as stages

SETTINGS = {
    "instance": "entry-0",
    "region": "east",
    "data_centre": "east-1",
    "platform": {"url": "http://127.0.0.1:9"},
    "peers": {"port": 0},
}
NOWHERE = "http://127.0.0.1:9"

# Arguments, key, exit code and the start of the only line on stderr.
MISTAKES = [
    (["check-settings", "--settings", "none"], "k", 2, "none: No such file"),
    (["serve", "--settings", "none"], "k", 2, "none: No such file"),
    (["status", "--url", NOWHERE], "", 2, "SASSAFRASFLOW_KEY: set it"),
    (["status", "--url", NOWHERE], "é", 2, "SASSAFRASFLOW_KEY: is not"),
    (["status", "--url", NOWHERE], "k", 3, f"{NOWHERE}: "),
    (["status", "--url", "there"], "k", 2, "--url there: "),
    (["status", "--url", "http://a:b"], "k", 2, "--url http://a:b: "),
    (["note", "list", "--url", NOWHERE], "k", 3, f"{NOWHERE}: "),
    (
        ["note", "submit", "none", "--url", NOWHERE],
        "k",
        2,
        "none: No such file",
    ),
]


class TestMistakes:
    @pytest.mark.parametrize(("args", "key", "code", "line"), MISTAKES)
    def test_prints_one_line(self, args, key, code, line, capsys, monkeypatch):
        monkeypatch.setenv(client.KEY_VARIABLE, key)
        assert cli.main(args) == code
        out, err = capsys.readouterr()
        assert out == ""
        assert err.startswith(f"sassafrasflow: {line}")
        assert err.count("\n") == 1

    @pytest.mark.parametrize(
        "args", [[], ["none"], ["serve"], ["note", "show"]]
    )
    def test_wrong_arguments(self, args, capsys):
        with pytest.raises(SystemExit) as caught:
            cli.main(args)
        assert caught.value.code == 2
        assert "usage:" in capsys.readouterr().err

    @pytest.mark.parametrize("section", ["api", "peers"])
    def test_busy_port(self, section, tmp_path, capsys):
        with socket.create_server(("127.0.0.1", 0)) as busy:
            port = busy.getsockname()[1]
            cfg = {"api": {"port": 0}, **SETTINGS, section: {"port": port}}
            path = tmp_path / "settings.json"
            path.write_text(json.dumps(cfg))
            assert cli.main(["serve", "--settings", str(path)]) == 3
        lines = [
            line
            for line in capsys.readouterr().err.splitlines()
            if line.startswith("sassafrasflow: ")
        ]
        assert len(lines) == 1
        assert f"{port}" in lines[0]
        assert "in use" in lines[0]

    def test_faults_as_json(self, tmp_path, capsys):
        path = tmp_path / "settings.json"
        path.write_text('{"region": 5}')
        args = ["check-settings", "--json", "--settings", str(path)]
        assert cli.main(args) == 2
        report = json.loads(capsys.readouterr().out)
        paths = [fault["path"] for fault in report["faults"]]
        assert not report["ok"]
        assert {"$.region", "$.instance", "$.platform"} <= set(paths)


class TestDemo:
    def test_ends_with_one_json_object(self, capsys):
        assert cli.main(["demo"]) == 0
        *lines, last = capsys.readouterr().out.splitlines()
        result = json.loads(last)
        assert result["complete"] and result["engine_killed"]
        assert result["tokens"] == 200 and result["resume_latency_ms"] >= 0
        assert all(line.endswith((".", "'", "}")) for line in lines)


class TestStatus:
    async def test_is_readable_and_scriptable(self, capsys, monkeypatch):
        monkeypatch.setenv(client.KEY_VARIABLE, processes.OPERATOR_KEY)
        async with stages.Stage() as stage:
            args = ["status", "--url", stage.url]
            assert await asyncio.to_thread(cli.main, args) == 0
            text = capsys.readouterr().out
            args.append("--json")
            assert await asyncio.to_thread(cli.main, args) == 0
            status_json = json.loads(capsys.readouterr().out)
        assert text.startswith("entry-0 in east-1 (east), version ")
        assert "revision 0, confirmed by the platform" in text
        assert status_json["ready"] and not status_json["stopping"]
        assert {target["state"] for target in status_json["targets"]} == {
            "ready"
        }
        assert len(status_json["targets"]) == 3

    async def test_wrong_key_is_refused(self, capsys, monkeypatch):
        monkeypatch.setenv(client.KEY_VARIABLE, processes.CALLER_KEY)
        async with stages.Stage() as stage:
            args = ["status", "--url", stage.url]
            assert await asyncio.to_thread(cli.main, args) == 1
        err = capsys.readouterr().err
        assert "refused: unauthenticated (ran: no)" in err

    def test_unknown_revision(self, snapshot):
        instance_status = api.InstanceStatus(
            instance="entry-0",
            region="east",
            data_centre="east-1",
            version="0.1.0",
            ready=False,
            stopping=False,
            revision=None,
            revision_age_s=None,
            running_generations=0,
            peers=[
                api.PeerStatus(f"entry-{n}", "west", "west-1") for n in (1, 2)
            ],
            targets=[],
        )
        assert list(status.lines_of(instance_status)) == snapshot
