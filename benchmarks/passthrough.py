"""Relay engine streams unchanged, as the baseline of the tokens benchmark."""

import argparse
import asyncio
from collections.abc import AsyncIterator
import json
from typing import Any

import httpx
import litestar
from litestar import response

from sassafrasflow import api


def build_app(url: str) -> litestar.Litestar:
    """Return an application that relays a body to an engine."""
    http = httpx.AsyncClient(
        timeout=None,
        limits=httpx.Limits(max_connections=None),
        trust_env=False,
    )

    async def relay(body: bytes) -> AsyncIterator[bytes]:
        async with http.stream(
            "POST", f"{url}/v1/generations", content=body
        ) as resp:
            async for chunk in resp.aiter_raw():
                yield chunk

    @litestar.post("/v1/completions", status_code=200)
    async def complete(
        request: litestar.Request[Any, Any, Any],
    ) -> response.Stream:
        return response.Stream(
            relay(await request.body()), media_type="text/event-stream"
        )

    return litestar.Litestar(
        [complete], openapi_config=None, logging_config=None
    )


async def _serve(url: str) -> None:
    server = api.HttpServer(build_app(url), "127.0.0.1", 0)
    await server.start()
    print(json.dumps({"port": server.port}), flush=True)
    await asyncio.Event().wait()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--engine", required=True)
    asyncio.run(_serve(parser.parse_args().engine))
