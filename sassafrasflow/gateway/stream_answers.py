"""Read the answer of one run of a stream, and forward it to the caller."""

import abc

from sassafrasflow import ids
from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import events
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import joined
from sassafrasflow.gateway import moves
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import responses
from sassafrasflow.gateway import retries
from sassafrasflow.gateway import runs
from sassafrasflow.memory import account as accounts

__all__ = ["StreamAnswer"]

OVERSIZED = connections.ConnectionEnd.OVERSIZED.value


class StreamAnswer(abc.ABC):
    """Forward the answer of a stream, whose runs may be at several targets.

    Which targets the runs go to is decided elsewhere.
    """

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
        self._target_ids: list[ids.TargetId] = []
        self._first_event_s: float | None = None
        self._last_event_at: float | None = None
        self._longest_pause_s = 0.0
        # Time at which the retry for the next run was spent.
        self._reserved_at: float | None = None

    @abc.abstractmethod
    async def _drop_move(self, opened: moves.OpenRun) -> None:
        """Give up a move, as the target that was to be left goes on."""

    @abc.abstractmethod
    def _record_complete(self, run: runs.Run) -> None:
        """Record that a run brought the whole answer."""

    def ending(self, outcome: str) -> jobs.Ending:
        """Return the summary of the stream for its log line."""
        first_s = self._first_event_s
        return jobs.Ending(
            outcome,
            tuple(self._target_ids),
            None if first_s is None else round(first_s * 1000),
            round(self._longest_pause_s * 1000),
        )

    async def _consume_item(self, opened: moves.OpenRun) -> runs.RunEnd | None:
        """Handle the next part of an answer; return how the run ended."""
        access, job, run = self._access, self._job, opened.run
        if job.remaining_s(access.clock()) <= 0:
            return runs.RunEnd(retries.TryEnd.LOST, "deadline")
        item = await run.next()
        if item is None:
            if run.lost_cause is not None:
                return runs.RunEnd(retries.TryEnd.LOST, run.lost_cause)
            return None
        if isinstance(item, connections.AnswerStart):
            run.handle_head(item)
            return None
        if isinstance(item, bytes):
            broken = await self._deliver(opened, item)
            if broken is not None:
                return runs.RunEnd(retries.TryEnd.LOST, broken)
            return None
        if item is connections.ConnectionEnd.ANSWER_COMPLETE:
            return self._handle_answer_complete(run)
        run.handle_broken_answer()
        return runs.RunEnd(retries.TryEnd.LOST, item.value)

    async def _deliver(
        self, opened: moves.OpenRun, content: bytes
    ) -> str | None:
        """Forward events; return why the run can't go on, or ``None``."""
        run = opened.run
        if not run.is_stream_answer:
            try:
                return None if await run.append_failure(content) else OVERSIZED
            except TimeoutError:
                return "deadline"
        try:
            complete = run.splitter.feed(content)
        except ValueError as exc:
            return str(exc)
        holding = self._job.req.holding
        if holding is not None:
            holding.set(accounts.Use.EVENT, run.splitter.buffered_bytes)
        for event in complete:
            if joined.is_joined_event(event):
                run.conn.is_joined = True
                run.handle_broken_answer()
                return connections.ConnectionEnd.GARBLED.value
            if events.is_comment_only(event):
                # Comments are forwarded, but don't count as progress. A slow
                # caller must not delay a move.
                if self._responder.started and opened.move is None:
                    await self._responder.write(event)
                continue
            status = self._sequence.check(event)
            if status is events.SequenceStatus.GAP:
                return "events missing"
            if status is events.SequenceStatus.REPEATED:
                continue
            await self._drop_move(opened)
            if opened.prefill.end() and run.plan.demand is not None:
                self._access.publish_load(run.plan.target)
            if not self._responder.started:
                assert run.head is not None
                self._responder.start(200, run.head.forwarded)
            await self._responder.write(event)
            self._sequence.advance(event)
            self._record_event(run)
        run.check_events()
        return run.lost_cause

    def _reserve_retry(self) -> None:
        """Spend a retry before other streams decide on the same one."""
        if self._reserved_at is not None:
            return
        now = self._access.clock()
        service = self._job.service.name
        if self._access.budget(service).try_spend(now):
            self._reserved_at = now
        self._access.lending.ask_ahead(service)

    def _spend_retry(self) -> None:
        if self._tries.sent:
            self._reserve_retry()
            self._reserved_at = None

    def _give_back_retry(self) -> None:
        if self._reserved_at is not None:
            budget = self._access.budget(self._job.service.name)
            budget.give_back(self._reserved_at)
            self._reserved_at = None

    def _record_event(self, run: runs.Run) -> None:
        self._give_back_retry()
        now = self._access.clock()
        run.record_event(now)
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
                run.report_joined_answer()
                return runs.RunEnd(
                    retries.TryEnd.LOST, "ended within an event"
                )
            target.record_success(access.clock())
            self._report_answer(run, failed=False)
            run.record_success()
            self._record_complete(run)
            self._responder.finish()
            run.finish()
            return runs.RunEnd(None)
        if run.is_joined_failure():
            run.handle_broken_answer()
            garbled = connections.ConnectionEnd.GARBLED
            return runs.RunEnd(retries.TryEnd.LOST, garbled.value)
        run.finish()
        if run.head.not_run:
            self._tries.record_not_run()
            if run.head.wrong_target:
                access.record_replacement(target)
            return runs.RunEnd(retries.TryEnd.NOT_RUN, f"status {run.status}")
        target.record_failure(access.clock())
        self._report_answer(run, failed=True)
        access.rollouts.record_answer(target, job.route.name, failed=True)
        return runs.RunEnd(
            retries.TryEnd.FAILED,
            f"status {run.status}",
            (run.status, run.head, run.take_failure()),
        )

    def _report_answer(self, run: runs.Run, *, failed: bool) -> None:
        """Report an answer to the target's owner, for services with loads."""
        exchange = self._access.exchange
        if exchange is not None and run.plan.demand is not None:
            exchange.record_answer(run.plan.target.listed, failed=failed)

    def _forward_failure(self, run_end: runs.RunEnd) -> str:
        if self._responder.started or run_end.failure is None:
            self._responder.cut()
            return "cut_failed"
        status, head, body = run_end.failure
        if head.is_promise_unfounded and not self._job.route.is_retryable:
            self._access.anomalies.record_withheld_answer(
                self._target_ids[-1], self._job.head.attempt_id, status
            )
            return self._send_refusal(retries.refuse_unknown_outcome())
        self._responder.send(status, head.forwarded, body)
        return f"answered_{status}"

    def _send_refusal(self, refusal: refusals.Refusal) -> str:
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
