"""Runner that drives one generation over as many targets as it takes.

The runner is independent of its callers: it goes on when they disconnect,
and any number of callers can follow it from any index.
"""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence

from loguru import logger
import msgspec

from sassafrasflow import exceptions
from sassafrasflow import observability
from sassafrasflow import routing
from sassafrasflow.generations import attempts
from sassafrasflow.generations import generation as generations
from sassafrasflow.generations import journal
from sassafrasflow.targets import directory as directories

__all__ = ["Delivery", "GenerationRunner", "RunnerPolicy"]


class RunnerPolicy(msgspec.Struct, frozen=True):
    """Bound the attempts of one generation."""

    max_attempts: int = 8
    first_token_timeout_ms: int = 10_000
    stall_timeout_ms: int = 1_000
    no_target_wait_ms: int = 1_500
    no_target_poll_ms: int = 50


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
        directory: directories.TargetDirectory,
        router: routing.Router,
        policy: RunnerPolicy,
        metrics: observability.Metrics,
        observers: Sequence[attempts.AttemptObserver] = (),
    ) -> None:
        self.generation = generation
        self._directory = directory
        self._router = router
        self._policy = policy
        self._metrics = metrics
        self._observers = observers
        req = generation.req
        self._work = routing.Work(req.organisation, req.model, req.prompt)
        self._changed = asyncio.Event()
        self._task: asyncio.Task[None] | None = None
        self._timer = observability.TokenTimer(
            metrics, asyncio.get_running_loop().time()
        )
        self._log = logger.bind(generation=generation.id)

    def start(self, on_end: Callable[[], None]) -> None:
        """Begin to run in the background."""
        self._task = asyncio.create_task(self._run(on_end))

    async def close(self) -> None:
        """Stop running; followers see a refusal."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    async def wait(self) -> None:
        """Wait until the generation has ended."""
        while self.generation.state is generations.GenerationState.RUNNING:
            await self._changed.wait()

    async def follow(self, index: int) -> AsyncIterator[Delivery]:
        """Yield deliveries from an index on, until the generation ends.

        Raises
        ------
        Refusal : the generation was refused
        """
        log = self.generation.journal
        while True:
            if index < len(log):
                # More tokens may arrive while a slow reader holds this up.
                event_id = log.event_id()
                yield Delivery(
                    "".join(log.texts[index : event_id.index]),
                    event_id,
                    log.tokens[index : event_id.index],
                )
                index = event_id.index
            elif self.generation.refusal is not None:
                raise self.generation.refusal
            elif self.generation.state is not (
                generations.GenerationState.RUNNING
            ):
                return
            else:
                await self._changed.wait()

    def _notify(self) -> None:
        # Followers hold the event that they wait on, so replacing it wakes
        # each of them exactly once.
        self._changed.set()
        self._changed = asyncio.Event()

    async def _run(self, on_end: Callable[[], None]) -> None:
        try:
            await self._attempt_until_done()
        except exceptions.Refusal as exc:
            self.generation.refuse(exc)
        except asyncio.CancelledError:
            self.generation.refuse(self._refusal("The instance stopped."))
            raise
        except Exception as exc:
            self._log.exception("generations: Failed: {!r}.", exc)
            self.generation.refuse(self._refusal("Internal error."))
        finally:
            self._notify()
            on_end()

    async def _attempt_until_done(self) -> None:
        failed: set[str] = set()
        for _ in range(self._policy.max_attempts):
            choice = await self._choose(failed)
            watch = attempts.AttemptWatch(
                self.generation.req, choice, len(self._journal)
            )
            try:
                await self._attempt(choice, watch)
                self._observe(watch.complete())
                return
            except exceptions.TargetRefused as exc:
                reason = exceptions.RetryReason.TARGET_REFUSED
                self._note_failure(choice, failed, reason, exc)
                self._observe(watch.fail(reason))
            except exceptions.TargetLost as exc:
                self._note_failure(choice, failed, exc.reason, exc)
                self._observe(watch.fail(exc.reason))
        raise self._refusal("Every attempt failed.")

    async def _choose(self, failed: set[str]) -> routing.Choice:
        waited_ms = 0
        while True:
            choice = self._router.choose(
                self._work,
                self.generation.version if len(self._journal) else None,
                failed,
            )
            if choice is not None:
                return choice
            if waited_ms >= self._policy.no_target_wait_ms:
                raise self._refusal("No target can take the request.")
            await asyncio.sleep(self._policy.no_target_poll_ms / 1000)
            waited_ms += self._policy.no_target_poll_ms

    def _observe(self, outcome: attempts.AttemptOutcome) -> None:
        for observe in self._observers:
            observe(outcome)

    async def _attempt(
        self, choice: routing.Choice, watch: attempts.AttemptWatch
    ) -> None:
        req = self.generation.begin_attempt(choice.target, choice.version)
        engine = self._directory.engine(choice.target)
        events = engine.start(req)
        policy = self._policy
        silence_s = policy.first_token_timeout_ms / 1000
        loop = asyncio.get_running_loop()
        try:
            with self._directory.busy(choice.target):
                async with asyncio.timeout(silence_s) as limit:
                    async for event in events:
                        self._apply(event)
                        watch.note_progress(loop.time(), len(self._journal))
                        limit.reschedule(
                            loop.time() + policy.stall_timeout_ms / 1000
                        )
        except TimeoutError as exc:
            raise exceptions.TargetLost(
                "no token in time", exceptions.RetryReason.STALLED
            ) from exc
        if self.generation.state is generations.GenerationState.RUNNING:
            raise exceptions.TargetLost("stream ended early")

    def _apply(self, event: object) -> None:
        try:
            accepted = self.generation.accept(event)  # type: ignore[arg-type]
        except exceptions.JournalError as exc:
            raise exceptions.TargetLost(f"bad event: {exc}") from exc
        if accepted is journal.Accepted.APPENDED:
            self._timer.note(
                asyncio.get_running_loop().time(),
                len(self._journal),
                self._journal.attempt,
            )
            self._notify()

    def _note_failure(
        self,
        choice: routing.Choice,
        failed: set[str],
        reason: exceptions.RetryReason,
        exc: Exception,
    ) -> None:
        failed.add(choice.target)
        self._metrics.count_retry(reason)
        self._directory.note_failure(choice.target)
        self._log.warning(
            "generations: Attempt on {} failed: {}.", choice.target, exc
        )

    @property
    def _journal(self) -> journal.Journal:
        return self.generation.journal

    def _refusal(self, detail: str) -> exceptions.Refusal:
        if len(self._journal):
            ran = exceptions.Ran.PARTLY
        elif self.generation.attempts:
            ran = exceptions.Ran.UNKNOWN
        else:
            ran = exceptions.Ran.NO
        reason = (
            exceptions.RefusalReason.RETRIES_EXHAUSTED
            if self.generation.attempts
            else exceptions.RefusalReason.NO_TARGET
        )
        return exceptions.Refusal(reason, ran, detail, retry_after_s=2)
