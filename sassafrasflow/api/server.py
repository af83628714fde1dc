"""HTTP server that runs an application on the current loop."""

import asyncio
import socket
from typing import Any

import uvicorn

__all__ = ["HttpServer"]

BACKLOG = 2048
SHUTDOWN_TIMEOUT_S = 1


class _Server(uvicorn.Server):
    """Leave signals to the program."""

    def install_signal_handlers(self) -> None:
        pass

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        await self._serve(sockets)


class HttpServer:
    """Serve one application on one address."""

    def __init__(self, app: Any, host: str, port: int) -> None:
        self._host = host
        self._port = port
        config = uvicorn.Config(
            app,
            log_config=None,
            access_log=False,
            lifespan="off",
            ws="none",
            timeout_graceful_shutdown=SHUTDOWN_TIMEOUT_S,
            server_header=False,
        )
        config.load()
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None
        self._socket: socket.socket | None = None

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        assert self._socket is not None
        return self._socket.getsockname()[1]

    async def start(self) -> None:
        """Listen and begin to serve.

        Raises
        ------
        OSError : the address can't be listened on
        """
        self._socket = socket.create_server(
            (self._host, self._port), backlog=BACKLOG
        )
        # Accepted connections inherit it; the loop sets it only on sockets
        # made with an explicit protocol. Without it, a small answer waits
        # for the peer's delayed acknowledgement.
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._task = asyncio.create_task(self._server.serve([self._socket]))
        while not self._server.started and not self._task.done():
            await asyncio.sleep(0)

    async def abort(self) -> None:
        """Break every connection at once, as a crash would."""
        for conn in list(self._server.server_state.connections):
            if conn.transport is not None:
                conn.transport.abort()
        self._server.force_exit = True
        await self.close()

    async def close(self) -> None:
        """Stop listening and end open connections."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
            self._task = None
        if self._socket is not None:
            self._socket.close()
