"""Leaders: notes end right through takeovers, lost answers and outages."""

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
from sassafrasflow.releases.tests import test_verdict as samples

Fault = tables.WriteFault
Phase = releases.Phase
State = releases.NoteState
MODEL = "planner"
SPAN_S = 400.0
TICK_S = 1.0


class MemoryEngine:
    """Carry orders out at once, with or without regard to fencing."""

    def __init__(self, obeys_fencing, loads=True):
        self.loaded = [engines.LoadedVersion(MODEL, "v1")]
        self.fencing = 0
        self._obeys = obeys_fencing
        self._loads = loads

    async def order(self, order):
        if order.fencing < self.fencing and self._obeys:
            return engines.OrderOutcome(False, "old fencing number")
        self.fencing = max(self.fencing, order.fencing)
        held = engines.LoadedVersion(order.model, order.version)
        if order.kind is engines.OrderKind.UNLOAD:
            self.loaded = [each for each in self.loaded if each != held]
        elif held not in self.loaded and self._loads:
            self.loaded.append(held)
        return engines.OrderOutcome(True)


class MemoryDirectory:
    """Hold engines in memory and read their state on each call."""

    def __init__(self, obeys_fencing, loads):
        self.engines = {
            f"{region}-{n}": MemoryEngine(obeys_fencing, loads)
            for region in ("east", "west")
            for n in range(2)
        }

    def ready(self):
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
            target.note_report(
                engines.EngineReport(1, list(engine.loaded), 0, 0, 8)
            )
            yield target


class Registry:
    """Run nothing."""

    def running_generations(self):
        return []


class MemoryPlatform(tables.MemoryTable):
    """Grant every download."""

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


class Site:
    """Hold what one instance needs for releases."""

    def __init__(self, world, name):
        self.keeper = configuration.ConfigurationKeeper(
            world.table,
            world.initial,
            configuration.KeeperPolicy(),
            world.clock,
            world.shared,
        )
        self.releases = releases.Releases(
            release_settings(name),
            world.table,
            self.keeper,
            world.directory,
            Registry(),
            world.shared,
            world.clock,
        )

    @property
    def lease(self):
        return self.releases.lease

    async def tick(self):
        await self.lease.step()
        await self.keeper.refresh()
        self.releases.watcher.check()
        await self.releases.leader.tick()


class World:
    """Hold two instances over one table, clock and set of engines."""

    def __init__(self, obeys_fencing=True, loads=True):
        self.clock = clocks.ManualClock(wall_s=1e9)
        self.table = MemoryPlatform()
        self.shared = membership.LocalSharedState("all", self.clock)
        self.initial = configuration.Document(
            models={MODEL: configuration.Model({"v1": 1.0})}
        )
        self.directory = MemoryDirectory(obeys_fencing, loads)
        self.sites = [Site(self, f"entry-{n}") for n in range(2)]
        self.number = 0

    async def submit(self):
        site = self.sites[0]
        await site.keeper.refresh()
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
            self.clock.wall() + SPAN_S,
        )
        record = await site.releases.note_manager.submit(body)
        return record.id

    def serve(self, site, failing=False):
        """Send both versions the same work, in proportion to their shares."""
        if not site.keeper.ready:
            return
        shares = site.keeper.current.shares_at(MODEL, self.clock.wall())
        for version, share in shares.items():
            if site.releases.evidence_exchange.is_blocked(MODEL, version):
                continue
            for _ in range(round(60 * share)):
                self.number += 1
                bad = failing and version == "v2"
                site.releases.watcher.observe(
                    samples.outcome(
                        version,
                        self.number,
                        target=f"east-{self.number % 2}",
                        failure=exceptions.RetryReason.STALLED
                        if bad
                        else None,
                    )
                )

    async def run(self, note_id, sites=None, failing=False, seconds=SPAN_S):
        """Run until the note has ended, or for some time."""
        for _ in range(int(seconds / TICK_S) + 5):
            for site in sites or self.sites:
                self.serve(site, failing)
                await site.tick()
            self.clock.advance(TICK_S)
            record = await self.record(note_id)
            if record is not None and record.state.ended:
                break
        return await self.record(note_id)

    async def record(self, note_id):
        if self.table.down:
            return None
        view = await self.sites[0].releases.note_manager.show(note_id)
        return view.record

    def loaded(self):
        """Return the versions that each engine holds."""
        return [
            {held.version for held in engine.loaded}
            for engine in self.directory.engines.values()
        ]


class TestOutcome:
    async def test_good_version_is_moved_to(self):
        world = World()
        note_id = await world.submit()
        record = await world.run(note_id)
        assert record.state is State.DONE
        assert world.loaded() == [{"v2"}] * 4
        document = world.sites[1].keeper.current
        assert document.models[MODEL].shares == {"v2": 1.0}
        lines = [line for line in record.report.lines if line.scope == "all"]
        assert all(line.attempts > 100 for line in lines)

    async def test_failing_version_is_taken_back(self):
        world = World()
        note_id = await world.submit()
        record = await world.run(note_id, failing=True)
        assert record.state is State.TAKEN_BACK
        assert "failures" in record.reason
        for _ in range(5):
            await world.sites[0].tick()
            world.clock.advance(TICK_S)
        assert world.loaded() == [{"v1"}] * 4
        assert world.sites[0].keeper.current.models == world.initial.models

    async def test_version_that_never_loads_is_taken_back(self):
        world = World(loads=False)
        record = await world.run(await world.submit())
        assert record.state is State.TAKEN_BACK
        assert "not loaded in time: east-0" in record.reason

    async def test_second_note_over_the_model_is_refused(self):
        world = World()
        note_id = await world.submit()
        with pytest.raises(ExceptionGroup) as caught:
            await world.submit()
        assert note_id in str(caught.value.exceptions[0])


class TestTakeover:
    @pytest.mark.parametrize("obeys_fencing", [True, False])
    @pytest.mark.parametrize("paused_at", [1, 4, 8, 20, 40, 375])
    async def test_paused_holder_undoes_nothing(
        self, paused_at, obeys_fencing
    ):
        world = World(obeys_fencing)
        note_id = await world.submit()
        old, new = world.sites
        await world.run(note_id, [old], seconds=paused_at - 5)
        old_fencing = old.lease.lease.view.record.fencing
        record = await world.run(note_id, [new])
        assert record.state is State.DONE
        # The paused holder's last orders leave only now.
        for kind, version in (("load", "v1"), ("unload", "v2")):
            order = engines.Order(
                engines.OrderKind(kind), old_fencing, MODEL, version
            )
            await world.directory.engine("east-0").order(order)
        if obeys_fencing:
            assert world.loaded() == [{"v2"}] * 4
        await old.tick()
        assert not old.lease.is_held()
        await new.tick()
        assert world.loaded() == [{"v2"}] * 4
        assert (await world.record(note_id)).state is State.DONE

    async def test_new_holder_gives_no_order_before_the_old_ones_end(self):
        world = World()
        await world.submit()
        old, new = world.sites
        await old.tick()
        await new.tick()
        before = world.loaded()
        assert before != [{"v1", "v2"}] * 4
        world.clock.advance(leases.LeasePolicy().term_ms / 1000)
        await new.tick()
        assert new.lease.is_held()
        assert world.loaded() == before
        world.clock.advance(leases.LeasePolicy().longest_order_ms / 1000)
        await new.tick()
        assert world.loaded() == [{"v1", "v2"}] * 4


class TestPlatformFaults:
    @pytest.mark.parametrize("every", [2, 3, 5])
    async def test_lost_answers_change_nothing(self, every):
        world = World()
        note_id = await world.submit()
        for number in range(2_000):
            lost = number % every == 0
            world.table.faults.append(
                Fault.LOST_ANSWER if lost else Fault.NONE
            )
        record = await world.run(note_id)
        assert record.state is State.DONE
        assert world.loaded() == [{"v2"}] * 4

    async def test_outage_over_the_deadline(self):
        world = World()
        note_id = await world.submit()
        record = await world.run(note_id, seconds=20)
        assert record.phase is Phase.RAMPING
        world.table.down = True
        await world.run(note_id, seconds=SPAN_S)
        site = world.sites[1]
        view = await site.releases.note_manager.show(note_id)
        assert view.source is releases.NoteSource.PEERS
        assert view.age_s > SPAN_S / 2
        assert "platform does not answer" in releases.note_text(view)
        now = world.clock.wall()
        assert site.keeper.current.shares(MODEL).keys() == {"v1", "v2"}
        assert site.keeper.current.shares_at(MODEL, now).keys() == {"v1"}
        world.table.down = False
        record = await world.run(note_id)
        assert record.state is State.TAKEN_BACK
        assert "deadline passed" in record.reason
        for _ in range(10):
            for each in world.sites:
                await each.tick()
            world.clock.advance(TICK_S)
        assert world.loaded() == [{"v1"}] * 4
        assert {s.keeper.current.revision for s in world.sites} == {
            world.sites[0].keeper.current.revision
        }


class TestOperators:
    async def test_take_back(self):
        world = World()
        note_id = await world.submit()
        await world.run(note_id, seconds=20)
        note_manager = world.sites[1].releases.note_manager
        record = await note_manager.take_back(note_id)
        assert record.state is State.TAKEN_BACK
        assert world.sites[1].keeper.current.models == world.initial.models
        with pytest.raises(ExceptionGroup, match="note"):
            await note_manager.take_back(note_id)
        assert await note_manager.take_back("ghost") is None

    async def test_take_back_races_the_leader(self):
        world = World()
        note_id = await world.submit()
        await world.run(note_id, seconds=20)
        leader, operator = world.sites
        real_transact = world.table.transact

        async def race(conditions, writes):
            world.table.transact = real_transact
            await operator.releases.note_manager.take_back(note_id)
            await real_transact(conditions, writes)

        world.table.transact = race
        for _ in range(10):
            world.serve(leader)
            await leader.tick()
            world.clock.advance(TICK_S)
        record = await world.record(note_id)
        assert record.state is State.TAKEN_BACK
        assert leader.keeper.current.models == world.initial.models
        assert not leader.keeper.current.trials


class TestContenders:
    def test_few_instances_follow_the_lease(self):
        names = [f"entry-{n}" for n in range(40)]
        everyone = [membership.Peer(n, "", "east", "east-1") for n in names]
        eager = [
            peer.instance
            for peer in everyone
            if assembly.is_contender(
                peer.instance,
                membership.StaticMembers(p for p in everyone if p != peer),
            )
        ]
        assert len(eager) == assembly.CONTENDERS
