"""Listener that serves calls of authenticated peers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

import capnp
from loguru import logger

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.peers import authentication
from sassafrasflow.peers import schema
from sassafrasflow.peers import traffic as counts

__all__ = ["Handler", "Listener"]

Handler = Callable[[ids.InstanceId, bytes], Awaitable[bytes]]

LOGIN_TIMEOUT_S = 2.0


class _Session(schema.peer.Session.Server):
    def __init__(
        self,
        caller: ids.InstanceId,
        handlers: dict[str, Handler],
        traffic: counts.Traffic,
    ) -> None:
        self._caller = caller
        self._handlers = handlers
        self._traffic = traffic

    async def call(
        self, method: str, payload: bytes, _context: Any, **_: Any
    ) -> None:
        handler = self._handlers.get(method)
        if handler is None:
            _context.results.error = "unknown method"
            return
        self._record_traffic(method, len(payload))
        try:
            answer = await handler(self._caller, payload)
        except exceptions.SassafrasflowError as exc:
            _context.results.error = str(exc) or type(exc).__name__
        except Exception as exc:
            logger.exception("peers: Handler of {} failed.", method)
            _context.results.error = type(exc).__name__
        else:
            self._record_traffic(method, len(answer))
            _context.results.payload = answer

    def _record_traffic(self, method: str, size: int) -> None:
        self._traffic.record(method, counts.Direction.RECEIVED, False, size)


class _Peer(schema.peer.Peer.Server):
    def __init__(self, listener: "Listener") -> None:
        self._listener = listener
        self._nonce: bytes | None = None
        self.logged_in = asyncio.Event()

    async def challenge(self, _context: Any, **_: Any) -> None:
        self._nonce = authentication.new_nonce()
        _context.results.nonce = self._nonce

    async def login(
        self,
        instance: str,
        nonce: bytes,
        proof: bytes,
        _context: Any,
        **_: Any,
    ) -> None:
        issued, self._nonce = self._nonce, None
        caller = ids.InstanceId(instance)
        results = _context.results
        results.session = self._listener.admit(caller, issued, nonce, proof)
        results.instance = self._listener.instance
        results.proof = self._listener.prove(issued or b"", nonce)
        self.logged_in.set()


class Listener:
    """Accept connections and admit callers that prove the shared key."""

    def __init__(
        self,
        instance: ids.InstanceId,
        shared_key: str,
        handlers: dict[str, Handler],
        traffic: counts.Traffic,
    ) -> None:
        self.instance = instance
        self._shared_key = shared_key
        self._handlers = handlers
        self._traffic = traffic
        self._server: Any = None
        self._conns: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        """Return the port of the listening socket."""
        return self._server.sockets[0].getsockname()[1]

    async def start(self, host: str, port: int) -> None:
        """Listen for peers.

        Raises
        ------
        OSError : the address can't be bound
        """
        self._server = await capnp.AsyncIoStream.create_server(
            self._accept, host, port
        )

    async def close(self) -> None:
        """Stop listening and close every connection."""
        if self._server is not None:
            self._server.close()
        for task in list(self._conns):
            task.cancel()
        await asyncio.gather(*self._conns, return_exceptions=True)

    def admit(
        self,
        caller: ids.InstanceId,
        listener_nonce: bytes | None,
        caller_nonce: bytes,
        proof: bytes,
    ) -> _Session:
        """Return a session for a caller that proves the shared key.

        Raises
        ------
        PeerError : the proof is wrong or its challenge was already used
        """
        if listener_nonce is None or not authentication.is_valid_proof(
            proof,
            self._shared_key,
            authentication.Side.CALLER,
            caller,
            listener_nonce,
            caller_nonce,
        ):
            logger.warning("peers: A stranger was refused.")
            raise exceptions.PeerError("the shared key differs")
        return _Session(caller, self._handlers, self._traffic)

    def prove(self, listener_nonce: bytes, caller_nonce: bytes) -> bytes:
        """Return the proof of this instance to a caller."""
        return authentication.compute_proof(
            self._shared_key,
            authentication.Side.LISTENER,
            self.instance,
            listener_nonce,
            caller_nonce,
        )

    async def _accept(self, stream: Any) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._conns.add(task)
        peer = _Peer(self)
        watch = asyncio.create_task(self._enforce_login_timeout(peer, task))
        try:
            await capnp.TwoPartyServer(stream, bootstrap=peer).on_disconnect()
        except capnp.KjException as exc:
            logger.warning("peers: Connection failed: {}.", exc)
        except asyncio.CancelledError:
            # Not raised again: the library reports a cancelled handler as an
            # error.
            return
        finally:
            watch.cancel()
            self._conns.discard(task)

    async def _enforce_login_timeout(
        self, peer: _Peer, conn: asyncio.Task[None]
    ) -> None:
        try:
            async with asyncio.timeout(LOGIN_TIMEOUT_S):
                await peer.logged_in.wait()
        except TimeoutError:
            logger.warning("peers: A connection did not log in.")
            conn.cancel()
