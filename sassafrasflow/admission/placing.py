"""Choose targets by their room, querying their owners for the figures."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
import math
import random

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import copying
from sassafrasflow.admission import room as rooms
from sassafrasflow.admission import waiting
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import loads
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.pace import estimates
from sassafrasflow.pace import tracker as pace_trackers

__all__ = ["StreamPlacer", "estimate_work"]

# Draws of candidate targets for one run. The second draw uses the loads that
# the first one fetched.
PLACEMENT_ROUNDS = 2
# Draws if none of the sampled targets has room. Twelve targets are compared
# then; if one in four has room, 3 streams in 100 find none.
ROOM_ROUNDS = 3
# Draws of holders for a copy, each of four targets.
COPY_ROUNDS = 2
# A former build reports a load of 3 for a stream that waits for its first
# event, which it seldom corrects, and of 0.3 for a copy.
STREAMS_PER_LOAD = 0.5


class _Queried:
    """Targets whose owners were queried for one stream."""

    def __init__(self) -> None:
        self.targets: dict[ids.TargetId, targets.Target] = {}
        # Targets that had room in the answers to the stream's own queries,
        # whose owners count it as pending.
        self.pending: set[ids.TargetId] = set()

    def record(
        self,
        queried: Sequence[targets.Target],
        preference: placement.Preference,
        now: float,
    ) -> None:
        """Record targets whose figures have just been fetched."""
        self.targets.update((each.id, each) for each in queried)
        self.pending.update(
            each.id for each in queried if preference.fits(each, now)
        )


class StreamPlacer:
    """Choose the targets of streams and the holders of their copies."""

    def __init__(
        self,
        data_centre: Callable[[], ids.DataCentre],
        exchange: Callable[[], exchanges.PeerExchange | None],
        clock: Callable[[], float],
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
        rng: random.Random,
        pace_of: Callable[[ids.TargetId], estimates.Pace] = (
            pace_trackers.pace_unknown
        ),
        regions: Callable[
            [], Mapping[ids.DataCentre, ids.Region]
        ] = lambda: {},
    ) -> None:
        self._data_centre = data_centre
        self._exchange = exchange
        self._clock = clock
        self._log = log
        self._metrics = metrics
        self._rng = rng
        self._pace_of = pace_of
        self.copy_searches = copying.CopySearches(clock)
        self._regions = regions
        self._averages: dict[ids.ServiceName, rooms.DemandAverage] = {}

    def demand_of(self, job: jobs.Job) -> rooms.Demand | None:
        """Return the demand of a stream; ``None`` without a stated memory."""
        profile = _profile_of(job.service)
        if profile is None:
            return None
        return rooms.demand_of(
            job.head.prompt_tokens,
            job.head.answer_tokens,
            job.head.length_hint,
            profile.memory_tokens,
            self._average(job.service.name, profile).ordinary,
        )

    def record_placement(
        self, job: jobs.Job, choice: placement.Choice
    ) -> None:
        """Count a stream that is sent to a chosen target."""
        profile = _profile_of(job.service)
        if profile is None or choice.demand is None or choice.room is None:
            return
        self._average(job.service.name, profile).record(choice.demand)
        has_figures = choice.age_s < rooms.UNKNOWN_AGE_S
        self._metrics.count(
            "streams_placed_total",
            room="yes" if choice.fits else "no",
            figures="peers" if has_figures else "own",
        )
        self._metrics.count(
            "stream_distances_total",
            distance=self._distance_of(choice.target),
        )
        if choice.fits:
            return
        self._log.write(
            "placed_without_room",
            request=job.head.attempt_id,
            target=choice.target.id,
            rank=job.rank,
            tokens=choice.demand.tokens,
            used_tokens=choice.room.used_tokens,
            used_slots=choice.room.used_slots,
            wait_ms=round(1000 * choice.wait_s),
            age_ms=round(1000 * choice.age_s) if has_figures else None,
        )

    def _distance_of(self, target: targets.Target) -> str:
        own, where = self._data_centre(), target.listed.data_centre
        if own == where:
            return "data_centre"
        regions = self._regions()
        is_same = own in regions and regions[own] == regions.get(where)
        return "region" if is_same else "other_region"

    def preference_of(
        self,
        job: jobs.Job,
        avoid: Collection[ids.TargetId] = (),
        avoid_data_centres: Collection[ids.DataCentre] = (),
    ) -> placement.Preference:
        """Return the order of preference of the targets for a stream."""
        profile = _profile_of(job.service)
        return placement.Preference(
            self._data_centre(),
            frozenset(avoid),
            frozenset(avoid_data_centres),
            pace_of=self._pace_of,
            demand=self.demand_of(job),
            memory_tokens=0 if profile is None else profile.memory_tokens,
            regions={} if profile is None else self._regions(),
        )

    async def choose(
        self,
        job: jobs.Job,
        candidates: Sequence[targets.Target],
        avoid: Collection[ids.TargetId],
        avoid_data_centres: Collection[ids.DataCentre],
        size: waiting.SampleSize | None = None,
    ) -> placement.Choice | None:
        """Choose the target of a stream's next run from a random sample.

        The loads of sampled targets in this data centre are fetched first.
        If the best target turns out to be unhealthy, or to have no room,
        another sample is drawn, unless the stream waits. Such a stream gives
        the size of its one sample.
        """
        profile = _profile_of(job.service)
        preference = self.preference_of(job, avoid, avoid_data_centres)
        if profile is not None:
            return await self._choose_with_room(
                job, candidates, preference, size
            )
        best = await self._choose_unbounded(job, candidates, preference)
        return None if best is None else placement.Choice(best)

    async def _choose_unbounded(
        self,
        job: jobs.Job,
        candidates: Sequence[targets.Target],
        preference: placement.Preference,
    ) -> targets.Target | None:
        best: targets.Target | None = None
        for _ in range(PLACEMENT_ROUNDS):
            drawn = placement.sample_choices(
                candidates, preference, self._clock(), self._rng
            )
            best = await self._choose_best(job, drawn, preference, _Queried())
            if best is None or (
                best.health(self._clock()) is targets.Health.GOOD
            ):
                break
        return best

    async def _choose_with_room(
        self,
        job: jobs.Job,
        candidates: Sequence[targets.Target],
        preference: placement.Preference,
        size: waiting.SampleSize | None,
    ) -> placement.Choice | None:
        self.apply_figures(job, candidates)
        queried = _Queried()
        for _ in range(1 if size else ROOM_ROUNDS):
            drawn = placement.sample_choices(
                candidates,
                preference,
                self._clock(),
                self._rng,
                size or placement.PLACEMENT_SAMPLE,
            )
            sampled = {
                each.id
                for each in [*drawn.local, *drawn.nearby, *drawn.remote]
            }
            if sampled <= queried.targets.keys():
                break
            good = await self._choose_best(job, drawn, preference, queried)
            if good is not None and self._is_good(good, preference):
                break
        # Targets where the stream fits come first, so an earlier sample
        # without room changes nothing.
        best = placement.choose_target(
            list(queried.targets.values()),
            preference,
            self._clock(),
            self._rng,
        )
        if best is None:
            return None
        pending = queried.pending
        if best.id not in pending and preference.fits(best, self._clock()):
            # Another stream of this instance has fetched newer figures, but
            # the owner does not count this one yet.
            await self._refresh(job, [best], _work_of(preference.demand))
        return msgspec.structs.replace(
            preference.choice_of(best, self._clock()),
            pending=frozenset(pending),
        )

    def _is_good(
        self, target: targets.Target, preference: placement.Preference
    ) -> bool:
        now = self._clock()
        return target.health(now) is targets.Health.GOOD and (
            preference.fits(target, now)
        )

    async def _choose_best(
        self,
        job: jobs.Job,
        drawn: placement.Choices,
        preference: placement.Preference,
        queried: "_Queried",
    ) -> targets.Target | None:
        """Return the best of a sample, and record what was queried."""
        work = _work_of(preference.demand)
        local = await self._refresh(job, drawn.local, work)
        now = self._clock()
        queried.record(local, preference, now)
        best = placement.choose_target(local, preference, now, self._rng)
        if (
            best is not None
            and placement.is_lightly_loaded(best, now)
            and preference.pace_of(best.id).factor <= 1.0
            and preference.fits(best, now)
        ):
            return best
        nearby = await self._refresh(job, drawn.nearby, work)
        now = self._clock()
        queried.record(nearby, preference, now)
        near = [*local, *nearby]
        best = placement.choose_target(near, preference, now, self._rng)
        if best is not None and preference.is_worth_staying_for(best, now):
            return best
        remote = await self._refresh(job, drawn.remote, work)
        now = self._clock()
        queried.record(remote, preference, now)
        return placement.choose_target(
            [*near, *remote], preference, now, self._rng
        )

    async def choose_copy_holder(
        self,
        job: jobs.Job,
        candidates: Sequence[targets.Target],
        primary: targets.Target,
        avoid: Collection[ids.TargetId],
        pending: Collection[ids.TargetId] = (),
    ) -> targets.Target | None:
        """Choose the holder of a stream's copy; ``None`` if none has room.

        The owners of the ``pending`` targets were just queried for the
        stream.
        """
        demand = self.demand_of(job)
        if demand is None:
            return placement.choose_copy_holder(
                candidates,
                primary=primary,
                now=self._clock(),
                rng=self._rng,
                avoid=avoid,
            )
        eligible = placement.copy_candidates(
            candidates, primary, self._clock(), avoid
        )
        self.apply_figures(job, eligible)
        copy = rooms.Demand(demand.tokens, 0)
        untried = self._holders_with_room(job, eligible, copy)
        known = [each for each in untried if each.id in pending]
        if known:
            # The placement of the stream has fetched these figures, and a
            # further query would delay it by a round trip between regions.
            return placement.cheapest_holder(known, self._rng)
        work = loads.TargetWork.of_tokens(copy.tokens, 0, 0)
        for _ in range(COPY_ROUNDS):
            drawn = placement.sample_holders(untried, self._rng)
            await self._refresh(job, drawn, work)
            holders = self._holders_with_room(job, drawn, copy)
            if holders:
                return placement.cheapest_holder(holders, self._rng)
            untried = [each for each in untried if each not in drawn]
        self._metrics.count("copies_without_room_total")
        return None

    def _holders_with_room(
        self,
        job: jobs.Job,
        holders: Sequence[targets.Target],
        copy: rooms.Demand,
    ) -> list[targets.Target]:
        profile = _profile_of(job.service)
        assert profile is not None
        now = self._clock()
        ordinary = self._average(job.service.name, profile).ordinary
        return [
            target
            for target in placement.holders_with_room(
                holders, profile.memory_tokens, copy, ordinary, now
            )
            if target.health(now) is targets.Health.GOOD
        ]

    async def _refresh(
        self,
        job: jobs.Job,
        drawn: Sequence[targets.Target],
        work: loads.TargetWork,
    ) -> Sequence[targets.Target]:
        """Fetch the figures of some targets from their owners."""
        exchange = self._exchange()
        if exchange is not None and drawn:
            profile = _profile_of(job.service)
            memory_tokens = 0 if profile is None else profile.memory_tokens
            memory_units = memory_tokens // loads.TOKENS_PER_UNIT
            await exchange.query_loads(drawn, work, memory_units)
            self.apply_figures(job, drawn)
        return drawn

    def apply_figures(
        self, job: jobs.Job, chosen: Sequence[targets.Target]
    ) -> None:
        """Set what is known of the work of other instances on targets."""
        exchange = self._exchange()
        profile = _profile_of(job.service)
        if exchange is None:
            return
        if profile is None:
            for target in chosen:
                target.peer_load = exchange.load_of(target.id)
            return
        now = self._clock()
        ordinary = self._average(job.service.name, profile).ordinary
        for target in chosen:
            figures = exchange.figures_of(target.listed)
            target.peer_load = figures.load
            work = figures.work
            if work is None:
                work = estimate_work(figures.load, ordinary)
            target.peer_used_tokens = work.used_tokens
            target.peer_prefill_tokens = work.prefill_tokens
            target.peer_streams = work.streams
            target.peers_known_at = (
                now - figures.age_s
                if figures.age_s < rooms.UNKNOWN_AGE_S
                else None
            )

    def _average(
        self, service: ids.ServiceName, profile: routes.EngineProfile
    ) -> rooms.DemandAverage:
        average = self._averages.get(service)
        if average is None:
            average = self._averages[service] = rooms.DemandAverage(
                profile.memory_tokens, profile.slots
            )
        return average


def estimate_work(load: float, ordinary: rooms.Demand) -> loads.TargetWork:
    """Return the work behind a load that a former build reported."""
    streams = STREAMS_PER_LOAD * load
    return loads.TargetWork.of_tokens(
        round(streams * ordinary.tokens), 0, math.ceil(streams)
    )


def _work_of(demand: rooms.Demand | None) -> loads.TargetWork:
    """Return the work of a stream in a query."""
    if demand is None:
        return loads.NO_WORK
    return loads.TargetWork.of_tokens(demand.tokens, demand.prefill_tokens, 1)


def _profile_of(service: routes.Service) -> routes.EngineProfile | None:
    """Return the profile of engines with a stated memory, if any."""
    profile = service.engine
    if profile is None or profile.memory_tokens <= 0:
        return None
    return profile
