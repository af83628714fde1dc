"""Tests of the ``experiment`` command."""

import json

import pytest

from sassafrasflow import cli


class TestExperiment:
    """The command simulates policies, prints results and draws plots."""

    def test_prints_one_line_for_each_policy_and_seed(self, capsys):
        code = cli.main(
            ["experiment", "--seconds", "3", "--seeds", "2", "--load", "0.5"]
        )
        lines = [json.loads(x) for x in capsys.readouterr().out.splitlines()]
        assert code == 0
        assert len(lines) == 8 * 2
        assert {line["policy"] for line in lines} == {
            "asked",
            "asked-of-32",
            "asked-of-8",
            "asked-unheeding",
            "sampled",
            "sampled-alone",
            "least-loaded",
            "random",
        }
        assert all(line["streams"] > 0 for line in lines)

    @pytest.mark.parametrize("name", ["waits.svg", "waits.png"])
    def test_draws_a_plot(self, tmp_path, name):
        path = tmp_path / name
        arguments = ["--policy", "sampled", "--seconds", "2"]
        assert cli.main(["experiment", *arguments, "--plot", str(path)]) == 0
        assert path.stat().st_size > 1000

    def test_draws_a_plot_of_unwanted_requests(self, tmp_path):
        path = tmp_path / "unwanted.svg"
        arguments = ["--policy", "asked", "--seconds", "5", "--pause", "2"]
        arguments += ["--leave-at", "3", "--plot-unwanted", str(path)]
        assert cli.main(["experiment", *arguments]) == 0
        assert path.stat().st_size > 1000

    def test_unknown_policy_is_refused(self, capsys):
        assert cli.main(["experiment", "--policy", "guess"]) == 2
        assert "known: asked" in capsys.readouterr().err
