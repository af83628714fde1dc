"""Test that instances write their rows again if a restored store lost them."""

import asyncio

from sassafrasflow.platform.tests import fleets

# Learning of the restore and the spread of the writes take up to this.
REWRITE_S = 2.5


def listed_instances(store):
    """Return the instances whose entries the store holds."""
    return {
        key
        for table, key in store.rows
        if table == "sassafrasflow-instances" and "/" not in key
    }


async def start_instances(fleet, count):
    await fleet.add_worker("w1")
    for _ in range(count):
        await fleet.start(exchange_port=fleets.free_port())
    await fleet.wait_for_peers()


async def restore(store, copy):
    """Abort all connections and go back to a copy at once."""
    store.fault = "reset"
    for writer in list(store._writers):
        writer.transport.abort()
    await store.restore(copy)
    store.fault = None


def record_calls(gateway, calls, monkeypatch):
    """Record the names of an instance's calls for the table of instances."""
    for name in ("announce", "read_fleet"):
        method = getattr(gateway._registry, name)

        async def call(*args, name=name, method=method):
            calls.append(name)
            return await method(*args)

        monkeypatch.setattr(gateway._registry, name, call)


class TestEntries:
    """The entries of instances are written again."""

    async def test_each_instance_writes_once_and_reads_nothing(
        self, fleet, monkeypatch
    ):
        copy = fleet.store.copy()
        await start_instances(fleet, 4)
        calls = []
        for gateway in fleet.gateways:
            record_calls(gateway, calls, monkeypatch)
        await restore(fleet.store, copy)
        await asyncio.sleep(REWRITE_S)
        assert listed_instances(fleet.store) == {
            f"entry-{number}" for number in range(4)
        }
        assert calls == ["announce"] * 4

    async def test_write_acknowledged_before_a_second_restore_is_repeated(
        self, fleet
    ):
        copy = fleet.store.copy()
        await start_instances(fleet, 2)
        await restore(fleet.store, copy)
        await fleets.wait_until(
            lambda: len(listed_instances(fleet.store)) == 2
        )
        await restore(fleet.store, copy)
        await asyncio.sleep(REWRITE_S)
        assert len(listed_instances(fleet.store)) == 2

    async def test_lost_answer_to_the_write_is_no_success(self, fleet):
        copy = fleet.store.copy()
        await start_instances(fleet, 2)
        await restore(fleet.store, copy)
        fleet.store.fault = "lost"
        await fleets.wait_until(lambda: fleet.events("announce_failed"))
        fleet.store.fault = None
        await fleets.wait_until(
            lambda: len(fleet.events("announced_again")) == 2
        )

    async def test_restore_between_first_write_and_first_read_is_noticed(
        self, fleet, monkeypatch
    ):
        copy = fleet.store.copy()
        gateway = await fleet.add_gateway()
        announce = gateway._registry.announce

        async def announce_and_restore(entry):
            monkeypatch.undo()
            await announce(entry)
            # Connections stay open, so that the next read succeeds.
            await fleet.store.restore(copy)

        monkeypatch.setattr(
            gateway._registry, "announce", announce_and_restore
        )
        await fleets.wait_until(lambda: fleet.store.era == 2)
        await fleets.wait_until(lambda: listed_instances(fleet.store))

    async def test_instances_that_start_before_the_rewrites_meet_the_others(
        self, fleet
    ):
        copy = fleet.store.copy()
        await start_instances(fleet, 2)
        await restore(fleet.store, copy)
        await start_instances(fleet, 1)
