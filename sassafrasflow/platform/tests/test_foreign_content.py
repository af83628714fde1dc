"""Rows, datagrams and answers with content that no reader expects."""

import math
import os

import msgspec
import pytest

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import relay as relays
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import versions
from sassafrasflow.platform import memory
from sassafrasflow.platform import settings
from sassafrasflow.platform import store as stores
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

ENTRY = {
    "Service": "pool",
    "Address": f"{standins.HOST}:1",
    "Zone": "a",
    "Version": "v1",
    "Slots": 4,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Sequence": 1,
    "born": 1000,
}
WIDE = 2**70
DEEP = b"[" * 3000 + b"]" * 3000
ODD_VALUES = {
    "wide": b"%d" % WIDE,
    "negative-wide": b"-%d" % WIDE,
    "beyond-floats": b"1e400",
    "nan": b"NaN",
    "deep": DEEP,
    "surrogate": b'"\\ud800"',
    "no-utf8": b'"\xff\xfe"',
    "control": b'"a\\r\\nX-Key: b"',
    "long": b'"%b"' % (b"x" * 20000),
    "null": b"null",
}
ODD_ENTRIES = {
    f"{field}-{name}": msgspec.json.encode(
        {**ENTRY, field: msgspec.Raw(value)}
    )
    for field in [*ENTRY, "Labels", "Stage", "Models"]
    for name, value in ODD_VALUES.items()
}


@pytest.fixture
def ends(monkeypatch):
    """Record the exits that a component requests."""
    ends = []
    monkeypatch.setattr(os, "_exit", ends.append)
    return ends


async def start(fleet):
    """Start a sound worker and two instances that know each other."""
    await fleet.add_worker("w1")
    for _ in range(2):
        await fleet.start(exchange_port=fleets.free_port())
    await fleet.wait_for_peers()


async def wait_until_read(fleet, table="servers"):
    """Wait until all instances have the newest row of a table."""
    revision = max(
        version
        for (name, _), (_, version) in fleet.store.rows.items()
        if name == table
    )

    def is_read(gateway):
        if table == "op":
            return gateway.settings.revision >= revision
        after = gateway._target_follower._after
        return after is not None and after.revision >= revision

    await fleets.wait_until(lambda: all(map(is_read, fleet.gateways)))


async def check(fleet, ends):
    """Check that all instances serve, and use a worker that starts now."""
    await fleet.add_worker("late", service="pool")
    await fleets.wait_until(
        lambda: all(
            gateway.directory.get(ids.TargetId("late")) is not None
            for gateway in fleet.gateways
        )
    )
    for instance in range(len(fleet.gateways)):
        async with fleet.caller(instance) as caller:
            answer = await caller.request("/read/1", X_Key="secret")
            assert answer.status == 200
    assert not ends
    assert not fleet.events("task_failed")
    assert not fleet.events("internal_error")
    assert not fleet.events("datagram_too_large")


class TestEntries:
    """Guard against entries of other writers that end every instance."""

    @pytest.mark.parametrize("field", [*ENTRY, "Labels", "Stage", "Models"])
    async def test_odd_field_names_no_target(self, fleet, ends, field):
        await start(fleet)
        for name in ODD_VALUES:
            key = f"{field}-{name}"
            await fleet.store.put_row("servers", key, ODD_ENTRIES[key])
        await wait_until_read(fleet)
        await check(fleet, ends)

    async def test_instance_starts_beside_odd_entries(self, fleet, ends):
        await fleet.add_worker("w1")
        for key, content in ODD_ENTRIES.items():
            if not key.startswith(("Service", "Zone", "Version")):
                await fleet.store.put_row("servers", key, content)
        await fleet.store.put_row("servers", "bytes", b"\xff\x00")
        await fleet.start()
        await check(fleet, ends)

    async def test_key_with_control_characters(self, fleet, ends):
        # The id of a target becomes a header of each request to it.
        await start(fleet)
        worker = fleet.workers["w1"]
        await fleet.store.put_row("servers", "x\r\nX-Key: y", worker.entry())
        await wait_until_read(fleet)
        await check(fleet, ends)
        assert len(fleet.events("row_rejected")) >= 1

    def test_long_entries_do_not_hide_others(self):
        # A part that exceeds a datagram is lost with all its changes.
        listed = [
            targets.ListedTarget(
                ids.TargetId("k" * 200),
                ids.ServiceName("s" * 200),
                "127.0.0.1",
                1,
                ids.DataCentre("z" * 200),
                1,
                version=ids.VersionId("v" * 200),
            )
        ] * 30
        changes = tuple(
            targets.TargetChange(each.id, number, each)
            for number, each in enumerate(listed)
        )
        relay = relays.Relay(ids.InstanceId("e"), 1, 2, 3, changes, 4)
        parts = relays.split_relay(relay)
        assert sum((part.changes for part in parts), ()) == changes
        assert {part.parts for part in parts} == {len(parts)}
        assert all(
            len(msgspec.msgpack.encode(part)) <= exchanges.MAX_DATAGRAM_BYTES
            for part in parts
        )


class TestOperatorsRows:
    """Guard against rows of operators that end every instance."""

    @pytest.mark.parametrize("name", ["wide", "beyond-floats", "deep"])
    @pytest.mark.parametrize("field", ["Version", "Unknown"])
    async def test_odd_configuration(self, fleet, ends, field, name):
        await start(fleet)
        config = {
            **documents.configuration(2),
            field: msgspec.Raw(ODD_VALUES[name]),
        }
        await fleet.store.put_row("op", "config", msgspec.json.encode(config))
        await wait_until_read(fleet, "op")
        await check(fleet, ends)

    @pytest.mark.parametrize("name", ODD_VALUES)
    @pytest.mark.parametrize("field", ["Service", "To", "DurationS", "Other"])
    async def test_odd_order(self, fleet, ends, field, name):
        await start(fleet)
        order = {"Service": "other", "To": "v2", "DurationS": 60}
        order[field] = msgspec.Raw(ODD_VALUES[name])
        await fleet.store.put_row(
            "op", "rollout/pool", msgspec.json.encode(order)
        )
        await wait_until_read(fleet, "op")
        await check(fleet, ends)


class TestInstancesRows:
    """Guard against rows of instances that end or silence the others."""

    @pytest.mark.parametrize(
        "entry",
        [
            {"host": standins.HOST, "port": 70000, "data_centre": "a"},
            {"host": standins.HOST, "port": WIDE, "data_centre": "a"},
            {"host": "no-address", "port": 7200, "data_centre": "a"},
            {"host": "", "port": 0, "data_centre": "a"},
        ],
    )
    async def test_address_that_takes_no_datagrams(self, fleet, ends, entry):
        # The transport closes itself after an address out of range.
        await fleet.store.put_row("sassafrasflow-instances", "x", entry)
        await start(fleet)
        assert not any(
            gateway.access.exchange._transport.is_closing()
            for gateway in fleet.gateways
        )
        assert len(fleet.gateways[0].access.exchange.peers) == 1
        await check(fleet, ends)

    async def test_rollout_with_wide_numbers(self, fleet, ends):
        state = {
            "version": "v2",
            "order_revision": 1,
            "began_ms": WIDE,
            "deadline_ms": WIDE,
            "stage": "trying",
            "reason": "",
            "requests": WIDE,
            "exposed": -WIDE,
            "cells": [],
        }
        await fleet.store.put_row("sassafrasflow-rollouts", "pool", state)
        await start(fleet)
        order = {"Service": "pool", "To": "v2", "DurationS": 60}
        await fleet.store.put_row("op", "rollout/pool", order)
        await fleets.wait_until(lambda: fleet.events("row_rejected"))
        await check(fleet, ends)


class TestDatagrams:
    """Guard against datagrams that silence an instance."""

    def datagrams(self):
        sender = registries.InstanceEntry(
            ids.InstanceId("x"), standins.HOST, 70000, ids.DataCentre("a")
        )
        peer = {**msgspec.to_builtins(sender), "port": 1}
        messages = [
            ["beat", sender],
            ["beat", {**peer, "host": "no-address"}],
            ["load", peer, 1, 1, {"w1": math.nan}],
            ["told", "x", 1, [["w1", 1.0, 2**64 - 1]]],
        ]
        yield from map(msgspec.msgpack.encode, messages)
        yield b"\x93\xa4beat\xc0" + b"\x91" * 1300 + b"\xc0"
        yield b"\x91\xa4beat\xff"
        yield b"\x92\xa4told\xa2\xff\xfe"

    async def test_odd_datagrams_are_rejected(self, fleet, ends):
        await start(fleet)
        exchange = fleet.gateways[0].access.exchange
        for content in self.datagrams():
            rejected = len(fleet.events("datagram_rejected"))
            exchange.datagram_received(content, (standins.HOST, 1))
            assert len(fleet.events("datagram_rejected")) == rejected + 1
        await check(fleet, ends)

    async def test_message_that_cannot_be_encoded_is_dropped(self, fleet):
        await start(fleet)
        exchange = fleet.gateways[0].access.exchange
        exchange.send(
            exchange.live(),
            relays.SettingsPart(ids.InstanceId("e"), WIDE, 0, 1),
        )
        failed = fleet.events("datagram_failed")
        assert [line["kind"] for line in failed] == ["SettingsPart"]

    def test_deep_settings(self):
        assembler = relays.SettingsAssembler()
        content = relays.zlib.compress(b"\x91" * 3000 + b"\xc0")
        part = relays.SettingsPart(ids.InstanceId("e"), 1, 0, 1, content)
        with pytest.raises(ValueError):
            assembler.add(part)


class TestStoreAnswers:
    """Guard against answers of the store that end its followers."""

    @pytest.mark.parametrize(
        "body",
        [
            b'{"Ver":1,"Rows":[],"More":%b}' % DEEP,
            b'{"Ver":1,"Rows":[{"Table":"servers","Key":"\xff","Ver":1}]}',
            b'{"Ver":%d,"Rows":[]}' % WIDE,
            b'{"Ver":1,"NowMs":%d,"Rows":[]}' % WIDE,
        ],
        ids=["deep", "no-utf8", "wide-version", "wide-time"],
    )
    async def test_odd_answer_counts_as_unavailable(self, body):
        async def answer(conn, req):
            await conn.answer(200, body)

        server = standins.HttpServer(answer)
        await server.start()
        client = stores.PlatformStore(standins.HOST, server.port)
        with pytest.raises(exceptions.TableUnavailable):
            await client.read_rows("servers")
        with pytest.raises(exceptions.TableUnavailable):
            await client.await_changes(
                "servers", versions.StoreVersion(versions.UNKNOWN_ERA, 0), 0.0
            )
        client.close()
        await server.close()

    async def test_value_that_is_no_base64_holds_nothing(self):
        body = (
            '{"Ver":1,"Rows":[{"Table":"servers","Key":"x","Ver":1,'
            '"Value":"\u00e9"}]}'
        )

        async def answer(conn, req):
            await conn.answer(200, body.encode())

        server = standins.HttpServer(answer)
        await server.start()
        client = stores.PlatformStore(standins.HOST, server.port)
        page = await client.read_rows("servers")
        assert [row.value for row in page.rows] == [b""]
        client.close()
        await server.close()


class TestCopies:
    """Guard against answers to a copy order that alter later requests."""

    @pytest.mark.parametrize(
        "body",
        [
            b'{"Handle":"h1\\r\\nX-Hold: 1"}',
            b'{"Handle":"%b"}' % (b"h" * 70000),
            b'{"Handle":"h1","Other":%b}' % DEEP,
            b'{"Handle":"\xff"}',
        ],
        ids=["control", "long", "deep", "no-utf8"],
    )
    async def test_odd_handle_is_no_copy(self, body):
        async def answer(conn, req):
            await conn.answer(200, body)

        server = standins.HttpServer(answer)
        await server.start()
        listed = targets.ListedTarget(
            ids.TargetId("w1"),
            ids.ServiceName("pool"),
            standins.HOST,
            server.port,
            ids.DataCentre("a"),
            1,
        )
        maker = memory.HttpCopyMaker(standins.HOST)
        assert await maker.make(listed, "a1", listed) is None
        await server.close()


class TestSettingsFile:
    """Guard against settings that end the process at a reload."""

    def test_deep_file_is_refused(self, tmp_path):
        path = tmp_path / "node.json"
        for content in (b'{"node":{"Other":%b}}', b'{"Node":%b}'):
            path.write_bytes(content % DEEP)
            with pytest.raises(exceptions.SettingsError):
                settings.load_settings(path)


class TestLog:
    """Guard against values that end the component which logs them."""

    @pytest.mark.parametrize("value", ["\ud800", object(), {1j: 2}])
    def test_unfit_value_is_written_escaped(self, value):
        reader, writer = os.pipe()
        log = telemetry.EventLog("e1", writer)
        log.write("row_rejected", key=value)
        log.flush()
        line = msgspec.json.decode(os.read(reader, 65536))
        assert line["event"] == "row_rejected"
        assert line["key"] == ascii(value)
        for descriptor in (reader, writer):
            os.close(descriptor)
