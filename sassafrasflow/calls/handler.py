"""Handler that claims and dispatches calls to plain services."""

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

__all__ = ["CallHandler", "CallPolicy"]


class CallPolicy(msgspec.Struct, frozen=True):
    """Time limits of a call and its claim, and the size of kept answers."""

    dispatch_within_ms: int = 5_000
    record_wait_ms: int = 500
    replay_bytes: int = 65_536
    timeout_ms: int = 10_000


class CallHandler:
    """Dispatch idempotent calls with retries, and others at most once."""

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
        self._result_writes: set[asyncio.Task[None]] = set()
        self._running = 0
        self._idle = asyncio.Event()
        self._idle.set()

    async def handle(self, call: calls.Call) -> interface.ServiceResponse:
        """Return the answer of a call.

        Raises
        ------
        Refusal : the call was not answered; ``ran`` states whether it ran
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
        """Wait until no call is running and no result is being stored."""
        await self._idle.wait()
        await asyncio.gather(*self._result_writes, return_exceptions=True)

    async def close(self) -> None:
        """Stop storing results and releasing claims."""
        for task in list(self._result_writes):
            task.cancel()
        await asyncio.gather(*self._result_writes, return_exceptions=True)
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
        action = claims.decide_action(
            stored.claim, claim.token, claim.body_hash
        )
        if action is not claims.ClaimAction.DISPATCH:
            return refusals.answer_repeat(
                action, stored.claim, self._may_be_running(stored.claim)
            )
        return await self._dispatch_claimed(
            call, row_key, stored.version, claim, claimed_at
        )

    def _may_be_running(self, claim: claims.Claim | None) -> bool:
        if claim is None:
            return True
        age_s = self._clock.wall() - claim.claimed_at
        bound_ms = self._policy.timeout_ms + self._policy.dispatch_within_ms
        return age_s < bound_ms / 1000

    async def _claim(
        self, row_key: str, claim: claims.Claim
    ) -> stores.StoredClaim:
        """Store a claim if there is none or only a released one.

        Return the claim that is stored afterwards.
        """
        version = 0
        while True:
            try:
                stored = await self._store.put(row_key, version, claim)
            except exceptions.TableOutcomeUnknown as exc:
                # The claim may be stored, but its call is not dispatched, so
                # the claim is released.
                await self._store.release(row_key, version, claim)
                raise refusals.claim_store_unavailable(
                    exceptions.Ran.UNKNOWN
                ) from exc
            except exceptions.PlatformError as exc:
                # An earlier call with the same key may have run.
                raise refusals.claim_store_unavailable(
                    exceptions.Ran.UNKNOWN
                ) from exc
            action = claims.decide_action(
                stored.claim, claim.token, claim.body_hash
            )
            if action is not claims.ClaimAction.CLAIM:
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
        await self._save_result(row_key, version, claim, response)
        return response

    def _check_age(self, claimed_at: float) -> None:
        """Check that a claim is recent enough to dispatch its call.

        It is too old, for example, after a suspension of this process.

        Raises
        ------
        Refusal : the claim is too old, and the call was not dispatched
        """
        age_s = self._clock.monotonic() - claimed_at
        if age_s > self._policy.dispatch_within_ms / 1000:
            raise exceptions.Refusal(
                exceptions.RefusalReason.CLAIM_EXPIRED,
                exceptions.Ran.NO,
                "The instance was paused before it dispatched the call.",
                retry_after_s=1,
            )

    async def _save_result(
        self,
        row_key: str,
        version: int,
        claim: claims.Claim,
        response: interface.ServiceResponse,
    ) -> None:
        """Store the result, in the background if that takes too long."""
        done = claims.as_done(claim, response, self._policy.replay_bytes)
        task = asyncio.create_task(self._store_result(row_key, version, done))
        self._result_writes.add(task)
        task.add_done_callback(self._result_writes.discard)
        await asyncio.wait([task], timeout=self._policy.record_wait_ms / 1000)

    async def _store_result(
        self, row_key: str, version: int, done: claims.Claim
    ) -> None:
        try:
            await self._store.put(row_key, version, done)
        except exceptions.PlatformError:
            # The caller gets its answer anyway; a repeated call is refused
            # with ``ran`` "unknown".
            pass
