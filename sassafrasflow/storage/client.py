"""HTTP client of the platform's services.

:class:`PlatformClient` implements all platform interfaces on one connection
pool. It never retries, because only the caller knows what a lost answer
means.
"""

from collections.abc import Sequence
from typing import TypeVar

import httpx
import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import statuses
from sassafrasflow.storage import interfaces

__all__ = [
    "GetRequest",
    "PlatformClient",
    "ReserveRequest",
    "ScanRequest",
    "TransactRequest",
]

MessageT = TypeVar("MessageT")

_list_decoder = msgspec.json.Decoder(list[interfaces.ListedInstance])
_row_decoder: msgspec.json.Decoder[interfaces.Row | None] = (
    msgspec.json.Decoder(interfaces.Row | None)
)


class GetRequest(msgspec.Struct):
    """Request one row."""

    key: str


class ScanRequest(msgspec.Struct):
    """Request the rows whose keys have a prefix."""

    prefix: str
    after: str = ""
    limit: int = 100


class TransactRequest(msgspec.Struct):
    """Request a conditional transaction."""

    conditions: list[interfaces.Condition]
    writes: list[interfaces.Write]


class ReserveRequest(msgspec.Struct):
    """Request permission for one download of model weights."""

    model: ids.ModelName
    version: ids.VersionId


class PlatformClient(
    interfaces.TableService,
    interfaces.ObjectStore,
    interfaces.WeightStore,
    interfaces.InstanceList,
):
    """Client of all platform services at one base URL."""

    def __init__(
        self,
        base_url: str,
        *,
        timeout_ms: int = 1000,
        transport: httpx.AsyncBaseTransport | None = None,
    ) -> None:
        self._http = httpx.AsyncClient(
            base_url=base_url,
            timeout=timeout_ms / 1000,
            trust_env=False,
            transport=transport,
        )

    async def close(self) -> None:
        """Close the connection pool."""
        await self._http.aclose()

    async def get(self, key: str) -> interfaces.Row | None:
        resp = await self._post("/table/get", GetRequest(key))
        return _decode(resp, _row_decoder)

    async def scan(
        self, prefix: str, *, after: str = "", limit: int = 100
    ) -> list[interfaces.Row]:
        request = ScanRequest(prefix, after, limit)
        return await self._post_and_decode(
            "/table/scan", request, list[interfaces.Row]
        )

    async def transact(
        self,
        conditions: Sequence[interfaces.Condition],
        writes: Sequence[interfaces.Write],
    ) -> None:
        request = TransactRequest(list(conditions), list(writes))
        await self._post("/table/transact", request, is_write=True)

    async def instances(self) -> list[interfaces.ListedInstance]:
        resp = await self._send("GET", "/instances")
        return _decode(resp, _list_decoder)

    async def reserve(
        self, model: ids.ModelName, version: ids.VersionId
    ) -> interfaces.WeightGrant:
        request = ReserveRequest(model, version)
        return await self._post_and_decode(
            "/weights/reserve", request, interfaces.WeightGrant
        )

    async def load_object(self, name: str) -> bytes | None:
        resp = await self._send("GET", f"/objects/{name}", allow_missing=True)
        return None if resp.status_code == 404 else resp.content

    async def store_object(self, name: str, value: bytes) -> None:
        await self._send("PUT", f"/objects/{name}", value, is_write=True)

    async def delete_object(self, name: str) -> None:
        await self._send("DELETE", f"/objects/{name}", is_write=True)

    async def _post_and_decode(
        self, path: str, request: msgspec.Struct, response_type: type[MessageT]
    ) -> MessageT:
        resp = await self._post(path, request)
        return _decode(resp, msgspec.json.Decoder(response_type))

    async def _post(
        self, path: str, request: msgspec.Struct, *, is_write: bool = False
    ) -> httpx.Response:
        body = msgspec.json.encode(request)
        return await self._send("POST", path, body, is_write=is_write)

    async def _send(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        *,
        is_write: bool = False,
        allow_missing: bool = False,
    ) -> httpx.Response:
        try:
            resp = await self._http.request(method, path, content=body)
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            raise exceptions.TableUnavailable(f"platform: {exc!r}") from exc
        except httpx.HTTPError as exc:
            if is_write:
                raise exceptions.TableOutcomeUnknown(
                    f"platform: {exc!r}"
                ) from exc
            raise exceptions.TableUnavailable(f"platform: {exc!r}") from exc
        if not (allow_missing and resp.status_code == 404):
            _check_status(resp, is_write)
        return resp


def _check_status(resp: httpx.Response, is_write: bool) -> None:
    if resp.is_success:
        return
    if resp.status_code == 409:
        raise exceptions.TableConflict("a condition failed")
    if resp.status_code == 503:
        raise exceptions.TableUnavailable("platform: unavailable")
    problem = f"platform: status {resp.status_code}"
    kind = statuses.classify(resp.status_code)
    is_unknown = (
        resp.status_code >= 500 or kind is not statuses.StatusKind.RESPONSE
    )
    if is_unknown and is_write:
        raise exceptions.TableOutcomeUnknown(problem)
    # This includes statuses that only a different server at this URL would
    # return.
    raise exceptions.TableUnavailable(problem)


def _decode(
    resp: httpx.Response, decoder: msgspec.json.Decoder[MessageT]
) -> MessageT:
    try:
        return decoder.decode(resp.content)
    except msgspec.MsgspecError as exc:
        raise exceptions.TableUnavailable(
            f"platform: not its answer: {exc}"
        ) from exc
