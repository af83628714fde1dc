"""OpenAI-compatible routes for completions."""

import asyncio
from collections.abc import AsyncIterator
import time
from typing import Any
import uuid

import litestar
from litestar import response
import msgspec

from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import generations
from sassafrasflow import ids
from sassafrasflow import observability
from sassafrasflow import organisations
from sassafrasflow.api import auth
from sassafrasflow.api import bodies
from sassafrasflow.api import problems

__all__ = ["CompletionRoutes"]

KEY_HEADER = "idempotency-key"
LAST_EVENT_HEADER = "last-event-id"
MAX_KEY_CHARS = 200


class CompletionRoutes:
    """Serve text and chat completions, as one body or as a stream."""

    def __init__(
        self,
        keeper: configuration.ConfigurationKeeper,
        registry: generations.GenerationRegistry,
        metrics: observability.Metrics,
        gate: organisations.Gate,
    ) -> None:
        self._keeper = keeper
        self._registry = registry
        self._metrics = metrics
        self._gate = gate
        self._release_tasks: set[asyncio.Task[None]] = set()

    async def complete(
        self, req: litestar.Request[Any, Any, Any], *, chat: bool
    ) -> litestar.Response[Any]:
        """Handle one completion request."""
        cfg = self._keeper.current
        organisation = auth.authenticate_caller(req, cfg)
        self._metrics.add(observability.Counter.REQUESTS)
        raw = await req.body()
        body = bodies.parse_body(raw, chat=chat)
        if not cfg.shares(body.model):
            raise _unknown_model(body.model)
        given_key = req.headers.get(KEY_HEADER, "")
        key = ids.RequestKey(given_key or uuid.uuid4().hex)
        _check_key(key)
        event_id = _parse_event_id(req)
        entry = cfg.organisations[organisation]
        runner = await self._submit(
            generations.GenerationRequest(
                organisation=organisation,
                key=key,
                model=body.model,
                prompt=body.rendered_prompt(),
                sampling=body.sampling(),
                fingerprint=bodies.fingerprint_of(body),
                priority=entry.priority,
                route=req.url.path,
            ),
            entry.weight,
            event_id,
            may_exist=bool(given_key),
        )
        start = event_id.index if event_id is not None else 0
        formatter = _CompletionFormatter(
            runner, body.model, chat, self._metrics
        )
        headers = {KEY_HEADER: key, "x-generation": runner.generation.id}
        if body.stream:
            return response.Stream(
                formatter.events(start),
                media_type="text/event-stream",
                headers=headers,
            )
        await runner.wait()
        return litestar.Response(
            formatter.full_body(),
            media_type="application/json",
            headers=headers,
        )

    async def _submit(
        self,
        req: generations.GenerationRequest,
        weight: float,
        event_id: generations.EventId | None,
        *,
        may_exist: bool,
    ) -> generations.GenerationRunner:
        """Join or continue a generation, or start one once admitted."""

        async def admit() -> generations.OnStarted:
            ticket = await self._gate.acquire(
                organisations.WorkKind.GENERATION, req.organisation, weight
            )
            return lambda runner: self._release_when_ended(ticket, runner)

        return await self._registry.open(
            req, admit, event_id=event_id, may_exist=may_exist
        )

    def _release_when_ended(
        self,
        ticket: organisations.Ticket,
        runner: generations.GenerationRunner,
    ) -> None:
        task = asyncio.create_task(_wait_and_release(ticket, runner))
        self._release_tasks.add(task)
        task.add_done_callback(self._release_tasks.discard)


async def _wait_and_release(
    ticket: organisations.Ticket, runner: generations.GenerationRunner
) -> None:
    try:
        await runner.wait_for_end()
    finally:
        refused = runner.generation.refusal is not None
        ticket.release(succeeded=not refused)


class _CompletionFormatter:
    """Format one generation as client libraries of this API expect it."""

    def __init__(
        self,
        runner: generations.GenerationRunner,
        model: ids.ModelName,
        chat: bool,
        metrics: observability.Metrics,
    ) -> None:
        self._metrics = metrics
        self._runner = runner
        self._model = model
        self._chat = chat
        self._created = int(time.time())

    async def events(self, start: int) -> AsyncIterator[bytes]:
        try:
            if self._chat and not start:
                yield _sse(self._first_chunk(), str(self._first_event_id()))
            async for delivery in self._runner.follow(start):
                self._count_delivered(len(delivery.tokens))
                yield _sse(
                    self._chunk(delivery.text, None), str(delivery.event_id)
                )
            reason = self._runner.generation.finish_reason
            assert reason is not None
            event_id = self._runner.generation.journal.event_id()
            yield _sse(self._chunk("", reason.value), str(event_id))
            yield b"data: [DONE]\n\n"
        except exceptions.Refusal as exc:
            self._metrics.count_refusal(exc.reason)
            problem = msgspec.json.encode(problems.problem_of(exc))
            yield b"event: error\ndata: " + problem + b"\n\n"

    def full_body(self) -> bytes:
        generation = self._runner.generation
        self._count_delivered(len(generation.journal))
        text = "".join(generation.journal.texts)
        reason = generation.finish_reason
        assert reason is not None
        content: dict[str, Any] = (
            {"message": {"role": "assistant", "content": text}}
            if self._chat
            else {"text": text}
        )
        body = self._envelope("chat.completion", content, reason.value)
        body["usage"] = {
            "prompt_tokens": 0,
            "completion_tokens": len(generation.journal),
            "total_tokens": len(generation.journal),
        }
        return msgspec.json.encode(body)

    def _count_delivered(self, tokens: int) -> None:
        self._metrics.add(observability.Counter.TOKENS_DELIVERED, tokens)

    def _first_chunk(self) -> bytes:
        content = {"delta": {"role": "assistant", "content": ""}}
        body = self._envelope("chat.completion.chunk", content, None)
        return msgspec.json.encode(body)

    def _first_event_id(self) -> generations.EventId:
        journal = self._runner.generation.journal
        return generations.EventId(
            self._runner.generation.id, 0, journal.digest_at(0)
        )

    def _chunk(self, text: str, reason: str | None) -> bytes:
        content: dict[str, Any] = (
            {"delta": {"content": text}} if self._chat else {"text": text}
        )
        body = self._envelope("chat.completion.chunk", content, reason)
        return msgspec.json.encode(body)

    def _envelope(
        self, chat_object: str, content: dict[str, Any], reason: str | None
    ) -> dict[str, Any]:
        return {
            "id": self._runner.generation.id,
            "object": chat_object if self._chat else "text_completion",
            "created": self._created,
            "model": self._model,
            "choices": [
                {
                    "index": 0,
                    **content,
                    "logprobs": None,
                    "finish_reason": reason,
                }
            ],
        }


def _sse(data: bytes, event_id: str) -> bytes:
    return b"id: " + event_id.encode() + b"\ndata: " + data + b"\n\n"


def _check_key(key: ids.RequestKey) -> None:
    if len(key) > MAX_KEY_CHARS or not (key.isascii() and key.isprintable()):
        raise exceptions.Refusal(
            exceptions.RefusalReason.MALFORMED_REQUEST,
            exceptions.Ran.NO,
            f"An Idempotency-Key has at most {MAX_KEY_CHARS} printable "
            "ASCII characters.",
            status=400,
        )


def _unknown_model(model: ids.ModelName) -> exceptions.Refusal:
    return exceptions.Refusal(
        exceptions.RefusalReason.UNKNOWN_MODEL,
        exceptions.Ran.NO,
        f"No model {model} is served.",
        status=404,
    )


def _parse_event_id(
    req: litestar.Request[Any, Any, Any],
) -> generations.EventId | None:
    text = req.headers.get(LAST_EVENT_HEADER, "")
    if not text:
        return None
    try:
        return generations.parse_event_id(text)
    except exceptions.JournalError as exc:
        raise generations.position_refusal() from exc
