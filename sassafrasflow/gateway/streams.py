"""Streams: one answer, over as many runs as it takes."""

import asyncio
import contextlib

from sassafrasflow import ids
from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import copies
from sassafrasflow.gateway import events
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import quarantine
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import responses
from sassafrasflow.gateway import retries
from sassafrasflow.gateway import runs
from sassafrasflow.gateway import targets

__all__ = ["StreamSession"]

OVERSIZED = connections.ConnectionEnd.OVERSIZED.value


class StreamSession:
    """Bring one stream to its end."""

    def __init__(
        self,
        access: accesses.TargetAccess,
        job: jobs.Job,
        responder: responses.Responder,
    ) -> None:
        self._access = access
        self._job = job
        self._responder = responder
        self._sequence = events.Sequence(job.head.resume_after)
        self._tries = retries.Tries()
        self._avoid: set[ids.TargetId] = set()
        self._copy: copies.Copy | None = None
        # When a run of this stream was lost in a data centre.
        self._lost_in: dict[ids.DataCentre, float] = {}
        self._targets: list[ids.TargetId] = []
        self._first_event_s: float | None = None
        self._last_event_at: float | None = None
        self._longest_pause_s = 0.0
        # Events that the present run has brought.
        self._run_events = 0

    def ending(self, outcome: str) -> jobs.Ending:
        """Return what the log tells of the stream."""
        first_s = self._first_event_s
        return jobs.Ending(
            outcome,
            tuple(self._targets),
            None if first_s is None else round(first_s * 1000),
            round(self._longest_pause_s * 1000),
        )

    async def run(self) -> str:
        """Answer the request; return the outcome for the log."""
        access, job = self._access, self._job
        while True:
            plan = await self._plan()
            if plan is None:
                return self._refuse(self._no_target())
            ended = await self._run_once(plan)
            if ended.end is None:
                return "answered_200"
            self._log_run(plan, ended)
            step = self._step(plan, ended)
            if step.next is retries.Next.TRY_AGAIN:
                if await access.may_try_again(job, self._tries):
                    self._count_repeat(ended)
                    continue
                return self._refuse(
                    refusals.Refusal(502, refusals.RefusalReason.POISON)
                )
            if step.next is retries.Next.PASS_FAILURE:
                return self._pass_failure(ended)
            assert step.refusal is not None
            if step.refusal.reason is refusals.RefusalReason.NO_TARGET:
                return self._refuse(self._no_target())
            if job.left_s(access.clock()) <= 0:
                return self._refuse(self._timeout())
            return self._refuse(step.refusal)

    def _count_repeat(self, ended: runs.RunEnd) -> None:
        assert ended.end is not None
        self._access.metrics.count(
            "repeats_total",
            kind="stream",
            end=ended.end.value,
            from_copy="yes" if self._copy is not None else "no",
        )

    async def _plan(self) -> runs.Plan | None:
        access, job = self._access, self._job
        now = access.clock()
        copy = self._copy
        if copy is not None and (
            access.is_lost(copy.holder) or not access.wants_work(copy.holder)
        ):
            copy = None
        if copy is not None:
            target: targets.Target | None = copy.holder
        else:
            target = await access.place(
                job,
                self._avoid,
                self._recent_losses(now),
                first_try=not self._targets,
            )
        if target is None:
            return None
        holder = None
        engine = job.service.engine
        if engine is not None and engine.keeps_copies and job.route.resumable:
            holder = self._choose_holder(target)
        return runs.Plan(target, copy, holder)

    def _choose_holder(self, primary: targets.Target) -> targets.Target | None:
        access = self._access
        return placement.choose_copy_holder(
            access.candidates(self._job.service.name),
            primary=primary,
            now=access.clock(),
            rng=access.rng,
            avoid=self._avoid,
        )

    def _recent_losses(self, now: float) -> set[ids.DataCentre]:
        return {
            where
            for where, at in self._lost_in.items()
            if now - at < placement.CORRELATED_LOSS_WINDOW_S
        }

    async def _run_once(self, plan: runs.Plan) -> runs.RunEnd:
        access = self._access
        target, holder = plan.target, plan.copy_holder
        self._copy = None
        self._run_events = 0
        with contextlib.ExitStack() as stack:
            stack.callback(access.publish_load, target)
            stack.enter_context(access.working(target))
            prefill = stack.enter_context(runs.Prefill(target, plan.from_copy))
            access.publish_load(target)
            try:
                conn = await access.open(target)
            except connections.ConnectError as exc:
                return runs.RunEnd(retries.TryEnd.NOT_SENT, str(exc))
            if plan.from_copy:
                sendable = access.wants_work(target)
            else:
                sendable = access.takes_work(target)
            if not sendable:
                # It left while this instance connected or stood still.
                conn.close()
                return runs.RunEnd(retries.TryEnd.NOT_SENT, "leaving")
            run = runs.Run(access, self._job, plan, conn)
            self._targets.append(target.id)
            guard = None
            if holder is not None:
                guard = self._guard(stack, target, holder)
            try:
                run.send(self._tries, self._sequence.last)
                return await self._follow(run, prefill)
            finally:
                run.release()
                if guard is not None and run.has_copy():
                    self._copy = guard.copy

    def _guard(
        self,
        stack: contextlib.ExitStack,
        target: targets.Target,
        holder: targets.Target,
    ) -> copies.CopyGuard:
        """Count the copy at its holder, and replace it if that dies."""
        access = self._access
        first = copies.Copy(holder)
        self._count_copy(first.holder, 1)
        guard = copies.CopyGuard(
            access.copy_maker,
            target,
            self._job.head.attempt_id or "",
            first,
            lambda: self._choose_holder(target),
            lambda held: (
                access.is_lost(held)
                or held.availability.leaving
                or access.releases.is_retiring(held)
            ),
            self._on_copy_moved,
        )
        stack.callback(lambda: self._count_copy(guard.copy.holder, -1))
        task = asyncio.get_running_loop().create_task(guard.run())
        stack.callback(task.cancel)
        return guard

    def _on_copy_moved(self, old: copies.Copy, new: copies.Copy) -> None:
        if old.holder is new.holder:
            return
        self._count_copy(old.holder, -1)
        self._count_copy(new.holder, 1)
        self._access.metrics.count("copies_replaced_total")
        self._access.log.write(
            "copy_replaced",
            request=self._job.head.attempt_id,
            lost_at=old.holder.id,
            copy_at=new.holder.id,
        )

    def _count_copy(self, holder: targets.Target, change: int) -> None:
        holder.copies += change
        self._access.publish_load(holder)

    async def _follow(
        self, run: runs.Run, prefill: runs.Prefill
    ) -> runs.RunEnd:
        access, job = self._access, self._job
        watch = accesses.StreamWatch(run.plan.target, run.silence, run.conn)
        with access.watching(watch):
            while True:
                if job.left_s(access.clock()) <= 0:
                    return runs.RunEnd(retries.TryEnd.LOST, "deadline")
                item = await run.next()
                if item is None:
                    if run.lost_cause is not None:
                        return runs.RunEnd(retries.TryEnd.LOST, run.lost_cause)
                    continue
                if isinstance(item, connections.AnswerStart):
                    run.start(item)
                elif isinstance(item, bytes):
                    broken = await self._deliver(run, item, prefill)
                    if broken is not None:
                        return runs.RunEnd(retries.TryEnd.LOST, broken)
                elif item is connections.ConnectionEnd.ANSWER_COMPLETE:
                    ended = self._complete(run)
                    if ended is not None:
                        return ended
                else:
                    run.broke_off(item)
                    return runs.RunEnd(retries.TryEnd.LOST, item.value)

    async def _deliver(
        self, run: runs.Run, content: bytes, prefill: runs.Prefill
    ) -> str | None:
        """Pass events on; return why the run can't be used any further."""
        if not run.is_answer:
            return None if run.keep_failure(content) else OVERSIZED
        try:
            found = run.splitter.feed(content)
        except ValueError as exc:
            return str(exc)
        for event in found:
            if events.is_filler(event):
                # It is passed on, but shows no progress of the run.
                if self._responder.started:
                    await self._responder.write(event)
                continue
            order = self._sequence.check(event)
            if order is events.Order.GAP:
                return "events missing"
            if order is events.Order.REPEATED:
                continue
            prefill.end()
            if not self._responder.started:
                assert run.head is not None
                self._responder.start(200, run.head.forwarded)
            await self._responder.write(event)
            self._sequence.advance(event)
            self._note_event(run)
        return "bytes without events" if run.is_stalled() else None

    def _note_event(self, run: runs.Run) -> None:
        now = self._access.clock()
        run.note_event(now)
        self._run_events += 1
        if self._last_event_at is None:
            self._first_event_s = now - self._job.started_at
        else:
            pause_s = now - self._last_event_at
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        self._last_event_at = now

    def _complete(self, run: runs.Run) -> runs.RunEnd | None:
        access, job = self._access, self._job
        if run.head is None or run.foreign:
            if run.expect_another():
                return None
            return runs.RunEnd(retries.TryEnd.LOST, OVERSIZED)
        target = run.plan.target
        if run.is_answer:
            if run.splitter.pending or not self._responder.started:
                return runs.RunEnd(
                    retries.TryEnd.LOST, "ended within an event"
                )
            target.record_success(access.clock())
            access.quarantine.note_success(job, target)
            self._responder.finish()
            run.keep()
            return runs.RunEnd(None)
        run.keep()
        if run.head.not_run:
            self._tries.note_not_run()
            if run.head.wrong_target:
                access.note_replaced(target)
            return runs.RunEnd(retries.TryEnd.NOT_RUN, f"status {run.status}")
        target.record_failure(access.clock())
        access.releases.note_answer(target, job.route.name, failed=True)
        return runs.RunEnd(
            retries.TryEnd.FAILED,
            f"status {run.status}",
            (run.status, run.head, bytes(run.failure)),
        )

    def _step(self, plan: runs.Plan, ended: runs.RunEnd) -> retries.Step:
        access, job = self._access, self._job
        assert ended.end is not None
        now = access.clock()
        # A missing copy says nothing about its holder.
        if not (plan.from_copy and ended.end is retries.TryEnd.NOT_RUN):
            self._avoid.add(plan.target.id)
        if ended.end in (retries.TryEnd.LOST, retries.TryEnd.NOT_SENT):
            self._lost_in[plan.target.listed.data_centre] = now
        if ended.end is retries.TryEnd.LOST:
            if self._run_events < quarantine.PROGRESS_EVENTS:
                self._tries.fruitless += 1
                access.suspect_later(job, plan.target)
            self._tries.lost += plan.target.lost_at is not None
        return retries.after_try(
            ended.end,
            self._tries,
            repeatable=job.route.repeatable,
            max_targets=job.route.max_targets,
            left_s=job.left_s(now),
            others=bool(access.candidates(job.service.name)),
            budget_left=access.budget(job.service.name).left(now) > 0,
            poisonous=access.is_poison(job),
        )

    def _pass_failure(self, ended: runs.RunEnd) -> str:
        if self._responder.started or ended.failure is None:
            self._responder.cut()
            return "cut_failed"
        status, head, body = ended.failure
        self._responder.send(status, head.forwarded, body)
        return f"answered_{status}"

    def _timeout(self) -> refusals.Refusal:
        reason = refusals.RefusalReason.TIMED_OUT
        if self._tries.may_have_run:
            return refusals.Refusal(504, reason)
        return refusals.refuse_unsent(reason, retries.RETRY_SOON_S)

    def _no_target(self) -> refusals.Refusal:
        return self._access.refuse_without_target(self._job, self._tries)

    def _refuse(self, refusal: refusals.Refusal) -> str:
        cut = self._responder.started
        accesses.send_refusal(
            self._responder,
            self._access.wire,
            self._job.head.attempt_id,
            refusal,
        )
        verb = "cut" if cut else f"refused_{refusal.status}"
        return f"{verb}_{refusal.reason.value}"

    def _log_run(self, plan: runs.Plan, ended: runs.RunEnd) -> None:
        assert ended.end is not None
        access = self._access
        access.metrics.count("tries_failed_total", end=ended.end.value)
        holder = plan.copy_holder
        access.log.write(
            "run_ended",
            request=self._job.head.attempt_id,
            target=plan.target.id,
            data_centre=plan.target.listed.data_centre,
            from_copy=plan.from_copy,
            copy_at=holder.id if holder is not None else None,
            end=ended.end.value,
            cause=ended.cause,
            fingerprint=(
                self._job.fingerprint
                if ended.end is retries.TryEnd.LOST
                else None
            ),
            last_event=self._sequence.last,
            tries=self._tries.sent,
            left_ms=round(self._job.left_s(access.clock()) * 1000),
        )
