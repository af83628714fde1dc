"""Test settings files, at the first read and when they change."""

import asyncio
import json

import pytest

from sassafrasflow import exceptions
from sassafrasflow.gateway import reload
from sassafrasflow.platform import settings
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets


def write(path, changes=None, **own) -> None:
    """Write a settings file with a gateway section."""
    node = documents.node_settings("e1", "a", (1001, 1002, 1003), 1004)
    content = {"node": {**node, **(changes or {})}, "gateway": own}
    path.write_text(json.dumps(content))


@pytest.fixture
def path(tmp_path):
    return tmp_path / "node.json"


class TestFile:
    """A file holds the platform's settings, and may have a gateway section."""

    def test_plain_file_of_the_platform(self, path):
        node = documents.node_settings("e1", "a", (1001, 1002, 1003), 1004)
        path.write_text(json.dumps(node))
        assert settings.load_settings(path).instance == "e1"

    def test_own_part(self, path):
        write(path, log_successes=False, metrics_port=9000)
        cfg = settings.load_settings(path)
        assert cfg.metrics_address == ("127.0.0.1", 9000)
        assert not cfg.log_successes

    def test_limits_of_memory_and_descriptors(self, path):
        limits = {"Limits": {"MemoryMb": 160, "MaxFds": 1638}}
        write(path, limits, memory={"unread_timeout_s": 9})
        cfg = settings.load_settings(path)
        assert cfg.memory_bytes == 160 * 1024 * 1024
        assert cfg.max_fds == 1638
        assert cfg.memory.unread_timeout_s == 9

    @pytest.mark.parametrize(
        "own",
        [
            {"log_bytes_per_s": 1},
            {"metrics_port": 0},
            {"intake": {"answer_bytes": 10}},
            {"memory": {"share": 2}},
            {"memory": {"no_such_limit": 1}},
            {"no_such_setting": 1},
        ],
    )
    def test_wrong_value_is_refused(self, path, own):
        write(path, **own)
        with pytest.raises(exceptions.SettingsError):
            settings.load_settings(path)


class TestContracts:
    """Streams wait only where the platform's contracts ask for it."""

    @pytest.mark.parametrize(
        "contracts, own, holds",
        [
            (None, {}, False),
            ([], {}, False),
            (["other"], {}, False),
            (["other", "pressure"], {}, True),
            (["pressure"], {"holds_streams": False}, False),
            ([], {"holds_streams": True}, True),
        ],
    )
    def test_pressure(self, path, contracts, own, holds):
        write(path, {"Contracts": contracts}, **own)
        assert settings.load_settings(path).holds_streams is holds

    def test_file_without_contracts_is_served_as_before(self, path):
        write(path)
        assert not settings.load_settings(path).holds_streams


class TestMerge:
    """The identity of an instance does not change while it runs."""

    def test_reloadable_settings_are_merged(self, path):
        write(path)
        old = settings.load_settings(path)
        write(path, {"Zone": "b"}, log_successes=False)
        merged = reload.merge(old, settings.load_settings(path))
        assert merged.changed == ("log_successes",)
        assert merged.postponed == ("data_centre",)
        assert merged.settings.data_centre == "a"


class TestReload:
    """A running instance reads its settings file again."""

    async def start(self, fleet, path):
        gateway = await fleet.start()
        gateway._load_settings = lambda: settings.load_settings(path)
        return gateway

    async def test_values_are_applied(self, fleet, path):
        gateway = await self.start(fleet, path)
        port = fleets.free_port()
        write(
            path,
            log_successes=False,
            metrics_port=port,
            intake={"answer_bytes": 100000},
        )
        await gateway.reload()
        line = fleet.events("reload")[-1]
        assert line["outcome"] == "in_force"
        assert gateway.access.cfg.intake.answer_bytes == 100000
        assert gateway.cfg.host == "127.0.0.1"
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /metrics HTTP/1.1\r\n\r\n")
        assert b"200 OK" in await reader.readline()
        writer.close()

    @pytest.mark.parametrize("content", ["", "{", '{"node": 1}'])
    async def test_broken_file_keeps_the_old_values(
        self, fleet, path, content
    ):
        gateway = await self.start(fleet, path)
        before = gateway.cfg
        path.write_text(content)
        await gateway.reload()
        lines = fleet.events("reload")
        assert [line["outcome"] for line in lines] == ["refused"]
        assert gateway.cfg == before

    async def test_metrics_port_in_use(self, fleet, path):
        await fleet.add_worker("w1")
        gateway = await self.start(fleet, path)
        write(path, metrics_port=fleet.ports[0])
        await gateway.reload()
        assert fleet.events("metrics_unserved")
        async with fleet.caller() as caller:
            assert (await caller.request("/read/1")).status == 200
