"""Copies of the runs that began without one."""

from sassafrasflow.admission import copying
from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import copies
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import runs

__all__ = ["describe", "may_get_copy", "record_change"]


def may_get_copy(
    access: accesses.TargetAccess, job: jobs.Job, plan: runs.Plan
) -> bool:
    """Return whether a run without a copy may get one later."""
    engine = job.service.engine
    return (
        access.cfg.holds_streams
        and plan.demand is not None
        and engine is not None
        and engine.keeps_copies
        and job.route.resumable
    )


def describe(
    access: accesses.TargetAccess,
    job: jobs.Job,
    run: runs.Run,
    first_event_s: float | None,
) -> copying.RunningStream:
    """Return what decides whether a run is the next that gets a copy."""
    remaining_s = 0.0
    if first_event_s is not None:
        times = access.gate.times(job.service.name)
        output_s = times.expected_output_s(job.head.answer_tokens)
        ends_at = job.started_at + first_event_s + output_s
        remaining_s = ends_at - access.clock()
    demand = run.plan.demand
    return copying.RunningStream(
        0 if demand is None else demand.prefill_tokens,
        remaining_s,
        run.has_copy(),
    )


def record_change(
    access: accesses.TargetAccess,
    job: jobs.Job,
    run: runs.Run,
    old: copies.Copy | None,
    new: copies.Copy,
) -> None:
    """Count and log a copy at a new holder."""
    if old is not None and old.holder is new.holder:
        return
    if old is None:
        run.silence.add_copy()
        access.metrics.count("copies_ordered_late_total")
    else:
        access.metrics.count("copies_replaced_total")
    access.log.write(
        "copy_ordered_late" if old is None else "copy_replaced",
        request=job.head.attempt_id,
        lost_at=None if old is None else old.holder.id,
        copy_at=new.holder.id,
    )
