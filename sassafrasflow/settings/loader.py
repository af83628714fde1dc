"""Loader that reads a settings file and reports every fault in it."""

import pathlib
from typing import Any

import msgspec

from sassafrasflow import exceptions
from sassafrasflow.settings import schema

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
    except msgspec.DecodeError as exc:
        fault = exceptions.SettingsError("$", f"not JSON: {exc}")
        raise ExceptionGroup("settings", [fault]) from exc
    faults = _faults(raw, schema.Settings, "$")
    if faults:
        raise ExceptionGroup("settings", faults)
    return msgspec.convert(raw, schema.Settings)


def _faults(raw: Any, kind: Any, path: str) -> list[exceptions.SettingsError]:
    """Return every fault; a library call stops at the first."""
    if not _is_struct(kind) or not isinstance(raw, dict):
        return _own_fault(raw, kind, path)
    faults: list[exceptions.SettingsError] = []
    fields = {
        field.encode_name: field for field in msgspec.structs.fields(kind)
    }
    for name in raw.keys() - fields.keys():
        allowed = ", ".join(sorted(fields))
        faults.append(
            exceptions.SettingsError(
                f"{path}.{name}", f"unknown key; allowed are {allowed}"
            )
        )
    for name, field in fields.items():
        if name in raw:
            faults += _faults(raw[name], field.type, f"{path}.{name}")
        elif field.required:
            faults.append(
                exceptions.SettingsError(f"{path}.{name}", "is required")
            )
    return sorted(faults, key=lambda fault: fault.path)


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)


def _own_fault(
    raw: Any, kind: Any, path: str
) -> list[exceptions.SettingsError]:
    try:
        msgspec.convert(raw, kind)
    except msgspec.ValidationError as exc:
        problem, _, where = str(exc).partition(" - at `$")
        place = path + where.rstrip("`")
        shown = "" if isinstance(raw, dict) else f"{raw!r}: "
        return [exceptions.SettingsError(place, f"{shown}{problem}")]
    return []
