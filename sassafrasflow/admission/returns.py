"""When the gateway's refused callers may come back."""

import msgspec

from sassafrasflow.admission import refusing
from sassafrasflow.admission import waiting
from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import availability
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import targets

__all__ = ["adjust", "refuse_hopeless_call"]

# Reasons of refusals after targets were full or lost. Retry-After of the
# others does not depend on room.
ROOM_REASONS = frozenset(
    {
        refusals.RefusalReason.NO_TARGET,
        refusals.RefusalReason.TARGETS_FULL,
        refusals.RefusalReason.TRIES_SPENT,
        refusals.RefusalReason.BUDGET_SPENT,
        refusals.RefusalReason.TIMED_OUT,
        refusals.RefusalReason.TOO_LATE,
    }
)


def adjust(
    access: accesses.TargetAccess,
    job: jobs.Job,
    refusal: refusals.Refusal,
    *,
    room_s: float = 0.0,
) -> refusals.Refusal:
    """Set Retry-After to the estimated time until there is room.

    ``room_s`` is the time until an engine has room for a stream, 0 if it is
    unknown. Without any estimate, the value stays the same but for the jitter.
    """
    wait_s = refusal.retry_after_s
    if (
        not access.cfg.holds_streams
        or wait_s is None
        or refusal.reason not in ROOM_REASONS
    ):
        return refusal
    now = access.clock()
    remaining_s = job.remaining_s(now)
    states = _states(access, job, now)
    measured_s = _work_s(access, job)
    is_call = job.route.kind is not routes.CallKind.STREAM
    if is_call:
        work_s = measured_s or refusing.assumed_call_s(
            job.route.latency_goal_s
        )
        peers = 0 if access.exchange is None else len(access.exchange.peers)
        value_s = refusing.choose_return_s(
            states,
            work_s,
            now,
            remaining_s,
            access.rng,
            unknown_s=wait_s,
            returns=access.return_times(job.service.name),
            instances=1 + peers,
        )
    else:
        value_s = refusing.choose_return_s(
            states,
            measured_s,
            now,
            remaining_s,
            access.rng,
            room_s=room_s,
            unknown_s=wait_s,
        )
    if is_call:
        access.log.write(
            "call_refused",
            request=job.head.attempt_id,
            service=job.service.name,
            reason=refusal.reason.value,
            call_ms=round(1000 * measured_s) or None,
            instances=1 + peers,
            rejecting=sum(refusing.is_rejecting(each, now) for each in states),
            paused=sum((each.paused_until or 0.0) > now for each in states),
            lost=sum(each.lost_at is not None for each in states),
            left_ms=round(1000 * remaining_s),
            retry_after_s=round(value_s, 2),
        )
    return msgspec.structs.replace(refusal, retry_after_s=value_s)


def refuse_hopeless_call(
    access: accesses.TargetAccess, job: jobs.Job
) -> refusals.Refusal | None:
    """Return the refusal of a call that no target can run in time, if so."""
    # A HEAD request of a route for streams takes no time of a stream.
    is_stream = job.route.kind is routes.CallKind.STREAM
    if is_stream or not access.cfg.holds_streams:
        return None
    now = access.clock()
    is_hopeless = refusing.is_hopeless(
        _states(access, job, now), _work_s(access, job), job.deadline, now
    )
    if not is_hopeless:
        return None
    access.metrics.count("calls_hopeless_total")
    return refusals.refuse_not_run(
        refusals.RefusalReason.TOO_LATE, waiting.MIN_RETRY_AFTER_S
    )


def _work_s(access: accesses.TargetAccess, job: jobs.Job) -> float:
    """Return the usual time of a request of a job's kind, 0 if unknown."""
    if job.route.kind is routes.CallKind.STREAM:
        return access.gate.times(job.service.name).stream_s
    return access.call_times(job.service.name).call_s


def _states(
    access: accesses.TargetAccess, job: jobs.Job, now: float
) -> list[refusing.TargetState]:
    """Return what is known of the targets of a job, but of leaving ones."""
    service = job.service.name
    usable = access.rollouts.usable(service, access.directory.usable(service))
    return [
        _state_of(target, now)
        for target in usable
        if not target.availability.leaving
    ]


def _state_of(target: targets.Target, now: float) -> refusing.TargetState:
    announced = target.availability
    reason = announced.unavailable_reason(now)
    is_lost = target.health(now) is targets.Health.LOST
    return refusing.TargetState(
        slots=max(1, target.listed.slots),
        in_flight=target.in_flight + target.peer_load,
        rejected_at=announced.rejected_at,
        paused_until=announced.paused_until,
        pause_s=announced.pause_s,
        is_on_trial=reason is availability.Unavailable.ON_TRIAL,
        lost_at=target.lost_at if is_lost else None,
    )
