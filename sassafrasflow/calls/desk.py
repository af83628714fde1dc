"""Desk that takes calls to plain services and dispatches them."""

import asyncio
import uuid

import msgspec

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import organisations
from sassafrasflow.calls import call as calls
from sassafrasflow.calls import claim as claims
from sassafrasflow.calls import dispatcher as dispatchers
from sassafrasflow.calls import refusals
from sassafrasflow.calls import store as stores
from sassafrasflow.services import interface

__all__ = ["CallDesk", "CallPolicy"]


class CallPolicy(msgspec.Struct, frozen=True):
    """Bound the life of a claim and what is kept of an answer."""

    dispatch_within_ms: int = 5_000
    record_wait_ms: int = 500
    replay_bytes: int = 65_536
    timeout_ms: int = 10_000


class CallDesk:
    """Dispatch calls: idempotent ones with retries, others once."""

    def __init__(
        self,
        store: stores.ClaimStore,
        dispatcher: dispatchers.Dispatcher,
        gate: organisations.Gate,
        policy: CallPolicy,
        clock: clocks.Clock,
        owner: str = "",
    ) -> None:
        self._store = store
        self._dispatcher = dispatcher
        self._gate = gate
        self._policy = policy
        self._clock = clock
        self._owner = owner
        self._records: set[asyncio.Task[None]] = set()
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def handle(self, call: calls.Call) -> interface.ServiceResponse:
        """Return the answer of a call.

        Raises
        ------
        Refusal : the call was not answered; ``ran`` tells whether it ran
        """
        self._running += 1
        self._idle.clear()
        try:
            if call.idempotent:
                async with self._admitted(call):
                    return await self._dispatcher.send_idempotent(call)
            return await self._dispatch_once(call)
        finally:
            self._running -= 1
            if not self._running:
                self._idle.set()

    async def drained(self) -> None:
        """Wait until no call is running and every result is recorded."""
        await self._idle.wait()
        await asyncio.gather(*self._records, return_exceptions=True)

    async def close(self) -> None:
        """Stop recording results and releasing claims."""
        for task in list(self._records):
            task.cancel()
        await asyncio.gather(*self._records, return_exceptions=True)
        await self._store.close()

    def _admitted(self, call: calls.Call) -> organisations.Admission:
        name = organisations.LimiterKey(
            organisations.WorkKind.CALL, call.service
        )
        return self._gate.admit(name, call.organisation, call.weight)

    async def _dispatch_once(
        self, call: calls.Call
    ) -> interface.ServiceResponse:
        row_key = claims.claim_key(call.organisation, call.checked_key())
        claim = claims.Claim(
            token=uuid.uuid4().hex,
            body_hash=call.body_hash(),
            state=claims.ClaimState.CLAIMED,
            claimed_at=self._clock.wall(),
            owner=self._owner,
        )
        claimed_at = self._clock.monotonic()
        stored = await self._claim(row_key, claim)
        verdict = claims.judge(stored.claim, claim.token, claim.body_hash)
        if verdict is not claims.Verdict.DISPATCH:
            return refusals.answer_repeat(
                verdict, stored.claim, self._may_run(stored.claim)
            )
        return await self._dispatch_claimed(
            call, row_key, stored.version, claim, claimed_at
        )

    def _may_run(self, claim: claims.Claim | None) -> bool:
        if claim is None:
            return True
        age_s = self._clock.wall() - claim.claimed_at
        bound_ms = self._policy.timeout_ms + self._policy.dispatch_within_ms
        return age_s < bound_ms / 1000

    async def _claim(
        self, row_key: str, claim: claims.Claim
    ) -> stores.StoredClaim:
        """Store a claim over none or a released one."""
        version = 0
        while True:
            try:
                stored = await self._store.put(row_key, version, claim)
            except exceptions.TableOutcomeUnknown as exc:
                # Nobody dispatches it, so it is taken back.
                await self._store.release(row_key, version, claim)
                raise refusals.claim_store_unavailable(
                    exceptions.Ran.UNKNOWN
                ) from exc
            except exceptions.PlatformError as exc:
                # An earlier call with the key may have run.
                raise refusals.claim_store_unavailable(
                    exceptions.Ran.UNKNOWN
                ) from exc
            verdict = claims.judge(stored.claim, claim.token, claim.body_hash)
            if verdict is not claims.Verdict.CLAIM:
                return stored
            version = stored.version

    async def _dispatch_claimed(
        self,
        call: calls.Call,
        row_key: str,
        version: int,
        claim: claims.Claim,
        claimed_at: float,
    ) -> interface.ServiceResponse:
        try:
            async with self._admitted(call):
                self._check_age(claimed_at)
                response = await self._dispatcher.send_once(call)
        except exceptions.Refusal as exc:
            if exc.ran is exceptions.Ran.NO:
                await self._store.release(row_key, version, claim)
            raise
        await self._record(row_key, version, claim, response)
        return response

    def _check_age(self, claimed_at: float) -> None:
        """Refuse to dispatch a claim that a pause has made old.

        Raises
        ------
        Refusal : the claim is too old; it was not dispatched
        """
        age_s = self._clock.monotonic() - claimed_at
        if age_s > self._policy.dispatch_within_ms / 1000:
            raise exceptions.Refusal(
                exceptions.RefusalReason.CLAIM_EXPIRED,
                exceptions.Ran.NO,
                "The instance was paused before it dispatched the call.",
                retry_after_s=1,
            )

    async def _record(
        self,
        row_key: str,
        version: int,
        claim: claims.Claim,
        response: interface.ServiceResponse,
    ) -> None:
        """Store the result; go on in the background if that takes long."""
        done = claims.finished(claim, response, self._policy.replay_bytes)
        task = asyncio.create_task(self._store_result(row_key, version, done))
        self._records.add(task)
        task.add_done_callback(self._records.discard)
        await asyncio.wait([task], timeout=self._policy.record_wait_ms / 1000)

    async def _store_result(
        self, row_key: str, version: int, done: claims.Claim
    ) -> None:
        try:
            await self._store.put(row_key, version, done)
        except exceptions.PlatformError:
            # The caller has its answer; a repeat is told "unknown".
            pass
