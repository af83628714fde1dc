"""All servers crash once, just before the final fault of a day.

All prompts share the deployment's first part. The servers are back seconds
later, and so are the instances after the final fault.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import deployment  # noqa: E402

from sassafrasflow.platform.tests import standins  # noqa: E402

INSTANCES = 3
SERVERS = 3
TENANTS = {"club": "key-club", "school": "key-school", "shop": "key-shop"}
FIRST = "f1:200"
# 8,000 tokens at 8 tokens a ms, and 140 events.
PREFILL_S = 1.0
EVENTS = 140
EVENT_GAP_S = 0.03
CALM_S = 16.0
SERVERS_DOWN_S = 1.2
# The final fault comes this long after the servers' crash.
FINAL_AFTER_S = 2.0
INSTANCES_DOWN_S = 0.8
RECOVERY_S = 12.0
OBSERVED_S = 12.0
REQUESTS_PER_S = 3.0
# Callers abandon a stream after 25 s at the latest.
LAST_ANSWERS_S = 8.0


async def answer(server, conn, req) -> None:
    await asyncio.sleep(PREFILL_S)
    script = standins.stream_script(EVENTS, pause_s=EVENT_GAP_S)
    await script(conn, req)


async def play(folder, record, trouble) -> bool:
    rng = random.Random(12)
    fleet = deployment.Deployment(folder, record, INSTANCES)
    traffic = deployment.Traffic(fleet)

    async def send_all():
        while True:
            own = f"o{len(traffic.sent)}:8000"
            traffic.send(
                fleet.choose(),
                "/plan/x",
                rng.choice(list(TENANTS.values())),
                body=own.encode() * 40,
                X_Model="m",
                X_Token_Counts="8200,1120",
                X_Deadline_Remaining="25000",
                X_Prompt_Prefix=f"{FIRST},{own}",
            )
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))

    sender = None
    try:
        await fleet.start(
            deployment.stream_config(TENANTS),
            [
                deployment.Server(
                    f"e{number}", deployment.ZONE_NAMES[number], answer
                )
                for number in range(SERVERS)
            ],
        )
        await asyncio.sleep(2.0)
        sender = asyncio.create_task(send_all())
        await asyncio.sleep(CALM_S)
        record.write("trouble begins" if trouble else "no trouble begins")
        if trouble:
            for server in fleet.servers:
                await server.crash(SERVERS_DOWN_S)
        await asyncio.sleep(FINAL_AFTER_S)
        final_at = record.now()
        if trouble:
            await asyncio.gather(*(each.kill() for each in fleet.instances))
            await asyncio.sleep(INSTANCES_DOWN_S)
            for instance in fleet.instances:
                await instance.start()
            for instance in fleet.instances:
                await instance.wait_until_ready()
        back_at = record.now()
        record.write("machines are back")
        await asyncio.sleep(RECOVERY_S + OBSERVED_S)
        ended_at = record.now()
        sender.cancel()
        await asyncio.sleep(LAST_ANSWERS_S)
        return judge(record, traffic, final_at, back_at + RECOVERY_S, ended_at)
    finally:
        if sender is not None:
            sender.cancel()
        await traffic.close()
        await fleet.close()


def judge(record, traffic, final_at, from_s, to_s) -> bool:
    """Return whether less than a quarter is served after the recovery."""
    shares = []
    for name, group in (
        ("before", [each for each in traffic.sent if each.at < final_at]),
        ("after", [each for each in traffic.sent if from_s < each.at < to_s]),
    ):
        if len(group) < 20:
            raise RuntimeError(f"only {len(group)} requests {name}")
        served = sum(each.status == 200 and each.complete for each in group)
        record.write(f"requests {name}", sent=len(group), served=served)
        print(f"{name} the final fault: {served} of {len(group)} served")
        shares.append(served / len(group))
    if shares[0] < 0.25:
        raise RuntimeError("too few were served before the final fault")
    return shares[1] < 0.25


if __name__ == "__main__":
    deployment.run(play, FOLDER)
