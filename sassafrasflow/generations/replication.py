"""Replicator that sends accepted tokens to peers before their delivery.

Each replica gets one batch per interval for all generations together.
Tokens are released for delivery when every reachable replica of their
generation has answered. A replica that does not answer is counted and does
not hold up delivery.
"""

import asyncio
from collections.abc import Callable
import contextlib

from loguru import logger
import msgspec

from sassafrasflow import clocks
from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow import membership
from sassafrasflow import observability
from sassafrasflow import peers
from sassafrasflow.generations import generation as generations
from sassafrasflow.generations import replicas

__all__ = [
    "APPEND_METHOD",
    "ReplicationPolicy",
    "Replicator",
    "header_of",
    "record_of",
    "replica_key",
]

APPEND_METHOD = "generations.append"
# A call that fails right after a suspension of this process is no evidence
# against the replica, so a replica counts as missing only after a second
# failure.
CALLS_BEFORE_MISSING = 2

_encoder = msgspec.msgpack.Encoder()
_answers_decoder = msgspec.msgpack.Decoder(list[replicas.ReplicaAnswer])

OnRelease = Callable[[], None]


class ReplicationPolicy(msgspec.Struct, frozen=True):
    """Number of replicas, and interval and timeouts of their batches."""

    replicas: int = 1
    interval_ms: int = 10
    timeout_ms: int = 150
    missing_ms: int = 1_000


class _ReplicaProgress:
    """Progress of one replica of one generation."""

    def __init__(self) -> None:
        self.length = 0
        self.ended = False
        self.attempt: ids.AttemptNumber | None = None


class _ReplicatedGeneration:
    """One generation and the progress of its replicas by peer address."""

    def __init__(
        self, generation: generations.Generation, on_release: OnRelease
    ) -> None:
        self.generation = generation
        self.on_release = on_release
        self.progress_by_address: dict[str, _ReplicaProgress] = {}

    def update_for(
        self, progress: _ReplicaProgress, owner: str
    ) -> replicas.ReplicaUpdate:
        generation = self.generation
        log = generation.journal
        header = None
        if progress.attempt != log.attempt:
            header = header_of(generation, owner)
            progress.attempt = log.attempt
        return replicas.ReplicaUpdate(
            generation.id,
            generation.epoch,
            progress.length,
            log.tokens[progress.length :],
            log.texts[progress.length :],
            generation.finish_reason,
            header,
        )

    def release(self) -> None:
        """Release the tokens that every replica has."""
        length = len(self.generation.journal)
        ended = True
        for progress in self.progress_by_address.values():
            length = min(length, progress.length)
            ended = ended and progress.ended
        before = self.generation.released, self.generation.end_released
        self.generation.release(length, ended=ended)
        if before != (
            self.generation.released,
            self.generation.end_released,
        ):
            self.on_release()


class _ReplicaQueue:
    """Generations that wait for the next batch to one replica."""

    def __init__(self) -> None:
        self.waiting: dict[ids.GenerationId, _ReplicatedGeneration] = {}
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None


class Replicator:
    """Send batches to replicas and release the tokens that they have."""

    def __init__(
        self,
        node: peers.PeerNode,
        address: Callable[[], str],
        find_peers: Callable[[], list[membership.Peer]],
        policy: ReplicationPolicy,
        clock: clocks.Clock,
        metrics: observability.Metrics,
    ) -> None:
        self._node = node
        self._address = address
        self._find_peers = find_peers
        self._policy = policy
        self._clock = clock
        self._metrics = metrics
        self._tracked: dict[ids.GenerationId, _ReplicatedGeneration] = {}
        self._queues: dict[str, _ReplicaQueue] = {}
        self._missing_until: dict[str, float] = {}
        self._slow_until: dict[str, float] = {}

    @property
    def address(self) -> str:
        """Return the address at which peers reach this instance."""
        return self._address()

    async def close(self) -> None:
        """Stop sending."""
        tasks = [queue.task for queue in self._queues.values() if queue.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def track(
        self, generation: generations.Generation, on_release: OnRelease
    ) -> None:
        """Start to replicate a generation."""
        tracked = _ReplicatedGeneration(generation, on_release)
        self._tracked[generation.id] = tracked
        self._assign_replicas(tracked)

    def replicate(self, generation: generations.Generation) -> None:
        """Queue the new tokens of a generation for its replicas."""
        tracked = self._tracked.get(generation.id)
        if tracked is None:
            generation.release(len(generation.journal), ended=True)
            return
        if not tracked.progress_by_address:
            self._assign_replicas(tracked)
        self._enqueue(tracked)
        if not tracked.progress_by_address:
            self._metrics.add(observability.Counter.UNREPLICATED_BATCHES)
            tracked.release()

    def untrack(self, generation: generations.Generation) -> None:
        """Stop replicating a generation; its replicas keep their records."""
        self._tracked.pop(generation.id, None)

    def is_missing(self, address: str) -> bool:
        """Return whether a peer recently failed to answer."""
        until = self._missing_until.get(address, 0.0)
        return until > self._clock.monotonic()

    def record_slow(self, address: str) -> None:
        """Record that a peer answered late, and prefer others for a time."""
        self._slow_until[address] = self._avoidance_end()

    def _avoidance_end(self) -> float:
        return self._clock.monotonic() + self._policy.missing_ms / 1000

    def _assign_replicas(self, tracked: _ReplicatedGeneration) -> None:
        now = self._clock.monotonic()
        reachable = [
            peer
            for peer in self._find_peers()
            if not self.is_missing(peer.address)
        ]
        key = replica_key(tracked.generation.req)
        ranked = membership.rendezvous(key, reachable, len(reachable))
        ranked.sort(
            key=lambda peer: self._slow_until.get(peer.address, 0.0) > now
        )
        for peer in ranked[: self._policy.replicas]:
            tracked.progress_by_address.setdefault(
                peer.address, _ReplicaProgress()
            )

    def _enqueue(self, tracked: _ReplicatedGeneration) -> None:
        for address in tracked.progress_by_address:
            queue = self._queues.get(address)
            if queue is None:
                queue = self._queues[address] = _ReplicaQueue()
                queue.task = asyncio.create_task(
                    self._run_queue(address, queue)
                )
            queue.waiting[tracked.generation.id] = tracked
            queue.wake.set()

    async def _run_queue(self, address: str, queue: _ReplicaQueue) -> None:
        while True:
            await queue.wake.wait()
            queue.wake.clear()
            batch = list(queue.waiting.values())
            queue.waiting.clear()
            started_at = self._clock.monotonic()
            await self._send_batch(address, batch)
            spent_s = self._clock.monotonic() - started_at
            await asyncio.sleep(
                max(0.0, self._policy.interval_ms / 1000 - spent_s)
            )

    async def _send_batch(
        self, address: str, batch: list[_ReplicatedGeneration]
    ) -> None:
        batch = [item for item in batch if address in item.progress_by_address]
        if not batch:
            return
        updates = [
            item.update_for(item.progress_by_address[address], self.address)
            for item in batch
        ]
        try:
            answers = await self._call(address, updates)
        except exceptions.PeerError as exc:
            self._drop_replica(address, str(exc))
            return
        for item, update, answer in zip(batch, updates, answers, strict=True):
            self._apply_answer(address, item, update, answer)

    async def _call(
        self, address: str, updates: list[replicas.ReplicaUpdate]
    ) -> list[replicas.ReplicaAnswer]:
        payload = _encoder.encode(updates)
        timeout_s = self._policy.timeout_ms / 1000
        for _ in range(CALLS_BEFORE_MISSING - 1):
            with contextlib.suppress(exceptions.PeerError):
                return _answers_decoder.decode(
                    await self._node.call(
                        address, APPEND_METHOD, payload, timeout_s
                    )
                )
        return _answers_decoder.decode(
            await self._node.call(address, APPEND_METHOD, payload, timeout_s)
        )

    def _apply_answer(
        self,
        address: str,
        tracked: _ReplicatedGeneration,
        update: replicas.ReplicaUpdate,
        answer: replicas.ReplicaAnswer,
    ) -> None:
        progress = tracked.progress_by_address.get(address)
        if progress is None:
            return
        if answer.status is replicas.ReplicaStatus.SUPERSEDED:
            if tracked.generation.supersede(answer.epoch):
                tracked.on_release()
        elif answer.status is replicas.ReplicaStatus.UNKNOWN:
            progress.length = 0
            progress.attempt = None
            self._enqueue(tracked)
        else:
            progress.length = answer.length
            progress.ended = update.finish is not None
            tracked.release()

    def _drop_replica(self, address: str, detail: str) -> None:
        """Move the generations of a replica to other peers, if any."""
        logger.warning("generations: A replica does not answer: {}.", detail)
        self._metrics.add(observability.Counter.REPLICAS_MISSING)
        self._missing_until[address] = self._avoidance_end()
        for tracked in self._tracked.values():
            if tracked.progress_by_address.pop(address, None) is None:
                continue
            self._assign_replicas(tracked)
            self._enqueue(tracked)
            if not tracked.progress_by_address:
                self._metrics.add(observability.Counter.UNREPLICATED_BATCHES)
                tracked.release()


def replica_key(req: generations.GenerationRequest) -> str:
    """Return the rendezvous hashing key that ranks a request's replicas."""
    return f"{req.organisation}/{req.key}"


def header_of(
    generation: generations.Generation, owner: str
) -> replicas.RecordHeader:
    """Return the record header of a generation."""
    req = generation.req
    attempts = generation.attempts
    return replicas.RecordHeader(
        organisation=req.organisation,
        key=req.key,
        generation=generation.id,
        fingerprint=req.fingerprint,
        owner=owner,
        epoch=generation.epoch,
        version=generation.version,
        target=attempts[-1].target if attempts else None,
        attempt=generation.journal.attempt,
        length=len(generation.journal),
        finish=generation.finish_reason,
    )


def record_of(
    generation: generations.Generation, owner: str
) -> replicas.Record:
    """Return the record of a generation with all its tokens."""
    log = generation.journal
    return replicas.Record(header_of(generation, owner), log.tokens, log.texts)
