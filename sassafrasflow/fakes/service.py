"""Fake plain service that logs every execution of a call."""

import asyncio
import time
from typing import Any

import litestar
import msgspec

from sassafrasflow.fakes import responses

__all__ = ["FakeService", "ServiceBehaviour"]

Request = litestar.Request[Any, Any, Any]
Response = litestar.Response[Any]


class ServiceBehaviour(msgspec.Struct, kw_only=True):
    """Set how the service behaves; ``POST /fake/behaviour`` changes it."""

    delay_ms: float = 0.0
    delay_before_ms: float = 0.0
    lose_answers: int = 0


class FakeService:
    """Log each execution and return how many there were so far."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.behaviour = ServiceBehaviour()
        self.executions: list[dict[str, str | float]] = []

    def app(self) -> litestar.Litestar:
        """Return the HTTP application."""
        call = litestar.route(
            ["/", "/{path:path}"],
            http_method=["GET", "POST", "PUT", "PATCH", "DELETE"],
            status_code=200,
        )(self._call)
        return litestar.Litestar(
            route_handlers=[
                call,
                litestar.get("/fake/log")(self._show_log),
                litestar.post("/fake/behaviour", status_code=200)(
                    self._change_behaviour
                ),
            ],
            openapi_config=None,
            logging_config=None,
        )

    async def _call(self, request: Request) -> Response:
        body = (await request.body()).decode()
        if self.behaviour.delay_before_ms:
            await asyncio.sleep(self.behaviour.delay_before_ms / 1000)
        self.executions.append(
            {
                "method": request.method,
                "path": request.url.path,
                "body": body,
                "at": time.monotonic(),
            }
        )
        if self.behaviour.delay_ms:
            await asyncio.sleep(self.behaviour.delay_ms / 1000)
        if self.behaviour.lose_answers > 0:
            self.behaviour.lose_answers -= 1
            # The content is shorter than declared, so the response breaks.
            return litestar.Response(
                b"",
                media_type="application/json",
                headers={"content-length": "100"},
            )
        return responses.to_json(
            {"worker": self.name, "ran": len(self.executions)}
        )

    async def _show_log(self) -> Response:
        return responses.to_json(self.executions)

    async def _change_behaviour(self, request: Request) -> Response:
        current = msgspec.to_builtins(self.behaviour)
        changes = msgspec.json.decode(await request.body())
        self.behaviour = msgspec.convert(
            {**current, **changes}, ServiceBehaviour
        )
        return responses.to_json(self.behaviour)
