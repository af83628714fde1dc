"""Validator that finds every type error in raw settings.

The decoding library stops at the first error, so each value is converted
separately.
"""

import difflib
import types
import typing
from typing import Any

import msgspec

from sassafrasflow import exceptions

__all__ = ["Validator"]

SECRET_WORDS = ("key", "secret")
MAX_SHOWN_CHARS = 60
INVALID = object()


class Validator:
    """Check a raw value against a type and collect all faults.

    ``usable`` holds the value without its invalid parts, so that rules
    between the other settings can still be checked.
    """

    def __init__(self, raw: Any, kind: Any) -> None:
        self.faults: list[exceptions.SettingsError] = []
        self.usable = self._visit(raw, kind, "$")

    def _visit(self, raw: Any, kind: Any, path: str) -> Any:
        kind = _unwrap_type(kind)
        arguments = typing.get_args(kind)
        origin = typing.get_origin(kind)
        if _is_struct(kind) and isinstance(raw, dict):
            return self._visit_struct(raw, kind, path)
        if origin is dict and isinstance(raw, dict):
            items = {
                name: self._visit(value, arguments[1], f"{path}.{name}")
                for name, value in raw.items()
            }
            return {k: v for k, v in items.items() if v is not INVALID}
        if origin in (tuple, list) and isinstance(raw, list):
            values = [
                self._visit(value, arguments[0], f"{path}[{number}]")
                for number, value in enumerate(raw)
            ]
            return [value for value in values if value is not INVALID]
        return self._visit_value(raw, kind, path)

    def _visit_struct(
        self, raw: dict[str, Any], kind: type[msgspec.Struct], path: str
    ) -> dict[str, Any]:
        fields = {
            item.encode_name: item for item in msgspec.structs.fields(kind)
        }
        for name in raw.keys() - fields.keys():
            self._add_fault(
                f"{path}.{name}", _unknown_key(name, sorted(fields))
            )
        usable = {}
        for name, field in fields.items():
            value = INVALID
            if name in raw:
                value = self._visit(raw[name], field.type, f"{path}.{name}")
            elif field.required:
                self._add_fault(f"{path}.{name}", "is required")
            if value is INVALID and field.required:
                value = {} if _is_struct(field.type) else ""
            if value is not INVALID:
                usable[name] = value
        return usable

    def _visit_value(self, raw: Any, kind: Any, path: str) -> Any:
        try:
            msgspec.convert(raw, kind)
        except msgspec.ValidationError as exc:
            self._add_fault(
                path,
                f"{format_value(raw, path)}: {describe_allowed(kind, exc)}",
            )
            return INVALID
        return raw

    def _add_fault(self, path: str, problem: str) -> None:
        self.faults.append(exceptions.SettingsError(path, problem))


def _unknown_key(name: str, allowed: list[str]) -> str:
    close = difflib.get_close_matches(name, allowed, 1)
    hint = f" (did you mean {close[0]}?)" if close else ""
    return f"unknown key{hint}; allowed are {', '.join(allowed)}"


def describe_allowed(kind: Any, exc: msgspec.ValidationError) -> str:
    """Return a description of the values that a type allows."""
    info = msgspec.inspect.type_info(kind)
    if isinstance(info, msgspec.inspect.EnumType):
        return "allowed is " + ", ".join(item.value for item in info.cls)
    if isinstance(info, msgspec.inspect.IntType) and info.le is not None:
        return f"allowed is an integer from {info.ge} to {info.le}"
    return str(exc).partition(" - at `$")[0]


def format_value(raw: Any, path: str) -> str:
    """Return a value as text; values of secret settings are hidden."""
    if any(word in path.lower() for word in SECRET_WORDS):
        return "(hidden)"
    text = msgspec.json.encode(raw).decode()
    return (
        text
        if len(text) <= MAX_SHOWN_CHARS
        else text[:MAX_SHOWN_CHARS] + "..."
    )


def _unwrap_type(kind: Any) -> Any:
    """Return the type behind ``NewType`` and an optional struct."""
    while isinstance(kind, typing.NewType):
        kind = kind.__supertype__
    if typing.get_origin(kind) in (typing.Union, types.UnionType):
        members = [
            member
            for member in typing.get_args(kind)
            if member is not types.NoneType
        ]
        if len(members) == 1 and _is_struct(members[0]):
            return members[0]
    return kind


def _is_struct(kind: Any) -> bool:
    return isinstance(kind, type) and issubclass(kind, msgspec.Struct)
