"""Background tasks that fail with an error that nobody foresaw."""

import asyncio
import os

import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import callers as caller_servers
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets

FAILURES = 3


@pytest.fixture
def ends(monkeypatch):
    """Record the exits that a component requests."""
    ends = []
    monkeypatch.setattr(os, "_exit", ends.append)
    return ends


class Failure:
    """Make a method raise an error in its first calls."""

    def __init__(self, monkeypatch, owner, name, *, after=False):
        self.calls = 0
        method = getattr(owner, name)

        def fail(*args, **named):
            self.calls += 1
            failing = self.calls <= FAILURES
            if failing and not after:
                raise RuntimeError(name)
            result = method(*args, **named)
            if failing:
                raise RuntimeError(name)
            return result

        monkeypatch.setattr(owner, name, fail)


async def is_served(fleet, instance=0):
    async with fleet.caller(instance) as caller:
        answer = await caller.request("/read/1", X_Key="secret")
    return answer.status == 200


class TestFailedTasks:
    """Guard against one error that ends every instance."""

    async def test_targets_are_read_again(self, fleet, ends, monkeypatch):
        await fleet.add_worker("w1")
        gateway = await fleet.start()
        failure = Failure(monkeypatch, gateway.directory, "apply")
        await fleet.add_worker("w2")
        await fleets.wait_until(lambda: failure.calls)
        assert await is_served(fleet)
        # The change that was read when the task failed is not lost.
        await fleets.wait_until(
            lambda: gateway.directory.get(ids.TargetId("w2")) is not None
        )
        assert not ends
        failed = fleet.events("task_failed")
        assert {line["task"] for line in failed} == {"targets"}
        assert b'tasks_failed_total{task="targets"} 3' in gateway._render()

    @pytest.mark.parametrize("method", ["apply_configuration", "_on_orders"])
    async def test_settings_are_read_again(
        self, fleet, ends, monkeypatch, method
    ):
        await fleet.add_worker("w1")
        gateway = await fleet.start()
        failure = Failure(monkeypatch, gateway.settings, method)
        await fleet.store.configure(documents.configuration(2))
        await fleets.wait_until(lambda: failure.calls)
        assert await is_served(fleet)
        await fleets.wait_until(lambda: gateway.settings.version == 2)
        assert not ends

    async def test_instance_starts_after_errors(
        self, fleet, ends, monkeypatch
    ):
        await fleet.add_worker("w1")
        await fleet.store.configure(documents.configuration())
        gateway = await fleet.add_gateway()
        Failure(monkeypatch, gateway.directory, "replace")
        Failure(monkeypatch, gateway.settings, "apply_configuration")
        await fleets.wait_until(gateway.is_ready)
        assert await is_served(fleet)
        assert not ends

    @pytest.mark.parametrize("method", ["due_heartbeats", "expire_doubts"])
    async def test_heartbeats_go_on(self, fleet, ends, monkeypatch, method):
        await fleet.add_worker("w1")
        gateway = await fleet.start(exchange_port=fleets.free_port())
        peers = gateway.access.exchange.peers
        failure = Failure(monkeypatch, peers, method)
        await fleets.wait_until(lambda: failure.calls > FAILURES, 10.0)
        assert not ends

    async def test_limits_of_callers_are_enforced(
        self, fleet, ends, monkeypatch
    ):
        await fleet.add_worker("w1")
        await fleet.start()
        failure = Failure(
            monkeypatch, caller_servers.CallerConnection, "check_limits"
        )
        async with fleet.caller():
            await fleets.wait_until(lambda: failure.calls > FAILURES, 10.0)
        assert not ends

    async def test_reload_keeps_the_settings(self, fleet, ends):
        await fleet.add_worker("w1")
        gateway = await fleet.start()

        def fail():
            raise RuntimeError

        gateway._load_settings = fail
        gateway._on_sighup()
        await fleets.wait_until(lambda: fleet.events("task_failed"))
        assert await is_served(fleet)
        assert not ends

    async def test_error_of_a_callback_is_logged(self, fleet, ends):
        await fleet.add_worker("w1")
        await fleet.start()

        def fail():
            raise RuntimeError("odd")

        asyncio.get_running_loop().call_soon(fail)
        await fleets.wait_until(lambda: fleet.events("task_failed"))
        assert "odd" in fleet.events("task_failed")[0]["error"]
        assert not ends

    async def test_other_rollouts_go_on(self, fleet, ends, monkeypatch):
        await fleet.add_worker("w1")
        gateway = await fleet.start()
        step = gateway.rollouts._step
        stepped = []

        async def fail(rollout):
            if rollout.order.service == "first":
                raise RuntimeError
            stepped.append(rollout)
            await step(rollout)

        monkeypatch.setattr(gateway.rollouts, "_step", fail)
        for service in ("first", "pool"):
            order = {"Service": service, "To": "v2", "DurationS": 60}
            await fleet.store.put_row("op", f"rollout/{service}", order)
        await fleets.wait_until(lambda: stepped)
        assert not ends
