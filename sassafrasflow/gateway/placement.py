"""Choice of the target for a request and of the holder of its copy."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math
import random
from typing import NamedTuple

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import room as rooms
from sassafrasflow.admission import waiting
from sassafrasflow.gateway import targets as directories
from sassafrasflow.pace import estimates
from sassafrasflow.pace import tracker as pace_trackers

__all__ = [
    "Choice",
    "Choices",
    "Preference",
    "TargetRank",
    "cheapest_holder",
    "choose_control_target",
    "choose_copy_holder",
    "choose_target",
    "copy_candidates",
    "doubtful_data_centres",
    "holders_with_room",
    "is_lightly_loaded",
    "load_of",
    "room_of",
    "sample_choices",
    "sample_holders",
]

# Load of a prefill: reading a prompt delays every event of the other streams
# at the engine, so it counts as much as several running streams.
PREFILL_LOAD_REQUESTS = 2.0
# Load of a copy, which takes memory but no decoding steps until it is used.
COPY_LOAD_REQUESTS = 0.3
# Penalty of a remote target: it adds a round trip to the request, which is
# worth it only if the target is clearly less loaded.
REMOTE_STREAM_PENALTY_REQUESTS = 0.35
# Penalty for short calls, where the round trip of 40 ms is as long as the work
# itself.
REMOTE_CALL_PENALTY_REQUESTS = 1.0
# A remote target of the same region is 1.0 to 1.8 ms away, against 40 ms: it
# costs this share of the penalty.
SAME_REGION_PENALTY_SHARE = 0.05
# A stream leaves its region only to save more than this wait: the round trips
# of the query and of the request between regions take 80 ms.
LEAVE_REGION_WAIT_S = 0.08
# A target with this share of its slots in use slows the steps of its streams,
# so that a stream may leave the region for an emptier one.
BUSY_SHARE = 0.5
# Number of local and remote targets that are compared. Each costs a query; and
# if instances queried all targets at the same moment, all of them would choose
# the one target that seems idle. Two choices are nearly as good as all
# (Mitzenmacher, "How useful is old information?", 2000).
LOCAL_CHOICES = 2
REMOTE_CHOICES = 2
# Further targets of the same region, whose owners answer within 2 ms. With a
# third of the engines reading a prompt, 1 in 700 streams finds all of these
# and the local ones busy.
NEARBY_CHOICES = 4
PLACEMENT_SAMPLE = waiting.SampleSize(
    LOCAL_CHOICES, REMOTE_CHOICES, NEARBY_CHOICES
)
# A target with less load than this is reading no other prompt, so a remote
# target could not bring the first event sooner.
LIGHT_LOAD_REQUESTS = 2.0
# A load of all slots weighs as much as this wait for the first event. A remote
# target costs a round trip of 40 ms, which weighs as much as 0.35 requests of
# an engine with 12 slots.
FULL_LOAD_WAIT_S = 1.4
# A failing data centre loses nearly all engines within 0.1 s, and has them
# back 1.2 s later.
CORRELATED_LOSS_WINDOW_S = 1.2
# This many losses within the window are taken for a failure of the whole data
# centre instead of single targets.
MIN_CORRELATED_LOSSES = 2


def doubtful_data_centres(
    candidates: Iterable[directories.Target], now: float
) -> set[ids.DataCentre]:
    """Return the data centres that lost several targets just now.

    After a silent crash of a data centre, each dead target that is tried costs
    a connection timeout, and there are up to ten of them.
    """
    losses = collections.Counter(
        target.listed.data_centre
        for target in candidates
        if target.lost_at is not None
        and now - target.lost_at < CORRELATED_LOSS_WINDOW_S
    )
    return {
        data_centre
        for data_centre, lost in losses.items()
        if lost >= MIN_CORRELATED_LOSSES
    }


def load_of(target: directories.Target) -> float:
    """Return the estimated load of a target, in requests."""
    return (
        target.in_flight
        + PREFILL_LOAD_REQUESTS * target.prefills
        + COPY_LOAD_REQUESTS * target.copies
        + target.peer_load
    )


def room_of(
    target: directories.Target, memory_tokens: int, now: float
) -> rooms.Room:
    """Return the room of an engine, by all that is known of its work."""
    known_at = target.peers_known_at
    age_s = rooms.UNKNOWN_AGE_S
    if known_at is not None:
        age_s = max(0.0, now - known_at)
    return rooms.Room(
        memory_tokens,
        target.used_tokens + target.peer_used_tokens,
        target.prefill_tokens + target.peer_prefill_tokens,
        max(1, target.listed.slots),
        target.in_flight + target.peer_streams,
        age_s,
    )


class Choice(msgspec.Struct, frozen=True, eq=False):
    """Target that was chosen for a stream, and what is known of its room.

    A service whose engines have no stated memory has no room or demand, and
    any of its targets fits.
    """

    target: directories.Target
    demand: rooms.Demand | None = None
    room: rooms.Room | None = None
    # Whether the target has the memory and a slot for the stream.
    fits: bool = True
    # Expected time until the first event.
    wait_s: float = 0.0
    # Targets that had room, whose owners count the stream as pending.
    pending: frozenset[ids.TargetId] = frozenset()

    @property
    def age_s(self) -> float:
        """Return the age of the other instances' figures."""
        return 0.0 if self.room is None else self.room.age_s


class Choices(msgspec.Struct, frozen=True):
    """Random sample of the targets that a request may go to.

    Those of ``nearby`` are in other data centres of the same region.
    """

    local: tuple[directories.Target, ...]
    remote: tuple[directories.Target, ...]
    nearby: tuple[directories.Target, ...] = ()


class TargetRank(NamedTuple):
    """Rank of a target for one request; lower ones are preferred."""

    health: int
    lacks_room: bool
    is_full: bool


class Preference(msgspec.Struct, frozen=True):
    """Order of preference of the targets for one request.

    Targets in ``avoid`` failed this request and are a last resort. The
    ``avoid_data_centres`` have just lost a run of the request, so that their
    targets are ranked as doubtful. ``pace_of`` returns how fast a target is,
    relative to the others of its service.
    """

    data_centre: ids.DataCentre
    avoid: frozenset[ids.TargetId] = frozenset()
    avoid_data_centres: frozenset[ids.DataCentre] = frozenset()
    short_call: bool = False
    # Tokens of the stream, and the memory of an engine. Without them, room is
    # not considered.
    demand: rooms.Demand | None = None
    memory_tokens: int = 0
    pace_of: Callable[[ids.TargetId], estimates.Pace] = (
        pace_trackers.pace_unknown
    )
    # Region of each data centre. Without them, all remote targets are taken to
    # be in other regions.
    regions: Mapping[ids.DataCentre, ids.Region] = msgspec.field(
        default_factory=dict
    )

    def best_of(
        self, candidates: Sequence[directories.Target], now: float
    ) -> list[directories.Target]:
        """Return the candidates of the best rank.

        Avoided, doubtful and full targets, those beyond their good concurrency
        and those where the stream does not fit, are returned only if there
        are no better ones.
        """
        doubtful = self.doubtful_data_centres(candidates, now)
        ranks = {
            target.id: self.rank_of(target, now, doubtful)
            for target in candidates
        }
        best = min(ranks.values(), default=None)
        return [each for each in candidates if ranks[each.id] == best]

    def doubtful_data_centres(
        self, candidates: Iterable[directories.Target], now: float
    ) -> set[ids.DataCentre]:
        """Return the data centres whose targets are ranked as doubtful."""
        doubtful = doubtful_data_centres(candidates, now)
        doubtful.update(self.avoid_data_centres)
        return doubtful

    def rank_of(
        self,
        target: directories.Target,
        now: float,
        doubtful: Collection[ids.DataCentre],
    ) -> TargetRank:
        """Return the rank of a target; the best targets are compared."""
        health = max(
            target.health(now),
            directories.Health.DOUBTFUL
            if target.listed.data_centre in doubtful
            else directories.Health.GOOD,
        )
        load = load_of(target)
        # No limit is below one request, and most candidates are idle as far
        # as this instance knows, so few estimates are computed.
        is_full = load >= max(1, target.listed.slots) or (
            load >= 1 and load >= self.pace_of(target.id).limit
        )
        is_avoided = target.id in self.avoid
        return TargetRank(
            health + 2 * is_avoided, not self.fits(target, now), is_full
        )

    def cost_of(self, target: directories.Target) -> float:
        """Return the relative load of a target, with a distance penalty.

        The load and the request itself take the longer the slower the target
        is, so that idle targets of different paces are compared as well. With
        a pace of 1.0 the cost is that of the load alone.
        """
        load = load_of(target)
        load += (load + 1) * (self.pace_of(target.id).factor - 1)
        return self._add_distance(target, load)

    def distant_load_of(self, target: directories.Target) -> float:
        """Return the cost of a target as if its pace was that of the others.

        Targets with equal values are equally loaded.
        """
        return self._add_distance(target, load_of(target))

    def _add_distance(self, target: directories.Target, load: float) -> float:
        if target.listed.data_centre != self.data_centre:
            penalty = REMOTE_STREAM_PENALTY_REQUESTS
            if self.short_call:
                penalty = REMOTE_CALL_PENALTY_REQUESTS
            if self.is_in_region(target):
                penalty *= SAME_REGION_PENALTY_SHARE
            load += penalty
        return load / max(1, target.listed.slots)

    def is_in_region(self, target: directories.Target) -> bool:
        """Return whether a target is known to be in the same region."""
        own = self.regions.get(self.data_centre)
        return own is not None and own == self.regions.get(
            target.listed.data_centre
        )

    def is_worth_staying_for(
        self, target: directories.Target, now: float
    ) -> bool:
        """Return whether no target of another region is much better.

        The wait there would have to be shorter by more than the way takes.
        Without figures of other instances, the wait here is not known.
        """
        if self.demand is None or not self.is_in_region(target):
            return False
        room = room_of(target, self.memory_tokens, now)
        own_s = rooms.wait_s(
            msgspec.structs.replace(room, prefill_tokens=0), self.demand
        )
        return (
            target.health(now) is directories.Health.GOOD
            and math.isfinite(room.age_s)
            and rooms.fits(room, self.demand)
            and room.used_slots < BUSY_SHARE * room.slots
            and self.wait_s(target, now) - own_s <= LEAVE_REGION_WAIT_S
        )

    def fits(self, target: directories.Target, now: float) -> bool:
        """Return whether the stream fits at a target."""
        return self.demand is None or rooms.fits(
            room_of(target, self.memory_tokens, now), self.demand
        )

    def wait_s(self, target: directories.Target, now: float) -> float:
        """Return the expected time until the first event at a target."""
        if self.demand is None:
            return 0.0
        room = room_of(target, self.memory_tokens, now)
        return rooms.wait_s(room, self.demand, self.pace_of(target.id).factor)

    def order_of(self, target: directories.Target, now: float) -> float:
        """Return the relative load and wait; lower ones are preferred."""
        wait = self.wait_s(target, now) / FULL_LOAD_WAIT_S
        return self.cost_of(target) + wait

    def choice_of(self, target: directories.Target, now: float) -> Choice:
        """Return a chosen target with what is known of its room."""
        if self.demand is None:
            return Choice(target)
        return Choice(
            target,
            self.demand,
            room_of(target, self.memory_tokens, now),
            self.fits(target, now),
            self.wait_s(target, now),
        )


def sample_choices(
    candidates: Sequence[directories.Target],
    preference: Preference,
    now: float,
    rng: random.Random,
    size: waiting.SampleSize = PLACEMENT_SAMPLE,
) -> Choices:
    """Sample some of the best candidates, local and remote ones.

    If none of these is local, as many remote ones are sampled instead.
    """
    local: list[directories.Target] = []
    remote: list[directories.Target] = []
    nearby: list[directories.Target] = []
    for target in preference.best_of(candidates, now):
        is_local = target.listed.data_centre == preference.data_centre
        is_nearby = size.nearby > 0 and preference.is_in_region(target)
        (local if is_local else nearby if is_nearby else remote).append(target)
    is_near = local or nearby
    remotes = size.remote if is_near else max(size.local, size.remote)
    return Choices(
        tuple(rng.sample(local, min(size.local, len(local)))),
        tuple(rng.sample(remote, min(remotes, len(remote)))),
        tuple(rng.sample(nearby, min(size.nearby, len(nearby)))),
    )


def is_lightly_loaded(target: directories.Target, now: float) -> bool:
    """Return whether no remote target can serve a stream much better."""
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
    """Return the cheapest of the best candidates.

    The choice has to suit three loads: steady traffic of many instances on
    few engines, the seconds after a data centre lost its engines, when all
    work is on the others, and those after many instances crashed, whose
    callers all come back at once.
    """
    best = preference.best_of(candidates, now)
    cheapest = min(
        best,
        key=lambda target: (preference.order_of(target, now), rng.random()),
        default=None,
    )
    if cheapest is None or not preference.short_call:
        return cheapest
    factors = {each.id: preference.pace_of(each.id).factor for each in best}
    if all(factor == 1.0 for factor in factors.values()):
        return cheapest
    # Instances don't know the calls of others, so all of them would choose
    # the fastest target. A target that is twice as fast gets twice the calls.
    load = preference.distant_load_of(cheapest)
    equal = [each for each in best if preference.distant_load_of(each) <= load]
    return min(equal, key=lambda each: rng.expovariate(1.0) * factors[each.id])


def copy_candidates(
    candidates: Sequence[directories.Target],
    primary: directories.Target,
    now: float,
    avoid: Collection[ids.TargetId] = (),
) -> list[directories.Target]:
    """Return the targets for a copy, those in other data centres if any.

    A failing data centre loses nearly all engines at once, so a copy in the
    data centre of the primary would be lost with it.
    """
    doubtful = doubtful_data_centres(candidates, now)
    healthy = [
        target
        for target in candidates
        if target.id != primary.id
        and target.id not in avoid
        and target.health(now) is directories.Health.GOOD
        and target.listed.data_centre not in doubtful
    ]
    in_other_data_centres = [
        target
        for target in healthy
        if target.listed.data_centre != primary.listed.data_centre
    ]
    return in_other_data_centres or healthy


def choose_copy_holder(
    candidates: Sequence[directories.Target],
    *,
    primary: directories.Target,
    now: float,
    rng: random.Random,
    avoid: Collection[ids.TargetId] = (),
) -> directories.Target | None:
    """Return a target for the copy of a run, in another data centre if any."""
    eligible = copy_candidates(candidates, primary, now, avoid)
    return cheapest_holder(sample_holders(eligible, rng), rng)


def sample_holders(
    eligible: Sequence[directories.Target], rng: random.Random
) -> list[directories.Target]:
    """Sample some targets for a copy."""
    choices = LOCAL_CHOICES + REMOTE_CHOICES
    return rng.sample(eligible, min(choices, len(eligible)))


def holders_with_room(
    eligible: Iterable[directories.Target],
    memory_tokens: int,
    copy: rooms.Demand,
    ordinary: rooms.Demand,
    now: float,
) -> list[directories.Target]:
    """Return the targets where a copy leaves room for another stream."""
    return [
        target
        for target in eligible
        if rooms.fits_copy(room_of(target, memory_tokens, now), copy, ordinary)
    ]


def cheapest_holder(
    holders: Iterable[directories.Target], rng: random.Random
) -> directories.Target | None:
    """Return the least loaded target for a copy."""
    return min(
        holders,
        key=lambda target: (
            load_of(target) / max(1, target.listed.slots),
            rng.random(),
        ),
        default=None,
    )


def choose_control_target(
    candidates: Iterable[directories.Target],
    suspect: directories.Target,
    now: float,
    rng: random.Random,
) -> directories.Target | None:
    """Return a healthy target in another data centre as a control.

    The control target should answer if the suspect should.
    """
    healthy = [
        target
        for target in candidates
        if target.listed.data_centre != suspect.listed.data_centre
        and target.health(now) is directories.Health.GOOD
    ]
    return rng.choice(healthy) if healthy else None
