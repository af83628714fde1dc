"""A server runs bookings and fails some of them with 503.

Its answers don't have X-Not-Executed, so nobody states that the bookings have
not run. The callers book again after a promise, as the pages say they do.
"""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-3"))

import deployment  # noqa: E402

from sassafrasflow.platform.tests import standins  # noqa: E402

INSTANCES = 2
# One of seven is the share that the pages give for servers that fail a part.
SERVERS = 7
TENANTS = {"club": "key-club"}
WORK_S = 0.03
CALM_S = 3.0
TROUBLE_S = 6.5
FAILED_SHARE = 0.4
BOOKINGS_PER_S = 20.0
PROMISES = (408, 421, 429, 503)


class Desk:
    """Run bookings; some fail after they have run."""

    def __init__(self, record) -> None:
        self._record = record
        self._rng = random.Random(14)
        self.failing: str | None = None
        # Booking by attempt, for those that have run.
        self.ran: dict[str, str] = {}

    async def run(self, server, conn, req) -> None:
        attempt = req.headers[standins.ATTEMPT]
        booking = req.body.decode()
        await asyncio.sleep(WORK_S)
        self.ran[attempt] = booking
        fails = (
            server.name == self.failing and self._rng.random() < FAILED_SHARE
        )
        self._record.write(
            "ran",
            attempt=attempt,
            booking=booking,
            server=server.name,
            answer=503 if fails else 200,
        )
        await conn.answer(
            503 if fails else 200,
            f"{booking} by {server.name}".encode(),
            X_Request_Attempt_Id=attempt,
            X_Response_Seal=f"seal-of-{attempt}",
        )


async def play(folder, record, trouble) -> bool:
    desk = Desk(record)
    fleet = deployment.Deployment(folder, record, INSTANCES)
    traffic = deployment.Traffic(fleet)
    bookings: list[asyncio.Task] = []

    def send(booking) -> deployment.Sent:
        return traffic.send(
            fleet.choose(),
            "/book/x",
            TENANTS["club"],
            body=booking.encode(),
            X_Deadline_Remaining="4000",
        )

    async def book(booking) -> None:
        """Book once more, on a new connection, after a promise."""
        sent = send(booking)
        while sent.status is None:
            await asyncio.sleep(0.01)
        if sent.status in PROMISES:
            await asyncio.sleep(0.3)
            send(booking)

    async def book_all() -> None:
        while True:
            name = f"booking-{len(bookings)}"
            bookings.append(asyncio.create_task(book(name)))
            await asyncio.sleep(1 / BOOKINGS_PER_S)

    sender = None
    try:
        await fleet.start(
            deployment.stream_config(TENANTS),
            [
                deployment.Server(
                    f"desk{number}",
                    deployment.ZONE_NAMES[number % 3],
                    desk.run,
                )
                for number in range(SERVERS)
            ],
        )
        sender = asyncio.create_task(book_all())
        await asyncio.sleep(CALM_S)
        record.write("trouble begins" if trouble else "no trouble begins")
        if trouble:
            desk.failing = fleet.servers[0].name
        await asyncio.sleep(TROUBLE_S)
        desk.failing = None
        record.write("trouble ends")
        await asyncio.sleep(1.0)
        sender.cancel()
        await asyncio.sleep(2.0)
        return judge(record, traffic, desk)
    finally:
        if sender is not None:
            sender.cancel()
        for task in bookings:
            task.cancel()
        await traffic.close()
        await fleet.close()


def judge(record, traffic, desk) -> bool:
    """Return whether a promise was given for a booking that has run."""
    if len(desk.ran) < 100:
        raise RuntimeError(f"only {len(desk.ran)} bookings ran")
    refused = [
        each
        for each in traffic.sent
        if each.status in PROMISES and each.attempt in desk.ran
    ]
    runs = list(desk.ran.values())
    twice = sorted({name for name in runs if runs.count(name) > 1})
    for each in refused:
        record.write(
            "answered as not run, but ran",
            attempt=each.attempt,
            status=each.status,
            booking=desk.ran[each.attempt],
        )
    record.write("bookings that ran twice", count=len(twice))
    print(
        f"{len(traffic.sent)} attempts, {len(refused)} answered as not run "
        f"that ran, {len(twice)} bookings ran twice"
    )
    return bool(refused)


if __name__ == "__main__":
    deployment.run(play, FOLDER)
