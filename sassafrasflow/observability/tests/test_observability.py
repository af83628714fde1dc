"""Tests of metrics and logs."""

import json
import logging
import math
import pathlib

from loguru import logger
import pytest

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import observability

OPERATIONS = pathlib.Path(__file__).parents[3] / "docs" / "OPERATIONS.md"
REASONS = [*exceptions.RefusalReason, *exceptions.RetryReason]


def value_of(metrics, name):
    lines = metrics.render().splitlines()
    return float(
        next(x for x in lines if x.startswith(name + " "))[len(name) :]
    )


class TestReasons:
    @pytest.mark.parametrize("reason", exceptions.RefusalReason)
    def test_each_refusal_has_a_counter(self, reason):
        metrics = observability.Metrics()
        name = f'sassafrasflow_refusals_total{{reason="{reason.value}"}}'
        assert value_of(metrics, name) == 0
        metrics.count_refusal(reason)
        assert value_of(metrics, name) == 1

    @pytest.mark.parametrize("reason", exceptions.RetryReason)
    def test_each_retry_has_a_counter(self, reason):
        metrics = observability.Metrics()
        name = f'sassafrasflow_retries_total{{reason="{reason.value}"}}'
        assert value_of(metrics, name) == 0
        metrics.count_retry(reason)
        assert value_of(metrics, name) == 1

    def test_each_reason_is_documented(self):
        text = OPERATIONS.read_text()
        missing = [r.value for r in REASONS if f"| `{r.value}` |" not in text]
        assert missing == []


# Initial number of tokens, then calls of the timer as (time, tokens,
# attempt), then the recorded (count, sum in seconds) of the first-token,
# inter-token and resume latencies.
TIMED = [
    (0, [(0.5, 1, 1)], (1, 0.5), (0, 0), (0, 0)),
    (0, [(0.5, 1, 1), (0.6, 2, 1)], (1, 0.5), (1, 0.1), (0, 0)),
    (0, [(0.5, 1, 1), (0.9, 5, 1)], (1, 0.5), (4, 0.4), (0, 0)),
    (0, [(0.5, 1, 1), (0.9, 1, 1)], (1, 0.5), (0, 0), (0, 0)),
    (0, [(0.5, 1, 1), (1.5, 3, 2)], (1, 0.5), (0, 0), (1, 1.0)),
    (0, [(2.0, 1, 2)], (1, 2.0), (0, 0), (0, 0)),
    (9, [(0.3, 10, 2), (0.4, 11, 2)], (0, 0), (1, 0.1), (1, 0.3)),
]


class TestTokenTimer:
    @pytest.mark.parametrize(
        ("initial", "steps", "first", "inter", "resume"), TIMED
    )
    def test_records(self, initial, steps, first, inter, resume):
        metrics = observability.Metrics()
        timer = observability.TokenTimer(metrics, 0.0, initial)
        for step in steps:
            timer.record_progress(*step)
        for kind, (count, sum_s) in {
            "first_token": first,
            "inter_token": inter,
            "resume": resume,
        }.items():
            name = f"sassafrasflow_{kind}_seconds"
            assert value_of(metrics, f"{name}_count") == count
            assert value_of(metrics, f"{name}_sum") == pytest.approx(sum_s)

    def test_quantiles_have_the_unit_of_their_name(self):
        metrics = observability.Metrics()
        metrics.record(observability.Latency.RESUME, 1.5)
        name = 'sassafrasflow_resume_seconds{quantile="0.99"}'
        assert value_of(metrics, name) == pytest.approx(1.5, rel=0.02)


class TestRecentQuantiles:
    @pytest.mark.parametrize(
        ("passed_s", "expected"), [(0, 5.0), (59, 5.0), (61, 5.0), (130, None)]
    )
    def test_old_samples_expire(self, passed_s, expected):
        clock = clocks.ManualClock()
        metrics = observability.Metrics(clock, window_s=60.0)
        metrics.record(observability.Latency.RESUME, 5.0)
        clock.advance(passed_s)
        name = "sassafrasflow_resume_seconds"
        quantile_s = value_of(metrics, name + '{quantile="0.95"}')
        if expected is None:
            assert math.isnan(quantile_s)
        else:
            assert quantile_s == pytest.approx(expected, rel=0.02)
        assert value_of(metrics, f"{name}_count") == 1


class TestGauges:
    def test_unknown_value_is_left_out(self):
        metrics = observability.Metrics()
        metrics.register_gauge(observability.Gauge.TARGETS_READY, lambda: 3)
        metrics.register_gauge(observability.Gauge.TARGETS_KNOWN, lambda: None)
        assert value_of(metrics, "sassafrasflow_targets_ready") == 3
        assert "targets_known" not in metrics.render()


class TestLogs:
    @pytest.fixture(autouse=True)
    def restore(self):
        yield
        observability.configure_logs()

    def test_json_lines_contain_bound_values(self, capsys):
        observability.configure_logs(as_json=True)
        with logger.contextualize(request="r1"):
            logger.bind(generation="g1").info("generations: {} ended.", "It")
        (line,) = capsys.readouterr().err.splitlines()
        entry = json.loads(line)
        assert entry["message"] == "generations: It ended."
        assert (entry["request"], entry["generation"]) == ("r1", "g1")
        assert set(entry) == {
            "time",
            "level",
            "message",
            "request",
            "generation",
        }

    def test_text_lines_contain_bound_values(self, capsys):
        observability.configure_logs()
        logger.bind(generation="g1").info("api: Done.")
        assert capsys.readouterr().err.endswith(
            " INFO api: Done. generation=g1\n"
        )

    @pytest.mark.parametrize("as_json", [True, False])
    def test_traces_show_no_values(self, as_json, capsys):
        observability.configure_logs(as_json=as_json)

        def fail(prompt):
            raise ValueError("bad length")

        try:
            fail("my secret prompt")
        except ValueError:
            logger.exception("api: Internal error.")
        err = capsys.readouterr().err
        assert "bad length" in err
        assert "my secret prompt" not in err.replace(
            'fail("my secret prompt")', ""
        ).replace('fail(\\"my secret prompt\\")', "")

    def test_libraries_get_a_prefix(self, capsys):
        observability.configure_logs()
        logging.getLogger("uvicorn.error").error("Broken.")
        assert " ERROR api: Broken.\n" in capsys.readouterr().err
