"""Log set-up: short sentences with a fixed prefix for each part."""

import sys

from loguru import logger

__all__ = ["configure_logs"]

LINE = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message} {extra}"


def configure_logs(level: str = "INFO", *, as_json: bool = False) -> None:
    """Write logs to standard error, as text or as JSON lines."""
    logger.remove()
    logger.add(
        sys.stderr,
        level=level,
        format=LINE,
        serialize=as_json,
        backtrace=False,
        diagnose=False,
    )
