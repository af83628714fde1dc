"""Tests of the event log and of the rendering of metrics."""

import json
import os

from sassafrasflow.gateway import telemetry


class TestEventLog:
    """The log drops lines rather than block at a flood or a slow reader."""

    def test_line_is_json_with_its_fields(self):
        read, write = os.pipe()
        log = telemetry.EventLog("entry-1", write)
        log.write("target_lost", target="t1", cause="reset")
        log.flush()
        line = json.loads(os.read(read, 4096))
        assert line["event"] == "target_lost"
        assert (line["instance"], line["target"]) == ("entry-1", "t1")

    def test_flood_is_bounded_and_routine_is_dropped_first(self):
        log = telemetry.EventLog("entry-1", os.open(os.devnull, os.O_WRONLY))
        for _ in range(5000):
            log.write("request", routine=True, padding="x" * 100)
        dropped = log.dropped
        assert dropped > 0
        log.write("target_lost", target="t1")
        assert log.dropped == dropped
        assert log._buffered <= telemetry.LOG_BUFFER_BYTES

    def test_slow_reader_does_not_block(self):
        read, write = os.pipe()
        os.set_blocking(write, False)
        log = telemetry.EventLog("entry-1", write)
        for _ in range(100):
            for _ in range(20):
                log.write("request", padding="x" * 200)
            log._second = 0
            log.flush()
        assert log.dropped > 0
        os.close(read)
        os.close(write)

    def test_dropped_lines_are_reported(self):
        read, write = os.pipe()
        log = telemetry.EventLog("entry-1", write)
        log.dropped = 7
        log.flush()
        assert json.loads(os.read(read, 4096))["count"] == 7


class TestMetrics:
    """Counters and histograms in the Prometheus text format."""

    def test_render(self):
        metrics = telemetry.Metrics()
        metrics.count("requests_total", kind="stream")
        metrics.time(0.02, kind="stream")
        text = metrics.render([("targets", 3)]).decode()
        assert 'sassafrasflow_requests_total{kind="stream"} 1' in text
        assert "sassafrasflow_targets 3" in text
        name = "sassafrasflow_answer_seconds_bucket"
        assert f'{name}{{kind="stream",le="0.01"}} 0' in text
        assert f'{name}{{kind="stream",le="0.025"}} 1' in text
