"""A part of some prompts crashes servers; sound prompts go on being served.

One tenant's callers reach one instance. Prompts of that tenant share their
first part. Some requests have another part that crashes each server that
begins to write an answer on it. They come at every instance.
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
CRASHING = "c1:95"
PREFILL_S = 0.5
EVENTS = 15
EVENT_GAP_S = 0.04
# A server is back after some seconds.
DOWN_S = 3.0
CALM_S = 14.0
# Length and share of the trouble in the example of the pages.
TROUBLE_S = 22.0
TROUBLE_SHARE = 0.05
CRASHING_PERIOD_S = 10.0
CRASHING_AT_ONCE = 2
CLUB_PER_S = 3.0
OTHERS_PER_S = 14.5
LEAST_REQUESTS = 20


class Engines:
    """Answers of the servers, and what they ran."""

    def __init__(self, record) -> None:
        self._record = record
        self.begun: set[str] = set()
        self.crashes: list[float] = []

    async def run(self, server, conn, req) -> None:
        attempt = req.headers[standins.ATTEMPT]
        self.begun.add(attempt)
        self._record.write("begun", attempt=attempt, server=server.name)
        await asyncio.sleep(PREFILL_S)
        if CRASHING in req.headers["x-prompt-prefix"].split(","):
            self.crashes.append(self._record.now())
            self._record.write("crashes its server", attempt=attempt)
            await asyncio.shield(server.crash(DOWN_S))
            return
        script = standins.stream_script(EVENTS, pause_s=EVENT_GAP_S)
        await script(conn, req)


async def play(folder, record, trouble) -> bool:
    rng = random.Random(11)
    engines = Engines(record)
    fleet = deployment.Deployment(folder, record, INSTANCES)
    traffic = deployment.Traffic(fleet)

    def send(instance, key, *parts):
        own = f"o{len(traffic.sent)}:400"
        return traffic.send(
            instance,
            "/plan/x",
            key,
            body=own.encode() * 40,
            X_Model="m",
            X_Token_Counts="600,120",
            X_Deadline_Remaining="25000",
            X_Prompt_Prefix=",".join([*parts, own]),
        )

    async def send_club():
        while True:
            send(fleet.instances[0], TENANTS["club"], FIRST)
            await asyncio.sleep(1 / CLUB_PER_S)

    async def send_others():
        while True:
            key = rng.choice([TENANTS["school"], TENANTS["shop"]])
            send(fleet.choose(), key, f"g{rng.randrange(5000)}:200")
            await asyncio.sleep(rng.expovariate(OTHERS_PER_S))

    async def send_crashing():
        while True:
            for instance in fleet.instances * CRASHING_AT_ONCE:
                crashing.append(
                    send(instance, TENANTS["club"], FIRST, CRASHING)
                )
            await asyncio.sleep(CRASHING_PERIOD_S)

    crashing: list[deployment.Sent] = []
    tasks = []
    try:
        await fleet.start(
            deployment.stream_config(TENANTS),
            [
                deployment.Server(
                    f"e{number}",
                    deployment.ZONE_NAMES[number],
                    engines.run,
                )
                for number in range(SERVERS)
            ],
        )
        await asyncio.sleep(2.0)
        tasks += [
            asyncio.create_task(send_club()),
            asyncio.create_task(send_others()),
        ]
        await asyncio.sleep(CALM_S)
        began_at = record.now()
        record.write("trouble begins" if trouble else "no trouble begins")
        if trouble:
            tasks.append(asyncio.create_task(send_crashing()))
        await asyncio.sleep(TROUBLE_S)
        ended_at = record.now()
        record.write("trouble ends")
        for task in tasks:
            task.cancel()
        await asyncio.sleep(1.5)
        return judge(record, traffic, engines, crashing, began_at, ended_at)
    finally:
        for task in tasks:
            task.cancel()
        await traffic.close()
        await fleet.close()


def judge(record, traffic, engines, crashing, began_at, ended_at) -> bool:
    """Return whether sound requests began less than half as often."""
    ids = {each.attempt for each in crashing}
    during = [each for each in traffic.sent if each.at >= began_at]
    share = len(ids) / max(1, len(during))
    record.write("share of crashing requests", share=round(share, 3))
    if share > TROUBLE_SHARE:
        raise RuntimeError("more crashing requests than the pages show")
    sound = [
        each
        for each in traffic.sent
        if each.attempt not in ids and each.key == TENANTS["club"]
    ]
    crashes = engines.crashes[:5]
    record.write("crashes", count=len(engines.crashes))
    from_s = (crashes[-1] if crashes else began_at) + (
        2 * deployment.CONTACT_S
    )
    # While such requests still come.
    to_s = crashing[-1].at if crashing else ended_at
    calm = [each for each in sound if each.at < began_at]
    late = [each for each in sound if from_s < each.at < to_s]
    rates = []
    for name, group in (("calm", calm), ("late", late)):
        if len(group) < LEAST_REQUESTS:
            raise RuntimeError(f"only {len(group)} {name} requests")
        begun = sum(each.attempt in engines.begun for each in group)
        record.write(f"{name} requests", sent=len(group), begun=begun)
        print(f"{name}: {begun} of {len(group)} sound requests began")
        rates.append(begun / len(group))
    return rates[1] < rates[0] / 2


if __name__ == "__main__":
    deployment.run(play, FOLDER)
