"""Streams that wait at the gate of one instance, in virtual time."""

import asyncio
import random

import msgspec
import pytest

from sassafrasflow.admission import gate as gates
from sassafrasflow.admission import room as rooms
from sassafrasflow.admission import waiting
from sassafrasflow.admission.tests import virtual_loop
from sassafrasflow.gateway import byte_budget
from sassafrasflow.gateway import telemetry

PROMPT = rooms.Demand(8980, 8200)
FREE = rooms.Room(88_000, 0, 0, 12, 0, 0.0)
FULL = rooms.Room(88_000, 40_000, 0, 12, 12, 0.0)
BODY_BYTES = 40_000


class Log(telemetry.EventLog):
    """Collect lines."""

    def __init__(self) -> None:
        super().__init__("entry-1")
        self.lines: list[dict] = []

    def write(self, event, *, routine=False, **fields):
        self.lines.append({"event": event, **fields})


class Fixture:
    """A gate, and engines whose room a test sets."""

    def __init__(self, *, memory_bytes=10**9, may_sample=lambda: True) -> None:
        self.log = Log()
        self.metrics = telemetry.Metrics()
        # Time in which this process did not run.
        self.suspended_s = 0.0
        self.gate: gates.StreamGate[str] = gates.StreamGate(
            self.clock,
            random.Random(1),
            self.log,
            self.metrics,
            lambda: memory_bytes,
            may_sample,
        )
        self.rooms = {"e1": FULL}
        self.sample_s = 0.002
        self.samples = 0
        # Streams that were sent, in order, with the time.
        self.sent: list[tuple[str, str, float]] = []

    def clock(self) -> float:
        return asyncio.get_running_loop().time() + self.suspended_s

    def best(self):
        """Return the offer of the engine with the most room."""
        if not self.rooms:
            return None
        name = min(
            self.rooms,
            key=lambda name: (
                not rooms.fits(self.rooms[name], PROMPT),
                self.rooms[name].prefill_tokens,
            ),
        )
        engine = self.rooms[name]
        return gates.Offer(name, engine, rooms.wait_s(engine, PROMPT))

    async def sample(self, size: waiting.SampleSize):
        self.samples += 1
        offer = self.best()
        await asyncio.sleep(self.sample_s)
        return offer

    def request(self, rank=2, goal_s=10.0, organisation="one", **changes):
        now = self.clock()
        req = waiting.StreamRequest(
            rank, now, now + goal_s, now + 25.0, PROMPT, organisation, rank
        )
        return msgspec.structs.replace(req, **changes)

    async def stream(self, name, *, accepts=lambda target: True, **named):
        entrant = gates.Entrant(
            self.request(**named),
            self.sample,
            accepts,
            body_bytes=BODY_BYTES,
            request_id=name,
        )
        now = self.clock()
        offer = await self.sample(waiting.sample_size(0))
        result = await self.gate.enter(entrant, offer, now)
        if isinstance(result, gates.Offer):
            self.sent.append((name, result.target, self.clock()))
            if rooms.fits(self.rooms[result.target], PROMPT):
                self.use(result.target)
        return result

    def use(self, name: str) -> None:
        """Count a stream at an engine."""
        engine = self.rooms[name]
        self.rooms[name] = msgspec.structs.replace(
            engine,
            used_tokens=engine.used_tokens + PROMPT.tokens,
            prefill_tokens=engine.prefill_tokens + PROMPT.prefill_tokens,
            used_slots=engine.used_slots + 1,
        )

    def start(self, name, **named) -> asyncio.Task:
        return asyncio.create_task(self.stream(name, **named))


def one_place() -> rooms.Room:
    """Return the room of an engine that can take one more stream."""
    return rooms.Room(88_000, 40_000, 0, 12, 11, 0.0)


def simulate(test):
    """Run a test in virtual time."""

    def run(self):
        virtual_loop.run(test(self))

    run.__doc__ = test.__doc__
    return run


class TestWait:
    """Guard against needless waits, and against lost waits."""

    @simulate
    async def test_free_engine_is_used_at_once(self):
        fixture = Fixture()
        fixture.rooms = {"e1": FREE}
        await fixture.stream("a")
        assert fixture.sent == [("a", "e1", 0.002)]
        assert fixture.log.lines == []

    @simulate
    async def test_room_is_used_soon_after_it_appears(self):
        fixture = Fixture()
        task = fixture.start("a")
        await asyncio.sleep(1.0)
        assert not fixture.sent and len(fixture.gate) == 1
        fixture.rooms["e1"] = FREE
        await task
        assert fixture.sent[0][2] < 1.5
        assert len(fixture.gate) == 0

    @simulate
    async def test_end_of_a_stream_wakes_the_first_one_at_once(self):
        fixture = Fixture()
        task = fixture.start("a")
        await asyncio.sleep(2.0)
        fixture.rooms["e1"] = FREE
        fixture.gate.wake_first()
        await task
        assert fixture.sent[0][2] == pytest.approx(2.0, abs=0.01)

    @simulate
    async def test_stream_is_never_held_past_its_latest_moment(self):
        fixture = Fixture()
        await fixture.stream("a", goal_s=4.0)
        sent_at = fixture.sent[0][2]
        prefill_s = rooms.wait_s(FULL, PROMPT)
        assert 1.5 < sent_at < 4.0 - prefill_s

    async def find_room(self, fixture, **named):
        """Let a patient stream find a place while an urgent one waits."""
        urgent = fixture.start("urgent", rank=0, goal_s=9.0, **named)
        await asyncio.sleep(2.0)
        waiter = next(fixture.gate._queue.in_order())
        # The urgent one has just sampled.
        while waiter.next_sample_at - fixture.clock() < 0.1:
            await asyncio.sleep(0.01)
        fixture.rooms["e1"] = one_place()
        patient = fixture.start("patient")
        await asyncio.sleep(0.01)
        assert len(fixture.sent) == 1
        name = fixture.sent[0][0]
        for task in (urgent, patient):
            task.cancel()
        await asyncio.wait([urgent, patient])
        return name

    @simulate
    async def test_urgent_stream_gets_what_a_patient_one_found(self):
        """Guard against patient streams that overtake urgent ones."""
        assert await self.find_room(Fixture()) == "urgent"

    @simulate
    async def test_offer_goes_only_to_a_stream_that_can_use_it(self):
        """Guard against a target that failed a stream and gets it again."""
        name = await self.find_room(Fixture(), accepts=lambda target: False)
        assert name == "patient"

    @simulate
    async def test_organisations_take_turns(self):
        fixture = Fixture()
        tasks = [fixture.start(f"many-{n}") for n in range(8)]
        await asyncio.sleep(0.1)
        tasks.append(fixture.start("few", organisation="two"))
        await asyncio.sleep(0.1)
        for _ in range(2):
            fixture.rooms["e1"] = one_place()
            fixture.gate.wake_first()
            await asyncio.sleep(0.05)
        assert "few" in [name for name, *_ in fixture.sent]
        await asyncio.wait(tasks)

    @simulate
    async def test_large_stream_does_not_block_a_small_one(self):
        fixture = Fixture()
        fixture.rooms["e1"] = rooms.Room(88_000, 70_000, 0, 12, 5, 0.0)
        large = fixture.start(
            "large", rank=0, goal_s=8.0, demand=rooms.Demand(33_000, 32_000)
        )
        await asyncio.sleep(0.5)
        await fixture.stream("small")
        assert fixture.sent[0][0] == "small"
        await large

    @simulate
    async def test_wait_is_counted_and_logged(self):
        fixture = Fixture()
        await fixture.stream("a", goal_s=4.0)
        text = fixture.metrics.render([]).decode()
        assert 'streams_waited_total{outcome="sent"} 1' in text
        assert 'stream_wait_seconds_count{rank="2"} 1' in text
        (line,) = fixture.log.lines
        assert line["event"] == "stream_waited"
        assert line["outcome"] == "sent" and line["waited_ms"] > 1000
        assert line["free_slots"] == 0 and line["age_ms"] == 0


class TestFailures:
    """What happens when a caller, an owner, targets or this process fail."""

    @simulate
    async def test_caller_that_disconnects_releases_its_place(self):
        """Guard against places and memory that a cancelled stream keeps."""
        fixture = Fixture()
        task = fixture.start("a")
        await asyncio.sleep(0.5)
        task.cancel()
        await asyncio.wait([task])
        assert len(fixture.gate) == 0
        assert fixture.gate._held_bytes == 0
        assert fixture.log.lines[0]["outcome"] == "caller_gone"

    @simulate
    async def test_offer_of_a_cancelled_stream_is_not_lost(self):
        """Guard against room that is passed on to a caller that is gone."""
        fixture = Fixture()
        urgent = fixture.start("urgent", rank=0, goal_s=4.0)
        patient = fixture.start("patient")
        await asyncio.sleep(0.5)
        waiters = list(fixture.gate._queue.in_order())
        fixture.rooms["e1"] = one_place()
        waiters[0].handed = fixture.best(), fixture.clock()
        urgent.cancel()
        await asyncio.sleep(0.01)
        assert [name for name, *_ in fixture.sent] == ["patient"]
        await patient

    @simulate
    async def test_owner_that_does_not_answer_delays_but_holds_nobody(self):
        """A query times out after 80 ms; own knowledge remains in use."""
        fixture = Fixture()
        fixture.sample_s = 0.08
        task = fixture.start("a", goal_s=4.0)
        await asyncio.sleep(0.5)
        fixture.rooms["e1"] = msgspec.structs.replace(
            FREE, age_s=rooms.UNKNOWN_AGE_S
        )
        await task
        assert fixture.sent[0][2] < 1.0
        assert fixture.log.lines[0]["age_ms"] is None

    @simulate
    async def test_targets_that_return_during_the_wait_are_used(self):
        """Guard against a refusal while a data centre's engines restart."""
        fixture = Fixture()
        task = fixture.start("a")
        await asyncio.sleep(0.3)
        fixture.rooms.clear()
        await asyncio.sleep(1.2)
        fixture.rooms["e2"] = FREE
        await task
        assert fixture.sent[0][1] == "e2"

    @simulate
    async def test_stream_ends_if_all_targets_stay_away(self):
        fixture = Fixture()
        task = fixture.start("a", goal_s=4.0)
        await asyncio.sleep(0.3)
        fixture.rooms.clear()
        assert await task is None
        assert fixture.clock() < 4.0

    @simulate
    async def test_spent_byte_budget_stops_samples_but_holds_nobody(self):
        """Guard against samples that keep new streams from their queries."""
        budget = byte_budget.ByteBudget(0.0)
        fixture = Fixture(may_sample=lambda: budget.has_spare(fixture.clock()))
        budget.spend(round(byte_budget.BUDGET_BURST_BYTES))
        task = fixture.start("a", goal_s=3.0)
        await asyncio.sleep(1.0)
        # Only the first sample; half of the burst is back after 4 s.
        assert fixture.samples == 1
        await task
        assert fixture.sent[0][2] < 3.0 - rooms.wait_s(FULL, PROMPT)
        budget.spend(-round(byte_budget.BUDGET_BURST_BYTES))
        fixture.rooms["e1"] = FULL
        task = fixture.start("b", goal_s=3.0)
        samples = fixture.samples
        await task
        assert fixture.samples > samples + 3

    @simulate
    async def test_shutdown_ends_all_waits(self):
        """Guard against streams that wait until the process is killed."""
        fixture = Fixture()
        tasks = [fixture.start(f"s{n}") for n in range(5)]
        await asyncio.sleep(0.5)
        fixture.gate.stop()
        results = await asyncio.gather(*tasks)
        assert fixture.clock() < 0.6
        for result in results:
            assert result.cause is waiting.RefuseCause.STOPPING
            assert result.retry_after_s >= 0.25
        # A stream that arrives now is sent, as it was before.
        late = await fixture.stream("late")
        assert isinstance(late, gates.Offer)

    @simulate
    async def test_shutdown_ends_waits_without_any_target(self):
        """Guard against streams that wait for targets until the exit."""
        fixture = Fixture()
        task = fixture.start("a")
        await asyncio.sleep(0.5)
        fixture.rooms.clear()
        fixture.gate.stop()
        assert await task is None
        assert fixture.clock() < 0.6

    @simulate
    async def test_shutdown_sends_what_has_room(self):
        fixture = Fixture()
        fixture.rooms["e1"] = rooms.Room(88_000, 40_000, 30_000, 12, 5, 0.0)
        task = fixture.start("a")
        await asyncio.sleep(0.5)
        fixture.gate.stop()
        assert isinstance(await task, gates.Offer)

    @pytest.mark.parametrize("suspended_s", [3.0, 30.0])
    def test_suspension(self, suspended_s):
        """Guard against streams that are sent on figures from before it.

        The deadline is checked first.
        """

        async def simulation():
            fixture = Fixture()
            task = fixture.start("a")
            await asyncio.sleep(0.5)
            fixture.rooms["e1"] = FREE
            fixture.suspended_s = suspended_s
            samples = fixture.samples
            result = await task
            if suspended_s > 25.0:
                assert result.cause is waiting.RefuseCause.TOO_LATE
                assert not fixture.sent
            else:
                assert fixture.samples > samples
                assert fixture.sent

        virtual_loop.run(simulation())

    @simulate
    async def test_sample_that_a_suspension_interrupts_is_repeated(self):
        fixture = Fixture()
        fixture.rooms["e1"] = FREE
        task = fixture.start("a")
        await asyncio.sleep(0.001)
        fixture.suspended_s = 3.0
        fixture.rooms = {"e2": FREE}
        await task
        assert fixture.sent[0][1] == "e2"

    @simulate
    async def test_no_refusal_for_figures_from_before_a_suspension(self):
        fixture = Fixture()
        fixture.rooms["e1"] = rooms.Room(88_000, 60_000, 60_000, 12, 7, 0.0)
        task = fixture.start("a", deadline=8.0)
        await asyncio.sleep(0.001)
        fixture.suspended_s = 3.0
        fixture.rooms["e1"] = FREE
        assert isinstance(await task, gates.Offer)

    @simulate
    async def test_full_memory_does_not_keep_a_late_stream(self):
        """Guard against a refusal where the stream was sent before."""
        fixture = Fixture(memory_bytes=0)
        result = await fixture.stream("a", goal_s=1.0)
        assert isinstance(result, gates.Offer)

    @simulate
    async def test_memory_bounds_the_waiting_streams(self):
        """Guard against bodies of waiting streams that fill the memory.

        An instance of 160 MB gets 500 streams at once.
        """
        fixture = Fixture(memory_bytes=160_000_000)
        tasks = [fixture.start(f"s{n}") for n in range(500)]
        await asyncio.sleep(1.0)
        held = len(fixture.gate) * BODY_BYTES
        assert 0 < held < 0.15 * 160_000_000
        results = await asyncio.gather(*tasks)
        causes = {r.cause for r in results if isinstance(r, gates.Refused)}
        assert causes == {waiting.RefuseCause.MEMORY}
        assert fixture.gate._held_bytes == 0

    @simulate
    async def test_full_memory_refuses_nothing_that_an_engine_can_take(self):
        fixture = Fixture(memory_bytes=0)
        fixture.rooms["e1"] = rooms.Room(88_000, 40_000, 40_000, 12, 5, 0.0)
        assert isinstance(await fixture.stream("a"), gates.Offer)


class TestLatestMoment:
    """Guard against late streams that pass free engines on to others."""

    @simulate
    async def test_late_stream_uses_what_it_finds(self):
        """More urgent streams keep arriving while it is late."""
        fixture = Fixture()
        late = fixture.start("late", goal_s=2.0)
        await asyncio.sleep(1.0)
        urgent = []
        for number in range(60):
            fixture.rooms["e1"] = one_place() if number % 2 else FULL
            urgent.append(fixture.start(f"u{number}", rank=0))
            await asyncio.sleep(0.04)
            if late.done():
                break
        await late
        sent_at = {name: at for name, _, at in fixture.sent}
        assert sent_at["late"] < 2.0
        for task in urgent:
            task.cancel()


class TestOutdatedFirstSample:
    """Guard against streams that wait beyond the memory for them."""

    @simulate
    async def test_memory_bounds_streams_with_slow_first_samples(self):
        size = gates.ENTRANT_BYTES + BODY_BYTES
        fixture = Fixture(memory_bytes=int(10 * size / gates.MEMORY_SHARE) + 1)
        fixture.sample_s = gates.MAX_OFFER_AGE_S + 0.1
        tasks = [fixture.start(f"s{number}") for number in range(40)]
        await asyncio.sleep(fixture.sample_s + 0.01)
        assert len(fixture.gate) <= 10
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class TestServices:
    """Guard against services that delay each other's waiting streams."""

    @simulate
    async def test_many_streams_of_one_do_not_slow_another(self):
        """An engine of the other service becomes free."""
        fixture = Fixture()
        busy = [
            fixture.start(f"busy{n}", service="busy", goal_s=20.0)
            for n in range(40)
        ]
        await asyncio.sleep(2.0)
        task = fixture.start("calm", service="calm", goal_s=20.0)
        await asyncio.sleep(3.0)
        calm = next(
            waiter
            for waiter in fixture.gate._queue.in_order()
            if waiter.entrant.request_id == "calm"
        )
        # Half of the rate of an instance that holds no other stream.
        assert calm.samples >= 8
        for each in (*busy, task):
            each.cancel()
        await asyncio.wait([*busy, task])


class TestLastSamples:
    """Guard against streams that are sent late, or on old figures."""

    @simulate
    async def test_samples_at_the_latest_moment_leave_the_margin(self):
        """Two samples of 0.1 s use up the margin of 0.2 s for the send."""
        fixture = Fixture()
        fixture.sample_s = 0.1
        await fixture.stream("a", goal_s=4.0)
        prefill_s = rooms.wait_s(FULL, PROMPT)
        latest_at = 4.0 - 1.5 * prefill_s - waiting.SEND_MARGIN_S
        assert fixture.sent[0][2] < latest_at + 0.15

    @simulate
    async def test_old_sample_does_not_outlast_a_wide_one(self):
        """A stream that waits on after a wide sample samples again later."""
        fixture = Fixture()
        task = fixture.start("a")
        await asyncio.sleep(1.0)
        waiter = next(fixture.gate._queue.in_order())
        waiter.is_searching = True
        waiter.offer = gates.Offer("gone", FULL, 0.0)
        waiter.offered_at = fixture.clock() - 2.0
        await fixture.gate._sample(waiter)
        assert waiter.offer.target == "e1"
        task.cancel()
        await asyncio.wait([task])
