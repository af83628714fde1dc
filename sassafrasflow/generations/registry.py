"""Registry of the generations that an instance runs or has retained."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import uuid

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import observability
from sassafrasflow.generations import generation as generations
from sassafrasflow.generations import journal
from sassafrasflow.generations import placement
from sassafrasflow.generations import replicas
from sassafrasflow.generations import replication
from sassafrasflow.generations import runner as runners
from sassafrasflow.generations import takeover

__all__ = [
    "GenerationRegistry",
    "RegistryPolicy",
    "OnStarted",
    "position_refusal",
]

OnStarted = Callable[[runners.GenerationRunner], None]
Admit = Callable[[], Awaitable[OnStarted]]
ScopedKey = tuple[ids.OrganisationId, ids.RequestKey]


class RegistryPolicy(msgspec.Struct, frozen=True):
    """Limits of retained answers and of generations without followers."""

    kept_ms: int = 300_000
    kept_bytes: int = 64 << 20
    unattended_ms: int = 120_000
    runner: runners.RunnerPolicy = runners.RunnerPolicy()


class GenerationRegistry:
    """Start generations, take over those of peers, and find their runners."""

    def __init__(
        self,
        deps: placement.RunnerDependencies,
        store: replicas.ReplicaStore,
        policy: RegistryPolicy,
    ) -> None:
        self._deps = deps
        self._store = store
        self._policy = policy
        self._finder: takeover.RecordFinder | None = None
        self._runners: dict[ScopedKey, runners.GenerationRunner] = {}
        self._retained_bytes: dict[ScopedKey, int] = {}
        self._open_tasks: dict[
            ScopedKey, asyncio.Task[runners.GenerationRunner]
        ] = {}
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    def set_finder(self, finder: takeover.RecordFinder) -> None:
        """Set the finder that looks up the records of requests at peers."""
        self._finder = finder

    def runner(
        self, organisation: ids.OrganisationId, key: ids.RequestKey
    ) -> runners.GenerationRunner | None:
        """Return the runner of a request, or ``None`` if there is none.

        The runner of a refused request is not retained.
        """
        return self._runners.get((organisation, key))

    async def open(
        self,
        req: generations.GenerationRequest,
        admit: Admit,
        *,
        event_id: journal.EventId | None = None,
        may_exist: bool = True,
    ) -> runners.GenerationRunner:
        """Return the runner of a request, which may have run elsewhere before.

        ``admit`` is awaited before a new generation starts and returns a
        function that is called with its runner. ``event_id`` is the position
        after which the caller wants to continue. ``may_exist`` is false when
        the key was generated for this request.

        Raises
        ------
        Refusal : the key was used with another body, or the event id does
            not match the answer
        """
        scoped_key = (req.organisation, req.key)
        runner = self._runners.get(scoped_key)
        if runner is None:
            task = self._open_tasks.get(scoped_key)
            if task is None:
                task = asyncio.create_task(
                    self._open(req, admit, event_id, may_exist)
                )
                self._open_tasks[scoped_key] = task
                task.add_done_callback(
                    lambda _: self._open_tasks.pop(scoped_key, None)
                )
            runner = await asyncio.shield(task)
        _check_fingerprint(req, runner.generation.req.fingerprint)
        if event_id is not None:
            _check_position(event_id, runner.generation)
        return runner

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

    def hand_over(self) -> None:
        """End every running stream so that another instance continues it."""
        for runner in list(self._runners.values()):
            generation = runner.generation
            if not generation.end_released:
                self._deps.metrics.add(observability.Counter.HANDED_OVER)
                runner.stop(generation.resume_elsewhere_refusal())

    async def close(self) -> None:
        """Stop every generation."""
        await asyncio.gather(
            *(runner.close() for runner in list(self._runners.values()))
        )

    async def _open(
        self,
        req: generations.GenerationRequest,
        admit: Admit,
        event_id: journal.EventId | None,
        may_exist: bool,
    ) -> runners.GenerationRunner:
        if may_exist and self._finder is not None:
            adopted = await self._take_over(self._finder, req, event_id)
            if adopted is not None:
                return adopted
        elif event_id is not None:
            raise _missing_record_refusal(True)
        self._check_poison(req)
        on_started = await admit()
        generation_id = ids.GenerationId(uuid.uuid4().hex)
        runner = self._start(generations.Generation(generation_id, req))
        on_started(runner)
        return runner

    async def _take_over(
        self,
        finder: takeover.RecordFinder,
        req: generations.GenerationRequest,
        event_id: journal.EventId | None,
    ) -> runners.GenerationRunner | None:
        """Continue a generation if this instance or a peer has its record."""
        wanted = event_id.generation if event_id else None
        for _ in range(takeover.MAX_TAKEOVER_TRIES):
            located, all_answered = await finder.find(req, wanted)
            if located is None and event_id is None:
                return None
            if located is None:
                raise _missing_record_refusal(all_answered)
            _check_fingerprint(req, located.header.fingerprint)
            _check_generation(event_id, located.header.generation)
            record = await finder.take_over(req, located)
            if record is not None:
                return self._adopt(req, record)
        raise _missing_record_refusal(False)

    def _adopt(
        self, req: generations.GenerationRequest, record: replicas.Record
    ) -> runners.GenerationRunner:
        self._deps.metrics.add(observability.Counter.TAKEOVERS)
        generation = generations.restore(
            req,
            record.header.generation,
            record.header.epoch,
            record.header.version,
            record.tokens,
            record.texts,
        )
        if record.header.finish is not None:
            generation.complete(record.header.finish)
            return self._add_complete(generation)
        self._check_poison(req)
        if record.header.target is not None:
            generation.adopt_attempt(
                record.header.attempt, record.header.target
            )
        return self._start(generation)

    def _check_poison(self, req: generations.GenerationRequest) -> None:
        refusal = placement.poison_refusal(
            self._deps.quarantine, req, exceptions.Ran.NO
        )
        if refusal is not None:
            raise refusal

    def _new_runner(
        self, generation: generations.Generation
    ) -> runners.GenerationRunner:
        runner = runners.GenerationRunner(
            generation, self._deps, self._policy.runner
        )
        req = generation.req
        self._runners[(req.organisation, req.key)] = runner
        return runner

    def _start(
        self, generation: generations.Generation
    ) -> runners.GenerationRunner:
        runner = self._new_runner(generation)
        self._running += 1
        self._idle.clear()
        runner.on_unattended = lambda: self._schedule_unattended_check(runner)
        runner.start(lambda: self._on_end(runner))
        self._schedule_unattended_check(runner)
        return runner

    def _add_complete(
        self, generation: generations.Generation
    ) -> runners.GenerationRunner:
        runner = self._new_runner(generation)
        self._retain(runner)
        return runner

    def _on_end(self, runner: runners.GenerationRunner) -> None:
        self._running -= 1
        if not self._running:
            self._idle.set()
        if runner.generation.end_released:
            self._retain(runner)
            return
        self._remove_runner(runner)
        if len(runner.generation.journal):
            self._store_partial_answer(runner)

    def _store_partial_answer(self, runner: runners.GenerationRunner) -> None:
        """Store the tokens so that a repeated request continues after them."""
        self._store.put(
            replication.record_of(
                runner.generation, self._deps.replicator.address
            ),
            self._deps.clock.monotonic(),
        )

    def _retain(self, runner: runners.GenerationRunner) -> None:
        req = runner.generation.req
        scoped_key = (req.organisation, req.key)
        self._retained_bytes[scoped_key] = _size_bytes(runner.generation)
        while (
            sum(self._retained_bytes.values()) > self._policy.kept_bytes
            and len(self._retained_bytes) > 1
        ):
            self._remove(next(iter(self._retained_bytes)))
            self._deps.metrics.add(observability.Counter.ANSWERS_EVICTED)
        self._call_later(
            self._policy.kept_ms, lambda: self._remove_runner(runner)
        )

    def _remove_runner(self, runner: runners.GenerationRunner) -> None:
        req = runner.generation.req
        scoped_key = (req.organisation, req.key)
        if self._runners.get(scoped_key) is runner:
            self._remove(scoped_key)

    def _remove(self, key: ScopedKey) -> None:
        self._retained_bytes.pop(key, None)
        self._runners.pop(key, None)

    def _schedule_unattended_check(
        self, runner: runners.GenerationRunner
    ) -> None:
        running = generations.GenerationState.RUNNING
        if runner.generation.state is running:
            self._call_later(
                self._policy.unattended_ms,
                lambda: self._stop_if_unattended(runner),
            )

    def _stop_if_unattended(self, runner: runners.GenerationRunner) -> None:
        running = generations.GenerationState.RUNNING
        if runner.followers or runner.generation.state is not running:
            return
        self._deps.metrics.add(observability.Counter.UNATTENDED_STOPPED)
        runner.abandon()

    @staticmethod
    def _call_later(delay_ms: int, call: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(delay_ms / 1000, call)


def _size_bytes(generation: generations.Generation) -> int:
    prompt = len(generation.req.prompt)
    return prompt + replicas.HEADER_BYTES + generation.journal.size_bytes


def _check_fingerprint(
    req: generations.GenerationRequest, fingerprint: str
) -> None:
    if fingerprint != req.fingerprint:
        raise exceptions.Refusal(
            exceptions.RefusalReason.KEY_REUSED,
            exceptions.Ran.NO,
            "The Idempotency-Key was used with another body.",
            status=422,
        )


def _check_generation(
    event_id: journal.EventId | None, generation: ids.GenerationId
) -> None:
    if event_id is not None and event_id.generation != generation:
        raise position_refusal()


def _check_position(
    event_id: journal.EventId, generation: generations.Generation
) -> None:
    if not generation.journal.agrees_with(event_id):
        raise position_refusal()


def _missing_record_refusal(all_answered: bool) -> exceptions.Refusal:
    if all_answered:
        return position_refusal()
    return exceptions.Refusal(
        exceptions.RefusalReason.NOT_READY,
        exceptions.Ran.UNKNOWN,
        "An instance that may hold the answer did not reply.",
        retry_after_s=1,
    )


def position_refusal() -> exceptions.Refusal:
    """Return the refusal of an event id that matches no answer."""
    return exceptions.Refusal(
        exceptions.RefusalReason.GENERATION_MISMATCH,
        exceptions.Ran.UNKNOWN,
        "The Last-Event-ID is not of this generation.",
        status=409,
    )
