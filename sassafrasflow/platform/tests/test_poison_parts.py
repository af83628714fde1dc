"""Test requests that crash their targets by one part of their prompts."""

import asyncio
import contextlib
import itertools

import pytest

from sassafrasflow import ids
from sassafrasflow.platform.tests import crashes
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

FIRST = "f1:200"
MIDDLE = "m1:120"
CRASHING = "c1:95"
PARTS = "x-prompt-prefix"
KINDS = [crashes.PLAN, crashes.READ, crashes.BOOK]
# Operators allow three sends that come later than DETECTION_S after the
# fifth crash.
FREE_CRASHES = 5
ALLOWED_LATE_SENDS = 3
# Crashing requests that are sent before a test concludes that there will be
# no fifth crash, and those that are sent after it should be detected.
MAX_EARLY_SENDS = 30
LATE_SENDS = 6
PREFILL_S = 0.05
PAUSE_S = 0.1
SOUND_REQUESTS = 24


class PartPool(crashes.CrashingPool):
    """Run targets that a part of a prompt crashes during the prefill."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        super().__init__(fleet)
        self.crash_delay_s = PREFILL_S
        self.prefill_s = PREFILL_S
        # Times at which requests with the crashing part reached targets.
        self.send_times: list[float] = []
        # Targets with sound requests in prefill, and how many.
        self.prefilling: dict[str, int] = {}
        self._request_numbers = itertools.count()
        self._callers: set[asyncio.Task] = set()

    @property
    def times(self) -> list[float]:
        """Return the times of all crashes that the part caused."""
        return sorted(itertools.chain(*self.crash_times.values()))

    @property
    def late_send_count(self) -> int:
        """Return the sends after the part should have been detected."""
        times = self.times
        if len(times) < FREE_CRASHES:
            return 0
        due = times[FREE_CRASHES - 1] + crashes.DETECTION_S
        return sum(at > due for at in self.send_times)

    def is_detection_due(self) -> bool:
        """Return whether instances should have detected the part by now."""
        times = self.times
        now = asyncio.get_running_loop().time()
        return (
            len(times) >= FREE_CRASHES
            and now > times[FREE_CRASHES - 1] + crashes.DETECTION_S
        )

    def has_stopped_crashing(self) -> bool:
        """Return whether no target has crashed for some time."""
        now = asyncio.get_running_loop().time()
        return bool(self.times) and (
            now > self.times[-1] + crashes.DETECTION_S
        )

    async def start_in_two(self, workers=12, stores=None) -> None:
        """Start instances and targets in two data centres."""
        for number in range(workers):
            await self.add("ab"[number % 2])
        for number in range(crashes.INSTANCES):
            changes = {}
            if stores and number in stores:
                address = (standins.HOST, stores[number].port)
                changes["store_address"] = address
            await self.fleet.start(
                data_centre=ids.DataCentre("ab"[number % 2]),
                exchange_port=fleets.free_port(),
                **changes,
            )
        self.introduce_instances()
        await self.wait_for_peers()

    async def restart_all_instances(self) -> None:
        for gateway in self.fleet.gateways:
            await gateway.close()
        configs = [gateway.cfg for gateway in self.fleet.gateways]
        self.fleet.gateways.clear()
        self.fleet.ports.clear()
        for cfg in configs:
            await self.fleet.start(
                instance=cfg.instance,
                data_centre=cfg.data_centre,
                exchange_port=fleets.free_port(),
            )
        self.introduce_instances()
        await self.wait_for_peers()

    def introduce_instances(self) -> None:
        """Add all instances as peers, as their next heartbeats would."""
        exchanges = [each.access.exchange for each in self.fleet.gateways]
        for one, other in itertools.permutations(exchanges, 2):
            assert one is not None and other is not None
            one.add_peers([other.peers.own_entry])

    def is_crashing(self, req: standins.Request) -> bool:
        if CRASHING not in req.headers.get(PARTS, "").split(",")[:-1]:
            return False
        self.send_times.append(asyncio.get_running_loop().time())
        return True

    async def _answer(self, name, conn, req) -> None:
        self.prefilling[name] = self.prefilling.get(name, 0) + 1
        try:
            await asyncio.sleep(self.prefill_s)
        finally:
            self.prefilling[name] -= 1
        if req.url == crashes.PLAN:
            await standins.stream_script(5)(conn, req)
        else:
            await standins.answer_ok(conn, req)

    async def crash_data_centre(self, zone: str) -> None:
        """Crash all targets of a data centre at the same moment."""
        for worker in list(self.fleet.workers.values()):
            if worker.zone == zone:
                await self._restart(worker)

    async def send(self, instance, *parts, path=crashes.PLAN, **headers):
        """Send a request with a last part and a body of its own."""
        number = next(self._request_numbers)
        return await crashes.send_request(
            self.fleet,
            instance % crashes.INSTANCES,
            f"p{number}",
            b"body-%d" % number,
            path,
            X_Prompt_Prefix=",".join([*parts, f"own{number}:8000"]),
            **headers,
        )

    async def send_crashing(self, instance, **named):
        return await self.send(instance, FIRST, CRASHING, **named)

    async def send_sound(self, *parts, path=crashes.PLAN) -> list[int]:
        """Send sound requests to all instances; return their statuses."""
        answers = await asyncio.gather(
            *(
                self.send(number, *parts, path=path)
                for number in range(SOUND_REQUESTS)
            )
        )
        return [0 if each is None else each.status for each in answers]

    @contextlib.asynccontextmanager
    async def sound_traffic(self):
        """Send sound requests with the same caller and first part."""

        async def call_forever(instance: int) -> None:
            for number in itertools.count():
                parts = [FIRST, MIDDLE] if number % 2 else [FIRST]
                with contextlib.suppress(TimeoutError):
                    await self.send(instance, *parts)
                await asyncio.sleep(PAUSE_S)

        tasks = [
            asyncio.create_task(call_forever(number))
            for number in range(crashes.INSTANCES)
        ]
        try:
            yield
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.wait(tasks)

    async def attack(self, send, pause_s: float = PAUSE_S) -> None:
        """Send until the part should be detected."""
        for number in itertools.count():
            if self.is_detection_due():
                return
            if len(self.times) < FREE_CRASHES and (
                number >= MAX_EARLY_SENDS or self.has_stopped_crashing()
            ):
                return
            await send(number)
            await asyncio.sleep(pause_s)
            await self.settle()

    async def attack_late(self, send, pause_s: float = PAUSE_S) -> None:
        """Send some more after the part should have been detected."""
        for number in range(LATE_SENDS):
            await send(1000 + number)
            await asyncio.sleep(pause_s)
            await self.settle()

    def check(self) -> None:
        assert self.times
        assert self.late_send_count <= ALLOWED_LATE_SENDS


class SilencedStore(standins.HttpServer):
    """Forward to another store, or be silent while ``cut`` is set."""

    def __init__(self, store: standins.Store) -> None:
        super().__init__(self._forward)
        self._store = store
        self.cut = False

    async def _forward(self, conn, req) -> None:
        if self.cut:
            return await conn.wait_closed()
        await self._store._handle(conn, req)

    def set_cut(self, cut: bool) -> None:
        self.cut = cut
        for writer in list(self._writers):
            writer.transport.abort()


def set_exchange_cut(gateway, cut: bool) -> None:
    """Drop all datagrams from and to an instance."""
    exchange = gateway.access.exchange
    if cut:
        exchange.send = lambda peers, message: None
        exchange.datagram_received = lambda data, addr: None
    else:
        del exchange.send, exchange.datagram_received


@pytest.fixture
def pool(fleet):
    """Return a pool of targets that a part of a prompt crashes."""
    return PartPool(fleet)


class TestRequestsWithACrashingPartReachFewTargets:
    """Rule BUDGET holds although no two of the requests are alike."""

    async def run(self, pool, send, pause_s=PAUSE_S):
        async with pool.sound_traffic():
            await pool.attack(send, pause_s)
            await pool.attack_late(send, pause_s)
        pool.check()

    @pytest.mark.parametrize("path", KINDS)
    async def test_when_they_come_to_one_instance_after_another(
        self, pool, path
    ):
        await pool.start_in_two()
        await self.run(
            pool, lambda number: pool.send_crashing(number, path=path)
        )

    @pytest.mark.parametrize(
        ("count", "pause_s"), [(2, PAUSE_S), (5, PAUSE_S), (5, 0.7)]
    )
    async def test_when_several_come_at_once_to_several_instances(
        self, pool, count, pause_s
    ):
        await pool.start_in_two()

        async def send(number):
            await asyncio.gather(
                *(pool.send_crashing(number + copy) for copy in range(count))
            )

        await self.run(pool, send, pause_s)

    async def test_when_their_other_parts_differ(self, pool):
        await pool.start_in_two()

        def send(number):
            before, after = f"f{number}:200", f"m{number % 3}:120"
            parts = [before, after, CRASHING, f"n{number}:64"]
            return pool.send(number, *parts)

        await self.run(pool, send)

    async def test_when_each_reaches_a_restarted_instance(self, pool):
        await pool.start_in_two()

        async def send(number):
            await pool.restart_instance(number % crashes.INSTANCES)
            await pool.send_crashing(number)

        await self.run(pool, send)

    async def test_when_all_instances_restart_after_the_fifth_crash(
        self, pool
    ):
        await pool.start_in_two()
        async with pool.sound_traffic():
            await pool.attack(pool.send_crashing)
        await pool.restart_all_instances()
        async with pool.sound_traffic():
            await pool.attack_late(pool.send_crashing)
        pool.check()

    async def test_when_an_instance_was_cut_off_during_the_crashes(
        self, pool, fleet
    ):
        store = SilencedStore(fleet.store)
        await store.start()
        cut_off = crashes.INSTANCES - 1
        await pool.start_in_two(stores={cut_off: store})
        gateway = fleet.gateways[cut_off]
        store.set_cut(True)
        set_exchange_cut(gateway, True)
        # No lists of targets are compared with that of the cut off instance.
        fleet.gateways.remove(gateway)
        async with pool.sound_traffic():
            await pool.attack(
                lambda number: pool.send_crashing(number % cut_off)
            )
            fleet.gateways.append(gateway)
            store.set_cut(False)
            set_exchange_cut(gateway, False)
            await asyncio.sleep(crashes.DETECTION_S)
            await pool.attack_late(lambda _: pool.send_crashing(cut_off))
        await store.close()
        pool.check()

    @pytest.mark.parametrize("extra_crashes", [2, 4])
    async def test_when_other_targets_crash_at_the_same_time(
        self, pool, extra_crashes
    ):
        pool.extra_crashes = extra_crashes
        await pool.start_in_two()
        await self.run(pool, pool.send_crashing)

    async def test_when_their_callers_leave_before_the_crash(
        self, pool, fleet
    ):
        pool.crash_delay_s = 0.1
        await pool.start_in_two()

        async def send(number):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PREFILL_S):
                    await pool.send_crashing(number)

        await self.run(pool, send)

    async def test_when_their_targets_fall_silent(self, pool, monkeypatch):
        await pool.start_in_two()
        pool.silence_targets(monkeypatch)

        async def send(number):
            await pool.send_crashing(number, X_Deadline_Remaining="1000")

        await self.run(pool, send)

    async def test_when_their_targets_restart_before_detection(self, pool):
        pool.restart_at_once = True
        await pool.start_in_two()
        await self.run(pool, pool.send_crashing)

    @pytest.mark.parametrize(
        "step", ["choose_stream_target", "open", "can_try_again"]
    )
    async def test_when_they_wait_in_an_instance_during_detection(
        self, pool, fleet, monkeypatch, step
    ):
        config = documents.configuration()
        config["Routes"][2]["TimeoutMs"] = 30000
        await fleet.store.configure(config)
        await pool.start_in_two()
        waiting_in = crashes.INSTANCES - 1
        access = fleet.gateways[waiting_in].access
        resume = asyncio.Event()
        resume_step = getattr(access, step)

        async def wait_before_step(*args, **named):
            await resume.wait()
            return await resume_step(*args, **named)

        monkeypatch.setattr(access, step, wait_before_step)
        async with contextlib.AsyncExitStack() as stack:
            for number in range(LATE_SENDS):
                caller = await stack.enter_async_context(
                    fleet.caller(waiting_in)
                )
                caller.send(
                    crashes.PLAN,
                    method="POST",
                    body=b"waiting-%d" % number,
                    attempt=f"w{number}",
                    X_Deadline_Remaining="30000",
                    X_Prompt_Prefix=f"{FIRST},{CRASHING},own-w{number}:8000",
                )
            dispatcher = fleet.gateways[waiting_in].dispatcher
            await fleets.wait_until(lambda: dispatcher.in_flight >= LATE_SENDS)
            async with pool.sound_traffic():
                await pool.attack(
                    lambda number: pool.send_crashing(number % waiting_in)
                )
            resume.set()
            await fleets.wait_until(lambda: not dispatcher.in_flight, 10.0)
        pool.check()


class TestSoundRequestsAreServed:
    """Rule LOST: only requests with the crashing part are refused."""

    async def check_served(self, pool, *parts, path=crashes.PLAN):
        await pool.settle()
        statuses = await pool.send_sound(*parts, path=path)
        assert statuses == [200] * SOUND_REQUESTS

    @pytest.mark.parametrize("path", KINDS)
    async def test_when_they_share_the_caller_and_the_other_parts(
        self, pool, path
    ):
        await pool.start_in_two()
        async with pool.sound_traffic():
            await pool.attack(
                lambda number: pool.send(
                    number, FIRST, MIDDLE, CRASHING, path=path
                )
            )
        await self.check_served(pool, path=path)
        await self.check_served(pool, FIRST, path=path)
        await self.check_served(pool, FIRST, MIDDLE, path=path)

    async def test_when_a_data_centre_crashes_again_and_again(self, pool):
        pool.prefill_s = 0.3
        await pool.start_in_two()
        for _ in range(FREE_CRASHES + 3):
            runs = asyncio.create_task(pool.send_sound(FIRST, MIDDLE))
            await fleets.wait_until(
                lambda: any(
                    pool.prefilling.get(worker.name)
                    for worker in pool.fleet.workers.values()
                    if worker.zone == "a"
                )
            )
            await pool.crash_data_centre("a")
            await runs
            await asyncio.sleep(0.7 - pool.prefill_s)
            await pool.settle()
        await self.check_served(pool, FIRST, MIDDLE)
        await self.check_served(pool, FIRST)

    async def test_when_they_are_lost_beside_crashing_requests(self, pool):
        pool.prefill_s = 0.3
        await pool.start_in_two(workers=6)

        async def send(number):
            runs = asyncio.create_task(pool.send_sound(FIRST, MIDDLE))
            await fleets.wait_until(lambda: sum(pool.prefilling.values()) > 6)
            await pool.send_crashing(number)
            await runs

        await pool.attack(send)
        await self.check_served(pool, FIRST, MIDDLE)
        await self.check_served(pool, FIRST)

    async def test_when_their_part_came_only_with_the_crashing_one(self, pool):
        await pool.start_in_two()
        async with pool.sound_traffic():
            await pool.attack(
                lambda number: pool.send(number, FIRST, "n1:64", CRASHING)
            )
        await self.check_served(pool, FIRST, "n1:64")
