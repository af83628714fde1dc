"""Dispatcher that sends calls to the targets of plain services."""

import asyncio
import random

import msgspec

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import observability
from sassafrasflow import targets
from sassafrasflow.calls import call as calls
from sassafrasflow.calls import refusals
from sassafrasflow.routing import retries
from sassafrasflow.routing import service_targets
from sassafrasflow.services import interface
from sassafrasflow.targets import directory as directories

__all__ = ["DispatchPolicy", "Dispatcher"]


class DispatchPolicy(msgspec.Struct, frozen=True):
    """Limits of the time and the attempts of a call."""

    timeout_ms: int = 10_000
    attempt_timeout_ms: int = 4_000
    max_attempts: int = 3
    backoff_base_ms: int = 50
    backoff_max_ms: int = 1_000


class Dispatcher:
    """Send idempotent calls with retries, and others at most once."""

    def __init__(
        self,
        directory: directories.TargetDirectory,
        region: ids.Region,
        budget: retries.RetryBudget,
        policy: DispatchPolicy,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: observability.Metrics,
    ) -> None:
        self._directory = directory
        self._region = region
        self._budget = budget
        self._policy = policy
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

    async def send_once(self, call: calls.Call) -> interface.ServiceResponse:
        """Send a call to one target after another until one may have got it.

        Raises
        ------
        Refusal : ``ran`` is "no" only if no target was reached
        """
        return await self._send_with_retries(call, is_retryable=False)

    async def send_idempotent(
        self, call: calls.Call
    ) -> interface.ServiceResponse:
        """Send a call to one target after another until it is answered.

        Raises
        ------
        Refusal : ``ran`` is "no" only if no target was reached
        """
        return await self._send_with_retries(call, is_retryable=True)

    async def _send_with_retries(
        self, call: calls.Call, *, is_retryable: bool
    ) -> interface.ServiceResponse:
        ran = exceptions.Ran.NO
        failed: set[str] = set()
        deadline = self._clock.monotonic() + self._policy.timeout_ms / 1000
        self._budget.record_request()
        while True:
            target = self._choose(call, failed, ran)
            try:
                return await self._send(
                    call, target, self._timeout_s(deadline, is_retryable)
                )
            except exceptions.TargetRefused:
                reason = exceptions.RetryReason.TARGET_REFUSED
            except exceptions.TargetLost as exc:
                ran = exceptions.Ran.UNKNOWN
                reason = exc.reason
                if not is_retryable:
                    raise refusals.target_failed(ran) from exc
            failed.add(target)
            if not await self._wait_to_retry(len(failed), deadline):
                raise refusals.target_failed(ran)
            self._metrics.count_retry(reason)

    def _choose(
        self, call: calls.Call, failed: set[str], ran: exceptions.Ran
    ) -> ids.TargetId:
        target = service_targets.choose_service_target(
            self._directory,
            call.service,
            self._region,
            failed,
            self._rng,
            targets.route_of(call.req.method, call.req.path),
        )
        if target is None and failed:
            raise refusals.target_failed(ran)
        if target is None:
            raise refusals.no_target(ran, self._directory.list_age_s())
        return target

    def _timeout_s(self, deadline: float, is_retryable: bool) -> float:
        remaining_s = deadline - self._clock.monotonic()
        if not is_retryable:
            return remaining_s
        return min(remaining_s, self._policy.attempt_timeout_ms / 1000)

    async def _wait_to_retry(self, failures: int, deadline: float) -> bool:
        """Wait before a retry; return whether a retry may be sent."""
        if failures >= self._policy.max_attempts:
            return False
        delay_s = retries.full_jitter_s(
            failures - 1,
            self._policy.backoff_base_ms,
            self._policy.backoff_max_ms,
            self._rng,
        )
        if self._clock.monotonic() + delay_s >= deadline:
            return False
        if not self._budget.try_spend():
            return False
        await asyncio.sleep(delay_s)
        return True

    async def _send(
        self, call: calls.Call, target: ids.TargetId, timeout_s: float
    ) -> interface.ServiceResponse:
        service = self._directory.service(target)
        route = targets.route_of(call.req.method, call.req.path)
        routes = self._directory.route_breakers
        routes.record_begin(target, route)
        try:
            with self._directory.track_work(target):
                answer = await service.call(call.req, timeout_s)
        except exceptions.TargetLost as exc:
            if exc.reason is exceptions.RetryReason.STALLED:
                routes.record_failure(target, route)
            else:
                self._directory.record_failure(target)
            raise
        except exceptions.TargetRefused:
            self._directory.record_failure(target)
            raise
        routes.record_success(target, route)
        return answer
