"""Test a store that comes back from a copy that is some seconds old.

What was written since the copy is gone, versions are given out again, and
operators and targets write their rows again some time later.
"""

import asyncio

import msgspec
import pytest

from sassafrasflow.gateway import relay
from sassafrasflow.platform.tests import crashes
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins
from sassafrasflow.platform.tests import test_rollouts as ordered

# Operators allow these times until a change is in force, and until a target
# that leaves gets no more requests.
CONFIG_S = 2.5
DRAIN_S = 2.5
# Instances that start together have one reader after this time.
SETTLE_S = 2.0
# Targets and operators write their rows again this long after the return.
REWRITE_S = 1.8
# Time within which an instance learns what its peers know.
LEARN_S = 1.0
# A target that the copy lacks and that is not written again is dropped within
# this time.
DROP_S = 5.0


def configuration(version, **changes):
    """Return a configuration with a route and a key that no other has."""
    config = documents.configuration(version, **changes)
    config["Routes"].append(documents.route(f"v{version}", "idempotent"))
    config["Tenants"] = [
        {"Name": "club", "ApiKeys": ["secret", f"key-{version}"]}
    ]
    return config


class Site:
    """Run instances of a data centre, and a store that can be restored."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.store = fleet.store

    async def start(self, instances=3):
        await self.fleet.add_worker("w1")
        await self.configure(1)
        for _ in range(instances):
            await self.add_instance()
        await self.fleet.wait_for_peers()
        await asyncio.sleep(SETTLE_S)

    async def add_instance(self, **changes):
        return await self.fleet.start(
            exchange_port=fleets.free_port(), **changes
        )

    async def stop_instances(self):
        """Stop all instances; those that start later have no peers."""
        for gateway in self.fleet.gateways:
            await gateway.close()
        self.fleet.gateways.clear()
        self.fleet.ports.clear()

    async def configure(self, version):
        return await self.store.configure(configuration(version))

    async def wait_for_targets(self, *names):
        """Wait until every instance uses the named targets and no others."""
        await fleets.wait_until(
            lambda: all(
                {target.id for target in gateway.directory.usable("pool")}
                == set(names)
                for gateway in self.fleet.gateways
            )
        )

    async def advance(self, revision):
        """Write other rows until the store has a revision."""
        while self.store.revision < revision:
            await self.store.put_row("status", "other", {})

    async def restore(self, copy, away_s=0.0, meanwhile=None):
        """Go back to a copy; ``meanwhile`` runs before any read."""
        self.store.go_away()
        await asyncio.sleep(away_s)
        await self.store.restore(copy)
        if meanwhile is not None:
            await meanwhile()
        self.store.fault = None

    async def call(self, path, instance=0, **named):
        async with self.fleet.caller(instance) as caller:
            return (await caller.request(path, **named)).status

    async def call_all(self, path, **named):
        """Return the statuses that the instances answer."""
        return await asyncio.gather(
            *(
                self.call(path, instance, **named)
                for instance in range(len(self.fleet.ports))
            )
        )

    async def is_in_force(self, version):
        return set(await self.call_all(f"/v{version}/1")) == {200}

    async def assert_in_force(self, version, within_s=CONFIG_S):
        """Check that a configuration comes into force everywhere in time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within_s
        while loop.time() < end and not await self.is_in_force(version):
            await asyncio.sleep(0.05)
        assert await self.call_all(f"/v{version}/1") == [200] * len(
            self.fleet.ports
        )

    async def assert_stays(self, check, seconds):
        """Repeat a check for some time."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await check()
            await asyncio.sleep(0.05)


@pytest.fixture
def site(fleet):
    """Return a site without instances."""
    return Site(fleet)


class TestChangesAfterReturn:
    """A change that is written after the return is in force in time."""

    @pytest.mark.parametrize("away_s", [0.0, 1.5])
    async def test_version_number_that_was_known_is_not_skipped(
        self, site, away_s
    ):
        await site.start()
        copy = site.store.copy()
        await site.configure(2)
        await site.assert_in_force(2)
        await site.advance(copy.revision + 10)
        known = await site.configure(3)
        await site.assert_in_force(3)
        await site.restore(copy, away_s)
        await asyncio.sleep(LEARN_S)
        await site.configure(3)
        await site.assert_in_force(3)
        assert await site.configure(4) <= known
        await site.assert_in_force(4)

    async def test_version_number_of_the_same_row_is_not_skipped(self, site):
        await site.start()
        copy = site.store.copy()
        await site.configure(2)
        await site.assert_in_force(2)
        await site.restore(copy)
        await asyncio.sleep(LEARN_S)
        await site.configure(3)
        await site.assert_in_force(3)

    async def test_several_returns_in_quick_succession(self, site):
        await site.start()
        copy = site.store.copy()
        await site.configure(2)
        await site.assert_in_force(2)
        for version in (3, 4, 5):
            await site.restore(copy)
            await asyncio.sleep(0.3)
            await site.configure(version)
        await site.assert_in_force(5)
        await site.configure(6)
        await site.assert_in_force(6)

    async def test_return_during_the_wait_for_the_last_change(self, site):
        await site.start()
        copy = site.store.copy()
        await site.configure(2)
        await site.restore(copy)
        await site.configure(3)
        await site.assert_in_force(3)

    @pytest.mark.parametrize("refused_s", [0.0, 0.6])
    async def test_change_before_the_next_read_is_not_skipped(
        self, site, refused_s
    ):
        """No read gets 410 if the counter has passed the known version."""
        await site.start()
        copy = site.store.copy()
        await site.configure(2)
        await site.assert_in_force(2)

        async def write():
            await site.configure(3)
            await site.advance(copy.revision + 6)
            # The first answers of the new era may be refusals.
            site.store.fault = 503
            await asyncio.sleep(refused_s)

        await site.restore(copy, 0.5, write)
        await site.assert_in_force(3)

    async def test_target_before_the_next_read_is_not_skipped(self, site):
        """No read gets 410 if the counter has passed the known version."""
        await site.start()
        copy = site.store.copy()
        await site.advance(copy.revision + 4)
        await asyncio.sleep(SETTLE_S)
        second = standins.Worker("w2")
        await second.start()
        site.fleet.workers["w2"] = second

        async def write():
            await site.store.list_worker(second)
            await site.store.unlist_worker(site.fleet.workers["w1"])
            await site.advance(copy.revision + 6)

        await site.restore(copy, 0.5, write)
        # The bound counts from when an instance has learned of the return.
        await fleets.wait_until(
            lambda: len(site.fleet.events("store_restored")) == 3,
            timeout_s=CONFIG_S,
        )
        await asyncio.sleep(DRAIN_S)
        assert await site.call_all("/read/1") == [200] * 3
        assert len(second.requests) == 3


class TestOlderConfiguration:
    """The configuration of the copy is not put in force again."""

    @pytest.mark.parametrize("away_s", [0.0, 1.5])
    async def test_dropped_route_and_revoked_key_stay_out_of_force(
        self, site, away_s
    ):
        await site.start()
        copy = site.store.copy()
        await site.configure(2)
        await site.assert_in_force(2)

        async def check():
            assert await site.call_all("/v1/1") == [404] * 3
            assert await site.call_all("/read/1", X_Key="key-1") == [401] * 3
            assert await site.call_all("/v2/1", X_Key="key-2") == [200] * 3

        await site.restore(copy, away_s)
        await site.assert_stays(check, REWRITE_S)
        await site.configure(2)
        await site.assert_stays(check, CONFIG_S)
        await site.configure(3)
        await site.assert_in_force(3)
        assert await site.call_all("/v2/1") == [404] * 3


class TestStartingInstance:
    """An instance starts before the operator has written again."""

    async def restore_first(self, site, instances):
        await site.start(instances)
        copy = site.store.copy()
        await site.configure(2)
        await site.assert_in_force(2)
        await site.advance(copy.revision + 5)
        return copy

    async def test_it_serves_what_its_peers_know(self, site):
        copy = await self.restore_first(site, 2)
        await site.restore(copy)
        await asyncio.sleep(0.3)
        await site.add_instance()
        await site.assert_in_force(2, within_s=LEARN_S)
        assert await site.call("/v1/1", instance=2) == 404
        await site.configure(3)
        await site.assert_in_force(3)

    @pytest.mark.parametrize("data_centre", ["a", "b"])
    async def test_it_asks_peers_that_have_relayed_already(
        self, site, data_centre
    ):
        copy = await self.restore_first(site, 2)
        await site.restore(copy)
        await asyncio.sleep(SETTLE_S)
        await site.add_instance(data_centre=data_centre)
        await site.assert_in_force(2, within_s=LEARN_S)
        assert await site.call("/v1/1", instance=2) == 404

    async def test_version_of_the_former_era_causes_no_endless_reads(
        self, site
    ):
        copy = await self.restore_first(site, 2)
        await site.restore(copy)
        await asyncio.sleep(0.3)
        await site.add_instance()
        await asyncio.sleep(SETTLE_S)
        site.store.calls.clear()
        await asyncio.sleep(3.0)
        # One instance awaits targets each second and settings each 2 s.
        assert len(site.store.calls) <= 12

    async def test_alone_it_serves_the_copy_and_goes_forward(self, site):
        copy = await self.restore_first(site, 2)
        await site.stop_instances()
        await site.restore(copy)
        await site.add_instance()
        await site.assert_in_force(1, within_s=LEARN_S)
        await asyncio.sleep(0.5)
        await site.configure(2)
        await site.assert_in_force(2)
        await site.configure(3)
        await site.assert_in_force(3)


class TestTargetsAfterReturn:
    """Targets are used by what they wrote last, in whichever era."""

    async def rewrite(self, site, worker, count=5):
        """Write an entry repeatedly, so that it has a higher version."""
        for number in range(count):
            await site.store.list_worker(worker, Sequence=number + 2)

    async def test_new_address_under_a_lower_version_is_used(self, site):
        await site.start()
        first = site.fleet.workers["w1"]
        copy = site.store.copy()
        await self.rewrite(site, first)
        await asyncio.sleep(0.5)
        await site.restore(copy)
        await first.close()
        second = standins.Worker("w1")
        await second.start()
        site.fleet.workers["w1"] = second
        await asyncio.sleep(0.5)
        await site.store.list_worker(second, born=2000)
        await asyncio.sleep(DRAIN_S)
        assert await site.call_all("/read/1") == [200] * 3
        assert len(second.requests) == 3

    async def test_new_state_under_a_lower_version_is_used(self, site):
        await site.start()
        first = site.fleet.workers["w1"]
        await site.fleet.add_worker("w2")
        copy = site.store.copy()
        await self.rewrite(site, first)
        await asyncio.sleep(0.5)
        await site.restore(copy)
        await asyncio.sleep(0.5)
        await site.store.list_worker(first, State="draining", Sequence=9)
        await asyncio.sleep(DRAIN_S)
        first.requests.clear()
        for _ in range(5):
            assert await site.call_all("/read/1") == [200] * 3
        assert not first.requests

    @pytest.mark.parametrize("away_s", [0.0, 1.5])
    async def test_target_that_the_copy_lacks_is_kept(self, site, away_s):
        await site.start()
        first = site.fleet.workers["w1"]
        await site.store.unlist_worker(first)
        copy = site.store.copy()
        second = await site.fleet.add_worker("w2")
        await site.wait_for_targets("w2")

        async def check():
            assert await site.call_all("/read/1") == [200] * 3

        await site.restore(copy, away_s)
        await site.assert_stays(check, REWRITE_S)
        await site.store.list_worker(second)
        await site.assert_stays(check, 1.5)
        gone = [line["target"] for line in site.fleet.events("target_gone")]
        assert "w2" not in gone

    @pytest.mark.parametrize("away_s", [0.0, 1.5])
    async def test_target_that_is_not_written_again_is_dropped(
        self, site, away_s
    ):
        await site.start()
        copy = site.store.copy()
        await site.fleet.add_worker("w2")
        await site.wait_for_targets("w1", "w2")
        await site.restore(copy, away_s)
        await asyncio.sleep(DROP_S)
        for gateway in site.fleet.gateways:
            assert gateway.directory.get("w2") is None

    async def restore_left(self, site, how, away_s):
        """Let the first target leave, and restore a copy from before."""
        await site.start()
        first = site.fleet.workers["w1"]
        await site.fleet.add_worker("w2")
        copy = site.store.copy()
        await site.store.list_worker(first, State="draining", Sequence=2)
        if how == "removed":
            await asyncio.sleep(0.5)
            await site.store.unlist_worker(first)
        await site.wait_for_targets("w2")
        first.requests.clear()
        await site.restore(copy, away_s)
        return first

    @pytest.mark.parametrize("how", ["draining", "removed"])
    @pytest.mark.parametrize("away_s", [0.0, 1.5])
    async def test_target_that_has_left_gets_no_request(
        self, site, how, away_s
    ):
        first = await self.restore_left(site, how, away_s)

        async def check():
            assert await site.call_all("/read/1") == [200] * 3
            assert not first.requests

        await site.assert_stays(check, DRAIN_S)

    @pytest.mark.parametrize("how", ["draining", "removed"])
    async def test_target_that_left_and_started_anew_is_used(self, site, how):
        first = await self.restore_left(site, how, 0.0)
        await asyncio.sleep(LEARN_S)
        await site.store.list_worker(first, born=2000)
        await asyncio.sleep(DRAIN_S)
        for _ in range(10):
            assert await site.call_all("/read/1") == [200] * 3
        assert first.requests

    async def test_successor_keeps_the_address_of_a_target_that_left(
        self, site
    ):
        """The entry in the copy has the new era, that of the successor not."""
        await site.start()
        first = site.fleet.workers.pop("w1")
        config = configuration(2)
        config["Services"].append({**config["Services"][0], "Name": "other"})
        config["Routes"].append(
            documents.route("other", "idempotent", Service="other")
        )
        await site.store.configure(config)
        copy = site.store.copy()
        await site.store.unlist_worker(first)
        await first.close()
        second = standins.Worker("w2")
        await second.start(first.port)
        site.fleet.workers["w2"] = second
        await site.store.list_worker(second, service="other")
        await fleets.wait_until(
            lambda: all(
                gateway.directory.get("w2") and not gateway.directory.get("w1")
                for gateway in site.fleet.gateways
            )
        )

        async def check():
            assert await site.call_all("/other/1") == [200] * 3

        await check()
        await site.restore(copy)
        await site.assert_stays(check, REWRITE_S)
        await site.store.list_worker(second, service="other")
        await site.assert_stays(check, 1.5)


class TestRecord:
    """The log and the metrics show that the store went back."""

    def counts(self, site):
        """Return how often each instance counted a return."""
        return [
            sum(
                float(line.rpartition(" ")[2])
                for line in gateway.metrics.render([]).decode().splitlines()
                if line.startswith("sassafrasflow_store_restores_total")
            )
            for gateway in site.fleet.gateways
        ]

    @pytest.mark.parametrize("instances", [1, 3])
    async def test_each_return_is_logged_and_counted_once(
        self, site, instances
    ):
        await site.start(instances)
        copy = site.store.copy()
        await site.configure(2)
        await site.assert_in_force(2)
        for era in (2, 3):
            await site.restore(copy)
            await asyncio.sleep(CONFIG_S)
            assert self.counts(site) == [era - 1] * instances
            lines = site.fleet.events("store_restored")
            assert [
                (line["former_era"], line["era"])
                for line in lines[-instances:]
            ] == [(era - 1, era)] * instances
        assert len(site.fleet.events("store_restored")) == 2 * instances

    async def test_dropped_history_is_no_return(self, site):
        await site.start(1)
        site.store.drop_history()
        await fleets.wait_until(
            lambda: site.fleet.events("target_history_lost")
        )
        await site.configure(2)
        await site.assert_in_force(2)
        assert not site.fleet.events("store_restored")
        assert self.counts(site) == [0]

    async def test_store_without_the_header_is_served_as_before(self, site):
        site.store.sends_era = False
        await site.start()
        await site.configure(2)
        await site.assert_in_force(2)
        site.store.drop_history()
        await site.configure(3)
        await site.assert_in_force(3)
        assert not site.fleet.events("store_restored")


class Recorder:
    """Record what an instance receives of reads of the store."""

    def __init__(self, gateway):
        self._gateway = gateway
        self._messages = []
        exchange = gateway.access.exchange
        self._pass_on = exchange._on_message
        exchange._on_message = self._record

    def _record(self, message):
        if isinstance(message, relay.Relay | relay.SettingsPart):
            self._messages.append(message)
        self._pass_on(message)

    def take(self):
        """Return what was received since the last call."""
        taken, self._messages = self._messages, []
        return taken

    def deliver(self, messages):
        """Deliver messages once more, as if they had been delayed."""
        for message in messages:
            self._pass_on(message)


class TestRelaysOfBothEras:
    """Instances of a data centre learn of the return at different times."""

    @pytest.fixture
    async def refusing(self, site):
        """Refuse the store to the last of three instances."""
        await site.start(instances=2)
        refusing = standins.RefusingStore(site.store)
        await refusing.start()
        await site.add_instance(store_address=(standins.HOST, refusing.port))
        await site.fleet.wait_for_peers()
        await asyncio.sleep(SETTLE_S)
        refusing.refusing = True
        await asyncio.sleep(0.5)
        yield refusing
        await refusing.close()

    @pytest.mark.usefixtures("refusing")
    @pytest.mark.parametrize("away_s", [0.0, 1.5])
    async def test_instance_that_the_store_refuses_goes_forward(
        self, site, away_s
    ):
        first = site.fleet.workers["w1"]
        copy = site.store.copy()
        await site.configure(2)
        await site.configure(3)
        await site.store.list_worker(first, Sequence=2)
        await site.store.list_worker(first, Sequence=3)
        await site.assert_in_force(3)
        await site.restore(copy, away_s)

        async def check():
            assert await site.call_all("/v3/1") == [200] * 3

        await site.assert_stays(check, LEARN_S)
        await site.configure(3)
        await site.assert_in_force(3)
        await site.configure(4)
        await site.assert_in_force(4)
        second = await site.fleet.add_worker("w2")
        await site.store.list_worker(first, State="draining", Sequence=4)
        await asyncio.sleep(DRAIN_S)
        first.requests.clear()
        assert await site.call_all("/read/1") == [200] * 3
        assert not first.requests
        assert second.requests

    async def test_late_datagrams_of_the_former_era_change_nothing(self, site):
        await site.start()
        first = site.fleet.workers["w1"]
        await site.fleet.add_worker("w2")
        await site.wait_for_targets("w1", "w2")
        copy = site.store.copy()
        recorders = [Recorder(each) for each in site.fleet.gateways]
        for version in (2, 3):
            await site.configure(version)
            await site.store.list_worker(first, Sequence=version)
            await asyncio.sleep(LEARN_S)
        await site.assert_in_force(3)
        former = [recorder.take() for recorder in recorders]
        for kind in (relay.Relay, relay.SettingsPart):
            assert any(
                isinstance(message, kind)
                for messages in former
                for message in messages
            )
        await site.restore(copy)
        await asyncio.sleep(LEARN_S)
        await site.store.list_worker(first, State="draining", Sequence=4)
        await site.configure(4)
        await site.assert_in_force(4)
        await site.wait_for_targets("w2")
        first.requests.clear()
        site.store.calls.clear()
        for recorder in recorders:
            for messages in former:
                recorder.deliver(messages)

        async def check():
            assert await site.call_all("/v4/1") == [200] * 3
            assert await site.call_all("/v3/1") == [404] * 3
            assert not first.requests

        await site.assert_stays(check, 3.0)
        assert len(site.store.calls) <= 15
        await site.configure(5)
        await site.assert_in_force(5)


class TestRolloutsAfterReturn:
    """Orders and the states of their rollouts may be lost."""

    async def start(self, site, script=None, instances=2, *, order_kept=False):
        """Start a rollout; return a copy from before its first state."""
        operators = ordered.Operators(site.fleet)
        await operators.add_old_targets()
        await site.configure(1)
        for _ in range(instances):
            await site.add_instance()
        await operators.call_until(
            lambda: operators.requests_of("o") >= 40, 5.0
        )
        copy = site.store.copy()
        await operators.order()
        if order_kept:
            copy = site.store.copy()
        await operators.start_new_targets(script)
        return operators, copy

    async def rewrite(self, site, operators, *, order_kept=False):
        """Write what operators and targets write, under other versions."""
        await asyncio.sleep(0.5)
        await site.advance(site.store.revision + 3)
        for name in ("n0", "n1"):
            await site.store.list_worker(
                site.fleet.workers[name], Version="v2"
            )
        if not order_kept:
            await operators.order()

    async def call_for(self, operators, seconds):
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        await operators.call_until(lambda: loop.time() > end, seconds + 5.0)

    @pytest.mark.parametrize(
        "order_kept", [False, True], ids=["order-lost", "order-kept"]
    )
    async def test_completed_rollout_stays_completed(self, site, order_kept):
        operators, copy = await self.start(site, order_kept=order_kept)
        await operators.call_until(
            lambda: operators.state() == "completed", ordered.DURATION_S
        )
        await self.call_for(operators, 0.5)
        before = operators.requests_of("o")
        await site.restore(copy)
        await self.rewrite(site, operators, order_kept=order_kept)
        await self.call_for(operators, 3.0)
        assert operators.requests_of("o") == before
        assert operators.state() == "completed"
        assert set(operators.answers) == {200}

    @pytest.mark.parametrize(
        "order_kept", [False, True], ids=["order-lost", "order-kept"]
    )
    async def test_rolled_back_version_gets_nothing_more(
        self, site, order_kept
    ):
        operators, copy = await self.start(
            site, ordered.fail, order_kept=order_kept
        )
        await operators.call_until(
            lambda: operators.state() == "rolled_back", ordered.DURATION_S
        )
        await self.call_for(operators, 0.5)
        before = operators.requests_of("n")
        await site.restore(copy)
        await self.rewrite(site, operators, order_kept=order_kept)
        await self.call_for(operators, 3.0)
        assert operators.requests_of("n") == before
        assert operators.state() == "rolled_back"

    async def test_rollout_in_progress_keeps_its_deadline(self, site):
        operators, copy = await self.start(site)
        ordered_at = asyncio.get_running_loop().time()
        await operators.call_until(lambda: operators.state() == "active", 2.0)
        await self.call_for(operators, 1.5)
        await site.restore(copy)
        await self.rewrite(site, operators)
        await operators.call_until(
            lambda: operators.state() == "completed", 2 * ordered.DURATION_S
        )
        took_s = asyncio.get_running_loop().time() - ordered_at
        assert took_s <= ordered.DURATION_S + 0.25

    async def test_state_that_its_writer_did_not_read_is_not_overwritten(
        self, site
    ):
        """The state was written after the return and has a known version."""
        operators, copy = await self.start(site, instances=1, order_kept=True)
        await operators.call_until(lambda: operators.state() == "active", 2.0)
        await self.call_for(operators, 0.5)
        (key,) = [
            key for key in site.store.rows if key[0].endswith("-rollouts")
        ]
        content, revision = site.store.rows[key]
        state = {**msgspec.json.decode(content), "stage": "rolled_back"}
        status = {**operators.status(), "State": "rolled_back"}

        async def write():
            await site.advance(revision - 1)
            assert await site.store.put_row(*key, state) == revision
            await site.store.put_row("status", "rollout/pool", status)
            for name in ("n0", "n1"):
                await site.store.list_worker(
                    site.fleet.workers[name], Version="v2"
                )

        await site.restore(copy, 0.5, write)
        await self.call_for(operators, ordered.DURATION_S + 1.0)
        assert operators.state() == "rolled_back"
        stored = msgspec.json.decode(site.store.rows[key][0])
        assert stored["stage"] == "rolled_back"
        before = operators.requests_of("n")
        await self.call_for(operators, 0.5)
        assert operators.requests_of("n") == before


class TestOwnRowsAfterReturn:
    """What instances have written is written again if it was lost."""

    @pytest.mark.parametrize("returns", [1, 2])
    async def test_starting_instance_meets_the_others(self, site, returns):
        await site.fleet.add_worker("w1")
        await site.configure(1)
        copy = site.store.copy()
        for _ in range(2):
            await site.add_instance()
        await site.fleet.wait_for_peers()
        for _ in range(returns):
            await site.restore(copy)
            await asyncio.sleep(CONFIG_S)
        await site.add_instance()
        await site.fleet.wait_for_peers()

    @pytest.mark.parametrize("path", [crashes.PLAN, crashes.BOOK])
    async def test_crashing_request_is_still_refused_after_a_restart(
        self, site, path
    ):
        pool = crashes.CrashingPool(site.fleet)
        await pool.start(8, instances=2)
        copy = site.store.copy()
        for number in range(8):
            await crashes.send_request(
                site.fleet, number % 2, f"r{number}", path=path
            )
            await pool.settle()
        await fleets.wait_until(lambda: site.fleet.events("verdict_saved"))
        count = pool.crash_count
        listed = {name for table, name in copy.rows if table == "servers"}
        await site.restore(copy)
        await asyncio.sleep(1.0)
        for name in listed - set(site.fleet.workers):
            await site.store.remove_row("servers", name)
        for worker in site.fleet.workers.values():
            await site.store.list_worker(worker, zone=worker.zone)
        await asyncio.sleep(CONFIG_S)
        await site.stop_instances()
        for _ in range(2):
            await site.add_instance()
        await pool.wait_for_peers()
        for number in range(2):
            answer = await crashes.send_request(
                site.fleet, number, f"s{number}", path=path
            )
            assert answer.status == 503
        assert pool.crash_count == count
