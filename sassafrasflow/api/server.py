"""HTTP server that runs an ASGI application on the current event loop."""

import asyncio
import functools
import socket
from typing import Any

import uvicorn

from sassafrasflow import exceptions
from sassafrasflow import observability
from sassafrasflow.api import protocol

__all__ = ["HttpServer"]

BACKLOG = 2048
SHUTDOWN_TIMEOUT_S = 1


class _Server(uvicorn.Server):
    """Server without signal handlers; the program installs its own."""

    def install_signal_handlers(self) -> None:
        pass

    async def serve(self, sockets: list[socket.socket] | None = None) -> None:
        await self._serve(sockets)


class HttpServer:
    """Serve one ASGI application on one address."""

    def __init__(
        self,
        app: Any,
        host: str,
        port: int,
        bounds: protocol.HttpBounds | None = None,
        metrics: observability.Metrics | None = None,
    ) -> None:
        self._host = host
        self._port = port
        self._bounds = bounds or protocol.HttpBounds()
        http: Any = functools.partial(
            protocol.BoundedProtocol, self._bounds, metrics
        )
        config = uvicorn.Config(
            app,
            http=http,
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
    def connections(self) -> list[protocol.BoundedProtocol]:
        """Return the open connections."""
        open_now: Any = self._server.server_state.connections
        return list(open_now)

    @property
    def port(self) -> int:
        """Return the port that the server listens on."""
        assert self._socket is not None
        return self._socket.getsockname()[1]

    async def start(self) -> None:
        """Listen and start to serve.

        Raises
        ------
        AddressError : the address can't be listened on
        """
        self._socket = self._listen()
        self._task = asyncio.create_task(self._server.serve([self._socket]))
        while not self._server.started and not self._task.done():
            await asyncio.sleep(0)

    def _listen(self) -> socket.socket:
        try:
            family = socket.AF_INET6 if ":" in self._host else socket.AF_INET
            listening_socket = socket.create_server(
                (self._host, self._port), family=family, backlog=BACKLOG
            )
        except OSError as exc:
            address = f"{self._host}:{self._port}"
            raise exceptions.AddressError(
                f"{address}: {exc.strerror}"
            ) from exc
        # Accepted connections inherit both options.
        listening_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, self._bounds.send_buffer_bytes
        )
        # The event loop sets TCP_NODELAY only on sockets that were created
        # with an explicit protocol. Without it, a small answer waits for the
        # delayed acknowledgement of the remote end.
        listening_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return listening_socket

    async def abort(self) -> None:
        """Abort every connection immediately, as a crash would."""
        # The listener is closed first, because callers whose connections
        # break would otherwise reconnect immediately.
        for listener in self._server.servers:
            listener.close()
        for conn in list(self._server.server_state.connections):
            if conn.transport is not None:
                conn.transport.abort()
        self._server.force_exit = True
        await self.close()

    async def close(self) -> None:
        """Stop listening and close the open connections."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task
            self._task = None
        if self._socket is not None:
            self._socket.close()
