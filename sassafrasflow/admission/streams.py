"""Admission of the gateway's streams, and the refusals that follow from it."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Collection

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import gate as gates
from sassafrasflow.admission import returns
from sassafrasflow.admission import room as rooms
from sassafrasflow.admission import waiting
from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import targets

__all__ = ["REASON_BY_CAUSE", "StreamAdmission", "stream_request"]

REASON_BY_CAUSE = {
    waiting.RefuseCause.TOO_LATE: refusals.RefusalReason.TOO_LATE,
    waiting.RefuseCause.MEMORY: refusals.RefusalReason.MEMORY,
    waiting.RefuseCause.STOPPING: refusals.RefusalReason.STOPPING,
}


class StreamAdmission:
    """Choose the targets of one stream, and wait for room if necessary."""

    def __init__(
        self,
        access: accesses.TargetAccess,
        job: jobs.Job,
        sample: Callable[
            [waiting.SampleSize | None], Awaitable[placement.Choice | None]
        ],
        avoid: Collection[ids.TargetId],
    ) -> None:
        self._access = access
        self._job = job
        # Samples some targets, or as many as for a first choice.
        self._sample = sample
        self._avoid = avoid
        # Target that was chosen last, and what was known of its room.
        self._choice: placement.Choice | None = None
        # Tokens that count as used by the organisation.
        self._used_tokens = 0

    def close(self) -> None:
        """Release what the stream used, as it has ended."""
        self._set_used(0)
        self._access.gate.wake_first(self._job.service.name)

    async def choose(
        self, *, may_wait: bool, is_new: bool, may_have_run: bool
    ) -> placement.Choice | refusals.Refusal | None:
        """Choose the target of the next run; wait at the gate if allowed."""
        # The former run has ended, and the stream may wait now.
        self._set_used(0)
        choice = await self._choose(may_wait, is_new, may_have_run)
        if isinstance(choice, placement.Choice) and choice.demand is not None:
            self._set_used(choice.demand.tokens)
        return choice

    async def _choose(
        self, may_wait: bool, is_new: bool, may_have_run: bool
    ) -> placement.Choice | refusals.Refusal | None:
        access = self._access
        sampled_at = access.clock()
        choice = self._choice = await self._sample(None)
        if choice is None or choice.room is None or choice.demand is None:
            return choice
        if not may_wait or not access.cfg.holds_streams:
            return choice
        job = self._job
        times = access.gate.times(job.service.name)
        req = stream_request(job, choice.demand, times, is_new=is_new)
        entrant = gates.Entrant(
            req,
            self._sample_offer,
            self._accepts,
            body_bytes=len(job.req.body),
            request_id=job.head.attempt_id,
        )
        result = await access.gate.enter(
            entrant, _offer_of(choice), sampled_at
        )
        if isinstance(result, gates.Refused):
            reason = REASON_BY_CAUSE[result.cause]
            if may_have_run:
                return refusals.Refusal(502, reason)
            return refusals.refuse_not_run(reason, result.retry_after_s)
        if result is None:
            return None
        self._choice = _choice_of(result, req.demand)
        return self._choice

    def record_end(self, sent_at: float, first_event_s: float | None) -> None:
        """Record a complete stream that had one run from the start."""
        job, now = self._job, self._access.clock()
        if first_event_s is not None:
            self._access.gate.times(job.service.name).record(
                now - sent_at,
                now - job.started_at - first_event_s,
                job.head.answer_tokens,
            )

    def adjust(self, refusal: refusals.Refusal) -> refusals.Refusal:
        """Set Retry-After to the estimated time until there is room."""
        access, choice, room_s = self._access, self._choice, 0.0
        if choice is not None and choice.room and choice.demand:
            stream_s = access.gate.times(self._job.service.name).stream_s
            room_s = waiting.estimate_room_s(
                choice.room, choice.demand, stream_s
            )
        return returns.adjust(access, self._job, refusal, room_s=room_s)

    def _set_used(self, tokens: int) -> None:
        """Count the tokens of the present run for the organisation."""
        added = tokens - self._used_tokens
        self._used_tokens = tokens
        if added:
            organisation = self._job.organisation
            self._access.shares.add_used(
                self._job.service.name,
                None if organisation is None else organisation.id,
                added,
            )

    async def _sample_offer(
        self, size: waiting.SampleSize
    ) -> gates.Offer[placement.Choice] | None:
        choice = await self._sample(size)
        if choice is None:
            return None
        self._choice = choice
        return _offer_of(choice)

    def _accepts(self, offered: placement.Choice) -> bool:
        """Return whether a target that another stream sampled can be used."""
        access, target = self._access, offered.target
        service = self._job.service.name
        return (
            target.listed.service == service
            and target.id not in self._avoid
            and target.health(access.clock()) is targets.Health.GOOD
            and access.is_ready(target)
            and target in access.candidates(service)
        )


def stream_request(
    job: jobs.Job,
    demand: rooms.Demand,
    times: waiting.StreamTimes,
    *,
    is_new: bool,
) -> waiting.StreamRequest:
    """Return what the decision needs to know of a stream."""
    organisation = job.organisation
    return waiting.StreamRequest(
        rank=job.rank,
        ranks_before=max(0, job.rank - job.most_urgent_rank),
        arrived_at=job.started_at,
        goal_at=job.started_at + job.route.latency_goal_s,
        deadline=job.deadline,
        demand=demand,
        organisation=None if organisation is None else organisation.id,
        service=job.service.name,
        output_s=times.min_output_s(job.head.answer_tokens),
        stream_s=times.stream_s,
        is_new=is_new,
    )


def _choice_of(
    offer: gates.Offer[placement.Choice], demand: rooms.Demand
) -> placement.Choice:
    """Return the choice of a stream, also if another one sampled the target.

    What is counted at the target is the demand of the stream that is sent.
    """
    room = offer.room
    return msgspec.structs.replace(
        offer.target,
        demand=demand,
        wait_s=offer.wait_s,
        fits=room is None or rooms.fits(room, demand),
    )


def _offer_of(choice: placement.Choice) -> gates.Offer[placement.Choice]:
    return gates.Offer(choice, choice.room, choice.wait_s)
