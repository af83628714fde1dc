"""Memory that requests hold after they have ended."""

import asyncio

from sassafrasflow.gateway import poison
from sassafrasflow.platform.tests import documents
from sassafrasflow.platform.tests import fleets
from sassafrasflow.platform.tests import standins

BODY = b"b" * 1000
MB = 1024 * 1024
# The smallest machine, and the largest body that the operators allow.
SMALL_MEMORY_BYTES = 160 * MB
LARGEST_BODY = b"b" * (4 * MB)


class TestLostRequests:
    """Guard against records of lost runs that keep the bodies of requests."""

    async def test_bodies_are_released(self, fleet):
        async def reset(conn, req):
            conn.reset()

        await fleet.add_worker("w1", reset)
        gateway = await fleet.start()
        async with fleet.caller() as caller:
            for number in range(5):
                answer = await caller.request(
                    "/book/1", method="POST", attempt=f"b{number}", body=BODY
                )
                assert answer.status == 502
        await fleets.wait_until(lambda: not gateway.dispatcher.in_flight)
        records = [
            record
            for of_target in gateway.quarantine.runs._runs.values()
            for record in of_target
        ]
        assert records
        assert not any(record.job.req.body for record in records)
        # Requests with the same body are still recognised.
        assert len({record.job.fingerprint for record in records}) == 1
        assert records[0].job.fingerprint == fingerprint_with(records[0], BODY)


class TestLargestRequest:
    """Guard against limits that refuse a single large request."""

    async def test_is_served_without_pressure(self, fleet):
        async def answer_at_length(conn, req):
            await standins.answer_ok(conn, req, X_Body=len(req.body))

        await fleet.add_worker("w1", answer_at_length)
        cfg = documents.configuration()
        cfg["Limits"]["MaxBodyBytes"] = len(LARGEST_BODY)
        await fleet.store.configure(cfg)
        gateway = await fleet.start(memory_bytes=SMALL_MEMORY_BYTES)
        async with fleet.caller() as caller:
            for number in range(5):
                answer = await caller.request(
                    "/book/1",
                    method="POST",
                    attempt=f"b{number}",
                    body=LARGEST_BODY,
                )
                assert answer.status == 200
                assert answer.headers["x-body"] == str(len(LARGEST_BODY))
        await fleets.wait_until(lambda: not gateway.account.used_bytes)


class TestLargeAnswers:
    """Guard against targets that are blamed while memory is short."""

    async def test_waiting_answers_are_whole(self, fleet):
        async def answer_at_length(conn, req):
            await conn.answer(
                200,
                LARGEST_BODY[: 2 * MB],
                X_Request_Attempt_Id=req.headers[standins.ATTEMPT],
                X_Response_Seal="sealed",
            )

        await fleet.add_worker("w1", answer_at_length)
        # Room for one answer at a time.
        gateway = await fleet.start(memory_bytes=32 * MB)

        async def call(number):
            async with fleet.caller() as caller:
                return await caller.request("/read/1", attempt=f"r{number}")

        answers = await asyncio.gather(*map(call, range(12)))
        assert all(answer.status == 200 for answer in answers)
        assert all(answer.body == LARGEST_BODY[: 2 * MB] for answer in answers)
        assert gateway.account.delayed
        assert not fleet.events("answer_broken")
        await fleets.wait_until(lambda: not gateway.account.used_bytes)


def fingerprint_with(record, body):
    """Return the digest of a record's request with a body."""
    job = record.job
    organisation = job.organisation
    return poison.fingerprint_of(
        None if organisation is None else organisation.id, job.req.url, body
    )
