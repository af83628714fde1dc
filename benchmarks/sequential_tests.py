"""Compare sequential tests on events that each belong to one of two versions.

The probability that an event belongs to the candidate is its share. All tests
get the same streams: a candidate that is no worse, one that is worse from the
start, and one that becomes worse late.
"""

from abc import ABC
from abc import abstractmethod
import json
import math
import random
import statistics

from sassafrasflow import sequential

ALPHA = 0.002
SEGMENTS = 16
EVENTS = 400
LATE_ONSET_EVENTS = 200
STREAMS = 400
SHARES = (50, 500)
ODDS_RATIOS = (3.0, 8.0, 30.0)


class SequentialTest(ABC):
    """Process one event at a time."""

    def __init__(self, share: int) -> None:
        self._chance = share / 1000
        self._share = share

    @abstractmethod
    def alarms(self, segment: int, is_candidate: bool) -> bool:
        """Record one event and return whether the candidate is harmful."""


class Mixture(SequentialTest):
    """Mix likelihood ratios over odds ratios and times of onset."""

    def __init__(self, share: int) -> None:
        super().__init__(share)
        self._counts: dict[int, list[int]] = {}

    def alarms(self, segment: int, is_candidate: bool) -> bool:
        pair = self._counts.setdefault(segment, [0, 0])
        pair[0 if is_candidate else 1] += 1
        if not is_candidate:
            return False
        segments = {
            number: [sequential.Counts(self._share, *counts)]
            for number, counts in self._counts.items()
        }
        evidence = sequential.log_evidence(segments, SEGMENTS)
        return evidence > math.log(1 / ALPHA)


class Betting(SequentialTest):
    """Bet on the next event with a fraction estimated from past events."""

    def __init__(self, share: int) -> None:
        super().__init__(share)
        self._log_capital = 0.0
        self._sum = 0.0
        self._squares = 0.25
        self._count = 1

    def alarms(self, segment: int, is_candidate: bool) -> bool:
        gain = float(is_candidate) - self._chance * 1.1
        fraction = max(0.0, self._sum / self._squares)
        max_fraction = 0.9 / (self._chance * 1.1)
        self._log_capital += math.log1p(min(fraction, max_fraction) * gain)
        self._sum += gain
        self._squares += gain * gain
        self._count += 1
        return self._log_capital > math.log(1 / ALPHA)


class Spending(SequentialTest):
    """Test a beta posterior at planned looks that split the error rate."""

    def __init__(self, share: int) -> None:
        super().__init__(share)
        self._candidate = 0
        self._event_count = 0
        self._looks = {
            round(EVENTS * (n + 1) / SEGMENTS) for n in range(SEGMENTS)
        }

    def alarms(self, segment: int, is_candidate: bool) -> bool:
        self._candidate += is_candidate
        self._event_count += 1
        if self._event_count not in self._looks:
            return False
        tail = _upper_tail(
            self._event_count, self._candidate, self._chance * 1.1
        )
        return tail < ALPHA / SEGMENTS


TESTS: dict[str, type[SequentialTest]] = {
    "mixture": Mixture,
    "betting": Betting,
    "beta_spending": Spending,
}


def _upper_tail(trials: int, hits: int, chance: float) -> float:
    """Return the binomial tail, which equals a tail of a beta posterior."""
    return sum(
        math.exp(
            math.lgamma(trials + 1)
            - math.lgamma(k + 1)
            - math.lgamma(trials - k + 1)
            + k * math.log(chance)
            + (trials - k) * math.log1p(-chance)
        )
        for k in range(hits, trials + 1)
    )


def events_until_alarm(
    name: str, share: int, odds_ratio: float, late: bool, seed: int
) -> int | None:
    """Return the events from the fault's onset to the alarm."""
    rng = random.Random(f"{share}/{odds_ratio}/{late}/{seed}")
    test = TESTS[name](share)
    odds = share / (1000 - share)
    onset = LATE_ONSET_EVENTS if late else 0
    for number in range(EVENTS):
        ratio = odds_ratio if number >= onset else 1.0
        chance = odds * ratio / (1 + odds * ratio)
        segment = number * SEGMENTS // EVENTS
        if test.alarms(segment, rng.random() < chance):
            return number - onset + 1
    return None


def measure(
    name: str, share: int, odds_ratio: float, late: bool
) -> dict[str, object]:
    """Return how often and after how many events a test alarms."""
    counts = [
        events_until_alarm(name, share, odds_ratio, late, seed)
        for seed in range(STREAMS)
    ]
    delays = [count for count in counts if count is not None and count > 0]
    early = [count for count in counts if count is not None and count <= 0]
    return {
        "benchmark": "sequential_tests",
        "test": name,
        "share": share / 1000,
        "odds_ratio": odds_ratio,
        "onset_after_events": LATE_ONSET_EVENTS if late else 0,
        "streams": STREAMS,
        "events": EVENTS,
        "alpha": ALPHA,
        "alarms": round(len(delays) / STREAMS, 4),
        "alarms_before_onset": round(len(early) / STREAMS, 4),
        "events_to_alarm_p50": statistics.median(delays) if delays else None,
    }


def main() -> None:
    """Print one JSON object per line."""
    for share in SHARES:
        for name in TESTS:
            print(json.dumps(measure(name, share, 1.0, late=False)))
            for odds_ratio in ODDS_RATIOS:
                for late in (False, True):
                    line = measure(name, share, odds_ratio, late)
                    print(json.dumps(line), flush=True)


if __name__ == "__main__":
    main()
