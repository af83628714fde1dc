"""Bytes that the kernel holds for a connection."""

import fcntl
import socket
import sys
import termios

__all__ = ["count_undelivered", "count_unread"]


def count_unread(sock: socket.socket) -> int:
    """Return the received bytes that wait to be read."""
    return _count(sock, termios.FIONREAD)


def count_undelivered(sock: socket.socket) -> int:
    """Return the sent bytes that the remote end has not acknowledged."""
    return _count(sock, termios.TIOCOUTQ)


def _count(sock: socket.socket, request: int) -> int:
    buffer = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), request, buffer)
    except (OSError, ValueError):
        # The descriptor is closed, so nothing waits.
        return 0
    return int.from_bytes(buffer, sys.byteorder)
