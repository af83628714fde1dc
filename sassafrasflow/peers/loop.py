"""Attachment of the RPC library to the running asyncio loop."""

from collections.abc import AsyncIterator
import contextlib
from typing import Any

import capnp

__all__ = ["kj_loop"]

_users = 0
_context: Any = None


@contextlib.asynccontextmanager
async def kj_loop() -> AsyncIterator[None]:
    """Attach the library to the running loop until its last user exits."""
    global _context
    global _users
    if not _users:
        _context = capnp.kj_loop()
        await _context.__aenter__()
    _users += 1
    try:
        yield
    finally:
        _users -= 1
        if not _users:
            await _context.__aexit__(None, None, None)
