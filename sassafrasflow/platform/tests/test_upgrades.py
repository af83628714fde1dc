"""Callers that offer an upgrade to another protocol."""

import asyncio

import pytest

from sassafrasflow.platform.tests import standins

BODY = b"reserve scope 7 for the club"
OFFERS = {
    "h2c": {
        "Connection": "Upgrade, HTTP2-Settings",
        "Upgrade": "h2c",
        "HTTP2-Settings": "AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA",
    },
    "websocket": {"Connection": "keep-alive, upgrade", "Upgrade": "websocket"},
    "tls": {"Connection": "Upgrade", "Upgrade": "TLS/1.0, HTTP/1.1"},
}
FRAMINGS = {
    "length": (b"Content-Length: 28\r\n\r\n", BODY),
    "chunks": (
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"7\r\n%b\r\n15\r\n%b\r\n0\r\n\r\n" % (BODY[:7], BODY[7:]),
    ),
}


def encode(caller, attempt, offer, framing):
    """Return a request with an offer, and its body."""
    head = caller.encode(
        f"/book/{attempt}",
        method="POST",
        attempt=attempt,
        **{key.replace("-", "_"): value for key, value in offer.items()},
    )
    fields, body = FRAMINGS[framing]
    return head.removesuffix(b"\r\n") + fields + body


class TestOffers:
    """Guard against requests that lose their body or answer by an offer."""

    @pytest.mark.parametrize("framing", FRAMINGS)
    @pytest.mark.parametrize("offer", OFFERS)
    async def test_request_is_served_as_without_the_offer(
        self, fleet, offer, framing
    ):
        worker = await fleet.add_worker("w1")
        await fleet.start()
        async with fleet.caller() as caller:
            for number in range(3):
                attempt = f"b{number}"
                caller.send_raw(
                    encode(caller, attempt, OFFERS[offer], framing)
                )
                answer = await caller.read()
                assert answer.status == 200
        assert [req.body for req in worker.requests] == [BODY] * 3
        for req in worker.requests:
            assert "upgrade" not in req.headers
            assert "http2-settings" not in req.headers

    @pytest.mark.parametrize("framing", FRAMINGS)
    async def test_request_in_pieces(self, fleet, framing):
        worker = await fleet.add_worker("w1")
        await fleet.start()
        async with fleet.caller() as caller:
            content = encode(caller, "b1", OFFERS["h2c"], framing)
            step = 7
            for start in range(0, len(content), step):
                caller.send_raw(content[start : start + step])
                await asyncio.sleep(0.001)
            assert (await caller.read()).status == 200
        assert [req.body for req in worker.requests] == [BODY]

    async def test_requests_behind_one_another(self, fleet):
        worker = await fleet.add_worker("w1")
        await fleet.start()
        async with fleet.caller() as caller:
            content = b""
            for number in range(4):
                offer = OFFERS["h2c"] if number % 2 else {}
                content += encode(caller, f"b{number}", offer, "length")
            caller.send_raw(content)
            for _ in range(4):
                assert (await caller.read()).status == 200
        attempts = [req.headers[standins.ATTEMPT] for req in worker.requests]
        assert attempts == ["b0", "b1", "b2", "b3"]
        assert {req.body for req in worker.requests} == {BODY}

    async def test_many_offers_in_one_read(self, fleet):
        worker = await fleet.add_worker("w1")
        await fleet.start()
        head = (
            b"GET /read/1 HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: a\r\n"
            b"\r\n"
        )
        async with fleet.caller() as caller:
            caller.send_raw(head * 120)
            assert (await caller.read()).status == 400
        assert not worker.requests

    async def test_offer_does_not_exceed_the_limits(self, fleet):
        worker = await fleet.add_worker("w1")
        await fleet.start()
        async with fleet.caller() as caller:
            fields = b"Content-Length: 28\r\nContent-Length: 2\r\n\r\n"
            head = caller.encode("/book/1", method="POST", **OFFERS["tls"])
            caller.send_raw(head.removesuffix(b"\r\n") + fields + BODY)
            assert (await caller.read()).status == 400
        async with fleet.caller() as caller:
            fields = b"Content-Length: 99999999\r\n\r\n"
            caller.send_raw(head.removesuffix(b"\r\n") + fields + BODY)
            assert (await caller.read()).status == 413
        assert not worker.requests

    async def test_tunnel_is_rejected(self, fleet):
        worker = await fleet.add_worker("w1")
        await fleet.start()
        async with fleet.caller() as caller:
            caller.send_raw(
                b"CONNECT shop.example:80 HTTP/1.1\r\nHost: shop.example\r\n"
                b"\r\nbytes of the tunnel"
            )
            assert (await caller.read()).status == 400
        assert not worker.requests
