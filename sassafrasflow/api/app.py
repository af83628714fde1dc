"""ASGI application with all HTTP routes of an instance."""

from typing import Any

import litestar
from litestar import types
from litestar.handlers import HTTPRouteHandler
from loguru import logger

from sassafrasflow import calls
from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import generations
from sassafrasflow import observability
from sassafrasflow import organisations
from sassafrasflow import releases
from sassafrasflow.api import calls as call_routes
from sassafrasflow.api import completions
from sassafrasflow.api import operators
from sassafrasflow.api import problems
from sassafrasflow.api import status

__all__ = ["AppState", "build_app"]

SERVICE_METHODS: list[types.Method] = [
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "PATCH",
    "DELETE",
]

Request = litestar.Request[Any, Any, Any]
Response = litestar.Response[Any]


class AppState:
    """Hold the route handlers and the shared state of the application.

    ``stopping`` is set while the instance drains; new requests of callers
    are then refused.
    """

    def __init__(
        self,
        keeper: configuration.ConfigurationKeeper,
        registry: generations.GenerationRegistry,
        call_handler: calls.CallHandler,
        note_manager: releases.NoteManager,
        metrics: observability.Metrics,
        status_routes: status.StatusRoutes,
        gate: organisations.Gate,
    ) -> None:
        self.keeper = keeper
        self.metrics = metrics
        self.completions = completions.CompletionRoutes(
            keeper, registry, metrics, gate
        )
        self.calls = call_routes.CallRoutes(keeper, call_handler)
        self.operators = operators.OperatorRoutes(keeper, note_manager)
        self.status = status_routes
        self.stopping = False


def build_app(state: AppState, *, max_body_bytes: int) -> litestar.Litestar:
    """Return the ASGI application; bodies above the limit are refused."""

    def refuse(_: Request, exc: Exception) -> Response:
        refusal = problems.refusal_of(exc)
        state.metrics.count_refusal(refusal.reason)
        _log_refusal(refusal, exc)
        return problems.to_response(refusal)

    return litestar.Litestar(
        route_handlers=[
            *_caller_routes(state),
            *_operator_routes(state),
            *_health_routes(state),
        ],
        request_max_body_size=max_body_bytes,
        exception_handlers={Exception: refuse},
        openapi_config=None,
        logging_config=None,
    )


def _log_refusal(refusal: exceptions.Refusal, exc: Exception) -> None:
    reason = refusal.reason.value
    if refusal.reason is exceptions.RefusalReason.INTERNAL_ERROR:
        logger.opt(exception=exc).error("api: Internal error.")
    else:
        logger.info("api: Refused: {}, ran {}.", reason, refusal.ran.value)


def _refuse_when_stopping(
    state: AppState, ran: exceptions.Ran = exceptions.Ran.NO
) -> None:
    if state.stopping:
        raise exceptions.Refusal(
            exceptions.RefusalReason.STOPPING,
            ran,
            "The instance is stopping; ask another one.",
            retry_after_s=1,
        )


def _caller_routes(state: AppState) -> list[HTTPRouteHandler]:
    @litestar.post("/v1/completions", status_code=200)
    async def complete(request: Request) -> Response:
        _refuse_when_stopping(state)
        return await state.completions.complete(request, chat=False)

    @litestar.post("/v1/chat/completions", status_code=200)
    async def chat(request: Request) -> Response:
        _refuse_when_stopping(state)
        return await state.completions.complete(request, chat=True)

    @litestar.route(
        "/services/{service:str}/{path:path}", http_method=SERVICE_METHODS
    )
    async def call(request: Request) -> Response:
        # With an idempotency key, an earlier call with this key may have run.
        keyed = call_routes.KEY_HEADER in request.headers
        ran = exceptions.Ran.UNKNOWN if keyed else exceptions.Ran.NO
        _refuse_when_stopping(state, ran)
        service = request.path_params["service"]
        path = request.path_params["path"]
        return await state.calls.call(request, service, path)

    return [complete, chat, call]


def _operator_routes(state: AppState) -> list[HTTPRouteHandler]:
    @litestar.post("/operator/notes")
    async def submit(request: Request) -> Response:
        return await state.operators.submit(request)

    @litestar.get("/operator/notes")
    async def list_notes(request: Request) -> Response:
        return await state.operators.list_notes(request)

    @litestar.get("/operator/notes/{note_id:str}")
    async def show(request: Request) -> Response:
        note_id = request.path_params["note_id"]
        return await state.operators.show(request, note_id)

    @litestar.post("/operator/notes/{note_id:str}/take-back", status_code=200)
    async def take_back(request: Request) -> Response:
        note_id = request.path_params["note_id"]
        return await state.operators.take_back(request, note_id)

    @litestar.get("/operator/status")
    async def show_status(request: Request) -> Response:
        return state.status.show(request, stopping=state.stopping)

    return [submit, list_notes, show, take_back, show_status]


def _health_routes(state: AppState) -> list[HTTPRouteHandler]:
    @litestar.get("/healthz", media_type="text/plain")
    async def healthz() -> str:
        return "ok\n"

    @litestar.get("/readyz", media_type="text/plain")
    async def readyz() -> Response:
        ready = state.keeper.is_ready and not state.stopping
        return litestar.Response(
            "ready\n" if ready else "not ready\n",
            status_code=200 if ready else 503,
            media_type="text/plain",
        )

    @litestar.get("/metrics", media_type="text/plain")
    async def metrics() -> str:
        return state.metrics.render()

    return [healthz, readyz, metrics]
