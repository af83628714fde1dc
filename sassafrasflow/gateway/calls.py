"""Requests with one short answer, sent with retries and hedging."""

import asyncio
from collections.abc import Callable

import msgspec

from sassafrasflow import ids
from sassafrasflow.admission import returns
from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import joined
from sassafrasflow.gateway import ledger as ledgers
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import responses
from sassafrasflow.gateway import retries
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import targets
from sassafrasflow.memory import answers

__all__ = ["CallSession"]

# A hedged request goes to a second target after this share of the route's
# latency goal. An ordinary answer takes a sixth of the goal, so the second
# target can still answer in time.
HEDGE_SHARE = 0.5
MIN_HEDGE_DELAY_S = 0.1
# Answers that wait for memory must not fill it with what is read ahead.
READ_LIMIT_BYTES = 64 * 1024


class TargetAnswer(msgspec.Struct, frozen=True):
    """Complete answer of a target."""

    status: int
    head: protocol.AnswerHead
    body: bytes


class TryOutcome(msgspec.Struct, frozen=True):
    """How one try ended; ``end`` is ``None`` for a success."""

    target: targets.Target
    end: retries.TryEnd | None
    answer: TargetAnswer | None = None


class CallSession:
    """Answer one short request, with retries and hedging."""

    def __init__(
        self,
        access: accesses.TargetAccess,
        job: jobs.Job,
        responder: responses.Responder,
    ) -> None:
        self._access = access
        self._job = job
        self._responder = responder
        self._tries = retries.Tries()
        self._avoid: set[ids.TargetId] = set()
        self._pending: set[asyncio.Task[TryOutcome]] = set()
        self.targets: list[ids.TargetId] = []
        # Whether an attempt to hedge had no other target to go to.
        self._no_hedge_target = False

    def ending(self, outcome: str) -> jobs.Ending:
        """Return the summary of the request for its log line."""
        return jobs.Ending(outcome, tuple(self.targets))

    async def run(self) -> str:
        """Answer the request; return the outcome for the log."""
        try:
            return await self._run()
        finally:
            await self._cancel_tries()

    async def _run(self) -> str:
        access = self._access
        hopeless = self._refuse_if_hopeless()
        if hopeless is not None:
            return self._refuse(hopeless)
        if not self._start_try():
            return self._refuse(self._no_target_refusal())
        while True:
            outcome = await self._next_outcome()
            if outcome is None:
                return self._refuse(self._timeout_refusal())
            if outcome.end is None:
                assert outcome.answer is not None
                return self._deliver(outcome)
            self._log_failed_try(outcome)
            step = self._decide_next_step(outcome)
            # Targets that ended don't use up the route's tries.
            if (
                step.is_tries_spent
                and not self._pending
                and await access.wait_for_liveness_checks(self._job)
            ):
                step = self._decide_next_step(outcome)
            if step.next is retries.Next.TRY_AGAIN:
                if not await access.can_try_again(self._job, self._tries):
                    return self._refuse(
                        refusals.Refusal(502, refusals.RefusalReason.POISON)
                    )
                hopeless = self._refuse_if_hopeless()
                if hopeless is not None:
                    return self._refuse(hopeless)
                if self._start_try():
                    access.metrics.count(
                        "repeats_total", kind="call", end=outcome.end.value
                    )
                    continue
                # Another request may have used the last retry meanwhile.
                step = self._decide_next_step(outcome)
            if self._pending:
                continue
            if outcome.end is retries.TryEnd.FAILED:
                return self._deliver(outcome)
            refusal = step.refusal
            if refusal is None or (
                refusal.reason is refusals.RefusalReason.NO_TARGET
            ):
                refusal = self._no_target_refusal()
            return self._refuse(refusal)

    def _refuse_if_hopeless(self) -> refusals.Refusal | None:
        """Return a refusal if every target stays full for too long."""
        if self._pending or self._tries.may_have_run:
            return None
        return returns.refuse_hopeless_call(self._access, self._job)

    async def _cancel_tries(self) -> None:
        for task in self._pending:
            task.cancel()
        if self._pending:
            await asyncio.wait(self._pending)

    def _start_try(self) -> bool:
        access = self._access
        target = access.choose_call_target(
            self._job,
            self._avoid,
            first_try=not self.targets,
        )
        if target is None or (self._pending and target.id in self._avoid):
            return False
        # A retry is spent before other requests decide on the same one.
        spent_at = access.clock() if self._tries.sent else None
        if spent_at is not None:
            budget = access.budget(self._job.service.name)
            if not budget.try_spend(spent_at):
                return False
        is_repeated = target.id in self.targets
        self._avoid.add(target.id)
        self.targets.append(target.id)
        # The try is counted before it connects, so that no other try exceeds
        # the route's number of targets in the meantime.
        self._tries.record_send()
        task = asyncio.get_running_loop().create_task(
            self._try(target, spent_at, is_repeated)
        )
        self._pending.add(task)
        return True

    async def _next_outcome(self) -> TryOutcome | None:
        while True:
            now = self._access.clock()
            remaining_s = self._job.remaining_s(now)
            if remaining_s <= 0:
                return None
            can_hedge = self._can_hedge(now)
            timeout = (
                min(remaining_s, self._hedge_delay_s())
                if can_hedge
                else remaining_s
            )
            done, _ = await asyncio.wait(
                self._pending,
                timeout=timeout,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                task = done.pop()
                self._pending.discard(task)
                return task.result()
            if can_hedge and self._start_try():
                self._access.metrics.count("hedges_total")
            elif can_hedge:
                self._no_hedge_target = True

    def _hedge_delay_s(self) -> float:
        return max(
            MIN_HEDGE_DELAY_S, HEDGE_SHARE * self._job.route.latency_goal_s
        )

    def _can_hedge(self, now: float) -> bool:
        route = self._job.route
        return (
            route.kind is routes.CallKind.IDEMPOTENT
            and not self._no_hedge_target
            and len(self._pending) == 1
            and 0 < self._tries.sent < route.max_targets
            and self._access.budget(self._job.service.name).remaining(now) > 0
        )

    async def _try(
        self,
        target: targets.Target,
        spent_at: float | None,
        is_repeated: bool,
    ) -> TryOutcome:
        outcome = await self._open_and_send(target, is_repeated)
        if outcome.end is retries.TryEnd.NOT_SENT and spent_at is not None:
            budget = self._access.budget(self._job.service.name)
            budget.give_back(spent_at)
        return outcome

    async def _open_and_send(
        self, target: targets.Target, is_repeated: bool
    ) -> TryOutcome:
        access = self._access
        with access.counting_in_flight(target):
            try:
                # A late answer to the former try has the same id as the
                # answer to this one.
                conn = await access.open(
                    target, force_new=self._job.req.is_head or is_repeated
                )
            except connections.ConnectError:
                self._tries.record_not_sent()
                return TryOutcome(target, retries.TryEnd.NOT_SENT)
            return await self._send_and_read(target, conn)

    async def _send_and_read(
        self, target: targets.Target, conn: connections.ClientConnection
    ) -> TryOutcome:
        access, job = self._access, self._job
        now = access.clock()
        if not access.is_ready(target) or access.is_poison(job):
            # The target announced that it leaves, or the request was
            # quarantined, while this instance connected.
            conn.close()
            self._tries.record_not_sent()
            return TryOutcome(target, retries.TryEnd.NOT_SENT)
        reused = conn.uses > 0
        load = max(0.0, placement.load_of(target) - 1)
        access.rollouts.record_send(target)
        if job.req.is_head:
            conn.expect_no_body()
        conn.request = job.head.attempt_id
        conn.holding = job.req.holding
        conn.read_limit_bytes = READ_LIMIT_BYTES
        conn.send(
            access.encode(
                job,
                protocol.Dispatch(
                    target=target.listed,
                    remaining_ms=max(1, round(job.remaining_s(now) * 1000)),
                    organisation=_organisation_id(job),
                    rank=job.rank,
                    resume_after=job.head.resume_after,
                ),
            )
        )
        answer: TargetAnswer | connections.ConnectionEnd | None = None
        record = access.quarantine.begin_run(job, target)
        trial = target.availability.begin_trial(now)
        try:
            answer = await read_answer(
                conn,
                access.wire,
                job.head.attempt_id,
                lambda head: access.announcements.handle_head(
                    target, head, job.head.attempt_id
                ),
                lambda status, head: access.anomalies.record_skipped_answer(
                    target.id, conn, status, head
                ),
            )
        finally:
            answered = isinstance(answer, TargetAnswer)
            target.availability.end_trial(trial)
            if not answered:
                access.quarantine.end_run(record, answered=False)
            if isinstance(answer, TargetAnswer) and answer.head.close:
                access.anomalies.record_obstacle(target.id, conn)
            if not isinstance(answer, TargetAnswer) or answer.head.close:
                conn.abort()
        if not isinstance(answer, TargetAnswer):
            access.record_broken_answer(target, answer, job, conn)
            access.record_lost_run(job, target, now, "answer broke off")
            access.schedule_crash_attribution(job, target)
            # The target may have closed a reused connection because it was
            # idle, or an answer that was not read for lack of memory, so this
            # is no failure of the target.
            if answer.is_fault or not (reused or conn.has_waited_for_memory):
                target.record_failure(access.clock())
                self._tries.without_progress += 1
            return TryOutcome(target, retries.TryEnd.LOST)
        self._end_record(record, answer, conn)
        if not answer.head.close:
            access.pool.release(
                target.listed, conn, answer.head.idle_timeout_s
            )
        if answer.head.not_run:
            return self._handle_not_run(target, answer)
        target.availability.record_acceptance()
        is_failure = answer.status >= 500 or self._must_withhold(answer)
        access.rollouts.record_answer(
            target,
            job.route.name,
            failed=is_failure,
            took_s=access.clock() - now,
        )
        if is_failure:
            return TryOutcome(target, retries.TryEnd.FAILED, answer)
        target.record_success(access.clock())
        if answer.status < 300 and not conn.has_waited_for_memory:
            self._sample_pace(target, now, load)
        return TryOutcome(target, None, answer)

    def _sample_pace(
        self, target: targets.Target, sent_at: float, load: float
    ) -> None:
        """Record the duration of a call, unless it has other causes.

        The round trip to another region takes as long as the work.
        """
        access, listed = self._access, target.listed
        if (
            not self._job.req.is_head
            and sent_at >= target.warm_at
            and access.directory.get(target.id) is target
            and access.is_same_region(listed)
        ):
            access.pace.record_call(
                listed.service, listed.id, sent_at=sent_at, load=load
            )
            access.call_times(listed.service).record(access.clock() - sent_at)

    def _end_record(
        self,
        record: ledgers.RunRecord,
        answer: TargetAnswer,
        conn: connections.ClientConnection,
    ) -> None:
        """End the record of a run whose target has answered."""
        quarantine = self._access.quarantine
        # An answer to HEAD does not show that its body would be complete.
        is_success = (
            answer.status < 300
            and not answer.head.not_run
            and not self._job.req.is_head
        )
        if is_success and conn.ended_answer_by_closing:
            quarantine.end_with_connection(record)
            return
        quarantine.end_run(record, answered=True)
        if is_success:
            quarantine.record_success(record)

    def _handle_not_run(
        self, target: targets.Target, answer: TargetAnswer
    ) -> TryOutcome:
        self._tries.record_not_run()
        if answer.head.wrong_target:
            self._access.record_replacement(target)
        elif not answer.head.leaving:
            target.availability.record_rejection(self._access.clock())
        return TryOutcome(target, retries.TryEnd.NOT_RUN, answer)

    def _decide_next_step(self, outcome: TryOutcome) -> retries.Step:
        assert outcome.end is not None
        access, job = self._access, self._job
        now = access.clock()
        self._tries.lost = job.lost_targets
        has_other_targets = any(
            target.id not in self._avoid
            for target in access.candidates(job.service.name)
        )
        return retries.decide_next_step(
            outcome.end,
            self._tries,
            is_retryable=job.route.is_retryable,
            max_targets=job.route.max_targets,
            remaining_s=job.remaining_s(now),
            has_other_targets=has_other_targets,
            has_budget=access.budget(job.service.name).remaining(now) > 0,
            is_poison=access.is_poison(job),
        )

    def _timeout_refusal(self) -> refusals.Refusal:
        reason = refusals.RefusalReason.TIMED_OUT
        if self._tries.may_have_run:
            return refusals.Refusal(504, reason)
        return refusals.refuse_not_run(reason, retries.RETRY_AFTER_FULL_S)

    def _no_target_refusal(self) -> refusals.Refusal:
        return self._access.refuse_without_target(self._job, self._tries)

    def _must_withhold(self, answer: TargetAnswer) -> bool:
        """Return whether a caller could run a request twice on an answer."""
        return (
            answer.head.is_promise_unfounded
            and not self._job.route.is_retryable
        )

    def _deliver(self, outcome: TryOutcome) -> str:
        assert outcome.answer is not None
        answer = outcome.answer
        head = answer.head
        if self._must_withhold(answer):
            self._access.anomalies.record_withheld_answer(
                outcome.target.id, self._job.head.attempt_id, answer.status
            )
            return self._refuse(retries.refuse_unknown_outcome())
        if self._job.req.is_head:
            self._responder.send_head(
                answer.status, head.forwarded, head.body_bytes
            )
        else:
            self._responder.send(answer.status, head.forwarded, answer.body)
        return f"answered_{answer.status}"

    def _refuse(self, refusal: refusals.Refusal) -> str:
        access = self._access
        refusal = returns.adjust(access, self._job, refusal)
        accesses.send_refusal(
            self._responder, access.wire, self._job.head.attempt_id, refusal
        )
        return f"refused_{refusal.status}_{refusal.reason.value}"

    def _log_failed_try(self, outcome: TryOutcome) -> None:
        assert outcome.end is not None
        access = self._access
        access.metrics.count("tries_failed_total", end=outcome.end.value)
        answer = outcome.answer
        access.log.write(
            "try_failed",
            request=self._job.head.attempt_id,
            target=outcome.target.id,
            end=outcome.end.value,
            fingerprint=(
                self._job.fingerprint
                if outcome.end is retries.TryEnd.LOST
                else None
            ),
            status=answer.status if answer is not None else None,
            tries=self._tries.sent,
            left_ms=round(self._job.remaining_s(access.clock()) * 1000),
        )


async def read_answer(
    conn: connections.ClientConnection,
    wire: protocol.WireFormat,
    attempt_id: str | None,
    on_head: Callable[[protocol.AnswerHead], None] = lambda head: None,
    on_skip: Callable[[int, protocol.AnswerHead], None] = lambda *_: None,
) -> TargetAnswer | connections.ConnectionEnd:
    """Return the complete answer to a request, or how it broke off.

    Late answers to earlier requests are skipped. If one of them is not
    completed in time, the answer that follows it can't be recognised. The
    memory of an answer that broke off is released.
    """
    holding = None if conn.is_head else conn.holding
    with answers.AnswerRoom(holding, conn.limits.answer_bytes) as room:
        answer = await _read_into(
            room, conn, wire, attempt_id, on_head, on_skip
        )
        conn.has_waited_for_memory = room.has_waited
        if isinstance(answer, TargetAnswer):
            room.keep()
    return answer


async def _read_into(
    room: answers.AnswerRoom,
    conn: connections.ClientConnection,
    wire: protocol.WireFormat,
    attempt_id: str | None,
    on_head: Callable[[protocol.AnswerHead], None],
    on_skip: Callable[[int, protocol.AnswerHead], None],
) -> TargetAnswer | connections.ConnectionEnd:
    def is_expected(head: protocol.AnswerHead, status: int) -> bool:
        if head.attempt_id is None:
            # Only the first answer on a connection needs no id.
            return conn.uses == 1 and status >= 300
        return head.attempt_id == attempt_id

    start: connections.AnswerStart | None = None
    head: protocol.AnswerHead | None = None
    parts: list[bytes] = []
    # End of the last part, as a status line may arrive in two.
    overlap = b""
    body_bytes, skipped_answers = 0, 0
    timeout_s: float | None = None
    while True:
        item = await conn.next(timeout_s)
        if item is None:
            if timeout_s is None:
                continue
            return connections.ConnectionEnd.GARBLED
        if isinstance(item, connections.AnswerStart):
            start = item
            head = wire.read_answer(item.status, item.headers)
            if is_expected(head, item.status):
                on_head(head)
            else:
                on_skip(item.status, head)
                timeout_s = connections.STALE_ANSWER_TIMEOUT_S
            parts.clear()
            overlap = b""
            await room.reserve(head.body_bytes or 0)
        elif isinstance(item, bytes):
            body_bytes += len(item)
            if body_bytes > conn.limits.answer_bytes:
                return connections.ConnectionEnd.OVERSIZED
            await room.reserve(body_bytes)
            # An answer that another one breaks off may never end.
            if conn.holds_answer_head(overlap + item, wire.attempt_id_name):
                return connections.ConnectionEnd.GARBLED
            overlap = item[-joined.STATUS_LINE_BYTES :]
            parts.append(item)
        elif item is connections.ConnectionEnd.ANSWER_COMPLETE:
            assert start is not None and head is not None
            if is_expected(head, start.status):
                body = b"".join(parts)
                if conn.is_answer_joined(body, wire.attempt_id_name):
                    return connections.ConnectionEnd.GARBLED
                return TargetAnswer(start.status, head, body)
            skipped_answers += 1
            if skipped_answers > conn.limits.passed_over:
                return connections.ConnectionEnd.OVERSIZED
            timeout_s = None
            conn.expect_next_answer()
        else:
            return item


def _organisation_id(job: jobs.Job) -> ids.OrganisationId | None:
    return None if job.organisation is None else job.organisation.id
