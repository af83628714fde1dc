"""HTTP server that runs an ASGI application on the current event loop."""

import asyncio
import functools
import resource
import socket
import time
from typing import Any

import msgspec
import uvicorn

from sassafrasflow import exceptions
from sassafrasflow import observability
from sassafrasflow.api import crowd_report
from sassafrasflow.api import protocol
from sassafrasflow.gateway import deferral
from sassafrasflow.memory import account as accounts
from sassafrasflow.memory import limits as memory_limits

__all__ = ["HttpServer"]

BACKLOG = 2048
SHUTDOWN_TIMEOUT_S = 1
# Interval between checks of what callers hold and of their time limits.
SWEEP_INTERVAL_S = 0.25


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
        if self._bounds.max_connections is None:
            self._bounds = msgspec.structs.replace(
                self._bounds, max_connections=_own_connection_limit()
            )
        self._report = crowd_report.CrowdReport(time.monotonic, metrics)
        # The whole of ``max_held_bytes`` may be used.
        limits = memory_limits.MemoryLimits(share=1.0)
        self.account = accounts.Account(
            lambda: self._bounds.max_held_bytes,
            lambda: limits,
            time.monotonic,
            self._report.record_turned_away,
        )
        http: Any = functools.partial(
            protocol.BoundedProtocol,
            self._bounds,
            metrics,
            self.account,
            self._report,
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
        self._sweep_timer: asyncio.TimerHandle | None = None
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
        self._schedule_sweep()

    def _schedule_sweep(self) -> None:
        loop = asyncio.get_running_loop()
        self._sweep_timer = loop.call_later(
            SWEEP_INTERVAL_S, deferral.call_after_reads, self._sweep
        )

    def _sweep(self) -> None:
        """Enforce the limits on what callers hold, and on their time."""
        if self._sweep_timer is None:
            return
        now = time.monotonic()
        for conn in self.connections:
            conn.check_limits(now)
        self.account.sweep()
        self._report.flush()
        self._schedule_sweep()

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
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()
            self._sweep_timer = None
        self._report.flush()
        self._server.should_exit = True
        if self._task is not None:
            await self._task
            self._task = None
        if self._socket is not None:
            self._socket.close()


def _own_connection_limit() -> int | None:
    """Return the connections that the process's descriptors allow."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return None
    return memory_limits.connection_limit(soft, memory_limits.MemoryLimits())
