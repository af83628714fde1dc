"""Test that endless input uses bounded memory, traffic and time."""

import asyncio
import collections
import contextlib

import msgspec
import psutil
import pytest

from sassafrasflow import exceptions
from sassafrasflow.gateway import callers as caller_servers
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import process
from sassafrasflow.gateway import targets
from sassafrasflow.gateway.tests import test_targets
from sassafrasflow.platform import inspection
from sassafrasflow.platform import memory
from sassafrasflow.platform import store
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import endless
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

# Growth of the memory of the process, above its baseline.
MEMORY_BOUND_BYTES = 5 * 1024 * 1024
LOOP_BOUND_S = 0.02
# The bound of an answer, and the buffers of the kernel at both ends.
RECEIVED_BOUND_BYTES = 16 * 1024 * 1024
INPUTS = {
    endless_input.name: endless_input
    for endless_input in (*endless.HEAD_INPUTS, *endless.BODY_INPUTS)
}

each_input = pytest.mark.parametrize("name", INPUTS)


@pytest.fixture
def call_timer(monkeypatch) -> endless.CallTimer:
    return endless.CallTimer(
        monkeypatch, connections.ClientConnection, "buffer_updated"
    )


class MemoryMonitor(contextlib.AbstractAsyncContextManager):
    """Sample the memory of this process, and record its largest growth."""

    def __init__(self) -> None:
        self._process = psutil.Process()
        self.growth_bytes = 0

    async def __aenter__(self):
        self._baseline = self._process.memory_info().rss
        self._task = asyncio.create_task(self._sample())
        return self

    async def __aexit__(self, *_):
        self._task.cancel()
        self._record_sample()

    async def _sample(self):
        while True:
            self._record_sample()
            await asyncio.sleep(0.002)

    def _record_sample(self):
        used = self._process.memory_info().rss
        self.growth_bytes = max(self.growth_bytes, used - self._baseline)


async def list_endless(fleet, server, name="endless") -> None:
    """List an endless server as a target."""
    worker = standins.Worker(name, None)
    worker.port = server.port
    await fleet.store.put_row("servers", name, worker.entry(zone="a"))


class TestTargets:
    """A target that answers without end is abandoned within a bound."""

    @each_input
    async def test_idempotent_call_is_sent_to_another_target(
        self, fleet, call_timer, name
    ):
        with endless.EndlessServer(INPUTS[name]) as server:
            await list_endless(fleet, server)
            gateway = await fleet.start()
            await fleet.add_worker("sound")
            await fleets.wait_until(lambda: len(gateway.directory) == 2)
            gateway.directory.get("sound").in_flight = 5
            async with MemoryMonitor() as used, fleet.caller() as caller:
                answer = await caller.request("/read/1", attempt="a1")
            assert answer.status == 200
            assert answer.body == b"ran /read/1"
            received_bytes = await asyncio.to_thread(server.wait_stopped)
        assert received_bytes < RECEIVED_BOUND_BYTES
        assert used.growth_bytes < MEMORY_BOUND_BYTES
        assert call_timer.longest_s < LOOP_BOUND_S

    @each_input
    async def test_call_that_is_not_idempotent_ends_with_502(
        self, fleet, call_timer, name
    ):
        with endless.EndlessServer(INPUTS[name]) as server:
            await list_endless(fleet, server)
            gateway = await fleet.start()
            async with MemoryMonitor() as used, fleet.caller() as caller:
                for _ in range(targets.FAILURE_THRESHOLD):
                    answer = await caller.request(
                        "/book/1", method="POST", body=b"{}", attempt="a1"
                    )
                    assert answer.status == 502
            received_bytes = await asyncio.to_thread(server.wait_stopped)
        assert received_bytes < RECEIVED_BOUND_BYTES
        assert used.growth_bytes < MEMORY_BOUND_BYTES
        assert call_timer.longest_s < LOOP_BOUND_S
        assert fleet.events("answer_broken")[0]["target"] == "endless"
        health = gateway.directory.get("endless").health(process.boot_clock())
        assert health is not targets.Health.GOOD

    @pytest.mark.parametrize(
        "endless_input",
        [
            *endless.HEAD_INPUTS,
            endless.FAILURE_INPUT,
            endless.EndlessInput(
                "event", endless.CHUNKED, b"400\r\n" + b"a" * 1024 + b"\r\n"
            ),
            endless.EndlessInput(
                "one-byte-event", endless.CHUNKED, b"1\r\na\r\n"
            ),
            endless.BODY_INPUTS[-1],
        ],
        ids=lambda endless_input: endless_input.name,
    )
    async def test_stream_continues_on_another_target(
        self, fleet, call_timer, endless_input
    ):
        with endless.EndlessServer(endless_input) as server:
            await list_endless(fleet, server)
            gateway = await fleet.start()
            await fleet.add_worker(
                "sound", standins.stream_script(3), zone="b"
            )
            await fleets.wait_until(lambda: len(gateway.directory) == 2)
            gateway.directory.get("sound").in_flight = 5
            async with MemoryMonitor() as used, fleet.caller() as caller:
                answer = await caller.request(
                    "/plan/1", method="POST", body=b"{}", attempt="a1"
                )
            received_bytes = await asyncio.to_thread(server.wait_stopped)
        assert answer.status == 200
        assert received_bytes < RECEIVED_BOUND_BYTES
        assert used.growth_bytes < MEMORY_BOUND_BYTES
        assert call_timer.longest_s < LOOP_BOUND_S

    async def test_repeated_events_do_not_keep_a_run_alive(self, fleet):
        event = b"id: 1\ndata: token-1\n\n"
        chunk = b"%x\r\n%b\r\n" % (len(event), event)
        endless_input = endless.EndlessInput(
            "repeated event", endless.CHUNKED, chunk
        )
        with endless.EndlessServer(endless_input) as server:
            await list_endless(fleet, server)
            gateway = await fleet.start()
            await fleet.add_worker(
                "sound", standins.stream_script(3), zone="b"
            )
            await fleets.wait_until(lambda: len(gateway.directory) == 2)
            gateway.directory.get("sound").in_flight = 5
            async with asyncio.timeout(5), fleet.caller() as caller:
                answer = await caller.request(
                    "/plan/1", method="POST", body=b"{}", attempt="a1"
                )
        assert answer.status == 200


class TestStore:
    """A read from a store that answers without end fails as unavailable."""

    @each_input
    async def test_read_fails_within_a_bound(self, call_timer, name):
        with endless.EndlessServer(INPUTS[name]) as server:
            client = store.PlatformStore("127.0.0.1", server.port)
            async with MemoryMonitor() as used:
                with pytest.raises(exceptions.TableUnavailable):
                    await client.read_rows("op")
            received_bytes = await asyncio.to_thread(server.wait_stopped)
        assert received_bytes < RECEIVED_BOUND_BYTES
        assert used.growth_bytes < MEMORY_BOUND_BYTES
        assert call_timer.longest_s < LOOP_BOUND_S


class TestInspection:
    """An address that answers without end is not taken for a target."""

    @each_input
    async def test_finds_no_target(self, name):
        with endless.EndlessServer(INPUTS[name]) as server:
            inspector = inspection.HttpTargetInspector("127.0.0.1")
            async with MemoryMonitor() as used:
                inspection_result = await inspector.inspect(
                    "127.0.0.1", server.port
                )
        assert inspection_result is None
        assert used.growth_bytes < MEMORY_BOUND_BYTES

    @each_input
    async def test_no_copy_is_reported(self, name):
        with endless.EndlessServer(INPUTS[name]) as server:
            listed = test_targets.listed("endless", host="127.0.0.1")
            listed = msgspec.structs.replace(listed, port=server.port)
            maker = memory.HttpCopyMaker("127.0.0.1")
            async with MemoryMonitor() as used:
                assert await maker.make(listed, "a1", listed) is None
        assert used.growth_bytes < MEMORY_BOUND_BYTES


POST = b"POST /book/1 HTTP/1.1\r\nHost: shop.example\r\n"
POST_CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
REQUEST_INPUTS = {
    endless_input.name: endless_input
    for endless_input in (
        endless.EndlessInput("blank lines", b"", b"\r\n"),
        endless.EndlessInput("method", b"", b"G"),
        endless.EndlessInput("path", b"GET /", b"a"),
        endless.EndlessInput("headers", POST, b"a: b\r\n"),
        endless.EndlessInput("header value", POST + b"X-A: ", b"a"),
        endless.EndlessInput("chunk extension", POST_CHUNKED + b"5;", b"a"),
        endless.EndlessInput("one-byte chunks", POST_CHUNKED, b"1\r\na\r\n"),
        endless.EndlessInput(
            "trailers", POST_CHUNKED + b"1\r\na\r\n0\r\n", b"a: b\r\n"
        ),
        endless.EndlessInput(
            "requests", b"", b"GET /none HTTP/1.1\r\nHost: nobody\r\n\r\n"
        ),
    )
}


class TestCallers:
    """A caller that sends without end is disconnected or held back."""

    @pytest.mark.parametrize("name", REQUEST_INPUTS)
    async def test_costs_a_bounded_amount(self, fleet, monkeypatch, name):
        call_timer = endless.CallTimer(
            monkeypatch, caller_servers.CallerConnection, "buffer_updated"
        )
        # Log lines of many requests would count as memory of the instance.
        fleet.log_lines = collections.deque(maxlen=100)
        await fleet.add_worker("w1")
        await fleet.start()
        sock = await asyncio.to_thread(
            standins.socket.create_connection,
            ("127.0.0.1", fleet.ports[0]),
        )
        async with MemoryMonitor() as used:
            with sock:
                sent = await asyncio.to_thread(
                    endless.send_without_end, sock, REQUEST_INPUTS[name]
                )
        assert sent < RECEIVED_BOUND_BYTES
        assert used.growth_bytes < MEMORY_BOUND_BYTES
        assert call_timer.longest_s < LOOP_BOUND_S

    async def test_bytes_after_a_request_do_not_cut_its_answer(self, fleet):
        async def slow(conn, req):
            await asyncio.sleep(0.05)
            await standins.answer_ok(conn, req)

        await fleet.add_worker("w1", slow)
        await fleet.start()
        async with fleet.caller() as caller:
            caller.send("/read/1", attempt="a1")
            caller.send_raw(b"\0\0\0\0 nonsense\r\n\r\n")
            assert (await caller.read()).body == b"ran /read/1"
            assert (await caller.read()).status == 400

    async def test_head_that_arrives_byte_by_byte_times_out(self, fleet):
        config = documents.configuration()
        config["Limits"] = {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 1024,
            "HeaderTimeoutMs": 400,
            "IdleTimeoutMs": 4000,
        }
        await fleet.store.configure(config)
        await fleet.start()
        async with asyncio.timeout(3), fleet.caller() as caller:
            caller.send_raw(b"GET /read/1 HTTP/1.1\r\nX-A: ")
            reading = asyncio.create_task(caller.read())
            while not reading.done():
                caller.send_raw(b"a")
                await asyncio.sleep(0.02)
            assert reading.result().status == 408

    async def test_trailers_add_no_headers(self, fleet):
        worker = await fleet.add_worker("w1")
        await fleet.start()
        async with fleet.caller() as caller:
            caller.send_raw(
                caller.encode(
                    "/book/1", method="POST", Transfer_Encoding="chunked"
                )
                + b"2\r\n{}\r\n0\r\nX-Forged: yes\r\n\r\n"
            )
            assert (await caller.read()).status == 200
        assert "x-forged" not in worker.requests[0].headers


class TestHealthPort:
    """Invalid requests to the health port are closed within a bound."""

    @pytest.mark.parametrize(
        "endless_input",
        [
            endless.EndlessInput(
                "headers", b"GET /metrics HTTP/1.1\r\n", b"a: b\r\n"
            ),
            endless.EndlessInput("one line", b"", b"a"),
            endless.EndlessInput("no words", b"\r\n\r\n", b"a"),
        ],
        ids=lambda endless_input: endless_input.name,
    )
    async def test_is_closed_within_a_bound(
        self, fleet, endless_input, caplog
    ):
        port = fleets.free_port()
        await fleet.start(metrics_address=("127.0.0.1", port))
        sock = await asyncio.to_thread(
            standins.socket.create_connection, ("127.0.0.1", port)
        )
        async with MemoryMonitor() as used:
            with sock:
                sent = await asyncio.to_thread(
                    endless.send_without_end, sock, endless_input
                )
        assert sent < RECEIVED_BOUND_BYTES
        assert used.growth_bytes < MEMORY_BOUND_BYTES
        assert not caplog.records


class TestLimits:
    """Bounds are settings; bounds too small for valid answers are refused."""

    @pytest.mark.parametrize(
        "change",
        [
            {"framing_bytes": 10},
            {"answer_bytes": 10},
            {"framing_per_body_byte": 0},
            {"passed_over": 0},
            {"header_lines": 10},
        ],
    )
    def test_bounds_that_are_too_small(self, change):
        limits = msgspec.structs.replace(connections.DEFAULT_LIMITS, **change)
        with pytest.raises(ValueError):
            limits.check()
