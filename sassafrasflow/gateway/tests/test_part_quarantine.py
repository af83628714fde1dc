"""Tests of verdicts on prompt parts at instances that know only a part."""

import asyncio
import itertools
import random
import types

import msgspec
import pytest

from sassafrasflow import ids
from sassafrasflow.gateway import aggregators
from sassafrasflow.gateway import exchange as exchanges
from sassafrasflow.gateway import peer_table
from sassafrasflow.gateway import poison
from sassafrasflow.gateway import prompt_parts
from sassafrasflow.gateway import quarantine
from sassafrasflow.gateway import registry as registries
from sassafrasflow.gateway import targets
from sassafrasflow.gateway import telemetry
from sassafrasflow.gateway import verdicts
from sassafrasflow.platform import fleet_rows
from sassafrasflow.platform import headers
from sassafrasflow.platform import rows
from sassafrasflow.platform.tests import crashes
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins
from sassafrasflow.platform.tests import test_poison_parts as pools

FIRST, CRASHING, MIDDLE, SECOND = prompt_parts.digest_parts(
    map(ids.PromptPartId, ["f1", "c1", "m1", "c2"])
)
# Runs last this long between the first event and the end.
STREAM_S = 5.0
EVENT_INTERVAL_S = 0.25
SAVE_TIMEOUT_S = 1.0
# Operators allow three sends that come later than DETECTION_S after the
# fifth crash.
FREE_CRASHES = 5
ALLOWED_LATE_SENDS = 3
DETECTION_S = 4.0


class FakeExchange:
    """Fake exchange of one instance with its peers."""

    def __init__(self, fleet, own_entry):
        self._fleet = fleet
        self.peers = peer_table.PeerTable(own_entry)

    def live(self):
        return self.peers.live(self._fleet.now)

    def aggregators_of(self, key):
        return aggregators.choose_aggregators(key, self.peers, self._fleet.now)

    def is_aggregator(self, key):
        return aggregators.is_aggregator(key, self.peers, self._fleet.now)

    def send(self, peers, message):
        content = msgspec.msgpack.encode(message)
        assert len(content) <= exchanges.MAX_DATAGRAM_BYTES
        for peer in peers:
            self._fleet.deliver(self.peers.own_entry.id, peer.id, content)


class FakeStore:
    """Fake store of refused requests and of crashes."""

    def __init__(self):
        self.refused = {}
        self.crashes = []

    async def write_refused(self, request):
        self.refused[request.fingerprint] = request

    async def write_part_crash(self, crash):
        self.crashes.append(crash)


class Fleet:
    """Quarantines of four instances, without a network."""

    def __init__(self):
        self.now = 1000.0
        self.store = FakeStore()
        self.cut_off = set()
        self.managers = {}
        # When targets crashed on requests that were not refused.
        self.crash_times = []
        self._number = 0
        self._decoder = msgspec.msgpack.Decoder(exchanges.Message)
        for number in range(4):
            self.start(number)
        self.introduce_instances()

    def __getitem__(self, number):
        return self.managers[f"entry-{number}"]

    def start(self, number):
        own_entry = registries.InstanceEntry(
            ids.InstanceId(f"entry-{number}"),
            "10.0.0.1",
            1,
            ids.DataCentre("aabb"[number]),
        )
        manager = quarantine.QuarantineManager(
            own_entry.id,
            targets.Directory(),
            self.store,
            lambda now: 1000 * now,
            lambda: self.now,
            telemetry.EventLog(own_entry.id, fd=-1),
            telemetry.Metrics(),
            random.Random(1),
        )
        manager.exchange = FakeExchange(self, own_entry)
        self.managers[own_entry.id] = manager
        return manager

    def wait(self, duration_s):
        """Let time pass, with heartbeats of all instances."""
        self.now += duration_s
        self.introduce_instances()

    def introduce_instances(self):
        for each in self.managers.values():
            for other in self.managers.values():
                each.exchange.peers.record_contact(
                    other.exchange.peers.own_entry, self.now
                )

    def deliver(self, sender, receiver, content):
        if self.cut_off & {sender, receiver}:
            return
        message = self._decoder.decode(content)
        manager = self.managers[receiver]
        handlers = {
            verdicts.DeathReport: manager.handle_report,
            verdicts.PartCrashReport: manager.parts.handle_report,
            verdicts.QuarantineNotice: manager.handle_notice,
            verdicts.QuarantineQuery: manager.handle_query,
            verdicts.QuarantineState: manager.handle_state,
        }
        handlers[type(message)](message)

    def job(self, parts):
        self._number += 1
        return types.SimpleNamespace(
            shared_parts=parts,
            fingerprint=f"r{self._number}",
            recheck=None,
            head=types.SimpleNamespace(attempt_id=f"r{self._number}"),
        )

    def target(self):
        return targets.Target(
            targets.ListedTarget(
                ids.TargetId(f"t{self._number}"),
                ids.ServiceName("pool"),
                "127.0.0.1",
                1,
                ids.DataCentre("a"),
                4,
            ),
            1,
        )

    def crash(self, number, *parts, after_s=1.0, others=()):
        """Let a run at an instance end with a crash, unless it is refused."""
        self.wait(after_s)
        manager = self[number]
        if manager.parts.is_refused(parts):
            return
        self.crash_times.append(self.now)
        job = self.job(parts)
        record = manager.runs.begin(job, self.target(), self.now)
        manager.parts.record_crash(
            record, self.now, set(map(ids.TargetId, others))
        )

    def late_sends(self):
        """Return the crashes after the part should have been detected."""
        times = self.crash_times
        if len(times) < FREE_CRASHES:
            return 0
        due = times[FREE_CRASHES - 1] + DETECTION_S
        return sum(at > due for at in times)

    def stream(self, number, *parts):
        """Begin a stream that writes its first event now."""
        job = self.job(parts)
        record = self[number].begin_run(job, self.target())
        self[number].record_event(record, self.now)
        return record

    def write(self, number, record, duration_s):
        """Let a stream go on for some time, with an event now and then."""
        for _ in range(round(duration_s / EVENT_INTERVAL_S)):
            self.now += EVENT_INTERVAL_S
            self[number].record_event(record, self.now)

    def complete(self, number, record):
        """Complete a stream as the data path does."""
        manager = self[number]
        manager.record_event(record, self.now)
        manager.record_success(record)
        manager.end_run(record, answered=True)

    def progress(self, number, *parts):
        """Run a sound stream to its end."""
        record = self.stream(number, *parts)
        self.wait(STREAM_S)
        self.complete(number, record)

    def send_queries(self, rounds=6):
        for _ in range(rounds):
            for manager in self.managers.values():
                manager.send_query()

    def refusing(self, *parts):
        """Return the numbers of the instances that refuse a prompt."""
        return [
            number
            for number in range(len(self.managers))
            if self[number].parts.is_refused(parts)
        ]

    async def save(self, number):
        """Let an instance write what it has not saved."""
        manager = self[number]
        task = asyncio.create_task(manager.writer.run())
        try:
            async with asyncio.timeout(SAVE_TIMEOUT_S):
                while manager.writer.unsaved_count:
                    await asyncio.sleep(0)
        finally:
            task.cancel()

    def stored(self):
        return registries.FleetRecord(
            (),
            tuple(self.store.refused.values()),
            round(1000 * self.now),
            tuple(self.store.crashes),
        )


@pytest.fixture
async def fleet():
    """Return four instances, each with all others as peers."""
    return Fleet()


class TestInstanceThatSawNoProgress:
    """Crashes with other causes add up where progress is not known."""

    def rare_crashes(self, fleet, idle=3):
        """Crash a target each 100 s while all but one see progress."""
        busy = [number for number in range(4) if number != idle]
        for number in busy:
            for each in busy:
                fleet.progress(each, FIRST)
            fleet.crash(number, FIRST, after_s=100.0)
        for each in busy:
            fleet.progress(each, FIRST)

    @pytest.mark.parametrize("idle", range(4))
    async def test_idle_instance_does_not_refuse_a_popular_sound_part(
        self, fleet, idle
    ):
        self.rare_crashes(fleet, idle)
        fleet.send_queries()
        assert fleet.refusing(FIRST) == []

    async def test_restarted_instance_does_not_refuse_a_popular_sound_part(
        self, fleet
    ):
        fleet.cut_off = {"entry-3"}
        self.rare_crashes(fleet)
        for number in range(3):
            await fleet.save(number)
        fleet.cut_off.clear()
        fleet.start(3).apply_stored(fleet.stored())
        fleet.introduce_instances()
        fleet.send_queries()
        assert fleet.refusing(FIRST) == []

    async def test_starting_instance_saves_no_verdict_on_a_popular_part(
        self, fleet
    ):
        fleet.cut_off = {"entry-3"}
        self.rare_crashes(fleet)
        for number in range(3):
            await fleet.save(number)
        fleet.start(3).apply_stored(fleet.stored())
        await fleet.save(3)
        assert not fleet.store.refused

    async def test_revoked_verdict_does_not_return_after_a_long_cut(
        self, fleet
    ):
        for _ in range(3):
            fleet.crash(1, FIRST)
        assert fleet.refusing(FIRST) == [0, 1, 2, 3]
        fleet.wait(0.1)
        running = fleet.stream(0, FIRST)
        fleet.cut_off = {"entry-3"}
        fleet.write(0, running, 2.0)
        assert fleet.refusing(FIRST) == [3]
        fleet.wait(poison.HARMLESS_TTL_S)
        for each in range(3):
            fleet.progress(each, FIRST)
        fleet.cut_off.clear()
        fleet.send_queries()
        assert fleet.refusing(FIRST) == []

    def test_crashes_are_forgotten_after_the_retention(self):
        evidence = prompt_parts.PartEvidence()
        found = []
        for number in range(3):
            now = 1000.0 + 2 * poison.RETENTION_S * number
            crash = prompt_parts.PartCrash(
                poison.Fingerprint(f"r{number}"),
                ids.TargetId(f"t{number}"),
                1,
                ids.DataCentre("a"),
                now,
                (),
                (FIRST,),
            )
            found += evidence.add_crash(crash, now)
        assert found == []


class TestPartThatBeginsToCrash:
    """Runs from before the first crash prove nothing about later ones."""

    async def test_end_of_an_older_stream_does_not_revoke_the_verdict(
        self, fleet
    ):
        running = fleet.stream(0, FIRST, CRASHING)
        fleet.wait(2.0)
        for _ in range(3):
            fleet.crash(1, FIRST, CRASHING)
        assert fleet.refusing(FIRST, CRASHING) == [0, 1, 2, 3]
        fleet.wait(0.5)
        fleet.complete(0, running)
        assert fleet.refusing(FIRST, CRASHING) == [0, 1, 2, 3]

    async def test_older_streams_that_end_do_not_hide_the_crashes(self, fleet):
        running = [fleet.stream(0, FIRST, CRASHING) for _ in range(8)]
        fleet.wait(2.0)
        for record in running:
            for _ in range(2):
                fleet.crash(0, FIRST, CRASHING, after_s=0.8)
            fleet.complete(0, record)
        assert fleet.late_sends() <= ALLOWED_LATE_SENDS

    async def test_crashes_after_a_revocation_lead_to_a_new_verdict(
        self, fleet
    ):
        for _ in range(3):
            fleet.crash(1, FIRST)
        fleet.wait(0.1)
        running = fleet.stream(0, FIRST)
        fleet.write(0, running, 2.0)
        assert fleet.refusing(FIRST) == []
        fleet.crash_times.clear()
        for _ in range(20):
            fleet.crash(1, FIRST)
        assert fleet.late_sends() <= ALLOWED_LATE_SENDS

    async def test_progress_between_the_crashes_does_not_deny_the_later_ones(
        self, fleet
    ):
        fleet.crash(1, FIRST, CRASHING)
        for number in (0, 2, 3):
            fleet.progress(number, FIRST, CRASHING)
        fleet.crash_times.clear()
        for _ in range(20):
            fleet.crash(1, FIRST, CRASHING)
        assert fleet.late_sends() <= ALLOWED_LATE_SENDS


class TestRevocation:
    """A sound stream revokes a verdict, whenever it began after a crash."""

    async def test_stream_that_began_between_the_crashes_revokes_the_verdict(
        self, fleet
    ):
        fleet.crash(1, FIRST)
        fleet.wait(0.1)
        running = fleet.stream(0, FIRST)
        for _ in range(2):
            fleet.crash(1, FIRST, after_s=0.2)
        fleet.write(0, running, 2.0)
        assert fleet.refusing(FIRST) == []


class TestSoundFirstPart:
    """A first part is not refused for what a part beside it does."""

    def evidence(self):
        self.now = 1000.0
        self.number = 0
        return prompt_parts.PartEvidence()

    def crash(self, evidence, target, *parts, others=(), data_centre="a"):
        """Add a crash; return the sets of parts that it makes refused."""
        self.number += 1
        self.now += 0.1
        found = evidence.add_crash(
            prompt_parts.PartCrash(
                poison.Fingerprint(f"r{self.number}"),
                ids.TargetId(target),
                1,
                ids.DataCentre(data_centre),
                self.now,
                tuple(map(ids.TargetId, others)),
                parts,
            ),
            self.now,
        )
        return [each.parts for each in found]

    def test_sound_runs_lost_on_the_same_target_do_not_widen_the_verdict(self):
        evidence = self.evidence()
        evidence.record_progress((FIRST,), self.now)
        found = []
        for number in range(3):
            found += self.crash(evidence, f"t{number}", FIRST, CRASHING)
            found += self.crash(evidence, f"t{number}", FIRST)
        assert (FIRST,) not in found
        assert any(CRASHING in parts for parts in found)

    def test_lost_sound_runs_do_not_widen_it_where_no_progress_is_known(self):
        """An instance that never runs the caller's sound requests decides."""
        evidence = self.evidence()
        found = []
        for number in range(3):
            found += self.crash(evidence, f"t{number}", FIRST, CRASHING)
            found += self.crash(evidence, f"t{number}", FIRST)
        for number in range(2):
            found += self.crash(evidence, f"t{number}", FIRST, MIDDLE)
        assert any(CRASHING in parts for parts in found)
        assert not {(FIRST,), (MIDDLE,), (FIRST, MIDDLE)}.intersection(found)

    def test_target_without_a_run_of_the_narrow_verdict_widens_it(self):
        evidence = self.evidence()
        for number in range(3):
            self.crash(evidence, f"t{number}", FIRST, MIDDLE)
        assert (FIRST,) in self.crash(evidence, "t3", FIRST)

    def test_two_crashing_parts_do_not_blame_the_part_they_share(self):
        evidence = self.evidence()
        evidence.record_progress((FIRST,), self.now)
        found = []
        for number in range(6):
            part = (CRASHING, SECOND)[number % 2]
            found += self.crash(evidence, f"t{number}", FIRST, part)
        assert (FIRST,) not in found

    @pytest.mark.parametrize("count", [3, 4, 10])
    def test_one_outage_of_a_data_centre_does_not_refuse_the_part_of_all_runs(
        self, count
    ):
        evidence = self.evidence()
        evidence.record_progress((FIRST,), self.now)
        names = [f"t{number}" for number in range(count)]
        found = []
        for name in names:
            others = [each for each in names if each != name]
            found += self.crash(evidence, name, FIRST, others=others)
        assert found == []


class TestDoubtfulCrashes:
    """Crashes beside others are not lost with the instances that know them."""

    async def test_restarts_of_all_instances_do_not_lose_the_evidence(
        self, fleet
    ):
        for _ in range(4):
            for number in range(4):
                fleet.crash(
                    number, CRASHING, others=["x", "y", "z"], after_s=2.0
                )
            for number in range(4):
                await fleet.save(number)
            for number in range(4):
                fleet.start(number).apply_stored(fleet.stored())
            fleet.wait(DETECTION_S)
        assert fleet.late_sends() <= ALLOWED_LATE_SENDS


class TestSlowReader:
    """Events that were read late do not show that a target went on."""

    async def test_events_before_a_crash_read_after_a_pause_are_no_progress(
        self, fleet
    ):
        for _ in range(3):
            fleet.crash(1, CRASHING)
        assert fleet.refusing(CRASHING) == [0, 1, 2, 3]
        fleet.wait(0.1)
        late = fleet.stream(0, CRASHING)
        late.target.record_loss(fleet.now + 0.1)
        fleet.wait(prompt_parts.PROGRESS_S + 0.5)
        fleet[0].record_event(late, fleet.now)
        assert fleet.refusing(CRASHING) == [0, 1, 2, 3]


class UnframedPool(pools.PartPool):
    """Run targets whose answers end with the connection, also on a crash."""

    async def _run(self, name, conn, req):
        if not self.is_crashing(req):
            await self._answer(name, conn, req)
            return
        is_stream = req.url == crashes.PLAN
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Request-Attempt-Id: {req.headers[standins.ATTEMPT]}",
            "X-Response-Seal: sealed",
            f"Content-Type: text/{'event-stream' if is_stream else 'plain'}",
        ]
        await conn.send("\r\n".join([*lines, "", ""]).encode())
        await conn.send(b"id: 1\ndata: token-1\n\n")
        await asyncio.sleep(self.crash_delay_s)
        conn.writer.close()
        self.crash_delay_s, delay_s = 0.0, self.crash_delay_s
        await asyncio.shield(self._crash(name, req.body))
        self.crash_delay_s = delay_s


class TestUnframedAnswers:
    """The end of a connection may be that of its target."""

    @pytest.mark.parametrize("path", [crashes.PLAN, crashes.READ])
    async def test_crash_between_events_is_no_progress(self, path):
        async with fleets.Fleet() as running:
            pool = UnframedPool(running)
            await pool.start_in_two()
            async with pool.sound_traffic():
                await pool.attack(
                    lambda number: pool.send_crashing(number, path=path)
                )
                await pool.attack_late(
                    lambda number: pool.send_crashing(number, path=path)
                )
            pool.check()


class FakeRows:
    """Fake store with rows that later writes replace."""

    def __init__(self):
        self.rows = {}

    async def write(self, writes):
        for each in writes:
            self.rows[each.key] = each.value

    async def read_rows(self, table):
        rows = [
            types.SimpleNamespace(key=key, value=value, revision=1)
            for key, value in self.rows.items()
        ]
        return types.SimpleNamespace(rows=rows, store_ms=0, era=1)


@pytest.fixture
async def registry():
    """Return a registry that writes to a fake store."""
    made = rows.PlatformRegistry.__new__(rows.PlatformRegistry)
    made._store = FakeRows()
    return made


class TestStoredRows:
    """What one instance learned is there for those that start later."""

    async def test_verdict_on_a_request_does_not_replace_one_on_parts(
        self, registry
    ):
        key = prompt_parts.key_of([CRASHING])
        await registry.write_refused(registries.RefusedRequest(key, 600_000))
        for number in range(20 * fleet_rows.REFUSED_SLOTS):
            request = poison.fingerprint_of(None, str(number), b"")
            await registry.write_refused(registries.RefusedRequest(request, 0))
        record = await registry.read_fleet()
        assert key in {each.fingerprint for each in record.refused}

    async def test_runs_lost_beside_others_do_not_replace_the_crashes(
        self, registry
    ):
        async def write(number, target, part):
            await registry.write_part_crash(
                registries.StoredPartCrash(
                    poison.fingerprint_of(None, str(number), b""),
                    ids.TargetId(target),
                    1,
                    ids.DataCentre("a"),
                    0,
                    (part,),
                )
            )

        for number in range(FREE_CRASHES):
            await write(number, f"c{number}", CRASHING)
        for number in range(100, 100 + 10 * 20):
            await write(number, f"t{number // 20}", FIRST)
        record = await registry.read_fleet()
        kept = [each for each in record.part_crashes if CRASHING in each.parts]
        assert len(kept) >= prompt_parts.REFUSAL_WEIGHT


class TestHeaders:
    """All parts but the last are known, however the header is written."""

    @pytest.mark.parametrize(
        "values, expected",
        [
            (["a:1,b:2,own:3"], ("a", "b")),
            (["a:1", "b:2,own:3"], ("a", "b")),
            ([" a:1 , b:2 ,own:3"], ("a", "b")),
            (["a,b,own"], ("a", "b")),
            (["a:1,,b:2,own:3"], ("a", "b")),
            (["own:3"], ()),
            ([""], ()),
            ([], ()),
        ],
    )
    def test_parts_of_odd_values(self, values, expected):
        assert headers._parse_shared_parts(values) == expected


class TestLongPrompts:
    """A crashing part is found wherever it stands."""

    async def test_outermost_part_of_a_long_prompt_is_refused(self, fleet):
        names = itertools.count()
        for _ in range(20):
            inner = [ids.PromptPartId(f"p{next(names)}") for _ in range(32)]
            outer = ids.PromptPartId("c1")
            parts = prompt_parts.digest_parts([outer, *inner])
            fleet.crash(0, *parts)
        assert fleet.late_sends() <= ALLOWED_LATE_SENDS


class TestBounds:
    """Reports fit into datagrams, and the tables stay small."""

    def test_report_with_the_most_parts_fits_into_a_datagram(self):
        parts = prompt_parts.digest_parts(
            ids.PromptPartId(f"p{number}") for number in range(100)
        )
        crash = prompt_parts.PartCrash(
            poison.fingerprint_of(None, "/", b""),
            ids.TargetId("t" * 48),
            1_800_000_000_000,
            ids.DataCentre("d" * 32),
            0.0,
            tuple(ids.TargetId("o" * 48) for _ in range(8)),
            parts,
        )
        report = verdicts.PartCrashReport.from_crash(
            ids.InstanceId("i" * 48), crash, 600.0
        )
        assert (
            len(msgspec.msgpack.encode(report)) <= exchanges.MAX_DATAGRAM_BYTES
        )

    def test_state_with_the_longest_keys_fits_into_a_datagram(self):
        state = verdicts.QuarantineState(
            ids.InstanceId("i" * 48),
            {
                prompt_parts.key_of(
                    prompt_parts.digest_parts(
                        ids.PromptPartId(f"{number}.{each}")
                        for each in range(prompt_parts.MAX_PARTS_PER_VERDICT)
                    )
                ): 600_000
                for number in range(quarantine.VERDICTS_PER_DATAGRAM)
            },
        )
        assert (
            len(msgspec.msgpack.encode(state)) <= exchanges.MAX_DATAGRAM_BYTES
        )
