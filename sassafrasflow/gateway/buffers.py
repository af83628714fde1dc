"""Bytes that the kernel holds for a connection."""

import fcntl
import select
import socket
import sys
import termios

__all__ = ["count_undelivered", "count_unread", "has_input"]


def count_unread(sock: socket.socket) -> int:
    """Return the received bytes that wait to be read."""
    return _count(sock, termios.FIONREAD)


def count_undelivered(sock: socket.socket) -> int:
    """Return the sent bytes that the remote end has not acknowledged."""
    return _count(sock, termios.TIOCOUTQ)


def has_input(sock: socket.socket) -> bool:
    """Return whether bytes, or the end, wait to be read."""
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _count(sock: socket.socket, request: int) -> int:
    buffer = bytearray(4)
    try:
        fcntl.ioctl(sock.fileno(), request, buffer)
    except (OSError, ValueError):
        # The descriptor is closed, so nothing waits.
        return 0
    return int.from_bytes(buffer, sys.byteorder)
