"""Choose the target of a request, and the one that keeps its copy."""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import random

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import targets as directories

__all__ = [
    "Choices",
    "Preference",
    "choose_control_target",
    "choose_copy_holder",
    "choose_target",
    "doubtful_data_centres",
    "sample_choices",
    "is_lightly_loaded",
    "load_of",
]

# A prompt that is read delays every event of its neighbours, so it weighs
# as much as several running streams.
PREFILL_LOAD_REQUESTS = 2.0
# A copy takes memory but no steps until it is used.
COPY_LOAD_REQUESTS = 0.3
# A target elsewhere adds a round trip to a request; worth it only for a
# target that is clearly less loaded.
REMOTE_STREAM_PENALTY_REQUESTS = 0.35
# For short calls the round trip of 40 ms is as long as the work itself.
REMOTE_CALL_PENALTY_REQUESTS = 1.0
# Targets that are compared, of this data centre and of others. Each costs
# a question; and as instances ask at the same moment, all would choose the
# one target that seems idle if they asked about every target. Two choices
# are nearly as good as all (Mitzenmacher, "How useful is old
# information?", 2000).
LOCAL_CHOICES = 2
REMOTE_CHOICES = 2
# A target with less than this reads no prompt for others; one elsewhere
# could bring the first event no sooner.
LIGHT_LOAD_REQUESTS = 2.0
# A data centre loses nearly all engines within 0.1 s, and has them back
# 1.2 s later.
CORRELATED_LOSS_WINDOW_S = 1.2
# Losses of that many targets are no accident of one of them.
MIN_CORRELATED_LOSSES = 2


def doubtful_data_centres(
    candidates: Iterable[directories.Target], now: float
) -> set[ids.DataCentre]:
    """Return the data centres that lost several targets just now.

    Load: a dark crash of a data centre. Each dead target that is tried
    costs a connection timeout, and there are up to ten of them.
    """
    losses = collections.Counter(
        target.listed.data_centre
        for target in candidates
        if target.lost_at is not None
        and now - target.lost_at < CORRELATED_LOSS_WINDOW_S
    )
    return {
        where
        for where, lost in losses.items()
        if lost >= MIN_CORRELATED_LOSSES
    }


def load_of(target: directories.Target) -> float:
    """Estimate the work that a target has, as a number of requests."""
    return (
        target.in_flight
        + PREFILL_LOAD_REQUESTS * target.prefills
        + COPY_LOAD_REQUESTS * target.copies
        + target.peer_load
    )


class Choices(msgspec.Struct, frozen=True):
    """Hold the targets that a request may go to, drawn at random."""

    local: tuple[directories.Target, ...]
    remote: tuple[directories.Target, ...]


class Preference(msgspec.Struct, frozen=True):
    """Order targets for one request.

    Targets in ``avoid`` failed this request and are a last resort;
    ``avoid_data_centres`` have just lost a run of it.
    """

    data_centre: ids.DataCentre
    avoid: frozenset[ids.TargetId] = frozenset()
    avoid_data_centres: frozenset[ids.DataCentre] = frozenset()
    short_call: bool = False

    def best_of(
        self, candidates: Sequence[directories.Target], now: float
    ) -> list[directories.Target]:
        """Return the candidates that nothing speaks against, or fewest."""
        doubtful = doubtful_data_centres(candidates, now)
        doubtful.update(self.avoid_data_centres)

        def rank(target: directories.Target) -> tuple[int, bool]:
            doubt = max(
                target.health(now),
                directories.Health.DOUBTFUL
                if target.listed.data_centre in doubtful
                else directories.Health.GOOD,
            )
            full = load_of(target) >= max(1, target.listed.slots)
            return doubt + 2 * (target.id in self.avoid), full

        ranks = {target.id: rank(target) for target in candidates}
        best = min(ranks.values(), default=None)
        return [each for each in candidates if ranks[each.id] == best]

    def cost_of(self, target: directories.Target) -> float:
        """Return how dear a target's load and distance are."""
        load = load_of(target)
        if target.listed.data_centre != self.data_centre:
            penalty = REMOTE_STREAM_PENALTY_REQUESTS
            if self.short_call:
                penalty = REMOTE_CALL_PENALTY_REQUESTS
            load += penalty
        return load / max(1, target.listed.slots)


def sample_choices(
    candidates: Sequence[directories.Target],
    preference: Preference,
    now: float,
    rng: random.Random,
) -> Choices:
    """Draw some of the best candidates, local and elsewhere."""
    local: list[directories.Target] = []
    remote: list[directories.Target] = []
    for target in preference.best_of(candidates, now):
        here = target.listed.data_centre == preference.data_centre
        (local if here else remote).append(target)
    return Choices(
        tuple(rng.sample(local, min(LOCAL_CHOICES, len(local)))),
        tuple(rng.sample(remote, min(REMOTE_CHOICES, len(remote)))),
    )


def is_lightly_loaded(target: directories.Target, now: float) -> bool:
    """Tell whether no target elsewhere can serve a stream much better."""
    return (
        target.health(now) is directories.Health.GOOD
        and load_of(target) < LIGHT_LOAD_REQUESTS
        and load_of(target) < target.listed.slots / 2
    )


def choose_target(
    candidates: Sequence[directories.Target],
    preference: Preference,
    now: float,
    rng: random.Random,
) -> directories.Target | None:
    """Return the best of some targets, the cheapest of equals.

    Load: steady traffic of many instances on few engines; the seconds
    after a data centre's engines died, when all work is on the others; and
    those after many instances died, whose callers all come back at once.
    """
    return min(
        preference.best_of(candidates, now),
        key=lambda target: (preference.cost_of(target), rng.random()),
        default=None,
    )


def choose_copy_holder(
    candidates: Sequence[directories.Target],
    *,
    primary: directories.Target,
    now: float,
    rng: random.Random,
    avoid: Collection[ids.TargetId] = (),
) -> directories.Target | None:
    """Return a target in another data centre for the copy of a run.

    Load: a data centre loses nearly all engines at once, so a copy beside
    its original dies with it.
    """
    doubtful = doubtful_data_centres(candidates, now)
    sound = [
        target
        for target in candidates
        if target.id != primary.id
        and target.id not in avoid
        and target.health(now) is directories.Health.GOOD
        and target.listed.data_centre not in doubtful
    ]
    elsewhere = [
        target
        for target in sound
        if target.listed.data_centre != primary.listed.data_centre
    ]
    found = elsewhere or sound
    choices = LOCAL_CHOICES + REMOTE_CHOICES
    return min(
        rng.sample(found, min(choices, len(found))),
        key=lambda target: (
            load_of(target) / max(1, target.listed.slots),
            rng.random(),
        ),
        default=None,
    )


def choose_control_target(
    known: Iterable[directories.Target],
    suspect: directories.Target,
    now: float,
    rng: random.Random,
) -> directories.Target | None:
    """Return a target elsewhere that should answer if the suspect should."""
    sound = [
        target
        for target in known
        if target.listed.data_centre != suspect.listed.data_centre
        and target.health(now) is directories.Health.GOOD
    ]
    return rng.choice(sound) if sound else None
