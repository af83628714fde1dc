"""Verdicts: harm is found, misfortune of targets and requests is not."""

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
    """Return a trial of 1,600 s."""
    return configuration.Trial("note", "v2", "v1", 1e9, 1e9 + 1600)


def key(arm, target="t-0", segment=0, region="east", share=50):
    return releases.SampleKey(segment, share, arm, region, "/route", target)


def evidence_of(*parts):
    """Return evidence from (arm, target, signal, events, attempts)."""
    found = releases.Evidence()
    for arm, target, signal, events, attempts in parts:
        tally = found.tally(key(arm, target))
        tally.attempts += attempts
        tally.first_token_s.count += attempts
        tally.inter_token_s.count += attempts
        for _ in range(events):
            tally.add_event(signal)
    return found


def evaluator(**policy):
    return releases.Evaluator(releases.EvaluatorPolicy(**policy), 16)


NEW, OLD = Arm.CANDIDATE, Arm.BASELINE
FAILED, LOST = Signal.FAILURES, Signal.LOSSES

# evidence, finding
AGAINST = {
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
    # Eight instances saw three targets crash under both versions.
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
ENOUGH = [
    (20, 0, 400, 0, Finding.OPEN),
    (120, 0, 400, 0, Finding.GOOD),
    (120, 12, 400, 0, Finding.OPEN),
    (300, 30, 2000, 200, Finding.GOOD),
    (0, 0, 400, 0, Finding.OPEN),
]


class TestJudge:
    @pytest.mark.parametrize("case", AGAINST)
    def test_against(self, case):
        parts, finding = AGAINST[case]
        verdict = evaluator().evaluate_harm(evidence_of(*parts))
        assert verdict.finding is finding

    @pytest.mark.parametrize(("new", "bad", "old", "base", "finding"), ENOUGH)
    def test_enough(self, new, bad, old, base, finding):
        found = evidence_of(
            (NEW, "t-1", FAILED, bad, new),
            (OLD, "t-1", FAILED, base, old),
            # The target that weighs most is left out.
            (NEW, "t-0", FAILED, 50, 50),
        )
        assert evaluator().evaluate_safety(found).finding is finding

    @pytest.mark.parametrize(
        ("events", "signal"), [(1, None), (8, Signal.FAILURES)]
    )
    def test_rise_against_the_past_is_suspicious(self, events, signal):
        found = evidence_of(
            (NEW, "t-0", FAILED, 1, 200), (OLD, "t-0", FAILED, 1, 100)
        )
        tally = found.tally(key(NEW, segment=1))
        tally.attempts = 40
        tally.failures = events
        assert evaluator().find_suspicious_signal(found, 1) is signal

    def test_region_alone_is_enough(self):
        found = releases.Evidence()
        for number in range(14):
            here = key(NEW, f"t-{number % 2}", region="west")
            found.tally(here).add_event(FAILED)
        for number in range(30):
            here = key(OLD, f"t-{number % 3}", region="east")
            found.tally(here).add_event(FAILED)
        assert evaluator().evaluate_harm(found).finding is Finding.HARMFUL

    @pytest.mark.parametrize(
        ("evaluating_instances", "finding"),
        [(1, Finding.HARMFUL), (10**9, Finding.OPEN)],
    )
    def test_more_looking_instances_need_more_evidence(
        self, evaluating_instances, finding
    ):
        found = evidence_of(
            *[(NEW, f"t-{n}", FAILED, 4, 20) for n in range(3)]
        )
        looking = releases.Evaluator(
            releases.EvaluatorPolicy(),
            16,
            evaluating_instances=evaluating_instances,
        )
        assert looking.evaluate_harm(found).finding is finding


class TestSequentialTest:
    def test_false_alarms_stay_within_their_bound(self):
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

    def test_late_fault_is_found_after_a_long_good_time(self):
        quiet = {n: [sequential.Counts(50, 2, 38)] for n in range(10)}
        broken = {**quiet, 10: [sequential.Counts(50, 20, 4)]}
        assert sequential.log_evidence(quiet, 16) < 1
        assert sequential.log_evidence(broken, 16) > 12


class TestEvidence:
    def test_evidence_of_instances_adds_up_in_any_order(self):
        parts = [
            evidence_of((NEW, "t-0", LOST, count, 10)) for count in (2, 3)
        ]
        for ordered in (parts, parts[::-1]):
            merged = releases.Evidence()
            for part in ordered:
                merged.merge(part)
            assert merged.total(NEW).losses == 5
            assert merged.total(NEW).attempts == 20

    def test_halves_hold_what_the_whole_holds(self):
        whole = evidence_of(
            (NEW, "t-0", LOST, 2, 10), (OLD, "t-1", LOST, 0, 9)
        )
        merged = releases.Evidence()
        merged.merge(whole.only_events())
        merged.merge(whole.only_attempts())
        assert merged.tallies == whole.tallies

    def test_folding_keeps_the_sums_and_the_worst_target(self):
        whole = evidence_of(
            *[(NEW, f"t-{n}", FAILED, n, 10) for n in range(8)]
        )
        total = whole.total(NEW)
        assert whole.aggregate_smallest_targets()
        assert len(whole.tallies) == 5
        assert whole.total(NEW) == total
        assert whole.worst_targets(1) == ["t-7"]

    def test_interval_holds_the_mean(self):
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


class Collecting:
    """Hold a collector whose baseline is known, with a trial at 5%."""

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
    def test_counts_one_event(self, parts, signal):
        held = Collecting()
        held.observe("v2", 1, **parts)
        total = held.total()
        assert total.attempts == 1
        for each in Signal:
            assert total.events(each) == (each is signal)

    def test_request_counts_once_as_a_failure(self):
        held = Collecting()
        for target in range(5):
            held.clock.advance(10)
            held.observe(
                "v2",
                1,
                target=f"t-{target}",
                failure=Reason.STALLED,
            )
        assert held.total().failures == 1

    def test_dying_target_counts_once_for_both_versions(self):
        held = Collecting()
        for number in range(100):
            version = "v2" if number % 5 == 0 else "v1"
            held.observe(
                version, number, target="t-0", failure=Reason.CONNECTION_LOST
            )
        assert held.total(NEW).losses + held.total(OLD).losses == 1

    def test_other_versions_and_ended_trials_are_ignored(self):
        held = Collecting()
        held.observe("v0", 1, failure=Reason.STALLED)
        assert held.total().attempts == 0
        held.collector.apply_document(configuration.Document())
        held.observe("v2", 1, failure=Reason.STALLED)
        assert not held.collector.trials

    def test_share_counts_that_assigned_the_attempt(self):
        held = Collecting()
        held.clock.advance(10)
        held.collector.apply_document(
            msgspec.structs.replace(
                held.document,
                models={"planner": configuration.Model({"v2": 1.0})},
            )
        )
        held.clock.advance(10)
        for number, duration_s in enumerate((5.0, 15.0, 99.0)):
            held.observe("v2", number, duration_s=duration_s)
        found = held.collector.trials["planner"].evidence
        assert {key.share for key in found.tallies} == {1000, 50, 0}

    def test_segments_cover_the_time_to_the_deadline(self):
        for now, number in ((0, 0), (99, 0), (100, 1), (1599, 15), (9999, 15)):
            assert releases.segment_of(trial(), 16, 1e9 + now) == number
