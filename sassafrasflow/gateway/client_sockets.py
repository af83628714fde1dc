"""Options and state of the sockets of connections to targets."""

import select
import socket

__all__ = ["has_input", "set_options"]

# The kernel resets a connection whose bytes stay unacknowledged this long.
TCP_USER_TIMEOUT_MS = 2000
# With these values keep-alive probes detect a dead idle connection in about
# 4 s.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def set_options(sock: socket.socket) -> None:
    """Set the options of a new connection."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def has_input(sock: socket.socket) -> bool:
    """Return whether bytes, or the end, wait to be read."""
    if sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
