"""Instances that refuse requests and check their verdicts, in virtual time."""

import asyncio
import itertools
import random
import types

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.admission.tests import virtual_loop
from sassafrasflow.gateway import aggregators
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts
from sassafrasflow.gateway import quarantine
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import verdicts
from sassafrasflow.gateway import versions
from sassafrasflow.gateway.tests import rollout_simulation
from sassafrasflow.rechecks import messages

__all__ = ["CRASHING", "FIRST", "RUN_S", "Fleet", "Registry", "simulate"]

FIRST, CRASHING = prompt_parts.digest_parts(
    map(ids.PromptPartId, ["f1", "c1"])
)
# Time of a run until it crashes or completes, and of a datagram.
RUN_S = 1.0
DELAY_S = 0.005
CALL_S = 0.01


class Registry(rollout_simulation.Registry):
    """Store rows; lose, delay or reject claims on demand."""

    def __init__(self):
        super().__init__(rollout_simulation.Table())
        self.era = 1
        self.is_down = False
        # Outcomes of the next claims: "lost", "applied" without an answer,
        # or "late" (applied when the row is next read).
        self.outcomes = []
        self.late = []
        self.refused = {}
        self.rechecks = {}
        self.revision = 10
        self.claims = 0
        self.store_calls = 0

    def row_key(self, row):
        return row.fingerprint

    async def _call(self):
        self.store_calls += 1
        await asyncio.sleep(CALL_S)
        if self.is_down:
            raise exceptions.TableUnavailable("down")

    async def read_fleet(self):
        await self._call()
        while self.late:
            self._apply(self.late.pop())
        now_ms = round(1000 * asyncio.get_running_loop().time())
        return registries.FleetRecord(
            (),
            tuple(self.refused.values()),
            now_ms,
            (),
            self.era,
            (),
            tuple(self.rechecks.values()),
        )

    async def write_refused(self, request):
        await self._call()
        self.refused[request.fingerprint] = request

    async def write_part_crash(self, crash):
        await self._call()

    async def write_recheck(self, recheck):
        await self._call()
        outcome = self.outcomes.pop(0) if self.outcomes else None
        if outcome == "late":
            self.late.append(recheck)
        if outcome in ("lost", "late"):
            raise exceptions.TableOutcomeUnknown("no answer")
        stored = self._apply(recheck)
        if outcome == "applied":
            raise exceptions.TableOutcomeUnknown("no answer")
        return stored

    def _apply(self, recheck):
        known = self.rechecks.get(recheck.fingerprint)
        current = 0 if known is None else known.version.revision
        if (self.era, current) != recheck.version:
            raise exceptions.TableConflict("changed")
        self.revision += 1
        self.claims += 1
        version = versions.StoreVersion(self.era, self.revision)
        stored = msgspec.structs.replace(recheck, version=version)
        self.rechecks[recheck.fingerprint] = stored
        return stored

    def restore(self, rechecks):
        """Go back to a copy of the rechecks, which begins the next era."""
        self.era += 1
        self.rechecks = {
            key: msgspec.structs.replace(
                row,
                version=versions.StoreVersion(self.era, row.version.revision),
            )
            for key, row in rechecks.items()
        }


class FakeExchange:
    """Fake exchange of one instance with its peers."""

    def __init__(self, fleet, own_entry):
        self._fleet = fleet
        self.peers = peer_table.PeerTable(own_entry)

    def live(self):
        return self.peers.live(self._fleet.loop.time())

    def aggregators_of(self, key):
        now = self._fleet.loop.time()
        return aggregators.choose_aggregators(key, self.peers, now)

    def is_aggregator(self, key):
        now = self._fleet.loop.time()
        return aggregators.is_aggregator(key, self.peers, now)

    def send(self, peers, message):
        content = msgspec.msgpack.encode(message)
        assert len(content) <= exchanges.MAX_DATAGRAM_BYTES
        for peer in peers:
            self._fleet.loop.call_later(
                DELAY_S, self._fleet.deliver, peer.id, content
            )


class Fleet:
    """Instances with their callers, and a store."""

    def __init__(self, instances):
        self.loop = asyncio.get_running_loop()
        self.registry = Registry()
        self.managers = {}
        self.tasks = {}
        # Times of the runs of requests that were refused before.
        self.checks = []
        self._numbers = itertools.count()
        self._decoder = msgspec.msgpack.Decoder(exchanges.Message)
        self._restarts = itertools.count()
        for number in range(instances):
            self.start(number)

    def __getitem__(self, number):
        return self.managers[f"entry-{number}"]

    def __len__(self):
        return len(self.managers)

    def start(self, number):
        name = ids.InstanceId(f"entry-{number}")
        own_entry = registries.InstanceEntry(
            name, "10.0.0.1", 1, ids.DataCentre("aabb"[number % 4])
        )
        manager = self.managers[name] = quarantine.QuarantineManager(
            name,
            targets.Directory(),
            self.registry,
            lambda now: 1000 * now,
            self.loop.time,
            telemetry.EventLog(name, fd=-1),
            telemetry.Metrics(),
            random.Random(next(self._restarts)),
        )
        manager.exchange = FakeExchange(self, own_entry)
        self.tasks[name] = [
            self.loop.create_task(job())
            for job in (
                manager.run,
                manager.writer.run,
                manager.rechecks.run,
                lambda: self._beat(manager),
            )
        ]
        return manager

    async def kill(self, *numbers):
        """Kill instances and start them again from what is stored."""
        for number in numbers:
            for task in self.tasks.pop(f"entry-{number}"):
                task.cancel()
        for number in numbers:
            self.start(number).apply_stored(await self.registry.read_fleet())

    def close(self):
        for task in itertools.chain(*self.tasks.values()):
            task.cancel()

    def deliver(self, receiver, content):
        message = self._decoder.decode(content)
        manager = self.managers[receiver]
        handlers = {
            verdicts.DeathReport: manager.handle_report,
            verdicts.PartCrashReport: manager.parts.handle_report,
            verdicts.QuarantineNotice: manager.handle_notice,
            verdicts.QuarantineQuery: manager.handle_query,
            verdicts.QuarantineState: manager.handle_state,
            messages.RecheckNotice: manager.rechecks.handle_notice,
        }
        handlers[type(message)](message)

    def job(self, *parts, request=None):
        name = request or f"r{next(self._numbers)}"
        return types.SimpleNamespace(
            shared_parts=parts,
            fingerprint=poison.Fingerprint(name),
            made_progress=False,
            recheck=None,
            head=types.SimpleNamespace(attempt_id=name),
        )

    def target(self):
        return targets.Target(
            targets.ListedTarget(
                ids.TargetId(f"t{next(self._numbers)}"),
                ids.ServiceName("pool"),
                "127.0.0.1",
                1,
                ids.DataCentre("a"),
                4,
            ),
            1,
        )

    def crash(self, number, *parts):
        """Record a crash of a target on a run of an instance."""
        manager = self[number]
        record = manager.runs.begin(
            self.job(*parts), self.target(), self.loop.time()
        )
        manager.parts.record_crash(record, self.loop.time(), set())

    async def crash_three(self, number, *parts):
        """Let an instance reach a verdict on some parts."""
        for _ in range(3):
            self.crash(number, *parts)
            await asyncio.sleep(1.5)
        assert all(
            manager.parts.is_refused(parts)
            for manager in self.managers.values()
        )

    def send(self, number, *parts, crashes=False, request=None):
        """Send a request as a caller; return whether it is admitted."""
        manager = self[number]
        job = self.job(*parts, request=request)
        was_refused = manager.is_poison(job)
        if was_refused and not manager.rechecks.admit(job):
            return False
        if was_refused:
            self.checks.append(self.loop.time())
        record = manager.begin_run(job, self.target())
        self.loop.call_later(RUN_S, self._end, manager, record, crashes)
        return True

    def _end(self, manager, record, crashes):
        if manager not in self.managers.values():
            return
        if not crashes:
            manager.record_event(record, self.loop.time())
            manager.record_success(record)
        manager.end_run(record, answered=not crashes)

    def refusing(self, *parts):
        """Return the number of instances that refuse a prompt."""
        return sum(
            manager.parts.is_refused(parts)
            for manager in self.managers.values()
        )

    async def _beat(self, manager):
        while True:
            for other in self.managers.values():
                manager.exchange.peers.record_contact(
                    other.exchange.peers.own_entry, self.loop.time()
                )
            await asyncio.sleep(0.5)


def simulate(scenario, instances=3):
    """Run a scenario with a fleet in virtual time."""

    async def main():
        fleet = Fleet(instances)
        await asyncio.sleep(1.0)
        try:
            await scenario(fleet)
        finally:
            fleet.close()

    virtual_loop.run(main())
