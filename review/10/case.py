"""A server's wish for a pause is forgotten when its entry comes back."""

import asyncio
import collections
import itertools

import fleet

SERVICE = "lending-app"
CLIENTS = 12
# Seconds between two requests of a client: 40 requests a second in all.
PERIOD_S = 0.3
WORK_S = 0.03
PAUSE_S = 14.0
HEARTBEAT_S = 1.2
# The server can't reach the store for this long.
CUT_S = 5.0


class AppServer(fleet.Server):
    """Turn one request away with a wish for a pause, if told to."""

    def __init__(self, *args, **named):
        super().__init__(*args, **named)
        self.is_wishing = False
        # When the instance was told of the wish.
        self.told_at = None
        self.late = 0

    async def run(self, conn, req, echo):
        now = self.case.now()
        if self.is_wishing and self.told_at is None:
            self.told_at = now
            attempt = req.headers[fleet.ATTEMPT]
            self.case.note(f"{self.name} turns {attempt} away, {PAUSE_S} s")
            return await self._answer(
                conn,
                503,
                **{"X-Not-Executed": "1", "Retry-After": f"{PAUSE_S:.0f}"},
                **echo,
            )
        told_at = self.told_at
        if told_at is not None and told_at + 0.5 < now < told_at + PAUSE_S:
            self.late += 1
            self.case.note(
                f"{self.name} gets {req.headers[fleet.ATTEMPT]},"
                f" {now - told_at:.2f} s after its wish"
            )
        await asyncio.sleep(WORK_S)
        await self.answer_sealed(conn, 200, b"read", echo)


async def call(case, number, counter):
    await asyncio.sleep(PERIOD_S * number / CLIENTS)
    client = fleet.Client(case.instances[0].port)
    while True:
        began_at = case.now()
        answer = await client.request("/read/x", f"r{next(counter)}")
        case.answers[answer.status] += 1
        await asyncio.sleep(max(0.0, began_at + PERIOD_S - case.now()))


async def play(case):
    case.answers = collections.Counter()
    await case.configure(
        [fleet.route("read", "idempotent", SERVICE, MaxAttempts=3)],
        [{"Name": SERVICE, "MaxConnections": 110}],
    )
    for number, zone in enumerate(fleet.ZONES):
        await case.add(AppServer(case, f"i-{number}", SERVICE, zone))
    await case.start_instances(1)
    counter = itertools.count()
    tasks = [
        asyncio.create_task(call(case, number, counter))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(2)
    # The server that the instance uses most, in its own zone.
    wishing = max(case.servers, key=lambda each: len(each.arrivals))
    wishing.is_wishing = True
    async with asyncio.timeout(5):
        while wishing.told_at is None:
            await asyncio.sleep(0.02)
    if case.trouble:
        case.note(f"{wishing.name} is cut off from the store")
        await asyncio.sleep(3 * HEARTBEAT_S)
        case.note(f"the entry of {wishing.name} is removed")
        await case.store.remove_row("servers", wishing.name)
        await asyncio.sleep(CUT_S - 3 * HEARTBEAT_S)
        case.note(f"the cut has healed, {wishing.name} writes its entry")
        await wishing.write_entry()
    end = wishing.told_at + PAUSE_S + 0.5
    await asyncio.sleep(max(0.0, end - case.now()))
    for task in tasks:
        task.cancel()
    case.note(f"late requests: {wishing.late}; answers {dict(case.answers)}")
    print(f"late requests: {wishing.late}")
    return wishing.late > 2


if __name__ == "__main__":
    fleet.run(__file__, play)
