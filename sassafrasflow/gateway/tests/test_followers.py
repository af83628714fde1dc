"""Reads of a settings follower, and their timing."""

import asyncio
import contextlib
import itertools
import random
import types

from sassafrasflow import exceptions
from sassafrasflow.gateway import followers
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import relay
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import versions

# Bound of a step after an outage. Operators allow 2.5 s in all, including the
# reads.
SOON_S = 0.5
# Operators allow 4 s until a version is in force; 0.7 s of it may pass before
# a peer reads the version.
BEHIND_S = 2.5
# Interval between the versions of a burst.
BURST_GAP_S = 0.3


class SilentLog(telemetry.EventLog):
    """Event log that writes nothing."""

    def write(self, event, *, routine=False, **fields):
        pass


class Store:
    """Store whose reads of changes hang for a moment and then fail."""

    def __init__(self):
        self.reads = []
        self.hanging = asyncio.Event()
        self.was_read = asyncio.Event()

    async def read_settings(self):
        self.was_read.set()
        return registries.SettingsUpdate(None, 1)

    async def await_settings(self, after, wait_s):
        self.reads.append(after)
        self.hanging.set()
        await asyncio.sleep(0.05)
        raise exceptions.TableUnavailable("silent")


def follow(store):
    """Return a follower in the reader role, and its contact with the store."""
    role = relay.ReaderRole("i00", 0.3, random.Random(1))
    role.is_reader = True
    clock = asyncio.get_running_loop().time
    log = SilentLog("i00")
    contact = registries.StoreContact(clock, log, "settings")
    follower = followers.SettingsFollower(
        store,
        contact,
        role,
        versions.EraTracker(log, telemetry.Metrics(), lambda: None),
        lambda: 0.0,
        clock,
        log,
        random.Random(1),
        lambda: None,
        lambda orders: None,
        lambda: None,
    )
    follower.current = types.SimpleNamespace(version=1)
    return follower, contact


class TestSettingsFollower:
    """Settings are read in time after an outage and during a burst."""

    async def test_store_that_returns_during_a_read_is_read_again_soon(
        self, monkeypatch
    ):
        monkeypatch.setattr(followers, "QUICK_RETRIES", 0)
        store = Store()
        follower, contact = follow(store)
        task = asyncio.create_task(follower.run())
        try:
            async with asyncio.timeout(SOON_S):
                await store.hanging.wait()
            contact.record_failure(TimeoutError("the read before"))
            follower.handle_store_regained()
            async with asyncio.timeout(SOON_S):
                while len(store.reads) < 2:
                    await asyncio.sleep(0.005)
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def test_announced_burst_is_read_in_time(self):
        """Guard against newer announcements that postpone the instance's read.

        In a run of zm-sassafras-grown one instance was 4 s behind.
        """
        store = Store()
        follower, _ = follow(store)
        follower._role.is_reader = False
        follower._target_age_s = lambda: 0.0
        task = asyncio.create_task(follower.run())
        try:
            async with asyncio.timeout(BEHIND_S):
                for revision in itertools.count(2):
                    follower.handle_revision(revision)
                    if store.was_read.is_set():
                        break
                    await asyncio.sleep(BURST_GAP_S)
        finally:
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task
