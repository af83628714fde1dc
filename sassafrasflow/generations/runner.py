"""Runner that drives one generation over as many targets as it takes.

The runner is independent of its callers: it goes on when they disconnect,
and any number of callers can follow it from any index.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterator
import contextlib

from loguru import logger
import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import observability
from sassafrasflow import routing
from sassafrasflow.generations import attempts
from sassafrasflow.generations import generation as generations
from sassafrasflow.generations import journal
from sassafrasflow.generations import placement
from sassafrasflow.generations import retries
from sassafrasflow.generations import streams

__all__ = [
    "Delivery",
    "GenerationRunner",
    "RunnerPolicy",
]


class RunnerPolicy(msgspec.Struct, frozen=True):
    """Bound the attempts of one generation."""

    place: placement.PlacementPolicy = placement.PlacementPolicy()
    retry: retries.RetryPolicy = retries.RetryPolicy()
    stream: streams.StreamPolicy = streams.StreamPolicy()


class Delivery(msgspec.Struct, frozen=True):
    """Carry text that became available and the position behind it."""

    text: str
    event_id: journal.EventId
    tokens: list[int]


class GenerationRunner:
    """Own one generation until it is complete or refused."""

    def __init__(
        self,
        generation: generations.Generation,
        parts: placement.RunnerParts,
        policy: RunnerPolicy,
    ) -> None:
        self.generation = generation
        self.followers = 0
        self.on_unattended: Callable[[], None] = lambda: None
        self._parts = parts
        self._policy = policy
        self._budget = retries.LossBudget(policy.retry, parts.rng)
        self._place = placement.Placement(
            generation, parts, policy.place, self._budget
        )
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._cancels: set[asyncio.Task[None]] = set()
        self._timer = observability.TokenTimer(
            parts.metrics,
            asyncio.get_running_loop().time(),
            len(generation.journal),
        )
        self._log = logger.bind(generation=generation.id)

    def start(self, on_end: Callable[[], None]) -> None:
        """Begin to run in the background."""
        self._parts.replicator.track(self.generation, self._released)
        if len(self.generation.journal):
            self._parts.replicator.note(self.generation)
        self._task = asyncio.create_task(self._run(on_end))

    async def close(self) -> None:
        """Stop running; followers see a refusal."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def supersede(self, epoch: ids.Epoch) -> None:
        """Stop for a later owner, which goes on with the engine's stream."""
        if self.generation.supersede(epoch):
            self._released()

    def stop(self, refusal: exceptions.Refusal) -> None:
        """End with a refusal and leave the engine's stream to others."""
        self.generation.refuse(refusal)
        self._released()

    def abandon(self) -> None:
        """Stop a generation that nobody follows, and its engine's work."""
        if self.generation.attempts:
            self._cancel_old(self.generation.attempts[-1].target)
        self.stop(self.generation.moved())

    async def wait(self) -> None:
        """Wait until the answer may be delivered or is refused.

        Raises
        ------
        Refusal : the generation was refused
        """
        with self._following():
            while not self.generation.end_released:
                if self.generation.refusal is not None:
                    raise self.generation.refusal
                await self._changed.wait()

    async def ended(self) -> None:
        """Wait for the end without following the answer."""
        while not self.generation.end_released:
            if self.generation.refusal is not None:
                return
            await self._changed.wait()

    async def follow(self, index: int) -> AsyncIterator[Delivery]:
        """Yield deliveries from an index on, until the generation ends.

        Raises
        ------
        Refusal : the generation was refused
        """
        log = self.generation.journal
        with self._following():
            while True:
                if index < log.released:
                    event_id = log.released_id()
                    yield Delivery(
                        "".join(log.texts[index : event_id.index]),
                        event_id,
                        log.tokens[index : event_id.index],
                    )
                    index = event_id.index
                elif self.generation.refusal is not None:
                    raise self.generation.refusal
                elif self.generation.end_released:
                    return
                else:
                    await self._changed.wait()

    @contextlib.contextmanager
    def _following(self) -> Iterator[None]:
        self.followers += 1
        try:
            yield
        finally:
            self.followers -= 1
            if not self.followers:
                self.on_unattended()

    def _released(self) -> None:
        # Followers hold the event that they wait on, so replacing it wakes
        # each of them exactly once.
        self._changed.set()
        self._changed = asyncio.Event()
        refused = generations.GenerationState.REFUSED
        if self.generation.state is refused and self._task is not None:
            self._task.cancel()

    async def _run(self, on_end: Callable[[], None]) -> None:
        try:
            await self._attempt_until_done()
            await self._wait_for_release()
        except exceptions.Refusal as exc:
            self.generation.refuse(exc)
        except asyncio.CancelledError:
            self.generation.refuse(
                self._place.refusal("The instance stopped.")
            )
        except Exception as exc:
            self._log.exception("generations: Failed: {!r}.", exc)
            self.generation.refuse(self._place.refusal("Internal error."))
        finally:
            self._parts.replicator.untrack(self.generation)
            self._task = None
            self._released()
            on_end()

    async def _wait_for_release(self) -> None:
        while not self.generation.end_released:
            await self._changed.wait()

    async def _attempt_until_done(self) -> None:
        if self.generation.attempts and await self._rejoined():
            return
        while not self._budget.exhausted:
            await asyncio.sleep(self._budget.delay_s())
            choice = await self._place.choose()
            if await self._attempted(choice):
                return
        raise self._place.refusal("Every attempt failed.")

    async def _rejoined(self) -> bool:
        """Try the engine's stream that the earlier owner left."""
        attempt = self.generation.attempts[-1]
        version = self.generation.version
        if version is None or not self._knows(attempt.target):
            return False
        stream = self._stream(routing.Choice(attempt.target, version))
        try:
            with self._parts.directory.track_work(attempt.target):
                await stream.rejoin()
        except exceptions.TargetError as exc:
            self._log.info("generations: Stream is not there: {}.", exc)
            self._cancel_old(attempt.target)
            # Its cache holds the prompt, so it would be chosen again.
            self._budget.note_loss(
                attempt.target,
                len(self._journal),
                asyncio.get_running_loop().time(),
                stalled=False,
            )
            return False
        self._observe(stream.watch.complete())
        return True

    def _knows(self, target: ids.TargetId) -> bool:
        return any(known.id == target for known in self._parts.directory)

    async def _attempted(self, choice: routing.Choice) -> bool:
        req = self.generation.begin_attempt(choice.target, choice.version)
        stream = self._stream(choice)
        try:
            return await self._succeeds(stream, stream.start(req))
        finally:
            fingerprint = self.generation.req.fingerprint
            self._parts.quarantine.free(fingerprint, choice.target)

    def _stream(self, choice: routing.Choice) -> streams.AttemptStream:
        stream = streams.AttemptStream(
            self.generation,
            self._parts.directory.engine(choice.target),
            choice,
            self._parts.bounds,
            self._policy.stream,
            self._parts.metrics,
            self._progressed,
        )
        stream.alarms = self._budget.alarms
        return stream

    async def _succeeds(
        self,
        stream: streams.AttemptStream,
        running: Coroutine[None, None, None],
    ) -> bool:
        choice = stream.choice
        try:
            with self._parts.directory.track_work(choice.target):
                await running
            self._observe(stream.watch.complete())
            return True
        except exceptions.TargetRefused as exc:
            reason = exceptions.RetryReason.TARGET_REFUSED
            self._note_failure(stream, reason, exc)
        except exceptions.TargetLost as exc:
            self._note_failure(stream, exc.reason, exc)
            self._cancel_old(choice.target)
        if stream.died:
            self._note_death(stream)
        return False

    def _progressed(self) -> None:
        generation = self.generation
        log = generation.journal
        now = asyncio.get_running_loop().time()
        self._timer.note(now, len(log), log.attempt)
        self._parts.quarantine.note_progress(
            generation.req.fingerprint, len(generation.journal)
        )
        self._parts.replicator.note(generation)

    def _note_failure(
        self,
        stream: streams.AttemptStream,
        reason: exceptions.RetryReason,
        exc: Exception,
    ) -> None:
        target = stream.choice.target
        now = asyncio.get_running_loop().time()
        length = len(self.generation.journal)
        stalled = reason is exceptions.RetryReason.STALLED
        self._budget.note_loss(target, length, now, stalled=stalled)
        self._parts.metrics.count_retry(reason)
        self._parts.directory.record_failure(target)
        self._observe(stream.watch.fail(reason))
        self._log.warning(
            "generations: Attempt on {} failed: {}.", target, exc
        )

    def _observe(self, outcome: attempts.AttemptOutcome) -> None:
        for observe in self._parts.observers:
            observe(outcome)

    def _cancel_old(self, target: ids.TargetId) -> None:
        """Tell the target to stop; it may not hear it."""
        attempt = self.generation.journal.attempt
        task = asyncio.create_task(self._cancel(target, attempt))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _cancel(
        self, target: ids.TargetId, attempt: ids.AttemptNumber
    ) -> None:
        engine = self._parts.directory.engine(target)
        try:
            await engine.cancel(self.generation.id, attempt)
        except exceptions.TargetError as exc:
            self._parts.metrics.add(observability.Counter.CANCELS_LOST)
            self._log.debug("generations: Cancel was lost: {}.", exc)

    def _note_death(self, stream: streams.AttemptStream) -> None:
        quarantine = self._parts.quarantine
        fingerprint = self.generation.req.fingerprint
        length = len(self.generation.journal)
        quarantine.note_death(
            fingerprint,
            stream.choice.target,
            made=length - stream.first_index,
            index=length,
        )

    @property
    def _journal(self) -> journal.Journal:
        return self.generation.journal
