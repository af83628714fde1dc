"""Configuration of the log.

A message is a short sentence with a fixed prefix for each component. Bound
values, such as the ids of the request and the generation, follow the
sentence or are members of the JSON object.
"""

import logging
import sys
from typing import Any

from loguru import logger
import msgspec

__all__ = ["configure_logs"]

# Prefix of messages from the loggers of libraries.
PREFIX_BY_LIBRARY = {"uvicorn": "api", "asyncio": "instance"}


def configure_logs(level: str = "INFO", *, as_json: bool = False) -> None:
    """Write the log to standard error, as text or as JSON lines."""
    logger.remove()
    logger.add(
        _write_json if as_json else _write_text,
        level=level,
        format="{message}",
        backtrace=False,
        # Values of variables in a traceback could be prompts or keys.
        diagnose=False,
    )
    logging.basicConfig(
        handlers=[_LibraryHandler()], level=logging.WARNING, force=True
    )


def _write_text(message: Any) -> None:
    record = message.record
    bound = "".join(f" {k}={v}" for k, v in record["extra"].items())
    stamp = record["time"].isoformat(timespec="milliseconds")
    level = record["level"].name
    sentence, _, trace = str(message).rstrip("\n").partition("\n")
    lines = f"{stamp} {level} {sentence}{bound}\n"
    sys.stderr.write(lines + (f"{trace}\n" if trace else ""))


def _write_json(message: Any) -> None:
    record = message.record
    fields = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
        **{name: str(value) for name, value in record["extra"].items()},
    }
    if record["exception"] is not None:
        fields["trace"] = str(message).partition("\n")[2].strip()
    sys.stderr.write(msgspec.json.encode(fields).decode() + "\n")


class _LibraryHandler(logging.Handler):
    """Forward messages of libraries with a prefix."""

    def emit(self, record: logging.LogRecord) -> None:
        prefix = PREFIX_BY_LIBRARY.get(record.name.split(".")[0], "library")
        logger.opt(exception=record.exc_info).log(
            record.levelname, "{}: {}", prefix, record.getMessage()
        )
