"""One authenticated connection to the listener of a peer."""

import asyncio
import time
from typing import Any

import capnp

from sassafrasflow import exceptions
from sassafrasflow import ids
from sassafrasflow.peers import authentication
from sassafrasflow.peers import schema

__all__ = ["Connection"]


class Connection:
    """Call one peer; concurrent calls share the connection."""

    def __init__(self, client: Any, session: Any) -> None:
        self._client = client
        self._session = session
        self._answered_at = time.monotonic()
        self.in_flight = 0
        self.closed = False

    @classmethod
    async def open(
        cls,
        address: str,
        instance: ids.InstanceId,
        shared_key: str,
        timeout_s: float,
        local_host: str | None = None,
    ) -> "Connection":
        """Connect and authenticate both sides by the shared key.

        Raises
        ------
        PeerError : the peer can't be reached or has another key
        """
        client = None
        try:
            async with asyncio.timeout(timeout_s):
                host, _, port = address.rpartition(":")
                stream = await capnp.AsyncIoStream.create_connection(
                    host, int(port), local_addr=_local_address(local_host)
                )
                client = capnp.TwoPartyClient(stream)
                session = await _login(client, instance, shared_key)
        except (OSError, ValueError, capnp.KjException) as exc:
            if client is not None:
                client.close()
            raise exceptions.PeerError(f"{address}: {exc!r}") from exc
        except BaseException:
            if client is not None:
                client.close()
            raise
        return cls(client, session)

    async def call(
        self, method: str, payload: bytes, timeout_s: float
    ) -> bytes:
        """Call a method and return its answer.

        A timeout closes the connection only if no call was answered on it
        since this one began, because the connection may then be half open.

        Raises
        ------
        PeerError : no answer in time, or the method failed at the peer
        """
        started_at = time.monotonic()
        self.in_flight += 1
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._session.call(
                    method=method, payload=payload
                )
        except TimeoutError as exc:
            if self._answered_at < started_at:
                self.close()
            raise exceptions.PeerError(f"{method}: no answer") from exc
        except (OSError, capnp.KjException) as exc:
            self.close()
            raise exceptions.PeerError(f"{method}: {exc!r}") from exc
        finally:
            self.in_flight -= 1
        self._answered_at = time.monotonic()
        if answer.error:
            raise exceptions.PeerError(f"{method}: {answer.error}")
        return answer.payload

    def close(self) -> None:
        """Close the connection; calls in flight fail."""
        if not self.closed:
            self.closed = True
            self._client.close()


def _local_address(host: str | None) -> tuple[str, int] | None:
    return None if host is None else (host, 0)


async def _login(
    client: Any, instance: ids.InstanceId, shared_key: str
) -> Any:
    peer = client.bootstrap().cast_as(schema.peer.Peer)
    listener_nonce = (await peer.challenge()).nonce
    caller_nonce = authentication.new_nonce()
    caller_proof = authentication.compute_proof(
        shared_key,
        authentication.Side.CALLER,
        instance,
        listener_nonce,
        caller_nonce,
    )
    answer = await peer.login(
        instance=instance, nonce=caller_nonce, proof=caller_proof
    )
    if not authentication.is_valid_proof(
        answer.proof,
        shared_key,
        authentication.Side.LISTENER,
        ids.InstanceId(answer.instance),
        listener_nonce,
        caller_nonce,
    ):
        raise exceptions.PeerError("the listener does not know the key")
    return answer.session
