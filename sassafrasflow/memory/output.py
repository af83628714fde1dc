"""Bytes that are sent to a caller, and those that it has not accepted."""

import asyncio
from collections.abc import Callable

from sassafrasflow.gateway import buffers
from sassafrasflow.memory import account as accounts
from sassafrasflow.memory import progress

__all__ = ["CallerOutput"]

# With this much unsent data, a slow caller pauses the reading from the
# target of its stream.
WRITE_BUFFER_BYTES = 256 * 1024
# The same while memory is short.
SHORT_WRITE_BUFFER_BYTES = 16 * 1024
# How long a caller has to acknowledge the end of a long answer before its
# connection closes, and how often that is checked.
DELIVERY_TIMEOUT_S = 2.0
DELIVERY_POLL_S = 0.02


class CallerOutput:
    """Sending side of one caller's connection."""

    def __init__(
        self,
        holding: accounts.Holding,
        clock: Callable[[], float],
        buffer_bytes: int = WRITE_BUFFER_BYTES,
    ) -> None:
        self._holding = holding
        self._buffer_bytes = buffer_bytes
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._reads = progress.ReadProgress(clock())
        self._writable = asyncio.Event()
        self._writable.set()
        # Whether the connection closes once the caller has everything.
        self.is_delivering = False

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes that wait for the caller, as last updated."""
        return self._reads.unsent_bytes

    def silence_s(self, now: float) -> float:
        """Return the time since the caller last accepted a byte."""
        return self._reads.silence_s(now)

    def start(self, transport: asyncio.Transport) -> None:
        """Begin to send on a transport."""
        self._transport = transport
        self.reset_limit()

    def reset_limit(self) -> None:
        """Allow an answer its usual buffer."""
        if self._transport is not None:
            self._transport.set_write_buffer_limits(high=self._buffer_bytes)

    def write(self, content: bytes) -> None:
        """Send bytes unless the connection is closing."""
        transport = self._transport
        if transport is None or self.is_delivering:
            return
        if transport.is_closing():
            return
        self.update()
        transport.write(content)
        unsent = transport.get_write_buffer_size()
        self._reads.record_write(self._clock(), self._unaccepted(unsent))
        self._holding.set(accounts.Use.UNSENT, unsent)
        if unsent > SHORT_WRITE_BUFFER_BYTES and (
            self._holding.account.is_short
        ):
            # Pauses the answer at once.
            transport.set_write_buffer_limits(high=SHORT_WRITE_BUFFER_BYTES)

    def update(self) -> None:
        """Charge what the caller has not accepted."""
        if self._transport is None:
            return
        unsent = self._transport.get_write_buffer_size()
        self._reads.record_check(self._clock(), self._unaccepted(unsent))
        self._holding.set(accounts.Use.UNSENT, unsent)

    def _unaccepted(self, unsent: int) -> int:
        """Return the bytes that wait here or in the kernel for the caller.

        The kernel takes more only once much of its buffer is free, so without
        its bytes a caller that reads slowly seems not to read for seconds.
        """
        if not unsent or self._transport is None:
            return 0
        sock = self._transport.get_extra_info("socket")
        return unsent + buffers.count_undelivered(sock)

    def pause(self) -> None:
        """Let writers wait."""
        self._writable.clear()

    def resume(self) -> None:
        """Let writers go on."""
        self._writable.set()

    async def drain(self) -> None:
        """Wait until the caller has read enough of the buffered bytes."""
        await self._writable.wait()

    def close(self, pause_reading: Callable[[], None]) -> None:
        """Close the connection after the buffered bytes are sent.

        If bytes of a further request are unread, the kernel resets the
        connection and discards what it has not delivered, so the close waits
        for the delivery.
        """
        transport = self._transport
        if transport is None or self.is_delivering:
            return
        sock = transport.get_extra_info("socket")
        if transport.get_write_buffer_size() or buffers.count_unread(sock):
            self.is_delivering = True
            pause_reading()
            self._close_when_delivered(None)
        else:
            transport.close()

    def _close_when_delivered(self, sent_at: float | None) -> None:
        """Close once the caller has acknowledged all bytes, or in time."""
        transport, now = self._transport, self._clock()
        if transport is None or transport.is_closing():
            return
        if not transport.get_write_buffer_size():
            sent_at = now if sent_at is None else sent_at
            sock = transport.get_extra_info("socket")
            if now - sent_at > DELIVERY_TIMEOUT_S or not (
                buffers.count_undelivered(sock)
            ):
                transport.close()
                return
        asyncio.get_running_loop().call_later(
            DELIVERY_POLL_S, self._close_when_delivered, sent_at
        )

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()
