"""Log lines and counters about crowds."""

from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import telemetry
from sassafrasflow.memory import policy
from sassafrasflow.memory import reports


class Lines(telemetry.EventLog):
    """Collect the fields of log lines."""

    def __init__(self):
        super().__init__("entry-0", fd=-1)
        self.fields = []

    def write(self, event, *, routine=False, **fields):
        self.fields.append(fields)


class TestRejections:
    """Guard against crowds that fill the log."""

    def setup_method(self):
        self.now = 0.0
        self.log = Lines()
        self.metrics = telemetry.Metrics()
        self.report = reports.RejectionReport(
            lambda: self.now, self.log, self.metrics
        )

    def test_a_crowd_has_one_line_a_second(self):
        for _ in range(300):
            self.report.record(503, refusals.RefusalReason.MEMORY)
        self.now = 1.5
        self.report.record(503, refusals.RefusalReason.MEMORY)
        assert [line["count"] for line in self.log.fields] == [1, 300]
        assert b'rejected_total{reason="memory"} 301' in (
            self.metrics.render([])
        )

    def test_other_rejections_have_a_line_each(self):
        for _ in range(3):
            self.report.record(400, refusals.RefusalReason.MALFORMED)
        assert [line["count"] for line in self.log.fields] == [1, 1, 1]

    def test_callers_turned_away_are_summed_up(self):
        report = reports.TurnAwayReport(
            lambda: self.now, self.log, self.metrics
        )
        claim = policy.Claim(
            policy.HoldingId(1), policy.Phase.READING, 100, 0.7
        )
        for now in (0.0, 0.1, 1.2):
            self.now = now
            report.record(claim)
        assert [line["counts"] for line in self.log.fields] == [
            {"reading": 1},
            {"reading": 2},
        ]
        assert self.log.fields[1]["released_bytes"] == 200

    def test_the_rest_of_a_crowd_is_logged_without_another_event(self):
        for _ in range(300):
            self.report.record(503, refusals.RefusalReason.MEMORY)
        self.now = 0.5
        self.report.flush()
        self.now = 1.5
        self.report.flush()
        self.report.flush()
        assert [line["count"] for line in self.log.fields] == [1, 299]
        assert self.log.fields[1]["status"] == 503

    def test_the_rest_of_those_turned_away_is_logged(self):
        report = reports.TurnAwayReport(
            lambda: self.now, self.log, self.metrics
        )
        claim = policy.Claim(
            policy.HoldingId(1), policy.Phase.READING, 100, 0.7
        )
        for _ in range(3):
            report.record(claim)
        self.now = 1.5
        report.flush()
        report.flush()
        assert [line["counts"] for line in self.log.fields] == [
            {"reading": 1},
            {"reading": 2},
        ]
