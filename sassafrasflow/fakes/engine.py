"""Fake model engine with queueing, a prefix cache, resumption and orders."""

import asyncio
import collections
from collections.abc import AsyncIterator
import heapq
import itertools
import os
import signal
import time
from typing import Any
import uuid

import litestar
from litestar import response
import msgspec

from sassafrasflow import engines
from sassafrasflow import ids
from sassafrasflow.fakes import responses
from sassafrasflow.fakes import runs
from sassafrasflow.fakes import token_source

__all__ = ["Behaviour", "FakeEngine"]

NS_PER_MS = 1_000_000
MAX_CACHE_EVENTS = 4_096
MAX_LOAD_SAMPLES = 4_096

Request = litestar.Request[Any, Any, Any]
Response = litestar.Response[Any]


class Behaviour(msgspec.Struct, kw_only=True):
    """Set how the engine behaves; ``POST /fake/behaviour`` changes it."""

    token_interval_ms: float = 5.0
    block_prefill_ms: float = 0.2
    tokens_per_event: int = 1
    sampled: bool = False
    capacity: int = 64
    memory_slots: int = 2
    load_ms: float = 50.0
    orphan_ms: float = 5_000.0
    cache_blocks: int = 4_096
    cache_lag_ms: float = 0.0
    cache_gap_every: int = 0
    report_lag_ms: float = 0.0
    obeys_fencing: bool = True
    poison: str = ""
    failing_versions: list[str] = []
    slow_versions: dict[str, float] = {}
    cut_versions: dict[str, int] = {}
    stalled: bool = False
    leaving: bool = False


class FakeEngine:
    """Serve the engine protocol with tokens of a ``TokenSource``."""

    def __init__(
        self,
        loaded: list[engines.LoadedVersion],
        behaviour: Behaviour | None = None,
        *,
        crashes_process: bool = True,
    ) -> None:
        self.behaviour = behaviour or Behaviour()
        self.loaded = list(loaded)
        self.incarnation = time.time_ns() // NS_PER_MS
        self.fencing = 0
        self.role = engines.Role.MIXED
        self.tokens_made = 0
        self.log: list[dict[str, Any]] = []
        self._crashes_process = crashes_process
        self._runs: dict[tuple[str, int], runs.Run] = {}
        self._cache: dict[str, None] = {}
        self._cache_events: collections.deque[
            tuple[float, engines.CacheEvent]
        ] = collections.deque(maxlen=MAX_CACHE_EVENTS)
        self._load_samples: collections.deque[tuple[float, int, int]] = (
            collections.deque([(0.0, 0, 0)], maxlen=MAX_LOAD_SAMPLES)
        )
        self._sequence = itertools.count(1)
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = itertools.count()
        self._running = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def app(self) -> litestar.Litestar:
        """Return the HTTP application."""
        return litestar.Litestar(
            route_handlers=[
                litestar.post("/v1/generations", status_code=200)(self._start),
                litestar.get("/v1/generations/{generation:str}/{number:int}")(
                    self._resume
                ),
                litestar.delete(
                    "/v1/generations/{generation:str}/{number:int}",
                    status_code=200,
                )(self._cancel),
                litestar.post("/v1/orders", status_code=200)(
                    self._handle_order
                ),
                litestar.get("/v1/report")(self._report),
                litestar.get("/v1/cache")(self._list_cache_events),
                litestar.post("/fake/behaviour", status_code=200)(
                    self._change_behaviour
                ),
                litestar.get("/fake/log")(self._show_log),
            ],
            openapi_config=None,
            logging_config=None,
        )

    def close(self) -> None:
        """Cancel every run."""
        for task in list(self._tasks):
            task.cancel()

    async def _start(self, request: Request) -> Response:
        req = msgspec.json.decode(
            await request.body(), type=engines.EngineRequest
        )
        version = engines.LoadedVersion(req.model, req.version)
        if version not in self.loaded or self.behaviour.leaving:
            return responses.to_json({"detail": "not loaded or leaving"}, 409)
        self.log.append(
            {
                "generation": req.generation,
                "attempt": req.attempt,
                "version": req.version,
                "prefix": len(req.prefix),
                "priority": req.priority,
            }
        )
        run = runs.Run(req)
        self._runs[(req.generation, req.attempt)] = run
        self._start_run(run)
        return _stream_response(self._stream_events(run, len(req.prefix)))

    def _start_run(self, run: runs.Run) -> None:
        task = asyncio.create_task(self._produce(run))
        run.task = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _resume(self, request: Request) -> Response:
        run = self._runs.get(_parse_attempt(request))
        if run is None:
            return responses.to_json({"detail": "unknown attempt"}, 404)
        index = int(request.query_params.get("from", 0))
        return _stream_response(self._stream_events(run, index))

    async def _cancel(self, request: Request) -> Response:
        run = self._runs.pop(_parse_attempt(request), None)
        if run is not None and run.task is not None:
            run.task.cancel()
        return responses.to_json({})

    async def _stream_events(
        self, run: runs.Run, index: int
    ) -> AsyncIterator[bytes]:
        position = 0
        while (
            position < len(run.end_indexes)
            and run.end_indexes[position] <= index
        ):
            position += 1
        run.readers += 1
        try:
            while True:
                while position < len(run.events):
                    content = b"".join(run.events[position:])
                    position = len(run.events)
                    yield content
                if run.done or run.failed:
                    return
                await run.changed.wait()
        finally:
            run.readers -= 1
            if not run.readers and not run.done:
                self._schedule_cancel(run)

    def _schedule_cancel(self, run: runs.Run) -> None:
        def cancel() -> None:
            if not run.readers and run.task is not None:
                run.task.cancel()

        loop = asyncio.get_running_loop()
        loop.call_later(self.behaviour.orphan_ms / 1000, cancel)

    async def _produce(self, run: runs.Run) -> None:
        await self._admit(run.req.priority)
        try:
            await self._prefill(run.req)
            await self._decode(run)
        finally:
            self._release()
            run.wake_readers()

    async def _admit(self, priority: int) -> None:
        if self._running >= self.behaviour.capacity:
            admitted = asyncio.get_running_loop().create_future()
            entry = (-priority, next(self._arrivals), admitted)
            heapq.heappush(self._queue, entry)
            await admitted
        self._running += 1
        self._record_load()

    def _record_load(self) -> None:
        now = time.monotonic()
        self._load_samples.append((now, self._running, len(self._queue)))

    def _reported_load(self) -> tuple[int, int]:
        if not self.behaviour.report_lag_ms:
            return self._running, len(self._queue)
        visible_until = time.monotonic() - self.behaviour.report_lag_ms / 1000
        visible = [
            load for load in self._load_samples if load[0] <= visible_until
        ]
        _, running, queued = visible[-1] if visible else self._load_samples[0]
        return running, queued

    def _release(self) -> None:
        self._running -= 1
        self._record_load()
        while self._queue:
            admitted = heapq.heappop(self._queue)[2]
            if not admitted.done():
                admitted.set_result(None)
                return

    async def _prefill(self, req: engines.EngineRequest) -> None:
        poison = self.behaviour.poison
        if poison and poison in req.prompt:
            self._crash()
        blocks = engines.prompt_blocks(req.model, req.version, req.prompt)
        missing = [name for name in blocks if name not in self._cache]
        await asyncio.sleep(
            len(missing) * self.behaviour.block_prefill_ms / 1000
        )
        self._store(missing)

    def _crash(self) -> None:
        if self._crashes_process:
            os.kill(os.getpid(), signal.SIGKILL)

    def _store(self, names: list[str]) -> None:
        if not names:
            return
        self._cache.update(dict.fromkeys(names))
        removed = []
        while len(self._cache) > self.behaviour.cache_blocks:
            oldest = next(iter(self._cache))
            del self._cache[oldest]
            removed.append(oldest)
        sequence = next(self._sequence)
        gap = self.behaviour.cache_gap_every
        if gap and sequence % gap == 0:
            return
        event = engines.CacheEvent(sequence, names, removed)
        self._cache_events.append((time.monotonic(), event))

    async def _decode(self, run: runs.Run) -> None:
        req = run.req
        source = token_source.TokenSource(
            req.model,
            req.version,
            req.prompt,
            generation=req.generation,
            seed=uuid.uuid4().hex if self.behaviour.sampled else None,
        )
        source.skip_prefix(req.prefix)
        index = len(req.prefix)
        limit = req.sampling.max_tokens
        cut = self.behaviour.cut_versions.get(req.version)
        while index < limit:
            await self._wait_for_tokens(req.version)
            if req.version in self.behaviour.failing_versions:
                run.failed = True
                return
            if cut is not None and index >= cut:
                break
            count = min(self.behaviour.tokens_per_event, limit - index)
            produced = [source.next() for _ in range(count)]
            batch = engines.TokenBatch(
                req.attempt,
                index,
                [token for token, _ in produced],
                [text for _, text in produced],
            )
            index += count
            self.tokens_made += count
            run.add_event(batch, index)
        run.done = True
        reason = engines.FinishReason.LENGTH
        if index < limit:
            reason = engines.FinishReason.STOP
        end = engines.Finished(req.attempt, index, reason)
        run.add_event(end, index + 1)

    async def _wait_for_tokens(self, version: ids.VersionId) -> None:
        behaviour = self.behaviour
        factor = behaviour.slow_versions.get(version, 1.0)
        interval_s = behaviour.token_interval_ms * factor / 1000
        await asyncio.sleep(interval_s * behaviour.tokens_per_event)
        while self.behaviour.stalled:
            await asyncio.sleep(0.01)

    async def _handle_order(self, request: Request) -> Response:
        order = msgspec.json.decode(await request.body(), type=engines.Order)
        stale = order.fencing < self.fencing
        if stale and self.behaviour.obeys_fencing:
            return responses.to_json(
                engines.OrderOutcome(False, "old fencing number")
            )
        self.fencing = max(self.fencing, order.fencing)
        return responses.to_json(self._execute_order(order))

    def _execute_order(self, order: engines.Order) -> engines.OrderOutcome:
        if order.kind is engines.OrderKind.SET_ROLE:
            self.role = order.role or self.role
            return engines.OrderOutcome(True)
        assert order.model is not None
        assert order.version is not None
        ready = engines.LoadedVersion(order.model, order.version)
        loading = engines.LoadedVersion(order.model, order.version, False)
        if order.kind is engines.OrderKind.UNLOAD:
            self.loaded = [
                version
                for version in self.loaded
                if version not in (ready, loading)
            ]
            return engines.OrderOutcome(True)
        if ready in self.loaded or loading in self.loaded:
            return engines.OrderOutcome(True)
        if len(self.loaded) >= self.behaviour.memory_slots:
            return engines.OrderOutcome(False, "memory is full")
        self.loaded.append(loading)
        asyncio.get_running_loop().call_later(
            self.behaviour.load_ms / 1000, self._finish_load, loading, ready
        )
        return engines.OrderOutcome(True)

    def _finish_load(
        self, loading: engines.LoadedVersion, ready: engines.LoadedVersion
    ) -> None:
        if loading in self.loaded:
            self.loaded[self.loaded.index(loading)] = ready

    async def _report(self) -> Response:
        running, queued = self._reported_load()
        return responses.to_json(
            engines.EngineReport(
                incarnation=self.incarnation,
                loaded=self.loaded,
                running=running,
                queued=queued,
                capacity=self.behaviour.capacity,
                leaving=self.behaviour.leaving,
                role=self.role,
                fencing=self.fencing,
                memory_slots=self.behaviour.memory_slots,
            )
        )

    async def _list_cache_events(self, request: Request) -> Response:
        after = int(request.query_params.get("after", 0))
        visible_until = time.monotonic() - self.behaviour.cache_lag_ms / 1000
        events = [
            event
            for at, event in self._cache_events
            if event.sequence > after and at <= visible_until
        ]
        return responses.to_json(engines.CacheEvents(self.incarnation, events))

    async def _change_behaviour(self, request: Request) -> Response:
        current = msgspec.to_builtins(self.behaviour)
        changes = msgspec.json.decode(await request.body())
        self.behaviour = msgspec.convert({**current, **changes}, Behaviour)
        return responses.to_json(self.behaviour)

    async def _show_log(self) -> Response:
        return responses.to_json(
            {"starts": self.log, "tokens_made": self.tokens_made}
        )


def _parse_attempt(request: Request) -> tuple[str, int]:
    params = request.path_params
    return params["generation"], params["number"]


def _stream_response(events: AsyncIterator[bytes]) -> Response:
    return response.Stream(events, media_type="application/x-ndjson")
