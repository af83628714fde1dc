"""Tests of takeovers by instances that reach different holders."""

import random

from sassafrasflow import clocks
from sassafrasflow import engines
from sassafrasflow import generations
from sassafrasflow import ids
from sassafrasflow import observability

VERSION = ids.VersionId("v")
OWNER = "owner"
# The first draws of these seeds are equal within 1 << 16.
EQUAL_DRAWS = (285, 295)
REQUEST = generations.GenerationRequest(
    ids.OrganisationId("club"),
    ids.RequestKey("k"),
    ids.ModelName("m"),
    "p",
    engines.Sampling(max_tokens=12),
    "f",
)


class UnreachablePeers:
    def register_handler(self, method, handler):
        pass


def earlier_record():
    earlier = generations.Generation(ids.GenerationId("g"), REQUEST)
    earlier.version = VERSION
    earlier.journal.extend([0, 1], ["a", "b"])
    return generations.record_of(earlier, OWNER)


async def take_over(seed):
    """Return the generation of a new owner that reaches its own store only."""
    node = UnreachablePeers()
    clock = clocks.SystemClock()
    store = generations.ReplicaStore(generations.ReplicaPolicy())
    store.put(earlier_record(), 0.0)
    finder = generations.RecordFinder(
        node,
        generations.RecordService(
            node, store, lambda *_: None, lambda: OWNER, clock
        ),
        generations.Replicator(
            node,
            lambda: OWNER,
            list,
            generations.ReplicationPolicy(),
            clock,
            observability.Metrics(),
        ),
        list,
        generations.FinderPolicy(),
        random.Random(seed),
    )
    located, _ = await finder.find(REQUEST, None)
    record = await finder.take_over(REQUEST, located)
    return generations.restore(
        REQUEST,
        record.header.generation,
        record.header.epoch,
        VERSION,
        record.tokens,
        record.texts,
    )


def replicate(store, owner, start):
    log = owner.journal
    return store.apply(
        generations.ReplicaUpdate(
            owner.id,
            owner.epoch,
            start,
            log.tokens[start:],
            log.texts[start:],
            None,
            generations.header_of(owner, OWNER),
        ),
        0.0,
    )


class TestTakeoverAtTwoHolders:
    async def test_replica_does_not_mix_tokens_of_two_new_owners(self):
        one, two = [await take_over(seed) for seed in EQUAL_DRAWS]
        one.journal.extend([10, 11], ["c", "d"])
        two.journal.extend([20, 21, 22, 23], ["c", "d", "e", "f"])
        store = generations.ReplicaStore(generations.ReplicaPolicy())
        replicate(store, one, 0)
        replicate(store, two, 4)
        header = store.find(REQUEST.organisation, REQUEST.key)
        record = store.take_over(
            REQUEST.organisation,
            REQUEST.key,
            prior=header.epoch,
            epoch=ids.Epoch(header.epoch + 1),
        )
        assert record.tokens in (one.journal.tokens, two.journal.tokens)

    async def test_attempts_of_two_new_owners_differ_in_number(self):
        target = ids.TargetId("t")
        numbers = [
            (await take_over(seed)).begin_attempt(target, VERSION).attempt
            for seed in EQUAL_DRAWS
        ]
        assert len(set(numbers)) == len(numbers)

    async def test_thousand_new_owners_choose_different_epochs(self):
        epochs = {(await take_over(seed)).epoch for seed in range(1_000)}
        assert len(epochs) == 1_000
