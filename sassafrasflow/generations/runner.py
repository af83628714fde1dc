"""Runner that drives one generation, on one target after another.

The runner is independent of its callers: it continues when they disconnect,
and any number of callers can follow the answer from any index.
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
    """Limits of placement, retries and streams of one generation."""

    place: placement.PlacementPolicy = placement.PlacementPolicy()
    retry: retries.RetryPolicy = retries.RetryPolicy()
    stream: streams.StreamPolicy = streams.StreamPolicy()


class Delivery(msgspec.Struct, frozen=True):
    """Text that became available, and the position after it."""

    text: str
    event_id: journal.EventId
    tokens: list[int]


class GenerationRunner:
    """Run one generation until it is complete or refused."""

    def __init__(
        self,
        generation: generations.Generation,
        deps: placement.RunnerDependencies,
        policy: RunnerPolicy,
    ) -> None:
        self.generation = generation
        self.followers = 0
        self.on_unattended: Callable[[], None] = lambda: None
        self._deps = deps
        self._policy = policy
        self._budget = retries.AttemptBudget(policy.retry, deps.rng)
        self._placement = placement.Placement(
            generation, deps, policy.place, self._budget
        )
        self._progress_event = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._cancels: set[asyncio.Task[None]] = set()
        self._timer = observability.TokenTimer(
            deps.metrics,
            asyncio.get_running_loop().time(),
            len(generation.journal),
        )
        self._log = logger.bind(generation=generation.id)

    def start(self, on_end: Callable[[], None]) -> None:
        """Start to run in the background."""
        self._deps.replicator.track(self.generation, self._notify_followers)
        if len(self.generation.journal):
            self._deps.replicator.replicate(self.generation)
        self._task = asyncio.create_task(self._run(on_end))

    async def close(self) -> None:
        """Stop running; followers get a refusal."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def supersede(self, epoch: ids.Epoch) -> None:
        """Stop in favour of a later owner, which continues the stream."""
        if self.generation.supersede(epoch):
            self._notify_followers()

    def stop(self, refusal: exceptions.Refusal) -> None:
        """End with a refusal; another instance may continue the stream."""
        self.generation.refuse(refusal)
        self._notify_followers()

    def abandon(self) -> None:
        """Stop a generation without followers, and cancel it at its target."""
        if self.generation.attempts:
            self._cancel_in_background(self.generation.attempts[-1].target)
        self.stop(self.generation.resume_elsewhere_refusal())

    async def wait(self) -> None:
        """Wait until the whole answer may be delivered.

        Raises
        ------
        Refusal : the generation was refused
        """
        with self._following():
            while not self.generation.end_released:
                if self.generation.refusal is not None:
                    raise self.generation.refusal
                await self._progress_event.wait()

    async def wait_for_end(self) -> None:
        """Wait for the end without counting as a follower."""
        while not self.generation.end_released:
            if self.generation.refusal is not None:
                return
            await self._progress_event.wait()

    async def follow(self, index: int) -> AsyncIterator[Delivery]:
        """Yield deliveries from an index until the generation ends.

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
                    await self._progress_event.wait()

    @contextlib.contextmanager
    def _following(self) -> Iterator[None]:
        self.followers += 1
        try:
            yield
        finally:
            self.followers -= 1
            if not self.followers:
                self.on_unattended()

    def _notify_followers(self) -> None:
        # Each follower waits on the event that it read. Setting that event
        # and replacing it wakes each of them exactly once.
        self._progress_event.set()
        self._progress_event = asyncio.Event()
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
                self._placement.refusal("The instance stopped.")
            )
        except Exception as exc:
            self._log.exception("generations: Failed: {!r}.", exc)
            self.generation.refuse(self._placement.refusal("Internal error."))
        finally:
            self._deps.replicator.untrack(self.generation)
            self._task = None
            self._notify_followers()
            on_end()

    async def _wait_for_release(self) -> None:
        while not self.generation.end_released:
            await self._progress_event.wait()

    async def _attempt_until_done(self) -> None:
        if self.generation.attempts and await self._try_reattach():
            return
        while not self._budget.exhausted:
            await asyncio.sleep(self._budget.delay_s())
            choice = await self._placement.choose()
            if await self._run_on(choice):
                return
        raise self._placement.refusal("Every attempt failed.")

    async def _try_reattach(self) -> bool:
        """Try to reattach to the stream of the earlier owner's attempt."""
        attempt = self.generation.attempts[-1]
        version = self.generation.version
        if version is None or not self._is_listed(attempt.target):
            return False
        stream = self._stream(routing.Choice(attempt.target, version))
        try:
            with self._deps.directory.track_work(attempt.target):
                await stream.reattach()
        except exceptions.TargetError as exc:
            self._log.info(
                "generations: Could not reattach to the stream: {}.", exc
            )
            self._cancel_in_background(attempt.target)
            # The target has the prompt in its cache, so the router would
            # choose it again unless the loss is recorded.
            self._budget.record_loss(
                attempt.target,
                len(self._journal),
                asyncio.get_running_loop().time(),
                stalled=False,
            )
            return False
        self._notify_observers(stream.timer.complete())
        return True

    def _is_listed(self, target: ids.TargetId) -> bool:
        return any(listed.id == target for listed in self._deps.directory)

    async def _run_on(self, choice: routing.Choice) -> bool:
        req = self.generation.begin_attempt(choice.target, choice.version)
        stream = self._stream(choice)
        try:
            return await self._run_attempt(stream, stream.start(req))
        finally:
            fingerprint = self.generation.req.fingerprint
            self._deps.quarantine.free(fingerprint, choice.target)

    def _stream(self, choice: routing.Choice) -> streams.AttemptStream:
        stream = streams.AttemptStream(
            self.generation,
            self._deps.directory.engine(choice.target),
            choice,
            self._deps.timeouts,
            self._policy.stream,
            self._deps.metrics,
            self._on_progress,
        )
        stream.stall_count = self._budget.stall_count
        return stream

    async def _run_attempt(
        self,
        stream: streams.AttemptStream,
        running: Coroutine[None, None, None],
    ) -> bool:
        choice = stream.choice
        try:
            with self._deps.directory.track_work(choice.target):
                await running
            self._notify_observers(stream.timer.complete())
            return True
        except exceptions.TargetRefused as exc:
            reason = exceptions.RetryReason.TARGET_REFUSED
            self._record_failure(stream, reason, exc)
        except exceptions.TargetLost as exc:
            self._record_failure(stream, exc.reason, exc)
            self._cancel_in_background(choice.target)
        if stream.target_crashed:
            self._record_crash(stream)
        return False

    def _on_progress(self) -> None:
        generation = self.generation
        log = generation.journal
        now = asyncio.get_running_loop().time()
        self._timer.record_progress(now, len(log), log.attempt)
        self._deps.quarantine.record_progress(
            generation.req.fingerprint, len(generation.journal)
        )
        self._deps.replicator.replicate(generation)

    def _record_failure(
        self,
        stream: streams.AttemptStream,
        reason: exceptions.RetryReason,
        exc: Exception,
    ) -> None:
        target = stream.choice.target
        now = asyncio.get_running_loop().time()
        length = len(self.generation.journal)
        stalled = reason is exceptions.RetryReason.STALLED
        self._budget.record_loss(target, length, now, stalled=stalled)
        self._deps.metrics.count_retry(reason)
        self._deps.directory.record_failure(target)
        self._notify_observers(stream.timer.fail(reason))
        self._log.warning(
            "generations: Attempt on {} failed: {}.", target, exc
        )

    def _notify_observers(self, outcome: attempts.AttemptOutcome) -> None:
        for observe in self._deps.observers:
            observe(outcome)

    def _cancel_in_background(self, target: ids.TargetId) -> None:
        """Ask the target to cancel the attempt; the message may be lost."""
        attempt = self.generation.journal.attempt
        task = asyncio.create_task(self._cancel(target, attempt))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _cancel(
        self, target: ids.TargetId, attempt: ids.AttemptNumber
    ) -> None:
        engine = self._deps.directory.engine(target)
        try:
            await engine.cancel(self.generation.id, attempt)
        except exceptions.TargetError as exc:
            self._deps.metrics.add(observability.Counter.CANCELS_LOST)
            self._log.debug("generations: Cancel was lost: {}.", exc)

    def _record_crash(self, stream: streams.AttemptStream) -> None:
        quarantine = self._deps.quarantine
        fingerprint = self.generation.req.fingerprint
        length = len(self.generation.journal)
        quarantine.record_crash(
            fingerprint,
            stream.choice.target,
            new_tokens=length - stream.first_index,
            index=length,
        )

    @property
    def _journal(self) -> journal.Journal:
        return self.generation.journal
