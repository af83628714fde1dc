"""Checks of settings that types alone can't express."""

from collections.abc import Iterator
import ipaddress
import re

import httpx

from sassafrasflow import exceptions
from sassafrasflow.configuration import document
from sassafrasflow.settings import schema

__all__ = ["rule_faults"]

LEAST_HELD_BYTES = 1 << 20
KEY_HASH = re.compile(r"[0-9a-f]{64}")


def rule_faults(cfg: schema.Settings) -> list[exceptions.SettingsError]:
    """Return one fault for each rule that correctly typed settings violate."""
    faults = [
        *_address_faults(cfg),
        *_memory_faults(cfg),
        *_timing_faults(cfg),
        *_model_faults(cfg.initial_configuration),
        *_key_faults(cfg.initial_configuration),
    ]
    return [exceptions.SettingsError(path, text) for path, text in faults]


def _address_faults(cfg: schema.Settings) -> Iterator[tuple[str, str]]:
    if not _is_http_url(cfg.platform.url):
        yield (
            "$.platform.url",
            f'"{cfg.platform.url}": allowed is http://HOST:PORT or '
            "https://HOST:PORT",
        )
    for section, host in (("api", cfg.api.host), ("peers", cfg.peers.host)):
        if not _is_ip(host):
            yield f"$.{section}.host", f'"{host}": allowed is an IP number'
    for number, seed in enumerate(cfg.peers.seeds):
        if not _is_ip_and_port(seed):
            yield (
                f"$.peers.seeds[{number}]",
                f'"{seed}": allowed is IP:PORT',
            )
    if cfg.api.port and cfg.api.port == cfg.peers.port:
        yield "$.peers.port", f"{cfg.peers.port}: is also $.api.port"


def _memory_faults(cfg: schema.Settings) -> Iterator[tuple[str, str]]:
    # A body is charged three times, and a quarter of the memory is kept for
    # small requests.
    least = 4 * cfg.api.max_body_bytes + LEAST_HELD_BYTES
    if cfg.api.max_held_bytes < least:
        yield (
            "$.api.max_held_bytes",
            f"{cfg.api.max_held_bytes}: allowed is at least {least}, four "
            "times max_body_bytes and 1 MiB",
        )


def _timing_faults(cfg: schema.Settings) -> Iterator[tuple[str, str]]:
    section = cfg.generations
    if section.no_target_poll_ms > section.no_target_wait_ms:
        yield (
            "$.generations.no_target_poll_ms",
            f"{section.no_target_poll_ms}: allowed is at most "
            f"no_target_wait_ms, {section.no_target_wait_ms}",
        )
    if section.stall_timeout_ms > section.first_token_timeout_ms:
        yield (
            "$.generations.stall_timeout_ms",
            f"{section.stall_timeout_ms}: allowed is at most "
            f"first_token_timeout_ms, {section.first_token_timeout_ms}",
        )
    if section.first_token_cold_ms > section.first_token_timeout_ms:
        yield (
            "$.generations.first_token_cold_ms",
            f"{section.first_token_cold_ms}: allowed is at most "
            f"first_token_timeout_ms, {section.first_token_timeout_ms}",
        )
    if section.stall_floor_ms > section.stall_timeout_ms:
        yield (
            "$.generations.stall_floor_ms",
            f"{section.stall_floor_ms}: allowed is at most "
            f"stall_timeout_ms, {section.stall_timeout_ms}",
        )


def _model_faults(cfg: document.Document) -> Iterator[tuple[str, str]]:
    for name, model in cfg.models.items():
        path = f"$.initial_configuration.models.{name}.shares"
        for version, share in model.shares.items():
            if not 0 <= share <= 1:
                yield f"{path}.{version}", f"{share}: allowed is 0 to 1"
        if not sum(model.shares.values()):
            yield path, "no version has a share above 0"


def _key_faults(cfg: document.Document) -> Iterator[tuple[str, str]]:
    root = "$.initial_configuration"
    lists = {f"{root}.operator_key_hashes": cfg.operator_key_hashes}
    for name, organisation in cfg.organisations.items():
        path = f"{root}.organisations.{name}"
        lists[f"{path}.key_hashes"] = organisation.key_hashes
        if organisation.weight <= 0:
            yield f"{path}.weight", f"{organisation.weight}: allowed is > 0"
    first_path_by_hash: dict[str, str] = {}
    for path, hashes in lists.items():
        for number, key_hash in enumerate(hashes):
            first_path = first_path_by_hash.setdefault(key_hash, path)
            if first_path != path:
                yield f"{path}[{number}]", f"(hidden): is also in {first_path}"
            if not KEY_HASH.fullmatch(key_hash):
                yield (
                    f"{path}[{number}]",
                    "(hidden): allowed is a SHA-256 in 64 hex digits",
                )


def _is_http_url(text: str) -> bool:
    try:
        url = httpx.URL(text)
    except httpx.InvalidURL:
        return False
    return url.scheme in ("http", "https") and bool(url.host)


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_ip_and_port(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return _is_ip(host) and port.isdecimal() and 0 < int(port) < 1 << 16
