"""Instances that were killed together spend the retry slack once more."""

import asyncio
import bisect
import collections
import itertools

import fleet

SERVICE = "lending-app"
SERVERS = 6
CLIENTS = 24
# Seconds between two requests of a client: 24 requests a second in all.
PERIOD_S = 1.0
WORK_S = 1.0
# The instances are killed so long after the load began.
KILL_AFTER_S = 3.5
LOAD_S = 8.5
# Requests sent so long before a window count in it as well, because a repeat
# reaches a server some time after its request was sent.
EDGE_S = 0.5


class AppServer(fleet.Server):
    """Serve two requests at a time, keep two more, and reject the others."""

    async def run(self, conn, req, echo):
        await asyncio.sleep(WORK_S)
        await self.answer_sealed(conn, 200, b"read", echo)


async def call(case, number, counter):
    """Read once a period; come back once after a refusal."""
    await asyncio.sleep(PERIOD_S * number / CLIENTS)
    ports = itertools.cycle(
        [each.port for each in case.instances[number % 3 :]]
        + [each.port for each in case.instances[: number % 3]]
    )
    while True:
        began_at = case.now()
        for _ in range(2):
            client = fleet.Client(next(ports))
            attempt = f"r{next(counter)}"
            case.sent.append(case.now())
            answer = await client.request("/read/x", attempt)
            client.close()
            case.answers[answer.status] += 1
            if answer.status != 503 or answer.retry_after_s > 1.3:
                break
            await asyncio.sleep(answer.retry_after_s)
        await asyncio.sleep(max(0.0, began_at + PERIOD_S - case.now()))


async def play(case):
    case.sent = []
    case.answers = collections.Counter()
    await case.configure(
        [
            fleet.route(
                "read", "idempotent", SERVICE, MaxAttempts=5, TimeoutMs=4000
            )
        ],
        [{"Name": SERVICE, "MaxConnections": 110}],
    )
    zones = itertools.cycle(fleet.ZONES)
    for number in range(SERVERS):
        server = AppServer(
            case, f"i-{number}", SERVICE, next(zones), slots=2, queue=2
        )
        await case.add(server)
    await case.start_instances(3)
    # Until what the instances spent at their start is out of the window.
    await asyncio.sleep(10)
    counter = itertools.count()
    tasks = [
        asyncio.create_task(call(case, number, counter))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(KILL_AFTER_S)
    if case.trouble:
        for instance in case.instances:
            instance.kill()
        for instance in case.instances:
            await instance.wait()
            await instance.start()
    await asyncio.sleep(LOAD_S - KILL_AFTER_S)
    for task in tasks:
        task.cancel()
    return judge(case)


def judge(case):
    seen, repeats = set(), []
    arrivals = sorted(
        (at, req.headers[fleet.ATTEMPT])
        for server in case.servers
        for at, req in server.arrivals
    )
    for at, attempt in arrivals:
        if attempt in seen:
            repeats.append(at)
        seen.add(attempt)
    sent = sorted(case.sent)
    window_s = fleet.BOUNDS["BudgetWindowS"]
    worst = (float("-inf"), 0, 0.0, 0.0)
    for position, begin in enumerate(repeats):
        count = bisect.bisect_right(repeats, begin + window_s) - position
        requests = max(
            bisect.bisect_right(sent, begin + window_s - back)
            - bisect.bisect_left(sent, begin - EDGE_S - back)
            for back in (0, window_s / 2, window_s)
        )
        allowed = (
            fleet.BOUNDS["RetryBudgetRatio"] * requests
            + fleet.BOUNDS["BudgetSlack"]
        )
        worst = max(worst, (count - allowed, count, allowed, begin))
    excess, count, allowed, begin = worst
    case.note(
        f"worst window begins at {begin:.2f}: {count} repeats, allowed"
        f" {allowed:.0f}; {len(arrivals)} arrivals, {len(sent)} requests,"
        f" answers {dict(case.answers)}"
    )
    print(f"repeats {count}, allowed {allowed:.0f}")
    return excess > 0


if __name__ == "__main__":
    fleet.run(__file__, play)
