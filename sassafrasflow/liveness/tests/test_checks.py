"""Shared checks of targets whose connections are simulated."""

import asyncio

import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import connections
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.liveness import checks
from sassafrasflow.liveness import evidence


def make_target(name, data_centre="a"):
    listed = targets.ListedTarget(
        id=ids.TargetId(name),
        service=ids.ServiceName("pool"),
        host="127.0.0.1",
        port=1,
        data_centre=ids.DataCentre(data_centre),
        slots=1,
    )
    return targets.Target(listed, 1)


class SilentLog(telemetry.EventLog):
    def write(self, event, *, routine=False, **fields):
        pass


class FakeNetwork:
    """Accept a connection once released, or fail it."""

    def __init__(self):
        self.opened = []
        self.kept = []
        self.release = asyncio.Event()
        self.unreachable = set()
        self.refusing = set()
        self.control = None

    async def connect(self, target):
        self.opened.append(target.id)
        await self.release.wait()
        if target.id in self.unreachable:
            await asyncio.sleep(0.1)
            raise connections.ConnectError("no answer", silent=True)
        if target.id in self.refusing:
            raise connections.ConnectError("refused", silent=False)
        return connections.ClientConnection()

    def checker(self):
        return checks.LivenessChecker(
            checks.CheckerDependencies(
                self.connect,
                lambda target, conn: self.kept.append(target.id),
                lambda suspect: self.control,
                lambda target: True,
                asyncio.get_running_loop().time,
                SilentLog("entry"),
                telemetry.Metrics(),
            )
        )


async def start_all(checker, target, count, since=None):
    asking = [
        asyncio.create_task(checker.is_alive(target, since))
        for _ in range(count)
    ]
    await asyncio.sleep(0.01)
    return asking


class TestSharedChecks:
    """Guard against one connection for each stream of a lost target."""

    @pytest.mark.parametrize("alive", [True, False])
    async def test_all_that_ask_share_one_check(self, alive):
        network, target = FakeNetwork(), make_target("t1")
        if not alive:
            network.refusing.add(target.id)
        asking = await start_all(network.checker(), target, 8)
        network.release.set()
        assert await asyncio.gather(*asking) == [alive] * 8
        assert network.opened == [target.id]

    async def test_check_that_began_before_a_crash_shows_nothing(self):
        network, target = FakeNetwork(), make_target("t1")
        checker = network.checker()
        first = await start_all(checker, target, 1)
        later = await start_all(checker, target, 1)
        network.release.set()
        assert await asyncio.gather(*first, *later) == [True, True]
        assert len(network.opened) == 2

    async def test_caller_that_leaves_does_not_end_the_check(self):
        network, target = FakeNetwork(), make_target("t1")
        asking = await start_all(network.checker(), target, 2)
        asking[0].cancel()
        network.release.set()
        assert await asking[1]
        assert network.kept == [target.id]

    async def test_bytes_on_any_connection_are_recorded(self):
        network, target = FakeNetwork(), make_target("t1")
        network.release.set()
        conn = await network.checker().reach(target)
        since = asyncio.get_running_loop().time()
        assert target.sign_of_life.accepted_at <= since
        assert conn.on_received is not None
        conn.on_received()
        assert target.sign_of_life.received_at >= since

    async def test_bytes_do_not_disprove_a_crash(self):
        network, target = FakeNetwork(), make_target("t1")
        network.refusing.add(target.id)
        network.release.set()
        now = asyncio.get_running_loop().time()
        target.sign_of_life.record_received(now + 1)
        assert not await network.checker().is_alive(target)

    async def test_open_idle_connection_shows_nothing(self):
        network, target = FakeNetwork(), make_target("t1")
        checker = network.checker()
        network.release.set()
        conn = await checker.reach(target)
        network.unreachable.add(target.id)
        since = asyncio.get_running_loop().time()
        assert not conn.closed
        assert not await checker.is_alive(target, since)


class TestControlChecks:
    """Guard against one control connection for each silent target."""

    def network_with_control(self):
        network = FakeNetwork()
        network.release.set()
        network.control = make_target("c1", "b")
        return network

    async def test_silent_targets_share_a_control(self):
        network = self.network_with_control()
        suspects = [make_target(f"t{number}") for number in range(5)]
        network.unreachable = {suspect.id for suspect in suspects}
        network.unreachable.add("c1")
        checker = network.checker()
        alive = await asyncio.gather(
            *(checker.is_alive(suspect) for suspect in suspects)
        )
        assert alive == [True] * 5
        assert network.opened.count("c1") == 1

    async def test_recent_connection_elsewhere_replaces_a_control(self):
        network = self.network_with_control()
        suspect, other = make_target("t1"), make_target("t2", "b")
        network.unreachable.add(suspect.id)
        checker = network.checker()
        asking = await start_all(checker, suspect, 1)
        await checker.reach(other)
        assert await asyncio.gather(*asking) == [False]
        assert "c1" not in network.opened

    async def test_control_decides_if_nothing_else_was_reached(self):
        network = self.network_with_control()
        suspect = make_target("t1")
        network.unreachable.add(suspect.id)
        checker = network.checker()
        assert not await checker.is_alive(suspect)
        assert network.opened == [suspect.id, "c1"]

    async def test_live_target_needs_no_control(self):
        network = self.network_with_control()
        checker = network.checker()
        assert await checker.is_alive(make_target("t1"))
        await asyncio.sleep(evidence.CONTROL_DELAY_SAME_REGION_S)
        assert "c1" not in network.opened


class TestOwnResources:
    """Guard against live targets that count as lost for lack of ports."""

    async def test_lack_of_descriptors_says_nothing_about_a_target(self):
        network = FakeNetwork()

        async def connect(target):
            raise connections.ConnectError(
                "too many open files", silent=False, is_local=True
            )

        network.connect = connect
        checker = network.checker()
        target = make_target("t1")
        assert await checker.is_alive(target)
        with pytest.raises(checks.OwnNetworkFault):
            await checker.reach(target)


class BoundedMetrics(telemetry.Metrics):
    """Fail a loop that never gives control back."""

    shared = 0

    def count(self, name, **labels):
        super().count(name, **labels)
        self.shared += labels.get("by") == "shared"
        assert self.shared < 100


class TestEndedCheck:
    """Guard against an instance that hangs on a check that has just ended."""

    async def test_check_that_ended_in_this_turn_is_not_shared(self):
        """The ended check is still known, and began too early."""
        network = FakeNetwork()
        network.release.set()
        loop = asyncio.get_running_loop()
        target = make_target("t1")
        asked = []

        def ask(_target, _conn):
            # Runs before the callbacks of the check, which ends with this.
            loop.call_soon(
                lambda: asked.append(
                    checker.is_alive(target, loop.time() + 1).send(None)
                )
            )

        checker = checks.LivenessChecker(
            checks.CheckerDependencies(
                network.connect,
                ask,
                lambda suspect: None,
                lambda target: True,
                loop.time,
                SilentLog("entry"),
                BoundedMetrics(),
            )
        )
        assert await checker.is_alive(target)
        await asyncio.sleep(0)
        assert asked
        checker.close()
