"""Transport that carries calls between instances.

A :class:`PeerNode` listens, keeps one connection to each peer that it
calls, and hands incoming calls to the handler of their method.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import hashlib
import hmac
import pathlib
from typing import Any

import capnp
from loguru import logger

from sassafrasflow import exceptions
from sassafrasflow import ids

__all__ = ["Handler", "PeerNode", "kj_loop"]

Handler = Callable[[ids.InstanceId, bytes], Awaitable[bytes]]

CONNECT_TIMEOUT_S = 0.5

capnp.remove_import_hook()
schema = capnp.load(str(pathlib.Path(__file__).parent / "peer.capnp"))

_loop_users = 0
_loop_context: Any = None


@contextlib.asynccontextmanager
async def kj_loop() -> Any:
    """Attach the library to the current loop while anyone uses it."""
    global _loop_context
    global _loop_users
    if not _loop_users:
        _loop_context = capnp.kj_loop()
        await _loop_context.__aenter__()
    _loop_users += 1
    try:
        yield
    finally:
        _loop_users -= 1
        if not _loop_users:
            await _loop_context.__aexit__(None, None, None)


def _proof(shared_key: str, instance: str) -> bytes:
    return hmac.digest(shared_key.encode(), instance.encode(), hashlib.sha256)


class _Session(schema.Session.Server):  # type: ignore[name-defined]
    def __init__(
        self, caller: ids.InstanceId, handlers: dict[str, Handler]
    ) -> None:
        self._caller = caller
        self._handlers = handlers

    async def call(
        self, method: str, payload: bytes, _context: Any, **_: Any
    ) -> None:
        handler = self._handlers[method]
        _context.results.payload = await handler(self._caller, payload)


class _Peer(schema.Peer.Server):  # type: ignore[name-defined]
    def __init__(self, node: "PeerNode") -> None:
        self._node = node

    async def hello(
        self, instance: str, proof: bytes, _context: Any, **_: Any
    ) -> None:
        session = self._node.admit(ids.InstanceId(instance), proof)
        _context.results.instance = self._node.instance
        _context.results.session = session


class PeerNode:
    """Listen for peers and call them."""

    def __init__(
        self, instance: ids.InstanceId, host: str, port: int, shared_key: str
    ) -> None:
        self.instance = instance
        self._host = host
        self._port = port
        self._shared_key = shared_key
        self._handlers: dict[str, Handler] = {}
        self._server: Any = None
        self._stack = contextlib.AsyncExitStack()
        self._sessions: dict[str, Any] = {}
        self._clients: dict[str, Any] = {}
        self._conns: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the port that is listened on."""
        return self._server.sockets[0].getsockname()[1]

    def handle(self, method: str, handler: Handler) -> None:
        """Register the handler of a method before the node starts."""
        self._handlers[method] = handler

    async def start(self) -> None:
        """Listen for peers.

        Raises
        ------
        OSError : the address can't be listened on
        """
        await self._stack.enter_async_context(kj_loop())
        self._server = await capnp.AsyncIoStream.create_server(
            self._accept, self._host, self._port
        )

    async def close(self) -> None:
        """Stop listening and drop every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._conns):
            task.cancel()
        await asyncio.gather(*self._conns, return_exceptions=True)
        for client in self._clients.values():
            client.close()
        self._clients.clear()
        self._sessions.clear()
        await self._stack.aclose()

    def admit(self, instance: ids.InstanceId, proof: bytes) -> _Session:
        """Return a session for a peer that knows the shared key."""
        if not hmac.compare_digest(_proof(self._shared_key, instance), proof):
            raise exceptions.PeerError("the shared key differs")
        return _Session(instance, self._handlers)

    async def call(
        self, address: str, method: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Call a method of the peer at an address.

        Raises
        ------
        PeerError : the peer did not answer in time or refused
        """
        try:
            async with asyncio.timeout(timeout_s):
                session = await self._session(address)
                answer = await session.call(method=method, payload=payload)
                return answer.payload
        except (OSError, capnp.KjException, TimeoutError) as exc:
            self._forget(address)
            raise exceptions.PeerError(f"{address}: {exc!r}") from exc

    async def _session(self, address: str) -> Any:
        if address in self._sessions:
            return self._sessions[address]
        host, _, port = address.rpartition(":")
        stream = await capnp.AsyncIoStream.create_connection(host, int(port))
        client = capnp.TwoPartyClient(stream)
        peer = client.bootstrap().cast_as(schema.Peer)
        proof = _proof(self._shared_key, self.instance)
        answer = await peer.hello(instance=self.instance, proof=proof)
        self._clients[address] = client
        self._sessions[address] = answer.session
        return answer.session

    def _forget(self, address: str) -> None:
        self._sessions.pop(address, None)
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()

    async def _accept(self, stream: Any) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._conns.add(task)
        try:
            await capnp.TwoPartyServer(
                stream, bootstrap=_Peer(self)
            ).on_disconnect()
        except capnp.KjException as exc:
            logger.warning("peers: Connection failed: {}.", exc)
        except asyncio.CancelledError:
            # The library reports a cancelled handler as an error.
            return
        finally:
            self._conns.discard(task)
