"""Store of claims in the platform's table.

Every write is conditional on the row version and contains the token of its
owner. Therefore a write whose answer was lost can be repeated without being
applied twice.
"""

import asyncio

import msgspec

from sassafrasflow import exceptions
from sassafrasflow import storage
from sassafrasflow.calls import batch as batches
from sassafrasflow.calls import claim as claims
from sassafrasflow.calls import writer as writers

__all__ = ["ClaimStore", "StoredClaim"]

WRITE_TRIES = 3
RELEASE_TRIES = 6
RELEASE_WAIT_S = 0.3
RELEASE_BACKOFF_S = 0.2


class StoredClaim(msgspec.Struct, frozen=True):
    """Claim and the version of its row, which is 0 when there is no row."""

    claim: claims.Claim | None
    version: int


class ClaimStore:
    """Write claims, and read them back when a repeated write conflicts."""

    def __init__(
        self, table: storage.TableService, writer: writers.RowWriter
    ) -> None:
        self._table = table
        self._writer = writer
        self._releases: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Stop releasing claims in the background."""
        for task in list(self._releases):
            task.cancel()
        await asyncio.gather(*self._releases, return_exceptions=True)
        await self._writer.close()

    async def read(self, key: str) -> StoredClaim:
        """Return the stored claim.

        Raises
        ------
        TableUnavailable : the table could not be reached
        """
        row = await self._table.get(key)
        if row is None:
            return StoredClaim(None, 0)
        claim = msgspec.json.decode(row.value, type=claims.Claim)
        return StoredClaim(claim, row.version)

    async def put(
        self, key: str, version: int, claim: claims.Claim
    ) -> StoredClaim:
        """Replace the row if it has the given version.

        Return the claim that is stored afterwards, which is another one if
        another writer was first.

        Raises
        ------
        TableUnavailable : nothing was written
        TableOutcomeUnknown : the claim may be stored now or later
        """
        change = batches.RowChange(key, version, msgspec.json.encode(claim))
        maybe_written = False
        for _ in range(WRITE_TRIES):
            try:
                await self._writer.commit(change)
                return StoredClaim(claim, version + 1)
            except exceptions.TableConflict:
                return await self._read_after_conflict(key, maybe_written)
            except exceptions.TableOutcomeUnknown:
                maybe_written = True
            except exceptions.TableUnavailable:
                if not maybe_written:
                    raise
        raise exceptions.TableOutcomeUnknown(f"{key}: no answer")

    async def _read_after_conflict(
        self, key: str, maybe_written: bool
    ) -> StoredClaim:
        try:
            return await self.read(key)
        except exceptions.TableUnavailable as exc:
            if maybe_written:
                raise exceptions.TableOutcomeUnknown(repr(exc)) from exc
            raise

    async def release(
        self, key: str, version: int, claim: claims.Claim
    ) -> None:
        """Release a claim whose call was not and will not be dispatched.

        When it is uncertain whether the claim was stored, ``version`` is the
        version of the row before the claim. The method waits for at most
        ``RELEASE_WAIT_S`` and continues in the background after that.
        """
        task = asyncio.create_task(self._release(key, version, claim))
        self._releases.add(task)
        task.add_done_callback(self._releases.discard)
        await asyncio.wait([task], timeout=RELEASE_WAIT_S)

    async def _release(
        self, key: str, version: int, claim: claims.Claim
    ) -> None:
        for attempt in range(RELEASE_TRIES):
            try:
                await self._release_once(key, version, claim)
                return
            except exceptions.PlatformError:
                await asyncio.sleep(RELEASE_BACKOFF_S * 2**attempt)

    async def _release_once(
        self, key: str, version: int, claim: claims.Claim
    ) -> None:
        # This write also uses up the row version, so that a write of the claim
        # that is still in flight fails.
        released = claims.as_released(claim)
        stored = await self.put(key, version, released)
        is_ours = (
            stored.claim is not None and stored.claim.token == claim.token
        )
        if is_ours and stored.claim != released:
            await self.put(key, stored.version, released)
