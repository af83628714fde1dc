"""Tests of calls that are refused before a claim is made.

An earlier call with the same idempotency key may have run. A refusal that
says ``ran: no`` would then be wrong, and the caller could run the call twice.
"""

import pytest

from sassafrasflow.fakes import engine as fake_engine
from sassafrasflow.fakes import in_process

KEY = {"idempotency-key": "checkout-7"}
BOOKING = "/services/booking/checkouts"


@pytest.fixture
async def stage():
    behaviour = fake_engine.Behaviour(token_interval_ms=1.0)
    async with in_process.InProcessDeployment(behaviour) as running:
        yield running


class TestKeyedRefusals:
    @pytest.mark.parametrize(
        ("path", "headers", "reason", "ran"),
        [
            ("/services/none/a", {}, "unknown_service", "no"),
            ("/services/none/a", KEY, "unknown_service", "unknown"),
            (BOOKING, {}, "key_required", "no"),
            (f"{BOOKING}/%2e%2e/a", KEY, "malformed_request", "no"),
            (
                BOOKING,
                {**KEY, "authorization": "Bearer revoked"},
                "unauthenticated",
                "unknown",
            ),
        ],
    )
    async def test_ran(self, stage, path, headers, reason, ran):
        async with stage.client() as http:
            resp = await http.post(path, content=b"{}", headers=headers)
        problem = resp.json()
        assert (problem["reason"], problem["ran"]) == (reason, ran)

    @pytest.mark.parametrize(
        ("headers", "ran"), [({}, "no"), (KEY, "unknown")]
    )
    async def test_stopping_instance(self, stage, headers, ran):
        stage.entry._app_state.stopping = True
        async with stage.client() as http:
            resp = await http.post(BOOKING, headers=headers)
        problem = resp.json()
        assert (problem["reason"], problem["ran"]) == ("stopping", ran)
