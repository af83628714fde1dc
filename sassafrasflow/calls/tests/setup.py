"""Fixtures that the tests of this package share."""

import asyncio
import collections
import random

from sassafrasflow import calls
from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import observability
from sassafrasflow import organisations
from sassafrasflow import routing
from sassafrasflow import services
from sassafrasflow import storage
from sassafrasflow import targets

REGION = ids.Region("east")
SERVICE = ids.ServiceName("booking")


class FakeTarget(services.PlainService):
    """Fake service that records executions.

    ``faults`` holds the fault of each next call.
    """

    def __init__(self):
        self.executions = []
        self.faults = collections.deque()
        self.body = b"done"
        self.hold = None

    async def call(self, req, timeout_s):
        fault = self.faults.popleft() if self.faults else "none"
        await asyncio.sleep(0)
        if fault == "refuse":
            raise exceptions.TargetRefused("connect")
        if fault != "lose_request":
            self.executions.append(req.body)
        if self.hold is not None:
            await self.hold.wait()
        if fault == "stall":
            reason = exceptions.RetryReason.STALLED
            raise exceptions.TargetLost("timeout", reason)
        if fault in ("lose_request", "lose_answer"):
            raise exceptions.TargetLost("read")
        return services.ServiceResponse(200, "text/plain", self.body)

    async def close(self):
        pass


class EmptyInstanceList(storage.InstanceList):
    async def instances(self):
        return []


class Cluster:
    """Fake targets and a table, which the handlers of instances share."""

    def __init__(self, table, target_count=1):
        self.table = table
        self.targets = {
            f"10.0.0.{n}:80": FakeTarget() for n in range(target_count)
        }
        self.clock = clocks.ManualClock()
        self.handlers = []

    @property
    def executions(self):
        return [
            body for fake in self.targets.values() for body in fake.executions
        ]

    def listed(self):
        return [
            storage.ListedInstance(
                id=f"booking-{n}",
                kind=storage.TargetKind.SERVICE,
                address=address,
                region=REGION,
                data_centre=ids.DataCentre("east-1"),
                service=SERVICE,
            )
            for n, address in enumerate(self.targets)
        ]

    def handler(self, **policy):
        directory = targets.TargetDirectory(
            EmptyInstanceList(),
            targets.DirectoryPolicy(),
            self.clock,
            service_factory=lambda url: self.targets[url[7:]],
        )
        directory.apply_list(self.listed())
        metrics = observability.Metrics()
        rng = random.Random(1)
        handler = calls.CallHandler(
            calls.ClaimStore(
                self.table,
                calls.RowWriter(
                    self.table, calls.WriterPolicy(interval_ms=1), metrics
                ),
            ),
            calls.Dispatcher(
                directory,
                REGION,
                routing.RetryBudget(routing.BudgetPolicy(), self.clock),
                calls.DispatchPolicy(backoff_base_ms=1, backoff_max_ms=1),
                self.clock,
                rng,
                metrics,
            ),
            organisations.Gate(
                dict.fromkeys(
                    organisations.WorkKind, organisations.LimiterPolicy()
                ),
                self.clock,
            ),
            calls.CallPolicy(**policy),
            self.clock,
        )
        handler.directory = directory
        self.handlers.append(handler)
        return handler

    async def close(self):
        for handler in self.handlers:
            await handler.close()


def call(body=b"scope 7", key="checkout-7", idempotent=False):
    return calls.Call(
        organisation=ids.OrganisationId("club"),
        service=SERVICE,
        req=services.ServiceRequest("POST", "/checkouts", body=body),
        idempotent=idempotent,
        key=ids.RequestKey(key) if key else None,
    )


async def outcome(handler, a_call=None):
    """Return the status, the reason and ``ran`` of a call's outcome."""
    try:
        answer = await handler.handle(a_call or call())
    except exceptions.Refusal as exc:
        return exc.status, exc.reason.value, exc.ran.value
    return answer.status, "", "yes"
