"""Loader that reads a settings file and reports every fault in it."""

from collections.abc import Iterable
import pathlib
from typing import Any

import msgspec

from sassafrasflow import exceptions
from sassafrasflow.settings import checks
from sassafrasflow.settings import schema
from sassafrasflow.settings import validator

__all__ = ["load_settings", "parse_settings"]


def load_settings(path: pathlib.Path) -> schema.Settings:
    """Read and check a settings file.

    Raises
    ------
    ExceptionGroup : one :class:`SettingsError` for each fault
    """
    try:
        content = path.read_bytes()
    except OSError as exc:
        fault = exceptions.SettingsError(str(path), f"{exc.strerror}")
        raise ExceptionGroup("settings", [fault]) from exc
    return parse_settings(content)


def parse_settings(content: bytes) -> schema.Settings:
    """Check settings given as JSON.

    Raises
    ------
    ExceptionGroup : one :class:`SettingsError` for each fault
    """
    try:
        raw = msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        fault = exceptions.SettingsError("$", f"not JSON: {exc}")
        raise ExceptionGroup("settings", [fault]) from exc
    faults = _faults(raw)
    if faults:
        raise ExceptionGroup("settings", faults)
    return msgspec.convert(raw, schema.Settings)


def _faults(raw: Any) -> list[exceptions.SettingsError]:
    validation = validator.Validator(raw, schema.Settings)
    faults = {fault.path: fault for fault in validation.faults}
    try:
        usable = msgspec.convert(validation.usable, schema.Settings)
    except msgspec.ValidationError:
        # A required section is missing, so rules between sections can't be
        # checked.
        return _sorted(faults.values())
    rules = [
        fault
        for fault in checks.rule_faults(usable)
        if not any(path.startswith(fault.path) for path in faults)
    ]
    return _sorted([*faults.values(), *rules])


def _sorted(
    faults: Iterable[exceptions.SettingsError],
) -> list[exceptions.SettingsError]:
    return sorted(faults, key=lambda fault: fault.path)
