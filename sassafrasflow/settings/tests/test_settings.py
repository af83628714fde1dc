"""Tests of reading and checking settings files."""

import pathlib

import msgspec
import pytest

from sassafrasflow import settings

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"
GOOD = {
    "instance": "entry-0",
    "region": "east",
    "data_centre": "east-1",
    "platform": {"url": "http://127.0.0.1:8000"},
}
HASH = "0" * 64

# Changes to valid settings, and the start of each expected fault.
FAULTS = [
    ({"api": {"port": "x"}}, ['$.api.port: "x": allowed is an integer']),
    ({"api": {"port": 70000}}, ["$.api.port: 70000: allowed is an int"]),
    ({"api": {"host": "localhost"}}, ['$.api.host: "localhost": allowed']),
    ({"platfrom": {}}, ["$.platfrom: unknown key (did you mean platform?)"]),
    ({"logs": {"level": "LOUD"}}, ['$.logs.level: "LOUD": allowed is DEBUG']),
    ({"platform": {}}, ["$.platform.url: is required"]),
    ({"platform": {"url": "a b"}}, ['$.platform.url: "a b": allowed is ht']),
    ({"peers": {"seeds": ["1.2.3.4:5", "x"]}}, ["$.peers.seeds[1]: "]),
    (
        {"api": {"port": 9}, "peers": {"port": 9}},
        ["$.peers.port: 9: is also $.api.port"],
    ),
    (
        {"peers": {"shared_key": 5}},
        ["$.peers.shared_key: (hidden): Expected `str`"],
    ),
    (
        {"generations": {"no_target_wait_ms": 1, "stall_timeout_ms": 20000}},
        [
            "$.generations.no_target_poll_ms: 50: allowed is at most",
            "$.generations.stall_timeout_ms: 20000: allowed is at most",
        ],
    ),
    (
        {
            "initial_configuration": {
                "models": {"m": {"shares": {"v1": 2}}},
                "organisations": {
                    "a": {"key_hashes": ["secret"], "weight": 0},
                    "b": {"key_hashes": [HASH]},
                    "c": {"key_hashes": [HASH]},
                },
            },
            "region": 5,
            "stop_grace_ms": 0,
        },
        [
            "$.initial_configuration.models.m.shares.v1: 2.0: allowed is 0",
            "$.initial_configuration.organisations.a.key_hashes[0]: (hidden",
            "$.initial_configuration.organisations.a.weight: 0.0: allowed",
            "$.initial_configuration.organisations.c.key_hashes[0]: (hidden",
            "$.region: 5: Expected `str`",
            "$.stop_grace_ms: 0: allowed is an integer from 1 to 3600000",
        ],
    ),
]


def faults_of(content):
    with pytest.raises(ExceptionGroup) as caught:
        settings.parse_settings(content)
    return [str(exc) for exc in caught.value.exceptions]


class TestFaults:
    @pytest.mark.parametrize(("changes", "expected"), FAULTS)
    def test_every_fault_is_reported(self, changes, expected):
        faults = faults_of(msgspec.json.encode({**GOOD, **changes}))
        assert len(faults) == len(expected), faults
        for fault, start in zip(faults, expected, strict=True):
            assert fault.startswith(start)
            assert "secret" not in fault

    @pytest.mark.parametrize("content", [b"", b"{", b"[1,", b"\xff\xfe"])
    def test_not_json(self, content):
        (fault,) = faults_of(content)
        assert fault.startswith("$: not JSON")

    @pytest.mark.parametrize("content", [b"[]", b"5", b"null"])
    def test_not_an_object(self, content):
        (fault,) = faults_of(content)
        assert fault.startswith("$: ")

    def test_missing_file(self, tmp_path):
        with pytest.raises(ExceptionGroup) as caught:
            settings.load_settings(tmp_path / "none.json")
        assert "No such file" in str(caught.value.exceptions[0])


class TestExamples:
    @pytest.mark.parametrize(
        ("name", "instances"), [("northstar", 9), ("zancos", 8)]
    )
    def test_deployment_is_correct(self, name, instances):
        paths = sorted((EXAMPLES / name).glob("*.json"))
        loaded = [settings.load_settings(path) for path in paths]
        addresses = {f"{cfg.peers.host}:{cfg.peers.port}" for cfg in loaded}
        assert len({cfg.instance for cfg in loaded}) == instances
        assert len(addresses) == instances
        assert len({cfg.data_centre for cfg in loaded}) == 3
        assert all(set(cfg.peers.seeds) < addresses for cfg in loaded)
        first = loaded[0].initial_configuration
        assert all(cfg.initial_configuration == first for cfg in loaded)
