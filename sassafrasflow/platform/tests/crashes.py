"""Targets that crash because of a request, and callers that send it."""

import asyncio
import contextlib
import itertools

from sassafrasflow.gateway import connections
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

PLAN = "/plan/1"
READ = "/read/1"
BOOK = "/book/1"
POISON = b"poison"
INSTANCES = 8
# Operators allow three crashes, and three more from retries that come later
# than 4 s after the third.
ALLOWED_CRASHES = 3
DETECTION_S = 4.0
# A crashed target restarts after this time, as a new incarnation.
RESTART_S = 0.1
# A silent target restarts after SILENT_S.
SILENT_S = 1.5


class CrashingPool:
    """Run targets that crash because of a request and then restart."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self.fleet = fleet
        # Times of the crashes that each request body caused.
        self.crash_times: dict[bytes, list[float]] = {}
        self.crash_delay_s = 0.0
        self.events_before_crash = 0
        # Number of other targets of the data centre that crash at each crash.
        self.extra_crashes = 0
        # Whether targets answer 500 instead of crashing.
        self.failing = False
        # Whether targets restart before any instance detects the crash.
        self.restart_at_once = False
        # Whether targets are silent before they restart, as after a loss of
        # power.
        self.fall_silent = False
        self.silent: set[str] = set()
        self._worker_numbers = itertools.count()
        self._restarts: set[asyncio.Task] = set()

    @property
    def crash_count(self) -> int:
        """Return the largest number of crashes that one request caused."""
        return max(map(len, self.crash_times.values()), default=0)

    @property
    def late_crash_count(self) -> int:
        """Return the crashes after a request should have been detected."""
        return max(
            sum(
                at > times[ALLOWED_CRASHES - 1] + DETECTION_S
                for at in times[ALLOWED_CRASHES:]
            )
            for times in self.crash_times.values()
        )

    def is_detection_due(self) -> bool:
        """Return whether each request should have been detected by now."""
        now = asyncio.get_running_loop().time()
        return all(
            len(times) < ALLOWED_CRASHES
            or now > times[ALLOWED_CRASHES - 1] + DETECTION_S
            for times in self.crash_times.values()
        )

    async def start(
        self, workers: int, instances: int = INSTANCES, zones: str = "ab"
    ) -> None:
        for number in range(workers):
            await self.add(zones[number % len(zones)])
        for _ in range(instances):
            await self.fleet.start(exchange_port=fleets.free_port())
        await self.wait_for_peers()

    def silence_targets(self, monkeypatch) -> None:
        """Let crashed targets be silent, also to new connections."""
        self.fall_silent = True
        for gateway in self.fleet.gateways:
            connect = gateway.access._connect

            async def connect_or_not(target, connect=connect):
                if target.id in self.silent:
                    await asyncio.sleep(0.1)
                    raise connections.ConnectError("no answer", silent=True)
                return await connect(target)

            monkeypatch.setattr(gateway.access, "_connect", connect_or_not)

    async def wait_for_peers(self) -> None:
        await self.fleet.wait_for_peers()
        await self.settle()

    async def add(self, zone: str, port: int = 0) -> None:
        name = f"w{next(self._worker_numbers)}"

        async def script(conn, req):
            await self._run(name, conn, req)

        await self.fleet.add_worker(name, script, zone=zone, port=port)

    async def settle(self) -> None:
        """Wait until all targets have restarted and are listed everywhere."""
        await fleets.wait_until(self._is_settled)

    def _is_settled(self) -> bool:
        # A target may crash while this waits for others.
        names = set(self.fleet.workers)
        return not self._restarts and all(
            names <= {target.id for target in gateway.directory.targets()}
            for gateway in self.fleet.gateways
        )

    async def restart_instance(self, number: int) -> None:
        """Restart an instance, which loses all its state."""
        fleet = self.fleet
        old = fleet.gateways[number]
        await old.close()
        new = await fleet.start(
            instance=old.cfg.instance,
            data_centre=old.cfg.data_centre,
            store_address=old.cfg.store_address,
            exchange_port=fleets.free_port(),
        )
        fleet.gateways.remove(new)
        fleet.gateways[number] = new
        fleet.ports[number] = fleet.ports.pop()
        await self.wait_for_peers()

    def is_crashing(self, req: standins.Request) -> bool:
        """Return whether a request crashes the target that runs it."""
        return req.body.startswith(POISON)

    async def _answer(self, name, conn, req) -> None:
        await standins.stream_script(5)(conn, req)

    async def _run(self, name, conn, req) -> None:
        if name in self.silent:
            return await conn.wait_closed()
        if not self.is_crashing(req):
            await self._answer(name, conn, req)
            return
        if self.failing:
            await conn.answer(
                500,
                X_Request_Attempt_Id=req.headers[standins.ATTEMPT],
                X_Response_Seal="sealed",
            )
            return
        if self.events_before_crash:
            await conn.start_stream(req)
            first = int(req.headers.get("last-event-id", 0)) + 1
            for number in range(self.events_before_crash):
                await conn.event(first + number)
        # The target crashes even if the caller disconnects before.
        await asyncio.shield(self._crash(name, req.body))

    async def _crash(self, name: str, body: bytes) -> None:
        await asyncio.sleep(self.crash_delay_s)
        worker = self.fleet.workers.get(name)
        if worker is None:
            return
        now = asyncio.get_running_loop().time()
        self.crash_times.setdefault(body, []).append(now)
        others = [
            other
            for other in self.fleet.workers.values()
            if other is not worker and other.zone == worker.zone
        ]
        if self.fall_silent:
            self.silent.add(name)
            await asyncio.sleep(SILENT_S)
        for other in [worker, *others[: self.extra_crashes]]:
            await self._restart(other)

    async def _restart(self, worker: standins.Worker) -> None:
        del self.fleet.workers[worker.name]
        await worker.close()
        if self.restart_at_once:
            await self.fleet.store.unlist_worker(worker)
            await self.add(worker.zone, worker.port)
            return
        task = asyncio.create_task(self._restart_later(worker))
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart_later(self, worker: standins.Worker) -> None:
        await asyncio.sleep(RESTART_S)
        await self.fleet.store.unlist_worker(worker)
        await self.add(worker.zone)


async def send_request(
    fleet, instance, attempt, body=POISON, path=PLAN, **headers
):
    """Send a request to one instance; return the answer, if any."""
    with contextlib.suppress(EOFError, OSError):
        async with fleet.caller(instance) as caller:
            return await caller.request(
                path, method="POST", body=body, attempt=attempt, **headers
            )


@contextlib.asynccontextmanager
async def traffic(fleet):
    """Send requests to all instances, so that they detect crashes."""

    async def call_forever(instance: int) -> None:
        for number in itertools.count():
            attempt = f"t{instance}-{number}"
            await send_request(fleet, instance, attempt, b"log", READ)

    tasks = [
        asyncio.create_task(call_forever(number))
        for number in range(len(fleet.gateways))
    ]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)
