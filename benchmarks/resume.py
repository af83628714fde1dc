"""Faults during generations: damaged answers, resume times and extra tokens.

Prints one JSON object for this system and one for callers that restart
from scratch, both measured in the same run over the same schedule.
"""

import argparse
import asyncio
import enum
import itertools
import json
import random
import time
from typing import Any

from benchmarks import cells
from sassafrasflow.fakes import callers
from sassafrasflow.fakes import processes
from sassafrasflow.fakes import token_source

TOKENS = 100
TOKEN_INTERVAL_MS = 5
BLOCK_PREFILL_MS = 20
PROMPT_CHARS = 512
MIDDLE = 40
CALLER_SILENCE_S = 1.0
ROUND_TIMEOUT_S = 20
BEHAVIOUR = {
    "token_interval_ms": TOKEN_INTERVAL_MS,
    "block_prefill_ms": BLOCK_PREFILL_MS,
}
# Disables second attempts, reattaching and replicas.
BASELINE = {
    "max_attempts": 1,
    "reattach_timeout_ms": 1,
    "replication": {"replicas": 0},
}


class Moment(enum.Enum):
    """List the moments of a fault."""

    BEFORE_FIRST = "before_first_token"
    MIDDLE = "middle"
    LAST = "last_token"
    RESUMING = "during_resume"


class Tally:
    """Count the answers that callers received, by result."""

    def __init__(self) -> None:
        self.faults = 0
        self.answers = 0
        self.missing = 0
        self.repeated = 0
        self.mixed = 0
        self.refused = 0
        self.needed_tokens = 0
        self.produced_tokens = 0
        self.resume_ms: dict[str, list[float]] = {}

    def record_answer(
        self, caller: callers.Caller, prompt: str, sampled: bool
    ) -> str:
        """Compare an answer with the fault-free one and count the result."""
        self.answers += 1
        self.needed_tokens += TOKENS
        if not caller.ended:
            self.refused += bool(caller.problems)
            self.missing += 1
            return "missing"
        matching = _count_matching_tokens(caller, prompt, sampled)
        if matching == caller.tokens == TOKENS:
            return "whole"
        if matching == caller.tokens < TOKENS:
            self.missing += 1
            return "missing"
        words = caller.text.split()
        if len(set(words)) < len(words):
            self.repeated += 1
            return "repeated"
        self.mixed += 1
        return "mixed"

    def report(self, name: str) -> dict[str, Any]:
        """Return the counts and the quantiles of the resume times."""
        times = sorted(itertools.chain(*self.resume_ms.values()))
        return {
            "benchmark": "resume",
            "way": name,
            "faults": self.faults,
            "answers": self.answers,
            "missing": self.missing,
            "repeated": self.repeated,
            "mixed": self.mixed,
            "refused": self.refused,
            "resumes_timed": len(times),
            "resume_ms_p50": _quantile(times, 0.5),
            "resume_ms_p95": _quantile(times, 0.95),
            "resume_ms_max": _quantile(times, 1.0),
            "extra_tokens_ratio": round(
                self.produced_tokens / max(1, self.needed_tokens) - 1, 4
            ),
            "resume_ms_p95_by_fault": {
                kind: _quantile(sorted(values), 0.95)
                for kind, values in sorted(self.resume_ms.items())
            },
        }


def _quantile(ordered: list[float], share: float) -> float | None:
    if not ordered:
        return None
    position = min(len(ordered) - 1, int(share * len(ordered)))
    return round(ordered[position], 1)


def _count_matching_tokens(
    caller: callers.Caller, prompt: str, sampled: bool
) -> int:
    if sampled:
        if len(caller.generations) != 1:
            return 0
        (generation,) = caller.generations
        return token_source.verify_sampled(
            caller.text,
            generation,  # type: ignore[arg-type]
            processes.MODEL,  # type: ignore[arg-type]
            processes.VERSION,  # type: ignore[arg-type]
            prompt,
        )
    expected = token_source.greedy_answer(
        processes.MODEL,  # type: ignore[arg-type]
        processes.VERSION,  # type: ignore[arg-type]
        prompt,
        TOKENS,
    )
    pairs = zip(caller.text.split(), expected.split(), strict=False)
    return sum(1 for one, other in pairs if one == other)


class Round:
    """Run three callers and one fault against the first of them."""

    def __init__(
        self,
        cell: cells.Cell,
        tally: Tally,
        rng: random.Random,
        *,
        sampled: bool,
        restarts: bool,
    ) -> None:
        self._cell = cell
        self._tally = tally
        self._rng = rng
        self._sampled = sampled
        self._restarts = restarts
        self._seen_attempts: set[tuple[str, int]] = set()

    async def run(self, kind: cells.FaultKind, moment: Moment) -> None:
        """Inject a fault at a moment and record every answer."""
        for engine in self._cell.engines:
            await engine.configure(sampled=self._sampled)
        await self._record_attempts()
        entry = self._rng.randrange(len(self._cell.entries))
        victim, victim_task = self._call(entry, stream=True)
        engine = await self._wait_for_engine()
        others = [
            self._call(self._rng.randrange(3), stream=stream)
            for stream in (True, False)
        ]
        await self._wait_for_moment(victim, moment)
        since = time.monotonic()
        await self._cell.inject(kind, engine, entry)
        self._tally.faults += 1
        if moment is Moment.RESUMING:
            await self._inject_again(victim)
        tasks = [victim_task, *(task for _, task in others)]
        await asyncio.wait(tasks, timeout=ROUND_TIMEOUT_S)
        for task in tasks:
            task.cancel()
        self._record_answer(kind, moment, victim, since)
        for caller, _ in others:
            self._record_answer(kind, moment, caller, None)
        await self._cell.recover()

    def _call(
        self, entry: int, *, stream: bool
    ) -> tuple[callers.Caller, "asyncio.Task[None]"]:
        prompt = f"{self._rng.getrandbits(64):016x}".ljust(PROMPT_CHARS, ".")
        caller = callers.Caller(
            self._cell.deployment.http,
            self._cell.urls(entry),
            {
                "model": processes.MODEL,
                "prompt": prompt,
                "max_tokens": TOKENS,
                "stream": stream,
            },
            read_timeout_s=CALLER_SILENCE_S,
            restarts=self._restarts,
        )
        return caller, asyncio.create_task(caller.run())

    async def _record_attempts(self) -> None:
        while match := await self._cell.find_new_attempt(self._seen_attempts):
            start = match[1]
            self._seen_attempts.add((start["generation"], start["attempt"]))

    async def _wait_for_engine(self) -> cells.ProxiedEngine:
        async with asyncio.timeout(ROUND_TIMEOUT_S):
            while True:
                match = await self._cell.find_new_attempt(self._seen_attempts)
                if match is not None:
                    return match[0]
                await asyncio.sleep(0.005)

    async def _wait_for_moment(
        self, victim: callers.Caller, moment: Moment
    ) -> None:
        token_count = {
            Moment.BEFORE_FIRST: 0,
            Moment.LAST: TOKENS - 3,
        }.get(moment, MIDDLE)
        async with asyncio.timeout(ROUND_TIMEOUT_S):
            while victim.tokens < token_count and not victim.ended:
                await asyncio.sleep(0.002)

    async def _inject_again(self, victim: callers.Caller) -> None:
        """Abort the connections of every engine during the resume."""
        await asyncio.sleep(self._rng.uniform(0.0, 0.3))
        if victim.ended:
            return
        for engine in self._cell.engines:
            engine.proxy.reset_connections()
        self._tally.faults += 1

    def _record_answer(
        self,
        kind: cells.FaultKind,
        moment: Moment,
        caller: callers.Caller,
        since: float | None,
    ) -> None:
        prompt = caller.body["prompt"]
        result = self._tally.record_answer(caller, prompt, self._sampled)
        if result != "whole":
            print(
                json.dumps(
                    {
                        "result": result,
                        "fault": kind.value,
                        "moment": moment.value,
                        "stream": caller.body["stream"],
                        "sampled": self._sampled,
                        "restarts": self._restarts,
                        "tokens": caller.tokens,
                        "problems": caller.problems[-2:],
                    }
                ),
                flush=True,
            )
        if since is not None and caller.ended:
            silence_ms = caller.longest_gap_s(since) * 1000
            times = self._tally.resume_ms.setdefault(kind.value, [])
            times.append(silence_ms)


async def _run_cell(
    tally: Tally,
    cases: list[tuple[cells.FaultKind, Moment, bool]],
    rng: random.Random,
    *,
    restarts: bool,
    seconds: float,
) -> None:
    generation = {"unattended_ms": 20_000, **(BASELINE if restarts else {})}
    async with processes.Deployment() as deployment:
        cell = cells.Cell(
            deployment,
            dict(BEHAVIOUR),
            generations=generation,
            stop_grace_ms=50,
            directory={"report_interval_ms": 250},
        )
        await cell.start()
        ends_at = time.monotonic() + seconds
        for kind, moment, sampled in cases:
            if time.monotonic() > ends_at:
                break
            await Round(
                cell, tally, rng, sampled=sampled, restarts=restarts
            ).run(kind, moment)
        tally.produced_tokens += sum(
            [await engine.tokens_made() for engine in cell.engines]
        )
        await cell.close()


async def _run(args: argparse.Namespace) -> None:
    rng = random.Random(args.seed)
    table = list(itertools.product(cells.FaultKind, Moment, (False, True)))
    ours, baseline = Tally(), Tally()
    schedule = [rng.sample(table, len(table)) for _ in range(args.rounds)]
    jobs = []
    for cases, restarts, tally in [
        *((cases, False, ours) for cases in schedule),
        (schedule[0], True, baseline),
    ]:
        cell_rng = random.Random(rng.random())
        jobs.append(
            _run_cell(
                tally, cases, cell_rng, restarts=restarts, seconds=args.seconds
            )
        )
    await asyncio.gather(*jobs)
    sizes = {
        "seed": args.seed,
        "tokens": TOKENS,
        "token_interval_ms": TOKEN_INTERVAL_MS,
        "engines": cells.ENGINES,
        "entries": cells.ENTRIES,
        "caller_silence_ms": CALLER_SILENCE_S * 1000,
    }
    print(json.dumps({**ours.report("resume"), **sizes}))
    print(json.dumps({**baseline.report("start_again"), **sizes}))


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=150)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
