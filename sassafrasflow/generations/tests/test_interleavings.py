"""Interleavings of the streams, attempts and owners of one generation.

A state machine guards against an answer that mixes tokens of two attempts,
repeats a token or lacks one, when events and updates arrive late, several
owners exist and a replica is lost.
"""

import itertools
import random

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from sassafrasflow import engines
from sassafrasflow import exceptions
from sassafrasflow import generations
from sassafrasflow import ids
from sassafrasflow.fakes import token_source

GENERATION = ids.GenerationId("g")
MODEL = ids.ModelName("m")
VERSION = ids.VersionId("v")
PROMPT = "p"
TOKENS = 12
WALK_STEPS = 60
SWITCH_CHANCE = 0.1
REQUEST = generations.GenerationRequest(
    ids.OrganisationId("club"),
    ids.RequestKey("k"),
    MODEL,
    PROMPT,
    engines.Sampling(max_tokens=TOKENS),
    "f",
)
# Indices count back from the newest item: Hypothesis prefers small values.
indices = strategies.integers(0, 3)
count = strategies.integers(1, 4)
offset = strategies.integers(-3, 1)


class Stream:
    """All tokens that one attempt of a sampling engine would send."""

    def __init__(self, req, seed):
        self.attempt = req.attempt
        self.first = len(req.prefix)
        source = token_source.TokenSource(
            MODEL, VERSION, PROMPT, generation=GENERATION, seed=seed
        )
        source.skip_prefix(req.prefix)
        self.tokens = [source.next() for _ in range(TOKENS - self.first)]

    def batch(self, start, stop):
        start = max(start, self.first)
        part = self.tokens[start - self.first : max(start, stop) - self.first]
        return engines.TokenBatch(
            self.attempt,
            start,
            [token for token, _ in part],
            [text for _, text in part],
        )


class Caller:
    """A caller that continues at any owner that accepts its event id."""

    def __init__(self):
        self.event_id = None
        self.text = ""

    def read(self, owner):
        log = owner.journal
        if self.event_id is not None and not log.agrees_with(self.event_id):
            return
        start = self.event_id.index if self.event_id else 0
        if log.released > start:
            self.text += "".join(log.texts[start : log.released])
            self.event_id = log.released_id()


def counted_from_newest(items, number):
    return items[-1 - number % len(items)]


class Interleavings(stateful.RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.owners = [generations.Generation(GENERATION, REQUEST)]
        self.streams = []
        self.seeds = itertools.count()
        self.store, self.other_store = (
            generations.ReplicaStore(generations.ReplicaPolicy())
            for _ in range(2)
        )
        self.stores_switched = False
        self.sent_updates = []
        self.callers = [Caller(), Caller()]

    def owner(self, number):
        return counted_from_newest(self.owners, number)

    @stateful.initialize()
    def begin(self):
        self.begin_attempt(0)
        self.replicate(0, 0)

    @stateful.rule(number=indices)
    def begin_attempt(self, number):
        owner = self.owner(number)
        req = owner.begin_attempt(ids.TargetId("t"), VERSION)
        self.streams.append(Stream(req, str(next(self.seeds))))

    @stateful.rule(number=indices, count=count)
    def receive_next(self, number, count):
        """The next tokens of the current attempt reach an owner."""
        owner = self.owner(number)
        for stream in self.streams:
            if stream.attempt == owner.journal.attempt:
                start = len(owner.journal)
                owner.accept(stream.batch(start, start + count), owner.epoch)

    @stateful.rule(number=indices, stream=indices, offset=offset, count=count)
    def receive(self, number, stream, offset, count):
        """Any part of any stream reaches any owner."""
        owner = self.owner(number)
        start = max(0, len(owner.journal) + offset)
        batch = counted_from_newest(self.streams, stream).batch(
            start, start + count
        )
        before = list(owner.journal.tokens)
        try:
            owner.accept(batch, owner.epoch)
        except exceptions.JournalError:
            assert batch.index > len(before)
        assert owner.journal.tokens[: len(before)] == before

    @stateful.rule(number=indices, stream=indices)
    def finish(self, number, stream):
        owner = self.owner(number)
        attempt = counted_from_newest(self.streams, stream).attempt
        event = engines.Finished(attempt, TOKENS, engines.FinishReason.LENGTH)
        try:
            accepted = owner.accept(event, owner.epoch)
        except exceptions.JournalError:
            return
        if accepted is generations.AcceptResult.APPENDED:
            assert len(owner.journal) == TOKENS

    @stateful.rule(number=indices, start=strategies.integers(0, TOKENS))
    def replicate(self, number, start):
        owner = self.owner(number)
        start = min(start, len(owner.journal))
        header = None if start % 2 else generations.header_of(owner, "a")
        update = generations.ReplicaUpdate(
            GENERATION,
            owner.epoch,
            start,
            owner.journal.tokens[start:],
            owner.journal.texts[start:],
            owner.finish_reason,
            header,
        )
        self.sent_updates.append(update)
        answer = self.store.apply(update, 0.0)
        if answer.status is generations.ReplicaStatus.KEPT:
            owner.release(answer.length, ended=update.finish is not None)
        elif answer.status is generations.ReplicaStatus.SUPERSEDED:
            owner.supersede(answer.epoch)

    @stateful.rule(number=strategies.integers(0, 8))
    def repeat_update(self, number):
        """An update arrives again, late; its answer is lost."""
        self.store.apply(counted_from_newest(self.sent_updates, number), 0.0)

    @stateful.rule(step=strategies.integers(1, 3))
    def take_over(self, step):
        header = self.store.find(REQUEST.organisation, REQUEST.key)
        if header is None:
            return
        record = self.store.take_over(
            REQUEST.organisation,
            REQUEST.key,
            prior=header.epoch,
            epoch=ids.Epoch(header.epoch + step),
        )
        for owner in [] if self.stores_switched else self.owners:
            released = owner.journal.tokens[: owner.released]
            assert record.tokens[: owner.released] == released
        if record.header.finish is not None:
            return
        self.owners.append(
            generations.restore(
                REQUEST,
                GENERATION,
                record.header.epoch,
                VERSION,
                list(record.tokens),
                list(record.texts),
            )
        )
        self.begin_attempt(len(self.owners) - 1)

    @stateful.rule(number=indices)
    def replicate_all(self, number):
        """An owner sends all its tokens to the replica."""
        self.replicate(number, 0)

    @stateful.rule()
    def switch_stores(self):
        """The replica is lost, and one that missed updates replaces it."""
        self.store, self.other_store = self.other_store, self.store
        self.stores_switched = True

    @stateful.rule(caller=indices, number=indices)
    def read(self, caller, number):
        counted_from_newest(self.callers, caller).read(self.owner(number))

    @stateful.rule(seed=strategies.integers(0, 1 << 32))
    def walk(self, seed):
        """Run many random steps, so that complete takeovers occur."""
        rng = random.Random(seed)
        for _ in range(WALK_STEPS):
            if seed % 2 and rng.random() < SWITCH_CHANCE:
                self.switch_stores()
            self.step(rng)
            self.callers_hold_one_generation()

    def step(self, rng):
        number, other = rng.randint(0, 3), rng.randint(0, 3)
        amount = rng.randint(1, 4)
        rng.choice(
            [
                lambda: self.begin_attempt(number),
                lambda: self.receive_next(number, amount),
                lambda: self.receive_next(0, amount),
                lambda: self.receive(number, other, rng.randint(-3, 1), 4),
                lambda: self.replicate_all(number),
                lambda: self.replicate(number, rng.randint(0, TOKENS)),
                lambda: self.repeat_update(rng.randint(0, 8)),
                lambda: self.take_over(amount),
                lambda: self.finish(number, other),
                lambda: self.read(number, 0),
                lambda: self.read(number, other),
            ]
        )()

    @stateful.invariant()
    def callers_hold_one_generation(self):
        for caller in self.callers:
            count = len(caller.text.split())
            assert count == token_source.verify_sampled(
                caller.text, GENERATION, MODEL, VERSION, PROMPT
            )


TestInterleavings = Interleavings.TestCase
TestInterleavings.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=20, deadline=None
)
