"""HTTP client of one target of a plain service."""

import urllib.parse

import httpx

from sassafrasflow import exceptions
from sassafrasflow import statuses
from sassafrasflow import tls
from sassafrasflow.services import interface

__all__ = ["HttpService"]

CONNECT_TIMEOUT_S = 0.5
PATH_SAFE = "/:@!$&'()*+,;=-._~"
QUERY_SAFE = PATH_SAFE + "?%"


class HttpService(interface.PlainService):
    """Client of the target at a base URL.

    Connections are not kept alive. If a target closes a reused connection,
    the client can't tell whether the call ran.
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
        url = _relative_url(req)
        try:
            resp = await self._http.request(
                req.method,
                url,
                content=req.body,
                headers={b"content-type": req.content_type.encode("latin-1")},
                timeout=timeout,
            )
        except (
            httpx.ConnectError,
            httpx.ConnectTimeout,
            httpx.PoolTimeout,
        ) as exc:
            # These errors occur before a connection is open, so nothing was
            # sent.
            raise exceptions.TargetRefused(f"service: {exc!r}") from exc
        except httpx.TimeoutException as exc:
            raise exceptions.TargetLost(
                f"service: {exc!r}", exceptions.RetryReason.STALLED
            ) from exc
        except httpx.HTTPError as exc:
            raise exceptions.TargetLost(f"service: {exc!r}") from exc
        kind = statuses.classify(resp.status_code)
        if kind is not statuses.StatusKind.RESPONSE:
            raise exceptions.TargetLost(
                f"service: invalid status {resp.status_code}"
            )
        return interface.ServiceResponse(
            resp.status_code,
            resp.headers.get("content-type", "application/octet-stream"),
            resp.content,
        )


def _relative_url(req: interface.ServiceRequest) -> httpx.URL:
    """Return a URL that the target decodes to exactly the path of the call.

    The route was looked up by the decoded path, so a percent sign in it is
    quoted again; otherwise the target would decode the path a second time.
    """
    path = urllib.parse.quote(req.path, safe=PATH_SAFE)
    if not req.query:
        return httpx.URL(path=path)
    query = urllib.parse.quote(req.query, safe=QUERY_SAFE, encoding="latin-1")
    return httpx.URL(path=path, query=query.encode("ascii"))
