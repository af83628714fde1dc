"""Takeover of a generation whose owner is gone, suspended or outdated.

:class:`RecordFinder` queries the peers that may hold a request's record;
:class:`RecordService` answers these queries.
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
TAKEOVER_METHOD = "generations.take"
# Instances that take over at the same time must choose different epochs, so
# each adds a random step of up to this number. The attempt numbers of 31
# takeovers stay below 1 << 53, which JSON readers with doubles hold exactly.
MAX_EPOCH_STEP = 1 << 32
MAX_TAKEOVER_TRIES = 3

Answer = TypeVar("Answer")
LocalRunner = Callable[
    [ids.OrganisationId, ids.RequestKey], runners.GenerationRunner | None
]


class FinderPolicy(msgspec.Struct, frozen=True):
    """Limits of a lookup: how many peers are queried, and for how long."""

    lookup_peers: int = 4
    timeout_ms: int = 200
    # Wait for further answers once one peer has a record: another peer may
    # have a later one.
    extra_wait_ms: int = 20


class FindRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for the header of a request's record."""

    organisation: ids.OrganisationId
    key: ids.RequestKey


class TakeoverRequest(msgspec.Struct, frozen=True, array_like=True):
    """Request for a record that also fences off its prior owner."""

    organisation: ids.OrganisationId
    key: ids.RequestKey
    prior: ids.Epoch
    epoch: ids.Epoch


HeaderAnswer = replicas.RecordHeader | None | exceptions.PeerError
_header_decoder = msgspec.msgpack.Decoder(replicas.RecordHeader | None)
_record_decoder = msgspec.msgpack.Decoder(replicas.Record | None)
_updates_decoder = msgspec.msgpack.Decoder(list[replicas.ReplicaUpdate])
_find_decoder = msgspec.msgpack.Decoder(FindRequest)
_takeover_decoder = msgspec.msgpack.Decoder(TakeoverRequest)


class RecordService:
    """Serve records from the running generations and the replica store."""

    def __init__(
        self,
        node: peers.PeerNode,
        store: replicas.ReplicaStore,
        local_runner: LocalRunner,
        address: Callable[[], str],
        clock: clocks.Clock,
    ) -> None:
        self._store = store
        self._local_runner = local_runner
        self._address = address
        self._clock = clock
        node.register_handler(replication.APPEND_METHOD, self._handle_append)
        node.register_handler(FIND_METHOD, self._handle_find)
        node.register_handler(TAKEOVER_METHOD, self._handle_takeover)

    def find(self, req: FindRequest) -> replicas.RecordHeader | None:
        """Return the header of the record that this instance has, if any."""
        runner = self._local_runner(req.organisation, req.key)
        if runner is not None:
            return replication.header_of(runner.generation, self._address())
        return self._store.find(req.organisation, req.key)

    def take_over(self, req: TakeoverRequest) -> replicas.Record | None:
        """Return the record that this instance has and fence off its owner.

        ``None`` means that there is no record, or that its owner is not the
        prior one of the request any more.
        """
        runner = self._local_runner(req.organisation, req.key)
        if runner is None:
            return self._store.take_over(
                req.organisation, req.key, prior=req.prior, epoch=req.epoch
            )
        if runner.generation.epoch != req.prior:
            return None
        record = replication.record_of(runner.generation, self._address())
        if record.header.finish is None:
            runner.supersede(req.epoch)
        return record

    async def _handle_append(self, _: ids.InstanceId, payload: bytes) -> bytes:
        now = self._clock.monotonic()
        self._store.expire(now)
        answers = [
            self._store.apply(update, now)
            for update in _updates_decoder.decode(payload)
        ]
        return msgspec.msgpack.encode(answers)

    async def _handle_find(self, _: ids.InstanceId, payload: bytes) -> bytes:
        return msgspec.msgpack.encode(self.find(_find_decoder.decode(payload)))

    async def _handle_takeover(
        self, _: ids.InstanceId, payload: bytes
    ) -> bytes:
        return msgspec.msgpack.encode(
            self.take_over(_takeover_decoder.decode(payload))
        )


class LocatedRecord(msgspec.Struct, frozen=True):
    """Most recent record of a request, and the addresses that hold it.

    The address ``""`` stands for this instance. ``unanswered`` holds the
    addresses of peers that did not answer.
    """

    header: replicas.RecordHeader
    holders: tuple[str, ...]
    unanswered: tuple[str, ...] = ()


class RecordFinder:
    """Find the record of a request at peers and take it over."""

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
    ) -> tuple[LocatedRecord | None, bool]:
        """Return the most recent record, and whether every peer answered.

        Records of the generation ``wanted`` are preferred to those of other
        generations with the same key.
        """
        lookup = FindRequest(req.organisation, req.key)
        payload = msgspec.msgpack.encode(lookup)
        pending = {
            address: asyncio.create_task(
                self._call_peer(address, FIND_METHOD, payload, _header_decoder)
            )
            for address in self._candidates(req)
        }
        local = self._service.find(lookup)
        answers = await self._collect_answers(pending, local is not None)
        answers[""] = local
        headers = {
            at: item for at, item in answers.items() if item is not None
        }
        located = best_header(headers, wanted)
        unanswered = tuple(pending.keys() - answers.keys())
        for address in unanswered:
            self._replicator.record_slow(address)
        if located is not None:
            located = msgspec.structs.replace(located, unanswered=unanswered)
        return located, not unanswered

    async def _collect_answers(
        self,
        pending: "dict[str, asyncio.Task[HeaderAnswer]]",
        has_record: bool,
    ) -> dict[str, replicas.RecordHeader | None]:
        """Wait for all peers, but only briefly once one has a record."""
        answers: dict[str, replicas.RecordHeader | None] = {}
        unfinished = dict(pending)
        while unfinished:
            done, _ = await asyncio.wait(
                unfinished.values(),
                timeout=self._policy.extra_wait_ms / 1000
                if has_record
                else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            for address in [
                at for at, task in unfinished.items() if task in done
            ]:
                answer = unfinished.pop(address).result()
                if not isinstance(answer, exceptions.PeerError):
                    answers[address] = answer
                    has_record = has_record or answer is not None
        for task in unfinished.values():
            task.cancel()
        return answers

    async def take_over(
        self, req: generations.GenerationRequest, located: LocatedRecord
    ) -> replicas.Record | None:
        """Return the longest copy of a record, with the new owner's epoch.

        ``None`` means that another instance took it over first.
        """
        prior = located.header.epoch
        epoch = ids.Epoch(prior + self._rng.randint(1, MAX_EPOCH_STEP))
        takeover = TakeoverRequest(req.organisation, req.key, prior, epoch)
        records = await asyncio.gather(
            *(
                self._take_over_at(at, takeover)
                for at in self._holders(located)
            )
        )
        matching = [
            record
            for record in records
            if record is not None
            and record.header.generation == located.header.generation
        ]
        if not matching:
            return None
        best = max(matching, key=lambda item: _recency(item.header))
        if best.header.finish is not None:
            return best
        header = msgspec.structs.replace(best.header, epoch=epoch)
        return msgspec.structs.replace(best, header=header)

    def _holders(self, located: LocatedRecord) -> list[str]:
        holders = set(located.holders)
        owner = located.header.owner
        # An owner that still runs may have tokens that no replica has yet.
        if (
            located.header.finish is None
            and owner != self._replicator.address
            and owner not in located.unanswered
            and not self._replicator.is_missing(owner)
        ):
            holders.add(owner)
        return sorted(holders)

    async def _take_over_at(
        self, address: str, req: TakeoverRequest
    ) -> replicas.Record | None:
        if not address:
            return self._service.take_over(req)
        answer = await self._call_peer(
            address,
            TAKEOVER_METHOD,
            msgspec.msgpack.encode(req),
            _record_decoder,
        )
        return None if isinstance(answer, exceptions.PeerError) else answer

    def _candidates(self, req: generations.GenerationRequest) -> list[str]:
        reachable = [
            peer
            for peer in self._find_peers()
            if not self._replicator.is_missing(peer.address)
        ]
        key = replication.replica_key(req)
        chosen = membership.rendezvous(
            key, reachable, self._policy.lookup_peers
        )
        return [peer.address for peer in chosen]

    async def _call_peer(
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
    headers: dict[str, replicas.RecordHeader],
    wanted: ids.GenerationId | None = None,
) -> LocatedRecord | None:
    """Return the header with the highest epoch, and the holders of it.

    Headers of the generation ``wanted`` come before all others.
    """
    if not headers:
        return None
    best = max(
        headers.values(),
        key=lambda item: (item.generation == wanted, *_recency(item)),
    )
    holders = [
        address
        for address, header in headers.items()
        if header.generation == best.generation and header.epoch == best.epoch
    ]
    return LocatedRecord(best, tuple(holders))


def _recency(header: replicas.RecordHeader) -> tuple[int, bool, int]:
    return header.epoch, header.finish is not None, header.length
