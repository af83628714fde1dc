"""Memory that requests hold after they have ended."""

from sassafrasflow.gateway import poison
from sassafrasflow.platform.tests import fleets

BODY = b"b" * 1000


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


def fingerprint_with(record, body):
    """Return the digest of a record's request with a body."""
    job = record.job
    organisation = job.organisation
    return poison.fingerprint_of(
        None if organisation is None else organisation.id, job.req.url, body
    )
