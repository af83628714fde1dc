"""Where streams wait at an instance before their first run."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import math
import random
from typing import Generic
from typing import TypeVar

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import room as rooms
from sassafrasflow.admission import share_exchange
from sassafrasflow.admission import shares
from sassafrasflow.admission import waiting
from sassafrasflow.gateway import telemetry

__all__ = ["Entrant", "Offer", "Refused", "StreamGate"]

TargetT = TypeVar("TargetT")

# Memory of a waiting stream besides its body: its task, its connection and
# its headers.
ENTRANT_BYTES = 32 * 1024
# Share of the instance's memory for waiting streams. The bodies of all
# requests in flight may use 0.3.
MEMORY_SHARE = 0.15
# A sample older than this is outdated. One sample takes up to 0.12 s, and the
# first choice of a stream up to three of them; more time passes only while the
# process is suspended.
MAX_OFFER_AGE_S = 0.5
# A stream that passed its offer on to a more urgent one samples again soon.
PASSED_ON_INTERVAL_S = 0.05


class Offer(msgspec.Struct, Generic[TargetT], frozen=True, eq=False):
    """Best target of one sample, and what is known of its room."""

    target: TargetT
    room: rooms.Room | None = None
    wait_s: float = 0.0


class Refused(msgspec.Struct, frozen=True):
    """Refusal of a stream that was not sent."""

    cause: waiting.RefuseCause
    retry_after_s: float


class Entrant(msgspec.Struct, Generic[TargetT], frozen=True, eq=False):
    """Stream that asks to be let through."""

    req: waiting.StreamRequest
    # Samples some targets and returns the best one.
    sample: Callable[[waiting.SampleSize], Awaitable[Offer[TargetT] | None]]
    # Whether the stream could use a target that another one sampled.
    accepts: Callable[[TargetT], bool]
    body_bytes: int = 0
    request_id: str | None = None


class _Waiter(Generic[TargetT]):
    """State of one stream at the gate."""

    def __init__(
        self,
        entrant: Entrant[TargetT],
        now: float,
        offer: Offer[TargetT],
        sampled_at: float,
    ) -> None:
        self.entrant = entrant
        self.req = entrant.req
        self.size = ENTRANT_BYTES + entrant.body_bytes
        self.since = now
        self.samples = 1
        # Best target of the last sample, and when the sample began.
        self.offer: Offer[TargetT] | None = offer
        self.offered_at = sampled_at
        # Offer that another stream passed on, and when it was sampled.
        self.handed: tuple[Offer[TargetT], float] | None = None
        self.wake = asyncio.Event()
        self.number = 0
        self.is_held = False
        # Whether its organisation exceeded its share during the wait.
        self.was_over_share = False
        # Whether the next offer is used whatever its age.
        self.is_resampled = False
        # Whether the last sample before the send is or was a wide one.
        self.is_searching = False
        self.next_sample_at = now
        # When the stream is sent to the best target there is.
        self.until = now


class StreamGate(Generic[TargetT]):
    """Hold streams while waiting here is better than waiting at an engine.

    Each waiting stream samples targets at its own intervals. A target that is
    good enough goes to the first stream in order that can use it.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        rng: random.Random,
        log: telemetry.EventLog,
        metrics: telemetry.Metrics,
        memory_bytes: Callable[[], int],
        may_sample: Callable[[], bool] = lambda: True,
        share_source: share_exchange.ShareExchange | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._log = log
        self._metrics = metrics
        self._memory_bytes = memory_bytes
        # Whether the queries of a sample are not needed for other things.
        self._may_sample = may_sample
        self._shares = share_source
        self._held_bytes = 0
        self._queue: waiting.ServiceQueues[_Waiter[TargetT]]
        self._queue = waiting.ServiceQueues(self._is_over_share)
        self._is_stopping = False
        self._times_by_service: dict[ids.ServiceName, waiting.StreamTimes]
        self._times_by_service = {}

    def __len__(self) -> int:
        return len(self._queue)

    def stop(self) -> None:
        """Send or refuse the waiting streams now, as the instance stops."""
        self._is_stopping = True
        for waiter in self._queue.in_order():
            waiter.wake.set()

    def wake_first(self, service: ids.ServiceName | None = None) -> None:
        """Let the first waiting stream sample now, as another one ended.

        Without the service of that stream, wake the first one of each.
        """
        queues = (
            self._queue.queues()
            if service is None
            else [self._queue.of(service)]
        )
        for queue in queues:
            first = queue.first(lambda waiter: not waiter.wake.is_set())
            if first is not None:
                first.wake.set()

    def times(self, service: ids.ServiceName) -> waiting.StreamTimes:
        """Return how long the streams of a service take."""
        return self._times_by_service.setdefault(
            service, waiting.StreamTimes()
        )

    async def enter(
        self,
        entrant: Entrant[TargetT],
        offer: Offer[TargetT],
        sampled_at: float,
    ) -> Offer[TargetT] | Refused | None:
        """Wait until a stream may be sent, and return where to.

        ``offer`` is the best target of a first sample, which began at
        ``sampled_at``. Return ``None`` if the targets are gone after a wait.
        """
        waiter = _Waiter(entrant, self._clock(), offer, sampled_at)
        result: Offer[TargetT] | Refused | None = None
        outcome = "caller_gone"
        waiter.number = self._queue.of(waiter.req.service).add(
            waiter.req, waiter
        )
        try:
            while (result := self._settle(waiter)) is None:
                is_over = self._is_stopping or self._clock() >= waiter.until
                if waiter.offer is None and is_over:
                    break
                await self._wait(waiter)
            outcome = _outcome_of(result)
            return result
        finally:
            self._leave(waiter, result, outcome)

    def _settle(
        self, waiter: _Waiter[TargetT]
    ) -> Offer[TargetT] | Refused | None:
        """Return the result for a stream, or ``None`` if it has to wait."""
        now, offer = self._clock(), waiter.offer
        if offer is None:
            return None
        self._update_standing(waiter)
        is_stale = now - waiter.offered_at > MAX_OFFER_AGE_S
        can_resample = not waiter.is_resampled and self._can_hold(waiter)
        if is_stale and now < waiter.req.deadline and can_resample:
            waiter.is_resampled = True
            self._hold(waiter, now)
            return None
        waiter.is_resampled = False
        decision = waiting.decide(now, waiter.req, offer.room, offer.wait_s)
        if isinstance(decision, waiting.Refuse):
            return self._refuse(waiter, decision.cause, decision.retry_after_s)
        if self._is_stopping:
            return self._settle_at_stop(waiter, offer)
        if isinstance(decision, waiting.Wait):
            if self._can_hold(waiter):
                waiter.is_searching = False
                self._hold(waiter, decision.until)
                return None
            if _fits(waiter, offer):
                return offer
            return self._refuse(waiter, waiting.RefuseCause.MEMORY, 0.0)
        if not _is_good(decision):
            is_final = offer.room is None or waiter.is_searching
            if is_final or not self._can_hold(waiter):
                return offer
            # One wide sample more may find a shorter queue.
            waiter.is_searching = True
            self._hold(waiter, now)
            return None
        if waiting.is_last_moment(now, waiter.req, offer.wait_s):
            return offer
        first = self._first_for(waiter, offer)
        if first is None or first is waiter or not self._can_hold(waiter):
            return offer
        self._hand(first, waiter, offer)
        self._hold(waiter, now + PASSED_ON_INTERVAL_S)
        return None

    def _settle_at_stop(
        self, waiter: _Waiter[TargetT], offer: Offer[TargetT]
    ) -> Offer[TargetT] | Refused:
        """Send a stream, unless it waited and no target has room for it.

        The caller's next attempt reaches an instance where it can wait.
        """
        if not waiter.is_held or _fits(waiter, offer):
            return offer
        return self._refuse(waiter, waiting.RefuseCause.STOPPING, 0.0)

    def _can_hold(self, waiter: _Waiter[TargetT]) -> bool:
        """Return whether there is memory for another waiting stream."""
        limit = MEMORY_SHARE * self._memory_bytes()
        return waiter.is_held or self._held_bytes + waiter.size <= limit

    def _hold(self, waiter: _Waiter[TargetT], until: float) -> None:
        """Let a stream wait until some time at the latest."""
        if not waiter.is_held:
            self._held_bytes += waiter.size
            waiter.is_held = True
            waiter.req = msgspec.structs.replace(waiter.req, has_waited=True)
            self._count_waiting(waiter, waiter.req.demand.tokens)
        if (
            self._shares is not None
            and self._clock() - waiter.since >= share_exchange.MIN_LONG_WAIT_S
        ):
            self._shares.record_long_wait()
        waiter.until = until
        self._schedule_sample(waiter)

    def _refuse(
        self,
        waiter: _Waiter[TargetT],
        cause: waiting.RefuseCause,
        estimate_s: float,
    ) -> Refused:
        req, offer = waiter.req, waiter.offer
        if offer is not None and offer.room is not None:
            room_s = waiting.estimate_room_s(
                offer.room, req.demand, req.stream_s
            )
            estimate_s = max(estimate_s, room_s)
        remaining_s = req.deadline - self._clock()
        return Refused(
            cause,
            waiting.choose_retry_after_s(estimate_s, remaining_s, self._rng),
        )

    async def _wait(self, waiter: _Waiter[TargetT]) -> None:
        """Wait for an offer of another stream, or sample again."""
        while True:
            wake_at = min(waiter.until, waiter.next_sample_at)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(max(0.0, wake_at - self._clock())):
                    await waiter.wake.wait()
            was_woken = waiter.wake.is_set()
            waiter.wake.clear()
            handed, waiter.handed = waiter.handed, None
            if handed is not None and self._can_use(waiter, handed[0]):
                waiter.offer, waiter.offered_at = handed
                return
            is_latest = self._clock() >= waiter.until
            if is_latest:
                # There is no time for two samples before the send.
                waiter.is_searching = True
            if is_latest or was_woken or self._may_sample():
                break
            self._schedule_sample(waiter)
        await self._sample(waiter)

    async def _sample(self, waiter: _Waiter[TargetT]) -> None:
        size, earlier = waiting.sample_size(waiter.samples), None
        now = self._clock()
        if waiter.is_searching:
            size = waiting.WIDEST_SAMPLE
            if now - waiter.offered_at <= MAX_OFFER_AGE_S:
                earlier = waiter.offer
        waiter.samples += 1
        offer = await waiter.entrant.sample(size)
        waiter.offer = _better(waiter, offer, earlier)
        if waiter.offer is None or waiter.offer is offer:
            waiter.offered_at = now
        if waiter.offer is None:
            # Targets of a data centre that failed are back after 1.2 s.
            self._schedule_sample(waiter)

    def _schedule_sample(self, waiter: _Waiter[TargetT]) -> None:
        queue = self._queue.of(waiter.req.service)
        waiter.next_sample_at = self._clock() + waiting.sample_interval_s(
            waiter.samples,
            len(queue),
            self._rng,
            is_first=queue.first(lambda _: True) is waiter,
            services=self._queue.busy_count(),
            standing=waiter.req.standing,
        )

    def _count_waiting(self, waiter: _Waiter[TargetT], tokens: int) -> None:
        if self._shares is not None:
            req = waiter.req
            self._shares.add_waiting(req.service, req.organisation, tokens)

    def _update_standing(self, waiter: _Waiter[TargetT]) -> None:
        """Determine anew whether an organisation exceeds its share."""
        req = waiter.req
        standing = self._standing_of(req.service, req.organisation)
        if standing is not req.standing:
            waiter.req = msgspec.structs.replace(req, standing=standing)
        if standing is shares.Standing.OVER:
            waiter.was_over_share = True

    def _standing_of(
        self,
        service: ids.ServiceName,
        organisation: ids.OrganisationId | None,
    ) -> shares.Standing:
        if self._shares is None:
            return shares.Standing.EVEN
        return self._shares.standing_of(service, organisation)

    def _is_over_share(
        self,
        service: ids.ServiceName,
        organisation: ids.OrganisationId | None,
    ) -> bool:
        standing = self._standing_of(service, organisation)
        return standing is shares.Standing.OVER

    def _first_for(
        self, sampler: _Waiter[TargetT], offer: Offer[TargetT]
    ) -> _Waiter[TargetT] | None:
        """Return the first stream in order that can use an offer."""

        def can_use(other: _Waiter[TargetT]) -> bool:
            if other is sampler:
                return True
            converted = _convert(offer, sampler.req, other.req)
            return other.handed is None and self._can_use(other, converted)

        return self._queue.of(sampler.req.service).first(can_use)

    def _can_use(
        self, waiter: _Waiter[TargetT], offer: Offer[TargetT]
    ) -> bool:
        decision = waiting.decide(
            self._clock(), waiter.req, offer.room, offer.wait_s
        )
        return _is_good(decision) and waiter.entrant.accepts(offer.target)

    def _hand(
        self,
        receiver: _Waiter[TargetT],
        sampler: _Waiter[TargetT],
        offer: Offer[TargetT],
    ) -> None:
        converted = _convert(offer, sampler.req, receiver.req)
        receiver.handed = converted, sampler.offered_at
        receiver.wake.set()

    def _leave(
        self,
        waiter: _Waiter[TargetT],
        result: Offer[TargetT] | Refused | None,
        outcome: str,
    ) -> None:
        """Release what a stream holds, and record how its wait ended."""
        service = waiter.req.service
        self._queue.of(service).remove(
            waiter.number, had_turn=isinstance(result, Offer)
        )
        if waiter.handed is not None or waiter.is_held:
            # The next one is the first now, or a target that was passed on is
            # not used.
            self.wake_first(service)
        if waiter.is_held:
            self._held_bytes -= waiter.size
            self._count_waiting(waiter, -waiter.req.demand.tokens)
        if waiter.is_held or isinstance(result, Refused):
            self._record(waiter, result, outcome)

    def _record(
        self,
        waiter: _Waiter[TargetT],
        result: Offer[TargetT] | Refused | None,
        outcome: str,
    ) -> None:
        waited_s = self._clock() - waiter.since
        req, offer = waiter.req, waiter.offer
        room = None if offer is None else offer.room
        if waiter.is_held:
            self._metrics.count("streams_waited_total", outcome=outcome)
            self._metrics.observe(
                "stream_wait_seconds", waited_s, rank=str(req.rank)
            )
        if waiter.was_over_share:
            self._metrics.count("streams_over_share_total")
        if isinstance(result, Refused):
            self._metrics.count(
                "streams_refused_total", reason=result.cause.value
            )
        self._log.write(
            "stream_waited",
            routine=outcome == "sent",
            request=waiter.entrant.request_id,
            rank=req.rank,
            outcome=outcome,
            over_share=waiter.was_over_share,
            waited_ms=round(1000 * waited_s),
            samples=waiter.samples,
            expected_wait_ms=(
                None if offer is None else round(1000 * offer.wait_s)
            ),
            goal_in_ms=round(1000 * (req.goal_at - self._clock())),
            needed_tokens=req.demand.tokens,
            free_tokens=None if room is None else room.free_tokens,
            unread_tokens=None if room is None else room.prefill_tokens,
            free_slots=None if room is None else room.slots - room.used_slots,
            age_ms=(
                None
                if room is None or not math.isfinite(room.age_s)
                else round(1000 * room.age_s)
            ),
            retry_after_s=(
                round(result.retry_after_s, 2)
                if isinstance(result, Refused)
                else None
            ),
        )


def _outcome_of(result: Offer[TargetT] | Refused | None) -> str:
    if result is None:
        return "no_target"
    return result.cause.value if isinstance(result, Refused) else "sent"


def _is_good(decision: waiting.Decision) -> bool:
    """Return whether a stream is sent to a target for its own merits."""
    return isinstance(decision, waiting.Send) and decision.cause in (
        waiting.SendCause.FREE,
        waiting.SendCause.SOON,
    )


def _fits(waiter: _Waiter[TargetT], offer: Offer[TargetT]) -> bool:
    return offer.room is None or rooms.fits(offer.room, waiter.req.demand)


def _better(
    waiter: _Waiter[TargetT],
    offer: Offer[TargetT] | None,
    earlier: Offer[TargetT] | None,
) -> Offer[TargetT] | None:
    """Return the better of two samples for a stream that is sent now."""
    usable = [
        each
        for each in (offer, earlier)
        if each is not None
        and (each is offer or waiter.entrant.accepts(each.target))
    ]
    return min(
        usable,
        key=lambda each: (not _fits(waiter, each), each.wait_s),
        default=None,
    )


def _convert(
    offer: Offer[TargetT],
    sampler: waiting.StreamRequest,
    receiver: waiting.StreamRequest,
) -> Offer[TargetT]:
    """Return an offer with the expected wait of another stream."""
    room = offer.room
    if room is None:
        return offer
    unread = room.prefill_tokens + sampler.demand.prefill_tokens
    own_unread = room.prefill_tokens + receiver.demand.prefill_tokens
    wait_s = offer.wait_s * own_unread / max(1, unread)
    return msgspec.structs.replace(offer, wait_s=wait_s)
