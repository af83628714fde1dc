"""Desk that takes calls to plain services and dispatches them."""

import hashlib
import random
import uuid

import msgspec

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import observability
from sassafrasflow import platform
from sassafrasflow.calls import claim as claims
from sassafrasflow.services import interface
from sassafrasflow.targets import directory as directories

__all__ = ["Call", "CallDesk", "CallPolicy"]


class CallPolicy(msgspec.Struct, frozen=True):
    """Bound calls to plain services."""

    timeout_ms: int = 10_000
    max_attempts: int = 3


class Call(msgspec.Struct, frozen=True):
    """Hold one call and who makes it."""

    organisation: ids.OrganisationId
    service: ids.ServiceName
    req: interface.ServiceRequest
    idempotent: bool
    key: ids.RequestKey | None = None

    def body_hash(self) -> str:
        """Return a hash of everything that the call does."""
        parts = (self.service, msgspec.json.encode(self.req))
        return hashlib.sha256(repr(parts).encode()).hexdigest()


class CallDesk:
    """Dispatch calls: repeatable ones with retries, others once."""

    def __init__(
        self,
        table: platform.TableService,
        directory: directories.TargetDirectory,
        policy: CallPolicy,
        clock: clocks.Clock,
        rng: random.Random,
        metrics: observability.Metrics,
    ) -> None:
        self._table = table
        self._directory = directory
        self._policy = policy
        self._clock = clock
        self._rng = rng
        self._metrics = metrics

    async def handle(self, call: Call) -> interface.ServiceResponse:
        """Return the answer of a call.

        Raises
        ------
        Refusal : the call was not answered; ``ran`` tells whether it ran
        """
        if call.idempotent:
            return await self._dispatch_idempotent(call)
        return await self._dispatch_once(call)

    async def _dispatch_idempotent(
        self, call: Call
    ) -> interface.ServiceResponse:
        ran = exceptions.Ran.NO
        for _ in range(self._policy.max_attempts):
            try:
                return await self._send(call)
            except exceptions.TargetRefused:
                self._metrics.count_retry(
                    exceptions.RetryReason.TARGET_REFUSED
                )
            except exceptions.TargetLost as exc:
                ran = exceptions.Ran.UNKNOWN
                self._metrics.count_retry(exc.reason)
        raise _target_failed(ran)

    async def _dispatch_once(self, call: Call) -> interface.ServiceResponse:
        if call.key is None:
            raise exceptions.Refusal(
                exceptions.RefusalReason.KEY_REQUIRED,
                exceptions.Ran.NO,
                "This call may not be repeated and needs an Idempotency-Key.",
                status=400,
            )
        row_key = claims.claim_key(call.organisation, call.key)
        token = uuid.uuid4().hex
        stored = await self._claim(row_key, token, call.body_hash())
        verdict = claims.judge(stored, token, call.body_hash())
        if verdict is claims.Verdict.DISPATCH:
            return await self._send_claimed(call, row_key, stored)
        return _answer_repeat(verdict, stored)

    async def _claim(
        self, row_key: str, token: str, body_hash: str
    ) -> claims.Claim:
        claim = claims.Claim(
            token, body_hash, claims.ClaimState.CLAIMED, self._clock.wall()
        )
        write = platform.Write(row_key, msgspec.json.encode(claim))
        try:
            await self._table.transact(
                [platform.Condition(row_key, 0)], [write]
            )
            return claim
        except (
            exceptions.TableConflict,
            exceptions.TableOutcomeUnknown,
        ):
            return await self._read_claim(row_key)
        except exceptions.TableUnavailable as exc:
            raise _claim_store_unavailable() from exc

    async def _read_claim(self, row_key: str) -> claims.Claim:
        try:
            row = await self._table.get(row_key)
        except exceptions.PlatformError as exc:
            raise _claim_store_unavailable() from exc
        if row is None:
            # The lost write may still take effect, so it is not repeated.
            raise _claim_store_unavailable()
        return msgspec.json.decode(row.value, type=claims.Claim)

    async def _send_claimed(
        self, call: Call, row_key: str, claim: claims.Claim
    ) -> interface.ServiceResponse:
        try:
            response = await self._send(call)
        except exceptions.TargetLost as exc:
            raise _target_failed(exceptions.Ran.UNKNOWN) from exc
        except exceptions.TargetRefused as exc:
            raise _target_failed(exceptions.Ran.NO) from exc
        done = msgspec.structs.replace(
            claim, state=claims.ClaimState.DONE, response=response
        )
        write = platform.Write(row_key, msgspec.json.encode(done))
        try:
            await self._table.transact([], [write])
        except exceptions.PlatformError:
            # The caller has its answer; a repeat is told "unknown".
            pass
        return response

    async def _send(self, call: Call) -> interface.ServiceResponse:
        workers = self._directory.workers(call.service)
        if not workers:
            raise exceptions.Refusal(
                exceptions.RefusalReason.NO_TARGET,
                exceptions.Ran.NO,
                "No worker of the service is ready.",
                retry_after_s=2,
            )
        worker = self._rng.choice(workers)
        service = self._directory.service(worker.id)
        try:
            with self._directory.busy(worker.id):
                return await service.call(
                    call.req, self._policy.timeout_ms / 1000
                )
        except exceptions.TargetError:
            self._directory.note_failure(worker.id)
            raise


def _answer_repeat(
    verdict: claims.Verdict, stored: claims.Claim
) -> interface.ServiceResponse:
    if verdict is claims.Verdict.REPLAY and stored.response is not None:
        return stored.response
    if verdict is claims.Verdict.KEY_REUSED:
        raise exceptions.Refusal(
            exceptions.RefusalReason.KEY_REUSED,
            exceptions.Ran.NO,
            "The Idempotency-Key was used with another call.",
            status=422,
        )
    raise exceptions.Refusal(
        exceptions.RefusalReason.CLAIM_UNRESOLVED,
        exceptions.Ran.UNKNOWN,
        "The call was dispatched before and its result is not known.",
        status=409,
    )


def _claim_store_unavailable() -> exceptions.Refusal:
    return exceptions.Refusal(
        exceptions.RefusalReason.CLAIM_STORE_UNAVAILABLE,
        exceptions.Ran.NO,
        "The call could not be claimed and was not dispatched.",
        retry_after_s=5,
    )


def _target_failed(ran: exceptions.Ran) -> exceptions.Refusal:
    return exceptions.Refusal(
        exceptions.RefusalReason.TARGET_FAILED,
        ran,
        "The service did not answer.",
        status=502,
        retry_after_s=2,
    )
