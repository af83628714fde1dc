"""Transport that charges what a caller has not accepted."""

import asyncio
from typing import Any

from sassafrasflow.memory import output as outputs

__all__ = ["MeteredTransport"]

# How long a caller that was refused may go on sending before its connection
# is reset, so that it can read the refusal.
LINGER_S = 2.0


class MeteredTransport(asyncio.Transport):
    """Transport of the server library whose writes are charged."""

    def __init__(
        self, transport: asyncio.Transport, output: outputs.CallerOutput
    ) -> None:
        super().__init__()
        self._transport = transport
        self._output = output
        # Whether the protocol has input that it has not parsed.
        self._is_held = False
        # Whether input is discarded until the caller closes.
        self._lingers = False

    def write(self, data: Any) -> None:
        """Send bytes unless the connection is closing."""
        self._output.write(data)

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the kernel has not taken."""
        return self._transport.get_write_buffer_size()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return a property of the connection."""
        return self._transport.get_extra_info(name, default)

    def is_closing(self) -> bool:
        """Return whether the connection closes or is closed."""
        return (
            self._lingers
            or self._output.is_delivering
            or self._transport.is_closing()
        )

    def close(self) -> None:
        """Close the connection once the caller has what was sent."""
        self._output.close(self._transport.pause_reading)

    def close_after_input(self) -> None:
        """Close once the caller has closed its side, or in time.

        The kernel resets a connection that is closed while input is unread or
        still arrives, and the caller may lose what was sent last.
        """
        if self.is_closing():
            return
        self._lingers = True
        self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)

    def abort(self) -> None:
        """Reset the connection."""
        self._transport.abort()

    def pause_reading(self) -> None:
        """Stop reading until the reading is resumed."""
        self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again, unless the connection closes or is held."""
        if not self._is_held and not self._output.is_delivering:
            self._transport.resume_reading()

    def hold_reading(self) -> None:
        """Stop reading, whatever the server library resumes."""
        self._is_held = True
        self._transport.pause_reading()

    def release_reading(self) -> None:
        """Read again after the reading was held."""
        self._is_held = False
        self.resume_reading()
