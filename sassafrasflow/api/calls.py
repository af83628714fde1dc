"""Route for calls to plain services."""

from typing import Any

import litestar

from sassafrasflow import calls
from sassafrasflow import configuration
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.api import auth
from sassafrasflow.services import interface

__all__ = ["CallRoutes"]

KEY_HEADER = "idempotency-key"


class CallRoutes:
    """Authenticate calls to plain services and pass them to the handler."""

    def __init__(
        self,
        keeper: configuration.ConfigurationKeeper,
        handler: calls.CallHandler,
    ) -> None:
        self._keeper = keeper
        self._handler = handler

    async def call(
        self, req: litestar.Request[Any, Any, Any], service: str, path: str
    ) -> litestar.Response[Any]:
        """Handle one call and return the answer of the service."""
        try:
            call = await self._parse_call(req, service, path)
        except exceptions.Refusal as exc:
            raise _cover_earlier_calls(exc, req) from exc
        answer = await self._handler.handle(call)
        return litestar.Response(
            answer.body,
            status_code=answer.status,
            media_type=answer.content_type,
        )

    async def _parse_call(
        self, req: litestar.Request[Any, Any, Any], service: str, path: str
    ) -> calls.Call:
        cfg = self._keeper.current
        organisation = auth.authenticate_caller(req, cfg)
        name = ids.ServiceName(service)
        if name not in cfg.services:
            raise exceptions.Refusal(
                exceptions.RefusalReason.UNKNOWN_SERVICE,
                exceptions.Ran.NO,
                f"No service {service} is served.",
                status=404,
            )
        calls.check_path(path)
        idempotent = cfg.services[name].is_idempotent(req.method, path)
        key = req.headers.get(KEY_HEADER)
        return calls.Call(
            organisation=organisation,
            service=name,
            req=interface.ServiceRequest(
                method=req.method,
                path=path,
                query=req.scope["query_string"].decode("latin-1"),
                content_type=req.headers.get(
                    "content-type", "application/octet-stream"
                ),
                body=await req.body(),
            ),
            idempotent=idempotent,
            key=ids.RequestKey(key) if key else None,
            weight=cfg.organisations[organisation].weight,
        )


def _cover_earlier_calls(
    refusal: exceptions.Refusal, req: litestar.Request[Any, Any, Any]
) -> exceptions.Refusal:
    """Return a refusal whose ``ran`` also covers earlier calls with the key.

    An earlier call with the same key may have run before the configuration
    or this instance changed. A malformed call is the exception: it was
    refused the first time as well.
    """
    malformed = refusal.reason is exceptions.RefusalReason.MALFORMED_REQUEST
    if KEY_HEADER not in req.headers or malformed:
        return refusal
    return exceptions.Refusal(
        refusal.reason,
        exceptions.Ran.UNKNOWN,
        refusal.detail,
        status=refusal.status,
        retry_after_s=refusal.retry_after_s,
    )
