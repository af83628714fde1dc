"""Memory of callers' connections."""

import asyncio
import socket
import tracemalloc

from sassafrasflow.gateway import callers
from sassafrasflow.gateway import routes

HOST = "127.0.0.1"
CONNECTIONS = 20
BODY_BYTES = 1024 * 1024


async def answer(req, responder) -> None:
    responder.send(200, [], b"%d" % len(req.body))


async def send_request(port, framing):
    """Send a request and return the open connection."""
    reader, writer = await asyncio.open_connection(HOST, port)
    body = bytes(BODY_BYTES)
    head = b"POST / HTTP/1.1\r\nHost: a\r\n"
    if framing == "length":
        writer.write(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    else:
        coding = b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(body)
        writer.write(head + coding + body + b"\r\n0\r\n\r\n")
    await reader.readuntil(b"%d" % BODY_BYTES)
    return writer


class TestIdleConnections:
    """Guard against idle connections that keep the bodies of requests."""

    async def test_answered_bodies_are_released(self):
        server = callers.CallerServer(
            answer, routes.CallerLimits, lambda: 0.0, lambda *_: None
        )
        listening = socket.create_server((HOST, 0))
        await server.start(listening)
        port = listening.getsockname()[1]
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            writers = [
                await send_request(port, ("length", "chunks")[number % 2])
                for number in range(CONNECTIONS)
            ]
            after, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert len(server.connections) == CONNECTIONS
        assert after - before < 2 * BODY_BYTES
        for writer in writers:
            writer.close()
        await server.close()
