"""Requests with a streamed answer, produced by one or more runs."""

import asyncio
import contextlib

import msgspec

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
    """Answer one streaming request, resuming on other targets if needed."""

    def __init__(
        self,
        access: accesses.TargetAccess,
        job: jobs.Job,
        responder: responses.Responder,
    ) -> None:
        self._access = access
        self._job = job
        self._responder = responder
        self._sequence = events.EventSequence(job.head.resume_after)
        self._tries = retries.Tries()
        self._avoid: set[ids.TargetId] = set()
        self._copy: copies.Copy | None = None
        # Time of the last lost run, by data centre.
        self._loss_time_by_data_centre: dict[ids.DataCentre, float] = {}
        self._target_ids: list[ids.TargetId] = []
        self._first_event_s: float | None = None
        self._last_event_at: float | None = None
        self._longest_pause_s = 0.0
        # When the current run was sent.
        self._sent_at = 0.0
        # Events delivered by the current run.
        self._run_events = 0
        # Times at which the retries for the next runs were spent.
        self._reserved: list[float] = []

    def ending(self, outcome: str) -> jobs.Ending:
        """Return the summary of the stream for its log line."""
        first_s = self._first_event_s
        return jobs.Ending(
            outcome,
            tuple(self._target_ids),
            None if first_s is None else round(first_s * 1000),
            round(self._longest_pause_s * 1000),
        )

    async def run(self) -> str:
        """Answer the request; return the outcome for the log."""
        try:
            return await self._run()
        finally:
            self._give_back_retries()

    async def _run(self) -> str:
        access, job = self._access, self._job
        while True:
            plan = await self._plan_run()
            if plan is None:
                return self._refuse(self._no_target_refusal())
            run_end = await self._run_once(plan)
            if run_end.end is None:
                return "answered_200"
            self._log_failed_run(plan, run_end)
            step = await self._decide_next_step(plan, run_end)
            if step.next is retries.Next.TRY_AGAIN:
                if await access.can_try_again(job, self._tries):
                    self._count_retry(run_end)
                    continue
                return self._refuse(
                    refusals.Refusal(502, refusals.RefusalReason.POISON)
                )
            if step.next is retries.Next.PASS_FAILURE:
                return self._forward_failure(run_end)
            assert step.refusal is not None
            if step.refusal.reason is refusals.RefusalReason.NO_TARGET:
                return self._refuse(self._no_target_refusal())
            if job.remaining_s(access.clock()) <= 0:
                return self._refuse(self._timeout_refusal())
            return self._refuse(step.refusal)

    def _count_retry(self, run_end: runs.RunEnd) -> None:
        assert run_end.end is not None
        self._access.metrics.count(
            "repeats_total",
            kind="stream",
            end=run_end.end.value,
            from_copy="yes" if self._copy is not None else "no",
        )

    async def _plan_run(self) -> runs.Plan | None:
        access, job = self._access, self._job
        now = access.clock()
        copy = self._copy
        if copy is not None and (
            access.is_lost(copy.holder) or not access.is_available(copy.holder)
        ):
            copy = None
        if copy is not None:
            target: targets.Target | None = copy.holder
        else:
            target = await access.choose_stream_target(
                job,
                self._avoid,
                self._data_centres_with_recent_loss(now),
                first_try=not self._target_ids,
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

    def _data_centres_with_recent_loss(
        self, now: float
    ) -> set[ids.DataCentre]:
        return {
            where
            for where, at in self._loss_time_by_data_centre.items()
            if now - at < placement.CORRELATED_LOSS_WINDOW_S
        }

    async def _run_once(self, plan: runs.Plan) -> runs.RunEnd:
        access = self._access
        target, holder = plan.target, plan.copy_holder
        self._copy = None
        self._run_events = 0
        with contextlib.ExitStack() as stack:
            stack.callback(access.publish_load, target)
            stack.enter_context(access.counting_in_flight(target))
            prefill = stack.enter_context(runs.Prefill(target, plan.from_copy))
            access.publish_load(target)
            try:
                conn = await access.open(target)
            except connections.ConnectError as exc:
                return runs.RunEnd(retries.TryEnd.NOT_SENT, str(exc))
            cause = self._reason_not_to_send(plan)
            if cause is not None:
                conn.close()
                return runs.RunEnd(retries.TryEnd.NOT_SENT, cause)
            run = runs.Run(
                access,
                self._job,
                plan,
                conn,
                lambda tries: self._can_move(target, tries),
            )
            self._target_ids.append(target.id)
            maintainer = None
            if holder is not None:
                maintainer = self._start_copy_maintainer(stack, target, holder)
            try:
                self._spend_retry()
                self._sent_at = access.clock()
                run.send(self._tries, self._sequence.last_id)
                return await self._consume_answer(run, prefill)
            finally:
                run.release()
                if maintainer is not None and run.has_copy():
                    self._copy = maintainer.copy

    def _reason_not_to_send(self, plan: runs.Plan) -> str | None:
        """Return what changed while this instance connected, if anything.

        The target may have announced that it leaves, or the request may have
        been quarantined.
        """
        access = self._access
        is_sendable = (
            access.is_available if plan.from_copy else access.is_ready
        )
        if not is_sendable(plan.target):
            return "leaving"
        return "quarantined" if access.is_poison(self._job) else None

    def _start_copy_maintainer(
        self,
        stack: contextlib.ExitStack,
        target: targets.Target,
        holder: targets.Target,
    ) -> copies.CopyMaintainer:
        """Count the copy at its holder; replace it if the holder is lost."""
        access = self._access
        first = copies.Copy(holder)
        self._adjust_copy_count(first.holder, 1)
        maintainer = copies.CopyMaintainer(
            access.copy_maker,
            target,
            self._job.head.attempt_id or "",
            first,
            lambda: self._choose_holder(target),
            lambda held: (
                access.is_lost(held)
                or held.availability.leaving
                or access.rollouts.is_retiring(held)
            ),
            self._on_copy_moved,
        )
        stack.callback(
            lambda: self._adjust_copy_count(maintainer.copy.holder, -1)
        )
        task = asyncio.get_running_loop().create_task(maintainer.run())
        stack.callback(task.cancel)
        return maintainer

    def _on_copy_moved(self, old: copies.Copy, new: copies.Copy) -> None:
        if old.holder is new.holder:
            return
        self._adjust_copy_count(old.holder, -1)
        self._adjust_copy_count(new.holder, 1)
        self._access.metrics.count("copies_replaced_total")
        self._access.log.write(
            "copy_replaced",
            request=self._job.head.attempt_id,
            lost_at=old.holder.id,
            copy_at=new.holder.id,
        )

    def _adjust_copy_count(self, holder: targets.Target, change: int) -> None:
        holder.copies += change
        self._access.publish_load(holder)

    async def _consume_answer(
        self, run: runs.Run, prefill: runs.Prefill
    ) -> runs.RunEnd:
        access, job = self._access, self._job
        watch = accesses.StreamWatch(run.plan.target, run.silence, run.conn)
        with access.watching(watch):
            while True:
                if job.remaining_s(access.clock()) <= 0:
                    return runs.RunEnd(retries.TryEnd.LOST, "deadline")
                item = await run.next()
                if item is None:
                    if run.lost_cause is not None:
                        return runs.RunEnd(retries.TryEnd.LOST, run.lost_cause)
                    continue
                if isinstance(item, connections.AnswerStart):
                    run.handle_head(item)
                elif isinstance(item, bytes):
                    broken = await self._deliver(run, item, prefill)
                    if broken is not None:
                        return runs.RunEnd(retries.TryEnd.LOST, broken)
                elif item is connections.ConnectionEnd.ANSWER_COMPLETE:
                    run_end = self._handle_answer_complete(run)
                    if run_end is not None:
                        return run_end
                else:
                    run.handle_broken_answer()
                    return runs.RunEnd(retries.TryEnd.LOST, item.value)

    async def _deliver(
        self, run: runs.Run, content: bytes, prefill: runs.Prefill
    ) -> str | None:
        """Forward events; return why the run can't go on, or ``None``."""
        if not run.is_stream_answer:
            return None if run.append_failure(content) else OVERSIZED
        try:
            complete = run.splitter.feed(content)
        except ValueError as exc:
            return str(exc)
        for event in complete:
            if events.is_comment_only(event):
                # Comments are forwarded, but don't count as progress.
                if self._responder.started:
                    await self._responder.write(event)
                continue
            status = self._sequence.check(event)
            if status is events.SequenceStatus.GAP:
                return "events missing"
            if status is events.SequenceStatus.REPEATED:
                continue
            prefill.end()
            if not self._responder.started:
                assert run.head is not None
                self._responder.start(200, run.head.forwarded)
            await self._responder.write(event)
            self._sequence.advance(event)
            self._record_event(run)
        return "bytes without events" if run.is_stalled() else None

    def _reserve_retries(self, count: int) -> None:
        """Spend retries before other streams decide on the same ones."""
        budget = self._access.budget(self._job.service.name)
        now = self._access.clock()
        while len(self._reserved) < count and budget.try_spend(now):
            self._reserved.append(now)

    def _spend_retry(self) -> None:
        if not self._tries.sent:
            return
        if self._reserved:
            self._reserved.pop()
        else:
            now = self._access.clock()
            self._access.budget(self._job.service.name).try_spend(now)

    def _give_back_retries(self) -> None:
        budget = self._access.budget(self._job.service.name)
        while self._reserved:
            budget.give_back(self._reserved.pop())

    def _record_event(self, run: runs.Run) -> None:
        self._give_back_retries()
        now = self._access.clock()
        run.record_event(now)
        self._run_events += 1
        if self._last_event_at is None:
            self._first_event_s = now - self._job.started_at
        else:
            pause_s = now - self._last_event_at
            self._longest_pause_s = max(self._longest_pause_s, pause_s)
        self._last_event_at = now

    def _handle_answer_complete(self, run: runs.Run) -> runs.RunEnd | None:
        access, job = self._access, self._job
        if run.head is None or run.is_stale_answer:
            if run.skip_answer():
                return None
            return runs.RunEnd(retries.TryEnd.LOST, OVERSIZED)
        target = run.plan.target
        if run.is_stream_answer:
            if run.splitter.has_partial_event or not self._responder.started:
                return runs.RunEnd(
                    retries.TryEnd.LOST, "ended within an event"
                )
            target.record_success(access.clock())
            run.record_success()
            self._responder.finish()
            run.finish()
            return runs.RunEnd(None)
        run.finish()
        if run.head.not_run:
            self._tries.record_not_run()
            if run.head.wrong_target:
                access.record_replacement(target)
            return runs.RunEnd(retries.TryEnd.NOT_RUN, f"status {run.status}")
        target.record_failure(access.clock())
        access.rollouts.record_answer(target, job.route.name, failed=True)
        return runs.RunEnd(
            retries.TryEnd.FAILED,
            f"status {run.status}",
            (run.status, run.head, bytes(run.failure)),
        )

    async def _decide_next_step(
        self, plan: runs.Plan, run_end: runs.RunEnd
    ) -> retries.Step:
        access = self._access
        assert run_end.end is not None
        now = access.clock()
        # If a copy is missing, its holder may still run the request from the
        # start, so the holder is not avoided.
        if not (plan.from_copy and run_end.end is retries.TryEnd.NOT_RUN):
            self._avoid.add(plan.target.id)
        if run_end.end in (retries.TryEnd.LOST, retries.TryEnd.NOT_SENT):
            self._loss_time_by_data_centre[plan.target.listed.data_centre] = (
                now
            )
        if run_end.end is retries.TryEnd.LOST:
            if self._run_events < quarantine.PROGRESS_EVENTS:
                self._tries.without_progress += 1
                access.schedule_crash_attribution(self._job, plan.target)
            access.record_lost_run(
                self._job,
                plan.target,
                self._sent_at,
                f"stream {run_end.cause}",
            )
        step = self._step_after(run_end.end)
        # Targets that ended don't use up the route's tries, so the stream is
        # not cut before it is known whether they did.
        if step.is_tries_spent and (
            await access.wait_for_liveness_checks(self._job)
        ):
            step = self._step_after(run_end.end)
        if step.next is retries.Next.TRY_AGAIN and self._tries.sent:
            self._reserve_retries(1)
        return step

    def _step_after(self, end: retries.TryEnd) -> retries.Step:
        self._tries.lost = self._job.lost_targets
        return self._next_step(
            end,
            self._tries,
            has_other_targets=bool(
                self._access.candidates(self._job.service.name)
            ),
            needed=1,
        )

    def _can_move(self, target: targets.Target, needed: int) -> bool:
        """Return whether the stream may leave a target for another now.

        The number of needed tries must be left in all bounds, and is reserved
        if the stream may leave.
        """
        access = self._access
        now = access.clock()
        tries = msgspec.structs.replace(
            self._tries,
            sent=self._tries.sent + needed - 1,
            lost=self._job.lost_targets + target.is_lost_since(self._sent_at),
        )
        step = self._next_step(
            retries.TryEnd.LOST,
            tries,
            has_other_targets=any(
                other is not target
                and other.health(now) is not targets.Health.LOST
                for other in access.candidates(self._job.service.name)
            ),
            needed=needed,
        )
        can_move = step.next is retries.Next.TRY_AGAIN
        if can_move:
            self._reserve_retries(needed)
        return can_move

    def _next_step(
        self,
        end: retries.TryEnd,
        tries: retries.Tries,
        *,
        has_other_targets: bool,
        needed: int,
    ) -> retries.Step:
        access, job = self._access, self._job
        now = access.clock()
        retries_left = access.budget(job.service.name).remaining(now) + len(
            self._reserved
        )
        return retries.decide_next_step(
            end,
            tries,
            is_retryable=job.route.is_retryable,
            max_targets=job.route.max_targets,
            remaining_s=job.remaining_s(now),
            has_other_targets=has_other_targets,
            has_budget=retries_left >= needed,
            is_poison=access.is_poison(job),
        )

    def _forward_failure(self, run_end: runs.RunEnd) -> str:
        if self._responder.started or run_end.failure is None:
            self._responder.cut()
            return "cut_failed"
        status, head, body = run_end.failure
        self._responder.send(status, head.forwarded, body)
        return f"answered_{status}"

    def _timeout_refusal(self) -> refusals.Refusal:
        reason = refusals.RefusalReason.TIMED_OUT
        if self._tries.may_have_run:
            return refusals.Refusal(504, reason)
        return refusals.refuse_not_run(reason, retries.RETRY_AFTER_FULL_S)

    def _no_target_refusal(self) -> refusals.Refusal:
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

    def _log_failed_run(self, plan: runs.Plan, run_end: runs.RunEnd) -> None:
        assert run_end.end is not None
        access = self._access
        access.metrics.count("tries_failed_total", end=run_end.end.value)
        holder = plan.copy_holder
        access.log.write(
            "run_ended",
            request=self._job.head.attempt_id,
            target=plan.target.id,
            data_centre=plan.target.listed.data_centre,
            from_copy=plan.from_copy,
            copy_at=holder.id if holder is not None else None,
            end=run_end.end.value,
            cause=run_end.cause,
            fingerprint=(
                self._job.fingerprint
                if run_end.end is retries.TryEnd.LOST
                else None
            ),
            last_event=self._sequence.last_id,
            tries=self._tries.sent,
            left_ms=round(self._job.remaining_s(access.clock()) * 1000),
        )
