"""Instances, callers and fake targets of short calls, in virtual time.

The figures are those of the deployments: 83 or 85 instances, and one service
with 6 targets of 6 slots.
"""

import asyncio
import random

import msgspec

from sassafrasflow.admission import refusing

__all__ = ["Caller", "Fleet", "Outcome"]

TARGETS = 6
SLOTS = 6
ROUND_TRIP_S = 0.002
# Targets that one call may try.
MAX_TARGETS = 3
TIME_LIMIT_S = 5.0


class Rejected(Exception):
    """Raised when a target is full."""


class Caller(msgspec.Struct, frozen=True):
    """How a caller behaves: its attempts, and when it comes back."""

    attempts: int = 2
    # Whether it waits as long as it is told.
    is_patient: bool = True


class Outcome(msgspec.Struct):
    """What one caller got."""

    caller: Caller
    # Time until the answer; None without one.
    took_s: float | None = None
    attempts: int = 0


class Target:
    """Target that rejects calls beyond its slots."""

    def __init__(self) -> None:
        self.running = 0

    async def run(self, call_s: float) -> None:
        if self.running >= SLOTS:
            raise Rejected
        self.running += 1
        try:
            await asyncio.sleep(call_s)
        finally:
            self.running -= 1


class Instance:
    """Instance that knows its own calls, rejections and times."""

    def __init__(self, fleet: "Fleet") -> None:
        self._fleet = fleet
        self._in_flight = [0] * TARGETS
        self._rejected_at: list[float | None] = [None] * TARGETS
        self._times = refusing.CallTimes()
        self._returns = refusing.ReturnTimes()

    async def run(self, remaining_s: float) -> float | None:
        """Run a call; return Retry-After if it is refused."""
        loop, fleet = asyncio.get_running_loop(), self._fleet
        deadline = loop.time() + remaining_s
        tried: set[int] = set()
        for _ in range(MAX_TARGETS):
            untried = [n for n in range(TARGETS) if n not in tried]
            number = min(
                untried,
                key=lambda n: (self._in_flight[n], fleet.rng.random()),
            )
            tried.add(number)
            self._in_flight[number] += 1
            sent_at = loop.time()
            try:
                await asyncio.sleep(ROUND_TRIP_S / 2)
                await fleet.targets[number].run(fleet.call_s)
                await asyncio.sleep(ROUND_TRIP_S / 2)
            except Rejected:
                await asyncio.sleep(ROUND_TRIP_S / 2)
                self._rejected_at[number] = loop.time()
                fleet.rejections += 1
            else:
                self._rejected_at[number] = None
                self._times.record(loop.time() - sent_at)
                return None
            finally:
                self._in_flight[number] -= 1
        return self._retry_after_s(loop.time(), deadline)

    def _retry_after_s(self, now: float, deadline: float) -> float:
        fleet = self._fleet
        if fleet.constant_s is not None:
            return fleet.constant_s
        states = [
            refusing.TargetState(SLOTS, in_flight, rejected_at)
            for in_flight, rejected_at in zip(
                self._in_flight, self._rejected_at, strict=True
            )
        ]
        return refusing.choose_return_s(
            states,
            self._times.call_s or refusing.assumed_call_s(fleet.goal_s),
            now,
            deadline - now,
            fleet.rng,
            returns=self._returns,
            instances=len(fleet.instances),
        )


class Fleet:
    """Callers that reach any of some instances."""

    def __init__(
        self,
        *,
        seed: int = 1,
        instances: int = 83,
        call_s: float = 0.0225,
        goal_s: float = 0.237,
        constant_s: float | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.call_s = call_s
        self.goal_s = goal_s
        # Retry-After of all refusals, as it was before it was estimated.
        self.constant_s = constant_s
        self.targets = [Target() for _ in range(TARGETS)]
        self.instances = [Instance(self) for _ in range(instances)]
        self.outcomes: list[Outcome] = []
        self.rejections = 0
        self._tasks: list[asyncio.Task] = []

    def start(self, caller: Caller) -> None:
        self._tasks.append(asyncio.create_task(self._call(caller)))

    async def _call(self, caller: Caller) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcome = Outcome(caller)
        self.outcomes.append(outcome)
        for _ in range(caller.attempts):
            remaining_s = began + TIME_LIMIT_S - loop.time()
            if remaining_s <= 0:
                break
            outcome.attempts += 1
            instance = self.rng.choice(self.instances)
            retry_after_s = await instance.run(remaining_s)
            if retry_after_s is None:
                outcome.took_s = loop.time() - began
                break
            if caller.is_patient:
                remaining_s = began + TIME_LIMIT_S - loop.time()
                await asyncio.sleep(min(retry_after_s, remaining_s / 3))

    async def arrivals(self, rate: float, for_s: float) -> None:
        """Start patient callers at random times."""
        loop = asyncio.get_running_loop()
        until = loop.time() + for_s
        while loop.time() < until:
            await asyncio.sleep(self.rng.expovariate(rate))
            self.start(Caller())

    async def finish(self) -> None:
        """Wait for all callers."""
        while self._tasks:
            tasks, self._tasks = self._tasks, []
            await asyncio.gather(*tasks)

    def served(self, *, is_patient: bool) -> float:
        """Return the share of some callers that got an answer."""
        own = [
            each
            for each in self.outcomes
            if each.caller.is_patient is is_patient
        ]
        return sum(each.took_s is not None for each in own) / max(1, len(own))
