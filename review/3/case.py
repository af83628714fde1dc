"""Another writer's entry holds a number that is wider than 64 bits."""

import asyncio
import uuid

import harness

from sassafrasflow.platform.tests import callers
from sassafrasflow.platform.tests import standins

LENGTH_S = 50.0
CALLERS = 6
PAUSE_S = 0.1
WORK_S = 0.045
# How often the other writer writes its entry.
WRITE_INTERVAL_S = 7.0
# The rule: on a tenth of the machines, two at least, processes end by
# themselves three times.
MACHINES = 2
ENDS = 3


async def call(
    deployment: harness.Deployment, number: int, counts: dict[str, int]
) -> None:
    """Send look-ups, each time to the next instance after a failure."""
    record = deployment.record
    until = record.now() + LENGTH_S
    sent = 0
    while record.now() < until:
        instance = deployment.instances[
            (number + counts["unanswered"]) % len(deployment.instances)
        ]
        try:
            async with callers.Caller(instance.port) as caller:
                while record.now() < until:
                    sent += 1
                    attempt = f"c{number}-{sent}"
                    answer = await harness.ask(
                        record, caller, f"/read/{attempt}", attempt
                    )
                    if answer is None:
                        counts["unanswered"] += 1
                        break
                    counts["served"] += answer.status == 200
                    await asyncio.sleep(PAUSE_S)
        except OSError:
            counts["not_connected"] += 1
            await asyncio.sleep(PAUSE_S)


async def write_entries(deployment: harness.Deployment) -> None:
    """Write an entry again and again, as a worker's heartbeats do."""
    while True:
        await asyncio.sleep(WRITE_INTERVAL_S)
        wide = uuid.uuid4().int
        # The field `born` is the Unix millisecond of a start. Here it has
        # another type: a random 128-bit id.
        born = wide if harness.has_trouble() else wide % 10**12
        entry = {
            "Service": "reports",
            "Address": f"{harness.HOST}:{harness.free_port()}",
            "Zone": "a",
            "Version": "v1",
            "Slots": 6,
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": born,
        }
        revision = await deployment.store.put_row("servers", "x-1", entry)
        deployment.record.write(
            "other_writer", revision=revision, born=str(born)
        )


async def play(deployment: harness.Deployment) -> bool:
    record = deployment.record

    async def run(conn: standins.Connection, req: standins.Request):
        attempt = req.headers[standins.ATTEMPT]
        record.write("run", request=attempt)
        await asyncio.sleep(WORK_S)
        await standins.answer_ok(conn, req, Keep_Alive="timeout=15")

    await deployment.store.configure(
        harness.configuration(
            [harness.route("read", "idempotent", "lending")],
            [{"Name": "lending", "MaxConnections": 110}],
        )
    )
    for name in ("i-1", "i-2", "i-3"):
        await deployment.add_worker(name, run, "a", service="lending", Slots=6)
    await deployment.start_instances("aaa")
    writer = asyncio.create_task(write_entries(deployment))
    counts = {"served": 0, "unanswered": 0, "not_connected": 0}
    await asyncio.gather(
        *(call(deployment, number, counts) for number in range(CALLERS))
    )
    writer.cancel()
    ends = {each.name: each.own_ends for each in deployment.instances}
    errors = [
        line["error"]
        for each in deployment.instances
        for line in each.events("task_failed")
    ]
    record.write("result", own_ends=ends, errors=errors[:3], **counts)
    print(f"own ends: {ends}; {counts}; {errors[:1]}")
    if not counts["served"]:
        raise RuntimeError("the deployment did not serve")
    return sum(count >= ENDS for count in ends.values()) >= MACHINES


harness.run_case(__file__, play)
