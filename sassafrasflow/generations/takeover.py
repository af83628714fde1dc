"""Takeover of a generation whose owner is gone, paused or left behind.

:class:`RecordFinder` asks the peers that may hold a request's record;
:class:`RecordService` answers them.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
from typing import TypeVar

import msgspec

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow import peers
from sassafrasflow.generations import generation as generations
from sassafrasflow.generations import replicas
from sassafrasflow.generations import replication
from sassafrasflow.generations import runner as runners

__all__ = ["FinderPolicy", "RecordFinder", "RecordService", "best_header"]

FIND_METHOD = "generations.find"
TAKE_METHOD = "generations.take"
# Takers that act at once choose different epochs.
EPOCH_STEP = 1 << 16
MAX_RACES = 3

Answer = TypeVar("Answer")
LocalRunner = Callable[
    [ids.OrganisationId, ids.RequestKey], runners.GenerationRunner | None
]


class FinderPolicy(msgspec.Struct, frozen=True):
    """Set how many peers are asked and how long they may take."""

    lookup_peers: int = 4
    timeout_ms: int = 200
    # Once one peer has a record, the others may still have a later one.
    settle_ms: int = 20


class FindRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for the header of a request's record."""

    organisation: ids.OrganisationId
    key: ids.RequestKey


class TakeRequest(msgspec.Struct, frozen=True, array_like=True):
    """Ask for a record; shut out its prior owner."""

    organisation: ids.OrganisationId
    key: ids.RequestKey
    prior: ids.Epoch
    epoch: ids.Epoch


HeaderAnswer = replicas.RecordHeader | None | exceptions.PeerError
_header_or_none = msgspec.msgpack.Decoder(replicas.RecordHeader | None)
_record_or_none = msgspec.msgpack.Decoder(replicas.Record | None)
_updates = msgspec.msgpack.Decoder(list[replicas.ReplicaUpdate])
_find = msgspec.msgpack.Decoder(FindRequest)
_take = msgspec.msgpack.Decoder(TakeRequest)


class RecordService:
    """Answer peers from the running generations and the replica store."""

    def __init__(
        self,
        node: peers.PeerNode,
        store: replicas.ReplicaStore,
        running: LocalRunner,
        address: Callable[[], str],
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._running = running
        self._address = address
        self._clock = clock
        node.handle(replication.APPEND_METHOD, self._append)
        node.handle(FIND_METHOD, self._find)
        node.handle(TAKE_METHOD, self._take)

    def find(self, ask: FindRequest) -> replicas.RecordHeader | None:
        """Return the header of what is held here."""
        runner = self._running(ask.organisation, ask.key)
        if runner is not None:
            return replication.header_of(runner.generation, self._address())
        return self._store.find(ask.organisation, ask.key)

    def take(self, ask: TakeRequest) -> replicas.Record | None:
        """Return the record held here and shut out its owner."""
        runner = self._running(ask.organisation, ask.key)
        if runner is None:
            return self._store.take(
                ask.organisation, ask.key, prior=ask.prior, epoch=ask.epoch
            )
        if runner.generation.epoch != ask.prior:
            return None
        record = replication.record_of(runner.generation, self._address())
        if record.header.finish is None:
            runner.supersede(ask.epoch)
        return record

    async def _append(self, _: ids.InstanceId, payload: bytes) -> bytes:
        now = self._clock.monotonic()
        self._store.expire(now)
        answers = [
            self._store.apply(update, now)
            for update in _updates.decode(payload)
        ]
        return msgspec.msgpack.encode(answers)

    async def _find(self, _: ids.InstanceId, payload: bytes) -> bytes:
        return msgspec.msgpack.encode(self.find(_find.decode(payload)))

    async def _take(self, _: ids.InstanceId, payload: bytes) -> bytes:
        return msgspec.msgpack.encode(self.take(_take.decode(payload)))


class Found(msgspec.Struct, frozen=True):
    """Tell which peers hold the best record; ``""`` is this instance."""

    header: replicas.RecordHeader
    holders: tuple[str, ...]
    silent: tuple[str, ...] = ()


class RecordFinder:
    """Find and take the record of a request."""

    def __init__(
        self,
        node: peers.PeerNode,
        service: RecordService,
        replicator: replication.Replicator,
        find_peers: Callable[[], list[membership.Peer]],
        policy: FinderPolicy,
        rng: random.Random,
    ) -> None:
        self._node = node
        self._service = service
        self._replicator = replicator
        self._find_peers = find_peers
        self._policy = policy
        self._rng = rng

    async def find(
        self,
        req: generations.GenerationRequest,
        wanted: ids.GenerationId | None,
    ) -> tuple[Found | None, bool]:
        """Return the best record, and whether every peer answered.

        ``wanted`` goes before other generations of the same key.
        """
        ask = FindRequest(req.organisation, req.key)
        payload = msgspec.msgpack.encode(ask)
        asked = {
            address: asyncio.create_task(
                self._ask(address, FIND_METHOD, payload, _header_or_none)
            )
            for address in self._candidates(req)
        }
        own = self._service.find(ask)
        answers = await self._first_answers(asked, own is not None)
        answers[""] = own
        known = {at: item for at, item in answers.items() if item is not None}
        found = best_header(known, wanted)
        silent = tuple(asked.keys() - answers.keys())
        for address in silent:
            self._replicator.note_slow(address)
        if found is not None:
            found = msgspec.structs.replace(found, silent=silent)
        return found, not silent

    async def _first_answers(
        self,
        asked: "dict[str, asyncio.Task[HeaderAnswer]]",
        known: bool,
    ) -> dict[str, replicas.RecordHeader | None]:
        """Wait for every peer, but not long once a record is known."""
        answers: dict[str, replicas.RecordHeader | None] = {}
        left = dict(asked)
        while left:
            done, _ = await asyncio.wait(
                left.values(),
                timeout=self._policy.settle_ms / 1000 if known else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            for address in [at for at, task in left.items() if task in done]:
                answer = left.pop(address).result()
                if not isinstance(answer, exceptions.PeerError):
                    answers[address] = answer
                    known = known or answer is not None
        for task in left.values():
            task.cancel()
        return answers

    async def take(
        self, req: generations.GenerationRequest, found: Found
    ) -> replicas.Record | None:
        """Return the longest copy of a record, with the epoch to own it.

        ``None`` means that another instance was quicker.
        """
        prior = found.header.epoch
        epoch = ids.Epoch(prior + self._rng.randint(1, EPOCH_STEP))
        ask = TakeRequest(req.organisation, req.key, prior, epoch)
        records = await asyncio.gather(
            *(self._take(at, ask) for at in self._holders(found))
        )
        same = [
            record
            for record in records
            if record is not None
            and record.header.generation == found.header.generation
        ]
        if not same:
            return None
        best = max(same, key=lambda item: _rank(item.header))
        if best.header.finish is not None:
            return best
        header = msgspec.structs.replace(best.header, epoch=epoch)
        return msgspec.structs.replace(best, header=header)

    def _holders(self, found: Found) -> list[str]:
        holders = set(found.holders)
        owner = found.header.owner
        # A live owner may hold tokens that no replica has yet.
        if (
            found.header.finish is None
            and owner != self._replicator.address
            and owner not in found.silent
            and not self._replicator.is_missing(owner)
        ):
            holders.add(owner)
        return sorted(holders)

    async def _take(
        self, address: str, ask: TakeRequest
    ) -> replicas.Record | None:
        if not address:
            return self._service.take(ask)
        answer = await self._ask(
            address,
            TAKE_METHOD,
            msgspec.msgpack.encode(ask),
            _record_or_none,
        )
        return None if isinstance(answer, exceptions.PeerError) else answer

    def _candidates(self, req: generations.GenerationRequest) -> list[str]:
        able = [
            peer
            for peer in self._find_peers()
            if not self._replicator.is_missing(peer.address)
        ]
        key = replication.replica_key(req)
        chosen = membership.rendezvous(key, able, self._policy.lookup_peers)
        return [peer.address for peer in chosen]

    async def _ask(
        self,
        address: str,
        method: str,
        payload: bytes,
        decoder: "msgspec.msgpack.Decoder[Answer]",
    ) -> Answer | exceptions.PeerError:
        call: Awaitable[bytes] = self._node.call(
            address, method, payload, self._policy.timeout_ms / 1000
        )
        try:
            return decoder.decode(await call)
        except exceptions.PeerError as exc:
            return exc


def best_header(
    known: dict[str, replicas.RecordHeader],
    wanted: ids.GenerationId | None = None,
) -> Found | None:
    """Return the header of the latest owner, and who holds its record."""
    if not known:
        return None
    best = max(
        known.values(),
        key=lambda item: (item.generation == wanted, *_rank(item)),
    )
    holders = [
        address
        for address, header in known.items()
        if header.generation == best.generation and header.epoch == best.epoch
    ]
    return Found(best, tuple(holders))


def _rank(header: replicas.RecordHeader) -> tuple[int, bool, int]:
    return header.epoch, header.finish is not None, header.length
