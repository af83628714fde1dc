"""HTTP adapter to one worker of a plain service."""

import httpx

from sassafrasflow import exceptions
from sassafrasflow import tls
from sassafrasflow.services import interface

__all__ = ["HttpService"]

CONNECT_TIMEOUT_S = 0.5


class HttpService(interface.PlainService):
    """Reach a worker at a base URL.

    Connections are not kept alive: a reused connection that the worker
    has just closed can't tell a call that ran from one that did not.
    """

    def __init__(self, base_url: str) -> None:
        self._http = httpx.AsyncClient(
            base_url=base_url,
            limits=httpx.Limits(max_keepalive_connections=0),
            follow_redirects=False,
            trust_env=False,
            verify=tls.shared_context(),
        )

    async def close(self) -> None:
        await self._http.aclose()

    async def call(
        self, req: interface.ServiceRequest, timeout_s: float
    ) -> interface.ServiceResponse:
        timeout = httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S)
        query = req.query.encode() if req.query else None
        url = httpx.URL(path=req.path, query=query)
        try:
            resp = await self._http.request(
                req.method,
                url,
                content=req.body,
                headers={"content-type": req.content_type},
                timeout=timeout,
            )
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.PoolTimeout,
        ) as exc:
            # None of these has an open connection, so nothing was sent.
            raise exceptions.TargetRefused(f"service: {exc!r}") from exc
        except httpx.TimeoutException as exc:
            raise exceptions.TargetLost(
                f"service: {exc!r}", exceptions.RetryReason.STALLED
            ) from exc
        except httpx.HTTPError as exc:
            raise exceptions.TargetLost(f"service: {exc!r}") from exc
        return interface.ServiceResponse(
            resp.status_code,
            resp.headers.get("content-type", "application/octet-stream"),
            resp.content,
        )
