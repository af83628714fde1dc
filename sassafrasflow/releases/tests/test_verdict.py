"""Tests of the evidence about a candidate and the verdicts on it.

A harmful version must be found. Events that a faulty target or a failing
request causes under any version must not count against the candidate.
"""

import random

import msgspec
import pytest

from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import generations
from sassafrasflow import releases
from sassafrasflow import sequential

Arm = releases.Arm
Finding = releases.Finding
Signal = releases.Signal
Reason = exceptions.RetryReason


def trial():
    """Return a trial that lasts 1,600 s."""
    return configuration.Trial("note", "v2", "v1", 1e9, 1e9 + 1600)


def key(arm, target="t-0", segment=0, region="east", share=50):
    return releases.SampleKey(segment, share, arm, region, "/route", target)


def evidence_of(*parts):
    """Build evidence from (arm, target, signal, events, attempts)."""
    evidence = releases.Evidence()
    for arm, target, signal, events, attempts in parts:
        tally = evidence.tally(key(arm, target))
        tally.attempts += attempts
        tally.first_token_s.count += attempts
        tally.inter_token_s.count += attempts
        for _ in range(events):
            tally.add_event(signal)
    return evidence


def evaluator(**policy):
    return releases.Evaluator(releases.EvaluatorPolicy(**policy), 16)


NEW, OLD = Arm.CANDIDATE, Arm.BASELINE
FAILED, LOST = Signal.FAILURES, Signal.LOSSES

# evidence, finding
HARM_CASES = {
    "spread over targets": (
        [(NEW, f"t-{n}", FAILED, 4, 20) for n in range(3)],
        Finding.HARMFUL,
    ),
    "lost connections on several targets": (
        [(NEW, f"t-{n}", LOST, 4, 20) for n in range(3)],
        Finding.HARMFUL,
    ),
    "one target": ([(NEW, "t-0", FAILED, 40, 60)], Finding.OPEN),
    "both versions": (
        [(NEW, f"t-{n}", FAILED, 3, 20) for n in range(3)]
        + [(OLD, f"t-{n}", FAILED, 57, 380) for n in range(3)],
        Finding.OPEN,
    ),
    # Eight instances lost connections when three targets crashed that
    # served both versions.
    "crashes of shared targets": (
        [(NEW, f"t-{n}", LOST, 1, 20) for n in range(3)]
        + [(OLD, f"t-{n}", LOST, 7, 380) for n in range(3)],
        Finding.OPEN,
    ),
    "few events": (
        [(NEW, f"t-{n}", FAILED, 1, 20) for n in range(2)],
        Finding.OPEN,
    ),
    "nothing yet": ([], Finding.OPEN),
}

# candidate attempts and events, baseline attempts and events, finding
SAFETY_CASES = [
    (20, 0, 400, 0, Finding.OPEN),
    (120, 0, 400, 0, Finding.GOOD),
    (120, 12, 400, 0, Finding.OPEN),
    (300, 30, 2000, 200, Finding.GOOD),
    (0, 0, 400, 0, Finding.OPEN),
]


class TestEvaluator:
    @pytest.mark.parametrize("case", HARM_CASES)
    def test_evaluate_harm(self, case):
        parts, finding = HARM_CASES[case]
        verdict = evaluator().evaluate_harm(evidence_of(*parts))
        assert verdict.finding is finding

    @pytest.mark.parametrize(
        ("new", "bad", "old", "base", "finding"), SAFETY_CASES
    )
    def test_evaluate_safety(self, new, bad, old, base, finding):
        evidence = evidence_of(
            (NEW, "t-1", FAILED, bad, new),
            (OLD, "t-1", FAILED, base, old),
            # This target has most events and is therefore left out.
            (NEW, "t-0", FAILED, 50, 50),
        )
        assert evaluator().evaluate_safety(evidence).finding is finding

    @pytest.mark.parametrize(
        ("events", "signal"), [(1, None), (8, Signal.FAILURES)]
    )
    def test_rise_over_earlier_segments_is_suspicious(self, events, signal):
        evidence = evidence_of(
            (NEW, "t-0", FAILED, 1, 200), (OLD, "t-0", FAILED, 1, 100)
        )
        tally = evidence.tally(key(NEW, segment=1))
        tally.attempts = 40
        tally.failures = events
        assert evaluator().find_suspicious_signal(evidence, 1) is signal

    def test_harm_in_one_region_is_found(self):
        evidence = releases.Evidence()
        for number in range(14):
            here = key(NEW, f"t-{number % 2}", region="west")
            evidence.tally(here).add_event(FAILED)
        for number in range(30):
            here = key(OLD, f"t-{number % 3}", region="east")
            evidence.tally(here).add_event(FAILED)
        assert evaluator().evaluate_harm(evidence).finding is Finding.HARMFUL

    @pytest.mark.parametrize(
        ("evaluating_instances", "finding"),
        [(1, Finding.HARMFUL), (10**9, Finding.OPEN)],
    )
    def test_more_evaluating_instances_need_more_evidence(
        self, evaluating_instances, finding
    ):
        evidence = evidence_of(
            *[(NEW, f"t-{n}", FAILED, 4, 20) for n in range(3)]
        )
        evaluator_of_many = releases.Evaluator(
            releases.EvaluatorPolicy(),
            16,
            evaluating_instances=evaluating_instances,
        )
        assert evaluator_of_many.evaluate_harm(evidence).finding is finding


class TestSequentialTest:
    def test_false_alarms_stay_below_the_bound(self):
        rng = random.Random(7)
        alarms = 0
        rollouts = 400
        for _ in range(rollouts):
            counts = {}
            for segment in range(16):
                new = sum(rng.random() < 0.05 for _ in range(40))
                counts[segment] = [sequential.Counts(50, new, 40 - new)]
                if sequential.log_evidence(counts, 16) > 4.6:
                    alarms += 1
                    break
        assert alarms <= 0.01 * rollouts

    def test_fault_that_begins_late_is_found(self):
        quiet = {n: [sequential.Counts(50, 2, 38)] for n in range(10)}
        broken = {**quiet, 10: [sequential.Counts(50, 20, 4)]}
        assert sequential.log_evidence(quiet, 16) < 1
        assert sequential.log_evidence(broken, 16) > 12


class TestEvidence:
    def test_merge_is_independent_of_the_order(self):
        parts = [
            evidence_of((NEW, "t-0", LOST, count, 10)) for count in (2, 3)
        ]
        for ordered in (parts, parts[::-1]):
            merged = releases.Evidence()
            for part in ordered:
                merged.merge(part)
            assert merged.total(NEW).losses == 5
            assert merged.total(NEW).attempts == 20

    def test_events_and_attempts_merge_to_the_whole(self):
        whole = evidence_of(
            (NEW, "t-0", LOST, 2, 10), (OLD, "t-1", LOST, 0, 9)
        )
        merged = releases.Evidence()
        merged.merge(whole.only_events())
        merged.merge(whole.only_attempts())
        assert merged.tallies == whole.tallies

    def test_aggregation_keeps_the_sums_and_the_worst_target(self):
        whole = evidence_of(
            *[(NEW, f"t-{n}", FAILED, n, 10) for n in range(8)]
        )
        total = whole.total(NEW)
        assert whole.aggregate_smallest_targets()
        assert len(whole.tallies) == 5
        assert whole.total(NEW) == total
        assert whole.worst_targets(1) == ["t-7"]

    def test_confidence_interval_contains_the_mean(self):
        moments = releases.Moments()
        assert moments.confidence_interval() is None
        for value in (1.0, 2.0, 3.0):
            moments.add(value)
        mean, low, high = moments.confidence_interval()
        assert (mean, low < 2.0 < high) == (2.0, True)


def outcome(version, number, **parts):
    values = {
        "model": "planner",
        "version": version,
        "target": f"t-{number % 3}",
        "organisation": "club",
        "fingerprint": f"body-{number}",
        "tokens": 100,
        "max_tokens": 200,
        "first_token_s": 0.2,
        "inter_token_s": 0.03,
        "failure": None,
        "route": "/route",
    }
    return generations.AttemptOutcome(**{**values, **parts})


class CollectorSetup:
    """Collector with baseline samples and a trial at a share of 5%."""

    def __init__(self):
        self.clock = clocks.ManualClock(wall_s=1e9)
        self.collector = releases.Collector(
            "east", releases.CollectorPolicy(), self.clock
        )
        self.document = configuration.Document(
            models={"planner": configuration.Model({"v1": 0.95, "v2": 0.05})},
            trials={"planner": trial()},
        )
        for number in range(60):
            self.observe("v1", number)
        self.collector.apply_document(self.document)

    def observe(self, version, number, **parts):
        self.collector.observe(outcome(version, number, **parts))

    def total(self, arm=NEW):
        return self.collector.trials["planner"].evidence.total(arm)


EVENTS = [
    ({"first_token_s": 0.5}, Signal.SLOW_FIRST),
    ({"inter_token_s": 0.06}, Signal.SLOW_INTER),
    ({"tokens": 20}, Signal.ODD_LENGTHS),
    ({"tokens": 190}, Signal.ODD_LENGTHS),
    ({"failure": Reason.STALLED}, Signal.FAILURES),
    ({"failure": Reason.TARGET_REFUSED}, Signal.FAILURES),
    ({"failure": Reason.CONNECTION_LOST}, Signal.LOSSES),
    ({}, None),
]


class TestCollector:
    @pytest.mark.parametrize(("parts", "signal"), EVENTS)
    def test_attempt_counts_its_event(self, parts, signal):
        setup = CollectorSetup()
        setup.observe("v2", 1, **parts)
        total = setup.total()
        assert total.attempts == 1
        for each in Signal:
            assert total.events(each) == (each is signal)

    def test_failing_request_counts_once(self):
        setup = CollectorSetup()
        for target in range(5):
            setup.clock.advance(10)
            setup.observe(
                "v2",
                1,
                target=f"t-{target}",
                failure=Reason.STALLED,
            )
        assert setup.total().failures == 1

    def test_crashing_target_counts_once_for_both_versions(self):
        setup = CollectorSetup()
        for number in range(100):
            version = "v2" if number % 5 == 0 else "v1"
            setup.observe(
                version, number, target="t-0", failure=Reason.CONNECTION_LOST
            )
        assert setup.total(NEW).losses + setup.total(OLD).losses == 1

    def test_other_versions_and_ended_trials_are_ignored(self):
        setup = CollectorSetup()
        setup.observe("v0", 1, failure=Reason.STALLED)
        assert setup.total().attempts == 0
        setup.collector.apply_document(configuration.Document())
        setup.observe("v2", 1, failure=Reason.STALLED)
        assert not setup.collector.trials

    def test_attempt_counts_at_the_share_when_it_started(self):
        setup = CollectorSetup()
        setup.clock.advance(10)
        setup.collector.apply_document(
            msgspec.structs.replace(
                setup.document,
                models={"planner": configuration.Model({"v2": 1.0})},
            )
        )
        setup.clock.advance(10)
        for number, duration_s in enumerate((5.0, 15.0, 99.0)):
            setup.observe("v2", number, duration_s=duration_s)
        evidence = setup.collector.trials["planner"].evidence
        assert {key.share for key in evidence.tallies} == {1000, 50, 0}

    def test_segments_divide_the_time_to_the_deadline(self):
        for now, number in ((0, 0), (99, 0), (100, 1), (1599, 15), (9999, 15)):
            assert releases.segment_of(trial(), 16, 1e9 + now) == number
