"""Registry of the generations that one instance owns or remembers."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import uuid

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import observability
from sassafrasflow import routing
from sassafrasflow.generations import attempts
from sassafrasflow.generations import generation as generations
from sassafrasflow.generations import runner as runners
from sassafrasflow.targets import directory as directories

__all__ = ["GenerationRegistry", "RegistryPolicy"]


class RegistryPolicy(msgspec.Struct, frozen=True):
    """Bound what an instance remembers."""

    kept_ms: int = 300_000
    runner: runners.RunnerPolicy = runners.RunnerPolicy()


class GenerationRegistry:
    """Start generations, and join callers to those already running."""

    def __init__(
        self,
        directory: directories.TargetDirectory,
        router: routing.Router,
        policy: RegistryPolicy,
        metrics: observability.Metrics,
        observers: Sequence[attempts.AttemptObserver] = (),
    ) -> None:
        self._directory = directory
        self._router = router
        self._policy = policy
        self._metrics = metrics
        self._observers = observers
        self._runners: dict[
            tuple[ids.OrganisationId, ids.RequestKey],
            runners.GenerationRunner,
        ] = {}
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def knows(
        self, organisation: ids.OrganisationId, key: ids.RequestKey
    ) -> bool:
        """Tell whether a key has a generation here."""
        return (organisation, key) in self._runners

    def submit(
        self, req: generations.GenerationRequest
    ) -> runners.GenerationRunner:
        """Return the runner of a request, starting it when it is new.

        Raises
        ------
        Refusal : the key was used with another body
        """
        known = self._runners.get((req.organisation, req.key))
        if known is None:
            return self._start(req)
        if known.generation.req.fingerprint != req.fingerprint:
            raise exceptions.Refusal(
                exceptions.RefusalReason.KEY_REUSED,
                exceptions.Ran.NO,
                "The Idempotency-Key was used with another body.",
                status=422,
            )
        return known

    def _start(
        self, req: generations.GenerationRequest
    ) -> runners.GenerationRunner:
        generation_id = ids.GenerationId(uuid.uuid4().hex)
        runner = runners.GenerationRunner(
            generations.Generation(generation_id, req),
            self._directory,
            self._router,
            self._policy.runner,
            self._metrics,
            self._observers,
        )
        self._runners[(req.organisation, req.key)] = runner
        self._running += 1
        self._idle.clear()
        runner.start(self._ended(req))
        return runner

    def _ended(self, req: generations.GenerationRequest) -> Callable[[], None]:
        def forget() -> None:
            self._runners.pop((req.organisation, req.key), None)

        def end() -> None:
            self._running -= 1
            if not self._running:
                self._idle.set()
            asyncio.get_running_loop().call_later(
                self._policy.kept_ms / 1000, forget
            )

        return end

    @property
    def running(self) -> int:
        """Return the number of generations that have not ended."""
        return self._running

    def running_generations(self) -> Iterator[generations.Generation]:
        """Yield the generations that have not ended."""
        for runner in self._runners.values():
            state = runner.generation.state
            if state is generations.GenerationState.RUNNING:
                yield runner.generation

    async def drained(self) -> None:
        """Wait until no generation is running."""
        await self._idle.wait()

    async def close(self) -> None:
        """Stop every generation."""
        await asyncio.gather(
            *(runner.close() for runner in list(self._runners.values()))
        )
