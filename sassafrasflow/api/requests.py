"""Request ids that connect a caller's request with its log lines."""

import re
from typing import Any
import uuid

from loguru import logger

__all__ = ["add_request_ids"]

HEADER = b"x-request-id"
VALID_ID = re.compile(rb"[A-Za-z0-9._-]{1,64}")


def add_request_ids(app: Any) -> Any:
    """Return an ASGI application that assigns an id to each request.

    A valid ``X-Request-Id`` of the caller is used. The answer carries the id.
    """

    async def app_with_id(scope: Any, receive: Any, send: Any) -> None:
        request_id = _request_id(scope["headers"])

        async def send_with_id(message: Any) -> None:
            if message["type"] == "http.response.start":
                headers = [*message.get("headers", []), (HEADER, request_id)]
                message = {**message, "headers": headers}
            await send(message)

        # Tasks that are started within this block inherit the bound id.
        with logger.contextualize(request=request_id.decode()):
            await app(scope, receive, send_with_id)

    return app_with_id


def _request_id(headers: list[tuple[bytes, bytes]]) -> bytes:
    caller_id = next((value for name, value in headers if name == HEADER), b"")
    if VALID_ID.fullmatch(caller_id):
        return caller_id
    return uuid.uuid4().hex.encode()
