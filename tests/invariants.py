"""Invariants that the soak tests check."""

import asyncio
import collections
import math

__all__ = ["InvariantChecker", "InvariantViolated", "RETRY_AFTER_S", "now"]

# Operators count the actions of an instance that ran undisturbed this long.
UNDISTURBED_S = 4.0
# Requests in flight when a target announces its state may still arrive.
IN_FLIGHT_S = 0.5
RETRY_AFTER_S = 1.0


class InvariantViolated(AssertionError):
    """Raised when an invariant does not hold."""


class InvariantChecker:
    """Record what workers ran and callers received, and check invariants."""

    def __init__(self) -> None:
        self.runs: collections.Counter[str] = collections.Counter()
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.not_run: set[str] = set()
        self.violations: list[str] = []
        # Start of each call by attempt, and the last disturbance of each
        # instance and of the store.
        self.call_started_at: dict[str, float] = {}
        self.disturbed_at: dict[str, float] = {}
        # When a worker announced to an instance that it leaves or pauses.
        self.leaving_since: dict[tuple[str, str], float] = {}
        self.paused_since: dict[tuple[str, str], float] = {}
        self.requests_during_pause: collections.Counter[
            tuple[str, str, float]
        ] = collections.Counter()
        # Times of crashes by poison, with the instance that sent the request.
        self.poison_crashes: list[tuple[float, str]] = []

    def record_disturbance(self, instance: str) -> None:
        """Record that a fault affected an instance or the store."""
        self.disturbed_at[instance] = now()

    def is_undisturbed(self, instance: str, since: float) -> bool:
        """Return whether no fault affected an instance since a time."""
        return self.disturbed_at.get(instance, 0.0) < since

    def check_arrival(self, worker: str, attempt: str) -> None:
        """Check that a worker may get a request after its announcements."""
        instance = attempt.split("-")[1]
        key = worker, instance
        leaving_at = self.leaving_since.get(key, math.inf)
        self.check(
            self.call_started_at.get(attempt, 0.0) < leaving_at + IN_FLIGHT_S
            or not self.is_undisturbed(instance, leaving_at),
            f"{attempt} reached {worker} after it announced that it leaves",
        )
        paused_at = self.paused_since.get(key, math.inf)
        if paused_at + IN_FLIGHT_S < now() < paused_at + RETRY_AFTER_S and (
            self.is_undisturbed(instance, paused_at)
        ):
            self.requests_during_pause[worker, instance, paused_at] += 1

    def check(self, condition: bool, message: str) -> None:
        """Record a violation unless the condition holds."""
        if not condition:
            self.violations.append(message)

    def finish(self) -> None:
        """Check the remaining invariants and raise on any violation."""
        for attempt in self.not_run:
            self.check(
                not self.runs[attempt],
                f"{attempt} ran but was refused as not run",
            )
        for attempt, runs in self.runs.items():
            once = attempt.startswith("book")
            self.check(not once or runs == 1, f"{attempt} ran {runs} times")
        for key, count in self.requests_during_pause.items():
            self.check(count <= 2, f"{key} got {count} requests in its pause")
        self.check_crashes()
        if self.violations:
            raise InvariantViolated("; ".join(self.violations[:5]))

    def check_crashes(self) -> None:
        """Check that poison causes at most three late crashes.

        A crash is late once the evidence of three crashes had time to spread
        and neither its instance nor the store was disturbed meanwhile.
        """
        self.outcomes["killed by one request"] = len(self.poison_crashes)
        if len(self.poison_crashes) < 3:
            return
        evidence_at = self.poison_crashes[2][0] + UNDISTURBED_S
        late = [
            at
            for at, instance in self.poison_crashes
            if at > evidence_at
            and self.is_undisturbed(instance, at - UNDISTURBED_S)
            and self.is_undisturbed("store", at - UNDISTURBED_S)
        ]
        self.check(len(late) <= 3, f"{len(late)} late crashes by poison")


def now() -> float:
    """Return the time of the event loop."""
    return asyncio.get_running_loop().time()
