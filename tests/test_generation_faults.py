"""Generations under faults of real processes and connections."""

import asyncio
import signal

import pytest

from sassafrasflow.fakes import callers
from sassafrasflow.fakes import processes
from sassafrasflow.fakes import proxy
from sassafrasflow.fakes import token_source

TOKENS = 120
PROMPT = "Draft an observing plan."
# Slow enough that an answer lasts far longer than injecting a fault takes.
SLOW_TOKENS = {"token_interval_ms": 15}
# For tests in which no engine fails: an engine that a busy machine holds up
# for longer than the defaults allow (0.3 s after a takeover) would count as
# stalled, and the answer would rightly start again at another one.
PATIENT = {
    "reattach_timeout_ms": 10_000,
    "first_token_cold_ms": 10_000,
    "stall_timeout_ms": 10_000,
}


def body(stream=True, tokens=TOKENS, prompt=PROMPT):
    return {
        "model": processes.MODEL,
        "prompt": prompt,
        "max_tokens": tokens,
        "stream": stream,
    }


def expected_answer(tokens=TOKENS, prompt=PROMPT):
    return token_source.greedy_answer(
        processes.MODEL, processes.VERSION, prompt, tokens
    )


async def until(condition):
    """Poll a condition until it holds, for at most 30 s."""
    async with asyncio.timeout(30):
        while not await condition():
            await asyncio.sleep(0.01)


async def read_counter(deployment, entry, name):
    resp = await deployment.http.get(f"{entry.url}/metrics")
    for line in resp.text.splitlines():
        if line.startswith(f"sassafrasflow_{name} "):
            return int(line.split()[-1])
    raise KeyError(name)


async def list_starts(deployment, engine):
    resp = await deployment.http.get(f"{engine.url}/fake/log")
    return resp.json()["starts"]


def describe(deployment, starts, problems):
    """Return what tells why an answer started more than once."""
    lines = [f"starts: {starts}", f"problems: {problems}"]
    for name in deployment.processes:
        if name.startswith("entry"):
            log = deployment.read_log(name).splitlines()
            lines += [f"{name}: {at}" for at in log if "generations:" in at]
    return "\n".join(lines)


async def find_busy_engine(deployment, engines):
    """Return the first engine that has started an attempt."""
    for engine in engines:
        if await list_starts(deployment, engine):
            return engine
    raise AssertionError("no engine got work")


async def keep_busy_engine_stalled(deployment, engines):
    """Return the first busy engine and end the stall of the others."""

    async def started():
        logs = [await list_starts(deployment, engine) for engine in engines]
        return any(logs)

    await until(started)
    first = await find_busy_engine(deployment, engines)
    for engine in engines:
        if engine is not first:
            await deployment.configure_fake(engine, "behaviour", stalled=False)
    return first


async def wait_for_tokens(caller, count):
    async def reached():
        return caller.tokens >= count or caller.ended

    await until(reached)


@pytest.fixture
async def engines(deployment):
    return [
        await deployment.engine(f"engine-{n}", **SLOW_TOKENS) for n in range(2)
    ]


class TestEntryLost:
    @pytest.mark.parametrize("how", ["killed", "paused", "stopped"])
    async def test_answer_continues_at_another_instance(
        self, deployment, engines, how
    ):
        entries = await deployment.entries(
            3, stop_grace_ms=100, generations=PATIENT
        )
        caller = callers.Caller(
            deployment.http, [entry.url for entry in entries], body()
        )
        running = asyncio.create_task(caller.run())
        await wait_for_tokens(caller, 30)
        if how == "killed":
            entries[0].kill()
        elif how == "paused":
            entries[0].pause()
        else:
            entries[0].send_signal(signal.SIGTERM)
        async with asyncio.timeout(30):
            await running
        assert caller.ended
        assert caller.text == expected_answer()
        assert len(caller.generations) == 1
        begun = [await list_starts(deployment, item) for item in engines]
        assert sum(map(len, begun)) == 1, describe(
            deployment, begun, caller.problems
        )
        if how == "stopped":
            assert caller.problems[0]["reason"] == "resume_elsewhere"
            assert await entries[0].wait() == 0

    async def test_paused_owner_delivers_nothing_after_a_takeover(
        self, deployment
    ):
        await deployment.engine("engine-0", sampled=True, **SLOW_TOKENS)
        entries = await deployment.entries(3)
        urls = [entry.url for entry in entries]
        old = callers.Caller(
            deployment.http,
            urls[:1],
            body(),
            read_timeout_s=30,
            is_final=lambda problem: True,
        )
        reading = asyncio.create_task(old.run())
        await wait_for_tokens(old, 20)
        entries[0].pause()
        new = callers.Caller(deployment.http, urls[1:], body(), key=old.key)
        await new.run()
        entries[0].resume()
        await reading
        assert new.ended and not old.ended
        assert old.problems[0]["reason"] == "resume_elsewhere"
        assert old.problems[0]["ran"] == "partly"
        assert new.text.startswith(old.text)
        (generation,) = new.generations
        assert TOKENS == token_source.verify_sampled(
            new.text, generation, processes.MODEL, processes.VERSION, PROMPT
        )

    async def test_engine_and_owner_are_killed_together(
        self, deployment, engines
    ):
        entries = await deployment.entries(3)
        caller = callers.Caller(
            deployment.http, [entry.url for entry in entries], body()
        )
        running = asyncio.create_task(caller.run())
        await wait_for_tokens(caller, 30)
        (await find_busy_engine(deployment, engines)).kill()
        entries[0].kill()
        await running
        assert caller.ended
        assert caller.text == expected_answer()

    async def test_answer_without_streaming(self, deployment, engines):
        entries = await deployment.entries(3)
        urls = [entry.url for entry in entries]
        caller = callers.Caller(deployment.http, urls, body(stream=False))
        running = asyncio.create_task(caller.run())

        async def begun():
            logs = [await list_starts(deployment, item) for item in engines]
            return any(logs)

        await until(begun)
        entries[0].kill()
        await running
        assert caller.text == expected_answer()
        again = callers.Caller(
            deployment.http, urls[1:], body(stream=False), key=caller.key
        )
        await again.run()
        assert again.answer == {
            **caller.answer,
            "created": again.answer["created"],
        }


class TestReconnect:
    async def test_ids_that_do_not_fit_are_refused(self, deployment, engines):
        entries = await deployment.entries(2)
        caller = callers.Caller(
            deployment.http, [entries[0].url], body(tokens=5)
        )
        await caller.run()
        last = caller.received_events[-1].event_id
        generation, index, digest = last.split(":")
        cases = [
            ("garbage", 409),
            (f"{generation}:{index}:{'0' * len(digest)}", 409),
            (f"{'0' * 32}:{index}:{digest}", 409),
            (f"{generation}:99:{digest}", 409),
            (last, 200),
        ]
        for event_id, status in cases:
            for entry in entries:
                resp = await deployment.http.post(
                    f"{entry.url}/v1/completions",
                    json=body(tokens=5),
                    headers={
                        **callers.AUTH,
                        "idempotency-key": caller.key,
                        "last-event-id": event_id,
                    },
                )
                assert resp.status_code == status, event_id
        other = await deployment.http.post(
            f"{entries[1].url}/v1/completions",
            json=body(tokens=6),
            headers={**callers.AUTH, "idempotency-key": caller.key},
        )
        assert other.json()["reason"] == "key_reused"

    async def test_unattended_generation_stops_and_continues(self, deployment):
        engine = await deployment.engine("engine-0", token_interval_ms=20)
        entry = await deployment.entry(
            "entry-0", generations={"unattended_ms": 100}
        )
        caller = callers.Caller(deployment.http, [entry.url], body(tokens=60))
        running = asyncio.create_task(caller.run())
        await wait_for_tokens(caller, 10)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

        async def stopped():
            name = "unattended_stopped_total"
            return await read_counter(deployment, entry, name) == 1

        await until(stopped)
        await caller.run()
        assert caller.text == expected_answer(60)
        assert len(await list_starts(deployment, engine)) == 2


class ProxiedEngine:
    """Run an engine behind a fault proxy."""

    def __init__(self, deployment, name, **behaviour):
        self.deployment = deployment
        self.name = name
        self.behaviour = behaviour

    async def __aenter__(self):
        self.engine = await self.deployment.unlisted_engine(
            self.name, **self.behaviour
        )
        self.proxy = proxy.FaultProxy("127.0.0.1", self.engine.port)
        await self.proxy.start()
        await self.deployment.list_engine(self.name, self.proxy.address)
        return self

    async def __aexit__(self, *exc):
        await self.proxy.close()


class TestBrokenStream:
    @pytest.mark.parametrize("fault", ["cut", "truncate"])
    async def test_reattaches_without_a_new_attempt(self, deployment, fault):
        async with ProxiedEngine(
            deployment, "engine-0", **SLOW_TOKENS
        ) as proxied:
            entry = await deployment.entry("entry-0")
            caller = callers.Caller(
                deployment.http, [entry.url], body(), read_timeout_s=10
            )
            running = asyncio.create_task(caller.run())
            await wait_for_tokens(caller, 30)
            if fault == "cut":
                proxied.proxy.reset_connections()
            else:
                proxied.proxy.truncate(proxy.Direction.TO_CLIENT, 1_000)
            await running
            assert caller.text == expected_answer()
            assert len(await list_starts(deployment, proxied.engine)) == 1
            assert (
                await read_counter(deployment, entry, "reattaches_total") >= 1
            )

    @pytest.mark.parametrize("directions", [(), (proxy.Direction.TO_CLIENT,)])
    async def test_frozen_link_is_left(self, deployment, directions):
        async with (
            ProxiedEngine(deployment, "engine-0", **SLOW_TOKENS) as one,
            ProxiedEngine(deployment, "engine-1", **SLOW_TOKENS) as other,
        ):
            entry = await deployment.entry("entry-0")
            caller = callers.Caller(
                deployment.http, [entry.url], body(), read_timeout_s=10
            )
            running = asyncio.create_task(caller.run())
            await wait_for_tokens(caller, 30)
            used = await find_busy_engine(
                deployment, [one.engine, other.engine]
            )
            frozen = one if used is one.engine else other
            frozen.proxy.freeze(*directions)
            await running
            assert caller.text == expected_answer()
            assert not caller.problems
            for proxied in (one, other):
                assert len(await list_starts(deployment, proxied.engine)) == 1


class TestStalled:
    async def test_engine_stalls_before_the_first_token(
        self, deployment, engines
    ):
        for engine in engines:
            await deployment.configure_fake(engine, "behaviour", stalled=True)
        entry = await deployment.entry("entry-0")
        caller = callers.Caller(deployment.http, [entry.url], body(tokens=10))
        running = asyncio.create_task(caller.run())

        await keep_busy_engine_stalled(deployment, engines)
        await running
        assert caller.text == expected_answer(10)
        stalled = 'retries_total{reason="stalled"}'
        assert await read_counter(deployment, entry, stalled) >= 1

    async def test_reconnect_elsewhere_avoids_the_stalled_engine(
        self, deployment, engines
    ):
        for engine in engines:
            await deployment.configure_fake(engine, "behaviour", stalled=True)
        # The timeout is too long to help, so only the reconnect can move the
        # generation away from the stalled engine, which alone has the prompt
        # in its cache.
        patient = {"first_token_cold_ms": 10_000}
        entries = await deployment.entries(2, generations=patient)
        prompt = PROMPT * 20
        caller = callers.Caller(
            deployment.http,
            [entry.url for entry in entries],
            body(tokens=10, prompt=prompt),
        )
        running = asyncio.create_task(caller.run())

        first = await keep_busy_engine_stalled(deployment, engines)
        await running
        assert caller.text == expected_answer(10, prompt)
        assert len(await list_starts(deployment, first)) == 1


class TestOutageOfEveryEngine:
    async def test_answer_in_progress_survives(self, deployment):
        engine = await deployment.engine(
            "engine-0", orphan_ms=100, **SLOW_TOKENS
        )
        entry = await deployment.entry(
            "entry-0",
            generations={"no_target_wait_ms": 100, "resume_wait_ms": 60_000},
        )
        caller = callers.Caller(deployment.http, [entry.url], body())
        running = asyncio.create_task(caller.run())
        await wait_for_tokens(caller, 20)
        engine.kill()

        async def lost():
            name = 'retries_total{reason="connection_lost"}'
            return await read_counter(deployment, entry, name) >= 1

        await until(lost)
        # New requests are refused now, but the answer in progress waits.
        fresh = await deployment.http.post(
            f"{entry.url}/v1/completions", json=body(), headers=callers.AUTH
        )
        assert "no_target" in fresh.text
        await deployment.engine("engine-1", **SLOW_TOKENS)
        await running
        assert caller.text == expected_answer()
        assert not caller.problems


class TestVersionUnavailable:
    async def test_partial_answer_is_reported(self, deployment):
        engine = await deployment.engine("engine-0", **SLOW_TOKENS)
        # The release leader orders this engine to load v1, which never ends.
        await deployment.engine(
            "engine-1", loaded=("planner@v2",), load_ms=3_600_000
        )
        entry = await deployment.entry("entry-0")
        caller = callers.Caller(
            deployment.http,
            [entry.url],
            body(),
            read_timeout_s=10,
            is_final=lambda problem: True,
        )
        running = asyncio.create_task(caller.run())
        await wait_for_tokens(caller, 30)
        engine.kill()
        await running
        problem = caller.problems[0]
        assert problem["ran"] == "partly"
        assert problem["retry_after_s"] >= 1
        assert expected_answer().startswith(caller.text)


class TestPoison:
    async def test_kills_two_targets_at_most(self, deployment):
        engines = [
            await deployment.engine(f"engine-{n}", poison="deadly")
            for n in range(4)
        ]
        entry = await deployment.entry("entry-0")
        other_callers = [
            callers.Caller(
                deployment.http,
                [entry.url],
                body(prompt=f"plan {n}"),
                read_timeout_s=10,
            )
            for n in range(8)
        ]
        running = [asyncio.create_task(item.run()) for item in other_callers]
        for item in other_callers:
            await wait_for_tokens(item, 5)
        for _ in range(3):
            poison = callers.Caller(
                deployment.http,
                [entry.url],
                body(prompt="deadly"),
                is_final=lambda problem: True,
            )
            await poison.run()
            assert poison.problems[0]["reason"] == "poison"
        assert poison.problems[0]["ran"] == "no"
        await asyncio.gather(*running)
        for number, item in enumerate(other_callers):
            assert item.text == expected_answer(prompt=f"plan {number}")
            assert not item.problems
        alive = []
        for engine in engines:
            try:
                await list_starts(deployment, engine)
                alive.append(engine)
            except Exception:
                continue
        assert len(alive) == 2
