"""One run of a stream at one target."""

import asyncio
import contextlib

import msgspec

from sassafrasflow.gateway import access as accesses
from sassafrasflow.gateway import availability
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import copies
from sassafrasflow.gateway import events
from sassafrasflow.gateway import jobs
from sassafrasflow.gateway import ledger as ledgers
from sassafrasflow.gateway import protocol
from sassafrasflow.gateway import retries
from sassafrasflow.gateway import silence as silences
from sassafrasflow.gateway import targets

__all__ = ["Plan", "Prefill", "Run", "RunEnd"]

# Copies begin with the first event; all of 10 runs lost up to 0.17 s after
# it had none, those after 0.39 s had one.
COPY_DELAY_S = 0.1
# A timer this late means that this process stood still, not the target.
LATE_TIMER_S = 0.1


class Plan(msgspec.Struct, frozen=True):
    """Say where the next run goes and where its copy lies."""

    target: targets.Target
    # Go on from this copy, which the target holds.
    copy: copies.Copy | None
    copy_holder: targets.Target | None

    @property
    def from_copy(self) -> bool:
        return self.copy is not None


class RunEnd(msgspec.Struct, frozen=True):
    """Tell how a run ended; ``end`` is ``None`` for a whole answer."""

    end: retries.TryEnd | None
    cause: str = ""
    # The target's own failure, for the caller if nothing better comes.
    failure: tuple[int, protocol.AnswerHead, bytes] | None = None


class Prefill(contextlib.AbstractContextManager["Prefill"]):
    """Count a prompt that a target reads."""

    def __init__(self, target: targets.Target, from_copy: bool) -> None:
        self._target = target
        self._reading = not from_copy

    def __enter__(self) -> "Prefill":
        self._target.prefills += self._reading
        return self

    def __exit__(self, *_: object) -> None:
        self.end()

    def end(self) -> None:
        """Stop counting: the first event is there."""
        if self._reading:
            self._reading = False
            self._target.prefills -= 1


class Run:
    """Follow one run at one target."""

    def __init__(
        self,
        access: accesses.TargetAccess,
        job: jobs.Job,
        plan: Plan,
        conn: connections.ClientConnection,
    ) -> None:
        self.plan = plan
        self.conn = conn
        self.splitter = events.EventSplitter()
        self.head: protocol.AnswerHead | None = None
        self.status = 0
        self.failure = bytearray()
        self.lost_cause: str | None = None
        self._access = access
        self._job = job
        self._first_event_at: float | None = None
        self._sent_at = access.clock()
        self.silence = silences.SilenceMonitor(
            access.clock(),
            max_pause_s=job.route.max_pause_s,
            has_copy=plan.copy_holder is not None,
        )
        self._probe: asyncio.Task[bool] | None = None
        self._kept = False
        self._overdue_at: float | None = None
        # Bytes and answers that are not part of the stream.
        self._aside_bytes = 0
        self._passed_over = 0
        self._record: ledgers.RunRecord | None = None
        self._trial: availability.TrialRequest | None = None

    @property
    def is_answer(self) -> bool:
        return self.status == 200 and not self.foreign

    @property
    def foreign(self) -> bool:
        """Tell whether this answers an older request."""
        return self.head is not None and self.head.attempt_id not in (
            None,
            self._job.head.attempt_id,
        )

    def note_event(self, now: float) -> None:
        """Record an event that was delivered."""
        self.silence.record_event(now)
        if self._record is not None:
            self._record.events += 1
        if self._first_event_at is not None:
            return
        self._first_event_at = now
        self._access.releases.note_answer(
            self.plan.target,
            self._job.route.name,
            failed=False,
            # What goes on from a copy reads no prompt.
            took_s=None if self.plan.from_copy else now - self._sent_at,
        )

    def has_copy(self) -> bool:
        """Tell whether the run's memory may have reached its copy."""
        first = self._first_event_at
        return first is not None and (
            self._access.clock() - first > COPY_DELAY_S
        )

    def send(self, tries: retries.Tries, last: int | None) -> None:
        """Send the request."""
        access, job, plan = self._access, self._job, self.plan
        now = access.clock()
        if tries.sent:
            access.budget(job.service.name).take(now)
        tries.note_send()
        self._sent_at = now
        access.releases.note_send(plan.target)
        holder = plan.copy_holder
        organisation = job.organisation
        dispatch = protocol.Dispatch(
            target=plan.target.listed,
            left_ms=max(1, round(job.left_s(now) * 1000)),
            organisation=None if organisation is None else organisation.id,
            rank=job.rank,
            copy_to=None if holder is None else holder.listed,
            from_copy=plan.from_copy,
            copy_source=None if plan.copy is None else plan.copy.source,
            copy_handle=None if plan.copy is None else plan.copy.handle,
            resume_after=last,
        )
        self._record = access.quarantine.begin_run(job, plan.target)
        self._trial = plan.target.availability.begin_trial(now)
        self.conn.send(access.encode(job, dispatch))

    async def next(self) -> connections.Item | None:
        """Return the next item; judge the silence when there is none."""
        access = self._access
        asked_at = access.clock()
        wait_s = max(
            0.0,
            min(self.silence.due_at() - asked_at, self._job.left_s(asked_at)),
        )
        if self._probe is not None:
            wait_s = max(wait_s, 0.05)
        item = await self.conn.next(wait_s)
        if item is None:
            self._judge(asked_at + wait_s)
        return item

    def start(self, item: connections.AnswerStart) -> None:
        """Take the head of an answer."""
        self.status = item.status
        self.head = self._access.wire.read_answer(item.status, item.headers)
        if self.foreign:
            return
        target = self.plan.target
        self._access.announcements.handle_head(
            target, self.head, self._job.head.attempt_id
        )
        target.availability.end_trial(self._trial)

    def keep_failure(self, content: bytes) -> bool:
        """Keep part of a failure; tell whether it may still end."""
        self._aside_bytes += len(content)
        if not self.foreign:
            self.failure += content
        return self._aside_bytes <= self.conn.limits.answer_bytes

    def expect_another(self) -> bool:
        """Pass over an answer; tell whether the right one may still come."""
        self.head = None
        self.status = 0
        self._passed_over += 1
        self.conn.expect_another()
        return self._passed_over <= self.conn.limits.passed_over

    def is_stalled(self) -> bool:
        """Tell whether bytes keep coming that hold no event.

        One late look may mean that this process stood still.
        """
        now = self._access.clock()
        if now < self.silence.limit_at():
            self._overdue_at = None
        elif self._overdue_at is None:
            self._overdue_at = now
        return (
            self._overdue_at is not None
            and now - self._overdue_at > LATE_TIMER_S
        )

    def keep(self) -> None:
        """Keep the connection of a whole answer for another request."""
        assert self.head is not None
        self._end_record(answered=True)
        if not self.head.close:
            self._kept = True
            self._access.pool.release(
                self.plan.target.listed, self.conn, self.head.idle_timeout_s
            )

    def release(self) -> None:
        """Stop the run at its target unless it has ended there."""
        if self._probe is not None:
            self._probe.cancel()
        self._end_record(answered=False)
        self.plan.target.availability.end_trial(self._trial)
        if not self._kept:
            self.conn.abort()

    def _end_record(self, *, answered: bool) -> None:
        if self._record is not None:
            self._access.quarantine.end_run(self._record, answered=answered)
            self._record = None

    def broke_off(self, end: connections.ConnectionEnd) -> None:
        """Find out whether a target that broke off is dead."""
        target = self.plan.target
        target.record_failure(self._access.clock())
        self._access.check_later(target, f"stream {end.value}")

    def _judge(self, expected_at: float) -> None:
        access = self._access
        now = access.clock()
        if now - expected_at > LATE_TIMER_S:
            self.silence.record_check(now)
            return
        if self._probe is not None:
            if not self._probe.done():
                return
            alive = self._probe.result()
            self._probe = None
            if not alive:
                self.lost_cause = "silent and no connection"
                access.note_lost(self.plan.target, self.lost_cause)
                return
            self.silence.record_check(now)
        verdict = self.silence.choose_action(now)
        if verdict is silences.SilenceAction.LOST:
            self.lost_cause = "silent"
            self.plan.target.record_failure(now)
        elif verdict is silences.SilenceAction.CHECK:
            self._probe = asyncio.get_running_loop().create_task(
                access.is_alive(self.plan.target)
            )
            self._probe.add_done_callback(lambda _: self.conn.wake())
