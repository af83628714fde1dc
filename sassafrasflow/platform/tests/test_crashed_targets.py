"""Test that targets that ended don't count as tries, and that others do."""

import asyncio

import pytest

from sassafrasflow.gateway import access
from sassafrasflow.gateway import connections
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

EVENTS = 8


class Crashes:
    """Script of targets of which the first ones break off their answers."""

    def __init__(self, fleet, count, end, *, listening=False):
        self.names: list[str] = []
        self.ended: set[str] = set()
        self._fleet = fleet
        self._count = count
        self._end = end
        # Whether the targets still accept connections after that.
        self._listening = listening

    async def __call__(self, conn, req):
        name = req.headers["x-expect-instance"]
        self.names.append(name)
        breaks = len(self.names) <= self._count
        if req.method == "GET":
            if not breaks:
                return await standins.answer_ok(conn, req)
            return await self._break_off(conn, name)
        last = int(req.headers.get("last-event-id", 0))
        chunked = not (breaks and self._end == "unframed")
        await conn.start_stream(req, chunked=chunked)
        for number in range(last + 1, last + 1 + EVENTS):
            content = b"id: %d\ndata: token-%d\n\n" % (number, number)
            if chunked:
                await conn.chunk(content)
            else:
                await conn.send(content)
            await asyncio.sleep(0.02)
        if not breaks:
            return await conn.send(b"0\r\n\r\n")
        if not chunked:
            await conn.send(b"id: 1")
        await self._break_off(conn, name)

    async def _break_off(self, conn, name):
        if not self._listening:
            self.ended.add(name)
            self._fleet.workers[name]._server.close()
        if self._end == "silence":
            return await conn.wait_closed()
        if self._end == "reset":
            return conn.reset()
        conn.writer.close()


@pytest.fixture
def slow_refusals(monkeypatch):
    """Let attempts to connect take a round trip between regions."""
    connect = access.TargetAccess._connect

    async def connect_slowly(self, target):
        await asyncio.sleep(0.04)
        return await connect(self, target)

    monkeypatch.setattr(access.TargetAccess, "_connect", connect_slowly)


async def start(fleet, script, most, *, workers=4):
    config = documents.limit_stream_targets(documents.configuration(), most)
    config["Routes"][0]["MaxAttempts"] = most
    await fleet.store.configure(config)
    for number in range(workers):
        await fleet.add_worker(f"w{number}", script)
    gateway = await fleet.start()
    await fleets.wait_until(lambda: len(gateway.directory) == workers)


async def read(fleet, path):
    async with fleet.caller() as caller:
        if path.startswith("/read"):
            answer = await caller.request(path)
        else:
            answer = await caller.request(
                path, method="POST", body=b"log", X_Deadline_Remaining="8000"
            )
    outcomes = [line["outcome"] for line in fleet.events("request")]
    return answer, outcomes


class TestCrashes:
    """Each target that ended allows another one."""

    @pytest.mark.parametrize("end", ["reset", "eof", "unframed", "silence"])
    @pytest.mark.parametrize("most", [1, 2])
    async def test_stream_is_not_cut(self, fleet, slow_refusals, most, end):
        script = Crashes(fleet, most, end)
        await start(fleet, script, most)
        answer, outcomes = await read(fleet, "/plan/1")
        assert outcomes == ["answered_200"]
        assert answer.complete
        assert len(script.names) == most + 1

    @pytest.mark.parametrize("end", ["reset", "eof"])
    async def test_call_is_answered(self, fleet, slow_refusals, end):
        # Two crashes in a row would quarantine the request.
        script = Crashes(fleet, 1, end)
        await start(fleet, script, 1)
        _, outcomes = await read(fleet, "/read/1")
        assert outcomes == ["answered_200"]
        assert len(script.names) == 2

    async def test_silent_crash_is_not_counted(self, fleet, monkeypatch):
        script = Crashes(fleet, 2, "silence")
        connect = access.TargetAccess._connect

        async def connect_or_not(self, target):
            if target.id in script.ended:
                await asyncio.sleep(0.1)
                raise connections.ConnectError("no answer", silent=True)
            return await connect(self, target)

        monkeypatch.setattr(access.TargetAccess, "_connect", connect_or_not)
        await start(fleet, script, 2)
        _, outcomes = await read(fleet, "/plan/1")
        assert outcomes == ["answered_200"]

    @pytest.mark.parametrize("path", ["/plan/1", "/read/1"])
    async def test_crashes_of_all_targets_end_the_request(self, fleet, path):
        script = Crashes(fleet, 99, "reset")
        await start(fleet, script, 2, workers=7)
        _, outcomes = await read(fleet, path)
        assert len(script.names) <= 4
        assert not outcomes[0].startswith("answered")


class TestBrokenAnswers:
    """A live target that breaks off its answer counts as a try."""

    @pytest.mark.parametrize("path", ["/plan/1", "/read/1"])
    @pytest.mark.parametrize("end", ["reset", "eof"])
    async def test_most_targets_of_the_route_are_kept(self, fleet, path, end):
        script = Crashes(fleet, 99, end, listening=True)
        await start(fleet, script, 2)
        _, outcomes = await read(fleet, path)
        assert len(script.names) == 2
        assert "tries_spent" in outcomes[0]

    async def test_lost_target_that_is_back_counts(self, fleet):
        script = Crashes(fleet, 99, "reset", listening=True)
        await start(fleet, script, 2)
        for target in fleet.gateways[0].directory.targets():
            # Found lost long before this request, and back since.
            target.record_loss(fleet.gateways[0].access.clock() - 3.0)
        await read(fleet, "/plan/1")
        assert len(script.names) == 2
