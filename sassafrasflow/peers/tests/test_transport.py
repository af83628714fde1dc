"""Tests of the transport between instances."""

import asyncio

import pytest

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import peers
from sassafrasflow.fakes import proxy
from sassafrasflow.peers import backoff
from sassafrasflow.peers import schema

GENEROUS_S = 10.0


def new_node(name, key="key", **options):
    return peers.PeerNode(ids.InstanceId(name), "127.0.0.1", 0, key, **options)


@pytest.fixture
async def pair():
    nodes = [new_node(name) for name in ("a", "b")]
    release = asyncio.Event()

    async def echo(caller, payload):
        return caller.encode() + payload

    async def wait(caller, payload):
        await release.wait()
        return b"late"

    async def fail(caller, payload):
        raise RuntimeError("broken")

    for method in (echo, wait, fail):
        nodes[1].register_handler(method.__name__, method)
    for node in nodes:
        await node.start()
    nodes[1].release = release
    yield nodes
    release.set()
    for node in nodes:
        await node.close()


@pytest.fixture
async def link(pair):
    """Return a fault proxy in front of the second node."""
    relay = proxy.FaultProxy("127.0.0.1", pair[1].port)
    await relay.start()
    yield relay
    await relay.close()


class TestCalls:
    async def test_call_is_answered(self, pair):
        answer = await pair[0].call(pair[1].address, "echo", b"!", GENEROUS_S)
        assert answer == b"a!"

    @pytest.mark.parametrize("method", ["none", "fail"])
    async def test_failed_method_affects_only_its_call(self, pair, method):
        address = pair[1].address
        slow = asyncio.create_task(
            pair[0].call(address, "wait", b"", GENEROUS_S)
        )
        await pair[0].call(address, "echo", b"", GENEROUS_S)
        with pytest.raises(exceptions.PeerError):
            await pair[0].call(address, method, b"", GENEROUS_S)
        pair[1].release.set()
        assert await slow == b"late"

    async def test_slow_method_affects_only_its_call(self, pair):
        address = pair[1].address
        slow = asyncio.create_task(
            pair[0].call(address, "wait", b"", GENEROUS_S)
        )
        short = asyncio.create_task(pair[0].call(address, "wait", b"", 0.2))
        await asyncio.sleep(0)
        await pair[0].call(address, "echo", b"", GENEROUS_S)
        with pytest.raises(exceptions.PeerError):
            await short
        pair[1].release.set()
        assert await slow == b"late"

    async def test_bytes_are_counted_by_purpose(self, pair):
        pair[0].is_cross_region = lambda address: address == pair[1].address
        await pair[0].call(
            pair[1].address, "echo", b"123", GENEROUS_S, purpose="probe"
        )
        flow = peers.Flow("probe", peers.Direction.SENT, True)
        assert pair[0].traffic.payload_bytes[flow] == len(b"123") + len(
            b"a123"
        )


class TestConnections:
    async def test_concurrent_calls_share_one_connection(self, pair, link):
        accepted = []
        accept = link._accept

        async def count(reader, writer):
            accepted.append(writer)
            await accept(reader, writer)

        link._accept = count
        link._server.close()
        await link.start()
        answers = await asyncio.gather(
            *(
                pair[0].call(link.address, "echo", b"", GENEROUS_S)
                for _ in range(20)
            )
        )
        assert answers == [b"a"] * 20
        assert len(accepted) == 1

    async def test_new_connection_after_a_cut(self, pair, link):
        await pair[0].call(link.address, "echo", b"", GENEROUS_S)
        link.cut()
        assert await call_until_answered(pair[0], link.address)

    async def test_new_connection_after_a_half_open_one(self, pair, link):
        await pair[0].call(link.address, "echo", b"", GENEROUS_S)
        link.freeze()
        with pytest.raises(exceptions.PeerError):
            await pair[0].call(link.address, "echo", b"", 0.2)
        link.cut()
        link.heal()
        assert await call_until_answered(pair[0], link.address)

    async def test_least_recently_used_connection_is_closed(self, pair):
        third = new_node("c")
        caller = new_node("d", max_connections=1)
        third.register_handler("echo", pair[1]._handlers["echo"])
        for node in (third, caller):
            await node.start()
        try:
            for node in (pair[1], third, pair[1]):
                answer = await caller.call(
                    node.address, "echo", b"", GENEROUS_S
                )
                assert answer == b"d"
                assert len(caller._conns) == 1
        finally:
            await caller.close()
            await third.close()


async def call_until_answered(node, address):
    """Call until an answer arrives, for at most ``GENEROUS_S``."""
    async with asyncio.timeout(GENEROUS_S):
        while True:
            try:
                return await node.call(address, "echo", b"", GENEROUS_S)
            except exceptions.PeerError:
                await asyncio.sleep(0.01)


class TestAuthentication:
    async def test_caller_with_another_key_is_refused(self, pair):
        intruder = new_node("s", key="other")
        await intruder.start()
        try:
            with pytest.raises(exceptions.PeerError):
                await intruder.call(pair[1].address, "echo", b"", GENEROUS_S)
        finally:
            await intruder.close()

    async def test_listener_with_another_key_is_refused(self, pair):
        pair[1]._listener._shared_key = "other"
        with pytest.raises(exceptions.PeerError):
            await pair[0].call(pair[1].address, "echo", b"", GENEROUS_S)

    async def test_listener_without_proof_of_the_key_is_refused(self, pair):
        listener = pair[1]._listener
        listener.admit = lambda *args: schema.peer.Session.Server()
        listener._shared_key = "other"
        with pytest.raises(exceptions.PeerError, match="listener"):
            await pair[0].call(pair[1].address, "echo", b"", GENEROUS_S)

    async def test_replayed_login_is_refused(self, pair):
        listener = pair[1]._listener
        logins = []
        admit = listener.admit

        def record(*args):
            logins.append(args)
            return admit(*args)

        listener.admit = record
        await pair[0].call(pair[1].address, "echo", b"", GENEROUS_S)
        caller, _, caller_nonce, proof = logins[0]
        for listener_nonce in (None, bytes(16)):
            with pytest.raises(exceptions.PeerError):
                admit(caller, listener_nonce, caller_nonce, proof)


MALFORMED = {
    "text": b"GET / HTTP/1.1\r\n\r\n",
    "zeros": bytes(4096),
    "ones": b"\xff" * 4096,
    "huge segment": b"\0\0\0\0\xff\xff\xff\x7f" + bytes(64),
    "half a frame": b"\0\0\0\0\x10\0\0\0" + bytes(8),
}


class TestMalformedFrames:
    @pytest.mark.parametrize("name", MALFORMED)
    async def test_only_that_connection_is_closed(self, pair, name):
        await pair[0].call(pair[1].address, "echo", b"", GENEROUS_S)
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", pair[1].port
        )
        writer.write(MALFORMED[name])
        await writer.drain()
        async with asyncio.timeout(GENEROUS_S):
            try:
                while await reader.read(4096):
                    pass
            except ConnectionError:
                pass
        writer.close()
        answer = await pair[0].call(pair[1].address, "echo", b"!", GENEROUS_S)
        assert answer == b"a!"


class TestBackoff:
    def test_delay_grows_to_a_bound_and_resets_on_success(self):
        retry = backoff.Backoff(HighestRandom())
        retry_times = []
        for _ in range(10):
            retry.record_failure("a", 0.0)
            retry_times.append(retry._retry_at["a"])
        assert retry_times[:3] == [0.05, 0.1, 0.2]
        assert retry_times[-1] == 1.0
        assert not retry.is_ready("a", 0.99)
        assert retry.is_ready("a", 1.0)
        retry.record_success("a")
        assert retry.is_ready("a", 0.0)


class HighestRandom:
    """Random source that always returns the upper bound."""

    def uniform(self, low, high):
        return high
