"""One run of a stream at one target."""

import asyncio
from collections.abc import Callable
import contextlib

import msgspec

from sassafrasflow.admission import room as rooms
from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import availability
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import copies
from sassafrasflow.gateway import events
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import ledger as ledgers
from sassafrasflow.gateway import placement
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import retries
from sassafrasflow.gateway import silence as silences
from sassafrasflow.gateway import targets
from sassafrasflow.memory import answers

__all__ = ["Plan", "Prefill", "Run", "RunEnd"]

# A copy starts with the first event. Of 10 runs lost up to 0.17 s after it
# none had a copy yet; those lost after 0.39 s had one.
MIN_COPY_DELAY_S = 0.1
# A timer that fires this late shows that this process was suspended, so the
# silence says nothing about the target.
LATE_TIMER_S = 0.1
# Gaps of one sample of a target's pace. It takes a second, in which the load
# at the send still describes the target.
SAMPLED_GAPS = 32
# Share of this time that is spent waiting for the target. It is less if the
# caller reads slowly or this process is busy.
MIN_WAITING_SHARE = 0.8


class Plan(msgspec.Struct, frozen=True):
    """Target of the next run, and the holder of its copy."""

    target: targets.Target
    # Copy held by the target to resume from, if any.
    copy: copies.Copy | None
    copy_holder: targets.Target | None
    # Tokens of the stream; None if the service states no memory.
    demand: rooms.Demand | None = None

    @property
    def from_copy(self) -> bool:
        return self.copy is not None

    @property
    def tokens(self) -> int:
        """Return the tokens that the stream takes in a target's memory."""
        return 0 if self.demand is None else self.demand.tokens


class RunEnd(msgspec.Struct, frozen=True):
    """How a run ended; ``end`` is ``None`` for a complete answer."""

    end: retries.TryEnd | None
    cause: str = ""
    # Failure answer of the target, sent to the caller if no other target
    # can answer.
    failure: tuple[int, protocol.AnswerHead, bytes] | None = None


class Prefill(contextlib.AbstractContextManager["Prefill"]):
    """Count a run as a prefill at its target until its first event."""

    def __init__(
        self,
        target: targets.Target,
        from_copy: bool,
        demand: rooms.Demand | None = None,
    ) -> None:
        self._target = target
        self._counted = not from_copy
        self._tokens = 0 if demand is None else demand.prefill_tokens

    def __enter__(self) -> "Prefill":
        if self._counted:
            self._target.prefills += 1
            self._target.prefill_tokens += self._tokens
        return self

    def __exit__(self, *_: object) -> None:
        self.end()

    def end(self) -> bool:
        """Stop counting the run as a prefill; return whether it counted."""
        if not self._counted:
            return False
        self._counted = False
        self._target.prefills -= 1
        self._target.prefill_tokens -= self._tokens
        return True


class Run:
    """Send a stream's request to one target and track the answer."""

    def __init__(
        self,
        access: accesses.TargetAccess,
        job: jobs.Job,
        plan: Plan,
        conn: connections.ClientConnection,
        can_move: Callable[["Run"], bool],
    ) -> None:
        self.plan = plan
        self.conn = conn
        self.splitter = events.EventSplitter()
        self.head: protocol.AnswerHead | None = None
        self.status = 0
        self.failure = bytearray()
        self._failure_room = answers.AnswerRoom(
            job.req.holding, conn.limits.answer_bytes
        )
        # Why the run is over, although its connection has not ended.
        self.lost_cause: str | None = None
        # Why the stream is to go on at another target, as soon as one accepts
        # it.
        self.leave_cause: str | None = None
        # Events that were delivered to the caller.
        self.events = 0
        self._access = access
        self._job = job
        # Whether the stream may try to go on at another target now.
        self._can_move = can_move
        self._first_event_at: float | None = None
        self.sent_at = access.clock()
        self.silence = silences.SilenceMonitor(
            access.clock(),
            max_pause_s=job.route.max_pause_s,
            has_copy=plan.copy_holder is not None,
        )
        self._liveness_check: asyncio.Task[bool] | None = None
        # A check that began before this is too old for the silence.
        self._asked_at = 0.0
        self._returned_to_pool = False
        self._overdue_at: float | None = None
        self._kept = False
        # Limit of the silence for which a failure was recorded.
        self._failed_silence_at: float | None = None
        # Bytes of failures and stale answers, which are not part of the
        # stream, and the number of stale answers.
        self._non_stream_bytes = 0
        self._skipped_answers = 0
        # When the current answer began, if it is stale.
        self._stale_since: float | None = None
        self._record: ledgers.RunRecord | None = None
        self._trial: availability.TrialRequest | None = None
        # Whether the run may be a sample of its target's pace.
        self._is_sampled = False
        # Load of the target without this run when it was sent.
        self._load_at_send = 0.0
        # Time spent waiting for the target since the first event.
        self._waited_s = 0.0

    @property
    def is_stream_answer(self) -> bool:
        return self.status == 200 and not self.is_stale_answer

    @property
    def is_stale_answer(self) -> bool:
        """Return whether the current answer belongs to an earlier request."""
        if self.head is None:
            return False
        if self.head.attempt_id is None:
            # Only the first answer on a connection needs no id.
            return self.conn.uses > 1
        return self.head.attempt_id != self._job.head.attempt_id

    def record_event(self, now: float) -> None:
        """Record that an event was delivered."""
        self.events += 1
        self.leave_cause = None
        self.silence.record_event(now)
        if self._record is not None:
            self._access.quarantine.record_event(self._record, now)
        if self._first_event_at is not None:
            self._sample_gaps(now)
            return
        self._first_event_at = now
        self._waited_s = 0.0
        self._sample_first_event()
        self._access.rollouts.record_answer(
            self.plan.target,
            self._job.route.name,
            failed=False,
            # A run that resumes from a copy has no prefill to measure.
            took_s=None if self.plan.from_copy else now - self.sent_at,
        )

    def _sample_first_event(self) -> None:
        if self._can_sample():
            listed = self.plan.target.listed
            self._access.pace.record_first_event(
                listed.service,
                listed.id,
                sent_at=self.sent_at,
                prompt_tokens=self._job.head.prompt_tokens,
                load=self._load_at_send,
            )

    def _sample_gaps(self, now: float) -> None:
        if self.events != SAMPLED_GAPS + 1 or not self._can_sample():
            return
        assert self._first_event_at is not None
        passed_s = now - self._first_event_at
        if self._waited_s < MIN_WAITING_SHARE * passed_s:
            return
        listed = self.plan.target.listed
        self._access.pace.record_events(
            listed.service,
            listed.id,
            first_at=self._first_event_at,
            gaps=SAMPLED_GAPS,
            load=self._load_at_send,
        )

    def _can_sample(self) -> bool:
        """Return whether nothing but the target has delayed the run so far."""
        holder = self.plan.copy_holder
        return (
            self._is_sampled
            and not self._skipped_answers
            # The samples of a target without an entry were dropped.
            and self._access.directory.get(self.plan.target.id)
            is self.plan.target
            and not self.plan.target.is_lost_since(self.sent_at)
            and (holder is None or not holder.is_lost_since(self.sent_at))
        )

    def has_copy(self) -> bool:
        """Return whether a copy of the run's KV cache is likely to exist."""
        first = self._first_event_at
        return first is not None and (
            self._access.clock() - first > MIN_COPY_DELAY_S
        )

    def send(self, tries: retries.Tries, resume_after: int | None) -> None:
        """Send the request, to resume after the given event id, if any."""
        access, job, plan = self._access, self._job, self.plan
        now = access.clock()
        tries.record_send()
        self.sent_at = now
        # A run after a loss waits among many others that were lost as well.
        self._is_sampled = (
            not plan.from_copy
            and resume_after is None
            and not job.lost_runs
            and now >= plan.target.warm_at
            and access.directory.get(plan.target.id) is plan.target
        )
        own_load = 1 + placement.PREFILL_LOAD_REQUESTS * (not plan.from_copy)
        self._load_at_send = max(
            0.0, placement.load_of(plan.target) - own_load
        )
        access.rollouts.record_send(plan.target)
        holder = plan.copy_holder
        organisation = job.organisation
        dispatch = protocol.Dispatch(
            target=plan.target.listed,
            remaining_ms=max(1, round(job.remaining_s(now) * 1000)),
            organisation=None if organisation is None else organisation.id,
            rank=job.rank,
            copy_to=None if holder is None else holder.listed,
            from_copy=plan.from_copy,
            copy_source=None if plan.copy is None else plan.copy.source,
            copy_handle=None if plan.copy is None else plan.copy.handle,
            resume_after=resume_after,
        )
        self._record = access.quarantine.begin_run(job, plan.target)
        self._trial = plan.target.availability.begin_trial(now)
        self.conn.request = job.head.attempt_id
        self.conn.holding = job.req.holding
        self.conn.read_limit_bytes = connections.READ_LIMIT_BYTES
        self.conn.send(access.encode(job, dispatch))

    async def next(self) -> connections.Item | None:
        """Return the next item; if there is none, check the silence."""
        access = self._access
        started_at = access.clock()
        remaining_s = self._job.remaining_s(started_at)
        if self._stale_since is not None:
            stale_s = started_at - self._stale_since
            remaining_s = min(
                remaining_s, connections.STALE_ANSWER_TIMEOUT_S - stale_s
            )
        if self.leave_cause is not None:
            item = await self._receive(remaining_s)
            if item is None:
                self._check_stale_answer()
            return item
        self._record_sign_of_life()
        wait_s = max(0.0, min(self.silence.due_at() - started_at, remaining_s))
        if self._liveness_check is not None:
            wait_s = max(wait_s, 0.05)
        item = await self._receive(wait_s)
        if item is None and not self._check_stale_answer():
            self._check_silence(started_at + wait_s)
        return item

    async def _receive(self, timeout_s: float) -> connections.Item | None:
        started_at = self._access.clock()
        try:
            return await self.conn.next(timeout_s)
        finally:
            self._waited_s += self._access.clock() - started_at

    def _check_stale_answer(self) -> bool:
        """Give up if the rest of an answer to an earlier request is late.

        The answer that follows it can't be recognised.
        """
        if (
            self._stale_since is None
            or self._access.clock() - self._stale_since
            < connections.STALE_ANSWER_TIMEOUT_S
        ):
            return False
        self.lost_cause = "unfinished answer to an earlier request"
        return True

    def handle_head(self, item: connections.AnswerStart) -> None:
        """Handle the status line and headers of an answer."""
        self.status = item.status
        self.head = self._access.wire.read_answer(item.status, item.headers)
        if self.is_stale_answer:
            self._stale_since = self._access.clock()
            self._access.anomalies.record_skipped_answer(
                self.plan.target.id, self.conn, self.status, self.head
            )
            return
        target = self.plan.target
        self._access.announcements.handle_head(
            target, self.head, self._job.head.attempt_id
        )
        target.availability.end_trial(self._trial)

    async def append_failure(self, content: bytes) -> bool:
        """Store part of a failure; return whether it is within the limit.

        Raises
        ------
        TimeoutError : there is no memory for it before the deadline
        """
        self._non_stream_bytes += len(content)
        if not self.is_stale_answer:
            size = len(self.failure) + len(content)
            if self.head is not None and self.head.body_bytes is not None:
                size = max(size, self.head.body_bytes)
            remaining_s = self._job.remaining_s(self._access.clock())
            async with asyncio.timeout(max(0.0, remaining_s)):
                await self._failure_room.reserve(size)
            self.failure += content
        return self._non_stream_bytes <= self.conn.limits.answer_bytes

    def take_failure(self) -> bytes:
        """Return a complete failure, and drop what was read of it."""
        body = bytes(self.failure)
        self.failure.clear()
        return body

    def is_joined_failure(self) -> bool:
        """Return whether a complete failure holds another answer."""
        return self.conn.is_answer_joined(
            bytes(self.failure), self._access.wire.attempt_id_name
        )

    def skip_answer(self) -> bool:
        """Skip a stale answer; return whether another may follow."""
        self.head = None
        self.status = 0
        self._stale_since = None
        self._skipped_answers += 1
        self.conn.expect_next_answer()
        return self._skipped_answers <= self.conn.limits.passed_over

    def check_events(self) -> None:
        """Leave a target whose bytes contain no event.

        The limit has to be exceeded in two checks some time apart, because
        one late check may come from a suspension of this process.
        """
        if self.leave_cause is not None:
            return
        now = self._access.clock()
        if now < self.silence.limit_at():
            self._overdue_at = None
        elif self._overdue_at is None:
            self._overdue_at = now
        if self._overdue_at is None or now - self._overdue_at <= LATE_TIMER_S:
            return
        self._overdue_at = now
        self._leave("bytes without events")

    def stay(self) -> None:
        """Go on at the target, as no other one has accepted the stream."""
        assert self.leave_cause is not None
        now = self._access.clock()
        self._log_kept(self.leave_cause)
        self.leave_cause = None
        self.silence.record_check(now)
        self.silence.keep(now)

    def suspect_crash(self) -> None:
        """Let the crash of a lost target be attributed to the run already."""
        is_lost = self.plan.target.lost_at is not None
        if self._record is not None and is_lost:
            self._access.quarantine.end_run(self._record, answered=False)

    def record_success(self) -> None:
        """Record a whole answer, unless its end may have been a crash."""
        if self._record is None:
            return
        if self.conn.ended_answer_by_closing:
            self._access.quarantine.end_with_connection(self._record)
            self._record = None
        else:
            self._access.quarantine.record_success(self._record)

    def finish(self) -> None:
        """End the run after a complete answer, and pool its connection."""
        assert self.head is not None
        self._end_record(answered=True)
        target = self.plan.target
        if self.head.close:
            self._access.anomalies.record_obstacle(target.id, self.conn)
            return
        self._returned_to_pool = True
        self._access.pool.release(
            target.listed, self.conn, self.head.idle_timeout_s
        )

    def release(self) -> None:
        """Release the run's resources, and stop it if it has not finished."""
        if self._liveness_check is not None:
            self._liveness_check.cancel()
        self._end_record(answered=False)
        self.plan.target.availability.end_trial(self._trial)
        if not self._returned_to_pool:
            self.conn.discard()

    def report_joined_answer(self) -> None:
        """Report the answer if it consists of parts of two."""
        if self.conn.is_joined or self.splitter.is_joined:
            self._access.anomalies.record_joined_answer(
                self.plan.target.id, self.conn
            )

    def _end_record(self, *, answered: bool) -> None:
        if self._record is not None:
            self._access.quarantine.end_run(self._record, answered=answered)
            self._record = None

    def handle_broken_answer(self) -> None:
        """Record a failure of the target."""
        self.report_joined_answer()
        self._access.anomalies.record_invalid_status(
            self.plan.target.id, self.conn
        )
        self.plan.target.record_failure(self._access.clock())

    def _leave(self, cause: str) -> bool:
        """Return whether the stream leaves, or tries to leave, the target.

        A silent target may still be working, also without an entry. Unless
        the stream can go on elsewhere, leaving it would only cut the answer
        sooner.
        """
        if self.plan.target.replaced:
            self.lost_cause = cause
            return True
        if self._can_move(self):
            self.leave_cause = cause
            return True
        return False

    def _check_silence(self, expected_at: float) -> None:
        access = self._access
        now = access.clock()
        if now - expected_at > LATE_TIMER_S:
            self.silence.record_check(now)
            return
        if self._liveness_check is not None:
            if not self._liveness_check.done():
                return
            alive = self._liveness_check.result()
            self._liveness_check = None
            if not alive:
                cause = "silent and no connection"
                access.record_loss(self.plan.target, cause)
                if self._leave(cause):
                    return
                self._log_kept(cause)
                self.silence.record_check(now)
            elif self.plan.target.sign_of_life.accepted_at <= self._asked_at:
                # This instance's own network is suspected.
                self.silence.record_check(now)
        self._record_sign_of_life()
        action = self.silence.choose_action(now)
        if action is silences.SilenceAction.LOST:
            self._record_failed_silence(now)
            if self._leave("silent"):
                return
            self._log_kept("silent")
            self.silence.keep(now)
        if action is not silences.SilenceAction.WAIT:
            self._asked_at = self.silence.needs_check_after
            self._liveness_check = asyncio.get_running_loop().create_task(
                access.is_alive(self.plan.target, self._asked_at)
            )
            self._liveness_check.add_done_callback(lambda _: self.conn.wake())

    def _record_sign_of_life(self) -> None:
        target = self.plan.target
        self.silence.record_sign_of_life(target.sign_of_life, target.prefills)

    def _log_kept(self, cause: str) -> None:
        """Log once for each run that it goes on in spite of a silence."""
        if self._kept:
            return
        self._kept = True
        self._access.metrics.count("runs_kept_total")
        self._access.log.write(
            "run_kept",
            request=self._job.head.attempt_id,
            target=self.plan.target.id,
            cause=cause,
        )

    def _record_failed_silence(self, now: float) -> None:
        """Record one failure of the target for each of its silences."""
        limit_at = self.silence.limit_at()
        if self._failed_silence_at != limit_at:
            self._failed_silence_at = limit_at
            self.plan.target.record_failure(now)
