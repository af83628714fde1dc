"""What orders and relays the store's content after it was restored."""

import asyncio
import random
import types

import msgspec
import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import followers
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import process
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import relay
from sassafrasflow.gateway import rollout_manager
from sassafrasflow.gateway import rollouts
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import versions
from sassafrasflow.gateway.tests import rollout_simulation
from sassafrasflow.gateway.tests import test_rollouts_restored
from sassafrasflow.platform import rows
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import test_restored_store

ERA = ids.StoreEra(2)
ORDER = rollouts.Order(
    ids.ServiceName("pool"), ids.VersionId("v2"), 30.0, 35, ERA
)


class SilentLog(telemetry.EventLog):
    """Event log that writes nothing."""

    def write(self, event, *, routine=False, **fields):
        pass


def configuration(version):
    """Return a configuration that operators could have written."""
    document = {**documents.configuration(), "Version": version}
    return rows.decode_configuration(msgspec.json.encode(document))


def entry(number, data_centre="a"):
    """Return the entry of an instance."""
    return registries.InstanceEntry(
        f"i{number:03}", "10.0.0.1", 7000 + number, data_centre
    )


class Receiver:
    """Follower of an instance that is no reader."""

    def __init__(self, version, newest):
        log = SilentLog("i009")
        clock = asyncio.get_running_loop().time
        self.orders = []
        self.queried = []
        self.follower = followers.SettingsFollower(
            None,
            registries.StoreContact(clock, log, "settings"),
            relay.ReaderRole("i009", 0.3, random.Random(1)),
            versions.EraTracker(log, telemetry.Metrics(), lambda: None),
            lambda: 0.0,
            clock,
            log,
            random.Random(1),
            lambda: None,
            self.orders.extend,
            lambda: None,
        )
        self.follower.query_peer = self.queried.append
        self.follower.current = configuration(version)
        self.follower._after = self.follower.newest = newest

    def receive(self, parts):
        for part in parts:
            self.follower.handle_part(part)

    def must_read(self):
        """Return whether the follower still reads what it lacks."""
        self.follower._clock = lambda: (
            asyncio.get_running_loop().time() + followers.PARTS_WAIT_S
        )
        return self.follower._must_read()


class Peer:
    """Instance that reads the store and sends settings as a gateway does."""

    def __init__(self, version, newest):
        self.sent = []
        self.settings = Receiver(version, newest).follower
        self.access = types.SimpleNamespace(exchange=self)
        self._role = types.SimpleNamespace(is_reader=True)
        self._clock = asyncio.get_running_loop().time
        self._settings_published_at = -1.0
        self._settings_scheduled = False

    def send_settings(self, peers, update):
        self.sent += relay.pack_settings("i000", update)

    def publish_settings(self, update):
        self.send_settings([], update)

    def answer(self):
        process.Gateway._answer_settings_query(
            self, relay.SettingsQuery(entry(9))
        )
        sent, self.sent = self.sent, []
        return sent

    def _publish_settings(self):
        process.Gateway._publish_settings(self)

    def read(self, update):
        self.settings._apply_update(update)
        process.Gateway._on_newer_settings(self)


class TestOrders:
    """An order of operators reaches each instance."""

    async def test_answer_of_a_peer_that_has_read_more_hides_no_order(self):
        """A peer reads the order after its heartbeat, before its answer."""
        receiver = Receiver(14, versions.StoreVersion(ERA, 30))
        peer = Peer(15, versions.StoreVersion(ERA, 30))
        receiver.follower.handle_beat(
            peer_table.Beat(entry(0), 15, peer.settings.newest)
        )
        assert receiver.queried
        update = registries.SettingsUpdate(
            None, 35, 35, 1, orders=(ORDER,), era=ERA
        )
        peer.settings._apply_update(update)
        receiver.receive(peer.answer())
        assert receiver.follower.version == 15
        # The reader's relay of the order, which came second.
        receiver.receive(relay.pack_settings("i001", update))
        assert receiver.orders == [ORDER] or receiver.must_read()

    async def test_order_between_two_other_rows_is_relayed(self):
        """Three rows are written and read within the publish interval."""
        peer = Peer(15, versions.StoreVersion(ERA, 34))
        receiver = Receiver(14, versions.StoreVersion(ERA, 33))
        updates = [
            registries.SettingsUpdate(configuration(15), 34, 34, 1, era=ERA),
            registries.SettingsUpdate(
                None, 35, 35, 1, orders=(ORDER,), era=ERA
            ),
            registries.SettingsUpdate(configuration(16), 36, 36, 1, era=ERA),
        ]
        for update in updates:
            peer.read(update)
            await asyncio.sleep(0.05)
        await asyncio.sleep(process.SETTINGS_PUBLISH_INTERVAL_S)
        receiver.receive(peer.sent)
        assert receiver.follower.newest.revision == 36
        assert receiver.orders == [ORDER] or receiver.must_read()

    async def test_lost_relay_of_an_order_is_noticed_at_the_next_one(self):
        peer = Peer(14, versions.StoreVersion(ERA, 34))
        receiver = Receiver(14, versions.StoreVersion(ERA, 34))
        peer.read(
            registries.SettingsUpdate(
                None, 35, 35, 1, orders=(ORDER,), era=ERA
            )
        )
        # The datagram of revision 35, which held the order, was lost.
        peer.sent.clear()
        receiver.follower.handle_revision(35, ERA)
        peer.read(
            registries.SettingsUpdate(configuration(16), 36, 36, 1, era=ERA)
        )
        await asyncio.sleep(process.SETTINGS_PUBLISH_INTERVAL_S)
        receiver.receive(peer.sent)
        assert receiver.follower.newest.revision == 36
        assert receiver.orders == [ORDER] or receiver.must_read()


class TestQueries:
    """Instances ask each other no more often than they need to."""

    async def test_heartbeats_of_many_peers_cause_few_queries(self):
        """Each answer takes up to 24 datagrams of 1.3 KB."""
        receiver = Receiver(14, versions.StoreVersion(ERA, 30))
        for number in range(100):
            receiver.follower.handle_beat(
                peer_table.Beat(
                    entry(number), 15, versions.StoreVersion(ERA, 30)
                )
            )
        assert len(receiver.queried) <= 3


def listed(**changes):
    """Return the entry of a target."""
    ready = targets.ListedTarget(
        id=ids.TargetId("t1"),
        service=ids.ServiceName("pool"),
        host="10.0.0.1",
        port=80,
        data_centre=ids.DataCentre("a"),
        slots=4,
        started_ms=1,
    )
    return msgspec.structs.replace(ready, **changes)


def change(revision, target=None):
    return targets.TargetChange(ids.TargetId("t1"), revision, target)


class TestHeldEntries:
    """An entry that was held is not used once a newer list lacks it."""

    def restored(self):
        directory = targets.Directory()
        directory.replace([change(5, listed())], 5, 0.0, ids.StoreEra(1))
        directory.apply([change(6)], 1.0)
        assert not directory.usable("pool")
        # The copy is from before revision 6.
        directory.record_store_regained(10.0)
        directory.replace([change(5, listed())], 5, 10.0, ERA)
        assert not directory.usable("pool")
        return directory

    def test_list_of_the_same_era_without_the_entry(self):
        directory = self.restored()
        directory.replace([], 7, 12.0, ERA)
        directory.release_held(15.0)
        assert not directory.usable("pool")

    def test_list_of_the_next_era_without_the_entry(self):
        directory = self.restored()
        directory.record_store_regained(12.0)
        directory.replace([], 4, 12.0, ids.StoreEra(3))
        directory.release_held(15.0)
        directory.expire(15.0)
        assert not directory.usable("pool")

    def test_removal_by_a_change(self):
        directory = self.restored()
        directory.apply([change(7)], 12.0)
        directory.release_held(15.0)
        assert not directory.usable("pool")


class TestStartAfterRestore:
    """An instance that starts before operators write again asks its peers."""

    @pytest.mark.parametrize(
        "answer, at",
        [
            (rollout_simulation.sound, 3.0),
            (rollout_simulation.failing, 8.0),
        ],
    )
    def test_version_on_trial_is_not_used_without_limit(self, answer, at):
        """The copy lacks the order, and the peers tell of its state."""
        site = test_rollouts_restored.Site(answer)
        sim = site.sim
        sim.run(until=at)
        name = sim.instance_names[-1]

        def restart():
            site.restore()
            site.learn()
            sim.start(name)
            site.learn([name])
            sim.managers[name].handle_orders([])

        sim.run(until=at + 2.5, events=[(at, restart)])
        assert self._usable(sim, sim.instance_names[0]) == {"v1"}
        assert self._usable(sim, name) == {"v1"}

    def _usable(self, sim, name):
        """Return the versions that requests may go to without a limit."""
        pool = rollout_simulation.POOL
        usable = sim.managers[name].usable(
            pool, sim.directories[name].usable(pool)
        )
        return {target.listed.version for target in usable}

    async def test_large_configuration_is_learnt_from_a_peer(self):
        """A service of 3,000 keys, of which the copy lacks the last."""
        rng = random.Random(1)
        receiver = Receiver(14, versions.StoreVersion(ERA, 30))
        peer = Peer(15, versions.StoreVersion(ERA, 30))
        document = {
            **documents.configuration(),
            "Version": 15,
            "Tenants": [
                {
                    "Name": f"club{number}",
                    "ApiKeys": [f"{rng.getrandbits(96):024x}"],
                }
                for number in range(3000)
            ],
        }
        peer.settings.current = rows.decode_configuration(
            msgspec.json.encode(document)
        )
        receiver.receive(peer.answer())
        assert receiver.follower.version == 15 or receiver.must_read()


class SlowRegistry(rollout_simulation.Registry):
    """Registry whose reads take a moment, as those of a store do."""

    async def read_rollouts(self):
        await asyncio.sleep(0.004)
        return await super().read_rollouts()


class TestRolloutReads:
    """A restore doesn't make each instance read the states at once."""

    def test_ended_rollout_in_a_fleet_of_200(self):
        """All learn of the restore within one step of each other."""
        site = self.site(200)
        copy = site.table.copy()
        site.sim.now = 45.0
        assert self.restore(site, copy) <= 20

    def test_second_restore(self):
        """Followers took the state as due since the first restore."""
        site = self.site(60)
        copy = site.table.copy()
        site.sim.now = 45.0
        assert self.restore(site, copy) <= 6
        site.sim.now = 200.0
        assert self.restore(site, copy) <= 6

    def test_lost_state_and_messages(self):
        """The copy is older than the rollout, and messages are lost."""
        site = self.site(60)
        site.sim.loss_share = 0.2
        site.sim.now = 45.0
        assert self.restore(site, None) <= 6
        for _ in range(12):
            site.sim.now += rollout_manager.STEP_INTERVAL_S
            assert self.step_all(site) <= 6

    def site(self, instances):
        site = test_rollouts_restored.Site(instances=instances, rate=10.0)
        site.sim.run(until=41.0)
        assert site.sim.stage is rollouts.Stage.COMPLETED
        return site

    def restore(self, site, copy):
        """Restore the store, and return the calls of the next step."""
        site.restore(copy)
        site.learn()
        return self.step_all(site)

    def step_all(self, site):
        """Let all take a step at once, and return their calls."""
        sim = site.sim
        registries_ = []
        for manager in sim.managers.values():
            manager._registry = SlowRegistry(site.table)
            registries_.append(manager._registry)

        async def step_all():
            await asyncio.gather(
                *(manager.step() for manager in sim.managers.values())
            )

        asyncio.run(step_all())
        assert sim.stage is rollouts.Stage.COMPLETED
        return sum(item.calls for item in registries_)


class TestFleet:
    """The same faults in instances that run."""

    async def test_removed_target_of_a_copy_stays_removed(self, fleet):
        """The entry is removed, and its history dropped, in an outage."""
        site = test_restored_store.Site(fleet)
        worker = await fleet.add_worker("w2")
        await site.start(2)
        await site.wait_for_targets("w1", "w2")
        copy = site.store.copy()
        await site.store.unlist_worker(worker)
        await site.wait_for_targets("w1")
        count = len(fleet.events("target_listed"))
        await site.restore(copy)
        await asyncio.sleep(1.0)
        site.store.go_away()
        await site.store.unlist_worker(worker)
        site.store.drop_history()
        # The history from here on is kept.
        await site.advance(site.store.revision + 1)
        await asyncio.sleep(0.3)
        site.store.fault = None
        await asyncio.sleep(targets.OUTDATED_HOLD_S + 1.0)
        await site.wait_for_targets("w1")
        assert "w2" not in [
            line["target"] for line in fleet.events("target_listed")[count:]
        ]

    @pytest.mark.parametrize("gap_s", [0.05, 0.15, 0.33])
    async def test_order_among_changes_reaches_all_instances(
        self, fleet, gap_s
    ):
        site = test_restored_store.Site(fleet)
        await site.start(3)
        await site.configure(2)
        await asyncio.sleep(gap_s)
        await site.store.put_row(
            "op",
            "rollout/pool",
            {"Service": "pool", "To": "v2", "DurationS": 30},
        )
        await asyncio.sleep(0.33)
        await site.configure(3)
        await asyncio.sleep(3.0)
        assert [
            gateway.rollouts.get("pool") is not None
            for gateway in fleet.gateways
        ] == [True] * 3


class TestOddEras:
    """One odd header doesn't cut instances off from the store for good."""

    @pytest.mark.parametrize("odd", [10**14, 2])
    async def test_answers_after_one_of_a_later_era_are_used(self, fleet, odd):
        site = test_restored_store.Site(fleet)
        await site.start(2)
        site.store.era = odd
        await asyncio.sleep(1.5)
        site.store.era = 1
        await asyncio.sleep(1.5)
        await site.configure(2)
        await site.assert_in_force(2)
