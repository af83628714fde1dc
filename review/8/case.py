"""A version that was rolled back serves callers again after the next order."""

import asyncio
import collections
import itertools
import random

import fleet
import msgspec

SERVICE = "lending-app"
CLIENTS = 45
# Seconds between two requests of a client: 150 requests a second in all.
PERIOD_S = 0.3
WORK_S = 0.045
BAD_SHARE = 0.3
DURATION_S = 10.0
# The new workers of a version that was rolled back leave after this.
DRAIN_AFTER_S = 4.0


class AppServer(fleet.Server):
    """Answer after some work; a bad version fails part of its requests."""

    async def run(self, conn, req, echo):
        await asyncio.sleep(random.uniform(0.6, 1.4) * WORK_S)
        bad = self.version == "v2" and random.random() < BAD_SHARE
        self.case.answered[self.version, 500 if bad else 200] += 1
        if bad:
            return await self.answer_sealed(conn, 500, b"failed", echo)
        await self.answer_sealed(conn, 200, b"booked", echo)


async def call(case, client, number, counter):
    await asyncio.sleep(PERIOD_S * number / CLIENTS)
    while True:
        began_at = case.now()
        attempt = f"r{next(counter)}"
        case.sent.append(began_at)
        await client.request(
            "/reserve/x", attempt, method="POST", body=b"scope"
        )
        await asyncio.sleep(max(0.0, began_at + PERIOD_S - case.now()))


async def start_version(case, version):
    """Start the workers of a version alongside the others."""
    return [
        await case.add(
            AppServer(
                case, f"i-{version}-{number}", SERVICE, zone, version=version
            )
        )
        for number, zone in enumerate(fleet.ZONES)
    ]


async def order(case, version):
    case.note(f"operator orders {version}, DurationS {DURATION_S}")
    case.ordered[version] = case.now()
    await case.store.put_row(
        "op",
        f"rollout/{SERVICE}",
        {"Service": SERVICE, "To": version, "DurationS": DURATION_S},
    )
    await asyncio.sleep(0.3)
    return await start_version(case, version)


async def wait_for_state(case, version, states):
    async with asyncio.timeout(DURATION_S + 5):
        while True:
            row = case.store.rows.get(("status", f"rollout/{SERVICE}"))
            if row is not None and row[0]:
                status = msgspec.json.decode(row[0])
                if status["To"] == version and status["State"] in states:
                    case.note(f"status of {version}: {status['State']}")
                    return status["State"]
            await asyncio.sleep(0.05)


async def play(case):
    case.sent = []
    case.ordered = {}
    case.answered = collections.Counter()
    await case.configure(
        [fleet.route("reserve", "non_idempotent", SERVICE)],
        [{"Name": SERVICE, "MaxConnections": 110}],
    )
    await start_version(case, "v1")
    await case.start_instances(3)
    counter = itertools.count()
    tasks = [
        asyncio.create_task(
            call(
                case,
                fleet.Client(case.instances[number % 3].port),
                number,
                counter,
            )
        )
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(3)
    bad = await order(case, "v2")
    state = await wait_for_state(case, "v2", ("completed", "rolled_back"))
    if state != "rolled_back":
        raise RuntimeError("v2 was not rolled back")
    rolled_back_at = case.now()
    leaving = [asyncio.create_task(leave_later(server)) for server in bad]
    if case.trouble:
        await order(case, "v3")
    window_end = case.ordered["v2"] + DURATION_S
    await asyncio.sleep(max(0.0, window_end - case.now()) + 1)
    for task in (*tasks, *leaving):
        task.cancel()
    return judge(case, rolled_back_at, window_end)


async def leave_later(server):
    await asyncio.sleep(DRAIN_AFTER_S)
    await server.leave(4.0)


def judge(case, rolled_back_at, window_end):
    begin = case.ordered["v2"]
    arrivals = sorted(
        at
        for server in case.servers
        if server.version == "v2"
        for at, _ in server.arrivals
        if begin <= at <= window_end
    )
    for at in arrivals:
        case.note(f"v2 got a request at {at:.3f}")
    requests = sum(begin <= at <= window_end for at in case.sent)
    allowed = (
        fleet.BOUNDS["ExposureShare"] * requests
        + fleet.BOUNDS["ExposureSlack"]
    )
    after = sum(at > rolled_back_at + 0.5 for at in arrivals)
    case.note(
        f"requests {requests}, v2 got {len(arrivals)}, allowed {allowed:.0f};"
        f" {after} of them later than 0.5 s after it was rolled back;"
        f" answers by version: {dict(case.answered)}"
    )
    print(
        f"v2 got {len(arrivals)}, allowed {allowed:.0f}, after the roll-back"
        f" {after}"
    )
    return len(arrivals) > allowed


if __name__ == "__main__":
    fleet.run(__file__, play)
