"""HTTP adapter to one model engine.

Streams are newline-delimited JSON events. The adapter uses aiohttp, whose
parser is compiled; docs/design/data-path.md has the cost of both libraries.
"""

from collections.abc import AsyncIterator

import aiohttp
import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.engines import interface
from sassafrasflow.engines import messages

__all__ = ["HttpEngine"]

CONNECT_TIMEOUT_S = 0.5
REPORT_TIMEOUT_S = 1.0

_event_decoder = msgspec.json.Decoder(messages.EngineEvent)


class HttpEngine(interface.Engine):
    """Reach an engine at a base URL."""

    def __init__(self, base_url: str) -> None:
        self._base_url = base_url
        self._streams: aiohttp.ClientSession | None = None
        self._asks: aiohttp.ClientSession | None = None

    async def close(self) -> None:
        for session in (self._streams, self._asks):
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
        await self._ask("DELETE", path, None)

    async def order(self, order: messages.Order) -> messages.OrderOutcome:
        body = msgspec.json.encode(order)
        content = await self._ask("POST", "/v1/orders", body)
        return msgspec.json.decode(content, type=messages.OrderOutcome)

    async def report(self) -> messages.EngineReport:
        content = await self._ask("GET", "/v1/report", None)
        return msgspec.json.decode(content, type=messages.EngineReport)

    async def cache_events(self, after: int) -> messages.CacheEvents:
        content = await self._ask("GET", f"/v1/cache?after={after}", None)
        return msgspec.json.decode(content, type=messages.CacheEvents)

    async def _ask(self, method: str, path: str, body: bytes | None) -> bytes:
        if self._asks is None:
            self._asks = _session(
                aiohttp.ClientTimeout(total=REPORT_TIMEOUT_S),
                force_close=False,
            )
        try:
            async with self._asks.request(
                method, self._base_url + path, data=body, allow_redirects=False
            ) as resp:
                content = await resp.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise exceptions.TargetLost(f"engine: {exc!r}") from exc
        if resp.status != 200:
            raise exceptions.TargetRefused(f"engine: status {resp.status}")
        return content

    async def _stream(
        self, method: str, path: str, body: bytes | None
    ) -> AsyncIterator[list[messages.EngineEvent]]:
        if self._streams is None:
            # A stream may stay silent while the engine prefills, so only
            # the connect step has a timeout; the runner detects stalls.
            # No connection is kept alive, so none is found stale.
            self._streams = _session(
                aiohttp.ClientTimeout(
                    total=None, sock_connect=CONNECT_TIMEOUT_S
                ),
                force_close=True,
            )
        try:
            async with self._streams.request(
                method, self._base_url + path, data=body, allow_redirects=False
            ) as resp:
                if resp.status != 200:
                    raise exceptions.TargetRefused(
                        f"engine: status {resp.status}"
                    )
                async for events in _events(resp):
                    yield events
        except aiohttp.ClientConnectorError as exc:
            raise exceptions.TargetDown(f"engine: {exc!r}") from exc
        except aiohttp.ConnectionTimeoutError as exc:
            raise exceptions.TargetRefused(f"engine: {exc!r}") from exc
        except (aiohttp.ClientError, OSError) as exc:
            raise exceptions.TargetLost(f"engine: {exc!r}") from exc


def _session(
    timeout: aiohttp.ClientTimeout, *, force_close: bool
) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=force_close),
        timeout=timeout,
        auto_decompress=False,
        trust_env=False,
    )


async def _events(
    resp: aiohttp.ClientResponse,
) -> AsyncIterator[list[messages.EngineEvent]]:
    rest = b""
    async for chunk in resp.content.iter_any():
        content = rest + chunk
        end = content.rfind(b"\n") + 1
        rest = content[end:]
        if end:
            yield _decode(content[:end])


def _decode(lines: bytes) -> list[messages.EngineEvent]:
    try:
        return _event_decoder.decode_lines(lines)
    except msgspec.MsgspecError as exc:
        raise exceptions.TargetLost(f"engine: bad event: {exc}") from exc
