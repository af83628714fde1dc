"""Tests of the transport between instances."""

import pytest

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import peers


@pytest.fixture
async def pair():
    nodes = [
        peers.PeerNode(ids.InstanceId(name), "127.0.0.1", 0, "key")
        for name in ("a", "b")
    ]

    async def echo(caller, payload):
        return caller.encode() + payload

    nodes[1].handle("echo", echo)
    for node in nodes:
        await node.start()
    yield nodes
    for node in nodes:
        await node.close()


def address(node):
    return f"127.0.0.1:{node.port}"


class TestPeerNode:
    async def test_call_is_answered(self, pair):
        answer = await pair[0].call(address(pair[1]), "echo", b"!", 5)
        assert answer == b"a!"

    async def test_unknown_method_is_an_error(self, pair):
        with pytest.raises(exceptions.PeerError):
            await pair[0].call(address(pair[1]), "none", b"", 5)
        answer = await pair[0].call(address(pair[1]), "echo", b"!", 5)
        assert answer == b"a!"

    async def test_stranger_is_refused(self, pair):
        stranger = peers.PeerNode(ids.InstanceId("s"), "127.0.0.1", 0, "other")
        await stranger.start()
        try:
            with pytest.raises(exceptions.PeerError):
                await stranger.call(address(pair[1]), "echo", b"", 5)
        finally:
            await stranger.close()
