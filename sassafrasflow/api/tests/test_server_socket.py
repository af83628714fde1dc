"""Tests of the server's socket options."""

import asyncio
import socket

import litestar

from sassafrasflow import api


class TestHttpServer:
    async def test_small_answers_are_not_delayed(self):
        app = litestar.Litestar(openapi_config=None)
        server = api.HttpServer(app, "127.0.0.1", 0)
        await server.start()
        _, writer = await asyncio.open_connection("127.0.0.1", server.port)
        conns = server._server.server_state.connections
        while not conns:
            await asyncio.sleep(0)
        accepted = next(iter(conns)).transport.get_extra_info("socket")
        option = (socket.IPPROTO_TCP, socket.TCP_NODELAY)
        assert accepted.getsockopt(*option)
        writer.close()
        await server.close()
