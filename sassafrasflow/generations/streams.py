"""Stream of one attempt: timeouts, and reattaching when it breaks."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable

import msgspec

from sassafrasflow import engines
from sassafrasflow import exceptions
from sassafrasflow import observability
from sassafrasflow import routing
from sassafrasflow.generations import attempts
from sassafrasflow.generations import generation as generations
from sassafrasflow.generations import stalls

__all__ = ["AttemptStream", "StreamTimeouts", "StreamPolicy"]

# A timeout that fires later than this means that this process was suspended,
# so the target does not count as stalled.
MAX_TIMER_LAG_S = 0.1

Events = AsyncIterator[list[engines.EngineEvent]]


class StreamPolicy(msgspec.Struct, frozen=True):
    """Limits of reattaching to a stream whose connection broke."""

    reattach_timeout_ms: int = 300
    reattaches: int = 1


class StreamTimeouts(msgspec.Struct, frozen=True):
    """Timeouts before the first token and between tokens."""

    first_token: stalls.AdaptiveTimeout
    inter_token: stalls.AdaptiveTimeout


class AttemptStream:
    """Feed the events of one attempt into its generation."""

    def __init__(
        self,
        generation: generations.Generation,
        engine: engines.Engine,
        choice: routing.Choice,
        timeouts: StreamTimeouts,
        policy: StreamPolicy,
        metrics: observability.Metrics,
        on_progress: Callable[[], None],
    ) -> None:
        self._generation = generation
        self._engine = engine
        self.choice = choice
        self._timeouts = timeouts
        self._policy = policy
        self._metrics = metrics
        self._on_progress = on_progress
        self._epoch = generation.epoch
        self.last_token_at = 0.0
        self._awaiting_first = True
        self.first_index = len(generation.journal)
        self.timer = attempts.AttemptTimer(
            generation.req, choice, self.first_index
        )
        self.stall_count = 0
        self.target_crashed = False

    async def start(self, req: engines.EngineRequest) -> None:
        """Start the attempt and run it to its end.

        Raises
        ------
        TargetLost : the attempt can't continue
        TargetRefused : the target did not start the attempt
        """
        wait_s = self._timeouts.first_token.timeout_s(
            self.choice.version, self.stall_count
        )
        try:
            await self._consume(self._engine.start(req), wait_s)
        except exceptions.TargetLost as exc:
            if exc.reason is not exceptions.RetryReason.CONNECTION_LOST:
                raise
            await self._reattach_after(exc)

    async def reattach(self) -> None:
        """Continue an attempt that an earlier owner started.

        Raises
        ------
        TargetLost : the attempt can't continue
        """
        gone = exceptions.TargetLost("the earlier owner is gone")
        await self._reattach_after(gone)

    async def _reattach_after(self, cause: exceptions.TargetLost) -> None:
        remaining = self._policy.reattaches
        while remaining:
            remaining -= 1
            before = len(self._generation.journal)
            try:
                await self._reattach_once()
                return
            except exceptions.TargetDown as exc:
                self.target_crashed = True
                raise exceptions.TargetLost(f"{cause}, then {exc}") from exc
            except exceptions.TargetRefused as exc:
                raise exceptions.TargetLost(f"{cause}, then {exc}") from exc
            except exceptions.TargetLost as exc:
                cause = exc
                if len(self._generation.journal) > before:
                    remaining = self._policy.reattaches
        raise cause

    async def _reattach_once(self) -> None:
        generation = self._generation
        events = self._engine.resume(
            generation.id, generation.journal.attempt, len(generation.journal)
        )
        self._metrics.add(observability.Counter.REATTACHES)
        await self._consume(events, self._policy.reattach_timeout_ms / 1000)

    async def _consume(self, stream: Events, wait_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._awaiting_first = True
        started_at = loop.time()
        try:
            async with asyncio.timeout(wait_s) as limit:
                async for events in stream:
                    now = loop.time()
                    self._apply_events(events, now, started_at)
                    limit.reschedule(now + self._inter_token_timeout_s())
        except TimeoutError as exc:
            raise self._timeout_error(
                limit.when() or 0.0, loop.time()
            ) from exc
        running = generations.GenerationState.RUNNING
        if self._generation.state is running:
            raise exceptions.TargetLost("the stream ended before the answer")

    def _apply_events(
        self,
        events: list[engines.EngineEvent],
        now: float,
        started_at: float,
    ) -> None:
        generation = self._generation
        before = len(generation.journal)
        try:
            for event in events:
                generation.accept(event, self._epoch)
        except exceptions.JournalError as exc:
            raise exceptions.TargetLost(f"invalid event: {exc}") from exc
        length = len(generation.journal)
        if length > before:
            self._record_gap(now, started_at)
            self.timer.record_progress(now, length)
        ended = generation.state is generations.GenerationState.COMPLETE
        if length > before or ended:
            self._on_progress()

    def _record_gap(self, now: float, started_at: float) -> None:
        version = self.choice.version
        if not self._awaiting_first:
            self._timeouts.inter_token.record(
                version, now - self.last_token_at
            )
        else:
            self._timeouts.first_token.record(version, now - started_at)
        self._awaiting_first = False
        self.last_token_at = now

    def _inter_token_timeout_s(self) -> float:
        return self._timeouts.inter_token.timeout_s(
            self.choice.version, self.stall_count
        )

    @staticmethod
    def _timeout_error(due: float, now: float) -> exceptions.TargetLost:
        if now - due > MAX_TIMER_LAG_S:
            return exceptions.TargetLost("this process was suspended")
        return exceptions.TargetLost(
            "no token before the timeout", exceptions.RetryReason.STALLED
        )
