"""HTTP client of one model engine.

Streams are newline-delimited JSON events. The client uses aiohttp because
its parser is compiled; docs/design/data-path.md has the cost of both HTTP
client libraries.
"""

from collections.abc import AsyncIterator
from typing import TypeVar

import aiohttp
import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import local_errors
from sassafrasflow import statuses
from sassafrasflow.engines import interface
from sassafrasflow.engines import messages

__all__ = ["HttpEngine"]

CONNECT_TIMEOUT_S = 0.5
REQUEST_TIMEOUT_S = 1.0

MessageT = TypeVar("MessageT")

_event_decoder = msgspec.json.Decoder(messages.EngineEvent)


class HttpEngine(interface.Engine):
    """Client of the engine at a base URL."""

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url
        self._stream_session: aiohttp.ClientSession | None = None
        self._request_session: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        for session in (self._stream_session, self._request_session):
            if session is not None:
                await session.close()

    async def start(
        self, req: messages.EngineRequest
    ) -> AsyncIterator[list[messages.EngineEvent]]:
        body = msgspec.json.encode(req)
        async for events in self._stream("POST", "/v1/generations", body):
            yield events

    async def resume(
        self,
        generation: ids.GenerationId,
        attempt: ids.AttemptNumber,
        index: int,
    ) -> AsyncIterator[list[messages.EngineEvent]]:
        path = f"/v1/generations/{generation}/{attempt}?from={index}"
        async for events in self._stream("GET", path, None):
            yield events

    async def cancel(
        self, generation: ids.GenerationId, attempt: ids.AttemptNumber
    ) -> None:
        path = f"/v1/generations/{generation}/{attempt}"
        await self._request("DELETE", path, None)

    async def order(self, order: messages.Order) -> messages.OrderOutcome:
        body = msgspec.json.encode(order)
        content = await self._request("POST", "/v1/orders", body)
        return _decode_reply(content, messages.OrderOutcome)

    async def report(self) -> messages.EngineReport:
        content = await self._request("GET", "/v1/report", None)
        return _decode_reply(content, messages.EngineReport)

    async def cache_events(self, after: int) -> messages.CacheEvents:
        content = await self._request("GET", f"/v1/cache?after={after}", None)
        return _decode_reply(content, messages.CacheEvents)

    async def _request(
        self, method: str, path: str, body: bytes | None
    ) -> bytes:
        if self._request_session is None:
            self._request_session = _new_session(
                aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S),
                force_close=False,
            )
        try:
            async with self._request_session.request(
                method, self._base_url + path, data=body, allow_redirects=False
            ) as resp:
                content = await resp.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise exceptions.TargetLost(f"engine: {exc!r}") from exc
        _check_status(resp)
        return content

    async def _stream(
        self, method: str, path: str, body: bytes | None
    ) -> AsyncIterator[list[messages.EngineEvent]]:
        if self._stream_session is None:
            # A stream is silent while the engine prefills, so only the
            # connection attempt has a timeout; the runner detects stalls.
            # Connections are not kept alive, so that no request is sent on
            # a stale one.
            self._stream_session = _new_session(
                aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
                force_close=True,
            )
        try:
            async with self._stream_session.request(
                method, self._base_url + path, data=body, allow_redirects=False
            ) as resp:
                _check_status(resp)
                async for events in _read_events(resp):
                    yield events
        except aiohttp.ClientConnectorError as exc:
            if exc.os_error.errno in local_errors.LOCAL_ERRORS:
                raise exceptions.TargetRefused(f"engine: {exc!r}") from exc
            raise exceptions.TargetDown(f"engine: {exc!r}") from exc
        except aiohttp.ConnectionTimeoutError as exc:
            raise exceptions.TargetRefused(f"engine: {exc!r}") from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise exceptions.TargetLost(f"engine: {exc!r}") from exc


def _check_status(resp: aiohttp.ClientResponse) -> None:
    """Raise unless the status is that of a success.

    An invalid one tells nothing of the work.
    """
    if statuses.classify(resp.status) is not statuses.StatusKind.RESPONSE:
        raise exceptions.TargetLost(f"engine: invalid status {resp.status}")
    if resp.status != 200:
        raise exceptions.TargetRefused(f"engine: status {resp.status}")


def _new_session(
    timeout: aiohttp.ClientTimeout, *, force_close: bool
) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=force_close),
        timeout=timeout,
        auto_decompress=False,
        trust_env=False,
    )


async def _read_events(
    resp: aiohttp.ClientResponse,
) -> AsyncIterator[list[messages.EngineEvent]]:
    partial_line = b""
    async for chunk in resp.content.iter_any():
        content = partial_line + chunk
        end = content.rfind(b"\n") + 1
        partial_line = content[end:]
        if end:
            yield _decode(content[:end])


def _decode_reply(content: bytes, message_type: type[MessageT]) -> MessageT:
    """Decode a reply, which a reset may have cut if it had no length."""
    try:
        return msgspec.json.decode(content, type=message_type)
    except msgspec.MsgspecError as exc:
        raise exceptions.TargetLost(f"engine: bad reply: {exc}") from exc


def _decode(lines: bytes) -> list[messages.EngineEvent]:
    try:
        return _event_decoder.decode_lines(lines)
    except msgspec.MsgspecError as exc:
        raise exceptions.TargetLost(f"engine: bad event: {exc}") from exc
