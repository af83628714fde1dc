"""JSON responses of the fakes."""

from typing import Any

import litestar
import msgspec

__all__ = ["to_json"]


def to_json(body: Any, status: int = 200) -> litestar.Response[bytes]:
    """Return a value as an HTTP response."""
    return litestar.Response(
        msgspec.json.encode(body),
        status_code=status,
        media_type="application/json",
    )
