"""Encoding of gossip messages as packed Cap'n Proto."""

import pathlib
from typing import Any

import capnp

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.membership import messages
from sassafrasflow.membership import shared
from sassafrasflow.membership import view

__all__ = ["decode", "encode"]

capnp.remove_import_hook()
schema = capnp.load(str(pathlib.Path(__file__).parent / "gossip.capnp"))

_TOPICS = {topic.value: topic for topic in shared.Topic}


def encode(message: messages.Gossip) -> bytes:
    """Encode a message as packed bytes."""
    built = schema.Gossip.new_message()
    _put_sender(built.sender, message.sender)
    built.digest = message.digest
    _put_entries(built, message.entries)
    built.buckets = list(message.buckets)
    built.asked = list(message.asked)
    _put_versions(built, message.versions)
    built.wanted = list(message.wanted)
    built.probe = message.probe or ""
    built.confirmed = list(message.confirmed)
    return built.to_bytes_packed()


def decode(payload: bytes) -> messages.Gossip:
    """Decode packed bytes; entries of unknown topics are skipped.

    Raises
    ------
    PeerError : the bytes are not a gossip message
    """
    try:
        return _read(schema.Gossip.from_bytes_packed(payload))
    except (capnp.KjException, ValueError) as exc:
        raise exceptions.PeerError(f"malformed gossip: {exc}") from exc


def _put_sender(built: Any, sender: view.Peer) -> None:
    built.instance = sender.instance
    built.address = sender.address
    built.region = sender.region
    built.dataCentre = sender.data_centre
    built.incarnation = sender.incarnation


def _put_entries(built: Any, entries: tuple[shared.Entry, ...]) -> None:
    if not entries:
        return
    for slot, entry in zip(
        built.init("entries", len(entries)), entries, strict=True
    ):
        slot.topic = entry.topic.value
        slot.key = entry.key
        slot.version = entry.version
        slot.origin = entry.origin
        slot.value = entry.value
        slot.ttlMs = entry.ttl_ms


def _put_versions(
    built: Any, versions: tuple[messages.KnownVersion, ...]
) -> None:
    if not versions:
        return
    for slot, item in zip(
        built.init("versions", len(versions)), versions, strict=True
    ):
        slot.keyHash = item.key_hash
        slot.version = item.version
        slot.fingerprint = item.fingerprint


def _read(built: Any) -> messages.Gossip:
    sender = built.sender
    return messages.Gossip(
        sender=view.Peer(
            ids.InstanceId(sender.instance),
            sender.address,
            ids.Region(sender.region),
            ids.DataCentre(sender.dataCentre),
            sender.incarnation,
        ),
        digest=built.digest,
        entries=tuple(
            _read_entry(slot)
            for slot in built.entries
            if slot.topic in _TOPICS
        ),
        buckets=tuple(built.buckets),
        asked=tuple(built.asked),
        versions=tuple(
            messages.KnownVersion(slot.keyHash, slot.version, slot.fingerprint)
            for slot in built.versions
        ),
        wanted=tuple(built.wanted),
        probe=ids.InstanceId(built.probe) if built.probe else None,
        confirmed=tuple(ids.InstanceId(name) for name in built.confirmed),
    )


def _read_entry(slot: Any) -> shared.Entry:
    return shared.Entry(
        _TOPICS[slot.topic],
        slot.key,
        slot.version,
        ids.InstanceId(slot.origin),
        bytes(slot.value),
        slot.ttlMs,
    )
