"""Transport of calls between instances.

A :class:`PeerNode` listens, shares one connection between all its calls to a
peer, and dispatches incoming calls to the handler of their method.
"""

import asyncio
from collections.abc import Callable
import contextlib
import random
import time

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.peers import backoff
from sassafrasflow.peers import connection
from sassafrasflow.peers import listener
from sassafrasflow.peers import loop
from sassafrasflow.peers import traffic

__all__ = ["PeerNode"]

CONNECT_TIMEOUT_S = 0.5
MAX_CONNECTIONS = 64
ANY_HOST = frozenset({"", "0.0.0.0", "::"})


class PeerNode:
    """Call peers and serve their calls."""

    def __init__(
        self,
        instance: ids.InstanceId,
        host: str,
        port: int,
        shared_key: str,
        rng: random.Random | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.instance = instance
        self.traffic = traffic.Traffic()
        self.is_cross_region: Callable[[str], bool] = lambda address: False
        self._host = host
        self._port = port
        self._shared_key = shared_key
        self._max_connections = max_connections
        self._handlers: dict[str, listener.Handler] = {}
        self._listener = listener.Listener(
            instance, shared_key, self._handlers, self.traffic
        )
        self._stack = contextlib.AsyncExitStack()
        self._conns: dict[str, connection.Connection] = {}
        self._opening: dict[str, asyncio.Task[connection.Connection]] = {}
        self._backoff = backoff.Backoff(rng or random.Random())

    @property
    def port(self) -> int:
        """Return the port of the listener."""
        return self._listener.port

    @property
    def address(self) -> str:
        """Return host and port of the listener."""
        return f"{self._host}:{self.port}"

    def register_handler(self, method: str, handler: listener.Handler) -> None:
        """Register the handler of a method before the node starts."""
        self._handlers[method] = handler

    async def start(self) -> None:
        """Listen for peers.

        Raises
        ------
        OSError : the address can't be bound
        """
        await self._stack.enter_async_context(loop.kj_loop())
        await self._listener.start(self._host, self._port)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self._listener.close()
        opening = list(self._opening.values())
        for task in opening:
            task.cancel()
        await asyncio.gather(*opening, return_exceptions=True)
        for conn in self._conns.values():
            conn.close()
        self._conns.clear()
        await self._stack.aclose()

    async def call(
        self,
        address: str,
        method: str,
        payload: bytes,
        timeout_s: float,
        purpose: str | None = None,
    ) -> bytes:
        """Call a method of the peer at an address.

        Bytes are counted by ``purpose``, which defaults to the method.

        Raises
        ------
        PeerError : the peer did not answer in time or returned an error
        """
        deadline = time.monotonic() + timeout_s
        conn = await self._get_connection(address, timeout_s)
        label = purpose or method
        self._record_traffic(label, address, len(payload))
        remaining_s = max(deadline - time.monotonic(), 0.0)
        answer = await conn.call(method, payload, remaining_s)
        self._record_traffic(label, address, len(answer))
        return answer

    def _record_traffic(self, purpose: str, address: str, size: int) -> None:
        cross_region = self.is_cross_region(address)
        self.traffic.record(
            purpose, traffic.Direction.SENT, cross_region, size
        )

    async def _get_connection(
        self, address: str, timeout_s: float
    ) -> connection.Connection:
        conn = self._conns.pop(address, None)
        if conn is None or conn.closed:
            conn = await self._open_shared(address, timeout_s)
        # Entries are ordered by their last use, the latest at the end.
        self._conns.pop(address, None)
        self._conns[address] = conn
        self._close_idle()
        return conn

    async def _open_shared(
        self, address: str, timeout_s: float
    ) -> connection.Connection:
        opening = self._opening.get(address)
        if opening is None:
            if not self._backoff.is_ready(address, time.monotonic()):
                raise exceptions.PeerError(f"{address}: failed lately")
            opening = asyncio.create_task(self._open(address))
            opening.add_done_callback(_retrieve_exception)
            self._opening[address] = opening
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(opening)
        except TimeoutError as exc:
            raise exceptions.PeerError(f"{address}: no connection") from exc

    async def _open(self, address: str) -> connection.Connection:
        try:
            conn = await connection.Connection.open(
                address,
                self.instance,
                self._shared_key,
                CONNECT_TIMEOUT_S,
                None if self._host in ANY_HOST else self._host,
            )
        except (TimeoutError, exceptions.PeerError) as exc:
            self._backoff.record_failure(address, time.monotonic())
            raise exceptions.PeerError(f"{address}: {exc}") from exc
        else:
            self._backoff.record_success(address)
            self._conns[address] = conn
            return conn
        finally:
            del self._opening[address]

    def _close_idle(self) -> None:
        excess = len(self._conns) - self._max_connections
        if excess <= 0:
            return
        idle = [a for a, conn in self._conns.items() if not conn.in_flight]
        for address in idle[:excess]:
            self._conns.pop(address).close()


def _retrieve_exception(opening: asyncio.Task[connection.Connection]) -> None:
    # Marks the exception as retrieved: all waiters may have timed out before
    # the attempt failed, and asyncio would log the exception.
    if not opening.cancelled():
        opening.exception()
