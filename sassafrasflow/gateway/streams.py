"""Requests with a streamed answer, produced by one or more runs."""

import asyncio
from collections.abc import Collection
import contextlib

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import copying
from sassafrasflow.admission import late_copies
from sassafrasflow.admission import streams as admission
from sassafrasflow.admission import waiting
from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import copies
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import moves
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import quarantine
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import responses
from sassafrasflow.gateway import retries
from sassafrasflow.gateway import runs
from sassafrasflow.gateway import silence as silences
from sassafrasflow.gateway import stream_answers
from sassafrasflow.gateway import targets

__all__ = ["StreamSession"]

# Delay of the next choice of a copy's holder after none had room. Each choice
# queries up to eight targets.
NO_HOLDER_DELAY_S = 1.0


class StreamSession(stream_answers.StreamAnswer):
    """Answer one streaming request, resuming on other targets if needed."""

    def __init__(
        self,
        access: accesses.TargetAccess,
        job: jobs.Job,
        responder: responses.Responder,
    ) -> None:
        super().__init__(access, job, responder)
        self._avoid: set[ids.TargetId] = set()
        self._admission = admission.StreamAdmission(
            access, job, self._choose, self._avoid
        )
        self._copy: copies.Copy | None = None
        # Time of the last lost run, by data centre.
        self._loss_time_by_data_centre: dict[ids.DataCentre, float] = {}
        # No holder of a copy is chosen before, as none had room.
        self._next_holder_at = 0.0

    async def run(self) -> str:
        """Answer the request; return the outcome for the log."""
        try:
            return await self._run()
        finally:
            self._give_back_retry()
            self._admission.close()

    async def _run(self) -> str:
        access, job = self._access, self._job
        while True:
            plan = await self._plan_run(self._copy, may_wait=True)
            if plan is None:
                return self._refuse(self._no_target_refusal())
            if isinstance(plan, refusals.Refusal):
                return self._send_refusal(plan)
            run_end = await self._run_at(plan)
            if run_end.end is None:
                return "answered_200"
            step = await self._decide_next_step(run_end.end)
            if step.next is retries.Next.TRY_AGAIN:
                if await access.can_try_again(job, self._tries):
                    self._count_retry(run_end.end, self._copy)
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

    def _count_retry(
        self, end: retries.TryEnd, copy: copies.Copy | None
    ) -> None:
        self._access.metrics.count(
            "repeats_total",
            kind="stream",
            end=end.value,
            from_copy="yes" if copy is not None else "no",
        )

    async def _plan_run(
        self, copy: copies.Copy | None, *, may_wait: bool
    ) -> runs.Plan | refusals.Refusal | None:
        """Choose the target of a run; wait for one with room if allowed."""
        access, job = self._access, self._job
        if copy is not None and (
            access.is_lost(copy.holder)
            or not access.is_available(copy.holder)
            or access.rollouts.is_withdrawn(copy.holder)
        ):
            copy = None
        demand = access.placer.demand_of(job)
        pending: Collection[ids.TargetId] = ()
        if copy is not None:
            target = copy.holder
        else:
            # A stream that goes on after some events does not wait.
            choice = await self._admission.choose(
                may_wait=may_wait and self._sequence.last_id is None,
                is_new=not self._target_ids,
                may_have_run=self._tries.may_have_run,
            )
            if not isinstance(choice, placement.Choice):
                return choice
            access.placer.record_placement(job, choice)
            target, demand = choice.target, choice.demand
            pending = choice.pending
        plan = runs.Plan(target, copy, None, demand)
        engine = job.service.engine
        if (
            engine is None
            or not engine.keeps_copies
            or (not job.route.resumable)
        ):
            return plan
        # Other streams see this one while the holder is chosen.
        with contextlib.ExitStack() as stack:
            if demand is not None:
                stack.callback(access.publish_load, target)
            stack.enter_context(access.counting_in_flight(target, plan.tokens))
            stack.enter_context(runs.Prefill(target, plan.from_copy, demand))
            if demand is not None:
                access.publish_load(target)
            holder = await self._choose_holder(target, pending)
        return msgspec.structs.replace(plan, copy_holder=holder)

    async def _choose(
        self, size: waiting.SampleSize | None
    ) -> placement.Choice | None:
        access = self._access
        return await access.choose_stream_target(
            self._job,
            self._avoid,
            self._data_centres_with_recent_loss(access.clock()),
            first_try=not self._target_ids,
            size=size,
        )

    async def _choose_holder(
        self,
        primary: targets.Target,
        pending: Collection[ids.TargetId] = (),
    ) -> targets.Target | None:
        """Choose the holder of the copy, but not again right after none."""
        access = self._access
        now = access.clock()
        if now < self._next_holder_at:
            return None
        holder = await access.choose_copy_holder(
            self._job, primary, self._avoid, pending
        )
        if holder is None and access.placer.demand_of(self._job) is not None:
            self._next_holder_at = now + NO_HOLDER_DELAY_S
        return holder

    def _data_centres_with_recent_loss(
        self, now: float
    ) -> set[ids.DataCentre]:
        return {
            where
            for where, at in self._loss_time_by_data_centre.items()
            if now - at < placement.CORRELATED_LOSS_WINDOW_S
        }

    async def _run_at(self, plan: runs.Plan) -> runs.RunEnd:
        """Run the stream at a target, and at those to which it moves."""
        self._copy = None
        outcome = await self._open(plan)
        while isinstance(outcome, moves.OpenRun):
            opened = outcome
            try:
                outcome = await self._consume_answer(opened)
                self._copy = opened.copy
            finally:
                opened.close()
        return outcome

    async def _open(self, plan: runs.Plan) -> moves.OpenRun | runs.RunEnd:
        """Send the request to a target."""
        access = self._access
        target = plan.target
        with contextlib.ExitStack() as stack:
            stack.callback(access.publish_load, target)
            stack.enter_context(access.counting_in_flight(target, plan.tokens))
            prefill = stack.enter_context(
                runs.Prefill(target, plan.from_copy, plan.demand)
            )
            access.publish_load(target)
            try:
                # A late answer to a former run there has the same id as the
                # answer to this one.
                conn = await access.open(
                    target, force_new=target.id in self._target_ids
                )
            except connections.ConnectError as exc:
                return self._record_not_sent(plan, str(exc))
            cause = self._reason_not_to_send(plan)
            if cause is not None:
                conn.close()
                return self._record_not_sent(plan, cause)
            run = runs.Run(
                access,
                self._job,
                plan,
                conn,
                self._can_move,
            )
            self._target_ids.append(target.id)
            maintainer = self._start_copy_maintainer(stack, plan, run)
            stack.callback(run.release)
            self._spend_retry()
            run.send(self._tries, self._sequence.last_id)
            watch = silences.StreamWatch(target, run.silence, conn)
            stack.enter_context(access.watching(watch))
            return moves.OpenRun(run, prefill, maintainer, stack.pop_all())

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
        if access.cfg.holds_streams and (
            self._job.remaining_s(access.clock()) <= 0
        ):
            return "deadline"
        return "quarantined" if access.is_poison(self._job) else None

    def _start_copy_maintainer(
        self,
        stack: contextlib.ExitStack,
        plan: runs.Plan,
        run: runs.Run,
    ) -> copies.CopyMaintainer | None:
        """Count the copy at its holder; replace it if the holder is lost.

        A run without a holder looks for one while it goes on.
        """
        access, holder = self._access, plan.copy_holder
        job = self._job
        if holder is None and not late_copies.may_get_copy(access, job, plan):
            return None
        first = None if holder is None else copies.Copy(holder)
        if holder is not None:
            self._adjust_copy_count(holder, 1, plan.tokens)
        searches = access.placer.copy_searches

        def describe() -> copying.RunningStream:
            first_s = self._first_event_s
            return late_copies.describe(access, job, run, first_s)

        def on_change(old: copies.Copy | None, new: copies.Copy) -> None:
            searches.remove(describe)
            late_copies.record_change(access, job, run, old, new)

        maintainer = copies.CopyMaintainer(
            access.copy_maker,
            plan.target,
            job.head.attempt_id or "",
            first,
            lambda: self._choose_holder(plan.target),
            lambda held: (
                access.is_lost(held)
                or held.availability.leaving
                or access.rollouts.is_retiring(held)
                or access.rollouts.is_withdrawn(held)
            ),
            lambda: searches.try_begin(describe, len(access.gate)),
            lambda held, change: self._adjust_copy_count(
                held, change, plan.tokens
            ),
            on_change,
        )
        stack.callback(maintainer.close)
        if first is None:
            searches.add(describe)
            stack.callback(searches.remove, describe)
        task = asyncio.get_running_loop().create_task(maintainer.run())
        stack.callback(task.cancel)
        return maintainer

    def _adjust_copy_count(
        self, holder: targets.Target, change: int, tokens: int
    ) -> None:
        holder.copies += change
        holder.used_tokens += change * tokens
        self._access.publish_load(holder)

    async def _consume_answer(
        self, opened: moves.OpenRun
    ) -> moves.OpenRun | runs.RunEnd:
        """Forward a run's answer; return its end, or the run that follows."""
        run = opened.run
        run_end: runs.RunEnd | None = None
        try:
            while run_end is None:
                if opened.move is not None and opened.move.ended:
                    following = opened.move.result()
                    opened.move = None
                    if following is not None:
                        self._record_left(run)
                        return following
                    if self._has_crashed_target(run):
                        cause = run.leave_cause or ""
                        run_end = runs.RunEnd(retries.TryEnd.LOST, cause)
                        continue
                    self._stay(opened)
                run_end = await self._consume_item(opened)
                if run.leave_cause is not None and opened.move is None:
                    opened.move = moves.Move(
                        self._start_elsewhere(opened), run.conn.wake
                    )
            if run_end.end is None:
                return run_end
            self._record_run_end(run.plan, run_end, run)
            return await self._take_over(opened) or run_end
        finally:
            await self._stop_move(opened)

    async def _start_elsewhere(
        self, left: moves.OpenRun
    ) -> moves.OpenRun | None:
        """Send the request to another target than that of an open run.

        Return the new run once its target has accepted the request, or
        ``None`` if no target did.
        """
        access, job, run = self._access, self._job, left.run
        target = run.plan.target
        self._avoid_target(target)
        if run.events < quarantine.PROGRESS_EVENTS:
            run.suspect_crash()
            access.schedule_crash_attribution(job, target)
        if not await access.can_try_again(job, self._tries_without(run)):
            return None
        plan = await self._plan_run(left.copy, may_wait=False)
        if not isinstance(plan, runs.Plan) or plan.target is target:
            return None
        self._count_retry(retries.TryEnd.LOST, plan.copy)
        outcome = await self._open(plan)
        if isinstance(outcome, runs.RunEnd):
            return None
        left.record_copy_use(plan.copy)
        with contextlib.ExitStack() as stack:
            stack.callback(outcome.close)
            run_end = await self._wait_for_acceptance(outcome)
            if run_end is None:
                stack.pop_all()
                return outcome
            self._record_run_end(plan, run_end, outcome.run)
            return None

    async def _wait_for_acceptance(
        self, opened: moves.OpenRun
    ) -> runs.RunEnd | None:
        """Return how the run ended, or ``None`` if its target accepted it."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(moves.ACCEPT_TIMEOUT_S):
                while not opened.run.is_stream_answer:
                    run_end = await self._consume_item(opened)
                    if run_end is not None:
                        return run_end
        return None

    async def _take_over(self, opened: moves.OpenRun) -> moves.OpenRun | None:
        """Return the run to which an ended run was about to move, if any."""
        move = opened.move
        if move is None:
            return None
        await move.wait(self._job.remaining_s(self._access.clock()))
        if not move.ended:
            return None
        opened.move = None
        return move.result()

    async def _stop_move(self, opened: moves.OpenRun) -> None:
        move, opened.move = opened.move, None
        if move is not None:
            await move.stop()

    async def _drop_move(self, opened: moves.OpenRun) -> None:
        """Give up a move, as the target that was to be left goes on."""
        if opened.move is None:
            return
        await self._stop_move(opened)
        self._access.metrics.count("moves_dropped_total")
        self._access.log.write(
            "move_dropped",
            request=self._job.head.attempt_id,
            target=opened.run.plan.target.id,
        )

    def _record_complete(self, run: runs.Run) -> None:
        if len(self._target_ids) == 1:
            self._admission.record_end(run.sent_at, self._first_event_s)

    def _has_crashed_target(self, run: runs.Run) -> bool:
        """Return whether a request has crashed targets, and this one too."""
        access = self._access
        return access.is_poison(self._job) and access.is_lost(run.plan.target)

    def _stay(self, opened: moves.OpenRun) -> None:
        """Go on with a run, as no other target has accepted the stream."""
        self._give_back_retry()
        opened.run.stay()

    def _record_not_sent(self, plan: runs.Plan, cause: str) -> runs.RunEnd:
        run_end = runs.RunEnd(retries.TryEnd.NOT_SENT, cause)
        self._record_run_end(plan, run_end)
        return run_end

    def _record_left(self, run: runs.Run) -> None:
        """Record the end of a run whose stream has moved."""
        run_end = runs.RunEnd(retries.TryEnd.LOST, run.leave_cause or "")
        self._record_run_end(run.plan, run_end, run)

    def _record_run_end(
        self,
        plan: runs.Plan,
        run_end: runs.RunEnd,
        run: runs.Run | None = None,
    ) -> None:
        """Log a run that brought no whole answer, and avoid its target."""
        self._log_failed_run(plan, run_end)
        end, target = run_end.end, plan.target
        if end in (retries.TryEnd.LOST, retries.TryEnd.NOT_SENT):
            self._avoid_target(target)
        elif not (plan.from_copy and end is retries.TryEnd.NOT_RUN):
            # If a copy is missing, its holder may still run the request from
            # the start, so the holder is not avoided.
            self._avoid.add(target.id)
        if end is retries.TryEnd.LOST:
            assert run is not None
            if run.events < quarantine.PROGRESS_EVENTS:
                self._tries.without_progress += 1
                self._access.schedule_crash_attribution(self._job, target)
            self._access.record_lost_run(
                self._job, target, run.sent_at, f"stream {run_end.cause}"
            )

    def _avoid_target(self, target: targets.Target) -> None:
        """Avoid a lost or silent target, and its data centre for a while."""
        self._avoid.add(target.id)
        self._loss_time_by_data_centre[target.listed.data_centre] = (
            self._access.clock()
        )

    async def _decide_next_step(self, end: retries.TryEnd) -> retries.Step:
        step = self._step_after(end)
        # Targets that ended don't use up the route's tries, so the stream is
        # not cut before it is known whether they did.
        if step.is_tries_spent and (
            await self._access.wait_for_liveness_checks(self._job)
        ):
            step = self._step_after(end)
        if step.is_budget_spent and (
            await self._access.lending.obtain(self._job.service.name)
        ):
            step = self._step_after(end)
        if step.next is retries.Next.TRY_AGAIN and self._tries.sent:
            self._reserve_retry()
        return step

    def _step_after(self, end: retries.TryEnd) -> retries.Step:
        self._tries.lost = self._job.lost_targets
        return self._next_step(
            end,
            self._tries,
            has_other_targets=bool(
                self._access.candidates(self._job.service.name)
            ),
        )

    def _can_move(self, run: runs.Run) -> bool:
        """Return whether the stream may try to move to another target now.

        A retry is reserved if it may.
        """
        access = self._access
        now = access.clock()
        step = self._next_step(
            retries.TryEnd.LOST,
            self._tries_without(run),
            has_other_targets=any(
                other is not run.plan.target
                and other.health(now) is not targets.Health.LOST
                for other in access.candidates(self._job.service.name)
            ),
        )
        can_move = step.next is retries.Next.TRY_AGAIN
        if can_move:
            self._reserve_retry()
        elif step.is_budget_spent:
            # The run asks again after its next check.
            access.lending.ask_ahead(self._job.service.name)
        return can_move

    def _tries_without(self, run: runs.Run) -> retries.Tries:
        """Return the counts of the tries as if a run were lost."""
        tries = self._tries
        has_progress = run.events >= quarantine.PROGRESS_EVENTS
        return msgspec.structs.replace(
            tries,
            lost=self._job.lost_targets
            + run.plan.target.is_lost_since(run.sent_at),
            without_progress=tries.without_progress + (not has_progress),
        )

    def _next_step(
        self,
        end: retries.TryEnd,
        tries: retries.Tries,
        *,
        has_other_targets: bool,
    ) -> retries.Step:
        access, job = self._access, self._job
        now = access.clock()
        budget = access.budget(job.service.name)
        has_reserved = self._reserved_at is not None
        return retries.decide_next_step(
            end,
            tries,
            is_retryable=job.route.is_retryable,
            max_targets=job.route.max_targets,
            remaining_s=job.remaining_s(now),
            has_other_targets=has_other_targets,
            has_budget=has_reserved or budget.remaining(now) > 0,
            is_poison=access.is_poison(job),
        )

    def _timeout_refusal(self) -> refusals.Refusal:
        reason = refusals.RefusalReason.TIMED_OUT
        if self._tries.may_have_run:
            return refusals.Refusal(504, reason)
        return refusals.refuse_not_run(reason, retries.RETRY_AFTER_FULL_S)

    def _no_target_refusal(self) -> refusals.Refusal:
        return self._access.refuse_without_target(self._job, self._tries)

    def _refuse(self, refusal: refusals.Refusal) -> str:
        return self._send_refusal(self._admission.adjust(refusal))
