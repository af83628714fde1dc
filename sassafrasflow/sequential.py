"""Sequential test that remains valid however often it is evaluated.

Requests are assigned to a version at random. If the candidate is no worse
than the baseline, an event (a failure or a slow answer) belongs to the
candidate with a known probability, its share of the requests. This holds
whatever else goes wrong: overload, a slow link and a noisy organisation
affect both versions alike. So each event is a Bernoulli trial. The test mixes
likelihood ratios over several odds ratios and over several times at which a
fault may have begun. By Ville's inequality, for a candidate that is no worse
the mixture ever exceeds ``1 / alpha`` with a probability of at most
``alpha``.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import functools
import math

import msgspec

__all__ = [
    "Counts",
    "log_evidence",
    "log_mean",
    "log_rate_ratio",
    "log_sum",
]

# Odds ratios of the alternative hypotheses.
ODDS_RATIOS = (2.5, 8.0, 64.0)
# Up to this odds ratio there is no fault: the null hypothesis includes it.
TOLERATED_ODDS_RATIO = 1.1
# Weight in the mixture of a fault that begins with the first segment.
FIRST_START_WEIGHT = 0.5


class Counts(msgspec.Struct, frozen=True):
    """Hold the events of both versions while the shares were constant."""

    # Share of the candidate in the requests, in thousandths.
    share: int
    candidate: int
    baseline: int


def log_evidence(
    segments: Mapping[int, Sequence[Counts]], planned: int
) -> float:
    """Return the log of the evidence against the candidate.

    ``planned`` is the number of segments until the deadline. A fault may
    begin with any segment.
    """
    if not segments:
        return -math.inf
    numbers = sorted(segments, reverse=True)
    later_weight = (1 - FIRST_START_WEIGHT) / max(1, planned)
    terms = []
    for ratio in ODDS_RATIOS:
        total = 0.0
        for number in numbers:
            for counts in segments[number]:
                total += _log_ratio(counts, ratio)
            terms.append(total + math.log(later_weight))
        terms.append(total + math.log(FIRST_START_WEIGHT))
    return log_sum(terms) - math.log(len(ODDS_RATIOS))


def log_rate_ratio(
    trials: int, events: int, base: float, harm: float
) -> float:
    """Return the log likelihood ratio of two rates of events.

    Positive values are evidence for the rate ``harm``, negative ones for the
    rate ``base``.
    """
    non_events = trials - events
    return events * math.log(harm / base) + non_events * math.log(
        (1 - harm) / (1 - base)
    )


def log_sum(terms: Sequence[float]) -> float:
    """Return the log of the sum of exponentials."""
    top = max(terms, default=-math.inf)
    if math.isinf(top):
        return top
    return top + math.log(sum(math.exp(term - top) for term in terms))


def log_mean(terms: Sequence[tuple[float, float]]) -> float:
    """Return the log of a weighted mean of exponentials."""
    return log_sum(
        [term + math.log(weight) for weight, term in terms if weight > 0]
    )


def _log_ratio(counts: Counts, ratio: float) -> float:
    candidate, baseline = _log_likelihood_ratios(counts.share, ratio)
    return counts.candidate * candidate + counts.baseline * baseline


@functools.lru_cache(maxsize=4096)
def _log_likelihood_ratios(share: int, ratio: float) -> tuple[float, float]:
    odds = share / (1000 - share)
    null = odds * TOLERATED_ODDS_RATIO
    alternative = odds * ratio
    candidate = math.log(alternative / (1 + alternative))
    baseline = -math.log1p(alternative)
    return (
        candidate - math.log(null / (1 + null)),
        baseline + math.log1p(null),
    )
