"""Tests that notes end correctly despite takeovers and platform faults.

Two instances share a table, a clock and a set of engines in memory. The
failures are a suspended holder of the lease, lost answers of the table, and
an outage of the platform.
"""

import pytest

from sassafrasflow import clocks
from sassafrasflow import configuration
from sassafrasflow import engines
from sassafrasflow import exceptions
from sassafrasflow import leases
from sassafrasflow import membership
from sassafrasflow import releases
from sassafrasflow import settings
from sassafrasflow import storage
from sassafrasflow import targets
from sassafrasflow.fakes import table as tables
from sassafrasflow.releases import assembly
from sassafrasflow.releases.tests import test_verdict as verdict_tests

Fault = tables.WriteFault
Phase = releases.Phase
State = releases.NoteState
MODEL = "planner"
DEADLINE_S = 400.0
TICK_S = 1.0


class MemoryEngine:
    """Engine that obeys orders at once, and may check fencing tokens."""

    def __init__(self, obeys_fencing, loads=True):
        self.loaded = [engines.LoadedVersion(MODEL, "v1")]
        self.fencing = 0
        self._obeys_fencing = obeys_fencing
        self._loads = loads

    async def order(self, order):
        if order.fencing < self.fencing and self._obeys_fencing:
            return engines.OrderOutcome(False, "old fencing number")
        self.fencing = max(self.fencing, order.fencing)
        loaded_version = engines.LoadedVersion(order.model, order.version)
        if order.kind is engines.OrderKind.UNLOAD:
            self.loaded = [
                each for each in self.loaded if each != loaded_version
            ]
        elif loaded_version not in self.loaded and self._loads:
            self.loaded.append(loaded_version)
        return engines.OrderOutcome(True)


class MemoryDirectory:
    """Directory of engines in memory, with a fresh report on each call."""

    def __init__(self, obeys_fencing, loads):
        self.engines = {
            f"{region}-{n}": MemoryEngine(obeys_fencing, loads)
            for region in ("east", "west")
            for n in range(2)
        }

    def ready_targets(self):
        return list(self)

    def engine(self, target):
        return self.engines[target]

    def __iter__(self):
        for name, engine in self.engines.items():
            listed = storage.ListedInstance(
                name,
                storage.TargetKind.ENGINE,
                "",
                name.split("-")[0],
                f"{name.split('-')[0]}-1",
            )
            target = targets.Target(listed)
            target.record_report(
                engines.EngineReport(1, list(engine.loaded), 0, 0, 8)
            )
            yield target


class IdleRegistry:
    """Registry without running generations."""

    def running_generations(self):
        return []


class MemoryPlatform(tables.MemoryTable):
    """Table in memory that also grants every download of weights."""

    async def reserve(self, model, version):
        return storage.WeightGrant(True)


def release_settings(name):
    return settings.Settings(
        instance=name,
        region="east",
        data_centre="east-1",
        platform=settings.PlatformSettings("http://127.0.0.1:1"),
        releases=settings.ReleaseSettings(
            load_ms=10_000,
            step_ms=5_000,
            watch_ms=20_000,
            finish_ms=20_000,
            drain_ms=2_000,
        ),
    )


class ReleaseInstance:
    """Components of one instance that take part in releases."""

    def __init__(self, cluster, name):
        self.keeper = configuration.ConfigurationKeeper(
            cluster.table,
            cluster.initial,
            configuration.KeeperPolicy(),
            cluster.clock,
            cluster.shared,
        )
        self.releases = releases.Releases(
            release_settings(name),
            cluster.table,
            self.keeper,
            cluster.directory,
            IdleRegistry(),
            cluster.shared,
            cluster.clock,
        )

    @property
    def lease(self):
        return self.releases.lease

    async def tick(self):
        await self.lease.step()
        await self.keeper.refresh()
        self.releases.watcher.check()
        await self.releases.leader.tick()


class Cluster:
    """Two instances that share a table, a clock and the engines."""

    def __init__(self, obeys_fencing=True, loads=True):
        self.clock = clocks.ManualClock(wall_s=1e9)
        self.table = MemoryPlatform()
        self.shared = membership.LocalSharedState("all", self.clock)
        self.initial = configuration.Document(
            models={MODEL: configuration.Model({"v1": 1.0})}
        )
        self.directory = MemoryDirectory(obeys_fencing, loads)
        self.instances = [
            ReleaseInstance(self, f"entry-{n}") for n in range(2)
        ]
        self.number = 0

    async def submit(self):
        instance = self.instances[0]
        await instance.keeper.refresh()
        body = releases.NoteBody(
            "Move to v2",
            (
                releases.Change(
                    releases.ChangeKind.ADD,
                    releases.Subject.VERSION,
                    MODEL,
                    "v2",
                ),
                releases.Change(
                    releases.ChangeKind.WITHDRAW,
                    releases.Subject.VERSION,
                    MODEL,
                    "v1",
                ),
            ),
            self.clock.wall() + DEADLINE_S,
        )
        record = await instance.releases.note_manager.submit(body)
        return record.id

    def serve(self, instance, failing=False):
        """Record attempts of each version in proportion to its share."""
        if not instance.keeper.is_ready:
            return
        shares = instance.keeper.current.shares_at(MODEL, self.clock.wall())
        for version, share in shares.items():
            if instance.releases.evidence_exchange.is_blocked(MODEL, version):
                continue
            for _ in range(round(60 * share)):
                self.number += 1
                bad = failing and version == "v2"
                instance.releases.watcher.observe(
                    verdict_tests.outcome(
                        version,
                        self.number,
                        target=f"east-{self.number % 2}",
                        failure=exceptions.RetryReason.STALLED
                        if bad
                        else None,
                    )
                )

    async def run(
        self, note_id, instances=None, failing=False, seconds=DEADLINE_S
    ):
        """Tick the instances until the note has ended or the time is over."""
        for _ in range(int(seconds / TICK_S) + 5):
            for instance in instances or self.instances:
                self.serve(instance, failing)
                await instance.tick()
            self.clock.advance(TICK_S)
            record = await self.record(note_id)
            if record is not None and record.state.ended:
                break
        return await self.record(note_id)

    async def record(self, note_id):
        if self.table.down:
            return None
        view = await self.instances[0].releases.note_manager.show(note_id)
        return view.record

    def loaded(self):
        """Return the versions that are loaded on each engine."""
        return [
            {loaded_version.version for loaded_version in engine.loaded}
            for engine in self.directory.engines.values()
        ]


class TestOutcome:
    async def test_good_version_gets_all_work(self):
        cluster = Cluster()
        note_id = await cluster.submit()
        record = await cluster.run(note_id)
        assert record.state is State.DONE
        assert cluster.loaded() == [{"v2"}] * 4
        document = cluster.instances[1].keeper.current
        assert document.models[MODEL].shares == {"v2": 1.0}
        lines = [line for line in record.report.lines if line.scope == "all"]
        assert all(line.attempts > 100 for line in lines)

    async def test_failing_version_is_taken_back(self):
        cluster = Cluster()
        note_id = await cluster.submit()
        record = await cluster.run(note_id, failing=True)
        assert record.state is State.TAKEN_BACK
        assert "failures" in record.reason
        for _ in range(5):
            await cluster.instances[0].tick()
            cluster.clock.advance(TICK_S)
        assert cluster.loaded() == [{"v1"}] * 4
        assert (
            cluster.instances[0].keeper.current.models
            == cluster.initial.models
        )

    async def test_version_that_never_loads_is_taken_back(self):
        cluster = Cluster(loads=False)
        record = await cluster.run(await cluster.submit())
        assert record.state is State.TAKEN_BACK
        assert "not loaded in time: east-0" in record.reason

    async def test_second_note_on_the_same_model_is_refused(self):
        cluster = Cluster()
        note_id = await cluster.submit()
        with pytest.raises(ExceptionGroup) as caught:
            await cluster.submit()
        assert note_id in str(caught.value.exceptions[0])


class TestTakeover:
    @pytest.mark.parametrize("obeys_fencing", [True, False])
    @pytest.mark.parametrize("suspended_at", [1, 4, 8, 20, 40, 375])
    async def test_late_orders_of_a_suspended_holder_are_corrected(
        self, suspended_at, obeys_fencing
    ):
        cluster = Cluster(obeys_fencing)
        note_id = await cluster.submit()
        old, new = cluster.instances
        await cluster.run(note_id, [old], seconds=suspended_at - 5)
        old_fencing_token = old.lease.lease.view.record.fencing
        record = await cluster.run(note_id, [new])
        assert record.state is State.DONE
        # The last orders of the suspended holder arrive only now.
        for kind, version in (("load", "v1"), ("unload", "v2")):
            order = engines.Order(
                engines.OrderKind(kind), old_fencing_token, MODEL, version
            )
            await cluster.directory.engine("east-0").order(order)
        if obeys_fencing:
            assert cluster.loaded() == [{"v2"}] * 4
        await old.tick()
        assert not old.lease.is_held()
        await new.tick()
        assert cluster.loaded() == [{"v2"}] * 4
        assert (await cluster.record(note_id)).state is State.DONE

    async def test_new_holder_waits_until_orders_of_the_old_one_end(self):
        cluster = Cluster()
        await cluster.submit()
        old, new = cluster.instances
        await old.tick()
        await new.tick()
        before = cluster.loaded()
        assert before != [{"v1", "v2"}] * 4
        cluster.clock.advance(leases.LeasePolicy().term_ms / 1000)
        await new.tick()
        assert new.lease.is_held()
        assert cluster.loaded() == before
        cluster.clock.advance(leases.LeasePolicy().longest_order_ms / 1000)
        await new.tick()
        assert cluster.loaded() == [{"v1", "v2"}] * 4


class TestPlatformFaults:
    @pytest.mark.parametrize("every", [2, 3, 5])
    async def test_release_completes_despite_lost_answers(self, every):
        cluster = Cluster()
        note_id = await cluster.submit()
        for number in range(2_000):
            lost = number % every == 0
            cluster.table.faults.append(
                Fault.LOST_ANSWER if lost else Fault.NONE
            )
        record = await cluster.run(note_id)
        assert record.state is State.DONE
        assert cluster.loaded() == [{"v2"}] * 4

    async def test_outage_beyond_the_deadline_takes_the_note_back(self):
        cluster = Cluster()
        note_id = await cluster.submit()
        record = await cluster.run(note_id, seconds=20)
        assert record.phase is Phase.RAMPING
        cluster.table.down = True
        await cluster.run(note_id, seconds=DEADLINE_S)
        instance = cluster.instances[1]
        view = await instance.releases.note_manager.show(note_id)
        assert view.source is releases.NoteSource.PEERS
        assert view.age_s > DEADLINE_S / 2
        assert "platform does not answer" in releases.note_text(view)
        now = cluster.clock.wall()
        assert instance.keeper.current.shares(MODEL).keys() == {"v1", "v2"}
        assert instance.keeper.current.shares_at(MODEL, now).keys() == {"v1"}
        cluster.table.down = False
        record = await cluster.run(note_id)
        assert record.state is State.TAKEN_BACK
        assert "deadline passed" in record.reason
        for _ in range(10):
            for each in cluster.instances:
                await each.tick()
            cluster.clock.advance(TICK_S)
        assert cluster.loaded() == [{"v1"}] * 4
        assert {s.keeper.current.revision for s in cluster.instances} == {
            cluster.instances[0].keeper.current.revision
        }


class TestOperators:
    async def test_operator_takes_a_note_back(self):
        cluster = Cluster()
        note_id = await cluster.submit()
        await cluster.run(note_id, seconds=20)
        note_manager = cluster.instances[1].releases.note_manager
        record = await note_manager.take_back(note_id)
        assert record.state is State.TAKEN_BACK
        assert (
            cluster.instances[1].keeper.current.models
            == cluster.initial.models
        )
        with pytest.raises(ExceptionGroup, match="note"):
            await note_manager.take_back(note_id)
        assert await note_manager.take_back("ghost") is None

    async def test_take_back_wins_against_a_concurrent_leader(self):
        cluster = Cluster()
        note_id = await cluster.submit()
        await cluster.run(note_id, seconds=20)
        leader, operator = cluster.instances
        real_transact = cluster.table.transact

        async def race(conditions, writes):
            cluster.table.transact = real_transact
            await operator.releases.note_manager.take_back(note_id)
            await real_transact(conditions, writes)

        cluster.table.transact = race
        for _ in range(10):
            cluster.serve(leader)
            await leader.tick()
            cluster.clock.advance(TICK_S)
        record = await cluster.record(note_id)
        assert record.state is State.TAKEN_BACK
        assert leader.keeper.current.models == cluster.initial.models
        assert not leader.keeper.current.trials


class TestContenders:
    def test_few_instances_contend_for_the_lease(self):
        names = [f"entry-{n}" for n in range(40)]
        everyone = [membership.Peer(n, "", "east", "east-1") for n in names]
        contenders = [
            peer.instance
            for peer in everyone
            if assembly.is_contender(
                peer.instance,
                membership.StaticMembers(p for p in everyone if p != peer),
            )
        ]
        assert len(contenders) == assembly.CONTENDERS
