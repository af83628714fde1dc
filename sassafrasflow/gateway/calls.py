"""Requests with one short answer."""

import asyncio
from collections.abc import Callable

import msgspec

from sassafrasflow import ids
from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import refusals
from sassafrasflow.gateway import responses
from sassafrasflow.gateway import retries
from sassafrasflow.gateway import routes
from sassafrasflow.gateway import targets

__all__ = ["CallSession"]

# A repeatable request gets a second target after this share of its latency
# goal: an ordinary answer takes a sixth of it, and the second one still
# comes in time.
HEDGE_SHARE = 0.5
MIN_HEDGE_S = 0.1


class TargetAnswer(msgspec.Struct, frozen=True):
    """Hold a whole answer of a target."""

    status: int
    head: protocol.AnswerHead
    body: bytes


class Outcome(msgspec.Struct, frozen=True):
    """Tell how one try ended."""

    target: targets.Target
    end: retries.TryEnd | None
    answer: TargetAnswer | None = None


class CallSession:
    """Bring one request to an answer."""

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
        self._pending: set[asyncio.Task[Outcome]] = set()
        self.targets: list[ids.TargetId] = []
        # No other target was there for a second try.
        self._hedged = False

    def ending(self, outcome: str) -> jobs.Ending:
        """Return what the log tells of the request."""
        return jobs.Ending(outcome, tuple(self.targets))

    async def run(self) -> str:
        """Answer the request; return the outcome for the log."""
        try:
            return await self._run()
        finally:
            await self._stop_tries()

    async def _run(self) -> str:
        access = self._access
        if not self._start_try():
            return self._refuse(self._no_target())
        while True:
            outcome = await self._next_outcome()
            if outcome is None:
                return self._refuse(self._timeout())
            if outcome.end is None:
                assert outcome.answer is not None
                return self._deliver(outcome)
            self._log_try(outcome)
            step = self._step(outcome)
            if step.next is retries.Next.TRY_AGAIN:
                if not await access.may_try_again(self._job, self._tries):
                    return self._refuse(
                        refusals.Refusal(502, refusals.RefusalReason.POISON)
                    )
                if self._start_try():
                    access.metrics.count(
                        "repeats_total", kind="call", end=outcome.end.value
                    )
                    continue
            if self._pending:
                continue
            if outcome.end is retries.TryEnd.FAILED:
                return self._deliver(outcome)
            refusal = step.refusal
            if refusal is None or (
                refusal.reason is refusals.RefusalReason.NO_TARGET
            ):
                refusal = self._no_target()
            return self._refuse(refusal)

    async def _stop_tries(self) -> None:
        for task in self._pending:
            task.cancel()
        if self._pending:
            await asyncio.wait(self._pending)

    def _start_try(self) -> bool:
        access = self._access
        target = access.choose(
            self._job,
            self._avoid,
            first_try=not self.targets,
        )
        if target is None or (self._pending and target.id in self._avoid):
            return False
        self._avoid.add(target.id)
        self.targets.append(target.id)
        # Counted before the connection is there: another try must not
        # start meanwhile beyond the route's number of targets.
        self._tries.note_send()
        task = asyncio.get_running_loop().create_task(self._try(target))
        self._pending.add(task)
        return True

    async def _next_outcome(self) -> Outcome | None:
        while True:
            now = self._access.clock()
            left_s = self._job.left_s(now)
            if left_s <= 0:
                return None
            may_hedge = self._may_hedge(now)
            timeout = min(left_s, self._hedge_s()) if may_hedge else left_s
            done, _ = await asyncio.wait(
                self._pending,
                timeout=timeout,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if done:
                task = done.pop()
                self._pending.discard(task)
                return task.result()
            if may_hedge and self._start_try():
                self._access.metrics.count("hedges_total")
            elif may_hedge:
                self._hedged = True

    def _hedge_s(self) -> float:
        return max(MIN_HEDGE_S, HEDGE_SHARE * self._job.route.latency_goal_s)

    def _may_hedge(self, now: float) -> bool:
        route = self._job.route
        return (
            route.kind is routes.CallKind.IDEMPOTENT
            and not self._hedged
            and len(self._pending) == 1
            and 0 < self._tries.sent < route.max_targets
            and self._access.budget(self._job.service.name).left(now) > 0
        )

    async def _try(self, target: targets.Target) -> Outcome:
        access = self._access
        with access.working(target):
            try:
                conn = await access.open(target)
            except connections.ConnectError:
                self._tries.note_not_sent()
                return Outcome(target, retries.TryEnd.NOT_SENT)
            return await self._exchange(target, conn)

    async def _exchange(
        self, target: targets.Target, conn: connections.ClientConnection
    ) -> Outcome:
        access, job = self._access, self._job
        now = access.clock()
        if not access.takes_work(target):
            conn.close()
            self._tries.note_not_sent()
            return Outcome(target, retries.TryEnd.NOT_SENT)
        if self._tries.sent > 1:
            access.budget(job.service.name).take(now)
        reused = conn.uses > 0
        access.releases.note_send(target)
        conn.send(
            access.encode(
                job,
                protocol.Dispatch(
                    target=target.listed,
                    left_ms=max(1, round(job.left_s(now) * 1000)),
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
            )
        finally:
            answered = isinstance(answer, TargetAnswer)
            target.availability.end_trial(trial)
            access.quarantine.end_run(record, answered=answered)
            if not isinstance(answer, TargetAnswer) or answer.head.close:
                conn.abort()
        if not isinstance(answer, TargetAnswer):
            access.note_broken(target, answer, job)
            access.check_later(target, "answer broke off")
            access.suspect_later(job, target)
            # A connection that was used before may have been closed idle.
            if not reused or answer.is_fault:
                target.record_failure(access.clock())
                self._tries.fruitless += 1
            return Outcome(target, retries.TryEnd.LOST)
        if not answer.head.close:
            access.pool.release(
                target.listed, conn, answer.head.idle_timeout_s
            )
        if answer.head.not_run:
            return self._not_run(target, answer)
        if answer.status < 300:
            access.quarantine.note_success(job, target)
        access.releases.note_answer(
            target,
            job.route.name,
            failed=answer.status >= 500,
            took_s=access.clock() - now,
        )
        if answer.status >= 500:
            return Outcome(target, retries.TryEnd.FAILED, answer)
        target.record_success(access.clock())
        return Outcome(target, None, answer)

    def _not_run(
        self, target: targets.Target, answer: TargetAnswer
    ) -> Outcome:
        self._tries.note_not_run()
        if answer.head.wrong_target:
            self._access.note_replaced(target)
        return Outcome(target, retries.TryEnd.NOT_RUN, answer)

    def _step(self, outcome: Outcome) -> retries.Step:
        assert outcome.end is not None
        access, job = self._access, self._job
        now = access.clock()
        if outcome.target.health(now) is targets.Health.LOST and (
            outcome.end is retries.TryEnd.LOST
        ):
            self._tries.lost += 1
        others = any(
            target.id not in self._avoid
            for target in access.candidates(job.service.name)
        )
        return retries.after_try(
            outcome.end,
            self._tries,
            repeatable=job.route.repeatable,
            max_targets=job.route.max_targets,
            left_s=job.left_s(now),
            others=others,
            budget_left=access.budget(job.service.name).left(now) > 0,
            poisonous=access.is_poison(job),
        )

    def _timeout(self) -> refusals.Refusal:
        reason = refusals.RefusalReason.TIMED_OUT
        if self._tries.may_have_run:
            return refusals.Refusal(504, reason)
        return refusals.refuse_unsent(reason, retries.RETRY_SOON_S)

    def _no_target(self) -> refusals.Refusal:
        return self._access.refuse_without_target(self._job, self._tries)

    def _deliver(self, outcome: Outcome) -> str:
        assert outcome.answer is not None
        answer = outcome.answer
        self._responder.send(answer.status, answer.head.forwarded, answer.body)
        return f"answered_{answer.status}"

    def _refuse(self, refusal: refusals.Refusal) -> str:
        access = self._access
        accesses.send_refusal(
            self._responder, access.wire, self._job.head.attempt_id, refusal
        )
        return f"refused_{refusal.status}_{refusal.reason.value}"

    def _log_try(self, outcome: Outcome) -> None:
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
            left_ms=round(self._job.left_s(access.clock()) * 1000),
        )


async def read_answer(
    conn: connections.ClientConnection,
    wire: protocol.WireFormat,
    attempt_id: str | None,
    on_head: Callable[[protocol.AnswerHead], None] = lambda head: None,
) -> TargetAnswer | connections.ConnectionEnd:
    """Return the whole answer to a request, or how it broke off.

    Answers to earlier requests that arrive late are passed over.
    """

    def is_answer(head: protocol.AnswerHead, status: int) -> bool:
        return head.attempt_id == attempt_id or (
            head.attempt_id is None and status >= 300
        )

    start: connections.AnswerStart | None = None
    head: protocol.AnswerHead | None = None
    parts: list[bytes] = []
    taken, passed_over = 0, 0
    while True:
        item = await conn.next()
        if isinstance(item, connections.AnswerStart):
            start = item
            head = wire.read_answer(item.status, item.headers)
            if is_answer(head, item.status):
                on_head(head)
            parts.clear()
        elif isinstance(item, bytes):
            taken += len(item)
            if taken > conn.limits.answer_bytes:
                return connections.ConnectionEnd.OVERSIZED
            parts.append(item)
        elif item is connections.ConnectionEnd.ANSWER_COMPLETE:
            assert start is not None and head is not None
            if is_answer(head, start.status):
                return TargetAnswer(start.status, head, b"".join(parts))
            passed_over += 1
            if passed_over > conn.limits.passed_over:
                return connections.ConnectionEnd.OVERSIZED
            conn.expect_another()
        elif item is not None:
            return item


def _organisation_id(job: jobs.Job) -> ids.OrganisationId | None:
    return None if job.organisation is None else job.organisation.id
